package clients

import (
	"net"
	"sync"
	"time"

	"glencart/internal/sock"
)

// Limit bounds how many connections are open at once. Beyond that they wait in the backlog, where
// accepting them would run the process out of descriptors.
func Limit(l net.Listener, most int) *Listener {
	now := time.Now()
	b := &Listener{Listener: l, most: most, born: now, emptyAt: now}
	b.free.L = &b.mu
	return b
}

// Listener lets so many clients in at once and watches their connections. Limit returns one.
type Listener struct {
	net.Listener
	// To be set before the first Accept:

	Opaque     bool          // its clients speak TLS
	HeadWithin time.Duration // how long the head of a further request may take from its first byte; 0: as net/http has it

	born time.Time

	mu         sync.Mutex
	free       sync.Cond
	open, most int // accepted and not closed, and how many may be
	lingering  int // of the open, those that are ending
	closed     bool
	emptyAt    time.Time // when the queue was known to be empty last; of Accept alone
}

// queueEmpty is how long the system has to wait for a connection for the queue to have been empty.
const queueEmpty = time.Millisecond

// Holds is how many connections are open.
func (l *Listener) Holds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Lingering is how many of them are ending, and only wait for their clients to end too.
func (l *Listener) Lingering() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lingering
}

// lingers takes in that a connection is ending, and tells how long it may wait for its client: within, where there is room.
func (l *Listener) lingers(within time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering++
	if l.open >= l.most {
		return min(within, lingerCrowd)
	}
	return within
}

// left gives a place back, of one that lingered or did not.
func (l *Listener) left(lingered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if lingered {
		l.lingering--
	}
	l.free.Signal()
}

// Waits tells whether nobody can be let in now: it is full, or closed.
func (l *Listener) Waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.most || l.closed
}

// Full tells whether connections have to wait.
func (l *Listener) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.most
}

// Resize changes how many may be open. What is open is let be.
func (l *Listener) Resize(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
	l.free.Broadcast()
}

// Accept is for one goroutine.
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
	asked := time.Now()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if now := time.Now(); now.Sub(asked) >= queueEmpty {
		l.emptyAt = now
	}
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	w := watch(c, l)
	w.opaque, w.notBefore = l.Opaque, l.emptyAt
	return w, nil
}

func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.free.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// Queued tells whether somebody may stand in the queue: it is full, it has something, or room is there and it can't be told.
func (l *Listener) Queued() bool {
	if l.Waits() {
		return true // it is full, or closed and the last one let in is not counted yet
	}
	some, known := sock.Waiting(l.Listener)
	return some && known // where it can't be told, room is taken for a sign
}
