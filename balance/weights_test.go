package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Declared weights have to hold at any load below the capacity of the backends, and with small differences between them. A
// backend that is far slower must get less, and one that was away must not be flooded to catch up.
func TestDeclaredWeights(t *testing.T) {
	for _, c := range []struct {
		name          string
		weights       []float64
		slow          []float64 // slowdown factor of each backend
		gap           time.Duration
		within        float64 // allowed deviation from the share, of each backend
		changesMidway bool
	}{
		{"equal, one at a time", []float64{1, 1, 1}, nil, 30 * time.Millisecond, 0.01, false},
		{"5:3:1, one at a time", []float64{5, 3, 1}, nil, 30 * time.Millisecond, 0.01, false},
		{"5:3:1, many at once", []float64{5, 3, 1}, nil, 2 * time.Millisecond, 0.15, false},
		{"a backend 2 times slower keeps its share", []float64{1, 1}, []float64{1, 2}, 15 * time.Millisecond, 0.02, false},
		{"100:1", []float64{100, 1}, nil, 15 * time.Millisecond, 0.2, false},
		{"one is 100 times slower for a while", []float64{1, 1}, []float64{100, 1}, 15 * time.Millisecond, 0.9, true},
		{"one is away for a while", []float64{1, 1}, nil, 15 * time.Millisecond, 0.6, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, err := New(Config{Weights: DeclaredWeights, Limits: Limits{MaxAttempts: 1},
				Classes: []Class{{Aim: time.Second, Deadline: time.Minute, Effect: Safe, Points: 1}}}, 7)
			if err != nil {
				t.Fatal(err)
			}
			rng := rand.New(rand.NewPCG(1, 2))
			members := func(away bool) (out []Member) {
				for i, w := range c.weights {
					m := Member{Backend: BackendID(i), Weight: w}
					if away && i == 0 {
						m.Phase = Draining
					}
					out = append(out, m)
				}
				return out
			}
			type end struct {
				at time.Duration
				ev Event
			}
			var open []end
			sent, flood, inRow, longestRow := make([]float64, len(c.weights)), 0, 0, 0
			now, total := time.Second, 10_000
			b.Handle(now, Event{Kind: MembersAll, Members: members(false)}, nil)
			for i := range total {
				now += time.Duration(rng.ExpFloat64() * float64(c.gap))
				for k := 0; k < len(open); k++ {
					if open[k].at <= now {
						b.Handle(open[k].at, open[k].ev, nil)
						open[k] = open[len(open)-1]
						open, k = open[:len(open)-1], k-1
					}
				}
				if c.slow != nil && c.changesMidway && i == 6000 {
					c.slow[0] = 1
				} else if c.slow == nil && (c.changesMidway && i == 3000 || c.changesMidway && i == 6000) {
					b.Handle(now, Event{Kind: MembersAll, Members: members(i == 3000)}, nil)
				}
				id := fmt.Sprint(i)
				for _, a := range b.Handle(now, Event{Kind: RequestArrived, Request: id, Budget: time.Minute}, nil) {
					if a.Kind != Send {
						continue
					}
					sent[a.Backend]++
					if inRow++; a.Backend != 0 {
						inRow = 0
					}
					longestRow = max(longestRow, inRow)
					if c.changesMidway && i >= 6000 && i < 6020 && a.Backend == 0 {
						flood++
					}
					took := 9*time.Millisecond + time.Duration(rng.IntN(int(2*time.Millisecond)))
					if c.slow != nil {
						took = time.Duration(float64(took) * c.slow[a.Backend])
					}
					open = append(open, end{now + took, Event{Kind: Outcome, Request: id, Attempt: a.Attempt, Backend: a.Backend,
						Elapsed: took, Status: Delivered, RequestEnded: true}})
				}
			}
			if flood > 10+int(maxLeadRequests) {
				t.Errorf("%d of the first 20 requests after its return went to it", flood)
			}
			if c.changesMidway && longestRow > 4*int(maxLeadRequests) {
				t.Errorf("%d requests in a row to one backend", longestRow)
			}
			sum := 0.0
			for _, w := range c.weights {
				sum += w
			}
			for i, w := range c.weights {
				share := sent[i] / float64(total) / (w / sum)
				if math.Abs(share-1) > c.within {
					t.Errorf("backend %d of weight %v got %v of %d: %.3f of its share", i, w, sent[i], total, share)
				}
			}
		})
	}
}
