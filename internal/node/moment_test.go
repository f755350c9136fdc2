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

// The addresses of a node may be taken for a moment at its start, as by a process that is just ending: it waits, and serves.
func TestStartsWhenAnAddressComesFree(t *testing.T) {
	const held = 300 * time.Millisecond
	for _, which := range []string{"listen", "management"} {
		t.Run(which, func(t *testing.T) {
			t.Parallel()
			before, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			text := listText(1, true, listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready"})
			cfg := testConfig(t, newRegistry(t, text).Addr, text)
			if which == "listen" {
				cfg.Listen = before.Addr().String()
			} else {
				cfg.Management = before.Addr().String()
			}
			time.AfterFunc(held, func() { before.Close() })
			n := start(t, cfg)
			eventually(t, "clients let in", n.running.Load)
		})
	}
}

// What this machine lacks for a moment (connect(2), socket(2)) is no backend's fault: the connection is tried again, and while it
// still can't be had, nothing is said of the backend.
func TestLocalFailuresAreNotTheBackends(t *testing.T) {
	for _, lack := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(lack.Error(), func(t *testing.T) {
			t.Parallel()
			b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string { return ok200("x") }))
			x, to := exchangesFor(t), engine.Endpoint{Addr: b.Addr().String()}
			var calls atomic.Int32
			lasts := atomic.Int32{}
			lasts.Store(2)
			x.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
				if calls.Add(1) <= lasts.Load() {
					return lack
				}
				return nil
			}
			if r := try(t, x, to, get("a moment")); r.Status != balance.Delivered {
				t.Errorf("two failures, and then none: %v", r.Status)
			}
			x.pool.drop(to)
			calls.Store(0)
			lasts.Store(1 << 20)
			done := make(chan engine.Result, 1)
			x.attempt(to, get("for long"), time.Now().Add(200*time.Millisecond), func(r engine.Result) { done <- r })
			if r := receive(t, "the outcome", done); r.Status != balance.Unused {
				t.Errorf("it goes on: %v", r.Status)
			}
			if calls.Load() > 200 {
				t.Errorf("%d calls in 200 ms", calls.Load())
			}
		})
	}
}

// A connection that carries a request and breaks may show as ETIMEDOUT or EHOSTUNREACH, and one that never comes up too: the first may
// have run, the second never did.
func TestUnreachableNeverRan(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", func(net.Conn, *bufio.Reader) {})
	for _, broken := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNABORTED} {
		x, to := exchangesFor(t), engine.Endpoint{Addr: b.Addr().String()}
		x.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error { return broken }
		done := make(chan engine.Result, 1)
		x.attempt(to, get("unreachable"), time.Now().Add(time.Second), func(r engine.Result) { done <- r })
		if r := receive(t, "the outcome", done); r.Status != balance.DialFailed || r.Refused {
			t.Errorf("%v: %v, refused %v", broken, r.Status, r.Refused)
		}
	}
}
