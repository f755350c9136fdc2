package node

import (
	"net/http"
	"testing"
)

// A panic in the handler of a request must not leave its client without an answer or end the node. The answer is a failure and not a
// 503, since the request may have run.
func TestHandlerPanicIsAnswered(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string { return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text))
	eventually(t, "the node accepting clients", n.isServing.Load)
	tuning := n.front.settings.Load()
	n.front.settings.Store(nil) // makes the handler panic on a nil pointer
	resp, err := http.DefaultTransport.RoundTrip(newTestRequest(t, n.url+"/api/x", "order"))
	n.front.settings.Store(tuning)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	resp.Body.Close()
	if resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable {
		t.Errorf("answered %d, want a failure since the request may have run", resp.StatusCode)
	}
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
		t.Errorf("next request: %d", resp.StatusCode)
	}
	book := &n.front.requestCounts
	if book.Open() != 0 || book.Accepted.Load() != 2 || book.Answered.Load() != 2 {
		t.Errorf("accepted %d, answered %d, open %d", book.Accepted.Load(), book.Answered.Load(), book.Open())
	}
}
