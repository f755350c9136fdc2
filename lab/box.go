package lab

import (
	"cmp"
	"slices"
	"time"
)

type state uint8

const (
	ready state = iota
	draining
	gone
)

// end is how a box ended a call.
type end uint8

const (
	endServed end = iota
	endError      // it ran, and failed
	endFull       // it never ran: no room
	endDrains     // it never ran: it is about to end
	endNoConn     // nobody takes the connection
	endBroken     // the connection broke after the last byte
	endUnsent     // it never left the node
	endSilent     // no answer by the call's deadline
)

// box is one server.
type box struct {
	*Boxes
	w        *world
	id       string
	n, zone  int
	state    state
	up       bool
	hung     bool
	failing  float64 // part of the calls that fail
	slow     float64
	lie      float64 // factor of what it reports
	launched time.Duration
	toldAt   time.Duration // when its drain or end reached the nodes; -1: it has not
	life     int
	busy     int
	waiting  []*call
	running  map[*call]struct{}
	pushed   []push
	pushSum  push // of pushed; at is not used
	fell     bool
	pausedTo time.Duration

	worked float64 // seconds of work done
	served int64
}

// push is work that reached a cold box.
type push struct {
	at       time.Duration
	work     float64 // seconds
	expected float64 // what a node can expect: the mean of the class
}

// call is one attempt on its way to a box.
type call struct {
	from     sender
	q        *ask
	box      *box
	work     float64
	deadline time.Duration
	begun    bool // its first byte has left
	barred   bool
	left     bool // nobody waits for its answer
	over     bool
	life     int
	sent     time.Duration
	n        uint64 // in the order of launches
	end      end
	held     int // what the box reports with its answer
	ref      any
}

// sender takes in how a call ended.
type sender interface{ told(c *call) }

func newBox(w *world, g *Boxes, id string, n int) *box {
	b := &box{Boxes: g, w: w, id: id, n: n, zone: n % w.s.Zones, up: !g.Out, slow: 1, lie: 1, toldAt: -1, running: map[*call]struct{}{}, launched: -1}
	if g.Out {
		b.state = gone
	}
	if g.Pause > 0 {
		b.pauses()
	}
	return b
}

// pauses has all cores stand still now and then.
func (b *box) pauses() {
	in := time.Duration((0.5 + b.w.other.Float64()) * float64(b.PauseEvery))
	b.w.after(in, evFunc, 0, func() {
		b.pausedTo = b.w.now + time.Duration(b.Pause)
		b.w.after(time.Duration(b.Pause), evFunc, 0, b.begin)
		if b.w.now < time.Duration(b.w.s.For) {
			b.pauses()
		}
	})
}

// start starts a box, cold if it knows a cold start.
func (b *box) start() {
	b.up, b.hung, b.failing, b.slow, b.fell = true, false, 0, 1, false
	b.pushed, b.pushSum = nil, push{}
	b.launched = b.w.now
}

// warmth is the part of its speed that it has.
func (b *box) warmth() float64 {
	if b.launched < 0 || b.Warm <= 0 {
		return 1
	}
	return min(1, b.ColdShare+(1-b.ColdShare)*float64(b.w.now-b.launched)/float64(b.Warm))
}

// push counts work that reaches a cold box, and brings it down when it is too much.
func (b *box) push(work, expected float64) {
	if b.Fall <= 0 || b.warmth() >= 1 {
		return
	}
	b.pushed = append(b.pushed, push{b.w.now, work, expected})
	b.pushSum.work += work
	b.pushSum.expected += expected
	for b.w.now-b.pushed[0].at > time.Duration(b.FallFor) {
		b.pushSum.work -= b.pushed[0].work
		b.pushSum.expected -= b.pushed[0].expected
		b.pushed = b.pushed[1:]
	}
	limit := b.Fall * b.warmth() * float64(b.Cores) * b.Speed * time.Duration(b.FallFor).Seconds()
	if b.pushSum.work > limit {
		b.w.res.Fell++
		if b.pushSum.expected > limit {
			b.w.res.Overcommitted++
		}
		b.crash()
		b.fell = true
	}
}

// cut tells whether nothing passes between a node and a box.
func (w *world) cut(nodeZone, boxZone int) bool { return w.parted[[2]int{nodeZone, boxZone}] }

// launch sends a call on its way.
func (w *world) launch(c *call, nodeZone int) {
	c.sent, c.n = w.now, w.next()
	w.res.attempted(w.now)
	c.q.attempts++
	if w.cut(nodeZone, c.box.zone) {
		c.end = endNoConn // no answer to the first packet
		w.after(min(time.Second, max(c.deadline-w.now, 0)), evAnswer, 0, c)
		c.over = true
		return
	}
	w.after(w.way(), evReach, 0, c)
}

// reach has a call arrive at its box.
func (c *call) reach() {
	b, w := c.box, c.q.w
	switch {
	case c.barred || c.left:
		c.answer(endUnsent)
		return
	case !b.up:
		c.answer(endNoConn)
		return
	}
	c.begun = true
	toldAt := b.toldAt
	if n, ok := c.from.(*shipped); ok && n.merged != nil {
		toldAt = n.merged.toldAt(b)
	}
	if toldAt >= 0 && w.now-toldAt > drainGrace {
		w.res.AfterDrain++
	}
	class := &w.s.Classes[c.q.class]
	c.work = w.draw(class)
	b.push(c.work, time.Duration(class.Work).Seconds())
	switch {
	case b.fell:
		c.answer(endBroken)
	case b.state == draining:
		c.answer(endDrains)
	case b.busy+len(b.waiting) >= b.Cores+b.Queue:
		c.answer(endFull)
	case b.failing > 0 && w.other.Float64() < b.failing:
		c.q.ran()
		c.answer(endError)
	default:
		c.life = b.life
		b.waiting = append(b.waiting, c)
		b.begin()
		if !c.over && c.deadline > w.now { // silence ends with the deadline
			w.after(c.deadline-w.now, evFunc, 0, func() { c.answer(endSilent) })
		}
	}
}

// answer ends a call: its node hears of it after the way back.
func (c *call) answer(e end) {
	if c.over {
		return
	}
	c.over, c.end = true, e
	c.held = int(float64(c.box.busy+len(c.box.waiting)) * c.box.lie)
	in := time.Duration(0)
	if e != endUnsent && e != endSilent {
		in = c.q.w.way()
	}
	c.q.w.after(in, evAnswer, 0, c)
}

// begin has waiting calls worked on while there are cores.
func (b *box) begin() {
	for !b.hung && b.up && b.w.now >= b.pausedTo && b.busy < b.Cores && len(b.waiting) > 0 {
		c := b.waiting[0]
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
		c.q.ran() // also where nobody waits any more: a cancel halts nothing
		b.busy++
		b.running[c] = struct{}{}
		b.w.after(time.Duration(c.work*b.slow/b.Speed/b.warmth()*float64(time.Second)), evFinish, int64(b.life), c)
	}
}

func (b *box) finish(c *call, life int) {
	if life != b.life {
		return // it died meanwhile
	}
	if b.hung || b.w.now < b.pausedTo {
		b.w.after(max(10*time.Millisecond, b.pausedTo-b.w.now), evFinish, int64(life), c)
		return
	}
	b.busy--
	delete(b.running, c)
	b.worked += c.work
	b.served++
	c.answer(endServed)
	if b.w.finished != nil {
		b.w.finished(b)
	}
	b.begin()
}

// crash ends the process: what it has breaks.
func (b *box) crash() {
	b.life++
	b.up = false
	held := make([]*call, 0, len(b.running)+len(b.waiting))
	for c := range b.running {
		held = append(held, c)
	}
	slices.SortFunc(held, func(x, y *call) int { return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(x.n, y.n)) })
	held = append(held, b.waiting...)
	clear(b.running)
	b.waiting, b.busy = nil, 0
	for _, c := range held {
		c.answer(endBroken)
	}
}
