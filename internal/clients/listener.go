package clients

import (
	"net"
	"sync"
	"time"

	"glencart/internal/sock"
)

// Limit returns a Listener with at most maxOpen open connections. Further ones wait in the backlog, because accepting them
// could use up the descriptors of the process.
func Limit(l net.Listener, maxOpen int) *Listener {
	now := time.Now()
	limited := &Listener{Listener: l, most: maxOpen, born: now, emptyAt: now}
	limited.free.L = &limited.mu
	return limited
}

// Listener limits the number of open connections and returns each as a Conn. Limit returns one.
type Listener struct {
	net.Listener
	// These fields must be set before the first Accept.

	Opaque     bool          // clients use TLS
	HeadWithin time.Duration // time limit for the head of a further request, from its first byte; 0: that of net/http

	born time.Time

	mu         sync.Mutex
	free       sync.Cond
	open, most int // open connections and their limit
	lingering  int // open connections that are closing
	closed     bool
	emptyAt    time.Time // last time that the queue was known to be empty; used by Accept only
}

// minEmptyWait is how long accept(2) must block for the queue to count as empty before.
const queueEmpty = time.Millisecond

// Holds returns the number of open connections.
func (l *Listener) Holds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Lingering returns the number of open connections that are closing and wait for their clients to close too.
func (l *Listener) Lingering() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lingering
}

// beginLinger counts a connection as closing. It returns how long the connection may linger: timeout, or less if the listener is
// full.
func (l *Listener) lingers(timeout time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering++
	if l.open >= l.most {
		return min(timeout, lingerCrowd)
	}
	return timeout
}

// release frees the slot of a connection. lingered reports whether the connection was counted as closing.
func (l *Listener) left(lingered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if lingered {
		l.lingering--
	}
	l.free.Signal()
}

// Waits reports whether the listener is full or closed.
func (l *Listener) Waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.most || l.closed
}

// Full reports whether the limit on open connections is reached.
func (l *Listener) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.most
}

// Resize changes the limit on open connections. Open ones stay open.
func (l *Listener) Resize(maxOpen int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = maxOpen
	l.free.Broadcast()
}

// Accept waits for a free slot and for a connection. Only one goroutine may call it.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.open >= l.most && !l.closed {
		l.free.Wait()
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
	if now := time.Now(); now.Sub(start) >= queueEmpty {
		l.emptyAt = now
	}
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	conn := watch(c, l)
	conn.opaque, conn.notBefore = l.Opaque, l.emptyAt
	return conn, nil
}

// Close closes the listener and ends a waiting Accept. Open connections stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.free.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// Queued reports whether connections may be waiting in the queue. That is so if the listener is full or closed, or if the kernel
// reports one.
func (l *Listener) Queued() bool {
	if l.Waits() {
		return true // if closed, the last accepted connection may not be counted yet
	}
	waiting, known := sock.Waiting(l.Listener)
	return waiting && known // an unknown state counts as empty, because there is a free slot
}
