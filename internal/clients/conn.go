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

// Conn is a client's connection whose requests are tracked. It doesn't expose its socket, because net/http would use sendfile
// and splice, which the platform may forbid.
type Conn struct {
	net.Conn // the socket
	framing
	home  *Listener // the listener that counts it
	known net.Conn  // the connection that http.Server uses: this one, or the TLS connection over it

	// readMu is held while bytes are read from the socket and recorded, and while the connection is checked and closed. In
	// between, a whole request would count neither as unread nor as unanswered.
	taking sync.Mutex
	raw    syscall.RawConn // nil: not a socket
	take   func(fd uintptr) bool
	into   []byte // buffer of the current Read; net/http calls one at a time
	took   int
	failed error
	// notBefore is the earliest time at which the next request can have arrived. It is the last time that the listener's queue
	// was empty, or the time of the previous answer. It belongs to the connection's handlers, and to Track between two of them.
	notBefore time.Time

	cut        atomic.Bool   // the wait for the rest of a body was ended
	cutLingers time.Duration // how long the connection may linger after that
	// headDeadline is the deadline for the whole head of a further request, set at its first byte. It is zero if no head has
	// begun. Guarded by readMu.
	headBy time.Time
	// readDeadline is the read deadline that net/http has set; zero: none. Guarded by readMu.
	readBy time.Time

	ended bool // guarded by readMu. linger owns the connection and no request is read: the client retries elsewhere
}

// newConn returns a Conn over a client's connection.
func watch(c net.Conn, listener *Listener) *Conn {
	conn := &Conn{Conn: c, home: listener, framing: framing{length: -1}}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			conn.raw, conn.take = raw, conn.takeBytes
		}
	}
	return conn
}

// SetReadDeadline sets the read deadline of net/http. It has no effect on a closing connection, where linger has set its own. The
// deadline of a partial head still applies.
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

// startHeadTimeout starts the time limit for a head at its first byte. If that byte came before the answer to the previous
// request, the limit starts at that answer. net/http starts its own at the fourth byte and treats a connection with
// fewer as idle. It requires readMu.
func (c *Conn) boundHead() (started bool) {
	timeout := c.home.HeadWithin
	switch partialHead := c.inHead() && !c.asking(); {
	case !partialHead || timeout <= 0:
		c.headBy = time.Time{}
	case c.headBy.IsZero():
		c.headBy = time.Now().Add(timeout)
		return true
	}
	return false
}

// deadline returns the effective read deadline. It requires readMu.
func (c *Conn) deadline() time.Time {
	if c.cut.Load() {
		return c.home.born // in the past
	}
	if !c.headBy.IsZero() && (c.readBy.IsZero() || c.headBy.Before(c.readBy)) {
		return c.headBy
	}
	return c.readBy
}

// readSocket reads from the socket without blocking and records the bytes. It reports whether it got bytes, an end or an error.
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

// lastReadAt returns the time of the last byte; zero: none.
func (c *Conn) readAt() time.Time {
	if offset := c.readAfter.Load(); offset > 0 {
		return c.home.born.Add(time.Duration(offset))
	}
	return time.Time{}
}

// recordRead records bytes that have been read.
func (c *Conn) mark(p []byte) {
	if len(p) > 0 {
		c.readAfter.Store(int64(time.Since(c.home.born)))
	}
	c.saw(p)
}

// Read reads from the socket and records the bytes.
func (c *Conn) Read(p []byte) (int, error) {
	if c.raw == nil || len(p) == 0 {
		n, err := c.Conn.Read(p)
		c.mark(p[:n])
		return n, err
	}
	c.into, c.took, c.failed = p, 0, nil
	err := c.raw.Read(c.take)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.asking() && !c.begun.Load() {
		// A request may have arrived at the moment of the deadline. Package net doesn't check again, so it would be lost.
		hasInput := false
		if c.raw.Control(func(fd uintptr) { hasInput = c.takeBytes(fd) }) == nil && hasInput {
			err = nil
		} else {
			c.took, c.failed = 0, nil
		}
	}
	n, readErr := max(c.took, 0), c.failed
	c.into, c.took, c.failed = nil, 0, nil
	if err == nil && readErr == nil {
		if n == 0 {
			return 0, io.EOF
		}
		return n, nil
	}
	// net/http depends on errors of the form that package net returns.
	opErr := &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr()}
	var raw *net.OpError
	switch {
	case errors.As(err, &raw):
		opErr.Err = raw.Err // deadline exceeded or connection closed
	case err != nil:
		opErr.Err = err
	case readErr == net.ErrClosed:
		opErr.Err = readErr
	default:
		opErr.Err = os.NewSyscallError("read", readErr)
	}
	return 0, opErr
}

// minQueueTime is the shortest possible wait for which Stood asks the kernel. Below it Stood returns 0.
const stoodLeast = 20 * time.Millisecond

// Stood returns how long a request waited in the kernel before it was read. The time for a request starts with its last
// byte, but its handler starts only after the connection is accepted and read. The kernel has the time of the last data. A
// request can't have come before the queue was last empty, or before the previous answer.
func (c *Conn) Stood(now time.Time) time.Duration {
	longest := now.Sub(c.notBefore)
	if longest < stoodLeast {
		return 0
	}
	return min(longest, sock.SinceData(c.Conn))
}

// hasUnread reports whether the connection has unread bytes.
func (c *Conn) unread() bool {
	n, _ := sock.Peek(c.Conn)
	return n > 0
}

// Of returns the Conn under c, which may be a TLS connection. It returns nil if there is none.
func Of(c net.Conn) *Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

type connKey struct{}

// WithConn adds a client's connection to the context of its requests. It is for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	conn := Of(c)
	if conn == nil {
		return ctx
	}
	conn.known = c
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
