package balance

import (
	"cmp"
	"math"
	"time"
)

// retryAfter returns the time after which a client should repeat a rejected request: when the shortest queue will be
// short enough for new requests. It is at least the service time of one queued request, and a mean aim if there is no
// backend.
func (b *Balancer) comeBack() time.Duration {
	in, bound := math.Inf(1), b.meanBound()
	for _, s := range b.ready {
		in = min(in, b.wait(s)-bound)
	}
	if math.IsInf(in, 1) {
		in = b.meanAim
	}
	in = max(in, b.peerPace)
	in = min(in, cmp.Or(b.cfg.Limits.MaxRetryAfter.Seconds(), in))
	return time.Duration(in * float64(time.Second))
}

// refillRetryBudget adds the part of the retry budget that grows with time. With little traffic, a budget that only first
// attempts refill is empty when it is needed, and so few retries are no load. A node starts with the budget of a second.
func (b *Balancer) freeRetries() {
	if free := b.cfg.Limits.FreeRetries; free > 0 {
		b.retries = min(b.retries+free*min(b.now-b.freedAt, time.Second).Seconds(), max(retryMost, free))
		b.freedAt = b.now
	}
}
