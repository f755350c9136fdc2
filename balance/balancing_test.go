package balance

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// serve sends n requests of a class one after another, with the response times that took returns. A time of 0
// means an error, below 0 a time-out. It returns the number of attempts at each backend.
func (r *rig) serve(n, class int, took func(BackendID) time.Duration) map[BackendID]int {
	r.t.Helper()
	count := map[BackendID]int{}
	for i := range n {
		id := fmt.Sprint("serve", r.now, i)
		r.arrive(id, class)
		sends, probes := ofKind(Send, r.last), ofKind(Probe, r.last)
		r.wait(10 * ms)
		for len(sends) > 0 {
			a := sends[0]
			count[a.Backend]++
			ev := Event{Kind: Outcome, Request: id, Attempt: a.Attempt, Backend: a.Backend}
			switch d := took(a.Backend); {
			case d > 0:
				ev.Elapsed, ev.RequestEnded = d, true
			case d == 0:
				ev.Status = AppError
			default:
				r.wait(500 * ms)
				ev.Status = Expired
			}
			r.collectLogs(r.do(ev))
			sends = ofKind(Send, r.last)
		}
		for _, a := range probes {
			r.do(report(a.Backend, r.b.backends[a.Backend].inFlight))
		}
	}
	return count
}

func (r *rig) collectLogs(acts []Action) {
	for _, a := range ofKind(Log, acts) {
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

// setPeerLoad sets the peer load at a backend, both the last report and the baseline.
func (r *rig) setPeerLoad(id BackendID, queue float64) {
	s := r.b.backends[id]
	s.lastPeerLoad, s.peerLoadOffset = queue, 0
	*r.b.zoneLoads[s.Zone] = peerLoadMean{mean: queue, reports: 1e9, updatedAt: r.now}
}

func constantTime(BackendID) time.Duration { return 20 * ms }

func report(backend BackendID, active float64) Event {
	return Event{Kind: Probed, Backend: backend, Load: Load{Has: HasActive, Active: active}}
}

// Without a load report, a response must undo exactly the increment of its send.
func TestResponseUndoesIncrementOfSend(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(5, safe, constantTime)
	if e := r.b.queueEstimate(r.b.backends[1]); e != 0 {
		t.Errorf("queue estimate %v after all responses", e)
	}
	r.arrive("x", safe)
	if e := r.b.queueEstimate(r.b.backends[1]); e != 1 {
		t.Errorf("queue estimate %v with one pending request", e)
	}
}

// A backend that fails fast looks idle, so the attempts that it did not accept count until its next report.
func TestUnacceptedAttemptsCountUntilReport(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.arrive("x", safe)
	r.outcome("x", 0, 1, Shed)
	if e := r.b.queueEstimate(r.b.backends[1]); e != 1 {
		t.Errorf("queue estimate %v", e)
	}
	r.do(report(1, 0))
	if e := r.b.queueEstimate(r.b.backends[1]); e != 0 {
		t.Errorf("queue estimate %v after a report", e)
	}
}

// A load report is old. It must not erase attempts sent since, nor count this node's own attempts twice.
func TestReportKeepsNewerAttempts(t *testing.T) {
	for _, c := range []struct {
		wait   time.Duration
		report float64
	}{{0, 0}, {5 * time.Second, 3}} {
		r := newRig(t, testConfig(), member(1, 0, 0))
		for i := range 3 {
			r.arrive(fmt.Sprint(i), safe)
		}
		r.wait(c.wait)
		r.do(report(1, c.report))
		if e := r.b.queueEstimate(r.b.backends[1]); e < 3 || e > 3.1 {
			t.Errorf("queue estimate %v with three attempts sent %v ago and a report of %v", e, c.wait, c.report)
		}
	}
}

// A node of a large fleet takes seconds to probe all backends. For a backend without a report it assumes the
// mean of the others. A single report must not move the baseline far, but many have to.
func TestBaselineFromFirstReports(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0), member(3, 0, 0))
	r.do(report(1, 10))
	if o := r.b.peerLoad(r.b.backends[1], r.b.serviceTime(r.b.backends[1])); o != 10 {
		t.Errorf("peer load %v after a first report of 10", o)
	}
	for i := range 100 {
		r.wait(5 * time.Second)
		r.do(report(2, float64(10+i%2)))
	}
	if o := r.b.peerLoad(r.b.backends[3], r.b.serviceTime(r.b.backends[3])); o < 9 || o > 11 {
		t.Errorf("peer load %v at a backend without a report, 10 at the others", o)
	}
	r.wait(5 * time.Second)
	r.do(report(3, 0))
	if o := r.b.baseline(r.b.backends[3]); o < 6 {
		t.Errorf("baseline %v after a single report: the smallest of many such is chance", o)
	}
	for range 40 {
		r.wait(5 * time.Second)
		r.do(report(3, 0))
		r.do(report(2, 10))
		r.do(report(1, 10))
	}
	if o := r.b.baseline(r.b.backends[3]); o > 2 {
		t.Errorf("baseline %v at a backend that always reports 0", o)
	}
}

// An idle backend always reports 0. Ignoring equal reports would keep its queue estimate high for ever.
func TestEqualReportCountsAfterReportInterval(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(5, safe, constantTime)
	r.b.backends[1].responseTime, r.b.backends[1].queueMet = 1, 0 // so slow that its reports are still current on arrival
	for _, q := range []float64{5, 9, 0} {
		r.wait(200 * ms)
		r.do(report(1, q))
	}
	was := 4.0
	r.setPeerLoad(1, was)
	for range 20 {
		r.wait(time.Second)
		r.do(report(1, 0))
	}
	if is := r.b.queueEstimate(r.b.backends[1]); is > was/4 {
		t.Errorf("queue estimate %v, then %v after many reports of 0", was, is)
	}
}

// A stale report used as it is would send every node to the backend that was idle then.
func TestStaleReportHasLittleEffect(t *testing.T) {
	for _, c := range []struct {
		gap, serviceTime time.Duration
		kept             bool
	}{{2 * time.Second, 20 * ms, true}, {10 * ms, time.Second, false}} {
		r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
		r.serve(50, safe, constantTime)
		s := r.b.backends[1]
		for i := range 300 { // the report interval is learned from these
			r.wait(c.gap)
			r.do(report(1, float64(10+i%2)))
			r.do(report(2, 10))
		}
		r.setPeerLoad(1, 10)
		s.responseTime, s.queueMet = c.serviceTime.Seconds(), 0
		r.wait(c.gap)
		r.do(report(2, 10))
		r.do(report(1, 0))
		if kept := r.b.queueEstimate(s) > 5; kept != c.kept {
			t.Errorf("reports %v apart, service time %v: queue estimate 10 became %v", c.gap, c.serviceTime, r.b.queueEstimate(s))
		}
	}
}

// A slower backend must get fewer requests.
func TestSlowBackendGetsFewerRequests(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	n := r.serve(200, safe, func(b BackendID) time.Duration { return time.Duration(b*b) * 20 * ms })
	if n[2]*4 > n[1] {
		t.Errorf("the backend that is four times as slow got %d of 200", n[2])
	}
}

// The slow responses of a cold backend must not keep it idle once it is warm.
func TestColdResponsesAreScaledToWarm(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), Member{Backend: 2, Weight: 1, Launched: time.Hour})
	r.serve(100, safe, constantTime)
	s := r.b.backends[2]
	for range 50 { // at a fifth of its capacity: 100 ms for 20 ms of work
		r.b.learnServiceTime(s, &request{class: &r.b.cfg.Classes[safe], stats: &r.b.classes[safe]}, &attempt{backend: s}, 100*ms)
	}
	if cold, peer := r.b.serviceTime(s), r.b.serviceTime(r.b.backends[1]); cold < 2*peer {
		t.Errorf("service time %v while cold, %v at a warm backend", cold, peer)
	}
	s.Launched = 1
	if cold, warm := r.b.serviceTime(s), r.b.serviceTime(r.b.backends[1]); cold > 1.5*warm {
		t.Errorf("service time %v once warm, %v at a backend that was always warm", cold, warm)
	}
}

// A backend that was slow for a while gets no requests, and so no responses. It must be tried again all the same.
func TestSlowBackendIsTriedAgain(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	s := r.b.backends[2]
	s.responseTime, s.queueMet = 1, 0 // a service time of one second, fifty times that of the other
	for range 60 {
		r.wait(1500 * ms)
		r.serve(1, safe, constantTime)
	}
	if now := r.b.serviceTime(s); now > 2*r.b.meanServiceTime {
		t.Errorf("service time %v after a minute and a half, mean %v", now, r.b.meanServiceTime)
	}
}

// A backend in error must get next to no requests, and its part of them again once it recovers.
func TestFailingBackendLosesAndRegainsTraffic(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	failing := func(b BackendID) time.Duration { return time.Duration(2-b) * 20 * ms } // backend 2 has errors only
	r.serve(40, safe, failing)
	if n := r.serve(50, safe, failing); n[2] > 5 {
		t.Errorf("%d of 50 went to the backend in error", n[2])
	}
	r.wait(30 * time.Second)
	for range 20 {
		r.wait(1500 * ms)
		r.serve(2, safe, constantTime)
	}
	r.arrive("a", safe)
	first := r.sentTo()
	r.arrive("b", safe)
	if second := r.sentTo(); first+second != 3 {
		t.Errorf("with backend %d busy the next request went to %d", first, second)
	}
}

// Without probes no report clears the attempts that were not accepted, so they have to decay.
func TestUnconfirmedLoadDecaysWithoutProbes(t *testing.T) {
	cfg := testConfig()
	cfg.Limits.Probing = false
	r := newRig(t, cfg, member(1, 0, 0))
	r.arrive("x", safe)
	r.outcome("x", 0, 1, Shed)
	for range 20 {
		r.wait(1500 * ms)
		r.do(Event{Kind: ClientGone})
	}
	if e := r.b.queueEstimate(r.b.backends[1]); e > 0.1 {
		t.Errorf("queue estimate %v", e)
	}
}

// A failure rate that all backends share must not add to the cost of any of them.
func TestSharedFailuresHaveNoCost(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	r.serve(400, unsafe, func(BackendID) time.Duration { return 0 })
	s := r.b.backends[1]
	if charge := r.b.cost(s) - (r.b.queueEstimate(s)+1)*r.b.serviceTime(s); s.failureRate < 0.3 ||
		charge > s.failureRate*failureCostAims*r.b.meanAim/2 {
		t.Errorf("failure rate %v, mean %v, cost %v", s.failureRate, r.b.meanFailureRate, charge)
	}
}

// When all backends fail alike none is an outlier, and requests must still be sent.
func TestRequestsAreSentWhenAllBackendsFail(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.Probe = 0 // reports clear the unconfirmed load; the failures remain
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	r.serve(60, unsafe, func(BackendID) time.Duration { return 0 })
	if n := r.serve(40, safe, constantTime); n[1]+n[2] < 20 {
		t.Errorf("only %v of 40 were sent", n)
	}
}

// A backend that hangs has a short queue and accepts all requests. Only its silence shows the fault.
func TestSilentBackendGetsNoRequests(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	answered := ""
	for _, id := range []string{"one", "two"} { // one at each backend; only backend 1 responds
		r.arrive(id, unsafe)
		if to := r.sentTo(); to == 1 {
			answered = id
		}
	}
	if r.b.backends[1].inFlight != 1 || r.b.backends[2].inFlight != 1 {
		t.Fatal("both attempts went to one backend")
	}
	r.outcome(answered, 0, 1, Delivered)
	r.wait(300 * ms)
	if n := r.serve(30, safe, constantTime); n[2] != 0 {
		t.Errorf("%d of 30 went to the silent backend", n[2])
	}
}

// Without pending attempts there is no silence. A fault left a healthy backend without traffic for good: it gave a
// sign after its last attempt was sent, and then that attempt timed out.
func TestSilenceEndsWithLastAttempt(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(50, safe, constantTime)
	r.arrive("lost", safe)
	r.serve(1, safe, constantTime)
	r.outcome("lost", 0, 1, Expired)
	r.wait(time.Minute)
	if s := r.b.silence(r.b.backends[1]); s != 0 {
		t.Errorf("%v s of silence without pending attempts", s)
	}
}

// Nodes must not settle on backends of their own. Of two backends with equal queues, one with this node's attempts
// and one with those of other nodes, the node has to choose the latter.
func TestOwnAttemptsCountTwice(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	own, other := r.b.backends[1], r.b.backends[2]
	own.inFlight, other.lastPeerLoad = 2, 2.5
	other.peerLoadOffset, other.peerLoadAt = 2.5, r.now
	own.silentSince = r.now
	r.arrive("x", safe)
	if to := r.sentTo(); to != 2 {
		t.Errorf("sent to %d, which has this node's own attempts", to)
	}
}

// Clients give up some requests early. A time-out among other responses is no failure of the backend.
func TestTimeoutAmongResponsesIsNoFailure(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.arrive("slow", safe)
	r.serve(5, safe, constantTime)
	r.outcome("slow", 0, 1, Expired)
	if f := r.b.backends[1].failureRate; f != 0 {
		t.Errorf("failure rate %v", f)
	}
}

// With full queues all responses are late. Only rejecting requests clears the queues.
func TestRequestsAreRejectedBehindLongQueues(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	sent, refused := 0, 0
	for i := range 200 {
		r.arrive(fmt.Sprint("flood", i), unsafe)
		sent += len(ofKind(Send, r.last))
		refused += len(ofKind(Reject, r.last))
	}
	if sent+refused != 200 || refused < 100 || sent < 8 {
		t.Errorf("%d sent, %d rejected of a flood of 200", sent, refused)
	}
}

// playLate plays n responses that are all later than the aim.
func (r *rig) playLate(n int) {
	for i := range n {
		id := fmt.Sprint("late", r.now, i)
		r.arrive(id, safe)
		if len(ofKind(Send, r.last)) == 0 {
			continue
		}
		to := r.sentTo()
		r.b.requests[id].attempts[0].queueTime = 0.4 // the queue made it late
		r.wait(400 * ms)
		r.collectLogs(r.do(Event{Kind: Outcome, Request: id, Backend: to, Elapsed: 400 * ms, RequestEnded: true}))
	}
}

// playQueued plays n responses in time, each from a queue of half the longest wait.
func (r *rig) playQueued(n int) {
	for i := range n {
		id := fmt.Sprint("queued", r.now, i)
		r.arrive(id, safe)
		if len(ofKind(Send, r.last)) == 0 {
			continue
		}
		to := r.sentTo()
		r.b.requests[id].attempts[0].queueTime = minUtilization * r.b.meanMaxWait()
		r.wait(20 * ms)
		r.collectLogs(r.do(Event{Kind: Outcome, Request: id, Backend: to, Elapsed: 20 * ms, RequestEnded: true}))
	}
}

// When all backends become slow at once, the earlier response times must not make a node reject requests for idle ones.
func TestNoRejectionWithIdleBackends(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	if n := r.serve(100, safe, func(BackendID) time.Duration { return 500 * ms }); n[1]+n[2] < 100 {
		t.Errorf("only %v of 100 were sent to idle backends", n)
	}
}

// No setting limits the length of a queue. The longest wait has to follow the measured lateness.
func TestLateResponsesLowerAdmissionFactor(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(1000, safe, constantTime)
	if r.b.admissionFactor != initialAdmission {
		t.Fatalf("admission factor %v after responses without a queue, which must not move it", r.b.admissionFactor)
	}
	r.playQueued(1000)
	if r.b.admissionFactor < 2*initialAdmission || r.b.admissionFactor > maxAdmission {
		t.Fatalf("admission factor %v while all responses are in time", r.b.admissionFactor)
	}
	r.playLate(200)
	if r.b.admissionFactor != minAdmission {
		t.Errorf("admission factor %v after 200 late responses", r.b.admissionFactor)
	}
	r.serve(3000, safe, constantTime)
	if r.b.admissionFactor < initialAdmission {
		t.Errorf("admission factor %v after 3000 responses in time", r.b.admissionFactor)
	}
}

// Responses from a queue must not raise the base time, or an overload would look like slow backends.
func TestBaseTimeIgnoresQueuedResponses(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(50, safe, constantTime)
	was := r.b.classes[safe].baseTime
	for i := range 20 {
		id := fmt.Sprint(i)
		r.b.admissionFactor = maxAdmission
		r.setPeerLoad(1, 2)
		r.arrive(id, safe)
		r.sentTo()
		r.wait(100 * ms)
		r.do(Event{Kind: Outcome, Request: id, Backend: 1, Elapsed: 100 * ms, RequestEnded: true})
	}
	if base := r.b.classes[safe].baseTime; base != was {
		t.Errorf("base time went from %v to %v", was, base)
	}
}

// The time-outs of a hung backend are no sign of overload, and must not lower the admission factor.
func TestTimeoutsOfSilentBackendKeepAdmissionFactor(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(300, safe, constantTime)
	was := r.b.admissionFactor
	for i := range 5 {
		r.arrive(fmt.Sprint(i), unsafe)
	}
	r.wait(time.Second)
	for i := range 5 {
		r.outcome(fmt.Sprint(i), 0, 1, Expired)
	}
	if r.b.admissionFactor != was {
		t.Errorf("admission factor went from %v to %v", was, r.b.admissionFactor)
	}
}

// Under load, requests beyond their tenant's share must be rejected before others.
func TestOverShareIsRejectedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{QuotaPerSecond: 4, Share: 0.5}, {QuotaPerSecond: 4000, Share: 0.5}}
	cfg.OverShareWorth = 0.1
	r := newRig(t, cfg, member(1, 0, 0))
	r.serve(50, safe, constantTime)
	bound := func(tenant int) float64 {
		return r.b.maxWait(&request{tenant: tenant, class: &r.b.cfg.Classes[safe], stats: &r.b.classes[safe]})
	}
	if bound(0) >= bound(1) { // the share of the first tenant is used up
		t.Errorf("longest waits %v over the share and %v within", bound(0), bound(1))
	}
}

// Under overload, requests with more worth for their work must come first.
func TestMaxWaitGrowsWithWorth(t *testing.T) {
	for _, byWork := range []bool{true, false} {
		cfg := testConfig()
		cfg.WorthByWork = byWork
		cfg.Classes[safe].Points, cfg.Classes[unsafe].Points = 4, 1
		r := newRig(t, cfg, member(1, 0, 0))
		r.serve(100, safe, constantTime)
		r.serve(100, unsafe, constantTime)
		high := r.b.maxWait(&request{class: &cfg.Classes[safe], stats: &r.b.classes[safe], tenant: -1})
		low := r.b.maxWait(&request{class: &cfg.Classes[unsafe], stats: &r.b.classes[unsafe], tenant: -1})
		if high < 2*low {
			t.Errorf("by work %v: longest wait %v for high worth, %v for low", byWork, high, low)
		}
		heavy := r.b.maxWait(&request{class: &cfg.Classes[safe], stats: &r.b.classes[safe], tenant: -1, hint: time.Second})
		if byWork != (heavy == high) {
			t.Errorf("by work %v: longest wait %v for a heavy request, %v for a usual one", byWork, heavy, high)
		}
	}
}

// Retries must not multiply the load on backends that reject everything.
func TestRetriesStayWithinBudget(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0), member(3, 0, 0))
	sends := 0
	for i := range 400 {
		id := fmt.Sprint("r", i)
		r.arrive(id, safe)
		for len(ofKind(Send, r.last)) > 0 {
			a := ofKind(Send, r.last)[0]
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

// The rate of probes has to follow their price, and probes have to reach all backends.
func TestProbeRateFollowsPrice(t *testing.T) {
	for _, price := range []float64{0, 0.001, 0.01, 0.08} {
		cfg := testConfig()
		cfg.Prices.Probe = price
		r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0), member(3, 0, 0))
		seen, probes := map[BackendID]bool{}, 0
		for i := range 1000 {
			r.wait(2 * ms)
			r.arrive(fmt.Sprint(i), safe)
			for _, a := range ofKind(Probe, r.last) {
				seen[a.Backend], probes = true, probes+1
			}
			r.arrive(fmt.Sprint("same tick", i), safe)
			if len(ofKind(Probe, r.last)) != 0 {
				t.Fatal("probes twice in one tick")
			}
		}
		// Two arrivals in each of 1000 ticks, and at most maxProbesPerTick probes in each tick.
		want := int(min(1000*maxProbesPerTick, 2000*probeCostBudget/max(price, 1e-9)))
		if probes < want*9/10 || probes > want*11/10+1 || len(seen) != 3 {
			t.Errorf("price %v: %d probes of %d backends, want %d", price, probes, len(seen), want)
		}
	}
}

// A request may go to another zone only if that saves more time than the crossing costs.
func TestCrossesZonesOnlyIfItPays(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 0.12
	r := newRig(t, cfg, member(1, 0, 0), member(2, 1, 1))
	r.serve(50, safe, constantTime)
	if n := r.serve(100, safe, constantTime); n[2] > 5 {
		t.Errorf("%d of 100 crossed to an equal backend", n[2])
	}
	if n := r.serve(300, safe, func(b BackendID) time.Duration { return time.Duration(3-b) * 100 * ms }); n[2] < 100 {
		t.Errorf("only %d of 300 crossed to a much faster one", n[2])
	}
}

// In each window of OverloadFor a cold backend must get less than this node's part of its capacity. The unit is
// work: one heavy request counts as many light ones.
func TestColdBackendIsNotOverloaded(t *testing.T) {
	for _, heavy := range []bool{false, true} {
		cfg := testConfig()
		r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
		hint, busy := 20*ms, false
		spent := map[BackendID]time.Duration{1: 20 * ms, 2: 20 * ms}
		send := func(id string) BackendID {
			r.do(Event{Kind: RequestArrived, Request: id, Hint: hint, Budget: time.Second})
			r.wait(10 * ms)
			s := ofKind(Send, r.last)
			if len(s) == 0 {
				return 0
			}
			if busy && s[0].Backend == 1 {
				r.do(Event{Kind: Outcome, Request: id, Backend: 1, Status: Shed}) // it is full, as its estimate shows
				return 1
			}
			r.do(Event{Kind: Outcome, Request: id, Backend: s[0].Backend, Elapsed: spent[s[0].Backend], RequestEnded: true})
			return s[0].Backend
		}
		for i := range 1000 {
			send(fmt.Sprint("warm", i))
		}
		busy = true
		r.b.backends[1].peerLoadOffset = 500 // so that the cold one is preferred
		cold := member(2, 0, 0)
		cold.Launched = r.now
		r.do(Event{Kind: MembersChanged, Members: []Member{cold}})
		if heavy {
			hint = 200 * ms
		}
		rate := 0.5 * 20.0 / 10.0 // work a second that each warm backend did
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
			capacity := (cfg.Rules.ColdShare + (1-cfg.Rules.ColdShare)*end) * rate * cfg.Rules.OverloadFor.Seconds()
			if at[i] < cold.Launched+cfg.Rules.WarmWithin-cfg.Rules.OverloadFor && work > 0.5*cfg.Rules.FallMultiple*capacity {
				t.Fatalf("heavy %v: %.2f s of work within a window with a capacity of %.2f s", heavy, work, capacity)
			}
		}
		if len(at) < 10 {
			t.Errorf("heavy %v: the cold backend got only %d requests", heavy, len(at))
		}
	}
}

// The log lines that the on-call page names have to be the ones that the code writes.
func TestLogLines(t *testing.T) {
	page, err := os.ReadFile("../docs/ONCALL.md")
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig()
	cfg.AskDiscovery = true
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
	r.serve(100, safe, constantTime)
	for range 80 {
		r.wait(200 * ms)
		r.serve(20, safe, func(b BackendID) time.Duration { return time.Duration(2-b) * 150 * ms })
	}
	for range 40 {
		r.wait(1500 * ms)
		r.serve(20, safe, func(b BackendID) time.Duration { return time.Duration(3-b) * 15 * ms })
	}
	r.playLate(200)
	r.serve(3000, safe, constantTime)
	r.collectLogs(r.do(Event{Kind: DiscoveryFailed}))
	r.collectLogs(r.do(Event{Kind: DiscoveryFailed}))
	r.collectLogs(r.do(Event{Kind: MembersAll}))
	for _, text := range []string{"backend N fails: traffic withheld", "backend N answers again", "no ready backend",
		"responses are late: rejecting requests early", "responses are in time again", "discovery call failed: retrying"} {
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
