package balance

import (
	"cmp"
	"math"
	"time"
)

// comeBack is the advice that goes with a refusal: when the shortest queue will have fallen to what is sent to
// now. Where a queue is not the reason it is the time of one place in a queue, and with no server an aim.
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

// freeRetries adds to the retry budget what time brings. Where little is sent, a budget that first sends alone earn
// is empty when it is needed, and so few repeats harm nobody. A node begins with a second's worth.
func (b *Balancer) freeRetries() {
	if free := b.cfg.Limits.FreeRetries; free > 0 {
		b.retries = min(b.retries+free*min(b.now-b.freedAt, time.Second).Seconds(), max(retryMost, free))
		b.freedAt = b.now
	}
}
