package node

import (
	"net/http"
	"testing"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
)

// Each probe that timed out closed its connection, and the next one needed a new one. Backends that were too busy to reply spent the rest of
// their time on connections. A late reply must leave its connection to the next probe, but not where requests need the room.
func TestLateProbeLeavesItsConnection(t *testing.T) {
	for name, maxConns := range map[string]int{"room": 16, "no room to spare": 1} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{}, 2)
			b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string {
				<-release
				return ok200("TEXT inflight=1")
			}))
			x := newTestTransport(t)
			x.pool.Resize(maxConns)
			done := make(chan engine.Result, 2)
			to := engine.Endpoint{ID: "s", Addr: b.Addr().String()}
			began := time.Now()
			x.Probe(to, func(r engine.Result) { done <- r })
			if r := receive(t, "the result of the probe", done); r.Status != balance.Expired || time.Since(began) < probeTimeout {
				t.Fatalf("status %d after %v, want a time-out", r.Status, time.Since(began))
			}
			if maxConns == 1 {
				eventually(t, "the end of the connection", func() bool { return x.pool.Open() == 0 })
				return
			}
			release <- struct{}{}
			eventually(t, "the connection in the pool", func() bool { return len(x.pool.Idle(to)) == 1 })
			release <- struct{}{}
			x.Probe(to, func(r engine.Result) { done <- r })
			if r := receive(t, "the second result", done); r.Status != balance.Delivered || b.Accepted.Load() != 1 {
				t.Errorf("status %d, %d connections, want a reply on the first one", r.Status, b.Accepted.Load())
			}
			if len(done) > 0 {
				t.Error("a probe had two results")
			}
		})
	}
}
