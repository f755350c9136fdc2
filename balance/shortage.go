// This file holds what changes while the process of this node is short of processor time. The times that it measures are partly its own
// then, and probes take from it, and from backends on the same machine, the time that requests need.

package balance

import "time"

// onShortage takes in that a shortage of processor time begins or ends.
func (b *Balancer) onShortage(isShort bool) {
	b.isShort = isShort
	b.lastAdjustedAt = b.now // the shortage is no gap between responses
	if isShort {
		b.releaseHeld() // their probes are late like everything else
	}
}

// mayLearnFrom reports whether a response time is a measure of the backend. In a shortage it may include a delay of this process. During
// the first responses after a start it is nevertheless used if it is below the initial estimate, because it is an upper bound.
func (b *Balancer) mayLearnFrom(elapsed time.Duration) bool {
	return !b.isShort || b.responses*sampleWeight < 1 && elapsed.Seconds() < initialServiceAims*b.meanAim
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
