// This file holds what nodes tell one another: each passes on the reports that its probes bring.

package balance

import (
	"cmp"
	"fmt"
	"time"
)

const (
	// A message is hearsayLen bytes: hearsayVersion, the sender's number of it (2), the server's name (3), its queue,
	// queueMost where that is longer.
	hearsayVersion, hearsayLen, queueMost = 1, 7, 255
	nameMask                              = 1<<24 - 1
	// A message at most hearsayBack behind the last one is a repeat or late; further back, its sender has started again.
	hearsayBack = 64
	// takers is how many other nodes, on average, take a report as if their own probe had brought it. More of them would
	// rush to the server that was idle then: each sends it a request or two before it counts its own.
	takers = 4.0
	// complainEvery bounds the lines on messages that can't be read.
	complainEvery = time.Minute
)

// pass tells the other nodes what a probe brought. One message that reaches all of them costs less than the probes by
// which each would learn it; where it costs more than a probe, a part goes out. Nodes that start ask all, and tell nobody.
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

// passes tells whether this node's traffic is so thin that its own probes meet a server less than once in meanSpan. Where
// a node can follow its servers by itself, what others tell is older than what it knows.
func (b *Balancer) passes() bool {
	probes := min(probesPerTick, probeSpend/max(b.cfg.Prices.Probe, 1e-9)) * b.perSecond * meanSpan
	return b.cfg.Limits.Peers && b.cfg.Instances > 1 && probes < float64(len(b.ready))
}

// passPrice is what it takes off the result to tell a report to all others, for each first try.
func (b *Balancer) passPrice() float64 {
	return b.cfg.Prices.Peer * hearsayLen / 256 * float64(b.cfg.Instances-1)
}

// name is what all nodes call a server.
func (m *Member) name() uint32 { return cmp.Or(m.Name, uint32(m.Backend)) & nameMask }

// onHearsay takes in a report that another node passed on. It names a server of this node's own list or is ignored.
func (b *Balancer) onHearsay(ev *Event) {
	p := ev.Payload
	if len(p) != hearsayLen || p[0] != hearsayVersion {
		if b.complainedAt == 0 || b.now-b.complainedAt >= complainEvery {
			b.complainedAt = b.now
			b.log(fmt.Sprintf("message of peer %d: not of version %d: ignored", ev.Peer, hearsayVersion))
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

// hearsay takes in what others told. It moves the mean of what servers hold, which rare probes follow too slowly: a node
// that takes its servers for full long after they have cleared refuses what they could do.
func (b *Balancer) hearsay(s *server, others float64) {
	if b.rng.Float64()*float64(b.cfg.Instances-1) < takers {
		s.unconfirmed = 0
		b.tell(s, others, b.refresh)
		return
	}
	b.learnCrowd(s, others)
}
