package balance

import (
	"cmp"
	"math"
	"time"
)

// retryAfter returns the time after which a client should repeat a rejected request: when the shortest queue will be
// short enough for new requests. It is at least the service time of one queued request, and a mean aim if there is no
// backend.
func (b *Balancer) retryAfter() time.Duration {
	after, bound := math.Inf(1), b.meanMaxWait()
	for _, s := range b.ready {
		after = min(after, b.expectedWait(s)-bound)
	}
	if math.IsInf(after, 1) {
		after = b.meanAim
	}
	after = max(after, b.meanServiceTime)
	after = min(after, cmp.Or(b.cfg.Limits.MaxRetryAfter.Seconds(), after))
	return time.Duration(after * float64(time.Second))
}

// refillRetryBudget adds the part of the retry budget that grows with time. With little traffic, a budget that only first
// attempts refill is empty when it is needed, and so few retries are no load. A node starts with the budget of a second.
func (b *Balancer) refillRetryBudget() {
	if free := b.cfg.Limits.RetriesPerSecond; free > 0 {
		b.retryBudget = min(b.retryBudget+free*min(b.now-b.retriesRefilledAt, time.Second).Seconds(), max(maxRetryBudget, free))
		b.retriesRefilledAt = b.now
	}
}
