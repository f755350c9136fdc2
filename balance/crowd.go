// This file holds what is known of the other nodes' part in the queues: told, usual, and how the one fades into the other.

package balance

import "time"

// tell takes in what other nodes had at a server some seconds ago.
func (b *Balancer) tell(s *server, others, ago float64) {
	at := b.now - time.Duration(ago*float64(time.Second))
	s.more += min(usualMost, max(0, at-s.toldAt).Seconds()/usualSpan) * (others - b.mean(s) - s.more)
	s.told, s.toldAt = others, at
	b.learnCrowd(s, others)
}

// learnCrowd takes in a report of the others at a server into the means. Cold servers are a crowd of their own.
func (b *Balancer) learnCrowd(s *server, others float64) {
	together := b.passes()
	if b.warmth(s) < 1 {
		b.cold.learn(b.now, others, together)
		return
	}
	b.all.learn(b.now, others, together)
	s.zone.learn(b.now, others, together)
}

// crowd is the mean of what other nodes have at some servers by the latest reports.
type crowd struct {
	others, reports float64
	at              time.Duration
}

// learn takes in one report. It counts for paceWeight at least, but where all nodes' reports come together: there the
// mean follows those of the last meanLeast seconds.
func (c *crowd) learn(now time.Duration, others float64, together bool) {
	c.reports++
	gap, least := (now - c.at).Seconds(), paceWeight
	if together {
		least = min(least, gap/meanLeast)
	}
	w := max(least, min(meanMost, gap/meanSpan), 1/c.reports)
	c.others, c.at = c.others+w*(others-c.others), now
}

// mean is what other nodes have at a server of the zone: one zone may have more traffic than it can carry. Cold servers
// are a crowd of their own: all nodes hold back from them while the warm ones that stand in for them are crowded.
func (b *Balancer) mean(s *server) float64 {
	if b.warmth(s) < 1 {
		return b.cold.others
	}
	if s.zone.reports > 0 {
		return s.zone.others
	}
	return b.all.others // nothing heard of this zone yet
}

// others is the part of other nodes by now: what was told fades into what is usual, as a queue turns over.
// Taken at its word, an old report makes all nodes rush at once to the server that was idle then, and in a
// large fleet the smallest entry is the oldest one. So the usual follows the mean of what all servers say.
func (b *Balancer) others(s *server, pace float64) float64 {
	usual := b.usual(s)
	return usual + (s.told-usual)*b.fresh(s, usual, pace)
}

// usual is what other nodes have at a server when nothing newer is known.
func (b *Balancer) usual(s *server) float64 { return max(0, b.mean(s)+s.more) }

// fresh is the part of what was told last that still holds, squared where other nodes act on the same report.
func (b *Balancer) fresh(s *server, usual, pace float64) float64 {
	turn := (usual + 1) * pace
	part := turn / (turn + (b.now - s.toldAt).Seconds())
	return part * part
}
