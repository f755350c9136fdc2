package node

import (
	"net/http"
	"testing"
	"time"
)

// A complete list removes every backend that it doesn't name, also when it is empty. If the node ignored an empty list, requests
// would still go to removed backends. It rejects them until a list names a backend again.
func TestEmptyListRemovesAllBackends(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string { return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	reg := newRegistry(t, text)
	n := startNode(t, testConfig(t, reg.Addr, text))
	eventually(t, "the node accepting clients", n.isServing.Load)
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
		t.Fatalf("before the empty list: %d", resp.StatusCode)
	}
	reg.Next <- listText(2, true)
	sentAt := time.Now()
	isRejected := func() bool {
		resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order"))
		return resp.StatusCode == http.StatusServiceUnavailable
	}
	eventually(t, "a rejected request", isRejected)
	if d := time.Since(sentAt); d > 500*time.Millisecond {
		t.Errorf("requests were rejected only %v after the list", d)
	}
	if !isRejected() {
		t.Error("a request was served without a backend")
	}
	reg.Next <- listText(3, false, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	eventually(t, "a served request", func() bool {
		resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order"))
		return resp.StatusCode == http.StatusOK
	})
}
