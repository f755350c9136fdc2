// This file holds the peer load, which is the load of other nodes on the backends: the last reported value, the baseline,
// and how the one decays into the other.

package balance

import "time"

// recordPeerLoad records the load that other nodes had at a backend some seconds ago.
func (b *Balancer) recordPeerLoad(s *backend, load, age float64) {
	at := b.now - time.Duration(age*float64(time.Second))
	if !b.probes.areLate() { // the mean of few reports is an old one
		s.peerLoadOffset += min(maxBaselineWeight, max(0, at-s.peerLoadAt).Seconds()/baselineSeconds) *
			(load - b.meanPeerLoad(s) - s.peerLoadOffset)
	}
	s.lastPeerLoad, s.peerLoadAt = load, at
	b.addToMeans(s, load)
}

// addToMeans adds a report of the peer load at a backend to the means. Cold backends have a mean of their own.
func (b *Balancer) addToMeans(s *backend, load float64) {
	isShared := b.forwardsReports()
	if b.warmFraction(s) < 1 {
		b.coldLoad.add(b.now, load, isShared)
		return
	}
	b.allLoad.add(b.now, load, isShared)
	s.zoneLoad.add(b.now, load, isShared)
}

// peerLoadMean is the running mean of the peer load at a group of backends.
type peerLoadMean struct {
	mean, reports float64
	updatedAt     time.Duration
}

// add adds one report. Its weight is at least sampleWeight. Where the reports of all nodes arrive, the mean follows those
// of the last sharedMeanSeconds instead.
func (c *peerLoadMean) add(now time.Duration, load float64, isShared bool) {
	c.reports++
	gap, lowest := (now - c.updatedAt).Seconds(), sampleWeight
	if isShared {
		lowest = min(lowest, gap/sharedMeanSeconds)
	}
	weight := max(lowest, min(maxMeanWeight, gap/meanSeconds), 1/c.reports)
	c.mean, c.updatedAt = c.mean+weight*(load-c.mean), now
}

// meanPeerLoad returns the mean peer load in the zone of a backend, because a single zone may be overloaded. Cold backends
// have a mean of their own: all nodes send them less, while the warm ones that replace them have long queues.
func (b *Balancer) meanPeerLoad(s *backend) float64 {
	if b.warmFraction(s) < 1 {
		return b.coldLoad.mean
	}
	if s.zoneLoad.reports > 0 {
		return s.zoneLoad.mean
	}
	return b.allLoad.mean // no report from this zone yet
}

// peerLoad returns the estimated peer load at this time. The reported load decays into the baseline as the queue turns
// over. An old report used as it is sends all nodes to the backend that was idle then, and in a large fleet the lowest
// estimate is the oldest one. So the baseline follows the mean of the reports of all backends.
func (b *Balancer) peerLoad(s *backend, serviceTime float64) float64 {
	return b.probes.share() * b.reportedLoad(s, serviceTime)
}

// reportedLoad is peerLoad without regard to how many reports arrive.
func (b *Balancer) reportedLoad(s *backend, serviceTime float64) float64 {
	baseline := b.baseline(s)
	return baseline + (s.lastPeerLoad-baseline)*b.freshness(s, baseline, serviceTime)
}

// baseline returns the usual peer load at a backend, which holds without a recent report.
func (b *Balancer) baseline(s *backend) float64 { return max(0, b.meanPeerLoad(s)+s.peerLoadOffset) }

// freshness returns the part of the last report that still holds. It is squared, because other nodes act on the same
// report.
func (b *Balancer) freshness(s *backend, baseline, serviceTime float64) float64 {
	turnover := (baseline + 1) * serviceTime
	fraction := turnover / (turnover + (b.now - s.peerLoadAt).Seconds())
	return fraction * fraction
}
