// Ownership that moves: who sends which parts to whom, who is sure of them, and how two owners compare what they hold.
//
// An owner is sure of a part when it has every mark that all owners of it have taken: it was an owner all along, or has taken the
// part from one that was sure, or has owned it for so long that no mark of before matters any more. Only where all owners are sure
// does "nothing is known" mean that nothing has run.
package share

import (
	"slices"
	"time"

	"glencart/schema"
)

// earlyFor is how far apart two members may come to know of a change: a part may come before this one knows that it owns it.
const earlyFor = 30 * time.Second

// Members takes a new ring, and whether this side of a partition has not more than half of the members. It appends what this
// instance has to send to whom.
func (t *Sessions) Members(now Now, ring *Ring, minority bool, out []Transfer) []Transfer {
	self, old := t.cfg.Self.Name, t.ring
	if old == nil {
		old = ring.without(self) // who had what before this process was there
	}
	t.ring, t.minority = ring, minority
	if ring == old {
		return out
	}
	stays := func(name string) bool { // and is the same process: a new one has nothing
		was, there := old.start(name)
		is, here := ring.start(name)
		return there && here && was == is
	}
	var gone []string
	for part := t.cfg.Shard; part < Parts; part += t.cfg.Shards {
		p := Part(part)
		before, after := old.Owners(p), ring.Owners(p)
		gone = gone[:0]
		lives := false
		for _, o := range before {
			if stays(o) {
				lives = true
			} else {
				gone = append(gone, o)
			}
		}
		had, has := slices.Contains(before, self), slices.Contains(after, self)
		sure := t.Sure(p)
		if has && !had {
			if at, ok := t.early[p]; !ok || now.Own-at >= earlyFor {
				t.unsure[p] = now.Own + t.cfg.MarkFor + 2*Skew
			}
		}
		if has {
			delete(t.early, p)
		}
		if !slices.Equal(before, after) || len(gone) > 0 {
			t.markAgain(now, p)
		}
		// All who had it send it: what one of them lacks the other may have. Where none lives, whoever knows something does.
		if had || !lives && t.parts[p] != nil {
			for _, o := range after {
				if o != self && !(slices.Contains(before, o) && stays(o)) {
					out = append(out, Transfer{Part: p, To: o, Sure: had && sure})
				}
			}
		}
	}
	return out
}

// markAgain has the marks of this instance told to the owners of a part that has new ones: an earlier owner may have sent it on
// before it took the mark.
func (t *Sessions) markAgain(now Now, p Part) {
	if t.parts[p] == nil {
		return
	}
	for i := range t.parts[p].leaves {
		for _, s := range t.parts[p].leaves[i].of {
			for c := range s.calls {
				if c := &s.calls[c]; c.by.Member == t.cfg.Self && c.end > wallMillis(now) {
					t.unacked[callKey{s.key, c.id}] = &unacked{stamp: c.stamp, sent: now.Own - time.Second}
				}
			}
		}
	}
}

// Leaving is what this instance hands over before its planned end: all that it owns, to those who own it in a ring without it.
func (t *Sessions) Leaving(now Now, ring *Ring, out []Transfer) []Transfer {
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

// Took says that all of a part has come from a member that was sure of it, by a Transfer or by comparing.
func (t *Sessions) Took(now Now, p Part) {
	if _, ok := t.unsure[p]; ok {
		delete(t.unsure, p)
	} else if !t.ring.Owns(t.cfg.Self.Name, p) {
		t.early[p] = now.Own
	}
}

// Sure tells whether nothing that may be known of a part is missing here. It is asked of owners.
func (t *Sessions) Sure(p Part) bool {
	_, unsure := t.unsure[p]
	return !unsure
}

// Shared are the parts of this shard that this instance and another both own: those that they compare.
func (t *Sessions) Shared(with string, out []Part) []Part {
	for part := t.cfg.Shard; part < Parts; part += t.cfg.Shards {
		if p := Part(part); t.ring.Owns(t.cfg.Self.Name, p) && t.ring.Owns(with, p) {
			out = append(out, p)
		}
	}
	return out
}

// Digest is a number that two owners have alike when they know the same of a range. It is kept up to date with each change: reading
// it costs nothing.
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

// Leaves are the digests of all ranges of a part: those that differ are sent.
func (t *Sessions) Leaves(p Part) (d [Leaves]uint64) {
	for i := range d {
		d[i] = t.Digest(Range{Part: p, Leaf: uint8(i), One: true})
	}
	return d
}

// Range are the records of a range, without those that are over.
func (t *Sessions) Range(now Now, r Range, out []schema.Record) []schema.Record {
	p := t.parts[r.Part]
	if p == nil {
		return out
	}
	for i := range p.leaves {
		if r.One && i != int(r.Leaf) {
			continue
		}
		for _, s := range p.leaves[i].of {
			if s.end()+Skew.Milliseconds() > wallMillis(now) {
				out = append(out, t.record(s))
			}
		}
	}
	return out
}
