package node

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"glencart/balance"
	"glencart/internal/handover"
)

// A call on a backend that can't be written down for a while holds here all the same, has no yes, and is written down as soon as it
// can be: the process that follows has to know of it.
func TestACallOutlastsADiskThatFails(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string { return ok200("x") }))
	text := listText(1, true, listed{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	cfg.Management, cfg.Shared = "127.0.0.1:0", t.TempDir()
	n := start(t, cfg)
	eventually(t, "clients let in", n.running.Load)
	// A folder stands where the new file is to be written.
	blocked := filepath.Join(cfg.Shared, "glencart.state.new")
	if err := os.MkdirAll(filepath.Join(blocked, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	status, _ := n.call(t, "POST", "/control/backends/s/offline")
	if d := time.Since(began); status < 500 || d > time.Second {
		t.Errorf("answered %d after %v", status, d)
	}
	n.onLoop(t, func() {
		if _, _, phase, _ := n.loop.Backend("s"); phase != balance.Draining {
			t.Error("the call does not hold here")
		}
	})
	if err := os.RemoveAll(blocked); err != nil {
		t.Fatal(err)
	}
	next, err := handover.Open(cfg.Shared, cfg.Name, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	eventually(t, "written down", func() bool {
		calls := next.Calls()
		return len(calls) == 1 && calls[0].ID == "s" && calls[0].Out
	})
	if status, _ := n.call(t, "POST", "/control/backends/s/offline"); status != http.StatusOK {
		t.Errorf("asked again: %d", status)
	}
}
