// This file holds the cost of a backend, by which requests are dispatched: the expected response time and what is added to it.

package balance

// queueEstimate returns the estimated queue: peer load, own pending attempts and unconfirmed load.
func (b *Balancer) queueEstimate(s *backend) float64 {
	return b.peerLoad(s, b.serviceTime(s)) + s.ownQueue() + s.unconfirmed
}

// cost returns the expected response time of an average request at a backend, in seconds: the queue
// estimate times the recent service time, plus the cost of failures, of silence and of crossing zones.
func (b *Balancer) cost(s *backend) float64 { return b.costOf(s, b.queueEstimate(s), b.serviceTime(s)) }

func (b *Balancer) costOf(s *backend, queue, serviceTime float64) float64 {
	responseTime := (queue + 1) * serviceTime
	failing := max(0, s.failureRate-b.meanFailureRate) * failureCostAims * b.meanAim
	silent := max(0, b.silence(s)-silenceGraceFactor*responseTime)
	return responseTime + failing + silent + b.crossZoneCost(s)
}

// crossZoneCost returns the time that another zone must save. Response times include the network.
func (b *Balancer) crossZoneCost(s *backend) float64 {
	if s.Zone == b.cfg.Zone {
		return 0
	}
	return b.cfg.Prices.CrossZone * crossZoneCostAims * b.meanAim
}

// silence returns how long a backend has given no sign with attempts pending. A hung one has a short queue.
func (b *Balancer) silence(s *backend) float64 {
	if !s.owesSign() {
		return 0
	}
	return (b.now - s.silentSince).Seconds()
}

// serviceTime returns the current service time per queued request. A backend gets faster as it warms up.
func (b *Balancer) serviceTime(s *backend) float64 {
	return b.warmServiceTime(s) * b.slowdownFactor() / b.warmFraction(s)
}

// warmServiceTime returns the service time per queued request once warm. The default is the mean.
func (b *Balancer) warmServiceTime(s *backend) float64 {
	if s.responseTime == 0 {
		return b.meanServiceTime
	}
	return s.responseTime / (s.queueMet + 1)
}

// expectedWait returns the extra time of an average request, without the cost of crossing zones.
func (b *Balancer) expectedWait(s *backend) float64 {
	return b.cost(s) - b.crossZoneCost(s) - b.meanBaseTime()
}
