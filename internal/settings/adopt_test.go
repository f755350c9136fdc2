package settings

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"glencart/balance"
)

// A key that is missing by mistake would silently reset a setting. So a new file needs all keys of the file in use, at every
// depth. Additional keys are allowed.
func TestMissingFindsRemovedKey(t *testing.T) {
	old := `{"name":"n","limits":{"cores":1,"mem":2},"peers":["x"],"classes":[{"name":"a","deadline":1,"extra":2},{"name":"b","deadline":1}]}`
	for next, want := range map[string]string{
		old: "",
		`{"name":"n","new":1,"limits":{"cores":1,"mem":2},"peers":[],"classes":[{"name":"z","deadline":1}]}`:       "",
		`{"limits":{"cores":1,"mem":2},"peers":["x"],"classes":[]}`:                                                ".name",
		`{"name":null,"limits":{"cores":1,"mem":2},"peers":["x"],"classes":[]}`:                                    ".name",
		`{"name":"n","limits":{"cores":1},"peers":["x"],"classes":[]}`:                                             ".limits.mem",
		`{"name":"n","limits":3,"peers":["x"],"classes":[]}`:                                                       ".limits.",
		`{"name":"n","limits":{"cores":1,"mem":2},"peers":["x"],"classes":{}}`:                                     ".classes.",
		`{"name":"n","limits":{"cores":1,"mem":2},"peers":["x"],"classes":[{"name":"z","deadline":1},{"name":1}]}`: ".classes[1].deadline",
	} {
		var a, b any
		if json.Unmarshal([]byte(old), &a) != nil || json.Unmarshal([]byte(next), &b) != nil {
			t.Fatal("invalid JSON")
		}
		if got := MissingKey(a, b); got != want {
			t.Errorf("%s: %q, want %q", next, got, want)
		}
	}
}

func newSettings(attempts int, classes ...string) Settings {
	s := Settings{}
	for _, name := range classes {
		s.Classes = append(s.Classes, name)
		s.Config.Classes = append(s.Config.Classes, balance.Class{Deadline: time.Second})
	}
	s.Config.Limits.MaxAttempts = attempts
	return s
}

// Open requests refer to classes by number. So a class keeps its number, and that of a removed class is reused only when it is
// free. Numbers are reused, so any number of reloads needs bounded memory.
func TestAdoptKeepsClassNumbers(t *testing.T) {
	never, always := func(int) bool { return false }, func(int) bool { return true }
	s := newSettings(3, "a", "b").Adopt(newSettings(2, "c", "a"), never)
	if s.Class("a") != 0 || s.Class("b") != -1 || s.Class("c") != 2 || s.Config.Limits.MaxAttempts != 2 {
		t.Fatalf("%v %+v", s.Classes, s.Config)
	}
	if s = s.Adopt(newSettings(2, "b"), never); s.Class("b") != 1 || s.Class("a") != -1 {
		t.Fatalf("after a class was listed again: %v", s.Classes)
	}
	for i := range 100 {
		s = s.Adopt(newSettings(2, strings.Repeat("x", i+1)), always)
	}
	if len(s.Classes) > 4 {
		t.Errorf("%d numbers after 100 files", len(s.Classes))
	}
}

// A reload must not drop a deadline or a limit on attempts that the file in use sets, and must not load invalid names.
func TestCheckInServiceRejectsWorseSettings(t *testing.T) {
	if err := newSettings(1, "a", "b").CheckReplacement(newSettings(1, "a")); err != nil {
		t.Fatal(err)
	}
	if err := newSettings(0, "a").CheckReplacement(newSettings(0, "a")); err != nil {
		t.Errorf("default attempts as before: %v", err)
	}
	noDeadline := newSettings(1, "a", "b")
	noDeadline.Config.Classes[1].Deadline = 0
	for want, s := range map[string]Settings{
		"maxAttempts": newSettings(0, "a"), "twice": newSettings(1, "a", "a"), "empty": newSettings(1, ""), "classes[1].deadline": noDeadline,
	} {
		if err := s.CheckReplacement(newSettings(1, "a")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}
