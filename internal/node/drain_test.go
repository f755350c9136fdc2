package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	"glencart/balance"
	"glencart/internal/engine"
)

// A draining backend must get no new request. The balancer chooses it no more, and an attempt that is still dialing when the update
// arrives is not written.
func TestDrainStopsPendingDials(t *testing.T) {
	got := make(chan string, 8)
	serve := func(name string) func(net.Conn, *bufio.Reader) {
		return serveAnswers(func(*http.Request) string { got <- name; return ok200(name) })
	}
	old := newRawBackend(t, "127.0.0.1:0", serve("old"))
	other := newRawBackend(t, "127.0.0.1:0", serve("other"))
	text := listText(1, true, listedBackend{ID: "old", Addr: old.Addr().String(), Phase: "ready", Up: 0})
	reg := newRegistry(t, text)
	n, err := New(t.Context(), testConfig(t, reg.Addr, text), discardLog())
	if err != nil {
		t.Fatal(err)
	}
	dialing, proceed := make(chan struct{}, 8), make(chan struct{})
	n.pool.dialer.Control = func(_, addr string, _ syscall.RawConn) error {
		if addr == old.Addr().String() {
			dialing <- struct{}{}
			<-proceed
		}
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { n.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	s := &testNode{Node: n, url: "http://" + n.Addr().String()}
	answered := make(chan string, 1)
	go func() {
		_, body := doRequest(t, newTestRequest(t, s.url+"/api/x", "order"))
		answered <- body
	}()
	receive(t, "a dial", dialing)
	reg.Next <- listText(2, false, listedBackend{ID: "old", Addr: old.Addr().String(), Phase: "draining", Up: 0},
		listedBackend{ID: "new", Addr: other.Addr().String(), Phase: "ready", Up: 0})
	eventually(t, "the update", func() (applied bool) {
		s.runOnLoop(t, func() { applied = phaseOf(s, "old") == balance.Draining })
		return applied
	})
	close(proceed)
	// The request never ran, so the balancer may send it elsewhere or reject it. A node that has just started has no retry budget.
	if body := receive(t, "the answer", answered); body == "old" {
		t.Errorf("answered %q", body)
	}
	for range 3 {
		if _, body := doRequest(t, newTestRequest(t, s.url+"/api/x", "order")); body != "other" {
			t.Errorf("answered %q", body)
		}
	}
	to := engine.Endpoint{ID: "new", Addr: other.Addr().String()}
	eventually(t, "the end of the dial", func() bool {
		idle := len(n.pool.Idle(to))
		return idle > 0 && n.pool.Open() == idle // none to the old one
	})
	close(got)
	for name := range got {
		if name == "old" {
			t.Error("a draining backend received a request")
		}
	}
}

func phaseOf(n *testNode, id string) balance.Phase {
	_, _, phase, _ := n.loop.Backend(id)
	return phase
}
