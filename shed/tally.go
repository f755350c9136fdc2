// Counters that any number of goroutines write and Tick takes: one atomic addition a note, no lock.
package shed

import (
	"sync/atomic"
	"time"
)

// Tally counts for one worker, or a few. Each Tick takes all Tallies together and empties them; a note that comes meanwhile is in one of the
// two ticks. It is 24 bytes for each pool and priority: 7 KB for three plans and three pools.
type Tally struct {
	ranks int
	pools []poolTally
}

type poolTally struct {
	cells []([outcomes]atomic.Uint32)
	kept  [outcomes]atomic.Uint32
	took  atomic.Uint64 // microseconds of those served
}

func newTally(pools, ranks int) *Tally {
	t := &Tally{ranks: ranks, pools: make([]poolTally, pools)}
	for i := range t.pools {
		t.pools[i].cells = make([][outcomes]atomic.Uint32, ranks*perRank)
	}
	return t
}

// Note counts. took is for Served.
func (t *Tally) Note(m Mark, o Outcome, took time.Duration) {
	if m.pool == 0 || int(m.pool) > len(t.pools) || o >= outcomes {
		return
	}
	p := &t.pools[m.pool-1]
	switch {
	case m.kept:
		p.kept[o].Add(1)
	case int(m.priority) < len(p.cells):
		p.cells[m.priority][o].Add(1)
	}
	if o == Served {
		p.took.Add(uint64(max(0, took.Microseconds())))
	}
}

// take adds what was counted since the last time, and empties it.
func (t *Tally) take(pool int, into *counts) {
	p := &t.pools[pool]
	for i := range p.cells {
		for o := range p.cells[i] {
			// A read first: most cells are empty, and a write would take the line from the workers.
			if c := &p.cells[i][o]; c.Load() != 0 {
				into.cells[i][o] += float64(c.Swap(0))
			}
		}
	}
	for o := range p.kept {
		into.kept[o] += float64(p.kept[o].Swap(0))
	}
	into.took += float64(p.took.Swap(0))
}

// counts are one tick's, of one pool.
type counts struct {
	cells [RanksMost * perRank][outcomes]float64
	kept  [outcomes]float64
	took  float64
}
