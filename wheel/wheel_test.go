package wheel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reference is the reference implementation: it searches all timers each time.
type reference struct {
	timers []referenceTimer
	seq    int
}

type referenceTimer struct {
	at  time.Duration
	seq int
}

func (p *reference) advance(now time.Duration) (fired []int) {
	for {
		earliest := -1
		for i, t := range p.timers {
			if t.at <= now && (earliest < 0 || t.at < p.timers[earliest].at || t.at == p.timers[earliest].at && t.seq < p.timers[earliest].seq) {
				earliest = i
			}
		}
		if earliest < 0 {
			return fired
		}
		fired = append(fired, p.timers[earliest].seq)
		p.timers = append(p.timers[:earliest], p.timers[earliest+1:]...)
	}
}

// Guards against timers that fire in the wrong order, twice or not at all. A random sequence of Arm, Stop and Advance has to fire the
// same timers as a linear search, including timers at the same instant, in the past and at the largest time.
func TestFiresLikeLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tick := time.Duration(rapid.SampledFrom([]int64{1, 1000, 1e6, 7e6}).Draw(t, "tick"))
		now := time.Duration(rapid.SampledFrom([]int64{0, 5e9, 1.8e18}).Draw(t, "start"))
		w, p, ids := New[int](tick, now), reference{}, map[int]ID{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				at := now + time.Duration(rapid.Int64Range(-10, 1<<rapid.IntRange(1, 40).Draw(t, "far")).Draw(t, "in"))
				if rapid.IntRange(0, 30).Draw(t, "end of time") == 0 {
					at = math.MaxInt64
				}
				p.seq++
				ids[p.seq] = w.Arm(at, p.seq)
				p.timers = append(p.timers, referenceTimer{at, p.seq})
			case 2:
				if p.seq > 0 {
					k, wasArmed := rapid.IntRange(1, p.seq).Draw(t, "stopped"), false
					for i := range p.timers {
						if p.timers[i].seq == k {
							p.timers, wasArmed = append(p.timers[:i], p.timers[i+1:]...), true
							break
						}
					}
					if w.Stop(ids[k]) != wasArmed {
						t.Fatalf("Stop of %d returns %t", k, !wasArmed)
					}
				}
			default:
				now += time.Duration(rapid.Int64Range(0, 1<<rapid.IntRange(0, 41).Draw(t, "far")).Draw(t, "passes"))
				var fired []int
				if next, found := w.Next(); found {
					for _, x := range p.timers {
						if x.at < next && x.at > 0 && next > now {
							t.Fatalf("Next returns %v, with a timer at %v", next, x.at)
						}
					}
				} else if len(p.timers) > 0 {
					t.Fatal("Next returns false with timers armed")
				}
				w.Advance(now, func(_ time.Duration, v int) { fired = append(fired, v) })
				if want := p.advance(now); fmt.Sprint(fired) != fmt.Sprint(want) {
					t.Fatalf("fired %v, want %v", fired, want)
				}
			}
			if w.Len() != len(p.timers) {
				t.Fatalf("%d armed, want %d", w.Len(), len(p.timers))
			}
		}
	})
}

// Guards against corrupt slots while timers fire: one timer arms another for the same instant and stops one that is due with it.
func TestCallbackArmsAndStopsTimers(t *testing.T) {
	w := New[string](time.Millisecond, 0)
	w.Arm(5, "a")
	b := w.Arm(5, "b")
	var got []string
	w.Advance(5, func(_ time.Duration, v string) {
		got = append(got, v)
		if v == "a" {
			if !w.Stop(b) {
				t.Error("Stop of b returns false")
			}
			w.Arm(3, "c")
			w.Arm(6, "later")
		}
	})
	if fmt.Sprint(got) != "[a c]" || w.Len() != 1 || w.Stop(b) {
		t.Errorf("%v, %d armed", got, w.Len())
	}
}

// Example arms two timers and stops one.
func Example() {
	w := New[string](time.Millisecond, 0)
	w.Arm(30*time.Millisecond, "deadline")
	retry := w.Arm(10*time.Millisecond, "retry")
	w.Stop(retry)
	w.Advance(time.Second, func(at time.Duration, v string) { fmt.Println(at, v) })
	// Output: 30ms deadline
}

// heapTimers is a binary heap that tracks the index of each timer, so that one can be stopped.
type heapTimers struct {
	h   []heapTimer
	pos []int
}

type heapTimer struct {
	at time.Duration
	id int
}

func (t *heapTimers) swap(i, j int) {
	t.h[i], t.h[j] = t.h[j], t.h[i]
	t.pos[t.h[i].id], t.pos[t.h[j].id] = i, j
}

func (t *heapTimers) up(i int) {
	for ; i > 0 && t.h[i].at < t.h[(i-1)/2].at; i = (i - 1) / 2 {
		t.swap(i, (i-1)/2)
	}
}

func (t *heapTimers) down(i int) {
	for {
		earliest := i
		for _, c := range [2]int{2*i + 1, 2*i + 2} {
			if c < len(t.h) && t.h[c].at < t.h[earliest].at {
				earliest = c
			}
		}
		if earliest == i {
			return
		}
		t.swap(i, earliest)
		i = earliest
	}
}

func (t *heapTimers) arm(at time.Duration, id int) {
	t.h = append(t.h, heapTimer{at, id})
	t.pos[id] = len(t.h) - 1
	t.up(len(t.h) - 1)
}

func (t *heapTimers) stop(id int) {
	i, last := t.pos[id], len(t.h)-1
	t.swap(i, last)
	t.h = t.h[:last]
	if i < last {
		t.up(i)
		t.down(i)
	}
}

// BenchmarkArmAndStop arms one timer and stops another while n are armed, with the wheel and with a heap for comparison.
func BenchmarkArmAndStop(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		in := func(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(time.Minute))) }
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			r, w := rand.New(rand.NewPCG(1, 1)), New[int](time.Millisecond, 0)
			ids := make([]ID, n)
			for i := range ids {
				ids[i] = w.Arm(in(r), i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := i % n
				w.Stop(ids[k])
				ids[k] = w.Arm(in(r), k)
			}
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			r, h := rand.New(rand.NewPCG(1, 1)), &heapTimers{pos: make([]int, n)}
			for i := range n {
				h.arm(in(r), i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := i % n
				h.stop(k)
				h.arm(in(r), k)
			}
		})
	}
}
