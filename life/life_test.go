package life

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// A simulation models what surrounds a Life: connections with requests, the accept queue of a listener, and a platform that sends
// SIGKILL. It carries out the actions as the real node does, and checks the invariants.
type simulation struct {
	t        fataler
	life     *Life
	terms    Terms
	now      time.Duration
	log      []string
	deadline time.Duration // the longest in the settings
	conns    []conn
	queue    []time.Duration // requests that wait to be accepted, each with the time until which it waits

	opened, accepting, ready, closesAfterAnswer, ended bool
	answerBy                                           time.Duration
	shutdownAt                                         time.Duration
	sigkillAt                                          time.Duration // when SIGKILL may come
	lag                                                time.Duration // of the loop: each answer is that late
	neverAnswers                                       bool          // backends never answer: answers come at their deadline, or by answerBy
	unanswered                                         int           // requests accepted and not answered
	acceptsOnClose, uncounted                          bool          // a connection is accepted while the listener closes, and not counted yet
}

type conn struct {
	started, complete bool
	due               time.Duration // when the answer is due
}

type fataler interface{ Fatalf(string, ...any) }

func (s *simulation) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%v "+format, append([]any{s.now}, args...)...))
}

func (s *simulation) fail(format string, args ...any) {
	s.t.Fatalf("%s; %s; %v", fmt.Sprintf(format, args...), s.life, s.log)
}

// handle passes an event to the Life and carries out its actions.
func (s *simulation) handle(ev Event) {
	before := s.life.Phase()
	for _, a := range s.life.Handle(s.now, ev, nil) {
		switch a.Kind {
		case ReportReady:
			if !s.opened || s.ready || s.life.ShuttingDown() {
				s.fail("ReportReady twice, before Opened or during the shutdown; opened %t", s.opened)
			}
			s.ready = true
		case ReportUnready:
			s.ready = false
		case AnswerBy:
			if s.answerBy > 0 && a.At > s.answerBy {
				s.fail("AnswerBy moved from %v to the later %v", s.answerBy, a.At)
			}
			s.answerBy = a.At
			for i := range s.conns {
				s.conns[i].due = min(s.conns[i].due, max(s.answerBy, s.now)+s.lag)
			}
		case StopAccepting:
			s.accepting = false
			s.unanswered += len(s.queue)
			s.queue = nil
			s.uncounted = s.acceptsOnClose
			s.logf("stops accepting")
		case CloseAfterAnswer:
			s.closesAfterAnswer = true
		case CloseIdle, CloseIncomplete:
			kept := s.conns[:0]
			for _, c := range s.conns {
				if c.complete || c.started && a.Kind == CloseIdle {
					kept = append(kept, c)
				}
			}
			s.conns = kept
		case End:
			s.ended = true
			if s.uncounted {
				s.unanswered++
			}
			for _, c := range s.conns {
				if c.complete {
					s.unanswered++
				}
			}
			s.logf("ends, %d connections", len(s.conns))
		}
	}
	if s.life.Phase() < before {
		s.fail("phase went back from %s to %s", before, s.life.Phase())
	}
	if s.life.ShuttingDown() && s.ready {
		s.fail("ready after the shutdown began")
	}
}

func newSimulation(t fataler, deadline time.Duration) *simulation {
	return newSimulationWithTerms(t, Platform, deadline)
}

func newSimulationWithTerms(t fataler, terms Terms, deadline time.Duration) *simulation {
	return &simulation{t: t, life: New(terms, deadline), terms: terms, deadline: deadline, now: time.Second}
}

func (s *simulation) open() {
	s.opened, s.accepting = true, true
	s.handle(Event{Kind: AcceptStarted})
}

// sigterm sends SIGTERM.
func (s *simulation) sigterm(hasSuccessor bool) {
	if s.shutdownAt == 0 {
		d := min(s.deadline, s.terms.MaxDeadline)
		if d == 0 {
			d = s.terms.MaxDeadline
		}
		s.shutdownAt, s.sigkillAt = s.now, s.now+d+s.terms.Grace
	}
	s.logf("SIGTERM")
	s.handle(Event{Kind: ShutdownRequested, HasSuccessor: hasSuccessor})
}

// changeSettings applies new settings. The platform computes the time of SIGKILL from the settings at SIGTERM.
func (s *simulation) changeSettings(deadline time.Duration) {
	s.deadline = deadline
	s.handle(Event{Kind: SettingsChanged, Deadline: deadline})
}

// request lets a client send a complete request, or half of one.
func (s *simulation) request(whole bool, budget time.Duration) {
	if !s.accepting || s.shutdownAt > 0 && s.now-s.shutdownAt > s.terms.NewConnectionsWindow+650*ms {
		return // no new connections arrive any more
	}
	s.conns = append(s.conns, conn{started: true, complete: whole, due: s.due(budget)})
	s.logf("a request, whole %t", whole)
}

// due returns when a request that arrives now is answered.
func (s *simulation) due(budget time.Duration) time.Duration {
	at := s.now + budget
	if !s.neverAnswers {
		at = s.now + min(budget, 30*ms)
	}
	if s.answerBy > 0 {
		at = min(at, max(s.answerBy, s.now))
	}
	return at + s.lag
}

// step advances the time, answers the requests that are due, and passes a snapshot to the Life.
func (s *simulation) step(d time.Duration) {
	s.now += d
	kept := s.conns[:0]
	for _, c := range s.conns {
		switch {
		case !c.complete || c.due > s.now:
			kept = append(kept, c)
		case !s.closesAfterAnswer:
			kept = append(kept, conn{})
		}
	}
	s.conns = kept
	if s.ended {
		return
	}
	// There is room as soon as all open requests have been answered.
	for len(s.queue) > 0 && (s.now >= s.queue[0] || s.answerBy > 0 && s.now >= s.answerBy+s.lag) {
		s.queue = s.queue[1:]
		s.request(true, s.deadline)
	}
	if s.shutdownAt > 0 && s.now >= s.sigkillAt {
		s.fail("SIGKILL")
	}
	ev := Event{Kind: Snapshot, Conns: len(s.conns), MayHaveQueue: len(s.queue) > 0 || s.uncounted, Lag: s.lag}
	if s.uncounted {
		s.uncounted = false
		s.conns = append(s.conns, conn{started: true, complete: true, due: s.due(s.deadline)})
	}
	for _, c := range s.conns {
		if c.complete {
			ev.OpenRequests++
		}
	}
	s.handle(ev)
}

// Runs a few events in every order at a few instants. Guards against accepted requests without an answer, readiness reported to
// clients that are not accepted, and a node that has not ended by itself when SIGKILL may come.
func TestEventsInAnyOrderLoseNoRequest(t *testing.T) {
	if n := explore(t); n < 100000 {
		t.Errorf("only %d sequences", n)
	}
}

func explore(t fataler) (sequences int) {
	events := []struct {
		name string
		do   func(s *simulation, deadline time.Duration)
	}{
		{"whole", func(s *simulation, d time.Duration) { s.request(true, d) }},
		{"half", func(s *simulation, d time.Duration) { s.request(false, d) }},
		{"completes", func(s *simulation, d time.Duration) {
			for i, c := range s.conns {
				if c.started && !c.complete {
					s.conns[i].complete, s.conns[i].due = true, s.due(d)
					return
				}
			}
		}},
		{"request on an idle connection", func(s *simulation, d time.Duration) {
			for i, c := range s.conns {
				if !c.started {
					s.conns[i] = conn{started: true, complete: true, due: s.due(d)}
					return
				}
			}
		}},
		{"in the accept queue", func(s *simulation, d time.Duration) {
			if s.accepting && (s.shutdownAt == 0 || s.now-s.shutdownAt <= s.terms.NewConnectionsWindow) {
				s.queue = append(s.queue, s.now+150*ms) // until there is room
			}
		}},
		{"in a full accept queue", func(s *simulation, d time.Duration) {
			if s.accepting && (s.shutdownAt == 0 || s.now-s.shutdownAt <= s.terms.NewConnectionsWindow) {
				s.queue = append(s.queue, s.now+650*ms)
			}
		}},
		{"SIGTERM", func(s *simulation, d time.Duration) { s.sigterm(false) }},
		{"shorter settings", func(s *simulation, d time.Duration) { s.changeSettings(d / 2) }},
		{"longer settings", func(s *simulation, d time.Duration) { s.changeSettings(2 * d) }},
		{"list from a source", func(s *simulation, d time.Duration) { s.handle(Event{Kind: ListReceived}) }},
	}
	gaps := []time.Duration{0, 40 * ms, 590 * ms}
	for _, setup := range []struct {
		terms    Terms
		deadline time.Duration
	}{
		{Platform, 300 * ms}, {Platform, time.Second}, {Platform, 3 * time.Second}, {Platform, 12 * time.Second},
		{Standalone, 1200 * ms}, {Standalone, 3 * time.Second},
	} {
		for _, lag := range []time.Duration{0, 120 * ms} {
			const length = 3
			for code := range pow(len(events), length) * pow(len(gaps), length) {
				s := newSimulationWithTerms(t, setup.terms, setup.deadline)
				s.lag, s.neverAnswers = lag, code%2 == 0
				s.open()
				s.request(true, setup.deadline)
				for range length {
					ev := events[code%len(events)]
					code /= len(events)
					gap := gaps[code%len(gaps)]
					code /= len(gaps)
					s.logf("%s", ev.name)
					ev.do(s, setup.deadline)
					s.run(gap)
				}
				s.sigterm(false)
				s.run(5*time.Second + 2*setup.deadline)
				if !s.ended {
					s.fail("the node does not end")
				}
				if s.unanswered > 0 {
					s.fail("%d accepted requests have no answer", s.unanswered)
				}
				sequences++
			}
		}
	}
	return sequences
}

// run advances the time in steps as long as those of the real node.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end && !s.ended; {
		s.step(min(10*ms, end-s.now))
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
func TestShutdownTimesByDeadline(t *testing.T) {
	for _, c := range []struct{ deadline, accepts, answers, end time.Duration }{
		{50 * ms, 550 * ms, 400 * ms, 550 * ms},
		{300 * ms, 600 * ms, 650 * ms, 800 * ms},
		{400 * ms, 600 * ms, 750 * ms, 900 * ms},
		{time.Second, 600 * ms, 1350 * ms, 1500 * ms},
		{3 * time.Second, 600 * ms, 3350 * ms, 3500 * ms},
		{12 * time.Second, 600 * ms, 3350 * ms, 3500 * ms},
		{0, 600 * ms, 3350 * ms, 3500 * ms}, // not known
	} {
		s := newSimulation(t, c.deadline)
		s.neverAnswers = true
		s.open()
		s.handle(Event{Kind: ListReceived})
		s.request(true, time.Minute)
		s.sigterm(false)
		at := s.now
		for s.accepting {
			s.step(10 * ms)
		}
		accepts := s.now - at
		for !s.ended {
			s.step(10 * ms)
		}
		if accepts < c.accepts || accepts > c.accepts+20*ms || s.answerBy-at != c.answers || s.now-at > c.end+10*ms || s.unanswered > 0 {
			t.Errorf("%v: accepts for %v, answers by %v, ends after %v, lost %d; want %v",
				c.deadline, accepts, s.answerBy-at, s.now-at, s.unanswered, c)
		}
	}
}

// Guards against a node without connections that ends while new ones may still arrive, and against losing a connection that is
// accepted while the listener closes.
func TestNodeWithoutConnectionsKeepsAccepting(t *testing.T) {
	s := newSimulation(t, time.Second)
	s.acceptsOnClose = true
	s.open()
	s.sigterm(false)
	at := s.now
	s.run(time.Minute)
	if d := s.now - at; !s.ended || d < s.life.minAcceptDuration() || s.unanswered > 0 {
		t.Errorf("ended %t after %v, lost %d", s.ended, d, s.unanswered)
	}
}

// Guards against a standalone server whose shutdown waits for clients. Idle connections close as soon as the server stops
// accepting, and it ends with the last answer, long before the shutdown timeout.
func TestStandaloneShutdownClosesIdleConnections(t *testing.T) {
	s := newSimulationWithTerms(t, Standalone, 10*time.Second)
	s.open()
	s.conns = append(s.conns, conn{}) // idle
	s.request(true, 10*time.Second)
	s.request(false, 0) // half a request, until near the end
	s.sigterm(false)
	at := s.now
	s.run(500 * ms)
	if len(s.conns) != 1 || !s.conns[0].started || !s.closesAfterAnswer {
		t.Errorf("after %v: %v, closes %t", s.now-at, s.conns, s.closesAfterAnswer)
	}
	s.conns[0].complete, s.conns[0].due = true, s.due(time.Second)
	s.run(time.Minute)
	if d := s.now - at; !s.ended || d > time.Second || s.unanswered > 0 {
		t.Errorf("ended %t after %v, lost %d", s.ended, d, s.unanswered)
	}
}

// Guards against a request that never ends holding the process until SIGKILL. The request is cut off before and reported.
func TestStuckRequestIsCutOffBeforeSIGKILL(t *testing.T) {
	l := New(Platform, time.Second)
	l.Handle(0, Event{Kind: AcceptStarted}, nil)
	l.Handle(0, Event{Kind: ShutdownRequested}, nil)
	for now := time.Duration(0); now < time.Second+Platform.Grace; now += 10 * ms {
		for _, a := range l.Handle(now, Event{Kind: Snapshot, Conns: 1, OpenRequests: 1}, nil) {
			if a.Kind == End {
				if now <= time.Second+Platform.Grace-ShutdownMargin || a.Unanswered != 1 {
					t.Errorf("cut at %v, %d left", now, a.Unanswered)
				}
				return
			}
		}
	}
	t.Error("SIGKILL")
}

// Guards against waiting until the last moment for connections without a request. The exit of the process takes time too, and
// more on a busy machine.
func TestConnectionsWithoutRequestLeaveTimeToExit(t *testing.T) {
	l := New(Platform, time.Second)
	l.Handle(0, Event{Kind: AcceptStarted}, nil)
	l.Handle(0, Event{Kind: ShutdownRequested}, nil)
	sigkillAt := time.Second + Platform.Grace
	for now := time.Duration(0); now < sigkillAt; now += 10 * ms {
		for _, a := range l.Handle(now, Event{Kind: Snapshot, Conns: 1}, nil) {
			if a.Kind == End {
				if now > sigkillAt-ShutdownMargin/2 {
					t.Errorf("ends at %v, SIGKILL may come at %v", now, sigkillAt)
				}
				return
			}
		}
	}
	t.Error("SIGKILL")
}

// Guards against a short lag that shortens requests. Only a lag that is present when the last answers are due makes them due sooner.
func TestPassingLagShortensNoRequest(t *testing.T) {
	s := newSimulation(t, 3*time.Second)
	s.open()
	s.sigterm(false)
	at := s.now
	s.lag = time.Second
	s.step(10 * ms)
	s.lag = 0
	s.run(time.Second)
	if by := s.answerBy - at; by != 3*time.Second+Platform.Grace-ShutdownMargin-MinAnswerMargin {
		t.Errorf("answers are due after %v", by)
	}
}

// Guards against lost requests when timers fire 200 ms late and the loop is slow.
func TestLateTimersLoseNoRequest(t *testing.T) {
	for deadline, lag := range map[time.Duration]time.Duration{300 * ms: 120 * ms, time.Second: 120 * ms, 3 * time.Second: 400 * ms} {
		s := newSimulation(t, deadline)
		s.lag, s.neverAnswers = lag, true
		s.open()
		s.request(true, time.Minute)
		s.sigterm(false)
		for !s.ended {
			s.request(true, time.Minute) // for as long as connections are accepted
			s.step(199 * ms)
		}
		if s.unanswered > 0 {
			t.Errorf("%v: lost %d: %v", deadline, s.unanswered, s.log)
		}
	}
}

// Guards against faults in unusual shutdowns: SIGTERM before the first client ends the node at once, a node with a successor accepts
// no more, and a second SIGTERM changes nothing. A node that gets no list from a source in time reports ready with its cached one.
func TestUnusualShutdowns(t *testing.T) {
	s := newSimulation(t, time.Second)
	s.sigterm(false)
	if !s.ended {
		t.Error("SIGTERM before the first client does not end the node")
	}
	s = newSimulation(t, time.Second)
	s.open()
	s.request(true, time.Second)
	s.sigterm(true)
	if s.accepting || !s.closesAfterAnswer {
		t.Error("still accepts, or keeps connections open, with a successor")
	}
	s.run(time.Second)
	s.sigterm(true)
	s.run(time.Second)
	if !s.ended || s.unanswered > 0 {
		t.Errorf("with a successor: ended %t, lost %d", s.ended, s.unanswered)
	}
	s = newSimulation(t, time.Second)
	s.open()
	s.now += CachedListGrace - ms
	s.handle(Event{Kind: Tick})
	early := s.ready
	s.now += ms
	if s.handle(Event{Kind: Tick}); early || !s.ready {
		t.Errorf("ready before CachedListGrace %t, after it %t", early, s.ready)
	}
}
