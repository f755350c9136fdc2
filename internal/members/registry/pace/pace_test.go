package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"glencart/balance"

	"pgregory.net/rapid"
)

// Whatever happens to calls, and when, the bounds on calls must hold. No more calls are open than allowed, each begins and ends
// once, and Wake is always later than now. While an agent is silent, two calls are no further apart than the drain grace allows.
// If the last answers were all late, the distance may grow by the queue time that the least late of them implies.
func TestCallsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.IntRange(0, 2).Draw(t, "terms")
		terms := []Terms{AgentTerms(500*time.Millisecond, MaxAgentCalls), SharedTerms(), OnDemandTerms(500 * time.Millisecond)}[kind]
		p := New(terms, rapid.Bool().Draw(t, "holds"), rand.New(rand.NewPCG(1, 2)))
		var now, lastBegun time.Duration
		open, began := map[int]bool{}, map[int]time.Duration{}
		var late [queueSamples]time.Duration // of the last answers
		answered := 0
		var ids []int
		handle := func(ev Event) {
			for _, a := range p.Handle(now, ev, nil) {
				switch a.Kind {
				case Begin:
					if a.Call != len(ids)+1 {
						t.Fatalf("call %d begins after %d", a.Call, len(ids))
					}
					one := queueMargin * min(late[0], late[1], late[2])
					inLine := min(one*time.Duration(a.Call-answered), max(one, AnswerTimeout))
					if kind == 0 && now-lastBegun > 250*time.Millisecond+max(125*time.Millisecond, inLine) {
						t.Fatalf("%v without a call", now-lastBegun)
					}
					open[a.Call], began[a.Call], lastBegun = true, now, now
					ids = append(ids, a.Call)
				case GiveUp:
					if !open[a.Call] {
						t.Fatalf("call %d is given up and not open", a.Call)
					}
					delete(open, a.Call)
				}
			}
			for id := range open {
				if !p.Open(id) {
					t.Fatalf("call %d is no longer open", id)
				}
			}
			if len(open) > terms.maxOpen {
				t.Fatalf("%d calls are open", len(open))
			}
			if p.Wake() <= now {
				t.Fatalf("at %v the next wake-up is at %v", now, p.Wake())
			}
		}
		handle(Event{Kind: Ticked})
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			in := time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if at := p.Wake(); at != Never && now+in >= at {
				now = at
				handle(Event{Kind: Ticked})
				continue
			}
			now += in
			call := rapid.IntRange(max(1, len(ids)-4), len(ids)+1).Draw(t, "call")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if open[call] {
					late = [...]time.Duration{late[1], late[2], now - began[call]}
					answered = call
				}
				delete(open, call)
				handle(Event{Kind: Answered, Call: call, At: now})
			case 1:
				delete(open, call)
				handle(Event{Kind: Failed, Call: call, Unavailable: rapid.Bool().Draw(t, "turned away"), Stale: rapid.Bool().Draw(t, "past")})
			case 2:
				handle(Event{Kind: AddrChanged})
			case 3:
				if kind == 2 {
					handle(Event{Kind: Requested, Ask: rapid.SampledFrom([]balance.ActionKind{balance.Watch, balance.Unwatch, balance.Fetch}).Draw(t, "ask")})
				}
			}
		}
	})
}

// Where calls begin at the balancer's request, the balancer receives a failure only when no call is open. So a call that fails
// beside a silent watch must be followed by another in time, without a new request.
func TestFailureBesideSilentWatchIsRetried(t *testing.T) {
	for _, wish := range []bool{false, true} {
		p := New(OnDemandTerms(500*time.Millisecond), true, rand.New(rand.NewPCG(1, 2)))
		begun := map[int]time.Duration{}
		handle := func(now time.Duration, ev Event) (lost bool) {
			for _, a := range p.Handle(now, ev, nil) {
				if a.Kind == Begin {
					begun[a.Call] = now
				}
				lost = lost || a.Kind == ReportFailure
			}
			return lost
		}
		handle(0, Event{Kind: Requested, Ask: balance.Watch})
		failed := p.Wake()
		handle(failed, Event{Kind: Ticked})
		handle(failed, Event{Kind: Failed, Call: 2, Unavailable: true}) // reached, and answered with 503 at once
		over := p.Wake()
		if lost := handle(over, Event{Kind: Ticked}); !lost || over != onDemandWatchWait+onDemandWatchTimeout || begun[2] != failed {
			t.Fatalf("given up at %v, failure reported %v, begun %v", over, lost, begun)
		}
		due := failed + maxRewatchDelay
		if wish { // the balancer asks sooner
			due = over + time.Second
			handle(due, Event{Kind: Requested, Ask: balance.Watch})
		} else {
			handle(p.Wake(), Event{Kind: Ticked})
		}
		if begun[3] != due {
			t.Errorf("the next call begins at %v, %v wanted", begun[3], due)
		}
	}
}
