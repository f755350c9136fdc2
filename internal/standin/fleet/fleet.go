// Package fleet plays fault scripts in virtual time: boxes with cores, queues and cold starts, and any number of engines
// that send to them, each behind a front's own wording. One clock and one seed: the same script gives the same steps.
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/standin/script"
)

// End is how a box ended a call, before any protocol words it.
type End int

// Ends.
const (
	Served  End = iota
	Errored     // it ran, and failed
	Full        // it never ran: no room
	Drains      // it never ran: the box drains
	NoConn      // nobody takes the connection
	Broken      // the connection broke after the last byte
)

// Front is a protocol's side: it words what the fleet deals in, by the code that does so on sockets.
type Front interface {
	// Config is the engine's.
	Config() engine.Config
	// Request makes what arrives with this budget into the engine's request.
	Request(id, class, key string, budget time.Duration, now time.Time) (*engine.Request, error)
	// Result reads an attempt's end. inflight is what the box reports, where it answers.
	Result(to engine.Endpoint, end End, inflight int) engine.Result
	// List takes in a list as the registry words it. On the loop.
	List(e *engine.Engine, text string)
}

// Rules of cold boxes, as the settings of a test state them.
type Rules struct {
	ColdShare    float64
	WarmWithin   time.Duration
	FallMultiple float64
	OverloadFor  time.Duration
	DrainGrace   time.Duration
}

// Tally is what a run came to.
type Tally struct {
	Requests        int
	Served, InAim   map[string]int // by class
	Refused, Failed map[string]int
	Twice           []string // unsafe requests that ran twice
	RefusedRan      []string // refused though unsafe and run
	NoAnswer, Late  []string
	AfterDrain      []string // begun at a box later than the grace after its drain was told
	Overloads       []string // boxes pushed over
	ColdServed      int      // served by boxes while cold
	Steps           []string // of the engine, where asked for
	LeftOpen        int
	WarmedAt        time.Duration // when the last cold box had served its first call
}

// Options beside the script.
type Options struct {
	Instances int
	Seed      uint64
	Aim       time.Duration
	Deadline  time.Duration
	Unsafe    map[string]bool // classes that must not run twice
	Steps     bool            // keep the steps of the first engine
	Age       time.Duration   // the clock at the start is this much later than boxes' starts that are not told
}

// World is one run.
type World struct {
	s     *script.Script
	o     Options
	rules Rules
	clock time.Time
	begin time.Time
	rng   *rand.Rand
	queue events
	seq   int

	boxes []*box
	nodes []*node
	cut   bool
	rev   int

	requests map[*engine.Request]*request
	open     []*request // in the order of their arrival
	calls    int
	t        Tally
}

type box struct {
	w           *World
	number      int
	id, addr    string
	phase       string // as listed
	launched    time.Time
	up          bool
	draining    bool
	hung        bool
	failing     bool
	slow        float64
	busy        int
	waiting     []*call
	running     map[*call]bool
	pushed      []push
	fallen      bool
	toldAt      time.Time // when its drain reached the nodes
	incarnation int
}

type push struct {
	at   time.Time
	work float64
}

type node struct {
	touched bool      // something was posted to it, or it was called
	next    time.Time // when its next timer is due
	w       *World
	n       int
	front   Front
	e       *engine.Engine
}

// call is one attempt on its way.
type call struct {
	n      *node
	a      *engine.Attempt
	b      *box
	begun  bool
	barred bool
	over   bool
	left   bool
	work   time.Duration
	inc    int
	seq    int
}

type request struct {
	r        *engine.Request
	id       string
	class    string
	at       time.Time
	runs     int
	done     bool
	deadline time.Time
}

type event struct {
	at  time.Time
	seq int
	f   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Times of the network: to connect and send, and back. News of the list takes newsIn.
const (
	sendIn, backIn = 300 * time.Microsecond, 200 * time.Microsecond
	newsIn         = 40 * time.Millisecond
)

// Play runs a script on so many instances of a front, each made by make with its number and the fleet's clock.
func Play(s *script.Script, rules Rules, o Options, make func(instance int, now func() time.Time) Front) (*Tally, error) {
	o.Instances = max(o.Instances, 1)
	w := &World{s: s, o: o, rules: rules, rng: rand.New(rand.NewPCG(o.Seed, 77)), requests: map[*engine.Request]*request{}}
	w.begin = time.Unix(1_800_000_000, 0)
	w.clock = w.begin
	w.t = Tally{Served: map[string]int{}, InAim: map[string]int{}, Refused: map[string]int{}, Failed: map[string]int{}}
	for i := range s.Boxes {
		w.boxes = append(w.boxes, &box{w: w, number: i, id: fmt.Sprint("b", i), addr: fmt.Sprintf("10.0.0.%d:80", i+1),
			phase: "ready", up: true, slow: 1, running: map[*call]bool{}})
	}
	now := func() time.Time { return w.clock }
	for i := range o.Instances {
		n := &node{w: w, n: i, front: make(i, now)}
		cfg := n.front.Config()
		cfg.Now = now
		cfg.Transport = n
		if i == 0 && o.Steps {
			cfg.Trace = w.trace()
		}
		n.e = engine.New(cfg)
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.front.List(n.e, w.list())
	}
	w.arrivals()
	for _, a := range s.Acts {
		w.after(a.At, func() { w.act(a) })
	}
	w.run(w.begin.Add(s.For + o.Deadline + 5*time.Second))
	for _, r := range w.requests {
		if !r.done {
			w.t.NoAnswer = append(w.t.NoAnswer, r.id)
		}
		if r.runs > 1 && o.Unsafe[r.class] {
			w.t.Twice = append(w.t.Twice, r.id)
		}
	}
	for _, n := range w.nodes {
		w.t.LeftOpen += n.e.OpenRequests()
	}
	return &w.t, nil
}

func (w *World) at(t time.Time, f func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, f})
}

func (w *World) after(d time.Duration, f func()) { w.at(w.begin.Add(d), f) }

// run plays until a time, in the order of things; engines in the order of their numbers.
func (w *World) run(end time.Time) {
	for {
		next := end
		if len(w.queue) > 0 && w.queue[0].at.Before(next) {
			next = w.queue[0].at
		}
		for _, n := range w.nodes {
			if n.next.Before(next) {
				next = n.next
			}
		}
		if next.After(w.clock) {
			w.clock = next
		}
		if !w.clock.Before(end) {
			return
		}
		for len(w.queue) > 0 && !w.queue[0].at.After(w.clock) {
			heap.Pop(&w.queue).(event).f()
		}
		for _, n := range w.nodes {
			if !n.touched && n.next.After(w.clock) {
				continue
			}
			n.touched = false
			n.e.Step()
			n.next = end
			if at, ok := n.e.Next(); ok {
				n.next = w.clock.Add(at - n.e.Clock())
			}
		}
		w.collect()
	}
}

func (w *World) arrivals() {
	total := 0.0
	for _, p := range w.s.Mix {
		total += p.Weight
	}
	for at, i := time.Duration(0), 0; ; i++ {
		at += time.Duration(w.rng.ExpFloat64() / w.s.Rate * float64(time.Second))
		if at >= w.s.For {
			return
		}
		class, x := "", w.rng.Float64()*total
		for _, p := range w.s.Mix {
			if class = p.Class; x < p.Weight {
				break
			}
			x -= p.Weight
		}
		n, id := w.nodes[w.rng.IntN(len(w.nodes))], fmt.Sprint("q", i)
		w.after(at, func() {
			r, err := n.front.Request(id, class, "key-"+id, w.o.Deadline, w.clock)
			if err != nil {
				panic(fmt.Sprintf("%s: %v", id, err))
			}
			q := &request{r: r, id: id, class: class, at: w.clock, deadline: r.Deadline}
			w.requests[r] = q
			w.open = append(w.open, q)
			w.t.Requests++
			n.e.Arrive(r)
			n.touched = true
		})
	}
}

// collect takes the answers that have come.
func (w *World) collect() {
	open := w.open[:0]
	for _, q := range w.open {
		select {
		case a := <-q.r.Reply:
			id := q.id
			q.done = true
			if w.clock.After(q.deadline.Add(time.Millisecond)) {
				w.t.Late = append(w.t.Late, id)
			}
			switch a.Kind {
			case engine.Served:
				w.t.Served[q.class]++
				if w.clock.Sub(q.at) <= w.o.Aim {
					w.t.InAim[q.class]++
				}
			case engine.Refused:
				w.t.Refused[q.class]++
				if w.o.Unsafe[q.class] && q.runs > 0 {
					w.t.RefusedRan = append(w.t.RefusedRan, id)
				}
			default:
				w.t.Failed[q.class]++
			}
		default:
			open = append(open, q)
		}
	}
	w.open = open
}

// list words the list as the registry does.
func (w *World) list() string {
	w.rev++
	var b strings.Builder
	fmt.Fprintf(&b, `{"revision":%d,"complete":true,"members":[`, w.rev)
	first := true
	for _, x := range w.boxes {
		if x.phase == "gone" {
			continue
		}
		if !first {
			b.WriteByte(',')
		}
		first = false
		up := int64(0)
		if !x.launched.IsZero() {
			up = x.launched.UnixMilli()
		}
		fmt.Fprintf(&b, `{"id":%q,"host_port":%q,"locality":%q,"flavor":"m","cell":0,"phase":%q,"size":1.0,"up_since_ms":%d}`,
			x.id, x.addr, script.Zone(x.number), x.phase, up)
	}
	b.WriteString("]}")
	return b.String()
}

// news sends the list to all, unless they are cut off.
func (w *World) news() {
	if w.cut {
		return
	}
	text := w.list()
	w.at(w.clock.Add(newsIn), func() {
		for _, b := range w.boxes {
			if b.phase != "ready" && b.toldAt.IsZero() {
				b.toldAt = w.clock
			}
		}
		for _, n := range w.nodes {
			n.touched = true
			n.front.List(n.e, text)
		}
	})
}

func (w *World) act(a script.Act) {
	switch a.Verb {
	case "cut":
		w.cut = true
	case "heal":
		w.cut = false
	}
	for _, i := range w.s.Expand(a.Box) {
		b := w.boxes[i]
		switch a.Verb {
		case "drain":
			b.draining = true
			if a.Word != "unlisted" {
				b.phase = "draining"
			}
		case "undrain":
			b.draining, b.phase, b.toldAt = false, "ready", time.Time{}
		case "list":
			b.phase = a.Word
			if a.Word == "ready" {
				b.toldAt = time.Time{}
			}
		case "crash":
			b.crash()
		case "restart":
			b.crash()
			b.up, b.fallen, b.draining, b.hung, b.failing, b.slow = true, false, false, false, false, 1
			b.launched, b.phase, b.toldAt, b.pushed = w.clock, "ready", time.Time{}, nil
		case "hang":
			b.hung = true
		case "unhang":
			b.hung = false
			b.next()
		case "slow":
			b.slow, _ = strconv.ParseFloat(a.Word, 64)
		case "fail":
			b.failing = a.Word == "on"
		}
	}
	w.news()
}

func (w *World) trace() func(engine.Step) {
	names := map[string]string{}
	name := func(id string) string {
		if id == "" {
			return ""
		}
		if names[id] == "" {
			names[id] = fmt.Sprint("#", len(names))
		}
		return names[id]
	}
	return func(s engine.Step) {
		e := *s.Event
		e.Request = name(e.Request)
		line := fmt.Sprintf("%v %+v ->", s.Now-time.Duration(w.begin.UnixNano()), e)
		for _, a := range s.Actions {
			a.Request = name(a.Request)
			line += fmt.Sprintf(" %+v", a)
		}
		w.t.Steps = append(w.t.Steps, line)
	}
}

// Send, PreventWrite, Cancel, Probe and CloseIdle make a node the innermost transport.
func (n *node) Send(a *engine.Attempt) {
	n.w.calls++
	c := &call{n: n, a: a, b: n.w.box(a.To), seq: n.w.calls}
	a.State = c
	n.w.at(n.w.clock.Add(sendIn), func() { c.arrive() })
}

// PreventWrite keeps a call from its first byte, which leaves when it arrives: the way is counted as the dial.
func (n *node) PreventWrite(a *engine.Attempt) bool {
	c := a.State.(*call)
	c.barred = c.barred || !c.begun
	return c.barred
}

// Cancel closes a call: what runs of it runs on, and its answer is nobody's.
func (n *node) Cancel(a *engine.Attempt) {
	c := a.State.(*call)
	c.left = true
	c.b.waiting = slices.DeleteFunc(c.b.waiting, func(x *call) bool { return x == c })
}

func (n *node) Probe(to engine.Endpoint, told func(engine.Result)) {
	b := n.w.box(to)
	n.w.at(n.w.clock.Add(sendIn+backIn), func() {
		n.touched = true
		if !b.up || b.fallen {
			told(engine.Result{Status: balance.DialFailed})
			return
		}
		if b.hung {
			n.w.at(n.w.clock.Add(150*time.Millisecond), func() { n.touched = true; told(engine.Result{Status: balance.Expired}) })
			return
		}
		told(n.front.Result(to, Served, b.busy+len(b.waiting)))
	})
}

func (n *node) CloseIdle(engine.Endpoint) {}

func (w *World) box(to engine.Endpoint) *box {
	for _, b := range w.boxes {
		if b.id == to.ID {
			return b
		}
	}
	panic("a box that is in no list: " + to.ID)
}

// end tells how a call ended, if anyone still asks.
func (c *call) end(e End, in time.Duration) {
	if c.over {
		return
	}
	c.over = true
	res := c.n.front.Result(c.a.To, e, c.b.busy+len(c.b.waiting))
	c.n.w.at(c.n.w.clock.Add(in), func() {
		c.n.touched = true
		if !c.left {
			c.a.Done(res)
		}
	})
}

func (c *call) arrive() {
	b, w := c.b, c.n.w
	c.n.touched = true
	if c.barred || c.left {
		c.a.Done(engine.Result{Status: balance.Unused})
		return
	}
	c.begun = true
	if !b.toldAt.IsZero() && w.clock.Sub(b.toldAt) > w.rules.DrainGrace {
		w.t.AfterDrain = append(w.t.AfterDrain, c.a.Request.ID+" at "+b.id)
	}
	if !b.up || b.fallen {
		c.end(NoConn, backIn)
		return
	}
	c.work = time.Duration((0.5 + w.rng.Float64()) * float64(w.s.Work))
	b.push(c.work)
	switch {
	case b.fallen:
		c.end(Broken, backIn)
	case b.draining:
		c.end(Drains, backIn)
	case b.busy+len(b.waiting) >= w.s.Cores+w.s.Queue:
		c.end(Full, backIn)
	case b.failing:
		c.ran()
		c.end(Errored, backIn)
	default:
		c.inc = b.incarnation
		b.waiting = append(b.waiting, c)
		b.next()
	}
}

func (c *call) ran() {
	c.n.w.requests[c.a.Request].runs++
}

func (b *box) warmth() float64 {
	r := &b.w.rules
	if b.launched.IsZero() || r.WarmWithin <= 0 {
		return 1
	}
	return min(1, r.ColdShare+(1-r.ColdShare)*float64(b.w.clock.Sub(b.launched))/float64(r.WarmWithin))
}

// push counts work that reaches a cold box, and brings it down when it is too much.
func (b *box) push(work time.Duration) {
	r := &b.w.rules
	if b.warmth() >= 1 || r.OverloadFor <= 0 {
		return
	}
	b.pushed = append(b.pushed, push{at: b.w.clock, work: work.Seconds()})
	for b.w.clock.Sub(b.pushed[0].at) > r.OverloadFor {
		b.pushed = b.pushed[1:]
	}
	sum := 0.0
	for _, p := range b.pushed {
		sum += p.work
	}
	if sum > r.FallMultiple*b.warmth()*float64(b.w.s.Cores)*r.OverloadFor.Seconds() {
		b.w.t.Overloads = append(b.w.t.Overloads, fmt.Sprintf("%s at %v", b.id, b.w.clock.Sub(b.w.begin)))
		b.crash()
		b.up, b.fallen = true, true
	}
}

// next begins what waits, while there are cores.
func (b *box) next() {
	for !b.hung && b.busy < b.w.s.Cores && len(b.waiting) > 0 {
		c := b.waiting[0]
		b.waiting = b.waiting[1:]
		c.ran()
		b.busy++
		b.running[c] = true
		took := time.Duration(float64(c.work) * b.slow / b.warmth())
		inc := b.incarnation
		b.w.at(b.w.clock.Add(took), func() { b.finish(c, inc) })
	}
}

func (b *box) finish(c *call, inc int) {
	if inc != b.incarnation {
		return // it died meanwhile
	}
	if b.hung {
		b.w.at(b.w.clock.Add(10*time.Millisecond), func() { b.finish(c, inc) })
		return
	}
	b.busy--
	delete(b.running, c)
	if b.warmth() < 1 {
		b.w.t.ColdServed++
		b.w.t.WarmedAt = b.w.clock.Sub(b.w.begin)
	}
	c.end(Served, backIn)
	b.next()
}

// crash ends the process: what it has breaks.
func (b *box) crash() {
	b.incarnation++
	held := make([]*call, 0, len(b.running))
	for c := range b.running {
		held = append(held, c)
	}
	slices.SortFunc(held, func(x, y *call) int { return x.seq - y.seq })
	held = append(held, b.waiting...)
	b.running, b.waiting, b.busy, b.up = map[*call]bool{}, nil, 0, false
	for _, c := range held {
		c.end(Broken, backIn)
	}
}
