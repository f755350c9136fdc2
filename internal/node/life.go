package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"glencart/internal/sock"
	"glencart/life"
)

// The phases of a node's life are decided in package life; this file tells it what is seen, and obeys.

const (
	// lookEvery is how often a node that is to end looks at what is open.
	lookEvery = 10 * time.Millisecond
	// openNamed is how many requests that a node's end cuts are named in the log.
	openNamed = 8
	// writeWeight is the weight of a new answer in the mean time of wording and writing one.
	writeWeight = 0.2
)

// living is a node's life, and where the loop's lag is measured while it ends.
type living struct {
	mu      sync.Mutex
	life    *life.Life
	born    time.Time
	actions []life.Action

	posted atomic.Int64 // when the word to the loop that is under way was given, in ns since born; 0: none is
	lag    atomic.Int64 // how long the last one took, ns
}

// left is the time to the end of a node that is told to end.
func (v *living) left() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.life.End() - time.Since(v.born)
}

// live tells the node's life of an event and obeys. It reports true once the node is to end now.
func (n *Node) live(ev life.Event) (ended bool) {
	v := &n.living
	v.mu.Lock()
	defer v.mu.Unlock()
	v.actions = v.life.Handle(time.Since(v.born), ev, v.actions[:0])
	for _, a := range v.actions {
		switch a.Kind {
		case life.BeReady:
			n.front.ready.Store(true)
		case life.BeUnready:
			n.front.ready.Store(false)
			n.front.leaving.Store(true)
		case life.AnswerBy:
			n.answerBy(v.born.Add(a.At))
		case life.StopAccepting:
			n.listener.Close()
			n.front.keepAll()
		case life.CloseAnswered:
			n.front.closing.Store(true)
		case life.CloseQuiet:
			n.front.closeQuiet(false)
		case life.CloseHalf:
			n.front.closeQuiet(true)
		case life.End:
			ended = true
		}
	}
	return ended
}

// answerBy has all that is open, and all that comes, answered by then.
func (n *Node) answerBy(by time.Time) {
	n.loop.PostFirst(func() { n.loop.AnswerBy(by) })
	time.AfterFunc(time.Until(by), func() { n.loop.PostFirst(func() { n.loop.AnswerBy(by) }) }) // streams
}

// leave ends the node in order: it goes on serving for as long as what comes can be answered in time, then closes
// each connection after its answer. Clients keep to their connections: one closed early, with other nodes out
// for a restart too, leaves them none. served ends when nobody is accepted any more.
func (n *Node) leave(srv *http.Server, served <-chan error) error {
	followed := n.place != nil && n.place.Followed()
	why := "leaving"
	if followed {
		why = "leaving: another process follows"
	}
	n.front.timed.Store(true)
	ended := n.live(life.Event{Kind: life.Told, Followed: followed})
	n.log.Info(why, "most", n.living.left())
	accepting := true
	for !ended {
		time.Sleep(lookEvery)
		if accepting {
			select {
			case <-served:
				accepting = false
			default:
			}
		}
		ended = n.live(n.see(accepting))
	}
	open := n.front.book.open()
	n.log.Info("left", "taken", n.front.book.taken.Load(), "answered", n.front.book.answered.Load(),
		"client_left", n.front.book.left.Load(), "open", open)
	if open > 0 {
		n.nameOpen()
	}
	if err := srv.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // the listener may be closed already
		return err
	}
	return nil
}

// see looks at what stands now.
func (n *Node) see(accepting bool) life.Event {
	ev := life.Event{Kind: life.Seen, Queued: accepting, Conns: n.listener.holds(), Asked: n.front.asked()}
	if accepting && !n.listener.waits() { // else it is full, or closed and the last one let in is not counted yet
		some, known := sock.Waiting(n.listener.Listener)
		ev.Queued = some && known // where it can't be told, room is taken for a sign
	}
	v := &n.living
	now := int64(time.Since(v.born))
	switch at := v.posted.Load(); {
	case at == 0:
		v.posted.Store(now)
		n.loop.Post(func() {
			v.lag.Store(int64(time.Since(v.born)) - now)
			v.posted.Store(0)
		})
	case now-at > v.lag.Load():
		v.lag.Store(now - at)
	}
	ev.Lag = time.Duration(v.lag.Load()) + time.Duration(ev.Asked)*time.Duration(n.front.writes.Load())
	return ev
}

// nameOpen logs some of the requests that the end cuts.
func (n *Node) nameOpen() {
	named := make(chan []string, 1)
	if !n.loop.PostFirst(func() { named <- n.loop.OpenIDs(openNamed) }) {
		return
	}
	select {
	case ids := <-named:
		n.log.Error("requests without an answer are cut", "ids", ids)
	case <-time.After(lookEvery):
		n.log.Error("requests without an answer are cut, and the loop is too busy to name them")
	}
}

// remember has the node call itself ready on the list that it remembers, if no source tells one in time.
func (n *Node) remember(ctx context.Context) {
	pause(ctx, life.RememberFor)
	n.live(life.Event{Kind: life.Tick})
}

// book counts requests from when they are taken to when their answer is handed to their connection.
type book struct{ taken, answered, left atomic.Int64 }

// open is how many have neither an answer nor lost their client.
func (b *book) open() int64 { return b.taken.Load() - b.answered.Load() - b.left.Load() }
