package engine

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"glencart/balance"
	"glencart/members"
)

// List is an endpoint list or a set of changes to one.
type List struct {
	Revision int64
	Complete bool
	Members  []Member
}

// Member is one backend of a List.
type Member = members.Endpoint

// UpdateBackends applies an endpoint list. kind is balance.MembersCached, MembersAll or MembersChanged. On the loop.
func (e *Engine) UpdateBackends(kind balance.EventKind, list List) {
	if len(list.Members) > 0 {
		e.Log.Info("received endpoint list", "revision", list.Revision, "complete", list.Complete, "members", len(list.Members))
	}
	if list.Complete {
		for _, b := range e.backends {
			b.phase = balance.Gone // unless the list contains it
		}
	}
	updates := make([]balance.Member, 0, len(list.Members))
	for _, m := range list.Members {
		b := e.backends[m.ID]
		if b == nil {
			if m.Phase == balance.Gone {
				continue // never listed, or already deleted
			}
			b = &backend{number: e.nextNumber, id: m.ID}
			e.nextNumber++
			e.backends[m.ID], e.byNumber[b.number] = b, b
			e.Log.Info("added backend", "number", b.number, "id", b.id, "address", m.Addr)
		}
		endpoint := Endpoint{m.ID, m.Addr, m.Launched}
		if m.Phase == balance.Gone {
			endpoint = b.endpoint // a removed backend keeps its last endpoint
		}
		if b.endpoint != endpoint {
			e.Transport.CloseIdle(b.endpoint)
		}
		b.endpoint, b.phase = endpoint, m.Phase
		update := m.Member
		update.Backend = b.number
		update.Name = nameHash(m.ID)
		updates = append(updates, update)
	}
	ready := false
	for _, b := range e.backends {
		if b.phase == balance.Ready {
			ready = true
		} else {
			e.Transport.CloseIdle(b.endpoint)
		}
	}
	e.ready.Store(ready)
	e.Handle(balance.Event{Kind: kind, Members: updates})
	e.cancelUnwritten()
	for _, b := range e.backends {
		e.deleteIfUnused(b)
	}
}

// nameHash returns the nameHash of a backend in messages between nodes. It is the lower half of XXH64 of the backend's id.
func nameHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Backend returns what the endpoint list has for an id. known is false if the engine has no such backend. On the loop.
func (e *Engine) Backend(id string) (to Endpoint, number balance.BackendID, phase balance.Phase, known bool) {
	b := e.backends[id]
	if b == nil {
		return Endpoint{}, 0, balance.Gone, false
	}
	return b.endpoint, b.number, b.phase, true
}

// BackendCount returns the number of backends in the table. It includes removed backends with outstanding attempts or probes.
// On the loop.
func (e *Engine) BackendCount() int { return max(len(e.backends), len(e.byNumber)) }

// release counts one attempt or probe of a backend as ended.
func (e *Engine) release(b *backend) {
	b.outstanding--
	e.deleteIfUnused(b)
}

// deleteIfUnused deletes a removed backend once no attempt or probe refers to it. Otherwise the table would grow for as
// long as the node runs, because new ids keep being listed.
func (e *Engine) deleteIfUnused(b *backend) {
	if b.phase == balance.Gone && b.outstanding == 0 && e.backends[b.id] == b {
		delete(e.backends, b.id)
		delete(e.byNumber, b.number)
	}
}

// cancelUnwritten stops unwritten attempts to backends that accept no new requests or whose process was replaced.
// Otherwise an attempt that hangs in a dial would be written long after the drain grace, or to another process that has
// the address by then.
func (e *Engine) cancelUnwritten() {
	var unwritten []*Attempt
	for _, r := range e.requests {
		for _, a := range r.attempts {
			if !a.hasEnded && (a.backend.phase != balance.Ready || a.To != a.backend.endpoint) && a.isSent && e.Transport.PreventWrite(a) {
				unwritten = append(unwritten, a)
			}
		}
	}
	slices.SortFunc(unwritten, func(x, y *Attempt) int {
		return cmp.Or(cmp.Compare(x.sentAt, y.sentAt), cmp.Compare(x.Request.seq, y.Request.seq))
	})
	for _, a := range unwritten {
		e.Transport.Cancel(a)
		e.handleResult(a, Result{Status: balance.Unused})
	}
}
