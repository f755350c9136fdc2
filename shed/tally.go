// Counters that any number of goroutines write and Tick reads: one atomic addition for each note, no lock.

package shed

import (
	"sync/atomic"
	"time"
)

// Tally counts requests for one worker or a few. Each Tick reads all Tallies and resets them. A note that arrives meanwhile counts in
// one of the two ticks. A Tally takes 24 bytes for each pool and priority: 7 KB for three plans and three pools.
type Tally struct {
	ranks int
	pools []poolTally
}

type poolTally struct {
	cells     []([outcomes]atomic.Uint32)
	protected [outcomes]atomic.Uint32
	took      atomic.Uint64 // total time of served requests, in microseconds
}

func newTally(pools, ranks int) *Tally {
	t := &Tally{ranks: ranks, pools: make([]poolTally, pools)}
	for i := range t.pools {
		t.pools[i].cells = make([][outcomes]atomic.Uint32, ranks*prioritiesPerRank)
	}
	return t
}

// Note counts a request at its Mark. took is used only with Served.
func (t *Tally) Note(m Mark, o Outcome, took time.Duration) {
	if m.pool == 0 || int(m.pool) > len(t.pools) || o >= outcomes {
		return
	}
	p := &t.pools[m.pool-1]
	switch {
	case m.protected:
		p.protected[o].Add(1)
	case int(m.priority) < len(p.cells):
		p.cells[m.priority][o].Add(1)
	}
	if o == Served {
		p.took.Add(uint64(max(0, took.Microseconds())))
	}
}

// collect adds the counts since the last call to into, and resets them.
func (t *Tally) collect(pool int, into *counts) {
	p := &t.pools[pool]
	for i := range p.cells {
		for o := range p.cells[i] {
			// Read first: most cells are zero, and a write would take the cache line from the workers.
			if c := &p.cells[i][o]; c.Load() != 0 {
				into.cells[i][o] += float64(c.Swap(0))
			}
		}
	}
	for o := range p.protected {
		into.protected[o] += float64(p.protected[o].Swap(0))
	}
	into.took += float64(p.took.Swap(0))
}

// counts are the counts of one tick at one pool.
type counts struct {
	cells     [MaxPlans * prioritiesPerRank][outcomes]float64
	protected [outcomes]float64
	took      float64
}
