// Owners of each part of the sessions, by rendezvous hashing (Thaler and Ravishankar, 1998).
//
// github.com/dgryski/go-rendezvous is not used: it returns only the first owner, and its Remove reads beyond its slice. The R
// highest scores of one loop are needed here.
package share

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owners is the number of members that hold a session where the settings don't set it.
const Owners = 2

// Ring assigns owners to each part. It identifies owners by name alone: a restarted process owns what its predecessor owned,
// and the other owners have to send it the records.
type Ring struct {
	members       []Member // by name, the later start of each
	ownersPerPart int      // owners per part: fewer than requested where there are fewer members
	owners        []string // r entries for each part, the first owner first
}

// NewRing computes the owners of all parts. It costs about 4096 hashes a member.
func NewRing(members []Member, r int) *Ring {
	g := &Ring{members: slices.Clone(members)}
	slices.SortFunc(g.members, func(a, b Member) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Start, a.Start)) })
	g.members = slices.CompactFunc(g.members, func(a, b Member) bool { return a.Name == b.Name })
	g.ownersPerPart = min(max(r, 1), len(g.members))
	if g.ownersPerPart == 0 {
		return g
	}
	seeds := make([]uint64, len(g.members))
	for i, m := range g.members {
		seeds[i] = xxhash.Sum64String(m.Name)
	}
	type score struct {
		score uint64
		at    int
	}
	best := make([]score, g.ownersPerPart)
	g.owners = make([]string, 0, Parts*g.ownersPerPart)
	for p := range Parts {
		part := mix(uint64(p) + 1)
		n := 0
		for i, seed := range seeds {
			s := score{mix(seed ^ part), i}
			if n == g.ownersPerPart && s.score <= best[n-1].score {
				continue
			}
			if n < g.ownersPerPart {
				n++
			}
			at := n - 1
			for ; at > 0 && best[at-1].score < s.score; at-- {
				best[at] = best[at-1]
			}
			best[at] = s
		}
		for _, s := range best {
			g.owners = append(g.owners, g.members[s.at].Name)
		}
	}
	return g
}

// mix is the finalizer of splitmix64: adjacent inputs give unrelated outputs.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Owners returns the owners of a part, the first owner first. The slice is read-only.
func (g *Ring) Owners(p Part) []string {
	if g == nil || g.ownersPerPart == 0 {
		return nil
	}
	return g.owners[int(p)*g.ownersPerPart : (int(p)+1)*g.ownersPerPart : (int(p)+1)*g.ownersPerPart]
}

// Size returns the number of members.
func (g *Ring) Size() int { return len(g.members) }

// Owns reports whether a member is an owner of a part.
func (g *Ring) Owns(name string, p Part) bool { return slices.Contains(g.Owners(p), name) }

// startOf returns the start number of a member's process.
func (g *Ring) startOf(name string) (uint64, bool) {
	if g == nil {
		return 0, false
	}
	at, found := slices.BinarySearchFunc(g.members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
	if !found {
		return 0, false
	}
	return g.members[at].Start, true
}

// without returns the ring without a member: the ring before its process started.
func (g *Ring) without(name string) *Ring {
	return NewRing(slices.DeleteFunc(slices.Clone(g.members), func(m Member) bool { return m.Name == name }), max(g.ownersPerPart, 1))
}
