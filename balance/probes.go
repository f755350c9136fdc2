// This file decides when probes are sent, and how many.

package balance

import (
	"cmp"
	"time"
)

const (
	// Each arrival earns as many probes as cost probeCostBudget points of the result. At most
	// maxProbesPerTick are sent in a tick.
	maxProbesPerTick, probeCostBudget = 3, 0.004
	// A reply that takes longer than slowReply is late: network and backend take a fraction of that.
	slowReply = 50 * time.Millisecond
	// Up to maxLate of the recent replies may be late or missing, as those of a few backends that hang. From there on fewer probes
	// are sent, down to minProbeShare of them where allLate are late.
	maxLate, allLate, minProbeShare = 0.25, 0.6, 0.05
	// A reply has the weight replyWeight in the share of late ones. That share falls no faster than in lateSeconds, or the probes
	// would be back as soon as a few replies are in time.
	replyWeight, lateSeconds = 1.0 / 8, 2.0
)

// probeReplies has the share of the recent probes that got a late reply or none. A probe costs a backend work, and one without a reply also
// costs a connection, because the next one needs a new one. If backends are so busy that their replies come too late, as many probes as
// before would keep them so: the replies bring nothing, and requests are rejected to make room for probes.
type probeReplies struct {
	late      float64 // share of the recent probes, 0 to 1
	updatedAt time.Duration
	isReduced bool // fewer probes are sent, as logged
}

// The log reports fewer probes from loggedProbeShare on, and the end when all are sent again.
const loggedProbeShare = 0.5

// onProbed takes in the result of a probe.
func (b *Balancer) onProbed(ev *Event) {
	b.probes.observe(b.now, ev.Status, ev.Elapsed)
	share := b.probes.share()
	b.logTransition(&b.probes.isReduced, share <= loggedProbeShare, share == 1,
		"replies to probes are late at most backends: sending fewer probes", "replies to probes are in time again")
	if s := b.backends[ev.Backend]; s != nil && s.isProcessOf(b.now-ev.Elapsed) {
		b.applyReport(s, ev.Load)
		b.forwardReport(s, ev.Load)
		if b.probePairs < maxProbePairs && s.reportedQueue > 0 {
			b.probePairs++
			gap := cmp.Or(b.reportInterval, 2*b.meanServiceTime) / 2
			b.setTimer(time.Duration(gap*float64(time.Second)), timer{reprobe: s})
		}
	}
	if b.pendingProbes--; b.pendingProbes <= 0 {
		b.releaseHeld()
	}
}

// ProbeShare returns which part of the probes is sent: 1, or less while replies are late.
func (b *Balancer) ProbeShare() float64 { return b.probes.share() }

// observe records the result of a probe.
func (p *probeReplies) observe(now time.Duration, status Status, elapsed time.Duration) {
	gap := (now - p.updatedAt).Seconds()
	switch status {
	case Unused, Cancelled:
		return // it was not sent
	case Expired, DialFailed, Dropped:
		p.late += replyWeight * (1 - p.late)
	default:
		if elapsed > slowReply {
			p.late += replyWeight * (1 - p.late)
		} else {
			p.late -= min(replyWeight, gap/lateSeconds) * p.late
		}
	}
	p.updatedAt = now
}

// share returns which part of the probes is sent.
func (p *probeReplies) share() float64 {
	excess := (p.late - maxLate) / (allLate - maxLate)
	return min(max(1-excess, minProbeShare), 1)
}

// areLate reports whether so many replies are late that the queues of backends are not known well enough to learn from.
func (p *probeReplies) areLate() bool { return p.share() < 1 }

// sendProbes probes distinct random backends, once in each tick with arrivals.
func (b *Balancer) sendProbes() {
	earned := min(maxProbesPerTick, probeCostBudget/max(b.cfg.Prices.Probe, 1e-9))
	if b.forwardsReports() {
		earned = min(maxProbesPerTick, probeCostBudget/max(b.cfg.Prices.Probe+b.forwardPrice(), 1e-9))
	}
	if b.isStarting() {
		earned = max(earned, 1)
	}
	earned *= b.probes.share()
	b.probeCredit = min(b.probeCredit+earned, 2*maxProbesPerTick)
	if !b.cfg.Limits.Probing || b.probedAt == b.now {
		return
	}
	b.probedAt = b.now
	if b.leaveOutProbes() {
		return
	}
	count := min(int(b.probeCredit), maxProbesPerTick, len(b.ready))
	b.probeCredit -= float64(count)
	for _, i := range b.rng.Perm(len(b.ready))[:count] {
		b.probesSent++
		b.emit(Action{Kind: Probe, Backend: b.ready[i].Backend})
	}
	if count > 1 && b.reportInterval < b.meanServiceTime {
		b.pendingProbes += count
	}
}

// isStarting reports whether this node lacks estimates: it has sent fewer probes than it has backends.
func (b *Balancer) isStarting() bool { return b.probesSent < float64(len(b.ready)) }
