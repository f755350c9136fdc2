// This file holds what a node shows its operators of the decisions.

package balance

// Avoided counts the servers in the list, ready ones, that this node sends nothing or next to nothing by choice.
func (b *Balancer) Avoided() int {
	n := -len(b.ready)
	for _, s := range b.servers {
		if s.Phase == Ready {
			n++
			if s.failed { // one that fails is kept among those that may be sent to
				n++
			}
		}
	}
	return n
}
