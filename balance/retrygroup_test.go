package balance

import (
	"testing"
	"time"
)

// A keyed request may be retried only in the group of its first attempt, as of the send. An update that removes a backend
// may lack the zone and cell, and another may move it, so the current entry doesn't show that group.
func TestRetryGroupIsThatOfFirstSend(t *testing.T) {
	for _, class := range []int{keyedZone, keyedCell} {
		for name, line := range map[string]Member{
			"gone":  {Backend: 1, Phase: Gone},
			"moved": member(1, 0, 0),
		} {
			t.Run(name, func(t *testing.T) {
				r := newRig(t, testConfig(), member(1, 1, 2))
				r.b.retryBudget = maxRetryBudget
				r.arrive("x", class)
				if to := r.sentTo(); to != 1 {
					t.Fatalf("sent to %d", to)
				}
				r.do(Event{Kind: MembersChanged, Members: []Member{member(3, 0, 0), line}})
				r.outcome("x", 0, 1, Dropped)
				if len(ofKind(Send, r.last)) != 0 || len(ofKind(Fail, r.last)) != 1 {
					t.Errorf("class %d, with only another group's backends left: %+v", class, r.last)
				}
			})
		}
		r := newRig(t, testConfig(), member(1, 1, 2))
		r.b.retryBudget = maxRetryBudget
		r.arrive("x", class)
		r.do(Event{Kind: MembersChanged, Members: []Member{member(2, 1, 2), {Backend: 1, Phase: Gone}}})
		r.outcome("x", 0, 1, Dropped)
		if to := r.sentTo(); to != 2 {
			t.Errorf("class %d: sent to %d, want the group's other backend", class, to)
		}
	}
}

// Backends with unknown zones may be in different ones, so they are no group.
func TestUnknownZonesAreNoGroup(t *testing.T) {
	r := newRig(t, testConfig(), member(1, -1, 0))
	r.b.retryBudget = maxRetryBudget
	r.arrive("x", keyedZone)
	r.do(Event{Kind: MembersChanged, Members: []Member{member(2, -1, 0)}})
	r.outcome("x", 0, 1, Dropped)
	if len(ofKind(Send, r.last)) != 0 || len(ofKind(Fail, r.last)) != 1 {
		t.Errorf("%+v", r.last)
	}
}

// A retry of a keyed request carries the time within which it has to be written: the rest of the window of the first
// attempt that may have run, less the longest stall of a node.
func TestRetryCarriesRestOfWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		status Status
		within time.Duration
	}{
		{"keyed", keyedAll, Dropped, 300*ms - maxStall},
		{"keyed, never ran", keyedAll, DialFailed, 0},
		{"safe", safe, Dropped, 0},
		{"unsafe, never ran", unsafe, Shed, 0},
	} {
		r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
		r.b.retryBudget = maxRetryBudget
		r.arrive("x", c.class)
		first := r.sentTo()
		if in := ofKind(Send, r.last)[0].WriteTimeout; in != 0 {
			t.Errorf("%s: the first attempt has to be written within %v", c.name, in)
		}
		r.wait(200 * ms)
		r.outcome("x", 0, first, c.status)
		r.sentTo()
		if in := ofKind(Send, r.last)[0].WriteTimeout; in != c.within {
			t.Errorf("%s: the retry has to be written within %v, want %v", c.name, in, c.within)
		}
	}
}

// A rejected client repeats its request after the retry-after. If that is not within the window, the request has to fail.
func TestRetryAfterStaysWithinWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		kind  ActionKind
	}{{100 * ms, Reject}, {349 * ms, Fail}, {499 * ms, Fail}, {500 * ms, Fail}} {
		cfg := testConfig()
		cfg.Limits.MaxAttempts = 1
		r := newRig(t, cfg, member(1, 0, 0))
		r.arrive("x", keyedAll)
		first := r.sentTo()
		r.wait(c.after)
		r.outcome("x", 0, first, Dropped)
		got := ofKind(c.kind, r.last)
		if len(got) != 1 {
			t.Errorf("after %v: %+v", c.after, r.last)
		} else if c.kind == Reject && got[0].RetryAfter >= 400*ms-maxStall {
			t.Errorf("retry-after %v", got[0].RetryAfter)
		}
	}
}
