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
	// maxLoggedIDs is how many requests the log names when the end of the node cuts them.
	maxLoggedIDs = 8
	// writeWeight is the weight of a new answer in the mean time for encoding and writing one.
	writeWeight = 0.2
)

// lifecycleFront carries out the lifecycle actions for a node.
type lifecycleFront struct{ *Node }

func (n lifecycleFront) SetReady(ready bool) {
	n.front.isReady.Store(ready)
	if !ready {
		n.front.isLeaving.Store(true)
	}
}

func (n lifecycleFront) AnswerBy(by time.Time) {
	n.loop.PostFirst(func() { n.loop.LimitDeadlines(by) })
	// A second call at by ends answers that are still streaming.
	time.AfterFunc(time.Until(by), func() { n.loop.PostFirst(func() { n.loop.LimitDeadlines(by) }) })
}

func (n lifecycleFront) StopAccepting() {
	n.listener.Close()
	n.front.table.DisableEviction()
}

func (n lifecycleFront) CloseAfterAnswer() { n.front.closesConnections.Store(true) }

func (n lifecycleFront) CloseIdle(half bool) { n.front.table.CloseIdle(half) }

// shutDown shuts the node down in order. The node keeps serving for as long as new requests can be answered in
// time. After that it closes each connection after its answer. Clients reuse their connections. If this node
// closed one early while other nodes are down for a restart, the client could have no connection left. served
// receives a value when the server no longer accepts connections.
func (n *Node) shutDown(srv *http.Server, served <-chan error) error {
	followed := n.handover != nil && n.handover.HasSuccessor()
	text := "leaving"
	if followed {
		text = "leaving: a successor process takes over"
	}
	n.front.isTimingWrites.Store(true)
	ended := n.lifecycle.Handle(life.Event{Kind: life.ShutdownRequested, HasSuccessor: followed})
	n.log.Info(text, "most", n.lifecycle.Remaining())
	if !ended {
		n.lifecycle.RunShutdown(served, n.observe)
	}
	counts := &n.front.requestCounts
	n.log.Info("left", "taken", counts.Accepted.Load(), "answered", counts.Answered.Load(),
		"client_left", counts.ClientLeft.Load(), "open", counts.Open())
	n.log.Info("backend connections", "counts", n.pool)
	if counts.Open() > 0 {
		n.logOpenRequests()
	}
	if err := srv.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // the shutdown may have closed the listener already
		return err
	}
	return nil
}

// observe returns an event with the current state of the connections and the loop.
func (n *Node) observe(accepting bool) life.Event {
	ev := life.Event{Kind: life.Snapshot, MayHaveQueue: accepting && n.listener.HasQueued(), Conns: n.listener.OpenCount(), OpenRequests: n.front.table.UnansweredCount()}
	ev.Lag = n.loopLag.Measure(n.loop.Post) + time.Duration(ev.OpenRequests)*time.Duration(n.front.meanWriteNanos.Load())
	return ev
}

// logOpenRequests logs the ids of some requests that the end of the node cuts.
func (n *Node) logOpenRequests() {
	named := make(chan []string, 1)
	if !n.loop.PostFirst(func() { named <- n.loop.OpenRequestIDs(maxLoggedIDs) }) {
		return
	}
	select {
	case ids := <-named:
		n.log.Error("shutdown: requests cut without an answer", "ids", ids)
	case <-time.After(living.SnapshotInterval):
		n.log.Error("shutdown: requests cut without an answer; the loop is too busy to list their ids")
	}
}

// useCachedListInTime lets the node report readiness on the cached endpoint list if discovery sends no list in
// time.
func (n *Node) useCachedListInTime(ctx context.Context) {
	pause(ctx, life.CachedListGrace)
	n.lifecycle.Handle(life.Event{Kind: life.Tick})
}
