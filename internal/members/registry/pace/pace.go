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
	Ticked      EventKind = iota // time has passed
	Requested                    // the balancer requests Ask
	AddrChanged                  // the address of the registry has changed
	Answered                     // Call was answered At, and the answer was accepted
	Failed                       // Call failed: Unavailable, Stale or otherwise
)

// Event is an input of a Pace.
type Event struct {
	Kind        EventKind
	Ask         balance.ActionKind // Watch, Unwatch, Fetch
	Call        int
	At          time.Duration // when the answer arrived
	Unavailable bool          // the registry runs, and its revisions continue
	Stale       bool          // the answer was older than the current list, and is requested once more
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	Begin         ActionKind = iota // begin Call, for the complete list or as a watch
	GiveUp                          // end Call
	ReportFailure                   // report to the balancer that calls fail
)

// Action is an output of a Pace.
type Action struct {
	Kind     ActionKind
	Call     int
	Complete bool
}

type openCall struct {
	id         int
	beganAt    time.Duration
	wait       time.Duration // requested by a watch
	expiresAt  time.Duration // when its timeout ends; Never: it has none
	isExtended bool          // its timeout is over, and it stays open beside its successor
}

// Pace is the state of the calls to a registry and to those that replace it.
type Pace struct {
	terms        Terms
	rng          *rand.Rand
	wanted       balance.ActionKind // Watch; Fetch: one complete list; Unwatch: nothing
	hasList      bool               // a watch may continue from the current list
	open         []openCall         // oldest first
	lastCall     int                // id of the last call
	nextAt       time.Duration      // when the next call begins
	nextDeadline time.Duration      // when it begins at the latest, since a call beside a silent one failed; Never: none did
	failures     int                // since the last answer
	reportedAt   time.Duration      // when a failure was last reported; -1: none since the last answer
	answeredAt   time.Duration      // when the last answer arrived
	queue        queue              // estimate of the calls that wait at the registry
}

// New returns a Pace without calls. hasList reports whether there is a list, such as a stored one. Where a call costs nothing, the
// first call reads the complete list all the same.
func New(t Terms, hasList bool, rng *rand.Rand) *Pace {
	p := &Pace{terms: t, rng: rng, wanted: balance.Watch, hasList: hasList && t.onDemand, nextDeadline: Never, reportedAt: -1}
	if t.onDemand {
		p.wanted, p.nextAt = balance.Unwatch, Never
	}
	return p
}

// Retune sets other terms of the same registry for calls that begin from now on.
func (p *Pace) Retune(t Terms) { p.terms = t }

// Handle handles an event at now and appends the resulting actions to out, in order. It needs Ticked at Wake, and once at the
// beginning.
func (p *Pace) Handle(now time.Duration, ev Event, out []Action) []Action {
	switch ev.Kind {
	case Requested:
		if ev.Ask != balance.Fetch || p.wanted == balance.Unwatch {
			p.wanted = ev.Ask
		}
		// After a failure the call begins sooner than scheduled. Otherwise a call is open or about to begin.
		if p.currentCalls() == 0 && (p.nextAt == Never || p.failures > 0) && p.wanted != balance.Unwatch {
			p.nextAt = now
		}
	case AddrChanged:
		out = p.giveUpIf(out, func(openCall) bool { return true })
		p.hasList, p.failures, p.reportedAt, p.nextAt, p.nextDeadline, p.queue = false, 0, -1, now, Never, queue{}
		if p.wanted == balance.Unwatch {
			p.wanted = balance.Fetch
		}
	case Answered:
		out = p.handleAnswer(now, ev, out)
	case Failed:
		if !p.remove(ev.Call) {
			break
		}
		p.hasList = p.hasList && ev.Unavailable && p.terms.onDemand
		if ev.Stale && p.currentCalls() == 0 {
			p.nextAt = min(p.nextAt, now+minCallGap)
		} else {
			out = p.handleFailure(now, out)
		}
	}
	return p.runDue(now, out)
}

// Wake returns when Handle must be called again at the latest.
func (p *Pace) Wake() time.Duration {
	at := p.nextAt
	for _, c := range p.open {
		at = min(at, c.expiresAt)
	}
	return at
}

// Open reports whether a call is open. Answers to other calls are ignored.
func (p *Pace) Open(call int) bool {
	return slices.ContainsFunc(p.open, func(c openCall) bool { return c.id == call })
}
