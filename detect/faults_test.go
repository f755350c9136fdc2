package detect

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checkInvariants checks at each change that the start number of a member never goes back, and that no process reports a living
// one dead unless excused allows it. It also bounds the size of datagrams.
func (s *sim) checkInvariants(t *testing.T, excused func(at *simNode, of *simNode) bool) {
	starts := map[*simNode]map[string]uint64{}
	processes := map[*simNode]int{}
	s.onAction = func(at *simNode, a Action) {
		if a.Kind == Send && a.Message.Kind != Pull && a.Message.bytes() > 1200 {
			t.Errorf("seed %d, %s: a datagram has %d bytes", s.seed, s.now, a.Message.bytes())
		}
		if a.Kind != Changed {
			return
		}
		if processes[at] != at.process || starts[at] == nil {
			starts[at], processes[at] = map[string]uint64{}, at.process
		}
		if a.Update.State == Forgotten {
			delete(starts[at], a.Update.Name)
			return
		}
		if a.Update.Start < starts[at][a.Update.Name] {
			t.Errorf("seed %d, %s: %s: an old start of %s replaced a later one", s.seed, s.now, at.name, a.Update.Name)
		}
		starts[at][a.Update.Name] = a.Update.Start
		of := s.byAddr[a.Update.Addr]
		if a.Update.State == Dead && of.up && of.d().Self().ID == a.Update.ID && !excused(at, of) {
			t.Errorf("seed %d, %s: %s reports %s dead, which is alive: %s", s.seed, s.now, at.name, of.name, a.Cause)
		}
	}
}

func excuseNone(*simNode, *simNode) bool { return false }

// runSeeds runs f with consecutive seeds, each in its own subtest.
func runSeeds(t *testing.T, n uint64, f func(t *testing.T, seed uint64)) {
	for seed := range n {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { t.Parallel(); f(t, seed) })
	}
}

// Guards against false deaths. Messages are lost, late, duplicated and reordered, processes pause for less than the suspicion
// timeout, and links fail in one direction. All members must find the killed process dead, and no other.
func TestReachableMemberIsNeverReportedDead(t *testing.T) {
	runSeeds(t, 24, func(t *testing.T, seed uint64) {
		s := newSim(seed)
		s.checkInvariants(t, excuseNone)
		n := 5 + int(seed)%16
		s.fleet(n, newDetectFunc(nil))
		if s.until(30*time.Second, time.Second, s.hasOneView) < 0 {
			t.Fatal("the members do not reach one view")
		}
		s.loss, s.duplicated, s.delay = float64(seed%4)*0.08, 0.02, time.Duration(1+seed%3*40)*time.Millisecond
		s.run(s.now + 5*time.Second)
		from, to := s.rng.IntN(n), s.rng.IntN(n)
		for range 20 {
			s.cut = map[link]bool{{s.nodes[from].name, s.nodes[to].name}: true}
			if i := s.rng.IntN(n); s.nodes[i].up {
				s.pause(s.nodes[i], time.Duration(s.rng.Int64N(int64(4*time.Second))))
			}
			s.run(s.now + time.Duration(s.rng.Int64N(int64(20*time.Second))))
		}
		killed := s.nodes[s.rng.IntN(n)]
		s.crash(killed)
		s.cut, s.loss = map[link]bool{}, s.loss/2
		s.run(s.now + 40*time.Second)
		for _, at := range s.nodes {
			if at.up && at.d().members[killed.name].State != Dead {
				t.Errorf("%s was killed 40 s ago, and its state at %s is %s", killed.name, at.name, at.d().members[killed.name].State)
			}
		}
	})
}

// Guards against views that stay different after a partition with restarts and crashes on each side. Once the partition ends,
// the sides must reach one view by themselves, and no old start number may return.
func TestPartitionHealsToOneView(t *testing.T) {
	runSeeds(t, 24, func(t *testing.T, seed uint64) {
		s := newSim(seed)
		s.checkInvariants(t, func(*simNode, *simNode) bool { return s.cutFunc != nil })
		n := 3 + int(seed)
		s.fleet(n, newDetectFunc(nil))
		if s.until(30*time.Second, time.Second, s.hasOneView) < 0 {
			t.Fatal("the members do not reach one view")
		}
		side := map[*simNode]int{}
		for _, at := range s.nodes {
			side[at] = s.rng.IntN(2 + int(seed%2))
		}
		s.cutFunc = func(a, b *simNode) bool { return side[a] != side[b] }
		s.run(s.now + time.Duration(5+s.rng.IntN(300))*time.Second)
		restarted := s.nodes[s.rng.IntN(n)]
		s.crash(restarted)
		s.start(restarted.name, newDetectFunc(nil), "a", "b", "c")
		if n > 5 {
			s.crash(s.nodes[s.rng.IntN(n)])
		}
		s.run(s.now + time.Duration(s.rng.IntN(60))*time.Second)
		s.cutFunc, s.loss = nil, float64(seed%3)*0.05
		healedAt := s.now
		s.checkInvariants(t, func(at, of *simNode) bool { return s.now-healedAt < 2*time.Minute })
		took := s.until(2*time.Minute, time.Second, s.hasOneView)
		if took < 0 {
			for _, at := range s.nodes {
				t.Log(at.name, at.up, at.view())
			}
			t.Fatalf("seed %d: the views differ two minutes after the partition", seed)
		}
		t.Logf("%d members: one view after %s", n, took)
		s.loss = 0
		s.run(s.now + 3*time.Minute)
		if !s.hasOneView() {
			t.Error("the views differ again later")
		}
	})
}

// Guards against overloaded seeds and false suspicions when three hundred processes start at once with three seeds. All must
// list all within seconds.
func TestThreeHundredJoinAtOnce(t *testing.T) {
	s := newSim(1)
	s.checkInvariants(t, excuseNone)
	check := s.onAction
	messages := map[string]int{}
	streams := map[string]int{}
	s.onAction = func(at *simNode, a Action) {
		check(at, a)
		switch {
		case a.Kind == Send && s.now < time.Second:
			messages[a.Addr]++
		case a.Kind == Exchange && s.now < time.Second:
			streams[a.Addr]++
		case a.Kind == Changed && a.Update.State == Suspect:
			t.Errorf("%s: %s suspects %s: %s", s.now, at.name, a.Update.Name, a.Cause)
		}
	}
	s.fleet(300, newDetectFunc(nil))
	took := s.until(30*time.Second, 100*time.Millisecond, s.hasOneView)
	if took < 0 || took > 10*time.Second {
		t.Errorf("all members know all after %s", took)
	}
	maxMessages, maxStreams := 0, 0
	for _, a := range sortedKeys(messages) {
		maxMessages = max(maxMessages, messages[a])
	}
	for _, a := range sortedKeys(streams) {
		maxStreams = max(maxStreams, streams[a])
	}
	t.Logf("all members know all after %s; at most %d messages and %d exchanges to one member in the first second; %d bytes for each member",
		took, maxMessages, maxStreams,
		s.bytes/300)
	if maxMessages > 1500 || maxStreams > 60 {
		t.Errorf("one member receives %d messages and %d exchanges in the first second", maxMessages, maxStreams)
	}
	for _, n := range s.nodes {
		if n.size != 300 {
			t.Errorf("%s reports a size of %d", n.name, n.size)
		}
	}
}

// Guards against effects of delayed and duplicated messages. Messages of the last minutes, some from earlier processes, arrive
// again in any order, and the view must not change.
func TestOldAndRepeatedMessagesChangeNothing(t *testing.T) {
	runSeeds(t, 6, func(t *testing.T, seed uint64) {
		s := newSim(seed)
		s.checkInvariants(t, excuseNone)
		check := s.onAction
		var recorded []Action
		s.onAction = func(at *simNode, a Action) {
			check(at, a)
			if (a.Kind == Send || a.Kind == Exchange) && s.rng.IntN(4) == 0 {
				recorded = append(recorded, a)
			}
		}
		s.fleet(7, newDetectFunc(nil))
		s.run(20 * time.Second)
		s.crash(s.nodes[6])
		s.run(s.now + 20*time.Second)
		s.start("g", newDetectFunc(nil), "a", "b")
		s.run(s.now + 20*time.Second)
		s.crash(s.nodes[5])
		s.run(s.now + 20*time.Second)
		old := slices.Clone(recorded)
		for _, i := range s.rng.Perm(len(old)) {
			a := old[i]
			if to := s.byAddr[a.Addr]; to.up {
				s.handle(to, Event{Kind: Received, From: s.nodes[s.rng.IntN(7)].addr, Message: a.Message})
			}
			if i%10 == 0 {
				s.run(s.now + 10*time.Millisecond)
			}
		}
		s.run(s.now + 15*time.Second)
		if !s.hasOneView() {
			t.Error("the views differ")
		}
		if w := s.nodes[0].d().members["f"]; w.State != Dead {
			t.Errorf("old updates changed the dead member to %s", w.State)
		}
	})
}

// Guards against hidden sources of randomness: the same events and seed must give the same actions.
func TestSameSeedSameActions(t *testing.T) {
	sum := func() uint64 {
		h := fnv.New64a()
		s := newSim(5)
		s.onAction = func(at *simNode, a Action) { fmt.Fprint(h, s.now, at.name, a) }
		s.loss = 0.2
		s.fleet(12, newDetectFunc(nil))
		s.run(20 * time.Second)
		s.cut = map[link]bool{{"a", "b"}: true, {"c", "a"}: true}
		s.run(60 * time.Second)
		s.crash(s.nodes[3])
		s.pause(s.nodes[4], 8*time.Second)
		s.run(120 * time.Second)
		return h.Sum64()
	}
	if a, b := sum(), sum(); a != b {
		t.Error("two runs with one seed differ")
	}
}

// Guards against memory growth and panics when a peer sends arbitrary updates without end.
func TestMemoryIsBounded(t *testing.T) {
	d := New(Config{Name: "self", Start: 1 << 40, Addr: "self:1", MaxMembers: 200, MaxLinks: 50})
	now := time.Duration(0)
	d.Handle(now, Event{Kind: Start}, nil)
	rng := rand.New(rand.NewPCG(1, 1))
	randomUpdate := func() Update {
		return Update{ID: ID{fmt.Sprint("m", rng.IntN(400)), uint64(1 + rng.IntN(3))}, Inc: uint32(rng.IntN(4)), State: State(rng.IntN(7)),
			Addr: fmt.Sprint("m:", rng.IntN(400)), By: fmt.Sprint("m", rng.IntN(400)), Until: time.Duration(rng.Int64N(int64(time.Hour)))}
	}
	var out []Action
	for range 30_000 {
		m := Message{Kind: Kind(rng.IntN(9)), Seq: uint32(rng.IntN(50)), From: randomUpdate(), About: randomUpdate().ID}
		for range rng.IntN(5) {
			m.Updates = append(m.Updates, randomUpdate())
			m.Links = append(m.Links, LinkUpdate{From: fmt.Sprint("m", rng.IntN(400)), To: fmt.Sprint("m", rng.IntN(400)), Seq: rng.Uint32N(100), Deaf: rng.IntN(2) == 0})
		}
		now += time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
		out = d.Handle(now, Event{Kind: Received, From: "m:1", Message: m}, out[:0])
		if len(d.members) > 200 || len(d.ring) != len(d.members) || len(d.links.stored) > 50 || len(d.links.queued) > 50 || len(d.relays) > maxRelays ||
			len(d.unverified) > 400 || len(d.linkChecks) > maxLinkChecks || len(d.broadcasts.entries) > 200 || len(d.timers) > 200 {
			t.Fatalf("state is not bounded: %d members, %d link updates, %d unverified deaths, %d queued updates",
				len(d.members), len(d.links.stored), len(d.unverified), len(d.broadcasts.entries))
		}
		present := 0
		for i, m := range d.ring {
			if m.ringIndex != i || d.members[m.Name] != m {
				t.Fatal("the probe list and the member map differ")
			}
			if m.State.isPresent() {
				present++
			}
		}
		if present != d.presentCount {
			t.Fatalf("%d members are present, and %d are counted", present, d.presentCount)
		}
	}
}
