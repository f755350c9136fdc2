package life

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// A world simulates what surrounds a Life: connections with requests, the accept queue of a listener, and a platform that sends
// SIGKILL. It carries out the actions as the real node does, and checks the invariants.
type world struct {
	t        failer
	l        *Life
	terms    Terms
	now      time.Duration
	log      []string
	deadline time.Duration // the longest in the settings
	conns    []conn
	queue    []time.Duration // requests that wait to be accepted, each with the time until which it waits

	opened, accepting, ready, closes, ended bool
	answerBy                                time.Duration
	toldAt                                  time.Duration
	kill                                    time.Duration // when SIGKILL may come
	lag                                     time.Duration // of the loop: each answer is that late
	mute                                    bool          // backends never answer: answers come at their deadline, or by answerBy
	lost                                    int           // requests accepted and not answered
	catches, inHand                         bool          // a connection is accepted while the listener closes, and not counted yet
}

type conn struct {
	half, asked bool
	due         time.Duration // when the answer is due
}

type failer interface{ Fatalf(string, ...any) }

func (w *world) say(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%v "+format, append([]any{w.now}, args...)...))
}

func (w *world) fail(format string, args ...any) {
	w.t.Fatalf("%s; %s; %v", fmt.Sprintf(format, args...), w.l, w.log)
}

// tell passes an event to the Life and carries out its actions.
func (w *world) tell(ev Event) {
	before := w.l.Phase()
	for _, a := range w.l.Handle(w.now, ev, nil) {
		switch a.Kind {
		case BeReady:
			if !w.opened || w.ready || w.l.Told() {
				w.fail("BeReady twice, before Opened or during the shutdown; opened %t", w.opened)
			}
			w.ready = true
		case BeUnready:
			w.ready = false
		case AnswerBy:
			if w.answerBy > 0 && a.At > w.answerBy {
				w.fail("AnswerBy moved from %v to the later %v", w.answerBy, a.At)
			}
			w.answerBy = a.At
			for i := range w.conns {
				w.conns[i].due = min(w.conns[i].due, max(w.answerBy, w.now)+w.lag)
			}
		case StopAccepting:
			w.accepting = false
			w.lost += len(w.queue)
			w.queue = nil
			w.inHand = w.catches
			w.say("stops accepting")
		case CloseAnswered:
			w.closes = true
		case CloseQuiet, CloseHalf:
			kept := w.conns[:0]
			for _, c := range w.conns {
				if c.asked || c.half && a.Kind == CloseQuiet {
					kept = append(kept, c)
				}
			}
			w.conns = kept
		case End:
			w.ended = true
			if w.inHand {
				w.lost++
			}
			for _, c := range w.conns {
				if c.asked {
					w.lost++
				}
			}
			w.say("ends, %d connections", len(w.conns))
		}
	}
	if w.l.Phase() < before {
		w.fail("phase went back from %s to %s", before, w.l.Phase())
	}
	if w.l.Told() && w.ready {
		w.fail("ready after the shutdown began")
	}
}

func newWorld(t failer, deadline time.Duration) *world { return newWorldOn(t, Platform, deadline) }

func newWorldOn(t failer, terms Terms, deadline time.Duration) *world {
	return &world{t: t, l: New(terms, deadline), terms: terms, deadline: deadline, now: time.Second}
}

func (w *world) open() {
	w.opened, w.accepting = true, true
	w.tell(Event{Kind: Opened})
}

// sigterm sends SIGTERM.
func (w *world) sigterm(followed bool) {
	if w.toldAt == 0 {
		d := min(w.deadline, w.terms.Most)
		if d == 0 {
			d = w.terms.Most
		}
		w.toldAt, w.kill = w.now, w.now+d+w.terms.Grace
	}
	w.say("SIGTERM")
	w.tell(Event{Kind: Told, Followed: followed})
}

// change applies new settings. The platform computes the time of SIGKILL from the settings at SIGTERM.
func (w *world) change(deadline time.Duration) {
	w.deadline = deadline
	w.tell(Event{Kind: Changed, Deadline: deadline})
}

// ask lets a client send a complete request, or half of one.
func (w *world) ask(whole bool, budget time.Duration) {
	if !w.accepting || w.toldAt > 0 && w.now-w.toldAt > w.terms.Still+650*ms {
		return // no new connections arrive any more
	}
	w.conns = append(w.conns, conn{half: true, asked: whole, due: w.due(budget)})
	w.say("a request, whole %t", whole)
}

// due returns when a request that arrives now is answered.
func (w *world) due(budget time.Duration) time.Duration {
	at := w.now + budget
	if !w.mute {
		at = w.now + min(budget, 30*ms)
	}
	if w.answerBy > 0 {
		at = min(at, max(w.answerBy, w.now))
	}
	return at + w.lag
}

// step advances the time, answers the requests that are due, and passes a snapshot to the Life.
func (w *world) step(d time.Duration) {
	w.now += d
	kept := w.conns[:0]
	for _, c := range w.conns {
		switch {
		case !c.asked || c.due > w.now:
			kept = append(kept, c)
		case !w.closes:
			kept = append(kept, conn{})
		}
	}
	w.conns = kept
	if w.ended {
		return
	}
	// There is room as soon as all open requests have been answered.
	for len(w.queue) > 0 && (w.now >= w.queue[0] || w.answerBy > 0 && w.now >= w.answerBy+w.lag) {
		w.queue = w.queue[1:]
		w.ask(true, w.deadline)
	}
	if w.toldAt > 0 && w.now >= w.kill {
		w.fail("SIGKILL")
	}
	ev := Event{Kind: Seen, Conns: len(w.conns), Queued: len(w.queue) > 0 || w.inHand, Lag: w.lag}
	if w.inHand {
		w.inHand = false
		w.conns = append(w.conns, conn{half: true, asked: true, due: w.due(w.deadline)})
	}
	for _, c := range w.conns {
		if c.asked {
			ev.Asked++
		}
	}
	w.tell(ev)
}

// Runs a few events in every order at a few instants. Guards against accepted requests without an answer, readiness reported to
// clients that are not accepted, and a node that has not ended by itself when SIGKILL may come.
func TestAllOrders(t *testing.T) {
	if n := explore(t); n < 100000 {
		t.Errorf("only %d sequences", n)
	}
}

func explore(t failer) (lives int) {
	events := []struct {
		name string
		do   func(w *world, deadline time.Duration)
	}{
		{"whole", func(w *world, d time.Duration) { w.ask(true, d) }},
		{"half", func(w *world, d time.Duration) { w.ask(false, d) }},
		{"completes", func(w *world, d time.Duration) {
			for i, c := range w.conns {
				if c.half && !c.asked {
					w.conns[i].asked, w.conns[i].due = true, w.due(d)
					return
				}
			}
		}},
		{"request on an idle connection", func(w *world, d time.Duration) {
			for i, c := range w.conns {
				if !c.half {
					w.conns[i] = conn{half: true, asked: true, due: w.due(d)}
					return
				}
			}
		}},
		{"in the accept queue", func(w *world, d time.Duration) {
			if w.accepting && (w.toldAt == 0 || w.now-w.toldAt <= w.terms.Still) {
				w.queue = append(w.queue, w.now+150*ms) // until there is room
			}
		}},
		{"in a full accept queue", func(w *world, d time.Duration) {
			if w.accepting && (w.toldAt == 0 || w.now-w.toldAt <= w.terms.Still) {
				w.queue = append(w.queue, w.now+650*ms)
			}
		}},
		{"SIGTERM", func(w *world, d time.Duration) { w.sigterm(false) }},
		{"shorter settings", func(w *world, d time.Duration) { w.change(d / 2) }},
		{"longer settings", func(w *world, d time.Duration) { w.change(2 * d) }},
		{"list from a source", func(w *world, d time.Duration) { w.tell(Event{Kind: Heard}) }},
	}
	gaps := []time.Duration{0, 40 * ms, 590 * ms}
	for _, place := range []struct {
		terms    Terms
		deadline time.Duration
	}{
		{Platform, 300 * ms}, {Platform, time.Second}, {Platform, 3 * time.Second}, {Platform, 12 * time.Second},
		{Own, 1200 * ms}, {Own, 3 * time.Second},
	} {
		for _, lag := range []time.Duration{0, 120 * ms} {
			const length = 3
			for code := range pow(len(events), length) * pow(len(gaps), length) {
				w := newWorldOn(t, place.terms, place.deadline)
				w.lag, w.mute = lag, code%2 == 0
				w.open()
				w.ask(true, place.deadline)
				for range length {
					ev := events[code%len(events)]
					code /= len(events)
					gap := gaps[code%len(gaps)]
					code /= len(gaps)
					w.say("%s", ev.name)
					ev.do(w, place.deadline)
					w.run(gap)
				}
				w.sigterm(false)
				w.run(5*time.Second + 2*place.deadline)
				if !w.ended {
					w.fail("the node does not end")
				}
				if w.lost > 0 {
					w.fail("%d accepted requests have no answer", w.lost)
				}
				lives++
			}
		}
	}
	return lives
}

// run advances the time in steps as long as those of the real node.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end && !w.ended; {
		w.step(min(10*ms, end-w.now))
	}
}

func pow(x, n int) int {
	p := 1
	for range n {
		p *= x
	}
	return p
}

// Checks the instants of a shutdown, from the shortest to the longest deadlines. Guards against phases that don't fit before SIGKILL,
// new connections that are refused while they may still arrive, and requests that are cut off while there is time left.
func TestInstants(t *testing.T) {
	for _, c := range []struct{ deadline, accepts, answers, end time.Duration }{
		{50 * ms, 550 * ms, 400 * ms, 550 * ms},
		{300 * ms, 600 * ms, 650 * ms, 800 * ms},
		{400 * ms, 600 * ms, 750 * ms, 900 * ms},
		{time.Second, 600 * ms, 1350 * ms, 1500 * ms},
		{3 * time.Second, 600 * ms, 3350 * ms, 3500 * ms},
		{12 * time.Second, 600 * ms, 3350 * ms, 3500 * ms},
		{0, 600 * ms, 3350 * ms, 3500 * ms}, // not known
	} {
		w := newWorld(t, c.deadline)
		w.mute = true
		w.open()
		w.tell(Event{Kind: Heard})
		w.ask(true, time.Minute)
		w.sigterm(false)
		at := w.now
		for w.accepting {
			w.step(10 * ms)
		}
		accepts := w.now - at
		for !w.ended {
			w.step(10 * ms)
		}
		if accepts < c.accepts || accepts > c.accepts+20*ms || w.answerBy-at != c.answers || w.now-at > c.end+10*ms || w.lost > 0 {
			t.Errorf("%v: accepts for %v, answers by %v, ends after %v, lost %d; want %v", c.deadline, accepts, w.answerBy-at, w.now-at, w.lost, c)
		}
	}
}

// Guards against a node without connections that ends while new ones may still arrive, and against losing a connection that is
// accepted while the listener closes.
func TestEmptyNodeAccepts(t *testing.T) {
	w := newWorld(t, time.Second)
	w.catches = true
	w.open()
	w.sigterm(false)
	at := w.now
	w.run(time.Minute)
	if d := w.now - at; !w.ended || d < w.l.acceptFor() || w.lost > 0 {
		t.Errorf("ended %t after %v, lost %d", w.ended, d, w.lost)
	}
}

// Guards against a standalone server whose shutdown waits for clients. Idle connections close as soon as the server stops
// accepting, and it ends with the last answer, long before the shutdown timeout.
func TestOwnTermsKeepNobody(t *testing.T) {
	w := newWorldOn(t, Own, 10*time.Second)
	w.open()
	w.conns = append(w.conns, conn{}) // idle
	w.ask(true, 10*time.Second)
	w.ask(false, 0) // half a request, until near the end
	w.sigterm(false)
	at := w.now
	w.run(500 * ms)
	if len(w.conns) != 1 || !w.conns[0].half || !w.closes {
		t.Errorf("after %v: %v, closes %t", w.now-at, w.conns, w.closes)
	}
	w.conns[0].asked, w.conns[0].due = true, w.due(time.Second)
	w.run(time.Minute)
	if d := w.now - at; !w.ended || d > time.Second || w.lost > 0 {
		t.Errorf("ended %t after %v, lost %d", w.ended, d, w.lost)
	}
}

// Guards against a request that never ends holding the process until SIGKILL. The request is cut off before and reported.
func TestStuckRequestIsCut(t *testing.T) {
	l := New(Platform, time.Second)
	l.Handle(0, Event{Kind: Opened}, nil)
	l.Handle(0, Event{Kind: Told}, nil)
	for now := time.Duration(0); now < time.Second+Platform.Grace; now += 10 * ms {
		for _, a := range l.Handle(now, Event{Kind: Seen, Conns: 1, Asked: 1}, nil) {
			if a.Kind == End {
				if now <= time.Second+Platform.Grace-Late || a.Left != 1 {
					t.Errorf("cut at %v, %d left", now, a.Left)
				}
				return
			}
		}
	}
	t.Error("SIGKILL")
}

// Guards against waiting until the last moment for connections without a request. The exit of the process takes time too, and
// more on a busy machine.
func TestLingeringConnectionsLeaveRoomForTheExit(t *testing.T) {
	l := New(Platform, time.Second)
	l.Handle(0, Event{Kind: Opened}, nil)
	l.Handle(0, Event{Kind: Told}, nil)
	kill := time.Second + Platform.Grace
	for now := time.Duration(0); now < kill; now += 10 * ms {
		for _, a := range l.Handle(now, Event{Kind: Seen, Conns: 1}, nil) {
			if a.Kind == End {
				if now > kill-Late/2 {
					t.Errorf("ends at %v, SIGKILL may come at %v", now, kill)
				}
				return
			}
		}
	}
	t.Error("SIGKILL")
}

// Guards against a short lag that shortens requests. Only a lag that is present when the last answers are due makes them due sooner.
func TestLagThatPasses(t *testing.T) {
	w := newWorld(t, 3*time.Second)
	w.open()
	w.sigterm(false)
	at := w.now
	w.lag = time.Second
	w.step(10 * ms)
	w.lag = 0
	w.run(time.Second)
	if by := w.answerBy - at; by != 3*time.Second+Platform.Grace-Late-AnswerLeast {
		t.Errorf("answers are due after %v", by)
	}
}

// Guards against lost requests when timers fire 200 ms late and the loop is slow.
func TestLateTimers(t *testing.T) {
	for deadline, lag := range map[time.Duration]time.Duration{300 * ms: 120 * ms, time.Second: 120 * ms, 3 * time.Second: 400 * ms} {
		w := newWorld(t, deadline)
		w.lag, w.mute = lag, true
		w.open()
		w.ask(true, time.Minute)
		w.sigterm(false)
		for !w.ended {
			w.ask(true, time.Minute) // for as long as connections are accepted
			w.step(199 * ms)
		}
		if w.lost > 0 {
			t.Errorf("%v: lost %d: %v", deadline, w.lost, w.log)
		}
	}
}

// Guards against faults in unusual shutdowns: SIGTERM before the first client ends the node at once, a node with a successor accepts
// no more, and a second SIGTERM changes nothing. A node that gets no list from a source in time reports ready with its cached one.
func TestOddEnds(t *testing.T) {
	w := newWorld(t, time.Second)
	w.sigterm(false)
	if !w.ended {
		t.Error("SIGTERM before the first client does not end the node")
	}
	w = newWorld(t, time.Second)
	w.open()
	w.ask(true, time.Second)
	w.sigterm(true)
	if w.accepting || !w.closes {
		t.Error("still accepts, or keeps connections open, with a successor")
	}
	w.run(time.Second)
	w.sigterm(true)
	w.run(time.Second)
	if !w.ended || w.lost > 0 {
		t.Errorf("with a successor: ended %t, lost %d", w.ended, w.lost)
	}
	w = newWorld(t, time.Second)
	w.open()
	w.now += RememberFor - ms
	w.tell(Event{Kind: Tick})
	early := w.ready
	w.now += ms
	if w.tell(Event{Kind: Tick}); early || !w.ready {
		t.Errorf("ready before RememberFor %t, after it %t", early, w.ready)
	}
}
