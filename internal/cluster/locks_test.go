package cluster

import (
	"testing"
)

// Two locks in a wrong order panic, though nobody else is there; in the right one they don't.
func TestLockOrder(t *testing.T) {
	orderChecked.Store(true)
	t.Cleanup(func() { orderChecked.Store(false) })
	for _, c := range []struct {
		name  string
		ranks []int
		bad   bool
	}{
		{"as stated", []int{rankMembers, rankSchema, rankShards, rankShards + 1, rankLinks}, false},
		{"some left out", []int{rankSchema, rankLinks}, false},
		{"members after a shard", []int{rankShards, rankMembers}, true},
		{"shards falling", []int{rankShards + 1, rankShards}, true},
		{"one twice", []int{rankSchema, rankSchema}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var taken []*lock
			defer func() {
				if p := recover(); (p != nil) != c.bad {
					t.Errorf("panic: %v", p)
				}
				for _, l := range taken {
					l.Unlock()
				}
			}()
			for _, r := range c.ranks {
				l := &lock{rank: r}
				l.Lock()
				taken = append(taken, l)
			}
		})
	}
	if len(held.by) > 0 {
		t.Errorf("held at the end: %v", held.by)
	}
}
