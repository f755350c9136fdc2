// Package living runs the lifecycle of package life for a front: it passes events with the time to a Life and calls the front for
// each action. It decides nothing itself. The fronts are the node of the platform and the server of a standalone installation.
package living

import (
	"sync"
	"sync/atomic"
	"time"

	"glencart/life"
)

// SnapshotInterval is the interval between two snapshots of the open connections during a shutdown.
const SnapshotInterval = 10 * time.Millisecond

// Front carries out the actions of a Life. Only one goroutine at a time calls it, and it must not call back into this package.
type Front interface {
	SetReady(is bool)     // readiness to report; false: the shutdown has begun
	AnswerBy(t time.Time) // answer every open and every new request by then
	StopAccepting()       // accept no new connections; idle ones no longer close to make room
	CloseAfterAnswer()    // close each connection with its answer from now on
	CloseIdle(half bool)  // close connections on which nothing has arrived; half: also those without a complete request
}

// Runner is the lifecycle of one front. New returns one.
type Runner struct {
	front     Front
	startedAt time.Time

	mu      sync.Mutex
	life    *life.Life
	actions []life.Action
}

// New returns the lifecycle of a front. Its clock starts now.
func New(l *life.Life, f Front) *Runner { return &Runner{front: f, startedAt: time.Now(), life: l} }

// Remaining returns how long the front has until its end. It is valid once the shutdown has begun.
func (v *Runner) Remaining() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.life.EndsAt() - time.Since(v.startedAt)
}

// Handle passes an event to the Life and carries out its actions. It reports true once the front has to end now.
func (v *Runner) Handle(ev life.Event) (ended bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.actions = v.life.Handle(time.Since(v.startedAt), ev, v.actions[:0])
	for _, a := range v.actions {
		switch a.Kind {
		case life.ReportReady, life.ReportUnready:
			v.front.SetReady(a.Kind == life.ReportReady)
		case life.AnswerBy:
			v.front.AnswerBy(v.startedAt.Add(a.At))
		case life.StopAccepting:
			v.front.StopAccepting()
		case life.CloseAfterAnswer:
			v.front.CloseAfterAnswer()
		case life.CloseIdle:
			v.front.CloseIdle(false)
		case life.CloseIncomplete:
			v.front.CloseIdle(true)
		case life.End:
			ended = true
		}
	}
	return ended
}

// RunShutdown runs the shutdown that an earlier Handle began: it passes the events of snapshot to the Life every SnapshotInterval, until the front
// has to end. stopped is closed, or receives a value, once no more connections are accepted. The argument of snapshot is true until then.
func (v *Runner) RunShutdown(stopped <-chan error, snapshot func(accepting bool) life.Event) {
	accepting := true
	for ended := false; !ended; {
		time.Sleep(SnapshotInterval)
		if accepting {
			select {
			case <-stopped:
				accepting = false
			default:
			}
		}
		ended = v.Handle(snapshot(accepting))
	}
}

// LoopLag measures the delay of a loop: the time from posting a function to its execution. The zero value is ready to use.
type LoopLag struct {
	pendingSince atomic.Pointer[time.Time] // when the pending function was posted; nil: none is pending
	lastDelay    atomic.Int64              // the last delay in ns
}

// Measure posts a function to the loop if none is pending. It returns the last delay, or the time that the pending one has waited if
// that is longer.
func (l *LoopLag) Measure(post func(func()) bool) time.Duration {
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

// RequestCounts counts requests from when they are accepted until their answer is passed to the connection.
type RequestCounts struct{ Accepted, Answered, ClientLeft atomic.Int64 }

// Open returns the number of requests that have no answer and whose client is still connected.
func (b *RequestCounts) Open() int64 {
	return b.Accepted.Load() - b.Answered.Load() - b.ClientLeft.Load()
}
