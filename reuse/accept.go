package reuse

import "time"

// This file decides whether an answer is taken for the one to its request.

// Hold returns how long an answer must be held back to see whether another one follows. Most answers are not held.
func (p *Policy[K]) Hold(now time.Duration, key K, c *Conn, answer Answer) time.Duration {
	if !c.IsReused() || answer.IsNamed {
		return 0
	}
	times := p.timesOf(key)
	if b := p.backends[key]; b != nil && answer.IsServed && b.namesRequests(now) {
		return times.longHold(answer.Elapsed) // all others of this backend named their requests
	}
	return times.hold(answer.Elapsed)
}

// timesOf returns the answer times of a backend, or those of all while its own are too few.
func (p *Policy[K]) timesOf(key K) *answerTimes {
	if b := p.backends[key]; b != nil && b.times.count >= minAnswerTimes {
		return &b.times
	}
	return &p.fleet
}

// AcceptsAnswer reports whether the answer that arrives on a connection can be taken for the one to its request. If it names its
// request, it can. Otherwise, on a reused connection, it can't if it arrives within QuietTime of the answer before, or if a surplus answer of the same backend was
// noticed after the request was written.
func (p *Policy[K]) AcceptsAnswer(now time.Duration, key K, c *Conn, isNamed bool) bool {
	if isNamed || !c.IsReused() || c.isForProbes {
		return true
	}
	b := p.backends[key]
	if b == nil {
		return now >= c.FreeAt+QuietTime
	}
	return now >= c.FreeAt+b.requiredQuiet(c.takenAt) && (b.orderLostAt == 0 || c.takenAt > b.orderLostAt)
}
