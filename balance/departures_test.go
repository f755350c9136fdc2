package balance

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// serve sends n requests of a class one after the other and answers each after what took says; it
// returns how many went to each backend. A took of 0 means an error, below 0 no answer at all.
func (r *rig) serve(n, class int, took func(BackendID) time.Duration) map[BackendID]int {
	r.t.Helper()
	count := map[BackendID]int{}
	for i := range n {
		id := fmt.Sprint("serve", r.now, i)
		r.arrive(id, class)
		sends, probes := of(Send, r.last), of(Probe, r.last)
		r.wait(10 * ms)
		for len(sends) > 0 {
			a := sends[0]
			count[a.Backend]++
			ev := Event{Kind: Outcome, Request: id, Attempt: a.Attempt, Backend: a.Backend}
			switch d := took(a.Backend); {
			case d > 0:
				ev.Spent, ev.NoMore = d, true
			case d == 0:
				ev.Status = AppError
			default:
				r.wait(500 * ms)
				ev.Status = Expired
			}
			r.note(r.do(ev))
			sends = of(Send, r.last)
		}
		for _, a := range probes {
			r.do(report(a.Backend, r.b.servers[a.Backend].out))
		}
	}
	return count
}

func (r *rig) note(acts []Action) {
	for _, a := range of(Log, acts) {
		r.logs = append(r.logs, a.Text)
	}
}

func (r *rig) logged(text string) bool {
	for _, l := range r.logs {
		if strings.Contains(l, text) {
			return true
		}
	}
	return false
}

// holds makes the node believe that others have so much at a server, now and usually.
func (r *rig) holds(id BackendID, queue float64) {
	s := r.b.servers[id]
	s.told, s.more = queue, 0
	*r.b.zones[s.Zone] = crowd{others: queue, reports: 1e9, at: r.now}
}

func steady(BackendID) time.Duration { return 20 * ms }

func report(backend BackendID, active float64) Event {
	return Event{Kind: Probed, Backend: backend, Load: Load{Has: HasActive, Active: active}}
}

// Without a report, a served answer leaves the entry as it was before its send.
func TestAnswersTakeBackTheirIncrement(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(5, safe, steady)
	if e := r.b.estimate(r.b.servers[1]); e != 0 {
		t.Errorf("entry %v after all was answered", e)
	}
	r.arrive("x", safe)
	if e := r.b.estimate(r.b.servers[1]); e != 1 {
		t.Errorf("entry %v with one request out", e)
	}
}

// A server that fails fast looks idle: what it did not accept stays counted until it reports.
func TestUnacceptedAttemptsStayCountedUntilAReport(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.arrive("x", safe)
	r.outcome("x", 0, 1, Shed)
	if e := r.b.estimate(r.b.servers[1]); e != 1 {
		t.Errorf("entry %v", e)
	}
	r.do(report(1, 0))
	if e := r.b.estimate(r.b.servers[1]); e != 0 {
		t.Errorf("entry %v after a report", e)
	}
}

// A report is old: it must not wipe out what was sent since, nor count this node's own part twice.
func TestReportsKeepWhatIsNewer(t *testing.T) {
	for _, c := range []struct {
		wait   time.Duration
		report float64
	}{{0, 0}, {5 * time.Second, 3}} {
		r := newRig(t, site(), member(1, 0, 0))
		for i := range 3 {
			r.arrive(fmt.Sprint(i), safe)
		}
		r.wait(c.wait)
		r.do(report(1, c.report))
		if e := r.b.estimate(r.b.servers[1]); e < 3 || e > 3.1 {
			t.Errorf("entry %v with three out %v ago and a report of %v", e, c.wait, c.report)
		}
	}
}

// Large fleets take seconds to see all servers: one not seen yet holds what its peers hold, and one look does
// not change that, but many do.
func TestFirstReports(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0), member(3, 0, 0))
	r.do(report(1, 10))
	if o := r.b.others(r.b.servers[1], r.b.pace(r.b.servers[1])); o != 10 {
		t.Errorf("others %v after a first report of 10", o)
	}
	for i := range 100 {
		r.wait(5 * time.Second)
		r.do(report(2, float64(10+i%2)))
	}
	if o := r.b.others(r.b.servers[3], r.b.pace(r.b.servers[3])); o < 9 || o > 11 {
		t.Errorf("others %v at a server not seen yet, 10 at its peers", o)
	}
	r.wait(5 * time.Second)
	r.do(report(3, 0))
	if o := r.b.usual(r.b.servers[3]); o < 6 {
		t.Errorf("usual %v after a single look: the smallest of many such is chance", o)
	}
	for range 40 {
		r.wait(5 * time.Second)
		r.do(report(3, 0))
		r.do(report(2, 10))
		r.do(report(1, 10))
	}
	if o := r.b.usual(r.b.servers[3]); o > 2 {
		t.Errorf("usual %v at a server that always reports 0", o)
	}
}

// An idle server reports 0 again and again; passing over the repeat kept its entry high for ever.
func TestEqualReportsPastTheirTimeAreNews(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(5, safe, steady)
	r.b.servers[1].time, r.b.servers[1].depth = 1, 0 // so slow that its reports still hold when they come
	for _, q := range []float64{5, 9, 0} {
		r.wait(200 * ms)
		r.do(report(1, q))
	}
	was := 4.0
	r.holds(1, was)
	for range 20 {
		r.wait(time.Second)
		r.do(report(1, 0))
	}
	if is := r.b.estimate(r.b.servers[1]); is > was/4 {
		t.Errorf("entry %v, then %v after many reports of 0", was, is)
	}
}

// Stale reports taken at their word send every node to the server that was idle then.
func TestOldReportsCountInPart(t *testing.T) {
	for _, c := range []struct {
		gap, pace time.Duration
		kept      bool
	}{{2 * time.Second, 20 * ms, true}, {10 * ms, time.Second, false}} {
		r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
		r.serve(50, safe, steady)
		s := r.b.servers[1]
		for i := range 300 { // what the time between reports is learned from
			r.wait(c.gap)
			r.do(report(1, float64(10+i%2)))
			r.do(report(2, 10))
		}
		r.holds(1, 10)
		s.time, s.depth = c.pace.Seconds(), 0
		r.wait(c.gap)
		r.do(report(2, 10))
		r.do(report(1, 0))
		if kept := r.b.estimate(s) > 5; kept != c.kept {
			t.Errorf("reports %v apart, %v a place: entry 10 became %v", c.gap, c.pace, r.b.estimate(s))
		}
	}
}

func TestSlowServersGetLess(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	n := r.serve(200, safe, func(b BackendID) time.Duration { return time.Duration(b*b) * 20 * ms })
	if n[2]*4 > n[1] {
		t.Errorf("the server four times as slow got %d of 200", n[2])
	}
}

// Answers of a cold server must not keep it idle once it is warm.
func TestColdAnswersCountAsWarm(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), Member{Backend: 2, Weight: 1, Launched: time.Hour})
	r.serve(100, safe, steady)
	s := r.b.servers[2]
	for range 50 { // a fifth of its capacity is there: 100 ms for what takes 20
		r.b.learn(s, &request{class: &r.b.cfg.Classes[safe], stats: &r.b.classes[safe]}, &attempt{to: s}, 100*ms)
	}
	if cold, peer := r.b.pace(s), r.b.pace(r.b.servers[1]); cold < 2*peer {
		t.Errorf("pace %v while cold, %v at a warm server", cold, peer)
	}
	s.Launched = 1
	if cold, warm := r.b.pace(s), r.b.pace(r.b.servers[1]); cold > 1.5*warm {
		t.Errorf("pace %v once warm, %v at a server that was always warm", cold, warm)
	}
}

// A server that was slow for a while must be tried again though it has no answers to show.
func TestUnheardServersAreForgiven(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	s := r.b.servers[2]
	s.time, s.depth = 1, 0 // a pace of one second, fifty times that of its peer
	for range 60 {
		r.wait(1500 * ms)
		r.serve(1, safe, steady)
	}
	if now := r.b.pace(s); now > 2*r.b.peerPace {
		t.Errorf("pace %v after a minute and a half, peers %v", now, r.b.peerPace)
	}
}

func TestErrorsAreLeftAloneAndComeBack(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	bad := func(b BackendID) time.Duration { return time.Duration(2-b) * 20 * ms } // 2 has errors only
	r.serve(40, safe, bad)
	if n := r.serve(50, safe, bad); n[2] > 5 {
		t.Errorf("%d of 50 went to the server in error", n[2])
	}
	r.wait(30 * time.Second)
	for range 20 {
		r.wait(1500 * ms)
		r.serve(2, safe, steady)
	}
	r.arrive("a", safe)
	first := r.sent()
	r.arrive("b", safe)
	if second := r.sent(); first+second != 3 {
		t.Errorf("with %d busy the next went to %d", first, second)
	}
}

// A site without probes has no report to clear what was not accepted.
func TestUnacceptedAttemptsFadeWithoutProbes(t *testing.T) {
	cfg := site()
	cfg.Limits.Probing = false
	r := newRig(t, cfg, member(1, 0, 0))
	r.arrive("x", safe)
	r.outcome("x", 0, 1, Shed)
	for range 20 {
		r.wait(1500 * ms)
		r.do(Event{Kind: ClientGone})
	}
	if e := r.b.estimate(r.b.servers[1]); e > 0.1 {
		t.Errorf("entry %v", e)
	}
}

// A rate of failures that all servers share is charged to none of them.
func TestSharedFailuresAreNotCharged(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	r.serve(400, unsafe, func(BackendID) time.Duration { return 0 })
	s := r.b.servers[1]
	if charge := r.b.cost(s) - (r.b.estimate(s)+1)*r.b.pace(s); s.fails < 0.3 || charge > s.fails*failAims*r.b.meanAim/2 {
		t.Errorf("rate %v, of all %v, charged %v", s.fails, r.b.allFail, charge)
	}
}

// When all fail alike nobody is an outlier, and requests still go out.
func TestNobodyIsLeftOutWhenAllFail(t *testing.T) {
	cfg := site()
	cfg.Prices.Probe = 0 // reports clear what was not accepted; the failures remain
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	r.serve(60, unsafe, func(BackendID) time.Duration { return 0 })
	if n := r.serve(40, safe, steady); n[1]+n[2] < 20 {
		t.Errorf("only %v of 40 were sent", n)
	}
}

// A server that hangs keeps a bearable queue while it takes everything sent to it.
func TestSilenceIsCharged(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	kept := ""
	for _, id := range []string{"one", "two"} { // one at each server; only server 1 answers
		r.arrive(id, unsafe)
		if to := r.sent(); to == 1 {
			kept = id
		}
	}
	if r.b.servers[1].out != 1 || r.b.servers[2].out != 1 {
		t.Fatal("both attempts went to one server")
	}
	r.outcome(kept, 0, 1, Delivered)
	r.wait(300 * ms)
	if n := r.serve(30, safe, steady); n[2] != 0 {
		t.Errorf("%d of 30 went to the silent server", n[2])
	}
}

// With nothing out there is no silence: a sign that came after the last attempt was sent, followed by the
// attempt's own time-out, left a healthy server without traffic for good.
func TestSilenceEndsWithTheLastAttempt(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("lost", safe)
	r.serve(1, safe, steady)
	r.outcome("lost", 0, 1, Expired)
	r.wait(time.Minute)
	if s := r.b.silence(r.b.servers[1]); s != 0 {
		t.Errorf("%v s of silence with nothing out", s)
	}
}

// Nodes must not settle on servers of their own: between a server that holds this node's attempts and one
// that holds as many of others, the latter is chosen.
func TestOwnAttemptsCountTwice(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	own, other := r.b.servers[1], r.b.servers[2]
	own.out, other.told = 2, 2.5
	other.more, other.toldAt = 2.5, r.now
	own.owesAt = r.now
	r.arrive("x", safe)
	if to := r.sent(); to != 2 {
		t.Errorf("sent to %d, which holds this node's own", to)
	}
}

// Tries are given up early by clients: a time-out among answers says little about the server.
func TestTimeOutsAmongAnswersAreNoFailures(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.arrive("slow", safe)
	r.serve(5, safe, steady)
	r.outcome("slow", 0, 1, Expired)
	if f := r.b.servers[1].fails; f != 0 {
		t.Errorf("rate of failures %v", f)
	}
}

// Full queues serve everybody late; only refusing clears them.
func TestLongQueuesAreRefused(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	sent, refused := 0, 0
	for i := range 200 {
		r.arrive(fmt.Sprint("flood", i), unsafe)
		sent += len(of(Send, r.last))
		refused += len(of(Refuse, r.last))
	}
	if sent+refused != 200 || refused < 100 || sent < 8 {
		t.Errorf("%d sent, %d refused of a flood of 200", sent, refused)
	}
}

// late plays answers that all come after their aim.
func (r *rig) late(n int) {
	for i := range n {
		id := fmt.Sprint("late", r.now, i)
		r.arrive(id, safe)
		if len(of(Send, r.last)) == 0 {
			continue
		}
		to := r.sent()
		r.b.requests[id].attempts[0].wait = 0.4 // what made it late
		r.wait(400 * ms)
		r.note(r.do(Event{Kind: Outcome, Request: id, Backend: to, Spent: 400 * ms, NoMore: true}))
	}
}

// queued plays answers that come in time out of queues of half the bound and more.
func (r *rig) queued(n int) {
	for i := range n {
		id := fmt.Sprint("queued", r.now, i)
		r.arrive(id, safe)
		if len(of(Send, r.last)) == 0 {
			continue
		}
		to := r.sent()
		r.b.requests[id].attempts[0].wait = tested * r.b.meanBound()
		r.wait(20 * ms)
		r.note(r.do(Event{Kind: Outcome, Request: id, Backend: to, Spent: 20 * ms, NoMore: true}))
	}
}

// When all servers become slow at once, idle ones are not refused because of what they were.
func TestIdleServersAreNotRefused(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	if n := r.serve(100, safe, func(BackendID) time.Duration { return 500 * ms }); n[1]+n[2] < 100 {
		t.Errorf("only %v of 100 were sent to idle servers", n)
	}
}

// How crowded is too crowded is told nowhere: the bound on the wait follows measured lateness.
func TestLatenessTightensTheBound(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(1000, safe, steady)
	if r.b.admission != admissionFirst {
		t.Fatalf("part %v after answers that met no queue: they do not test the bound", r.b.admission)
	}
	r.queued(1000)
	if r.b.admission < 2*admissionFirst || r.b.admission > admissionMost {
		t.Fatalf("part %v while all is in time", r.b.admission)
	}
	r.late(200)
	if r.b.admission != admissionLeast {
		t.Errorf("part %v after 200 late answers", r.b.admission)
	}
	r.serve(3000, safe, steady)
	if r.b.admission < admissionFirst {
		t.Errorf("part %v after 3000 in time", r.b.admission)
	}
}

// Answers out of a queue do not raise the time without one: a jam must not pass for slow servers.
func TestTimesWithoutAQueueIgnoreQueues(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(50, safe, steady)
	was := r.b.classes[safe].base
	for i := range 20 {
		id := fmt.Sprint(i)
		r.b.admission = admissionMost
		r.holds(1, 2)
		r.arrive(id, safe)
		r.sent()
		r.wait(100 * ms)
		r.do(Event{Kind: Outcome, Request: id, Backend: 1, Spent: 100 * ms, NoMore: true})
	}
	if base := r.b.classes[safe].base; base != was {
		t.Errorf("from %v to %v", was, base)
	}
}

// A hung server's time-outs are no sign of crowding and must not make the others refuse.
func TestTimeOutsOfSilentServersAreNoPressure(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(300, safe, steady)
	was := r.b.admission
	for i := range 5 {
		r.arrive(fmt.Sprint(i), unsafe)
	}
	r.wait(time.Second)
	for i := range 5 {
		r.outcome(fmt.Sprint(i), 0, 1, Expired)
	}
	if r.b.admission != was {
		t.Errorf("part went from %v to %v", was, r.b.admission)
	}
}

func TestOverShareIsRefusedFirst(t *testing.T) {
	cfg := site()
	cfg.Tenants = []Tenant{{QuotaPerSecond: 4, Share: 0.5}, {QuotaPerSecond: 4000, Share: 0.5}}
	cfg.OverShareWorth = 0.1
	r := newRig(t, cfg, member(1, 0, 0))
	r.serve(50, safe, steady)
	bound := func(tenant int) float64 {
		return r.b.bound(&request{tenant: tenant, class: &r.b.cfg.Classes[safe], stats: &r.b.classes[safe]})
	}
	if bound(0) >= bound(1) { // the first tenant's share is long used up
		t.Errorf("bounds %v over the share and %v within", bound(0), bound(1))
	}
}

// Where not all can be served, what is worth more for its work comes first.
func TestTheBoundLeansToWorth(t *testing.T) {
	for _, byWork := range []bool{true, false} {
		cfg := site()
		cfg.WorthByWork = byWork
		cfg.Classes[safe].Points, cfg.Classes[unsafe].Points = 4, 1
		r := newRig(t, cfg, member(1, 0, 0))
		r.serve(100, safe, steady)
		r.serve(100, unsafe, steady)
		dear := r.b.bound(&request{class: &cfg.Classes[safe], stats: &r.b.classes[safe], tenant: -1})
		cheap := r.b.bound(&request{class: &cfg.Classes[unsafe], stats: &r.b.classes[unsafe], tenant: -1})
		if dear < 2*cheap {
			t.Errorf("by work %v: bound %v for much worth, %v for little", byWork, dear, cheap)
		}
		heavy := r.b.bound(&request{class: &cfg.Classes[safe], stats: &r.b.classes[safe], tenant: -1, hint: time.Second})
		if byWork != (heavy == dear) {
			t.Errorf("by work %v: bound %v for a heavy request, %v for a usual one", byWork, heavy, dear)
		}
	}
}

func TestRetriesKeepToTheirBudget(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0), member(3, 0, 0))
	sends := 0
	for i := range 400 {
		id := fmt.Sprint("r", i)
		r.arrive(id, safe)
		for len(of(Send, r.last)) > 0 {
			a := of(Send, r.last)[0]
			sends++
			r.wait(5 * ms)
			r.do(report(a.Backend, 0))
			r.outcome(id, a.Attempt, a.Backend, Shed)
		}
	}
	if sends > 400*11/10+1 || sends < 420 {
		t.Errorf("%d attempts for 400 requests", sends)
	}
}

func TestProbesAreDistinctDrawnAtRandomAndPaidFor(t *testing.T) {
	for _, price := range []float64{0, 0.001, 0.01, 0.08} {
		cfg := site()
		cfg.Prices.Probe = price
		r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0), member(3, 0, 0))
		seen, probes := map[BackendID]bool{}, 0
		for i := range 1000 {
			r.wait(2 * ms)
			r.arrive(fmt.Sprint(i), safe)
			for _, a := range of(Probe, r.last) {
				seen[a.Backend], probes = true, probes+1
			}
			r.arrive(fmt.Sprint("same tick", i), safe)
			if len(of(Probe, r.last)) != 0 {
				t.Fatal("probes twice in one tick")
			}
		}
		// Two arrivals in each of 1000 ticks, and at most probesPerTick probes in each.
		want := int(min(1000*probesPerTick, 2000*probeSpend/max(price, 1e-9)))
		if probes < want*9/10 || probes > want*11/10+1 || len(seen) != 3 {
			t.Errorf("price %v: %d probes of %d servers, want %d", price, probes, len(seen), want)
		}
	}
}

func TestCrossingZonesMustPay(t *testing.T) {
	cfg := site()
	cfg.Prices.CrossZone = 0.12
	r := newRig(t, cfg, member(1, 0, 0), member(2, 1, 1))
	r.serve(50, safe, steady)
	if n := r.serve(100, safe, steady); n[2] > 5 {
		t.Errorf("%d of 100 crossed to an equal server", n[2])
	}
	if n := r.serve(300, safe, func(b BackendID) time.Duration { return time.Duration(3-b) * 100 * ms }); n[2] < 100 {
		t.Errorf("only %d of 300 crossed to a much faster one", n[2])
	}
}

// Within any OverloadFor a cold server gets less than this node's part of what it can do, counted
// as work: one heavy request weighs as much as many light ones.
func TestColdServersAreNotPushedOver(t *testing.T) {
	for _, heavy := range []bool{false, true} {
		cfg := site()
		r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
		hint, busy := 20*ms, false
		spent := map[BackendID]time.Duration{1: 20 * ms, 2: 20 * ms}
		send := func(id string) BackendID {
			r.do(Event{Kind: RequestArrived, Request: id, Hint: hint, Budget: time.Second})
			r.wait(10 * ms)
			s := of(Send, r.last)
			if len(s) == 0 {
				return 0
			}
			if busy && s[0].Backend == 1 {
				r.do(Event{Kind: Outcome, Request: id, Backend: 1, Status: Shed}) // it is as full as it seems
				return 1
			}
			r.do(Event{Kind: Outcome, Request: id, Backend: s[0].Backend, Spent: spent[s[0].Backend], NoMore: true})
			return s[0].Backend
		}
		for i := range 1000 {
			send(fmt.Sprint("warm", i))
		}
		busy = true
		r.b.servers[1].more = 500 // so that it would all go to the cold one
		cold := member(2, 0, 0)
		cold.Launched = r.now
		r.do(Event{Kind: MembersChanged, Members: []Member{cold}})
		if heavy {
			hint = 200 * ms
		}
		rate := 0.5 * 20.0 / 10.0 // work a second that each warm server was seen to do
		var at []time.Duration
		for i := range 1500 {
			if send(fmt.Sprint("cold", i)) == 2 {
				at = append(at, r.now-10*ms)
			}
		}
		for i := range at {
			work := 0.0
			for j := i; j < len(at) && at[j] < at[i]+cfg.Rules.OverloadFor; j++ {
				work += hint.Seconds()
			}
			end := min((at[i]+cfg.Rules.OverloadFor-cold.Launched).Seconds()/cfg.Rules.WarmWithin.Seconds(), 1)
			can := (cfg.Rules.ColdShare + (1-cfg.Rules.ColdShare)*end) * rate * cfg.Rules.OverloadFor.Seconds()
			if at[i] < cold.Launched+cfg.Rules.WarmWithin-cfg.Rules.OverloadFor && work > 0.5*cfg.Rules.FallMultiple*can {
				t.Fatalf("heavy %v: %.2f s of work within a window of %.2f s", heavy, work, can)
			}
		}
		if len(at) < 10 {
			t.Errorf("heavy %v: the cold server got only %d requests", heavy, len(at))
		}
	}
}

// The lines that the on-call page names are the lines that exist.
func TestLogLines(t *testing.T) {
	page, err := os.ReadFile("../docs/ONCALL.md")
	if err != nil {
		t.Fatal(err)
	}
	cfg := site()
	cfg.AskDiscovery = true
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
	r.serve(100, safe, steady)
	for range 80 {
		r.wait(200 * ms)
		r.serve(20, safe, func(b BackendID) time.Duration { return time.Duration(2-b) * 150 * ms })
	}
	for range 40 {
		r.wait(1500 * ms)
		r.serve(20, safe, func(b BackendID) time.Duration { return time.Duration(3-b) * 15 * ms })
	}
	r.late(200)
	r.serve(3000, safe, steady)
	r.note(r.do(Event{Kind: MembersRefused}))
	r.note(r.do(Event{Kind: MembersRefused}))
	r.note(r.do(Event{Kind: MembersAll}))
	for _, text := range []string{"backend N fails: traffic withheld", "backend N answers again", "no ready backend",
		"answers come late: refusing early", "answers in time again", "discovery refused: asking again"} {
		if !strings.Contains(string(page), "`"+text+"`") {
			t.Errorf("the page lacks %q", text)
		}
		if !r.logged(strings.ReplaceAll(text, "N", "2")) {
			t.Errorf("not logged: %q, only %q", text, r.logs)
		}
	}
	if len(r.logs) > 12 {
		t.Errorf("%d log lines: %q", len(r.logs), r.logs)
	}
}
