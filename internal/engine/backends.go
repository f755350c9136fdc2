package engine

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"glencart/balance"
	"glencart/members"
)

// List is a list of backends, or of changes to one.
type List struct {
	Revision int64
	Complete bool
	Members  []Member
}

// Member is one backend in a List.
type Member = members.Line

// TakeList takes in what a source says of the backends. kind is balance.MembersRemembered, MembersAll or
// MembersChanged. On the loop.
func (e *Engine) TakeList(kind balance.EventKind, list List) {
	if len(list.Members) > 0 {
		e.Log.Info("list of backends", "revision", list.Revision, "complete", list.Complete, "members", len(list.Members))
	}
	if list.Complete {
		for _, b := range e.backends {
			b.phase = balance.Gone // unless the list names it
		}
	}
	lines := make([]balance.Member, 0, len(list.Members))
	for _, m := range list.Members {
		b := e.backends[m.ID]
		if b == nil {
			if m.Phase == balance.Gone {
				continue // never named, or forgotten
			}
			b = &backend{number: e.numbers, id: m.ID}
			e.numbers++
			e.backends[m.ID], e.byNumber[b.number] = b, b
			e.Log.Info("backend named", "number", b.number, "id", b.id, "address", m.Addr)
		}
		to := Endpoint{m.ID, m.Addr, m.Launched}
		if m.Phase == balance.Gone {
			to = b.to // where it was
		}
		if b.to != to {
			e.Transport.Drop(b.to)
		}
		b.to, b.phase = to, m.Phase
		line := m.Member
		line.Backend = b.number
		line.Name = name(m.ID)
		lines = append(lines, line)
	}
	ready := false
	for _, b := range e.backends {
		if b.phase == balance.Ready {
			ready = true
		} else {
			e.Transport.Drop(b.to)
		}
	}
	e.ready.Store(ready)
	e.Handle(balance.Event{Kind: kind, Members: lines})
	e.unsend()
	for _, b := range e.backends {
		e.drop(b)
	}
}

// name is what all nodes call a backend when they speak of it to one another: the lower half of XXH64 of its id.
func name(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Backend tells what the list says of an id, and whether the engine still knows it. On the loop.
func (e *Engine) Backend(id string) (to Endpoint, number balance.BackendID, phase balance.Phase, known bool) {
	b := e.backends[id]
	if b == nil {
		return Endpoint{}, 0, balance.Gone, false
	}
	return b.to, b.number, b.phase, true
}

// Backends counts the backends that the engine keeps, gone ones with something out among them. On the loop.
func (e *Engine) Backends() int { return max(len(e.backends), len(e.byNumber)) }

// settle takes in that one thing less is out at a backend.
func (e *Engine) settle(b *backend) {
	b.out--
	e.drop(b)
}

// drop forgets a backend that is gone once nothing refers to it: ids come and go for as long as a node runs.
func (e *Engine) drop(b *backend) {
	if b.phase == balance.Gone && b.out == 0 && e.backends[b.id] == b {
		delete(e.backends, b.id)
		delete(e.byNumber, b.number)
	}
}

// unsend stops attempts that have not begun to write to a backend that takes nothing new, or to a process of it that has been
// followed by another. Left alone, one that hangs in a dial would go out when the grace is long over, or to whoever has
// the address by now.
func (e *Engine) unsend() {
	var out []*Attempt
	for _, r := range e.requests {
		for _, a := range r.attempts {
			if !a.over && (a.to.phase != balance.Ready || a.To != a.to.to) && a.begun && e.Transport.Bar(a) {
				out = append(out, a)
			}
		}
	}
	slices.SortFunc(out, func(x, y *Attempt) int {
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(x.Request.seq, y.Request.seq))
	})
	for _, a := range out {
		e.Transport.GiveUp(a)
		e.outcome(a, Result{Status: balance.Unused})
	}
}
