package sock

import (
	"net"
	"testing"
	"time"

	"glencart/internal/standin"
)

// pair is a TCP connection, from both sides.
func pair(t testing.TB) (near, far *net.TCPConn) {
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

// The end of a connection is seen in whichever way it came, also behind bytes that nobody has read.
func TestGone(t *testing.T) {
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
			near, far := pair(t)
			if tc.unread > 0 {
				far.Write(make([]byte, tc.unread))
				standin.Eventually(t, "something unread", func() bool { n, _ := Peek(near); return n > 0 })
			}
			if Gone(near) {
				t.Fatal("gone before it left")
			}
			if name == "we have ended, it stays" || name == "we have ended, it closes" {
				near.CloseWrite()
			}
			if tc.leave != nil {
				tc.leave(far)
			}
			if tc.gone {
				standin.Eventually(t, "gone", func() bool { return Gone(near) })
			} else if Gone(near) {
				t.Error("gone, and it stays")
			}
		})
	}
}

// What can't be looked at is not gone: its request is served.
func TestGoneWhereItCannotBeTold(t *testing.T) {
	near, far := pair(t)
	far.Close()
	standin.Eventually(t, "gone", func() bool { return Gone(near) })
	if Gone(struct{ net.Conn }{near}) {
		t.Error("no socket to look at, and gone")
	}
	near.Close()
	if Gone(near) {
		t.Error("closed here, and gone")
	}
	one, other := net.Pipe()
	other.Close()
	if Gone(one) {
		t.Error("a pipe, and gone")
	}
}

// BenchmarkGone is what the look before each attempt costs.
func BenchmarkGone(b *testing.B) {
	near, _ := pair(b)
	near.SetDeadline(time.Time{})
	for b.Loop() {
		Gone(near)
	}
}
