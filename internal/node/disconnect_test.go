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

// startChangedNode is like startNode, but calls change on the node before it runs.
func startChangedNode(t *testing.T, cfg Config, change func(*Node)) *testNode {
	t.Helper()
	n, err := New(t.Context(), cfg, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	change(n)
	ctx, cancel := context.WithCancel(context.Background())
	s := &testNode{Node: n, url: "http://" + n.Addr().String(), stop: cancel, result: make(chan error, 1)}
	ended := make(chan struct{})
	go func() {
		s.result <- n.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// recordingListener is a listener that records the connection it accepted last.
type recordingListener struct {
	net.Listener
	mu   sync.Mutex
	last net.Conn
}

func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	l.last = c
	l.mu.Unlock()
	return c, err
}

func (l *recordingListener) lastConn() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// gatedListener is a listener that accepts nothing until the channel gate is closed. Until then clients wait in the backlog.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.Listener.Accept()
}

// disconnects are the ways in which a client with an open request disconnects.
var disconnects = map[string]func(c net.Conn){
	"closes":                      func(c net.Conn) { c.Close() },
	"a byte, and closes":          func(c net.Conn) { io.WriteString(c, "G"); c.Close() },
	"another request, and closes": func(c net.Conn) { io.WriteString(c, readRequestText(99)); c.Close() },
	"48 KiB, and closes":          func(c net.Conn) { io.WriteString(c, strings.Repeat("x", 48<<10)); c.Close() },
	"a byte, and a half-close":    func(c net.Conn) { io.WriteString(c, "G"); c.(*net.TCPConn).CloseWrite() },
	"a byte, and resets":          func(c net.Conn) { io.WriteString(c, "G"); resetConn(c) },
}

// readRequestText returns a read request as text.
func readRequestText(i int) string {
	return fmt.Sprintf("GET /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: leaves-%d\r\nX-Qos: read\r\nX-Customer: acme\r\nX-Expires-In: 9\r\n\r\n", i)
}

// No attempt begins for a client that has disconnected, since no client would read its answer. The request may be waiting for the loop,
// for a connection to a backend, or for the end of an attempt. Its state is released.
func TestNoAttemptForDisconnectedClient(t *testing.T) {
	for _, waitsFor := range []string{"for the loop", "for a connection", "for its first attempt"} {
		t.Run(waitsFor, func(t *testing.T) {
			t.Parallel()
			began, dialing := make(chan string, 64), make(chan struct{}, 64)
			var gate atomic.Value // a chan struct{}; closing it releases what the request waits for
			serve := serveAnswers(func(r *http.Request) string {
				if !strings.HasPrefix(r.URL.Path, "/api/") {
					return ok200("{}")
				}
				began <- r.Header.Get("X-Trace-Id")
				<-gate.Load().(chan struct{})
				return "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
			})
			text := listText(1, true, listedBackend{ID: "s-0", Addr: newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), Phase: "ready"},
				listedBackend{ID: "s-1", Addr: newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), Phase: "ready"})
			cfg := testConfig(t, newRegistry(t, text).Addr, text)
			cfg.Settings.Config.Limits.RetriesPerSecond = 20
			accepted := &recordingListener{}
			n := startChangedNode(t, cfg, func(n *Node) {
				accepted.Listener, n.listener.Listener = n.listener.Listener, accepted
				n.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
					dialing <- struct{}{}
					if waitsFor == "for a connection" {
						<-gate.Load().(chan struct{})
					}
					return nil
				}
			})
			eventually(t, "the node accepting clients", n.isServing.Load)
			i := 0
			for way, leave := range disconnects {
				if waitsFor == "for its first attempt" && way != "a byte, and closes" {
					continue // only the first case: a node that has seen nothing but 503s sends no second attempt
				}
				i++
				next := make(chan struct{})
				release := sync.OnceFunc(func() { close(next) })
				defer release()
				gate.Store(next)
				for len(dialing) > 0 {
					<-dialing
				}
				if waitsFor == "for the loop" {
					n.loop.Post(func() { <-next })
				}
				before := n.front.requestCounts.ClientLeft.Load()
				c := n.dial(t)
				io.WriteString(c, readRequestText(i))
				eventually(t, "the accepted request", func() bool { return n.front.inFlight.Load() == 1 })
				switch waitsFor {
				case "for a connection":
					receive(t, "a dial", dialing)
				case "for its first attempt":
					receive(t, "the first attempt", began)
				}
				leave(c)
				eventually(t, "the disconnect", func() bool { return sock.PeerClosed(accepted.lastConn()) || n.front.connections() == 0 })
				release()
				eventually(t, "the release of the request and its connection", func() bool {
					return n.openRequests(t) == 0 && n.front.inFlight.Load() == 0 && n.front.connections() == 0
				})
				select {
				case id := <-began:
					t.Errorf("%s: an attempt for %s began after its client had disconnected", way, id)
				default:
				}
				if left := n.front.requestCounts.ClientLeft.Load() - before; left != 1 {
					t.Errorf("%s: %d clients counted as disconnected", way, left)
				}
			}
		})
	}
}

// No attempt begins for a client that disconnected while its request was still in the backlog of the listener. The node reads a
// whole request there, followed by an end of the stream.
func TestNoAttemptForClientDisconnectedInBacklog(t *testing.T) {
	t.Parallel()
	var attempts atomic.Int32
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		if strings.HasPrefix(r.URL.Path, "/api/") {
			attempts.Add(1)
		}
		return ok200("{}")
	}))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	gate := make(chan struct{})
	openGate := sync.OnceFunc(func() { close(gate) })
	n := startChangedNode(t, testConfig(t, newRegistry(t, text).Addr, text), func(n *Node) {
		n.listener.Listener = gatedListener{n.listener.Listener, gate}
	})
	defer openGate() // before the node ends
	eventually(t, "the node accepting clients", n.isServing.Load)
	const clientCount = 24
	var conns []net.Conn
	for i := range clientCount {
		c := n.dial(t)
		io.WriteString(c, readRequestText(i))
		if i%2 == 0 {
			io.WriteString(c, "GET /")
		}
		c.(*net.TCPConn).CloseWrite()
		conns = append(conns, c)
	}
	for _, c := range conns {
		eventually(t, "the disconnect", func() bool { return standin.Acknowledged(c) })
		c.Close()
	}
	openGate()
	eventually(t, "all connections accepted", func() bool { return n.front.requestCounts.Accepted.Load() == clientCount })
	eventually(t, "the release of the requests and their connections", func() bool {
		return n.openRequests(t) == 0 && n.front.inFlight.Load() == 0 && n.front.connections() == 0
	})
	if got := attempts.Load(); got > 0 {
		t.Errorf("attempts began for %d of %d disconnected clients", got, clientCount)
	}
}

// A disconnect must also be noticed where unread bytes of the client precede it, since a read returns those first. The attempt ends
// and the request slot is free again.
func TestDisconnectBehindUnreadBytesIsDetected(t *testing.T) {
	t.Parallel()
	begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if r, err := http.ReadRequest(br); err == nil && strings.HasPrefix(r.URL.Path, "/api/") {
			begun <- struct{}{}
			io.Copy(io.Discard, br)
			ended <- struct{}{}
		}
	})
	n := startNodeWithBackends(t, b.Addr().String())
	c := n.dial(t)
	io.WriteString(c, readRequestText(1))
	receive(t, "the attempt", begun)
	disconnectedAt := time.Now()
	disconnects["a byte, and closes"](c)
	receive(t, "the end of the attempt", ended)
	eventually(t, "the release of the request and its connection", func() bool {
		return n.openRequests(t) == 0 && n.front.inFlight.Load() == 0 && n.front.connections() == 0
	})
	if d := time.Since(disconnectedAt); d > 3*time.Second { // the deadline is 9 s
		t.Errorf("disconnect noticed only after %v", d)
	}
}
