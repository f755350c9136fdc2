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

// Where connections that were idle for a while break under the next request, and fresh ones do not, requests come
// to go out on fresh ones. A kept connection that was used just before goes on being used.
func TestWornConnectionsCarryNoRequests(t *testing.T) {
	const life = 60 * time.Millisecond
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for last := time.Now(); ; last = time.Now() {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if time.Since(last) > life {
				reset(c)
				return
			}
			io.WriteString(c, ok200("x"))
		}
	})
	x, to := exchangesFor(t), engine.Endpoint{Addr: b.Addr().String()}
	row := 0
	eventually(t, "no broken request, ten times", func() bool {
		if row++; try(t, x, to, get("id")).Status != balance.Delivered {
			row = 0
		}
		time.Sleep(2 * life)
		return row == 10
	})
	for try(t, x, to, get("id")).Status != balance.Delivered {
	}
	n := b.Accepted.Load()
	if try(t, x, to, get("id")).Status != balance.Delivered || b.Accepted.Load() > n+1 {
		t.Errorf("a connection used just before: %d dialed", b.Accepted.Load()-n)
	}
}

// Breaks that fresh connections suffer too are no reason to dial, and nor is what was seen long ago.
func TestWearIsJudgedAgainstFreshConnections(t *testing.T) {
	var w wear
	for i := range 400 {
		w.note(0, i%10 == 0)
		w.note(400*time.Millisecond, i%10 == 0)
	}
	if w.worn(400 * time.Millisecond) {
		t.Error("worn, though fresh ones break as often")
	}
	for i := range 100 {
		w.note(400*time.Millisecond, i%2 == 0)
	}
	if !w.worn(400*time.Millisecond) || !w.worn(3*time.Second) || w.worn(200*time.Millisecond) || w.worn(0) {
		t.Error("half of those idle for 400 ms broke, and it is not held against just these and older ones")
	}
	w.aged[w.class(400*time.Millisecond)].at = time.Now().Add(-time.Minute)
	if w.worn(400 * time.Millisecond) {
		t.Error("never forgotten")
	}
}
