package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"glencart/internal/living"
	"glencart/life"
)

// The phases of a node's life are decided in package life; this file tells it what is seen, and obeys.

const (
	// openNamed is how many requests that a node's end cuts are named in the log.
	openNamed = 8
	// writeWeight is the weight of a new answer in the mean time of wording and writing one.
	writeWeight = 0.2
)

// obeys does what a node's life decides.
type obeys struct{ *Node }

func (n obeys) Ready(is bool) {
	n.front.ready.Store(is)
	if !is {
		n.front.leaving.Store(true)
	}
}

func (n obeys) AnswerBy(by time.Time) {
	n.loop.PostFirst(func() { n.loop.AnswerBy(by) })
	time.AfterFunc(time.Until(by), func() { n.loop.PostFirst(func() { n.loop.AnswerBy(by) }) }) // streams
}

func (n obeys) StopAccepting() {
	n.listener.Close()
	n.front.table.KeepAll()
}

func (n obeys) CloseAnswered() { n.front.closing.Store(true) }

func (n obeys) CloseQuiet(half bool) { n.front.table.CloseQuiet(half) }

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
	ended := n.living.Tell(life.Event{Kind: life.Told, Followed: followed})
	n.log.Info(why, "most", n.living.Left())
	if !ended {
		n.living.Leave(served, n.see)
	}
	book := &n.front.book
	n.log.Info("left", "taken", book.Taken.Load(), "answered", book.Answered.Load(), "client_left", book.Left.Load(), "open", book.Open())
	if book.Open() > 0 {
		n.nameOpen()
	}
	if err := srv.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // the listener may be closed already
		return err
	}
	return nil
}

// see looks at what stands now.
func (n *Node) see(accepting bool) life.Event {
	ev := life.Event{Kind: life.Seen, Queued: accepting && n.listener.Queued(), Conns: n.listener.Holds(), Asked: n.front.table.Asked()}
	ev.Lag = n.lag.Measure(n.loop.Post) + time.Duration(ev.Asked)*time.Duration(n.front.writes.Load())
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
	case <-time.After(living.LookEvery):
		n.log.Error("requests without an answer are cut, and the loop is too busy to name them")
	}
}

// remember has the node call itself ready on the list that it remembers, if no source tells one in time.
func (n *Node) remember(ctx context.Context) {
	pause(ctx, life.RememberFor)
	n.living.Tell(life.Event{Kind: life.Tick})
}
