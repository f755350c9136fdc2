package detect

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// This file has a network in memory and virtual time. It loses, delays, reorders and duplicates messages, and its links and
// processes fail.

// node is what runs on the network: a Detect, or a detector that it is compared with.
type node interface {
	Handle(time.Duration, Event, []Action) []Action
	Next() time.Duration
}

type simNode struct {
	name, addr   string
	node         node
	up, isPaused bool // isPaused: stopped by a signal
	offset       time.Duration
	inbox        []Event
	losesInbox   bool // the socket keeps nothing while the process is stopped
	wake         time.Duration
	process      int // number of the process: messages to an earlier one are lost
	isCutOff     bool
	isSuperseded bool
	size         int
}

func (n *simNode) d() *Detect { return n.node.(*Detect) }

type simEvent struct {
	at      time.Duration
	seq     int
	node    *simNode
	process int
	ev      Event
	tick    bool
	fn      func()
}

type sim struct {
	now        time.Duration
	seq        int
	queue      []simEvent
	nodes      []*simNode
	byAddr     map[string]*simNode
	rng        *rand.Rand
	seed       uint64
	loss       float64
	duplicated float64
	delay      time.Duration // each message takes between a tenth of it and all of it
	cut        map[link]bool // by name, one direction
	cutFunc    func(from, to *simNode) bool
	bytes      int
	messages   int
	onChange   func(at *simNode, a Action)
	onAction   func(at *simNode, a Action)
	out        []Action
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, byAddr: map[string]*simNode{}, delay: 2 * time.Millisecond, cut: map[link]bool{}}
}

// start adds a process, or a new process of an instance whose process has ended.
func (s *sim) start(name string, newNode func(*Config) node, seeds ...string) *simNode {
	addr := name + ":7946"
	n := s.byAddr[addr]
	if n == nil {
		n = &simNode{name: name, addr: addr}
		s.nodes = append(s.nodes, n)
		s.byAddr[addr] = n
	}
	n.process++
	n.up, n.isPaused, n.inbox, n.isCutOff, n.isSuperseded = true, false, nil, false, false
	wall := time.Unix(1_800_000_000, 0).Add(s.now + n.offset)
	cfg := Config{Name: name, Addr: addr, Start: FirstStart(wall, s.rng.Uint32()), Seed: s.rng.Uint64()}
	for _, a := range seeds {
		cfg.Seeds = append(cfg.Seeds, a+":7946")
	}
	n.wake = never
	n.node = newNode(&cfg)
	s.handle(n, Event{Kind: Start})
	return n
}

func newDetectFunc(change func(*Config)) func(*Config) node {
	return func(c *Config) node {
		if change != nil {
			change(c)
		}
		return New(*c)
	}
}

func nameOf(i int) string {
	if i < 26 {
		return string(rune('a' + i))
	}
	return fmt.Sprintf("n%04d", i)
}

// fleet starts n processes with the first three as seeds.
func (s *sim) fleet(n int, newNode func(*Config) node) {
	for i := range n {
		s.start(nameOf(i), newNode, "a", "b", "c")
	}
}

func (s *sim) push(e simEvent) {
	s.seq++
	e.seq = s.seq
	q := append(s.queue, e)
	for i := len(q) - 1; i > 0; {
		p := (i - 1) / 2
		if !q[i].before(&q[p]) {
			break
		}
		q[i], q[p] = q[p], q[i]
		i = p
	}
	s.queue = q
}

func (e *simEvent) before(o *simEvent) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

func (s *sim) pop() simEvent {
	q := s.queue
	top, last := q[0], len(q)-1
	q[0] = q[last]
	q[last] = simEvent{}
	q = q[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c >= last {
			break
		}
		if c+1 < last && q[c+1].before(&q[c]) {
			c++
		}
		if !q[c].before(&q[i]) {
			break
		}
		q[i], q[c] = q[c], q[i]
		i = c
	}
	s.queue = q
	return top
}

// run runs the network until a point in time.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := s.pop()
		s.now = e.at
		switch {
		case e.fn != nil:
			e.fn()
		case !e.node.up || e.process != e.node.process:
		case e.tick:
			if e.at == e.node.wake && !e.node.isPaused {
				e.node.wake = never
				s.handle(e.node, Event{Kind: Tick})
			}
		case e.node.isPaused:
			if !e.node.losesInbox && len(e.node.inbox) < 200 { // the limit of a socket
				e.node.inbox = append(e.node.inbox, e.ev)
			}
		default:
			s.handle(e.node, e.ev)
		}
	}
	s.now = until
}

func (s *sim) after(d time.Duration, fn func()) { s.push(simEvent{at: s.now + d, fn: fn}) }

func (s *sim) handle(n *simNode, ev Event) {
	s.out = n.node.Handle(s.now, ev, s.out[:0])
	for _, a := range s.out {
		switch a.Kind {
		case Send, Exchange:
			s.transmit(n, a)
		case Changed:
			if s.onChange != nil {
				s.onChange(n, a)
			}
		case CutOff:
			n.isCutOff = a.IsCutOff
		case Superseded:
			n.isSuperseded = true
		case SizeChanged:
			n.size = a.N
		}
		if s.onAction != nil {
			s.onAction(n, a)
		}
	}
	if at := n.node.Next(); at < n.wake || n.wake < s.now {
		n.wake = max(at, s.now)
		if at != never {
			s.push(simEvent{at: n.wake, node: n, process: n.process, tick: true})
		}
	} else if at > n.wake { // the scheduled tick is too early, which is allowed
		return
	}
}

func (s *sim) canReach(from, to *simNode) bool {
	return !s.cut[link{from.name, to.name}] && (s.cutFunc == nil || !s.cutFunc(from, to))
}

func (s *sim) latency() time.Duration {
	return s.delay/10 + time.Duration(s.rng.Int64N(int64(s.delay-s.delay/10)))
}

func (s *sim) transmit(n *simNode, a Action) {
	s.messages++
	s.bytes += a.Message.bytes() + 28 // IP and UDP
	to := s.byAddr[a.Addr]
	if to == nil || !to.up {
		return
	}
	stream := a.Kind == Exchange || a.Message.Kind == Pull
	if !s.canReach(n, to) || stream && !s.canReach(to, n) || !stream && s.rng.Float64() < s.loss {
		return
	}
	e := simEvent{at: s.now + s.latency(), node: to, process: to.process, ev: Event{Kind: Received, From: n.addr, Message: a.Message}}
	s.push(e)
	if s.duplicated > 0 && !stream && s.rng.Float64() < s.duplicated {
		e.at += s.latency() * 10
		s.push(e)
	}
}

// bytes returns an upper bound of the message's size on the wire.
func (m *Message) bytes() int {
	n := messageSize + 40 + len(m.About.Name) + m.From.size()
	for i := range m.Updates {
		n += m.Updates[i].size()
	}
	for i := range m.Links {
		n += m.Links[i].size()
	}
	return n
}

// crash ends a process, which sends nothing more.
func (s *sim) crash(n *simNode) { n.up = false; n.process++ }

// pause stops a process and resumes it after d. Messages that arrive meanwhile wait in its socket.
func (s *sim) pause(n *simNode, d time.Duration) {
	if !n.up || n.isPaused {
		return
	}
	n.isPaused, n.losesInbox = true, false
	life := n.process
	s.after(d, func() {
		if n.process != life {
			return
		}
		n.isPaused = false
		inbox := n.inbox
		n.inbox = nil
		for _, ev := range inbox {
			s.handle(n, ev)
		}
		s.handle(n, Event{Kind: Tick})
	})
}

// view returns the members that are present in a process's view.
func (n *simNode) view() string {
	var b strings.Builder
	n.d().Members(func(w Update, l LinkState) bool {
		if w.State == Left || w.State == Dead {
			return true
		}
		fmt.Fprintf(&b, "%s %s", w.Name, w.State)
		if l != Sound {
			fmt.Fprintf(&b, " (%s)", l)
		}
		b.WriteString(", ")
		return true
	})
	return strings.TrimSuffix(b.String(), ", ")
}

// hasOneView reports whether the view of each running process has exactly the running processes as present.
func (s *sim) hasOneView() bool {
	up := map[ID]bool{}
	for _, n := range s.nodes {
		if n.up && !n.isSuperseded && n.d().Self().State != Left {
			up[n.d().Self().ID] = true
		}
	}
	for _, n := range s.nodes {
		if !n.up || n.isSuperseded || !up[n.d().Self().ID] {
			continue
		}
		present := 0
		for _, m := range n.d().ring {
			if m.State == Suspect || m.State == Alive && !up[m.ID] {
				return false
			}
			if m.State == Alive {
				present++
			}
		}
		if present != len(up)-1 {
			return false
		}
	}
	return true
}

// until runs the network until condition is true, checked at each step, and returns the time taken; -1: it is still false after
// limit.
func (s *sim) until(limit, step time.Duration, condition func() bool) time.Duration {
	from := s.now
	for s.now < from+limit {
		if condition() {
			return s.now - from
		}
		s.run(s.now + step)
	}
	if condition() {
		return s.now - from
	}
	return -1
}

func (s *sim) nodeNamed(name string) *simNode { return s.byAddr[name+":7946"] }

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
