// Package check decides when which box of a pool is checked, and what the answers make of it: rise and fall counts, times that are
// spread, a bound on checks at once. It is pure: no I/O, no clock, no goroutine. A verdict is one fact beside others: what a pool
// does with it, and that checks never empty one, is package merge's.
package check

import (
	"cmp"
	"math/rand/v2"
	"time"

	"glencart/wheel"
)

// Config says how boxes are checked.
type Config struct {
	Every  time.Duration // between two checks of a box; 0: EveryDefault
	Rise   int           // so many good answers in a row make a box that was down up; 0: RiseDefault
	Fall   int           // and so many bad ones one that was up down; 0: FallDefault
	AtOnce int           // so many checks are out at once at the most; 0: AtOnceDefault
}

// Defaults.
const (
	EveryDefault, RiseDefault, FallDefault, AtOnceDefault = 5 * time.Second, 2, 3, 64
	// EveryLeast is the shortest time between two checks of a box.
	EveryLeast = 100 * time.Millisecond
	// jitter is the part of Every by which a wait is longer or shorter: a fleet that began together does not go on together.
	jitter = 0.1
)

// Ask is a check that is to be made now. Every one that is made comes back as a Result, once.
type Ask struct {
	Box, Addr string
	Token     uint64
}

// Verdict is what has changed for a box.
type Verdict struct {
	Box, Addr string
	Up        bool
	Why       string // the last answer's
}

// Checks are the checks of one pool.
type Checks struct {
	cfg    Config
	rng    *rand.Rand
	boxes  map[string]*box
	wheel  *wheel.Wheel[*box]
	late   []*box          // due, and no room
	out    map[uint64]*box // checks that are out
	tokens uint64
}

type box struct {
	id, addr string
	up, met  bool // met: it has answered well at least once
	row      int  // answers in a row that speak against its state
	alarm    wheel.ID
	token    uint64 // of the check that is out; 0: none is
	waits    bool   // in late
	gone     bool
}

// New returns checks of no box. The seed is the process's own.
func New(cfg Config, seed uint64, now time.Duration) *Checks {
	cfg.Every = max(cmp.Or(cfg.Every, EveryDefault), EveryLeast)
	cfg.Rise, cfg.Fall, cfg.AtOnce = cmp.Or(cfg.Rise, RiseDefault), cmp.Or(cfg.Fall, FallDefault), cmp.Or(cfg.AtOnce, AtOnceDefault)
	return &Checks{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), boxes: map[string]*box{}, out: map[uint64]*box{},
		wheel: wheel.New[*box](0, now)}
}

// Set has a box checked, first within one wait, at a time drawn anew. A box with another address is another box: it is taken for up
// until checks say something else, and a check that is out for the old one says nothing. It tells whether that is news.
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

// Remove has a box checked no more.
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

// Next is when Due wants to be called at the latest; false: never. With checks that wait for room it is with the next Result.
func (c *Checks) Next() (time.Duration, bool) { return c.wheel.Next() }

// Due appends the checks that are to be made now to asks.
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

// Result takes in how a check ended. It tells what that changes for its box; nil: nothing.
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
		need = 1 // one that has never answered has nothing to lose
	}
	if b.row < need {
		return nil
	}
	b.row, b.up, b.met = 0, ok, b.met || ok
	return &Verdict{Box: b.id, Addr: b.addr, Up: ok, Why: why}
}

// Up tells whether a box is taken for up, and whether it is checked at all.
func (c *Checks) Up(id string) (up, known bool) {
	b := c.boxes[id]
	return b != nil && b.up, b != nil
}

// Out is how many checks are out, and Len how many boxes are checked.
func (c *Checks) Out() int { return len(c.out) }

// Len is how many boxes are checked.
func (c *Checks) Len() int { return len(c.boxes) }
