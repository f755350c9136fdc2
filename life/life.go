// Package life decides on the phases of a node's life: when it lets clients in, when it calls itself ready, and, once it is told
// to end, by when each request has to be answered, which connections may be closed, and when it ends. It has no sockets, no
// clock and no goroutine: events go in with the time, actions come out, and the same events give the same actions.
//
// Terms say what is guaranteed to a node that is told to end. On the platform SIGKILL comes no sooner than the longest deadline
// and Grace after SIGTERM, new connections come for Still at the most, and clients keep to their connections for as long as these
// are open. An installation of one's own says itself how long it may take to leave.
package life

import (
	"fmt"
	"time"
)

// Terms are what holds for a node that is told to end.
type Terms struct {
	Most  time.Duration // the longest deadline that the time until SIGKILL counts
	Grace time.Duration // what is added to it
	Still time.Duration // how long new connections go on coming
	Stay  bool          // clients keep to a connection while it is open, and may find no other: it is open for as long as can be
}

// Platform are the terms of the platform.
var Platform = Terms{Most: 3 * time.Second, Grace: 700 * time.Millisecond, Still: 400 * time.Millisecond, Stay: true}

// Own are the terms of an installation that says itself how long leaving may take: New is told that in the place of a deadline.
var Own = Terms{Most: 24 * time.Hour}

const (
	// Late is how late a timer, and with it everything here, may be on a busy machine. A node is to have ended so long before
	// SIGKILL may come; what is not answered by then has half of it yet, and no more.
	Late = 200 * time.Millisecond
	// QuietFor is how long nothing has to stand in the listener's queue for it to be empty.
	QuietFor = 50 * time.Millisecond
	// AnswerLeast is how long before its end a node has every request answered, at the least: what is answered in the same
	// instant has yet to be worded and written, one by one. Where a word to the loop and the answers take longer by what is
	// measured, it is lagTimes that, and one of lagParts of the time there is at the most.
	AnswerLeast        = 150 * time.Millisecond
	lagTimes, lagParts = 2, 2
	// ServeLeast is how long before its end a node stops to take requests on connections that it keeps: nearly all are
	// answered in that time.
	ServeLeast = 900 * time.Millisecond
	// RememberFor is how long a node that has a remembered list waits for a source's own before it calls itself ready: the list
	// may name backends that were replaced since.
	RememberFor = 300 * time.Millisecond
)

// Phase is where a node's life stands.
type Phase uint8

// Phases, in their order. None is ever gone back to.
const (
	Starting    Phase = iota // nobody is let in
	Remembering              // clients are let in, and no source has told a list yet
	Serving                  // ready, as long as some backend may be sent to
	Leaving                  // told to end: not ready, still accepting
	Staying                  // accepts nobody, keeps its connections
	Closing                  // each connection is closed with its answer, quiet ones at once near the end
	Last                     // all is to be answered by now: connections with half a request are closed too
	Ended
)

func (p Phase) String() string {
	return [...]string{"starting", "remembering", "serving", "leaving", "staying", "closing", "last", "ended"}[p]
}

// Kind is the kind of an event.
type Kind uint8

// Kinds of events. Told comes with SIGTERM and counts once; the others may come at any time.
const (
	Opened  Kind = iota // clients are let in from here on
	Heard               // a source has told a list
	Told                // the node is to end; Followed: another process has taken its place
	Changed             // settings: Deadline is their longest now
	Seen                // what stands now: Conns, Asked, Queued, Lag
	Tick                // nothing but time
)

// Event is what a life is told.
type Event struct {
	Kind     Kind
	Followed bool
	Deadline time.Duration // 0: not told, so any
	Conns    int           // connections of clients that are open
	Asked    int           // of them, those with a whole request that has no answer yet
	Queued   bool          // the listener's queue may hold somebody: it is full, it has something, or it can't be told
	Lag      time.Duration // how long a word to the loop and the writing of all that is open take now
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	BeReady       ActionKind = iota // readiness may be told
	BeUnready                       // and may not any more
	AnswerBy                        // every request that is open, and every one that comes, is answered by At
	StopAccepting                   // close the listener; nobody gives way to anybody any more
	CloseAnswered                   // from now on each answer closes its connection
	CloseQuiet                      // close the connections on which nothing of a request has come
	CloseHalf                       // and those on which no whole request has
	End                             // the node ends; Left requests are cut
)

// Action is what a life answers.
type Action struct {
	Kind ActionKind
	At   time.Duration // with AnswerBy, on the clock of Handle
	Left int           // with End
}

// Life is one node's. New returns one.
type Life struct {
	terms    Terms
	phase    Phase
	followed bool
	deadline time.Duration
	openedAt time.Duration
	heard    bool
	ready    bool

	told     time.Duration // when it was told to end
	kill     time.Duration // SIGKILL may come from then on; it only moves to sooner
	answerBy time.Duration
	quiet    time.Duration // since when the listener's queue has been empty; -1: it is not
	stopped  bool          // accepting
	closing  bool          // each answer closes
}

// New returns the life of a node whose settings' longest deadline is this one; 0: not told.
func New(terms Terms, deadline time.Duration) *Life {
	return &Life{terms: terms, deadline: deadline, quiet: -1}
}

// acceptFor is how long a node that is to end goes on accepting at the least: until nobody new comes, even if it is late.
func (l *Life) acceptFor() time.Duration { return l.terms.Still + Late }

// closes tells whether connections are not worth keeping any more.
func (l *Life) closes(now time.Duration) bool { return !l.terms.Stay || now >= l.End()-ServeLeast }

// Phase tells where it stands.
func (l *Life) Phase() Phase { return l.phase }

// Told tells whether the node is to end.
func (l *Life) Told() bool { return l.phase >= Leaving }

// End is when the node ends at the latest while all goes well: Late before SIGKILL may come. It counts once it is told to end.
func (l *Life) End() time.Duration { return l.kill - Late }

// cutAt is when it ends whatever is open. A request has until the last moment that the exit of the process leaves; connections that have
// none, and only linger for their clients to end too, are not worth the risk that a busy machine is late with the exit.
func (l *Life) cutAt(ev Event) time.Duration {
	if ev.Kind == Seen && ev.Asked == 0 {
		return l.kill - Late/2
	}
	return l.kill - Late/4
}

func (l *Life) String() string {
	return fmt.Sprintf("%s ready=%t stopped=%t closing=%t", l.phase, l.ready, l.stopped, l.closing)
}

// Handle takes one event and appends the actions that answer it to out. Times are on any clock that does not go back.
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
		if l.Told() { // who reckons SIGKILL by the old deadline is served, and so is who reckons it by the new one
			// Nobody can have reckoned with an instant that has passed: all that is open has its last moment.
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

// tell begins the end.
func (l *Life) tell(now time.Duration, followed bool, out []Action) []Action {
	if l.phase == Starting { // nobody has been let in
		l.phase = Ended
		return append(out, Action{Kind: End})
	}
	l.phase, l.told, l.followed = Leaving, now, followed
	l.kill = l.killAt()
	l.ready = false
	out = append(out, Action{Kind: BeUnready})
	l.answerBy = l.kill
	if !l.terms.Stay && !followed { // who asks on is told so before quiet connections close
		l.closing = true
		out = append(out, Action{Kind: CloseAnswered})
	}
	if followed { // who waits in the queue is the other process's, and its clients have a place to go
		l.stopped, l.closing = true, true
		l.phase = Closing
		out = append(out, Action{Kind: StopAccepting}, Action{Kind: CloseAnswered})
	}
	return out
}

// leave takes a node that is to end from phase to phase.
func (l *Life) leave(now time.Duration, ev Event, out []Action) []Action {
	seen, stopped := ev.Kind == Seen, l.stopped
	if by := l.End() - AnswerLeast; by < l.answerBy {
		l.answerBy = by
		out = append(out, Action{Kind: AnswerBy, At: by})
	}
	// A lag counts when the time that it wants has come: one that passes takes nothing from anybody.
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
	// What stands in the listener's queue has been taken, and closing the listener would reset it.
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
	case seen && stopped && ev.Conns == 0 && !ev.Queued: // seen after the listener was closed
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
