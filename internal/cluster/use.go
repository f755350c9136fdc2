package cluster

// This file counts what tenants use and has it told to others each second.

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"glencart/detect"
	"glencart/internal/cluster/wire"
	"glencart/schema"
	"glencart/share"
)

// Tenant counts the use of one tenant at this process. Its methods take no lock and allocate nothing.
type Tenant struct {
	name       string
	limit      share.Limit
	asked, let atomic.Uint64
	work       atomic.Uint64 // microseconds
	told       [3]uint64     // what of them the table has, for the goroutine that tends
}

// Ask counts a request; let: it was not refused for its tenant's sake.
func (t *Tenant) Ask(let bool) {
	if t == nil {
		return
	}
	t.asked.Add(1)
	if let {
		t.let.Add(1)
	}
}

// Spend counts box time.
func (t *Tenant) Spend(d time.Duration) {
	if t != nil && d > 0 {
		t.work.Add(uint64(d.Microseconds()))
	}
}

// Tenants has the use of tenants counted from now on, each with its limit over all instances. Those that were known keep their counts.
func (c *Cluster) Tenants(limits map[string]share.Limit) map[string]*Tenant {
	old, list := *c.shared.tenants.Load(), []*Tenant{}
	out := map[string]*Tenant{}
	for _, t := range old {
		if l, ok := limits[t.name]; ok && l == t.limit {
			out[t.name] = t
			list = append(list, t)
		}
	}
	for name, l := range limits {
		if out[name] == nil {
			out[name] = &Tenant{name: name, limit: l}
			list = append(list, out[name])
		}
	}
	c.shared.tenants.Store(&list)
	return out
}

// Used is what all instances together know of their tenants' use. It never changes.
type Used struct {
	Tenants map[string]TenantUse
}

// TenantUse is one tenant's.
type TenantUse struct {
	Total     share.Count // of the last ten seconds
	Allowance share.Allowance
}

// Used returns what is known now, at most a second old. It takes no lock.
func (c *Cluster) Used() *Used { return c.shared.used.Load() }

// tendEvery is how often use is told and marks are looked through; compareEvery how many such rounds are between two comparisons.
const (
	tendEvery    = time.Second
	compareEvery = 3
)

// tend has all done that is done by the clock, and when somebody comes or goes.
func (c *Cluster) tend(ctx context.Context) {
	t := time.NewTicker(tendEvery)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-c.shared.moved:
			c.owners()
			continue
		case <-t.C:
		}
		c.owners()
		c.round()
		if n%compareEvery == 0 {
			c.compareWithOne()
		}
	}
}

// round ticks the shards, tells use, and tells marks again that somebody lacks.
func (c *Cluster) round() {
	s, now, v := &c.shared, c.instant(), c.View()
	seen := share.View{Self: s.self, N: v.Size, IsCutOff: v.CutOff || v.Superseded}
	var to []Member
	s.ages.Lock()
	for _, m := range v.Members {
		if m.Name == s.self.Name || m.State == detect.Left {
			continue
		}
		seen.Members = append(seen.Members, s.ages.Seen(now, share.Member{Name: m.Name, Start: m.Start}))
		if m.State != detect.Dead {
			to = append(to, m)
		}
	}
	beat := s.ages.Beat(now)
	s.ages.Unlock()

	used := &Used{Tenants: map[string]TenantUse{}}
	var own []schema.Record
	var marks []share.OutgoingRecord
	tenants := map[*shard][]*Tenant{}
	for _, t := range *s.tenants.Load() {
		sh := s.ofTenant(t.name)
		tenants[sh] = append(tenants[sh], t)
	}
	for i := range s.shards {
		sh := &s.shards[i]
		sh.Lock()
		sh.sessions.Tick(now)
		marks = sh.sessions.Unacked(now, marks)
		sh.use.Tick(now)
		sh.use.View(now, seen)
		for _, t := range tenants[sh] {
			sh.use.SetLimit(now, t.name, t.limit)
			is := [3]uint64{t.asked.Load(), t.let.Load(), t.work.Load()}
			if is != t.told {
				sh.use.CountRequests(now, t.name, "", is[0]-t.told[0], is[1]-t.told[1])
				sh.use.CountWork(now, t.name, "", float64(is[2]-t.told[2])/1e6)
				t.told = is
			}
			used.Tenants[t.name] = TenantUse{sh.use.Total(now, t.name, ""), sh.use.Allowance(now, t.name)}
		}
		own = sh.use.Own(now, own)
		sh.Unlock()
	}
	c.logRoom(now)
	s.used.Store(used)
	for _, m := range to {
		c.tellUse(m, append(own, beat))
	}
	for _, m := range marks {
		c.tellMark(m)
	}
}

// logRoom logs when the memory of sessions is full, and when it no longer is.
func (c *Cluster) logRoom(now share.Now) {
	s := &c.shared
	isFull := s.memory.IsFull(now)
	if isFull == s.wasFull {
		return
	}
	s.wasFull = isFull
	t := c.told()
	figures := []any{"memory", t.Memory, "limit", t.MemoryLimit, "sessions", t.Sessions, "calls", t.Calls, "no_room", t.NoRoom, "over_share", t.OverShare,
		"refused", t.Refused, "unprotected", t.Unprotected, "answers_not_kept", t.AnswersNotKept}
	if isFull {
		c.log.Warn("fleet: no room for sessions", figures...)
	} else {
		c.log.Info("fleet: room for sessions again", figures...)
	}
}

// tellUse tells a member records of use, in datagrams.
func (c *Cluster) tellUse(m Member, records []schema.Record) {
	p := &wire.Records{}
	room := wire.DatagramMost - datagramRoom
	send := func() {
		c.sendPacket(m.Addr, &wire.Packet{ToStart: m.Start, Body: &wire.Packet_Records{Records: p}})
		p, room = &wire.Records{}, wire.DatagramMost-datagramRoom
	}
	for _, r := range records {
		for _, part := range share.Split(nil, r, (wire.DatagramMost-datagramRoom)/2) {
			b := c.encode(part, m.Name)
			if len(b)+4 > room && len(p.List) > 0 {
				send()
			}
			if b != nil {
				p.List, room = append(p.List, b), room-len(b)-4
			}
		}
	}
	if len(p.List) > 0 {
		send()
	}
}

// sendPacket sends a Packet by datagram, if it has room in one.
func (c *Cluster) sendPacket(addr string, p *wire.Packet) {
	p.From = wire.FromWord(c.View().Self)
	b, err := wire.Encode(c.number, p)
	to, bad := netip.ParseAddrPort(addr)
	if err != nil || bad != nil || len(b) > wire.DatagramMost {
		c.counts.add(notSent)
		return
	}
	c.sendTo(to, b)
}
