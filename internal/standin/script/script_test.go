package script

import (
	"strings"
	"testing"
	"time"
)

func TestAll(t *testing.T) {
	all, err := All()
	if err != nil || len(all) < 10 {
		t.Fatalf("%d scripts, %v", len(all), err)
	}
	for _, s := range all {
		if s.About == "" || s.Boxes == 0 || len(s.Mix) != 3 || s.Name != "calm" && len(s.Acts) == 0 {
			t.Errorf("%+v", s)
		}
		for i, a := range s.Acts {
			if i > 0 && a.At < s.Acts[i-1].At || a.At >= s.For {
				t.Errorf("%s: act %d at %v", s.Name, i, a.At)
			}
		}
	}
}

// An error names the script, the line and what is wanted.
func TestBadScripts(t *testing.T) {
	good := "# about\nboxes 4 cores 2 work 8ms queue 20\nload 100 for 2s mix read 1\nat 1s drain b1\n"
	if s, err := Parse("good", good); err != nil || s.Work != 8*time.Millisecond || len(s.Expand("zone:b")) != 2 {
		t.Fatalf("%+v %v", s, err)
	}
	for name, tc := range map[string]struct{ old, new, want string }{
		"no boxes":     {"boxes 4 cores 2 work 8ms queue 20", "", "needs a line 'boxes"},
		"bad count":    {"boxes 4", "boxes four", `x:2: "boxes four`},
		"bad key":      {"cores 2", "hands 2", `no key "hands"`},
		"bad load":     {"for 2s", "2s", "want 'load"},
		"bad verb":     {"drain b1", "explode b1", "with a verb of"},
		"no box":       {"drain b1", "drain", "which box"},
		"unknown box":  {"drain b1", "drain b9", `no box "b9"`},
		"bad time":     {"at 1s", "at soon", `"soon" is no time`},
		"slow by what": {"drain b1", "slow b1", "slow by what"},
		"what":         {"# about", "hello", "want boxes, load or at"},
	} {
		if _, err := Parse("x", strings.Replace(good, tc.old, tc.new, 1)); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
