package engine

import (
	"testing"
	"time"

	"glencart/balance"
)

// steppedEngine is an engine whose clock the test sets.
type steppedEngine struct {
	*Engine
	now      time.Time
	outcomes []balance.Event
}

func newSteppedEngine(t *testing.T, transport Transport) *steppedEngine {
	bal, err := balance.New(balance.Config{Classes: []balance.Class{{Aim: time.Second, Deadline: time.Second, Effect: balance.Safe, Points: 1}},
		Limits: balance.Limits{Cancelling: true, Probing: true, MaxAttempts: 1}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &steppedEngine{now: time.Unix(1000, 0)}
	s.Engine = New(Config{Balancer: bal, Transport: transport, Now: func() time.Time { return s.now }, Trace: func(step Step) {
		if step.Event.Kind == balance.Outcome {
			s.outcomes = append(s.outcomes, *step.Event)
		}
	}})
	s.UpdateBackends(balance.MembersAll, List{Complete: true, Members: []Member{
		{ID: "s", Addr: "10.0.0.1:1", Member: balance.Member{Phase: balance.Ready, Weight: 1}}}})
	return s
}

// A process that did not run for a while fired its timers before it had read the answers that had come meanwhile, and its backends counted
// as silent. A time-out counts against a backend only if this process ran when it was due.
func TestTimeoutOfHeldUpProcessIsNotTheBackends(t *testing.T) {
	for _, c := range []struct {
		heldUp time.Duration
		want   balance.Status
	}{{0, balance.Expired}, {20 * time.Millisecond, balance.Expired}, {400 * time.Millisecond, balance.Cancelled}} {
		s := newSteppedEngine(t, &silentTransport{})
		r := &Request{ID: "r", Deadline: s.now.Add(300 * time.Millisecond), Reply: make(chan Answer, 1)}
		s.Arrive(r)
		s.now = s.now.Add(100 * time.Millisecond)
		s.Step() // the probes of its tick have no answer
		s.now = r.Deadline.Add(c.heldUp)
		s.Step()
		if len(s.outcomes) != 1 || s.outcomes[0].Status != c.want {
			t.Errorf("held up for %v: outcomes %+v, want status %d", c.heldUp, s.outcomes, c.want)
		}
		if len(r.Reply) != 1 {
			t.Errorf("held up for %v: no answer", c.heldUp)
		}
	}
}

// The time that this process waited by its own decision made backends look slow. The module must get the time without it.
func TestOwnDelayIsNotTheBackends(t *testing.T) {
	var sent *Attempt
	s := newSteppedEngine(t, &keepingTransport{sent: &sent})
	s.Arrive(&Request{ID: "r", Deadline: s.now.Add(time.Second), Reply: make(chan Answer, 1)})
	s.now = s.now.Add(150 * time.Millisecond)
	sent.Done(Result{Status: balance.Delivered, OwnDelay: 130 * time.Millisecond})
	s.Step()
	if len(s.outcomes) != 1 || s.outcomes[0].Elapsed != 20*time.Millisecond {
		t.Errorf("outcomes %+v, want one after 20 ms", s.outcomes)
	}
}

// keepingTransport keeps the last attempt.
type keepingTransport struct {
	silentTransport
	sent **Attempt
}

func (x *keepingTransport) Send(a *Attempt) { *x.sent = a }

// A shortage must be counted, and end by itself soon after its cause.
func TestShortageEndsByItself(t *testing.T) {
	s := newSteppedEngine(t, &silentTransport{})
	s.ObserveDelay(200 * time.Millisecond)
	if !s.isShort || s.Stats().Shortages() != 1 || s.Stats().Lag() != 200*time.Millisecond {
		t.Errorf("short %t, %d shortages, lag %v", s.isShort, s.Stats().Shortages(), s.Stats().Lag())
	}
	s.now = s.now.Add(1100 * time.Millisecond)
	s.Arrive(&Request{ID: "r", Deadline: s.now.Add(time.Second), Reply: make(chan Answer, 1)})
	if s.isShort {
		t.Error("still short 1.1 s after the last delay")
	}
}
