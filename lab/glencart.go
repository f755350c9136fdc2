package lab

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/members/registry/pace"
)

// drainGrace after news of its drain nothing may begin at a box.
const drainGrace = 500 * time.Millisecond

// shipped is a node that runs the shipped decisions: package balance under the engine, as the daemon and the plug-in do.
type shipped struct {
	w     *world
	i     int
	zone  int
	cfg   balance.Config
	rng   *rand.Rand
	e     *engine.Engine
	life  int
	armed time.Duration // when the next timer event comes; -1: none
	open  map[*ask]struct{}

	merged *merged // nil: there is one list for all
}

// attempt is what a call of a shipped node stands for.
type attempt struct {
	a    *engine.Attempt
	life int
}

// Glencart is the shipped policy. change, if any, may alter what the module is told.
func Glencart(change func(*balance.Config)) Policy {
	return glencart("glencart", change, pace.AgentTerms(drainGrace, pace.MaxAgentCalls), func(s *Scenario) int { return len(s.Sources) })
}

// OneSource is the shipped policy with the first source of a scenario alone.
func OneSource() Policy {
	return glencart("glencart-one", nil, pace.AgentTerms(drainGrace, pace.MaxAgentCalls), func(s *Scenario) int { return min(len(s.Sources), 1) })
}

// RareCalls is the shipped policy calling its agent as it does a registry that many share, and as it did any before.
func RareCalls() Policy {
	return glencart("glencart-rare-calls", nil, pace.SharedTerms(), func(s *Scenario) int { return len(s.Sources) })
}

// glencart is the shipped policy with so many of the sources, or an agent that it calls on these terms.
func glencart(name string, change func(*balance.Config), terms pace.Terms, sources func(*Scenario) int) Policy {
	return Policy{Name: name, make: func(w *world, i int, rng *rand.Rand) (node, error) {
		n := &shipped{w: w, i: i, zone: i % w.s.Zones, rng: rng, cfg: config(w.s, i), open: map[*ask]struct{}{}}
		if change != nil {
			change(&n.cfg)
		}
		if most := sources(w.s); most > 0 {
			return newMerged(n, most)
		}
		if w.s.Network.Agent {
			return newCalling(n, terms)
		}
		return n, n.begin()
	}}
}

// config is what the settings of a scenario would tell a node.
func config(s *Scenario, i int) balance.Config {
	g := &s.Boxes[0]
	cfg := balance.Config{
		Index: i, Instances: s.Nodes, Zone: i % s.Zones, ClientsMarkRepeats: true, Reports: balance.InlineReports, Columns: balance.HasActive,
		Limits: balance.Limits{Cancelling: true, Probing: true, RetryAfter: true, MaxAttempts: 3, MaxRetryAfter: 2 * time.Second,
			ConnectTimeout: time.Second},
		Prices: balance.Prices{Probe: 0.02, CrossZone: 0.01},
		Rules:  balance.Rules{DrainGrace: drainGrace},
		Goal:   balance.Goal{Whole: 1},
	}
	for i := range s.Boxes { // the rules of cold boxes are told for all alike: the strictest
		if s.Boxes[i].Fall > 0 && (g.Fall == 0 || s.Boxes[i].Warm > g.Warm) {
			g = &s.Boxes[i]
		}
	}
	cfg.Rules.ColdShare, cfg.Rules.WarmWithin = g.ColdShare, time.Duration(g.Warm)
	cfg.Rules.FallMultiple, cfg.Rules.OverloadFor = g.Fall, time.Duration(g.FallFor)
	for _, c := range s.Classes {
		e := balance.Unsafe
		if c.Effect == "safe" {
			e = balance.Safe
		}
		cfg.Classes = append(cfg.Classes, balance.Class{Aim: time.Duration(c.Aim), Deadline: time.Duration(c.Deadline), Effect: e,
			LateWorth: lateWorth, Points: c.Points})
	}
	total := 0.0
	for _, k := range s.Tenants {
		total += k.Share
	}
	for _, k := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{QuotaPerSecond: k.Share, Share: k.Share / total})
		cfg.OverShareWorth = overShare
	}
	return cfg
}

func (n *shipped) begin() error {
	bal, err := balance.New(n.cfg, n.rng.Uint64())
	if err != nil {
		return err
	}
	n.life++
	n.armed = -1
	n.e = engine.New(engine.Config{Balancer: bal, Transport: n, Now: func() time.Time { return epoch.Add(n.w.now) }})
	return nil
}

func (n *shipped) arrive(q *ask) {
	r := &engine.Request{ID: q.id, Class: q.class, Tenant: q.tenant, Repeat: q.tries > 0, Deadline: epoch.Add(q.until), Message: q}
	r.OnAnswer = func(a engine.Answer) {
		delete(n.open, q)
		switch a.Kind {
		case engine.Served:
			n.w.answered(q, served, 0)
		case engine.Refused:
			n.w.answered(q, refused, a.RetryAfter)
		default:
			n.w.answered(q, failed, 0)
		}
	}
	q.req = r
	n.open[q] = struct{}{}
	n.e.Arrive(r)
}

// run has the engine do what was posted and what is due, and arms its next timer.
func (n *shipped) run() {
	n.e.Step()
	at, ok := n.e.Next()
	if !ok {
		return
	}
	due := n.w.now + at - n.e.Clock()
	if n.armed < 0 || due < n.armed {
		n.armed = due
		n.w.after(due-n.w.now, evTimer, int64(n.life), n)
	}
}

func (n *shipped) fired(life int64) {
	if int(life) == n.life {
		if n.armed <= n.w.now {
			n.armed = -1
		}
		n.run()
	}
}

// list has the engine take the list. Nodes share the slice: none changes it.
func (n *shipped) list() {
	w := n.w
	if w.membersAt != w.now || w.members == nil {
		w.members, w.membersAt = nil, w.now
		for _, b := range w.boxes {
			m := engine.Member{ID: b.id, Addr: b.id, Member: balance.Member{Zone: b.zone, Weight: 1}}
			switch b.state {
			case draining:
				m.Phase = balance.Draining
			case gone:
				continue
			}
			if b.launched >= 0 {
				m.Launched = time.Duration(epoch.UnixNano()) + b.launched
			}
			w.members = append(w.members, m)
		}
	}
	n.e.UpdateBackends(balance.MembersAll, engine.List{Complete: true, Revision: int64(w.now) + 1, Members: w.members})
}

// restart has the process end, with what it has open, and begin anew.
func (n *shipped) restart() {
	lost := make([]*ask, 0, len(n.open))
	for q := range n.open {
		lost = append(lost, q)
	}
	slices.SortFunc(lost, func(x, y *ask) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.id, y.id)) })
	clear(n.open)
	if err := n.begin(); err != nil {
		panic(err) // it began once with the same
	}
	for _, q := range lost {
		n.w.answered(q, failed, 0)
	}
}

// Send, PreventWrite, Cancel, Probe and CloseIdle make the node its engine's transport.
func (n *shipped) Send(a *engine.Attempt) {
	q := a.Request.Message.(*ask)
	c := &call{from: n, q: q, box: n.w.byID[a.To.ID], deadline: a.Deadline.Sub(epoch), ref: &attempt{a, n.life}}
	a.State = c
	n.w.launch(c, n.zone)
}

// PreventWrite keeps a call from its first byte.
func (n *shipped) PreventWrite(a *engine.Attempt) bool {
	c := a.State.(*call)
	c.barred = c.barred || !c.begun
	return c.barred
}

// Cancel closes a call: what runs of it runs on.
func (n *shipped) Cancel(a *engine.Attempt) { a.State.(*call).left = true }

// CloseIdle has nothing to drop.
func (n *shipped) CloseIdle(engine.Endpoint) {}

// Probe asks a box for its load.
func (n *shipped) Probe(to engine.Endpoint, told func(engine.Result)) {
	w, b, life := n.w, n.w.byID[to.ID], n.life
	w.res.Probes++
	tell := func(in time.Duration, res engine.Result) {
		w.after(in, evFunc, 0, func() {
			if life == n.life {
				told(res)
				n.run()
			}
		})
	}
	if w.cut(n.zone, b.zone) {
		tell(150*time.Millisecond, engine.Result{Status: balance.Expired})
		return
	}
	w.after(w.way(), evFunc, 0, func() {
		switch {
		case !b.up:
			tell(w.way(), engine.Result{Status: balance.DialFailed})
		case b.hung:
			tell(150*time.Millisecond, engine.Result{Status: balance.Expired})
		default:
			tell(w.way(), engine.Result{Status: balance.Delivered, Load: load(float64(b.busy+len(b.waiting)) * b.lie)})
		}
	})
}

func load(held float64) balance.Load {
	return balance.Load{Has: balance.HasActive, Active: float64(int(held))}
}

func (n *shipped) told(c *call) {
	at := c.ref.(*attempt)
	if at.life != n.life || c.left {
		return
	}
	res := engine.Result{Status: [...]balance.Status{endServed: balance.Delivered, endError: balance.AppError, endFull: balance.Shed,
		endDrains: balance.Shed, endNoConn: balance.DialFailed, endBroken: balance.Dropped, endUnsent: balance.Unused, endSilent: balance.Expired}[c.end]}
	if c.end == endServed || c.end == endError {
		res.Load = load(float64(c.held))
	}
	at.a.Done(res)
	if n.merged != nil {
		n.merged.met(c)
	}
	n.run()
}
