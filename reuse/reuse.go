// Package reuse decides when a kept HTTP/1.1 connection to a backend may carry another request. It is pure: no sockets, no
// goroutines, no clock.
//
// An HTTP/1.1 answer names no request. It belongs to one by order alone. A backend that answers a request twice therefore shifts
// every later answer on that connection by one request. The package keeps the order in five ways:
//
//   - A connection carries another request only after it has been quiet for QuietTime.
//   - Where the answers of a backend name their requests, no quiet time is needed behind an answer that was short and did so. An answer
//     that names an earlier request of its connection is not taken, and one that names none is held back if it is short.
//   - At first, only one connection to a backend is reused at a time.
//   - Surplus bytes are remembered. The later they come, the longer a backend must be quiet from then on. One whose surplus may
//     reach requests nevertheless gets one request per connection. When several backends do, all of them are treated so.
//   - An answer on a reused connection that comes faster than that backend has ever answered is held back. A further answer
//     meanwhile shows that the order is lost.
//
// The package doesn't detect surplus bytes. The owner of the connections reports them.
package reuse

import (
	"slices"
	"strings"
	"time"
)

const (
	// QuietTime is how long a connection must have been quiet before it carries another request. A second answer that is up to
	// 100 ms late arrives in this time, even if the backend or the link holds it up for another 50 ms.
	QuietTime = 150 * time.Millisecond
	// A connection may carry another request sooner by the time that every answer of its backend takes, but not before
	// minQuietTime. An answer that nevertheless arrives before QuietTime is not accepted.
	minQuietTime = 25 * time.Millisecond
	// latenessFactor is how much longer than its surplus bytes were late a backend must be quiet from then on.
	latenessFactor = 8
	// minDistrust is how long a backend is distrusted after its first surplus bytes. The time doubles with
	// each further period, up to maxDistrust.
	minDistrust, maxDistrust = 10 * time.Minute, 4 * time.Hour
	// probation is how long only one reused connection to a backend is in use at a time, from its first answer on. If answers are
	// one ahead of requests from the start, one request is harmed before that is noticed.
	probation = 2 * time.Second
	// minNamedInRow is how many served answers in a row must have named their requests before a connection is reused without
	// a quiet time. unnamedPause is how long that ends after an answer that did not, such as a rejection.
	minNamedInRow, unnamedPause = 32, 2 * time.Second
	// fleetBackends is how many backends with one request per connection cause the same for all, if they are at least one in
	// fleetDivisor.
	fleetBackends, fleetDivisor = 3, 4
	// forgetAfter is how long a backend without use or distrust stays in memory.
	forgetAfter = time.Hour
)

// Conn is what a Policy stores of one connection. The zero value is a new connection.
type Conn struct {
	Answers int           // whole answers that it has carried
	FreeAt  time.Duration // when its last answer was whole

	takenAt     time.Duration // when it was last taken for a request
	unnamedAt   time.Duration // when its last answer was whole that was long or named no request
	longAt      time.Duration // when its last answer was whole that was long and named no request; 0: none
	remembered  []string      // ids of its last requests with answers that named them, the oldest at next
	next        int
	answerTime  time.Duration // of its last answer
	wasNamed    bool          // its last answer named its request
	wasLong     bool          // its last answer was long
	unconfirmed bool          // nothing has confirmed yet that answerTime belongs to its own request
	isForProbes bool          // it carries probes only
}

// Answer describes a whole answer.
type Answer struct {
	Elapsed  time.Duration // from the request to the answer
	IsProbe  bool          // it answers a probe
	IsServed bool          // its backend has served the request
	IsNamed  bool          // it contains the id of its request

	RequestID     string // of its request; may be empty
	NamesEarlier  bool   // it contains the id of an earlier request of its connection (Conn.NamesEarlier), and not that of its own
	IsLong        bool   // it was passed on before it was whole, since it is too long or too slow to be held
	NeverRan      bool   // it says that its request has not run
	IsBehindNoise bool   // bytes stood ahead of it that begin no answer
	EqualsHeld    bool   // what would be passed on of it equals the answer that was held back
}

// IsReused reports whether the connection has carried an answer before.
func (c *Conn) IsReused() bool { return c.Answers > 0 }

// maxRemembered is how many ids of earlier requests a connection remembers. In QuietTime it carries fewer, unless each takes under 5 ms.
const maxRemembered = 32

// remember stores the id of a request whose answer named it.
func (c *Conn) remember(id string) {
	id = strings.Clone(id) // it may be a part of a whole head
	switch {
	case id == "":
		return
	case len(c.remembered) < maxRemembered:
		c.remembered = append(c.remembered, id)
		return
	}
	c.remembered[c.next] = id
	c.next = (c.next + 1) % maxRemembered
}

// NamesEarlier reports whether an answer contains the id of an earlier request of the connection.
func (c *Conn) NamesEarlier(contains func(id string) bool) bool {
	return slices.ContainsFunc(c.remembered, contains)
}

// WasNamed reports whether the last answer of the connection named its request.
func (c *Conn) WasNamed() bool { return c.IsReused() && c.wasNamed }

// Choice is what to do for a request: use the idle connection with this index after a wait, or dial if there is none.
type Choice struct {
	Index int // -1: dial
	Wait  time.Duration
}

// Policy decides for the connections of one pool. K identifies a backend. A Policy must not be used concurrently.
type Policy[K comparable] struct {
	backends      map[K]*backend
	fleet         answerTimes
	distrustedAll time.Duration // until then all backends are distrusted
}

type backend struct {
	lastUse         time.Duration
	level           Level         // until distrustedUntil
	quietTime       time.Duration // of its connections, until distrustedUntil
	distrustedUntil time.Duration
	distrustFor     time.Duration // length of the last period
	orderLostAt     time.Duration // answers to requests written until then on reused connections are not accepted
	trustedFrom     time.Duration // end of probation; 0: the backend has not answered yet
	trial           *Conn         // the one connection that is reused during probation
	trialEnds       time.Duration // when trial is known to be in order; 0: its answer has not come
	times           answerTimes
	namedInRow      int           // served answers in a row that named their requests
	unnamedAt       time.Duration // when an answer last named no request
}

// New returns a Policy that trusts all backends.
func New[K comparable]() *Policy[K] { return &Policy[K]{backends: map[K]*backend{}} }

func (p *Policy[K]) backend(now time.Duration, key K) *backend {
	b := p.backends[key]
	if b == nil {
		b = &backend{}
		p.backends[key] = b
	}
	b.lastUse = now
	return b
}

// LevelOf returns the level of a backend.
func (p *Policy[K]) LevelOf(now time.Duration, key K) Level {
	if now < p.distrustedAll {
		return SingleUse
	}
	if b := p.backends[key]; b != nil && now < b.distrustedUntil {
		return b.level
	}
	return Trusted
}

// Distrusted returns the number of backends that are not trusted because of their own surplus bytes.
func (p *Policy[K]) Distrusted(now time.Duration) (n int) { return p.count(now, Cautious) }

// count returns the number of backends with this level or a lower one, because of their own surplus bytes.
func (p *Policy[K]) count(now time.Duration, level Level) (n int) {
	for _, b := range p.backends {
		if now < b.distrustedUntil && b.level >= level {
			n++
		}
	}
	return n
}

// readyAt returns when a connection may carry a request with this deadline. It reports false if it never may.
func (p *Policy[K]) readyAt(now, deadline time.Duration, key K, c *Conn) (time.Duration, bool) {
	switch {
	case !c.IsReused():
		return 0, true
	case c.isForProbes:
		return 0, false
	}
	if p.LevelOf(now, key) == SingleUse {
		return 0, false
	}
	b := p.backends[key]
	if b == nil {
		return c.FreeAt + QuietTime, true
	}
	isFree := b.namesRequests(now) || !b.hasTrial(now)
	quietAt := c.FreeAt + b.requiredQuiet(now)
	earlyAt := b.earlyAt(now, c)
	if earlyAt < quietAt && p.canJudgeEarly(key, c, max(earlyAt, now), deadline) {
		return earlyAt, isFree
	}
	return quietAt, isFree
}

// earlyAt returns when a connection may carry a request before it has been quiet for the whole time: at once behind an answer that was short
// and named its request, if those of its backend do, or when no answer of its backend can come before the connection has been quiet.
func (b *backend) earlyAt(now time.Duration, c *Conn) time.Duration {
	if b.namesRequests(now) {
		return max(c.FreeAt, c.unnamedAt+b.requiredQuiet(now))
	}
	behindLong := time.Duration(0)
	if c.longAt != 0 {
		behindLong = c.longAt + b.requiredQuiet(now)
	}
	return max(c.FreeAt+max(b.requiredQuiet(now)-b.times.bound(), minQuietTime), behindLong)
}

// canJudgeEarly reports whether a request that is written at this time leaves time to hold back an answer that names no request.
func (p *Policy[K]) canJudgeEarly(key K, c *Conn, writtenAt, deadline time.Duration) bool {
	return p.ownAnswerBy(key, c, writtenAt) <= deadline-holdMargin-writeMargin
}

// namesRequests reports whether the backend's answers name their requests. Then each answer shows for itself whether it belongs to
// its request.
func (b *backend) namesRequests(now time.Duration) bool {
	return b.namedInRow >= minNamedInRow && now-b.unnamedAt > unnamedPause
}

// requiredQuiet returns how long after an answer the next one can come that belongs to its own request.
func (b *backend) requiredQuiet(now time.Duration) time.Duration {
	if now < b.distrustedUntil {
		return max(b.quietTime, QuietTime)
	}
	return QuietTime
}

// hasTrial reports whether a backend on probation has a reused connection in use.
func (b *backend) hasTrial(now time.Duration) bool {
	return now < b.trustedFrom && b.trial != nil && (b.trialEnds == 0 || now < b.trialEnds)
}

// ChooseForRequest chooses among the idle connections to a backend, which are in the order of FreeAt. It prefers a quiet connection
// that has carried an answer before, since a backend works on each new one, and among those the one used last. If none is quiet,
// it chooses the one that is so first.
func (p *Policy[K]) ChooseForRequest(now time.Duration, key K, idle []*Conn) Choice {
	return p.ChooseWithDeadline(now, NoDeadline, key, idle)
}

// ChooseWithDeadline is like ChooseForRequest for a request that must be answered by a deadline.
func (p *Policy[K]) ChooseWithDeadline(now, deadline time.Duration, key K, idle []*Conn) Choice {
	best := Choice{Index: -1}
	for i, c := range idle {
		at, ok := p.readyAt(now, deadline, key, c)
		if !ok {
			continue
		}
		wait := max(at-now, 0)
		switch {
		case best.Index < 0, wait < best.Wait:
			best = Choice{i, wait}
		case wait == 0 && best.Wait == 0 && c.IsReused():
			best.Index = i
		}
	}
	if best.Index >= 0 && idle[best.Index].IsReused() {
		p.beginTrial(now, key, idle[best.Index])
	}
	return best
}

// ChooseForProbe chooses among the same connections for a probe. The answer to another probe does no harm, so a probe needs no quiet
// connection. One that was not quiet carries probes only from then on. Such connections come first. Otherwise the probe
// gets the one that has been idle longest.
func (p *Policy[K]) ChooseForProbe(now time.Duration, key K, idle []*Conn) Choice {
	best := Choice{Index: -1}
	for i, c := range idle {
		switch {
		case c.IsReused() && p.LevelOf(now, key) == SingleUse:
		case c.isForProbes, best.Index < 0, c.IsReused() && !idle[best.Index].IsReused():
			best.Index = i
		}
	}
	if best.Index >= 0 {
		c := idle[best.Index]
		c.isForProbes = c.isForProbes || c.IsReused() && now < c.FreeAt+QuietTime
	}
	return best
}

// beginTrial makes a chosen connection the only one that is reused, if its backend is on probation.
func (p *Policy[K]) beginTrial(now time.Duration, key K, c *Conn) {
	if b := p.backends[key]; b != nil && now < b.trustedFrom {
		b.trial, b.trialEnds = c, 0
	}
}

// Released records that a chosen connection was closed, or not used after all.
func (p *Policy[K]) Released(key K, c *Conn) {
	if b := p.backends[key]; b != nil && b.trial == c {
		b.trial = nil
	}
}

// Taken records that a connection is about to carry a request. It has stayed quiet since its last answer, so that answer was the one
// to its own request.
func (p *Policy[K]) Taken(now time.Duration, key K, c *Conn) {
	c.takenAt = now
	if c.unconfirmed && !c.isForProbes {
		p.addAnswerTime(now, key, c.answerTime)
		c.unconfirmed = false
	}
}

// Answered records a whole answer. Answers to probes are not compared with those to requests.
func (p *Policy[K]) Answered(now time.Duration, key K, c *Conn, answer Answer) {
	b := p.backend(now, key)
	if b.trustedFrom == 0 {
		b.trustedFrom = now + probation
	}
	if b.trial == c {
		b.trialEnds = now + QuietTime
	}
	isFirst := !c.IsReused()
	c.Answers++
	c.FreeAt, c.answerTime, c.wasNamed, c.wasLong = now, answer.Elapsed, answer.IsNamed, answer.IsLong
	c.unconfirmed = !answer.IsProbe && !isFirst
	if !answer.IsProbe {
		c.recordNaming(now, answer)
	}
	if answer.IsProbe {
		return
	}
	b.countNamed(now, answer)
	if isFirst {
		p.addAnswerTime(now, key, answer.Elapsed)
	}
}

// recordNaming records what a repeat of a whole answer on the connection would look like.
func (c *Conn) recordNaming(now time.Duration, answer Answer) {
	if !answer.IsNamed || answer.IsLong {
		c.unnamedAt = now
	}
	switch {
	case answer.IsNamed:
		c.remember(answer.RequestID)
	case answer.IsLong:
		c.longAt = now
	}
}

// countNamed records whether an answer named its request.
func (b *backend) countNamed(now time.Duration, answer Answer) {
	switch {
	case answer.IsNamed:
		b.namedInRow++
		return
	case answer.IsLong:
		return // it shows nothing of the short ones
	case answer.IsServed:
		b.namedInRow = 0
	}
	b.unnamedAt = now
}

func (p *Policy[K]) addAnswerTime(now time.Duration, key K, elapsed time.Duration) {
	p.backend(now, key).times.add(now, elapsed)
	p.fleet.add(now, elapsed)
}

// Prune forgets backends that are no longer used.
func (p *Policy[K]) Prune(now time.Duration) {
	for key, b := range p.backends {
		if now > b.distrustedUntil && now-b.lastUse > forgetAfter {
			delete(p.backends, key)
		}
	}
}
