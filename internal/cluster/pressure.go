package cluster

// This file has who is turned away by plan in an overload of the whole fleet: package shed decides it, a ticker tells it what the others
// say and has its level stored, and each request asks the level without a lock. It works for one process alone too.

import (
	"context"
	"log/slog"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"glencart/detect"
	"glencart/internal/cluster/wire"
	"glencart/shed"
)

const (
	// rankPressure is after all others: it is taken with none of them held, and none is taken under it.
	rankPressure = rankLinks + 1
	// tallyMost is how many Tallies share the requests: one for each core that may write at once, and what a tick reads stays small.
	tallyMost = 8
	// A change of the level while somebody is shed is told once in levelLines, and the end once nobody was shed for overAfter: a level that
	// moves each second would fill the log.
	levelLines, overAfter = 10 * time.Second, 5 * time.Second
)

// Pressure is this process's part in shedding by plan. NewPressure makes it, Next gives it a file, Close ends it.
type Pressure struct {
	name string
	c    *Cluster // nil: it stands alone
	log  *slog.Logger
	born time.Time
	stop chan struct{}
	done sync.WaitGroup

	lock
	shed    *shed.Shed // nil: no plans
	gate    *Gate
	ticking bool
	closed  bool
	begun   bool                      // a level was made by what is known of the others
	turned  map[string]*atomic.Uint64 // by plan, since the process began

	// The ticker's alone:
	told     bool          // the log has a line that somebody is shed
	toldAt   time.Duration // of the last line
	shedAt   time.Duration // the last tick at which somebody was
	priority shed.Priority // of the last line
	before   uint64        // turned away until then
}

// Gate is where requests under one version of the file ask. It may be asked by any number of goroutines.
type Gate struct {
	p      *Pressure
	shed   *shed.Shed // its Tallies alone: all else is the ticker's
	ranks  []int      // by tenant, the last for none
	turned []*atomic.Uint64
	level  atomic.Pointer[shed.Level]
}

// NewPressure makes one, with no plans. c is nil where the file has no [fleet]; of a Cluster there is one Pressure at the most.
func NewPressure(name string, c *Cluster, log *slog.Logger) *Pressure {
	p := &Pressure{name: name, c: c, log: log.With("part", "shed"), born: time.Now(), stop: make(chan struct{}), turned: map[string]*atomic.Uint64{}}
	p.rank = rankPressure
	if c != nil {
		c.pressure.Store(p)
	}
	return p
}

// now is on a clock of its own: a Sum tells it, and is ordered by it.
func (p *Pressure) now() time.Duration { return time.Since(p.born) }

// Next has another version of the file count, as site.Shed words it, and returns where its requests ask; nil: it has no plans. What is under
// way by the old version ends at its own Gate, and is counted no more.
func (p *Pressure) Next(cfg shed.Config, ranks []int) *Gate {
	cfg.Name, cfg.Shards = p.name, min(tallyMost, runtime.GOMAXPROCS(0))
	p.Lock()
	defer p.Unlock()
	if len(cfg.Plans) == 0 || p.closed {
		p.shed, p.gate = nil, nil
		return nil
	}
	if p.shed == nil {
		p.shed = shed.New(cfg)
	} else {
		p.shed = p.shed.WithConfig(cfg)
	}
	g := &Gate{p: p, shed: p.shed, ranks: ranks}
	for _, plan := range cfg.Plans {
		if p.turned[plan.Name] == nil {
			p.turned[plan.Name] = &atomic.Uint64{}
		}
		g.turned = append(g.turned, p.turned[plan.Name])
	}
	g.level.Store(p.shed.Level())
	p.gate = g
	if !p.ticking {
		p.ticking = true
		p.done.Go(p.ticks)
	}
	return g
}

// Close ends it: nobody is shed from here on.
func (p *Pressure) Close() {
	if p == nil {
		return
	}
	p.Lock()
	if !p.closed {
		p.closed = true
		close(p.stop)
	}
	p.Unlock()
	p.done.Wait()
}

// Admit is asked once for a request, before the decision module has it. Its rank is filled in from its tenant. draw is chance. What is let in
// is told to Done when it ends.
func (g *Gate) Admit(a shed.Ask, draw uint64) shed.Verdict {
	if a.Tenant < 0 || a.Tenant >= len(g.ranks) {
		a.Rank = g.ranks[len(g.ranks)-1]
	} else {
		a.Rank = g.ranks[a.Tenant]
	}
	v := g.level.Load().Admit(g.p.now(), a, draw)
	o := shed.Admitted
	if !v.OK {
		o = shed.Rejected
		g.turned[a.Rank].Add(1)
	}
	g.shed.Tally(int(draw>>1)).Note(v.Mark, o, 0)
	return v
}

// Done tells how a request ended that was let in. took is for Served.
func (g *Gate) Done(m shed.Mark, o shed.Outcome, took time.Duration) {
	g.shed.Tally(int(took>>10)).Note(m, o, took)
}

// ticks has the level made and told once in shed.DefaultInterval, until there are no plans or Close.
func (p *Pressure) ticks() {
	t := time.NewTicker(shed.DefaultInterval)
	defer t.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-t.C:
		}
		var v *View
		if p.c != nil {
			v = p.c.View()
		}
		p.Lock()
		if p.shed == nil {
			p.ticking = false
			p.Unlock()
			return
		}
		now := p.now()
		p.shed.SetMembers(now, p.names(v), v != nil && (v.CutOff || v.Superseded))
		level, _ := p.shed.Tick(now)
		p.begun = true
		p.gate.level.Store(level) // unchanged too: a level holds for some ticks only
		sum := shed.AppendSum(nil, p.shed.Sum())
		turned := uint64(0)
		for _, n := range p.turned {
			turned += n.Load()
		}
		p.Unlock()
		p.say(now, level, turned)
		if v != nil && !v.Superseded {
			p.c.press(v, sum)
		}
	}
}

// names are those whose words count: who may be there. Who is away or has left serves nobody.
func (p *Pressure) names(v *View) []string {
	names := []string{p.name}
	if v == nil {
		return names
	}
	for _, m := range v.Members {
		if m.State == detect.Alive || m.State == detect.Suspect {
			names = append(names, m.Name)
		}
	}
	return names
}

// say writes the log.
func (p *Pressure) say(now time.Duration, l *shed.Level, turned uint64) {
	line := func(level slog.Level, msg string) {
		p.log.Log(context.Background(), level, msg, "cause", l.Cause, "pool", l.Pool, "rank", l.Priority.Rank()+1, "part", l.Part, "alone", l.OwnViewOnly,
			"turned", turned-p.before)
		p.told, p.toldAt, p.priority = true, now, l.Priority
	}
	switch {
	case l.Open():
		if p.told && now-p.shedAt >= overAfter {
			p.told = false
			p.log.Info("shed: over", "turned", turned-p.before)
			p.before = turned
		}
		return
	case !p.told:
		line(slog.LevelWarn, "shed: begins")
	case l.Priority != p.priority && now-p.toldAt >= levelLines:
		if l.Priority < p.priority {
			line(slog.LevelWarn, "shed: rises")
		} else {
			line(slog.LevelInfo, "shed: falls")
		}
	}
	p.shedAt = now
}

// press tells a sum to all that may be there.
func (c *Cluster) press(v *View, sum []byte) {
	b, err := wire.Encode(c.number, &wire.Packet{From: wire.FromWord(v.Self), Body: &wire.Packet_Pressure{Pressure: &wire.Pressure{Sum: sum}}})
	if err != nil || len(b) > wire.DatagramMost {
		c.counts.add(notSent)
		return
	}
	for _, m := range v.Members {
		if m.Name == v.Self.Name || m.State != detect.Alive && m.State != detect.Suspect {
			continue
		}
		if to, err := netip.ParseAddrPort(m.Addr); err == nil {
			c.sendTo(to, b)
		} else {
			c.counts.add(notSent)
		}
	}
}

// pressed takes in what another said. Its start is that of its word, which only rises, whatever its clock does between two starts.
func (c *Cluster) pressed(p *wire.Packet, from string) {
	w, ok := p.From.ToWord()
	sum, err := shed.ParseSum(p.GetPressure().GetSum())
	if !ok || err != nil {
		c.counts.drop(garbage, from)
		return
	}
	sum.Start = w.Start
	pr := c.pressure.Load()
	if pr == nil {
		return
	}
	pr.Lock()
	defer pr.Unlock()
	if pr.shed != nil {
		pr.shed.Receive(pr.now(), w.Name, sum)
	}
}

// Turned is how many requests were turned away so far, by plan, and why some are now, or why it goes by its own view alone; "": neither.
func (p *Pressure) Turned() (byPlan map[string]uint64, cause string) {
	if p == nil {
		return nil, ""
	}
	p.Lock()
	defer p.Unlock()
	byPlan = map[string]uint64{}
	for plan, n := range p.turned {
		byPlan[plan] = n.Load()
	}
	switch {
	case p.gate == nil:
	case !p.begun:
		cause = "nobody is shed: it has just begun"
	default:
		cause = p.gate.level.Load().Cause
	}
	return byPlan, cause
}
