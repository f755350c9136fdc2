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
	// listTimeout is how long a process that shares its clients' socket waits for discovery. After that it
	// accepts clients on the cached endpoint list. It must report readiness within 6 s.
	listTimeout = 3 * time.Second
	// learnedTimeout is how long a successor waits for the learned state of its predecessor. The predecessor
	// writes it when it detects the successor.
	learnedTimeout = 300 * time.Millisecond
)

// awaitList waits until discovery has sent a list with a backend that can receive requests. Then it restores
// the learned state of the predecessor.
func (n *Node) awaitList(ctx context.Context) {
	since, began := n.loop.Clock(), time.Now()
	defer func() {
		for n.handover.IsSuccessor() && time.Since(began) < learnedTimeout {
			if l, ok := n.handover.ReadLearned(since-learnedMaxLead, n.loop.Clock()); ok {
				n.restoreLearned(l)
				return
			}
			pause(ctx, living.SnapshotInterval)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	for ctx.Err() == nil && !(n.hasList.Load() && n.loop.HasReadyBackend()) {
		pause(ctx, living.SnapshotInterval)
	}
}

// learnedMaxLead is how long before this process's first look the predecessor may have written its state. The
// predecessor can see the lock earlier.
const learnedMaxLead = 200 * time.Millisecond

// restoreLearned restores the predecessor's learned state into the Balancer.
func (n *Node) restoreLearned(l handover.Learned) {
	done := make(chan struct{})
	if !n.loop.PostFirst(func() {
		defer close(done)
		names := n.front.settings.Load().Classes
		classes := make([]balance.LearnedClass, len(names))
		for i, name := range names {
			if at := slices.Index(l.Classes, name); at >= 0 && at < len(l.Balance.Classes) {
				classes[i] = l.Balance.Classes[at]
			}
		}
		l.Balance.Classes = classes
		n.loop.Balancer.Restore(l.Balance)
	}) {
		return
	}
	<-done
	n.log.Info("restored the learned state of the previous process", "age", n.loop.Clock()-l.At)
}

// saveLearned writes the learned state of this process to the shared folder. Only a process with a successor
// calls it.
func (n *Node) saveLearned() {
	n.loop.PostFirst(func() {
		l := handover.Learned{At: n.loop.Clock(), Classes: n.front.settings.Load().Classes, Balance: n.loop.Balancer.Learned()}
		go func() {
			if err := n.handover.WriteLearned(l); err != nil {
				n.log.Warn("learned state not written: the next process starts without it", "error", err)
			}
		}()
	})
}

// shareMachine limits this process to half of the machine's resources while another process of the node runs,
// and to half of the load that the node may send to cold backends. Idle connections are closed to make room,
// connections in use are not.
func (n *Node) shareMachine(shared bool) {
	limits, nodes := n.cfg.Limits, max(n.cfg.Settings.Config.Instances, 1)
	if shared {
		limits, nodes = limits.halved(), 2*nodes
	}
	if shared && n.handover.HasSuccessor() {
		n.saveLearned()
	}
	n.log.Info("share of the machine", "another process of this node runs", shared)
	b := boundsOf(limits, 0)
	n.listener.Resize(b.clients)
	n.front.setLimits(b)
	n.pool.Resize(b.backends)
	if heap := limits.Heap(); heap > 0 {
		debug.SetMemoryLimit(heap)
	}
	n.loop.PostFirst(func() { n.loop.Handle(balance.Event{Kind: balance.InstancesChanged, Instances: nodes}) })
}
