package balance

import (
	"testing"
	"time"
)

// The group that drops a request's repeats is the one that its first attempt went to. A line that takes a backend out may
// come without a zone or a cell, and one may be moved.
func TestGroupIsThatOfTheSend(t *testing.T) {
	for _, class := range []int{keyedZone, keyedCell} {
		for name, line := range map[string]Member{
			"gone":  {Backend: 1, Phase: Gone},
			"moved": member(1, 0, 0),
		} {
			t.Run(name, func(t *testing.T) {
				r := newRig(t, site(), member(1, 1, 2))
				r.b.retries = retryMost
				r.arrive("x", class)
				if to := r.sent(); to != 1 {
					t.Fatalf("sent to %d", to)
				}
				r.do(Event{Kind: MembersChanged, Members: []Member{member(3, 0, 0), line}})
				r.outcome("x", 0, 1, Dropped)
				if len(of(Send, r.last)) != 0 || len(of(Fail, r.last)) != 1 {
					t.Errorf("class %d, with only another group's backends left: %+v", class, r.last)
				}
			})
		}
		r := newRig(t, site(), member(1, 1, 2))
		r.b.retries = retryMost
		r.arrive("x", class)
		r.do(Event{Kind: MembersChanged, Members: []Member{member(2, 1, 2), {Backend: 1, Phase: Gone}}})
		r.outcome("x", 0, 1, Dropped)
		if to := r.sent(); to != 2 {
			t.Errorf("class %d: sent to %d, want the group's other backend", class, to)
		}
	}
}

// Two zones that the settings don't name need not be one.
func TestUnknownZonesAreNoGroup(t *testing.T) {
	r := newRig(t, site(), member(1, -1, 0))
	r.b.retries = retryMost
	r.arrive("x", keyedZone)
	r.do(Event{Kind: MembersChanged, Members: []Member{member(2, -1, 0)}})
	r.outcome("x", 0, 1, Dropped)
	if len(of(Send, r.last)) != 0 || len(of(Fail, r.last)) != 1 {
		t.Errorf("%+v", r.last)
	}
}

// A repeat carries until when it may be written: what is left of the window of the first attempt that may have run, less the time
// for which a node may be held up.
func TestRepeatsCarryTheWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		status Status
		within time.Duration
	}{
		{"keyed", keyedAll, Dropped, 300*ms - heldUpMost},
		{"keyed, never ran", keyedAll, DialFailed, 0},
		{"safe", safe, Dropped, 0},
		{"unsafe, never ran", unsafe, Shed, 0},
	} {
		r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
		r.b.retries = retryMost
		r.arrive("x", c.class)
		first := r.sent()
		if in := of(Send, r.last)[0].Within; in != 0 {
			t.Errorf("%s: the first may be written within %v", c.name, in)
		}
		r.wait(200 * ms)
		r.outcome("x", 0, first, c.status)
		r.sent()
		if in := of(Send, r.last)[0].Within; in != c.within {
			t.Errorf("%s: the repeat may be written within %v, want %v", c.name, in, c.within)
		}
	}
}

// A refusal calls the client back: it is none where that would be after the window.
func TestRefusalKeepsToTheWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		kind  ActionKind
	}{{100 * ms, Refuse}, {349 * ms, Fail}, {499 * ms, Fail}, {500 * ms, Fail}} {
		cfg := site()
		cfg.Limits.MaxAttempts = 1
		r := newRig(t, cfg, member(1, 0, 0))
		r.arrive("x", keyedAll)
		first := r.sent()
		r.wait(c.after)
		r.outcome("x", 0, first, Dropped)
		got := of(c.kind, r.last)
		if len(got) != 1 {
			t.Errorf("after %v: %+v", c.after, r.last)
		} else if c.kind == Refuse && got[0].RetryIn >= 400*ms-heldUpMost {
			t.Errorf("called back in %v", got[0].RetryIn)
		}
	}
}
