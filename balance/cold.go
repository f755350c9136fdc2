// This file holds what a server may be sent that has just started.

package balance

import "math"

// warmth returns the part of its capacity that a server surely has by now.
func (b *Balancer) warmth(s *server) float64 {
	age, rules := b.now-s.Launched, &b.cfg.Rules
	if s.Launched == 0 || age >= rules.WarmWithin {
		return 1
	}
	return rules.ColdShare + (1-rules.ColdShare)*max(0, age.Seconds())/rules.WarmWithin.Seconds()
}

// grantCold guards against pushing over a server that has just started: as time goes by it grants, in mean requests, this
// node's part of what warm servers do, or of one request at a time. Where that is less than one a window, nodes begin at
// points of their own between two, and let go what is unused for coldHold of a window: saved up, it would come at once.
func (b *Balancer) grantCold(s *server, first bool) {
	if b.warmth(s) == 1 {
		return
	}
	rate := max(b.warmRate/b.reach(s), 1/max(b.meanBase(), 1e-6)/float64(b.cfg.Instances))
	rate *= coldMargin * b.cfg.Rules.FallMultiple * b.warmth(s)
	if first {
		s.credit, s.granted = b.rng.Float64()-0.5, b.now
	}
	s.credit += rate * (b.now - s.granted).Seconds()
	if most := 0.5 + rate*coldHold*b.cfg.Rules.OverloadFor.Seconds(); most < 1 {
		s.credit -= max(0, math.Ceil(s.credit-most))
	}
	s.credit, s.granted = min(s.credit, max(1, coldBurst*rate)), b.now
}

// coldAllows tells whether a server is warm, or has grant left for most of the request. A light one waits for as much as
// a mean one, else nearly all nodes of a large fleet could send one at once; one of up to twice the mean no longer.
func (b *Balancer) coldAllows(r *request, s *server) bool {
	b.grantCold(s, false)
	return b.warmth(s) == 1 || s.credit > max(math.Floor(b.work(r)/max(b.meanBase(), 1e-6)), 1)/2
}
