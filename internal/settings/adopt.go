package settings

import (
	"fmt"
	"maps"
	"slices"

	"glencart/balance"
)

// MissingKey returns the path of a key that is in the old JSON object but not in the next one, at any depth. It returns an
// empty string if there is none. Each object in a list of next needs the keys that all objects in the old list have. Both
// are values that encoding/json decodes into an any.
func MissingKey(old, next any) string {
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
			if path := MissingKey(old[key], value); path != "" {
				return "." + key + path
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok {
			return "."
		}
		required := commonKeys(old)
		for i, value := range next {
			if path := MissingKey(required, value); len(required) > 0 && path != "" {
				return fmt.Sprintf("[%d]%s", i, path)
			}
		}
	}
	return ""
}

// commonKeys returns the keys that all objects of a list have, with the values of the first object.
func commonKeys(list []any) map[string]any {
	var shared map[string]any
	for i, value := range list {
		object, _ := value.(map[string]any)
		if i == 0 {
			shared = maps.Clone(object)
		}
		maps.DeleteFunc(shared, func(key string, _ any) bool { _, has := object[key]; return !has })
	}
	return shared
}

// CheckReplacement reports an error if the settings can't replace old ones in use. A deadline or a number of attempts may be
// left to its default only if the old settings did so.
func (s Settings) CheckReplacement(old Settings) error {
	oldHasDefault := slices.ContainsFunc(old.Config.Classes, func(c balance.Class) bool { return c.Deadline == 0 && !c.IsRemoved })
	if err := s.Check(); err != nil {
		return err
	}
	for i, c := range s.Config.Classes {
		if c.Deadline == 0 && !oldHasDefault {
			return fmt.Errorf("classes[%d].deadline: 0: give nanoseconds over 0, as the file in use does", i)
		}
	}
	if n := s.Config.Limits.MaxAttempts; n < 0 || n == 0 && old.Config.Limits.MaxAttempts > 0 {
		return fmt.Errorf("limits.maxAttempts: %d: give 1 or more, as the file in use does", n)
	}
	return nil
}

// Adopt returns the settings that replace s when next is loaded. The classes of next keep the numbers that they have in s. A
// class that next lacks keeps its number, marked as gone, until free reports that the number is no longer in use. Tenants,
// zones, kinds and the index of the instance stay those of s.
func (s Settings) Adopt(next Settings, free func(number int) bool) Settings {
	adopted := s
	adopted.Config = next.Config
	adopted.Config.Index, adopted.Config.Instances, adopted.Config.Zone = s.Config.Index, s.Config.Instances, s.Config.Zone
	adopted.Config.AskDiscovery, adopted.Config.Reports = s.Config.AskDiscovery, s.Config.Reports
	if !slices.Equal(s.Tenants, next.Tenants) {
		adopted.Config.Tenants = s.Config.Tenants
	}
	adopted.Classes, adopted.Config.Classes = slices.Clone(s.Classes), slices.Clone(s.Config.Classes)
	for i := range adopted.Config.Classes {
		adopted.Config.Classes[i].IsRemoved = true
	}
	var added []int
	for i, name := range next.Classes {
		if index := slices.Index(adopted.Classes, name); index >= 0 {
			adopted.Config.Classes[index] = next.Config.Classes[i]
		} else {
			added = append(added, i)
		}
	}
	for _, i := range added {
		index := slices.IndexFunc(adopted.Config.Classes, func(c balance.Class) bool { return c.IsRemoved })
		for ; index >= 0 && index < len(adopted.Classes) && !(adopted.Config.Classes[index].IsRemoved && free(index)); index++ {
		}
		if index < 0 || index == len(adopted.Classes) {
			adopted.Classes, adopted.Config.Classes = append(adopted.Classes, ""), append(adopted.Config.Classes, balance.Class{})
			index = len(adopted.Classes) - 1
		}
		adopted.Classes[index], adopted.Config.Classes[index] = next.Classes[i], next.Config.Classes[i]
	}
	return adopted
}

// Class returns the number of a class, or -1 if there is none or it is gone.
func (s *Settings) Class(name string) int {
	i := slices.Index(s.Classes, name)
	if i >= 0 && s.Config.Classes[i].IsRemoved {
		return -1
	}
	return i
}
