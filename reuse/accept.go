package reuse

import (
	"math"
	"time"
)

// This file decides whether an answer is taken for the one to its request. It is the counterpart of readyAt: a connection carries a request
// early, before it has been quiet, only if the answer can be judged here without being ended for want of time or of a name.
//
// On a connection in early use, every earlier answer of the last requiredQuiet was short and named its request. So a repeat of one of them
// is short and names an earlier request. An answer that names no request is the answer to its own, or surplus that repeats nothing. If it
// is long, it is accepted. If it is short, it is held until its own answer would have come. What can't be distinguished is listed in
// docs/design/0014-connection-reuse.md.

// Verdict is what to do with an answer.
type Verdict int

// Verdicts.
const (
	Accept Verdict = iota // take it for the answer to its request
	Wait                  // accept it, unless another answer arrives behind it during Judgement.Hold
	Skip                  // it belongs to an earlier request; the answer to this one follows
	Reject                // it may belong to another request, and the connection can't carry more
)

// Reason is why an answer is not taken for the one to its request.
type Reason int

// Reasons.
const (
	NoReason          Reason = iota
	NamesEarlier             // it contains the id of an earlier request of its connection, and not that of its own
	MayRepeatLong            // it is long, as an earlier one of its connection was, and its backend has shown a surplus meanwhile
	SuspectNeverRan          // it says that its request has not run, and may belong to another
	NoTimeToHold             // its request has no time left to see whether another answer follows
	FollowedByAnother        // another answer came behind it while it was held back
	BehindNoise              // it is long, and bytes stood ahead of it that begin no answer
	// NumberOfReasons is the number of reasons.
	NumberOfReasons = int(BehindNoise) + 1
)

// String returns the name of the reason in logs and counters.
func (r Reason) String() string {
	return [NumberOfReasons]string{"none", "names_earlier_request", "may_repeat_long_answer", "suspect_never_ran", "no_time_to_hold",
		"followed_by_another", "behind_noise"}[r]
}

// Judgement is the decision about one answer.
type Judgement struct {
	Verdict Verdict
	Reason  Reason        // of Skip and Reject
	Hold    time.Duration // of Wait
}

const (
	// NoDeadline is the deadline of a request without one.
	NoDeadline time.Duration = math.MaxInt64
	// holdMargin is how long before the deadline of its request an answer must have been held back.
	holdMargin = 5 * time.Millisecond
	// writeMargin is how long after the choice of its connection a request is written at most, unless the process is held up.
	writeMargin = 20 * time.Millisecond
	// maxLateness is how late a repeat of a long answer may come.
	maxLateness = 2 * time.Second
)

// Judge decides about the answer to a request that must be answered by a deadline.
func (p *Policy[K]) Judge(now, deadline time.Duration, key K, c *Conn, answer Answer) Judgement {
	switch {
	case answer.IsNamed, !c.IsReused(), c.isForProbes:
		return Judgement{Verdict: Accept}
	case answer.NamesEarlier:
		return Judgement{Verdict: Skip, Reason: NamesEarlier}
	case answer.IsBehindNoise && answer.IsLong:
		return Judgement{Verdict: Reject, Reason: BehindNoise}
	case answer.IsLong:
		return p.judgeLong(now, key, c)
	}
	isSuspect := answer.IsBehindNoise || !p.AcceptsAnswer(now, key, c, false)
	if isSuspect && answer.NeverRan {
		return Judgement{Verdict: Reject, Reason: SuspectNeverRan}
	}
	hold := p.Hold(now, key, c, answer)
	isTooSoon := answer.Elapsed < p.timesOf(key).bound()
	if isSuspect {
		hold = max(hold, p.ownAnswerBy(key, c, c.takenAt)-now)
	}
	timeLeft := deadline - now - holdMargin
	switch {
	case hold <= 0:
		return Judgement{Verdict: Accept}
	case hold <= timeLeft:
		return Judgement{Verdict: Wait, Hold: hold}
	case isSuspect || isTooSoon:
		return Judgement{Verdict: Reject, Reason: NoTimeToHold}
	case timeLeft <= 0:
		return Judgement{Verdict: Accept} // the connection was quiet, and nothing else speaks against the answer
	}
	return Judgement{Verdict: Wait, Hold: timeLeft}
}

// JudgeBehind decides about an answer that arrived behind one that was held back (Wait). Accept: it is the answer to the request, or equal to
// that. Skip: it repeats an earlier one, and shows nothing of the one held back. Reject: either may be foreign.
func JudgeBehind(second Answer) Verdict {
	switch {
	case second.IsNamed, second.EqualsHeld:
		return Accept
	case second.NamesEarlier:
		return Skip
	}
	return Reject
}

// judgeLong decides about a long answer that names no request. It can only repeat an earlier long one of its connection.
func (p *Policy[K]) judgeLong(now time.Duration, key K, c *Conn) Judgement {
	mayRepeat := c.longAt != 0 && now-c.longAt < maxLateness
	if mayRepeat && (now < c.longAt+QuietTime || p.backends[key].hasLostOrderSince(c.takenAt)) {
		return Judgement{Verdict: Reject, Reason: MayRepeatLong}
	}
	return Judgement{Verdict: Accept}
}

// ownAnswerBy returns when the answer to a request that is written on a connection at this time will most likely have come, if another one
// comes first.
func (p *Policy[K]) ownAnswerBy(key K, c *Conn, writtenAt time.Duration) time.Duration {
	return max(c.FreeAt+QuietTime, writtenAt+p.timesOf(key).suspectHold())
}

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

// AcceptsAnswer reports whether the answer that arrives on a connection can be taken for the one to its request as soon as it is there. If
// it names its request, it can. Otherwise, on a reused connection, it can't if it arrives within QuietTime of the answer before, or if a
// surplus answer of the same backend was noticed after the request was written.
func (p *Policy[K]) AcceptsAnswer(now time.Duration, key K, c *Conn, isNamed bool) bool {
	if isNamed || !c.IsReused() || c.isForProbes {
		return true
	}
	b := p.backends[key]
	if b == nil {
		return now >= c.FreeAt+QuietTime
	}
	return now >= c.FreeAt+b.requiredQuiet(c.takenAt) && !b.hasLostOrderSince(c.takenAt)
}

// hasLostOrderSince reports whether answers that went to the wrong request were noticed after a request was written.
func (b *backend) hasLostOrderSince(writtenAt time.Duration) bool {
	return b != nil && b.orderLostAt != 0 && writtenAt <= b.orderLostAt
}
