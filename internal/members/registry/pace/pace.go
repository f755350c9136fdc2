// Package pace decides when a call to a registry of backends begins, and which open call is given up. It is pure: events with
// their time in, actions out, and random numbers from a seed. Package registry makes the calls, package lab simulates them.
package pace

import (
	"math/rand/v2"
	"slices"
	"time"

	"glencart/balance"
)

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	Ticked   EventKind = iota // time has passed
	Wanted                    // the balancer requests Ask
	Moved                     // the address of the registry has changed
	Answered                  // Call was answered At, and the answer was accepted
	Failed                    // Call failed: Unavailable, Stale or otherwise
)

// Event is an input of a Pace.
type Event struct {
	Kind       EventKind
	Ask        balance.ActionKind // Watch, Unwatch, Fetch
	Call       int
	At         time.Duration // when the answer arrived
	TurnedAway bool          // the registry runs, and its revisions continue
	Past       bool          // the answer was older than the current list, and is requested once more
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	Begin  ActionKind = iota // begin Call, for the complete list or as a watch
	GiveUp                   // end Call
	Lost                     // report to the balancer that calls fail
)

// Action is an output of a Pace.
type Action struct {
	Kind  ActionKind
	Call  int
	Whole bool
}

type openCall struct {
	id       int
	began    time.Duration
	wait     time.Duration // requested by a watch
	expires  time.Duration // when its timeout ends; Never: it has none
	extended bool          // its timeout is over, and it stays open beside its successor
}

// Pace is the state of the calls to a registry and to those that replace it.
type Pace struct {
	terms    Terms
	rng      *rand.Rand
	want     balance.ActionKind // Watch; Fetch: one complete list; Unwatch: nothing
	holds    bool               // a watch may continue from the current list
	open     []openCall         // oldest first
	last     int                // id of the last call
	next     time.Duration      // when the next call begins
	nextBy   time.Duration      // when it begins at the latest, since a call beside a silent one failed; Never: none did
	fails    int                // since the last answer
	lostAt   time.Duration      // when a failure was last reported; -1: none since the last answer
	answered time.Duration      // when the last answer arrived
	line     line               // estimate of the calls that wait at the registry
}

// New returns a Pace without calls. hasList says that there is a list, such as a stored one. Where a call costs nothing, the first
// call reads the complete list all the same.
func New(t Terms, holds bool, rng *rand.Rand) *Pace {
	p := &Pace{terms: t, rng: rng, want: balance.Watch, holds: holds && t.asked, nextBy: Never, lostAt: -1}
	if t.asked {
		p.want, p.next = balance.Unwatch, Never
	}
	return p
}

// Retune sets other terms of the same registry for calls that begin from now on.
func (p *Pace) Retune(t Terms) { p.terms = t }

// Handle handles an event at now and appends the resulting actions to out, in order. It needs Ticked at Wake, and once at the
// beginning.
func (p *Pace) Handle(now time.Duration, ev Event, out []Action) []Action {
	switch ev.Kind {
	case Wanted:
		if ev.Ask != balance.Fetch || p.want == balance.Unwatch {
			p.want = ev.Ask
		}
		// After a failure the call begins sooner than scheduled. Otherwise a call is open or about to begin.
		if p.current() == 0 && (p.next == Never || p.fails > 0) && p.want != balance.Unwatch {
			p.next = now
		}
	case Moved:
		out = p.drop(out, func(openCall) bool { return true })
		p.holds, p.fails, p.lostAt, p.next, p.nextBy, p.line = false, 0, -1, now, Never, line{}
		if p.want == balance.Unwatch {
			p.want = balance.Fetch
		}
	case Answered:
		out = p.answer(now, ev, out)
	case Failed:
		if !p.remove(ev.Call) {
			break
		}
		p.holds = p.holds && ev.TurnedAway && p.terms.asked
		if ev.Past && p.current() == 0 {
			p.next = min(p.next, now+calmGap)
		} else {
			out = p.failed(now, out)
		}
	}
	return p.due(now, out)
}

// Wake returns when Handle must be called again at the latest.
func (p *Pace) Wake() time.Duration {
	at := p.next
	for _, c := range p.open {
		at = min(at, c.expires)
	}
	return at
}

// Open reports whether a call is open. Answers to other calls are ignored.
func (p *Pace) Open(call int) bool {
	return slices.ContainsFunc(p.open, func(c openCall) bool { return c.id == call })
}
