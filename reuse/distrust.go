package reuse

import "time"

// This file has the evidence that a backend sends more answers than it gets requests, and what follows from it.

// Evidence is a sign that a connection carries more answers than requests.
type Evidence int

// Kinds of evidence.
const (
	BytesWhileIdle    Evidence = iota // bytes arrived on an idle connection
	BytesBehindAnswer                 // bytes stood behind a whole answer
	SecondAnswer                      // bytes arrived while an answer was held back
	BytesBeforeAnswer                 // bytes stood before the status line of an answer on a reused connection
	UnreadableReport                  // a probe's answer was not a load report
	NoiseBehindAnswer                 // bytes stood behind a whole answer that begin no other
	RepeatedAnswer                    // an answer contained the id of an earlier request and not that of its own
	// NumberOfEvidence is the number of kinds.
	NumberOfEvidence = int(RepeatedAnswer) + 1
)

// String returns the name of the evidence in logs and counters.
func (e Evidence) String() string {
	return [NumberOfEvidence]string{"bytes_while_idle", "bytes_behind_answer", "second_answer", "bytes_before_answer", "unreadable_report",
		"noise_behind_answer", "repeated_answer"}[e]
}

// Level is how much a backend is trusted to answer each request once.
type Level int

// Levels of trust.
const (
	Trusted   Level = iota // its connections are reused after QuietTime
	Cautious               // its surplus bytes were noticed in time; its connections are reused after a time that follows their lateness
	SingleUse              // its connections carry one request each
)

// String returns the name of the level in logs.
func (l Level) String() string { return [...]string{"trusted", "cautious", "single use"}[l] }

// Distrust is the consequence of evidence.
type Distrust struct {
	Begins bool // this evidence lowers the level of its backend
	Level  Level
	For    time.Duration // length of the period
	All    bool          // all backends have the level SingleUse from now on
}

// Report records evidence that a connection to a backend carried more answers than requests. The caller closes that connection, at
// once or behind its current exchange, and the idle ones that carry no further request. An unreadable report changes only its connection, which stays open: the backend may have
// another form of reports, and if the report was another answer, the real one follows and is noticed.
func (p *Policy[K]) Report(now time.Duration, key K, c *Conn, evidence Evidence) Distrust {
	b := p.backend(now, key)
	if evidence == UnreadableReport {
		c.isForProbes = true
		return Distrust{Level: p.LevelOf(now, key)}
	}
	level := Cautious
	if p.mayHaveMisled(now, key, c, evidence) {
		level = SingleUse
		b.orderLostAt = now
	}
	if evidence == BytesWhileIdle || evidence == RepeatedAnswer {
		b.quietTime = max(b.quietTime, latenessFactor*(now-c.FreeAt))
	}
	result := Distrust{Level: level}
	switch {
	case now >= b.distrustedUntil:
		b.distrustFor = min(max(2*b.distrustFor, minDistrust), maxDistrust)
		b.distrustedUntil, b.level = now+b.distrustFor, level
		b.trustedFrom = b.distrustedUntil + probation
		result.Begins = true
	case level > b.level:
		b.level = level
		result.Begins = true
	}
	result.For = b.distrustedUntil - now
	if p.count(now, SingleUse) >= max(fleetBackends, len(p.backends)/fleetDivisor) && now >= p.distrustedAll {
		p.distrustedAll = b.distrustedUntil
		result.All = true
	}
	return result
}

// mayHaveMisled reports whether surplus bytes of this kind may have reached a request, or may do so in spite of the quiet time.
func (p *Policy[K]) mayHaveMisled(now time.Duration, key K, c *Conn, evidence Evidence) bool {
	switch evidence {
	case BytesWhileIdle:
		return p.followsWrongAnswer(now, key, c) || now-c.FreeAt > p.backends[key].requiredQuiet(now)
	case BytesBehindAnswer:
		return p.followsWrongAnswer(now, key, c)
	case NoiseBehindAnswer, RepeatedAnswer:
		return false
	}
	return true
}

// followsWrongAnswer reports whether the bytes behind an answer on a reused connection may be the real answer. That is unlikely the
// first time, if the answer took as long as others.
func (p *Policy[K]) followsWrongAnswer(now time.Duration, key K, c *Conn) bool {
	if c.Answers <= 1 || c.wasNamed || c.wasLong {
		return false
	}
	times := p.timesOf(key)
	return now < p.backends[key].distrustedUntil || times.bound() == 0 || c.answerTime < times.mean/2
}
