package node

import (
	"net/http"
	"testing"
)

// A request that was read has its final answer also where its handler panics, and the panic costs only its own connection.
func TestAPanicIsAnswered(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string { return ok200("x") }))
	text := listText(1, true, listed{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	n := start(t, testConfig(t, newRegistry(t, text).Addr, text))
	eventually(t, "clients let in", n.running.Load)
	tuning := n.front.tuning.Load()
	n.front.tuning.Store(nil) // what reads a request meets a nil pointer
	resp, err := http.DefaultTransport.RoundTrip(ask(t, n.url+"/api/x", "order"))
	n.front.tuning.Store(tuning)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	resp.Body.Close()
	if resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable {
		t.Errorf("answered %d: whether it has run is not known", resp.StatusCode)
	}
	if resp, _ := do(t, ask(t, n.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
		t.Errorf("the next one: %d", resp.StatusCode)
	}
	book := &n.front.book
	if book.Open() != 0 || book.Taken.Load() != 2 || book.Answered.Load() != 2 {
		t.Errorf("taken %d, answered %d, open %d", book.Taken.Load(), book.Answered.Load(), book.Open())
	}
}
