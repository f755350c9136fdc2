package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// mark returns the mark of the first timer that the last event set.
func (r *rig) mark() uint64 {
	r.t.Helper()
	s := ofKind(SetTimer, r.last)
	if len(s) == 0 {
		r.t.Fatalf("no timer in %+v", r.last)
	}
	return s[0].TimerID
}

// A request whose attempt ends at its deadline must not be retried: the client is gone before the retry ends.
func TestNoRetryAtDeadline(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	r.arrive("x", safe)
	to := r.sentTo()
	r.wait(time.Second)
	acts := r.outcome("x", 0, to, Shed)
	if len(ofKind(Send, acts)) != 0 || len(ofKind(Reject, acts)) != 1 {
		t.Errorf("%+v", acts)
	}
}

// A retry must go to a backend that has not had the request yet. Without one, the request gets its final answer.
func TestRetryGoesToAnotherBackend(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	r.arrive("x", safe)
	first := r.sentTo()
	r.outcome("x", 0, first, Shed)
	second := r.sentTo()
	acts := r.outcome("x", 1, second, Shed)
	if second == first || len(ofKind(Send, acts)) != 0 || len(ofKind(Reject, acts)) != 1 {
		t.Errorf("to %d, then %d, then %+v", first, second, acts)
	}
}

// The retry budget must not grow without limit in quiet times.
func TestRetryBudgetIsCapped(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(1000, safe, constantTime)
	if r.b.retryBudget != maxRetryBudget {
		t.Errorf("retry budget of %v", r.b.retryBudget)
	}
}

// Without permission nothing may be probed, and the credit for probes must not exceed that of two ticks.
func TestProbesNeedPermissionAndCreditIsCapped(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.Probing = false
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
	for i := range 50 {
		r.wait(time.Second)
		if p := ofKind(Probe, r.arrive(fmt.Sprint(i), safe)); len(p) != 0 {
			t.Fatalf("probed without permission: %+v", p)
		}
	}
	r = newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	for i := range 100 { // one tick
		r.arrive(fmt.Sprint("burst", i), unsafe)
	}
	if r.b.probeCredit > 2*maxProbesPerTick {
		t.Errorf("credit for %v probes", r.b.probeCredit)
	}
}

// Once a stream has started the client has a part of it. A retry would repeat that part.
func TestStartedStreamIsNotRetried(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	r.arrive("x", safe)
	to := r.sentTo()
	r.do(Event{Kind: StreamStarted, Request: "x", Backend: to})
	if acts := r.outcome("x", 0, to, Dropped); len(acts) != 0 {
		t.Errorf("%+v", acts)
	}
}

// Requests that have ended must be removed from memory.
func TestEndedRequestsAreRemoved(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(20, safe, constantTime)
	r.arrive("gone", safe)
	to := r.sentTo()
	r.do(Event{Kind: ClientGone, Request: "gone"})
	r.outcome("gone", 0, to, Expired)
	r.arrive("late", unsafe)
	to, mark := r.sentTo(), r.mark()
	r.wait(time.Second)
	r.do(Event{Kind: Timer, TimerID: mark})
	r.outcome("late", 0, to, Expired)
	if n := len(r.b.requests); n != 0 {
		t.Errorf("%d requests left in memory", n)
	}
}

// Discovery may fail for minutes. The log must have one line for it, and requests still use the last list.
func TestFailedDiscoveryIsLoggedOnce(t *testing.T) {
	cfg := testConfig()
	cfg.AskDiscovery = true
	r := newRig(t, cfg, member(1, 0, 0))
	for range 10 {
		r.collectLogs(r.do(Event{Kind: DiscoveryFailed}))
	}
	if len(r.logs) != 1 {
		t.Errorf("%q", r.logs)
	}
	r.arrive("x", safe)
	r.sentTo() // the old list is still in use
}

// A restarted backend is a new process. It must not inherit the warm-up budget or the service time of the old one.
func TestRestartedBackendInheritsNothing(t *testing.T) {
	old := member(1, 0, 0)
	old.Launched = time.Hour
	r := newRig(t, testConfig(), old, member(2, 0, 0))
	r.serve(50, safe, constantTime)
	s := r.b.backends[1]
	s.warmUpBudget, s.servedWork, s.responseTime = -9, 9, 9
	old.Launched = r.now
	r.do(Event{Kind: MembersChanged, Members: []Member{old}})
	if s.warmUpBudget < -1 || s.servedWork != 0 || s.responseTime != 0 || s.listedAt != r.now {
		t.Errorf("%+v", *s)
	}
}

// The warm rate must come only from backends that were warm and listed for the whole window, and it must decay slowly
// when traffic stops.
func TestWarmRate(t *testing.T) {
	cold := member(1, 0, 0)
	cold.Launched = time.Hour
	r := newRig(t, testConfig(), cold, member(2, 0, 0), member(3, 0, 0))
	roll := func(work float64) float64 {
		for _, s := range r.b.backends {
			s.servedWork = work
		}
		r.b.backends[1].servedWork = 1000 * work
		r.b.backends[3].servedWork, r.b.backends[3].listedAt = 1000*work, r.now+ms // listed just now
		r.wait(1500 * ms)
		r.do(Event{Kind: Timer})
		return r.b.warmRate
	}
	r.wait(1500 * ms)
	r.do(Event{Kind: Timer})
	if few := roll(2); few != 0 { // two in a window may be chance, and each node of a large fleet has its own such window
		t.Errorf("rate %v of two requests", few)
	}
	high := roll(3e6)
	if math.Abs(high-2e6) > 0.01*2e6 {
		t.Errorf("rate %v, want 3e6 in 1.5 s", high)
	}
	if low := roll(0); low != warmRateDecay*high {
		t.Errorf("rate %v after a window without traffic, %v before", low, high)
	}
}

// The effect of worth on the longest wait is limited: requests of almost no worth must still be served when there is
// capacity.
func TestEffectOfWorthIsLimited(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[safe].Points, cfg.Classes[unsafe].Points = 1000, 0.001
	r := newRig(t, cfg, member(1, 0, 0))
	r.serve(50, safe, constantTime)
	r.serve(50, unsafe, constantTime)
	usual := r.b.admissionFactor * max(r.b.headroom(), r.b.meanBaseTime())
	for class, want := range map[int]float64{safe: maxAdmissionWeight * usual, unsafe: usual / maxAdmissionWeight} {
		got := r.b.maxWait(&request{class: &cfg.Classes[class], stats: &r.b.classes[class], tenant: -1})
		if math.Abs(got-want) > 1e-9 && class == unsafe || got > want+1e-9 {
			t.Errorf("class %d: longest wait %v, want %v", class, got, want)
		}
	}
}

// With all backends slower than the aim there is no headroom. Rejecting all requests would leave the backends idle.
func TestSlowBackendsStillQueue(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(200, safe, func(BackendID) time.Duration { return 600 * ms })
	got := r.b.maxWait(&request{class: &r.b.cfg.Classes[safe], stats: &r.b.classes[safe], tenant: -1})
	if r.b.headroom() != 0 || got < minAdmission*0.5 {
		t.Errorf("headroom %v, longest wait %v s with response times of 0.6 s", r.b.headroom(), got)
	}
}

// A single slow first response must not set the base time of its class.
func TestBaseTimeIsMeanOfFirstResponses(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(1, safe, func(BackendID) time.Duration { return 280 * ms })
	r.serve(9, safe, constantTime)
	if base := r.b.classes[safe].baseTime; math.Abs(base-0.046) > 0.001 {
		t.Errorf("base time %v s, want the mean of 0.046", base)
	}
}

// A report that is repeated within the report interval has no new information, and must not count again.
func TestRepeatedReportIsIgnored(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	for i := range 20 {
		r.wait(500 * ms)
		r.do(report(1, float64(i%2)))
	}
	r.do(report(1, 9))
	was := r.b.baseline(r.b.backends[1])
	for range 20 {
		r.wait(ms)
		r.do(report(1, 9))
	}
	if o := r.b.baseline(r.b.backends[1]); o != was {
		t.Errorf("baseline went from %v to %v by repeated reports", was, o)
	}
}

// A backend that loses all its attempts looks idle. An attempt that times out without any sign since is a failure.
func TestTimeoutWithoutAnySignIsFailure(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(50, safe, constantTime)
	r.arrive("lost", unsafe)
	r.wait(time.Second)
	r.outcome("lost", 0, 1, Expired)
	if f := r.b.backends[1].failureRate; f != 1 {
		t.Errorf("failure rate %v", f)
	}
}

// With pending attempts, silence must add to the cost once it lasts longer than the queue explains.
func TestSilenceRaisesCost(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(50, safe, constantTime)
	r.arrive("x", safe)
	s := r.b.backends[1]
	was := r.b.cost(s)
	r.wait(10 * ms)
	r.do(Event{Kind: Timer})
	if c := r.b.cost(s); c != was {
		t.Errorf("cost %v after 10 ms, %v at the send", c, was)
	}
	r.wait(time.Second)
	r.do(Event{Kind: Timer})
	if c := r.b.cost(s); c < was+0.9 {
		t.Errorf("cost %v after a second of silence, %v at the send", c, was)
	}
}

// A clock that goes back, or an outcome that is reported twice, must not cause a panic, a second send or a negative count.
func TestInvalidEventsAreHarmless(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	r.arrive("x", unsafe)
	to := r.sentTo()
	r.wait(-30 * time.Minute)
	r.outcome("x", 0, to, Delivered)
	for _, acts := range [][]Action{
		r.outcome("x", 0, to, DialFailed),
		r.outcome("x", 5, to, Delivered),
		r.outcome("x", -1, to, Delivered),
		r.do(Event{Kind: Timer, TimerID: 1 << 40}),
		r.do(Event{Kind: EventKind(200)}),
	} {
		if len(acts) != 0 {
			t.Errorf("%+v", acts)
		}
	}
	for range 50 {
		r.serve(1, safe, constantTime)
	}
	if r.b.now < time.Hour {
		t.Errorf("the clock went back to %v", r.b.now)
	}
	for id, s := range r.b.backends {
		if s.inFlight != 0 || math.IsNaN(r.b.cost(s)) {
			t.Errorf("backend %d: %+v", id, *s)
		}
	}
}

// A heavy request is late with any queue. Only responses that the queue made late may lower the admission factor.
func TestOnlyQueueingLowersAdmissionFactor(t *testing.T) {
	for met, tightens := range map[float64]bool{0: false, 12: true} {
		r := newRig(t, testConfig(), member(1, 0, 0))
		r.serve(100, safe, constantTime)
		s := r.b.backends[1]
		s.responseTime, s.queueMet = 0.02*(met+1), met
		r.arrive("x", safe)
		r.sentTo()
		r.b.requests["x"].attempts[0].queueTime = met * r.b.serviceTime(s)
		r.b.admissionFactor = 0.3
		r.wait(400 * ms)
		r.do(Event{Kind: Outcome, Request: "x", Backend: 1, Elapsed: 400 * ms, RequestEnded: true})
		if got := r.b.admissionFactor < 0.3; got != tightens || r.b.admissionFactor > 0.3 {
			t.Errorf("queue of %v: admission factor from 0.3 to %v", met, r.b.admissionFactor)
		}
	}
}

// Nodes that each send just one request to a cold backend can overload it together. In each window all nodes together
// must stay within its budget, and some of them still have to send.
func TestNodesShareWarmUpBudget(t *testing.T) {
	for _, hasResponses := range []bool{false, true} { // before and after the first responses
		cfg := testConfig()
		cfg.Instances = 200
		cfg.Rules.ColdShare = 0.9 // so that its capacity is nearly constant
		got := make([]int, 4)
		for node := range cfg.Instances {
			b, _ := New(cfg, uint64(node))
			r := &rig{t: t, b: b, now: time.Hour}
			r.do(Event{Kind: MembersCached, Members: []Member{member(2, 0, 0)}})
			if hasResponses {
				r.serve(20, safe, constantTime)
			}
			b.warmRate = 0 // a backend serves little for each of so many nodes
			cold := member(1, 0, 0)
			cold.Launched = r.now
			r.do(Event{Kind: MembersAll, Members: []Member{cold}})
			for i := range 200 * len(got) {
				if acts := ofKind(Send, r.arrive(fmt.Sprint("c", i), safe)); len(acts) > 0 {
					got[i/200]++
					r.outcome(fmt.Sprint("c", i), 0, 1, Delivered)
				}
				r.wait(1500 * ms / 200)
			}
		}
		// It does one second of work a second, in requests of 20 ms (taken for 30 ms before the first response).
		for window, n := range got {
			if n == 0 || float64(n)*0.02 > 0.6*cfg.Rules.FallMultiple*1.5 {
				t.Errorf("window %d, with responses %v: %d requests", window, hasResponses, n)
			}
		}
	}
}

// A full list has all backends, also those outside this node's subset. A backend that it lacks is gone, and must not come
// back into the subset.
func TestFullListRemovesBackendsOutsideSubset(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 100
	all := make([]Member, 40)
	for i := range all {
		all[i] = member(BackendID(i+1), 0, 0)
	}
	r := newRig(t, cfg, all...)
	if len(r.b.ready) != minSubsetSize {
		t.Fatalf("subset of %d backends", len(r.b.ready))
	}
	var rest []Member
	for _, m := range all {
		if !slices.Contains(r.b.ready, r.b.backends[m.Backend]) && len(rest) < 3 {
			rest = append(rest, m)
		}
	}
	r.do(Event{Kind: MembersAll, Members: rest})
	r.do(Event{Kind: MembersAll, Members: rest[:1]})
	r.wait(2 * time.Second)
	for i := range 50 {
		r.arrive(fmt.Sprint(i), safe)
		for _, a := range ofKind(Send, r.last) {
			if a.Backend != rest[0].Backend {
				t.Fatalf("sent to %d, which is gone", a.Backend)
			}
		}
	}
}

// The reported peer load has to decay into the baseline as the queue turns over.
func TestReportedPeerLoadDecays(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(50, safe, constantTime)
	s := r.b.backends[1]
	r.setPeerLoad(1, 2)
	s.lastPeerLoad, s.peerLoadAt = 10, r.now
	r.do(Event{Kind: Timer})
	if e := r.b.queueEstimate(s); e != 10 {
		t.Errorf("queue estimate %v right after a report of 10", e)
	}
	r.wait(10 * time.Second)
	r.do(Event{Kind: Timer})
	if e := r.b.queueEstimate(s); e > 2.2 {
		t.Errorf("queue estimate %v ten seconds later, with a baseline of 2", e)
	}
}

// A node must limit waits also before its first response, or nodes that start together fill every backend.
func TestNewNodeLimitsWaits(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	if s := r.b.headroom(); math.IsInf(s, 1) {
		t.Errorf("headroom %v without a response", s)
	}
}

// A node that starts has no estimates. Many nodes that start together would fill the backends before an expensive probe
// is due. So each arrival has to send a probe until there were as many probes as backends.
func TestNewNodeProbesAtEachArrival(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.Probe = 1000 * probeCostBudget
	members := make([]Member, 5)
	for i := range members {
		members[i] = member(BackendID(i+1), 0, 0)
	}
	r := newRig(t, cfg, members...)
	probes := 0
	for i := range 100 {
		r.wait(10 * ms)
		probes += len(ofKind(Probe, r.arrive(fmt.Sprint(i), safe)))
	}
	if probes < 5 || probes > 6 {
		t.Errorf("%d probes for 5 backends", probes)
	}
}

// A node of a large fleet gets few responses a second. It must react to overload in as many seconds as a busy node.
func TestAdmissionFactorFollowsTime(t *testing.T) {
	after := func(gap time.Duration) float64 {
		r := newRig(t, testConfig(), member(1, 0, 0))
		r.b.responseGap = gap.Seconds()
		for range int(time.Second / gap) {
			r.wait(gap)
			r.do(Event{Kind: Timer})
			r.b.adjustAdmission(Delivered, ms, 1)
		}
		return r.b.admissionFactor
	}
	if busy, idle := after(20*ms), after(50*ms); busy > 0.2 || idle > busy*1.1 {
		t.Errorf("after a second of late responses: admission factor %v with 50 a second, %v with 20", busy, idle)
	}
}

// Nodes must have different subsets, or some backends get all requests and others none. A failing backend must not count
// in the subset, or failures in a zone would leave a node without backends.
func TestSubsetsDifferAndExcludeFailingBackends(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 100
	members := make([]Member, 40)
	for i := range members {
		members[i] = member(BackendID(i+1), 0, 0)
	}
	inSubsets := map[BackendID]bool{}
	for node := range 20 {
		cfg.Index = node
		r := newRig(t, cfg, members...)
		for _, s := range r.b.ready {
			inSubsets[s.Backend] = true
		}
		for _, s := range r.b.ready[:3] {
			s.isFailing = true
		}
		r.do(Event{Kind: MembersChanged})
		healthy := 0
		for _, s := range r.b.ready {
			if !s.isFailing {
				healthy++
			}
		}
		if healthy != minSubsetSize {
			t.Errorf("node %d has %d healthy backends", node, healthy)
		}
	}
	if len(inSubsets) < 35 {
		t.Errorf("20 nodes use %d of 40 backends", len(inSubsets))
	}
}

// The first reports must set the mean for all backends without a report at once, and not by a twentieth each.
func TestFirstReportSetsMeanOfAll(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.wait(time.Second)
	r.do(report(1, 10))
	if o := r.b.peerLoad(r.b.backends[2], r.b.serviceTime(r.b.backends[2])); o < 5 {
		t.Errorf("peer load %v at a backend without a report, 10 at the first one with a report", o)
	}
}

// With cheap probes and current reports, a request has to wait for the probes of its tick. In a large fleet all older
// estimates are out of date, and the lowest one is the most out of date.
func TestArrivalWaitsForItsProbes(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.Probe = 0
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0), member(3, 0, 0))
	r.do(Event{Kind: RequestArrived, Request: "x", Budget: time.Second})
	probes := ofKind(Probe, r.last)
	if len(probes) != maxProbesPerTick || len(ofKind(Send, r.last)) != 0 {
		t.Fatalf("%d probes and %d sends at the arrival", len(probes), len(ofKind(Send, r.last)))
	}
	r.wait(ms)
	for _, id := range []BackendID{1, 3} {
		if r.do(report(id, 4)); len(ofKind(Send, r.last)) != 0 {
			t.Fatal("sent before all probes were back")
		}
	}
	if r.do(report(2, 0)); r.sentTo() != 2 {
		t.Errorf("sent to %d, but backend 2 is idle", r.sentTo())
	}
	// A probe without a result must not hold a request for long, nor past its end.
	r.wait(time.Second)
	r.do(Event{Kind: RequestArrived, Request: "y", Budget: time.Second})
	timers := ofKind(SetTimer, r.last)
	if hold := timers[len(timers)-1]; hold.In > 15*ms {
		t.Errorf("held for %v", hold.In)
	} else if r.do(Event{Kind: Timer, TimerID: hold.TimerID}); len(ofKind(Send, r.last)) != 1 {
		t.Error("not sent when the hold ended")
	}
	r.do(Event{Kind: RequestArrived, Request: "z", Budget: time.Second})
	r.do(Event{Kind: ClientGone, Request: "z"})
	for _, id := range []BackendID{1, 2, 3} {
		if r.do(report(id, 0)); len(ofKind(Send, r.last)) != 0 {
			t.Error("sent for a client that has gone")
		}
	}
}

// Probes a few seconds apart can't show how often a backend reports. Without a second probe of the same backend at once,
// every report would count as seconds old and have little effect.
func TestReportIntervalIsLearnedFromSecondProbe(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	secondProbes := 0.0
	for i := range 60 {
		r.wait(3 * time.Second)
		r.do(report(1, 3+float64(i%2)))
		for marks := ofKind(SetTimer, r.last); len(marks) > 0; marks = ofKind(SetTimer, r.last) {
			r.wait(marks[0].In)
			if r.do(Event{Kind: Timer, TimerID: marks[0].TimerID}); len(ofKind(Probe, r.last)) != 1 {
				t.Fatal("no second probe")
			}
			secondProbes++
			r.do(report(1, 3+float64(int(secondProbes)%2)))
		}
	}
	if secondProbes == 0 || secondProbes > maxProbePairs || r.b.reportInterval > 0.1 {
		t.Errorf("%v second probes, report interval %v s", secondProbes, r.b.reportInterval)
	}
}

// With hundreds of backends a node uses each of them rarely. The mean service time must be learned from all responses, or
// it stays at its initial value for minutes and long queues look short.
func TestMeanServiceTimeFollowsAllResponses(t *testing.T) {
	members := make([]Member, 200)
	for i := range members {
		members[i] = member(BackendID(i+1), 0, 0)
	}
	r := newRig(t, testConfig(), members...)
	r.serve(40, safe, func(BackendID) time.Duration { return 100 * ms })
	if r.b.meanServiceTime < 0.08 {
		t.Errorf("mean service time %v after 40 responses of 100 ms", r.b.meanServiceTime)
	}
}

// A node that starts while there are queues must not take its first response times for the base time.
func TestHintReplacesBaseTimeBehindQueues(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.b.allLoad.mean, r.b.admissionFactor = 5, maxAdmission
	r.wait(time.Second)
	r.do(Event{Kind: RequestArrived, Request: "x", Hint: 20 * ms, Budget: time.Second})
	r.do(Event{Kind: Outcome, Request: "x", Backend: 1, Elapsed: 200 * ms, RequestEnded: true})
	if base := r.b.classes[safe].baseTime; base < 0.015 || base > 0.025 {
		t.Errorf("base time %v after a response of 200 ms behind five others, with a hint of 20 ms", base)
	}
}

// A class whose aim is not longer than its work has no headroom, but the other classes must keep theirs.
func TestTightClassKeepsHeadroomOfOthers(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[unsafe].Aim = 20 * ms
	r := newRig(t, cfg, member(1, 0, 0))
	r.serve(50, safe, constantTime)
	r.serve(50, unsafe, func(BackendID) time.Duration { return 30 * ms })
	if s := r.b.headroom(); s < 0.1 {
		t.Errorf("headroom %v", s)
	}
}

// A share spread over hundreds of nodes is less than one request a second at each. A few requests at once are chance, and
// must not count as beyond the share.
func TestSmallShareAllowsBurst(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.OverShareWorth = 500, 0.05
	r := newRig(t, cfg, member(1, 0, 0))
	req := &request{class: &cfg.Classes[safe], stats: &r.b.classes[safe]}
	r.serve(3, safe, constantTime)
	if l := r.b.admissionWeight(req); l != 1 {
		t.Errorf("admission weight %v at the fourth request", l)
	}
	r.serve(3, safe, constantTime)
	if l := r.b.admissionWeight(req); l > 0.5 {
		t.Errorf("admission weight %v at the seventh request", l)
	}
}

// A node that rejects everything gets no responses to correct its estimates. So one in trialOneIn requests has to be sent
// all the same, but not more, because overload would get through.
func TestRejectingNodeSendsTrialRequests(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(50, safe, constantTime)
	*r.b.zoneLoads[0] = peerLoadMean{mean: 50, reports: 1e9, updatedAt: r.now}
	r.wait(time.Second)
	sent := 0
	for i := range 10 * trialOneIn {
		r.wait(10 * ms)
		r.arrive(fmt.Sprint(i), safe)
		sent += len(ofKind(Send, r.last))
	}
	if sent != 10 {
		t.Errorf("%d of %d sent to a backend that seems full", sent, 10*trialOneIn)
	}
	r.b.cfg.Tenants[0].QuotaPerSecond, r.b.shareBuckets[0].tokens = 1e-6, 0
	for i := range 10 * trialOneIn { // a flood beyond its share has no end, and its trial requests would fill the backends
		r.wait(10 * ms)
		if r.arrive(fmt.Sprint("flood", i), safe); len(ofKind(Send, r.last)) > 0 {
			t.Fatal("a trial request beyond its tenant's share")
		}
	}
}

// The clock may start at any time, so the time before the first response is no gap between responses.
func TestTimeBeforeFirstResponseIsNoGap(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(20, safe, constantTime)
	if r.b.responseGap > 0.5 {
		t.Errorf("gap %v s after responses 10 ms apart", r.b.responseGap)
	}
}

// An overloaded zone must not raise the mean of the other zones, or their backends stay idle.
func TestZonesHaveSeparateMeans(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0), member(3, 1, 1), member(4, 1, 1))
	for range 20 {
		r.wait(200 * ms)
		r.do(report(1, 10))
		r.do(report(3, 0))
	}
	if here, there := r.b.baseline(r.b.backends[2]), r.b.baseline(r.b.backends[4]); here < 8 || there > 2 {
		t.Errorf("baselines %v and %v at backends without a report in a full and an idle zone", here, there)
	}
}

// A backend with many cores responds as fast behind ten requests as behind none. A node that has met only short queues
// must learn that from the few responses that it gets from a long one.
func TestLongQueueShowsServiceTime(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(200, safe, constantTime)
	s := r.b.backends[1]
	was := r.b.warmServiceTime(s)
	req := &request{class: &r.b.cfg.Classes[safe], stats: &r.b.classes[safe]}
	for range 3 {
		r.b.learnServiceTime(s, req, &attempt{backend: s, queueMet: 12}, 20*ms)
	}
	if is := r.b.warmServiceTime(s); is > was/4 {
		t.Errorf("service time %v, then %v after three responses as fast behind twelve others", was, is)
	}
}

// A stream whose response has started may be quiet for long, and must not make its backend look silent. Before that it
// has to, as does any other pending attempt beside the stream.
func TestStartedStreamIsNotSilent(t *testing.T) {
	b, err := New(Config{Classes: []Class{{Aim: time.Second, Deadline: time.Minute, Effect: Safe, Points: 1}},
		Limits: Limits{MaxAttempts: 3}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	step := func(ev Event) { b.Handle(now, ev, nil) }
	step(Event{Kind: MembersAll, Members: []Member{{Backend: 0, Weight: 1}}})
	s := b.backends[0]
	arrive := func(id string) { step(Event{Kind: RequestArrived, Request: id, Budget: time.Minute}) }
	silent := func(after time.Duration, want float64) {
		t.Helper()
		now += after
		b.now = now
		if got := b.silence(s); got != want {
			t.Errorf("silent for %v s, want %v", got, want)
		}
	}
	arrive("stream")
	silent(3*time.Second, 3)
	step(Event{Kind: StreamAnswered, Request: "stream"})
	step(Event{Kind: StreamAnswered, Request: "stream"}) // a repeated event counts once
	step(Event{Kind: StreamAnswered, Request: "nobody"})
	silent(time.Hour, 0)
	arrive("other")
	silent(2*time.Second, 2)
	step(Event{Kind: Outcome, Request: "stream", Status: Delivered, RequestEnded: true})
	silent(time.Second, 1) // the end of the stream is a sign
	step(Event{Kind: Outcome, Request: "other", Status: Delivered, RequestEnded: true})
	if silent(time.Hour, 0); s.inFlight != 0 || s.openStreams != 0 {
		t.Errorf("%v attempts pending, %v streams open", s.inFlight, s.openStreams)
	}
}
