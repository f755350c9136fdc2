package node

import (
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// A wall clock that is an hour off must not change the age of a backend, whether it is in the first list or in an update. A backend
// that has just started would count as warm, or would stay cold for an hour.
func TestBackendAgeWithWrongWallClock(t *testing.T) {
	const offset = time.Hour
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string { return ok200("x") }))
	addr := b.Addr().String()
	for name, clockOffset := range map[string]time.Duration{"right": 0, "ahead": offset, "behind": -offset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			realNow := time.Now()
			startedAt := func(ago time.Duration) int64 { return realNow.Add(-ago).UnixMilli() }
			text := listText(1, true, listedBackend{ID: "old", Addr: addr, Phase: "ready"},
				listedBackend{ID: "first", Addr: addr, Phase: "ready", Up: startedAt(time.Second)})
			reg := newRegistry(t, text)
			cfg := testConfig(t, reg.Addr, listText(0, true, listedBackend{ID: "old", Addr: addr, Phase: "ready"}))
			cfg.origin = time.Duration(realNow.Add(clockOffset).UnixNano())
			n := startNode(t, cfg)
			reg.Next <- listText(2, false, listedBackend{ID: "change", Addr: addr, Phase: "ready", Up: startedAt(0)})
			age := func(id string) (age time.Duration, known bool) {
				n.runOnLoop(t, func() {
					to, _, _, is := n.loop.Backend(id)
					age, known = n.loop.Clock()-to.Launched, is
				})
				return age, known
			}
			for _, id := range []string{"first", "change"} {
				eventually(t, id, func() bool { _, known := age(id); return known })
				if got, _ := age(id); got < -time.Second || got > 10*time.Second {
					t.Errorf("%s has just started, but has the age %v", id, got)
				}
			}
			if got, _ := age("old"); got < offset {
				t.Errorf("old started long ago, but has the age %v", got)
			}
		})
	}
}

// Waits and ages use the monotonic clock, since the wall clock may be set by an hour at any time. The test searches the sources of
// the node for reads of the wall clock. Each exception is listed here with its reason.
func TestNodeDoesNotReadWallClock(t *testing.T) {
	allowed := map[string]string{
		"internal/engine/engine.go": "the origin of the engine's clock, read once",
	}
	wallClockRead := regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)|time\.Unix(Milli|Micro)?\(|\.Round\(0\)`)
	root := "../.."
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	folders := regexp.MustCompile(`(?m)^node = \[(.*)\]`).FindSubmatch(deploy)
	if folders == nil {
		t.Fatal("deploy/balancer.toml: no list of node folders")
	}
	for folder := range strings.SplitSeq(string(folders[1]), ",") {
		files, _ := filepath.Glob(filepath.Join(root, strings.Trim(folder, ` "`), "*.go"))
		if len(files) == 0 {
			t.Errorf("no files in %s", folder)
		}
		for _, name := range files {
			relPath, _ := filepath.Rel(root, name)
			if strings.HasSuffix(name, "_test.go") || allowed[relPath] != "" {
				continue
			}
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			for i, line := range strings.Split(string(text), "\n") {
				if wallClockRead.MatchString(line) {
					t.Errorf("%s:%d reads the wall clock: %s", relPath, i+1, strings.TrimSpace(line))
				}
			}
		}
	}
}
