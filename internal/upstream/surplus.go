package upstream

import (
	"strings"
	"time"

	"glencart/reuse"
)

// This file reports surplus bytes to package reuse and holds answers back that may be surplus.

// discardWatched closes a connection on whose watch something has arrived.
func (p *Pool) discardWatched(c *Conn) {
	if c.watch.hasBytes {
		p.DiscardSurplus(c, reuse.BytesWhileIdle)
		return
	}
	p.Discard(c, ByBackend)
}

// DiscardNotIdle closes a connection that was found unusable right before a request.
func (p *Pool) DiscardNotIdle(c *Conn) {
	if c.hasUnreadBytes() {
		p.DiscardSurplus(c, reuse.BytesWhileIdle)
		return
	}
	p.Discard(c, ByBackend)
}

// DiscardSurplus closes a connection that shows that its backend sends more answers than it gets requests. It also closes the idle
// connections that carry no further request.
func (p *Pool) DiscardSurplus(c *Conn, evidence reuse.Evidence) {
	p.stats.surplus[evidence].Add(1)
	key := backendKey(c.To)
	p.mu.Lock()
	defer p.unlockAndClose()
	now := p.now()
	distrust := p.policy.Report(now, key, &c.State, evidence)
	p.close(c, Surplus)
	for to := range p.idle {
		if distrust.All || backendKey(to) == key && distrust.Level == reuse.SingleUse {
			p.closeIdle(to, Distrusted)
		}
	}
	if distrust.Begins {
		p.options.Log.Warn("backend sends more answers than it gets requests", "now", distrust.Level, "id", c.To.ID, "address", c.To.Addr,
			"evidence", evidence, "connection", c.Number, "answers", c.State.Answers, "after", now-c.State.FreeAt, "for", distrust.For)
	}
	if distrust.All {
		p.options.Log.Warn("several backends send more answers than they get requests: one request per connection for all", "for", distrust.For)
	}
}

// KeepsOrder reports whether the answer that arrives on a connection can be the one to its request, by its time, its name and the surplus
// bytes of other connections to the same backend.
func (p *Pool) KeepsOrder(c *Conn, isNamed bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy.AcceptsAnswer(p.now(), backendKey(c.To), &c.State, isNamed)
}

// HasBytesBefore reports whether an answer could not be read because bytes stood before its status line.
func HasBytesBefore(err error) bool {
	return strings.HasPrefix(err.Error(), "malformed HTTP") && strings.Contains(err.Error(), "HTTP/1.")
}

// ReportUnreadable records that the answer to a probe on a reused connection was no load report. The connection stays in use.
func (p *Pool) ReportUnreadable(c *Conn) {
	p.stats.surplus[reuse.UnreadableReport].Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy.Report(p.now(), backendKey(c.To), &c.State, reuse.UnreadableReport)
}

// holdMargin is how long before the deadline of its attempt an answer must have been held back.
const holdMargin = 5 * time.Millisecond

// AcceptsAnswer reports whether the whole answer on a connection can be the one to its request. It holds back an answer that came too
// soon, to see whether another one follows. If the answer is not accepted, the connection is closed.
func (p *Pool) AcceptsAnswer(c *Conn, answer reuse.Answer, deadline time.Time) bool {
	key := backendKey(c.To)
	if !p.KeepsOrder(c, answer.IsNamed) {
		p.Discard(c, OrderLost)
		return false
	}
	p.mu.Lock()
	hold := p.policy.Hold(p.now(), key, &c.State, answer)
	p.mu.Unlock()
	switch {
	case hold == 0:
		return true
	case hold > time.Until(deadline)-holdMargin:
		p.Discard(c, OrderLost) // there is no time to see whether another answer follows
		return false
	}
	p.stats.held.Add(1)
	c.Limit.N = watchedBytes
	began := time.Now()
	c.SetReadDeadline(began.Add(hold))
	if _, err := c.Reader.Peek(1); err == nil {
		p.DiscardSurplus(c, reuse.SecondAnswer)
		return false
	}
	c.SetReadDeadline(deadline)
	c.OwnDelay += time.Since(began)
	return true
}
