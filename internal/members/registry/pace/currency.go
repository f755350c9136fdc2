package pace

import "time"

// maxHoldUp is how long a process may be held up between the check of its list and the write of a request.
const maxHoldUp = 150 * time.Millisecond

// Currency decides whether a request may be sent by the current list. What an agent has counts as reported to the node, whether or not
// the node has run since. So a node that was held up must not send by the list that it had before: a backend on it may have been
// removed for longer than the drain grace. NewCurrency returns one.
//
// The list is current if the agent confirmed it recently enough. Watches are answered at intervals, so while node and agent run the last
// confirmation is never old. If it is, either the node was held up, and a confirmation follows soon after it runs again, or the
// agent is silent. Then nothing more is known, as long as calls go on: a call for the complete list that has had time for its answer and
// got none shows that the agent had nothing to report when the call began. An answer that this process has not read yet is none of that.
type Currency struct {
	maxAge, maxWait time.Duration
	confirmedAt     time.Duration
	isConfirmed     bool // ever
	calls           [4]listCall
	lastCall        int // number of the last call for the complete list
}

// listCall is a call for the complete list.
type listCall struct {
	number    int // 0: there was none
	beganAt   time.Duration
	hasUnread func() bool
}

// AnswerPatience is how long an agent that runs takes at most for the answer to a call for the complete list.
const AnswerPatience = 100 * time.Millisecond

// NewCurrency returns the Currency of a list that no agent has confirmed yet. grace is the drain grace.
func NewCurrency(grace time.Duration) *Currency {
	c := &Currency{}
	c.SetGrace(grace)
	return c
}

// SetGrace sets another drain grace.
func (c *Currency) SetGrace(grace time.Duration) {
	grace = graceOrDefault(grace)
	terms := AgentTerms(grace, MaxAgentCalls)
	// A watch is answered after its wait at the latest.
	c.maxAge = max(grace-maxHoldUp, terms.Wait+terms.watchHedgeDelay/2)
	c.maxWait = terms.Wait + terms.watchHedgeDelay + AnswerPatience
}

// ListCallBegan records that a call for the complete list has begun, and returns its number. hasUnread reports whether an answer to it
// waits to be read.
func (c *Currency) ListCallBegan(at time.Duration, hasUnread func() bool) int {
	c.lastCall++
	c.calls[c.lastCall%len(c.calls)] = listCall{c.lastCall, at, hasUnread}
	return c.lastCall
}

// ListCallNotSent records that a call was not sent, for a reason of this machine. That it has no answer says nothing of the agent.
func (c *Currency) ListCallNotSent(number int) {
	if call := &c.calls[number%len(c.calls)]; call.number == number {
		*call = listCall{}
	}
}

// Confirm records that the agent wrote an answer at a time, and that the list in use is the one of that answer.
func (c *Currency) Confirm(at time.Duration) {
	if !c.isConfirmed || at > c.confirmedAt {
		c.confirmedAt = at
	}
	c.isConfirmed = true
}

// MaySend reports whether a request may be sent now.
func (c *Currency) MaySend(now time.Duration) bool {
	return c.isConfirmed && now-c.confirmedAt <= c.maxAge || c.isSilent(now)
}

// isSilent reports whether a call has had time for its answer, got none, and is not older than a confirmation may be.
func (c *Currency) isSilent(now time.Duration) bool {
	for _, call := range c.calls {
		isUnanswered := call.number > 0 && (!c.isConfirmed || c.confirmedAt < call.beganAt)
		if isUnanswered && call.beganAt >= now-c.maxAge && call.beganAt <= now-AnswerPatience && !call.hasUnread() {
			return true
		}
	}
	return false
}

// MaxWait is how long a request waits until it may be sent. If neither an answer nor a call has come by then, it must not be sent.
func (c *Currency) MaxWait() time.Duration { return c.maxWait }

// Age returns the time since the last confirmation, or since the zero of the clock if there was none.
func (c *Currency) Age(now time.Duration) time.Duration { return now - c.confirmedAt }
