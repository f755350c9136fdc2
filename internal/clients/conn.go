package clients

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"glencart/internal/sock"
)

// Conn is a client's connection under watch. It shows nobody its socket: the platform may refuse sendfile and splice, which the
// library would use.
type Conn struct {
	net.Conn // the socket
	framing
	home  *Listener // where it has a place
	known net.Conn  // as the server knows it: itself, or the one of TLS over it

	// taking is held from when bytes leave the socket until they are marked, and while the connection is looked at and closed:
	// between the two a whole request is neither unread nor asking.
	taking sync.Mutex
	raw    syscall.RawConn // nil: not a socket
	take   func(fd uintptr) bool
	into   []byte // of the Read under way; net/http has one at a time
	took   int
	failed error
	// notBefore is when the next request can have come at the soonest: the listener's queue was empty then, or it is that of the
	// answer before. Of the connection's handlers, and of Track between two of them.
	notBefore time.Time

	cut        atomic.Bool   // the rest of a body is not waited for any more
	cutLingers time.Duration // and the connection may linger for so long then
	// headBy is until when the head of a further request has to be whole, from its first byte on; zero where none has begun. By taking.
	headBy time.Time
	// readBy is until when net/http wants to wait for what comes next; zero: for ever. By taking.
	readBy time.Time

	ended bool // by taking: it is ending, and linger is its owner. Nothing more is read: its client asks again elsewhere
}

// watch returns a connection of a client under watch.
func watch(c net.Conn, home *Listener) *Conn {
	f := &Conn{Conn: c, home: home, framing: framing{length: -1}}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			f.raw, f.take = raw, f.takeBytes
		}
	}
	return f
}

// SetReadDeadline is net/http's: once the connection is ending, linger's own holds, and a head that has begun has its own end.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.taking.Lock()
	defer c.taking.Unlock()
	if c.ended {
		return nil
	}
	c.readBy = t
	c.boundHead()
	return c.Conn.SetReadDeadline(c.deadline())
}

// boundHead begins the time for a head with its first byte, or, where that came before the answer to the request ahead of it, with
// that answer. net/http begins it with the fourth byte: until then who has sent less rests. With taking held.
func (c *Conn) boundHead() (began bool) {
	within := c.home.HeadWithin
	switch half := c.inHead() && !c.asking(); {
	case !half || within <= 0:
		c.headBy = time.Time{}
	case c.headBy.IsZero():
		c.headBy = time.Now().Add(within)
		return true
	}
	return false
}

// deadline is until when bytes are waited for. With taking held.
func (c *Conn) deadline() time.Time {
	if c.cut.Load() {
		return c.home.born // it has passed
	}
	if !c.headBy.IsZero() && (c.readBy.IsZero() || c.headBy.Before(c.readBy)) {
		return c.headBy
	}
	return c.readBy
}

// takeBytes takes what stands on the socket, and marks it. It tells whether there was anything, an end or an error.
func (c *Conn) takeBytes(fd uintptr) bool {
	c.taking.Lock()
	defer c.taking.Unlock()
	if c.ended {
		c.took, c.failed = 0, net.ErrClosed
		return true
	}
	for {
		c.took, c.failed = syscall.Read(int(fd), c.into)
		switch c.failed {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			return false
		case nil:
			c.mark(c.into[:max(c.took, 0)])
			if c.boundHead() {
				c.Conn.SetReadDeadline(c.deadline())
			}
		}
		return true
	}
}

// readAt is when a byte came last; zero: none has.
func (c *Conn) readAt() time.Time {
	if after := c.readAfter.Load(); after > 0 {
		return c.home.born.Add(time.Duration(after))
	}
	return time.Time{}
}

// mark takes in what has been read.
func (c *Conn) mark(p []byte) {
	if len(p) > 0 {
		c.readAfter.Store(int64(time.Since(c.home.born)))
	}
	c.saw(p)
}

func (c *Conn) Read(p []byte) (int, error) {
	if c.raw == nil || len(p) == 0 {
		n, err := c.Conn.Read(p)
		c.mark(p[:n])
		return n, err
	}
	c.into, c.took, c.failed = p, 0, nil
	err := c.raw.Read(c.take)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.asking() && !c.begun.Load() {
		// Nothing was read in time; but a request that came meanwhile ends the rest. package net doesn't look again.
		some := false
		if c.raw.Control(func(fd uintptr) { some = c.takeBytes(fd) }) == nil && some {
			err = nil
		} else {
			c.took, c.failed = 0, nil
		}
	}
	n, failed := max(c.took, 0), c.failed
	c.into, c.took, c.failed = nil, 0, nil
	if err == nil && failed == nil {
		if n == 0 {
			return 0, io.EOF
		}
		return n, nil
	}
	// As package net words it: net/http goes by that.
	word := &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr()}
	var raw *net.OpError
	switch {
	case errors.As(err, &raw):
		word.Err = raw.Err // a deadline, or closed
	case err != nil:
		word.Err = err
	case failed == net.ErrClosed:
		word.Err = failed
	default:
		word.Err = os.NewSyscallError("read", failed)
	}
	return 0, word
}

// stoodLeast is how long a request may have stood in the listener's queue without it being asked about.
const stoodLeast = 20 * time.Millisecond

// Stood is how long a request that has been read whole had stood there: its time began with its last byte, and its handler's when
// there was room to accept it, or the process came to read it. The kernel tells when data came last; no request came before the
// queue was empty, or before the answer to the one ahead of it.
func (c *Conn) Stood(now time.Time) time.Duration {
	most := now.Sub(c.notBefore)
	if most < stoodLeast {
		return 0
	}
	return min(most, sock.SinceData(c.Conn))
}

// unread tells whether something has come on the connection that has not been read.
func (c *Conn) unread() bool {
	n, _ := sock.Peek(c.Conn)
	return n > 0
}

// Of finds the watched connection under c, which may be one of TLS; nil if there is none.
func Of(c net.Conn) *Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	w, _ := c.(*Conn)
	return w
}

type connKey struct{}

// WithConn keeps a client's connection where its requests find it (http.Server's ConnContext).
func WithConn(ctx context.Context, c net.Conn) context.Context {
	w := Of(c)
	if w == nil {
		return ctx
	}
	w.known = c
	return context.WithValue(ctx, connKey{}, w)
}

// FromContext returns the connection that a request came on, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
