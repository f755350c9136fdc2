// Package engine executes the decisions of package balance for any front end. One goroutine at a time owns the Balancer,
// the tables of backends and requests, the attempts and the timers. A Transport implements the protocol. The package
// itself implements no protocol, opens no socket and gets the time from its configuration.
package engine

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/lag"
)

// Config configures an Engine. Balancer and Transport are required. The other fields have defaults.
type Config struct {
	Balancer         *balance.Balancer
	Transport        Transport
	Log              *slog.Logger                   // default: discards
	Now              func() time.Time               // default: time.Now
	Origin           time.Duration                  // value of the clock at the start, as Unix time; default: Now
	RequestDiscovery func(balance.ActionKind)       // receives Watch, Unwatch and Fetch; must not block
	SendToPeer       func(peer int, payload []byte) // sends a message to a peer; must not block
	OnResult         func(id string, res Result)    // called on the loop when an attempt or a probe ends; may be nil
	Trace            func(Step)                     // called on the loop after each event; may be nil
	// UnsafeIDs records the ids of requests with IsUnsafe until UnsafeIDRetention after their ends, so that none runs twice when it comes
	// again after its client has left, or to another process. Nil: only open requests of this engine are known.
	UnsafeIDs         IDRecords
	UnsafeIDRetention time.Duration
}

// IDRecords are records of ids that each end at a time of the engine's clock. The engine calls them from its loop. They must not block.
type IDRecords interface {
	// Add records an id until a time. It reports false if there is a record of it already.
	Add(id string, now, until time.Duration) bool
	// Extend changes the end of the record of an id. If there is none any more, it adds one.
	Extend(id string, now, until time.Duration)
	// Remove removes the record of an id.
	Remove(id string, now time.Duration)
}

// Step is one event with the resulting actions of the Balancer. Its slices are valid until Trace returns.
type Step struct {
	Now     time.Duration
	Event   *balance.Event
	Actions []balance.Action
}

// Engine owns a Balancer and executes its actions. Other goroutines post functions to it. The engine never blocks:
// operations that may block run in other goroutines, which post the result.
//
// The loop is the goroutine of Run. A caller of Submit or Attempt.Deliver becomes the loop for the duration of the call if
// the loop is idle, which saves a hand-off. Either goroutine holds loopMu. Methods documented as "On the loop" may be
// called only from a function passed to Post, from a method of a Transport, from the goroutine that calls Step, or before
// Run starts.
type Engine struct {
	Config
	loopMu sync.Mutex
	done   chan struct{} // closed when Run has ended

	mu          sync.Mutex
	queue       []func() // posted, not yet run
	urgentQueue []func() // runs before queue
	ended       bool

	hasUrgent   atomic.Bool   // urgentQueue is not empty
	wake        chan struct{} // wakes Run
	nextCheckAt time.Duration // next time that Run checks the timers; guarded by loopMu
	spareQueue  []func()
	start       time.Time
	origin      time.Duration // value of the clock at start: Unix time, as the start times in endpoint lists

	requests   map[string]*Request
	backends   map[string]*backend // by id in the endpoint list
	byNumber   map[balance.BackendID]*backend
	nextNumber balance.BackendID // numbers are never reused
	arrived    uint64
	answerBy   time.Time // zero: the process is not shutting down
	timers     timers
	seq        uint64

	pendingEvents []balance.Event // queued behind the event in progress
	isHandling    bool
	actions       []balance.Action

	lag      lag.Estimator
	isShort  bool          // as the Balancer has it
	postedAt time.Duration // when the oldest function in queue was posted; guarded by mu

	ready atomic.Bool // at least one backend accepts requests
	stats Stats
}

// backend is a backend of an endpoint list. A removed one stays in the tables while it has outstanding attempts or probes.
type backend struct {
	number      balance.BackendID
	id          string
	endpoint    Endpoint
	phase       balance.Phase
	outstanding int // attempts and probes without an outcome reported to the Balancer
}

// New returns an engine that is ready to run.
func New(cfg Config) *Engine {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.RequestDiscovery == nil {
		cfg.RequestDiscovery = func(balance.ActionKind) {}
	}
	if cfg.SendToPeer == nil {
		cfg.SendToPeer = func(int, []byte) {}
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

// Post queues f to run on the loop, after all functions posted before. It reports false if the engine has ended. It
// never waits for the loop, so the loop itself may post.
func (e *Engine) Post(f func()) bool {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return false
	}
	e.queue = append(e.queue, f)
	first := len(e.queue) == 1
	if first {
		e.postedAt = e.Clock()
	}
	e.mu.Unlock()
	if first {
		e.wakeLoop()
	}
	return true
}

// PostFirst is Post for the few functions that must not wait behind functions posted by requests.
func (e *Engine) PostFirst(f func()) bool {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return false
	}
	e.urgentQueue = append(e.urgentQueue, f)
	e.hasUrgent.Store(true)
	e.mu.Unlock()
	e.wakeLoop()
	return true
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// tryRunOnLoop makes the calling goroutine the loop if the loop is idle, and runs f behind the posted functions. It reports whether it
// did. A panic of f leaves the loop to others.
func (e *Engine) tryRunOnLoop(f func()) bool {
	if !e.loopMu.TryLock() {
		return false
	}
	defer e.releaseLoop()
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	if ended {
		return false
	}
	e.runPosted()
	f()
	e.runPosted()
	return true
}

// releaseLoop leaves the loop to Run, and wakes it if it has something to do.
func (e *Engine) releaseLoop() {
	isDue := len(e.timers) > 0 && e.timers[0].at < e.nextCheckAt
	e.loopMu.Unlock()
	e.mu.Lock()
	hasPosted := len(e.queue)+len(e.urgentQueue) > 0
	e.mu.Unlock()
	if isDue || hasPosted {
		e.wakeLoop()
	}
}

// runPosted runs the functions that are posted now, and the urgent ones that are posted meanwhile. It reports whether there were any.
// On the loop.
func (e *Engine) runPosted() bool {
	ran := e.runUrgent()
	e.mu.Lock()
	batch, postedAt := e.queue, e.postedAt
	e.queue = e.spareQueue[:0]
	e.mu.Unlock()
	if len(batch) > 0 {
		e.ObserveDelay(e.Clock() - postedAt)
	}
	next := 0
	defer func() {
		if next < len(batch) { // a function panicked: the others are still to run
			e.requeue(batch[next:])
			return
		}
		e.spareQueue = batch[:0]
	}()
	for next < len(batch) {
		f := batch[next]
		batch[next] = nil
		next++
		f()
		if e.hasUrgent.Load() {
			e.runUrgent()
		}
	}
	return ran || len(batch) > 0
}

// requeue puts functions back in front of those posted meanwhile.
func (e *Engine) requeue(functions []func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = append(slices.Clone(functions), e.queue...)
}

// runUrgent runs the functions posted with PostFirst. On the loop.
func (e *Engine) runUrgent() bool {
	if !e.hasUrgent.Load() {
		return false
	}
	e.mu.Lock()
	batch := e.urgentQueue
	e.urgentQueue = nil
	e.hasUrgent.Store(false)
	e.mu.Unlock()
	for _, f := range batch {
		f()
	}
	return len(batch) > 0
}

// Done returns a channel that is closed when Run has ended. No answers follow.
func (e *Engine) Done() <-chan struct{} { return e.done }

// HasReadyBackend reports whether at least one backend accepts requests. It is safe for concurrent use.
func (e *Engine) HasReadyBackend() bool { return e.ready.Load() }

// Stats returns the counters of the engine.
func (e *Engine) Stats() *Stats { return &e.stats }

// Clock returns the time of the Balancer's clock. It follows the monotonic clock, so it never goes back, not even when the
// wall clock is adjusted. It is safe for concurrent use.
func (e *Engine) Clock() time.Duration { return e.origin + e.Now().Sub(e.start) }

// Run runs the loop until quit is closed.
func (e *Engine) Run(quit <-chan struct{}) {
	wakeUp := time.NewTimer(time.Hour)
	defer wakeUp.Stop()
	defer func() {
		e.loopMu.Lock()
		e.mu.Lock()
		e.ended, e.queue, e.urgentQueue = true, nil, nil
		e.mu.Unlock()
		e.giveUpAll() // no timer fires any more
		e.loopMu.Unlock()
		close(e.done)
	}()
	for {
		e.loopMu.Lock()
		e.runDue()
		wait := time.Hour
		if len(e.timers) > 0 {
			wait = e.timers[0].at - e.Clock()
		}
		e.nextCheckAt = e.Clock() + wait
		e.loopMu.Unlock()
		wakeUp.Reset(wait)
		select {
		case <-quit:
			return
		case <-e.wake:
		case <-wakeUp.C:
		}
	}
}

// ObserveDelay records that something that was due now ran late because this process did not run. On the loop.
func (e *Engine) ObserveDelay(delay time.Duration) {
	now := e.Clock()
	e.lag.Observe(now, delay)
	e.stats.lag.Store(int64(e.lag.Longest(now)))
	e.updateShortage(now)
}

// updateShortage notifies the Balancer when a shortage of processor time begins and ends. On the loop.
func (e *Engine) updateShortage(now time.Duration) {
	isShort := e.lag.IsShort(now)
	if isShort == e.isShort {
		return
	}
	e.isShort = isShort
	e.stats.probesLeftOut.Store(int64(e.Balancer.ProbesLeftOut()))
	if isShort {
		e.stats.shortages.Add(1)
		e.Log.Warn("short of processor time: probes are left out, times are not learned", "delay", e.lag.Longest(now))
	} else {
		e.Log.Info("no longer short of processor time", "probes_left_out", e.Balancer.ProbesLeftOut())
	}
	e.Handle(balance.Event{Kind: balance.ShortageChanged, IsShort: isShort})
}

// runDue runs posted functions and due timers until there are none. The timers come between two batches of functions, because they have
// the deadlines of requests, and functions may be posted faster than they run.
func (e *Engine) runDue() {
	for {
		ran := e.runPosted()
		if fired := e.fireTimers(); !ran && !fired {
			return
		}
	}
}

// Step replaces Run where a driver controls the time. It runs posted functions and due timers and returns when there are
// none. Only one goroutine may call it, and not while Run is running.
func (e *Engine) Step() { e.runDue() }

// Next returns the time on Clock at which the next timer is due. It reports false if there is none. On the loop.
func (e *Engine) Next() (time.Duration, bool) {
	if len(e.timers) == 0 {
		return 0, false
	}
	return e.timers[0].at, true
}

// fireTimers handles due timers and reports whether there were any.
func (e *Engine) fireTimers() bool {
	fired := false
	for now := e.Clock(); len(e.timers) > 0 && e.timers[0].at <= now; fired = true {
		t := e.timers.pop()
		e.ObserveDelay(now - t.at)
		e.Handle(balance.Event{Kind: balance.Timer, TimerID: t.mark})
	}
	return fired
}

// Handle passes an event to the Balancer and executes the resulting actions. Events caused by these actions are handled
// in order afterwards. On the loop.
func (e *Engine) Handle(ev balance.Event) {
	e.pendingEvents = append(e.pendingEvents, ev)
	if e.isHandling {
		return
	}
	e.isHandling = true
	defer func() { // also after a panic, or no later event would be handled
		clear(e.pendingEvents)
		e.pendingEvents, e.isHandling = e.pendingEvents[:0], false
	}()
	for i := 0; i < len(e.pendingEvents); i++ {
		now := e.Clock()
		e.actions = e.Balancer.Handle(now, e.pendingEvents[i], e.actions[:0])
		if e.Trace != nil {
			e.Trace(Step{now, &e.pendingEvents[i], e.actions})
		}
		for j := range e.actions {
			e.execute(&e.actions[j])
		}
	}
}

func (e *Engine) execute(a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		e.send(a)
	case balance.Cancel:
		if r := e.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			e.giveUp(r.attempts[a.Attempt], balance.Cancelled)
		}
	case balance.Reject:
		e.finish(e.requests[a.Request], Answer{Kind: Refused, RetryAfter: a.RetryAfter})
	case balance.Fail:
		e.finish(e.requests[a.Request], Answer{Kind: Failed})
	case balance.Probe:
		e.sendProbe(a.Backend)
	case balance.SetTimer:
		e.seq++
		e.timers.push(timer{at: e.Clock() + a.In, seq: e.seq, mark: a.TimerID})
	case balance.Watch, balance.Unwatch, balance.Fetch:
		e.RequestDiscovery(a.Kind)
	case balance.SendToPeer:
		e.SendToPeer(a.Peer, a.Payload)
	case balance.CloseIdle:
		if b := e.byNumber[a.Backend]; b != nil {
			e.Transport.CloseIdle(b.endpoint)
		}
	case balance.Log:
		e.Log.Info(a.Text)
	}
}

// timer is a scheduled Timer event.
type timer struct {
	at   time.Duration
	seq  uint64
	mark uint64
}

// timers is a binary heap by time. Timers due at the same time keep their order. container/heap would allocate per timer.
type timers []timer

func (t timers) less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}

func (t *timers) push(x timer) {
	*t = append(*t, x)
	h := *t
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

func (t *timers) pop() timer {
	h := *t
	first, last := h[0], len(h)-1
	h[0] = h[last]
	h = h[:last]
	*t = h
	for i := 0; ; {
		smallest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < last && h.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			return first
		}
		h[i], h[smallest] = h[smallest], h[i]
		i = smallest
	}
}
