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
func TestBackupsServeOnlyWithoutPrimaries(t *testing.T) {
	var r *Reserve
	var ids []string
	datadriven.RunTest(t, "testdata/script", func(t *testing.T, d *datadriven.TestData) string {
		var at time.Duration
		newProcess := ""
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
			var backends []Backend
			ids = nil
			for _, a := range d.CmdArgs {
				backends = append(backends, Backend{ID: a.Key, Backup: slices.Contains(a.Vals, "backup"), Ready: !slices.Contains(a.Vals, "draining")})
				ids = append(ids, a.Key)
			}
			wasOn := r.UsesBackups()
			if changed := r.SetList(backends); changed != (r.UsesBackups() != wasOn) {
				t.Error("List reports wrongly whether On has changed")
			}
		case "fail", "answer", "refuse":
			wasOn := r.UsesBackups()
			changed, isNewProcess := r.AttemptEnded(at, arg(1), map[string]End{"answer": Answered, "fail": Failed, "refuse": Refused}[d.Cmd])
			if changed != (r.UsesBackups() != wasOn) {
				t.Error("Ended reports wrongly whether On has changed")
			}
			if isNewProcess {
				newProcess = ", another process: " + arg(1)
			}
		case "takes":
			if _, isNewProcess := r.ConnectionAccepted(arg(0)); isNewProcess {
				newProcess = ", another process: " + arg(0)
			}
		case "restarted":
			r.Restarted(arg(0))
		}
		output := "backups off"
		if r.UsesBackups() {
			output = "backups on"
		}
		down := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !r.IsDown(id) })
		if len(down) > 0 {
			output += fmt.Sprint(", down: ", strings.Join(down, " "))
		}
		return output + newProcess + "\n"
	})
}
