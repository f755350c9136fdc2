package balance_test

import (
	"container/heap"
	"fmt"
	"time"

	"glencart/balance"
)

// due is an event at its time. A heap of them replaces the clock and the network of a node.
type due struct {
	at time.Duration
	ev balance.Event
}

type queue []due

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(due)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// A node with one class of requests and two backends. The second backend responds to every request with an error.
func Example() {
	cfg := balance.Config{
		Classes: []balance.Class{{Aim: 300 * time.Millisecond, Deadline: time.Second, Effect: balance.Safe, Points: 1}},
		Limits:  balance.Limits{MaxAttempts: 2},
		Rules:   balance.Rules{OverloadFor: time.Second, ColdShare: 0.2, WarmWithin: 10 * time.Second, FallMultiple: 3},
	}
	b, err := balance.New(cfg, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var todo queue
	heap.Push(&todo, due{0, balance.Event{Kind: balance.MembersCached, Members: []balance.Member{
		{Backend: 1, Weight: 1}, {Backend: 2, Weight: 1}}}})
	for i := range 200 {
		heap.Push(&todo, due{time.Duration(i+1) * 10 * time.Millisecond, balance.Event{Kind: balance.RequestArrived,
			Request: fmt.Sprint("request ", i), Budget: time.Second}})
	}
	answered, tries := 0, map[balance.BackendID]int{}
	over := map[string]bool{}
	var actions []balance.Action
	for todo.Len() > 0 {
		next := heap.Pop(&todo).(due)
		now := next.at
		if next.ev.Kind == balance.Outcome && next.ev.Status == balance.Delivered {
			answered++ // the node forwards the response to its client
			over[next.ev.Request] = true
		}
		next.ev.RequestEnded = over[next.ev.Request]
		actions = b.Handle(now, next.ev, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case balance.Send:
				tries[a.Backend]++
				out := balance.Event{Kind: balance.Outcome, Request: a.Request, Attempt: a.Attempt, Backend: a.Backend,
					Elapsed: 20 * time.Millisecond}
				if a.Backend == 2 {
					out.Status = balance.AppError
				}
				heap.Push(&todo, due{now + out.Elapsed, out})
			case balance.SetTimer:
				heap.Push(&todo, due{now + a.In, balance.Event{Kind: balance.Timer, TimerID: a.TimerID}})
			case balance.Reject, balance.Fail:
				over[a.Request] = true // the node sends the final answer to its client
			}
		}
	}
	fmt.Println("more than 190 of 200 answered:", answered > 190)
	fmt.Println("the backend in error was left alone:", tries[2] < 20)
	// Output:
	// more than 190 of 200 answered: true
	// the backend in error was left alone: true
}
