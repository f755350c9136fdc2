package lab

// This file has nodes that learn the list from an agent beside them, as on the platform: the shipped decisions on when to call
// it (package pace), in virtual time. What an agent has counts as told, whether or not its node has asked.

import (
	"math/rand/v2"
	"slices"
	"time"

	"glencart/internal/members/registry/pace"
)

// agentWay is the time of an answer of an agent, which is on the node's machine.
const agentWay = time.Millisecond

// calling is a shipped node that calls an agent.
type calling struct {
	*shipped
	terms pace.Terms
	pace  *pace.Pace    // of this process; nil: it has not begun
	began time.Duration // of the pace's clock
	have  int           // the version of the list that it has; 0: none
	open  []agentCall
	out   []pace.Action
}

// agentCall is an open call. One that was open while the agent fell silent is never answered.
type agentCall struct {
	id, cuts int
	watch    bool
}

func newCalling(n *shipped, terms pace.Terms) (*calling, error) {
	return &calling{shipped: n, terms: terms}, n.begin()
}

// list begins to call, or is told that the agent has another list: watches are answered.
func (m *calling) list() {
	if m.pace == nil {
		m.began, m.have, m.open = m.w.now, 0, nil
		m.pace = pace.New(m.terms, false, rand.New(rand.NewPCG(m.rng.Uint64(), 0)))
		m.handle(pace.Event{Kind: pace.Ticked})
		return
	}
	for _, c := range m.open {
		if c.watch {
			m.answer(m.pace, c.id, agentWay)
		}
	}
}

// restart has the process end and begin anew.
func (m *calling) restart() {
	m.shipped.restart()
	m.pace = nil
}

// handle tells the pace of an event, does what it decides, and comes back when it wants.
func (m *calling) handle(ev pace.Event) {
	m.out = m.pace.Handle(m.w.now-m.began, ev, m.out[:0])
	for _, a := range m.out {
		switch a.Kind {
		case pace.Begin:
			m.open = append(m.open, agentCall{a.Call, m.w.cuts, !a.Complete})
			if a.Complete || m.have != m.w.version {
				m.answer(m.pace, a.Call, agentWay)
			} else {
				m.answer(m.pace, a.Call, m.terms.Wait)
			}
		case pace.GiveUp:
			m.end(a.Call)
		}
	}
	p, at := m.pace, m.pace.Wake()
	m.w.after(m.began+at-m.w.now, evFunc, 0, func() {
		if p == m.pace && p.Wake() == at {
			m.handle(pace.Event{Kind: pace.Ticked})
		}
	})
}

// end takes a call out of the open ones.
func (m *calling) end(id int) {
	m.open = slices.DeleteFunc(m.open, func(c agentCall) bool { return c.id == id })
}

// answer has a call answered after a time, if the agent is not silent then and was not since.
func (m *calling) answer(p *pace.Pace, id int, in time.Duration) {
	m.w.after(in, evFunc, 0, func() {
		i := slices.IndexFunc(m.open, func(c agentCall) bool { return c.id == id })
		if p != m.pace || i < 0 || m.w.cutList || m.open[i].cuts != m.w.cuts {
			return
		}
		m.end(id)
		if m.have != m.w.version {
			m.have = m.w.version
			m.shipped.list()
		}
		m.handle(pace.Event{Kind: pace.Answered, Call: id, At: m.w.now - m.began})
		m.run()
	})
}
