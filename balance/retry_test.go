package balance

import (
	"testing"
	"time"
)

// The retry-after of a rejected request must grow with the queues, and stay within Limits.MaxRetryAfter.
func TestRetryAfterGrowsWithQueues(t *testing.T) {
	advice := func(others float64, members ...Member) time.Duration {
		cfg := testConfig()
		cfg.Limits.MaxRetryAfter = 2 * time.Second
		r := newRig(t, cfg, members...)
		r.serve(100, safe, constantTime)
		for _, s := range r.b.backends {
			s.peerLoadOffset, s.lastPeerLoad = others, others
		}
		return r.b.retryAfter()
	}
	free, full := advice(0, member(1, 0, 0), member(2, 0, 0)), advice(500, member(1, 0, 0), member(2, 0, 0))
	if free <= 0 || full <= free || full > 2*time.Second {
		t.Errorf("retry-after %v without a queue, %v with a long one", free, full)
	}
	if none := advice(0, Member{Backend: 1, Phase: Draining}); none <= 0 || none > 2*time.Second {
		t.Errorf("retry-after %v without a backend", none)
	}
}
