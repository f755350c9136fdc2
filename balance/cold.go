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

// grantCold guards against pushing over a server that has just started: as time goes by it grants, in mean requests,
// this node's part of what warm servers do, or of one request at a time. Grants by the window come in lumps, two
// of them within one window. In a large fleet the part is less than one request a window, and one from each node
// would push the server over: so each begins at a point of its own between two requests, and lets go again what
// it has not used within coldHold of a window. Saved up, it would all come when all want the server at once.
func (b *Balancer) grantCold(s *server, first bool) {
	if b.warmth(s) == 1 {
		return
	}
	part := max(b.warmRate/b.reach(s), 1/float64(b.cfg.Instances)) / max(b.meanBase(), 1e-6)
	rate := coldMargin * b.cfg.Rules.FallMultiple * b.warmth(s) * part
	if first {
		s.credit, s.granted = b.rng.Float64()-0.5, b.now
	}
	s.credit += rate * (b.now - s.granted).Seconds()
	if most := 0.5 + rate*coldHold*b.cfg.Rules.OverloadFor.Seconds(); most < 1 {
		s.credit -= max(0, math.Ceil(s.credit-most))
	}
	s.credit, s.granted = min(s.credit, max(1, coldBurst*rate)), b.now
}

// coldAllows tells whether a server is warm, or has grant left for most of the request: two heavy ones on the
// rests of two grants would be as much as two windows may hold. A light one waits for as much as a mean one: else
// nearly all nodes of a large fleet could send one at once. One of up to twice the mean waits no longer: light
// ones would take all that there is.
func (b *Balancer) coldAllows(r *request, s *server) bool {
	b.grantCold(s, false)
	return b.warmth(s) == 1 || s.credit > max(math.Floor(b.work(r)/max(b.meanBase(), 1e-6)), 1)/2
}
