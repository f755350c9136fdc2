package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"glencart/internal/sock"
)

// framing watches how the requests on a client's connection are framed, as they pass. net/http drops
// Content-Length where Transfer-Encoding stands beside it, before a handler can see both; yet such a request may
// hide another in its body from who goes by the length. Nothing is held back or changed here.
type framing struct {
	// unsure: a head gave its length in two ways, or in a way that can't be followed. It is never taken back:
	// where a request ends is not known any more, so nothing further on the connection can be trusted.
	unsure atomic.Bool
	// chunked: a body came in chunks, whose end is not looked for here: this request is the last one.
	chunked atomic.Bool

	// asking: a whole request has been read, and not been answered.
	asking atomic.Bool

	readAt atomic.Int64 // when a byte came last, Unix time in nanoseconds

	line   []byte // the head's line so far, cut at lineMost
	long   bool   // and whether it is longer
	length int64  // by the head so far; -1 when it gives none
	coded  bool   // the head has Transfer-Encoding
	rest   int64  // of the body
}

// lineMost is longer than any line that matters here.
const lineMost = 64

// saw takes in what has been read.
func (f *framing) saw(p []byte) {
	for len(p) > 0 && !f.unsure.Load() && !f.chunked.Load() {
		if f.rest > 0 {
			n := min(f.rest, int64(len(p)))
			f.rest -= n
			p = p[n:]
			if f.rest == 0 {
				f.asking.Store(true)
			}
			continue
		}
		part := p
		end := bytes.IndexByte(p, '\n')
		if end >= 0 {
			part, p = p[:end], p[end+1:]
		} else {
			p = nil
		}
		room := min(lineMost-len(f.line), len(part))
		f.line, f.long = append(f.line, part[:room]...), f.long || room < len(part)
		if end >= 0 {
			f.headLine()
			f.line, f.long = f.line[:0], false
		}
	}
}

// headLine takes in a line of a head.
func (f *framing) headLine() {
	line := strings.TrimSuffix(string(f.line), "\r")
	name, value, _ := strings.Cut(line, ":")
	switch {
	case line == "" && !f.long:
		switch {
		case f.coded && f.length >= 0:
			f.unsure.Store(true)
		case f.coded:
			f.chunked.Store(true)
		case f.length <= 0:
			f.asking.Store(true)
		}
		f.rest, f.length, f.coded = max(f.length, 0), -1, false
	case strings.EqualFold(strings.TrimSpace(name), "Transfer-Encoding"):
		f.coded = true
	case strings.EqualFold(strings.TrimSpace(name), "Content-Length"):
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
		if err != nil || f.long || f.length >= 0 && f.length != int64(n) {
			f.unsure.Store(true)
			return
		}
		f.length = int64(n)
	}
}

// framedConn is a client's connection under watch.
type framedConn struct {
	net.Conn
	framing

	// taking is held from when bytes leave the socket until they are marked, and while the connection is looked at and closed:
	// between the two a whole request is neither unread nor asking.
	taking sync.Mutex
	raw    syscall.RawConn // nil: not a socket
	take   func(fd uintptr) bool
	into   []byte // of the Read under way; net/http has one at a time
	took   int
	failed error
	// notBefore is when what comes first on the connection can have come at the soonest: the listener's queue was empty then.
	// Zero once a request has been taken.
	notBefore time.Time

	ended bool // by taking: closed as unasked. Nothing more is read: its client asks again elsewhere
}

// watched returns a connection of a client under watch.
func watched(c net.Conn, under net.Conn) *framedConn {
	f := &framedConn{Conn: c, framing: framing{length: -1}}
	if sc, ok := under.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			f.raw, f.take = raw, f.takeBytes
		}
	}
	return f
}

// takeBytes takes what stands on the socket, and marks it. It tells whether there was anything, an end or an error.
func (c *framedConn) takeBytes(fd uintptr) bool {
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
		}
		return true
	}
}

// mark takes in what has been read.
func (c *framedConn) mark(p []byte) {
	if len(p) > 0 {
		c.readAt.Store(time.Now().UnixNano())
	}
	c.saw(p)
}

func (c *framedConn) Read(p []byte) (int, error) {
	if c.raw == nil || len(p) == 0 {
		n, err := c.Conn.Read(p)
		c.mark(p[:n])
		return n, err
	}
	c.into, c.took, c.failed = p, 0, nil
	err := c.raw.Read(c.take)
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

// stood is how long the first request on a connection had stood there whole when it came to its handler: its time began with
// its last byte, and the handler's began when there was room to accept it. The kernel tells when data came last; no request
// came before the queue was empty.
func (c *framedConn) stood(now time.Time) time.Duration {
	most := now.Sub(c.notBefore)
	first := !c.notBefore.IsZero()
	c.notBefore = time.Time{}
	b, ok := c.Conn.(*boundedConn)
	if !first || !ok || most < stoodLeast {
		return 0
	}
	return min(most, sock.SinceData(b.Conn))
}

// unread tells whether something has come on the connection that has not been read.
func (c *framedConn) unread() bool {
	b, ok := c.Conn.(*boundedConn)
	if !ok {
		return false
	}
	n, _ := sock.Peek(b.Conn)
	return n > 0
}

// closeUnasked closes the connection unless a whole request has been read from it, or something stands unread. It tells
// whether it did. What comes in the very instant of the close has crossed it, unread.
func (c *framedConn) closeUnasked() bool {
	if !c.taking.TryLock() {
		return false // something is being read
	}
	c.ended = !c.asking.Load() && !c.unread()
	ended := c.ended
	c.taking.Unlock() // Close waits for a Read under way, and that one for taking
	if ended {
		c.Close()
	}
	return ended
}

// CloseWrite lets net/http end its side first, so that a client that still sends can read its answer.
func (c *framedConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

type connKey struct{}

// withConn keeps a client's connection where its requests find it.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*framedConn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the connection that a request came on.
func connOf(ctx context.Context) *framedConn {
	c, _ := ctx.Value(connKey{}).(*framedConn)
	return c
}
