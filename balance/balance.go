// This file holds the decisions on requests, and the constants that several files share.

package balance

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// probesPerTick is d. Probes may take probeSpend off the result: dear ones go with a part of arrivals.
	probesPerTick, probeSpend = 3, 0.004
	// holdMost is the part of the aim for which an arrival may be held for its probes. pairsMost times a node
	// asks a server twice in a row, to learn the time between its reports.
	holdMost, pairsMost = 0.05, 16
	// coldMargin is the part of the cold-start budget that is spent: the rest is for uneven work. What comes
	// in coldBurst seconds may be spent at once, and coldHold windows later. An old peak of the warm rate
	// fades by rateDecay a window; rateDeviations standard deviations of it are chance.
	coldMargin, coldBurst, coldHold, rateDecay, rateDeviations = 0.4, 0.1, 0.5, 0.97, 1.75
	// A node keeps to subsetServers of each zone, or to as many as it has requests in subsetSpan seconds.
	subsetServers, subsetSpan = 8, 0.5
	// What a zone's servers hold on average is learned over meanSpan seconds, over meanLeast where all nodes'
	// reports come together, what is usual at one over usualSpan; by meanMost, usualMost a report at most.
	meanSpan, meanMost, usualSpan, usualMost, meanLeast = 4.0, 0.25, 15.0, 0.1, 1.0
	// retryEarn is what a first send adds to the retry budget, retryMost the most that it holds.
	retryEarn, retryMost = 0.1, 20.0
	// firstPace, in aims, stands for a pace and the time of a request until there is one. A new answer weighs
	// paceWeight; a server without answers goes forget of the way to its peers' pace, a window.
	firstPace, paceWeight, forget = 0.1, 0.05, 0.3
	// A certain failure costs failAims. An outcome has failWeight in a server's rate of failures, which fades
	// by failFade a window, so that traffic returns. Within deviations (standard ones) of all is chance.
	failAims, failWeight, failFade, deviations = 3.0, 0.1, 0.25, 2.0
	// crossAims is the wait, in aims, that costs as much as a request's whole worth.
	crossAims = 1.5
	// shareSpan is the time, in seconds, over which a share may be used unevenly, and shareLeast what may
	// come at once: of a share spread over hundreds of nodes each sees a request now and then, by chance.
	shareSpan, shareLeast = 1.0, 4.0
	// valueWeight is the weight of a request in the mean worth, weightMost the most that it moves the bound.
	valueWeight, weightMost = 0.01, 2.0
	// failsHigh and failsLow are the rates of failures that the log tells: above a single one, and none. A
	// silence is charged beyond silentQueues times what the queue should take.
	failsHigh, failsLow, silentQueues = 0.11, 0.02, 2
	// The part of the headroom that queues may take up follows how answers come, at admissionSpeed a second,
	// by admissionStep an answer at most, and rests where one in lateOnce is late. One in probeOnce that is
	// to be refused within its share is sent all the same: its answer shows whether the node is right to.
	// Like a congestion window, the part grows only where at least tested of it is used (RFC 7661).
	admissionSpeed, admissionStep, lateOnce, probeOnce    = 2.0, 0.1, 20, 20
	admissionFirst, admissionLeast, admissionMost, tested = 0.3, 0.12, 4.0, 0.5
	// idleEntry: a server whose entry is no higher is idle. An answer that met freeEntry or less tells the
	// time without a queue, by baseWeight. What classes have in common counts as priorAnswers of each one:
	// times stray by about their mean, so two are as sure as classes that differ by 0.7 of it.
	idleEntry, freeEntry, baseWeight, priorAnswers = 0.1, 1.0, 0.03, 2
	// fallWeight and riseWeight draw the time between reports to a shorter or longer one.
	fallWeight, riseWeight = 0.3, 0.01
	// A refused call is repeated after AskEvery/rewatchParts, later in large fleets, at most rewatchMost:
	// with callMost in line that is 6 s, when news counts as told. Longer only after vainMost in vain.
	rewatchParts, rewatchNodes      = 20, 8
	rewatchMost, callMost, vainMost = 4 * time.Second, 2 * time.Second, 2
	// heldUpMost is how long a node may be held up between its look at the clock and its write.
	heldUpMost = 150 * time.Millisecond
)

// Balancer decides for one node.
type Balancer struct {
	cfg                Config
	rng                *rand.Rand
	now                time.Duration
	out                []Action
	servers            map[BackendID]*server
	ready              []*server // servers that may be sent to, by id
	ranked             []*server // all of them, by rank
	unsorted, outdated bool      // ranked, and ready

	requests                   map[string]*request
	timers                     map[uint64]timer
	held                       []*request // arrivals that wait for the probes of their tick
	refused                    int        // requests that no server was good enough for
	asked, pairs               int        // probes of held requests that are out; servers asked twice
	lastMark                   uint64
	probedAt                   time.Duration // the last tick that sent probes
	classes                    []classStats
	warmRate                   float64 // this node's part of the mean requests a second of one warm server
	rolledAt, judgedAt         time.Duration
	probeDue                   float64     // probes that arrivals have paid for
	admission                  float64     // part of the headroom that queues may take up
	subsetSize                 int         // servers of a zone that this node keeps to
	listed                     map[int]int // and how many a zone has, but for those that fail
	gap                        float64     // mean time between answers, seconds
	shares                     []share
	crowded, blind             bool          // answers come late, and discovery was refused, as logged
	refusals, vain             int           // and how often since; of them, after a wait in line
	freedAt, watchedAt         time.Duration // watchedAt: when discovery was asked again
	allFail, allBroke          float64       // failures over all servers, and those that were no time-out
	meanValue                  float64       // running mean of what requests are worth for each unit of work
	meanAim                    float64       // mean aim of the classes, seconds
	peerPace                   float64       // pace over all answers, and the means that it comes from
	allTime, allDepth, answers float64
	recent                     slowdown
	all                        crowd // what other nodes have at a server, over all and by zone
	zones                      map[int]*crowd
	names                      map[uint32]*server // by the name that all nodes know
	numbers                    map[int]uint16     // of the last message of each peer
	passed                     uint16             // the number of the last message to peers
	passDue                    float64            // messages that reports have paid for
	perSecond                  float64            // requests a second that this node is to get
	complainedAt               time.Duration      // of a peer's message
	cold                       crowd              // and at those that are cold
	retries                    float64            // attempts that may be sent again
	probes                     float64            // probes sent
	refresh                    float64            // seconds between two reports of a server that differ
}

// server is one backend in the list.
type server struct {
	Member
	zone        *crowd  // what other nodes have in its zone
	more        float64 // what other nodes usually have there, beyond the mean of its zone
	told        float64 // what they had by the last report or probe
	toldAt      time.Duration
	fails       float64       // rate of failures
	failed      bool          // traffic is withheld, as logged
	owesAt      time.Duration // its last sign, or the send since when something is out
	out         float64       // attempts of this node that are out
	open        float64       // of them, streams whose answer has begun: they owe no sign
	unconfirmed float64       // attempts not accepted since the last report
	seen        float64       // the last queue reported
	seenAt      time.Duration // when it was first seen
	time        float64       // running mean of the time of an answer, seconds
	depth       float64       // running mean of the entry that those answers met
	heard       time.Duration // last answer
	credit      float64       // mean requests that may be sent while cold, as of granted
	granted     time.Duration
	served      float64 // work answered since the last roll of the warm rate
	since       time.Duration
	used        bool    // something was sent since it started
	spent       float64 // requests sent, each over the declared weight
	rank        uint64  // place in this node's own order of the servers
}

// request is one client request that this node has taken.
type request struct {
	id                      string
	class                   *Class
	stats                   *classStats
	tenant                  int
	hint, arrived, deadline time.Duration
	attempts                []attempt
	pending                 int
	ended                   bool // the final answer is out
	streamed                bool // the answer has started: it belongs to the client
	mark                    uint64
}

// timer is what is due then: the end of a request or of its hold, another probe, or a call to discovery.
type timer struct {
	end, hold *request
	again     *server
}

// attempt is one copy of a request at a server.
type attempt struct {
	to         *server
	zone, cell int // its group when it was sent: a list may move it, or name it last without one
	at         time.Duration
	met        float64 // the entry when it was sent
	wait       float64 // and the time that it took to clear, seconds
	pending    bool
	mayRun     bool // it may have run, or may still run
	open       bool // a stream whose answer has begun
}

// classStats is what a node has learned of a class.
type classStats struct {
	base float64 // mean time of an answer that met no queue, seconds
	seen float64 // answers that told of it
	free float64 // those that met no queue
}

// share is what is left of a tenant's share at this node.
type share struct {
	left float64 // requests
	at   time.Duration
}

// New returns a Balancer for one node. The same seed and events give the same actions.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if cfg.Instances < 0 || cfg.Index < 0 || cfg.Limits.MaxAttempts < 0 {
		return nil, errors.New("balance: negative count in Config")
	}
	if slices.ContainsFunc(cfg.Classes, func(c Class) bool { return min(c.Deadline, c.Aim, c.Window) < 0 }) {
		return nil, errors.New("balance: negative time in a Class")
	}
	aim := meanAim(cfg.Classes)
	cfg.Instances, cfg.Limits.MaxAttempts = max(cfg.Instances, 1), max(cfg.Limits.MaxAttempts, 1)
	var perSecond float64
	for _, t := range cfg.Tenants {
		perSecond += t.QuotaPerSecond / float64(cfg.Instances)
	}
	perSecond = cmp.Or(perSecond, math.MaxInt32) // not told: all servers
	return &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)),
		servers: map[BackendID]*server{}, requests: map[string]*request{},
		timers: map[uint64]timer{}, zones: map[int]*crowd{}, probedAt: -1,
		names: map[uint32]*server{}, numbers: map[int]uint16{}, perSecond: perSecond,
		meanAim: aim, gap: aim, peerPace: firstPace * aim, admission: admissionFirst,
		recent:     slowdown{factor: 1},
		subsetSize: max(subsetServers, int(perSecond*subsetSpan)),
		classes:    make([]classStats, len(cfg.Classes)),
		shares:     slices.Repeat([]share{{left: shareLeast}}, len(cfg.Tenants)),
	}, nil
}

// meanAim is the mean aim of the classes in use, seconds.
func meanAim(classes []Class) float64 {
	var aim mean
	for i := range classes {
		if !classes[i].Gone {
			aim.add(classes[i].Aim.Seconds())
		}
	}
	return aim.value()
}

// adopt takes in settings that follow on those in use. Requests under way hold on to their class as it was.
func (b *Balancer) adopt(cfg *Config) {
	was, known, mean := b.cfg, b.classes, b.meanBase()
	b.cfg = *cfg
	b.cfg.Index, b.cfg.Instances, b.cfg.Zone = was.Index, was.Instances, was.Zone
	b.cfg.Limits.MaxAttempts = max(cfg.Limits.MaxAttempts, 1)
	b.meanAim, b.classes = meanAim(cfg.Classes), make([]classStats, len(cfg.Classes))
	for i := range min(len(known), len(b.classes)) {
		if !was.Classes[i].Gone { // its number may be another class's now
			b.classes[i] = known[i]
		}
	}
	b.warmRate *= mean / max(b.meanBase(), 1e-6)
	for i := len(b.shares); i < len(cfg.Tenants); i++ {
		b.shares = append(b.shares, share{left: shareLeast, at: b.now})
	}
}

// Handle takes one event and appends the actions that answer it to out.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.out = max(b.now, now), out // a clock that goes back is held
	b.rollRates()
	switch ev.Kind {
	case MembersRemembered, MembersAll, MembersChanged, MembersRefused:
		b.onMembers(&ev)
	case RequestArrived:
		b.onRequest(&ev)
	case StreamStarted:
		if r := b.requests[ev.Request]; r != nil {
			r.streamed = true
		}
	case ClientGone:
		if r := b.requests[ev.Request]; r != nil {
			b.end(r)
		}
	case BudgetChanged:
		b.endIn(b.requests[ev.Request], ev.Budget)
	case Timer:
		b.onTimer(ev.Mark)
	case Probed:
		if s := b.servers[ev.Backend]; s != nil {
			b.report(s, ev.Load)
			b.pass(s, ev.Load)
			if b.pairs < pairsMost && s.seen > 0 {
				b.pairs++
				gap := cmp.Or(b.refresh, 2*b.peerPace) / 2
				b.setTimer(time.Duration(gap*float64(time.Second)), timer{again: s})
			}
		}
		if b.asked--; b.asked <= 0 {
			b.release()
		}
	case Outcome:
		b.onOutcome(&ev)
	case StreamAnswered:
		b.onAnswered(&ev)
	case PeerMessage:
		b.onHearsay(&ev)
	case SettingsChanged:
		b.adopt(ev.Settings)
	case InstancesCounted: // what cold servers and tenants may be sent is divided by it from here on
		b.warmRate *= float64(b.cfg.Instances) / float64(max(ev.Instances, 1))
		b.cfg.Instances = max(ev.Instances, 1)
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) log(text string) { b.do(Action{Kind: Log, Text: text}) }

// state logs when something begins and when it ends.
func (b *Balancer) state(is *bool, begins, ends bool, begin, end string) {
	switch {
	case begins && !*is:
		b.log(begin)
	case ends && *is:
		b.log(end)
	}
	*is = (*is || begins) && !ends
}

func (b *Balancer) setTimer(in time.Duration, t timer) {
	b.lastMark++
	b.timers[b.lastMark] = t
	b.do(Action{Kind: SetTimer, In: in, Mark: b.lastMark})
}

func (b *Balancer) onTimer(mark uint64) {
	t, ok := b.timers[mark]
	delete(b.timers, mark)
	switch {
	case !ok:
	case t.hold != nil:
		if slices.Contains(b.held, t.hold) {
			b.release() // a probe that stays out tells enough
		}
	case t.again != nil:
		if t.again.Phase == Ready {
			b.do(Action{Kind: Probe, Backend: t.again.Backend})
		}
	case t.end == nil:
		b.watchedAt = b.now
		b.do(Action{Kind: Watch})
	case !t.end.ended && !t.end.streamed:
		b.answer(t.end)
	}
}

func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) || b.requests[ev.Request] != nil {
		return
	}
	r := &request{
		id: ev.Request, class: &b.cfg.Classes[ev.Class], stats: &b.classes[ev.Class], tenant: ev.Tenant,
		hint: ev.Hint, arrived: b.now,
	}
	b.requests[r.id] = r
	b.endIn(r, ev.Budget)
	b.probe()
	b.meanValue = cmp.Or(b.meanValue, b.value(r))
	b.meanValue += valueWeight * (b.value(r) - b.meanValue)
	if b.asked > 0 {
		b.held = append(b.held, r)
		b.setTimer(min(time.Duration(holdMost*float64(r.class.Aim)), ev.Budget), timer{hold: r})
		return
	}
	b.place(r)
}

// endIn has a request answered within this time, whatever becomes of its attempts.
func (b *Balancer) endIn(r *request, in time.Duration) {
	if r != nil && !r.ended {
		delete(b.timers, r.mark)
		b.setTimer(in, timer{end: r})
		r.deadline, r.mark = b.now+in, b.lastMark
	}
}

// release places what was held. Where a node sees little traffic its entries are older than a queue, and only
// the probes of the tick tell anything: then the request waits for them, which takes one round trip.
func (b *Balancer) release() {
	held := slices.DeleteFunc(b.held, func(r *request) bool { return r.ended })
	b.held, b.asked = nil, 0
	for _, r := range held {
		b.place(r)
	}
}

// place sends a request on its way, or answers it when nothing more can be done.
func (b *Balancer) place(r *request) {
	again := len(r.attempts) > 0 // without a budget these multiply the load just when the servers are full
	b.freeRetries()
	most := cmp.Or(r.class.Attempts, b.cfg.Limits.MaxAttempts)
	spent := b.now >= r.deadline || len(r.attempts) >= most || again && b.retries < 1
	var s *server
	if !spent {
		s = b.pick(r, b.bound(r))
	}
	if left := b.shareLeft(r); s == nil && !spent && !again && (left == nil || *left >= 1) {
		if b.refused++; b.refused%probeOnce == 0 {
			s = b.pick(r, math.Inf(1)) // refusing keeps a node from the answers that would correct it
		}
	}
	if s == nil {
		b.answer(r)
		return
	}
	if again {
		b.retries--
	} else {
		b.retries = min(b.retries+retryEarn, retryMost)
		if left := b.shareLeft(r); left != nil {
			*left = max(*left-1, 0)
		}
	}
	b.send(r, s)
}

// pick returns the server of the smallest entry that may get the request, ties broken at random, or nil.
func (b *Balancer) pick(r *request, bound float64) *server {
	var best *server
	least, ties := 0.0, 0
	base, again := b.meanBase()/b.recent.factor, len(r.attempts) > 0
	weight, behind := b.declared()
	for _, s := range b.ready {
		if again && (r.tried(s) || !b.mayGo(r, s)) || !b.coldAllows(r, s) {
			continue
		}
		pace := b.pace(s)
		queue := b.others(s, pace) + s.out + s.unconfirmed
		cost := b.costOf(s, queue, pace)
		// An idle server makes nobody wait, however slow it has become.
		if queue > idleEntry && cost-b.handicap(s)-base-b.chance(s) > bound {
			continue
		}
		// Own attempts count twice: counted once, nothing keeps nodes from servers of their own.
		entry := cost + s.out*pace + b.lead(s, weight, behind)
		if s.Returned && !s.used {
			entry = -1 // operators see it in use soon, as far as its cold budget goes
		}
		if best == nil || entry < least {
			best, least, ties = s, entry, 1
		} else if entry == least {
			if ties++; b.rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.to == s })
}

func (b *Balancer) send(r *request, s *server) {
	met := b.estimate(s)
	var within time.Duration
	if first := r.firstRun(); first != nil && r.class.Effect == Keyed {
		within = first.repeatBy(r.class) - b.now
	}
	r.attempts = append(r.attempts, attempt{to: s, zone: s.Zone, cell: s.Cell,
		at: b.now, met: met, wait: met * b.pace(s), pending: true, mayRun: true})
	if s.out == s.open {
		s.owesAt = b.now
	}
	s.out++
	s.used = true
	b.spend(s)
	s.credit -= b.work(r) / max(b.meanBase(), 1e-6)
	r.pending++
	b.do(Action{Kind: Send, Request: r.id, Backend: s.Backend, Attempt: len(r.attempts) - 1, Within: within})
}

// pending finds the attempt that an event tells of.
func (b *Balancer) pending(ev *Event) (*request, *attempt) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].pending {
		return nil, nil
	}
	return r, &r.attempts[ev.Attempt]
}

// onAnswered takes in that a stream's answer has begun: a sign of its server, and the last that it owes.
func (b *Balancer) onAnswered(ev *Event) {
	if _, a := b.pending(ev); a != nil && !a.open {
		a.open = true
		a.to.open++
		a.to.owesAt = b.now
	}
}

func (b *Balancer) onOutcome(ev *Event) {
	r, a := b.pending(ev)
	if a == nil {
		return
	}
	a.pending, a.mayRun = false, !ev.Status.NeverRan()
	r.pending--
	a.to.out--
	if a.open {
		a.to.open--
	}
	if ev.Status != Delivered {
		// Not accepted: it keeps its increment until a report, against a server that
		// fails fast and so looks idle.
		a.to.unconfirmed++
	}
	// A time-out at a server that gave no sign in the meantime tells of that server, not of crowding.
	if ev.Status != Expired || a.to.owesAt > a.at {
		b.pressure(ev.Status, b.now-r.arrived-r.class.Aim, a.wait)
	}
	b.judge(a.to, ev.Status, a.at)
	b.compare(a.to)
	b.report(a.to, ev.Load)
	if ev.Status == Delivered {
		b.learnBase(r, a, ev.Spent.Seconds())
		a.to.served += b.work(r) / max(b.meanBase(), 1e-6)
		b.learn(a.to, r, a, ev.Spent)
	}
	r.ended = r.ended || ev.NoMore
	switch {
	case r.ended:
		b.end(r)
	case r.streamed: // the client has the stream; nothing more is owed
	case r.pending == 0:
		b.place(r)
	}
	b.forget(a.to)
}

// answer gives the final answer that the rules allow: a refusal where trying again is harmless.
func (b *Balancer) answer(r *request) {
	if r.ended {
		return
	}
	kind, in := Fail, b.comeBack()
	if b.mayRefuse(r, in) {
		kind = Refuse
	}
	b.do(Action{Kind: kind, Request: r.id, RetryIn: in})
	b.end(r)
}

// end marks a request as over and forgets it once its last attempt is back.
func (b *Balancer) end(r *request) {
	r.ended = true
	delete(b.timers, r.mark) // else it keeps the request until its deadline, long after its answer
	if r.pending == 0 {
		delete(b.requests, r.id)
	}
}

// firstRun returns the first attempt that may have run, or nil.
func (r *request) firstRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// repeatBy is until when the repeat of an attempt may be written: one that is held up meets the window.
func (a *attempt) repeatBy(class *Class) time.Duration { return a.at + class.Window - heldUpMost }

// mayGo tells whether another attempt may go to s without an effect happening twice.
func (b *Balancer) mayGo(r *request, s *server) bool {
	first := r.firstRun()
	return first == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && b.now < first.repeatBy(r.class) && (r.class.Scope == ScopeAll ||
			r.class.Scope == ScopeZone && s.Zone == first.zone && s.Zone >= 0 ||
			r.class.Scope == ScopeCell && s.Cell == first.cell)
}

// mayRefuse tells whether it is harmless for the client to try again, in so long.
func (b *Balancer) mayRefuse(r *request, in time.Duration) bool {
	first := r.firstRun()
	return first == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Scope == ScopeAll && b.now+in < first.repeatBy(r.class)
}

// probe asks distinct servers, drawn at random, once in a tick with arrivals.
func (b *Balancer) probe() {
	due := min(probesPerTick, probeSpend/max(b.cfg.Prices.Probe, 1e-9))
	if b.passes() {
		due = min(probesPerTick, probeSpend/max(b.cfg.Prices.Probe+b.passPrice(), 1e-9))
	}
	if b.starting() {
		due = max(due, 1)
	}
	b.probeDue = min(b.probeDue+due, 2*probesPerTick)
	if !b.cfg.Limits.Probing || b.probedAt == b.now {
		return
	}
	b.probedAt = b.now
	d := min(int(b.probeDue), probesPerTick, len(b.ready))
	b.probeDue -= float64(d)
	for _, i := range b.rng.Perm(len(b.ready))[:d] {
		b.probes++
		b.do(Action{Kind: Probe, Backend: b.ready[i].Backend})
	}
	if d > 1 && b.refresh < b.peerPace {
		b.asked += d
	}
}

// starting tells whether this node has just started and knows nothing: it has not asked each server once.
func (b *Balancer) starting() bool { return b.probes < float64(len(b.ready)) }

// estimate is that of the queue: what other nodes have there, what is out, and what was not accepted.
func (b *Balancer) estimate(s *server) float64 { return b.others(s, b.pace(s)) + s.out + s.unconfirmed }

// cost is the entry weighed by the time that one place in this server's queue has taken lately: the time in
// which an average request would be answered, with the time that failures are worth.
func (b *Balancer) cost(s *server) float64 { return b.costOf(s, b.estimate(s), b.pace(s)) }

func (b *Balancer) costOf(s *server, entry, pace float64) float64 {
	queue := (entry + 1) * pace
	failing := max(0, s.fails-b.allFail) * failAims * b.meanAim
	silent := max(0, b.silence(s)-silentQueues*queue)
	return queue + failing + silent + b.handicap(s)
}

// handicap is the time that crossing zones must save to be worth its price. Times include the way already.
func (b *Balancer) handicap(s *server) float64 {
	if s.Zone == b.cfg.Zone {
		return 0
	}
	return b.cfg.Prices.CrossZone * crossAims * b.meanAim
}

// silence is how long a server has owed an answer without any sign: one that hangs keeps a bearable queue.
func (b *Balancer) silence(s *server) float64 {
	if s.out == s.open {
		return 0
	}
	return (b.now - s.owesAt).Seconds()
}

// pace is the time for each place in the queue by now: a server that warms up gets quicker.
func (b *Balancer) pace(s *server) float64 { return b.warmPace(s) * b.recent.factor / b.warmth(s) }

// warmPace is the time for each place that a server takes when warm: without a history, that of its peers.
func (b *Balancer) warmPace(s *server) float64 {
	if s.time == 0 {
		return b.peerPace
	}
	return s.time / (s.depth + 1)
}

// wait is the time that an average request would lose at a server, crossing aside.
func (b *Balancer) wait(s *server) float64 {
	return b.cost(s) - b.handicap(s) - b.meanBase()
}

// bound is the longest wait at which a request is still sent.
func (b *Balancer) bound(r *request) float64 {
	return b.meanBound() * min(max(b.admissionWeight(r), 1/weightMost), weightMost)
}

// meanBound is that of a request of mean worth: a part of the headroom, as longer queues serve no one, or
// of the time without a queue if that is more: with all servers slow, shorter ones would leave them idle.
func (b *Balancer) meanBound() float64 {
	return b.admission * max(b.headroom(), b.meanBase()) / b.recent.factor
}

// headroom is the longest wait that still lets an average request be answered within its aim.
func (b *Balancer) headroom() float64 { return max(b.meanAim-b.meanBase(), 0) }

// admissionWeight compares the bound for a request with others': what is worth more for its work waits
// longer, what lies beyond its tenant's share earns little. Of a share only what was sent counts.
func (b *Balancer) admissionWeight(r *request) float64 {
	weight := 1.0
	if b.meanValue > 0 {
		weight = b.value(r) / b.meanValue
		if left := b.shareLeft(r); left != nil && *left < 1 {
			weight *= b.cfg.OverShareWorth
		}
	}
	return weight
}

// value is what a request is worth for each unit of work, which is that of a mean class.
func (b *Balancer) value(r *request) float64 {
	if b.cfg.WorthByWork || b.work(r) == 0 {
		return r.class.Points
	}
	return r.class.Points * b.meanBase() / b.work(r)
}

// shareLeft returns what this node's part of a tenant's share holds by now, or nil where there are no shares.
func (b *Balancer) shareLeft(r *request) *float64 {
	if r.tenant < 0 || r.tenant >= len(b.shares) || b.cfg.Tenants[r.tenant].QuotaPerSecond <= 0 {
		return nil
	}
	share := &b.shares[r.tenant]
	rate := b.cfg.Tenants[r.tenant].QuotaPerSecond / float64(b.cfg.Instances)
	share.left = min(share.left+rate*(b.now-share.at).Seconds(), max(rate*shareSpan, shareLeast))
	share.at = b.now
	return &share.left
}

// pressure moves the bound on the wait. Crowded servers can work so badly that a bearable queue never clears,
// and only lateness shows it. Only what the queue made late counts: a heavy request is late in any queue.
func (b *Balancer) pressure(st Status, late time.Duration, queued float64) {
	if b.judgedAt > 0 { // a clock that starts anywhere tells nothing of the first gap
		b.gap += paceWeight * ((b.now - b.judgedAt).Seconds() - b.gap)
	}
	b.judgedAt = b.now
	step := min(admissionSpeed*b.gap, admissionStep) * b.admission
	switch {
	case st == Expired || st == Delivered && late > 0 && late.Seconds() <= queued:
		b.admission -= step
	case st == Delivered && late <= 0 && (b.admission < admissionFirst || queued >= tested*b.meanBound()):
		b.admission += step / lateOnce
	}
	b.admission = min(max(b.admission, admissionLeast), admissionMost)
	b.state(&b.crowded, b.admission == admissionLeast, b.admission >= admissionFirst,
		"answers come late: refusing early", "answers in time again")
}

// learnBase takes in the time of an answer that met no queue: crowded servers drain under early refusal and
// show that they are quick. Until one is met, the hint stands for it: a queue must not be taken for the work.
func (b *Balancer) learnBase(r *request, a *attempt, spent float64) {
	c, w, mean := r.stats, baseWeight, b.meanBase()
	switch {
	case a.met > freeEntry && c.free > 0:
		return
	case a.met > freeEntry && r.hint > 0:
		spent = r.hint.Seconds()
	case a.met <= freeEntry:
		c.free++
		w = max(w, 1/c.free)
	}
	c.seen++
	c.base += max(w, 1/c.seen) * (spent - c.base)
	if c.seen == 1 { // with a class more, the mean request is another one
		b.warmRate *= mean / max(b.meanBase(), 1e-6)
	}
}

// learn takes in how long an answer took, against the time of its class, and the queue it met.
func (b *Balancer) learn(s *server, r *request, a *attempt, spent time.Duration) {
	if r.stats.base == 0 {
		return
	}
	took := spent.Seconds() / b.sureBase(r.stats) * b.meanBase() * b.warmth(s)
	if s.time == 0 {
		s.time, s.depth = b.peerPace*(a.met+1), a.met
		if b.answers == 0 && b.cfg.Weights == DeclaredWeights {
			s.time = took // the first answer of all: the prior would keep it from its share for long
		}
	}
	s.heard = b.now
	// An answer out of a long queue tells more of the pace: a short one is no load to a server of many cores.
	w := min(paceWeight*(a.met+1)/(s.depth+1), 1)
	s.time += w * (took - s.time)
	s.depth += w * (a.met - s.depth)
	b.answers++ // one server may see few answers of this node: the pace of all comes from all alike
	w = max(w/float64(len(b.ready)+1), 1/b.answers)
	b.allTime, b.allDepth = b.allTime+w*(took-b.allTime), b.allDepth+w*(a.met-b.allDepth)
	b.peerPace = b.allTime / (b.allDepth + 1)
	b.learnSlowdown(took, a.met, recentWeight)
}

// judge keeps a server's rate of failures, by this node's own attempts: one that fails fast looks idle.
func (b *Balancer) judge(s *server, st Status, sent time.Duration) {
	switch st {
	case Delivered, Shed:
		s.fails -= failWeight * s.fails
		s.owesAt = b.now
		b.allBroke -= failWeight * b.allBroke / float64(len(b.ready)+1)
	case Expired:
		// A try that ran out of time says little while others are answered.
		if s.out == s.open && s.owesAt <= sent {
			s.fails = 1 // nothing came back at all
		}
	case AppError, Dropped, DialFailed:
		s.owesAt = b.now
		s.fails += failWeight * (1 - s.fails)
		if st != DialFailed { // a full server takes no connection: that is no chance
			b.allBroke += failWeight * (1 - b.allBroke) / float64(len(b.ready)+1)
		}
	}
}

// compare sets a server's rate of failures beside that of all, and logs when traffic is withheld.
func (b *Balancer) compare(s *server) {
	// What all servers have in common makes none of them an outlier, and is no reason to refuse.
	b.allFail += failWeight * (s.fails - b.allFail) / float64(len(b.ready)+1)
	if begins, ends := s.fails > failsHigh, s.fails < failsLow; begins && !s.failed || ends && s.failed {
		name := fmt.Sprintf("backend %d ", s.Backend) // each outcome comes here, and few have anything to say
		b.outdated = true                             // who fails is kept beside the subset
		b.state(&s.failed, begins, ends, name+"fails: traffic withheld", name+"answers again")
	}
}

// report overwrites an entry with what the server says it holds, less this node's part: that stays counted.
func (b *Balancer) report(s *server, l Load) {
	queue := l.Active
	switch {
	case l.Has&(HasActive|HasWaiting) == 0:
		return
	case l.Has&HasActive == 0:
		queue = l.Waiting
	}
	s.unconfirmed = 0
	age, first := (b.now - s.seenAt).Seconds(), s.seenAt == 0
	switch {
	case first:
	case queue != s.seen && (b.refresh == 0 || age < 2*b.refresh):
		b.refresh = cmp.Or(b.refresh, age)
		b.refresh += fallWeight * (age - b.refresh)
	case age < b.refresh:
		return // the same report again; past its time an equal one is news: an idle server says 0 for ever
	case queue > 0 && age < 2*b.refresh:
		b.refresh += riseWeight * (age - b.refresh)
	}
	s.seen, s.seenAt = queue, b.now
	b.tell(s, max(0, queue-s.out), b.refresh)
}

// work returns what a request costs a server, in seconds: what its hint says, else the time of its
// class where it does not queue. Queueing makes the mean times of light and heavy classes alike.
func (b *Balancer) work(r *request) float64 {
	return cmp.Or(r.hint.Seconds(), r.stats.base, b.meanBase())
}

// sureBase is a class's time without a queue as far as answers tell it from others: few tell of servers.
func (b *Balancer) sureBase(c *classStats) float64 {
	return (c.free*c.base + priorAnswers*b.meanBase()) / (c.free + priorAnswers)
}

// meanBase is the mean of the times without a queue of the classes met so far.
func (b *Balancer) meanBase() float64 {
	var m mean
	for i := range b.classes {
		if b.classes[i].base > 0 && !b.cfg.Classes[i].Gone {
			m.add(b.classes[i].base)
		}
	}
	if m.n == 0 {
		return firstPace * b.meanAim
	}
	return m.value()
}

// rollRates measures, once a window, what warm servers do for this node, in mean requests, at most what one
// can do: each may spend its own. Of few requests the highest window is chance, which is taken off.
func (b *Balancer) rollRates() {
	span := (b.now - b.rolledAt).Seconds()
	if span < max(b.cfg.Rules.OverloadFor.Seconds(), 1) {
		return
	}
	var warm, count mean
	for _, s := range b.ready {
		if b.warmth(s) == 1 && s.since <= b.rolledAt && s.fails < failsHigh { // one that fails could do more
			warm.add(s.served / span * b.reach(s))
			count.add(s.served)
		}
		s.served = 0
		s.fails -= failFade * s.fails
		if !b.cfg.Limits.Probing {
			s.unconfirmed -= failFade * s.unconfirmed // no report will clear it
		}
		if s.heard < b.rolledAt && s.time > 0 {
			// A server that looked slow gets no traffic, so nothing would ever clear its name.
			s.time += forget * (b.peerPace*(s.depth+1) - s.time)
		}
	}
	if warm.n > 0 {
		b.warmRate = max(b.warmRate*rateDecay, warm.value()*(1-rateDeviations/math.Sqrt(max(count.sum, 1))))
	}
	if b.recent.at < b.rolledAt { // no answer would ever tell that all servers have recovered
		b.learnSlowdown(b.recent.usual*(b.recent.depth+1), b.recent.depth, forget)
	}
	if b.rolledAt = b.now; b.outdated {
		b.choose()
	}
}

// mean is a plain mean; 0 when nothing was added.
type mean struct{ sum, n float64 }

func (m *mean) add(x float64) { m.sum, m.n = m.sum+x, m.n+1 }

func (m *mean) value() float64 { return m.sum / max(m.n, 1) }
