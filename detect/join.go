package detect

import "time"

// This file has the seeds and the exchange of full state.

// seed is an address that is probed until a present member has answered from it.
type seed struct {
	addr string
	at   time.Duration
	wait time.Duration
	seq  uint32
	name string // name of the process that answered last
	self bool   // the address is this process's own
}

// maxSeedWait is the longest wait between two probes of a seed from which no known member has answered. The probes never end: a
// seed may be the only thing that two sides of a partition share.
const seedMost = 30 * time.Second

// probeSeeds probes the seeds that are due.
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

// minExchangeInterval is the least time between two exchanges that one side begins.
const exchangeSoonest = 2 * time.Second

// exchange sends the full state to one member, which replies with its own.
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

// scheduleFollowUp schedules another exchange soon after one that brought many updates; the ones after it come ever more
// rarely. A stream is faster for what doesn't fit into a few datagrams.
func (d *Detect) afterExchange(taught int) {
	if taught >= taughtMuch && d.met {
		d.wait = retry
		d.exchangeAt = min(d.exchangeAt, d.now+d.about(exchangeSoonest))
	}
}

// minLearned is a third of the updates that fit into one datagram.
const taughtMuch = 5

// exchangeSoon brings the next exchange forward, with a member that has returned.
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
