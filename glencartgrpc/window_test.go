package glencartgrpc

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"glencart/internal/engine"
)

// A repeat that waits for a connection, or for a stream of one, until its backend may have forgotten the first attempt (WriteBy) never
// begins: it would have its effect twice. One that has begun to leave goes on, and one that is no repeat waits for as long as it may.
func TestRepeatsWaitNoLongerThanTheirWindow(t *testing.T) {
	const window = 100 * time.Millisecond
	for _, c := range []struct {
		name    string
		repeat  bool   // it has a WriteBy
		left    uint32 // what of it has left in time
		stopped bool
	}{
		{"a repeat that waits", true, 0, true},
		{"a repeat whose headers have left, and its message has not", true, sawHead, true},
		{"a repeat that has left", true, sawHead | sawMessage, false},
		{"no repeat", false, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				asked := &call{ctx: t.Context(), run: make(chan struct{}, 1)}
				asked.Message = asked
				attempt := &engine.Attempt{Request: &asked.Request, Deadline: time.Now().Add(time.Second)}
				if c.repeat {
					attempt.WriteBy = time.Now().Add(window)
				}
				new(Plugin).Send(attempt)
				sent := attempt.State.(*try)
				defer sent.cancel()
				if c.left != 0 {
					sent.begin()
					sent.set(c.left)
				}
				time.Sleep(2 * window)
				synctest.Wait()
				if stopped := sent.Err() == context.Canceled; stopped != c.stopped {
					t.Errorf("stopped %v after its window", stopped)
				}
				if c.left == 0 && sent.begin() == c.stopped {
					t.Errorf("begins %v after its window", !c.stopped)
				}
			})
		})
	}
}
