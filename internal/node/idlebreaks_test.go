package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
)

// Something on the way, or a backend with a shorter idle time than configured, may drop idle connections silently. The next request on
// one breaks and may have run. The node learns this and dials new connections instead, but still reuses one that was used just before.
func TestConnectionsPastBackendIdleTimeAreNotReused(t *testing.T) {
	const backendIdleClose = 60 * time.Millisecond
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for last := time.Now(); ; last = time.Now() {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if time.Since(last) > backendIdleClose {
				resetConn(c)
				return
			}
			io.WriteString(c, ok200("x"))
		}
	})
	x, to := newTestTransport(t), engine.Endpoint{Addr: b.Addr().String()}
	inRow := 0
	eventually(t, "ten delivered requests in a row", func() bool {
		if inRow++; attemptOnce(t, x, to, getMessage("id")).Status != balance.Delivered {
			inRow = 0
		}
		time.Sleep(2 * backendIdleClose)
		return inRow == 10
	})
	for attemptOnce(t, x, to, getMessage("id")).Status != balance.Delivered {
	}
	n := b.Accepted.Load()
	if attemptOnce(t, x, to, getMessage("id")).Status != balance.Delivered || b.Accepted.Load() > n+1 {
		t.Errorf("after a connection used just before: %d dialed", b.Accepted.Load()-n)
	}
}

// Breaks that new connections suffer as often, or that happened long ago, must not make the node stop reusing connections. Dialing
// costs round trips and work at the backend.
func TestIdleBreakRateIsComparedWithNewConnections(t *testing.T) {
	var w idleBreakRates
	for i := range 400 {
		w.record(0, i%10 == 0)
		w.record(400*time.Millisecond, i%10 == 0)
	}
	if w.breaksTooOften(400 * time.Millisecond) {
		t.Error("idle connections rejected although new ones break as often")
	}
	for i := range 100 {
		w.record(400*time.Millisecond, i%2 == 0)
	}
	if !w.breaksTooOften(400*time.Millisecond) || !w.breaksTooOften(3*time.Second) || w.breaksTooOften(200*time.Millisecond) || w.breaksTooOften(0) {
		t.Error("half of the connections idle for 400 ms broke, but not exactly these and older ones are rejected")
	}
	w.byIdleAge[w.ageClass(400*time.Millisecond)].at = time.Now().Add(-time.Minute)
	if w.breaksTooOften(400 * time.Millisecond) {
		t.Error("breaks of a minute ago still count")
	}
}
