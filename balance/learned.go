package balance

import (
	"cmp"
	"time"
)

// Learned holds what a Balancer has learned, for another Balancer of the same node to continue with. It gives no
// permissions: pending attempts, retry budgets and warm-up budgets stay with their Balancer. Both must use the same clock.
type Learned struct {
	Part, Gap, PeerPace, AllTime, AllDepth, Answers float64
	Refresh, WarmRate, MeanValue, AllFail, AllBroke float64
	JudgedAt                                        time.Duration
	Instances                                       int // WarmRate is the part of one of them, in seconds of work a second
	All, Cold                                       LearnedPeerLoad
	Zones                                           map[int]LearnedPeerLoad
	Classes                                         []LearnedClass // by number
	Servers                                         []LearnedBackend
}

// LearnedPeerLoad is a running mean of the peer load.
type LearnedPeerLoad struct {
	Others, Reports float64
	At              time.Duration
}

// LearnedClass holds the base time of a class, in seconds, and the numbers of responses that it is learned from.
type LearnedClass struct{ Base, Seen, Free float64 }

// LearnedBackend holds what is learned about one process of a backend.
type LearnedBackend struct {
	Name                                   uint32
	Launched, ToldAt, Heard, SeenAt, Since time.Duration
	More, Told, Fails, Time, Depth, Seen   float64
	Failed, Used                           bool
}

// Learned returns what this Balancer has learned, as input of Restore.
func (b *Balancer) Learned() Learned {
	export := func(c *peerLoadMean) LearnedPeerLoad { return LearnedPeerLoad{c.mean, c.reports, c.updatedAt} }
	l := Learned{
		Part: b.admissionFactor, Gap: b.responseGap, PeerPace: b.meanServiceTime,
		AllTime: b.meanResponseTime, AllDepth: b.meanQueueMet, Answers: b.responses,
		Refresh: b.reportInterval, WarmRate: b.warmRate * b.meanBaseTime(), Instances: b.cfg.Instances,
		MeanValue: b.meanWorth, AllFail: b.meanFailureRate, AllBroke: b.meanErrorRate,
		JudgedAt: b.lastAdjustedAt, All: export(&b.allLoad), Cold: export(&b.coldLoad), Zones: map[int]LearnedPeerLoad{},
	}
	for zone, c := range b.zoneLoads {
		l.Zones[zone] = export(c)
	}
	for _, c := range b.classes {
		l.Classes = append(l.Classes, LearnedClass{c.baseTime, c.samples, c.unqueuedSamples})
	}
	for _, s := range b.backends {
		if s.Phase == Gone {
			continue
		}
		l.Servers = append(l.Servers, LearnedBackend{
			Name: s.name(), Launched: s.Launched, ToldAt: s.peerLoadAt, Heard: s.lastResponseAt, SeenAt: s.reportedAt, Since: s.listedAt,
			More: s.peerLoadOffset, Told: s.lastPeerLoad, Fails: s.failureRate, Time: s.responseTime,
			Depth: s.queueMet, Seen: s.reportedQueue, Failed: s.isFailing, Used: s.wasUsed,
		})
	}
	return l
}

// isValid reports whether the values are in the range that a Balancer produces.
func (l *Learned) isValid() bool {
	lowest := min(l.Part, l.Gap, l.PeerPace, l.AllTime, l.AllDepth, l.Answers, l.Refresh, l.WarmRate, l.MeanValue, l.AllFail, l.AllBroke)
	for _, c := range l.Classes {
		lowest = min(lowest, c.Base, c.Seen, c.Free)
	}
	for _, s := range l.Servers {
		lowest = min(lowest, s.Told, s.Fails, s.Time, s.Depth, s.Seen, 1-s.Fails)
	}
	return lowest >= 0 && l.Answers > 0 && max(l.WarmRate, l.PeerPace, l.AllTime, l.AllDepth) < maxLearnedValue
}

// maxLearnedValue is above every value of a Balancer. An excessive warm rate would raise the warm-up budget.
const maxLearnedValue = 1e4

// Restore continues with what another Balancer of the node has learned. It has to be called before all events other than
// endpoint lists. It does nothing once this Balancer has seen a response, because its own data take precedence.
func (b *Balancer) Restore(l Learned) {
	if b.responses > 0 || !l.isValid() {
		return
	}
	restore := func(c LearnedPeerLoad) peerLoadMean {
		return peerLoadMean{max(c.Others, 0), max(c.Reports, 0), min(c.At, b.now)}
	}
	b.admissionFactor, b.responseGap, b.meanServiceTime = min(max(l.Part, minAdmission), maxAdmission), l.Gap, l.PeerPace
	b.meanResponseTime, b.meanQueueMet, b.responses = l.AllTime, l.AllDepth, l.Answers
	b.recent.responseTime, b.recent.queueMet, b.recent.baseline = l.AllTime, l.AllDepth, l.PeerPace
	b.reportInterval, b.meanWorth = l.Refresh, l.MeanValue
	b.meanFailureRate, b.meanErrorRate, b.lastAdjustedAt = l.AllFail, l.AllBroke, min(l.JudgedAt, b.now)
	b.allLoad, b.coldLoad = restore(l.All), restore(l.Cold)
	for zone, c := range l.Zones {
		if b.zoneLoads[zone] == nil {
			b.zoneLoads[zone] = &peerLoadMean{}
		}
		*b.zoneLoads[zone] = restore(c)
	}
	for i := range min(len(l.Classes), len(b.classes)) {
		b.classes[i] = classStats{l.Classes[i].Base, l.Classes[i].Seen, l.Classes[i].Free}
	}
	// Two processes of a node divide its part.
	instanceRatio := float64(max(cmp.Or(l.Instances, b.cfg.Instances), 1)) / float64(b.cfg.Instances)
	b.warmRate = l.WarmRate * instanceRatio / max(b.meanBaseTime(), 1e-6)
	for _, saved := range l.Servers {
		s := b.byName[saved.Name&nameMask]
		if s == nil || s.name() != saved.Name || s.Launched != saved.Launched {
			continue // not listed here, or restarted since
		}
		s.peerLoadAt, s.lastResponseAt = min(saved.ToldAt, b.now), min(saved.Heard, b.now) // no time lies in the future
		s.reportedAt, s.listedAt = min(saved.SeenAt, b.now), min(saved.Since, b.now)
		s.peerLoadOffset, s.lastPeerLoad, s.failureRate, s.responseTime, s.queueMet, s.reportedQueue =
			saved.More, saved.Told, saved.Fails, saved.Time, saved.Depth, saved.Seen
		s.isFailing, s.wasUsed = saved.Failed, saved.Used
	}
	b.probesSent = max(b.probesSent, float64(len(b.backends))) // no probes as at a first start
	b.chooseSubset()
}
