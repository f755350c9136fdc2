package lag

import (
	"testing"
	"time"
)

// Every hold-up must count as a shortage at once, and the shortage must end soon after its last hold-up, whatever the pattern is. The
// small delays of a process that runs must never count.
func TestShortageFollowsHoldUps(t *testing.T) {
	for _, every := range []time.Duration{5 * time.Millisecond, 40 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond} {
		for _, delay := range []time.Duration{0, 10 * time.Millisecond, 49 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond, 5 * time.Second} {
			var e Estimator
			const end = 20 * time.Second
			last := time.Duration(0)
			for now := time.Duration(0); now < end; now += every {
				e.Observe(now, delay)
				last = now
				if want := delay >= MinHoldUp; e.IsShort(now) != want {
					t.Fatalf("delays of %v every %v: short %t at %v", delay, every, !want, now)
				}
			}
			if e.IsShort(last + Memory) {
				t.Errorf("delays of %v every %v: still short %v after the last one", delay, every, Memory)
			}
			if got := e.Longest(last); got != delay {
				t.Errorf("delays of %v every %v: longest %v", delay, every, got)
			}
			if got := e.Longest(last + 3*Memory); got != 0 {
				t.Errorf("delays of %v every %v: longest %v long after", delay, every, got)
			}
			if want := map[bool]int{true: 1}[delay >= MinHoldUp]; e.Shortages() != want {
				t.Errorf("delays of %v every %v: %d shortages, want %d", delay, every, e.Shortages(), want)
			}
		}
	}
}
