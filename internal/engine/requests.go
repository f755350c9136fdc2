package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"glencart/balance"
)

// Arrive accepts a request. It answers a request whose id is in use by an open one with Duplicate, because backends could not
// distinguish the two, and so an unsafe one whose id has been used by a request that may have run. On the loop.
func (e *Engine) Arrive(r *Request) {
	if r.answerClaimed.Load() {
		return // the front end has answered it meanwhile
	}
	if e.requests[r.ID] != nil || !e.recordUnsafeID(r) {
		e.stats.duplicates.Add(1)
		r.reply(Answer{Kind: Duplicate})
		return
	}
	e.arrived++
	r.seq = e.arrived
	e.updateShortage(e.Clock())
	if !e.answerBy.IsZero() && r.Deadline.After(e.answerBy) {
		r.Deadline = e.answerBy
	}
	e.requests[r.ID] = r
	e.Handle(balance.Event{
		Kind: balance.RequestArrived, Request: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Key, HasKey: r.HasKey,
		Budget: max(r.Deadline.Sub(e.Now()), 0), Hint: r.Hint, IsRepeat: r.Repeat, IsBodyArriving: r.IsBodyArriving,
	})
}

// LimitDeadlines limits the deadline of open and later requests to end, because the process exits soon after. Streams continue
// until end. A further call at end stops the streams that have no final answer yet. On the loop.
func (e *Engine) LimitDeadlines(end time.Time) {
	if e.answerBy.IsZero() || end.Before(e.answerBy) {
		e.answerBy = end
	}
	now := e.Now()
	open := slices.SortedFunc(maps.Values(e.requests), func(x, y *Request) int { return cmp.Compare(x.seq, y.seq) })
	for _, r := range open {
		switch {
		case r.answered:
		case r.stream != nil:
			if !now.Before(e.answerBy) {
				e.giveUp(r.stream, balance.Expired)
			}
		case r.Deadline.After(e.answerBy):
			r.Deadline = e.answerBy
			e.Handle(balance.Event{Kind: balance.BudgetChanged, Request: r.ID, Budget: max(e.answerBy.Sub(now), 0)})
		}
	}
}

// ClaimAnswer claims the final answer of a request for the front end, which answers it itself and calls ClientGone. It reports false if
// another answer is on its way. It is for a request whose answer is overdue, and is safe for concurrent use.
func (r *Request) ClaimAnswer() bool { return r.answerClaimed.CompareAndSwap(false, true) }

// Submit calls Arrive on the loop, directly in this goroutine if the loop is idle. It reports false if the engine has
// ended. It is safe for concurrent use. The caller must hold no lock that a method of the Transport acquires.
func (e *Engine) Submit(r *Request) bool {
	if e.tryRunOnLoop(func() { e.Arrive(r) }) {
		return true
	}
	return e.Post(func() { e.Arrive(r) })
}

// ClientGone reports that the client disconnected before its answer. On the loop.
func (e *Engine) ClientGone(r *Request) {
	if e.requests[r.ID] != r || r.answered {
		return
	}
	r.answered = true
	r.answerClaimed.Store(true)
	e.Handle(balance.Event{Kind: balance.ClientGone, Request: r.ID})
	e.endAttempts(r, balance.Cancelled)
}

// OpenRequestIDs returns the ids of the first maxIDs requests without an answer, in order of arrival. On the loop.
func (e *Engine) OpenRequestIDs(maxIDs int) []string {
	var open []*Request
	for _, r := range e.requests {
		if !r.answered {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(x, y *Request) int { return cmp.Compare(x.seq, y.seq) })
	var ids []string
	for _, r := range open[:min(maxIDs, len(open))] {
		ids = append(ids, r.ID)
	}
	return ids
}

// OpenRequests returns the number of requests in the table. On the loop.
func (e *Engine) OpenRequests() int { return len(e.requests) }

func (e *Engine) send(act *balance.Action) {
	r, b := e.requests[act.Request], e.byNumber[act.Backend]
	if r == nil || b == nil {
		return
	}
	var a *Attempt
	if len(r.attempts) == 0 {
		a, r.attempts = &r.firstAttempt, r.attemptsBuf[:0]
	} else {
		a = new(Attempt)
		e.stats.countRetry(r)
	}
	*a = Attempt{Request: r, To: b.endpoint, Deadline: r.Deadline, engine: e, number: len(r.attempts), backend: b, sentAt: e.Clock()}
	r.attempts = append(r.attempts, a)
	b.outstanding++
	if b.phase != balance.Ready || r.answerClaimed.Load() || r.stream != nil {
		e.handleResult(a, Result{Status: balance.Unused})
		return
	}
	if act.AttemptTimeout > 0 {
		if limit := e.Now().Add(act.AttemptTimeout); limit.Before(a.Deadline) {
			a.Deadline = limit
		}
	}
	if act.WriteTimeout > 0 {
		a.WriteBy = e.Now().Add(act.WriteTimeout)
	}
	a.isSent = true
	e.Transport.Send(a)
}

// handleResult reports the result of an attempt to the Balancer, once. Results after the attempt was given up are ignored.
func (e *Engine) handleResult(a *Attempt, res Result) {
	r := a.Request
	if a.hasEnded {
		return
	}
	if !r.answered {
		switch {
		case res.Status == balance.Delivered && r.answerClaimed.CompareAndSwap(false, true):
			r.answered = true
			r.reply(Answer{Kind: Served, Body: res.Body})
		case r.stream == a && r.answerClaimed.CompareAndSwap(false, true): // the stream has begun, so a failed attempt ends it
			r.answered = true
			r.reply(Answer{Kind: Failed, MayHaveRun: true, Body: res.Body})
		}
	}
	e.reportOutcome(a, res)
	if r.answered {
		e.endAttempts(r, balance.Cancelled)
	}
}

// handleDelivered is handleResult for an answer that the transport itself passes on to the client. won reports whether it may do so.
func (e *Engine) handleDelivered(a *Attempt, res Result, won bool) {
	r := a.Request
	wasOpen := !r.answered
	if won {
		r.answered = true
	}
	switch {
	case !a.hasEnded:
		e.reportOutcome(a, res)
	case won && wasOpen: // the attempt was given up, but its answer reaches the client
		e.Handle(balance.Event{Kind: balance.ClientGone, Request: r.ID})
	}
	if won {
		e.endAttempts(r, balance.Cancelled)
	}
}

func (e *Engine) reportOutcome(a *Attempt, res Result) {
	r := a.Request
	res.Status = e.ownStatus(r, res)
	a.hasEnded = true
	r.lastStatus = res.Status
	r.mayHaveRun = r.mayHaveRun || !res.Status.NeverRan()
	if res.Body != nil {
		r.lastBody = res.Body
	}
	e.forget(r)
	e.Handle(balance.Event{
		Kind: balance.Outcome, Request: r.ID, Attempt: a.number, Backend: a.backend.number,
		Elapsed: max(0, e.Clock()-a.sentAt-res.OwnDelay), Status: res.Status, RequestEnded: r.answered, Load: res.Load,
	})
	if e.OnResult != nil {
		e.OnResult(a.To.ID, res)
	}
	e.release(a.backend)
}

// ownStatus returns the status of an outcome without what is no fault of the backend: time-outs while this process did not run, and
// deadlines that no backend meets.
func (e *Engine) ownStatus(r *Request, res Result) balance.Status {
	e.updateShortage(e.Clock())
	switch {
	case res.Status == balance.Expired && (r.HasShortDeadline || e.isShort):
		return balance.Cancelled
	case res.Status == balance.DialFailed && e.isShort && !res.Refused:
		return balance.Unused
	}
	return res.Status
}

// handleStreamStarted records that the client receives the stream of an attempt.
func (e *Engine) handleStreamStarted(a *Attempt) {
	r := a.Request
	if a.hasEnded || r.answered || r.stream != nil {
		return
	}
	r.stream = a
	e.Handle(balance.Event{Kind: balance.StreamStarted, Request: r.ID, Attempt: a.number, Backend: a.backend.number,
		Elapsed: e.Clock() - a.sentAt})
	for _, other := range r.attempts {
		if other != a {
			e.giveUp(other, balance.Cancelled)
		}
	}
	if !e.answerBy.IsZero() && !e.Now().Before(e.answerBy) { // LimitDeadlines has already ended the streams
		e.giveUp(a, balance.Expired)
	}
}

// giveUp ends an attempt, and its use of a connection.
func (e *Engine) giveUp(a *Attempt, st balance.Status) {
	if a.hasEnded {
		return
	}
	if a.isSent {
		if e.Transport.PreventWrite(a) {
			st = balance.Unused
		}
		e.Transport.Cancel(a)
	}
	e.handleResult(a, Result{Status: st})
}

// finish sends the final answer to a request and ends its attempts, whose results are of no use any more.
func (e *Engine) finish(r *Request, ans Answer) {
	if r == nil {
		return
	}
	r.answered = true
	late := !e.Now().Before(r.Deadline)
	won := r.answerClaimed.CompareAndSwap(false, true) // false: another answer is already on its way to the client
	st := balance.Cancelled
	if late {
		st = balance.Expired
	}
	e.endAttempts(r, st)
	if won {
		if ans.Kind == Refused {
			e.stats.countRefusal(r)
		}
		ans.Late, ans.MayHaveRun, ans.Body = late, r.mayHaveRun, r.lastBody
		r.reply(ans)
	}
}

func (e *Engine) endAttempts(r *Request, st balance.Status) {
	for _, a := range r.attempts {
		e.giveUp(a, st)
	}
	e.forget(r)
	e.keepUnsafeID(r)
}

// recordUnsafeID records the id of a request that must not run twice. It reports false if the id has been used.
func (e *Engine) recordUnsafeID(r *Request) bool {
	if !r.IsUnsafe || e.UnsafeIDs == nil {
		return true
	}
	now := e.Clock()
	r.isRecorded = e.UnsafeIDs.Add(r.ID, now, now+max(0, r.Deadline.Sub(e.Now()))+e.UnsafeIDRetention)
	return r.isRecorded
}

// keepUnsafeID sets the end of the record of a request whose attempts have ended. If none of them can have run, the id may be used again.
func (e *Engine) keepUnsafeID(r *Request) {
	if !r.isRecorded {
		return
	}
	r.isRecorded = false
	now := e.Clock()
	if r.mayHaveRun {
		e.UnsafeIDs.Extend(r.ID, now, now+e.UnsafeIDRetention)
		return
	}
	e.UnsafeIDs.Remove(r.ID, now)
}

// giveUpAll gives up all outstanding attempts when the engine ends.
func (e *Engine) giveUpAll() {
	for _, r := range e.requests {
		for _, a := range r.attempts {
			if !a.hasEnded && a.isSent {
				e.Transport.Cancel(a)
			}
		}
	}
}

// forget deletes an answered request from the table. Its outstanding attempts end in the same step.
func (e *Engine) forget(r *Request) {
	if r.answered && e.requests[r.ID] == r {
		delete(e.requests, r.ID)
	}
}

func (e *Engine) sendProbe(number balance.BackendID) {
	b := e.byNumber[number]
	if b == nil {
		return
	}
	sent := e.Clock()
	report := func(res Result) {
		elapsed := e.Clock() - sent
		e.stats.countProbe(res.Status, elapsed)
		e.Handle(balance.Event{Kind: balance.Probed, Backend: number, Elapsed: elapsed, Status: res.Status, Load: res.Load})
		e.stats.probeShare.Store(int64(100 * e.Balancer.ProbeShare()))
		if e.OnResult != nil {
			e.OnResult(b.id, res)
		}
		e.release(b)
	}
	b.outstanding++
	if b.phase != balance.Ready {
		report(Result{Status: balance.Unused})
		return
	}
	e.Transport.Probe(b.endpoint, func(res Result) { e.Post(func() { report(res) }) })
}
