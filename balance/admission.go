// This file decides how long a request may wait, and so which requests are rejected: by worth, by the shares of tenants, and by
// whether responses are in time.

package balance

import "time"

// maxWait returns the longest expected wait at which a request is still sent.
func (b *Balancer) maxWait(r *request) float64 {
	return b.meanMaxWait() * min(max(b.admissionWeight(r), 1/maxAdmissionWeight), maxAdmissionWeight)
}

// meanMaxWait returns the longest wait for a request of mean worth. It is a part of the headroom, because
// longer queues only make requests late. It is a part of the base time if that is more, or slow backends
// would be idle.
func (b *Balancer) meanMaxWait() float64 {
	return b.admissionFactor * max(b.headroom(), b.meanBaseTime()) / b.slowdownFactor()
}

// headroom returns the longest wait with which an average request still meets its aim.
func (b *Balancer) headroom() float64 { return max(b.meanAim-b.meanBaseTime(), 0) }

// admissionWeight returns the factor of a request's longest wait. It is higher for more worth per unit of
// work, and low beyond the tenant's share. Only requests that were sent use up a share.
func (b *Balancer) admissionWeight(r *request) float64 {
	weight := 1.0
	if b.meanWorth > 0 {
		weight = b.worthPerWork(r) / b.meanWorth
		if tokens := b.shareTokens(r); tokens != nil && *tokens < 1 {
			weight *= b.cfg.OverShareWorth
		}
	}
	return weight
}

// worthPerWork returns the worth of a request per unit of work. The unit is the work of a mean class.
func (b *Balancer) worthPerWork(r *request) float64 {
	if b.cfg.WorthByWork || b.work(r) == 0 {
		return r.class.Points
	}
	return r.class.Points * b.meanBaseTime() / b.work(r)
}

// shareTokens returns the tokens of the tenant's share at this node, or nil if there is no quota.
func (b *Balancer) shareTokens(r *request) *float64 {
	if r.tenant < 0 || r.tenant >= len(b.shareBuckets) || b.cfg.Tenants[r.tenant].QuotaPerSecond <= 0 {
		return nil
	}
	bucket := &b.shareBuckets[r.tenant]
	rate := b.cfg.Tenants[r.tenant].QuotaPerSecond / float64(b.cfg.Instances)
	bucket.tokens = min(bucket.tokens+rate*(b.now-bucket.updatedAt).Seconds(),
		max(rate*shareBurstSeconds, minShareBurst))
	bucket.updatedAt = b.now
	return &bucket.tokens
}

// adjustAdmission adapts the admission factor. Overloaded backends may slow down so much that a short queue
// never clears; only late responses show it. Requests that are late by their own work, and not by the
// queue, don't count.
func (b *Balancer) adjustAdmission(st Status, late time.Duration, queued float64) {
	if b.lastAdjustedAt > 0 { // before the first response there is no gap
		b.responseGap += sampleWeight * ((b.now - b.lastAdjustedAt).Seconds() - b.responseGap)
	}
	b.lastAdjustedAt = b.now
	step := min(admissionRate*b.responseGap, maxAdmissionStep) * b.admissionFactor
	switch {
	case st == Expired || st == Delivered && late > 0 && late.Seconds() <= queued:
		b.admissionFactor -= step
	case st == Delivered && late <= 0 &&
		(b.admissionFactor < initialAdmission || queued >= minUtilization*b.meanMaxWait()):
		b.admissionFactor += step / lateOneIn
	}
	b.admissionFactor = min(max(b.admissionFactor, minAdmission), maxAdmission)
	b.logTransition(&b.responsesLate, b.admissionFactor == minAdmission,
		b.admissionFactor >= initialAdmission,
		"responses are late: rejecting requests early", "responses are in time again")
}
