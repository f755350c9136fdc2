package clients

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
	// Unsure: a head gave its length in two ways, or in a way that can't be followed. It is never taken back:
	// where a request ends is not known any more, so nothing further on the connection can be trusted.
	Unsure atomic.Bool
	// Chunked: a body came in chunks, whose end is not looked for here: this request is the last one.
	Chunked atomic.Bool

	// asked is how many whole requests have been read and not been answered: some may stand behind the first.
	asked atomic.Int32

	// begun: some of a request has been read, and not all of it. net/http tells of a request once its head is whole.
	begun atomic.Bool

	// opaque: what passes is TLS, and its requests can't be told. All that has come since the last answer is taken for one.
	opaque bool

	readAfter atomic.Int64 // how long after its listener a byte came last, ns; 0: none has

	line   []byte // the head's line so far, cut at lineMost
	long   bool   // and whether it is longer
	lines  int    // of the head so far
	length int64  // by the head so far; -1 when it gives none
	coded  bool   // the head has Transfer-Encoding
	rest   int64  // of the body
}

// lineMost is longer than any line that matters here.
const lineMost = 64

// saw takes in what has been read.
func (f *framing) saw(p []byte) {
	if f.opaque {
		if len(p) > 0 {
			f.asked.Store(1)
		}
		return
	}
	if len(p) == 0 {
		return
	}
	// Of what is not followed further nobody knows where it ends: some of it is under way until it has its answer.
	defer func() {
		f.begun.Store(f.rest > 0 || f.lines > 0 || len(f.line) > 0 || f.Unsure.Load() || f.Chunked.Load())
	}()
	for len(p) > 0 && !f.Unsure.Load() && !f.Chunked.Load() {
		if f.rest > 0 {
			n := min(f.rest, int64(len(p)))
			f.rest -= n
			p = p[n:]
			if f.rest == 0 {
				f.asked.Add(1)
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
	f.lines++
	name, value, _ := strings.Cut(line, ":")
	switch {
	case line == "" && !f.long:
		switch {
		case f.coded && f.length >= 0:
			f.Unsure.Store(true)
		case f.coded:
			f.Chunked.Store(true)
		case f.length <= 0:
			f.asked.Add(1)
		}
		f.rest, f.length, f.coded, f.lines = max(f.length, 0), -1, false, 0
		return
	case strings.EqualFold(strings.TrimSpace(name), "Transfer-Encoding"):
		f.coded = true
	case strings.EqualFold(strings.TrimSpace(name), "Content-Length"):
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
		if err != nil || f.long || f.length >= 0 && f.length != int64(n) {
			f.Unsure.Store(true)
			return
		}
		f.length = int64(n)
	}
}

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

const (
	// lingerFor and lingerMost bound how long, and how much of what comes, an ending connection is read and dropped. Its client
	// ends its side as soon as it has read that this one has ended. lingerCrowd is for where the place is wanted.
	lingerFor, lingerCrowd = 400 * time.Millisecond, 40 * time.Millisecond
	lingerMost             = 256 << 10
)

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

// Close ends the connection, and doesn't wait for its client. What comes from here on has crossed the end: nobody reads it.
func (c *Conn) Close() error {
	c.taking.Lock()
	was, within := c.ended, lingerFor
	if c.Cut() {
		within = c.cutLingers
	}
	c.ended = true
	c.taking.Unlock() // the socket's Close waits for a Read under way, and that one for taking
	if !was {
		c.linger(within)
	}
	return nil
}

// linger ends the sending side, drops what comes until the client has ended its own, to a bound, and gives the place back. A close
// over unread bytes makes a reset, and what was written last can go with it. Only who has set ended may call it.
func (c *Conn) linger(within time.Duration) {
	left, over := lingerMost, false
	take := func(fd uintptr) bool {
		over = drop(fd, &left)
		return over
	}
	if c.raw == nil || c.raw.Control(func(fd uintptr) { take(fd) }) != nil || over {
		c.Conn.Close()
		c.home.left(false)
		return
	}
	c.endSending()
	c.Conn.SetReadDeadline(time.Now().Add(c.home.lingers(within)))
	go func() {
		c.raw.Read(take) // after a Read under way, which finds that it has ended
		c.Conn.Close()
		c.home.left(true)
	}()
}

// dropped is what is read of ending connections.
var dropped = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// drop reads what stands on a socket and forgets it. It tells whether nothing more is to be waited for.
func drop(fd uintptr, left *int) (over bool) {
	into := dropped.Get().(*[4 << 10]byte)
	defer dropped.Put(into)
	for *left > 0 {
		switch n, err := syscall.Read(int(fd), into[:]); {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return false
		case err != nil || n == 0:
			return true
		default:
			*left -= n
		}
	}
	return true
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

// inHead tells whether a head has begun and is not whole.
func (f *framing) inHead() bool { return f.rest == 0 && (f.lines > 0 || len(f.line) > 0) }

// asking tells whether a whole request has been read that has no answer yet.
func (f *framing) asking() bool { return f.asked.Load() > 0 }

// Behind tells whether a further whole request has been read behind the one that is under way: an answer that closes would lose it.
func (f *framing) Behind() bool { return f.asked.Load() > 1 && !f.Chunked.Load() && !f.Unsure.Load() }

// answered takes in that a request has had its answer. Reading may add to them meanwhile.
func (f *framing) answered() {
	if f.asked.Load() > 0 {
		f.asked.Add(-1)
	}
	if f.Chunked.Load() || f.Unsure.Load() {
		f.begun.Store(false)
	}
}

// unread tells whether something has come on the connection that has not been read.
func (c *Conn) unread() bool {
	n, _ := sock.Peek(c.Conn)
	return n > 0
}

// closeUnasked closes the connection unless a whole request has been read from it, or something stands unread; unless half, nor
// if some of one has been read. It tells whether it is ending. What comes in that very instant has crossed the end, unread.
// It lingers for so long at the most. Who is within a request has a refusal first: the rest of it may be on its way.
func (c *Conn) closeUnasked(half bool, within time.Duration) bool {
	if !c.taking.TryLock() {
		return false // something is being read
	}
	if c.ended || c.asking() || !half && c.begun.Load() || c.unread() {
		ended := c.ended
		c.taking.Unlock()
		return ended
	}
	if c.begun.Load() && !c.inHead() {
		c.cutBody(within)
		c.taking.Unlock()
		return true
	}
	if c.inHead() && !c.opaque {
		c.refuseHalf()
	}
	c.ended = true
	c.taking.Unlock()
	c.linger(within)
	return true
}

// cutBody has the handler that waits for the rest of a body meet the end of its time at once: it answers, and closes, and the connection
// lingers for so long. With taking held.
func (c *Conn) cutBody(lingers time.Duration) {
	c.cutLingers = lingers
	c.cut.Store(true)
	c.Conn.SetReadDeadline(c.deadline())
}

// Cut tells whether this side has ended the wait for the rest of a body.
func (c *Conn) Cut() bool { return c.cut.Load() }

// refusal answers a request that has not come whole. Nothing of it was sent on.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseHalf writes a refusal where net/http waits for the rest of a head, and so writes nothing. It doesn't wait: what a full buffer
// doesn't take is left out. With taking held.
func (c *Conn) refuseHalf() {
	if c.raw != nil {
		c.raw.Control(func(fd uintptr) { syscall.Write(int(fd), []byte(refusal)) })
	}
}

// CloseWrite lets net/http end its side first, so that a client that still sends can read its answer. net/http then waits for half a
// second; where the body was cut the place is wanted, or the process ends, and the connection ends at once.
func (c *Conn) CloseWrite() error {
	if c.Cut() {
		return c.Close()
	}
	return c.endSending()
}

func (c *Conn) endSending() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
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
