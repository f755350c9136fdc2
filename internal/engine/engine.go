// Package engine carries out the decisions of package balance for any front. One goroutine owns the Balancer, the
// tables of backends and requests, the attempts and the timers; a Transport stands for the protocol. The package
// knows no protocol, opens no socket and takes the time from its configuration.
package engine

import (
	"container/heap"
	"log/slog"
	"sync/atomic"
	"time"

	"glencart/balance"
)

// inboxSize is how many posts may wait. It only smooths: a full inbox makes posters wait.
const inboxSize = 1024

// Config is what an engine is built from. Balancer and Transport are needed, the rest has defaults.
type Config struct {
	Balancer  *balance.Balancer
	Transport Transport
	Log       *slog.Logger                   // default: discards
	Now       func() time.Time               // default: time.Now
	Ask       func(balance.ActionKind)       // takes Watch, Unwatch and Fetch; must not block
	Tell      func(peer int, payload []byte) // takes Tell; must not block
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
// Methods that say 'on the loop' may be called only from a function that was given to Post, from a Transport's
// method, from the goroutine that calls Step, or before Run begins.
type Engine struct {
	Config
	inbox  chan func()
	done   chan struct{} // closed when Run has ended
	start  time.Time
	origin time.Duration // the clock at start: Unix time, which lists' start times are in

	requests map[string]*Request
	backends map[string]*backend // by the list's id
	byNumber map[balance.BackendID]*backend
	numbers  balance.BackendID // given so far: one is never given again
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
		inbox:  make(chan func(), inboxSize), done: make(chan struct{}),
		start: start, origin: time.Duration(start.UnixNano()),
		requests: map[string]*Request{}, backends: map[string]*backend{},
		byNumber: map[balance.BackendID]*backend{},
	}
}

// Post has f run on the loop, after all that was posted before. It tells whether the engine still takes any.
func (e *Engine) Post(f func()) bool {
	select {
	case <-e.done:
		return false
	case e.inbox <- f:
		return true
	}
}

// Done is closed when Run has ended: no answer comes from then on.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Ready tells whether some backend may be sent to. Any goroutine may ask.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Clock is the Balancer's clock. It follows the monotonic clock, so that it never goes back.
func (e *Engine) Clock() time.Duration { return e.origin + e.Now().Sub(e.start) }

// Run serves until quit is closed.
func (e *Engine) Run(quit <-chan struct{}) {
	defer close(e.done)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		wait := time.Hour
		if len(e.timers) > 0 {
			wait = e.timers[0].at - e.Clock()
		}
		alarm.Reset(wait)
		select {
		case <-quit:
			return
		case f := <-e.inbox:
			f()
		case <-alarm.C:
		}
		e.ring()
	}
}

// Step stands in for Run where a driver owns the time: it runs what was posted and the timers that are due, and
// returns when nothing of either is left. Only one goroutine may call it, and never beside Run.
func (e *Engine) Step() {
	for {
		select {
		case f := <-e.inbox:
			f()
		default:
			if !e.ring() {
				return
			}
		}
	}
}

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
		t := heap.Pop(&e.timers).(timer)
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
		heap.Push(&e.timers, timer{at: e.Clock() + a.In, seq: e.seq, mark: a.Mark})
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

// timers is a heap by time; what is due at the same time keeps its order.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
