package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
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
	slowness float64
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
	f := &probeFleet{rng: rand.New(rand.NewPCG(seed, 1)), freeAt: make([]time.Duration, probeBackends), inFlight: make([]int, probeBackends), slowness: 1,
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
	f.freeAt[backend] = max(f.freeAt[backend], f.now) + time.Duration(float64(d)*f.slowness)
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

// Backends were slow for some seconds, as on a machine that is short of processor time. They could still serve all requests, but not all
// probes beside them. Probes without a reply in time cost them more than others, so requests were rejected, each after three
// probes, and the fleet stayed so after the cause had ended. The fleet must serve nearly all meanwhile, and as before soon after.
func TestProbesYieldWhenRepliesAreLate(t *testing.T) {
	for seed := range uint64(5) {
		for _, slowness := range []float64{1, 1.3, 1.6, 3} {
			f := newProbeFleet(t, seed, 24)
			f.run(8 * time.Second)
			f.slowness = slowness
			f.run(12 * time.Second)
			f.slowness = 1
			f.run(24 * time.Second)
			before, during, after := f.share(2, 8), f.share(8, 12), f.share(14, 22)
			if after < before-0.02 {
				t.Errorf("seed %d, %.1f times slower for 4 s: served %.3f before, %.3f meanwhile, %.3f from 2 s after it on", seed, slowness, before, during, after)
			}
			if slowness == 1 && (before < 0.99 || f.probes < 2*probeRate*probeNodes*20) {
				t.Errorf("seed %d, calm: served %.3f, %d probes", seed, before, f.probes)
			}
		}
	}
}
