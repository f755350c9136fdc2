package glencartgrpc

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
)

const (
	// cutOffAfter is how long a list may be silent. A watch answers every 2 s at the latest, with nothing new too.
	cutOffAfter = 8 * time.Second
	// drainHold is how long a backend's own word that it drains holds against a list that calls it ready: longer than
	// lists are late. After that the next call finds out; what a draining backend turns away has not run.
	drainHold = 30 * time.Second
	// lookEvery is the time between two looks at the age of the list.
	lookEvery = 500 * time.Millisecond
	// countFor is how long a backend's count of instances holds.
	countFor = 30 * time.Second
	// startSlack is how much a start time by a backend's own word may differ from the list's: clocks and rounding.
	startSlack = 2 * time.Second
)

// trust is what a plug-in believes of the backends: the list, corrected by what the backends say themselves. Its
// fields belong to the engine's loop, but for those that are atomic.
//
// The rules: a backend that says it drains drains, whatever the list says, until the list says something new of it or
// drainHold is over. One that says it has started later than the list knows has. A plug-in that has heard nothing for
// CutOffAfter is cut off: it keeps the list, but every connection that comes up from then on is taken to be one to a
// backend that has just started, since a restart would not have been told.
type trust struct {
	p       *Plugin
	members map[string]*believed
	cut     atomic.Bool
	heardAt atomic.Int64 // engine's clock
	counts  [2]int       // the largest count of instances in this span and the one before
	spanAt  time.Duration
	said    atomic.Int64 // the last count that was posted
	news    chan []engine.Endpoint
}

// believed is one backend.
type believed struct {
	listed  engine.Member
	drains  time.Duration // when it said that it drains; 0: it has not
	started time.Duration // its start as found out here, if that is later than the list's
}

func newTrust(p *Plugin) *trust {
	t := &trust{p: p, members: map[string]*believed{}, news: make(chan []engine.Endpoint, 1)}
	t.heardAt.Store(int64(p.engine.Clock()))
	return t
}

// heard takes in a list or changes to one, also an empty one. Any goroutine may call it.
func (t *trust) heard(list engine.List) {
	t.heardAt.Store(int64(t.p.engine.Clock()))
	t.p.engine.Post(func() { t.take(list) })
}

func (t *trust) take(list engine.List) {
	if t.cut.Swap(false) {
		t.p.cfg.Log.Info("the list is heard again")
	}
	kind := balance.MembersChanged
	if list.Complete {
		kind = balance.MembersAll
		named := make(map[string]bool, len(list.Members))
		for _, m := range list.Members {
			named[m.ID] = true
		}
		for id := range t.members {
			if !named[id] {
				delete(t.members, id)
			}
		}
	}
	said := engine.List{Revision: list.Revision, Complete: list.Complete, Members: make([]engine.Member, 0, len(list.Members))}
	for _, m := range list.Members {
		b := t.members[m.ID]
		if b == nil || b.listed.Launched != m.Launched || b.listed.Addr != m.Addr {
			b = &believed{}
		}
		b.listed = m
		if m.Phase != balance.Ready {
			b.drains = 0 // both say so, or it is gone
		}
		if m.Phase == balance.Gone {
			delete(t.members, m.ID)
		} else {
			t.members[m.ID] = b
		}
		said.Members = append(said.Members, b.member())
	}
	if list.Complete || len(said.Members) > 0 {
		t.p.engine.UpdateBackends(kind, said)
		t.publish()
	}
}

// member is the line for the engine.
func (b *believed) member() engine.Member {
	m := b.listed
	if b.drains > 0 && m.Phase == balance.Ready {
		m.Phase = balance.Draining
	}
	m.Launched = max(m.Launched, b.started)
	return m
}

// change tells the engine of one backend of which more is known than the list says.
func (t *trust) change(b *believed) {
	t.p.engine.UpdateBackends(balance.MembersChanged, engine.List{Members: []engine.Member{b.member()}})
	t.publish()
}

// publish has the connections follow: there is one to each backend that may be sent to.
func (t *trust) publish() {
	to := make([]engine.Endpoint, 0, len(t.members))
	for id, b := range t.members {
		if m := b.member(); m.Phase == balance.Ready {
			to = append(to, engine.Endpoint{ID: id, Addr: m.Addr, Launched: m.Launched})
		}
	}
	t.p.mute.Range(func(ep, _ any) bool { // what is gone is forgotten
		if b := t.members[ep.(engine.Endpoint).ID]; b == nil || b.listed.Addr != ep.(engine.Endpoint).Addr {
			t.p.mute.Delete(ep)
		}
		return true
	})
	slices.SortFunc(to, func(x, y engine.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	select {
	case <-t.news: // not taken yet, and old
	default:
	}
	t.news <- to
}

// drained takes in a backend's own word that it drains.
func (t *trust) drained(to engine.Endpoint) {
	b := t.members[to.ID]
	if b == nil || b.listed.Addr != to.Addr || b.drains > 0 || b.listed.Phase != balance.Ready || b.member().Launched != to.Launched {
		return
	}
	b.drains = t.p.engine.Clock()
	t.p.cfg.Log.Info("backend says that it drains", "id", to.ID)
	t.change(b)
}

// startedAt takes in that a backend has started, by its own word or by a connection that came up while cut off.
func (t *trust) startedAt(to engine.Endpoint, at time.Duration, why string) {
	b := t.members[to.ID]
	if b == nil || b.listed.Addr != to.Addr || at <= b.member().Launched+startSlack {
		return
	}
	b.started = at
	t.p.cfg.Log.Info("backend has started, which the list does not say", "id", to.ID, "why", why)
	t.change(b)
}

// linked takes in that a connection has come up. Any goroutine may call it.
func (t *trust) linked(to engine.Endpoint) {
	if t.cut.Load() {
		t.p.engine.Post(func() { t.startedAt(to, t.p.engine.Clock(), "connected while cut off") })
	}
}

// counted takes in how many instances a backend has counted. Any goroutine may call it.
func (t *trust) counted(n int) {
	if n <= 0 || int64(n) == t.said.Swap(int64(n)) {
		return
	}
	t.p.engine.Post(func() {
		t.counts[0] = max(t.counts[0], n)
		t.divide()
	})
}

// divide has the Balancer divide by the number of instances: the operator's bound, or what was counted if that is
// more. Too many only makes a cold backend warm up later; too few would push it over.
func (t *trust) divide() {
	n := max(t.p.names.Config.Instances, t.counts[0], t.counts[1])
	if n == t.p.instances {
		return
	}
	if n > t.p.names.Config.Instances {
		t.p.cfg.Log.Warn("backends count more instances than Config.Instances says", "counted", n, "said", t.p.names.Config.Instances)
	}
	t.p.instances = n
	t.p.engine.Handle(balance.Event{Kind: balance.InstancesChanged, Instances: n})
}

// look is done every lookEvery, on the loop.
func (t *trust) look() {
	now := t.p.engine.Clock()
	if silent := now - time.Duration(t.heardAt.Load()); silent > t.p.cfg.CutOffAfter && t.p.cfg.Discovery != "" && !t.cut.Swap(true) {
		t.p.cfg.Log.Warn("cut off: the list has not been heard; backends' own word holds", "for", silent)
	}
	for _, b := range t.members {
		if b.drains > 0 && now-b.drains > drainHold {
			b.drains = 0
			t.change(b)
		}
	}
	if now-t.spanAt > countFor {
		t.counts = [2]int{0, t.counts[0]}
		t.spanAt = now
		t.said.Store(0)
		t.divide()
	}
}

// run follows the list's age, and hands endpoints on to the ClientConns, until ctx ends.
func (t *trust) run(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-t.news:
			t.p.publish(to)
		case <-tick.C:
			t.p.engine.Post(t.look)
		}
	}
}
