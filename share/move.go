// Changes of ownership: which parts to send to which members, which members are sure of a part, and how two owners compare what
// they hold.
//
// An owner is sure of a part when it has every mark that all owners of the part have stored. That holds if it was an owner all
// along, if it received the part from one that was sure, or if it has owned the part for so long that earlier marks no longer
// matter. In a minority nobody is sure, nor right after it: the other side of the partition may have had other owners. Only where all owners are sure does "nothing is known" mean that nothing has run.
package share

import (
	"slices"
	"time"

	"glencart/schema"
)

// earlyPartWindow is how far apart two members may learn of a change. A part may arrive before this member learns that it owns it.
const earlyPartWindow = 30 * time.Second

// SetRing sets a new ring, and whether this side of a partition has at most half of the members. It appends the transfers that
// this instance has to make.
func (t *Sessions) SetRing(now Now, ring *Ring, minority bool, out []Transfer) []Transfer {
	self, old := t.cfg.Self.Name, t.ring
	if old == nil {
		old = ring.without(self) // the owners before this process started
	}
	wasMinority := t.minority
	t.ring, t.minority = ring, minority
	if wasMinority && !minority {
		t.doubtOwnParts(now)
	}
	if ring == old {
		return out
	}
	survives := func(name string) bool { // and is the same process: a new one has no records
		was, there := old.startOf(name)
		is, here := ring.startOf(name)
		return there && here && was == is
	}
	var departed []string
	for part := t.cfg.Shard; part < Parts; part += t.cfg.Shards {
		p := Part(part)
		before, after := old.Owners(p), ring.Owners(p)
		departed = departed[:0]
		hasSurvivor := false
		for _, o := range before {
			if survives(o) {
				hasSurvivor = true
			} else {
				departed = append(departed, o)
			}
		}
		wasOwner, isOwner := slices.Contains(before, self), slices.Contains(after, self)
		sure := t.Sure(p)
		if isOwner && !wasOwner {
			if at, ok := t.earlyParts[p]; !ok || now.Own-at >= earlyPartWindow {
				t.unsureUntil[p] = now.Own + t.cfg.MarkFor + 2*Skew
			}
		}
		if isOwner {
			delete(t.earlyParts, p)
		}
		if !slices.Equal(before, after) || len(departed) > 0 {
			t.resendMarks(now, p)
		}
		// All former owners send the part: one may have what another lacks. If none of them lives, every member that has
		// records of it sends them.
		if wasOwner || !hasSurvivor && t.parts[p] != nil {
			for _, o := range after {
				if o != self && !(slices.Contains(before, o) && survives(o)) {
					out = append(out, Transfer{Part: p, To: o, Sure: wasOwner && sure})
				}
			}
		}
	}
	return out
}

// doubtOwnParts makes this instance unsure of all parts that it owns, until it receives them from one that is sure or all earlier marks no
// longer matter.
func (t *Sessions) doubtOwnParts(now Now) {
	for part := t.cfg.Shard; part < Parts; part += t.cfg.Shards {
		if p := Part(part); t.ring.Owns(t.cfg.Self.Name, p) {
			t.unsureUntil[p] = now.Own + t.cfg.MarkFor + 2*Skew
		}
	}
}

// resendMarks queues the marks of this instance for sending to the new owners of a part: an earlier owner may have transferred
// the part before it stored the mark.
func (t *Sessions) resendMarks(now Now, p Part) {
	if t.parts[p] == nil {
		return
	}
	for i := range t.parts[p].leaves {
		for _, s := range t.parts[p].leaves[i].sessions {
			for c := range s.calls {
				if c := &s.calls[c]; c.by.Member == t.cfg.Self && c.end > wallMillis(now) {
					t.addUnacked(callKey{s.key, c.id}, &unacked{stamp: c.stamp, sent: now.Own - time.Second})
				}
			}
		}
	}
}

// ShutdownTransfers appends the transfers before a planned shutdown: all parts that this instance owns, to those that own them in a ring
// without it.
func (t *Sessions) ShutdownTransfers(now Now, ring *Ring, out []Transfer) []Transfer {
	self := t.cfg.Self.Name
	for part := t.cfg.Shard; part < Parts; part += t.cfg.Shards {
		p := Part(part)
		before := t.ring.Owners(p)
		if !slices.Contains(before, self) {
			continue
		}
		for _, o := range ring.Owners(p) {
			if o != self && !slices.Contains(before, o) {
				out = append(out, Transfer{Part: p, To: o, Sure: t.Sure(p)})
			}
		}
	}
	return out
}

// PartReceived records that all of a part has arrived from a member that was sure of it, by a Transfer or by comparison.
func (t *Sessions) PartReceived(now Now, p Part) {
	if _, ok := t.unsureUntil[p]; ok {
		delete(t.unsureUntil, p)
	} else if !t.ring.Owns(t.cfg.Self.Name, p) {
		t.earlyParts[p] = now.Own
	}
}

// Sure reports whether this instance has all that may be known of a part. It applies to owners only.
func (t *Sessions) Sure(p Part) bool {
	_, unsure := t.unsureUntil[p]
	_, lacks := t.lacking[p]
	return !unsure && !lacks && !t.minority
}

// Shared appends the parts of this shard that this instance and another both own: those that they compare.
func (t *Sessions) Shared(with string, out []Part) []Part {
	for part := t.cfg.Shard; part < Parts; part += t.cfg.Shards {
		if p := Part(part); t.ring.Owns(t.cfg.Self.Name, p) && t.ring.Owns(with, p) {
			out = append(out, p)
		}
	}
	return out
}

// Digest returns a number that is equal at two owners that store the same of a range. It is updated with each change, so reading
// it is cheap.
func (t *Sessions) Digest(r Range) uint64 {
	p := t.parts[r.Part]
	if p == nil {
		return 0
	}
	if r.One {
		return p.leaves[r.Leaf%Leaves].digest
	}
	sum := uint64(0)
	for i := range p.leaves {
		sum ^= p.leaves[i].digest
	}
	return sum
}

// Leaves returns the digests of all ranges of a part. Ranges whose digests differ are sent.
func (t *Sessions) Leaves(p Part) (d [Leaves]uint64) {
	for i := range d {
		d[i] = t.Digest(Range{Part: p, Leaf: uint8(i), One: true})
	}
	return d
}

// AppendRecords appends the records of a range, without expired ones.
func (t *Sessions) AppendRecords(now Now, r Range, out []schema.Record) []schema.Record {
	p := t.parts[r.Part]
	if p == nil {
		return out
	}
	for i := range p.leaves {
		if r.One && i != int(r.Leaf) {
			continue
		}
		for _, s := range p.leaves[i].sessions {
			if s.end()+Skew.Milliseconds() > wallMillis(now) {
				out = t.appendRecords(s, out)
			}
		}
	}
	return out
}
