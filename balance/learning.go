// This file holds what a node learns from the outcomes of its attempts: the base times of classes, the service times and the failure rates
// of backends.

package balance

import (
	"cmp"
	"fmt"
	"time"
)

// work returns the expected work of a request, in seconds: its hint, or else the base time of its class.
// Mean response times are no measure of work, because queues make those of light and heavy classes alike.
func (b *Balancer) work(r *request) float64 {
	return cmp.Or(r.hint.Seconds(), r.stats.baseTime, b.meanBaseTime())
}

// shrunkBaseTime returns the base time of a class, drawn to the mean of all: few responses show the
// backend's speed.
func (b *Balancer) shrunkBaseTime(c *classStats) float64 {
	return (c.unqueuedSamples*c.baseTime + priorSamples*b.meanBaseTime()) / (c.unqueuedSamples + priorSamples)
}

// meanBaseTime returns the mean base time of the classes with responses, in seconds.
func (b *Balancer) meanBaseTime() float64 {
	var m mean
	for i := range b.classes {
		if b.classes[i].baseTime > 0 && !b.cfg.Classes[i].IsRemoved {
			m.add(b.classes[i].baseTime)
		}
	}
	if m.n == 0 {
		return initialServiceAims * b.meanAim
	}
	return m.value()
}

// learnBaseTime updates the base time of a class by a response that met no queue. Rejecting early empties
// the queues of overloaded backends, which then show their base time. Until then the hint is used, as a
// queue is not work.
func (b *Balancer) learnBaseTime(r *request, a *attempt, spent float64) {
	class, weight, oldBaseTime := r.stats, baseTimeWeight, b.meanBaseTime()
	switch {
	case class.samples > 0 && b.probes.areLate():
		return // the queue that the request has met is not known
	case a.queueMet > maxEmptyQueue && class.unqueuedSamples > 0:
		return
	case a.queueMet > maxEmptyQueue && r.hint > 0:
		spent = r.hint.Seconds()
	case a.queueMet <= maxEmptyQueue:
		class.unqueuedSamples++
		weight = max(weight, 1/class.unqueuedSamples)
	}
	class.samples++
	class.baseTime += max(weight, 1/class.samples) * (spent - class.baseTime)
	if class.samples == 1 { // one more class changes the mean request
		b.warmRate *= oldBaseTime / max(b.meanBaseTime(), 1e-6)
	}
}

// learnServiceTime updates a backend's service time by a response, relative to the class's base time.
func (b *Balancer) learnServiceTime(s *backend, r *request, a *attempt, spent time.Duration) {
	if r.stats.baseTime == 0 {
		return
	}
	normalized := spent.Seconds() / b.shrunkBaseTime(r.stats) * b.meanBaseTime() * b.warmFraction(s)
	if s.responseTime == 0 {
		s.responseTime, s.queueMet = b.meanServiceTime*(a.queueMet+1), a.queueMet
		if b.responses == 0 && b.cfg.Weights == DeclaredWeights {
			s.responseTime = normalized // the prior would deny this backend its share for long
		}
	}
	s.lastResponseAt = b.now
	if b.probes.areLate() {
		b.learnSlowdown(normalized, a.queueMet, recentWeight)
		return // too little is known of the queue that the request has met
	}
	// A long queue shows the service time better: a short one is no load for a backend with many cores.
	weight := min(sampleWeight*(a.queueMet+1)/(s.queueMet+1), 1)
	s.responseTime += weight * (normalized - s.responseTime)
	s.queueMet += weight * (a.queueMet - s.queueMet)
	b.responses++ // a single backend may have few responses, so all of them count for the mean
	weight = max(weight/float64(len(b.ready)+1), 1/b.responses)
	b.meanResponseTime, b.meanQueueMet = b.meanResponseTime+weight*(normalized-b.meanResponseTime),
		b.meanQueueMet+weight*(a.queueMet-b.meanQueueMet)
	b.meanServiceTime = b.meanResponseTime / (b.meanQueueMet + 1)
	b.learnSlowdown(normalized, a.queueMet, recentWeight)
}

// updateFailureRate updates the failure rate of a backend, because one that fails fast looks idle.
func (b *Balancer) updateFailureRate(s *backend, st Status, awaitedSince time.Duration) {
	switch st {
	case Delivered, Shed:
		s.failureRate -= failureSampleWeight * s.failureRate
		s.silentSince = b.now
		b.meanErrorRate -= failureSampleWeight * b.meanErrorRate / float64(len(b.ready)+1)
	case Expired:
		// A time-out is no failure while the backend responds to other attempts.
		if !s.owesSign() && s.silentSince <= awaitedSince {
			// The backend has given no sign since then. Where most backends are late, it is no outlier.
			s.failureRate += b.probes.share() * (1 - s.failureRate)
		}
	case AppError, Dropped, DialFailed:
		s.silentSince = b.now
		s.failureRate += failureSampleWeight * (1 - s.failureRate)
		if st != DialFailed { // a full backend refuses connections: not by chance
			b.meanErrorRate += failureSampleWeight * (1 - b.meanErrorRate) / float64(len(b.ready)+1)
		}
	}
}

// compareFailureRate updates the mean failure rate, and logs when traffic to a backend is withheld.
func (b *Balancer) compareFailureRate(s *backend) {
	// Failures that all backends share make none of them an outlier, and are no reason to reject requests.
	b.meanFailureRate += failureSampleWeight * (s.failureRate - b.meanFailureRate) / float64(len(b.ready)+1)
	if begins, ends := s.failureRate > highFailureRate, s.failureRate < lowFailureRate; begins &&
		!s.isFailing || ends && s.isFailing {
		name := fmt.Sprintf("backend %d ", s.Backend) // only here: most outcomes log nothing
		b.needsSubset = true                          // failing backends don't count in the subset
		b.logTransition(&s.isFailing, begins, ends, name+"fails: traffic withheld", name+"answers again")
	}
}
