package httpfront

// This file has requests ask whether they are let in, where the file has plans, and tells how they ended.

import (
	"errors"
	"math/rand/v2"
	"time"

	"glencart/internal/cluster"
	"glencart/internal/engine"
	"glencart/internal/site"
	"glencart/shed"
)

// errTurned: the request is turned away by its plan. Nothing of it went anywhere.
var errTurned = errors.New("turned away by plan")

// signWithin is how long ago a pool's last answer may be for a refusal to be for lack of room. Beyond it, and the aim of the request, its
// boxes are down rather than full: that says nothing of how much they can do.
const signWithin = 2 * time.Second

// openPressure has this process take its part in shedding by plan, among others where it has any.
func (v *Server) openPressure(s *site.Site) {
	name, c := s.Node.Name, (*cluster.Cluster)(nil)
	if v.others != nil {
		name, c = s.Fleet.Name, v.others.Cluster
	}
	v.pressure = cluster.NewPressure(name, c, v.log)
	v.gen.Load().gate = v.pressure.Next(s.Shed())
}

// shedding is what a request knows of it; its zero value: no plans.
type shedding struct {
	mark  shed.Mark
	began time.Time     // it was let in, and has been read as far as is held
	took  time.Duration // until the head of its answer
	end   shed.Outcome
}

// letIn asks, once for a request, whether it goes to the decision module. Where not, it comes back with when to come again.
func (c *visit) letIn(r *engine.Request) (in time.Duration, ok bool) {
	g := c.gen.gate
	if g == nil {
		return 0, true
	}
	k := &c.gen.site.Classes[r.Class]
	v := g.Admit(shed.Ask{Worth: k.Worth, Unsafe: k.Effect != "safe", Tenant: r.Tenant, Pool: c.tg.Pool}, rand.Uint64())
	c.shed = shedding{mark: v.Mark, end: shed.Failed}
	return v.RetryIn, v.OK
}

// turn answers a request that is not let in. Its body is read for a while: what stands unread could take the answer with it.
func (c *visit) turn(in time.Duration) {
	c.log.pool = c.tg.Pool
	c.refuse(in, true)
	c.log.end = "shed"
	if c.hr.ContentLength != 0 && c.hr.Header.Get("Expect") == "" {
		c.drain()
	}
}

// goes notes that it goes to the decision module.
func (c *visit) goes() {
	if c.gen.gate != nil {
		c.shed.began = time.Now()
	}
}

// served notes that a box's answer begins. Where a body streams, it is not known how long the box took.
func (c *visit) served(r *engine.Request, m *message) {
	if c.gen.gate == nil {
		return
	}
	c.tg.pool.noteAnswer()
	aim := time.Duration(c.gen.site.Classes[r.Class].Aim)
	switch c.shed.end, c.shed.took = shed.Served, time.Since(c.shed.began); {
	case m.rest != nil:
		c.shed.took = min(c.shed.took, aim)
	case c.shed.took > aim:
		c.shed.end = shed.Late
	}
}

// unserved notes how the decision module has ended a request.
func (c *visit) unserved(r *engine.Request, m *message, a engine.Answer) {
	if c.gen.gate == nil {
		return
	}
	sign := max(signWithin, time.Duration(c.gen.site.Classes[r.Class].Aim))
	full := m.full.Load() || a.Kind == engine.Refused && m.attempts.Load() == 0
	switch {
	case a.Late:
		c.shed.end = shed.Late
	case full && c.tg.pool.answeredWithin(sign):
		c.shed.end = shed.Refused
	}
}

// noted tells how a request ended that was let in.
func (c *visit) noted() {
	if c.gen.gate == nil {
		return
	}
	c.gen.gate.Done(c.shed.mark, c.shed.end, c.shed.took)
}

// noteAnswer takes in that a box has answered now.
func (p *pool) noteAnswer() {
	now := time.Now()
	p.answered.Store(&now)
}

// answeredWithin tells whether a box has answered within so long.
func (p *pool) answeredWithin(d time.Duration) bool {
	at := p.answered.Load()
	return at != nil && time.Since(*at) < d
}
