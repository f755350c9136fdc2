package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// A request had no final answer while the loop was held up, since its deadline was a timer of the loop. Its client must have the answer
// in time whatever the loop does, and the request must not be sent to a backend afterwards.
func TestRequestIsAnsweredWhileLoopIsHeldUp(t *testing.T) {
	var attempts atomic.Int64
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, r *bufio.Reader) {
		serveAnswers(func(r *http.Request) string {
			attempts.Add(1)
			return ok200("x")
		})(c, r)
	})
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text))
	eventually(t, "the node accepting clients", n.isServing.Load)
	held, release := make(chan struct{}), make(chan struct{})
	n.loop.Post(func() {
		close(held)
		<-release
	})
	receive(t, "the loop held up", held)
	request := newTestRequest(t, n.url+"/api/x", "order")
	const budget = 200 * time.Millisecond
	request.Header.Set("X-Expires-In", "0.200")
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	sentAt := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(request.WithContext(ctx))
	late := time.Since(sentAt) - budget
	close(release)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusGatewayTimeout || late > 500*time.Millisecond {
		t.Errorf("answered %d, %v after its time", resp.StatusCode, late)
	}
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
		t.Errorf("next request: %d", resp.StatusCode)
	}
	if attempts.Load() != 1 {
		t.Errorf("%d attempts of two requests, want only that of the second", attempts.Load())
	}
	if n.front.lateAnswers.overdue.Load() != 1 {
		t.Errorf("%d overdue requests counted", n.front.lateAnswers.overdue.Load())
	}
}
