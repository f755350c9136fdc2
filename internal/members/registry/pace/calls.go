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
func (p *Pace) giveUpIf(out []Action, unwanted func(openCall) bool) []Action {
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
func (p *Pace) currentCalls() (n int) {
	for _, c := range p.open {
		if !c.isExtended {
			n++
		}
	}
	return n
}

// handleAnswer handles an answer. Earlier calls have nothing newer to bring. Later calls continue where calls are kept: they are
// ahead of a new one in the queue of a registry that processes calls one by one, and bring later changes.
func (p *Pace) handleAnswer(now time.Duration, ev Event, out []Action) []Action {
	i := slices.IndexFunc(p.open, func(c openCall) bool { return c.id == ev.Call })
	if i < 0 {
		return out
	}
	call := p.open[i]
	p.queue.observe(call, ev.At, p.answeredAt, p.lastCall)
	p.remove(call.id)
	isWatching := p.wanted == balance.Watch
	out = p.giveUpIf(out, func(c openCall) bool { return c.id < call.id || !p.terms.keepsCalls || !isWatching })
	p.hasList, p.failures, p.reportedAt, p.answeredAt = true, 0, -1, ev.At
	switch {
	case !isWatching:
		p.wanted, p.nextAt = balance.Unwatch, Never
	case len(p.open) > 0:
		p.nextAt = now + p.hedgeDelay(now, p.terms.listHedgeDelay)
	default:
		p.nextAt = max(now, call.beganAt+minCallGap)
	}
	return out
}

// hedgeDelay returns how long the next answer may take before another call begins beside it: minDelay, or longer if calls wait in
// the registry's queue.
func (p *Pace) hedgeDelay(now, minDelay time.Duration) time.Duration {
	nextCall := p.lastCall + 1
	if len(p.open) > 0 {
		nextCall = p.open[0].id
	}
	return max(minDelay, p.queue.delay(nextCall, now-p.answeredAt))
}

// handleFailure handles a call that has ended without an answer that could be accepted.
func (p *Pace) handleFailure(now time.Duration, out []Action) []Action {
	p.failures++
	switch {
	case p.terms.keepsCalls:
		p.nextAt = min(p.nextAt, now+p.pause()) // no later than if it had been silent
	case p.terms.onDemand:
		// With no call open the balancer asks again, by then. Beside a silent call nothing else would.
		if p.currentCalls() > 0 {
			p.nextDeadline = min(p.nextDeadline, now+maxRewatchDelay)
			p.nextAt = min(p.nextAt, p.nextDeadline)
		} else {
			p.nextAt = p.nextDeadline
		}
	case p.currentCalls() == 0:
		p.nextAt = now + p.pause()
	}
	if p.currentCalls() > 0 {
		return out // another call continues
	}
	return p.reportFailure(now, out)
}

// pause returns the pause after a failure.
func (p *Pace) pause() time.Duration {
	d := min(p.terms.minPause<<min(max(0, p.failures-1), 16), p.terms.maxPause)
	return d/2 + time.Duration(p.rng.Int64N(int64(d)))
}

func (p *Pace) reportFailure(now time.Duration, out []Action) []Action {
	if p.reportedAt >= 0 && now-p.reportedAt < p.terms.reportInterval {
		return out
	}
	p.reportedAt = now
	return append(out, Action{Kind: ReportFailure})
}

// runDue ends the calls whose timeout is over, and begins the next call if it is due.
func (p *Pace) runDue(now time.Duration, out []Action) []Action {
	for {
		i := slices.IndexFunc(p.open, func(c openCall) bool { return c.expiresAt <= now })
		if i < 0 {
			break
		}
		out = p.handleTimeout(now, i, out)
	}
	switch {
	case p.nextAt > now:
		return out
	case p.wanted == balance.Unwatch:
		p.nextAt = Never // no list is requested
		return out
	case len(p.open) > 0 && p.terms.keepsCalls:
		out = p.handleSilence(now, out)
	case !p.terms.keepsCalls && p.currentCalls() == p.terms.maxCurrent:
		p.nextAt = p.open[len(p.open)-p.terms.maxCurrent].expiresAt
		return out
	}
	whole := len(p.open) > 0 || !p.hasList || p.wanted == balance.Fetch
	// A late call begins a new watch, which brings all changes after the current list. Where calls cost nothing, it reads the
	// complete list instead.
	whole = whole || !p.terms.onDemand && now-p.answeredAt > maxWatchGap
	return p.begin(now, whole, out)
}

// handleTimeout makes room for a successor of call i, whose timeout is over. The registry may still be at work on the call, so it
// stays open for longer, beside at most one other such call. Otherwise an answer that takes longer than the timeout would never be
// accepted. The first call that stays is the oldest, and the first in the queue of a registry that was held up. The second makes
// room for later ones, in case the registry has lost the first.
func (p *Pace) handleTimeout(now time.Duration, i int, out []Action) []Action {
	call, extended := p.open[i], len(p.open)-p.currentCalls()
	switch {
	case call.isExtended || extended == p.terms.maxOpen-p.terms.maxCurrent:
		out = append(out, Action{Kind: GiveUp, Call: call.id})
		p.open = slices.Delete(p.open, i, i+1)
	case extended == 0:
		p.open[i].expiresAt = call.beganAt + extensionFactor*(call.expiresAt-call.beganAt)
	default:
		p.open[i].expiresAt = call.expiresAt + (extensionFactor-1)*(call.expiresAt-call.beganAt-call.wait)
	}
	if call.isExtended {
		return out
	}
	if i < len(p.open) && p.open[i].id == call.id {
		p.open[i].isExtended = true
	}
	p.hasList = false // changes that it was to bring may be missing
	if p.currentCalls() > 0 {
		p.nextAt = now // its changes count as reported by now, and the call beside it is silent too
		return out
	}
	return p.handleFailure(now, out)
}

// handleSilence handles a silence that is longer than an answer may take. Another call begins beside the open ones. If as many
// calls as allowed are open, one makes room.
func (p *Pace) handleSilence(now time.Duration, out []Action) []Action {
	p.failures++
	if now-p.answeredAt >= p.terms.silenceTimeout {
		out = p.reportFailure(now, out)
	}
	if len(p.open) >= p.terms.maxOpen {
		i := p.leastNeeded(now)
		out = append(out, Action{Kind: GiveUp, Call: p.open[i].id})
		p.open = slices.Delete(p.open, i, i+1)
	}
	p.hasList = false // changes that they were to bring may be missing
	return out
}

// leastNeeded returns the index of the open call to give up. It keeps the oldest calls, which are the first in the queue of a
// registry that was held up and are enough to measure how fast it works. It keeps the newest, whose time is not over. Of the
// others it picks the one whose neighbours are closest together, relative to the spacing of calls of its age. So a call that began
// soon after the registry came back is not given up, however long answers take.
func (p *Pace) leastNeeded(now time.Duration) int {
	oldest := min(queueSamples, p.terms.maxOpen/4)
	best, minDistance := oldest, 0.0
	for i := oldest; i < len(p.open)-keptNewestCalls; i++ {
		distance := float64(p.open[i+1].beganAt-p.open[i-1].beganAt) / p.terms.spacing(now-p.open[i].beganAt)
		if i == oldest || distance < minDistance {
			best, minDistance = i, distance
		}
	}
	return best
}

func (p *Pace) begin(now time.Duration, whole bool, out []Action) []Action {
	p.lastCall++
	call := openCall{id: p.lastCall, beganAt: now, expiresAt: Never}
	timeout, minDelay := p.terms.listTimeout, p.terms.listHedgeDelay
	if !whole {
		call.wait, timeout, minDelay = p.terms.Wait, p.terms.watchTimeout, p.terms.watchHedgeDelay
	}
	if timeout > 0 {
		call.expiresAt = now + call.wait + timeout
	}
	p.open = append(p.open, call)
	if p.nextAt, p.nextDeadline = Never, Never; p.terms.maxOpen > 1 {
		p.nextAt = now + call.wait + p.hedgeDelay(now, minDelay)
		if p.terms.pausesBeforeHedge {
			p.nextAt += p.pause()
		}
	}
	return append(out, Action{Kind: Begin, Call: p.lastCall, Complete: whole})
}
