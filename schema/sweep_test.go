package schema

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// crashingShelf panics in the middle of a step, after a number of Puts.
type crashingShelf struct {
	*Table
	putsLeft int
}

func (h *crashingShelf) Put(r Record) {
	if h.putsLeft == 0 {
		panic(h)
	}
	h.putsLeft--
	h.Table.Put(r)
}

// A sweep that is interrupted, even within a step, continues from its last stored position, moves all records and moves none twice. After a
// crash between two Puts some records of the step are already moved, and a second conversion would scale their values again.
func TestInterruptedSweepMovesEachRecordOnce(t *testing.T) {
	b := fleetRegistry(true)
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
		bound := StepLimit{Records: 1 + rng.IntN(9), Fields: 1 + rng.IntN(9)}
		for steps := 0; !sweep.Done; steps++ {
			if steps > 20*n+200 {
				t.Fatalf("seed %d: the sweep does not end: %+v", seed, sweep)
			}
			next := sweep
			func() {
				defer func() {
					if got := recover(); got != nil {
						if _, mine := got.(*crashingShelf); !mine {
							panic(got)
						}
						next = sweep // the position is unchanged, the shelf is partly updated
					}
				}()
				left := 1 << 30
				if rng.IntN(3) == 0 {
					left = rng.IntN(3)
				}
				if looked := next.Step(b, &crashingShelf{table, left}, bound); looked > bound.Records {
					t.Fatalf("seed %d: visited %d records, limit %d", seed, looked, bound.Records)
				}
			}()
			sweep = next
			if k := fmt.Sprintf("%03d", rng.IntN(n)); k <= sweep.LastKey { // a record that is updated behind the position stays at the new schema
				r, _ := table.Get(k)
				got, err := b.MergeInto(&r, Record{Kind: Use, Schema: 1, Key: k}, 3)
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
		if sweep.Failed > 1 || sweep.Highest != 9 && n > 50 {
			t.Fatalf("seed %d: %+v", seed, sweep)
		}
	}
}

// threadCPUTime returns the CPU time of this thread. Unlike the wall clock it does not include time in which other programs ran on the
// processor.
func threadCPUTime(b *testing.B) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		b.Fatal(err)
	}
	return time.Duration(ts.Nano())
}

// BenchmarkSweep sweeps a shard of a million records. It measures how long a step blocks the shard, in wall-clock time and in CPU time.
func BenchmarkSweep(b *testing.B) {
	registry := fleetRegistry(false)
	for _, bound := range []StepLimit{DefaultStepLimit, {128, 1024}, {2048, 1 << 14}} {
		b.Run(fmt.Sprintf("records=%d", bound.Records), func(b *testing.B) {
			const n = 1_000_000
			var steps, moved int
			var holds, works []time.Duration
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
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
					begin, work := time.Now(), threadCPUTime(b)
					s.Step(registry, table, bound)
					holds, works = append(holds, time.Since(begin)), append(works, threadCPUTime(b)-work)
				}
				steps, moved = len(holds), s.Moved
			}
			slices.Sort(holds)
			slices.Sort(works)
			b.ReportMetric(float64(works[len(works)/2].Microseconds()), "median-us-work")
			b.ReportMetric(float64(works[len(works)*999/1000].Microseconds()), "p999-us-work")
			b.ReportMetric(float64(works[len(works)-1].Microseconds()), "longest-us-work")
			b.ReportMetric(float64(steps)/float64(b.N), "steps")
			b.ReportMetric(float64(moved), "moved")
			b.ReportMetric(float64(holds[len(holds)/2].Microseconds()), "median-us-held")
			b.ReportMetric(float64(holds[len(holds)*999/1000].Microseconds()), "p999-us-held")
			b.ReportMetric(float64(holds[len(holds)-1].Microseconds()), "longest-us-held")
		})
	}
}

// BenchmarkRecord measures the operations on one record of 24 counters, as of one tenant in a fleet of eight.
func BenchmarkRecord(b *testing.B) {
	registry := fleetRegistry(false)
	x := Record{Kind: Use, Schema: 3, Key: "tenant-0000007"}
	for i := range 24 {
		x.Set(Field{Num: uint32(1010 + i%2), Sub: fmt.Sprintf("member-%d/1", i/2), Int: uint64(1000 * i)})
	}
	old, err := registry.Convert(x, 1)
	if err != nil {
		b.Fatal(err)
	}
	wire := AppendRecord(nil, x)
	for name, do := range map[string]func() error{
		"merge":  func() error { _, err := registry.Merge(x, x); return err },
		"up":     func() error { _, err := registry.Convert(old, 3); return err },
		"parse":  func() error { _, err := ParseRecord(wire); return err },
		"append": func() error { wire = AppendRecord(wire[:0], x); return nil },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(wire)), "bytes")
			for b.Loop() {
				if err := do(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
