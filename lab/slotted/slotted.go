// Package slotted plays the model of "Load Balancing in Large-Scale Systems with Multiple Dispatchers" (the paper of
// DESIGN-glencart.md), sections 2 and 5: time slots, m dispatchers that route what arrives in a slot at once, n servers with
// queues, and the policies that the paper compares. It is the check of the lab against what is published; fleets in real
// time are package lab's.
package slotted

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Policy is one of the paper's policies.
type Policy struct {
	Name string
	Kind Kind
	D    int     // of JSQ(d), LSQ-Sample(d)
	P    float64 // of LSQ-Update(p)
}

// Kind is a family of policies.
type Kind uint8

// Families.
const (
	JSQ       Kind = iota // every queue is known; dispatchers take turns within a slot ("water-filling")
	JSQd                  // the shortest of D queues that were sampled for the slot
	JIQ                   // a server that said it is idle, for the slot, else any (Lu et al. 2011)
	LSQSample             // the shortest by the own view, then D servers are sampled (Algorithm 1)
	LSQUpdate             // the shortest by the own view; a server that finished jobs tells one dispatcher, surely if idle, else with P (Algorithm 2)
)

// Policies are those of the paper's figures.
func Policies() []Policy {
	return []Policy{{Name: "JSQ", Kind: JSQ}, {Name: "JSQ(2)", Kind: JSQd, D: 2}, {Name: "JIQ", Kind: JIQ},
		{Name: "LSQ-Sample(1)", Kind: LSQSample, D: 1}, {Name: "LSQ-Sample(2)", Kind: LSQSample, D: 2},
		{Name: "LSQ-Update(1)", Kind: LSQUpdate, P: 1}, {Name: "LSQ-Update(0.01)", Kind: LSQUpdate, P: 0.01}}
}

// Config is one experiment. Strong servers finish 1/p jobs a slot on average, weak ones 1/(Skew*p), with p set as the paper
// does, so that Load 1 is all that the servers can do: 100 jobs a slot and dispatcher.
type Config struct {
	Dispatchers, Strong, Weak int
	Skew                      float64 // 2 in section 5.1, 10 in 5.2; without weak servers it is not used
	Load                      float64 // of 1
	Slots                     int
	Seed                      uint64
}

// Result is what a run came to.
type Result struct {
	Mean     float64 // jobs in the system, over time (after a tenth of the slots)
	Half     float64 // over the second half less that over the first, per slot of the half: what it grows by
	Messages float64 // a slot
	Stable   bool    // the queue does not grow: less than 1% of what arrives
}

// geometric draws from 1, 2, ... with mean 1/p.
func geometric(rng *rand.Rand, p float64) int {
	if p >= 1 {
		return 1
	}
	return 1 + int(math.Log(1-rng.Float64())/math.Log(1-p))
}

func poisson(rng *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for x := rng.Float64(); x > limit; x *= rng.Float64() {
		n++
	}
	return n
}

// sample draws d different servers.
func sample(rng *rand.Rand, into []int, n, d int) []int {
	for len(into) < min(d, n) {
		if i := rng.IntN(n); !slices.Contains(into, i) {
			into = append(into, i)
		}
	}
	return into
}

// Run plays an experiment under a policy.
func Run(cfg Config, pol Policy) (Result, error) {
	n, m := cfg.Strong+cfg.Weak, cfg.Dispatchers
	switch {
	case n == 0 || m == 0 || cfg.Slots < 10:
		return Result{}, fmt.Errorf("slotted: %d servers, %d dispatchers, %d slots: at least 1, 1 and 10 are needed", n, m, cfg.Slots)
	case cfg.Load < 0 || cfg.Load >= 1:
		return Result{}, fmt.Errorf("slotted: load %v is not from 0 to below 1", cfg.Load)
	case cfg.Weak > 0 && cfg.Skew < 1:
		return Result{}, fmt.Errorf("slotted: skew %v is less than 1", cfg.Skew)
	}
	p := (float64(cfg.Strong)) / (100 * float64(m))
	if cfg.Weak > 0 {
		p = (float64(cfg.Strong) + float64(cfg.Weak)/cfg.Skew) / (100 * float64(m))
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 0x51077ed))
	queue := make([]int, n)
	view := make([][]int, m) // of each dispatcher
	idle := make([][]int, m) // servers that told a dispatcher that they are idle
	told := make([]bool, n)  // since they were last sent to
	for j := range view {
		view[j] = make([]int, n)
	}
	for i := range queue { // all are idle at the start, and some dispatcher knows
		j := rng.IntN(m)
		idle[j], told[i] = append(idle[j], i), true
	}
	var sum, first, second float64
	var messages, arrived int
	shortest := func(q []int) int {
		best, ties := 0, 1
		for i := 1; i < n; i++ {
			if q[i] < q[best] {
				best, ties = i, 1
			} else if q[i] == q[best] {
				if ties++; rng.IntN(ties) == 0 {
					best = i
				}
			}
		}
		return best
	}
	added, mine := make([]int, n), make([]int, n)
	var sampled []int
	for t := range cfg.Slots {
		clear(added)
		for j := range m {
			jobs := poisson(rng, cfg.Load*100)
			arrived += jobs
			if pol.Kind == JSQd { // all that comes in a slot is decided on by one sample
				sampled = sample(rng, sampled[:0], n, pol.D)
				for _, i := range sampled {
					mine[i] = 0
				}
				messages += pol.D
			}
			for range jobs {
				to := 0
				switch pol.Kind {
				case JSQ:
					to = shortest(queue) // own and earlier dispatchers' jobs of this slot are seen
					queue[to]++
				case JSQd:
					to = sampled[0]
					for _, o := range sampled[1:] {
						if queue[o]+mine[o] < queue[to]+mine[to] {
							to = o
						}
					}
					mine[to]++
				case JIQ:
					if l := len(idle[j]); l > 0 {
						to = idle[j][rng.IntN(l)]
					} else {
						to = rng.IntN(n)
					}
				default:
					to = shortest(view[j])
					view[j][to]++
				}
				if pol.Kind != JSQ {
					added[to]++
				}
			}
			if pol.Kind == JSQ {
				messages += n
			}
		}
		for i := range queue {
			queue[i] += added[i]
			if pol.Kind == JIQ && added[i] > 0 && told[i] { // what it said holds for the slot
				told[i] = false
				for j := range idle {
					idle[j] = slices.DeleteFunc(idle[j], func(x int) bool { return x == i })
				}
			}
			skew := 1.0
			if i >= cfg.Strong {
				skew = cfg.Skew
			}
			done := min(queue[i], geometric(rng, min(skew*p, 1)))
			queue[i] -= done
			if done == 0 {
				continue
			}
			switch pol.Kind {
			case JIQ:
				if queue[i] == 0 && !told[i] {
					j := rng.IntN(m)
					idle[j], told[i] = append(idle[j], i), true
					messages++
				}
			case LSQUpdate:
				if queue[i] == 0 || rng.Float64() < pol.P {
					view[rng.IntN(m)][i] = queue[i]
					messages++
				}
			}
		}
		if pol.Kind == LSQSample {
			for j := range m {
				sampled = sample(rng, sampled[:0], n, pol.D)
				for _, i := range sampled {
					view[j][i] = queue[i]
					messages++
				}
			}
		}
		total := 0
		for _, q := range queue {
			total += q
		}
		if t >= cfg.Slots/10 {
			sum += float64(total)
		}
		if t < cfg.Slots/2 {
			first += float64(total)
		} else {
			second += float64(total)
		}
	}
	half := float64(cfg.Slots) / 2
	r := Result{Mean: sum / (float64(cfg.Slots) * 0.9), Half: (second/half - first/half) / half, Messages: float64(messages) / float64(cfg.Slots)}
	r.Stable = r.Half < 0.01*float64(arrived)/float64(cfg.Slots)
	return r, nil
}

// Figure is one of the paper's figures: the servers' mixes, strong and weak.
type Figure struct {
	Name                 string
	Dispatchers, Servers int
	Skew                 float64
	Strong               []int
}

// Figures are those of sections 5.1 and 5.2 and appendix A.
func Figures() []Figure {
	return []Figure{
		{"Figure 2", 1, 10, 2, []int{9, 5, 1}}, {"Figure 3", 10, 100, 2, []int{90, 50, 10}},
		{"Figure 4", 1, 10, 10, []int{9, 5, 1}}, {"Figure 5", 10, 100, 10, []int{90, 50, 10}},
		{"Figure 6", 1, 10, 1, []int{10}}, {"Figure 7", 10, 100, 1, []int{100}},
	}
}

// Edge is the highest load, in steps, at which a policy is stable, up to 0.995 as the paper tested.
func Edge(cfg Config, pol Policy, steps []float64) (float64, error) {
	edge := 0.0
	for _, load := range steps {
		cfg.Load = load
		r, err := Run(cfg, pol)
		if err != nil {
			return 0, err
		}
		if !r.Stable {
			break
		}
		edge = load
	}
	return edge, nil
}
