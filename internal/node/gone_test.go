package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"glencart/internal/sock"
	"glencart/internal/standin"
)

// startAs is start for a node that is changed before it runs.
func startAs(t *testing.T, cfg Config, change func(*Node)) *started {
	t.Helper()
	n, err := New(t.Context(), cfg, quiet())
	if err != nil {
		t.Fatal(err)
	}
	change(n)
	ctx, cancel := context.WithCancel(context.Background())
	s := &started{Node: n, url: "http://" + n.Addr().String(), stop: cancel, err: make(chan error, 1)}
	ended := make(chan struct{})
	go func() {
		s.err <- n.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// letIn keeps the connections that a listener has let in.
type letIn struct {
	net.Listener
	mu   sync.Mutex
	last net.Conn
}

func (l *letIn) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	l.last = c
	l.mu.Unlock()
	return c, err
}

func (l *letIn) conn() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// closedYet lets nobody in until its gate is open: they stand in the queue.
type closedYet struct {
	net.Listener
	gate chan struct{}
}

func (l closedYet) Accept() (net.Conn, error) {
	<-l.gate
	return l.Listener.Accept()
}

// waysToLeave are what a client does that has asked.
var waysToLeave = map[string]func(c net.Conn){
	"closes":                   func(c net.Conn) { c.Close() },
	"a byte, and closes":       func(c net.Conn) { io.WriteString(c, "G"); c.Close() },
	"asks again, and closes":   func(c net.Conn) { io.WriteString(c, leavesText(99)); c.Close() },
	"sends much, and closes":   func(c net.Conn) { io.WriteString(c, strings.Repeat("x", 48<<10)); c.Close() },
	"a byte, ends its sending": func(c net.Conn) { io.WriteString(c, "G"); c.(*net.TCPConn).CloseWrite() },
	"a byte, and resets":       func(c net.Conn) { io.WriteString(c, "G"); reset(c) },
}

func leavesText(i int) string {
	return fmt.Sprintf("GET /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: leaves-%d\r\nX-Qos: read\r\nX-Customer: acme\r\nX-Expires-In: 9\r\n\r\n", i)
}

// A client that has left gets no attempt begun, whatever its request waits for: the loop, a connection to a backend, or the end of
// an attempt; and nothing of it stays.
func TestNothingIsBegunForAClientThatLeft(t *testing.T) {
	for _, waits := range []string{"for the loop", "for a connection", "for its first attempt"} {
		t.Run(waits, func(t *testing.T) {
			t.Parallel()
			began, dialing := make(chan string, 64), make(chan struct{}, 64)
			var gate atomic.Value // of chan struct{}: what the request waits for ends when it is closed
			serve := answering(func(r *http.Request) string {
				if !strings.HasPrefix(r.URL.Path, "/api/") {
					return ok200("{}")
				}
				began <- r.Header.Get("X-Trace-Id")
				<-gate.Load().(chan struct{})
				return "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
			})
			text := listText(1, true, listed{ID: "s-0", Addr: newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), Phase: "ready"},
				listed{ID: "s-1", Addr: newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), Phase: "ready"})
			cfg := testConfig(t, newRegistry(t, text).Addr, text)
			cfg.Settings.Config.Limits.FreeRetries = 20
			in := &letIn{}
			n := startAs(t, cfg, func(n *Node) {
				in.Listener, n.listener.Listener = n.listener.Listener, in
				n.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
					dialing <- struct{}{}
					if waits == "for a connection" {
						<-gate.Load().(chan struct{})
					}
					return nil
				}
			})
			eventually(t, "clients let in", n.running.Load)
			i := 0
			for way, leave := range waysToLeave {
				if waits == "for its first attempt" && way != "a byte, and closes" {
					continue // a node to each: whose only answers were 503s sends no second attempt
				}
				i++
				next := make(chan struct{})
				release := sync.OnceFunc(func() { close(next) })
				defer release()
				gate.Store(next)
				for len(dialing) > 0 {
					<-dialing
				}
				if waits == "for the loop" {
					n.loop.Post(func() { <-next })
				}
				before := n.front.book.Left.Load()
				c := n.dial(t)
				io.WriteString(c, leavesText(i))
				eventually(t, "the request taken", func() bool { return n.front.inFlight.Load() == 1 })
				switch waits {
				case "for a connection":
					receive(t, "a dial", dialing)
				case "for its first attempt":
					receive(t, "the first attempt", began)
				}
				leave(c)
				eventually(t, "gone", func() bool { return sock.Gone(in.conn()) || n.front.connections() == 0 })
				release()
				eventually(t, "nothing of it", func() bool {
					return n.open(t) == 0 && n.front.inFlight.Load() == 0 && n.front.connections() == 0
				})
				select {
				case id := <-began:
					t.Errorf("%s: an attempt for %s was begun after its client left", way, id)
				default:
				}
				if left := n.front.book.Left.Load() - before; left != 1 {
					t.Errorf("%s: left: %d", way, left)
				}
			}
		})
	}
}

// A client that left while its request stood in the listener's queue gets no attempt either.
func TestNothingIsBegunForAClientThatLeftTheQueue(t *testing.T) {
	t.Parallel()
	var begun atomic.Int32
	b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string {
		if strings.HasPrefix(r.URL.Path, "/api/") {
			begun.Add(1)
		}
		return ok200("{}")
	}))
	text := listText(1, true, listed{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	gate := make(chan struct{})
	open := sync.OnceFunc(func() { close(gate) })
	n := startAs(t, testConfig(t, newRegistry(t, text).Addr, text), func(n *Node) {
		n.listener.Listener = closedYet{n.listener.Listener, gate}
	})
	defer open() // the node ends after it
	eventually(t, "clients let in", n.running.Load)
	const leave = 24
	var left []net.Conn
	for i := range leave {
		c := n.dial(t)
		io.WriteString(c, leavesText(i))
		if i%2 == 0 {
			io.WriteString(c, "GET /")
		}
		c.(*net.TCPConn).CloseWrite()
		left = append(left, c)
	}
	for _, c := range left {
		eventually(t, "gone", func() bool { return standin.Acknowledged(c) })
		c.Close()
	}
	open()
	eventually(t, "all let in", func() bool { return n.front.book.Taken.Load() == leave })
	eventually(t, "nothing of them", func() bool {
		return n.open(t) == 0 && n.front.inFlight.Load() == 0 && n.front.connections() == 0
	})
	if got := begun.Load(); got > 0 {
		t.Errorf("%d of %d had an attempt begun", got, leave)
	}
}

// A client that leaves behind bytes that nobody reads is missed all the same: its attempt ends, and its place is free.
func TestWhoLeavesBehindUnreadBytesIsMissed(t *testing.T) {
	t.Parallel()
	begun, over := make(chan struct{}, 1), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if r, err := http.ReadRequest(br); err == nil && strings.HasPrefix(r.URL.Path, "/api/") {
			begun <- struct{}{}
			io.Copy(io.Discard, br)
			over <- struct{}{}
		}
	})
	n := startOn(t, b.Addr().String())
	c := n.dial(t)
	io.WriteString(c, leavesText(1))
	receive(t, "the attempt", begun)
	at := time.Now()
	waysToLeave["a byte, and closes"](c)
	receive(t, "the end of the attempt", over)
	eventually(t, "nothing of it", func() bool {
		return n.open(t) == 0 && n.front.inFlight.Load() == 0 && n.front.connections() == 0
	})
	if d := time.Since(at); d > 3*time.Second { // it had 9 s
		t.Errorf("missed after %v", d)
	}
}
