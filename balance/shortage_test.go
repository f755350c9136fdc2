package balance

import (
	"testing"
	"time"
)

// A process that was started on a busy machine learned no times until the shortage ended. It kept its first estimate, a tenth of the aim,
// and sent a backend with a few long streams nothing. What it knows from before the shortage must not change.
func TestFirstTimesAreLearnedInShortage(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.do(Event{Kind: ShortageChanged, IsShort: true})
	first := r.b.meanServiceTime
	r.serve(5, safe, func(BackendID) time.Duration { return 400 * ms })
	if r.b.meanServiceTime != first || r.b.classes[safe].baseTime != 0 {
		t.Errorf("service time %.3f, base time %.3f after responses that may have been delayed here", r.b.meanServiceTime, r.b.classes[safe].baseTime)
	}
	r.serve(60, safe, constantTime)
	learned, baseTime := r.b.meanServiceTime, r.b.classes[safe].baseTime
	if learned >= first || baseTime != 0.02 {
		t.Errorf("service time %.3f, base time %.3f after responses in 0.02 s", learned, baseTime)
	}
	r.serve(30, safe, func(BackendID) time.Duration { return 5 * ms })
	if r.b.meanServiceTime != learned || r.b.classes[safe].baseTime != baseTime {
		t.Error("times change in a shortage although they are known")
	}
}
