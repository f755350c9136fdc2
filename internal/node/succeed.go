package node

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"glencart/balance"
)

const (
	// listWithin is how long a process that shares its clients' socket waits for discovery before it lets clients in by the
	// list that it remembers. Its yes is due within 6 s.
	listWithin = 3 * time.Second
)

// awaitList waits until discovery has told a list with a backend to send to.
func (n *Node) awaitList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listWithin)
	defer cancel()
	for ctx.Err() == nil && !(n.heard.Load() && n.loop.Ready()) {
		pause(ctx, lookEvery)
	}
}

// beside has this process keep to its half of what the machine gives while another one of the node runs, and to its half of
// what the node may send cold backends. Idle connections make room; nothing that is in use does.
func (n *Node) beside(is bool) {
	limits, nodes := n.cfg.Limits, max(n.cfg.Settings.Config.Instances, 1)
	if is {
		limits, nodes = limits.beside(), 2*nodes
	}
	n.log.Info("share of the machine", "another process of this node runs", is)
	clients, backends := limits.share()
	n.listener.resize(clients)
	n.front.resize(clients, backends)
	n.pool.resize(backends)
	if heap := limits.Heap(); heap > 0 {
		debug.SetMemoryLimit(heap)
	}
	n.loop.PostFirst(func() { n.loop.Handle(balance.Event{Kind: balance.InstancesCounted, Instances: nodes}) })
}

// yield ends the node where another process follows. It lets nobody in any more: who waits in the socket's queue is the
// other's. Each answer closes its connection; the others stay for as long as what comes on them can be answered in time,
// and are then closed unless something has come.
func (n *Node) yield(srv *http.Server) error {
	longest := longestDeadline(n.front.tuning.Load().Settings)
	end := time.Now().Add(longest + killAfter - spare)
	n.log.Info("leaving: another process follows", "most", time.Until(end))
	n.front.leaveBy(end)
	n.listener.Close()
	return n.finish(srv, end)
}
