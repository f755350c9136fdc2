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
	"glencart/internal/sock"
)

const (
	// noChangeInterval is how often the balancer is notified that an agent has no change. A shared registry sends that about as
	// often.
	noChangeInterval = 2 * time.Second
	// failureLogInterval is the least time between two log lines while calls keep failing.
	failureLogInterval = 10 * time.Second
)

// run is the state of one call of Run. It carries out what its pace decides.
type run struct {
	*Source
	ctx      context.Context
	beganAt  time.Time // zero of the pace's clock
	addr     string
	pace     *pace.Pace
	actions  []pace.Action
	open     map[int]*openCall // calls in progress, by id
	lastCall int               // id of the call begun last
	history  callHistory
	calls    sync.WaitGroup
	answers  chan answer

	failureLog        lograte.Limited
	listLog           lograte.Limited // for accepted lists
	lastErr           error           // of the last failure
	failingSince      time.Time       // since when calls fail; zero: they don't
	lastCallAtFailure int             // id of the last call begun by failingSince
	failureLoggedAt   time.Time       // when the failure was last logged
}

// openCall is a call in progress.
type openCall struct {
	cancel context.CancelFunc
	record *callRecord
}

// answer is the result of a call.
type answer struct {
	call      int
	arrivedAt time.Time // when it was read
	writtenAt time.Time // the latest time for which it is known to be current
	list      engine.List
	textHash  uint64 // hash of the body
	isKnown   bool   // the body is the current complete list, and list is empty
	err       error
}

func (r *run) loop() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for r.ctx.Err() == nil {
		select {
		case <-r.addrChanged:
			r.switchAddr()
		case a := <-r.answers: // before the timer: after a stall of the process both may be ready
			r.handleAnswer(a)
		default:
			select {
			case <-r.ctx.Done():
				return
			case <-r.addrChanged:
				r.switchAddr()
			case kind := <-r.wanted:
				r.handle(pace.Event{Kind: pace.Requested, Ask: kind})
			case a := <-r.answers:
				r.handleAnswer(a)
			case <-wake.C:
				r.handle(pace.Event{Kind: pace.Ticked})
			}
		}
		if at := r.pace.Wake(); at == pace.Never {
			wake.Stop()
		} else {
			wake.Reset(at - time.Since(r.beganAt))
		}
	}
}

// switchAddr continues at another address and keeps nothing of the old one.
func (r *run) switchAddr() {
	r.addr = r.currentAddr()
	r.hasList, r.staleUntilCall, r.textHash, r.failingSince = false, 0, 0, time.Time{}
	r.handle(pace.Event{Kind: pace.AddrChanged})
	r.http.CloseIdleConnections()
}

// handle passes an event to the pace and carries out its actions.
func (r *run) handle(ev pace.Event) {
	r.pace.Retune(r.terms()) // settings may have changed
	r.actions = r.pace.Handle(time.Since(r.beganAt), ev, r.actions[:0])
	for _, a := range r.actions {
		switch a.Kind {
		case pace.Begin:
			r.beginCall(a)
		case pace.GiveUp:
			r.giveUp(a.Call, ev.Kind)
		case pace.ReportFailure:
			if ev.Kind == pace.Ticked { // no call has ended: they are silent
				r.lastErr = fmt.Errorf("http://%s: no answer in time: check that it runs and can be reached", r.addr)
				r.logFailure()
			}
			r.onFailure()
		}
	}
}

// giveUp ends a call that is in progress. why is the event that led to it.
func (r *run) giveUp(call int, why pace.EventKind) {
	end := callTimedOut
	switch why {
	case pace.Answered:
		end = callSuperseded
	case pace.AddrChanged:
		end = callAddrChanged
	}
	r.open[call].cancel()
	r.open[call].record.isUnhandled.Store(false)
	r.open[call].record.close(end)
	r.stats.GivenUp.Add(1)
	delete(r.open, call)
}

// beginCall starts a call. Its result goes to answers, unless the call is given up.
func (r *run) beginCall(a pace.Action) {
	ctx, cancel := context.WithCancel(r.ctx)
	query, known, wait := "", r.textHash, time.Duration(0)
	if !a.Complete {
		wait = r.terms().Wait
		query = fmt.Sprintf("after=%d&wait_ms=%d", r.listRevision, wait.Milliseconds())
	}
	record := newCallRecord(a.Call, a.Complete, wait)
	r.open[a.Call], r.lastCall = &openCall{cancel, record}, a.Call
	r.history.add(record)
	r.stats.Begun.Add(1)
	if !r.failingSince.IsZero() {
		known = 0 // after a failure the balancer receives the list again
	}
	addr := r.addr
	r.calls.Go(func() {
		defer cancel()
		observesCall, number := r.observer != nil && a.Complete, 0
		if observesCall {
			number = r.observer.ListCallBegan(record.hasUnreadAnswer)
		}
		ans := r.call(record.traced(ctx), addr, query, known)
		if observesCall && ans.err != nil && record.written.Load() == 0 && sock.IsLocalError(ans.err) {
			r.observer.ListCallNotSent(number)
		}
		ans.call, ans.writtenAt = a.Call, record.writtenAt()
		record.isUnhandled.Store(ans.err == nil)
		record.conn.Store(nil) // another call may use it now
		select {
		case r.answers <- ans:
		case <-ctx.Done():
		}
	})
}

// handleAnswer handles the result of a call, unless the call was given up or the address has changed.
func (r *run) handleAnswer(a answer) {
	if !r.pace.Open(a.call) || r.addr != r.currentAddr() {
		return
	}
	record := r.open[a.call].record
	delete(r.open, a.call)
	answered := a.err == nil
	switch {
	case answered && !a.isKnown:
		a.err = r.validate(a.list, a.call)
	case answered && a.textHash != r.textHash: // the current list when the call began; another call has brought a newer one
		a.err = errStaleList
	}
	r.recordEnd(record, answered, a.err)
	if a.err != nil {
		record.isUnhandled.Store(false)
		r.lastErr = fmt.Errorf("http://%s: %w", r.addr, a.err)
		r.logFailure()
		// The connection is not used again: the rest of the answer may still be on its way.
		r.http.CloseIdleConnections()
		r.handle(pace.Event{Kind: pace.Failed, Call: a.call, Unavailable: errors.Is(a.err, errUnavailable), Stale: errors.Is(a.err, errStaleList)})
		return
	}
	if a.list.Complete && a.textHash == r.textHash && r.failingSince.IsZero() {
		a.isKnown = true // another call has brought it meanwhile
	}
	if a.isKnown {
		a.list = engine.List{Revision: r.listRevision}
	}
	isNew := !a.isKnown && (a.list.Complete || len(a.list.Members) > 0 || a.list.Revision != r.listRevision)
	if !r.hasList || a.list.Revision != r.listRevision {
		r.stats.ListsAccepted.Add(1)
		r.listLog.Info("list taken", "revision", a.list.Revision, "before", r.listRevision, "entries", len(a.list.Members),
			"after", a.arrivedAt.Sub(record.beganAt), "call", a.call)
	}
	if now := time.Now(); isNew || r.agentCalls == 0 || !r.failingSince.IsZero() || now.Sub(r.lastListAt) >= noChangeInterval {
		r.lastListAt = now
		r.onList(a.list)
	}
	if a.list.Complete {
		r.textHash = a.textHash
	} else if isNew {
		r.textHash = 0 // the current list is newer than that body
	}
	r.listRevision, r.hasList, r.seenBackend, r.staleUntilCall = a.list.Revision, true, r.seenBackend || len(a.list.Members) > 0, 0
	r.logRecovery()
	if r.observer != nil {
		r.observer.Confirmed(a.writtenAt)
	}
	r.handle(pace.Event{Kind: pace.Answered, Call: a.call, At: a.arrivedAt.Sub(r.beganAt)})
}

// recordEnd records how a call ended by itself.
func (r *run) recordEnd(record *callRecord, answered bool, err error) {
	switch {
	case err == nil:
		record.close(callAccepted)
		r.stats.recordAccepted()
	case answered:
		record.close(callRejected)
		r.stats.Rejected.Add(1)
	default:
		record.close(callFailed)
		r.stats.Failed.Add(1)
	}
	if answered && record.endedAt.Sub(record.beganAt) > record.wait+r.terms().HedgeDelay() {
		r.stats.AnsweredLate.Add(1)
	}
}

// validate returns why a list is rejected; the last good list then stays in use.
func (r *run) validate(list engine.List, call int) error {
	switch {
	case list.Complete && len(list.Members) == 0 && r.seenBackend && r.agentCalls == 0:
		return errors.New("the complete list has no backend: the last list stays in use: check the registry")
	case !r.hasList || list.Revision >= r.listRevision:
		r.staleUntilCall = 0
	default:
		// An older list from a replica that lags would undo a drain. A registry whose revisions have restarted sends it again.
		if r.staleUntilCall == 0 {
			r.staleUntilCall = r.lastCall
		}
		if call <= r.staleUntilCall {
			return fmt.Errorf("revision %d arrived after %d: %w", list.Revision, r.listRevision, errStaleList)
		}
	}
	return nil
}

// logFailure logs that calls fail: at the first failure, and at intervals while calls keep failing.
func (r *run) logFailure() {
	now := time.Now()
	if r.failingSince.IsZero() {
		r.failingSince, r.lastCallAtFailure = now, r.lastCall
	} else if now.Sub(r.failureLoggedAt) < failureLogInterval {
		return
	}
	r.failureLoggedAt = now
	r.failureLog.Warn("discovery failed", "error", r.lastErr, "list_age", r.stats.ListAge(), "revision", r.listRevision,
		"open", len(r.open), "calls", r.history.text(now))
}

// logRecovery logs that calls succeed again, if they failed for long enough to be worth a line.
func (r *run) logRecovery() {
	if r.failingSince.IsZero() {
		return
	}
	if d := time.Since(r.failingSince); d >= pace.AnswerTimeout {
		r.log.Info("discovery answers again", "after", d, "begun", r.lastCall-r.lastCallAtFailure, "calls", r.history.text(time.Now()))
	}
	r.failingSince = time.Time{}
}
