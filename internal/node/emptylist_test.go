package node

import (
	"net/http"
	"testing"
	"time"
)

// What a whole list doesn't name is gone, also where it names nobody: nothing new goes out, and requests are refused until a list
// names a backend again.
func TestAWholeListOfNobody(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string { return ok200("x") }))
	text := listText(1, true, listed{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	reg := newRegistry(t, text)
	n := start(t, testConfig(t, reg.Addr, text))
	eventually(t, "clients let in", n.running.Load)
	if resp, _ := do(t, ask(t, n.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
		t.Fatalf("before: %d", resp.StatusCode)
	}
	reg.Next <- listText(2, true)
	told := time.Now()
	refused := func() bool {
		resp, _ := do(t, ask(t, n.url+"/api/x", "order"))
		return resp.StatusCode == http.StatusServiceUnavailable
	}
	eventually(t, "refused", refused)
	if d := time.Since(told); d > 500*time.Millisecond {
		t.Errorf("something new went out %v after the list", d)
	}
	if !refused() {
		t.Error("served again, by nobody")
	}
	reg.Next <- listText(3, false, listed{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	eventually(t, "served again", func() bool {
		resp, _ := do(t, ask(t, n.url+"/api/x", "order"))
		return resp.StatusCode == http.StatusOK
	})
}
