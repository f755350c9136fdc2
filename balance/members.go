package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

func (b *Balancer) onMembers(ev *Event) {
	if ev.Kind == MembersRefused {
		if b.cfg.AskDiscovery {
			b.state(&b.blind, true, false, "discovery call failed: retrying", "")
			// Without a subscription the node misses drains, so it repeats the call in time for the moment at which an
			// update counts as received. All nodes call the same discovery service, so they spread their calls. Calls that
			// time out in its queue show that it is overloaded, and only then do they spread further.
			least := min(max(b.cfg.Rules.AskEvery, time.Second)/rewatchParts, rewatchMost/8) // a missing AskEvery must not mean no wait
			span := 2 * min(least*time.Duration(max(1, b.cfg.Instances/rewatchNodes)<<min(b.refusals, 2)), max(b.cfg.Rules.AskEvery, time.Second))
			from := max(least, min(span/8*time.Duration(min(b.refusals, 1)), rewatchMost*3/4))
			if b.refusals > 0 && (b.now-b.watchedAt).Round(time.Second) == callMost {
				b.vain++
			}
			if b.refusals++; b.vain < vainMost {
				span = min(span, rewatchMost)
			}
			b.setTimer(from+time.Duration(b.rng.Float64()*float64(span-from)), timer{})
		}
		return
	}
	b.blind, b.refusals, b.vain = false, 0, 0
	if ev.Kind != MembersChanged {
		for _, s := range b.servers {
			s.Phase = Gone // unless the full list has it; this includes backends outside the subset
		}
	}
	for _, m := range ev.Members {
		b.update(m)
	}
	b.choose()
	for _, s := range b.servers {
		b.forget(s)
	}
	if len(b.ready) == 0 {
		b.log("no ready backend")
	}
	if ev.Kind == MembersRemembered && b.cfg.AskDiscovery {
		b.do(Action{Kind: Watch})
	}
}

// updateMember applies one entry of the endpoint list. A changed start time means a new process with an empty queue.
func (b *Balancer) update(m Member) {
	s := b.servers[m.Backend]
	if s == nil && m.Phase == Gone {
		return
	}
	started := s == nil || s.Launched != m.Launched
	if s == nil {
		s = &server{toldAt: b.now, since: b.now, rank: rand.NewPCG(uint64(m.Backend), uint64(b.cfg.Index)).Uint64()}
		b.servers[m.Backend] = s
		b.ranked, b.unsorted = append(b.ranked, s), true
		if o := b.names[m.name()]; o == nil || o.Phase == Gone {
			b.names[m.name()] = s // of two with one name, peers report only the first
		}
	} else if started {
		// Attempts pending at the old process are lost with it. Their outcomes are still to come.
		s.more, s.told, s.unconfirmed, s.credit, s.since, s.served = 0, 0, 0, 0, b.now, 0
		s.time, s.fails, s.failed, s.owesAt, s.used = 0, 0, false, b.now, false
	}
	_, behind := b.declared()
	s.spent = max(s.spent, behind) // no catching up after an absence
	s.Member = m
	if s.zone = b.zones[m.Zone]; s.zone == nil {
		s.zone = &crowd{}
		b.zones[m.Zone] = s.zone
	}
	if started {
		b.grantCold(s, true)
	}
}

// dropIfGone removes a backend that is gone once no attempt is pending there. Otherwise a node would keep every id that it
// has ever seen.
func (b *Balancer) forget(s *server) {
	if s.Phase == Gone && s.out == 0 && b.servers[s.Backend] == s {
		delete(b.servers, s.Backend)
		if b.names[s.name()] == s {
			delete(b.names, s.name())
		}
	}
}

// chooseSubset limits the node to a subset of the backends of each zone, chosen by hash. Its traffic is too low to estimate
// more of them, and each one would need a connection from every node. Failing backends don't count in the subset.
func (b *Balancer) choose() {
	if b.unsorted {
		slices.SortFunc(b.ranked, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
	}
	b.ranked = slices.DeleteFunc(b.ranked, func(s *server) bool { return s.Phase == Gone && s.out == 0 })
	b.ready, b.listed, b.unsorted, b.outdated = b.ready[:0], map[int]int{}, false, false
	for _, s := range b.ranked {
		if s.Phase == Ready && !s.failed {
			b.listed[s.Zone]++
		}
		if s.Phase == Ready && b.listed[s.Zone] <= b.subsetSize {
			b.ready = append(b.ready, s)
		}
	}
	slices.SortFunc(b.ready, func(x, y *server) int { return cmp.Compare(x.Backend, y.Backend) })
}

// subsetShare returns the part of all nodes that have a backend in their subset. It is 1 in a zone with few backends.
func (b *Balancer) reach(s *server) float64 {
	return min(1, float64(b.subsetSize)/float64(max(b.listed[s.Zone], 1)))
}

// failureNoise returns the part of a backend's failure cost that chance explains. Where one attempt in ten breaks at all
// backends, each of them looks worse than a full queue at times. That may decide which backend gets a request, but it is no
// reason to reject the request.
func (b *Balancer) chance(s *server) float64 {
	if b.allBroke < failsLow {
		return 0 // broken attempts are rare, so one of them counts
	}
	stray := deviations * math.Sqrt(b.allBroke*(1-b.allBroke)*failWeight/(2-failWeight))
	return min(max(0, s.fails-b.allFail), stray) * failAims * b.meanAim
}
