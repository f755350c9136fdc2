package balance

import (
	"math"
	"time"
)

// slowdown compares the service time of recent responses of all backends with the baseline. The factor is how much longer
// service times are now. It is 1 while chance explains the difference: up to noiseDeviations standard deviations of a mean
// over recent responses, each with the weight recentWeight.
type slowdown struct {
	responseTime, queueMet, baseline, factor float64 // running means of response times (seconds) and queues met; usual service time
	updatedAt                                time.Duration
}

const recentWeight = 0.1

// learnSlowdown updates the factor by a response. Each backend's own service time is learned from its few responses. That
// is far too slow when many backends are overloaded: a queue that looked short enough stays, and so does the overload. The
// factor lengthens all service times and shortens the longest wait. The first keeps expected response times right; the
// second gives the backends room to recover.
func (b *Balancer) learnSlowdown(sample, queue, weight float64) {
	r := &b.recent
	r.responseTime, r.queueMet = r.responseTime+weight*(sample-r.responseTime), r.queueMet+weight*(queue-r.queueMet)
	serviceTime := r.responseTime / (r.queueMet + 1)
	// The baseline follows over baselineSeconds, and more slowly during a slowdown. A lasting slowdown becomes the baseline.
	r.baseline += min((b.now-r.updatedAt).Seconds()/baselineSeconds/r.factor/r.factor, recentWeight) * (serviceTime - r.baseline)
	if b.responses*sampleWeight < 1 { // there is no baseline beside the first responses
		r.responseTime, r.queueMet, r.baseline, serviceTime = b.meanResponseTime, b.meanQueueMet, b.meanServiceTime, b.meanServiceTime
	}
	r.updatedAt, r.factor = b.now, 1
	if serviceTime > r.baseline*(1+noiseDeviations*math.Sqrt(recentWeight/(2-recentWeight))) {
		r.factor = max(1, serviceTime/b.meanServiceTime)
	}
}

// slowdownFactor returns how much longer service times are now than usual. While replies to probes are late it counts less: where even a
// probe waits, the wait is not that of the requests' queues, and rejecting requests makes it no shorter.
func (b *Balancer) slowdownFactor() float64 { return 1 + (b.recent.factor-1)*b.probes.share() }
