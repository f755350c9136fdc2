package balance

import (
	"math"
	"time"
)

// slowdown compares the service time of recent responses of all backends with the baseline. The factor is how much longer
// service times are now. It is 1 while chance explains the difference: up to noiseDeviations standard deviations of a mean
// over recent responses, each with the weight recentWeight.
type slowdown struct {
	time, depth, usual, factor float64 // running means of response times (seconds) and queues met; usual service time
	at                         time.Duration
}

const recentWeight = 0.1

// learnSlowdown updates the factor by a response. Each backend's own service time is learned from its few responses. That
// is far too slow when many backends are overloaded: a queue that looked short enough stays, and so does the overload. The
// factor lengthens all service times and shortens the longest wait. The first keeps expected response times right; the
// second gives the backends room to recover.
func (b *Balancer) learnSlowdown(took, met, weight float64) {
	r := &b.recent
	r.time, r.depth = r.time+weight*(took-r.time), r.depth+weight*(met-r.depth)
	pace := r.time / (r.depth + 1)
	// The baseline follows over baselineSeconds, and more slowly during a slowdown. A lasting slowdown becomes the baseline.
	r.usual += min((b.now-r.at).Seconds()/usualSpan/r.factor/r.factor, recentWeight) * (pace - r.usual)
	if b.answers*paceWeight < 1 { // there is no baseline beside the first responses
		r.time, r.depth, r.usual, pace = b.allTime, b.allDepth, b.peerPace, b.peerPace
	}
	r.at, r.factor = b.now, 1
	if pace > r.usual*(1+deviations*math.Sqrt(recentWeight/(2-recentWeight))) {
		r.factor = max(1, pace/b.peerPace)
	}
}
