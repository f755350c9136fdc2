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
	table     = flag.Bool("table", false, "print the table of all scenes and policies, over 5 seeds")
	onePolicy = flag.String("way", "", "with -table, only this policy")
)

// trouble reports whether the overload or fault of a scene is active.
func trouble(t float64) bool { return t >= warmUp && t < troubleEnd }

// fleetLoad returns the load on the whole fleet as a multiple of its capacity.
func fleetLoad(x float64) func(float64, int, int) float64 {
	return func(t float64, _, _ int) float64 {
		if trouble(t) {
			return x / normalLoad
		}
		return 1
	}
}

// partialLoad returns a load that multiplies the demand of some instances and tenants by x.
func partialLoad(x float64, who func(in, tenant int) bool) func(float64, int, int) float64 {
	return func(t float64, in, tenant int) float64 {
		if trouble(t) && who(in, tenant) {
			return x
		}
		return 1
	}
}

var scenes = []scene{
	{name: "calm"},
	{name: "1.5 times", load: fleetLoad(1.5), cluster: true},
	{name: "2 times", load: fleetLoad(2), cluster: true},
	{name: "5 times", load: fleetLoad(5), cluster: true},
	{name: "2 times, sums 10 % lost and late", load: fleetLoad(2), lost: 0.1, late: 0.1, cluster: true},
	{name: "2 times, sums 30 % lost and late", load: fleetLoad(2), lost: 0.3, late: 0.3, cluster: true},
	{name: "one tenant of the lowest plan, 25 times", load: partialLoad(25, func(_, tenant int) bool { return tenant == 8 }), flood: 8, cluster: true},
	{name: "one tenant of the highest plan, 40 times", load: partialLoad(40, func(_, tenant int) bool { return tenant == 1 }), flood: 1, cluster: true},
	{name: "all boxes 3 times slower", capacityFactor: func(t float64, _ int) float64 {
		if trouble(t) {
			return 1.0 / 3
		}
		return 1
	}, cluster: true},
	{name: "all boxes cold", capacityFactor: func(t float64, _ int) float64 {
		if trouble(t) {
			return 0.2 + 0.8*(t-warmUp)/(troubleEnd-warmUp)
		}
		return 1
	}, cluster: true},
	{name: "2 times, half cut off over its end", load: fleetLoad(2), isPartitioned: func(t float64) bool { return t >= 40 && t < 75 }, cluster: true},
	{name: "2 times, a tenant's plan rises on half", load: fleetLoad(2), rank: func(t float64, in, tenant int) int {
		if tenant == 3 && t >= 40 && in%2 == 0 {
			return 0
		}
		return tenant / 3
	}, cluster: true},
	{name: "one zone of three, 5 times", load: partialLoad(5, func(in, _ int) bool { return in%3 == 0 }), zonal: true},
	{name: "one instance of nine, 5 times", load: partialLoad(5, func(in, _ int) bool { return in == 4 })},
	{name: "one pool of two at a third", capacityFactor: func(t float64, pool int) float64 {
		if trouble(t) && pool == 1 {
			return 1.0 / 3
		}
		return 1
	}},
	{name: "one zone of three, sums 30 % lost and late", load: partialLoad(5, func(in, _ int) bool { return in%3 == 0 }), zonal: true, lost: 0.3, late: 0.3},
}

// result is the result of a run relative to the normal run of the same seed, from 5 s after the trouble begins until it ends.
type result struct {
	plan        [3]float64 // worth served by plan, as a part of the normal run
	total       float64
	others      float64 // the lesser worth of the two other tenants of the flooding tenant's plan, as a part of the normal run
	early       float64 // worth of the highest plan in the first 5 s of the trouble, as a part of the normal run
	shed        float64 // requests shed
	after       int     // seconds from the end of the trouble until the last request was shed
	broken      float64
	worthAfter  float64 // worth from 10 s after the end of the trouble on, as a part of the normal run
	rankChanges int
}

func measure(normal, f *fleet) (s result) {
	const from = warmUp + 5
	for p := range s.plan {
		s.plan[p] = sum(&f.worth, from, troubleEnd, p) / sum(&normal.worth, from, troubleEnd, p)
	}
	s.others = math.Inf(1)
	for tenant := range f.tenantWorth {
		if f.flood > 0 && tenant/3 == f.flood/3 && tenant != f.flood {
			s.others = min(s.others, f.tenantWorth[tenant]/normal.tenantWorth[tenant])
		}
	}
	s.total = sum(&f.worth, from, troubleEnd, -1) / sum(&normal.worth, from, troubleEnd, -1)
	s.early = sum(&f.worth, warmUp, from, 0) / sum(&normal.worth, warmUp, from, 0)
	s.shed = sum(&f.shed, 0, sceneSeconds, -1)
	for t := troubleEnd; t < sceneSeconds; t++ {
		if f.shed[t] != [3]float64{} {
			s.after = t + 1 - troubleEnd
		}
	}
	s.broken = float64(f.broken)
	s.worthAfter = sum(&f.worth, troubleEnd+10, sceneSeconds, -1) / sum(&normal.worth, troubleEnd+10, sceneSeconds, -1)
	if p, ok := f.policy.(*shedding); ok {
		s.rankChanges = p.rankChanges
	}
	return s
}

var normalRuns sync.Map

// normalRun returns the normal run that the others are compared with. It runs once for each seed.
func normalRun(zonal bool, seed uint64) *fleet {
	type key struct {
		zonal bool
		seed  uint64
	}
	once, _ := normalRuns.LoadOrStore(key{zonal, seed}, sync.OnceValue(func() *fleet {
		return run(scene{zonal: zonal}, seed, func(*fleet) policy { return admitAll{} })
	}))
	return once.(func() *fleet)()
}

// Guards against shedding the wrong requests, and against shedding without an overload of the cluster. In an overload the highest plan
// keeps its worth, the lowest keeps its guarantee, and the total worth is no less than without shedding. Otherwise nothing is shed.
func TestOverloadScenes(t *testing.T) {
	seeds := uint64(1)
	if *table {
		seeds = 5
	}
	for i := range scenes {
		sc := &scenes[i]
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			var rows strings.Builder
			mean := map[string]result{}
			for _, w := range policies {
				if *onePolicy != "" && w.name != *onePolicy || !*table && w.name != "none" && w.name != "shed" {
					continue
				}
				var all result
				for seed := range seeds {
					normal := normalRun(sc.zonal, seed)
					s := measure(normal, run(*sc, seed, w.newPolicy))
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
					all.after, all.rankChanges = max(all.after, s.after), max(all.rankChanges, s.rankChanges)
				}
				mean[w.name] = all
				fmt.Fprintf(&rows, "| %s | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %d | %.2f | %.0f | %d | %.2f |\n", sc.name, w.name,
					all.plan[0], all.early, all.plan[1], all.plan[2], all.total, all.shed, all.after, all.worthAfter, all.broken, all.rankChanges, all.others)
			}
			// While backends warm up, the estimate of the capacity is always a little too low.
			least := 0.98
			if strings.HasSuffix(sc.name, "cold") {
				least = 0.85
			}
			if none, shed := mean["none"].total, mean["shed"].total; *onePolicy == "" && shed < least*none {
				t.Errorf("total worth is %.3f of the normal run, without shedding %.3f", shed, none)
			}
			t.Log("\n" + rows.String())
		})
	}
}

func check(t *testing.T, sc *scene, s *result, seed uint64) {
	errorf := func(format string, args ...any) { t.Errorf("seed %d: "+format, append([]any{seed}, args...)...) }
	if !sc.cluster {
		if s.shed != 0 {
			errorf("%.0f requests shed, and the cluster had capacity", s.shed)
		}
		return
	}
	if s.shed == 0 {
		errorf("no request was shed")
	}
	// When backends lose most of their capacity at once, the requests in their queues are lost too. While the new capacity is
	// estimated, the decision module refuses each tenth request of any plan, without regard to plans.
	if least := map[bool]float64{true: 0.95, false: 0.85}[sc.load != nil && sc.flood == 0]; s.plan[0] < least {
		errorf("the highest plan kept %.3f of its worth in the normal run", s.plan[0])
	}
	if s.plan[2] < 0.1 {
		errorf("the lowest plan kept %.3f of its worth in the normal run", s.plan[2])
	}
	if sc.flood > 0 && s.others < 0.6 {
		errorf("another tenant of the flooding tenant's plan kept %.3f of its worth in the normal run", s.others)
	}
	if s.after > 30 {
		errorf("requests were shed until %d s after the end of the trouble", s.after)
	}
	if s.broken != 0 {
		errorf("%.0f protected steps of orders were shed", s.broken)
	}
}
