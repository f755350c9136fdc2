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
			b.state(&b.blind, true, false, "discovery refused: asking again", "")
			// Without a subscription the node is blind to drains: it asks again, by when a change counts as told. All nodes ask
			// one discovery: they spread. Only where calls stand in line in vain is more asked than it can do: they spread further.
			least := min(max(b.cfg.Rules.AskEvery, time.Second)/rewatchParts, rewatchMost/8) // a time that is not told is no wait
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
			s.Phase = Gone // unless the full list names it, also one that this node does not keep to
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

// update takes in one line of the list. A changed start time is a new process with a new queue.
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
			b.names[m.name()] = s // of two by one name, the second is not spoken of
		}
	} else if started {
		// What was out at the old process is lost with it; its outcomes are still to come.
		s.more, s.told, s.unconfirmed, s.credit, s.since, s.served = 0, 0, 0, 0, b.now, 0
		s.time, s.fails, s.failed, s.owesAt, s.used = 0, 0, false, b.now, false
	}
	_, behind := b.declared()
	s.spent = max(s.spent, behind) // owed nothing for a time away
	s.Member = m
	if s.zone = b.zones[m.Zone]; s.zone == nil {
		s.zone = &crowd{}
		b.zones[m.Zone] = s.zone
	}
	if started {
		b.grantCold(s, true)
	}
}

// forget drops a server that is gone once nothing is out at it: ids come and go for as long as a node runs.
func (b *Balancer) forget(s *server) {
	if s.Phase == Gone && s.out == 0 && b.servers[s.Backend] == s {
		delete(b.servers, s.Backend)
		if b.names[s.name()] == s {
			delete(b.names, s.name())
		}
	}
}

// choose keeps the node to a part of the servers of each zone, drawn by hash, where its traffic is too little to see
// more of them, and each needs a connection from every node. Servers that fail are kept beside the part.
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

// reach is the part of all nodes that keep to a server of this one's zone: all of them, where the zone has few.
func (b *Balancer) reach(s *server) float64 {
	return min(1, float64(b.subsetSize)/float64(max(b.listed[s.Zone], 1)))
}

// chance is the part of a server's cost for failures that chance explains. Where one attempt in ten breaks everywhere,
// servers take turns in looking worse than a full queue: that may decide which one gets a request, not refuse it.
func (b *Balancer) chance(s *server) float64 {
	if b.allBroke < failsLow {
		return 0 // breaks are rare, and one tells
	}
	stray := deviations * math.Sqrt(b.allBroke*(1-b.allBroke)*failWeight/(2-failWeight))
	return min(max(0, s.fails-b.allFail), stray) * failAims * b.meanAim
}
