package lab

import (
	"log/slog"
	"sort"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/members/follow"
	"glencart/members"
	"glencart/merge"
)

// Source is one of several that tell the list, each as it knows it.
type Source struct {
	Name      string   `toml:"name"`
	Every     Duration `toml:"every"`     // how often it tells a node, a tenth more or less; 0: 2s
	Lag       Duration `toml:"lag"`       // how old what it tells is
	Life      Duration `toml:"life"`      // of its word; 0: until it fails
	Stale     Duration `toml:"stale"`     // how long its word counts after that; 0: 72h
	Addresses bool     `toml:"addresses"` // it knows addresses only, as DNS does: no drains, no starts
	Must      bool     `toml:"must"`      // a box that it does not list is gone
}

// sourceState is what is wrong with a source.
type sourceState struct {
	down   bool
	lies   float64       // the part of the boxes that its list leaves out
	frozen time.Duration // it goes on telling what it knew then; 0: it does not
}

// view is the list as it was true from some time on.
type view struct {
	at    time.Duration
	boxes []boxView
}

type boxView struct {
	state    state
	launched time.Duration
}

// look notes what is true from now on.
func (w *world) look() {
	if len(w.s.Sources) == 0 {
		return
	}
	v := view{at: w.now}
	for _, b := range w.boxes {
		v.boxes = append(v.boxes, boxView{b.state, b.launched})
	}
	w.views = append(w.views, v)
}

// actSource has an event happen to a source.
func (w *world) actSource(e Event) {
	for i := range w.s.Sources {
		s := &w.sources[i]
		if w.s.Sources[i].Name != e.Who {
			continue
		}
		switch e.Do {
		case "source-fail":
			s.down = true
		case "source-heal":
			*s = sourceState{}
		case "source-lie":
			s.lies = e.By
		case "source-stale":
			s.frozen = w.now
		}
	}
}

// tells is what a source says now, as an event of a Merge whose clock says clock.
func (w *world) tells(i int, clock time.Duration) merge.Event {
	src, is := &w.s.Sources[i], &w.sources[i]
	if is.down {
		return merge.Event{Kind: merge.SourceFailed, Source: i}
	}
	at := w.now - time.Duration(src.Lag)
	if is.frozen > 0 {
		at = min(at, is.frozen)
	}
	n := sort.Search(len(w.views), func(k int) bool { return w.views[k].at > at })
	v := w.views[max(n-1, 0)]
	ev := merge.Event{Kind: merge.Listed, Source: i, Complete: true}
	if src.Life > 0 {
		ev.ExpiresAt = clock + time.Duration(src.Life)
	}
	ev.Entries = make([]merge.Entry, 0, len(v.boxes))
	for k := int(is.lies*float64(len(v.boxes)) + 0.5); k < len(v.boxes); k++ {
		b, x := w.boxes[k], v.boxes[k]
		if x.state == gone {
			continue
		}
		e := merge.Entry{Name: b.id, Reports: merge.Existence | merge.Address, Endpoint: members.Endpoint{Addr: "at " + b.id, Member: balance.Member{Weight: 1}}}
		if !src.Addresses {
			e.Reports, e.Endpoint.ID, e.Endpoint.Zone = merge.AllFacts, b.id, b.zone
			if x.state == draining {
				e.Endpoint.Phase = balance.Draining
			}
			if x.launched >= 0 {
				e.Launched = time.Duration(epoch.UnixNano()) + x.launched
			}
		}
		ev.Entries = append(ev.Entries, e)
	}
	return ev
}

// merged is a shipped node that learns its list from several sources, through the shipped merge.
type merged struct {
	*shipped
	most   int // so many of the sources
	member *follow.Membership
	learnt []time.Duration // by box: when this node learned that it wants nothing more; -1: it has not
	lives  int             // of the process
	absent []bool          // by box: it took no connection, and has not answered since
}

func newMerged(n *shipped, most int) (*merged, error) {
	m := &merged{shipped: n, most: most}
	n.merged = m
	if err := n.begin(); err != nil {
		return nil, err
	}
	m.follow()
	return m, nil
}

// follow begins to hear the sources.
func (m *merged) follow() {
	cfg := follow.Defaults()
	for _, s := range m.w.s.Sources[:m.most] {
		cfg.Sources = append(cfg.Sources, merge.SourceConfig{Name: s.Name, Required: s.Must, StaleGrace: time.Duration(s.Stale)})
	}
	m.member = follow.NewWithoutSources(cfg, slog.New(slog.DiscardHandler), m.e.Clock())
	m.member.Start(m.e.Clock())
	m.learnt = make([]time.Duration, len(m.w.boxes))
	for i := range m.learnt {
		m.learnt[i] = -1
	}
	m.absent = make([]bool, len(m.w.boxes))
	m.lives++
	m.e.UpdateBackends(balance.MembersAll, engine.List{Complete: true})
	for i := range m.most {
		m.hear(i, m.lives)
	}
}

// list does nothing: the sources tell.
func (m *merged) list() {}

// restart has the process end and begin anew.
func (m *merged) restart() {
	m.shipped.restart()
	m.follow()
}

// hear takes in what a source says, and will say.
func (m *merged) hear(i, life int) {
	if life != m.lives {
		return
	}
	boxes, _ := m.member.HandleDue(m.e.Clock())
	boxes = append(boxes, m.member.HandleEvent(m.e.Clock(), m.w.tells(i, m.e.Clock()))...)
	list := engine.List{}
	for _, b := range boxes {
		line := b.Endpoint
		line.Addr = line.ID
		list.Members = append(list.Members, line)
		at := &m.learnt[m.w.byID[line.ID].n]
		switch {
		case line.Phase == balance.Ready:
			*at = -1
		case *at < 0:
			*at = m.w.now
		}
	}
	if len(list.Members) > 0 {
		m.e.UpdateBackends(balance.MembersChanged, list)
	}
	wait := float64(m.w.s.Sources[i].Every) * (0.9 + 0.2*m.rng.Float64())
	m.w.after(time.Duration(wait), evFunc, 0, func() { m.hear(i, life); m.run() })
}

// met takes in how a call ended: a box that took no connection and answers is another process than before, whatever the sources
// know of it yet (as the knocks of serve find out).
func (m *merged) met(c *call) {
	was := m.absent[c.box.n]
	m.absent[c.box.n] = c.end == endNoConn || was && c.end != endServed && c.end != endError
	if !was || m.absent[c.box.n] {
		return
	}
	if now, listed := m.member.Restarted(m.e.Clock(), c.box.id); listed {
		line := now.Endpoint
		line.Addr = line.ID
		m.e.UpdateBackends(balance.MembersChanged, engine.List{Members: []engine.Member{line}})
	}
}

// toldAt is when this node learned that a box wants nothing more, by the first source that told; -1: it has not.
func (m *merged) toldAt(b *box) time.Duration { return m.learnt[b.n] }
