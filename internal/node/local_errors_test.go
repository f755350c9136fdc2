package node

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
)

// A node whose address is still in use by a process that is ending must not fail at its start. It tries again until the address is
// free.
func TestStartWaitsForBusyAddress(t *testing.T) {
	const heldFor = 300 * time.Millisecond
	for _, which := range []string{"listen", "management"} {
		t.Run(which, func(t *testing.T) {
			t.Parallel()
			occupant, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			text := listText(1, true, listedBackend{ID: "s", Addr: "127.0.0.1:1", Phase: "ready"})
			cfg := testConfig(t, newRegistry(t, text).Addr, text)
			if which == "listen" {
				cfg.Listen = occupant.Addr().String()
			} else {
				cfg.Management = occupant.Addr().String()
			}
			time.AfterFunc(heldFor, func() { occupant.Close() })
			n := startNode(t, cfg)
			eventually(t, "the node accepting clients", n.isServing.Load)
		})
	}
}

// Errors of connect(2) and socket(2) for want of local ports, descriptors or memory must not count against the backend. The dial is
// repeated, and if it keeps failing the attempt is Unused.
func TestLocalDialErrorsDoNotCountAgainstBackend(t *testing.T) {
	for _, localErr := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(localErr.Error(), func(t *testing.T) {
			t.Parallel()
			b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string { return ok200("x") }))
			x, to := newTestTransport(t), engine.Endpoint{Addr: b.Addr().String()}
			var dials atomic.Int32
			maxFailures := atomic.Int32{}
			maxFailures.Store(2)
			x.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
				if dials.Add(1) <= maxFailures.Load() {
					return localErr
				}
				return nil
			}
			if r := attemptOnce(t, x, to, getMessage("a moment")); r.Status != balance.Delivered {
				t.Errorf("after two failed dials: %v", r.Status)
			}
			x.pool.Drop(to)
			dials.Store(0)
			maxFailures.Store(1 << 20)
			done := make(chan engine.Result, 1)
			x.attempt(to, getMessage("for long"), time.Now().Add(200*time.Millisecond), func(r engine.Result) { done <- r })
			if r := receive(t, "the result of the attempt", done); r.Status != balance.Unused {
				t.Errorf("with dials that keep failing: %v", r.Status)
			}
			if dials.Load() > 200 {
				t.Errorf("%d dials in 200 ms", dials.Load())
			}
		})
	}
}

// ETIMEDOUT, EHOSTUNREACH and the like may come from a connection that breaks under a request, which may have run, or from one that was
// never established, whose request never ran. The second kind is DialFailed, and not a refusal.
func TestUnreachableBackendIsDialFailed(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", func(net.Conn, *bufio.Reader) {})
	for _, dialErr := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNABORTED} {
		x, to := newTestTransport(t), engine.Endpoint{Addr: b.Addr().String()}
		x.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error { return dialErr }
		done := make(chan engine.Result, 1)
		x.attempt(to, getMessage("unreachable"), time.Now().Add(time.Second), func(r engine.Result) { done <- r })
		if r := receive(t, "the result of the attempt", done); r.Status != balance.DialFailed || r.Refused {
			t.Errorf("%v: %v, refused %v", dialErr, r.Status, r.Refused)
		}
	}
}
