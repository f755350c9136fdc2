package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// After any sequence of updates the subset has to be that of a node which gets the same list at once.
func TestSubsetDoesNotDependOnHistory(t *testing.T) {
	cfg := testConfig()
	cfg.Index, cfg.Instances = 3, 50
	rng := rand.New(rand.NewPCG(1, 1))
	b, _ := New(cfg, 1)
	now := time.Hour
	listed := map[BackendID]Member{}
	for round := range 400 {
		now += time.Duration(rng.IntN(2000)) * ms
		var changes []Member
		for range 1 + rng.IntN(20) {
			m := member(BackendID(1+rng.IntN(120)), rng.IntN(3), 0)
			m.Phase = Phase(rng.IntN(3))
			m.Launched = time.Duration(rng.IntN(3)) * time.Minute
			changes = append(changes, m)
			listed[m.Backend] = m
			if m.Phase == Gone {
				delete(listed, m.Backend)
			}
		}
		b.Handle(now, Event{Kind: MembersChanged, Members: changes}, nil)
		fresh, _ := New(cfg, 2)
		var all []Member
		for _, m := range listed {
			all = append(all, m)
		}
		fresh.Handle(now, Event{Kind: MembersAll, Members: all}, nil)
		ids := func(b *Balancer) (list []BackendID) {
			for _, s := range b.ready {
				list = append(list, s.Backend)
			}
			return list
		}
		if got, want := ids(b), ids(fresh); !slices.Equal(got, want) {
			t.Fatalf("round %d: %v, a fresh node has %v", round, got, want)
		}
		if len(b.ranked) > len(listed)+len(changes) {
			t.Fatalf("round %d: %d ranked of %d listed", round, len(b.ranked), len(listed))
		}
	}
}
