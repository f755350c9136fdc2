// Package lab is an emulator of fleets in virtual time: boxes with cores, queues, cold starts and faults, networks, clients
// that ask again, and nodes that run the shipped decisions (package balance under internal/engine, no model of them) or a
// policy of the field beside them. The same scenario, policy and seed give the same run, byte for byte, on any machine.
//
// A run is one goroutine; grids of runs spread over the cores. Nothing is kept for each request once it is over: latencies
// go into HDR histograms, time series into one row a second.
package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"glencart/internal/engine"
)

// epoch is the time of day at which runs begin.
var epoch = time.Unix(1_800_000_000, 0)

// most bounds the events of a run: a scenario that never ends is an error.
const mostEvents = 2_000_000_000

// world is one run.
type world struct {
	s     *Scenario
	now   time.Duration
	queue queue
	seq   uint64
	count int64

	net   *rand.Rand // each with a stream of its own, so that one policy's draws do not move another's arrivals
	work  *rand.Rand
	come  *rand.Rand
	other *rand.Rand

	boxes     []*box
	nodes     []node
	load      float64 // factor of the rate
	cutList   bool
	cuts      int             // how often the list was cut off
	version   int             // of the list that agents have
	parted    map[[2]int]bool // node zone, box zone
	arrivals  int64
	left      int             // requests that are open
	finished  func(*box)      // where a policy has boxes tell that they are done with something
	members   []engine.Member // the list as it was told last
	membersAt time.Duration
	byID      map[string]*box
	sources   []sourceState
	views     []view // what was true, from when on
	res       *Result
}

// node is one balancer, of whatever kind.
type node interface {
	arrive(q *ask)
	list()            // the list of boxes is told
	restart()         // it forgets all, and what it has open is lost
	run()             // after an event that touched it
	fired(mark int64) // a timer of its own
}

// kinds of events.
type kind uint8

const (
	evFunc kind = iota
	evArrive
	evReach
	evFinish
	evAnswer
	evTimer
	evDeadline
)

// event is one thing to come. What it is about is in ref, so that no closure is made for the common ones.
type event struct {
	at   time.Duration
	seq  uint64
	kind kind
	n    int64
	ref  any
}

// queue is a binary heap by time; what is due at the same time keeps its order.
type queue []event

func (q queue) less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q *queue) push(e event) {
	*q = append(*q, e)
	h := *q
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.less(i, up) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

func (q *queue) pop() event {
	h := *q
	first, last := h[0], len(h)-1
	h[0] = h[last]
	h[last] = event{}
	h = h[:last]
	*q = h
	for i := 0; ; {
		least := i
		for _, down := range [2]int{2*i + 1, 2*i + 2} {
			if down < last && h.less(down, least) {
				least = down
			}
		}
		if least == i {
			return first
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}

func (w *world) after(in time.Duration, k kind, n int64, ref any) {
	w.seq++
	w.queue.push(event{w.now + max(in, 0), w.seq, k, n, ref})
}

// ask is one try of a client's request, at one node.
type ask struct {
	w        *world
	id       string
	class    int
	tenant   int           // -1: there are none
	first    time.Duration // when the client first asked
	at       time.Duration
	deadline time.Duration // of the client, over all its tries
	until    time.Duration // of this try
	tries    int
	node     int
	runs     int  // of this try
	before   int  // runs of earlier tries
	loop     bool // a client of the closed loop
	done     bool
	attempts int
	req      *engine.Request
	open     []*call // of a baseline's node
}

// Run plays a scenario under a policy with a seed.
func Run(s *Scenario, p Policy, seed uint64) (*Result, error) {
	w := &world{s: s, load: 1, parted: map[[2]int]bool{}, byID: map[string]*box{}, membersAt: -1, version: 1}
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	w.net, w.work, w.come, w.other = stream(1), stream(2), stream(3), stream(4)
	w.res = newResult(s, p.Name, seed)
	for g := range s.Boxes {
		for i := range s.Boxes[g].Count {
			w.boxes = append(w.boxes, newBox(w, &s.Boxes[g], fmt.Sprint(s.Boxes[g].Name, i), len(w.boxes)))
			w.byID[w.boxes[len(w.boxes)-1].id] = w.boxes[len(w.boxes)-1]
		}
	}
	w.sources = make([]sourceState, len(s.Sources))
	w.look()
	for i := range s.Nodes {
		n, err := p.make(w, i, rand.New(rand.NewPCG(seed, 1000+uint64(i))))
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.list()
		n.run()
	}
	for _, e := range s.Events {
		w.queue.push(event{time.Duration(e.At), w.next(), evFunc, 0, func() { w.act(e) }})
	}
	for i := range s.Clients.Loop {
		w.after(time.Duration(w.come.Float64()*float64(s.Clients.Think)), evArrive, int64(i), nil)
	}
	if s.Clients.Rate > 0 {
		w.after(w.gap(), evArrive, -1, nil)
	}
	end := time.Duration(s.For)
	for _, c := range s.Classes {
		end = max(end, time.Duration(s.For)+2*time.Duration(c.Deadline)+time.Second)
	}
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := w.queue.pop()
		w.now = e.at
		if w.count++; w.count > mostEvents {
			return nil, fmt.Errorf("%s: more than %d events by %v: it does not end", s.Name, int64(mostEvents), w.now)
		}
		w.handle(&e)
	}
	w.res.close(w)
	return w.res, nil
}

func (w *world) next() uint64 { w.seq++; return w.seq }

func (w *world) handle(e *event) {
	switch e.kind {
	case evFunc:
		e.ref.(func())()
	case evArrive:
		w.client(e.n)
	case evReach:
		e.ref.(*call).reach()
	case evFinish:
		c := e.ref.(*call)
		c.box.finish(c, int(e.n))
	case evAnswer:
		c := e.ref.(*call)
		c.from.told(c)
	case evTimer:
		e.ref.(node).fired(e.n)
	case evDeadline:
		if q := e.ref.(*ask); !q.done {
			w.nodes[q.node].run()
			if !q.done { // a node that owes an answer and gives none
				w.lost(q)
			}
		}
	}
}

// gap is the time to the next arrival of the open loop.
func (w *world) gap() time.Duration {
	return time.Duration(w.come.ExpFloat64() / max(w.s.Clients.Rate*w.load, 1e-9) * float64(time.Second))
}

// client has a new request come: from client n of the loop, or from anyone.
func (w *world) client(n int64) {
	if w.now >= time.Duration(w.s.For) {
		return
	}
	if n < 0 {
		w.after(w.gap(), evArrive, -1, nil)
	}
	w.arrivals++
	class, tenant := drawn(w.come, w.s.Classes, func(c *Class) float64 { return c.Part }), -1
	if len(w.s.Tenants) > 0 {
		tenant = drawn(w.come, w.s.Tenants, func(k *Tenant) float64 { return k.Part })
	}
	k := &w.s.Classes[class]
	w.res.asked(w.now, class, tenant)
	w.send(&ask{w: w, class: class, tenant: tenant, first: w.now, deadline: w.now + time.Duration(k.Deadline), loop: n >= 0})
}

// drawn draws one of several by their parts.
func drawn[T any](from *rand.Rand, of []T, part func(*T) float64) int {
	total := 0.0
	for i := range of {
		total += part(&of[i])
	}
	i, x := 0, from.Float64()*total
	for x >= part(&of[i]) && i < len(of)-1 {
		x -= part(&of[i])
		i++
	}
	return i
}

// send brings a try to a node.
func (w *world) send(q *ask) {
	w.left++
	q.id = fmt.Sprintf("q%d.%d", w.arrivals, q.tries)
	if q.tries > 0 {
		q.id = fmt.Sprintf("r%d", w.next())
	}
	nodes := len(w.nodes)
	if q.tenant >= 0 && w.s.Tenants[q.tenant].Nodes > 0 {
		nodes = max(1, int(float64(nodes)*w.s.Tenants[q.tenant].Nodes))
	}
	q.at, q.node = w.now, w.come.IntN(nodes)
	if q.until = q.deadline; w.s.Clients.Timeout > 0 {
		q.until = min(q.deadline, w.now+time.Duration(w.s.Clients.Timeout))
	}
	w.res.tried(w.now, q.class)
	w.after(q.until-w.now+5*time.Millisecond, evDeadline, 0, q)
	w.nodes[q.node].arrive(q)
	w.nodes[q.node].run()
}

// verdict is how a try ended, as its client sees it.
type verdict uint8

const (
	served verdict = iota
	refused
	failed
)

// answered ends a try. in is the advice of a refusal.
func (w *world) answered(q *ask, v verdict, in time.Duration) {
	if q.done {
		w.res.Twice++ // two answers
		return
	}
	q.done = true
	w.left--
	k := &w.s.Classes[q.class]
	unsafe := k.Effect == "unsafe"
	if unsafe && v == refused && q.runs > 0 {
		w.res.RefusedRan++
	}
	if w.now > q.until+10*time.Millisecond {
		w.res.Late++
	}
	took := w.now - q.first
	again := v != served && q.tries < w.s.Clients.Retries && !(unsafe && v == failed)
	wait := time.Duration(0)
	if again {
		if b := time.Duration(w.s.Clients.Backoff) << q.tries; b > 0 {
			wait = b/2 + time.Duration(w.come.Float64()*float64(b)/2)
		}
		if w.s.Clients.Obey && v == refused {
			wait = max(wait, in)
		}
		again = w.now+wait < q.deadline
	}
	w.res.ended(w.now, q, v, took, !again)
	switch {
	case again:
		next := &ask{w: w, class: q.class, tenant: q.tenant, first: q.first, deadline: q.deadline, tries: q.tries + 1, loop: q.loop, before: q.before + q.runs}
		w.after(wait, evFunc, 0, func() { w.send(next) })
	case q.loop:
		w.after(time.Duration(w.come.ExpFloat64()*float64(w.s.Clients.Think)), evArrive, 0, nil)
	}
}

// lost ends a try whose node never answered.
func (w *world) lost(q *ask) {
	w.res.Lost++
	q.done = true
	w.left--
	w.res.ended(w.now, q, failed, w.now-q.first, true)
	if q.loop {
		w.after(0, evArrive, 0, nil)
	}
}

// ran counts that a box began to work on a try.
func (q *ask) ran() {
	q.runs++
	if q.w.s.Classes[q.class].Effect == "unsafe" && q.runs+q.before > 1 {
		q.w.res.Twice++
	}
}

// way is the time of a packet between a node and a box.
func (w *world) way() time.Duration {
	d := time.Duration(w.s.Network.Delay)
	if j := time.Duration(w.s.Network.Jitter); j > 0 {
		d += time.Duration(w.net.ExpFloat64() * float64(j))
	}
	if w.s.Network.Loss > 0 && w.net.Float64() < w.s.Network.Loss {
		d += 200 * time.Millisecond
	}
	return d
}

// draw is the work of a request, in seconds of a core of speed 1.
func (w *world) draw(k *Class) float64 {
	mean := time.Duration(k.Work).Seconds()
	switch k.Shape {
	case "const":
		return mean
	case "uniform":
		return mean * (0.5 + w.work.Float64())
	case "lognormal":
		const sigma = 1.0
		return mean * math.Exp(sigma*w.work.NormFloat64()-sigma*sigma/2)
	case "pareto":
		const alpha = 1.5 // mean alpha/(alpha-1) times the least
		return mean * (alpha - 1) / alpha / math.Pow(1-w.work.Float64(), 1/alpha)
	}
	return mean * w.work.ExpFloat64()
}

// act has an event happen.
func (w *world) act(e Event) {
	w.res.Marks = append(w.res.Marks, Mark{w.now.Seconds(), e.Do + " " + e.Who})
	told := false
	switch e.Do {
	case "load":
		w.load = e.By
	case "cut-list":
		w.cutList = true
		w.cuts++
	case "heal-list":
		w.cutList, told = false, true
	case "roll": // every node restarts, one after the other
		for i, n := range w.nodes {
			w.after(time.Duration(i)*time.Duration(float64(time.Second)*max(e.By, 0.1)), evFunc, 0, func() { n.restart(); n.list(); n.run() })
		}
	case "partition", "heal":
		for _, i := range w.s.named(e) {
			for z := range w.s.Zones {
				if z != w.boxes[i].zone {
					w.parted[[2]int{z, w.boxes[i].zone}] = e.Do == "partition"
				}
			}
		}
	}
	for _, i := range w.s.named(e) {
		b := w.boxes[i]
		switch e.Do {
		case "drain":
			b.state, told = draining, true
		case "undrain", "add":
			b.state, told = ready, true
			b.toldAt = -1
			if e.Do == "add" {
				b.start()
			}
		case "remove":
			b.state, told = gone, true
		case "crash":
			b.crash()
		case "restart":
			b.crash()
			b.start()
			told = true
		case "hang":
			b.hung = true
		case "unhang":
			b.hung = false
			b.begin()
		case "slow":
			b.slow = max(e.By, 1e-3)
		case "fail":
			b.failing = e.By
		case "lie":
			b.lie = e.By
		}
	}
	w.actSource(e)
	if told {
		w.look()
		w.tell()
	}
}

// tell sends the list to all nodes, unless it is cut off.
func (w *world) tell() {
	if w.cutList {
		return
	}
	w.after(time.Duration(w.s.Network.News), evFunc, 0, func() {
		for _, b := range w.boxes {
			if b.state != ready && b.toldAt < 0 {
				b.toldAt = w.now
			}
		}
		w.version++
		for _, n := range w.nodes {
			n.list()
			n.run()
		}
	})
}
