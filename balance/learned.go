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
	All, Cold                                       LearnedCrowd
	Zones                                           map[int]LearnedCrowd
	Classes                                         []LearnedClass // by number
	Servers                                         []LearnedServer
}

// LearnedCrowd is a running mean of the peer load.
type LearnedCrowd struct {
	Others, Reports float64
	At              time.Duration
}

// LearnedClass holds the base time of a class, in seconds, and the numbers of responses that it is learned from.
type LearnedClass struct{ Base, Seen, Free float64 }

// LearnedServer holds what is learned about one process of a backend.
type LearnedServer struct {
	Name                                   uint32
	Launched, ToldAt, Heard, SeenAt, Since time.Duration
	More, Told, Fails, Time, Depth, Seen   float64
	Failed, Used                           bool
}

// Learned returns what this Balancer has learned, as input of Relearn.
func (b *Balancer) Learned() Learned {
	of := func(c *crowd) LearnedCrowd { return LearnedCrowd{c.others, c.reports, c.at} }
	l := Learned{
		Part: b.admission, Gap: b.gap, PeerPace: b.peerPace, AllTime: b.allTime, AllDepth: b.allDepth, Answers: b.answers,
		Refresh: b.refresh, WarmRate: b.warmRate * b.meanBase(), Instances: b.cfg.Instances, MeanValue: b.meanValue, AllFail: b.allFail, AllBroke: b.allBroke,
		JudgedAt: b.judgedAt, All: of(&b.all), Cold: of(&b.cold), Zones: map[int]LearnedCrowd{},
	}
	for zone, c := range b.zones {
		l.Zones[zone] = of(c)
	}
	for _, c := range b.classes {
		l.Classes = append(l.Classes, LearnedClass{c.base, c.seen, c.free})
	}
	for _, s := range b.servers {
		if s.Phase == Gone {
			continue
		}
		l.Servers = append(l.Servers, LearnedServer{
			Name: s.name(), Launched: s.Launched, ToldAt: s.toldAt, Heard: s.heard, SeenAt: s.seenAt, Since: s.since,
			More: s.more, Told: s.told, Fails: s.fails, Time: s.time, Depth: s.depth, Seen: s.seen, Failed: s.failed, Used: s.used,
		})
	}
	return l
}

// isValid reports whether the values are in the range that a Balancer produces.
func (l *Learned) ok() bool {
	least := min(l.Part, l.Gap, l.PeerPace, l.AllTime, l.AllDepth, l.Answers, l.Refresh, l.WarmRate, l.MeanValue, l.AllFail, l.AllBroke)
	for _, c := range l.Classes {
		least = min(least, c.Base, c.Seen, c.Free)
	}
	for _, s := range l.Servers {
		least = min(least, s.Told, s.Fails, s.Time, s.Depth, s.Seen, 1-s.Fails)
	}
	return least >= 0 && l.Answers > 0 && max(l.WarmRate, l.PeerPace, l.AllTime, l.AllDepth) < learnedMost
}

// maxLearnedValue is above every value of a Balancer. An excessive warm rate would raise the warm-up budget.
const learnedMost = 1e4

// Relearn continues with what another Balancer of the node has learned. It has to be called before all events other than
// endpoint lists. It does nothing once this Balancer has seen a response, because its own data take precedence.
func (b *Balancer) Relearn(l Learned) {
	if b.answers > 0 || !l.ok() {
		return
	}
	of := func(c LearnedCrowd) crowd { return crowd{max(c.Others, 0), max(c.Reports, 0), min(c.At, b.now)} }
	b.admission, b.gap, b.peerPace = min(max(l.Part, admissionLeast), admissionMost), l.Gap, l.PeerPace
	b.allTime, b.allDepth, b.answers = l.AllTime, l.AllDepth, l.Answers
	b.recent.time, b.recent.depth, b.recent.usual = l.AllTime, l.AllDepth, l.PeerPace
	b.refresh, b.meanValue = l.Refresh, l.MeanValue
	b.allFail, b.allBroke, b.judgedAt = l.AllFail, l.AllBroke, min(l.JudgedAt, b.now)
	b.all, b.cold = of(l.All), of(l.Cold)
	for zone, c := range l.Zones {
		if b.zones[zone] == nil {
			b.zones[zone] = &crowd{}
		}
		*b.zones[zone] = of(c)
	}
	for i := range min(len(l.Classes), len(b.classes)) {
		b.classes[i] = classStats{l.Classes[i].Base, l.Classes[i].Seen, l.Classes[i].Free}
	}
	part := float64(max(cmp.Or(l.Instances, b.cfg.Instances), 1)) / float64(b.cfg.Instances) // two processes of a node divide its part
	b.warmRate = l.WarmRate * part / max(b.meanBase(), 1e-6)
	for _, x := range l.Servers {
		s := b.names[x.Name&nameMask]
		if s == nil || s.name() != x.Name || s.Launched != x.Launched {
			continue // not listed here, or restarted since
		}
		s.toldAt, s.heard = min(x.ToldAt, b.now), min(x.Heard, b.now) // no time lies in the future
		s.seenAt, s.since = min(x.SeenAt, b.now), min(x.Since, b.now)
		s.more, s.told, s.fails, s.time, s.depth, s.seen = x.More, x.Told, x.Fails, x.Time, x.Depth, x.Seen
		s.failed, s.used = x.Failed, x.Used
	}
	b.probes = max(b.probes, float64(len(b.servers))) // no probes as at a first start
	b.choose()
}
