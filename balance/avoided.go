// This file holds the figures on decisions that a node shows its operators.

package balance

// AvoidedBackends returns the number of ready backends in the list that this node sends nothing, or next to nothing, by choice:
// those outside its subset and those that fail.
func (b *Balancer) AvoidedBackends() int {
	n := -len(b.ready)
	for _, s := range b.backends {
		if s.Phase == Ready {
			n++
			if s.isFailing { // a failing one may still be in the subset
				n++
			}
		}
	}
	return n
}
