package balance

import (
	"fmt"
	"testing"
	"time"
)

// Nodes that lose discovery together, and repeat their calls faster than it serves them, keep it busy with calls that time
// out, so that no call ever succeeds. In this test discovery has 20 s of work at first and serves ten calls a second. It
// rejects a call that would wait for more than three time-outs of 2 s. A call that waits longer than one time-out fails,
// and discovery still does its work.
func TestFleetDoesNotOverloadDiscovery(t *testing.T) {
	const tick, work, callTimeout = 10 * ms, 100 * ms, 2 * time.Second
	for nodes, within := range map[int]time.Duration{1: 25 * time.Second, 2: 25 * time.Second, 5: 25 * time.Second, 80: time.Minute} {
		freeAt, lastAt, calls, answered := 20*time.Second, time.Duration(0), 0, 0
		due := map[time.Duration][]func(){}
		for i := range nodes {
			cfg := testConfig()
			cfg.AskDiscovery, cfg.Instances, cfg.Index = true, nodes, i
			b, _ := New(cfg, uint64(i))
			r := &rig{t: t, b: b}
			var ask func()
			at := func(in time.Duration, f func()) {
				when := r.now + in.Truncate(tick) + tick
				due[when] = append(due[when], func() { r.now = when; f() })
			}
			refused := func() {
				s := ofKind(SetTimer, r.do(Event{Kind: DiscoveryFailed}))[0]
				at(s.In, func() { r.do(Event{Kind: Timer, TimerID: s.TimerID}); ask() })
			}
			ask = func() {
				if calls++; len(ofKind(Watch, r.last)) != 1 {
					t.Fatalf("%d nodes: no call to discovery: %+v", nodes, r.last)
				}
				if freeAt = max(freeAt, r.now); freeAt-r.now > 3*callTimeout {
					at(0, refused)
					return
				}
				if freeAt += work; freeAt-r.now > callTimeout {
					at(callTimeout, refused)
					return
				}
				at(freeAt-r.now, func() { answered++; lastAt = r.now })
			}
			r.do(Event{Kind: MembersCached, Members: []Member{member(1, 0, 0)}})
			due[0] = append(due[0], ask)
		}
		for now := time.Duration(0); now <= 2*time.Minute; now += tick {
			for k := 0; k < len(due[now]); k++ {
				due[now][k]()
			}
		}
		if answered != nodes || lastAt > within || calls > 12*nodes {
			t.Errorf("%d nodes: %d have a list, the last after %v, %d calls", nodes, answered, lastAt, calls)
		}
	}
}

// An update counts as received 6 s after discovery has it and can be reached, whichever calls failed before. So in this
// test discovery recovers at each moment of a retry interval, and the successful call still takes its 2 s: the list has to
// arrive within 6 s. Failed calls end at once, late, after a time-out of 2 s, or when given up. After the first failure,
// the calls of a large fleet must be spread over time. This has to hold for any size of the fleet and any askEvery.
func TestUpdateArrivesInTimeAfterFailedCalls(t *testing.T) {
	const maxDelay, step = 6 * time.Second, 100 * ms
	worst := time.Duration(0)
	for _, failAfter := range [][]time.Duration{{0}, {2 * time.Second, 2 * time.Second, 0}, {time.Second}, {6 * time.Second},
		{0, 22 * time.Second, ms}} {
		for _, nodes := range []int{1, 3, 16, 80, 350} {
			for _, askEvery := range []time.Duration{500 * ms, 10 * time.Second, time.Minute} {
				callsByDelay := map[time.Duration]int{}
				for i := range 240 {
					cfg := testConfig()
					cfg.AskDiscovery, cfg.Instances, cfg.Rules.AskEvery = true, nodes, askEvery
					b, _ := New(cfg, uint64(i))
					r := &rig{t: t, b: b, now: time.Hour}
					r.do(Event{Kind: MembersCached, Members: []Member{member(1, 0, 0)}})
					recoveredAt := r.now + time.Duration(i)*step // from now on discovery has the update and can be reached
					for call := 0; r.now <= recoveredAt; call++ {
						r.now += failAfter[min(call, len(failAfter)-1)]
						s := ofKind(SetTimer, r.do(Event{Kind: DiscoveryFailed}))[0]
						recoveredAt = max(recoveredAt, r.now) // this call still failed, so discovery recovers later
						if r.now += s.In; call == 0 {
							callsByDelay[s.In/(250*ms)]++
						}
						r.do(Event{Kind: Timer, TimerID: s.TimerID})
					}
					worst = max(worst, r.now+discoveryCallTimeout-recoveredAt)
				}
				for in, n := range callsByDelay {
					if nodes >= 80 && askEvery >= 10*time.Second && n > 240/5 {
						t.Errorf("%d nodes, askEvery %v: %d of 240 repeat the call after %v", nodes, askEvery, n, in*250*ms)
					}
				}
			}
		}
	}
	t.Logf("%v at worst", worst)
	if worst > maxDelay {
		t.Errorf("%v at worst, %v wanted", worst, maxDelay)
	}
}

// Without askEvery in the settings, or with a tiny one, failed calls must not be repeated in a tight loop.
func TestFailedCallsAreSpacedWithoutAskEvery(t *testing.T) {
	for _, askEvery := range []time.Duration{0, 1, 10 * ms} {
		cfg := testConfig()
		cfg.AskDiscovery, cfg.Rules.AskEvery = true, askEvery
		r := newRig(t, cfg)
		for range 20 {
			s := ofKind(SetTimer, r.do(Event{Kind: DiscoveryFailed}))
			if len(s) != 1 || s[0].In < 25*ms || s[0].In > maxWatchRetryInterval {
				t.Fatalf("askEvery %v: %+v", askEvery, s)
			}
			r.wait(s[0].In)
			r.do(Event{Kind: Timer, TimerID: s[0].TimerID})
		}
	}
}

// All nodes receive a forwarded report, but only a few may use it like their own probe. Otherwise all would send to the
// backend that was idle then.
func TestFewNodesUseForwardedReportAsTheirOwn(t *testing.T) {
	adopted := 0
	for node := 1; node < 80; node++ {
		cfg := testConfig()
		cfg.Instances, cfg.Index = 80, node
		b, _ := New(cfg, uint64(node))
		r := &rig{t: t, b: b, now: time.Hour}
		r.do(Event{Kind: MembersCached, Members: []Member{member(1, 0, 0), {Backend: 2, Name: 7}, {Backend: 3, Name: 7}}})
		r.do(Event{Kind: PeerMessage, Payload: []byte{peerReportVersion, 0, 1, 0, 0, 1, 40}})
		r.do(Event{Kind: PeerMessage, Payload: []byte{peerReportVersion, 0, 2, 0, 0, 7, 40}})
		if b.allLoad.mean != 40 || b.backends[3].lastPeerLoad != 0 { // 3 has the name of 2, so no report refers to it
			t.Errorf("mean %v, peer load %v", b.allLoad.mean, b.backends[3].lastPeerLoad)
		}
		adopted += int(min(b.backends[1].lastPeerLoad, 1))
	}
	if adopted < 1 || adopted > 3*meanAdopters {
		t.Errorf("%d of 79 nodes used the report like their own", adopted)
	}
}

// The first backends of a zone that returns are in the subset of all nodes, while other backends are in that of only a part
// of them. Light requests need little budget. All nodes together must still not overload such a backend.
func TestFirstBackendsOfReturningZoneAreNotOverloaded(t *testing.T) {
	const nodes, servers, light, heavy = 300, 40, 50 * ms, 500 * ms
	sent, window, warmRate := 0, 1500*ms, 0.0
	for node := range nodes {
		cfg := testConfig()
		cfg.Instances, cfg.Index, cfg.Tenants[0].QuotaPerSecond = nodes, node, 10*nodes
		members := make([]Member, servers)
		for i := range members {
			members[i] = member(BackendID(i+1), 0, 0)
		}
		b, _ := New(cfg, uint64(node))
		r := &rig{t: t, b: b, now: time.Hour}
		r.do(Event{Kind: MembersCached, Members: members})
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
		warmRate += work / (r.now - began).Seconds() / servers
		for _, s := range r.b.ready {
			r.setPeerLoad(s.Backend, 20) // from the other nodes
		}
		returned := member(100, 1, 0)
		returned.Launched = r.now - time.Second
		r.do(Event{Kind: MembersChanged, Members: []Member{returned}})
		for i := range 8 {
			id := fmt.Sprint("back", i)
			for _, a := range ofKind(Send, r.arrive(id, safe)) {
				if a.Backend == 100 {
					sent++
				}
				r.do(Event{Kind: Outcome, Request: id, Backend: a.Backend, Elapsed: light, RequestEnded: true})
			}
			r.wait(window / 8)
		}
	}
	// 0.28 is its capacity a second after the start.
	capacity := warmUpBudgetFraction * warmRate * testConfig().Rules.FallMultiple * 0.28 * window.Seconds() / light.Seconds()
	if sent == 0 || float64(sent) > capacity {
		t.Errorf("%d requests within %v, %.0f at most", sent, window, capacity)
	}
}
