package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// probeFleet simulates nodes and backends in virtual time. A backend works on requests, probes and new connections one after another, and a
// probe that has no reply in time costs it a new connection.
type probeFleet struct {
	rng      *rand.Rand
	now      time.Duration
	seq      int
	due      callQueue
	nodes    []*Balancer
	freeAt   []time.Duration // by backend: when it has done what it has
	inFlight []int
	slowness []float64 // by backend
	// By second of arrival.
	arrived, served []int
	arrivedAt       map[string]time.Duration
	probes          int
}

const (
	probeNodes, probeBackends = 40, 8
	probeRequestWork          = 4 * time.Millisecond
	probeWork                 = 500 * time.Microsecond
	connectionWork            = 2 * time.Millisecond
	probeTimeout              = 150 * time.Millisecond
	probeDeadline             = 800 * time.Millisecond // of a request
	probeRate                 = 30.0                   // requests a second at each node
)

func newProbeFleet(t *testing.T, seed uint64, seconds int) *probeFleet {
	f := &probeFleet{rng: rand.New(rand.NewPCG(seed, 1)), freeAt: make([]time.Duration, probeBackends),
		inFlight: make([]int, probeBackends), slowness: slices.Repeat([]float64{1}, probeBackends),
		arrived: make([]int, seconds+2), served: make([]int, seconds+2), arrivedAt: map[string]time.Duration{}}
	members := make([]Member, probeBackends)
	for i := range members {
		members[i] = Member{Backend: BackendID(i + 1), Phase: Ready, Weight: 1}
	}
	for i := range probeNodes {
		b, err := New(Config{Classes: []Class{{Aim: 300 * time.Millisecond, Deadline: probeDeadline, Effect: Unsafe, Points: 1}},
			Limits: Limits{Cancelling: true, Probing: true, MaxAttempts: 1}, Instances: probeNodes, Index: i}, seed*100+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, b)
		f.handle(i, Event{Kind: MembersAll, Members: members})
		f.nextArrival(i, 0)
	}
	return f
}

func (f *probeFleet) after(in time.Duration, do func()) {
	f.seq++
	heap.Push(&f.due, scheduledCall{f.now + in, f.seq, do})
}

func (f *probeFleet) nextArrival(node, n int) {
	f.after(time.Duration(f.rng.ExpFloat64()/probeRate*float64(time.Second)), func() {
		id := fmt.Sprint(node, "-", n)
		if second := int(f.now / time.Second); second < len(f.arrived) {
			f.arrived[second]++
		}
		f.arrivedAt[id] = f.now
		f.handle(node, Event{Kind: RequestArrived, Request: id, Budget: probeDeadline})
		f.nextArrival(node, n+1)
	})
}

// work has a backend work and returns when it is done.
func (f *probeFleet) work(backend int, d time.Duration) time.Duration {
	f.freeAt[backend] = max(f.freeAt[backend], f.now) + time.Duration(float64(d)*f.slowness[backend])
	return f.freeAt[backend] - f.now
}

// handle passes an event to a node and carries out its actions.
func (f *probeFleet) handle(node int, ev Event) {
	for _, a := range f.nodes[node].Handle(f.now, ev, nil) {
		backend := int(a.Backend) - 1
		switch a.Kind {
		case SetTimer:
			f.after(a.In, func() { f.handle(node, Event{Kind: Timer, TimerID: a.TimerID}) })
		case Probe:
			f.probe(node, backend)
		case Send:
			f.request(node, &a)
		}
	}
}

// request has a backend work on a request, unless its time is over before the backend comes to it.
func (f *probeFleet) request(node int, a *Action) {
	backend, arrivedAt := int(a.Backend)-1, f.arrivedAt[a.Request]
	end := Event{Kind: Outcome, Request: a.Request, Attempt: a.Attempt, Backend: a.Backend, Status: Delivered, RequestEnded: true}
	left := arrivedAt + probeDeadline - f.now
	f.inFlight[backend]++
	if f.freeAt[backend]-f.now > left {
		end.Status, end.Elapsed = Expired, left
	} else if end.Elapsed = f.work(backend, probeRequestWork); end.Elapsed <= left {
		f.served[int(arrivedAt/time.Second)]++
	}
	f.after(end.Elapsed, func() {
		f.inFlight[backend]--
		f.handle(node, end)
	})
}

func (f *probeFleet) probe(node, backend int) {
	f.probes++
	took := f.work(backend, probeWork)
	if took > probeTimeout {
		f.work(backend, connectionWork)
		f.after(probeTimeout, func() {
			f.handle(node, Event{Kind: Probed, Backend: BackendID(backend + 1), Elapsed: probeTimeout, Status: Expired})
		})
		return
	}
	f.after(took, func() {
		f.handle(node, Event{Kind: Probed, Backend: BackendID(backend + 1), Elapsed: took, Status: Delivered,
			Load: Load{Has: HasActive, Active: float64(f.inFlight[backend])}})
	})
}

// run runs the fleet until a time.
func (f *probeFleet) run(until time.Duration) {
	for f.due.Len() > 0 && f.due[0].at < until {
		next := heap.Pop(&f.due).(scheduledCall)
		f.now = next.at
		next.do()
	}
	f.now = until
}

func (f *probeFleet) share(from, to int) float64 {
	arrived, served := 0, 0
	for i := from; i < to; i++ {
		arrived, served = arrived+f.arrived[i], served+f.served[i]
	}
	return float64(served) / float64(arrived)
}

// trouble is what happens to some backends, from probeTrouble on.
type trouble struct {
	name     string
	backends int
	slowness float64       // 0: they stop
	lasts    time.Duration // whole seconds
}

// probeTrouble is when a trouble begins.
const probeTrouble = 8 * time.Second

// play plays a trouble and returns the shares of requests that were served before it, meanwhile, and from 2 s after it on.
func (f *probeFleet) play(c trouble) (before, during, after float64) {
	f.run(probeTrouble)
	for i := range c.backends {
		if c.slowness > 0 {
			f.slowness[i] = c.slowness
		} else {
			f.freeAt[i] = probeTrouble + c.lasts
		}
	}
	f.run(probeTrouble + c.lasts)
	for i := range f.slowness {
		f.freeAt[i] = f.now + time.Duration(float64(max(0, f.freeAt[i]-f.now))/f.slowness[i]) // what is left is done at the usual speed
		f.slowness[i] = 1
	}
	end := int((probeTrouble + c.lasts) / time.Second)
	f.run(time.Duration(end+12) * time.Second)
	return f.share(2, int(probeTrouble/time.Second)), f.share(int(probeTrouble/time.Second), end), f.share(end+2, end+10)
}

// checkReturn plays troubles and checks that the fleet serves from 2 s after each on as before it.
func checkReturn(t *testing.T, seeds uint64, troubles ...trouble) {
	t.Helper()
	for _, c := range troubles {
		for seed := range seeds {
			f := newProbeFleet(t, seed, int((probeTrouble+c.lasts)/time.Second)+12)
			before, during, after := f.play(c)
			if seed == 0 {
				t.Logf("%s: served %.3f before, %.3f meanwhile, %.3f from 2 s after it on", c.name, before, during, after)
			}
			if after < before-0.02 {
				t.Errorf("%s, seed %d: served %.3f before, %.3f meanwhile, %.3f from 2 s after it on", c.name, seed, before, during, after)
			}
		}
	}
}

// Backends were slow for some seconds, as on a machine that is short of processor time. They could still serve all requests, but not all
// probes beside them. Probes without a reply in time cost them more than others, so requests were rejected, each after three
// probes, and the fleet stayed so after the cause had ended. The fleet must serve as before soon after.
func TestProbesYieldWhenRepliesAreLate(t *testing.T) {
	const all, lasts = probeBackends, 4 * time.Second
	checkReturn(t, 5, trouble{"1.3 times slower", all, 1.3, lasts}, trouble{"1.6 times slower", all, 1.6, lasts}, trouble{"3 times slower", all, 3, lasts})
}

// The same state must not outlive other causes: some backends alone, a long slowness, and a stop of all.
func TestFleetReturnsAfterOtherTroubles(t *testing.T) {
	const all, half = probeBackends, probeBackends / 2
	checkReturn(t, 2, trouble{"one 50 times slower", 1, 50, 6 * time.Second}, trouble{"three 50 times slower", 3, 50, 6 * time.Second},
		trouble{"half 5 times slower", half, 5, 4 * time.Second}, trouble{"half 20 times slower", half, 20, 4 * time.Second},
		trouble{"all 2 times slower for long", all, 2, 12 * time.Second},
		trouble{"all stop", all, 0, 2 * time.Second}, trouble{"all 10 times slower", all, 10, time.Second})
}

// In calm all probes must be sent, and all requests served.
func TestAllProbesAreSentInCalm(t *testing.T) {
	f := newProbeFleet(t, 1, 20)
	f.run(20 * time.Second)
	if share := f.share(2, 18); share < 0.99 || f.probes < 2*probeRate*probeNodes*18 {
		t.Errorf("served %.3f, %d probes", share, f.probes)
	}
}

// Responses that waited at busy or stopped backends lengthened the base time of their class, and few reports beside an old mean moved the
// usual load of single backends. Both lasted for seconds after the cause, and requests were rejected by them. While replies to probes are
// late, a node learns neither, unless it knows nothing else.
func TestNothingLastingIsLearnedWhileRepliesAreLate(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
	class, s := &r.b.classes[safe], r.b.backends[1]
	r.b.reportInterval = 0.1
	baseTime, offset := class.baseTime, s.peerLoadOffset
	trouble := func() {
		r.serve(20, safe, func(BackendID) time.Duration { return 400 * ms })
		r.wait(5 * time.Second)
		r.do(report(1, 30))
	}
	r.b.probes = probeReplies{late: 1, updatedAt: r.now}
	r.serve(1, keyedAll, constantTime)
	if got := r.b.classes[keyedAll].baseTime; got != 0.02 {
		t.Errorf("a class without a response has the base time %v after one of 0.02 s", got)
	}
	trouble()
	if class.baseTime != baseTime || s.peerLoadOffset != offset {
		t.Errorf("replies are late: base time %.3f before and %.3f after, offset %.2f and %.2f", baseTime, class.baseTime, offset, s.peerLoadOffset)
	}
	r.b.probes = probeReplies{updatedAt: r.now}
	trouble()
	if class.baseTime == baseTime || s.peerLoadOffset == offset {
		t.Error("replies are in time: nothing is learned")
	}
}
