// Package living has a front live by package life: it tells it what happens and what is seen, with the time, and does what it
// decides. The platform's node and the server of an installation of one's own are fronts.
package living

import (
	"sync"
	"sync/atomic"
	"time"

	"glencart/life"
)

// LookEvery is how often a front that is to end looks at what is open.
const LookEvery = 10 * time.Millisecond

// Front does what a life decides. It is called by one goroutine at a time, and calls nothing here.
type Front interface {
	Ready(is bool)        // it may call itself ready, or not any more: then it is to end
	AnswerBy(t time.Time) // every request that is open, and every one that comes, is answered by then
	StopAccepting()       // no new connections, and none gives way any more
	CloseAnswered()       // each answer closes its connection from here on
	CloseQuiet(half bool) // connections are closed that nothing has come on; half: also those with no whole request
}

// Living is the life of one front. New returns one.
type Living struct {
	front Front
	born  time.Time

	mu      sync.Mutex
	life    *life.Life
	actions []life.Action
}

// New returns a front's life, which begins now.
func New(l *life.Life, f Front) *Living { return &Living{front: f, born: time.Now(), life: l} }

// Left is how long the front has, if it is told to end.
func (v *Living) Left() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.life.End() - time.Since(v.born)
}

// Tell tells the life of an event and obeys. It reports true once the front is to end now.
func (v *Living) Tell(ev life.Event) (ended bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.actions = v.life.Handle(time.Since(v.born), ev, v.actions[:0])
	for _, a := range v.actions {
		switch a.Kind {
		case life.BeReady, life.BeUnready:
			v.front.Ready(a.Kind == life.BeReady)
		case life.AnswerBy:
			v.front.AnswerBy(v.born.Add(a.At))
		case life.StopAccepting:
			v.front.StopAccepting()
		case life.CloseAnswered:
			v.front.CloseAnswered()
		case life.CloseQuiet:
			v.front.CloseQuiet(false)
		case life.CloseHalf:
			v.front.CloseQuiet(true)
		case life.End:
			ended = true
		}
	}
	return ended
}

// Leave has the front look at what stands, and obey, until it is to end. It has been told so. served is closed, or tells, once
// nobody is accepted any more; see is told whether that is still to come.
func (v *Living) Leave(served <-chan error, see func(accepting bool) life.Event) {
	accepting := true
	for ended := false; !ended; {
		time.Sleep(LookEvery)
		if accepting {
			select {
			case <-served:
				accepting = false
			default:
			}
		}
		ended = v.Tell(see(accepting))
	}
}

// Lag is how long a word to a loop takes now. Its zero value knows of none.
type Lag struct {
	posted atomic.Pointer[time.Time] // when the word that is under way was given; nil: none is
	last   atomic.Int64              // how long the last one took, ns
}

// Measure gives the loop a word, if none is under way, and returns how long the last one took, or this one has by now.
func (l *Lag) Measure(post func(func()) bool) time.Duration {
	if at := l.posted.Load(); at != nil {
		if waits := int64(time.Since(*at)); waits > l.last.Load() {
			l.last.Store(waits)
		}
		return time.Duration(l.last.Load())
	}
	now := time.Now()
	l.posted.Store(&now)
	if !post(func() {
		l.last.Store(int64(time.Since(now)))
		l.posted.Store(nil)
	}) {
		l.posted.Store(nil) // the loop has ended: it is not late
	}
	return time.Duration(l.last.Load())
}

// Book counts requests from when they are taken to when their answer is handed to their connection.
type Book struct{ Taken, Answered, Left atomic.Int64 }

// Open is how many have neither an answer nor lost their client.
func (b *Book) Open() int64 { return b.Taken.Load() - b.Answered.Load() - b.Left.Load() }
