package stories

// This file has instances that turn requests away by plan: each is a shed.Shed as it is shipped, before boxes that are a queue with room for
// half a second. They tell each other their sums each second, as bytes.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"glencart/shed"
)

const (
	loadStep  = 50 * time.Millisecond
	loadSteps = int(time.Second / loadStep)
	loadAim   = 500 * time.Millisecond // a queue holds no more than this
	loadCalm  = 0.6                    // of what the boxes can do is asked in calm
	loadRate  = 30.0                   // requests a second and instance in calm, steps of orders aside
	tenantsOf = 3                      // a plan
)

var (
	loadPlans = []shed.Plan{{Name: "gold", Share: 0.5}, {Name: "silver", Share: 0.2}, {Name: "bronze", Share: 0.05, MinPart: 0.1}}
	loadMix   = []float64{0.25, 0.35, 0.4}
	loadPools = []string{"menu", "orders"}
	loadKinds = []loadKind{{pool: 0, mix: 0.7, worth: 1}, {pool: 1, mix: 0.2, worth: 2}, {pool: 1, mix: 0.1, worth: 6, unsafe: true}}
)

// loadKind is a kind of request. An unsafe one is an order: two more steps follow, a second after each other.
type loadKind struct {
	pool       int
	mix, worth float64
	unsafe     bool
}

type loadRequest struct {
	kind, tenant, in, steps, tries int
	came                           int // step
	mark                           shed.Mark
}

type overload struct {
	seed  uint64
	comes *rand.Rand // who comes, whatever becomes of them
	rng   *rand.Rand
	n     int
	step  int
	// What a story changes.
	times  func(in, tenant int) float64 // of calm
	room   func(pool int) float64       // of what the boxes can do
	rank   func(in, tenant int) int
	zonal  bool // each zone has boxes of its own
	apart  bool
	lost   float64
	sheds  []*shed.Shed
	levels []*shed.Level
	post   []loadWord
	queues [][][]loadRequest // by instance and pool
	pace   [][]float64       // served a second, as an instance sees it
	done   [][]float64
	credit map[[2]int]float64
	later  map[int][]loadRequest
	used   [9]float64
	// By second, of plans and tenants: worth served in time, and requests shed.
	worth  [][9]float64
	turned [][9]float64
	broken int // steps of orders that were shed
	calm   [9]float64
	since  int // the second from which a story counts
}

type loadWord struct {
	from, to int
	sum      shed.Sum
}

func (w *world) plans(n int, zonal bool) error {
	f := &overload{seed: w.seed, comes: rand.New(rand.NewPCG(w.seed, 1)), rng: rand.New(rand.NewPCG(w.seed, 2)), n: n, zonal: zonal,
		credit: map[[2]int]float64{}, later: map[int][]loadRequest{}}
	f.asBefore()
	f.room = func(int) float64 { return 1 }
	f.rank = func(_, tenant int) int { return tenant / tenantsOf }
	cfg := shed.Config{Plans: loadPlans, Pools: loadPools, Tenants: 9}
	for _, k := range loadKinds {
		cfg.Classes = append(cfg.Classes, shed.Class{Worth: k.worth, Unsafe: k.unsafe})
	}
	for in := range n {
		cfg.Name, cfg.Zone = letter(in), fmt.Sprint("zone ", in%3)
		f.sheds = append(f.sheds, shed.New(cfg))
		f.levels = append(f.levels, f.sheds[in].Level())
		f.queues = append(f.queues, make([][]loadRequest, len(loadPools)))
		f.pace, f.done = append(f.pace, make([]float64, len(loadPools))), append(f.done, make([]float64, len(loadPools)))
		for p := range loadPools {
			f.pace[in][p] = f.capacity(p) / float64(n)
		}
	}
	f.members()
	w.load = f
	f.run(45)
	for _, s := range f.worth[5:45] {
		for i := range s {
			f.calm[i] += s[i] / 40
		}
	}
	f.since = len(f.worth)
	return nil
}

// asBefore has clients ask as in calm.
func (f *overload) asBefore() { f.times = func(int, int) float64 { return 1 } }

// count counts from some seconds from now on, when whatever has just begun is known to all.
func (f *overload) count() { f.since = len(f.worth) + 5 }

// capacity of a pool in requests a second over all.
func (f *overload) capacity(pool int) float64 {
	asked := 0.0
	for _, k := range loadKinds {
		if k.pool == pool {
			asked += k.mix
			if k.unsafe {
				asked += 2 * k.mix
			}
		}
	}
	return asked * loadRate * float64(f.n) / loadCalm
}

func (f *overload) same(a, b int) bool { return !f.apart || (a < f.n/2) == (b < f.n/2) }

// members tells each instance whom it can reach.
func (f *overload) members() {
	for in, s := range f.sheds {
		var names []string
		for k := range f.n {
			if f.same(in, k) {
				names = append(names, letter(k))
			}
		}
		s.SetMembers(f.now(), names, false)
	}
}

func (f *overload) now() time.Duration { return time.Duration(f.step) * loadStep }

func (f *overload) run(seconds int) {
	for range seconds {
		f.worth, f.turned = append(f.worth, [9]float64{}), append(f.turned, [9]float64{})
		for range loadSteps {
			f.round()
			f.step++
		}
		f.tick()
	}
}

func (f *overload) round() {
	again := f.later[f.step]
	delete(f.later, f.step)
	for _, r := range again {
		f.ask(r)
	}
	for in := range f.n {
		for tenant := range 9 {
			mean := loadRate * loadMix[tenant/tenantsOf] / tenantsOf / float64(loadSteps) * f.times(in, tenant)
			for l, p := math.Exp(-mean), f.comes.Float64(); p > l; p *= f.comes.Float64() {
				u, kind := f.comes.Float64(), 0
				for u -= loadKinds[0].mix; u > 0 && kind < len(loadKinds)-1; u -= loadKinds[kind].mix {
					kind++
				}
				f.ask(loadRequest{kind: kind, tenant: tenant, in: in})
			}
		}
	}
	for pool := range loadPools {
		f.serve(pool)
	}
}

// ask brings a request to its instance.
func (f *overload) ask(r loadRequest) {
	k := loadKinds[r.kind]
	r.came = f.step
	f.used[r.tenant]++
	v := f.levels[r.in].Admit(f.now(), shed.Ask{Rank: f.rank(r.in, r.tenant), Worth: k.worth, Unsafe: k.unsafe, Session: r.steps > 0,
		Repeat: r.tries > 0, Tenant: r.tenant, Pool: loadPools[k.pool]}, f.rng.Uint64())
	r.mark = v.Mark
	if !v.OK {
		f.sheds[r.in].Note(r.mark, shed.Rejected, 0)
		f.turned[len(f.turned)-1][r.tenant]++
		if r.steps > 0 {
			f.broken++
		}
		f.back(r, v.RetryIn)
		return
	}
	f.sheds[r.in].Note(r.mark, shed.Admitted, 0)
	q := &f.queues[r.in][k.pool]
	// An instance alone serves 2.5 times its part at most: more is its own trouble.
	if n := float64(len(*q)); n/max(f.pace[r.in][k.pool], 1) > loadAim.Seconds() || n > 2.5*loadAim.Seconds()*f.capacity(k.pool)/float64(f.n) {
		f.sheds[r.in].Note(r.mark, shed.Refused, 0)
		f.back(r, time.Duration((0.2+0.1*f.rng.Float64())*float64(time.Second)))
		return
	}
	*q = append(*q, r)
}

// back: half of those that are refused come again, twice at most.
func (f *overload) back(r loadRequest, in time.Duration) {
	if r.tries++; r.tries <= 2 && f.rng.Float64() < 0.5 {
		at := f.step + int(in/loadStep) + 1
		f.later[at] = append(f.later[at], r)
	}
}

// serve gives the queues the boxes' work in turns.
func (f *overload) serve(pool int) {
	zones := 1
	if f.zonal {
		zones = 3
	}
	for z := range zones {
		credit := f.credit[[2]int{z, pool}] + f.capacity(pool)*f.room(pool)/float64(loadSteps*zones)
		for busy := true; busy && credit >= 1; {
			busy = false
			for i := range f.n {
				in := (f.step + i) % f.n
				q := &f.queues[in][pool]
				if len(*q) == 0 || credit < 1 || zones > 1 && in%3 != z {
					continue
				}
				r := (*q)[0]
				*q = (*q)[1:]
				f.ended(&r)
				f.done[in][pool]++
				credit, busy = credit-1, true
			}
		}
		f.credit[[2]int{z, pool}] = min(credit, 1)
	}
	for in := range f.n { // the pace over the last half second, while there is a queue
		if rate := f.done[in][pool] * float64(loadSteps); len(f.queues[in][pool]) > 0 || rate > f.pace[in][pool] {
			f.pace[in][pool] += 0.1 * (rate - f.pace[in][pool])
		}
		f.done[in][pool] = 0
	}
}

func (f *overload) ended(r *loadRequest) {
	took := time.Duration(f.step-r.came) * loadStep
	if took > loadAim*3/2 {
		f.sheds[r.in].Note(r.mark, shed.Late, took)
		return
	}
	f.sheds[r.in].Note(r.mark, shed.Served, took)
	f.worth[len(f.worth)-1][r.tenant] += loadKinds[r.kind].worth
	if loadKinds[r.kind].unsafe && r.steps < 2 {
		f.later[f.step+loadSteps] = append(f.later[f.step+loadSteps], loadRequest{kind: r.kind, tenant: r.tenant, in: r.in, steps: r.steps + 1})
	}
}

// tick is each second: what others said, a level, what the others are told.
func (f *overload) tick() {
	for tenant, n := range f.used { // a tenant's share is twice what it asks in calm
		of := n / (2 * loadRate * float64(f.n) * loadMix[tenant/tenantsOf] / tenantsOf * (1 + 2*loadKinds[2].mix))
		for _, s := range f.sheds {
			s.SetTenantUse(tenant, of)
		}
	}
	f.used = [9]float64{}
	for _, l := range f.post {
		f.sheds[l.to].Receive(f.now(), letter(l.from), l.sum)
	}
	f.post = nil
	for in, s := range f.sheds {
		f.levels[in], _ = s.Tick(f.now())
		sum, err := shed.ParseSum(shed.AppendSum(nil, s.Sum()))
		for to := range f.sheds {
			if err == nil && to != in && f.same(in, to) && f.rng.Float64() >= f.lost {
				f.post = append(f.post, loadWord{in, to, sum})
			}
		}
	}
}

// kept is the part of their calm worth that tenants were served since a story counts.
func (f *overload) kept(tenants ...int) float64 {
	got, calm := 0.0, 0.0
	for _, t := range tenants {
		for _, s := range f.worth[f.since:] {
			got += s[t]
		}
		calm += f.calm[t] * float64(len(f.worth)-f.since)
	}
	return got / calm
}

func (f *overload) shedIn(from int) (n float64) {
	for _, s := range f.turned[max(0, from):] {
		n += sum(s[:])
	}
	return n
}

func (w *world) overloadSentences() []sentence {
	nothing := func(do func(f *overload)) func() error {
		return func() error { do(w.load); w.load.count(); return nil }
	}
	tenants := map[string][]int{"gold": {0, 1, 2}, "silver": {3, 4, 5}, "bronze": {6, 7, 8}}
	return []sentence{
		{`^(\d+) instances with plans gold, silver and bronze$`, func(n int) error { return w.plans(n, false) }},
		{`^(\d+) instances in 3 zones with boxes of their own, and plans gold, silver and bronze$`, func(n int) error { return w.plans(n, true) }},
		{`^clients ask for (\d+) times what the boxes can do$`, func(n int) error {
			w.load.times = func(int, int) float64 { return float64(n) / loadCalm }
			w.load.count()
			return nil
		}},
		{`^clients of one zone ask for (\d+) times as much$`, func(n int) error {
			w.load.times = func(in, _ int) float64 { return map[bool]float64{true: float64(n), false: 1}[in%3 == 0] }
			w.load.count()
			return nil
		}},
		{`^clients of one instance ask for (\d+) times as much$`, func(n int) error {
			w.load.times = func(in, _ int) float64 { return map[bool]float64{true: float64(n), false: 1}[in == 4] }
			w.load.count()
			return nil
		}},
		{`^one tenant of (gold|bronze) asks for (\d+) times as much$`, func(plan string, n int) error {
			flood := tenants[plan][1]
			w.load.times = func(_, tenant int) float64 { return map[bool]float64{true: float64(n), false: 1}[tenant == flood] }
			w.load.count()
			return nil
		}},
		{`^clients ask as before$`, nothing((*overload).asBefore)},
		{`^all boxes are 3 times slower$`, nothing(func(f *overload) { f.room = func(int) float64 { return 1.0 / 3 } })},
		{`^the boxes for orders are 3 times slower$`, nothing(func(f *overload) {
			f.room = func(pool int) float64 { return map[bool]float64{true: 1.0 / 3, false: 1}[pool == 1] }
		})},
		{`^all boxes are cold, and warm after 40 seconds$`, nothing(func(f *overload) {
			from := f.now()
			f.room = func(int) float64 { return min(1, 0.2+0.8*(f.now()-from).Seconds()/40) }
		})},
		{`^half of the instances are apart from the others$`, func() error { w.load.apart = true; w.load.members(); return nil }},
		{`^all instances reach each other again$`, func() error { w.load.apart = false; w.load.members(); return nil }},
		{`^(\d+) % of what instances tell of their load is lost$`, func(n int) error { w.load.lost = float64(n) / 100; return nil }},
		{`^one tenant of silver becomes gold on half of the instances$`, func() error {
			w.load.rank = func(in, tenant int) int {
				if tenant == 3 && in%2 == 0 {
					return 0
				}
				return tenant / tenantsOf
			}
			return nil
		}},
		{`^(gold|silver|bronze) keeps at least (\d+) % of its calm worth$`, func(plan string, n int) error {
			if got := 100 * w.load.kept(tenants[plan]...); got < float64(n) {
				return fmt.Errorf("%.1f %%", got)
			}
			return nil
		}},
		{`^the other tenants of (gold|bronze) keep at least (\d+) % each$`, func(plan string, n int) error {
			for _, t := range []int{tenants[plan][0], tenants[plan][2]} {
				if got := 100 * w.load.kept(t); got < float64(n) {
					return fmt.Errorf("%.1f %%", got)
				}
			}
			return nil
		}},
		{`^nobody was shed$`, func() error { return none(w.load.shedIn(0)) }},
		{`^somebody was shed$`, func() error {
			if w.load.shedIn(w.load.since) == 0 {
				return fmt.Errorf("nobody was")
			}
			return nil
		}},
		{`^nobody was shed in the last (\d+) seconds$`, func(n int) error { return none(w.load.shedIn(len(w.load.turned) - n)) }},
		{`^no order was shed between its steps$`, func() error { return none(float64(w.load.broken)) }},
	}
}

func none(n float64) error {
	if n > 0 {
		return fmt.Errorf("%.0f were", n)
	}
	return nil
}
