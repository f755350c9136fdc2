// This file holds what changes while the process of this node is short of processor time. The times that it measures are partly its own
// then, and probes take from it, and from backends on the same machine, the time that requests need.

package balance

// onShortage takes in that a shortage of processor time begins or ends.
func (b *Balancer) onShortage(isShort bool) {
	b.isShort = isShort
	b.lastAdjustedAt = b.now // the shortage is no gap between responses
	if isShort {
		b.releaseHeld() // their probes are late like everything else
	}
}

// leaveOutProbes reports whether the probes of a tick are left out.
func (b *Balancer) leaveOutProbes() bool {
	if !b.isShort {
		return false
	}
	b.probesLeftOut += min(int(b.probeCredit), maxProbesPerTick, len(b.ready))
	b.probeCredit = 0
	return true
}

// ProbesLeftOut returns the number of probes that were not sent for want of processor time.
func (b *Balancer) ProbesLeftOut() int { return b.probesLeftOut }
