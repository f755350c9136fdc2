// This file holds the decisions on requests and the constants that several files use.

package balance

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// An arrival is held for its probes for at most maxHoldFraction of its aim. A node probes backends
	// twice in a row at most maxProbePairs times, to learn the interval between two of their load reports.
	maxHoldFraction, maxProbePairs = 0.05, 16
	// Nodes use warmUpBudgetFraction of the warm-up budget; the rest covers uneven work. The budget of
	// warmUpBurstSeconds may be used at once. Unused budget is kept for warmUpHoldWindows. An old peak of
	// the warm rate decays by warmRateDecay a window; warmRateDeviations standard deviations are chance.
	warmUpBudgetFraction, warmUpBurstSeconds, warmUpHoldWindows,
	warmRateDecay, warmRateDeviations = 0.4, 0.1, 0.5, 0.97, 1.75
	// A node uses minSubsetSize backends of each zone, or one for each request in subsetSeconds if more.
	minSubsetSize, subsetSeconds = 8, 0.5
	// The mean peer load of a zone is averaged over meanSeconds, or over sharedMeanSeconds where the
	// reports of all nodes arrive, and the baseline of a backend over baselineSeconds. maxMeanWeight and
	// maxBaselineWeight limit the weight of a single report.
	meanSeconds, maxMeanWeight, baselineSeconds, maxBaselineWeight,
	sharedMeanSeconds = 4.0, 0.25, 15.0, 0.1, 1.0
	// A first attempt adds retryBudgetPerRequest to the retry budget, which holds at most maxRetryBudget.
	retryBudgetPerRequest, maxRetryBudget = 0.1, 20.0
	// initialServiceAims, in aims, is the service time and the time of a request until there is a response.
	// A new response has the weight sampleWeight. Without responses, the service time of a backend moves
	// idleDecay of the way to the mean in each window.
	initialServiceAims, sampleWeight, idleDecay = 0.1, 0.05, 0.3
	// A certain failure costs failureCostAims. An outcome has the weight failureSampleWeight in the failure
	// rate of a backend. The rate decays by failureRateDecay a window, so that traffic returns. Chance
	// explains a difference of up to noiseDeviations standard deviations.
	failureCostAims, failureSampleWeight, failureRateDecay, noiseDeviations = 3.0, 0.1, 0.25, 2.0
	// crossZoneCostAims is the wait, in aims, that costs as much as the whole worth of a request.
	crossZoneCostAims = 1.5
	// A tenant's share is a token bucket of shareBurstSeconds of its rate, but at least minShareBurst: of a
	// share spread over hundreds of nodes, each receives a request now and then, and a few may coincide.
	shareBurstSeconds, minShareBurst = 1.0, 4.0
	// worthSampleWeight is the weight of a request in the mean worth. Worth changes the longest wait by a
	// factor of at most maxAdmissionWeight.
	worthSampleWeight, maxAdmissionWeight = 0.01, 2.0
	// The log reports a backend as failing above highFailureRate, which is more than a single failure, and
	// as recovered below lowFailureRate. Silence costs beyond silenceGraceFactor times the expected time.
	highFailureRate, lowFailureRate, silenceGraceFactor = 0.11, 0.02, 2
	// The admission factor is the part of the headroom that queues may take up. It changes with the
	// responses, by admissionRate a second and maxAdmissionStep a response at most, and stays level while
	// one in lateOneIn is late. Of the requests to be rejected within their tenant's share, one in
	// trialOneIn is sent all the same: its response shows whether rejecting is right. Like a congestion
	// window, the factor grows only while at least minUtilization of it is used (RFC 7661).
	admissionRate, maxAdmissionStep, lateOneIn, trialOneIn       = 2.0, 0.1, 20, 20
	initialAdmission, minAdmission, maxAdmission, minUtilization = 0.3, 0.12, 4.0, 0.5
	// A backend with a queue estimate up to maxIdleQueue is idle. A response that met a queue up to
	// maxEmptyQueue shows the base time, with the weight baseTimeWeight. The mean of all classes counts as
	// priorSamples of each class: response times deviate by about their mean, so two samples can only show
	// that classes differ by more than 0.7 of it.
	maxIdleQueue, maxEmptyQueue, baseTimeWeight, priorSamples = 0.1, 1.0, 0.03, 2
	// intervalFallWeight and intervalRiseWeight move the report interval to a shorter or a longer one.
	intervalFallWeight, intervalRiseWeight = 0.3, 0.01
	// A failed discovery call is repeated after AskEvery/watchRetryParts, later above watchRetryNodes
	// nodes, and after maxWatchRetryInterval at most. With a call of discoveryCallTimeout this is 6 s, when
	// an update counts as received. The interval exceeds it only after maxWatchTimeouts calls timed out.
	watchRetryParts, watchRetryNodes                              = 20, 8
	maxWatchRetryInterval, discoveryCallTimeout, maxWatchTimeouts = 4 * time.Second, 2 * time.Second, 2
	// maxStall is the longest time for which a node may be held up between reading the clock and its write.
	maxStall = 150 * time.Millisecond
)

// Balancer makes the decisions of one node.
type Balancer struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	actions  []Action
	backends map[BackendID]*backend
	ready    []*backend // backends that requests may go to, by id
	ranked   []*backend // all backends, by rank

	needsSort, needsSubset bool // ranked has to be sorted; ready has to be rebuilt

	requests map[string]*request
	timers   map[uint64]timer
	held     []*request // arrivals that wait for the probes of their tick
	rejected int        // rejected requests

	pendingProbes, probePairs int // probes that held requests wait for; backends probed twice in a row

	lastMark uint64
	probedAt time.Duration // the last tick that sent probes
	classes  []classStats
	warmRate float64 // this node's part of the mean requests a second of one warm backend

	windowStartedAt, lastAdjustedAt time.Duration // lastAdjustedAt: of the admission factor

	probes          probeReplies
	probeCredit     float64     // probes that arrivals have earned
	admissionFactor float64     // part of the headroom that queues may take up
	subsetSize      int         // backends of a zone that this node uses
	listedByZone    map[int]int // ready backends of each zone, without the failing ones
	responseGap     float64     // mean time between responses, seconds
	shareBuckets    []tokenBucket

	responsesLate, discoveryFailing bool          // as logged
	failedWatches, timedOutWatches  int           // failed discovery calls since the last list; time-outs
	retriesRefilledAt, watchedAt    time.Duration // watchedAt: the last repeated discovery call
	meanFailureRate, meanErrorRate  float64       // all failures; errors and broken attempts only

	meanWorth       float64 // running mean of the worth of requests for each unit of work
	meanAim         float64 // mean aim of the classes, seconds
	meanServiceTime float64 // service time over all responses, from the next two fields

	meanResponseTime, meanQueueMet, responses float64 // seconds; queue at the send; number of responses

	recent        slowdown
	allLoad       peerLoadMean // peer load over all backends
	zoneLoads     map[int]*peerLoadMean
	byName        map[uint32]*backend // by the name that all nodes use
	peerSequences map[int]uint16      // sequence number of the last message of each peer
	sentSequence  uint16              // sequence number of the last message to peers
	forwardCredit float64             // messages that load reports have earned
	requestRate   float64             // requests a second that this node should receive

	badMessageLoggedAt time.Duration // last log line on an invalid message of a peer

	coldLoad       peerLoadMean // peer load over cold backends
	retryBudget    float64      // attempts that may be repeated
	probesSent     float64      // probes sent
	probesLeftOut  int          // probes not sent for want of processor time
	isShort        bool         // the process of this node is short of processor time
	reportInterval float64      // seconds between two different load reports of a backend
}

// backend is one entry of the endpoint list.
type backend struct {
	Member
	zoneLoad       *peerLoadMean // peer load over its zone
	peerLoadOffset float64       // usual peer load here, beyond the mean of the zone
	lastPeerLoad   float64       // peer load by the last report or probe
	peerLoadAt     time.Duration
	failureRate    float64
	isFailing      bool          // traffic is withheld, as logged
	silentSince    time.Duration // last sign, or the first send since no attempt was pending
	inFlight       float64       // pending attempts of this node
	openStreams    float64       // those of them that are streams with a started response
	arrivingBodies float64       // those of them whose bodies are still arriving from clients
	unconfirmed    float64       // attempts that were not accepted since the last report
	reportedQueue  float64       // queue by the last report
	reportedAt     time.Duration // when that report was first received
	responseTime   float64       // running mean of the response time, seconds
	queueMet       float64       // running mean of the queue estimate that those responses met
	lastResponseAt time.Duration
	warmUpBudget   float64 // mean requests that may be sent during warm-up, as of warmUpBudgetAt
	warmUpBudgetAt time.Duration
	servedWork     float64       // work done since the window began, in mean requests
	listedAt       time.Duration // when this process was first listed
	wasUsed        bool          // a request was sent to this process
	weightedSends  float64       // requests sent, each divided by the declared weight
	rank           uint64        // position in this node's own order of the backends
}

// request is one client request that this node has received.
type request struct {
	id                        string
	class                     *Class
	stats                     *classStats
	tenant                    int
	hint, arrivedAt, deadline time.Duration
	attempts                  []attempt
	pendingAttempts           int
	ended                     bool // the final answer is sent
	streamStarted             bool // the response has started, so the client has it
	isBodyArriving            bool // it arrived before its last byte
	deadlineMark              uint64
}

// timer holds what a Timer event is for: the deadline of a request, the end of its hold, a second probe, or
// a repeated call to discovery if all fields are nil.
type timer struct {
	expiring, heldRequest *request
	reprobe               *backend
}

// attempt is one copy of a request at a backend.
type attempt struct {
	backend         *backend
	zone, cell      int // the group at the send: an update may move the backend, or remove it without a group
	sentAt          time.Duration
	awaitedSince    time.Duration // since when the backend owes a sign: the send, or the end of the body
	queueMet        float64       // queue estimate then
	queueTime       float64       // time that this queue takes, seconds
	pending         bool
	mayHaveRun      bool // it may have run, or may still run
	responseStarted bool // a stream with a started response
	isBodyArriving  bool // the body is still arriving
}

// classStats holds what a node has learned about a class.
type classStats struct {
	baseTime        float64 // mean response time without a queue, seconds
	samples         float64 // responses that base is learned from
	unqueuedSamples float64 // those that met no queue
}

// tokenBucket is the rest of a tenant's share at this node.
type tokenBucket struct {
	tokens    float64 // requests
	updatedAt time.Duration
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
	var requestRate float64
	for _, t := range cfg.Tenants {
		requestRate += t.QuotaPerSecond / float64(cfg.Instances)
	}
	requestRate = cmp.Or(requestRate, math.MaxInt32) // no quotas: use all backends
	return &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)),
		backends: map[BackendID]*backend{}, requests: map[string]*request{},
		timers: map[uint64]timer{}, zoneLoads: map[int]*peerLoadMean{}, probedAt: -1,
		byName: map[uint32]*backend{}, peerSequences: map[int]uint16{}, requestRate: requestRate,
		meanAim: aim, responseGap: aim, meanServiceTime: initialServiceAims * aim,
		admissionFactor: initialAdmission,
		recent:          slowdown{factor: 1},
		subsetSize:      max(minSubsetSize, int(requestRate*subsetSeconds)),
		classes:         make([]classStats, len(cfg.Classes)),
		shareBuckets:    slices.Repeat([]tokenBucket{{tokens: minShareBurst}}, len(cfg.Tenants)),
	}, nil
}

// meanAim returns the mean aim of the classes in use, in seconds.
func meanAim(classes []Class) float64 {
	var aim mean
	for i := range classes {
		if !classes[i].IsRemoved {
			aim.add(classes[i].Aim.Seconds())
		}
	}
	return aim.value()
}

// applySettings replaces the settings in use. Requests in progress keep their class as it was.
func (b *Balancer) applySettings(cfg *Config) {
	oldConfig, oldStats, oldBaseTime := b.cfg, b.classes, b.meanBaseTime()
	b.cfg = *cfg
	b.cfg.Index, b.cfg.Instances, b.cfg.Zone = oldConfig.Index, oldConfig.Instances, oldConfig.Zone
	b.cfg.Limits.MaxAttempts = max(cfg.Limits.MaxAttempts, 1)
	b.meanAim, b.classes = meanAim(cfg.Classes), make([]classStats, len(cfg.Classes))
	for i := range min(len(oldStats), len(b.classes)) {
		if !oldConfig.Classes[i].IsRemoved { // another class may have its number now
			b.classes[i] = oldStats[i]
		}
	}
	b.warmRate *= oldBaseTime / max(b.meanBaseTime(), 1e-6)
	for i := len(b.shareBuckets); i < len(cfg.Tenants); i++ {
		b.shareBuckets = append(b.shareBuckets, tokenBucket{tokens: minShareBurst, updatedAt: b.now})
	}
}

// Handle processes one event and appends the resulting actions to out.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.actions = max(b.now, now), out // time must not go back
	b.closeWindow()
	switch ev.Kind {
	case MembersCached, MembersAll, MembersChanged, DiscoveryFailed:
		b.onMembers(&ev)
	case RequestArrived:
		b.onRequest(&ev)
	case StreamStarted:
		if r := b.requests[ev.Request]; r != nil {
			r.streamStarted = true
		}
	case ClientGone:
		if r := b.requests[ev.Request]; r != nil {
			b.finish(r)
		}
	case BudgetChanged:
		b.setDeadline(b.requests[ev.Request], ev.Budget)
	case Timer:
		b.onTimer(ev.TimerID)
	case Probed:
		b.onProbed(&ev)
	case Outcome:
		b.onOutcome(&ev)
	case StreamAnswered:
		b.onStreamAnswered(&ev)
	case BodySent:
		b.onBodySent(&ev)
	case PeerMessage:
		b.onPeerMessage(&ev)
	case SettingsChanged:
		b.applySettings(ev.Settings)
	case ShortageChanged:
		b.onShortage(ev.IsShort)
	case InstancesChanged: // the warm-up budget and the shares of tenants are divided by the new count
		b.warmRate *= float64(b.cfg.Instances) / float64(max(ev.Instances, 1))
		b.cfg.Instances = max(ev.Instances, 1)
	}
	out, b.actions = b.actions, nil
	return out
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) log(text string) { b.emit(Action{Kind: Log, Text: text}) }

// logTransition logs when a condition begins and when it ends.
func (b *Balancer) logTransition(current *bool, begins, ends bool, beginText, endText string) {
	switch {
	case begins && !*current:
		b.log(beginText)
	case ends && *current:
		b.log(endText)
	}
	*current = (*current || begins) && !ends
}

func (b *Balancer) setTimer(in time.Duration, t timer) {
	b.lastMark++
	b.timers[b.lastMark] = t
	b.emit(Action{Kind: SetTimer, In: in, TimerID: b.lastMark})
}

func (b *Balancer) onTimer(mark uint64) {
	t, ok := b.timers[mark]
	delete(b.timers, mark)
	switch {
	case !ok:
	case t.heldRequest != nil:
		if slices.Contains(b.held, t.heldRequest) {
			b.releaseHeld() // a probe without a result is no reason to wait longer
		}
	case t.reprobe != nil:
		if t.reprobe.Phase == Ready {
			b.emit(Action{Kind: Probe, Backend: t.reprobe.Backend})
		}
	case t.expiring == nil:
		b.watchedAt = b.now
		b.emit(Action{Kind: Watch})
	case !t.expiring.ended && !t.expiring.streamStarted:
		b.sendFinalAnswer(t.expiring)
	}
}

func (b *Balancer) onRequest(ev *Event) {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) || b.requests[ev.Request] != nil {
		return
	}
	r := &request{
		id: ev.Request, class: &b.cfg.Classes[ev.Class], stats: &b.classes[ev.Class], tenant: ev.Tenant,
		hint: ev.Hint, arrivedAt: b.now, isBodyArriving: ev.IsBodyArriving,
	}
	b.requests[r.id] = r
	b.setDeadline(r, ev.Budget)
	b.sendProbes()
	b.meanWorth = cmp.Or(b.meanWorth, b.worthPerWork(r))
	b.meanWorth += worthSampleWeight * (b.worthPerWork(r) - b.meanWorth)
	if b.pendingProbes > 0 {
		b.held = append(b.held, r)
		b.setTimer(min(time.Duration(maxHoldFraction*float64(r.class.Aim)), ev.Budget), timer{heldRequest: r})
		return
	}
	b.dispatch(r)
}

// setDeadline sets the time within which a request gets its final answer, whatever happens to its attempts.
func (b *Balancer) setDeadline(r *request, in time.Duration) {
	if r != nil && !r.ended {
		delete(b.timers, r.deadlineMark)
		b.setTimer(in, timer{expiring: r})
		r.deadline, r.deadlineMark = b.now+in, b.lastMark
	}
}

// releaseHeld dispatches the held requests. With little traffic the queue estimates of a node are older
// than a queue lasts. Only the probes of the same tick are current, so a request waits for them for one
// round trip.
func (b *Balancer) releaseHeld() {
	held := slices.DeleteFunc(b.held, func(r *request) bool { return r.ended })
	b.held, b.pendingProbes = nil, 0
	for _, r := range held {
		b.dispatch(r)
	}
}

// dispatch sends an attempt of a request, or its final answer if no attempt is possible.
func (b *Balancer) dispatch(r *request) {
	isRetry := len(r.attempts) > 0 // without a budget, retries multiply the load on full backends
	b.refillRetryBudget()
	maxAttempts := cmp.Or(r.class.Attempts, b.cfg.Limits.MaxAttempts)
	exhausted := b.now >= r.deadline || len(r.attempts) >= maxAttempts || isRetry && b.retryBudget < 1
	var s *backend
	if !exhausted {
		s = b.pick(r, b.maxWait(r))
	}
	if tokens := b.shareTokens(r); s == nil && !exhausted && !isRetry && (tokens == nil || *tokens >= 1) {
		if b.rejected++; b.rejected%trialOneIn == 0 {
			s = b.pick(r, math.Inf(1)) // a node that rejects all gets no responses to correct its estimates
		}
	}
	if s == nil {
		b.sendFinalAnswer(r)
		return
	}
	if isRetry {
		b.retryBudget--
	} else {
		b.retryBudget = min(b.retryBudget+retryBudgetPerRequest, maxRetryBudget)
		if tokens := b.shareTokens(r); tokens != nil {
			*tokens = max(*tokens-1, 0)
		}
	}
	b.send(r, s)
}

// pick returns the permitted backend with the lowest score, or nil. It breaks ties at random.
func (b *Balancer) pick(r *request, maxWait float64) *backend {
	var best *backend
	lowest, ties := 0.0, 0
	baseTime, isRetry := b.meanBaseTime()/b.slowdownFactor(), len(r.attempts) > 0
	meanWeight, minSends := b.declaredShares()
	for _, s := range b.ready {
		if isRetry && (r.tried(s) || !b.mayRetryOn(r, s)) || !b.warmUpAllows(r, s) {
			continue
		}
		serviceTime := b.serviceTime(s)
		queue := b.peerLoad(s, serviceTime) + s.ownQueue() + s.unconfirmed
		cost := b.costOf(s, queue, serviceTime)
		// A request doesn't wait at an idle backend, however slow the backend is.
		if queue > maxIdleQueue && cost-b.crossZoneCost(s)-baseTime-b.failureNoise(s) > maxWait {
			continue
		}
		// Own attempts count twice. Otherwise each node settles on backends of its own.
		score := cost + r.ownAttempts(s)*serviceTime + b.leadCost(s, meanWeight, minSends)
		if s.IsReinstated && !s.wasUsed {
			score = -1 // operators soon see it in use, within its warm-up budget
		}
		if best == nil || score < lowest {
			best, lowest, ties = s, score, 1
		} else if score == lowest {
			if ties++; b.rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func (r *request) tried(s *backend) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.backend == s })
}

func (b *Balancer) send(r *request, s *backend) {
	var within time.Duration
	if first := r.firstPossibleRun(); first != nil && r.class.Effect == Keyed {
		within = first.retryUntil(r.class) - b.now
	}
	r.attempts = append(r.attempts, attempt{backend: s, zone: s.Zone, cell: s.Cell,
		sentAt: b.now, pending: true, mayHaveRun: true})
	a := &r.attempts[len(r.attempts)-1]
	b.beginWait(a)
	s.inFlight++
	if r.isBodyArriving {
		a.isBodyArriving = true
		s.arrivingBodies++
	}
	s.wasUsed = true
	b.countSend(s)
	s.warmUpBudget -= b.work(r) / max(b.meanBaseTime(), 1e-6)
	r.pendingAttempts++
	b.emit(Action{Kind: Send, Request: r.id, Backend: s.Backend, Attempt: len(r.attempts) - 1,
		WriteTimeout: within})
}

// pendingAttempt returns the attempt that an event refers to, or nil if it isn't pending.
func (b *Balancer) pendingAttempt(ev *Event) (*request, *attempt) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].pending {
		return nil, nil
	}
	return r, &r.attempts[ev.Attempt]
}

// onStreamAnswered records that the response of a stream has started. No further sign is expected of it.
func (b *Balancer) onStreamAnswered(ev *Event) {
	if _, a := b.pendingAttempt(ev); a != nil && !a.responseStarted {
		a.endBody()
		a.responseStarted = true
		a.backend.openStreams++
		a.backend.silentSince = b.now
	}
}

func (b *Balancer) onOutcome(ev *Event) {
	r, a := b.pendingAttempt(ev)
	if a == nil {
		return
	}
	a.pending, a.mayHaveRun = false, !ev.Status.NeverRan()
	r.pendingAttempts--
	if a.isBodyArriving {
		a.backend.arrivingBodies--
	}
	a.backend.inFlight--
	if a.responseStarted {
		a.backend.openStreams--
	}
	// A time-out at a silent backend is a fault of that backend, not a sign of overload.
	if !b.isShort && (ev.Status != Expired || a.backend.silentSince > a.awaitedSince) {
		b.adjustAdmission(ev.Status, b.now-r.arrivedAt-r.class.Aim, a.queueTime)
	}
	if a.backend.isProcessOf(a.sentAt) {
		b.learnOutcome(r, a, ev)
	}
	r.ended = r.ended || ev.RequestEnded
	switch {
	case r.ended:
		b.finish(r)
	case r.streamStarted: // the client has the stream, so there is no final answer to send
	case r.pendingAttempts == 0:
		b.dispatch(r)
	}
	b.dropIfGone(a.backend)
}

// learnOutcome updates what is known of the process that an attempt was sent to.
func (b *Balancer) learnOutcome(r *request, a *attempt, ev *Event) {
	if mayBeUnconfirmed(a, ev.Status) {
		a.backend.unconfirmed++
	}
	b.updateFailureRate(a.backend, ev.Status, a.awaitedSince)
	b.compareFailureRate(a.backend)
	b.applyReport(a.backend, ev.Load)
	if ev.Status != Delivered {
		return
	}
	if b.mayLearnFrom(ev.Elapsed) {
		b.learnBaseTime(r, a, ev.Elapsed.Seconds())
		b.learnServiceTime(a.backend, r, a, ev.Elapsed)
	}
	a.backend.servedWork += b.work(r) / max(b.meanBaseTime(), 1e-6)
}

// sendFinalAnswer rejects a request if the client may repeat it without harm, and fails it otherwise.
func (b *Balancer) sendFinalAnswer(r *request) {
	if r.ended {
		return
	}
	kind, after := Fail, b.retryAfter()
	if b.mayReject(r, after) {
		kind = Reject
	}
	b.emit(Action{Kind: kind, Request: r.id, RetryAfter: after})
	b.finish(r)
}

// finish marks a request as ended and removes it once no attempt is pending.
func (b *Balancer) finish(r *request) {
	r.ended = true
	delete(b.timers, r.deadlineMark) // or the timer would keep the request in memory until its deadline
	if r.pendingAttempts == 0 {
		delete(b.requests, r.id)
	}
}

// firstPossibleRun returns the first attempt that may have run, or nil.
func (r *request) firstPossibleRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// retryUntil returns the latest time for a retry, which a stalled node still writes within the window.
func (a *attempt) retryUntil(class *Class) time.Duration { return a.sentAt + class.Window - maxStall }

// mayRetryOn reports whether a retry on s can't execute the request twice.
func (b *Balancer) mayRetryOn(r *request, s *backend) bool {
	first := r.firstPossibleRun()
	return first == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && b.now < first.retryUntil(r.class) && (r.class.Scope == ScopeAll ||
			r.class.Scope == ScopeZone && s.Zone == first.zone && s.Zone >= 0 ||
			r.class.Scope == ScopeCell && s.Cell == first.cell)
}

// mayReject reports whether the client can repeat the request after this time without harm.
func (b *Balancer) mayReject(r *request, after time.Duration) bool {
	first := r.firstPossibleRun()
	return first == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Scope == ScopeAll && b.now+after < first.retryUntil(r.class)
}

// applyReport sets the peer load to the reported queue less this node's own pending attempts.
func (b *Balancer) applyReport(s *backend, load Load) {
	queue := load.Active
	switch {
	case load.Has&(HasActive|HasWaiting) == 0:
		return
	case load.Has&HasActive == 0:
		queue = load.Waiting
	}
	s.unconfirmed = 0
	age, first := (b.now - s.reportedAt).Seconds(), s.reportedAt == 0
	switch {
	case first:
	case queue != s.reportedQueue && (b.reportInterval == 0 || age < 2*b.reportInterval):
		b.reportInterval = cmp.Or(b.reportInterval, age)
		b.reportInterval += intervalFallWeight * (age - b.reportInterval)
	case age < b.reportInterval:
		return // the same report; after the interval an equal one is new: an idle backend always reports 0
	case queue > 0 && age < 2*b.reportInterval:
		b.reportInterval += intervalRiseWeight * (age - b.reportInterval)
	}
	s.reportedQueue, s.reportedAt = queue, b.now
	b.recordPeerLoad(s, max(0, queue-s.ownQueue()), b.reportInterval)
}

// closeWindow ends a window of OverloadFor, 1 s at least. The warm rate is what a warm backend serves for
// this node, in mean requests a second: a decaying maximum, on which the node's own part of a warm-up
// budget is based. With few requests the highest window is partly chance, which is deducted.
func (b *Balancer) closeWindow() {
	elapsed := (b.now - b.windowStartedAt).Seconds()
	if elapsed < max(b.cfg.Rules.OverloadFor.Seconds(), 1) {
		return
	}
	var warm, count mean
	for _, s := range b.ready {
		// A failing backend could serve more.
		if b.warmFraction(s) == 1 && s.listedAt <= b.windowStartedAt && s.failureRate < highFailureRate {
			warm.add(s.servedWork / elapsed * b.subsetShare(s))
			count.add(s.servedWork)
		}
		s.servedWork = 0
		s.failureRate -= failureRateDecay * s.failureRate
		if !b.cfg.Limits.Probing || b.isShort {
			s.unconfirmed -= failureRateDecay * s.unconfirmed // without probes no report clears it
		}
		if s.lastResponseAt < b.windowStartedAt && s.responseTime > 0 {
			// A slow backend gets no traffic, and so no responses that would show its recovery.
			s.responseTime += idleDecay * (b.meanServiceTime*(s.queueMet+1) - s.responseTime)
		}
	}
	if warm.n > 0 {
		b.warmRate = max(b.warmRate*warmRateDecay,
			warm.value()*(1-warmRateDeviations/math.Sqrt(max(count.sum, 1))))
	}
	if b.recent.updatedAt < b.windowStartedAt { // without responses nothing else shows a recovery of all
		b.learnSlowdown(b.recent.baseline*(b.recent.queueMet+1), b.recent.queueMet, idleDecay)
	}
	if b.windowStartedAt = b.now; b.needsSubset {
		b.chooseSubset()
	}
}

// mean is an arithmetic mean. It is 0 without values.
type mean struct{ sum, n float64 }

func (m *mean) add(x float64) { m.sum, m.n = m.sum+x, m.n+1 }

func (m *mean) value() float64 { return m.sum / max(m.n, 1) }
