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

// DiscardBehind closes a connection on which bytes stand behind a whole answer that was taken for the one to its request.
func (p *Pool) DiscardBehind(c *Conn, answer reuse.Answer) {
	p.mu.Lock()
	p.policy.Answered(p.now(), backendKey(c.To), &c.State, answer)
	p.mu.Unlock()
	evidence := reuse.NoiseBehindAnswer
	if c.mayBeginAnswer() {
		evidence = reuse.BytesBehindAnswer
	}
	p.DiscardSurplus(c, evidence)
}

// DiscardSurplus closes a connection that shows that its backend sends more answers than it gets requests. It also closes the idle
// connections that carry no further request.
func (p *Pool) DiscardSurplus(c *Conn, evidence reuse.Evidence) {
	p.stats.surplus[evidence].Add(1)
	p.mu.Lock()
	defer p.unlockAndClose()
	distrust := p.report(c, evidence)
	p.close(c, Surplus)
	p.closeDistrusted(c, distrust)
}

// closeDistrusted closes the idle connections that carry no further request after surplus on a connection. The caller holds mu.
func (p *Pool) closeDistrusted(c *Conn, distrust reuse.Distrust) {
	for to := range p.idle {
		if distrust.All || backendKey(to) == backendKey(c.To) && distrust.Level == reuse.SingleUse {
			p.closeIdle(to, Distrusted)
		}
	}
}

// report reports evidence to the policy and logs what follows from it. The caller holds mu.
func (p *Pool) report(c *Conn, evidence reuse.Evidence) reuse.Distrust {
	now := p.now()
	distrust := p.policy.Report(now, backendKey(c.To), &c.State, evidence)
	if distrust.Begins {
		p.options.Log.Warn("backend sends more answers than it gets requests", "now", distrust.Level, "id", c.To.ID, "address", c.To.Addr,
			"evidence", evidence, "connection", c.Number, "answers", c.State.Answers, "after", now-c.State.FreeAt, "for", distrust.For)
	}
	if distrust.All {
		p.options.Log.Warn("several backends send more answers than they get requests: one request per connection for all", "for", distrust.For)
	}
	return distrust
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

// AcceptsAnswer reports whether the answer on a connection is taken for the one to its request, as Judge decides. If it isn't, the
// connection is closed. It is for answers that name no requests.
func (p *Pool) AcceptsAnswer(c *Conn, answer reuse.Answer, deadline time.Time) bool {
	switch p.Judge(c, answer, deadline) {
	case reuse.Accept:
		return true
	case reuse.Wait:
		p.RejectBoth(c, answer)
	case reuse.Skip:
		p.Discard(c, OrderLost)
	}
	return false
}

// Judge decides whether the answer on a connection is taken for the one to its request. It holds an answer back for as long as that must
// wait. The answer must have been read whole, unless it is long. After Reject the connection is closed. After Skip the answer to the
// request follows, and the connection is closed behind that. Wait means that another answer arrives behind this one: the caller reads it
// and calls JudgeBehind, or else calls RejectBoth.
func (p *Pool) Judge(c *Conn, answer reuse.Answer, deadline time.Time) reuse.Verdict {
	p.mu.Lock()
	judgement := p.policy.Judge(p.now(), p.policyTime(deadline), backendKey(c.To), &c.State, answer)
	p.mu.Unlock()
	switch judgement.Verdict {
	case reuse.Skip:
		p.recordNotTaken(c, answer, judgement.Reason)
		p.reportInUse(c, reuse.RepeatedAnswer)
	case reuse.Reject:
		p.recordNotTaken(c, answer, judgement.Reason)
		p.Discard(c, OrderLost)
	case reuse.Wait:
		if !p.isFollowed(c, judgement.Hold, deadline) {
			return reuse.Accept
		}
	}
	return judgement.Verdict
}

// JudgeBehind decides about an answer that came behind one that was held back. Accept: it is taken for the one to the request. Skip: it belongs to an
// earlier request, and the caller calls Judge for the first one again. Reject: neither is taken, and the connection is closed.
func (p *Pool) JudgeBehind(c *Conn, first, second reuse.Answer) reuse.Verdict {
	verdict := reuse.JudgeBehind(second)
	switch verdict {
	case reuse.Accept:
		p.recordNotTaken(c, first, reuse.FollowedByAnother)
		p.reportInUse(c, reuse.SecondAnswer)
	case reuse.Skip:
		p.recordNotTaken(c, second, reuse.NamesEarlier)
		p.reportInUse(c, reuse.RepeatedAnswer)
	default:
		p.RejectBoth(c, first)
	}
	return verdict
}

// RejectBoth closes a connection on which another answer, which can't be distinguished, came behind one that was held back.
func (p *Pool) RejectBoth(c *Conn, first reuse.Answer) {
	p.recordNotTaken(c, first, reuse.FollowedByAnother)
	p.DiscardSurplus(c, reuse.SecondAnswer)
}

// recordNotTaken counts and logs an answer that is not taken for the one to its request.
func (p *Pool) recordNotTaken(c *Conn, answer reuse.Answer, reason reuse.Reason) {
	p.stats.notTaken[reason].Add(1)
	p.notTakenLog.Warn("answer not taken for the one to its request", "id", answer.RequestID, "reason", reason, "backend", c.To.ID,
		"address", c.To.Addr, "connection", c.Number, "answers", c.State.Answers, "elapsed", answer.Elapsed)
}

// ReportNoise records that bytes stood ahead of an answer that begin none. The connection is closed behind the current exchange.
func (p *Pool) ReportNoise(c *Conn) { p.reportInUse(c, reuse.NoiseBehindAnswer) }

// reportInUse reports surplus on a connection that stays in use until the end of its current exchange.
func (p *Pool) reportInUse(c *Conn, evidence reuse.Evidence) {
	c.hasSurplus = true
	p.stats.surplus[evidence].Add(1)
	p.mu.Lock()
	defer p.unlockAndClose()
	p.closeDistrusted(c, p.report(c, evidence))
}

// answerStart is what every answer begins with (RFC 9112, section 4).
const answerStart = "HTTP/"

// isFollowed holds an answer back and reports whether another one arrives behind it. Other bytes belong to no request.
func (p *Pool) isFollowed(c *Conn, hold time.Duration, deadline time.Time) bool {
	p.stats.held.Add(1)
	c.Limit.N = watchedBytes
	began := time.Now()
	c.SetReadDeadline(began.Add(hold))
	_, err := c.Reader.Peek(1)
	c.SetReadDeadline(deadline)
	c.OwnDelay += time.Since(began)
	return err == nil && c.mayBeginAnswer()
}
