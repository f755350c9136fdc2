// Package check schedules the health checks of a pool and turns their results into verdicts, with rise and fall counts, jitter
// and a limit on concurrent checks. It is pure: no I/O, no clock, no goroutine. It doesn't decide what a verdict changes in a pool:
// package merge does, and it keeps checks from emptying one.
package check

import (
	"cmp"
	"math/rand/v2"
	"time"

	"glencart/lag"
	"glencart/wheel"
)

// Config holds the settings of the checks of a pool.
type Config struct {
	Every  time.Duration // interval between two checks of a backend; 0: DefaultEvery
	Rise   int           // consecutive successes after which a backend that is down is up; 0: DefaultRise
	Fall   int           // consecutive failures after which a backend that is up is down; 0: DefaultFall
	AtOnce int           // maximum number of concurrent checks; 0: DefaultAtOnce
	// Timeout is how long a check may take. A check that had no answer by then counts for nothing if this process was held up meanwhile.
	// 0: every failure counts.
	Timeout time.Duration
}

// Defaults of Config, and limits.
const (
	DefaultEvery, DefaultRise, DefaultFall, DefaultAtOnce = 5 * time.Second, 2, 3, 64
	// MinEvery is the shortest interval between two checks of a backend.
	MinEvery = 100 * time.Millisecond
	// jitter is the part of Every by which an interval varies, so that processes that start together don't stay synchronized.
	jitter = 0.1
)

// Check is a health check to make now. The caller passes the outcome of each to Result, once.
type Check struct {
	Backend, Addr string
	Token         uint64
}

// Verdict is a change of state of one backend.
type Verdict struct {
	Backend, Addr string
	Up            bool
	Cause         string // cause of the last result
}

// Checks holds the health checks of one pool. New returns one.
type Checks struct {
	cfg       Config
	rng       *rand.Rand
	backends  map[string]*backend
	timers    *wheel.Wheel[*backend]
	waiting   []*backend          // due, and waiting because AtOnce checks are in flight
	inFlight  map[uint64]*backend // checks in flight, by token
	lastToken uint64
	heldUpAt  time.Duration // when this process last ran late; -1: never
}

type backend struct {
	id, addr        string
	up, hasAnswered bool // hasAnswered: at least one check has succeeded
	streak          int  // consecutive results that contradict up
	timer           wheel.ID
	token           uint64        // of the check in flight; 0: none
	checkedAt       time.Duration // when that check began
	isWaiting       bool          // in Checks.waiting
	isRemoved       bool
}

// New returns Checks without backends. The seed differs from process to process.
func New(cfg Config, seed uint64, now time.Duration) *Checks {
	cfg.Every = max(cmp.Or(cfg.Every, DefaultEvery), MinEvery)
	cfg.Rise, cfg.Fall, cfg.AtOnce = cmp.Or(cfg.Rise, DefaultRise), cmp.Or(cfg.Fall, DefaultFall), cmp.Or(cfg.AtOnce, DefaultAtOnce)
	return &Checks{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), backends: map[string]*backend{}, inFlight: map[uint64]*backend{},
		timers: wheel.New[*backend](0, now), heldUpAt: -1}
}

// Set adds a backend to the checks. The first check comes at a random time within one interval. A backend with a new address counts
// as a new one: it is up until checks fail, and the result of a check of the old address is ignored. Set reports whether it
// changed anything.
func (c *Checks) Set(now time.Duration, id, addr string) bool {
	if b := c.backends[id]; b != nil {
		if b.addr == addr {
			return false
		}
		c.Remove(id)
	}
	b := &backend{id: id, addr: addr, up: true}
	c.backends[id] = b
	c.schedule(b, now+time.Duration(c.rng.Float64()*float64(c.cfg.Every)))
	return true
}

// Remove stops the checks of a backend.
func (c *Checks) Remove(id string) {
	b := c.backends[id]
	if b == nil {
		return
	}
	b.isRemoved = true
	c.timers.Stop(b.timer)
	delete(c.backends, id)
}

// schedule sets the time of the next check of a backend.
func (c *Checks) schedule(b *backend, at time.Duration) { b.timer = c.timers.Arm(at, b) }

// Next returns the latest time for the next call of Due; false: nothing is scheduled. Checks that wait for a free slot start at the
// call of Due after the next Result.
func (c *Checks) Next() (time.Duration, bool) { return c.timers.Next() }

// Due appends the checks to make now to checks.
func (c *Checks) Due(now time.Duration, checks []Check) []Check {
	c.timers.Advance(now, func(at time.Duration, b *backend) {
		c.observeDelay(now, now-at)
		if !b.isWaiting {
			b.isWaiting = true
			c.waiting = append(c.waiting, b)
		}
	})
	for len(c.waiting) > 0 && len(c.inFlight) < c.cfg.AtOnce {
		b := c.waiting[0]
		c.waiting[0] = nil
		c.waiting = c.waiting[1:]
		if b.isWaiting = false; b.isRemoved {
			continue
		}
		c.lastToken++
		b.token, b.checkedAt = c.lastToken, now
		c.inFlight[b.token] = b
		checks = append(checks, Check{Backend: b.id, Addr: b.addr, Token: b.token})
	}
	return checks
}

// Result records the outcome of a check. It returns the resulting change of the backend; nil: none.
func (c *Checks) Result(now time.Duration, token uint64, ok bool, why string) *Verdict {
	b := c.inFlight[token]
	delete(c.inFlight, token)
	if b == nil || b.isRemoved {
		return nil
	}
	b.token = 0
	isTimeout := !ok && c.cfg.Timeout > 0 && now-b.checkedAt >= c.cfg.Timeout
	if isTimeout {
		c.observeDelay(now, now-b.checkedAt-c.cfg.Timeout)
	}
	c.schedule(b, now+time.Duration(float64(c.cfg.Every)*(1-jitter+2*jitter*c.rng.Float64())))
	if isTimeout && c.heldUpAt >= b.checkedAt {
		return nil // this process was late, and the backend may not have been
	}
	if ok == b.up {
		b.streak, b.hasAnswered = 0, b.hasAnswered || ok
		return nil
	}
	b.streak++
	needed := c.cfg.Fall
	switch {
	case ok:
		needed = c.cfg.Rise
	case !b.hasAnswered:
		needed = 1 // a backend that has never answered has no good state to protect from a single failure
	}
	if b.streak < needed {
		return nil
	}
	b.streak, b.up, b.hasAnswered = 0, ok, b.hasAnswered || ok
	return &Verdict{Backend: b.id, Addr: b.addr, Up: ok, Cause: why}
}

// observeDelay records that something that was due ran after a delay.
func (c *Checks) observeDelay(now, delay time.Duration) {
	if delay >= lag.MinHoldUp {
		c.heldUpAt = now
	}
}

// Up reports whether a backend counts as up, and whether it is checked at all.
func (c *Checks) Up(id string) (up, known bool) {
	b := c.backends[id]
	return b != nil && b.up, b != nil
}

// InFlight returns the number of checks in flight.
func (c *Checks) InFlight() int { return len(c.inFlight) }

// Len returns the number of backends that are checked.
func (c *Checks) Len() int { return len(c.backends) }
