// This file holds the warm-up budget: what a backend that has just started may be sent.

package balance

import "math"

// warmFraction returns the part of its capacity that a backend has for certain at this time.
func (b *Balancer) warmFraction(s *backend) float64 {
	age, rules := b.now-s.Launched, &b.cfg.Rules
	if s.Launched == 0 || age >= rules.WarmWithin {
		return 1
	}
	return rules.ColdShare + (1-rules.ColdShare)*max(0, age.Seconds())/rules.WarmWithin.Seconds()
}

// refillWarmUpBudget protects a backend that has just started from overload. Over time it adds, in mean requests, this
// node's part of what a warm backend serves, or of one request at a time if that is more. Where the budget is less than
// one request a window, each node starts at a random point between two requests. The nodes also drop what is unused for
// warmUpHoldWindows windows, because the saved budgets of all nodes would be used at once.
func (b *Balancer) refillWarmUpBudget(s *backend, isNew bool) {
	if b.warmFraction(s) == 1 {
		return
	}
	rate := max(b.warmRate/b.subsetShare(s), 1/max(b.meanBaseTime(), 1e-6)/float64(b.cfg.Instances))
	rate *= warmUpBudgetFraction * b.cfg.Rules.FallMultiple * b.warmFraction(s)
	if isNew {
		s.warmUpBudget, s.warmUpBudgetAt = b.rng.Float64()-0.5, b.now
	}
	s.warmUpBudget += rate * (b.now - s.warmUpBudgetAt).Seconds()
	if maxBudget := 0.5 + rate*warmUpHoldWindows*b.cfg.Rules.OverloadFor.Seconds(); maxBudget < 1 {
		s.warmUpBudget -= max(0, math.Ceil(s.warmUpBudget-maxBudget))
	}
	s.warmUpBudget, s.warmUpBudgetAt = min(s.warmUpBudget, max(1, warmUpBurstSeconds*rate)), b.now
}

// warmUpAllows reports whether a backend is warm or its warm-up budget covers more than half of the request. A light
// request needs as much budget as a mean one, or nearly all nodes of a large fleet could send one at once. A request of
// less than twice the mean work needs no more than a mean one.
func (b *Balancer) warmUpAllows(r *request, s *backend) bool {
	b.refillWarmUpBudget(s, false)
	return b.warmFraction(s) == 1 || s.warmUpBudget > max(math.Floor(b.work(r)/max(b.meanBaseTime(), 1e-6)), 1)/2
}
