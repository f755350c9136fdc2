package pace

// This file decides about the open calls: what an answer, a failure or a silence means for the others, and which one makes room.

import (
	"slices"
	"time"

	"glencart/balance"
)

// remove removes a call that has ended from the open ones, and reports whether it was open.
func (p *Pace) remove(call int) bool {
	was := len(p.open)
	p.open = slices.DeleteFunc(p.open, func(c openCall) bool { return c.id == call })
	return len(p.open) < was
}

// giveUpIf gives up the open calls for which unwanted is true.
func (p *Pace) drop(out []Action, unwanted func(openCall) bool) []Action {
	p.open = slices.DeleteFunc(p.open, func(c openCall) bool {
		if unwanted(c) {
			out = append(out, Action{Kind: GiveUp, Call: c.id})
			return true
		}
		return false
	})
	return out
}

// currentCalls returns how many open calls are before their timeout.
func (p *Pace) current() (n int) {
	for _, c := range p.open {
		if !c.extended {
			n++
		}
	}
	return n
}

// handleAnswer handles an answer. Earlier calls have nothing newer to bring. Later calls continue where calls are kept: they are
// ahead of a new one in the queue of a registry that processes calls one by one, and bring later changes.
func (p *Pace) answer(now time.Duration, ev Event, out []Action) []Action {
	i := slices.IndexFunc(p.open, func(c openCall) bool { return c.id == ev.Call })
	if i < 0 {
		return out
	}
	call := p.open[i]
	p.line.answered(call, ev.At, p.answered, p.last)
	p.remove(call.id)
	wanted := p.want == balance.Watch
	out = p.drop(out, func(c openCall) bool { return c.id < call.id || !p.terms.keeps || !wanted })
	p.holds, p.fails, p.lostAt, p.answered = true, 0, -1, ev.At
	switch {
	case !wanted:
		p.want, p.next = balance.Unwatch, Never
	case len(p.open) > 0:
		p.next = now + p.patience(now, p.terms.besideList)
	default:
		p.next = max(now, call.began+calmGap)
	}
	return out
}

// hedgeDelay returns how long the next answer may take before another call begins beside it: minDelay, or longer if calls wait in
// the registry's queue.
func (p *Pace) patience(now, least time.Duration) time.Duration {
	next := p.last + 1
	if len(p.open) > 0 {
		next = p.open[0].id
	}
	return max(least, p.line.patience(next, now-p.answered))
}

// handleFailure handles a call that has ended without an answer that could be accepted.
func (p *Pace) failed(now time.Duration, out []Action) []Action {
	p.fails++
	switch {
	case p.terms.keeps:
		p.next = min(p.next, now+p.pause()) // no later than if it had been silent
	case p.terms.asked:
		// With no call open the balancer asks again, by then. Beside a silent call nothing else would.
		if p.current() > 0 {
			p.nextBy = min(p.nextBy, now+rewatchMost)
			p.next = min(p.next, p.nextBy)
		} else {
			p.next = p.nextBy
		}
	case p.current() == 0:
		p.next = now + p.pause()
	}
	if p.current() > 0 {
		return out // another call continues
	}
	return p.lost(now, out)
}

// pause returns the pause after a failure.
func (p *Pace) pause() time.Duration {
	d := min(p.terms.least<<min(max(0, p.fails-1), 16), p.terms.longest)
	return d/2 + time.Duration(p.rng.Int64N(int64(d)))
}

func (p *Pace) lost(now time.Duration, out []Action) []Action {
	if p.lostAt >= 0 && now-p.lostAt < p.terms.lostEvery {
		return out
	}
	p.lostAt = now
	return append(out, Action{Kind: Lost})
}

// runDue ends the calls whose timeout is over, and begins the next call if it is due.
func (p *Pace) due(now time.Duration, out []Action) []Action {
	for {
		i := slices.IndexFunc(p.open, func(c openCall) bool { return c.expires <= now })
		if i < 0 {
			break
		}
		out = p.timeOver(now, i, out)
	}
	switch {
	case p.next > now:
		return out
	case p.want == balance.Unwatch:
		p.next = Never // no list is requested
		return out
	case len(p.open) > 0 && p.terms.keeps:
		out = p.silent(now, out)
	case !p.terms.keeps && p.current() == p.terms.timely:
		p.next = p.open[len(p.open)-p.terms.timely].expires
		return out
	}
	whole := len(p.open) > 0 || !p.holds || p.want == balance.Fetch
	// A late call begins a new watch, which brings all changes after the current list. Where calls cost nothing, it reads the
	// complete list instead.
	whole = whole || !p.terms.asked && now-p.answered > watchGap
	return p.begin(now, whole, out)
}

// handleTimeout makes room for a successor of call i, whose timeout is over. The registry may still be at work on the call, so it
// stays open for longer, beside at most one other such call. Otherwise an answer that takes longer than the timeout would never be
// accepted. The first call that stays is the oldest, and the first in the queue of a registry that was held up. The second makes
// room for later ones, in case the registry has lost the first.
func (p *Pace) timeOver(now time.Duration, i int, out []Action) []Action {
	call, extended := p.open[i], len(p.open)-p.current()
	switch {
	case call.extended || extended == p.terms.most-p.terms.timely:
		out = append(out, Action{Kind: GiveUp, Call: call.id})
		p.open = slices.Delete(p.open, i, i+1)
	case extended == 0:
		p.open[i].expires = call.began + extension*(call.expires-call.began)
	default:
		p.open[i].expires = call.expires + (extension-1)*(call.expires-call.began-call.wait)
	}
	if call.extended {
		return out
	}
	if i < len(p.open) && p.open[i].id == call.id {
		p.open[i].extended = true
	}
	p.holds = false // changes that it was to bring may be missing
	if p.current() > 0 {
		p.next = now // its changes count as reported by now, and the call beside it is silent too
		return out
	}
	return p.failed(now, out)
}

// handleSilence handles a silence that is longer than an answer may take. Another call begins beside the open ones. If as many
// calls as allowed are open, one makes room.
func (p *Pace) silent(now time.Duration, out []Action) []Action {
	p.fails++
	if now-p.answered >= p.terms.quiet {
		out = p.lost(now, out)
	}
	if len(p.open) >= p.terms.most {
		i := p.leastNeeded(now)
		out = append(out, Action{Kind: GiveUp, Call: p.open[i].id})
		p.open = slices.Delete(p.open, i, i+1)
	}
	p.holds = false // changes that they were to bring may be missing
	return out
}

// leastNeeded returns the index of the open call to give up. It keeps the oldest calls, which are the first in the queue of a
// registry that was held up and are enough to measure how fast it works. It keeps the newest, whose time is not over. Of the
// others it picks the one whose neighbours are closest together, relative to the spacing of calls of its age. So a call that began
// soon after the registry came back is not given up, however long answers take.
func (p *Pace) leastNeeded(now time.Duration) int {
	oldest := min(lateSamples, p.terms.most/4)
	best, least := oldest, 0.0
	for i := oldest; i < len(p.open)-newestKept; i++ {
		distance := float64(p.open[i+1].began-p.open[i-1].began) / p.terms.spacing(now-p.open[i].began)
		if i == oldest || distance < least {
			best, least = i, distance
		}
	}
	return best
}

func (p *Pace) begin(now time.Duration, whole bool, out []Action) []Action {
	p.last++
	call := openCall{id: p.last, began: now, expires: Never}
	expires, beside := p.terms.expireList, p.terms.besideList
	if !whole {
		call.wait, expires, beside = p.terms.Wait, p.terms.expireWatch, p.terms.besideWatch
	}
	if expires > 0 {
		call.expires = now + call.wait + expires
	}
	p.open = append(p.open, call)
	if p.next, p.nextBy = Never, Never; p.terms.most > 1 {
		p.next = now + call.wait + p.patience(now, beside)
		if p.terms.paused {
			p.next += p.pause()
		}
	}
	return append(out, Action{Kind: Begin, Call: p.last, Whole: whole})
}
