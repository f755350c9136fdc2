package pace

import (
	"testing"
	"time"
)

// currencyRun plays a node with watches of an agent in virtual time, in steps of a millisecond. It returns how long requests waited in
// all and how many were sent by a list that the agent had replaced for longer than the grace and the node's allowance.
type currencyRun struct {
	grace             time.Duration
	answerTime        time.Duration    // of the agent
	heldUp            [2]time.Duration // the node does not run from the first to the second
	silent            [2]time.Duration // the agent does not answer from the first to the second
	replacedAt        time.Duration    // the agent replaces the list
	waited            time.Duration
	sendsAfterRemoval int
}

func neverUnread() bool { return false }

func (r *currencyRun) play(until time.Duration) {
	const step = time.Millisecond
	c := NewCurrency(r.grace)
	terms := AgentTerms(r.grace, MaxAgentCalls)
	hasNew := false
	callAt := time.Duration(0)
	nextHedgeAt := time.Duration(0)
	c.ListCallBegan(0, neverUnread)
	c.Confirm(0) // the first call reads the complete list
	for now := time.Duration(0); now < until; now += step {
		if now >= r.heldUp[0] && now < r.heldUp[1] {
			continue
		}
		// A request is due at each step; it is sent before the answer of the agent is read.
		switch {
		case c.MaySend(now):
			if !hasNew && r.replacedAt > 0 && now-r.replacedAt > r.grace {
				r.sendsAfterRemoval++
			}
		default:
			r.waited += step
		}
		// The watch is answered at a change, or after its wait. What was written while the node was held up is read now. While the
		// agent is silent, calls are lost, and another one begins at each step.
		answeredAt := callAt + terms.Wait
		if r.replacedAt > 0 && !hasNew {
			answeredAt = min(answeredAt, max(callAt, r.replacedAt))
		}
		answeredAt += r.answerTime
		isLost := r.silent[1] > 0 && callAt < r.silent[1] && answeredAt >= r.silent[0]
		switch {
		case !isLost && now >= answeredAt:
			hasNew = hasNew || r.replacedAt > 0 && answeredAt >= r.replacedAt
			c.Confirm(answeredAt)
			callAt, nextHedgeAt = now, now+terms.Wait+terms.watchHedgeDelay
		case isLost && now >= nextHedgeAt:
			callAt, nextHedgeAt = now-terms.Wait, now+terms.listHedgeDelay // a whole list, without a wait
			c.ListCallBegan(now, neverUnread)
		}
	}
}

// Requests of a node that had been held up went to backends that its agent had removed long before. They must wait for the agent's
// answer, however long the node was held up and whenever the list changed. Where node and agent run, no request may wait.
func TestHeldUpNodeAwaitsConfirmation(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		calm := &currencyRun{grace: grace, answerTime: 5 * time.Millisecond, replacedAt: 3 * time.Second}
		calm.play(6 * time.Second)
		if calm.waited > 0 || calm.sendsAfterRemoval > 0 {
			t.Errorf("grace %v, calm: requests waited %v, %d sent after the grace", grace, calm.waited, calm.sendsAfterRemoval)
		}
		for heldFor := 50 * time.Millisecond; heldFor < 4*time.Second; heldFor = heldFor * 3 / 2 {
			for change := time.Duration(0); change < heldFor; change += heldFor / 8 {
				r := &currencyRun{grace: grace, answerTime: 5 * time.Millisecond, replacedAt: 3*time.Second + change,
					heldUp: [2]time.Duration{3 * time.Second, 3*time.Second + heldFor}}
				r.play(9 * time.Second)
				if r.sendsAfterRemoval > 0 {
					t.Errorf("grace %v, held up for %v, change after %v: %d requests sent after the grace", grace, heldFor, change, r.sendsAfterRemoval)
				}
			}
		}
	}
}

// A call that could not be sent, for want of descriptors, has no answer either. It must not look like a silent agent.
func TestCallNotSentShowsNoSilence(t *testing.T) {
	c := NewCurrency(500 * time.Millisecond)
	first := c.ListCallBegan(0, neverUnread)
	c.ListCallNotSent(first)
	if c.MaySend(200 * time.Millisecond) {
		t.Error("a request may be sent, although no call was sent")
	}
	c.ListCallBegan(100*time.Millisecond, neverUnread)
	c.ListCallNotSent(first) // reported once more: nothing of the second call
	if !c.MaySend(250 * time.Millisecond) {
		t.Error("no request may be sent, although a call has no answer")
	}
}

// A node that runs seldom, but never stops for long, took the answers that it had not read for silence of its agent. What waits to be read
// is no silence, however old its call is.
func TestUnreadAnswerShowsNoSilence(t *testing.T) {
	c, isUnread := NewCurrency(500*time.Millisecond), true
	c.ListCallBegan(0, func() bool { return isUnread })
	for now := time.Duration(0); now < 300*time.Millisecond; now += 10 * time.Millisecond {
		if c.MaySend(now) {
			t.Fatalf("a request may be sent at %v, although an answer waits to be read", now)
		}
	}
	isUnread = false
	if !c.MaySend(300 * time.Millisecond) {
		t.Error("no request may be sent, although the agent is silent")
	}
}

// An agent that is down has nothing to report. Requests must not wait for it more than once.
func TestSilentAgentDelaysRequestsOnce(t *testing.T) {
	const grace = 500 * time.Millisecond
	r := &currencyRun{grace: grace, answerTime: 5 * time.Millisecond, silent: [2]time.Duration{3 * time.Second, 20 * time.Second}}
	r.play(19 * time.Second)
	if limit := NewCurrency(grace).MaxWait() + 10*time.Millisecond; r.waited > limit {
		t.Errorf("requests waited %v for a silent agent, at most %v expected", r.waited, limit)
	}
}

// While its agent was silent a node was held up, and the agent came back meanwhile with another list. Requests must wait until a call that
// began after the hold-up has had time for its answer.
func TestHeldUpNodeAwaitsReturningAgent(t *testing.T) {
	const grace = 500 * time.Millisecond
	for heldFor := 100 * time.Millisecond; heldFor < 2*time.Second; heldFor += 100 * time.Millisecond {
		for back := time.Duration(0); back < heldFor; back += 50 * time.Millisecond {
			r := &currencyRun{grace: grace, answerTime: 5 * time.Millisecond, replacedAt: 5*time.Second + back,
				silent: [2]time.Duration{3 * time.Second, 5*time.Second + back}, heldUp: [2]time.Duration{5 * time.Second, 5*time.Second + heldFor}}
			r.play(9 * time.Second)
			if r.sendsAfterRemoval > 0 {
				t.Errorf("held up for %v, agent back after %v: %d requests sent after the grace", heldFor, back, r.sendsAfterRemoval)
			}
		}
	}
}
