package clients

// This file determines since when the client may have sent the last byte of a body that is read slowly.

import (
	"bytes"
	"sync"
	"time"

	"glencart/internal/sock"
)

const (
	// maxClientSendBuffer is the largest send buffer of a client's socket in bytes (tcp_wmem of tcp(7)). A client has written a byte when
	// it is in that buffer, from where it goes on as this side makes room.
	maxClientSendBuffer = 4 << 20
	// streamReceiveBuffer is the size of the receive buffer in bytes for a body that is passed on as it comes. The kernel doubles it.
	streamReceiveBuffer = 256 << 10
	// maxUnreadWithRoom is the number of unread bytes up to which the kernel makes room for more, so the client isn't held up.
	maxUnreadWithRoom = streamReceiveBuffer / 4
	// maxClockSamples bounds the samples of a BodyClock.
	maxClockSamples = 64
)

// BodyClock determines since when a client may have sent the last byte of a body, for a body that is passed on as fast as somebody else
// reads it. The time of a request starts with its last byte, and that may be in the buffers of the kernel on both sides long before it is
// read here. As long as this side makes room for all that comes, the client's bytes are here as soon as it has sent them. A nil BodyClock
// knows nothing. It is safe for concurrent use.
type BodyClock struct {
	conn       *Conn
	length     int64 // of the body; -1: unknown
	minSpacing time.Duration

	mu            sync.Mutex
	began         int64         // what readTotal was when the body began
	samples       []clockSample // from the last time on at which there was room and the body was incomplete
	isBacklogged  bool          // since then there was no room at some time
	completeSince time.Time     // when the last byte came; zero: it has not
}

// clockSample is the number of bytes of the body that had come at a time.
type clockSample struct {
	at       time.Time
	received int64
}

// NewBodyClock returns the clock of a body of which bodyBytes have been read, with the length that the head states, or -1. The request has
// to be answered within timeLeft. It bounds what the kernel receives ahead of the reader.
func (c *Conn) NewBodyClock(length, bodyBytes int64, timeLeft time.Duration) *BodyClock {
	if c == nil || c.rawConn == nil || c.opaque {
		return nil
	}
	if t, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		t.SetReadBuffer(streamReceiveBuffer)
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return &BodyClock{conn: c, length: length, minSpacing: timeLeft / (maxClockSamples / 2), began: c.readTotal - bodyBytes}
}

// Observe takes a sample. It is called around each read of the body, and at intervals while the reader waits for somebody else.
func (b *BodyClock) Observe() {
	if b == nil {
		return
	}
	total, unread, isComplete, err := b.conn.received()
	if err != nil {
		return
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !isComplete:
		b.completeSince = time.Time{}
	case b.completeSince.IsZero():
		since, _ := sock.SinceLastReceive(b.conn.Conn)
		b.completeSince = now.Add(-since)
	}
	b.add(clockSample{now, total - b.began}, unread < maxUnreadWithRoom, isComplete)
}

// add takes a sample. It requires mu.
func (b *BodyClock) add(sample clockSample, hasRoom, isComplete bool) {
	if hasRoom && !isComplete {
		b.samples, b.isBacklogged = append(b.samples[:0], sample), false
		return
	}
	b.isBacklogged = b.isBacklogged || !hasRoom
	if n := len(b.samples); n == 0 || n < maxClockSamples && sample.at.Sub(b.samples[n-1].at) >= b.minSpacing {
		b.samples = append(b.samples, sample)
	}
	for len(b.samples) > 1 && b.wasSending(b.samples[0], sample) {
		b.samples = b.samples[1:]
	}
}

// wasSending reports whether the client had not yet sent its last byte at a sample, by what has come until the last one.
func (b *BodyClock) wasSending(sample, last clockSample) bool {
	if b.length >= 0 && b.length-sample.received > maxClientSendBuffer {
		return true
	}
	return last.received-sample.received > maxClientSendBuffer
}

// SentSince returns the earliest time at which the client may have sent the last byte of the body. It reports false if it has not, as far
// as the samples show.
func (b *BodyClock) SentSince() (time.Time, bool) {
	if b == nil {
		return time.Time{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.isBacklogged:
		return b.completeSince, !b.completeSince.IsZero()
	case len(b.samples) == 1 && b.completeSince.IsZero() && b.wasSending(b.samples[0], b.samples[0]):
		return time.Time{}, false
	}
	return b.samples[0].at, true
}

// received returns how many bytes have come on the connection and how many of them nobody has read, and whether the request that is being
// read is complete.
func (c *Conn) received() (total int64, unread int, isComplete bool, err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if unread, err = sock.Unread(c.Conn); err != nil {
		return 0, 0, false, err
	}
	return c.readTotal + int64(unread), unread, c.hasWholeRequest(unread), nil
}

// hasWholeRequest reports whether the rest of the request that is being read has come, with so many unread bytes. The end of a body in
// chunks is seen only once it is read. It requires readMu.
func (c *Conn) hasWholeRequest(unread int) bool {
	switch {
	case c.HasAmbiguousLength.Load():
		return false
	case c.Chunked.Load():
		return unread == 0 && bytes.HasSuffix(c.lastBytes, []byte(lastChunk))
	case c.hasUnanswered():
		return true
	}
	return c.bodyRemaining > 0 && int64(unread) >= c.bodyRemaining
}

// lastChunk is the end of a body in chunks without trailers.
const lastChunk = "\r\n0\r\n\r\n"

// keepLastBytes keeps the last bytes read, as many as lastChunk has. It requires readMu.
func (c *Conn) keepLastBytes(p []byte) {
	c.lastBytes = append(c.lastBytes, p[max(0, len(p)-len(lastChunk)):]...)
	if surplus := len(c.lastBytes) - len(lastChunk); surplus > 0 {
		c.lastBytes = append(c.lastBytes[:0], c.lastBytes[surplus:]...)
	}
}
