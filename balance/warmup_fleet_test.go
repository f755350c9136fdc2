package balance

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var printColdTable = flag.Bool("cold", false, "print the whole table of cold backends for docs/FLEET.md")

// coldScenario is a scenario of a fleet with backends that have just started.
type coldScenario struct {
	name            string
	warm, cold      int
	load            float64       // arrivals, as a part of the capacity of the warm backends (of all, if none is warm)
	settle          time.Duration // run time of the fleet before the cold backends start
	aim             float64       // in times of a mean request; 0 means 10
	shape           string        // distribution of the work; "": exponential
	heavyClass      bool          // one request in twenty has five times the work
	uneven          bool          // one process in ten gets five times the traffic of the others
	restarts        bool          // a tenth of the processes restarts every 0.5 s
	settings        bool          // settings with one more class are applied 2 s after the start
	secondProcesses bool          // each node has two processes from 2 s to 8 s after the start
	updateSpread    time.Duration // the nodes receive the update at random within this time
	flood           float64       // factor on the load from the start on
	updateDelay     time.Duration // between the start and the first update
	length          time.Duration // duration from the first update on; 0 means 12 s
}

// scheduledCall is a scheduled function call.
type scheduledCall struct {
	at time.Duration
	n  int
	do func()
}
type callQueue []scheduledCall

func (h callQueue) Len() int { return len(h) }
func (h callQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h callQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *callQueue) Push(x any)   { *h = append(*h, x.(scheduledCall)) }
func (h *callQueue) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// fleet simulates processes and backends in virtual time. The processes run the real Balancer; a backend serves requests in
// the order of arrival.
type fleet struct {
	p        *coldScenario
	n        int // nodes
	rng      *rand.Rand
	now      time.Duration
	due      callQueue
	seq      int
	cfg      Config
	classes  []float64 // work of each class, in seconds
	mean     float64   // mean work of all requests, in seconds
	cores    int
	procs    []*process // by node; the second processes of nodes follow
	backends []*simBackend
	requests int
	served   int
	worst    peakLoad
}

// peakLoad is the highest load of a cold backend within a window, compared with the load that overloads it.
type peakLoad struct{ ratio, sent, n float64 }

type process struct {
	f         *fleet
	b         *Balancer
	node      int
	hasUpdate bool // has received the update with the cold backends
	stopped   bool
	class     map[string]int
}

type simBackend struct {
	id       BackendID
	start    time.Duration // 0: long ago
	busy     int
	waiting  []func()
	arrivals []time.Duration
	work     []float64
	sum      float64
}

func (f *fleet) after(in time.Duration, do func()) {
	f.seq++
	heap.Push(&f.due, scheduledCall{f.now + max(in, 0), f.seq, do})
}

func (f *fleet) warmFraction(s *simBackend, at time.Duration) float64 {
	if s.start == 0 {
		return 1
	}
	r := f.cfg.Rules
	return min(1, r.ColdShare+(1-r.ColdShare)*max(0, at-s.start).Seconds()/r.WarmWithin.Seconds())
}

// newProcess starts a process of a node.
func (f *fleet) newProcess(node, instances int, hasUpdate bool) *process {
	cfg := f.cfg
	cfg.Index, cfg.Instances = node, instances
	b, err := New(cfg, f.rng.Uint64())
	if err != nil {
		panic(err)
	}
	p := &process{f: f, b: b, node: node, hasUpdate: hasUpdate, class: map[string]int{}}
	p.list()
	return p
}

func (p *process) list() {
	var m []Member
	for _, s := range p.f.backends {
		x := Member{Backend: s.id}
		if s.start > 0 {
			if !p.hasUpdate {
				continue
			}
			x.Launched = s.start
		}
		m = append(m, x)
	}
	p.do(Event{Kind: MembersAll, Members: m})
}

func (p *process) do(ev Event) {
	if p.stopped {
		return
	}
	f := p.f
	for _, a := range p.b.Handle(f.now, ev, nil) {
		switch a.Kind {
		case SetTimer:
			f.after(a.In, func() { p.do(Event{Kind: Timer, TimerID: a.TimerID}) })
		case Probe:
			s := f.backends[a.Backend-1]
			f.after(ms, func() {
				p.do(Event{Kind: Probed, Backend: a.Backend, Elapsed: ms,
					Load: Load{Has: HasActive, Active: float64(s.busy + len(s.waiting))}})
			})
		case Send:
			f.after(ms/2, func() { p.deliver(a) })
		}
	}
}

// deliver passes a request to its backend.
func (p *process) deliver(a Action) {
	f, s, sent := p.f, p.f.backends[a.Backend-1], p.f.now-ms/2
	work := f.classes[p.class[a.Request]] * f.draw()
	f.recordArrival(s, work, p.hasUpdate)
	answer := func(st Status) {
		f.after(ms/2, func() {
			if st == Delivered {
				f.served++
			}
			p.do(Event{Kind: Outcome, Request: a.Request, Attempt: a.Attempt, Backend: a.Backend, Elapsed: f.now - sent, Status: st,
				RequestEnded: st == Delivered, Load: Load{Has: HasActive, Active: float64(s.busy + len(s.waiting))}})
		})
	}
	most := 16 * f.cores
	if s.start > 0 {
		most = 0 // a cold backend rejects instead of queueing, so its reports show no queue
	}
	if len(s.waiting) >= most && s.busy >= f.cores {
		answer(Shed)
		return
	}
	run := func() {
		s.busy++
		f.after(time.Duration(work/f.warmFraction(s, f.now)*1e9), func() {
			s.busy--
			answer(Delivered)
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	if s.busy < f.cores {
		run()
	} else {
		s.waiting = append(s.waiting, run)
	}
}

func (f *fleet) draw() float64 {
	switch f.p.shape {
	case "const":
		return 1
	case "pareto": // infinite variance, mean 1
		return math.Pow(1-f.rng.Float64(), -1/1.5) / 3
	}
	return f.rng.ExpFloat64()
}

func (f *fleet) recordArrival(s *simBackend, work float64, hasUpdate bool) {
	if s.start == 0 || !hasUpdate || f.warmFraction(s, f.now) == 1 {
		return
	}
	from := f.now - f.cfg.Rules.OverloadFor
	s.arrivals, s.work, s.sum = append(s.arrivals, f.now), append(s.work, work/f.mean), s.sum+work/f.mean
	for s.arrivals[0] < from {
		s.sum -= s.work[0]
		s.arrivals, s.work = s.arrivals[1:], s.work[1:]
	}
	r := f.cfg.Rules // the limit follows the capacity at the start of the window, which is the strictest interpretation
	n := r.FallMultiple * f.warmFraction(s, from) * float64(f.cores) * r.OverloadFor.Seconds() / f.mean
	if ratio := s.sum / overloadLimit(n); ratio > f.worst.ratio {
		f.worst = peakLoad{ratio, s.sum, n}
	}
}

// arrive generates requests until the given time.
func (f *fleet) arrive(rate func() float64, until time.Duration, weight func(node int) float64, classOf func() int) {
	var drawn []int // each node as often as its weight
	for i := range f.n {
		for range int(weight(i)) {
			drawn = append(drawn, i)
		}
	}
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		node := drawn[f.rng.IntN(len(drawn))]
		at := []*process{f.procs[node]}
		if more := f.procs[f.n+node]; more != nil {
			at = append(at, more)
		}
		p := at[f.rng.IntN(len(at))]
		f.requests++
		id, class := fmt.Sprint(f.requests), classOf()
		p.class[id] = class
		p.do(Event{Kind: RequestArrived, Request: id, Class: class, Budget: f.cfg.Classes[class].Deadline})
		f.after(time.Duration(f.rng.ExpFloat64()/rate()*1e9), next)
	}
	f.after(0, next)
}

// play runs the scenario. Right after its start, a cold backend is overloaded by n requests of mean work in a window. It
// returns the highest load and the served part of all requests.
func (c *coldScenario) play(nodes int, n float64, seed uint64) (peakLoad, float64) {
	f := &fleet{p: c, n: nodes, rng: rand.New(rand.NewPCG(seed, uint64(nodes))), now: time.Hour}
	rules := Rules{GraceToAnswer: 8 * ms, DrainGrace: time.Second, AskEvery: 10 * time.Second, ColdShare: 0.12,
		WarmWithin: 22 * time.Second, FallMultiple: 3, OverloadFor: 1500 * ms}
	f.cores = min(16, max(1, int(n/25)))
	f.mean = rules.FallMultiple * rules.ColdShare * float64(f.cores) * rules.OverloadFor.Seconds() / n
	aim := f.mean * 10
	if c.aim > 0 {
		aim = f.mean * c.aim
	}
	class := Class{Aim: time.Duration(aim * 1e9), Deadline: time.Duration(4 * aim * 1e9), Effect: Safe, Points: 1}
	f.classes, f.cfg = []float64{f.mean}, Config{Classes: []Class{class}, Rules: rules, Reports: InlineReports, Columns: HasActive,
		Limits: Limits{Probing: true, MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second}, Prices: Prices{Probe: 0.01}}
	if c.heavyClass {
		f.classes = []float64{f.mean / 1.2, 5 * f.mean / 1.2}
		f.cfg.Classes = append(f.cfg.Classes, class)
	}
	for i := range c.warm + c.cold {
		s := &simBackend{id: BackendID(i + 1)}
		if i >= c.warm {
			s.start = f.now + c.settle
			if c.settle == 0 {
				s.start++
			}
		}
		f.backends = append(f.backends, s)
	}
	start := f.now + c.settle
	f.procs = make([]*process, 2*nodes)
	for i := range nodes {
		f.procs[i] = f.newProcess(i, nodes, c.settle == 0)
	}
	for i := range nodes {
		p := f.procs[i]
		if c.settle > 0 {
			f.after(c.settle+c.updateDelay+time.Duration(f.rng.Float64()*float64(c.updateSpread+50*ms)),
				func() { p.hasUpdate = true; p.list() })
		}
	}
	if c.restarts {
		for k := range 30 {
			f.after(c.settle+time.Second+time.Duration(k)*500*ms, func() {
				for i := k % 10; i < nodes; i += 10 {
					f.procs[i].stopped = true
					f.procs[i] = f.newProcess(i, nodes, true)
				}
			})
		}
	}
	classOf := func() int {
		if c.heavyClass && f.rng.IntN(20) == 0 {
			return 1
		}
		return 0
	}
	if c.settings {
		f.after(c.settle+2*time.Second, func() {
			for _, p := range f.procs[:nodes] {
				cfg := f.cfg
				cfg.Classes = append(append([]Class{}, cfg.Classes...), class)
				p.do(Event{Kind: SettingsChanged, Settings: &cfg})
			}
			f.cfg.Classes = append(append([]Class{}, f.cfg.Classes...), class)
			f.classes = []float64{f.mean, f.mean / 5}
			classOf = func() int { return f.rng.IntN(2) }
		})
	}
	if c.secondProcesses {
		f.after(c.settle+2*time.Second, func() {
			for i := range nodes {
				p := f.newProcess(i, 2*nodes, true)
				l := f.procs[i].b.Learned()
				f.procs[i].do(Event{Kind: InstancesChanged, Instances: 2 * nodes})
				p.b.Restore(l)
				f.procs[nodes+i] = p
			}
		})
		f.after(c.settle+8*time.Second, func() {
			for i := range nodes {
				f.procs[i].stopped = true
				f.procs[i], f.procs[nodes+i] = f.procs[nodes+i], nil
				f.procs[i].do(Event{Kind: InstancesChanged, Instances: nodes})
			}
		})
	}
	serving := c.warm
	if serving == 0 {
		serving = c.cold
	}
	whole := c.load * float64(serving*f.cores) / f.mean
	rate := func() float64 {
		if c.flood > 0 && f.now >= start {
			return c.flood * whole
		}
		return whole
	}
	weight := func(i int) float64 {
		if c.uneven && i%10 == 0 {
			return 5
		}
		return 1
	}
	length := cmp.Or(c.length, 12*time.Second)
	end := start + c.updateDelay + length
	f.arrive(rate, end, weight, classOf)
	for len(f.due) > 0 && f.due[0].at < end {
		h := heap.Pop(&f.due).(scheduledCall)
		f.now = h.at
		h.do()
	}
	return f.worst, float64(f.served) / float64(f.requests)
}

const settled = 20 * time.Second

var coldScenarios = []coldScenario{
	{name: "one cold beside three", warm: 3, cold: 1, load: 0.9, settle: settled, flood: 5},
	{name: "one cold beside ten", warm: 10, cold: 1, load: 0.9, settle: settled, flood: 5},
	{name: "half the load before", warm: 3, cold: 1, load: 0.5, settle: settled, flood: 10},
	{name: "too much load before", warm: 3, cold: 1, load: 1.5, settle: settled, flood: 3},
	{name: "three cold of six", warm: 3, cold: 3, load: 0.9, settle: settled, flood: 5},
	{name: "all cold, processes just started", cold: 4, load: 0.7, flood: 5},
	{name: "processes just started", warm: 3, cold: 1, load: 1.5, flood: 3},
	{name: "the same, aims of two mean times", warm: 3, cold: 1, load: 1.5, aim: 2, flood: 3},
	{name: "traffic uneven over processes", warm: 3, cold: 1, load: 0.9, settle: settled, uneven: true, flood: 5},
	{name: "a class with 5 times the work", warm: 3, cold: 1, load: 0.9, settle: settled, heavyClass: true, shape: "const", flood: 5},
	{name: "the same, exponential work", warm: 3, cold: 1, load: 0.9, settle: settled, heavyClass: true, flood: 5},
	{name: "heavy tails (Pareto, 1.5)", warm: 3, cold: 1, load: 0.9, settle: settled, shape: "pareto", flood: 5},
	{name: "processes restart", warm: 3, cold: 1, load: 0.9, settle: settled, restarts: true, flood: 5},
	{name: "settings with one class more", warm: 3, cold: 1, load: 0.9, settle: settled, settings: true, flood: 5},
	{name: "two processes of each node", warm: 3, cold: 1, load: 0.9, settle: settled, secondProcesses: true, flood: 5},
	{name: "update within 3 s", warm: 3, cold: 1, load: 0.9, settle: settled, updateSpread: 3 * time.Second, flood: 5},
	{name: "update 5 s late", warm: 3, cold: 1, load: 0.9, settle: settled, updateDelay: 5 * time.Second, flood: 5},
}

// A whole fleet together must not overload a cold backend, also where each process has so few requests that its estimate of
// a warm backend's rate is mostly chance. The flag -cold prints the whole table of docs/FLEET.md, with the cases that
// exceed the limit.
func TestColdBackendsInSimulatedFleet(t *testing.T) {
	if *printColdTable {
		for _, nodes := range []int{3, 20, 30, 300} {
			for _, c := range coldScenarios {
				line := fmt.Sprintf("| %s | %d |", c.name, nodes)
				for _, n := range []float64{1, 10, 100} {
					w, most := peakLoad{}, 0
					for seed := range uint64(2) {
						x, _ := c.play(nodes, n, seed)
						if x.ratio > 1 {
							most++
						}
						if x.ratio > w.ratio {
							w = x
						}
					}
					line += fmt.Sprintf(" %.0f of %.0f, %d |", w.sent, overloadLimit(w.n), most)
				}
				t.Log(line)
			}
		}
		for _, nodes := range []int{3, 20, 30, 300} {
			c := coldScenario{warm: 3, cold: 1, load: 0.9, settle: 5 * time.Second, flood: 3, length: 4 * time.Second}
			x, _ := c.play(nodes, 1000, 1)
			t.Logf("| N 1000 | %d | %.0f of %.0f |", nodes, x.sent, overloadLimit(x.n))
		}
		return
	}
	served, of := 0.0, 0.0
	for _, c := range coldScenarios {
		if c.shape == "pareto" { // of infinite variance: the work of a request has no bound
			continue
		}
		for _, nodes := range []int{20, 30, 300} {
			w, part := c.play(nodes, 10, 1)
			if served, of = served+part, of+1; w.ratio > 1 {
				t.Errorf("%s, %d processes: the work of %.1f mean requests within a window; the backend fails at %.1f",
					c.name, nodes, w.sent, overloadLimit(w.n))
			}
		}
	}
	for _, nodes := range []int{3, 20} {
		c := coldScenario{warm: 3, cold: 1, load: 0.9, settle: 4 * time.Second, flood: 2, length: 2 * time.Second}
		if w, _ := c.play(nodes, 1000, 1); w.ratio > 1 || w.sent < 100 {
			t.Errorf("%d processes, N 1000: the work of %.1f mean requests; the backend fails at %.1f", nodes, w.sent, overloadLimit(w.n))
		}
	}
	if served/of < 0.25 { // sending nothing would also pass the checks above
		t.Errorf("only %.2f of the requests served", served/of)
	}
}
