package node

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"glencart/balance"
	"glencart/internal/handover"
	"glencart/internal/living"
)

const (
	// listWithin is how long a process that shares its clients' socket waits for discovery before it lets clients in by the
	// list that it remembers. Its yes is due within 6 s.
	listWithin = 3 * time.Second
	// learnedWithin is how long it waits for what the process before it has learned, which that one writes when it sees
	// that it is followed.
	learnedWithin = 300 * time.Millisecond
)

// awaitList waits until discovery has told a list with a backend to send to, and takes in what the process before has learned.
func (n *Node) awaitList(ctx context.Context) {
	since, began := n.loop.Clock(), time.Now()
	defer func() {
		for n.place.Follows() && time.Since(began) < learnedWithin {
			if l, ok := n.place.ReadLearned(since-learnedAgo, n.loop.Clock()); ok {
				n.relearn(l)
				return
			}
			pause(ctx, living.LookEvery)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, listWithin)
	defer cancel()
	for ctx.Err() == nil && !(n.heard.Load() && n.loop.Ready()) {
		pause(ctx, living.LookEvery)
	}
}

// learnedAgo is how long before this process looked the other one may have written: it saw the lock before.
const learnedAgo = 200 * time.Millisecond

// relearn has the Balancer go on with what the process before has learned.
func (n *Node) relearn(l handover.Learned) {
	done := make(chan struct{})
	if !n.loop.PostFirst(func() {
		defer close(done)
		names := n.front.tuning.Load().Classes
		classes := make([]balance.LearnedClass, len(names))
		for i, name := range names {
			if at := slices.Index(l.Classes, name); at >= 0 && at < len(l.Balance.Classes) {
				classes[i] = l.Balance.Classes[at]
			}
		}
		l.Balance.Classes = classes
		n.loop.Balancer.Relearn(l.Balance)
	}) {
		return
	}
	<-done
	n.log.Info("goes on with what the process before has learned", "age", n.loop.Clock()-l.At)
}

// leaveLearned writes down what this process has learned. It is for one that is followed.
func (n *Node) leaveLearned() {
	n.loop.PostFirst(func() {
		l := handover.Learned{At: n.loop.Clock(), Classes: n.front.tuning.Load().Classes, Balance: n.loop.Balancer.Learned()}
		go func() {
			if err := n.place.WriteLearned(l); err != nil {
				n.log.Warn("what was learned is not written down: the next process begins anew", "error", err)
			}
		}()
	})
}

// beside has this process keep to its half of what the machine gives while another one of the node runs, and to its half of
// what the node may send cold backends. Idle connections make room; nothing that is in use does.
func (n *Node) beside(is bool) {
	limits, nodes := n.cfg.Limits, max(n.cfg.Settings.Config.Instances, 1)
	if is {
		limits, nodes = limits.beside(), 2*nodes
	}
	if is && n.place.Followed() {
		n.leaveLearned()
	}
	n.log.Info("share of the machine", "another process of this node runs", is)
	most, backends := limits.share()
	n.listener.Resize(most)
	n.front.resize(most, backends)
	n.pool.resize(backends)
	if heap := limits.Heap(); heap > 0 {
		debug.SetMemoryLimit(heap)
	}
	n.loop.PostFirst(func() { n.loop.Handle(balance.Event{Kind: balance.InstancesCounted, Instances: nodes}) })
}
