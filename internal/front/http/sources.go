package httpfront

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"time"

	"glencart/balance"
	"glencart/check"
	"glencart/internal/engine"
	sources "glencart/internal/members"
	"glencart/internal/members/checks"
	"glencart/internal/members/discovery"
	"glencart/internal/members/dnssrv"
	"glencart/internal/members/file"
	"glencart/internal/members/kept"
	"glencart/internal/settings"
	"glencart/internal/site"
	"glencart/lookup"
	"glencart/members"
	"glencart/merge"
	"glencart/reserve"
)

const (
	// guardPart is the part of a pool that may go at once, guardWindow how long at once is.
	guardPart, guardWindow, guardHold = 0.5, 10 * time.Second, time.Minute
	// firstWithin is how long after the start a source's first list names boxes that have been at work.
	firstWithin = 10 * time.Second
	// drainFor is how long a drain counts that its source has forgotten, while others still list the box.
	drainFor = 5 * time.Minute
	// keepLong is how long what was kept on disk counts: while nobody is heard, there is nothing better.
	keepLong = 10 * 365 * 24 * time.Hour
	// keepEvery bounds how often a list is written to disk.
	keepEvery = time.Second
)

// Membership is the sources of one pool and the Merge that they feed.
type Membership struct {
	Merge   *merge.Merge
	Names   []string // of the sources, by rank
	running []sources.Source
	checker *checks.Checker // nil: boxes are not asked
	first   []merge.Event   // what is known at the start
	folder  string
	pool    string
	log     *slog.Logger
}

// NewMembership makes the sources of a pool. Nothing is asked yet.
func NewMembership(s *site.Site, p *site.Pool, log *slog.Logger, now time.Duration) (*Membership, error) {
	m := &Membership{folder: s.Node.Keep, pool: p.Name, log: log}
	cfg := merge.Config{GuardPart: guardPart, GuardWindow: guardWindow, GuardHold: p.GuardHold.Or(guardHold), PanicPart: 0.5, DrainFor: drainFor}
	if p.Guard != nil {
		cfg.GuardPart = *p.Guard
	}
	if cfg.GuardPart == 1 {
		cfg.GuardPart = 0 // off
	}
	add := func(c merge.SourceConfig, run sources.Source) {
		cfg.Sources = append(cfg.Sources, c)
		m.running = append(m.running, run)
		m.Names = append(m.Names, c.Name)
	}
	if len(p.Boxes) > 0 {
		add(merge.SourceConfig{Name: site.StaticSource}, nil)
	}
	for i := range p.Sources {
		src := &p.Sources[i]
		c := merge.SourceConfig{Name: src.Name, Must: src.Must, Keep: time.Duration(src.Stale)}
		for _, f := range src.Trust {
			c.Trust |= 1 << slices.Index(site.Facts, f)
		}
		log := log.With("source", src.Name)
		switch {
		case src.DNS != "":
			run, err := dnssrv.New(dnssrv.Config{Servers: src.Resolvers, ResolvConf: src.ResolvConf, Log: log, Config: lookup.Config{Name: src.DNS,
				Floor: time.Duration(src.Floor), Ceiling: time.Duration(src.Ceiling), Timeout: time.Duration(src.Timeout)}})
			if err != nil {
				return nil, fmt.Errorf("pool %q: %w", p.Name, err)
			}
			add(c, run)
		case src.File != "":
			add(c, file.New(src.File, log))
		default:
			add(c, discovery.New(src.Registry, settings.Settings{}, log))
		}
	}
	if m.folder != "" {
		if err := os.MkdirAll(m.folder, 0o700); err != nil {
			return nil, fmt.Errorf("node.keep: %w", err)
		}
		l, err := kept.Read(m.folder, p.Name)
		if err != nil {
			log.Warn("no list from before", "error", err)
		}
		if l != nil {
			log.Info("begins with the list from before, as old word", "boxes", len(l.Boxes), "age", time.Since(l.At).Round(time.Second))
			m.first = append(m.first, merge.Event{Kind: merge.Listed, Source: len(m.Names), Entries: l.Entries(now)})
		}
		add(merge.SourceConfig{Name: site.KeptSource, Keep: keepLong}, nil)
	}
	m.Merge = merge.NewMerge(cfg, now)
	if len(p.Boxes) > 0 {
		m.first = append([]merge.Event{m.Static(p.Boxes)}, m.first...)
	}
	return m, nil
}

// check has the boxes of the pool asked whether they are well, over the pool's own TLS if it has one.
func (m *Membership) check(c *site.Check, over *tls.Config) {
	cfg := checks.Config{Config: check.Config{Every: time.Duration(c.Every), Rise: c.Rise, Fall: c.Fall},
		Path: c.HTTP, Host: c.Host, Status: c.Status, Timeout: time.Duration(c.Timeout), TLS: over}
	switch {
	case c.HTTP != "":
		cfg.Kind = checks.HTTP
	case c.GRPC != nil:
		cfg.Kind, cfg.Service = checks.GRPC, *c.GRPC
	}
	m.checker = checks.New(cfg)
}

// Static words the boxes of the file as a list of the first source.
func (m *Membership) Static(boxes []site.Box) merge.Event {
	ev := merge.Event{Kind: merge.Listed, Complete: true, Decided: true} // the operator's own hand: the guard has no say
	for _, b := range boxes {
		if b.State == "down" {
			continue
		}
		e := merge.Entry{Name: b.ID, Knows: merge.AllFacts &^ (merge.Zone | merge.Start), Line: members.Line{ID: b.ID, Addr: b.Address,
			Member: balance.Member{Weight: b.Weight}}}
		if b.State == "draining" {
			e.Line.Phase = balance.Draining
		}
		if b.Backup {
			e.Tier = 1
		}
		ev.Entries = append(ev.Entries, e)
	}
	return ev
}

// Run runs the sources until ctx ends. told takes what each tells; it is called from several goroutines.
func (m *Membership) Run(ctx context.Context, start func(func()), told func(source int, t sources.Told)) {
	for i, src := range m.running {
		if src != nil {
			start(func() { src.Run(ctx, func(t sources.Told) { told(i, t) }) })
		}
	}
}

// First is what is known before any source has told anything, as events.
func (m *Membership) First() []merge.Event { return m.first }

// Keep writes the list down, as it stands.
func (m *Membership) Keep(views []merge.View) {
	l := kept.List{Pool: m.pool, At: time.Now(), Sources: m.Names}
	for _, v := range views {
		if v.Line.Phase == balance.Gone {
			continue
		}
		b := kept.Box{ID: v.ID, Named: v.Named, Address: v.Addr, Draining: v.Line.Phase == balance.Draining, Tier: v.Tier, Weight: v.Line.Member.Weight,
			Zone: v.Line.Zone, Cell: v.Cell, Kind: v.Kind, Launched: v.Launched, Rule: merge.Rules[v.Rule].Name, Note: v.Note, Differs: v.Disagree()}
		for _, s := range v.Says {
			b.Says = append(b.Says, s.Vote.String())
		}
		l.Boxes = append(l.Boxes, b)
	}
	if err := kept.Write(m.folder, l); err != nil {
		m.log.Error("list not kept: a start with all sources down goes by an older one", "error", err)
	}
}

// follow has a pool learn its boxes from several sources.
func (q *pool) follow(m *Membership) {
	q.member, q.merged, q.since, q.heard = m, map[string]merge.Change{}, map[string]time.Duration{}, map[int]bool{}
	q.from = q.loop.Clock()
	for _, ev := range m.First() {
		q.hear(ev)
	}
	if len(q.merged) == 0 {
		q.loop.TakeList(balance.MembersAll, engine.List{Complete: true})
	}
	q.begun = true
	m.Run(q.ctx, func(f func()) { q.wg.Go(f) }, func(source int, t sources.Told) {
		q.loop.Post(func() { q.hear(t.Event(source, q.loop.Clock())) })
	})
	q.wg.Go(q.pass)
	if m.checker != nil {
		q.wg.Go(func() {
			m.checker.Run(q.ctx, func(v check.Verdict) {
				q.log.Warn("check of a box", "box", v.Box, "well", v.Up, "said", v.Why)
				q.loop.Post(func() {
					if q.merged[v.Box].Addr == v.Addr { // else it is another box by now
						q.hear(merge.Event{Kind: merge.Checked, Box: v.Box, Up: v.Up})
					}
				})
			})
		})
	}
}

// hear takes in one event of the membership. On the loop.
func (q *pool) hear(ev merge.Event) {
	now := q.loop.Clock()
	changes := q.member.Merge.Handle(now, ev, q.changes[:0])
	q.changes = changes
	for _, line := range q.member.Merge.Log() {
		q.log.Warn(line)
	}
	if len(changes) == 0 {
		return
	}
	// A pool that begins finds its boxes at work, and so does each source whose first list comes soon: later, after an outage say,
	// a box that nobody has named may have started in the meantime.
	fresh := !q.begun
	if ev.Kind == merge.Listed && !q.heard[ev.Source] {
		q.heard[ev.Source], fresh = true, fresh || now-q.from < firstWithin
	}
	turned := false
	var moved []string
	for _, c := range changes {
		old, had := q.merged[c.ID]
		if c.Line.Phase == balance.Gone {
			delete(q.merged, c.ID)
			delete(q.since, c.ID)
			delete(q.backup, c.ID)
			turned = q.spare.Remove(c.ID) || turned
			if q.member.checker != nil {
				q.member.checker.Remove(c.ID)
			}
			continue
		}
		if q.member.checker != nil {
			q.member.checker.Set(c.ID, c.Addr)
		}
		if !had && !fresh || had && old.Addr != c.Addr {
			if had {
				moved = append(moved, c.ID)
			}
			q.since[c.ID] = now // it starts now, as far as anybody says
			q.spare.Restarted(c.ID)
		}
		q.merged[c.ID] = c
		q.backup[c.ID] = c.Tier > 0
		turned = q.spare.Set(reserve.Box{ID: c.ID, Backup: c.Tier > 0, Ready: c.Line.Phase == balance.Ready}) || turned
	}
	if turned {
		q.log.Info("backup boxes", "in use", q.spare.On())
		q.pushAll(q.all()) // backups come or go
	} else {
		q.push(changes)
	}
	q.keepSoon()
	for _, id := range moved { // what checks said was of what stood there before
		q.hear(merge.Event{Kind: merge.Checked, Box: id, Up: true})
	}
}

// push tells the engine of boxes that have changed. On the loop.
func (q *pool) push(changes []merge.Change) {
	list := engine.List{Members: make([]engine.Member, 0, len(changes))}
	for _, c := range changes {
		list.Members = append(list.Members, q.line(c))
	}
	q.loop.TakeList(balance.MembersChanged, list)
}

// pushAll tells it of all boxes.
func (q *pool) pushAll(all []merge.Change) {
	list := engine.List{Complete: true, Members: make([]engine.Member, 0, len(all))}
	for _, c := range all {
		list.Members = append(list.Members, q.line(c))
	}
	q.loop.TakeList(balance.MembersAll, list)
}

// all is every box of a pool with sources, by id.
func (q *pool) all() []merge.Change {
	return slices.SortedFunc(maps.Values(q.merged), func(x, y merge.Change) int { return cmp.Compare(x.ID, y.ID) })
}

// line is a box as the engine is to have it.
func (q *pool) line(c merge.Change) engine.Member {
	m := c.Line
	m.Launched = max(m.Launched, q.since[c.ID])
	if c.Tier > 0 && !q.spare.On() && m.Phase == balance.Ready {
		m.Phase = balance.Draining
	}
	return m
}

// pass tells the membership that time has passed, whenever something is due.
func (q *pool) pass() {
	for {
		next := make(chan time.Duration, 1)
		if !q.loop.Post(func() {
			if at, some := q.member.Merge.Next(); some && at <= q.loop.Clock() {
				q.hear(merge.Event{Kind: merge.Ticked})
			}
			wait := time.Second // lists that come meanwhile may have shorter lifetimes
			if at, some := q.member.Merge.Next(); some {
				wait = min(wait, max(at-q.loop.Clock(), time.Millisecond))
			}
			next <- wait
		}) {
			return
		}
		select {
		case <-q.ctx.Done():
			return
		case wait := <-next:
			select {
			case <-q.ctx.Done():
				return
			case <-time.After(wait):
			}
		}
	}
}

// keepSoon has the list written down in a while. On the loop.
func (q *pool) keepSoon() {
	if q.member.folder == "" || q.keeping {
		return
	}
	q.keeping = true
	q.wg.Go(func() {
		select {
		case <-q.ctx.Done():
		case <-time.After(keepEvery):
		}
		views := make(chan []merge.View, 1)
		if q.loop.Post(func() {
			q.keeping = false
			views <- q.member.Merge.Views()
		}) {
			select {
			case v := <-views:
				q.member.Keep(v)
			case <-q.loop.Done():
			}
		}
	})
}
