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

// Package life decides the lifecycle phases of a node. This file reports events to it and carries out its
// actions.

const (
	// openNamed is how many requests the log names when the end of the node cuts them.
	openNamed = 8
	// writeWeight is the weight of a new answer in the mean time for encoding and writing one.
	writeWeight = 0.2
)

// obeys carries out the lifecycle actions for a node.
type obeys struct{ *Node }

func (n obeys) Ready(ready bool) {
	n.front.ready.Store(ready)
	if !ready {
		n.front.leaving.Store(true)
	}
}

func (n obeys) AnswerBy(by time.Time) {
	n.loop.PostFirst(func() { n.loop.AnswerBy(by) })
	// A second call at by ends answers that are still streaming.
	time.AfterFunc(time.Until(by), func() { n.loop.PostFirst(func() { n.loop.AnswerBy(by) }) })
}

func (n obeys) StopAccepting() {
	n.listener.Close()
	n.front.table.KeepAll()
}

func (n obeys) CloseAnswered() { n.front.closing.Store(true) }

func (n obeys) CloseQuiet(half bool) { n.front.table.CloseQuiet(half) }

// leave shuts the node down in order. The node keeps serving for as long as new requests can be answered in
// time. After that it closes each connection after its answer. Clients reuse their connections. If this node
// closed one early while other nodes are down for a restart, the client could have no connection left. served
// receives a value when the server no longer accepts connections.
func (n *Node) leave(srv *http.Server, served <-chan error) error {
	followed := n.place != nil && n.place.Followed()
	text := "leaving"
	if followed {
		text = "leaving: a successor process takes over"
	}
	n.front.timed.Store(true)
	ended := n.living.Tell(life.Event{Kind: life.Told, Followed: followed})
	n.log.Info(text, "most", n.living.Left())
	if !ended {
		n.living.Leave(served, n.see)
	}
	counts := &n.front.book
	n.log.Info("left", "taken", counts.Taken.Load(), "answered", counts.Answered.Load(), "client_left", counts.Left.Load(), "open", counts.Open())
	if counts.Open() > 0 {
		n.nameOpen()
	}
	if err := srv.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // the shutdown may have closed the listener already
		return err
	}
	return nil
}

// see returns an event with the current state of the connections and the loop.
func (n *Node) see(accepting bool) life.Event {
	ev := life.Event{Kind: life.Seen, Queued: accepting && n.listener.Queued(), Conns: n.listener.Holds(), Asked: n.front.table.Asked()}
	ev.Lag = n.lag.Measure(n.loop.Post) + time.Duration(ev.Asked)*time.Duration(n.front.writes.Load())
	return ev
}

// nameOpen logs the ids of some requests that the end of the node cuts.
func (n *Node) nameOpen() {
	named := make(chan []string, 1)
	if !n.loop.PostFirst(func() { named <- n.loop.OpenIDs(openNamed) }) {
		return
	}
	select {
	case ids := <-named:
		n.log.Error("shutdown: requests cut without an answer", "ids", ids)
	case <-time.After(living.LookEvery):
		n.log.Error("shutdown: requests cut without an answer; the loop is too busy to list their ids")
	}
}

// remember lets the node report readiness on the cached endpoint list if discovery sends no list in time.
func (n *Node) remember(ctx context.Context) {
	pause(ctx, life.RememberFor)
	n.living.Tell(life.Event{Kind: life.Tick})
}
