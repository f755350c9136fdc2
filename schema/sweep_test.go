package schema

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// halves is a shelf that dies in the middle of a step.
type halves struct {
	*Table
	left int
}

func (h *halves) Put(r Record) {
	if h.left == 0 {
		panic(h)
	}
	h.left--
	h.Table.Put(r)
}

// A sweep that is broken off anywhere, even within a step, goes on from its last position, moves all, and none twice.
func TestSweepBrokenOff(t *testing.T) {
	b := fleetBook(true)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := &Table{}
		n := 1 + rng.IntN(100)
		for i := range n {
			table.Put(Record{Kind: Use, Schema: uint16(1 + rng.IntN(2)), Key: fmt.Sprintf("%03d", i),
				Fields: []Field{{Num: 1000, Sub: "a", Int: uint64(i)}, {Num: 1001, Sub: "a", Int: uint64(i)}}})
		}
		table.Put(Record{Kind: Use, Schema: 9, Key: "050x"})
		sweep := Sweep{Kind: Use, To: 3}
		bound := Bound{Records: 1 + rng.IntN(9), Fields: 1 + rng.IntN(9)}
		for steps := 0; !sweep.Done; steps++ {
			if steps > 20*n+200 {
				t.Fatalf("seed %d: no end: %+v", seed, sweep)
			}
			next := sweep
			func() {
				defer func() {
					if got := recover(); got != nil {
						if _, mine := got.(*halves); !mine {
							panic(got)
						}
						next = sweep // the position is where it was, the shelf is half done
					}
				}()
				left := 1 << 30
				if rng.IntN(3) == 0 {
					left = rng.IntN(3)
				}
				if looked := next.Step(b, &halves{table, left}, bound); looked > bound.Records {
					t.Fatalf("seed %d: looked at %d, %d at most", seed, looked, bound.Records)
				}
			}()
			sweep = next
			if k := fmt.Sprintf("%03d", rng.IntN(n)); k <= sweep.At { // what is touched behind the position stays moved
				r, _ := table.Get(k)
				got, err := b.Keep(&r, Record{Kind: Use, Schema: 1, Key: k}, 3)
				if err != nil {
					t.Fatal(err)
				}
				table.Put(got)
			}
		}
		table.After("", func(r Record) bool {
			var i uint64
			fmt.Sscanf(r.Key, "%d", &i)
			if r.Schema != 9 && (r.Schema != 3 || r.Int(1010, "a") != i || r.Int(1011, "a") != 1000*i || len(r.Fields) != 2) {
				t.Fatalf("seed %d: %v", seed, r)
			}
			return true
		})
		if sweep.Unread > 1 || sweep.Highest != 9 && n > 50 {
			t.Fatalf("seed %d: %+v", seed, sweep)
		}
	}
}

// A million records, as a shard could hold them: how long a step holds it.
func BenchmarkSweep(b *testing.B) {
	book := fleetBook(false)
	for _, bound := range []Bound{{64, 512}, DefaultBound, {2048, 1 << 14}, {1 << 20, 1 << 30}} {
		b.Run(fmt.Sprintf("records=%d", bound.Records), func(b *testing.B) {
			const n = 1_000_000
			var steps, moved int
			var holds []time.Duration
			for range b.N {
				b.StopTimer()
				table := &Table{}
				for i := range n {
					table.Put(Record{Kind: Use, Schema: 1, Key: fmt.Sprintf("tenant-%07d", i), Fields: []Field{
						{Num: 1000, Sub: "a/1", Int: uint64(i)}, {Num: 1000, Sub: "b/1", Int: uint64(i)}, {Num: 1000, Sub: "c/1", Int: uint64(i)}}})
				}
				b.StartTimer()
				s := Sweep{Kind: Use, To: 3}
				for !s.Done {
					begin := time.Now()
					s.Step(book, table, bound)
					holds = append(holds, time.Since(begin))
				}
				steps, moved = len(holds), s.Moved
			}
			slices.Sort(holds)
			b.ReportMetric(float64(steps)/float64(b.N), "steps")
			b.ReportMetric(float64(moved), "moved")
			b.ReportMetric(float64(holds[len(holds)/2].Microseconds()), "median-us-held")
			b.ReportMetric(float64(holds[len(holds)*999/1000].Microseconds()), "p999-us-held")
			b.ReportMetric(float64(holds[len(holds)-1].Microseconds()), "longest-us-held")
		})
	}
}
