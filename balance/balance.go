// This file holds the decisions on requests and the constants that several files use.

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
	// Each arrival earns as many probes as cost probeCostBudget points of the result. At most
	// maxProbesPerTick are sent in a tick.
	probesPerTick, probeSpend = 3, 0.004
	// An arrival is held for its probes for at most maxHoldFraction of its aim. A node probes backends
	// twice in a row at most maxProbePairs times, to learn the interval between two of their load reports.
	holdMost, pairsMost = 0.05, 16
	// Nodes use warmUpBudgetFraction of the warm-up budget; the rest covers uneven work. The budget of
	// warmUpBurstSeconds may be used at once. Unused budget is kept for warmUpHoldWindows. An old peak of
	// the warm rate decays by warmRateDecay a window; warmRateDeviations standard deviations are chance.
	coldMargin, coldBurst, coldHold, rateDecay, rateDeviations = 0.4, 0.1, 0.5, 0.97, 1.75
	// A node uses minSubsetSize backends of each zone, or one for each request in subsetSeconds if more.
	subsetServers, subsetSpan = 8, 0.5
	// The mean peer load of a zone is averaged over meanSeconds, or over sharedMeanSeconds where the
	// reports of all nodes arrive, and the baseline of a backend over baselineSeconds. maxMeanWeight and
	// maxBaselineWeight limit the weight of a single report.
	meanSpan, meanMost, usualSpan, usualMost, meanLeast = 4.0, 0.25, 15.0, 0.1, 1.0
	// A first attempt adds retryBudgetPerRequest to the retry budget, which holds at most maxRetryBudget.
	retryEarn, retryMost = 0.1, 20.0
	// initialServiceAims, in aims, is the service time and the time of a request until there is a response.
	// A new response has the weight sampleWeight. Without responses, the service time of a backend moves
	// idleDecay of the way to the mean in each window.
	firstPace, paceWeight, forget = 0.1, 0.05, 0.3
	// A certain failure costs failureCostAims. An outcome has the weight failureSampleWeight in the failure
	// rate of a backend. The rate decays by failureRateDecay a window, so that traffic returns. Chance
	// explains a difference of up to noiseDeviations standard deviations.
	failAims, failWeight, failFade, deviations = 3.0, 0.1, 0.25, 2.0
	// crossZoneCostAims is the wait, in aims, that costs as much as the whole worth of a request.
	crossAims = 1.5
	// A tenant's share is a token bucket of shareBurstSeconds of its rate, but at least minShareBurst: of a
	// share spread over hundreds of nodes, each receives a request now and then, and a few may coincide.
	shareSpan, shareLeast = 1.0, 4.0
	// worthSampleWeight is the weight of a request in the mean worth. Worth changes the longest wait by a
	// factor of at most maxAdmissionWeight.
	valueWeight, weightMost = 0.01, 2.0
	// The log reports a backend as failing above highFailureRate, which is more than a single failure, and
	// as recovered below lowFailureRate. Silence costs beyond silenceGraceFactor times the expected time.
	failsHigh, failsLow, silentQueues = 0.11, 0.02, 2
	// The admission factor is the part of the headroom that queues may take up. It changes with the
	// responses, by admissionRate a second and maxAdmissionStep a response at most, and stays level while
	// one in lateOneIn is late. Of the requests to be rejected within their tenant's share, one in
	// trialOneIn is sent all the same: its response shows whether rejecting is right. Like a congestion
	// window, the factor grows only while at least minUtilization of it is used (RFC 7661).
	admissionSpeed, admissionStep, lateOnce, probeOnce    = 2.0, 0.1, 20, 20
	admissionFirst, admissionLeast, admissionMost, tested = 0.3, 0.12, 4.0, 0.5
	// A backend with a queue estimate up to maxIdleQueue is idle. A response that met a queue up to
	// maxEmptyQueue shows the base time, with the weight baseTimeWeight. The mean of all classes counts as
	// priorSamples of each class: response times deviate by about their mean, so two samples can only show
	// that classes differ by more than 0.7 of it.
	idleEntry, freeEntry, baseWeight, priorAnswers = 0.1, 1.0, 0.03, 2
	// intervalFallWeight and intervalRiseWeight move the report interval to a shorter or a longer one.
	fallWeight, riseWeight = 0.3, 0.01
	// A failed discovery call is repeated after AskEvery/watchRetryParts, later above watchRetryNodes
	// nodes, and after maxWatchRetryInterval at most. With a call of discoveryCallTimeout this is 6 s, when
	// an update counts as received. The interval exceeds it only after maxWatchTimeouts calls timed out.
	rewatchParts, rewatchNodes      = 20, 8
	rewatchMost, callMost, vainMost = 4 * time.Second, 2 * time.Second, 2
	// maxStall is the longest time for which a node may be held up between reading the clock and its write.
	heldUpMost = 150 * time.Millisecond
)

// Balancer makes the decisions of one node.
type Balancer struct {
	cfg                Config
	rng                *rand.Rand
	now                time.Duration
	out                []Action
	servers            map[BackendID]*server
	ready              []*server // backends that requests may go to, by id
	ranked             []*server // all backends, by rank
	unsorted, outdated bool      // ranked has to be sorted; ready has to be rebuilt

	requests map[string]*request
	timers   map[uint64]timer
	held     []*request // arrivals that wait for the probes of their tick
	refused  int        // rejected requests

	asked, pairs       int // pending probes of held requests; backends that were probed twice in a row
	lastMark           uint64
	probedAt           time.Duration // the last tick that sent probes
	classes            []classStats
	warmRate           float64       // this node's part of the mean requests a second of one warm backend
	rolledAt, judgedAt time.Duration // start of the window; last response that counted for admission
	probeDue           float64       // probes that arrivals have earned
	admission          float64       // part of the headroom that queues may take up
	subsetSize         int           // backends of a zone that this node uses
	listed             map[int]int   // ready backends of each zone, without the failing ones
	gap                float64       // mean time between responses, seconds
	shares             []share

	crowded, blind     bool          // responses are late; discovery calls fail: as logged
	refusals, vain     int           // failed calls since the last list; those that timed out
	freedAt, watchedAt time.Duration // last refill of the retry budget; last repeated discovery call
	allFail, allBroke  float64       // mean rate of all failures, and of errors and broken attempts
	meanValue          float64       // running mean of the worth of requests for each unit of work
	meanAim            float64       // mean aim of the classes, seconds
	peerPace           float64       // service time over all responses, from the two means below

	allTime, allDepth, answers float64 // response time (seconds), queue at the send, number of responses

	recent       slowdown
	all          crowd // peer load over all backends
	zones        map[int]*crowd
	names        map[uint32]*server // by the name that all nodes use
	numbers      map[int]uint16     // sequence number of the last message of each peer
	passed       uint16             // sequence number of the last message to peers
	passDue      float64            // messages that load reports have earned
	perSecond    float64            // requests a second that this node should receive
	complainedAt time.Duration      // last log line on an invalid message of a peer
	cold         crowd              // peer load over cold backends
	retries      float64            // attempts that may be repeated
	probes       float64            // probes sent
	refresh      float64            // seconds between two different load reports of a backend
}

// backend is one entry of the endpoint list.
type server struct {
	Member
	zone *crowd  // peer load over its zone
	more float64 // usual peer load here, beyond the mean of the zone
	told float64 // peer load by the last report or probe

	toldAt      time.Duration
	fails       float64       // failure rate
	failed      bool          // traffic is withheld, as logged
	owesAt      time.Duration // last sign, or the first send since no attempt was pending
	out         float64       // pending attempts of this node
	open        float64       // those of them that are streams with a started response
	unconfirmed float64       // attempts that were not accepted since the last report
	seen        float64       // queue by the last report
	seenAt      time.Duration // when that report was first received
	time        float64       // running mean of the response time, seconds
	depth       float64       // running mean of the queue estimate that those responses met
	heard       time.Duration // last response
	credit      float64       // mean requests that may be sent during warm-up, as of the time below
	granted     time.Duration
	served      float64       // work done since the window began, in mean requests
	since       time.Duration // when this process was first listed
	used        bool          // a request was sent to this process
	spent       float64       // requests sent, each divided by the declared weight
	rank        uint64        // position in this node's own order of the backends
}

// request is one client request that this node has received.
type request struct {
	id                      string
	class                   *Class
	stats                   *classStats
	tenant                  int
	hint, arrived, deadline time.Duration
	attempts                []attempt
	pending                 int
	ended                   bool // the final answer is sent
	streamed                bool // the response has started, so the client has it
	mark                    uint64
}

// timer holds what a Timer event is for: the deadline of a request, the end of its hold, a second probe, or
// a repeated call to discovery if all fields are nil.
type timer struct {
	end, hold *request
	again     *server
}

// attempt is one copy of a request at a backend.
type attempt struct {
	to         *server
	zone, cell int // the group at the send: an update may move the backend, or remove it without a group
	at         time.Duration
	met        float64 // queue estimate at the send
	wait       float64 // time that this queue takes, seconds
	pending    bool
	mayRun     bool // it may have run, or may still run
	open       bool // a stream with a started response
}

// classStats holds what a node has learned about a class.
type classStats struct {
	base float64 // mean response time without a queue, seconds
	seen float64 // responses that base is learned from
	free float64 // those that met no queue
}

// tokenBucket is the rest of a tenant's share at this node.
type share struct {
	left float64 // requests
	at   time.Duration
}

// New returns a Balancer for one node. Equal seeds and events give equal actions.
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
	perSecond = cmp.Or(perSecond, math.MaxInt32) // no quotas: use all backends
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

// meanAim returns the mean aim of the classes in use, in seconds.
func meanAim(classes []Class) float64 {
	var aim mean
	for i := range classes {
		if !classes[i].Gone {
			aim.add(classes[i].Aim.Seconds())
		}
	}
	return aim.value()
}

// applySettings replaces the settings in use. Requests in progress keep their class as it was.
func (b *Balancer) adopt(cfg *Config) {
	was, known, mean := b.cfg, b.classes, b.meanBase()
	b.cfg = *cfg
	b.cfg.Index, b.cfg.Instances, b.cfg.Zone = was.Index, was.Instances, was.Zone
	b.cfg.Limits.MaxAttempts = max(cfg.Limits.MaxAttempts, 1)
	b.meanAim, b.classes = meanAim(cfg.Classes), make([]classStats, len(cfg.Classes))
	for i := range min(len(known), len(b.classes)) {
		if !was.Classes[i].Gone { // another class may have its number now
			b.classes[i] = known[i]
		}
	}
	b.warmRate *= mean / max(b.meanBase(), 1e-6)
	for i := len(b.shares); i < len(cfg.Tenants); i++ {
		b.shares = append(b.shares, share{left: shareLeast, at: b.now})
	}
}

// Handle processes one event and appends the resulting actions to out.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.out = max(b.now, now), out // time must not go back
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
	case InstancesCounted: // the warm-up budget and the shares of tenants are divided by the new count
		b.warmRate *= float64(b.cfg.Instances) / float64(max(ev.Instances, 1))
		b.cfg.Instances = max(ev.Instances, 1)
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) log(text string) { b.do(Action{Kind: Log, Text: text}) }

// logTransition logs when a condition begins and when it ends.
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
			b.release() // a probe without a result is no reason to wait longer
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

// setDeadline sets the time within which a request gets its final answer, whatever happens to its attempts.
func (b *Balancer) endIn(r *request, in time.Duration) {
	if r != nil && !r.ended {
		delete(b.timers, r.mark)
		b.setTimer(in, timer{end: r})
		r.deadline, r.mark = b.now+in, b.lastMark
	}
}

// releaseHeld dispatches the held requests. With little traffic the queue estimates of a node are older
// than a queue lasts. Only the probes of the same tick are current, so a request waits for them for one
// round trip.
func (b *Balancer) release() {
	held := slices.DeleteFunc(b.held, func(r *request) bool { return r.ended })
	b.held, b.asked = nil, 0
	for _, r := range held {
		b.place(r)
	}
}

// dispatch sends an attempt of a request, or its final answer if no attempt is possible.
func (b *Balancer) place(r *request) {
	again := len(r.attempts) > 0 // without a budget, retries multiply the load on full backends
	b.freeRetries()
	most := cmp.Or(r.class.Attempts, b.cfg.Limits.MaxAttempts)
	spent := b.now >= r.deadline || len(r.attempts) >= most || again && b.retries < 1
	var s *server
	if !spent {
		s = b.pick(r, b.bound(r))
	}
	if left := b.shareLeft(r); s == nil && !spent && !again && (left == nil || *left >= 1) {
		if b.refused++; b.refused%probeOnce == 0 {
			s = b.pick(r, math.Inf(1)) // a node that rejects all gets no responses to correct its estimates
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

// pick returns the permitted backend with the lowest score, or nil. It breaks ties at random.
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
		// A request doesn't wait at an idle backend, however slow the backend is.
		if queue > idleEntry && cost-b.handicap(s)-base-b.chance(s) > bound {
			continue
		}
		// Own attempts count twice. Otherwise each node settles on backends of its own.
		entry := cost + s.out*pace + b.lead(s, weight, behind)
		if s.Returned && !s.used {
			entry = -1 // operators soon see it in use, within its warm-up budget
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

// pendingAttempt returns the attempt that an event refers to, or nil if it isn't pending.
func (b *Balancer) pending(ev *Event) (*request, *attempt) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].pending {
		return nil, nil
	}
	return r, &r.attempts[ev.Attempt]
}

// onStreamAnswered records that the response of a stream has started. No further sign is expected of it.
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
		// The attempt was not accepted. It counts in the queue estimate until the next report, because a
		// backend that fails fast looks idle.
		a.to.unconfirmed++
	}
	// A time-out at a silent backend is a fault of that backend, not a sign of overload.
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
	case r.streamed: // the client has the stream, so there is no final answer to send
	case r.pending == 0:
		b.place(r)
	}
	b.forget(a.to)
}

// sendFinalAnswer rejects a request if the client may repeat it without harm, and fails it otherwise.
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

// finish marks a request as ended and removes it once no attempt is pending.
func (b *Balancer) end(r *request) {
	r.ended = true
	delete(b.timers, r.mark) // or the timer would keep the request in memory until its deadline
	if r.pending == 0 {
		delete(b.requests, r.id)
	}
}

// firstPossibleRun returns the first attempt that may have run, or nil.
func (r *request) firstRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// retryUntil returns the latest time for a retry, which a stalled node still writes within the window.
func (a *attempt) repeatBy(class *Class) time.Duration { return a.at + class.Window - heldUpMost }

// mayRetryOn reports whether a retry on s can't execute the request twice.
func (b *Balancer) mayGo(r *request, s *server) bool {
	first := r.firstRun()
	return first == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && b.now < first.repeatBy(r.class) && (r.class.Scope == ScopeAll ||
			r.class.Scope == ScopeZone && s.Zone == first.zone && s.Zone >= 0 ||
			r.class.Scope == ScopeCell && s.Cell == first.cell)
}

// mayReject reports whether the client can repeat the request after this time without harm.
func (b *Balancer) mayRefuse(r *request, in time.Duration) bool {
	first := r.firstRun()
	return first == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Scope == ScopeAll && b.now+in < first.repeatBy(r.class)
}

// sendProbes probes distinct random backends, once in each tick with arrivals.
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

// isStarting reports whether this node lacks estimates: it has sent fewer probes than it has backends.
func (b *Balancer) starting() bool { return b.probes < float64(len(b.ready)) }

// queueEstimate returns the estimated queue: peer load, own pending attempts and unconfirmed load.
func (b *Balancer) estimate(s *server) float64 { return b.others(s, b.pace(s)) + s.out + s.unconfirmed }

// cost returns the expected response time of an average request at a backend, in seconds: the queue
// estimate times the recent service time, plus the cost of failures, of silence and of crossing zones.
func (b *Balancer) cost(s *server) float64 { return b.costOf(s, b.estimate(s), b.pace(s)) }

func (b *Balancer) costOf(s *server, entry, pace float64) float64 {
	queue := (entry + 1) * pace
	failing := max(0, s.fails-b.allFail) * failAims * b.meanAim
	silent := max(0, b.silence(s)-silentQueues*queue)
	return queue + failing + silent + b.handicap(s)
}

// crossZoneCost returns the time that another zone must save. Response times include the network.
func (b *Balancer) handicap(s *server) float64 {
	if s.Zone == b.cfg.Zone {
		return 0
	}
	return b.cfg.Prices.CrossZone * crossAims * b.meanAim
}

// silence returns how long a backend has given no sign with attempts pending. A hung one has a short queue.
func (b *Balancer) silence(s *server) float64 {
	if s.out == s.open {
		return 0
	}
	return (b.now - s.owesAt).Seconds()
}

// serviceTime returns the current service time per queued request. A backend gets faster as it warms up.
func (b *Balancer) pace(s *server) float64 { return b.warmPace(s) * b.recent.factor / b.warmth(s) }

// warmServiceTime returns the service time per queued request once warm. The default is the mean.
func (b *Balancer) warmPace(s *server) float64 {
	if s.time == 0 {
		return b.peerPace
	}
	return s.time / (s.depth + 1)
}

// expectedWait returns the extra time of an average request, without the cost of crossing zones.
func (b *Balancer) wait(s *server) float64 {
	return b.cost(s) - b.handicap(s) - b.meanBase()
}

// maxWait returns the longest expected wait at which a request is still sent.
func (b *Balancer) bound(r *request) float64 {
	return b.meanBound() * min(max(b.admissionWeight(r), 1/weightMost), weightMost)
}

// meanMaxWait returns the longest wait for a request of mean worth. It is a part of the headroom, because
// longer queues only make requests late. It is a part of the base time if that is more, or slow backends
// would be idle.
func (b *Balancer) meanBound() float64 {
	return b.admission * max(b.headroom(), b.meanBase()) / b.recent.factor
}

// headroom returns the longest wait with which an average request still meets its aim.
func (b *Balancer) headroom() float64 { return max(b.meanAim-b.meanBase(), 0) }

// admissionWeight returns the factor of a request's longest wait. It is higher for more worth per unit of
// work, and low beyond the tenant's share. Only requests that were sent use up a share.
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

// worthPerWork returns the worth of a request per unit of work. The unit is the work of a mean class.
func (b *Balancer) value(r *request) float64 {
	if b.cfg.WorthByWork || b.work(r) == 0 {
		return r.class.Points
	}
	return r.class.Points * b.meanBase() / b.work(r)
}

// shareTokens returns the tokens of the tenant's share at this node, or nil if there is no quota.
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

// adjustAdmission adapts the admission factor. Overloaded backends may slow down so much that a short queue
// never clears; only late responses show it. Requests that are late by their own work, and not by the
// queue, don't count.
func (b *Balancer) pressure(st Status, late time.Duration, queued float64) {
	if b.judgedAt > 0 { // before the first response there is no gap
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
		"responses are late: rejecting requests early", "responses are in time again")
}

// learnBaseTime updates the base time of a class by a response that met no queue. Rejecting early empties
// the queues of overloaded backends, which then show their base time. Until then the hint is used, as a
// queue is not work.
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
	if c.seen == 1 { // one more class changes the mean request
		b.warmRate *= mean / max(b.meanBase(), 1e-6)
	}
}

// learnServiceTime updates a backend's service time by a response, relative to the class's base time.
func (b *Balancer) learn(s *server, r *request, a *attempt, spent time.Duration) {
	if r.stats.base == 0 {
		return
	}
	took := spent.Seconds() / b.sureBase(r.stats) * b.meanBase() * b.warmth(s)
	if s.time == 0 {
		s.time, s.depth = b.peerPace*(a.met+1), a.met
		if b.answers == 0 && b.cfg.Weights == DeclaredWeights {
			s.time = took // the prior would keep the first backend from its declared share for long
		}
	}
	s.heard = b.now
	// A long queue shows the service time better: a short one is no load for a backend with many cores.
	w := min(paceWeight*(a.met+1)/(s.depth+1), 1)
	s.time += w * (took - s.time)
	s.depth += w * (a.met - s.depth)
	b.answers++ // a single backend may have few responses, so all of them count for the mean
	w = max(w/float64(len(b.ready)+1), 1/b.answers)
	b.allTime, b.allDepth = b.allTime+w*(took-b.allTime), b.allDepth+w*(a.met-b.allDepth)
	b.peerPace = b.allTime / (b.allDepth + 1)
	b.learnSlowdown(took, a.met, recentWeight)
}

// updateFailureRate updates the failure rate of a backend, because one that fails fast looks idle.
func (b *Balancer) judge(s *server, st Status, sent time.Duration) {
	switch st {
	case Delivered, Shed:
		s.fails -= failWeight * s.fails
		s.owesAt = b.now
		b.allBroke -= failWeight * b.allBroke / float64(len(b.ready)+1)
	case Expired:
		// A time-out is no failure while the backend responds to other attempts.
		if s.out == s.open && s.owesAt <= sent {
			s.fails = 1 // the backend has given no sign since the send
		}
	case AppError, Dropped, DialFailed:
		s.owesAt = b.now
		s.fails += failWeight * (1 - s.fails)
		if st != DialFailed { // a full backend refuses connections: not by chance
			b.allBroke += failWeight * (1 - b.allBroke) / float64(len(b.ready)+1)
		}
	}
}

// compareFailureRate updates the mean failure rate, and logs when traffic to a backend is withheld.
func (b *Balancer) compare(s *server) {
	// Failures that all backends share make none of them an outlier, and are no reason to reject requests.
	b.allFail += failWeight * (s.fails - b.allFail) / float64(len(b.ready)+1)
	if begins, ends := s.fails > failsHigh, s.fails < failsLow; begins && !s.failed || ends && s.failed {
		name := fmt.Sprintf("backend %d ", s.Backend) // only here: most outcomes log nothing
		b.outdated = true                             // failing backends don't count in the subset
		b.state(&s.failed, begins, ends, name+"fails: traffic withheld", name+"answers again")
	}
}

// applyReport sets the peer load to the reported queue less this node's own pending attempts.
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
		return // the same report; after the interval an equal one is new: an idle backend always reports 0
	case queue > 0 && age < 2*b.refresh:
		b.refresh += riseWeight * (age - b.refresh)
	}
	s.seen, s.seenAt = queue, b.now
	b.tell(s, max(0, queue-s.out), b.refresh)
}

// work returns the expected work of a request, in seconds: its hint, or else the base time of its class.
// Mean response times are no measure of work, because queues make those of light and heavy classes alike.
func (b *Balancer) work(r *request) float64 {
	return cmp.Or(r.hint.Seconds(), r.stats.base, b.meanBase())
}

// shrunkBaseTime returns the base time of a class, drawn to the mean of all: few responses show the
// backend's speed.
func (b *Balancer) sureBase(c *classStats) float64 {
	return (c.free*c.base + priorAnswers*b.meanBase()) / (c.free + priorAnswers)
}

// meanBaseTime returns the mean base time of the classes with responses, in seconds.
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

// closeWindow ends a window of OverloadFor, 1 s at least. The warm rate is what a warm backend serves for
// this node, in mean requests a second: a decaying maximum, on which the node's own part of a warm-up
// budget is based. With few requests the highest window is partly chance, which is deducted.
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
			s.unconfirmed -= failFade * s.unconfirmed // without probes no report clears it
		}
		if s.heard < b.rolledAt && s.time > 0 {
			// A slow backend gets no traffic, and so no responses that would show its recovery.
			s.time += forget * (b.peerPace*(s.depth+1) - s.time)
		}
	}
	if warm.n > 0 {
		b.warmRate = max(b.warmRate*rateDecay, warm.value()*(1-rateDeviations/math.Sqrt(max(count.sum, 1))))
	}
	if b.recent.at < b.rolledAt { // without responses, nothing else shows that all backends have recovered
		b.learnSlowdown(b.recent.usual*(b.recent.depth+1), b.recent.depth, forget)
	}
	if b.rolledAt = b.now; b.outdated {
		b.choose()
	}
}

// mean is an arithmetic mean. It is 0 without values.
type mean struct{ sum, n float64 }

func (m *mean) add(x float64) { m.sum, m.n = m.sum+x, m.n+1 }

func (m *mean) value() float64 { return m.sum / max(m.n, 1) }
