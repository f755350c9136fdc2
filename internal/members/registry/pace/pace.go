// Package pace decides when a call to a registry of backends begins, and which open one is given up. It is pure: events with
// their time in, actions out; chance is seeded. Package registry makes the calls, the lab plays them.
package pace

import (
	"math/rand/v2"
	"slices"
	"time"

	"glencart/balance"
)

// EventKind says what has happened.
type EventKind uint8

// Kinds of events.
const (
	Passed EventKind = iota // time
	Wanted                  // the module wants something: Ask
	Moved                   // another registry from here on
	Good                    // Call was answered At, and that was taken in
	Failed                  // Call failed: TurnedAway, Past or otherwise
)

// Event is something that has happened.
type Event struct {
	Kind       EventKind
	Ask        balance.ActionKind // Watch, Unwatch, Fetch
	Call       int
	At         time.Duration // when the answer came
	TurnedAway bool          // the registry is there, and counts as it did
	Past       bool          // the answer was older than what is held: it is asked once more
}

// ActionKind says what is to be done.
type ActionKind uint8

// Kinds of actions.
const (
	Begin  ActionKind = iota // Call, for the whole list or a watch
	GiveUp                   // Call
	Lost                     // tell the module that calls fail
)

// Action is something to be done.
type Action struct {
	Kind  ActionKind
	Call  int
	Whole bool
}

type openCall struct {
	id          int
	began, over time.Duration // over: when it is given up
}

// Pace is the state of the calls to one registry after another.
type Pace struct {
	terms    Terms
	rng      *rand.Rand
	want     balance.ActionKind // Watch; Fetch: one whole list; Unwatch: nothing
	holds    bool               // a watch may go on from the list that is held
	open     []openCall         // oldest first
	last     int                // the last call's id
	next     time.Duration      // when the next call begins
	by       time.Duration      // when it does at the latest, since a call beside a silent one failed; Never: none did
	fails    int                // since something was heard
	lostAt   time.Duration      // when that was told last; -1: something was heard since
	answered time.Duration      // when the last answer came
}

// New returns a Pace that has begun nothing. holds tells that a list is held, as a remembered one: where a call costs
// nothing, the first reads the whole list all the same.
func New(t Terms, holds bool, rng *rand.Rand) *Pace {
	p := &Pace{terms: t, rng: rng, want: balance.Watch, holds: holds && t.asked, by: Never, lostAt: -1}
	if t.asked {
		p.want, p.next = balance.Unwatch, Never
	}
	return p
}

// Retune has calls that begin from here on follow other terms of the same registry.
func (p *Pace) Retune(t Terms) { p.terms = t }

// Handle takes in an event at now and appends what is to be done to out, in that order. It wants to be told that time has
// Passed at Wake, and once at the beginning.
func (p *Pace) Handle(now time.Duration, ev Event, out []Action) []Action {
	switch ev.Kind {
	case Wanted:
		if ev.Ask != balance.Fetch || p.want == balance.Unwatch {
			p.want = ev.Ask
		}
		// After a failure sooner than by itself; else a call is under way, or about to be.
		if len(p.open) == 0 && (p.next == Never || p.fails > 0) && p.want != balance.Unwatch {
			p.next = now
		}
	case Moved:
		out = p.drop(out, 0)
		p.holds, p.fails, p.lostAt, p.next, p.by = false, 0, -1, now, Never
		if p.want == balance.Unwatch {
			p.want = balance.Fetch
		}
	case Good:
		out = p.good(now, ev, out)
	case Failed:
		if !p.take(ev.Call) {
			break
		}
		p.holds = p.holds && ev.TurnedAway && p.terms.asked
		if ev.Past && len(p.open) == 0 {
			p.next = min(p.next, now+calmGap)
		} else {
			out = p.failed(now, out)
		}
	}
	return p.due(now, out)
}

// Wake is when Handle has to be called again at the latest.
func (p *Pace) Wake() time.Duration {
	at := p.next
	for _, c := range p.open {
		at = min(at, c.over)
	}
	return at
}

// Open tells whether a call is open: what others still say is not taken in.
func (p *Pace) Open(call int) bool {
	return slices.ContainsFunc(p.open, func(c openCall) bool { return c.id == call })
}

// take takes a call that has ended out of the open ones.
func (p *Pace) take(call int) bool {
	was := len(p.open)
	p.open = slices.DeleteFunc(p.open, func(c openCall) bool { return c.id == call })
	return len(p.open) < was
}

// drop gives up all open calls but one, which has ended.
func (p *Pace) drop(out []Action, but int) []Action {
	for _, c := range p.open {
		if c.id != but {
			out = append(out, Action{Kind: GiveUp, Call: c.id})
		}
	}
	p.open = p.open[:0]
	return out
}

// good: what answers first is taken, the others are dropped.
func (p *Pace) good(now time.Duration, ev Event, out []Action) []Action {
	i := slices.IndexFunc(p.open, func(c openCall) bool { return c.id == ev.Call })
	if i < 0 {
		return out
	}
	began := p.open[i].began
	out = p.drop(out, ev.Call)
	p.holds, p.fails, p.lostAt, p.answered = true, 0, -1, ev.At
	if p.next = max(now, began+calmGap); p.want != balance.Watch {
		p.want, p.next = balance.Unwatch, Never
	}
	return out
}

// failed: a call has ended without an answer that could be taken in.
func (p *Pace) failed(now time.Duration, out []Action) []Action {
	switch {
	case p.terms.rolls:
		p.next = min(p.next, now+p.pause()) // no later than beside it, had it been silent
	case p.terms.asked:
		// Where none is open the module asks again, by then. Beside a silent one nobody else would.
		if len(p.open) > 0 {
			p.by = min(p.by, now+rewatchMost)
			p.next = min(p.next, p.by)
		} else {
			p.next = p.by
		}
	case len(p.open) == 0:
		p.next = now + p.pause()
	}
	if len(p.open) > 0 {
		return out // another goes on
	}
	p.fails++
	return p.lost(now, out)
}

// pause is the wait after a failure.
func (p *Pace) pause() time.Duration {
	d := min(p.terms.least<<min(p.fails, 16), p.terms.longest)
	return d/2 + time.Duration(p.rng.Int64N(int64(d)))
}

func (p *Pace) lost(now time.Duration, out []Action) []Action {
	if p.lostAt >= 0 && now-p.lostAt < p.terms.lostEvery {
		return out
	}
	p.lostAt = now
	return append(out, Action{Kind: Lost})
}

// due gives up the calls whose time is over, and begins the next one if it is due.
func (p *Pace) due(now time.Duration, out []Action) []Action {
	for {
		i := slices.IndexFunc(p.open, func(c openCall) bool { return c.over <= now })
		if i < 0 {
			break
		}
		out = append(out, Action{Kind: GiveUp, Call: p.open[i].id})
		p.open = slices.Delete(p.open, i, i+1)
		p.holds = false // what it was to tell may be missing
		if p.terms.asked && len(p.open) > 0 {
			p.next = now // its news counts as told by now, and the call beside it is silent too
		} else {
			out = p.failed(now, out)
		}
	}
	switch {
	case p.next > now:
		return out
	case p.want == balance.Unwatch:
		p.next = Never // nobody waits for it
		return out
	case len(p.open) == p.terms.most && !p.terms.rolls:
		p.next = p.open[0].over
		return out
	case len(p.open) == p.terms.most:
		// The oldest but one makes room: a node that is only slow hears the oldest in the end.
		out = append(out, Action{Kind: GiveUp, Call: p.open[1].id})
		p.open = slices.Delete(p.open, 1, 2)
		out = p.lost(now, out)
	}
	whole := len(p.open) > 0 || !p.holds || p.want == balance.Fetch
	// A late call begins a new watch, which brings what came after the list held; where it costs nothing, all is read anew.
	whole = whole || !p.terms.asked && now-p.answered > watchGap
	return p.begin(now, whole, out)
}

func (p *Pace) begin(now time.Duration, whole bool, out []Action) []Action {
	p.last++
	over, beside := p.terms.overList, p.terms.besideList
	if !whole {
		over, beside = p.terms.Wait+p.terms.overWatch, p.terms.Wait+p.terms.besideWatch
	}
	p.open = append(p.open, openCall{id: p.last, began: now, over: now + over})
	if p.next, p.by = Never, Never; p.terms.most > 1 {
		p.next = now + beside
	}
	return append(out, Action{Kind: Begin, Call: p.last, Whole: whole})
}
