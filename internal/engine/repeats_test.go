package engine

import (
	"testing"
	"time"

	"glencart/balance"
)

// A keyed request is executed twice if its repeat is written after the window in which backends recognize it. So a repeat
// has a time limit for its write, on the engine's clock. The limit leaves room for a process that stalls for 0.15 s.
func TestRepeatHasTimeLimitForWrite(t *testing.T) {
	const window, stall = time.Second, 150 * time.Millisecond
	h := newHarness(t)
	h.e.UpdateBackends(balance.MembersAll, List{Complete: true, Members: []Member{
		{ID: "a", Addr: "10.0.0.1:1", Member: balance.Member{Weight: 1}}, {ID: "b", Addr: "10.0.0.2:1", Member: balance.Member{Weight: 1}}}})
	h.fillRetryBudget()
	start := h.clock
	h.e.Arrive(&Request{ID: "x", Class: 2, Deadline: start.Add(2 * time.Second), Reply: make(chan Answer, 1)})
	first := h.attempts["x/0"]
	h.clock = start.Add(800 * time.Millisecond)
	if first.TooLate() || !first.WriteBy.IsZero() {
		t.Errorf("the first attempt has the time limit %v", first.WriteBy)
	}
	first.Done(Result{Status: balance.Dropped})
	h.e.Step()
	repeat := h.attempts["x/1"]
	if repeat == nil {
		t.Fatal("no repeat was sent")
	}
	h.clock = start.Add(window - stall - 1)
	if repeat.TooLate() {
		t.Error("repeat is too late within the window")
	}
	h.clock = start.Add(window - stall)
	if !repeat.TooLate() {
		t.Error("repeat is not too late although a stall would exceed the window")
	}
}

// fillRetryBudget serves a few requests, which fillRetryBudget retries.
func (h *harness) fillRetryBudget() {
	for i := range 20 {
		r := &Request{ID: string(rune('A' + i)), Deadline: h.clock.Add(time.Second), Reply: make(chan Answer, 1)}
		h.e.Arrive(r)
		h.attempts[r.ID+"/0"].Done(Result{Status: balance.Delivered})
		h.e.Step()
	}
}

// An unwritten attempt must not reach a process that replaced the one that it was chosen for, at the same address or at
// another. It ends, and the request is placed again. An attempt whose write has begun continues.
func TestUnwrittenAttemptIsNotSentToReplacedProcess(t *testing.T) {
	for name, replacement := range map[string]Member{
		"moved":     {ID: "a", Addr: "10.0.0.2:1", Member: balance.Member{Weight: 1}},
		"restarted": {ID: "a", Addr: "10.0.0.1:1", Member: balance.Member{Weight: 1, Launched: time.Duration(1_799_999_000) * time.Second}},
	} {
		for _, isWritten := range []bool{false, true} {
			h := newHarness(t)
			h.e.UpdateBackends(balance.MembersAll, List{Complete: true, Members: []Member{{ID: "a", Addr: "10.0.0.1:1", Member: balance.Member{Weight: 1}}}})
			h.fillRetryBudget()
			r := &Request{ID: "x", Class: 1, Deadline: h.clock.Add(time.Second), Reply: make(chan Answer, 1)}
			h.e.Arrive(r)
			h.written["x/0"] = isWritten
			h.e.UpdateBackends(balance.MembersAll, List{Complete: true, Members: []Member{replacement}})
			h.e.Step()
			a := h.attempts["x/0"]
			if a.hasEnded == isWritten {
				t.Errorf("%s, written %t: over %t", name, isWritten, a.hasEnded)
			}
			if len(r.Reply) == 0 == !isWritten {
				t.Errorf("%s, written %t: %d answers", name, isWritten, len(r.Reply))
			}
		}
	}
}
