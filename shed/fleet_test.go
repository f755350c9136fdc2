// A simulated fleet in steps of 50 ms, from a seed: instances in three zones before two pools, clients that retry, and orders of three
// steps. The decision module is simulated as a queue that refuses a request whose wait would exceed the aim at the current rate of
// service.

package shed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	step         = 50 * time.Millisecond
	perSec       = int(time.Second / step)
	aim          = 500 * time.Millisecond
	normalLoad   = 0.6 // of capacity
	tenants      = 9   // three for each plan
	normalRate   = 30  // requests a second for each instance under normal load, without the later steps of orders
	warmUp       = 20  // seconds; then the overload or fault of the scene begins
	troubleEnd   = 60  // seconds; the overload or fault ends
	sceneSeconds = 110
)

var (
	fleetPlans = []Plan{{Name: "gold", Share: 0.5}, {Name: "silver", Share: 0.2}, {Name: "bronze", Share: 0.05, MinPart: 0.1}}
	planMix    = []float64{0.25, 0.35, 0.4}
	fleetPools = []string{"menu", "orders"}
	kinds      = []struct {
		pool    int
		mix     float64
		worth   float64
		unsafe  bool
		begins  bool // first step of an order: two more follow
		ofSteps bool
	}{
		{pool: 0, mix: 0.45, worth: 1}, {pool: 0, mix: 0.25, worth: 2}, {pool: 1, mix: 0.2, worth: 2}, {pool: 1, mix: 0.1, worth: 6, unsafe: true, begins: true},
	}
)

type request struct {
	kind, tenant, in int
	session, repeat  bool
	steps, tries     int
	arrivedStep      int // step
	mark             Mark
}

func (r *request) plan() int { return r.tenant / 3 }

// scene describes load and faults of a run. A nil function changes nothing.
type scene struct {
	name           string
	n              int // instances; 0: 9
	load           func(t float64, in, tenant int) float64
	capacityFactor func(t float64, pool int) float64
	zonal          bool                                // each zone has its own backends
	rank           func(t float64, in, tenant int) int // rank of a tenant in the instance's configuration
	isPartitioned  func(t float64) bool                // network partition between the first half of the instances and the others
	lost, late     float64
	flood          int  // the tenant that floods; 0: none
	cluster        bool // the whole cluster is overloaded, so that shedding is expected
}

type policy interface {
	admit(now time.Duration, r *request, draw uint64) (bool, time.Duration)
	end(r *request, o Outcome, took time.Duration)
	drop(now time.Duration, in, pool int, waited time.Duration) bool // whether the request at the head of the queue is dropped
	tick(now time.Duration)
}

type queue struct {
	list        []request
	serviceRate float64 // served requests a second, as measured
	done        float64
}

type fleet struct {
	scene
	rng       *rand.Rand
	arrivals  *rand.Rand // for arrivals, so that they are the same whatever the policy does
	policy    policy
	zones     int
	queues    [][]queue // by instance, pool
	scheduled map[int][]request
	credit    map[[2]int]float64
	used      [tenants]float64 // requests in this second

	// By second and plan: worth served in time, and requests shed.
	worth, shed [sceneSeconds][3]float64
	tenantWorth [tenants]float64 // worth of each tenant, from 5 s after the trouble begins until it ends
	broken      int              // protected steps of orders that were shed
	orders      int              // later steps of orders that were requested
}

func (f *fleet) zone(in int) int { return in % f.zones }

// capacity returns the capacity of a pool in requests a second over all instances. Normal load is normalLoad of it.
func (f *fleet) capacity(pool int) float64 {
	asked := 0.0
	for _, k := range kinds {
		if k.pool == pool {
			asked += k.mix
			if k.begins {
				asked += 2 * k.mix
			}
		}
	}
	return asked * normalRate * float64(f.n) / normalLoad
}

func run(s scene, seed uint64, newPolicy func(f *fleet) policy) *fleet {
	if s.n == 0 {
		s.n = 9
	}
	f := &fleet{scene: s, rng: rand.New(rand.NewPCG(seed, 42)), arrivals: rand.New(rand.NewPCG(seed, 43)), zones: min(3, s.n), scheduled: map[int][]request{}, credit: map[[2]int]float64{}}
	for range s.n {
		qs := []queue{{}, {}}
		for p := range qs {
			qs[p].serviceRate = f.capacity(p) / float64(s.n)
		}
		f.queues = append(f.queues, qs)
	}
	f.policy = newPolicy(f)
	for i := range sceneSeconds * perSec {
		f.step(i)
	}
	return f
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for l, p := math.Exp(-mean), rng.Float64(); p > l; n++ {
		p *= rng.Float64()
	}
	return n
}

func (f *fleet) step(i int) {
	now, t := time.Duration(i)*step, float64(i)/float64(perSec)
	for _, r := range f.scheduled[i] {
		r.arrivedStep = i
		f.send(now, r)
	}
	delete(f.scheduled, i)
	for in := range f.n {
		for tenant := range tenants {
			x := normalRate * planMix[tenant/3] / 3 / float64(perSec)
			if f.load != nil {
				x *= f.load(t, in, tenant)
			}
			for range poisson(f.arrivals, x) {
				u, kind := f.arrivals.Float64(), 0
				for u -= kinds[0].mix; u > 0 && kind < len(kinds)-1; u -= kinds[kind].mix {
					kind++
				}
				f.send(now, request{kind: kind, tenant: tenant, in: in, arrivedStep: i})
			}
		}
	}
	for pool := range fleetPools {
		f.serve(i, now, t, pool)
	}
	if (i+1)%perSec == 0 {
		f.policy.tick(now + step)
		f.used = [tenants]float64{}
	}
}

// send sends a request to its instance.
func (f *fleet) send(now time.Duration, r request) {
	if f.used[r.tenant]++; r.session {
		f.orders++
	}
	ok, retryAfter := f.policy.admit(now, &r, f.rng.Uint64())
	if !ok {
		f.shed[now/time.Second][r.plan()]++
		if r.session && kinds[r.kind].unsafe {
			f.broken++
		}
		f.retry(now, r, retryAfter)
		return
	}
	q := &f.queues[r.in][kinds[r.kind].pool]
	// A single instance serves at most 2.5 times its part. More is a fault of that instance.
	if wait := float64(len(q.list)) / max(q.serviceRate, 1); wait > aim.Seconds() || float64(len(q.list)) > 2.5*aim.Seconds()*f.capacity(kinds[r.kind].pool)/float64(f.n) {
		f.policy.end(&r, Refused, 0)
		f.retry(now, r, time.Duration((0.2+0.1*f.rng.Float64())*float64(time.Second)))
		return
	}
	q.list = append(q.list, r)
}

// retry schedules a retry: half of the refused requests are retried, at most twice, at the same instance.
func (f *fleet) retry(now time.Duration, r request, retryAfter time.Duration) {
	if r.tries++; r.tries <= 2 && f.rng.Float64() < 0.5 {
		r.repeat = true
		at := int((now+retryAfter)/step) + 1
		f.scheduled[at] = append(f.scheduled[at], r)
	}
}

// serve divides the work of the backends among the queues in turns.
func (f *fleet) serve(i int, now time.Duration, t float64, pool int) {
	all := f.capacity(pool) / float64(perSec)
	if f.capacityFactor != nil {
		all *= f.capacityFactor(t, pool)
	}
	zones := 1
	if f.zonal {
		zones = f.zones
	}
	for z := range zones {
		credit := f.credit[[2]int{z, pool}] + all/float64(zones)
		for busy := true; busy && credit >= 1; {
			busy = false
			for k := range f.n {
				in := (i + k) % f.n
				q := &f.queues[in][pool]
				if zones > 1 && f.zone(in) != z || credit < 1 {
					continue
				}
				for len(q.list) > 0 {
					r := q.list[0]
					q.list = q.list[1:]
					took := time.Duration(i-r.arrivedStep) * step
					if f.policy.drop(now, in, pool, took) {
						f.policy.end(&r, Refused, 0)
						f.retry(now, r, 250*time.Millisecond)
						continue
					}
					f.done(i, now, &r, took)
					credit, busy = credit-1, true
					q.done++
					break
				}
			}
		}
		f.credit[[2]int{z, pool}] = min(credit, 1)
	}
	for in := range f.n { // rate over the last half second, while there is a queue
		if q := &f.queues[in][pool]; len(q.list) > 0 || q.done > q.serviceRate/float64(perSec) {
			q.serviceRate += 0.1 * (q.done*float64(perSec) - q.serviceRate)
		}
		f.queues[in][pool].done = 0
	}
}

func (f *fleet) done(i int, now time.Duration, r *request, took time.Duration) {
	if took > aim+aim/2 {
		f.policy.end(r, Late, took)
		return
	}
	f.policy.end(r, Served, took)
	f.worth[now/time.Second][r.plan()] += kinds[r.kind].worth
	if sec := int(now / time.Second); sec >= warmUp+5 && sec < troubleEnd {
		f.tenantWorth[r.tenant] += kinds[r.kind].worth
	}
	if k := kinds[r.kind]; k.begins && r.steps < 2 {
		next := request{kind: r.kind, tenant: r.tenant, in: r.in, session: true, steps: r.steps + 1}
		f.scheduled[i+perSec] = append(f.scheduled[i+perSec], next)
	}
}

// sum returns a plan's total from one second to another; plan -1: of all plans.
func sum(figures *[sceneSeconds][3]float64, from, to, plan int) (s float64) {
	for t := from; t < to; t++ {
		for p, x := range figures[t] {
			if plan < 0 || p == plan {
				s += x
			}
		}
	}
	return s
}

// shedding runs the package: each instance has a Shed, and they exchange sums over links that lose and delay them.
type shedding struct {
	f            *fleet
	sheds        []*Shed
	levels       []*Level
	inTransit    map[int][]message // by second
	ignoresPlans bool              // ignore plans and classes: shed at random
	ownViewOnly  bool              // each instance uses only its own view
	causes       map[string]bool
	rankChanges  int // number of seconds at which the rank that is shed first changed at the first instance
	parts        []float64
}

type message struct {
	from, to int
	sum      Sum
}

func withShed(ignoresPlans, ownViewOnly bool) func(f *fleet) policy {
	return func(f *fleet) policy {
		s := &shedding{f: f, inTransit: map[int][]message{}, ignoresPlans: ignoresPlans, ownViewOnly: ownViewOnly, causes: map[string]bool{}}
		cfg := Config{Plans: fleetPlans, Pools: fleetPools, Tenants: tenants}
		for _, k := range kinds {
			cfg.Classes = append(cfg.Classes, Class{k.worth, k.unsafe})
		}
		if ignoresPlans {
			cfg.Plans, cfg.Classes = []Plan{{Name: "all"}}, nil
		}
		names := []string{}
		for in := range f.n {
			names = append(names, fmt.Sprint("i", in))
		}
		for in := range f.n {
			cfg.Name, cfg.Zone = names[in], fmt.Sprint("z", f.zone(in))
			s.sheds = append(s.sheds, New(cfg))
			s.sheds[in].SetMembers(0, names, ownViewOnly)
			s.levels = append(s.levels, s.sheds[in].Level())
		}
		return s
	}
}

func (s *shedding) newAsk(now time.Duration, r *request) Ask {
	k, rank := kinds[r.kind], r.plan()
	if s.f.rank != nil {
		rank = s.f.rank(now.Seconds(), r.in, r.tenant)
	}
	if s.ignoresPlans {
		return Ask{Tenant: -1, Pool: fleetPools[k.pool]}
	}
	return Ask{Rank: rank, Worth: k.worth, Unsafe: k.unsafe, Session: r.session, Repeat: r.repeat, Tenant: r.tenant, Pool: fleetPools[k.pool]}
}

func (s *shedding) admit(now time.Duration, r *request, draw uint64) (bool, time.Duration) {
	v := s.levels[r.in].Admit(now, s.newAsk(now, r), draw)
	r.mark = v.Mark
	o := Rejected
	if v.OK {
		o = Admitted
	}
	s.sheds[r.in].Note(v.Mark, o, 0)
	return v.OK, v.RetryIn
}

func (s *shedding) end(r *request, o Outcome, took time.Duration) {
	s.sheds[r.in].Note(r.mark, o, took)
}

func (s *shedding) drop(time.Duration, int, int, time.Duration) bool { return false }

func (s *shedding) tick(now time.Duration) {
	f, sec := s.f, int(now/time.Second)
	isPartitioned := f.isPartitioned != nil && f.isPartitioned(now.Seconds())
	for in, sh := range s.sheds {
		for tenant, n := range f.used {
			// A tenant's share is twice its demand under normal load.
			sh.SetTenantUse(tenant, n/(2*normalRate*float64(f.n)*planMix[tenant/3]/3*(1+2*kinds[3].mix)))
		}
		if f.isPartitioned != nil {
			names := []string{}
			for k := range f.n {
				if !isPartitioned || (k < f.n/2) == (in < f.n/2) {
					names = append(names, fmt.Sprint("i", k))
				}
			}
			sh.SetMembers(now, names, s.ownViewOnly)
		}
	}
	for _, l := range s.inTransit[sec] {
		s.sheds[l.to].Receive(now, fmt.Sprint("i", l.from), l.sum)
	}
	delete(s.inTransit, sec)
	for in, sh := range s.sheds {
		l, _ := sh.Tick(now)
		if in == 0 {
			if old := s.levels[0]; !l.Open() && !old.Open() && l.Priority.Rank() != old.Priority.Rank() {
				s.rankChanges++
			}
			s.parts = append(s.parts, l.Part)
		}
		s.levels[in] = l
		s.causes[l.Cause] = true
		sum, _ := ParseSum(AppendSum(nil, sh.Sum()))
		for to := range s.sheds {
			if to == in || isPartitioned && (to < f.n/2) != (in < f.n/2) || f.lost > 0 && f.rng.Float64() < f.lost {
				continue
			}
			at := sec + 1
			if f.late > 0 && f.rng.Float64() < f.late {
				at += 5
			}
			s.inTransit[at] = append(s.inTransit[at], message{in, to, sum})
		}
	}
}
