package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// mark returns the mark of the timer set by the last actions.
func (r *rig) mark() uint64 {
	r.t.Helper()
	s := of(SetTimer, r.last)
	if len(s) == 0 {
		r.t.Fatalf("no timer in %+v", r.last)
	}
	return s[0].Mark
}

// What comes back at the deadline is answered, not sent again: the client is gone by the time it is done.
func TestNothingIsSentAtTheDeadline(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("x", safe)
	to := r.sent()
	r.wait(time.Second)
	acts := r.outcome("x", 0, to, Shed)
	if len(of(Send, acts)) != 0 || len(of(Refuse, acts)) != 1 {
		t.Errorf("%+v", acts)
	}
}

// A retry goes to a server that has not had the request yet; with none left the request is answered.
func TestRetriesGoElsewhere(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("x", safe)
	first := r.sent()
	r.outcome("x", 0, first, Shed)
	second := r.sent()
	acts := r.outcome("x", 1, second, Shed)
	if second == first || len(of(Send, acts)) != 0 || len(of(Refuse, acts)) != 1 {
		t.Errorf("to %d, then %d, then %+v", first, second, acts)
	}
}

// A long calm must not save up retries for a storm.
func TestTheRetryBudgetIsCapped(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(1000, safe, steady)
	if r.b.retries != retryMost {
		t.Errorf("%v retries saved up", r.b.retries)
	}
}

// Without leave to probe nothing is probed, and what probes save up is two at most.
func TestProbesNeedLeaveAndDoNotSaveUp(t *testing.T) {
	cfg := site()
	cfg.Limits.Probing = false
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
	for i := range 50 {
		r.wait(time.Second)
		if p := of(Probe, r.arrive(fmt.Sprint(i), safe)); len(p) != 0 {
			t.Fatalf("probed without leave: %+v", p)
		}
	}
	r = newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	for i := range 100 { // one tick
		r.arrive(fmt.Sprint("burst", i), unsafe)
	}
	if r.b.probeDue > 2*probesPerTick {
		t.Errorf("%v probes saved up", r.b.probeDue)
	}
}

// An attempt that ends after its stream has begun is the client's affair: sending it again would double it.
func TestStartedStreamsAreNotSentAgain(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("x", safe)
	to := r.sent()
	r.do(Event{Kind: StreamStarted, Request: "x", Backend: to})
	if acts := r.outcome("x", 0, to, Dropped); len(acts) != 0 {
		t.Errorf("%+v", acts)
	}
}

// Requests are forgotten once they are over, or a node grows until it dies.
func TestRequestsAreForgotten(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(20, safe, steady)
	r.arrive("gone", safe)
	to := r.sent()
	r.do(Event{Kind: ClientGone, Request: "gone"})
	r.outcome("gone", 0, to, Expired)
	r.arrive("late", unsafe)
	to, mark := r.sent(), r.mark()
	r.wait(time.Second)
	r.do(Event{Kind: Timer, Mark: mark})
	r.outcome("late", 0, to, Expired)
	if n := len(r.b.requests); n != 0 {
		t.Errorf("%d requests kept", n)
	}
}

// Discovery may refuse for minutes: one line says so.
func TestRefusedDiscoveryIsLoggedOnce(t *testing.T) {
	cfg := site()
	cfg.AskDiscovery = true
	r := newRig(t, cfg, member(1, 0, 0))
	for range 10 {
		r.note(r.do(Event{Kind: MembersRefused}))
	}
	if len(r.logs) != 1 {
		t.Errorf("%q", r.logs)
	}
	r.arrive("x", safe)
	r.sent() // the old list still serves
}

// A restarted server is a new process: what the old one was sent while cold is not the new one's, nor its speed.
func TestARestartForgetsTheOldProcess(t *testing.T) {
	old := member(1, 0, 0)
	old.Launched = time.Hour
	r := newRig(t, site(), old, member(2, 0, 0))
	r.serve(50, safe, steady)
	s := r.b.servers[1]
	s.credit, s.served, s.time = -9, 9, 9
	old.Launched = r.now
	r.do(Event{Kind: MembersChanged, Members: []Member{old}})
	if s.credit < -1 || s.served != 0 || s.time != 0 || s.since != r.now {
		t.Errorf("%+v", *s)
	}
}

// The warm rate is that of servers that were warm and there for the whole window, and a lull does not take it away
// at once.
func TestWarmRate(t *testing.T) {
	cold := member(1, 0, 0)
	cold.Launched = time.Hour
	r := newRig(t, site(), cold, member(2, 0, 0), member(3, 0, 0))
	roll := func(work float64) float64 {
		for _, s := range r.b.servers {
			s.served = work
		}
		r.b.servers[1].served = 1000 * work
		r.b.servers[3].served, r.b.servers[3].since = 1000*work, r.now+ms // came just now
		r.wait(1500 * ms)
		r.do(Event{Kind: Timer})
		return r.b.warmRate
	}
	r.wait(1500 * ms)
	r.do(Event{Kind: Timer})
	if few := roll(2); few != 0 { // two in a window may be chance, and each node of a large fleet sees them in another one
		t.Errorf("rate %v of two requests", few)
	}
	high := roll(3e6)
	if math.Abs(high-2e6) > 0.01*2e6 {
		t.Errorf("rate %v, want 3e6 in 1.5 s", high)
	}
	if low := roll(0); low != rateDecay*high {
		t.Errorf("rate %v after a lull, %v before", low, high)
	}
}

// The bound leans to worth within limits: what is worth next to nothing is still served when there is room.
func TestTheLeanIsLimited(t *testing.T) {
	cfg := site()
	cfg.Classes[safe].Points, cfg.Classes[unsafe].Points = 1000, 0.001
	r := newRig(t, cfg, member(1, 0, 0))
	r.serve(50, safe, steady)
	r.serve(50, unsafe, steady)
	usual := r.b.admission * max(r.b.headroom(), r.b.meanBase())
	for class, want := range map[int]float64{safe: weightMost * usual, unsafe: usual / weightMost} {
		got := r.b.bound(&request{class: &cfg.Classes[class], stats: &r.b.classes[class], tenant: -1})
		if math.Abs(got-want) > 1e-9 && class == unsafe || got > want+1e-9 {
			t.Errorf("class %d: bound %v, want %v", class, got, want)
		}
	}
}

// With all servers slower than the aim there is no slack, and refusing all would leave them idle.
func TestSlowServersStillQueue(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(200, safe, func(BackendID) time.Duration { return 600 * ms })
	got := r.b.bound(&request{class: &r.b.cfg.Classes[safe], stats: &r.b.classes[safe], tenant: -1})
	if r.b.headroom() != 0 || got < admissionLeast*0.5 {
		t.Errorf("slack %v, bound %v s where answers take 0.6 s", r.b.headroom(), got)
	}
}

// One unlucky first answer must not pass for the time of its class.
func TestTheFirstAnswersCountByTheirMean(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(1, safe, func(BackendID) time.Duration { return 280 * ms })
	r.serve(9, safe, steady)
	if base := r.b.classes[safe].base; math.Abs(base-0.046) > 0.001 {
		t.Errorf("%v s, the mean is 0.046", base)
	}
}

// A report that is repeated before its time tells nothing new, and must not weigh again.
func TestRepeatedReportsAreNotNews(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	for i := range 20 {
		r.wait(500 * ms)
		r.do(report(1, float64(i%2)))
	}
	r.do(report(1, 9))
	was := r.b.usual(r.b.servers[1])
	for range 20 {
		r.wait(ms)
		r.do(report(1, 9))
	}
	if o := r.b.usual(r.b.servers[1]); o != was {
		t.Errorf("usual went from %v to %v by repeats", was, o)
	}
}

// A server that lost everything it was sent looks idle: with nothing out and no sign since, that is a failure.
func TestNothingBackAtAllIsAFailure(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("lost", unsafe)
	r.wait(time.Second)
	r.outcome("lost", 0, 1, Expired)
	if f := r.b.servers[1].fails; f != 1 {
		t.Errorf("rate of failures %v", f)
	}
}

// Silence counts while something is out, beyond what the queue explains.
func TestSilenceRaisesTheCost(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("x", safe)
	s := r.b.servers[1]
	was := r.b.cost(s)
	r.wait(10 * ms)
	r.do(Event{Kind: Timer})
	if c := r.b.cost(s); c != was {
		t.Errorf("cost %v after 10 ms, %v at once", c, was)
	}
	r.wait(time.Second)
	r.do(Event{Kind: Timer})
	if c := r.b.cost(s); c < was+0.9 {
		t.Errorf("cost %v after a second of silence, %v at once", c, was)
	}
}

// A caller whose clock goes back, or that tells an outcome twice, must not make the module panic, send twice or count below zero.
func TestMisuseIsHarmless(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("x", unsafe)
	to := r.sent()
	r.wait(-30 * time.Minute)
	r.outcome("x", 0, to, Delivered)
	for _, acts := range [][]Action{
		r.outcome("x", 0, to, DialFailed),
		r.outcome("x", 5, to, Delivered),
		r.outcome("x", -1, to, Delivered),
		r.do(Event{Kind: Timer, Mark: 1 << 40}),
		r.do(Event{Kind: EventKind(200)}),
	} {
		if len(acts) != 0 {
			t.Errorf("%+v", acts)
		}
	}
	for range 50 {
		r.serve(1, safe, steady)
	}
	if r.b.now < time.Hour {
		t.Errorf("the clock went back to %v", r.b.now)
	}
	for id, s := range r.b.servers {
		if s.out != 0 || math.IsNaN(r.b.cost(s)) {
			t.Errorf("server %d: %+v", id, *s)
		}
	}
}

// A heavy request is late whatever the queue: only what the queue made late tightens the bound.
func TestOnlyTheQueueMakesLate(t *testing.T) {
	for met, tightens := range map[float64]bool{0: false, 12: true} {
		r := newRig(t, site(), member(1, 0, 0))
		r.serve(100, safe, steady)
		s := r.b.servers[1]
		s.time, s.depth = 0.02*(met+1), met
		r.arrive("x", safe)
		r.sent()
		r.b.requests["x"].attempts[0].wait = met * r.b.pace(s)
		r.b.admission = 0.3
		r.wait(400 * ms)
		r.do(Event{Kind: Outcome, Request: "x", Backend: 1, Spent: 400 * ms, NoMore: true})
		if got := r.b.admission < 0.3; got != tightens || r.b.admission > 0.3 {
			t.Errorf("met %v: part from 0.3 to %v", met, r.b.admission)
		}
	}
}

// A fleet of nodes that each send a cold server just one request can push it over: in any window all of them
// together stay within its budget, and still some of them send.
func TestManyNodesShareTheBudgetOfAColdServer(t *testing.T) {
	for _, known := range []bool{false, true} { // before and after the first answers
		cfg := site()
		cfg.Instances = 200
		cfg.Rules.ColdShare = 0.9 // what it can do is then known
		got := make([]int, 4)
		for node := range cfg.Instances {
			b, _ := New(cfg, uint64(node))
			r := &rig{t: t, b: b, now: time.Hour}
			r.do(Event{Kind: MembersRemembered, Members: []Member{member(2, 0, 0)}})
			if known {
				r.serve(20, safe, steady)
			}
			b.warmRate = 0 // it does little for each of so many nodes
			cold := member(1, 0, 0)
			cold.Launched = r.now
			r.do(Event{Kind: MembersAll, Members: []Member{cold}})
			for i := range 200 * len(got) {
				if acts := of(Send, r.arrive(fmt.Sprint("c", i), safe)); len(acts) > 0 {
					got[i/200]++
					r.outcome(fmt.Sprint("c", i), 0, 1, Delivered)
				}
				r.wait(1500 * ms / 200)
			}
		}
		// It gets one second of work a second done, a request of 20 ms (30 when not known yet) after another.
		for window, n := range got {
			if n == 0 || float64(n)*0.02 > 0.6*cfg.Rules.FallMultiple*1.5 {
				t.Errorf("window %d, answers known %v: %d requests", window, known, n)
			}
		}
	}
}

// A full list names every server there is, also beyond the few that this node keeps to: one that it leaves out
// is gone and must not come back into the part.
func TestAFullListEndsServersOutsideThePart(t *testing.T) {
	cfg := site()
	cfg.Instances = 100
	all := make([]Member, 40)
	for i := range all {
		all[i] = member(BackendID(i+1), 0, 0)
	}
	r := newRig(t, cfg, all...)
	if len(r.b.ready) != subsetServers {
		t.Fatalf("keeps to %d servers", len(r.b.ready))
	}
	var rest []Member
	for _, m := range all {
		if !slices.Contains(r.b.ready, r.b.servers[m.Backend]) && len(rest) < 3 {
			rest = append(rest, m)
		}
	}
	r.do(Event{Kind: MembersAll, Members: rest})
	r.do(Event{Kind: MembersAll, Members: rest[:1]})
	r.wait(2 * time.Second)
	for i := range 50 {
		r.arrive(fmt.Sprint(i), safe)
		for _, a := range of(Send, r.last) {
			if a.Backend != rest[0].Backend {
				t.Fatalf("sent to %d, which is gone", a.Backend)
			}
		}
	}
}

// What was told of a queue fades as it turns over, into what is usual at that server.
func TestWhatWasToldFades(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(50, safe, steady)
	s := r.b.servers[1]
	r.holds(1, 2)
	s.told, s.toldAt = 10, r.now
	r.do(Event{Kind: Timer})
	if e := r.b.estimate(s); e != 10 {
		t.Errorf("entry %v when just told 10", e)
	}
	r.wait(10 * time.Second)
	r.do(Event{Kind: Timer})
	if e := r.b.estimate(s); e > 2.2 {
		t.Errorf("entry %v ten seconds later, 2 is usual", e)
	}
}

// A node that has no answers yet bounds waits as well, or all nodes that start together fill every server.
func TestANewNodeBoundsWaits(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	if s := r.b.headroom(); math.IsInf(s, 1) {
		t.Errorf("slack %v without an answer", s)
	}
}

// A node that starts knows nothing, and in a large fleet all that start together would fill the servers before
// a dear probe is due: until it has probed as many times as it keeps servers, each arrival probes.
func TestANewNodeProbesAtEachArrival(t *testing.T) {
	cfg := site()
	cfg.Prices.Probe = 1000 * probeSpend
	members := make([]Member, 5)
	for i := range members {
		members[i] = member(BackendID(i+1), 0, 0)
	}
	r := newRig(t, cfg, members...)
	probes := 0
	for i := range 100 {
		r.wait(10 * ms)
		probes += len(of(Probe, r.arrive(fmt.Sprint(i), safe)))
	}
	if probes < 5 || probes > 6 {
		t.Errorf("%d probes for 5 servers", probes)
	}
}

// A node of a large fleet sees few answers a second, and must notice a jam in as many seconds as a busy one.
func TestLatenessCountsByTime(t *testing.T) {
	after := func(gap time.Duration) float64 {
		r := newRig(t, site(), member(1, 0, 0))
		r.b.gap = gap.Seconds()
		for range int(time.Second / gap) {
			r.wait(gap)
			r.do(Event{Kind: Timer})
			r.b.pressure(Delivered, ms, 1)
		}
		return r.b.admission
	}
	if busy, idle := after(20*ms), after(50*ms); busy > 0.2 || idle > busy*1.1 {
		t.Errorf("after a second of lateness part %v with 50 answers a second, %v with 20", busy, idle)
	}
}

// Nodes keep to different parts, or some servers get all and others none; a server that fails does not count
// as one of the part, or a zone that fails leaves a node without any.
func TestPartsDifferAndGrowByFailures(t *testing.T) {
	cfg := site()
	cfg.Instances = 100
	members := make([]Member, 40)
	for i := range members {
		members[i] = member(BackendID(i+1), 0, 0)
	}
	kept := map[BackendID]bool{}
	for node := range 20 {
		cfg.Index = node
		r := newRig(t, cfg, members...)
		for _, s := range r.b.ready {
			kept[s.Backend] = true
		}
		for _, s := range r.b.ready[:3] {
			s.failed = true
		}
		r.do(Event{Kind: MembersChanged})
		sound := 0
		for _, s := range r.b.ready {
			if !s.failed {
				sound++
			}
		}
		if sound != subsetServers {
			t.Errorf("node %d keeps to %d sound servers", node, sound)
		}
	}
	if len(kept) < 35 {
		t.Errorf("20 nodes use %d of 40 servers", len(kept))
	}
}

// The first looks of a node tell of all servers that it has not seen yet, at once and not by a twentieth each.
func TestFirstLooksTellOfTheRest(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.wait(time.Second)
	r.do(report(1, 10))
	if o := r.b.others(r.b.servers[2], r.b.pace(r.b.servers[2])); o < 5 {
		t.Errorf("%v at a server not seen, 10 at the first one seen", o)
	}
}

// Where probes are cheap and fresh a request waits for those of its own tick: in a large fleet all older
// entries are out of date, and the smallest of them is the most outdated one.
func TestArrivalsWaitForTheirProbes(t *testing.T) {
	cfg := site()
	cfg.Prices.Probe = 0
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0), member(3, 0, 0))
	r.do(Event{Kind: RequestArrived, Request: "x", Budget: time.Second})
	probes := of(Probe, r.last)
	if len(probes) != probesPerTick || len(of(Send, r.last)) != 0 {
		t.Fatalf("%d probes and %d sends at the arrival", len(probes), len(of(Send, r.last)))
	}
	r.wait(ms)
	for _, id := range []BackendID{1, 3} {
		if r.do(report(id, 4)); len(of(Send, r.last)) != 0 {
			t.Fatal("sent before all probes were back")
		}
	}
	if r.do(report(2, 0)); r.sent() != 2 {
		t.Errorf("sent to %d, but 2 is idle", r.sent())
	}
	// A probe that stays out must not hold it for long, nor past its end.
	r.wait(time.Second)
	r.do(Event{Kind: RequestArrived, Request: "y", Budget: time.Second})
	timers := of(SetTimer, r.last)
	if hold := timers[len(timers)-1]; hold.In > 15*ms {
		t.Errorf("held for %v", hold.In)
	} else if r.do(Event{Kind: Timer, Mark: hold.Mark}); len(of(Send, r.last)) != 1 {
		t.Error("not sent when the hold ended")
	}
	r.do(Event{Kind: RequestArrived, Request: "z", Budget: time.Second})
	r.do(Event{Kind: ClientGone, Request: "z"})
	for _, id := range []BackendID{1, 2, 3} {
		if r.do(report(id, 0)); len(of(Send, r.last)) != 0 {
			t.Error("sent for a client that has gone")
		}
	}
}

// Probes a few seconds apart cannot tell how often a server reports: the same one is asked again at once, or
// every report passes for seconds old and is not believed.
func TestTheTimeBetweenReportsIsLearnedByAskingAgain(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	next := 0.0
	for i := range 60 {
		r.wait(3 * time.Second)
		r.do(report(1, 3+float64(i%2)))
		for marks := of(SetTimer, r.last); len(marks) > 0; marks = of(SetTimer, r.last) {
			r.wait(marks[0].In)
			if r.do(Event{Kind: Timer, Mark: marks[0].Mark}); len(of(Probe, r.last)) != 1 {
				t.Fatal("not asked again")
			}
			next++
			r.do(report(1, 3+float64(int(next)%2)))
		}
	}
	if next == 0 || next > pairsMost || r.b.refresh > 0.1 {
		t.Errorf("asked again %v times, reports taken for %v s apart", next, r.b.refresh)
	}
}

// With hundreds of servers a node meets each of them now and then: the pace of all is learned from all its
// answers, or it stays at a first guess for minutes and queues of any length look short.
func TestThePaceOfAllIsLearnedFromAnyAnswer(t *testing.T) {
	members := make([]Member, 200)
	for i := range members {
		members[i] = member(BackendID(i+1), 0, 0)
	}
	r := newRig(t, site(), members...)
	r.serve(40, safe, func(BackendID) time.Duration { return 100 * ms })
	if r.b.peerPace < 0.08 {
		t.Errorf("pace %v after 40 answers of 100 ms", r.b.peerPace)
	}
}

// A node that starts among queues must not take its first answers for the time without one.
func TestTheHintStandsUntilAnIdleServerIsMet(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.b.all.others, r.b.admission = 5, admissionMost
	r.wait(time.Second)
	r.do(Event{Kind: RequestArrived, Request: "x", Hint: 20 * ms, Budget: time.Second})
	r.do(Event{Kind: Outcome, Request: "x", Backend: 1, Spent: 200 * ms, NoMore: true})
	if base := r.b.classes[safe].base; base < 0.015 || base > 0.025 {
		t.Errorf("time without a queue %v by an answer of 200 ms behind five others, hinted at 20 ms", base)
	}
}

// A class whose aim is no longer than its work leaves itself no time to queue, but not the others.
func TestOneTightClassDoesNotRefuseAll(t *testing.T) {
	cfg := site()
	cfg.Classes[unsafe].Aim = 20 * ms
	r := newRig(t, cfg, member(1, 0, 0))
	r.serve(50, safe, steady)
	r.serve(50, unsafe, func(BackendID) time.Duration { return 30 * ms })
	if s := r.b.headroom(); s < 0.1 {
		t.Errorf("slack %v", s)
	}
}

// A share spread over hundreds of nodes is less than one request a second at each: two at once are chance.
func TestSmallSharesMayComeTogether(t *testing.T) {
	cfg := site()
	cfg.Instances, cfg.OverShareWorth = 500, 0.05
	r := newRig(t, cfg, member(1, 0, 0))
	req := &request{class: &cfg.Classes[safe], stats: &r.b.classes[safe]}
	r.serve(3, safe, steady)
	if l := r.b.admissionWeight(req); l != 1 {
		t.Errorf("lean %v at the fourth request", l)
	}
	r.serve(3, safe, steady)
	if l := r.b.admissionWeight(req); l > 0.5 {
		t.Errorf("lean %v at the seventh", l)
	}
}

// A node that refuses everything has no answers to correct what it believes: one in probeOnce goes out all the
// same, and no more, or overload would get through.
func TestRefusalsSendScouts(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(50, safe, steady)
	*r.b.zones[0] = crowd{others: 50, reports: 1e9, at: r.now}
	r.wait(time.Second)
	sent := 0
	for i := range 10 * probeOnce {
		r.wait(10 * ms)
		r.arrive(fmt.Sprint(i), safe)
		sent += len(of(Send, r.last))
	}
	if sent != 10 {
		t.Errorf("%d of %d sent to a server that seems full", sent, 10*probeOnce)
	}
	r.b.cfg.Tenants[0].QuotaPerSecond, r.b.shares[0].left = 1e-6, 0
	for i := range 10 * probeOnce { // what floods beyond its share comes again and again: its probes would fill the servers
		r.wait(10 * ms)
		if r.arrive(fmt.Sprint("flood", i), safe); len(of(Send, r.last)) > 0 {
			t.Fatal("a probe of what lies beyond its tenant's share")
		}
	}
}

// The clock may start anywhere: the time before the first answer is no gap between answers.
func TestTheFirstGapIsNoGap(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(20, safe, steady)
	if r.b.gap > 0.5 {
		t.Errorf("gap %v s after answers 10 ms apart", r.b.gap)
	}
}

// A zone with more traffic than it can carry must not pass for the whole fleet, or the others stay idle.
func TestEachZoneHasItsOwnMean(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0), member(3, 1, 1), member(4, 1, 1))
	for range 20 {
		r.wait(200 * ms)
		r.do(report(1, 10))
		r.do(report(3, 0))
	}
	if here, there := r.b.usual(r.b.servers[2]), r.b.usual(r.b.servers[4]); here < 8 || there > 2 {
		t.Errorf("usual %v and %v at servers not seen in a full and an idle zone", here, there)
	}
}

// A server of many cores answers as fast behind ten others as behind none: a node that met only short queues must
// learn that from the few answers that it gets out of a long one.
func TestAnswersOutOfLongQueuesTellThePace(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(200, safe, steady)
	s := r.b.servers[1]
	was := r.b.warmPace(s)
	req := &request{class: &r.b.cfg.Classes[safe], stats: &r.b.classes[safe]}
	for range 3 {
		r.b.learn(s, req, &attempt{to: s, met: 12}, 20*ms)
	}
	if is := r.b.warmPace(s); is > was/4 {
		t.Errorf("pace %v, then %v after three answers as fast behind twelve others", was, is)
	}
}

// A stream whose answer has begun owes no sign; one that has not makes its server look silent, as does any other
// attempt beside the stream.
func TestOpenStreamOwesNothing(t *testing.T) {
	b, err := New(Config{Classes: []Class{{Aim: time.Second, Deadline: time.Minute, Effect: Safe, Points: 1}}, Limits: Limits{MaxAttempts: 3}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	step := func(ev Event) { b.Handle(now, ev, nil) }
	step(Event{Kind: MembersAll, Members: []Member{{Backend: 0, Weight: 1}}})
	s := b.servers[0]
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
	step(Event{Kind: StreamAnswered, Request: "stream"}) // told twice counts once
	step(Event{Kind: StreamAnswered, Request: "nobody"})
	silent(time.Hour, 0)
	arrive("other")
	silent(2*time.Second, 2)
	step(Event{Kind: Outcome, Request: "stream", Status: Delivered, NoMore: true})
	silent(time.Second, 1) // its end is a sign
	step(Event{Kind: Outcome, Request: "other", Status: Delivered, NoMore: true})
	if silent(time.Hour, 0); s.out != 0 || s.open != 0 {
		t.Errorf("%v out, %v open", s.out, s.open)
	}
}
