package balance

import (
	"fmt"
	"testing"
	"time"
)

// Nodes that lose discovery together and come back faster than it works keep it busy with calls that fail: none is ever
// answered. Here it has 20 s of work when they come, and works through ten calls a second in turn. It turns away what would
// wait three time-outs of 2 s; what waits longer than one fails then, and is worked through all the same.
func TestAFleetLeavesDiscoveryItsTime(t *testing.T) {
	const tick, work, limit = 10 * ms, 100 * ms, 2 * time.Second
	for nodes, within := range map[int]time.Duration{1: 25 * time.Second, 2: 25 * time.Second, 5: 25 * time.Second, 80: time.Minute} {
		free, last, calls, answered := 20*time.Second, time.Duration(0), 0, 0
		due := map[time.Duration][]func(){}
		for i := range nodes {
			cfg := site()
			cfg.AskDiscovery, cfg.Instances, cfg.Index = true, nodes, i
			b, _ := New(cfg, uint64(i))
			r := &rig{t: t, b: b}
			var ask func()
			at := func(in time.Duration, f func()) {
				when := r.now + in.Truncate(tick) + tick
				due[when] = append(due[when], func() { r.now = when; f() })
			}
			refused := func() {
				s := of(SetTimer, r.do(Event{Kind: MembersRefused}))[0]
				at(s.In, func() { r.do(Event{Kind: Timer, Mark: s.Mark}); ask() })
			}
			ask = func() {
				if calls++; len(of(Watch, r.last)) != 1 {
					t.Fatalf("%d nodes: not asked: %+v", nodes, r.last)
				}
				if free = max(free, r.now); free-r.now > 3*limit {
					at(0, refused)
					return
				}
				if free += work; free-r.now > limit {
					at(limit, refused)
					return
				}
				at(free-r.now, func() { answered++; last = r.now })
			}
			r.do(Event{Kind: MembersRemembered, Members: []Member{member(1, 0, 0)}})
			due[0] = append(due[0], ask)
		}
		for now := time.Duration(0); now <= 2*time.Minute; now += tick {
			for k := 0; k < len(due[now]); k++ {
				due[now][k]()
			}
		}
		if answered != nodes || last > within || calls > 12*nodes {
			t.Errorf("%d nodes: %d answered, the last after %v, %d calls", nodes, answered, last, calls)
		}
	}
}

// What a node misses counts as told 6 s after discovery had it and could be reached, whatever call failed, was refused or given up
// before. So discovery comes back at each instant of the waits, and the call that reaches it stands in line for its 2 s: the
// list is here within those 6 s. How calls end until then: turned away or reset at once, late, after 2 s in line, once, or given
// up. Fleets and customers of any figures; after the first refusal no quarter of a second has more than its part of a fleet.
func TestARefusedNodeHearsInTime(t *testing.T) {
	const told, step = 6 * time.Second, 100 * ms
	worst := time.Duration(0)
	for _, ends := range [][]time.Duration{{0}, {2 * time.Second, 2 * time.Second, 0}, {time.Second}, {6 * time.Second}, {0, 22 * time.Second, ms}} {
		for _, nodes := range []int{1, 3, 16, 80, 350} {
			for _, every := range []time.Duration{500 * ms, 10 * time.Second, time.Minute} {
				begun := map[time.Duration]int{}
				for i := range 240 {
					cfg := site()
					cfg.AskDiscovery, cfg.Instances, cfg.Rules.AskEvery = true, nodes, every
					b, _ := New(cfg, uint64(i))
					r := &rig{t: t, b: b, now: time.Hour}
					r.do(Event{Kind: MembersRemembered, Members: []Member{member(1, 0, 0)}})
					back := r.now + time.Duration(i)*step // discovery has it, and can be reached
					for call := 0; r.now <= back; call++ {
						r.now += ends[min(call, len(ends)-1)]
						s := of(SetTimer, r.do(Event{Kind: MembersRefused}))[0]
						back = max(back, r.now) // until then it did not answer
						if r.now += s.In; call == 0 {
							begun[s.In/(250*ms)]++
						}
						r.do(Event{Kind: Timer, Mark: s.Mark})
					}
					worst = max(worst, r.now+callMost-back)
				}
				for in, n := range begun {
					if nodes >= 80 && every >= 10*time.Second && n > 240/5 {
						t.Errorf("%d nodes, askEvery %v: %d of 240 come back after %v", nodes, every, n, in*250*ms)
					}
				}
			}
		}
	}
	t.Logf("%v at worst", worst)
	if worst > told {
		t.Errorf("%v at worst, %v wanted", worst, told)
	}
}

// Where the settings tell no askEvery, or next to none, a refused call is not repeated in a loop that only the refusals pace.
func TestARefusedNodeWaitsWhereNoTimeIsTold(t *testing.T) {
	for _, every := range []time.Duration{0, 1, 10 * ms} {
		cfg := site()
		cfg.AskDiscovery, cfg.Rules.AskEvery = true, every
		r := newRig(t, cfg)
		for range 20 {
			s := of(SetTimer, r.do(Event{Kind: MembersRefused}))
			if len(s) != 1 || s[0].In < 25*ms || s[0].In > rewatchMost {
				t.Fatalf("askEvery %v: %+v", every, s)
			}
			r.wait(s[0].In)
			r.do(Event{Kind: Timer, Mark: s[0].Mark})
		}
	}
}

// All hear a report; few take it at its word, or all would rush to the server that was idle then.
func TestFewTakeAReportAtItsWord(t *testing.T) {
	taken := 0
	for node := 1; node < 80; node++ {
		cfg := site()
		cfg.Instances, cfg.Index = 80, node
		b, _ := New(cfg, uint64(node))
		r := &rig{t: t, b: b, now: time.Hour}
		r.do(Event{Kind: MembersRemembered, Members: []Member{member(1, 0, 0), {Backend: 2, Name: 7}, {Backend: 3, Name: 7}}})
		r.do(Event{Kind: PeerMessage, Payload: []byte{hearsayVersion, 0, 1, 0, 0, 1, 40}})
		r.do(Event{Kind: PeerMessage, Payload: []byte{hearsayVersion, 0, 2, 0, 0, 7, 40}})
		if b.all.others != 40 || b.servers[3].told != 0 { // 3 has the name of 2, and is not spoken of
			t.Errorf("mean %v, told %v", b.all.others, b.servers[3].told)
		}
		taken += int(min(b.servers[1].told, 1))
	}
	if taken < 1 || taken > 3*takers {
		t.Errorf("%d of 79 nodes took the report at its word", taken)
	}
}

// All nodes of a fleet keep to the first servers that a lost zone gets back, where each of the others has a part of the nodes; and
// a light request needs little of a grant. Together the nodes still stay within what such a server can do.
func TestTheFirstServersOfAZoneThatIsBack(t *testing.T) {
	const nodes, servers, light, heavy = 300, 40, 50 * ms, 500 * ms
	sent, window, warm := 0, 1500*ms, 0.0
	for node := range nodes {
		cfg := site()
		cfg.Instances, cfg.Index, cfg.Tenants[0].QuotaPerSecond = nodes, node, 10*nodes
		members := make([]Member, servers)
		for i := range members {
			members[i] = member(BackendID(i+1), 0, 0)
		}
		b, _ := New(cfg, uint64(node))
		r := &rig{t: t, b: b, now: time.Hour}
		r.do(Event{Kind: MembersRemembered, Members: members})
		began, work := r.now, 0.0
		for i := range 40 {
			class, took := safe, light
			if i%20 == 0 {
				class, took = unsafe, heavy
			}
			r.serve(1, class, func(BackendID) time.Duration { return took })
			work += took.Seconds()
			r.wait(200 * ms)
		}
		warm += work / (r.now - began).Seconds() / servers
		for _, s := range r.b.ready {
			r.holds(s.Backend, 20) // the others have its traffic too
		}
		back := member(100, 1, 0)
		back.Launched = r.now - time.Second
		r.do(Event{Kind: MembersChanged, Members: []Member{back}})
		for i := range 8 {
			id := fmt.Sprint("back", i)
			for _, a := range of(Send, r.arrive(id, safe)) {
				if a.Backend == 100 {
					sent++
				}
				r.do(Event{Kind: Outcome, Request: id, Backend: a.Backend, Spent: light, NoMore: true})
			}
			r.wait(window / 8)
		}
	}
	can := coldMargin * warm * site().Rules.FallMultiple * 0.28 * window.Seconds() / light.Seconds() // by its warmth a second after the start
	if sent == 0 || float64(sent) > can {
		t.Errorf("%d requests within %v, %.0f at most", sent, window, can)
	}
}
