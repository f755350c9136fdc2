package upstream

import (
	"context"
	"slices"
	"time"

	"glencart/internal/engine"
	"glencart/reuse"
)

// This file reuses connections as package reuse decides.

// Request is what a connection is needed for.
type Request struct {
	IsProbe    bool
	NeedsNew   bool          // on a connection that has carried nothing
	MaxIdleAge time.Duration // idle time of a connection that may carry it; 0: no limit but that of the pool
	Deadline   time.Time     // by which it must have its answer; zero: none
}

// Get returns a connection that may carry a request: a quiet one, or a new one. A probe gets the connection that has been idle
// longest, even if connections of that idle age often break. If it breaks, no request is lost and the pool learns from it. A
// request gets the most recently used connection, unless connections of that idle age often break. The caller
// must check that the connection is usable right before it writes, and ends its use with Put, Discard or DiscardNotIdle.
func (p *Pool) Get(ctx context.Context, to engine.Endpoint, request Request) (*Conn, error) {
	if request.NeedsNew {
		return p.connect(ctx, to)
	}
	for {
		c, wait := p.take(to, request)
		if c == nil {
			return p.connect(ctx, to)
		}
		if wait > 0 {
			p.stats.waits.Add(1)
			began := time.Now()
			other, err := p.connectMeanwhile(ctx, to, c, wait)
			if other != nil || err != nil {
				return other, err
			}
			c.OwnDelay = time.Since(began)
		}
		if p.stopWatch(c) {
			return c, nil
		}
	}
}

// take takes an idle connection out of the pool, and returns how long it must still be quiet.
func (p *Pool) take(to engine.Endpoint, request Request) (*Conn, time.Duration) {
	p.mu.Lock()
	defer p.unlockAndClose()
	for {
		choice := p.choose(to, request)
		if choice.Index < 0 {
			return nil, 0
		}
		c := p.idle[to][choice.Index]
		age := time.Since(c.IdleAt) + choice.Wait
		if !request.IsProbe && p.isTooOld(age, request) {
			p.policy.Released(backendKey(to), &c.State)
			return nil, 0 // the other quiet ones are older
		}
		p.removeIdle(to, choice.Index)
		c.OwnDelay = 0
		if c.IdleAge = age; age < p.options.IdleTimeout {
			return c, choice.Wait
		}
		p.close(c, IdleTimeout)
	}
}

func (p *Pool) isTooOld(age time.Duration, request Request) bool {
	return request.MaxIdleAge > 0 && age >= request.MaxIdleAge || p.options.AvoidsIdleAge != nil && p.options.AvoidsIdleAge(age)
}

// choose asks the policy for one of the idle connections to an endpoint. The caller holds mu.
func (p *Pool) choose(to engine.Endpoint, request Request) reuse.Choice {
	p.states = p.states[:0]
	for _, c := range p.idle[to] {
		p.states = append(p.states, &c.State)
	}
	if request.IsProbe {
		return p.policy.ChooseForProbe(p.now(), backendKey(to), p.states)
	}
	return p.policy.ChooseWithDeadline(p.now(), p.policyTime(request.Deadline), backendKey(to), p.states)
}

// connectMeanwhile dials while a connection waits until it has been quiet for long enough. It returns the new connection if that
// is up first, and nil if the other one is to be used.
func (p *Pool) connectMeanwhile(ctx context.Context, to engine.Endpoint, waiting *Conn, wait time.Duration) (*Conn, error) {
	dialing := &dial{pool: p}
	if wait > waitBeforeDial && p.HasSpareRoom() {
		dialing = p.startDial(ctx, to)
	}
	quiet := time.NewTimer(wait)
	defer quiet.Stop()
	for {
		select {
		case <-dialing.done:
			if dialing.err == nil {
				p.putBack(waiting)
				return dialing.conn, nil
			}
			dialing.done = nil // wait for the other one
		case <-quiet.C:
			dialing.abandon()
			return nil, nil
		case <-waiting.watch.ended:
			dialing.abandon()
			return nil, nil
		case <-ctx.Done():
			dialing.abandon()
			p.putBack(waiting)
			return nil, ctx.Err()
		}
	}
}

// waitBeforeDial is how long a request waits for a connection to be quiet before it also dials. A new connection takes a few
// round trips, and work of a backend that holds few connections.
const waitBeforeDial = 60 * time.Millisecond

// spareRoomDivisor is the share of the connections that a dial beside a wait leaves to requests that find no idle connection: one
// part in spareRoomDivisor.
const spareRoomDivisor = 4

// HasSpareRoom reports whether there is room for a connection that is not needed at once: for a request that has another one, or a late
// probe.
func (p *Pool) HasSpareRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.options.MaxConns
	return limit == 0 || p.open < limit-limit/spareRoomDivisor
}

// dial is a connection that is being dialed beside another way to send a request.
type dial struct {
	pool *Pool
	done chan struct{} // closed when the dial has ended
	conn *Conn
	err  error
}

func (p *Pool) startDial(ctx context.Context, to engine.Endpoint) *dial {
	d := &dial{pool: p, done: make(chan struct{})}
	done := d.done
	ctx = context.WithoutCancel(ctx) // a connection that is up too late for this request can carry the next one
	go func() {
		d.conn, d.err = p.connect(ctx, to)
		close(done)
	}()
	return d
}

// abandon puts the connection into the pool once it is up.
func (d *dial) abandon() {
	if d.done == nil {
		return
	}
	go func() {
		<-d.done
		if d.err == nil {
			d.pool.putNew(d.conn)
		}
	}()
}

// stopWatch prepares a connection taken from the pool for a request. It reports false if something had arrived on it, or if its
// backend is no longer trusted. Then the connection is closed.
func (p *Pool) stopWatch(c *Conn) bool {
	if !c.watch.stop() {
		p.discardWatched(c)
		return false
	}
	p.mu.Lock()
	defer p.unlockAndClose()
	if c.State.IsReused() && p.policy.LevelOf(p.now(), backendKey(c.To)) == reuse.SingleUse {
		p.close(c, Distrusted) // surplus bytes were noticed while it waited
		return false
	}
	p.stats.reused.Add(1)
	p.policy.Taken(p.now(), backendKey(c.To), &c.State)
	return true
}

// Put returns a connection to the pool after a whole answer.
func (p *Pool) Put(c *Conn, answer reuse.Answer) {
	p.mu.Lock()
	defer p.unlockAndClose()
	p.policy.Answered(p.now(), backendKey(c.To), &c.State, answer)
	if c.hasSurplus {
		p.close(c, Surplus)
		return
	}
	p.addIdle(c)
}

// putNew puts a connection into the pool that has carried nothing.
func (p *Pool) putNew(c *Conn) {
	p.mu.Lock()
	defer p.unlockAndClose()
	c.State.FreeAt = p.now()
	p.addIdle(c)
}

// watchedBytes bounds the bytes that are read of what arrives on an idle connection.
const watchedBytes = 512

// addIdle adds a connection to the idle ones and watches it, or closes it. The caller holds mu.
func (p *Pool) addIdle(c *Conn) {
	switch {
	case p.isClosed, p.isOverfull(), p.options.MaxIdle > 0 && len(p.idle[c.To]) >= p.options.MaxIdle:
		p.close(c, ForRoom)
	case c.State.IsReused() && p.policy.LevelOf(p.now(), backendKey(c.To)) == reuse.SingleUse:
		p.close(c, Distrusted)
	default:
		c.IdleAt, c.Limit.N = time.Now(), watchedBytes
		c.watch = startWatch(c.Conn, c.Reader, func() { p.idleEnded(c) })
		p.idle[c.To] = append(p.idle[c.To], c)
	}
}

// putBack puts a connection back that was taken and not used.
func (p *Pool) putBack(c *Conn) {
	p.mu.Lock()
	defer p.unlockAndClose()
	if c.watch.hasEnded() {
		go p.discardWatched(c)
		return
	}
	if p.isClosed {
		p.close(c, IdleTimeout)
		return
	}
	p.policy.Released(backendKey(c.To), &c.State)
	list := p.idle[c.To]
	i, _ := slices.BinarySearchFunc(list, c.IdleAt, func(other *Conn, at time.Time) int { return other.IdleAt.Compare(at) })
	p.idle[c.To] = slices.Insert(list, i, c)
}

// idleEnded handles the end of a watch that was not stopped. A connection that was taken meanwhile is handled by who took it.
func (p *Pool) idleEnded(c *Conn) {
	p.mu.Lock()
	i := slices.Index(p.idle[c.To], c)
	if i >= 0 {
		p.removeIdle(c.To, i)
	}
	p.mu.Unlock()
	if i >= 0 {
		p.discardWatched(c)
	}
}
