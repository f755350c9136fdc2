// Package life decides the lifecycle of a node: when it accepts clients and when it reports ready. For the shutdown it decides
// until when each request is answered, which connections close, and when the process ends. It has no sockets, no clock and no
// goroutine. Events go in with the time, actions come out, and the same events give the same actions.
//
// Terms state what the surroundings guarantee a node during a shutdown. On the platform, SIGKILL comes no sooner than the longest
// deadline plus Grace after SIGTERM, new connections arrive for at most NewConnectionsWindow, and clients keep a connection for as long as it is
// open. The operator of a standalone installation sets how long a shutdown may take.
package life

import (
	"fmt"
	"time"
)

// Terms are the guarantees that hold during the shutdown of a node.
type Terms struct {
	MaxDeadline          time.Duration // the longest deadline that counts for the time between SIGTERM and SIGKILL
	Grace                time.Duration // time until SIGKILL beyond the deadline
	NewConnectionsWindow time.Duration // how long new connections may arrive after SIGTERM
	KeepsConnections     bool          // clients keep to an open connection and may find no other: keep it open for long
}

// Platform holds the terms of the platform.
var Platform = Terms{MaxDeadline: 3 * time.Second, Grace: 700 * time.Millisecond, NewConnectionsWindow: 400 * time.Millisecond, KeepsConnections: true}

// Standalone holds the terms of a standalone installation. Its operator sets the shutdown timeout, which New gets in place of a deadline.
var Standalone = Terms{MaxDeadline: 24 * time.Hour}

const (
	// ShutdownMargin is the largest delay of a timer, and so of every action here, on a busy machine. A node aims to end this long before
	// SIGKILL may come. Unanswered requests get up to half of it more.
	ShutdownMargin = 200 * time.Millisecond
	// QueueEmptyWindow is how long the accept queue of the listener has to stay empty before it counts as drained.
	QueueEmptyWindow = 50 * time.Millisecond
	// MinAnswerMargin is the least time between the last answers and the end of the process: answers that are due at the same instant
	// are encoded and written one by one. If the measured lag of the loop and the writes is large, the time is lagFactor the lag,
	// at most one part in maxLagDivisor of the whole shutdown.
	MinAnswerMargin          = 150 * time.Millisecond
	lagFactor, maxLagDivisor = 2, 2
	// MinServeMargin is how long before its end a node stops taking requests on persistent connections. Nearly all requests are
	// answered in that time.
	MinServeMargin = 900 * time.Millisecond
	// CachedListGrace is how long a node with a cached endpoint list waits for one from a source before it reports ready. The cached
	// list may name backends that have been replaced since.
	CachedListGrace = 300 * time.Millisecond
)

// Phase is a phase of the lifecycle.
type Phase uint8

// Phases, in order. A node never goes back to an earlier one.
const (
	Starting           Phase = iota // accepts no clients
	AwaitingList                    // accepts clients; no source has sent an endpoint list yet
	Serving                         // reports ready, as long as some backend can be sent to
	Leaving                         // shutdown has begun: not ready, still accepting
	KeepingConnections              // accepts no connections, keeps the open ones
	Closing                         // each connection closes with its answer; near the end, idle ones close at once
	ClosingIncomplete               // all requests should have their answers: connections with a partial request close too
	Ended
)

// String returns the name of a phase.
func (p Phase) String() string {
	return [...]string{"starting", "remembering", "serving", "leaving", "staying", "closing", "last", "ended"}[p]
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events. Told comes with SIGTERM, and only the first one counts. The others may come at any time.
const (
	AcceptStarted     EventKind = iota // clients are accepted from now on
	ListReceived                       // a source has sent an endpoint list
	ShutdownRequested                  // the shutdown begins; uses HasSuccessor
	SettingsChanged                    // settings have changed; Deadline is their longest deadline now
	Snapshot                           // a snapshot of Conns, OpenRequests, MayHaveQueue and Lag
	Tick                               // time has passed
)

// Event is an input of Handle.
type Event struct {
	Kind         EventKind
	HasSuccessor bool          // with ShutdownRequested: a successor has taken over
	Deadline     time.Duration // 0: not known, treated as the longest that Terms allow
	Conns        int           // open connections of clients
	OpenRequests int           // those of Conns with a complete request that has no answer yet
	MayHaveQueue bool          // the accept queue is full, is not empty, or can't be inspected
	Lag          time.Duration // how long posting to the loop and writing all open answers take now
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	ReportReady      ActionKind = iota // readiness checks may succeed from now on
	ReportUnready                      // readiness checks fail from now on
	AnswerBy                           // answer every open and every new request by At
	StopAccepting                      // close the listener; idle connections no longer close to make room for new ones
	CloseAfterAnswer                   // close each connection with its answer from now on
	CloseIdle                          // close the connections on which no byte of a request has arrived
	CloseIncomplete                    // close also those on which no complete request has arrived
	End                                // end the process; Unanswered requests are cut off
)

// Action is an output of Handle.
type Action struct {
	Kind       ActionKind
	At         time.Duration // set for AnswerBy; same clock as the times passed to Handle
	Unanswered int           // set for End
}

// Life is the lifecycle of one node. New returns one.
type Life struct {
	terms        Terms
	phase        Phase
	hasSuccessor bool
	deadline     time.Duration
	openedAt     time.Duration
	hasList      bool
	isReady      bool

	shutdownAt        time.Duration // when the shutdown began
	sigkillAt         time.Duration // the earliest time at which SIGKILL may come; it never moves later
	answerBy          time.Duration
	queueEmptyAt      time.Duration // since when the accept queue has been empty; -1: it is not empty
	stoppedAccepting  bool          // no longer accepts connections
	closesAfterAnswer bool          // each answer closes its connection
}

// New returns the lifecycle of a node. deadline is the longest one in the settings; 0: not known.
func New(terms Terms, deadline time.Duration) *Life {
	return &Life{terms: terms, deadline: deadline, queueEmptyAt: -1}
}

// minAcceptDuration is the least time for which a node accepts after SIGTERM: until no new connection can arrive, even a late one.
func (l *Life) minAcceptDuration() time.Duration {
	return l.terms.NewConnectionsWindow + ShutdownMargin
}

// mayCloseConnections reports whether open connections may close: clients don't depend on them, or at most MinServeMargin remains.
func (l *Life) mayCloseConnections(now time.Duration) bool {
	return !l.terms.KeepsConnections || now >= l.EndsAt()-MinServeMargin
}

// Phase returns the current phase.
func (l *Life) Phase() Phase { return l.phase }

// ShuttingDown reports whether the shutdown has begun.
func (l *Life) ShuttingDown() bool { return l.phase >= Leaving }

// EndsAt returns the latest time at which the node ends in normal operation: Late before SIGKILL may come. It is valid once the
// shutdown has begun.
func (l *Life) EndsAt() time.Duration { return l.sigkillAt - ShutdownMargin }

// cutoffAt returns when the node ends even if something is open. A request has until the last moment that still leaves time for the
// process to exit. Connections without a request, which only wait for their clients to close, are not worth the risk that a busy
// machine exits late.
func (l *Life) cutoffAt(ev Event) time.Duration {
	if ev.Kind == Snapshot && ev.OpenRequests == 0 {
		return l.sigkillAt - ShutdownMargin/2
	}
	return l.sigkillAt - ShutdownMargin/4
}

// String returns the state in short, for test failures and traces.
func (l *Life) String() string {
	return fmt.Sprintf("%s ready=%t stopped=%t closing=%t", l.phase, l.isReady, l.stoppedAccepting, l.closesAfterAnswer)
}

// Handle takes one event and appends the resulting actions to out. Times may come from any clock that never goes back.
func (l *Life) Handle(now time.Duration, ev Event, out []Action) []Action {
	if l.phase == Ended {
		return out
	}
	switch ev.Kind {
	case AcceptStarted:
		if l.phase == Starting {
			l.phase, l.openedAt = AwaitingList, now
		}
	case ListReceived:
		l.hasList = true
	case SettingsChanged:
		l.deadline = ev.Deadline
		if l.ShuttingDown() { // SIGKILL may follow the old deadline or the new one, so the earlier of the two counts
			// A shorter deadline may put SIGKILL into the past. The platform can't have planned with an instant that has
			// passed, so the open requests still get MinAnswerMargin.
			l.sigkillAt = min(l.sigkillAt, max(l.computeSigkillAt(), now+MinAnswerMargin+ShutdownMargin))
		}
	case ShutdownRequested:
		if !l.ShuttingDown() {
			out = l.beginShutdown(now, ev.HasSuccessor, out)
		}
	}
	switch {
	case l.phase == AwaitingList && (l.hasList || now-l.openedAt >= CachedListGrace):
		l.phase, l.isReady = Serving, true
		return append(out, Action{Kind: ReportReady})
	case l.ShuttingDown() && l.phase != Ended:
		return l.advanceShutdown(now, ev, out)
	}
	return out
}

// computeSigkillAt returns the earliest time at which SIGKILL may come under the current settings.
func (l *Life) computeSigkillAt() time.Duration {
	d := l.deadline
	if d <= 0 || d > l.terms.MaxDeadline {
		d = l.terms.MaxDeadline
	}
	return l.shutdownAt + d + l.terms.Grace
}

// beginShutdown begins the shutdown.
func (l *Life) beginShutdown(now time.Duration, hasSuccessor bool, out []Action) []Action {
	if l.phase == Starting { // no client has been accepted
		l.phase = Ended
		return append(out, Action{Kind: End})
	}
	l.phase, l.shutdownAt, l.hasSuccessor = Leaving, now, hasSuccessor
	l.sigkillAt = l.computeSigkillAt()
	l.isReady = false
	out = append(out, Action{Kind: ReportUnready})
	l.answerBy = l.sigkillAt
	if !l.terms.KeepsConnections && !hasSuccessor { // busy connections close with an answer, before idle ones close
		l.closesAfterAnswer = true
		out = append(out, Action{Kind: CloseAfterAnswer})
	}
	if hasSuccessor { // the successor takes the connections in the accept queue, and clients can reconnect to it
		l.stoppedAccepting, l.closesAfterAnswer = true, true
		l.phase = Closing
		out = append(out, Action{Kind: StopAccepting}, Action{Kind: CloseAfterAnswer})
	}
	return out
}

// advanceShutdown moves a node through the shutdown phases.
func (l *Life) advanceShutdown(now time.Duration, ev Event, out []Action) []Action {
	isSnapshot, wasStopped := ev.Kind == Snapshot, l.stoppedAccepting
	if by := l.EndsAt() - MinAnswerMargin; by < l.answerBy {
		l.answerBy = by
		out = append(out, Action{Kind: AnswerBy, At: by})
	}
	// A lag counts only once the end is so near that the answers need that time. A lag that passes before shortens no request.
	if by := l.EndsAt() - min(lagFactor*ev.Lag, (l.EndsAt()-l.shutdownAt)/maxLagDivisor); isSnapshot && by <= now && now < l.answerBy {
		l.answerBy = now
		out = append(out, Action{Kind: AnswerBy, At: now})
	}
	if isSnapshot && !l.stoppedAccepting {
		switch {
		case ev.MayHaveQueue:
			l.queueEmptyAt = -1
		case l.queueEmptyAt < 0:
			l.queueEmptyAt = now
		}
	}
	// Closing the listener resets the connections in its accept queue, so the queue has to be empty first.
	if l.phase == Leaving && (now-l.shutdownAt >= l.minAcceptDuration() && l.queueEmptyAt >= 0 && now-l.queueEmptyAt >= QueueEmptyWindow ||
		now >= l.EndsAt()) {
		l.phase, l.stoppedAccepting = KeepingConnections, true
		out = append(out, Action{Kind: StopAccepting})
	}
	if l.phase == KeepingConnections && l.mayCloseConnections(now) {
		l.phase = Closing
		if !l.closesAfterAnswer {
			l.closesAfterAnswer = true
			out = append(out, Action{Kind: CloseAfterAnswer})
		}
	}
	if l.phase == Closing && now >= l.EndsAt() {
		l.phase = ClosingIncomplete
	}
	switch {
	case l.phase == ClosingIncomplete && isSnapshot:
		out = append(out, Action{Kind: CloseIncomplete})
	case l.phase == Closing && isSnapshot && l.mayCloseConnections(now):
		out = append(out, Action{Kind: CloseIdle})
	}
	switch {
	case isSnapshot && wasStopped && ev.Conns == 0 && !ev.MayHaveQueue: // a snapshot taken after the listener was closed
		l.phase = Ended
		out = append(out, Action{Kind: End})
	case now >= l.cutoffAt(ev):
		l.phase = Ended
		unanswered := 0
		if isSnapshot {
			unanswered = ev.OpenRequests
		}
		out = append(out, Action{Kind: End, Unanswered: unanswered})
	}
	return out
}
