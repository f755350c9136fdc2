// This file holds the peer load, which is the load of other nodes on the backends: the last reported value, the baseline,
// and how the one decays into the other.

package balance

import "time"

// recordPeerLoad records the load that other nodes had at a backend some seconds ago.
func (b *Balancer) tell(s *server, others, ago float64) {
	at := b.now - time.Duration(ago*float64(time.Second))
	s.more += min(usualMost, max(0, at-s.toldAt).Seconds()/usualSpan) * (others - b.mean(s) - s.more)
	s.told, s.toldAt = others, at
	b.learnCrowd(s, others)
}

// addToMeans adds a report of the peer load at a backend to the means. Cold backends have a mean of their own.
func (b *Balancer) learnCrowd(s *server, others float64) {
	together := b.passes()
	if b.warmth(s) < 1 {
		b.cold.learn(b.now, others, together)
		return
	}
	b.all.learn(b.now, others, together)
	s.zone.learn(b.now, others, together)
}

// peerLoadMean is the running mean of the peer load at a group of backends.
type crowd struct {
	others, reports float64
	at              time.Duration
}

// add adds one report. Its weight is at least sampleWeight. Where the reports of all nodes arrive, the mean follows those
// of the last sharedMeanSeconds instead.
func (c *crowd) learn(now time.Duration, others float64, together bool) {
	c.reports++
	gap, least := (now - c.at).Seconds(), paceWeight
	if together {
		least = min(least, gap/meanLeast)
	}
	w := max(least, min(meanMost, gap/meanSpan), 1/c.reports)
	c.others, c.at = c.others+w*(others-c.others), now
}

// meanPeerLoad returns the mean peer load in the zone of a backend, because a single zone may be overloaded. Cold backends
// have a mean of their own: all nodes send them less, while the warm ones that replace them have long queues.
func (b *Balancer) mean(s *server) float64 {
	if b.warmth(s) < 1 {
		return b.cold.others
	}
	if s.zone.reports > 0 {
		return s.zone.others
	}
	return b.all.others // no report from this zone yet
}

// peerLoad returns the estimated peer load at this time. The reported load decays into the baseline as the queue turns
// over. An old report used as it is sends all nodes to the backend that was idle then, and in a large fleet the lowest
// estimate is the oldest one. So the baseline follows the mean of the reports of all backends.
func (b *Balancer) others(s *server, pace float64) float64 {
	usual := b.usual(s)
	return usual + (s.told-usual)*b.fresh(s, usual, pace)
}

// baseline returns the usual peer load at a backend, which holds without a recent report.
func (b *Balancer) usual(s *server) float64 { return max(0, b.mean(s)+s.more) }

// freshness returns the part of the last report that still holds. It is squared, because other nodes act on the same
// report.
func (b *Balancer) fresh(s *server, usual, pace float64) float64 {
	turn := (usual + 1) * pace
	part := turn / (turn + (b.now - s.toldAt).Seconds())
	return part * part
}
