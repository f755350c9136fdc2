package clients

// This file ends connections: without a reset over what crosses the end, and with an answer for who is within a request.

import (
	"sync"
	"syscall"
	"time"
)

const (
	// lingerFor and lingerMost bound how long, and how much of what comes, an ending connection is read and dropped. Its client
	// ends its side as soon as it has read that this one has ended. lingerCrowd is for where the place is wanted.
	lingerFor, lingerCrowd = 400 * time.Millisecond, 40 * time.Millisecond
	lingerMost             = 256 << 10
)

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
