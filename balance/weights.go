// This file holds declared weights: the shares of requests that an operator sets. They apply beside the queue estimates.

package balance

import "math"

const (
	// maxLeadRequests is the difference in queued requests up to which shares decide. Beyond it the queues decide. A
	// request counts at least minLeadAims of an aim: with response times close to zero, a slightly longer one would
	// override a share. minWeight replaces weights that are too small for a share.
	maxLeadRequests, minLeadAims, minWeight = 8.0, 0.01, 1e-3
)

// declaredShares returns the mean weight of the ready backends and the smallest weightedSends, which is that of the backend
// furthest behind its share. Both are 0 if no weights are declared.
func (b *Balancer) declaredShares() (meanWeight, minSends float64) {
	if b.cfg.Weights != DeclaredWeights || len(b.ready) == 0 {
		return 0, 0
	}
	minSends = math.Inf(1)
	for _, s := range b.ready {
		meanWeight += max(s.Weight, minWeight) / float64(len(b.ready))
		minSends = min(minSends, s.weightedSends)
	}
	return meanWeight, minSends
}

// leadCost returns the cost, in seconds, of a backend's lead over its share.
func (b *Balancer) leadCost(s *backend, meanWeight, minSends float64) float64 {
	if meanWeight == 0 {
		return 0
	}
	return (s.weightedSends - minSends) * meanWeight * max(b.meanServiceTime, minLeadAims*b.meanAim)
}

// countSend counts a request against a declared share. No backend stays further behind than maxLeadRequests, so that none
// is flooded to catch up.
func (b *Balancer) countSend(s *backend) {
	meanWeight, _ := b.declaredShares()
	if meanWeight == 0 {
		return
	}
	increment := 1 / max(s.Weight, minWeight)
	s.weightedSends += increment
	for _, other := range b.ready {
		other.weightedSends = max(other.weightedSends, s.weightedSends-increment-maxLeadRequests/meanWeight)
	}
}
