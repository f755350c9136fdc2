package upstream

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"glencart/internal/engine"
	"glencart/internal/lograte"
	"glencart/internal/sock"
	"glencart/reuse"
)

// ErrNoCapacity reports that no further connection can be opened now. The cause is not the backend.
var ErrNoCapacity = errors.New("no room for another backend connection")

// Options configures a Pool.
type Options struct {
	// Dial opens a connection. The pool may call it again after ctx has ended for the request that needed the connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// MaxConns bounds the connections, idle or in use. MaxIdle bounds the idle ones to one endpoint. 0: no bound.
	MaxConns, MaxIdle int
	IdleTimeout       time.Duration // how long a connection may be idle
	ReadBufferBytes   int
	// AvoidsIdleAge reports whether connections of this idle age often break. May be nil.
	AvoidsIdleAge func(age time.Duration) bool
	Log           *slog.Logger
}

// Pool holds the idle connections to backends, and counts all connections. NewPool returns one. It is safe for concurrent use.
type Pool struct {
	options Options
	start   time.Time // time 0 of policy
	stats   stats

	notTakenLog lograte.Limited // answers that were not taken for the ones to their requests

	mu         sync.Mutex
	idle       map[engine.Endpoint][]*Conn // in the order of IdleAt
	open       int                         // without those in closing
	closing    []*Conn                     // to be closed once mu is unlocked
	isClosed   bool
	lastNumber uint64
	policy     *reuse.Policy[string]
	states     []*reuse.Conn // scratch space of choose
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	return &Pool{options: options, start: time.Now(), idle: map[engine.Endpoint][]*Conn{}, policy: reuse.New[string](),
		notTakenLog: lograte.Limited{Log: options.Log}}
}

// now returns the time on the policy's clock.
func (p *Pool) now() time.Duration { return time.Since(p.start) }

// policyTime returns a deadline on the policy's clock. The zero time is no deadline.
func (p *Pool) policyTime(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return reuse.NoDeadline
	}
	return deadline.Sub(p.start)
}

// Open returns the number of connections, idle, in use or being dialed.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Idle returns the idle connections to an endpoint, the one used last at the end.
func (p *Pool) Idle(to engine.Endpoint) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.idle[to])
}

// IdleTimeout returns how long a connection may be idle.
func (p *Pool) IdleTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.options.IdleTimeout
}

// SetIdleTimeout changes how long a connection may be idle. Connections that are idle for longer are not used again.
func (p *Pool) SetIdleTimeout(timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.IdleTimeout = timeout
}

// Resize changes the limit on connections. It closes idle ones to meet the limit, but none in use.
func (p *Pool) Resize(maxConns int) {
	p.mu.Lock()
	defer p.unlockAndClose()
	p.options.MaxConns = maxConns
	for p.isOverfull() {
		oldest := p.removeOldestIdle()
		if oldest == nil {
			return
		}
		p.close(oldest, ForRoom)
	}
}

func (p *Pool) isOverfull() bool { return p.options.MaxConns > 0 && p.open > p.options.MaxConns }

// connect dials a new connection.
func (p *Pool) connect(ctx context.Context, to engine.Endpoint) (*Conn, error) {
	if !p.reserve() {
		return nil, ErrNoCapacity
	}
	nc, err := p.options.Dial(ctx, to.Addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		return nil, err
	}
	p.stats.dials.Add(1)
	p.lastNumber++
	return NewConn(nc, to, p.lastNumber, p.options.ReadBufferBytes), nil
}

// reserve counts a connection that is about to be dialed. At the limit it closes the one that has been idle
// longest.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.unlockAndClose()
	p.open++
	if !p.isOverfull() {
		return true
	}
	oldest := p.removeOldestIdle()
	if oldest == nil {
		p.open--
		return false
	}
	p.close(oldest, ForRoom)
	return true
}

// removeOldestIdle removes the connection that has been idle longest from the idle ones, if there is one. The caller holds mu.
func (p *Pool) removeOldestIdle() *Conn {
	var oldest *Conn
	for _, list := range p.idle {
		if oldest == nil || list[0].IdleAt.Before(oldest.IdleAt) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.removeIdle(oldest.To, 0)
	}
	return oldest
}

// removeIdle removes the connection at an index of the idle ones to an endpoint. The caller holds mu.
func (p *Pool) removeIdle(to engine.Endpoint, index int) *Conn {
	c := p.idle[to][index]
	p.setIdle(to, slices.Delete(p.idle[to], index, index+1))
	return c
}

func (p *Pool) setIdle(to engine.Endpoint, list []*Conn) {
	if len(list) == 0 {
		delete(p.idle, to)
	} else {
		p.idle[to] = list
	}
}

// close has a connection closed that is in use by nobody, once mu is unlocked. The caller holds mu and unlocks it with unlockAndClose or
// unlockAndCloseLater.
//
// Close of a connection that is watched returns only when the goroutine of its watch has left its read. That takes as long as the other
// goroutines of the process take, so nobody waits for it under the lock.
func (p *Pool) close(c *Conn, reason CloseReason) {
	p.stats.closed[reason].Add(1)
	p.policy.Released(backendKey(c.To), &c.State)
	p.closing = append(p.closing, c)
	p.open--
}

// unlockAndClose unlocks mu and waits until the connections of earlier calls of close are closed.
func (p *Pool) unlockAndClose() { closeConns(p.unlockWithClosing()) }

// unlockAndCloseLater is unlockAndClose for callers that must not wait.
func (p *Pool) unlockAndCloseLater() {
	if conns := p.unlockWithClosing(); len(conns) > 0 {
		go closeConns(conns)
	}
}

// unlockWithClosing unlocks mu and returns the connections to close.
func (p *Pool) unlockWithClosing() []*Conn {
	conns := p.closing
	p.closing = nil
	p.mu.Unlock()
	return conns
}

func closeConns(conns []*Conn) {
	for _, c := range conns {
		c.Close()
	}
}

// closeIdle closes all idle connections to an endpoint. The caller holds mu.
func (p *Pool) closeIdle(to engine.Endpoint, reason CloseReason) {
	for _, c := range p.idle[to] {
		p.close(c, reason)
	}
	delete(p.idle, to)
}

// Discard closes a connection in use. What is written on it and not sent yet is never sent.
func (p *Pool) Discard(c *Conn, reason CloseReason) {
	sock.Abort(c.Conn)
	p.mu.Lock()
	defer p.unlockAndClose()
	p.close(c, reason)
}

// Drop closes the idle connections to an endpoint. It does not wait until they are closed, because the loop of an engine calls it.
func (p *Pool) Drop(to engine.Endpoint) {
	p.mu.Lock()
	defer p.unlockAndCloseLater()
	p.closeIdle(to, BackendRemoved)
}

// The pool looks for connections that have been idle for too long idleChecks times in the idle timeout, within these bounds.
const idleChecks, minIdleCheck, maxIdleCheck = 8, time.Millisecond, time.Second

// Run closes connections that have been idle for too long until ctx ends, and then all idle ones. Later ones are closed when they
// are put back.
func (p *Pool) Run(ctx context.Context) {
	for {
		check := time.NewTimer(min(max(p.IdleTimeout()/idleChecks, minIdleCheck), maxIdleCheck))
		select {
		case <-check.C:
			p.closeOld()
		case <-ctx.Done():
			check.Stop()
			p.closeAll()
			return
		}
	}
}

func (p *Pool) closeOld() {
	p.mu.Lock()
	defer p.unlockAndClose()
	p.policy.Prune(p.now())
	for to := range p.idle {
		for len(p.idle[to]) > 0 && time.Since(p.idle[to][0].IdleAt) >= p.options.IdleTimeout {
			p.close(p.removeIdle(to, 0), IdleTimeout)
		}
	}
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	defer p.unlockAndClose()
	p.isClosed = true
	for to := range p.idle {
		p.closeIdle(to, IdleTimeout)
	}
}
