// This file holds declared weights: shares that an operator asks for, beside the estimates of queues.

package balance

import "math"

const (
	// leadMost is how many places more in a queue a declared share is worth: beyond it the queues decide. A place
	// is worth leadAims of an aim at least: where answers take next to nothing, one that took a little more would
	// end a share. minWeight stands for a weight that is no share.
	leadMost, leadAims, minWeight = 8.0, 0.01, 1e-3
)

// declared returns the mean weight of the ready servers and the spent of the one that is furthest behind its
// share; zeros where no shares are declared.
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

// lead is the time that a server's being ahead of its share is worth.
func (b *Balancer) lead(s *server, weight, behind float64) float64 {
	if weight == 0 {
		return 0
	}
	return (s.spent - behind) * weight * max(b.peerPace, leadAims*b.meanAim)
}

// spend counts a request against a declared share. None stays further behind than leadMost places: it is owed no flood.
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
