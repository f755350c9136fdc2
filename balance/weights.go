// This file holds declared weights: the shares of requests that an operator sets. They apply beside the queue estimates.

package balance

import "math"

const (
	// maxLeadRequests is the difference in queued requests up to which shares decide. Beyond it the queues decide. A
	// request counts at least minLeadAims of an aim: with response times close to zero, a slightly longer one would
	// override a share. minWeight replaces weights that are too small for a share.
	leadMost, leadAims, minWeight = 8.0, 0.01, 1e-3
)

// declaredShares returns the mean weight of the ready backends and the smallest weightedSends, which is that of the backend
// furthest behind its share. Both are 0 if no weights are declared.
func (b *Balancer) declared() (weight, behind float64) {
	if b.cfg.Weights != DeclaredWeights || len(b.ready) == 0 {
		return 0, 0
	}
	behind = math.Inf(1)
	for _, s := range b.ready {
		weight += max(s.Weight, minWeight) / float64(len(b.ready))
		behind = min(behind, s.spent)
	}
	return weight, behind
}

// leadCost returns the cost, in seconds, of a backend's lead over its share.
func (b *Balancer) lead(s *server, weight, behind float64) float64 {
	if weight == 0 {
		return 0
	}
	return (s.spent - behind) * weight * max(b.peerPace, leadAims*b.meanAim)
}

// countSend counts a request against a declared share. No backend stays further behind than maxLeadRequests, so that none
// is flooded to catch up.
func (b *Balancer) spend(s *server) {
	weight, _ := b.declared()
	if weight == 0 {
		return
	}
	own := 1 / max(s.Weight, minWeight)
	s.spent += own
	for _, o := range b.ready {
		o.spent = max(o.spent, s.spent-own-leadMost/weight)
	}
}
