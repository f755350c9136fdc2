package httpfront

import (
	"cmp"
	"context"
	"sync"
	"time"

	"glencart/internal/site"
	"glencart/life"
)

// The phases of a server's life are decided in package life, on its own terms: leave says how long its end may take. What is
// closed, and when, is as in the platform's node, but that clients are not kept: they find other connections.

// leaveMost is how long the end may take where the file does not say.
const leaveMost = 10 * time.Second

func leaveWithin(s *site.Site) time.Duration {
	return cmp.Or(time.Duration(s.Node.Leave), leaveMost)
}

// obeys does what a server's life decides.
type obeys struct{ *Server }

// SetReady does nothing: no path of an installation's is a server's own.
func (v obeys) SetReady(bool) {}

func (v obeys) AnswerBy(by time.Time) {
	v.answerBy(by)
	time.AfterFunc(time.Until(by), func() { v.answerBy(by) }) // streams
}

// answerBy tells it to every pool in which something may be open.
func (v *Server) answerBy(by time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for g := range v.alive {
		for _, p := range g.pools {
			p.loop.PostFirst(func() { p.loop.LimitDeadlines(by) })
		}
	}
}

func (v obeys) StopAccepting() {
	for _, l := range v.listeners {
		l.Close()
		l.table.DisableEviction()
	}
}

func (v obeys) CloseAfterAnswer() { v.closing.Store(true) }

func (v obeys) CloseIdle(half bool) {
	for _, l := range v.listeners {
		l.table.CloseIdle(half)
	}
}

// see looks at what stands now.
func (v *Server) see(accepting bool) life.Event {
	ev := life.Event{Kind: life.Snapshot}
	for _, l := range v.listeners {
		ev.MayHaveQueue = ev.MayHaveQueue || accepting && l.HasQueued()
		ev.Conns += l.table.Counts().Open + l.LingeringCount() // tunnels of upgraded connections are not waited for
		ev.OpenRequests += l.table.UnansweredCount()
	}
	for _, p := range v.gen.Load().pools {
		ev.Lag = max(ev.Lag, p.lag.Measure(p.loop.Post))
	}
	return ev
}

// runEviction evicts clients' connections above the thresholds until ctx ends.
func (v *Server) runEviction(ctx context.Context) {
	var running sync.WaitGroup
	for _, l := range v.listeners {
		running.Go(func() { l.table.RunEviction(ctx) })
	}
	running.Wait()
}
