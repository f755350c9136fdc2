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

// An operator's call that takes a backend out of service must not be lost when the disk fails. The call applies to this process and
// is answered with an error. The node stores it as soon as it can, since a successor reads it from there.
func TestOperatorCallIsStoredAfterDiskFailure(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string { return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	cfg.Management, cfg.Shared = "127.0.0.1:0", t.TempDir()
	n := startNode(t, cfg)
	eventually(t, "the node accepting clients", n.isServing.Load)
	// A folder of the name of the new file makes the write fail.
	blocked := filepath.Join(cfg.Shared, "glencart.state.new")
	if err := os.MkdirAll(filepath.Join(blocked, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	status, _ := n.callManagement(t, "POST", "/control/backends/s/offline")
	if d := time.Since(began); status < 500 || d > time.Second {
		t.Errorf("call with a failing disk: answered %d after %v", status, d)
	}
	n.runOnLoop(t, func() {
		if _, _, phase, _ := n.loop.Backend("s"); phase != balance.Draining {
			t.Error("the call was not applied")
		}
	})
	if err := os.RemoveAll(blocked); err != nil {
		t.Fatal(err)
	}
	successor, err := handover.Open(cfg.Shared, cfg.Name, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	eventually(t, "the stored call", func() bool {
		calls := successor.Calls()
		return len(calls) == 1 && calls[0].ID == "s" && calls[0].OutOfService
	})
	if status, _ := n.callManagement(t, "POST", "/control/backends/s/offline"); status != http.StatusOK {
		t.Errorf("call repeated after the failure: %d", status)
	}
}
