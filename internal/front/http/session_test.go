package httpfront

import (
	"testing"

	"glencart/internal/engine"
	"glencart/share"
)

// What is remembered of an order by how it ended. A box's refusal is no answer that a repeat may get.
func TestWhatAnOrderBecame(t *testing.T) {
	for _, c := range []struct {
		name     string
		unsafe   bool
		attempts int32
		status   int // of a box's answer; 0: the engine's
		answer   engine.Answer
		want     share.State
	}{
		{"served", true, 1, 200, engine.Answer{}, share.Answered},
		{"turned down by the box for good", true, 1, 409, engine.Answer{}, share.Answered},
		{"refused by the box", true, 1, 429, engine.Answer{}, share.NeverRan},
		{"refused by the second box, the first never had it", true, 2, 429, engine.Answer{}, share.NeverRan},
		{"keyed, refused by the second box, the first may have run it", false, 2, 429, engine.Answer{}, share.MayHaveRun},
		{"refused here", true, 0, 0, engine.Answer{Kind: engine.Refused}, share.NeverRan},
		{"broken", true, 1, 0, engine.Answer{Kind: engine.Failed, MayHaveRun: true}, share.MayHaveRun},
	} {
		m := &message{unsafe: c.unsafe, reply: &reply{status: c.status}}
		m.attempts.Store(c.attempts)
		a := &c.answer
		if c.status != 0 {
			a = nil
		}
		if got := m.became(a); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
