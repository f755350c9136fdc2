package registry

// This file follows a registry: it makes the calls that package pace decides on, and accepts or rejects their answers.

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"glencart/internal/engine"
	"glencart/internal/lograte"
	"glencart/internal/members/registry/pace"
)

const (
	// noChangeInterval is how often the balancer is notified that an agent has no change. A shared registry sends that about as
	// often.
	quietEvery = 2 * time.Second
	// failureLogInterval is the least time between two log lines while calls keep failing.
	complainEvery = 10 * time.Second
)

// run is the state of one call of Run. It carries out what its pace decides.
type run struct {
	*Source
	ctx     context.Context
	began   time.Time // zero of the pace's clock
	addr    string
	pace    *pace.Pace
	out     []pace.Action
	open    map[int]*openCall // calls in progress, by id
	last    int               // id of the call begun last
	history callHistory
	calls   sync.WaitGroup
	answers chan answer

	complain lograte.Limited
	taken    lograte.Limited // for accepted lists
	why      error           // of the last failure
	failing  time.Time       // since when calls fail; zero: they don't
	begunBy  int             // id of the last call begun at failingSince
	told     time.Time       // when the failure was last logged
}

// openCall is a call in progress.
type openCall struct {
	cancel context.CancelFunc
	record *callRecord
}

// answer is the result of a call.
type answer struct {
	call  int
	at    time.Time
	list  engine.List
	text  uint64 // hash of the body
	known bool   // the body is the current complete list, and list is empty
	err   error
}

func (r *run) follow() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for r.ctx.Err() == nil {
		select {
		case <-r.moved:
			r.move()
		case a := <-r.answers: // before the timer: after a stall of the process both may be ready
			r.take(a)
		default:
			select {
			case <-r.ctx.Done():
				return
			case <-r.moved:
				r.move()
			case kind := <-r.asked:
				r.handle(pace.Event{Kind: pace.Wanted, Ask: kind})
			case a := <-r.answers:
				r.take(a)
			case <-wake.C:
				r.handle(pace.Event{Kind: pace.Ticked})
			}
		}
		if at := r.pace.Wake(); at == pace.Never {
			wake.Stop()
		} else {
			wake.Reset(at - time.Since(r.began))
		}
	}
}

// switchAddr continues at another address and keeps nothing of the old one.
func (r *run) move() {
	r.addr = r.at()
	r.holds, r.older, r.text, r.failing = false, 0, 0, time.Time{}
	r.handle(pace.Event{Kind: pace.Moved})
	r.http.CloseIdleConnections()
}

// handle passes an event to the pace and carries out its actions.
func (r *run) handle(ev pace.Event) {
	r.pace.Retune(r.terms()) // settings may have changed
	r.out = r.pace.Handle(time.Since(r.began), ev, r.out[:0])
	for _, a := range r.out {
		switch a.Kind {
		case pace.Begin:
			r.begin(a)
		case pace.GiveUp:
			r.giveUp(a.Call, ev.Kind)
		case pace.Lost:
			if ev.Kind == pace.Ticked { // no call has ended: they are silent
				r.why = fmt.Errorf("http://%s: no answer in time: check that it runs and can be reached", r.addr)
				r.complainOf()
			}
			r.lost()
		}
	}
}

// giveUp ends a call that is in progress. why is the event that led to it.
func (r *run) giveUp(call int, why pace.EventKind) {
	end := callNoRoom
	switch why {
	case pace.Answered:
		end = callSuperseded
	case pace.Moved:
		end = callMoved
	}
	r.open[call].cancel()
	r.open[call].record.close(end)
	r.stats.GivenUp.Add(1)
	delete(r.open, call)
}

// beginCall starts a call. Its result goes to answers, unless the call is given up.
func (r *run) begin(a pace.Action) {
	ctx, cancel := context.WithCancel(r.ctx)
	query, known, wait := "", r.text, time.Duration(0)
	if !a.Whole {
		wait = r.terms().Wait
		query = fmt.Sprintf("after=%d&wait_ms=%d", r.have, wait.Milliseconds())
	}
	record := newCallRecord(a.Call, a.Whole, wait)
	r.open[a.Call], r.last = &openCall{cancel, record}, a.Call
	r.history.add(record)
	r.stats.Begun.Add(1)
	if !r.failing.IsZero() {
		known = 0 // after a failure the balancer receives the list again
	}
	addr := r.addr
	r.calls.Go(func() {
		defer cancel()
		ans := r.call(record.observed(ctx), addr, query, known)
		ans.call = a.Call
		select {
		case r.answers <- ans:
		case <-ctx.Done():
		}
	})
}

// handleAnswer handles the result of a call, unless the call was given up or the address has changed.
func (r *run) take(a answer) {
	if !r.pace.Open(a.call) || r.addr != r.at() {
		return
	}
	record := r.open[a.call].record
	delete(r.open, a.call)
	answered := a.err == nil
	switch {
	case answered && !a.known:
		a.err = r.check(a.list, a.call)
	case answered && a.text != r.text: // the current list when the call began; another call has brought a newer one
		a.err = errPast
	}
	r.ended(record, answered, a.err)
	if a.err != nil {
		r.why = fmt.Errorf("http://%s: %w", r.addr, a.err)
		r.complainOf()
		// The connection is not used again: the rest of the answer may still be on its way.
		r.http.CloseIdleConnections()
		r.handle(pace.Event{Kind: pace.Failed, Call: a.call, TurnedAway: errors.Is(a.err, errTurnedAway), Past: errors.Is(a.err, errPast)})
		return
	}
	if a.list.Complete && a.text == r.text && r.failing.IsZero() {
		a.known = true // another call has brought it meanwhile
	}
	if a.known {
		a.list = engine.List{Revision: r.have}
	}
	fresh := !a.known && (a.list.Complete || len(a.list.Members) > 0 || a.list.Revision != r.have)
	if !r.holds || a.list.Revision != r.have {
		r.stats.ListsTaken.Add(1)
		r.taken.Info("list taken", "revision", a.list.Revision, "before", r.have, "entries", len(a.list.Members),
			"after", a.at.Sub(record.began), "call", a.call)
	}
	if now := time.Now(); fresh || r.near == 0 || !r.failing.IsZero() || now.Sub(r.heard) >= quietEvery {
		r.heard = now
		r.news(a.list)
	}
	if a.list.Complete {
		r.text = a.text
	} else if fresh {
		r.text = 0 // the current list is newer than that body
	}
	r.have, r.holds, r.named, r.older = a.list.Revision, true, r.named || len(a.list.Members) > 0, 0
	r.recovered()
	r.handle(pace.Event{Kind: pace.Answered, Call: a.call, At: a.at.Sub(r.began)})
}

// recordEnd records how a call ended by itself.
func (r *run) ended(record *callRecord, answered bool, err error) {
	switch {
	case err == nil:
		record.close(callTaken)
		r.stats.answered()
	case answered:
		record.close(callNotTaken)
		r.stats.NotTaken.Add(1)
	default:
		record.close(callFailed)
		r.stats.Failed.Add(1)
	}
	if answered && record.ended.Sub(record.began) > record.wait+r.terms().Late() {
		r.stats.AnsweredLate.Add(1)
	}
}

// validate returns why a list is rejected; the last good list then stays in use.
func (r *run) check(list engine.List, call int) error {
	switch {
	case list.Complete && len(list.Members) == 0 && r.named && r.near == 0:
		return errors.New("the complete list has no backend: the last list stays in use: check the registry")
	case !r.holds || list.Revision >= r.have:
		r.older = 0
	default:
		// An older list from a replica that lags would undo a drain. A registry whose revisions have restarted sends it again.
		if r.older == 0 {
			r.older = r.last
		}
		if call <= r.older {
			return fmt.Errorf("revision %d arrived after %d: %w", list.Revision, r.have, errPast)
		}
	}
	return nil
}

// logFailure logs that calls fail: at the first failure, and at intervals while calls keep failing.
func (r *run) complainOf() {
	now := time.Now()
	if r.failing.IsZero() {
		r.failing, r.begunBy = now, r.last
	} else if now.Sub(r.told) < complainEvery {
		return
	}
	r.told = now
	r.complain.Warn("discovery failed", "error", r.why, "list_age", r.stats.ListAge(), "revision", r.have,
		"open", len(r.open), "calls", r.history.text(now))
}

// logRecovery logs that calls succeed again, if they failed for long enough to be worth a line.
func (r *run) recovered() {
	if r.failing.IsZero() {
		return
	}
	if d := time.Since(r.failing); d >= pace.CallSlack {
		r.log.Info("discovery answers again", "after", d, "begun", r.last-r.begunBy, "calls", r.history.text(time.Now()))
	}
	r.failing = time.Time{}
}
