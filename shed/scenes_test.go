// The simulated scenes, the checks on their results, and the table of the design note (go test -run Scenes -table -v ./shed).
package shed

import (
	"flag"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
)

var (
	table  = flag.Bool("table", false, "print the table of all scenes and policies, over 5 seeds")
	oneWay = flag.String("way", "", "with -table, only this policy")
)

// trouble reports whether the overload or fault of a scene is active.
func trouble(t float64) bool { return t >= warmUp && t < troubled }

// times returns the load on the whole fleet as a multiple of its capacity.
func times(x float64) func(float64, int, int) float64 {
	return func(t float64, _, _ int) float64 {
		if trouble(t) {
			return x / calmLoad
		}
		return 1
	}
}

// only returns a load that multiplies the demand of some instances and tenants by x.
func only(x float64, who func(in, tenant int) bool) func(float64, int, int) float64 {
	return func(t float64, in, tenant int) float64 {
		if trouble(t) && who(in, tenant) {
			return x
		}
		return 1
	}
}

var scenes = []scene{
	{name: "calm"},
	{name: "1.5 times", load: times(1.5), cluster: true},
	{name: "2 times", load: times(2), cluster: true},
	{name: "5 times", load: times(5), cluster: true},
	{name: "2 times, sums 10 % lost and late", load: times(2), lost: 0.1, late: 0.1, cluster: true},
	{name: "2 times, sums 30 % lost and late", load: times(2), lost: 0.3, late: 0.3, cluster: true},
	{name: "one tenant of the lowest plan, 25 times", load: only(25, func(_, tenant int) bool { return tenant == 8 }), flood: 8, cluster: true},
	{name: "one tenant of the highest plan, 40 times", load: only(40, func(_, tenant int) bool { return tenant == 1 }), flood: 1, cluster: true},
	{name: "all boxes 3 times slower", room: func(t float64, _ int) float64 {
		if trouble(t) {
			return 1.0 / 3
		}
		return 1
	}, cluster: true},
	{name: "all boxes cold", room: func(t float64, _ int) float64 {
		if trouble(t) {
			return 0.2 + 0.8*(t-warmUp)/(troubled-warmUp)
		}
		return 1
	}, cluster: true},
	{name: "2 times, half cut off over its end", load: times(2), cut: func(t float64) bool { return t >= 40 && t < 75 }, cluster: true},
	{name: "2 times, a tenant's plan rises on half", load: times(2), rank: func(t float64, in, tenant int) int {
		if tenant == 3 && t >= 40 && in%2 == 0 {
			return 0
		}
		return tenant / 3
	}, cluster: true},
	{name: "one zone of three, 5 times", load: only(5, func(in, _ int) bool { return in%3 == 0 }), zonal: true},
	{name: "one instance of nine, 5 times", load: only(5, func(in, _ int) bool { return in == 4 })},
	{name: "one pool of two at a third", room: func(t float64, pool int) float64 {
		if trouble(t) && pool == 1 {
			return 1.0 / 3
		}
		return 1
	}},
	{name: "one zone of three, sums 30 % lost and late", load: only(5, func(in, _ int) bool { return in%3 == 0 }), zonal: true, lost: 0.3, late: 0.3},
}

// seen is the result of a run relative to the normal run of the same seed, from 5 s after the trouble begins until it ends.
type seen struct {
	plan       [3]float64 // worth served by plan, as a part of the normal run
	total      float64
	others     float64 // the lesser worth of the two other tenants of the flooding tenant's plan, as a part of the normal run
	early      float64 // worth of the highest plan in the first 5 s of the trouble, as a part of the normal run
	shed       float64 // requests shed
	after      int     // seconds from the end of the trouble until the last request was shed
	broken     float64
	worthAfter float64 // worth from 10 s after the end of the trouble on, as a part of the normal run
	moves      int
}

func look(calm, f *fleet) (s seen) {
	const from = warmUp + 5
	for p := range s.plan {
		s.plan[p] = sum(&f.worth, from, troubled, p) / sum(&calm.worth, from, troubled, p)
	}
	s.others = math.Inf(1)
	for tenant := range f.of {
		if f.flood > 0 && tenant/3 == f.flood/3 && tenant != f.flood {
			s.others = min(s.others, f.of[tenant]/calm.of[tenant])
		}
	}
	s.total = sum(&f.worth, from, troubled, -1) / sum(&calm.worth, from, troubled, -1)
	s.early = sum(&f.worth, warmUp, from, 0) / sum(&calm.worth, warmUp, from, 0)
	s.shed = sum(&f.shed, 0, sceneEnds, -1)
	for t := troubled; t < sceneEnds; t++ {
		if f.shed[t] != [3]float64{} {
			s.after = t + 1 - troubled
		}
	}
	s.broken = float64(f.broken)
	s.worthAfter = sum(&f.worth, troubled+10, sceneEnds, -1) / sum(&calm.worth, troubled+10, sceneEnds, -1)
	if p, is := f.policy.(*shedding); is {
		s.moves = p.moves
	}
	return s
}

var calmRuns sync.Map

// calmRun returns the normal run that the others are compared with. It runs once for each seed.
func calmRun(zonal bool, seed uint64) *fleet {
	type key struct {
		zonal bool
		seed  uint64
	}
	once, _ := calmRuns.LoadOrStore(key{zonal, seed}, sync.OnceValue(func() *fleet {
		return run(scene{zonal: zonal}, seed, func(*fleet) policy { return letAll{} })
	}))
	return once.(func() *fleet)()
}

// Guards against shedding the wrong requests, and against shedding without an overload of the cluster. In an overload the highest plan
// keeps its worth, the lowest keeps its guarantee, and the total worth is no less than without shedding. Otherwise nothing is shed.
func TestScenes(t *testing.T) {
	seeds := uint64(1)
	if *table {
		seeds = 5
	}
	for i := range scenes {
		sc := &scenes[i]
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			var rows strings.Builder
			mean := map[string]seen{}
			for _, w := range allWays {
				if *oneWay != "" && w.name != *oneWay || !*table && w.name != "none" && w.name != "shed" {
					continue
				}
				var all seen
				for seed := range seeds {
					calm := calmRun(sc.zonal, seed)
					s := look(calm, run(*sc, seed, w.make))
					if w.name == "shed" {
						check(t, sc, &s, seed)
					}
					for p := range s.plan {
						all.plan[p] += s.plan[p] / float64(seeds)
					}
					all.others += s.others / float64(seeds)
					all.total += s.total / float64(seeds)
					all.early += s.early / float64(seeds)
					all.shed += s.shed / float64(seeds)
					all.broken += s.broken / float64(seeds)
					all.worthAfter += s.worthAfter / float64(seeds)
					all.after, all.moves = max(all.after, s.after), max(all.moves, s.moves)
				}
				mean[w.name] = all
				fmt.Fprintf(&rows, "| %s | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %d | %.2f | %.0f | %d | %.2f |\n", sc.name, w.name,
					all.plan[0], all.early, all.plan[1], all.plan[2], all.total, all.shed, all.after, all.worthAfter, all.broken, all.moves, all.others)
			}
			// While backends warm up, the estimate of the capacity is always a little too low.
			least := 0.98
			if strings.HasSuffix(sc.name, "cold") {
				least = 0.85
			}
			if none, shed := mean["none"].total, mean["shed"].total; *oneWay == "" && shed < least*none {
				t.Errorf("total worth is %.3f of the normal run, without shedding %.3f", shed, none)
			}
			t.Log("\n" + rows.String())
		})
	}
}

func check(t *testing.T, sc *scene, s *seen, seed uint64) {
	bad := func(format string, args ...any) { t.Errorf("seed %d: "+format, append([]any{seed}, args...)...) }
	if !sc.cluster {
		if s.shed != 0 {
			bad("%.0f requests shed, and the cluster had capacity", s.shed)
		}
		return
	}
	if s.shed == 0 {
		bad("no request was shed")
	}
	// When backends lose most of their capacity at once, the requests in their queues are lost too. While the new capacity is
	// estimated, the decision module refuses each tenth request of any plan, without regard to plans.
	if least := map[bool]float64{true: 0.95, false: 0.85}[sc.load != nil && sc.flood == 0]; s.plan[0] < least {
		bad("the highest plan kept %.3f of its worth in the normal run", s.plan[0])
	}
	if s.plan[2] < 0.1 {
		bad("the lowest plan kept %.3f of its worth in the normal run", s.plan[2])
	}
	if sc.flood > 0 && s.others < 0.6 {
		bad("another tenant of the flooding tenant's plan kept %.3f of its worth in the normal run", s.others)
	}
	if s.after > 30 {
		bad("requests were shed until %d s after the end of the trouble", s.after)
	}
	if s.broken != 0 {
		bad("%.0f protected steps of orders were shed", s.broken)
	}
}
