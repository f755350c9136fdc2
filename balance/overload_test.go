package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// overloadBackend serves one request at a time. Once its queue has had overloadQueue requests for overloadAfter, it is
// slower by overloadFactor. It recovers when its queue has had at most recoveryQueue requests for recoveryAfter.
type overloadBackend struct {
	speed            float64
	queue            []func() // the first one is being served
	highAt, restedAt time.Duration
	slow             bool
}

const (
	overloadQueue, recoveryQueue    = 5, 1
	overloadAfter, recoveryAfter    = 2 * time.Second, 3 * time.Second
	overloadFactor                  = 3.3
	overloadNodes, overloadBackends = 40, 40
)

// overloadFleet simulates nodes that share nothing, and backends of two speeds, in virtual time.
type overloadFleet struct {
	rng              *rand.Rand
	now              time.Duration
	seq              int
	due              callQueue
	nodes            []*Balancer
	backends         []*overloadBackend
	class            Class
	work             time.Duration // mean work of a request, at speed 1
	arrived          map[string]time.Duration
	requests, inTime []int // requests, and those served within the aim, by second of arrival
	start            time.Duration
	slowBackendTicks int
}

func (f *overloadFleet) after(in time.Duration, do func()) {
	f.seq++
	heap.Push(&f.due, scheduledCall{f.now + in, f.seq, do})
}

// handle passes an event to a node and carries out its actions.
func (f *overloadFleet) handle(node int, ev Event) {
	for _, a := range f.nodes[node].Handle(f.now, ev, nil) {
		server := int(a.Backend) - 1
		switch a.Kind {
		case SetTimer:
			f.after(a.In, func() { f.handle(node, Event{Kind: Timer, TimerID: a.TimerID}) })
		case Probe:
			f.after(ms, func() {
				f.handle(node, Event{Kind: Probed, Backend: a.Backend, Elapsed: ms, Load: f.load(server)})
			})
		case SendToPeer:
			for to := range f.nodes {
				if to != node {
					f.after(ms, func() { f.handle(to, Event{Kind: PeerMessage, Peer: node, Payload: a.Payload}) })
				}
			}
		case Send:
			f.after(ms, func() { f.arriveAt(server, node, a, f.now-ms) })
		}
	}
}

func (f *overloadFleet) load(server int) Load {
	return Load{Has: HasActive, Active: float64(len(f.backends[server].queue))}
}

// arriveAt adds a request to the queue of a backend.
func (f *overloadFleet) arriveAt(server, node int, a Action, sent time.Duration) {
	s := f.backends[server]
	work := time.Duration((0.5 + 0.5*f.rng.ExpFloat64()) * float64(f.work))
	s.queue = append(s.queue, func() {
		f.after(s.duration(work), func() {
			s.queue = s.queue[1:]
			if len(s.queue) > 0 {
				s.queue[0]()
			}
			load := f.load(server)
			f.after(ms, func() {
				f.answered(a.Request)
				f.handle(node, Event{Kind: Outcome, Request: a.Request, Attempt: a.Attempt, Backend: a.Backend,
					Elapsed: f.now - sent, Status: Delivered, RequestEnded: true, Load: load})
			})
		})
	})
	if len(s.queue) == 1 {
		s.queue[0]()
	}
}

func (s *overloadBackend) duration(work time.Duration) time.Duration {
	took := float64(work) / s.speed
	if s.slow {
		took *= overloadFactor
	}
	return time.Duration(took)
}

// watch updates whether a backend is overloaded.
func (s *overloadBackend) watch(now time.Duration) {
	if len(s.queue) < overloadQueue {
		s.highAt = now
	}
	if len(s.queue) > recoveryQueue {
		s.restedAt = now
	}
	s.slow = (s.slow || now-s.highAt >= overloadAfter) && now-s.restedAt < recoveryAfter
}

func (f *overloadFleet) answered(id string) {
	at, ok := f.arrived[id]
	if ok && f.now-at <= f.class.Aim {
		f.inTime[int((at-f.start)/time.Second)]++
	}
	delete(f.arrived, id)
}

// play generates requests for as many seconds as there are loads. A load is a part of the capacity of the fast backends. It
// returns the part of each second's requests that were served in time.
func (f *overloadFleet) play(loads []float64) []float64 {
	capacity := 0.0
	for _, s := range f.backends {
		if s.speed > 1 {
			capacity += s.speed / f.work.Seconds()
		}
	}
	f.requests, f.inTime = make([]int, len(loads)), make([]int, len(loads))
	var arrive, watch func()
	arrive = func() {
		second := int((f.now - f.start) / time.Second)
		if second >= len(loads) {
			return
		}
		f.requests[second]++
		id := fmt.Sprint(f.seq)
		f.arrived[id] = f.now
		f.handle(f.rng.IntN(len(f.nodes)), Event{Kind: RequestArrived, Request: id, Class: f.rng.IntN(3), Budget: f.class.Deadline})
		f.after(time.Duration(f.rng.ExpFloat64()/(loads[second]*capacity)*1e9), arrive)
	}
	watch = func() {
		for _, s := range f.backends {
			if s.watch(f.now); s.slow {
				f.slowBackendTicks++
			}
		}
		f.after(50*ms, watch)
	}
	f.after(0, arrive)
	f.after(0, watch)
	end := f.start + time.Duration(len(loads))*time.Second + f.class.Deadline
	for len(f.due) > 0 && f.due[0].at < end {
		h := heap.Pop(&f.due).(scheduledCall)
		f.now = h.at
		h.do()
	}
	parts := make([]float64, len(loads))
	for i := range parts {
		parts[i] = float64(f.inTime[i]) / float64(max(f.requests[i], 1))
	}
	return parts
}

// newOverloadFleet returns a fleet whose backends differ in speed by a factor of 16, so that a few responses show nothing
// about a class.
func newOverloadFleet(t *testing.T, seed uint64) *overloadFleet {
	f := &overloadFleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, start: time.Hour, work: 260 * ms,
		arrived: map[string]time.Duration{}}
	f.class = Class{Aim: 900 * ms, Deadline: 2400 * ms, Effect: Safe, Points: 1}
	var members []Member
	for i := range overloadBackends {
		speed := 4.0
		if i%4 == 0 {
			speed = 0.25
		}
		f.backends = append(f.backends, &overloadBackend{speed: speed, highAt: f.now, restedAt: f.now})
		members = append(members, Member{Backend: BackendID(i + 1)})
	}
	for i := range overloadNodes {
		b, err := New(Config{Index: i, Instances: overloadNodes, Classes: []Class{f.class, f.class, f.class}, Reports: InlineReports,
			Columns: HasActive, Tenants: []Tenant{{QuotaPerSecond: 400, Share: 1}},
			Limits: Limits{Probing: true, Peers: true, MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: 2 * time.Second},
			Prices: Prices{Probe: 0.002, Peer: 0.01},
			Rules:  Rules{ColdShare: 0.3, WarmWithin: 8 * time.Second, FallMultiple: 3, OverloadFor: 2 * time.Second}}, f.rng.Uint64())
		if err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, b)
		f.handle(i, Event{Kind: MembersAll, Members: members})
	}
	return f
}

// A burst overloads the backends, which stay slow for as long as their queues are long. A node that keeps sending to them
// prevents their recovery. Requests after the burst must be served in time again. The light traffic before the burst
// doesn't show how long queues may be; only the response times after it show that all backends have become slow.
func TestBackendsRecoverFromBurst(t *testing.T) {
	loads := slices.Concat(slices.Repeat([]float64{0.9}, 9), slices.Repeat([]float64{1.7}, 5), slices.Repeat([]float64{0.75}, 11))
	for seed := range uint64(20) {
		f := newOverloadFleet(t, seed)
		parts := f.play(loads)
		worst := 1.0 // over 5 s after the burst, because in a single second of 350 requests two in a hundred are chance
		for from := 15; from+5 <= len(parts); from++ {
			window := 0.0
			for _, part := range parts[from : from+5] {
				window += part / 5
			}
			worst = min(worst, window)
		}
		t.Logf("seed %d: %.2f in time at worst, by second %.2f; overloaded backends on average %.1f", seed, worst, parts,
			float64(f.slowBackendTicks)/float64(20*len(loads)))
		if worst < 0.75 {
			t.Errorf("seed %d: %.2f in time over 5 s after the burst, 0.75 wanted", seed, worst)
		}
	}
}
