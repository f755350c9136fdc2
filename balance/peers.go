// This file holds the messages between nodes. Each node forwards the load reports of its probes to its peers.

package balance

import (
	"cmp"
	"fmt"
	"time"
)

const (
	// A message has peerReportLen bytes: peerReportVersion (1), sequence number of the sender (2), name of the backend (3),
	// queue (1). A longer queue than maxPeerQueue is sent as maxPeerQueue.
	hearsayVersion, hearsayLen, queueMost = 1, 7, 255
	nameMask                              = 1<<24 - 1
	// A message up to replayWindow behind the last one is a repeat or late. One further behind comes from a restarted
	// sender.
	hearsayBack = 64
	// meanAdopters is the mean number of nodes that use a report like one of their own probes. With more of them, too many
	// would send to the backend that was idle then: each sends a request or two before its own attempts count.
	takers = 4.0
	// badMessageLogInterval is the least time between two log lines on invalid messages.
	complainEvery = time.Minute
)

// forwardReport sends the result of a probe to the other nodes. One message to all of them costs less than the probes by
// which each would learn the same. Where it costs more than a probe, only a part of the reports is sent. A node that starts
// probes all backends and forwards nothing.
func (b *Balancer) pass(s *server, l Load) {
	if !b.passes() || b.starting() || l.Has&HasActive == 0 {
		return
	}
	if b.passDue += min(1, b.cfg.Prices.Probe/max(b.passPrice(), 1e-9)); b.passDue < 1 {
		return
	}
	b.passDue--
	b.passed++
	n, name := b.passed, s.name()
	b.do(Action{Kind: Tell, Peer: AllPeers, Payload: []byte{hearsayVersion, byte(n >> 8), byte(n),
		byte(name >> 16), byte(name >> 8), byte(name), byte(max(0, min(l.Active, queueMost)))}})
}

// forwardsReports reports whether the traffic of this node is so low that its probes reach a backend less than once in
// meanSeconds. With more traffic, the reports of peers would be older than its own.
func (b *Balancer) passes() bool {
	probes := min(probesPerTick, probeSpend/max(b.cfg.Prices.Probe, 1e-9)) * b.perSecond * meanSpan
	return b.cfg.Limits.Peers && b.cfg.Instances > 1 && probes < float64(len(b.ready))
}

// forwardPrice returns the cost of a message to all other nodes, in points of the result for each first attempt.
func (b *Balancer) passPrice() float64 {
	return b.cfg.Prices.Peer * hearsayLen / 256 * float64(b.cfg.Instances-1)
}

// name returns the name of a backend that all nodes use.
func (m *Member) name() uint32 { return cmp.Or(m.Name, uint32(m.Backend)) & nameMask }

// onPeerMessage processes a report that another node has forwarded. Reports on backends that aren't listed are ignored.
func (b *Balancer) onHearsay(ev *Event) {
	p := ev.Payload
	if len(p) != hearsayLen || p[0] != hearsayVersion {
		if b.complainedAt == 0 || b.now-b.complainedAt >= complainEvery {
			b.complainedAt = b.now
			b.log(fmt.Sprintf("message of peer %d ignored: not a load report of version %d", ev.Peer, hearsayVersion))
		}
		return
	}
	if ev.Peer < 0 || ev.Peer >= b.cfg.Instances || ev.Peer == b.cfg.Index {
		return
	}
	number := uint16(p[1])<<8 | uint16(p[2])
	last, known := b.numbers[ev.Peer]
	if behind := last - number; known && behind <= hearsayBack {
		return
	}
	b.numbers[ev.Peer] = number
	if s := b.names[uint32(p[3])<<16|uint32(p[4])<<8|uint32(p[5])]; s != nil && s.Phase == Ready {
		b.hearsay(s, max(0, float64(p[6])-s.out))
	}
}

// applyPeerReport uses a forwarded report. It updates the mean peer load, which rare probes follow too slowly: a node that
// takes its backends for full long after their queues have cleared rejects requests that they could serve.
func (b *Balancer) hearsay(s *server, others float64) {
	if b.rng.Float64()*float64(b.cfg.Instances-1) < takers {
		s.unconfirmed = 0
		b.tell(s, others, b.refresh)
		return
	}
	b.learnCrowd(s, others)
}
