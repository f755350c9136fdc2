package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

func (b *Balancer) onMembers(ev *Event) {
	if ev.Kind == DiscoveryFailed {
		if b.cfg.AskDiscovery {
			b.logTransition(&b.discoveryFailing, true, false, "discovery call failed: retrying", "")
			// Without a subscription the node misses drains, so it repeats the call in time for the moment at which an
			// update counts as received. All nodes call the same discovery service, so they spread their calls. Calls that
			// time out in its queue show that it is overloaded, and only then do they spread further.
			// Without AskEvery in the settings there is still a wait.
			shortest := min(max(b.cfg.Rules.AskEvery, time.Second)/watchRetryParts, maxWatchRetryInterval/8)
			longest := 2 * min(shortest*time.Duration(max(1, b.cfg.Instances/watchRetryNodes)<<min(b.failedWatches, 2)),
				max(b.cfg.Rules.AskEvery, time.Second))
			earliest := max(shortest, min(longest/8*time.Duration(min(b.failedWatches, 1)), maxWatchRetryInterval*3/4))
			if b.failedWatches > 0 && (b.now-b.watchedAt).Round(time.Second) == discoveryCallTimeout {
				b.timedOutWatches++
			}
			if b.failedWatches++; b.timedOutWatches < maxWatchTimeouts {
				longest = min(longest, maxWatchRetryInterval)
			}
			b.setTimer(earliest+time.Duration(b.rng.Float64()*float64(longest-earliest)), timer{})
		}
		return
	}
	b.discoveryFailing, b.failedWatches, b.timedOutWatches = false, 0, 0
	if ev.Kind != MembersChanged {
		for _, s := range b.backends {
			s.Phase = Gone // unless the full list has it; this includes backends outside the subset
		}
	}
	for _, m := range ev.Members {
		b.updateMember(m)
	}
	b.chooseSubset()
	for _, s := range b.backends {
		b.dropIfGone(s)
	}
	if len(b.ready) == 0 {
		b.log("no ready backend")
	}
	if ev.Kind == MembersCached && b.cfg.AskDiscovery {
		b.emit(Action{Kind: Watch})
	}
}

// updateMember applies one entry of the endpoint list. A changed start time means a new process with an empty queue.
func (b *Balancer) updateMember(m Member) {
	s := b.backends[m.Backend]
	if s == nil && m.Phase == Gone {
		return
	}
	started := s == nil || s.Launched != m.Launched
	if s == nil {
		s = &backend{peerLoadAt: b.now, listedAt: b.now, rank: rand.NewPCG(uint64(m.Backend), uint64(b.cfg.Index)).Uint64()}
		b.backends[m.Backend] = s
		b.ranked, b.needsSort = append(b.ranked, s), true
		if other := b.byName[m.name()]; other == nil || other.Phase == Gone {
			b.byName[m.name()] = s // of two with one name, peers report only the first
		}
	} else if started {
		// Attempts pending at the old process are lost with it. Their outcomes are still to come.
		s.peerLoadOffset, s.lastPeerLoad, s.unconfirmed, s.warmUpBudget, s.listedAt, s.servedWork = 0, 0, 0, 0, b.now, 0
		s.responseTime, s.failureRate, s.isFailing, s.silentSince, s.wasUsed = 0, 0, false, b.now, false
	}
	_, minSends := b.declaredShares()
	s.weightedSends = max(s.weightedSends, minSends) // no catching up after an absence
	s.Member = m
	if s.zoneLoad = b.zoneLoads[m.Zone]; s.zoneLoad == nil {
		s.zoneLoad = &peerLoadMean{}
		b.zoneLoads[m.Zone] = s.zoneLoad
	}
	if started {
		b.refillWarmUpBudget(s, true)
	}
}

// isProcessOf reports whether what was sent at a time went to the process that is listed now. The outcome of an attempt or a probe at the
// process before it shows nothing of this one.
func (s *backend) isProcessOf(sentAt time.Duration) bool { return sentAt >= s.listedAt }

// dropIfGone removes a backend that is gone once no attempt is pending there. Otherwise a node would keep every id that it
// has ever seen.
func (b *Balancer) dropIfGone(s *backend) {
	if s.Phase == Gone && s.inFlight == 0 && b.backends[s.Backend] == s {
		delete(b.backends, s.Backend)
		if b.byName[s.name()] == s {
			delete(b.byName, s.name())
		}
	}
}

// chooseSubset limits the node to a subset of the backends of each zone, chosen by hash. Its traffic is too low to estimate
// more of them, and each one would need a connection from every node. Failing backends don't count in the subset.
func (b *Balancer) chooseSubset() {
	if b.needsSort {
		slices.SortFunc(b.ranked, func(x, y *backend) int { return cmp.Compare(x.rank, y.rank) })
	}
	b.ranked = slices.DeleteFunc(b.ranked, func(s *backend) bool { return s.Phase == Gone && s.inFlight == 0 })
	b.ready, b.listedByZone, b.needsSort, b.needsSubset = b.ready[:0], map[int]int{}, false, false
	for _, s := range b.ranked {
		if s.Phase == Ready && !s.isFailing {
			b.listedByZone[s.Zone]++
		}
		if s.Phase == Ready && b.listedByZone[s.Zone] <= b.subsetSize {
			b.ready = append(b.ready, s)
		}
	}
	slices.SortFunc(b.ready, func(x, y *backend) int { return cmp.Compare(x.Backend, y.Backend) })
}

// subsetShare returns the part of all nodes that have a backend in their subset. It is 1 in a zone with few backends.
func (b *Balancer) subsetShare(s *backend) float64 {
	return min(1, float64(b.subsetSize)/float64(max(b.listedByZone[s.Zone], 1)))
}

// failureNoise returns the part of a backend's failure cost that chance explains. Where one attempt in ten breaks at all
// backends, each of them looks worse than a full queue at times. That may decide which backend gets a request, but it is no
// reason to reject the request.
func (b *Balancer) failureNoise(s *backend) float64 {
	if b.meanErrorRate < lowFailureRate {
		return 0 // broken attempts are rare, so one of them counts
	}
	deviation := noiseDeviations * math.Sqrt(b.meanErrorRate*(1-b.meanErrorRate)*failureSampleWeight/(2-failureSampleWeight))
	return min(max(0, s.failureRate-b.meanFailureRate), deviation) * failureCostAims * b.meanAim
}
