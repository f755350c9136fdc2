package detect

import "time"

// This file has the seeds and the exchange of full state.

// seed is an address that is probed until a present member has answered from it.
type seed struct {
	addr   string
	at     time.Duration
	wait   time.Duration
	seq    uint32
	name   string // name of the process that answered last
	isSelf bool   // the address is this process's own
}

// maxSeedWait is the longest wait between two probes of a seed from which no known member has answered. The probes never end: a
// seed may be the only thing that two sides of a partition share.
const maxSeedWait = 30 * time.Second

// probeSeeds probes the seeds that are due.
func (d *Detect) probeSeeds() {
	for i := range d.seeds {
		s := &d.seeds[i]
		if s.at > d.now {
			continue
		}
		m := d.members[s.name]
		if s.isSelf || d.self.State == Left || m != nil && m.State.isPresent() {
			s.at = d.now + d.jitter(maxSeedWait)
			continue
		}
		s.seq = d.nextSeq()
		d.unanswered++
		d.send(s.addr, Message{Kind: Ask, Seq: s.seq}, nil)
		s.at = d.now + d.jitter(s.wait)
		s.wait = min(2*s.wait, maxSeedWait)
	}
}

// minExchangeInterval is the least time between two exchanges that one side begins.
const minExchangeInterval = 2 * time.Second

// exchange sends the full state to one member, which replies with its own.
func (d *Detect) exchange() {
	d.exchangeAt = d.now + d.jitter(d.exchangeWait)
	d.exchangeWait = min(2*d.exchangeWait, d.cfg.ExchangeInterval*time.Duration(max(1, d.presentCount/100)))
	if d.self.State == Left {
		d.exchangeAt = never
		return
	}
	m := d.members[d.exchangePartner]
	d.exchangePartner = ""
	if m == nil || !m.State.isPresent() {
		partners := d.randomMembers(1, nil)
		if len(partners) == 0 {
			return
		}
		m = partners[0]
	}
	d.lastExchangeAt = d.now
	d.act(Action{Kind: Exchange, Addr: m.Addr, Message: d.fullState(Push)})
}

// scheduleFollowUp schedules another exchange soon after one that brought many updates; the ones after it come ever more
// rarely. A stream is faster for what doesn't fit into a few datagrams.
func (d *Detect) scheduleFollowUp(learned int) {
	if learned >= minLearned && d.hasJoined {
		d.exchangeWait = initialRetryWait
		d.exchangeAt = min(d.exchangeAt, d.now+d.jitter(minExchangeInterval))
	}
}

// minLearned is a third of the updates that fit into one datagram.
const minLearned = 5

// exchangeSoon brings the next exchange forward, with a member that has returned.
func (d *Detect) exchangeSoon(m *member) {
	if !d.hasJoined {
		return
	}
	at := max(d.now+d.randomDuration(minExchangeInterval/2), d.lastExchangeAt+minExchangeInterval+d.randomDuration(minExchangeInterval/2))
	if at >= d.exchangeAt {
		return
	}
	d.exchangeAt, d.exchangePartner = at, m.Name
}
