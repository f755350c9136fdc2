// Package life decides the lifecycle of a node: when it accepts clients and when it reports ready. For the shutdown it decides
// until when each request is answered, which connections close, and when the process ends. It has no sockets, no clock and no
// goroutine. Events go in with the time, actions come out, and the same events give the same actions.
//
// Terms state what the surroundings guarantee a node during a shutdown. On the platform, SIGKILL comes no sooner than the longest
// deadline plus Grace after SIGTERM, new connections arrive for at most Still, and clients keep a connection for as long as it is
// open. The operator of a standalone installation sets how long a shutdown may take.
package life

import (
	"fmt"
	"time"
)

// Terms are the guarantees that hold during the shutdown of a node.
type Terms struct {
	Most  time.Duration // the longest deadline that counts for the time between SIGTERM and SIGKILL
	Grace time.Duration // time until SIGKILL beyond the deadline
	Still time.Duration // how long new connections may arrive after SIGTERM
	Stay  bool          // clients keep to an open connection and may find no other: keep it open for long
}

// Platform holds the terms of the platform.
var Platform = Terms{Most: 3 * time.Second, Grace: 700 * time.Millisecond, Still: 400 * time.Millisecond, Stay: true}

// Own holds the terms of a standalone installation. Its operator sets the shutdown timeout, which New gets in place of a deadline.
var Own = Terms{Most: 24 * time.Hour}

const (
	// Late is the largest delay of a timer, and so of every action here, on a busy machine. A node aims to end this long before
	// SIGKILL may come. Unanswered requests get up to half of it more.
	Late = 200 * time.Millisecond
	// QuietFor is how long the accept queue of the listener has to stay empty before it counts as drained.
	QuietFor = 50 * time.Millisecond
	// AnswerLeast is the least time between the last answers and the end of the process: answers that are due at the same instant
	// are encoded and written one by one. If the measured lag of the loop and the writes is large, the time is lagTimes the lag,
	// at most one part in lagParts of the whole shutdown.
	AnswerLeast        = 150 * time.Millisecond
	lagTimes, lagParts = 2, 2
	// ServeLeast is how long before its end a node stops taking requests on persistent connections. Nearly all requests are
	// answered in that time.
	ServeLeast = 900 * time.Millisecond
	// RememberFor is how long a node with a cached endpoint list waits for one from a source before it reports ready. The cached
	// list may name backends that have been replaced since.
	RememberFor = 300 * time.Millisecond
)

// Phase is a phase of the lifecycle.
type Phase uint8

// Phases, in order. A node never goes back to an earlier one.
const (
	Starting    Phase = iota // accepts no clients
	Remembering              // accepts clients; no source has sent an endpoint list yet
	Serving                  // reports ready, as long as some backend can be sent to
	Leaving                  // shutdown has begun: not ready, still accepting
	Staying                  // accepts no connections, keeps the open ones
	Closing                  // each connection closes with its answer; near the end, idle ones close at once
	Last                     // all requests should have their answers: connections with a partial request close too
	Ended
)

// String returns the name of a phase.
func (p Phase) String() string {
	return [...]string{"starting", "remembering", "serving", "leaving", "staying", "closing", "last", "ended"}[p]
}

// Kind is the kind of an event.
type Kind uint8

// Kinds of events. Told comes with SIGTERM, and only the first one counts. The others may come at any time.
const (
	Opened  Kind = iota // clients are accepted from now on
	Heard               // a source has sent an endpoint list
	Told                // the shutdown begins; Followed: a successor has taken over
	Changed             // settings have changed; Deadline is the longest one now
	Seen                // a snapshot of Conns, Asked, Queued and Lag
	Tick                // time has passed
)

// Event is an input of Handle.
type Event struct {
	Kind     Kind
	Followed bool
	Deadline time.Duration // 0: not known, treated as the longest that Terms allow
	Conns    int           // open connections of clients
	Asked    int           // those of Conns with a complete request that has no answer yet
	Queued   bool          // the accept queue is full, is not empty, or can't be inspected
	Lag      time.Duration // how long posting to the loop and writing all open answers take now
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	BeReady       ActionKind = iota // report ready
	BeUnready                       // report not ready
	AnswerBy                        // answer every open and every new request by At
	StopAccepting                   // close the listener; idle connections no longer close to make room for new ones
	CloseAnswered                   // close each connection with its answer from now on
	CloseQuiet                      // close the connections on which no byte of a request has arrived
	CloseHalf                       // close also those on which no complete request has arrived
	End                             // end the process; Left requests are cut off
)

// Action is an output of Handle.
type Action struct {
	Kind ActionKind
	At   time.Duration // set for AnswerBy; same clock as the times passed to Handle
	Left int           // set for End
}

// Life is the lifecycle of one node. New returns one.
type Life struct {
	terms    Terms
	phase    Phase
	followed bool
	deadline time.Duration
	openedAt time.Duration
	heard    bool
	ready    bool

	told     time.Duration // when the shutdown began
	kill     time.Duration // the earliest time at which SIGKILL may come; it never moves later
	answerBy time.Duration
	quiet    time.Duration // since when the accept queue has been empty; -1: it is not empty
	stopped  bool          // no longer accepts connections
	closing  bool          // each answer closes its connection
}

// New returns the lifecycle of a node. deadline is the longest one in the settings; 0: not known.
func New(terms Terms, deadline time.Duration) *Life {
	return &Life{terms: terms, deadline: deadline, quiet: -1}
}

// acceptFor is the least time for which a node accepts after SIGTERM: until no new connection can arrive, even a late one.
func (l *Life) acceptFor() time.Duration { return l.terms.Still + Late }

// closes reports whether open connections may close: clients don't depend on them, or at most ServeLeast remains.
func (l *Life) closes(now time.Duration) bool { return !l.terms.Stay || now >= l.End()-ServeLeast }

// Phase returns the current phase.
func (l *Life) Phase() Phase { return l.phase }

// Told reports whether the shutdown has begun.
func (l *Life) Told() bool { return l.phase >= Leaving }

// End returns the latest time at which the node ends in normal operation: Late before SIGKILL may come. It is valid from Told on.
func (l *Life) End() time.Duration { return l.kill - Late }

// cutAt returns when the node ends even if something is open. A request has until the last moment that still leaves time for the
// process to exit. Connections without a request, which only wait for their clients to close, are not worth the risk that a busy
// machine exits late.
func (l *Life) cutAt(ev Event) time.Duration {
	if ev.Kind == Seen && ev.Asked == 0 {
		return l.kill - Late/2
	}
	return l.kill - Late/4
}

// String returns the state in short, for test failures and traces.
func (l *Life) String() string {
	return fmt.Sprintf("%s ready=%t stopped=%t closing=%t", l.phase, l.ready, l.stopped, l.closing)
}

// Handle takes one event and appends the resulting actions to out. Times may come from any clock that never goes back.
func (l *Life) Handle(now time.Duration, ev Event, out []Action) []Action {
	if l.phase == Ended {
		return out
	}
	switch ev.Kind {
	case Opened:
		if l.phase == Starting {
			l.phase, l.openedAt = Remembering, now
		}
	case Heard:
		l.heard = true
	case Changed:
		l.deadline = ev.Deadline
		if l.Told() { // SIGKILL may follow the old deadline or the new one, so the earlier of the two counts
			// A shorter deadline may put SIGKILL into the past. The platform can't have planned with an instant that has
			// passed, so the open requests still get AnswerLeast.
			l.kill = min(l.kill, max(l.killAt(), now+AnswerLeast+Late))
		}
	case Told:
		if !l.Told() {
			out = l.tell(now, ev.Followed, out)
		}
	}
	switch {
	case l.phase == Remembering && (l.heard || now-l.openedAt >= RememberFor):
		l.phase, l.ready = Serving, true
		return append(out, Action{Kind: BeReady})
	case l.Told() && l.phase != Ended:
		return l.leave(now, ev, out)
	}
	return out
}

func (l *Life) killAt() time.Duration {
	d := l.deadline
	if d <= 0 || d > l.terms.Most {
		d = l.terms.Most
	}
	return l.told + d + l.terms.Grace
}

// tell begins the shutdown.
func (l *Life) tell(now time.Duration, followed bool, out []Action) []Action {
	if l.phase == Starting { // no client has been accepted
		l.phase = Ended
		return append(out, Action{Kind: End})
	}
	l.phase, l.told, l.followed = Leaving, now, followed
	l.kill = l.killAt()
	l.ready = false
	out = append(out, Action{Kind: BeUnready})
	l.answerBy = l.kill
	if !l.terms.Stay && !followed { // busy connections close with an answer, before idle ones close
		l.closing = true
		out = append(out, Action{Kind: CloseAnswered})
	}
	if followed { // the successor takes the connections in the accept queue, and clients can reconnect to it
		l.stopped, l.closing = true, true
		l.phase = Closing
		out = append(out, Action{Kind: StopAccepting}, Action{Kind: CloseAnswered})
	}
	return out
}

// leave moves a node through the shutdown phases.
func (l *Life) leave(now time.Duration, ev Event, out []Action) []Action {
	seen, stopped := ev.Kind == Seen, l.stopped
	if by := l.End() - AnswerLeast; by < l.answerBy {
		l.answerBy = by
		out = append(out, Action{Kind: AnswerBy, At: by})
	}
	// A lag counts only once the end is so near that the answers need that time. A lag that passes before shortens no request.
	if by := l.End() - min(lagTimes*ev.Lag, (l.End()-l.told)/lagParts); seen && by <= now && now < l.answerBy {
		l.answerBy = now
		out = append(out, Action{Kind: AnswerBy, At: now})
	}
	if seen && !l.stopped {
		switch {
		case ev.Queued:
			l.quiet = -1
		case l.quiet < 0:
			l.quiet = now
		}
	}
	// Closing the listener resets the connections in its accept queue, so the queue has to be empty first.
	if l.phase == Leaving && (now-l.told >= l.acceptFor() && l.quiet >= 0 && now-l.quiet >= QuietFor || now >= l.End()) {
		l.phase, l.stopped = Staying, true
		out = append(out, Action{Kind: StopAccepting})
	}
	if l.phase == Staying && l.closes(now) {
		l.phase = Closing
		if !l.closing {
			l.closing = true
			out = append(out, Action{Kind: CloseAnswered})
		}
	}
	if l.phase == Closing && now >= l.End() {
		l.phase = Last
	}
	switch {
	case l.phase == Last && seen:
		out = append(out, Action{Kind: CloseHalf})
	case l.phase == Closing && seen && l.closes(now):
		out = append(out, Action{Kind: CloseQuiet})
	}
	switch {
	case seen && stopped && ev.Conns == 0 && !ev.Queued: // a snapshot taken after the listener was closed
		l.phase = Ended
		out = append(out, Action{Kind: End})
	case now >= l.cutAt(ev):
		l.phase = Ended
		left := 0
		if seen {
			left = ev.Asked
		}
		out = append(out, Action{Kind: End, Left: left})
	}
	return out
}
