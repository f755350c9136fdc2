package balance

import (
	"fmt"
	"testing"
	"time"
)

// Backends come and go under new ids. One that is gone must stay in memory for as long as it has pending attempts, and no
// longer. A late outcome for it must be harmless.
func TestGoneBackendIsRemovedFromMemory(t *testing.T) {
	b, err := New(Config{Classes: []Class{{Aim: time.Second, Deadline: time.Minute}}, Limits: Limits{MaxAttempts: 2}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	handle := func(ev Event) []Action {
		now += time.Millisecond
		return b.Handle(now, ev, nil)
	}
	var out []Event // outcomes to come
	const ids = 2000
	for i := range BackendID(ids) {
		handle(Event{Kind: MembersChanged, Members: []Member{{Backend: i}, {Backend: 1 << 20, Phase: Gone}}})
		id := fmt.Sprint(i)
		for _, a := range handle(Event{Kind: RequestArrived, Request: id, Budget: time.Minute}) {
			if a.Kind == Send {
				out = append(out, Event{Kind: Outcome, Request: id, Attempt: a.Attempt, Backend: a.Backend, RequestEnded: true})
			}
		}
		if i%2 == 0 {
			handle(Event{Kind: MembersChanged, Members: []Member{{Backend: i, Phase: Gone}}})
		} else {
			handle(Event{Kind: MembersAll})
		}
	}
	if len(out) != ids || len(b.backends) != ids {
		t.Fatalf("%d attempts pending, %d backends in memory", len(out), len(b.backends))
	}
	for _, ev := range out {
		handle(ev)
	}
	if len(b.backends) != 0 || len(b.requests) != 0 {
		t.Errorf("%d backends and %d requests left in memory", len(b.backends), len(b.requests))
	}
	handle(out[0])
	handle(Event{Kind: Probed, Backend: 5, Load: Load{Has: HasActive, Active: 3}})
}

// If one attempt in ten breaks at every backend alike, none is an outlier, and no request may be rejected for it.
func TestRandomFailuresCauseNoRejection(t *testing.T) {
	b, err := New(Config{Classes: []Class{{Aim: time.Second, Deadline: time.Minute, Effect: Safe}},
		Limits: Limits{MaxAttempts: 1}}, 7)
	if err != nil {
		t.Fatal(err)
	}
	now, refused := time.Second, 0
	handle := func(ev Event) []Action {
		now += time.Millisecond
		return b.Handle(now, ev, nil)
	}
	var members []Member
	for i := range BackendID(2) {
		members = append(members, Member{Backend: i})
	}
	handle(Event{Kind: MembersAll, Members: members})
	var out []Event // eight at a time, so that no backend is idle
	for i := range 6000 {
		id := fmt.Sprint(i)
		for _, a := range handle(Event{Kind: RequestArrived, Request: id, Budget: time.Minute}) {
			switch a.Kind {
			case Send:
				out = append(out, Event{Kind: Outcome, Request: id, Attempt: a.Attempt, Backend: a.Backend})
			case Reject:
				if i > 1000 {
					refused++
				}
			}
		}
		if len(out) > 8 {
			ev := out[0]
			out, ev.RequestEnded, ev.Elapsed = out[1:], true, 250*time.Millisecond
			if b.rng.IntN(10) == 0 {
				ev.Status = Dropped
			}
			handle(ev)
		}
	}
	if refused > 0 {
		t.Errorf("%d of 5000 rejected", refused)
	}
}
