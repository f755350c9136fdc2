package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"glencart/balance"
)

// Arrive takes in a request. One whose id is still in use is turned away: backends could not tell the two apart.
// On the loop.
func (e *Engine) Arrive(r *Request) {
	if e.requests[r.ID] != nil {
		r.reply(Answer{Kind: Doubled})
		return
	}
	e.arrived++
	r.seq = e.arrived
	if !e.answerBy.IsZero() && r.Deadline.After(e.answerBy) {
		r.Deadline = e.answerBy
	}
	e.requests[r.ID] = r
	e.Handle(balance.Event{
		Kind: balance.RequestArrived, Request: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Key, HasKey: r.HasKey,
		Budget: max(r.Deadline.Sub(e.Now()), 0), Hint: r.Hint, Repeat: r.Repeat,
	})
}

// AnswerBy has every request that is open, and every one that comes, answered by then: the process ends soon after. A
// stream is let be until that time has come; told again then, the engine ends those that still owe their final answer.
// On the loop.
func (e *Engine) AnswerBy(end time.Time) {
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

// Place has the loop take in a request, at once in this goroutine if the loop is free. It reports false when the
// engine has ended. Any goroutine may call it that holds no lock which a Transport's method wants.
func (e *Engine) Place(r *Request) bool {
	if e.enter() {
		e.Arrive(r)
		e.leave()
		return true
	}
	return e.Post(func() { e.Arrive(r) })
}

// Gone takes in that a client has left before its answer. On the loop.
func (e *Engine) Gone(r *Request) {
	if e.requests[r.ID] != r || r.answered {
		return
	}
	r.answered = true
	r.claimed.Store(true)
	e.Handle(balance.Event{Kind: balance.ClientGone, Request: r.ID})
	e.endAttempts(r, balance.Revoked)
}

// OpenIDs names requests that have no answer yet, most of them at the most, in the order of their arrival. On the loop.
func (e *Engine) OpenIDs(most int) []string {
	var open []*Request
	for _, r := range e.requests {
		if !r.answered {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(x, y *Request) int { return cmp.Compare(x.seq, y.seq) })
	var ids []string
	for _, r := range open[:min(most, len(open))] {
		ids = append(ids, r.ID)
	}
	return ids
}

// Open is how many requests are in the table: those without an answer, and those with something still out.
// On the loop.
func (e *Engine) Open() int { return len(e.requests) }

func (e *Engine) send(act *balance.Action) {
	r, b := e.requests[act.Request], e.byNumber[act.Backend]
	if r == nil || b == nil {
		return
	}
	var a *Attempt
	if len(r.attempts) == 0 {
		a, r.attempts = &r.first, r.room[:0]
	} else {
		a = new(Attempt)
	}
	*a = Attempt{Request: r, To: b.to, Deadline: r.Deadline, engine: e, number: len(r.attempts), to: b, sent: e.Clock()}
	r.attempts = append(r.attempts, a)
	b.out++
	if b.phase != balance.Ready || r.claimed.Load() || r.stream != nil {
		e.outcome(a, Result{Status: balance.Unused})
		return
	}
	if act.Limit > 0 {
		if limit := e.Now().Add(act.Limit); limit.Before(a.Deadline) {
			a.Deadline = limit
		}
	}
	if act.Within > 0 {
		a.WriteBy = e.Now().Add(act.Within)
	}
	a.begun = true
	e.Transport.Send(a)
}

// outcome tells the Balancer how an attempt ended, once. What comes after it was given up changes nothing.
func (e *Engine) outcome(a *Attempt, res Result) {
	r := a.Request
	if a.over {
		return
	}
	if !r.answered {
		switch {
		case res.Status == balance.Delivered && r.claimed.CompareAndSwap(false, true):
			r.answered = true
			r.reply(Answer{Kind: Served, Body: res.Body})
		case r.stream == a && r.claimed.CompareAndSwap(false, true): // a break in a begun stream ends it
			r.answered = true
			r.reply(Answer{Kind: Failed, Begun: true, Body: res.Body})
		}
	}
	e.tell(a, res)
	if r.answered {
		e.endAttempts(r, balance.Revoked)
	}
}

// delivered is outcome for an answer that the transport has handed on, if it won the right to.
func (e *Engine) delivered(a *Attempt, res Result, won bool) {
	r := a.Request
	open := !r.answered
	if won {
		r.answered = true
	}
	switch {
	case !a.over:
		e.tell(a, res)
	case won && open: // it was given up, and has its client all the same
		e.Handle(balance.Event{Kind: balance.ClientGone, Request: r.ID})
	}
	if won {
		e.endAttempts(r, balance.Revoked)
	}
}

func (e *Engine) tell(a *Attempt, res Result) {
	r := a.Request
	if r.Hasty && res.Status == balance.Expired {
		res.Status = balance.Revoked
	}
	a.over = true
	r.begun = r.begun || !res.Status.NeverRan()
	if res.Body != nil {
		r.last = res.Body
	}
	e.forget(r)
	e.Handle(balance.Event{
		Kind: balance.Outcome, Request: r.ID, Attempt: a.number, Backend: a.to.number, Spent: e.Clock() - a.sent,
		Status: res.Status, NoMore: r.answered, Load: res.Load,
	})
	if e.Saw != nil {
		e.Saw(a.To.ID, res)
	}
	e.settle(a.to)
}

// started takes in that the client has the stream.
func (e *Engine) started(a *Attempt) {
	r := a.Request
	if a.over || r.answered || r.stream != nil {
		return
	}
	r.stream = a
	e.Handle(balance.Event{Kind: balance.StreamStarted, Request: r.ID, Attempt: a.number, Backend: a.to.number,
		Spent: e.Clock() - a.sent})
	for _, other := range r.attempts {
		if other != a {
			e.giveUp(other, balance.Revoked)
		}
	}
	if !e.answerBy.IsZero() && !e.Now().Before(e.answerBy) { // the last look at streams has been
		e.giveUp(a, balance.Expired)
	}
}

// giveUp ends an attempt and its connection.
func (e *Engine) giveUp(a *Attempt, st balance.Status) {
	if a.over {
		return
	}
	if a.begun {
		if e.Transport.Bar(a) {
			st = balance.Unused
		}
		e.Transport.GiveUp(a)
	}
	e.outcome(a, Result{Status: st})
}

// finish gives a request its final answer. Nothing that was sent for it can be of use any more.
func (e *Engine) finish(r *Request, ans Answer) {
	if r == nil {
		return
	}
	r.answered = true
	late := !e.Now().Before(r.Deadline)
	mine := r.claimed.CompareAndSwap(false, true) // else an answer is on its way to the client already
	st := balance.Revoked
	if late {
		st = balance.Expired
	}
	e.endAttempts(r, st)
	if mine {
		ans.Late, ans.Begun, ans.Body = late, r.begun, r.last
		r.reply(ans)
	}
}

func (e *Engine) endAttempts(r *Request, st balance.Status) {
	for _, a := range r.attempts {
		e.giveUp(a, st)
	}
	e.forget(r)
}

// stopAll gives up what is still out when the engine ends.
func (e *Engine) stopAll() {
	for _, r := range e.requests {
		for _, a := range r.attempts {
			if !a.over && a.begun {
				e.Transport.GiveUp(a)
			}
		}
	}
}

// forget drops a request from the table once it is answered. What is still out for it ends in the same step.
func (e *Engine) forget(r *Request) {
	if r.answered && e.requests[r.ID] == r {
		delete(e.requests, r.ID)
	}
}

func (e *Engine) probe(number balance.BackendID) {
	b := e.byNumber[number]
	if b == nil {
		return
	}
	sent := e.Clock()
	told := func(res Result) {
		e.Handle(balance.Event{Kind: balance.Probed, Backend: number, Spent: e.Clock() - sent,
			Status: res.Status, Load: res.Load})
		if e.Saw != nil {
			e.Saw(b.id, res)
		}
		e.settle(b)
	}
	b.out++
	if b.phase != balance.Ready {
		told(Result{Status: balance.Unused})
		return
	}
	e.Transport.Probe(b.to, func(res Result) { e.Post(func() { told(res) }) })
}
