package engine

import (
	"testing"
	"time"

	"glencart/balance"
)

// silentTransport never ends an attempt. Its Send calls onSend, if that is set.
type silentTransport struct{ onSend func() }

func (x *silentTransport) Send(*Attempt) {
	if x.onSend != nil {
		x.onSend()
	}
}
func (x *silentTransport) PreventWrite(*Attempt) bool   { return false }
func (x *silentTransport) Cancel(*Attempt)              {}
func (x *silentTransport) Probe(Endpoint, func(Result)) {}
func (x *silentTransport) CloseIdle(Endpoint)           {}

// startEngine runs an engine with one backend and one safe class.
func startEngine(t *testing.T, transport Transport) *Engine {
	bal, err := balance.New(balance.Config{Classes: []balance.Class{{Aim: time.Second, Deadline: time.Second, Effect: balance.Safe, Points: 1}},
		Limits: balance.Limits{Cancelling: true, MaxAttempts: 1}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	e := New(Config{Balancer: bal, Transport: transport})
	quit := make(chan struct{})
	go e.Run(quit)
	t.Cleanup(func() {
		close(quit)
		<-e.Done()
	})
	e.Post(func() {
		e.UpdateBackends(balance.MembersAll, List{Complete: true, Members: []Member{
			{ID: "s", Addr: "10.0.0.1:1", Member: balance.Member{Phase: balance.Ready, Weight: 1}}}})
	})
	return e
}

func newRequest(id string, budget time.Duration) *Request {
	return &Request{ID: id, Deadline: time.Now().Add(budget), Reply: make(chan Answer, 1)}
}

// loopPatience bounds the wait for an answer.
const loopPatience = 10 * time.Second

// While functions were posted as fast as they ran, no timer fired, so requests had no answer at their deadline.
func TestTimersFireWhileFunctionsKeepComing(t *testing.T) {
	e := startEngine(t, &silentTransport{})
	stop := make(chan struct{})
	defer close(stop)
	var again func()
	again = func() {
		select {
		case <-stop:
		default:
			e.Post(again)
		}
	}
	e.Post(again)
	r := newRequest("r", 20*time.Millisecond)
	e.Post(func() { e.Arrive(r) })
	select {
	case <-r.Reply:
	case <-time.After(loopPatience):
		t.Error("the request has no answer at its deadline")
	}
}

// A panic in a decision, in the goroutine of a caller of Submit that recovers it, left the loop locked: no later request had an answer.
func TestPanicLeavesLoopToOthers(t *testing.T) {
	transport := &silentTransport{}
	e := startEngine(t, transport)
	listed := make(chan struct{})
	e.Post(func() { close(listed) })
	<-listed
	transport.onSend = func() {
		transport.onSend = nil
		panic("injected")
	}
	first := newRequest("first", 20*time.Millisecond)
	panicked := make(chan any, 1)
	go func() {
		defer func() { panicked <- recover() }()
		for !e.tryRunOnLoop(func() { e.Arrive(first) }) { // until the loop is idle, as in Submit
		}
	}()
	if p := <-panicked; p != "injected" {
		t.Fatalf("recovered %v", p)
	}
	second := newRequest("second", 20*time.Millisecond)
	e.Submit(second)
	for _, r := range []*Request{first, second} {
		select {
		case <-r.Reply:
		case <-time.After(loopPatience):
			t.Errorf("%s has no answer at its deadline", r.ID)
		}
	}
}
