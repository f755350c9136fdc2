package reserve

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Runs testdata/script. Guards against backups that are used while a primary backend can be sent to, or unused while none can, and
// against a restart that is missed or reported twice.
func TestScript(t *testing.T) {
	var r *Reserve
	var ids []string
	datadriven.RunTest(t, "testdata/script", func(t *testing.T, d *datadriven.TestData) string {
		var at time.Duration
		restarted := ""
		arg := func(i int) string { return d.CmdArgs[i].Key }
		if d.Cmd == "fail" || d.Cmd == "answer" || d.Cmd == "refuse" {
			at, _ = time.ParseDuration(arg(0))
		}
		switch d.Cmd {
		case "new":
			var within string
			cfg := Config{}
			d.ScanArgs(t, "max_fails", &cfg.MaxFails)
			d.ScanArgs(t, "fail_within", &within)
			cfg.FailWithin, _ = time.ParseDuration(within)
			r = New(cfg)
		case "list":
			var boxes []Box
			ids = nil
			for _, a := range d.CmdArgs {
				boxes = append(boxes, Box{ID: a.Key, Backup: slices.Contains(a.Vals, "backup"), Ready: !slices.Contains(a.Vals, "draining")})
				ids = append(ids, a.Key)
			}
			was := r.On()
			if changed := r.List(boxes); changed != (r.On() != was) {
				t.Error("List reports wrongly whether On has changed")
			}
		case "fail", "answer", "refuse":
			was := r.On()
			changed, again := r.Ended(at, arg(1), map[string]End{"answer": Answered, "fail": Failed, "refuse": Refused}[d.Cmd])
			if changed != (r.On() != was) {
				t.Error("Ended reports wrongly whether On has changed")
			}
			if again {
				restarted = ", another process: " + arg(1)
			}
		case "takes":
			if _, again := r.Takes(arg(0)); again {
				restarted = ", another process: " + arg(0)
			}
		case "restarted":
			r.Restarted(arg(0))
		}
		out := "backups off"
		if r.On() {
			out = "backups on"
		}
		down := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !r.Down(id) })
		if len(down) > 0 {
			out += fmt.Sprint(", down: ", strings.Join(down, " "))
		}
		return out + restarted + "\n"
	})
}
