package cluster

// This file has the way of a request: asked for before it goes, and told how it ended.

import (
	"context"
	"net/netip"
	"time"

	"glencart/internal/cluster/wire"
	"glencart/schema"
	"glencart/share"
)

// Query is a call for which a verdict is wanted. The zero Key is that of no session.
type Query = share.Query

// Verdict is what is to be done with a call.
type Verdict struct {
	What   share.What // Go, GoTo, Known, Refuse or Unsure
	Why    share.Cause
	Group  string // with GoTo: there and nowhere else
	Answer string // with Known
}

// Ticket is a call that goes. Done is to be called once it has ended; the zero value needs nothing.
type Ticket struct {
	c       *Cluster
	ask     asked
	attempt uint64
}

// Admit says what is to be done with a call, before anything of it is written to a box. What is safe, or has no session, goes at once:
// no lock, no wait, no allocation. Anything else is marked, here and at its owners, who are waited for no longer than Config.Wait, and no
// longer than ctx. It is called from any goroutine.
func (c *Cluster) Admit(ctx context.Context, a Query) (Ticket, Verdict) {
	if a.Effect == share.Safe || a.Key == (share.Key{}) {
		return Ticket{}, Verdict{}
	}
	if !c.awaitRing(ctx) {
		return Ticket{}, Verdict{What: share.Unsure, Why: share.OwnersSilent}
	}
	sh, k := c.shared.ofKey(a.Key), asked{a.Key, a.Call}
	sh.Lock()
	d := sh.sessions.Lookup(c.instant(), a)
	began := time.Now()
	asked := d.What == share.Ask
	for d.What == share.Ask { // twice at the most: for a call whose group was learnt from its owners
		replied := make(chan struct{})
		sh.waiting[k] = replied
		sh.Unlock()
		c.await(ctx, d, replied)
		sh.Lock()
		delete(sh.waiting, k)
		if ctx.Err() != nil {
			m := sh.sessions.End(c.instant(), share.AttemptOutcome{Key: a.Key, Call: a.Call, Attempt: d.Attempt, State: share.NeverRan})
			sh.Unlock()
			c.tellMark(m)
			return Ticket{}, Verdict{What: share.Unsure, Why: share.OwnersSilent}
		}
		d = sh.sessions.Decide(c.instant(), a.Key, a.Call)
	}
	sh.Unlock()
	if asked {
		c.counts.waited(time.Since(began))
	}
	c.tellMark(d.Outgoing)
	t := Ticket{}
	if d.NeedsEnd {
		t = Ticket{c, k, d.Attempt}
	}
	return t, Verdict{d.What, d.Cause, d.Group, d.Answer}
}

// meetTimeout is how long orders are held, from the start of the process, until it has met another member. Before that nobody can be asked
// whether an order has run.
const meetTimeout = time.Second

// awaitRing waits until this process has met another member, or for meetTimeout. It reports false if ctx ends before.
func (c *Cluster) awaitRing(ctx context.Context) bool {
	if c.shared.ring.Load() != nil {
		return true
	}
	timer := time.NewTimer(meetTimeout - c.now())
	defer timer.Stop()
	select {
	case <-c.shared.met:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// await tells the owners a mark and waits for their replies. A datagram may get lost: it is sent twice.
func (c *Cluster) await(ctx context.Context, d share.Decision, replied chan struct{}) {
	t := time.NewTimer(d.Wait / 2)
	defer t.Stop()
	for i := range 2 {
		c.tellMark(d.Outgoing)
		select {
		case <-replied:
			return
		case <-ctx.Done():
			return
		case <-t.C:
			if i == 0 {
				t.Reset(d.Wait - d.Wait/2)
			}
		}
	}
}

// Done tells how a call has ended: NeverRan only when nothing of it was written to any box. answer is kept with Answered, if it has no
// more than share.MaxAnswer bytes. It waits for nobody.
func (t Ticket) Done(state share.State, box, answer string) {
	if t.c == nil {
		return
	}
	sh := t.c.shared.ofKey(t.ask.key)
	sh.Lock()
	m := sh.sessions.End(t.c.instant(), share.AttemptOutcome{Key: t.ask.key, Call: t.ask.call, Attempt: t.attempt, State: state, Backend: box, Answer: answer})
	sh.Unlock()
	t.c.tellMark(m)
}

// tellMark tells a call's mark to owners: by datagram, or where it is too long by stream.
func (c *Cluster) tellMark(m share.OutgoingRecord) {
	if len(m.To) == 0 {
		return
	}
	r := m.Record
	for _, name := range m.To {
		to, ok := c.member(name)
		b := []byte(nil)
		if ok {
			b = c.encode(r, name)
		}
		if b == nil {
			continue
		}
		c.sendMarks(to.Addr, &wire.Marks{List: []*wire.Mark{{Key: []byte(r.Key), Call: m.Call, Record: b}}})
	}
}

// sendMarks sends marks to an address.
func (c *Cluster) sendMarks(addr string, m *wire.Marks) {
	p := &wire.Packet{From: wire.FromWord(c.View().Self), Body: &wire.Packet_Marks{Marks: m}}
	b, err := wire.Encode(c.number, p)
	to, bad := netip.ParseAddrPort(addr)
	if err != nil || bad != nil {
		c.counts.add(notSent)
		return
	}
	if len(b) <= wire.DatagramMost {
		c.sendTo(to, b)
		return
	}
	if !c.allowed(to.Addr()) {
		c.counts.drop(outside, addr)
		return
	}
	if !c.shared.marks.TryGo(func() error {
		got, err := call(c.running, c.net, addr, c.number, p)
		if err != nil {
			c.counts.add(exchangeLost)
			return nil
		}
		c.replies(got, addr)
		return nil
	}) {
		c.counts.add(exchangeMany) // it is sent again in a second
	}
}

// marked takes in marks of others and words the replies.
func (c *Cluster) marked(p *wire.Packet, from string) *wire.Marks {
	now, out := c.instant(), &wire.Marks{Reply: true}
	for i, m := range p.GetMarks().GetList() {
		r, err := schema.ParseRecord(m.Record)
		if i >= marksMost || len(m.Key) != len(share.Key{}) || err != nil || r.Key != string(m.Key) {
			c.counts.drop(garbage, from)
			break
		}
		if !c.reads(r) {
			continue // no reply is one that was not heard
		}
		key := share.Key(m.Key)
		sh := c.shared.ofKey(key)
		sh.Lock()
		_, err = sh.sessions.Merge(now, r)
		known, as := sh.sessions.ReplyAbout(key, m.Call)
		sh.Unlock()
		reply := &wire.Mark{Key: m.Key, Call: m.Call, Standing: uint32(as)}
		if err == nil && known.Key != "" {
			if reply.Record = c.encode(known, p.From.GetName()); reply.Record == nil {
				continue // a reply without it would say that nothing is known
			}
		}
		out.List = append(out.List, reply)
	}
	return out
}

// replies takes in owners' replies.
func (c *Cluster) replies(p *wire.Packet, from string) {
	now := c.instant()
	for i, m := range p.GetMarks().GetList() {
		if i >= marksMost || len(m.Key) != len(share.Key{}) {
			c.counts.drop(garbage, from)
			return
		}
		var r schema.Record
		if len(m.Record) > 0 {
			var err error
			if r, err = schema.ParseRecord(m.Record); err != nil || r.Key != string(m.Key) {
				c.counts.drop(garbage, from)
				return
			}
			if !c.reads(r) {
				continue
			}
		}
		k := asked{share.Key(m.Key), m.Call}
		sh := c.shared.ofKey(k.key)
		sh.Lock()
		done, err := sh.sessions.Replied(now, k.key, k.call, p.From.GetName(), r, share.OwnerStatus(min(m.Standing, 255)))
		if w := sh.waiting[k]; done && w != nil {
			close(w)
			delete(sh.waiting, k)
		}
		sh.Unlock()
		if err != nil {
			c.counts.drop(garbage, from)
		}
	}
}
