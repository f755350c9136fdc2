package node

import (
	"container/heap"
	"log/slog"
	"sync/atomic"
	"time"

	"glencart/balance"
)

// loop owns the Balancer, the tables of requests and backends, and the timers. Everything else posts to it, and
// it carries out the Balancer's actions. It never waits for anyone: what may block runs in goroutines that
// post what came of it. So whoever posts waits for the loop, and the loop for nobody.
type loop struct {
	bal    *balance.Balancer
	inbox  chan func()
	done   chan struct{} // closed when the loop has ended
	start  time.Time
	origin time.Duration // the clock at start: Unix time, which discovery's start times are in
	log    *slog.Logger

	back      *exchanges
	askAbout  func(balance.ActionKind) // passes Watch, Unwatch and Fetch on
	tellPeers func(peer int, payload []byte)

	requests map[string]*request
	backends map[string]*backend // by discovery's id
	byNumber map[balance.BackendID]*backend
	numbers  balance.BackendID // given so far: one is never given again
	timers   timers
	seq      uint64

	events  []balance.Event // that wait for the one in hand
	busy    bool
	actions []balance.Action

	ready atomic.Bool // some backend may be sent to
}

// backend is a backend that discovery has named. One that is gone is kept for as long as something is out at it.
type backend struct {
	number balance.BackendID
	id     string
	to     endpoint
	phase  balance.Phase
	out    int // attempts and probes whose outcome the Balancer has not been told
}

// request is a client's request: what came in, and, for the loop alone, where it stands.
type request struct {
	id       string
	class    int
	tenant   int
	key      uint64
	hasKey   bool
	hint     time.Duration
	repeat   bool
	deadline time.Time
	message  message
	reply    chan answer // takes the one final answer

	attempts []*attempt
	pending  int
	answered bool
}

// attempt is one copy of a request on its way to a backend.
type attempt struct {
	call *call
	to   *backend
	sent time.Duration
	over bool // its outcome has been told
}

// answerKind is the kind of a final answer.
type answerKind uint8

const (
	served answerKind = iota
	refused
	failed
	doubled // another request of this id is open
)

// answer is the final answer to a request.
type answer struct {
	kind        answerKind
	late        bool // the time for the request is up
	retryIn     time.Duration
	body        []byte
	contentType string
}

// inboxSize is how many posts may wait. It only smooths: a full inbox makes posters wait.
const inboxSize = 1024

func newLoop(bal *balance.Balancer, back *exchanges, log *slog.Logger) *loop {
	start := time.Now()
	return &loop{
		bal: bal, back: back, log: log,
		inbox: make(chan func(), inboxSize), done: make(chan struct{}),
		start: start, origin: time.Duration(start.UnixNano()),
		askAbout:  func(balance.ActionKind) {},
		tellPeers: func(int, []byte) {},
		requests:  map[string]*request{}, backends: map[string]*backend{},
		byNumber: map[balance.BackendID]*backend{},
	}
}

// post has f run on the loop, after all that was posted before. It tells whether the loop still takes any.
func (l *loop) post(f func()) bool {
	select {
	case <-l.done:
		return false
	case l.inbox <- f:
		return true
	}
}

// now is the Balancer's clock. It follows the monotonic clock, so that it never goes back.
func (l *loop) now() time.Duration { return l.origin + time.Since(l.start) }

// run serves until quit is closed.
func (l *loop) run(quit <-chan struct{}) {
	defer close(l.done)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = l.timers[0].at - l.now()
		}
		alarm.Reset(wait)
		select {
		case <-quit:
			return
		case f := <-l.inbox:
			f()
		case <-alarm.C:
		}
		for now := l.now(); len(l.timers) > 0 && l.timers[0].at <= now; {
			t := heap.Pop(&l.timers).(timer)
			l.handle(balance.Event{Kind: balance.Timer, Mark: t.mark})
		}
	}
}

// handle gives an event to the Balancer and carries out what it answers. Events that this makes follow in order.
func (l *loop) handle(ev balance.Event) {
	l.events = append(l.events, ev)
	if l.busy {
		return
	}
	l.busy = true
	for i := 0; i < len(l.events); i++ {
		l.actions = l.bal.Handle(l.now(), l.events[i], l.actions[:0])
		for j := range l.actions {
			l.do(&l.actions[j])
		}
	}
	clear(l.events)
	l.events, l.busy = l.events[:0], false
}

func (l *loop) do(a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		l.send(a)
	case balance.Cancel:
		if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			l.giveUp(r, a.Attempt, balance.Revoked)
		}
	case balance.Refuse:
		l.finish(l.requests[a.Request], answer{kind: refused, retryIn: a.RetryIn})
	case balance.Fail:
		l.finish(l.requests[a.Request], answer{kind: failed})
	case balance.Probe:
		l.probe(a.Backend)
	case balance.SetTimer:
		l.seq++
		heap.Push(&l.timers, timer{at: l.now() + a.In, seq: l.seq, mark: a.Mark})
	case balance.Watch, balance.Unwatch, balance.Fetch:
		l.askAbout(a.Kind)
	case balance.Tell:
		l.tellPeers(a.Peer, a.Payload)
	case balance.Close:
		if b := l.backend(a.Backend); b != nil {
			l.back.pool.drop(b.to)
		}
	case balance.Log:
		l.log.Info(a.Text)
	}
}

// arrive takes in a request. One whose id is still in use is turned away: backends could not tell the two apart.
func (l *loop) arrive(r *request) {
	if l.requests[r.id] != nil {
		r.reply <- answer{kind: doubled}
		return
	}
	l.requests[r.id] = r
	l.handle(balance.Event{
		Kind: balance.RequestArrived, Request: r.id, Class: r.class, Tenant: r.tenant, Key: r.key, HasKey: r.hasKey,
		Budget: max(time.Until(r.deadline), 0), Hint: r.hint, Repeat: r.repeat,
	})
}

// gone takes in that a client has closed its connection before its answer.
func (l *loop) gone(r *request) {
	if l.requests[r.id] != r || r.answered {
		return
	}
	r.answered = true
	l.handle(balance.Event{Kind: balance.ClientGone, Request: r.id})
	l.endAttempts(r, balance.Revoked)
}

func (l *loop) send(a *balance.Action) {
	r, b := l.requests[a.Request], l.backend(a.Backend)
	if r == nil || b == nil {
		return
	}
	n := len(r.attempts)
	at := &attempt{to: b, sent: l.now()}
	r.attempts = append(r.attempts, at)
	r.pending++
	b.out++
	if b.phase != balance.Ready || r.answered {
		l.outcome(r, n, result{status: balance.Unused})
		return
	}
	deadline := r.deadline
	if a.Limit > 0 {
		if limit := time.Now().Add(a.Limit); limit.Before(deadline) {
			deadline = limit
		}
	}
	at.call = l.back.attempt(b.to, &r.message, deadline, func(res result) {
		l.post(func() { l.outcome(r, n, res) })
	})
}

// outcome tells the Balancer how an attempt ended, once. What comes after it was given up changes nothing.
func (l *loop) outcome(r *request, n int, res result) {
	at := r.attempts[n]
	if at.over {
		return
	}
	at.over = true
	r.pending--
	if res.status == balance.Delivered && !r.answered {
		r.answered = true
		r.reply <- answer{kind: served, body: res.body, contentType: res.contentType}
	}
	l.forget(r)
	l.handle(balance.Event{
		Kind: balance.Outcome, Request: r.id, Attempt: n, Backend: at.to.number, Spent: l.now() - at.sent,
		Status: res.status, NoMore: r.answered, Load: res.load,
	})
	l.settle(at.to)
}

// settle takes in that one thing less is out at a backend.
func (l *loop) settle(b *backend) {
	b.out--
	l.drop(b)
}

// drop forgets a backend that is gone once nothing refers to it: ids come and go for as long as a node runs.
func (l *loop) drop(b *backend) {
	if b.phase == balance.Gone && b.out == 0 && l.backends[b.id] == b {
		delete(l.backends, b.id)
		delete(l.byNumber, b.number)
	}
}

// giveUp ends an attempt and its connection.
func (l *loop) giveUp(r *request, n int, st balance.Status) {
	at := r.attempts[n]
	if at.over {
		return
	}
	if at.call != nil {
		if at.call.bar() {
			st = balance.Unused
		}
		at.call.cancel()
	}
	l.outcome(r, n, result{status: st})
}

// finish gives a request its final answer. Nothing that was sent for it can be of use any more.
func (l *loop) finish(r *request, a answer) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	a.late = !time.Now().Before(r.deadline)
	r.reply <- a
	st := balance.Revoked
	if a.late {
		st = balance.Expired
	}
	l.endAttempts(r, st)
}

func (l *loop) endAttempts(r *request, st balance.Status) {
	for n := range r.attempts {
		l.giveUp(r, n, st)
	}
	l.forget(r)
}

// forget drops a request from the table once it is answered and nothing is out for it.
func (l *loop) forget(r *request) {
	if r.answered && r.pending == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
	}
}

func (l *loop) probe(number balance.BackendID) {
	b := l.backend(number)
	if b == nil {
		return
	}
	sent := l.now()
	told := func(res result) {
		l.handle(balance.Event{Kind: balance.Probed, Backend: number, Spent: l.now() - sent,
			Status: res.status, Load: res.load})
		l.settle(b)
	}
	b.out++
	if b.phase != balance.Ready {
		told(result{status: balance.Unused})
		return
	}
	l.back.probe(b.to, func(res result) { l.post(func() { told(res) }) })
}

func (l *loop) backend(number balance.BackendID) *backend {
	return l.byNumber[number]
}

// list takes in what discovery says.
func (l *loop) list(kind balance.EventKind, list List) {
	if len(list.Members) > 0 {
		l.log.Info("list of backends", "revision", list.Revision, "complete", list.Complete, "members", len(list.Members))
	}
	if list.Complete {
		for _, b := range l.backends {
			b.phase = balance.Gone // unless the list names it
		}
	}
	members := make([]balance.Member, 0, len(list.Members))
	for _, m := range list.Members {
		b := l.backends[m.ID]
		if b == nil {
			if m.Phase == balance.Gone {
				continue // never named, or forgotten
			}
			b = &backend{number: l.numbers, id: m.ID}
			l.numbers++
			l.backends[m.ID], l.byNumber[b.number] = b, b
			l.log.Info("backend named", "number", b.number, "id", b.id, "address", m.Addr)
		}
		to := endpoint{m.ID, m.Addr, m.Launched}
		if m.Phase == balance.Gone {
			to = b.to // where it was
		}
		if b.to != to {
			l.back.pool.drop(b.to)
		}
		b.to, b.phase = to, m.Phase
		line := m.Member
		line.Backend = b.number
		members = append(members, line)
	}
	ready := false
	for _, b := range l.backends {
		if b.phase == balance.Ready {
			ready = true
		} else {
			l.back.pool.drop(b.to)
		}
	}
	l.ready.Store(ready)
	l.handle(balance.Event{Kind: kind, Members: members})
	l.unsend()
	for _, b := range l.backends {
		l.drop(b)
	}
}

// unsend stops attempts that have not begun to write to a backend that takes nothing new. Left alone, one that
// hangs in a dial would go out when the grace is long over.
func (l *loop) unsend() {
	type one struct {
		r *request
		n int
	}
	var out []one
	for _, r := range l.requests {
		for n, at := range r.attempts {
			if !at.over && at.to.phase != balance.Ready && at.call != nil && at.call.bar() {
				out = append(out, one{r, n})
			}
		}
	}
	for _, o := range out {
		o.r.attempts[o.n].call.cancel()
		l.outcome(o.r, o.n, result{status: balance.Unused})
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
