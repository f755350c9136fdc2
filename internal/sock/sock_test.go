package sock

import (
	"net"
	"testing"
	"time"

	"glencart/internal/standin"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t testing.TB) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); a.Close() })
	return a.(*net.TCPConn), c.(*net.TCPConn)
}

// A request of a client that has left would run for nothing. Gone must detect the end of a connection, however it happens, even behind
// unread bytes.
func TestGoneDetectsClosedConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		leave  func(far *net.TCPConn)
		unread int
		gone   bool
	}{
		"stays":                    {func(*net.TCPConn) {}, 0, false},
		"stays, and has written":   {func(*net.TCPConn) {}, 3, false},
		"closes":                   {func(c *net.TCPConn) { c.Close() }, 0, true},
		"closes, and has written":  {func(c *net.TCPConn) { c.Close() }, 3, true},
		"closes, much is unread":   {func(c *net.TCPConn) { c.Close() }, 32 << 10, true},
		"ends its sending":         {func(c *net.TCPConn) { c.CloseWrite() }, 3, true},
		"resets":                   {func(c *net.TCPConn) { standin.Reset(c) }, 0, true},
		"resets, and has written":  {func(c *net.TCPConn) { standin.Reset(c) }, 3, true},
		"we have ended, it stays":  {nil, 0, false},
		"we have ended, it closes": {func(c *net.TCPConn) { c.Close() }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := tcpPair(t)
			if tc.unread > 0 {
				far.Write(make([]byte, tc.unread))
				standin.Eventually(t, "unread bytes", func() bool { n, _ := Peek(near); return n > 0 })
			}
			if PeerClosed(near) {
				t.Fatal("gone before the other side closed")
			}
			if name == "we have ended, it stays" || name == "we have ended, it closes" {
				near.CloseWrite()
			}
			if tc.leave != nil {
				tc.leave(far)
			}
			if tc.gone {
				standin.Eventually(t, "gone", func() bool { return PeerClosed(near) })
			} else if PeerClosed(near) {
				t.Error("gone, but the other side is open")
			}
		})
	}
}

// If the state of a connection is unknown, its request must be served, so it doesn't count as gone.
func TestUnknownStateIsNotGone(t *testing.T) {
	near, far := tcpPair(t)
	far.Close()
	standin.Eventually(t, "gone", func() bool { return PeerClosed(near) })
	if PeerClosed(struct{ net.Conn }{near}) {
		t.Error("a connection without a socket is gone")
	}
	near.Close()
	if PeerClosed(near) {
		t.Error("a connection closed on this side is gone")
	}
	one, other := net.Pipe()
	other.Close()
	if PeerClosed(one) {
		t.Error("a pipe is gone")
	}
}

// BenchmarkGone measures the check before each attempt.
func BenchmarkGone(b *testing.B) {
	near, _ := tcpPair(b)
	near.SetDeadline(time.Time{})
	for b.Loop() {
		PeerClosed(near)
	}
}
