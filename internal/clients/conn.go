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
	listener   *Listener // the listener that counts it
	serverConn net.Conn  // the connection that http.Server uses: this one, or the TLS connection over it

	// readMu is held while bytes are read from the socket and recorded, and while the connection is checked and closed. In
	// between, a whole request would count neither as unread nor as unanswered.
	readMu    sync.Mutex
	rawConn   syscall.RawConn // nil: not a socket
	readFunc  func(fd uintptr) bool
	readBuf   []byte // buffer of the current Read; net/http calls one at a time
	readCount int
	readErr   error
	// notBefore is the earliest time at which the next request can have arrived. It is the last time that the listener's queue
	// was empty, or the time of the previous answer. It belongs to the connection's handlers, and to Track between two of them.
	notBefore       time.Time
	ownAnswersUntil time.Time // see takeOwnAnswer; belongs to the connection's handlers
	// lastBytes are the last bytes that were read of a body in chunks. Guarded by readMu.
	lastBytes []byte
	readTotal int64 // bytes read; guarded by readMu

	bodyCut   atomic.Bool   // the wait for the rest of a body was ended
	cutLinger time.Duration // how long the connection may linger after that
	// headDeadline is the deadline for the whole head of a further request, set at its first byte. It is zero if no head has
	// begun. Guarded by readMu.
	headDeadline time.Time
	// readDeadline is the read deadline that net/http has set; zero: none. Guarded by readMu.
	readDeadline time.Time

	isHeadRejected atomic.Bool // a partial head was answered: nothing more is read or written
	ending         bool        // guarded by readMu. linger owns the connection and no request is read: the client retries elsewhere
}

// newConn returns a Conn over a client's connection.
func newConn(c net.Conn, listener *Listener) *Conn {
	conn := &Conn{Conn: c, listener: listener, framing: framing{length: -1, maxFields: listener.MaxHeadFields}}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			conn.rawConn, conn.readFunc = raw, conn.readSocket
		}
	}
	return conn
}

// SetReadDeadline sets the read deadline of net/http. It has no effect on a closing connection, where linger has set its own. The
// deadline of a partial head still applies.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.ending {
		return nil
	}
	c.readDeadline = t
	c.startHeadTimeout()
	return c.Conn.SetReadDeadline(c.effectiveDeadline())
}

// startHeadTimeout starts the time limit for a head at its first byte. If that byte came before the answer to the previous
// request, the limit starts at that answer. net/http starts its own at the fourth byte and treats a connection with
// fewer as idle. It requires readMu.
func (c *Conn) startHeadTimeout() (started bool) {
	timeout := c.listener.HeadTimeout
	switch partialHead := c.inHead() && !c.hasUnanswered(); {
	case !partialHead || timeout <= 0:
		c.headDeadline = time.Time{}
	case c.headDeadline.IsZero():
		c.headDeadline = time.Now().Add(timeout)
		return true
	}
	return false
}

// effectiveDeadline returns the effective read effectiveDeadline. It requires readMu.
func (c *Conn) effectiveDeadline() time.Time {
	if c.bodyCut.Load() {
		return c.listener.createdAt // in the past
	}
	if !c.headDeadline.IsZero() && (c.readDeadline.IsZero() || c.headDeadline.Before(c.readDeadline)) {
		return c.headDeadline
	}
	return c.readDeadline
}

// Write writes to the socket. It drops what net/http writes about a head that has been answered.
func (c *Conn) Write(p []byte) (int, error) {
	if c.isHeadRejected.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// readSocket reads from the socket without blocking and records the bytes. It reports whether it got bytes, an end or an error.
func (c *Conn) readSocket(fd uintptr) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.hasTooManyFields.Load() && !c.hasUnanswered() && !c.ending {
		// net/http would hold the whole head before a handler sees it, at many times its size.
		c.rejectPartialHead(tooManyFieldsResponse)
	}
	if c.ending || c.isHeadRejected.Load() {
		c.readCount, c.readErr = 0, net.ErrClosed
		return true
	}
	for {
		c.readCount, c.readErr = syscall.Read(int(fd), c.readBuf)
		switch c.readErr {
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			return false
		case nil:
			c.recordRead(c.readBuf[:max(c.readCount, 0)])
			if c.startHeadTimeout() {
				c.Conn.SetReadDeadline(c.effectiveDeadline())
			}
		}
		return true
	}
}

// lastReadAt returns the time of the last byte; zero: none.
func (c *Conn) lastReadAt() time.Time {
	if offset := c.lastReadOffset.Load(); offset > 0 {
		return c.listener.createdAt.Add(time.Duration(offset))
	}
	return time.Time{}
}

// recordRead records bytes that have been read.
func (c *Conn) recordRead(p []byte) {
	if len(p) > 0 {
		c.lastReadOffset.Store(int64(time.Since(c.listener.createdAt)))
	}
	c.readTotal += int64(len(p))
	c.observe(p)
	if c.Chunked.Load() {
		c.keepLastBytes(p)
	}
}

// Read reads from the socket and records the bytes.
func (c *Conn) Read(p []byte) (int, error) {
	if c.rawConn == nil || len(p) == 0 {
		n, err := c.Conn.Read(p)
		c.recordRead(p[:n])
		return n, err
	}
	c.readBuf, c.readCount, c.readErr = p, 0, nil
	err := c.rawConn.Read(c.readFunc)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.hasUnanswered() && !c.partial.Load() {
		// A request may have arrived at the moment of the deadline. Package net doesn't check again, so it would be lost.
		hasInput := false
		if c.rawConn.Control(func(fd uintptr) { hasInput = c.readSocket(fd) }) == nil && hasInput {
			err = nil
		} else {
			c.readCount, c.readErr = 0, nil
		}
	}
	n, readErr := max(c.readCount, 0), c.readErr
	c.readBuf, c.readCount, c.readErr = nil, 0, nil
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

// minQueueTime is the shortest possible wait for which QueueTime asks the kernel. Below it QueueTime returns 0.
const minQueueTime = 20 * time.Millisecond

// QueueTime returns how long a request waited in the kernel before it was read. The time for a request starts with its last
// byte, but its handler starts only after the connection is accepted and read. The kernel has the time of the last data. A
// request can't have come before the queue was last empty, or before the previous answer.
func (c *Conn) QueueTime(now time.Time) time.Duration {
	longest := now.Sub(c.notBefore)
	if longest < minQueueTime {
		return 0
	}
	since, _ := sock.SinceLastReceive(c.Conn)
	return min(longest, since)
}

// hasUnread reports whether the connection has hasUnread bytes.
func (c *Conn) hasUnread() bool {
	n, _ := sock.Peek(c.Conn)
	return n > 0
}

// ConnOf returns the Conn under c, which may be a TLS connection. It returns nil if there is none.
func ConnOf(c net.Conn) *Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	conn, _ := c.(*Conn)
	return conn
}

type connKey struct{}

// WithConn adds a client's connection to the context of its requests. It is for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	conn := ConnOf(c)
	if conn == nil {
		return ctx
	}
	conn.serverConn = c
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
