package balance

import (
	"fmt"
	"testing"
	"time"
)

// Servers come and go under ever new ids: one that is gone is kept for as long as something is out at it, and no
// longer. A late outcome for it is harmless.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
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
				out = append(out, Event{Kind: Outcome, Request: id, Attempt: a.Attempt, Backend: a.Backend, NoMore: true})
			}
		}
		if i%2 == 0 {
			handle(Event{Kind: MembersChanged, Members: []Member{{Backend: i, Phase: Gone}}})
		} else {
			handle(Event{Kind: MembersAll})
		}
	}
	if len(out) != ids || len(b.servers) != ids {
		t.Fatalf("%d attempts out, %d servers kept", len(out), len(b.servers))
	}
	for _, ev := range out {
		handle(ev)
	}
	if len(b.servers) != 0 || len(b.requests) != 0 {
		t.Errorf("%d servers and %d requests kept", len(b.servers), len(b.requests))
	}
	handle(out[0])
	handle(Event{Kind: Probed, Backend: 5, Load: Load{Has: HasActive, Active: 3}})
}
