package clients

// This file closes connections. Bytes that arrive during the close cause no reset, and a client in the middle of a request
// gets an answer.

import (
	"sync"
	"syscall"
	"time"
)

const (
	// lingerTimeout and maxLingerBytes limit how long, and how many bytes, a closing connection is read and the input
	// discarded. The client closes its side as soon as it has read the end of this one. fullLingerTimeout applies where new
	// connections wait for a slot.
	lingerTimeout, fullLingerTimeout = 400 * time.Millisecond, 40 * time.Millisecond
	maxLingerBytes                   = 256 << 10
)

// Close closes the connection without waiting for its client. Bytes that arrive from here on are not processed.
func (c *Conn) Close() error {
	c.readMu.Lock()
	alreadyEnding, timeout := c.ending, lingerTimeout
	if c.IsBodyCut() {
		timeout = c.cutLinger
	}
	c.ending = true
	c.readMu.Unlock() // the Close of the socket waits for a current Read, which waits for readMu
	if !alreadyEnding {
		c.linger(timeout)
	}
	return nil
}

// linger closes the sending side, discards input until the client closes its side or a limit is reached, and frees the slot. A
// close with unread bytes sends a reset, which can destroy the last bytes written. Only the caller that set ending may call it.
func (c *Conn) linger(timeout time.Duration) {
	left, done := maxLingerBytes, false
	discardInput := func(fd uintptr) bool {
		done = discard(fd, &left)
		return done
	}
	if c.rawConn == nil || c.rawConn.Control(func(fd uintptr) { discardInput(fd) }) != nil || done {
		c.Conn.Close()
		c.listener.release(false)
		return
	}
	c.closeSendingSide()
	c.Conn.SetReadDeadline(time.Now().Add(c.listener.beginLinger(timeout)))
	go func() {
		c.rawConn.Read(discardInput) // waits for a current Read, which finds ending set
		c.Conn.Close()
		c.listener.release(true)
	}()
}

// discardBytes is how much of the input of a closing connection is read at once. With less, a client that sends without a pause costs a
// system call for each few requests that it has sent ahead.
const discardBytes = 32 << 10

// discardBuffers holds buffers for the input of closing connections. Each is in use for a call that doesn't block.
var discardBuffers = sync.Pool{New: func() any { return new([discardBytes]byte) }}

// discard reads and discards the input of a socket. It reports whether the end, an error or the limit was reached.
func discard(fd uintptr, left *int) (done bool) {
	buf := discardBuffers.Get().(*[discardBytes]byte)
	defer discardBuffers.Put(buf)
	for *left > 0 {
		switch n, err := syscall.Read(int(fd), buf[:]); {
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

// closeIfNoRequest closes the connection unless it has an unanswered request or unread bytes. It closes one with part of a
// request only if includePartial is set. It reports whether the connection is closing. Bytes that arrive during the close are
// not processed. The connection lingers for at most timeout. A client in the middle of a request first gets a 503, because the rest may
// be on its way.
func (c *Conn) closeIfNoRequest(includePartial bool, timeout time.Duration) bool {
	if !c.readMu.TryLock() {
		return false // a read is in progress
	}
	if c.ending || c.hasUnanswered() || !includePartial && c.partial.Load() || c.hasUnread() {
		ended := c.ending
		c.readMu.Unlock()
		return ended
	}
	if c.partial.Load() && !c.inHead() {
		c.cutBody(timeout)
		c.readMu.Unlock()
		return true
	}
	if c.inHead() && !c.opaque {
		c.rejectPartialHead(partialRequestResponse)
	}
	c.ending = true
	c.readMu.Unlock()
	c.linger(timeout)
	return true
}

// cutBody makes the read deadline of a handler that waits for the rest of a body expire. The handler answers and closes the
// connection, which then lingers for linger. It requires readMu.
func (c *Conn) cutBody(linger time.Duration) {
	c.cutLinger = linger
	c.bodyCut.Store(true)
	c.Conn.SetReadDeadline(c.effectiveDeadline())
}

// cutSilentBody is cutBody for a connection that waits for the rest of a body. It reports whether it does.
func (c *Conn) cutSilentBody() bool {
	if !c.readMu.TryLock() {
		return false // a read is in progress
	}
	defer c.readMu.Unlock()
	if c.ending || c.IsBodyCut() || c.hasUnanswered() || !c.partial.Load() || c.inHead() || c.hasUnread() {
		return false
	}
	c.cutBody(fullLingerTimeout)
	return true
}

// IsBodyCut reports whether this side has ended the wait for the rest of a body.
func (c *Conn) IsBodyCut() bool { return c != nil && c.bodyCut.Load() }

// partialRequestResponse answers an incomplete request. No part of it was forwarded.
const partialRequestResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// tooManyFieldsResponse answers a head with too many fields.
const tooManyFieldsResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// rejectPartialHead answers a partial head. net/http writes nothing while it waits for the rest. It doesn't block, so
// a full send buffer truncates the response. It requires readMu.
func (c *Conn) rejectPartialHead(response string) {
	if c.isHeadRejected.Swap(true) {
		return
	}
	c.listener.rejectedHeads.Add(1)
	if c.rawConn != nil {
		c.rawConn.Control(func(fd uintptr) { syscall.Write(int(fd), []byte(response)) })
	}
}

// CloseWrite closes the sending side. net/http calls it so that a client that still sends can read its answer, and then waits
// half a second. If the body was cut, the slot is needed or the process shuts down, so the whole connection is closed at once.
func (c *Conn) CloseWrite() error {
	if c.IsBodyCut() {
		return c.Close()
	}
	return c.closeSendingSide()
}

func (c *Conn) closeSendingSide() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}
