package settings

import (
	"fmt"
	"maps"
	"slices"

	"glencart/balance"
)

// Missing returns the path of a key that a JSON object in use has and a new one lacks, at any depth, or an empty string.
// Of the objects in a list, each new one needs the keys that all old ones had. Both are as encoding/json decodes them into
// an any.
func Missing(old, next any) string {
	switch old := old.(type) {
	case map[string]any:
		next, ok := next.(map[string]any)
		if !ok {
			return "."
		}
		for _, key := range slices.Sorted(maps.Keys(old)) {
			value, ok := next[key]
			if !ok || value == nil && old[key] != nil {
				return "." + key
			}
			if at := Missing(old[key], value); at != "" {
				return "." + key + at
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok {
			return "."
		}
		need := common(old)
		for i, value := range next {
			if at := Missing(need, value); len(need) > 0 && at != "" {
				return fmt.Sprintf("[%d]%s", i, at)
			}
		}
	}
	return ""
}

// common returns the keys that all objects of a list have, with the first one's values.
func common(list []any) map[string]any {
	var need map[string]any
	for i, value := range list {
		object, _ := value.(map[string]any)
		if i == 0 {
			need = maps.Clone(object)
		}
		maps.DeleteFunc(need, func(key string, _ any) bool { _, has := object[key]; return !has })
	}
	return need
}

// CheckInService reports what a file that is to replace one in use must not say. What the file in use leaves to the program, a
// deadline or the attempts, may be left to it again.
func (s Settings) CheckInService(old Settings) error {
	untold := slices.ContainsFunc(old.Config.Classes, func(c balance.Class) bool { return c.Deadline == 0 && !c.Gone })
	if err := s.Check(); err != nil {
		return err
	}
	for i, c := range s.Config.Classes {
		if c.Deadline == 0 && !untold {
			return fmt.Errorf("classes[%d].deadline: 0: give nanoseconds over 0, as the file in use does", i)
		}
	}
	if n := s.Config.Limits.MaxAttempts; n < 0 || n == 0 && old.Config.Limits.MaxAttempts > 0 {
		return fmt.Errorf("limits.maxAttempts: %d: give 1 or more, as the file in use does", n)
	}
	return nil
}

// Adopt returns the settings that follow on s when next is taken in: its classes, by the numbers that s gave them. One that
// vanished keeps its number, marked as gone, until free says that nobody can mean it any more. Tenants, zones, kinds and
// the place among the instances stay those of s.
func (s Settings) Adopt(next Settings, free func(number int) bool) Settings {
	out := s
	out.Config = next.Config
	out.Config.Index, out.Config.Instances, out.Config.Zone = s.Config.Index, s.Config.Instances, s.Config.Zone
	out.Config.AskDiscovery, out.Config.Reports = s.Config.AskDiscovery, s.Config.Reports
	if !slices.Equal(s.Tenants, next.Tenants) {
		out.Config.Tenants = s.Config.Tenants
	}
	out.Classes, out.Config.Classes = slices.Clone(s.Classes), slices.Clone(s.Config.Classes)
	for i := range out.Config.Classes {
		out.Config.Classes[i].Gone = true
	}
	var fresh []int
	for i, name := range next.Classes {
		if at := slices.Index(out.Classes, name); at >= 0 {
			out.Config.Classes[at] = next.Config.Classes[i]
		} else {
			fresh = append(fresh, i)
		}
	}
	for _, i := range fresh {
		at := slices.IndexFunc(out.Config.Classes, func(c balance.Class) bool { return c.Gone })
		for ; at >= 0 && at < len(out.Classes) && !(out.Config.Classes[at].Gone && free(at)); at++ {
		}
		if at < 0 || at == len(out.Classes) {
			out.Classes, out.Config.Classes = append(out.Classes, ""), append(out.Config.Classes, balance.Class{})
			at = len(out.Classes) - 1
		}
		out.Classes[at], out.Config.Classes[at] = next.Classes[i], next.Config.Classes[i]
	}
	return out
}

// Class returns the number of a class that is in use, or -1.
func (s *Settings) Class(name string) int {
	i := slices.Index(s.Classes, name)
	if i >= 0 && s.Config.Classes[i].Gone {
		return -1
	}
	return i
}
