// Package engine carries out the decisions of package balance for any front. One goroutine at a time owns the Balancer,
// the tables of backends and requests, the attempts and the timers; a Transport stands for the protocol. The package
// knows no protocol, opens no socket and takes the time from its configuration.
package engine

import (
	"cmp"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
)

// Config is what an engine is built from. Balancer and Transport are needed, the rest has defaults.
type Config struct {
	Balancer  *balance.Balancer
	Transport Transport
	Log       *slog.Logger                   // default: discards
	Now       func() time.Time               // default: time.Now
	Origin    time.Duration                  // the clock at the start, Unix time; default: by Now
	Ask       func(balance.ActionKind)       // takes Watch, Unwatch and Fetch; must not block
	Tell      func(peer int, payload []byte) // takes Tell; must not block
	Saw       func(id string, res Result)    // sees how each attempt and probe ended, on the loop; nil: nobody
	Trace     func(Step)                     // sees each event with its actions, on the loop; nil: nobody
}

// Step is one event and what the Balancer answered. Its slices hold until Trace returns.
type Step struct {
	Now     time.Duration
	Event   *balance.Event
	Actions []balance.Action
}

// Engine owns a Balancer. Everything else posts to it, and it carries out the Balancer's actions. It never waits for
// anyone: what may block runs in goroutines that post what came of it. So whoever posts waits for the engine, and
// the engine for nobody.
//
// The loop is Run's goroutine, or, for a moment, one that found the loop free (Place, Attempt.Deliver): then the call
// needs no hand-off. Either holds own. Methods that say 'on the loop' may be called only from a function that was given
// to Post, from a Transport's method, from the goroutine that calls Step, or before Run begins.
type Engine struct {
	Config
	own  sync.Mutex
	done chan struct{} // closed when Run has ended

	mu    sync.Mutex
	queue []func() // posted, not run yet
	ahead []func() // and what goes before it
	ended bool

	urgent atomic.Bool   // ahead holds something
	wake   chan struct{} // Run has something to look at
	armed  time.Duration // when Run looks at the timers next, under own
	spare  []func()
	start  time.Time
	origin time.Duration // the clock at start: Unix time, which lists' start times are in

	requests map[string]*Request
	backends map[string]*backend // by the list's id
	byNumber map[balance.BackendID]*backend
	numbers  balance.BackendID // given so far: one is never given again
	arrived  uint64
	answerBy time.Time // zero: the process is not about to end
	timers   timers
	seq      uint64

	events  []balance.Event // that wait for the one in hand
	busy    bool
	actions []balance.Action

	ready atomic.Bool // some backend may be sent to
}

// backend is a backend that a list has named. One that is gone is kept for as long as something is out at it.
type backend struct {
	number balance.BackendID
	id     string
	to     Endpoint
	phase  balance.Phase
	out    int // attempts and probes whose outcome the Balancer has not been told
}

// New returns an engine that is ready to run.
func New(cfg Config) *Engine {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Ask == nil {
		cfg.Ask = func(balance.ActionKind) {}
	}
	if cfg.Tell == nil {
		cfg.Tell = func(int, []byte) {}
	}
	start := cfg.Now()
	return &Engine{
		Config: cfg,
		wake:   make(chan struct{}, 1), done: make(chan struct{}),
		start: start, origin: cmp.Or(cfg.Origin, time.Duration(start.UnixNano())),
		requests: map[string]*Request{}, backends: map[string]*backend{},
		byNumber: map[balance.BackendID]*backend{},
	}
}

// Post has f run on the loop, after all that was posted before. It tells whether the engine still takes any. It never
// waits for the loop, so that the loop itself may post.
func (e *Engine) Post(f func()) bool {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return false
	}
	e.queue = append(e.queue, f)
	first := len(e.queue) == 1
	e.mu.Unlock()
	if first {
		e.nudge()
	}
	return true
}

// PostFirst is Post for the few things that must not wait behind what requests have posted.
func (e *Engine) PostFirst(f func()) bool {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return false
	}
	e.ahead = append(e.ahead, f)
	e.urgent.Store(true)
	e.mu.Unlock()
	e.nudge()
	return true
}

func (e *Engine) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// enter takes the loop if it is free, with all that was posted before done. Whoever got it calls leave.
func (e *Engine) enter() bool {
	if !e.own.TryLock() {
		return false
	}
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	if ended {
		e.own.Unlock()
		return false
	}
	e.drain()
	return true
}

// leave gives the loop back. What is posted from here on wakes Run.
func (e *Engine) leave() {
	e.drain()
	sooner := len(e.timers) > 0 && e.timers[0].at < e.armed
	e.own.Unlock()
	if sooner {
		e.nudge()
	}
}

// drain runs what was posted, until nothing is left, and tells whether there was anything. On the loop.
func (e *Engine) drain() bool {
	some := false
	for {
		some = e.drainAhead() || some
		e.mu.Lock()
		batch := e.queue
		e.queue = e.spare[:0]
		e.mu.Unlock()
		if len(batch) == 0 {
			e.spare = batch
			return some
		}
		some = true
		for i, f := range batch {
			batch[i] = nil
			f()
			if e.urgent.Load() {
				e.drainAhead()
			}
		}
		e.spare = batch[:0]
	}
}

// drainAhead runs what goes first. On the loop.
func (e *Engine) drainAhead() bool {
	if !e.urgent.Load() {
		return false
	}
	e.mu.Lock()
	batch := e.ahead
	e.ahead = nil
	e.urgent.Store(false)
	e.mu.Unlock()
	for _, f := range batch {
		f()
	}
	return len(batch) > 0
}

// Done is closed when Run has ended: no answer comes from then on.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Ready tells whether some backend may be sent to. Any goroutine may ask.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Clock is the Balancer's clock. It follows the monotonic clock, so that it never goes back, nor with a wall clock that is set anew.
// Any goroutine may ask.
func (e *Engine) Clock() time.Duration { return e.origin + e.Now().Sub(e.start) }

// Run serves until quit is closed.
func (e *Engine) Run(quit <-chan struct{}) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	defer func() {
		e.own.Lock()
		e.mu.Lock()
		e.ended, e.queue, e.ahead = true, nil, nil
		e.mu.Unlock()
		e.stopAll() // no timer will ring for them
		e.own.Unlock()
		close(e.done)
	}()
	for {
		e.own.Lock()
		e.settleAll()
		wait := time.Hour
		if len(e.timers) > 0 {
			wait = e.timers[0].at - e.Clock()
		}
		e.armed = e.Clock() + wait
		e.own.Unlock()
		alarm.Reset(wait)
		select {
		case <-quit:
			return
		case <-e.wake:
		case <-alarm.C:
		}
	}
}

// settleAll runs what was posted and the timers that are due, until nothing of either is left.
func (e *Engine) settleAll() {
	for e.drain() || e.ring() {
	}
}

// Step stands in for Run where a driver owns the time: it runs what was posted and the timers that are due, and
// returns when nothing of either is left. Only one goroutine may call it, and never beside Run.
func (e *Engine) Step() { e.settleAll() }

// Next is when the next timer is due, on Clock. It reports false when there is none. On the loop.
func (e *Engine) Next() (time.Duration, bool) {
	if len(e.timers) == 0 {
		return 0, false
	}
	return e.timers[0].at, true
}

// ring handles the timers that are due and tells whether there were any.
func (e *Engine) ring() bool {
	rang := false
	for now := e.Clock(); len(e.timers) > 0 && e.timers[0].at <= now; rang = true {
		t := e.timers.pop()
		e.Handle(balance.Event{Kind: balance.Timer, Mark: t.mark})
	}
	return rang
}

// Handle gives an event to the Balancer and carries out what it answers. Events that this makes follow in order.
// On the loop.
func (e *Engine) Handle(ev balance.Event) {
	e.events = append(e.events, ev)
	if e.busy {
		return
	}
	e.busy = true
	for i := 0; i < len(e.events); i++ {
		now := e.Clock()
		e.actions = e.Balancer.Handle(now, e.events[i], e.actions[:0])
		if e.Trace != nil {
			e.Trace(Step{now, &e.events[i], e.actions})
		}
		for j := range e.actions {
			e.do(&e.actions[j])
		}
	}
	clear(e.events)
	e.events, e.busy = e.events[:0], false
}

func (e *Engine) do(a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		e.send(a)
	case balance.Cancel:
		if r := e.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			e.giveUp(r.attempts[a.Attempt], balance.Revoked)
		}
	case balance.Refuse:
		e.finish(e.requests[a.Request], Answer{Kind: Refused, RetryIn: a.RetryIn})
	case balance.Fail:
		e.finish(e.requests[a.Request], Answer{Kind: Failed})
	case balance.Probe:
		e.probe(a.Backend)
	case balance.SetTimer:
		e.seq++
		e.timers.push(timer{at: e.Clock() + a.In, seq: e.seq, mark: a.Mark})
	case balance.Watch, balance.Unwatch, balance.Fetch:
		e.Ask(a.Kind)
	case balance.Tell:
		e.Tell(a.Peer, a.Payload)
	case balance.Close:
		if b := e.byNumber[a.Backend]; b != nil {
			e.Transport.Drop(b.to)
		}
	case balance.Log:
		e.Log.Info(a.Text)
	}
}

// timer is a Timer event to come.
type timer struct {
	at   time.Duration
	seq  uint64
	mark uint64
}

// timers is a binary heap by time; what is due at the same time keeps its order. container/heap would box each timer.
type timers []timer

func (t timers) less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}

func (t *timers) push(x timer) {
	*t = append(*t, x)
	h := *t
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.less(i, up) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

func (t *timers) pop() timer {
	h := *t
	first, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	*t = h
	for i := 0; ; {
		least := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < last && h.less(down, least) {
				least = down
			}
		}
		if least == i {
			return first
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
