package balance

import (
	"testing"
	"time"
)

// A node may stall for 0.15 s between reading the clock and its write. A retry of a keyed request still has to be written
// within the window. So no retry may start in the last 0.15 s of the window, and WriteTimeout has to keep writes out of them.
func TestKeyedRetryLeavesRoomForStall(t *testing.T) {
	const stall = 150 * ms
	window := testConfig().Classes[keyedAll].Window
	for after := time.Duration(0); after <= window; after += 10 * ms {
		r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
		r.b.retryBudget = maxRetryBudget
		r.arrive("x", keyedAll)
		first := r.sentTo()
		r.wait(after)
		r.outcome("x", 0, first, Dropped)
		sent := ofKind(Send, r.last)
		if after < window-stall {
			if len(sent) != 1 {
				t.Errorf("after %v: no retry: %+v", after, r.last)
			} else if written := after + sent[0].WriteTimeout + stall; sent[0].WriteTimeout <= 0 || written > window {
				t.Errorf("after %v: may be written within %v plus a stall of %v, so after %v of a window of %v",
					after, sent[0].WriteTimeout, stall, written, window)
			}
			continue
		}
		if len(sent) > 0 {
			t.Errorf("after %v of a window of %v: a retry", after, window)
		}
		if refused := ofKind(Reject, r.last); len(refused) > 0 {
			t.Errorf("after %v of a window of %v: rejected with a retry-after", after, window)
		}
	}
}
