// Package box is the model of one backend for stand-in servers of any protocol: cores, a queue, a cold start that falls
// over when pushed, and faults on request. It keeps a ledger of what ran.
package box

import (
	"context"
	"sync"
	"time"
)

// Config is what a box is like.
type Config struct {
	ID    string
	Cores int           // calls worked on at once; 0: 4
	Queue int           // calls that may wait; 0: 64
	Work  time.Duration // of one call on a warm core; 0: 2 ms

	ColdShare    float64       // part of the cores' speed right after a cold start
	WarmWithin   time.Duration // and how long until it is whole; 0: starts warm
	FallMultiple float64       // work beyond this multiple of what it can do now ...
	OverloadFor  time.Duration // ... over this time brings a cold box down
}

// End is how a box ended a call.
type End int

// Ends of a call.
const (
	OK       End = iota
	Error        // it ran, and failed
	Full         // it never ran: no room
	Draining     // it never ran: the box is about to end
	Fallen       // the box is down: nobody answers
	Left         // the caller did not wait
)

// Ledger is what ran, at any box.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]Run
}

// Run is one run of a call.
type Run struct {
	Box string
	At  time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]Run{}} }

func (l *Ledger) ran(call, box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[call] = append(l.runs[call], Run{box, time.Now()})
}

// Runs returns the runs of a call, the first one first.
func (l *Ledger) Runs(call string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[call]...)
}

// Total counts the runs at one box; at all boxes for "".
func (l *Ledger) Total(box string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		for _, r := range runs {
			if box == "" || r.Box == box {
				n++
			}
		}
	}
	return n
}

// Box is one box. Its faults may be set at any time.
type Box struct {
	Config
	Ledger *Ledger

	cores chan struct{}

	mu       sync.Mutex
	started  time.Time // of a cold start; zero: warm
	draining bool
	hung     chan struct{} // closed when the hang ends; nil: none
	slow     float64
	failing  bool
	fallen   bool
	held     int
	most     int
	pushed   []push // what came within OverloadFor
	drainAt  time.Time
	afterMax time.Duration // the latest call after the drain was told
}

type push struct {
	at   time.Time
	work time.Duration
}

// New returns a box that is up and warm.
func New(cfg Config, ledger *Ledger) *Box {
	if cfg.Cores <= 0 {
		cfg.Cores = 4
	}
	if cfg.Queue <= 0 {
		cfg.Queue = 64
	}
	if cfg.Work <= 0 {
		cfg.Work = 2 * time.Millisecond
	}
	return &Box{Config: cfg, Ledger: ledger, cores: make(chan struct{}, cfg.Cores), slow: 1}
}

// Start has the box start cold now.
func (b *Box) Start() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started, b.fallen, b.pushed = time.Now(), false, nil
}

// Drain has it turn away what is new, or not.
func (b *Box) Drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining, b.drainAt = on, time.Now()
}

// Hang has it hold what comes and what it has, or go on.
func (b *Box) Hang(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case on && b.hung == nil:
		b.hung = make(chan struct{})
	case !on && b.hung != nil:
		close(b.hung)
		b.hung = nil
	}
}

// Slow multiplies the time of each call.
func (b *Box) Slow(by float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slow = by
}

// Fail has each call run and fail at once, or not.
func (b *Box) Fail(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = on
}

// Fell tells whether it was pushed over since its start.
func (b *Box) Fell() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fallen
}

// Held is how many calls it has now, Most how many it had at once.
func (b *Box) Held() (held, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.most
}

// LastAfterDrain is how long after Drain the latest call came in.
func (b *Box) LastAfterDrain() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.afterMax
}

// warmth is the part of its speed that it has. Held under mu.
func (b *Box) warmth(now time.Time) float64 {
	if b.started.IsZero() || b.WarmWithin <= 0 {
		return 1
	}
	return min(1, b.ColdShare+(1-b.ColdShare)*float64(now.Sub(b.started))/float64(b.WarmWithin))
}

// push counts what reaches a cold box, whatever becomes of it. Held under mu.
func (b *Box) push(now time.Time, work time.Duration) {
	w := b.warmth(now)
	if w >= 1 || b.OverloadFor <= 0 {
		return
	}
	b.pushed = append(b.pushed, push{now, work})
	for now.Sub(b.pushed[0].at) > b.OverloadFor {
		b.pushed = b.pushed[1:]
	}
	var sum time.Duration
	for _, p := range b.pushed {
		sum += p.work
	}
	if sum.Seconds() > b.FallMultiple*w*float64(b.Cores)*b.OverloadFor.Seconds() {
		b.fallen = true
	}
}

// Do works on a call until it ends, or ctx does. Work 0 is the box's usual.
func (b *Box) Do(ctx context.Context, call string, work time.Duration) End {
	if work <= 0 {
		work = b.Work
	}
	now := time.Now()
	b.mu.Lock()
	b.push(now, work)
	if b.draining {
		b.afterMax = max(b.afterMax, now.Sub(b.drainAt))
	}
	switch {
	case b.fallen:
		b.mu.Unlock()
		return Fallen
	case b.draining:
		b.mu.Unlock()
		return Draining
	case b.held >= b.Cores+b.Queue:
		b.mu.Unlock()
		return Full
	}
	b.held++
	b.most = max(b.most, b.held)
	failing := b.failing
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.held--
		b.mu.Unlock()
	}()
	if failing {
		b.Ledger.ran(call, b.ID)
		return Error
	}
	if !b.wait(ctx) {
		return Left
	}
	select {
	case b.cores <- struct{}{}:
	case <-ctx.Done():
		return Left
	}
	defer func() { <-b.cores }()
	b.Ledger.ran(call, b.ID)
	b.mu.Lock()
	took := time.Duration(float64(work) * b.slow / b.warmth(time.Now()))
	b.mu.Unlock()
	t := time.NewTimer(took)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return Left
	}
	if !b.wait(ctx) {
		return Left
	}
	return OK
}

// wait waits while the box hangs.
func (b *Box) wait(ctx context.Context) bool {
	b.mu.Lock()
	hung := b.hung
	b.mu.Unlock()
	if hung == nil {
		return true
	}
	select {
	case <-hung:
		return true
	case <-ctx.Done():
		return false
	}
}
