package clients

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"glencart/internal/sock"
)

// DefaultMaxHeadFields is the usual limit on the fields of a head.
const DefaultMaxHeadFields = 256

// Limit returns a Listener with at most maxOpen open connections. Further ones wait in the backlog, because accepting them
// could use up the descriptors of the process.
func Limit(l net.Listener, maxOpen int) *Listener {
	now := time.Now()
	limited := &Listener{Listener: l, maxOpen: maxOpen, createdAt: now, emptyAt: now}
	limited.slotFree.L = &limited.mu
	return limited
}

// Listener limits the number of open connections and returns each as a Conn. Limit returns one.
type Listener struct {
	net.Listener
	// These fields must be set before the first Accept.

	UsesTLS     bool          // clients use TLS
	HeadTimeout time.Duration // time limit for the head of a further request, from its first byte; 0: that of net/http

	// MaxHeadFields is the limit on the fields of a head; 0: none. Each costs a handler far more than its bytes. A head over it gets 431
	// before the rest is read. If it was read at once, the handler has to reject it, see HasTooManyFields.
	MaxHeadFields int

	rejectedHeads atomic.Int64

	createdAt time.Time

	mu            sync.Mutex
	slotFree      sync.Cond
	open, maxOpen int // open connections and their limit
	lingering     int // open connections that are closing
	closed        bool
	emptyAt       time.Time // last time that the queue was known to be empty; used by Accept only
}

// minEmptyWait is how long accept(2) must block for the queue to count as empty before.
const minEmptyWait = time.Millisecond

// OpenCount returns the number of open connections.
func (l *Listener) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// LingeringCount returns the number of open connections that are closing and wait for their clients to close too.
func (l *Listener) LingeringCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lingering
}

// RejectedHeads returns the number of partial heads that were answered with an error.
func (l *Listener) RejectedHeads() int64 { return l.rejectedHeads.Load() }

// beginLinger counts a connection as closing. It returns how long the connection may linger: timeout, or less if the listener is
// full.
func (l *Listener) beginLinger(timeout time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering++
	if l.open >= l.maxOpen {
		return min(timeout, fullLingerTimeout)
	}
	return timeout
}

// release frees the slot of a connection. lingered reports whether the connection was counted as closing.
func (l *Listener) release(lingered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if lingered {
		l.lingering--
	}
	l.slotFree.Signal()
}

// IsBlocked reports whether the listener is full or closed.
func (l *Listener) IsBlocked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.maxOpen || l.closed
}

// IsFull reports whether the limit on open connections is reached.
func (l *Listener) IsFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.maxOpen
}

// Resize changes the limit on open connections. Open ones stay open.
func (l *Listener) Resize(maxOpen int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxOpen = maxOpen
	l.slotFree.Broadcast()
}

// Accept waits for a free slot and for a connection. Only one goroutine may call it.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.open >= l.maxOpen && !l.closed {
		l.slotFree.Wait()
	}
	closed := l.closed
	l.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	start := time.Now()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if now := time.Now(); now.Sub(start) >= minEmptyWait {
		l.emptyAt = now
	}
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	conn := newConn(c, l)
	conn.opaque, conn.notBefore = l.UsesTLS, l.emptyAt
	return conn, nil
}

// Close closes the listener and ends a waiting Accept. Open connections stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.slotFree.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// HasQueued reports whether connections may be waiting in the queue. That is so if the listener is full or closed, or if the kernel
// reports one.
func (l *Listener) HasQueued() bool {
	if l.IsBlocked() {
		return true // if closed, the last accepted connection may not be counted yet
	}
	waiting, known := sock.HasQueuedConn(l.Listener)
	return waiting && known // an unknown state counts as empty, because there is a free slot
}
