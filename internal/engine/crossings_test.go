package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"glencart/balance"
)

// All orders of what can end a request in one instant, each taken in at once or with what was posted before it still waiting: one
// final answer (none after the client left), nothing sent again or refused that may have run, nothing left.
func TestAllOrdersOfOneInstant(t *testing.T) {
	events := []string{"answer", "hand on", "reset", "time-out", "turned away", "cancel", "gone", "deadline", "drain", "end"}
	var walk func(done []string, left int)
	n := 0
	walk = func(done []string, left int) {
		if left == 0 {
			for class := range 3 {
				for _, written := range []bool{true, false} {
					for _, step := range []bool{true, false} {
						oneInstant(t, class, written, step, done)
						n++
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
	if n != 12*len(events)*len(events)*len(events) {
		t.Errorf("%d orders", n)
	}
}

func oneInstant(t *testing.T, class int, written, step bool, order []string) {
	w := newWorld(t)
	line := func(id, addr string, p balance.Phase) Member {
		return Member{ID: id, Addr: addr, Member: balance.Member{Weight: 1, Phase: p}}
	}
	w.e.TakeList(balance.MembersAll, List{Complete: true, Members: []Member{line("a", "1:1", 0), line("b", "2:1", 0)}})
	w.earn()
	answers, gone, handed := 0, false, 0
	var ans Answer
	r := &Request{ID: "x", Class: class, Deadline: w.clock.Add(time.Second), Answered: func(a Answer) { answers++; ans = a }}
	w.e.Arrive(r)
	a := w.out["x/0"]
	w.late["x/0"] = written
	for _, ev := range order {
		switch ev {
		case "answer":
			a.Done(Result{Status: balance.Delivered})
		case "hand on":
			if a.Deliver(Result{Status: balance.Delivered}) {
				handed++
			}
		case "reset":
			a.Done(Result{Status: balance.Dropped})
		case "time-out":
			a.Done(Result{Status: balance.Expired})
		case "turned away":
			a.Done(Result{Status: balance.Shed})
		case "cancel":
			w.e.Post(func() { w.e.do(&balance.Action{Kind: balance.Cancel, Request: "x"}) })
		case "gone":
			w.e.Post(func() { gone = gone || !r.answered; w.e.Gone(r) })
		case "deadline":
			w.clock = w.clock.Add(max(0, r.Deadline.Sub(w.clock)))
		case "drain":
			w.e.Post(func() {
				w.e.TakeList(balance.MembersChanged, List{Members: []Member{line(a.To.ID, a.To.Addr, balance.Draining)}})
			})
		case "end":
			w.e.Post(func() { w.e.AnswerBy(w.clock) })
		}
		if step {
			w.e.Step()
		}
	}
	w.e.Step()
	for i := range 3 { // what was sent again ends in its turn
		if b := w.out[fmt.Sprint("x/", i)]; b != nil {
			b.Done(Result{Status: balance.Dropped})
			w.e.Step()
		}
	}
	w.clock = w.clock.Add(2 * time.Second)
	w.e.Step()
	what := fmt.Sprintf("class %d, written %t, step %t, %v:", class, written, step, order)
	if total := answers + handed; total > 1 || total == 0 && !gone {
		t.Errorf("%s %d answers, %d handed on, gone %t", what, answers, handed, gone)
	}
	told := w.said.String()
	ran := written && (strings.Contains(told, "told x/0 dropped") || strings.Contains(told, "told x/0 expired") || strings.Contains(told, "told x/0 revoked"))
	if ran && class == 1 && (w.out["x/1"] != nil || answers > 0 && ans.Kind == Refused) {
		t.Errorf("%s sent again or refused, and it may have run: %s", what, told)
	}
	if w.e.Open() != 0 {
		t.Errorf("%s left open", what)
	}
	for _, b := range w.e.byNumber {
		if b.out != 0 {
			t.Errorf("%s %d out", what, b.out)
		}
	}
}
