package balance

import (
	"testing"
	"time"
)

// A refusal says when to come back: later behind longer queues, and never beyond what clients heed.
func TestRefusalsTellWhenToComeBack(t *testing.T) {
	advice := func(others float64, members ...Member) time.Duration {
		cfg := site()
		cfg.Limits.MaxRetryAfter = 2 * time.Second
		r := newRig(t, cfg, members...)
		r.serve(100, safe, steady)
		for _, s := range r.b.servers {
			s.more, s.told = others, others
		}
		return r.b.comeBack()
	}
	free, full := advice(0, member(1, 0, 0), member(2, 0, 0)), advice(500, member(1, 0, 0), member(2, 0, 0))
	if free <= 0 || full <= free || full > 2*time.Second {
		t.Errorf("behind no queue %v, behind a long one %v", free, full)
	}
	if none := advice(0, Member{Backend: 1, Phase: Draining}); none <= 0 || none > 2*time.Second {
		t.Errorf("with no server: %v", none)
	}
}
