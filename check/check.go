// Package check schedules the health checks of a pool and turns their results into verdicts, with rise and fall counts, jitter
// and a limit on concurrent checks. It is pure: no I/O, no clock, no goroutine. It doesn't decide what a verdict changes in a pool:
// package merge does, and it keeps checks from emptying one.
package check

import (
	"cmp"
	"math/rand/v2"
	"time"

	"glencart/wheel"
)

// Config holds the settings of the checks of a pool.
type Config struct {
	Every  time.Duration // interval between two checks of a backend; 0: EveryDefault
	Rise   int           // consecutive successes after which a backend that is down is up; 0: RiseDefault
	Fall   int           // consecutive failures after which a backend that is up is down; 0: FallDefault
	AtOnce int           // maximum number of concurrent checks; 0: AtOnceDefault
}

// Defaults of Config, and limits.
const (
	EveryDefault, RiseDefault, FallDefault, AtOnceDefault = 5 * time.Second, 2, 3, 64
	// EveryLeast is the shortest interval between two checks of a backend.
	EveryLeast = 100 * time.Millisecond
	// jitter is the part of Every by which an interval varies, so that processes that start together don't stay synchronized.
	jitter = 0.1
)

// Ask is a check to make now. The caller passes the outcome of each to Result, once.
type Ask struct {
	Box, Addr string
	Token     uint64
}

// Verdict is a change of state of one backend.
type Verdict struct {
	Box, Addr string
	Up        bool
	Why       string // cause of the last result
}

// Checks holds the health checks of one pool. New returns one.
type Checks struct {
	cfg    Config
	rng    *rand.Rand
	boxes  map[string]*box
	wheel  *wheel.Wheel[*box]
	late   []*box          // due, and waiting because AtOnce checks are in flight
	out    map[uint64]*box // checks in flight, by token
	tokens uint64
}

type box struct {
	id, addr string
	up, met  bool // met: at least one check has succeeded
	row      int  // consecutive results that contradict up
	alarm    wheel.ID
	token    uint64 // of the check in flight; 0: none
	waits    bool   // in late
	gone     bool
}

// New returns Checks without backends. The seed differs from process to process.
func New(cfg Config, seed uint64, now time.Duration) *Checks {
	cfg.Every = max(cmp.Or(cfg.Every, EveryDefault), EveryLeast)
	cfg.Rise, cfg.Fall, cfg.AtOnce = cmp.Or(cfg.Rise, RiseDefault), cmp.Or(cfg.Fall, FallDefault), cmp.Or(cfg.AtOnce, AtOnceDefault)
	return &Checks{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), boxes: map[string]*box{}, out: map[uint64]*box{},
		wheel: wheel.New[*box](0, now)}
}

// Set adds a backend to the checks. The first check comes at a random time within one interval. A backend with a new address counts
// as a new one: it is up until checks fail, and the result of a check of the old address is ignored. Set reports whether it
// changed anything.
func (c *Checks) Set(now time.Duration, id, addr string) bool {
	if b := c.boxes[id]; b != nil {
		if b.addr == addr {
			return false
		}
		c.Remove(id)
	}
	b := &box{id: id, addr: addr, up: true}
	c.boxes[id] = b
	c.arm(b, now+time.Duration(c.rng.Float64()*float64(c.cfg.Every)))
	return true
}

// Remove stops the checks of a backend.
func (c *Checks) Remove(id string) {
	b := c.boxes[id]
	if b == nil {
		return
	}
	b.gone = true
	c.wheel.Stop(b.alarm)
	delete(c.boxes, id)
}

func (c *Checks) arm(b *box, at time.Duration) { b.alarm = c.wheel.Arm(at, b) }

// Next returns the latest time for the next call of Due; false: nothing is scheduled. Checks that wait for a free slot start at the
// call of Due after the next Result.
func (c *Checks) Next() (time.Duration, bool) { return c.wheel.Next() }

// Due appends the checks to make now to asks.
func (c *Checks) Due(now time.Duration, asks []Ask) []Ask {
	c.wheel.Advance(now, func(_ time.Duration, b *box) {
		if !b.waits {
			b.waits = true
			c.late = append(c.late, b)
		}
	})
	for len(c.late) > 0 && len(c.out) < c.cfg.AtOnce {
		b := c.late[0]
		c.late[0] = nil
		c.late = c.late[1:]
		if b.waits = false; b.gone {
			continue
		}
		c.tokens++
		b.token = c.tokens
		c.out[b.token] = b
		asks = append(asks, Ask{Box: b.id, Addr: b.addr, Token: b.token})
	}
	return asks
}

// Result records the outcome of a check. It returns the resulting change of the backend; nil: none.
func (c *Checks) Result(now time.Duration, token uint64, ok bool, why string) *Verdict {
	b := c.out[token]
	delete(c.out, token)
	if b == nil || b.gone {
		return nil
	}
	b.token = 0
	c.arm(b, now+time.Duration(float64(c.cfg.Every)*(1-jitter+2*jitter*c.rng.Float64())))
	if ok == b.up {
		b.row, b.met = 0, b.met || ok
		return nil
	}
	b.row++
	need := c.cfg.Fall
	switch {
	case ok:
		need = c.cfg.Rise
	case !b.met:
		need = 1 // a backend that has never answered has no good state to protect from a single failure
	}
	if b.row < need {
		return nil
	}
	b.row, b.up, b.met = 0, ok, b.met || ok
	return &Verdict{Box: b.id, Addr: b.addr, Up: ok, Why: why}
}

// Up reports whether a backend counts as up, and whether it is checked at all.
func (c *Checks) Up(id string) (up, known bool) {
	b := c.boxes[id]
	return b != nil && b.up, b != nil
}

// Out returns the number of checks in flight.
func (c *Checks) Out() int { return len(c.out) }

// Len returns the number of backends that are checked.
func (c *Checks) Len() int { return len(c.boxes) }
