package detect

import "time"

// This file has the seeds, and the exchange of all that is known.

// seed is an address that is asked until one who is there has answered from it.
type seed struct {
	addr string
	at   time.Duration
	wait time.Duration
	seq  uint32
	name string // who answered last
	self bool   // it is this process
}

// seedMost is the longest wait between two questions to a seed that nobody who is known has answered from. They never end: a seed may be
// all that two sides of a cut have in common.
const seedMost = 30 * time.Second

// dueSeeds asks seeds whose time has come.
func (d *Detect) dueSeeds() {
	for i := range d.seeds {
		s := &d.seeds[i]
		if s.at > d.now {
			continue
		}
		m := d.members[s.name]
		if s.self || d.self.State == Left || m != nil && m.State.there() {
			s.at = d.now + d.about(seedMost)
			continue
		}
		s.seq = d.seqNext()
		d.tries++
		d.send(s.addr, Message{Kind: Ask, Seq: s.seq}, nil)
		s.at = d.now + d.about(s.wait)
		s.wait = min(2*s.wait, seedMost)
	}
}

// exchangeSoonest is the least time between two exchanges that one side begins.
const exchangeSoonest = 2 * time.Second

// exchange pushes all that is known to one, who answers with all that it knows.
func (d *Detect) exchange() {
	d.exchangeAt = d.now + d.about(d.wait)
	d.wait = min(2*d.wait, d.cfg.ExchangeEvery*time.Duration(max(1, d.there/100)))
	if d.self.State == Left {
		d.exchangeAt = never
		return
	}
	m := d.members[d.with]
	d.with = ""
	if m == nil || !m.State.there() {
		some := d.some(1, nil)
		if len(some) == 0 {
			return
		}
		m = some[0]
	}
	d.exchanged = d.now
	d.act(Action{Kind: Exchange, Addr: m.Addr, Message: d.all(Push)})
}

// afterExchange has one that taught a lot followed by another soon, and those after it ever more rarely: what does not fit into some
// datagrams goes faster by stream.
func (d *Detect) afterExchange(taught int) {
	if taught >= taughtMuch && d.met {
		d.wait = retry
		d.exchangeAt = min(d.exchangeAt, d.now+d.about(exchangeSoonest))
	}
}

// taughtMuch is a third of what one datagram holds.
const taughtMuch = 5

// exchangeSoon brings the next exchange forward, with a member that is back.
func (d *Detect) exchangeSoon(m *member) {
	if !d.met {
		return
	}
	at := max(d.now+d.chance(exchangeSoonest/2), d.exchanged+exchangeSoonest+d.chance(exchangeSoonest/2))
	if at >= d.exchangeAt {
		return
	}
	d.exchangeAt, d.with = at, m.Name
}
