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
	peerReportVersion, peerReportLen, maxPeerQueue = 1, 7, 255
	nameMask                                       = 1<<24 - 1
	// A message up to replayWindow behind the last one is a repeat or late. One further behind comes from a restarted
	// sender.
	replayWindow = 64
	// meanAdopters is the mean number of nodes that use a report like one of their own probes. With more of them, too many
	// would send to the backend that was idle then: each sends a request or two before its own attempts count.
	meanAdopters = 4.0
	// badMessageLogInterval is the least time between two log lines on invalid messages.
	badMessageLogInterval = time.Minute
)

// forwardReport sends the result of a probe to the other nodes. One message to all of them costs less than the probes by
// which each would learn the same. Where it costs more than a probe, only a part of the reports is sent. A node that starts
// probes all backends and forwards nothing.
func (b *Balancer) forwardReport(s *backend, load Load) {
	if !b.forwardsReports() || b.isStarting() || load.Has&HasActive == 0 {
		return
	}
	if b.forwardCredit += min(1, b.cfg.Prices.Probe/max(b.forwardPrice(), 1e-9)); b.forwardCredit < 1 {
		return
	}
	b.forwardCredit--
	b.sentSequence++
	sequence, name := b.sentSequence, s.name()
	b.emit(Action{Kind: SendToPeer, Peer: AllPeers, Payload: []byte{peerReportVersion, byte(sequence >> 8), byte(sequence),
		byte(name >> 16), byte(name >> 8), byte(name), byte(max(0, min(load.Active, maxPeerQueue)))}})
}

// forwardsReports reports whether the traffic of this node is so low that its probes reach a backend less than once in
// meanSeconds. With more traffic, the reports of peers would be older than its own.
func (b *Balancer) forwardsReports() bool {
	probes := min(maxProbesPerTick, probeCostBudget/max(b.cfg.Prices.Probe, 1e-9)) * b.requestRate * meanSeconds
	return b.cfg.Limits.Peers && b.cfg.Instances > 1 && probes < float64(len(b.ready))
}

// forwardPrice returns the cost of a message to all other nodes, in points of the result for each first attempt.
func (b *Balancer) forwardPrice() float64 {
	return b.cfg.Prices.Peer * peerReportLen / 256 * float64(b.cfg.Instances-1)
}

// name returns the name of a backend that all nodes use.
func (m *Member) name() uint32 { return cmp.Or(m.Name, uint32(m.Backend)) & nameMask }

// onPeerMessage processes a report that another node has forwarded. Reports on backends that aren't listed are ignored.
func (b *Balancer) onPeerMessage(ev *Event) {
	payload := ev.Payload
	if len(payload) != peerReportLen || payload[0] != peerReportVersion {
		if b.badMessageLoggedAt == 0 || b.now-b.badMessageLoggedAt >= badMessageLogInterval {
			b.badMessageLoggedAt = b.now
			b.log(fmt.Sprintf("message of peer %d ignored: not a load report of version %d", ev.Peer, peerReportVersion))
		}
		return
	}
	if ev.Peer < 0 || ev.Peer >= b.cfg.Instances || ev.Peer == b.cfg.Index {
		return
	}
	sequence := uint16(payload[1])<<8 | uint16(payload[2])
	lastSequence, known := b.peerSequences[ev.Peer]
	if lag := lastSequence - sequence; known && lag <= replayWindow {
		return
	}
	b.peerSequences[ev.Peer] = sequence
	if s := b.byName[uint32(payload[3])<<16|uint32(payload[4])<<8|uint32(payload[5])]; s != nil && s.Phase == Ready {
		b.applyPeerReport(s, max(0, float64(payload[6])-s.ownQueue()))
	}
}

// applyPeerReport uses a forwarded report. It updates the mean peer load, which rare probes follow too slowly: a node that
// takes its backends for full long after their queues have cleared rejects requests that they could serve.
func (b *Balancer) applyPeerReport(s *backend, load float64) {
	if b.rng.Float64()*float64(b.cfg.Instances-1) < meanAdopters {
		s.unconfirmed = 0
		b.recordPeerLoad(s, load, b.reportInterval)
		return
	}
	b.addToMeans(s, load)
}
