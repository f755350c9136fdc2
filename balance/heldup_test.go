package balance

import (
	"testing"
	"time"
)

// A node may be held up for 0.15 s between its look at the clock and its write. A repeat of a keyed request has to be written within
// the window all the same: none is begun in its last 0.15 s, and none may be written then.
func TestRepeatsLeaveRoomForAHoldUp(t *testing.T) {
	const heldUp = 150 * ms
	window := site().Classes[keyedAll].Window
	for after := time.Duration(0); after <= window; after += 10 * ms {
		r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
		r.b.retries = retryMost
		r.arrive("x", keyedAll)
		first := r.sent()
		r.wait(after)
		r.outcome("x", 0, first, Dropped)
		sent := of(Send, r.last)
		if after < window-heldUp {
			if len(sent) != 1 {
				t.Errorf("after %v: no repeat: %+v", after, r.last)
			} else if written := after + sent[0].Within + heldUp; sent[0].Within <= 0 || written > window {
				t.Errorf("after %v: it may be written within %v, and %v later, after %v of %v", after, sent[0].Within, heldUp, written, window)
			}
			continue
		}
		if len(sent) > 0 {
			t.Errorf("after %v of %v: a repeat", after, window)
		}
		if refused := of(Refuse, r.last); len(refused) > 0 {
			t.Errorf("after %v of %v: refused, and called back", after, window)
		}
	}
}
