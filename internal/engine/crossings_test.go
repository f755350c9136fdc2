package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"glencart/balance"
)

// Guards against faults that depend on the order of simultaneous events. It runs every order of three events that end a
// request, handled at once or with earlier events still queued. Each order gives one final answer (none after the client
// left), no retry or refusal of an unsafe request that may have run, and no leftover state.
func TestSimultaneousEventsInAllOrders(t *testing.T) {
	events := []string{"answer", "pass on", "reset", "time-out", "shed by backend", "cancel", "gone", "deadline", "drain", "end"}
	var walk func(done []string, left int)
	runs := 0
	walk = func(done []string, left int) {
		if left == 0 {
			for class := range 3 {
				for _, written := range []bool{true, false} {
					for _, step := range []bool{true, false} {
						runOrder(t, class, written, step, done)
						runs++
					}
				}
			}
			return
		}
		for _, ev := range events {
			walk(append(done[:len(done):len(done)], ev), left-1)
		}
	}
	walk(nil, 3)
	if runs != 12*len(events)*len(events)*len(events) {
		t.Errorf("ran %d orders", runs)
	}
}

func runOrder(t *testing.T, class int, isWritten, step bool, order []string) {
	h := newHarness(t)
	member := func(id, addr string, p balance.Phase) Member {
		return Member{ID: id, Addr: addr, Member: balance.Member{Weight: 1, Phase: p}}
	}
	h.e.UpdateBackends(balance.MembersAll, List{Complete: true, Members: []Member{member("a", "1:1", 0), member("b", "2:1", 0)}})
	h.fillRetryBudget()
	answers, gone, passedOn := 0, false, 0
	var answer Answer
	r := &Request{ID: "x", Class: class, Deadline: h.clock.Add(time.Second), OnAnswer: func(a Answer) { answers++; answer = a }}
	h.e.Arrive(r)
	a := h.attempts["x/0"]
	h.written["x/0"] = isWritten
	for _, event := range order {
		switch event {
		case "answer":
			a.Done(Result{Status: balance.Delivered})
		case "pass on":
			if a.Deliver(Result{Status: balance.Delivered}) {
				passedOn++
			}
		case "reset":
			a.Done(Result{Status: balance.Dropped})
		case "time-out":
			a.Done(Result{Status: balance.Expired})
		case "shed by backend":
			a.Done(Result{Status: balance.Shed})
		case "cancel":
			h.e.Post(func() { h.e.execute(&balance.Action{Kind: balance.Cancel, Request: "x"}) })
		case "gone":
			h.e.Post(func() { gone = gone || !r.answered; h.e.ClientGone(r) })
		case "deadline":
			h.clock = h.clock.Add(max(0, r.Deadline.Sub(h.clock)))
		case "drain":
			h.e.Post(func() {
				h.e.UpdateBackends(balance.MembersChanged, List{Members: []Member{member(a.To.ID, a.To.Addr, balance.Draining)}})
			})
		case "end":
			h.e.Post(func() { h.e.LimitDeadlines(h.clock) })
		}
		if step {
			h.e.Step()
		}
	}
	h.e.Step()
	for i := range 3 { // retries end too
		if b := h.attempts[fmt.Sprint("x/", i)]; b != nil {
			b.Done(Result{Status: balance.Dropped})
			h.e.Step()
		}
	}
	h.clock = h.clock.Add(2 * time.Second)
	h.e.Step()
	context := fmt.Sprintf("class %d, written %t, step %t, %v:", class, isWritten, step, order)
	if total := answers + passedOn; total > 1 || total == 0 && !gone {
		t.Errorf("%s %d answers, %d passed on, gone %t", context, answers, passedOn, gone)
	}
	reported := h.output.String()
	ran := isWritten && (strings.Contains(reported, "told x/0 dropped") || strings.Contains(reported, "told x/0 expired") ||
		strings.Contains(reported, "told x/0 revoked"))
	if ran && class == 1 && (h.attempts["x/1"] != nil || answers > 0 && answer.Kind == Refused) {
		t.Errorf("%s retried or refused, although it may have run: %s", context, reported)
	}
	if h.e.OpenRequests() != 0 {
		t.Errorf("%s request left in the table", context)
	}
	for _, b := range h.e.byNumber {
		if b.outstanding != 0 {
			t.Errorf("%s %d attempts outstanding", context, b.outstanding)
		}
	}
}
