// Package living runs the lifecycle of package life for a front: it passes events with the time to a Life and calls the front for
// each action. It decides nothing itself. The fronts are the node of the platform and the server of a standalone installation.
package living

import (
	"sync"
	"sync/atomic"
	"time"

	"glencart/life"
)

// LookEvery is the interval between two snapshots of the open connections during a shutdown.
const LookEvery = 10 * time.Millisecond

// Front carries out the actions of a Life. Only one goroutine at a time calls it, and it must not call back into this package.
type Front interface {
	Ready(is bool)        // readiness to report; false: the shutdown has begun
	AnswerBy(t time.Time) // answer every open and every new request by then
	StopAccepting()       // accept no new connections; idle ones no longer close to make room
	CloseAnswered()       // close each connection with its answer from now on
	CloseQuiet(half bool) // close connections on which nothing has arrived; half: also those without a complete request
}

// Living is the lifecycle of one front. New returns one.
type Living struct {
	front     Front
	startedAt time.Time

	mu      sync.Mutex
	life    *life.Life
	actions []life.Action
}

// New returns the lifecycle of a front. Its clock starts now.
func New(l *life.Life, f Front) *Living { return &Living{front: f, startedAt: time.Now(), life: l} }

// Left returns how long the front has until its end. It is valid once the shutdown has begun.
func (v *Living) Left() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.life.EndsAt() - time.Since(v.startedAt)
}

// Tell passes an event to the Life and carries out its actions. It reports true once the front has to end now.
func (v *Living) Tell(ev life.Event) (ended bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.actions = v.life.Handle(time.Since(v.startedAt), ev, v.actions[:0])
	for _, a := range v.actions {
		switch a.Kind {
		case life.ReportReady, life.ReportUnready:
			v.front.Ready(a.Kind == life.ReportReady)
		case life.AnswerBy:
			v.front.AnswerBy(v.startedAt.Add(a.At))
		case life.StopAccepting:
			v.front.StopAccepting()
		case life.CloseAfterAnswer:
			v.front.CloseAnswered()
		case life.CloseIdle:
			v.front.CloseQuiet(false)
		case life.CloseIncomplete:
			v.front.CloseQuiet(true)
		case life.End:
			ended = true
		}
	}
	return ended
}

// Leave runs the shutdown that an earlier Tell began: it passes the events of snapshot to the Life every LookEvery, until the front
// has to end. stopped is closed, or receives a value, once no more connections are accepted. The argument of snapshot is true until then.
func (v *Living) Leave(stopped <-chan error, snapshot func(accepting bool) life.Event) {
	accepting := true
	for ended := false; !ended; {
		time.Sleep(LookEvery)
		if accepting {
			select {
			case <-stopped:
				accepting = false
			default:
			}
		}
		ended = v.Tell(snapshot(accepting))
	}
}

// Lag measures the delay of a loop: the time from posting a function to its execution. The zero value is ready to use.
type Lag struct {
	pendingSince atomic.Pointer[time.Time] // when the pending function was posted; nil: none is pending
	lastDelay    atomic.Int64              // the last delay in ns
}

// Measure posts a function to the loop if none is pending. It returns the last delay, or the time that the pending one has waited if
// that is longer.
func (l *Lag) Measure(post func(func()) bool) time.Duration {
	if at := l.pendingSince.Load(); at != nil {
		if waited := int64(time.Since(*at)); waited > l.lastDelay.Load() {
			l.lastDelay.Store(waited)
		}
		return time.Duration(l.lastDelay.Load())
	}
	now := time.Now()
	l.pendingSince.Store(&now)
	if !post(func() {
		l.lastDelay.Store(int64(time.Since(now)))
		l.pendingSince.Store(nil)
	}) {
		l.pendingSince.Store(nil) // the loop has ended, so it is not late
	}
	return time.Duration(l.lastDelay.Load())
}

// Book counts requests from when they are accepted until their answer is passed to the connection.
type Book struct{ Taken, Answered, Left atomic.Int64 }

// Open returns the number of requests that have no answer and whose client is still connected.
func (b *Book) Open() int64 { return b.Taken.Load() - b.Answered.Load() - b.Left.Load() }
