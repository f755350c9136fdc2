package confsync

import (
	"cmp"
	"maps"
	"slices"
)

// Store holds the resources of the last good revision. The zero value is not usable: NewStore makes one.
type Store struct {
	limits   Limits
	check    func(*Change) error
	revision uint64
	digest   uint64
	held     map[Key]*resource
	order    []logged // what changed, by version; superseded entries are dropped now and then
	removed  map[Key]uint64
	horizon  uint64 // removals up to here are forgotten
}

type resource struct {
	version   uint64
	value     []byte
	refs      []Key
	referrers int
}

type logged struct {
	version uint64
	key     Key
}

// NewStore makes an empty store. check refuses single changes by what this node alone knows; nil: none.
func NewStore(limits Limits, check func(*Change) error) *Store {
	return &Store{limits: limits.withDefaults(), check: check, held: map[Key]*resource{}, removed: map[Key]uint64{}}
}

// Revision is that of what is held.
func (s *Store) Revision() uint64 { return s.revision }

// Digest is that of all that is held.
func (s *Store) Digest() uint64 { return s.digest }

// Len is how many resources are held.
func (s *Store) Len() int { return len(s.held) }

// Get returns a resource's value and version.
func (s *Store) Get(k Key) (value []byte, version uint64, ok bool) {
	r := s.held[k]
	if r == nil {
		return nil, 0, false
	}
	return r.value, r.version, true
}

// staged is what a delta makes of a store, before it holds.
type staged struct {
	*Store
	changes map[Key]*Change
	refs    map[Key]int // change in the number of referrers
	digest  uint64
}

// Apply takes a delta in whole, or returns a *Rejection and leaves all as it was.
func (s *Store) Apply(d Delta) error {
	if d.Full {
		return s.replace(d)
	}
	if d.To <= s.revision {
		return &Rejection{Version: d.To, Reason: Stale}
	}
	if d.From != s.revision {
		return &Rejection{Version: d.From, Reason: Gap}
	}
	st, err := s.stage(d)
	if err != nil {
		return err
	}
	st.commit(d)
	return nil
}

// replace takes in a full delta.
func (s *Store) replace(d Delta) error {
	if d.To < s.revision {
		return &Rejection{Version: d.To, Reason: Stale}
	}
	next := NewStore(s.limits, s.check)
	d.From = 0
	st, err := next.stage(d)
	if err != nil {
		return err
	}
	st.commit(d)
	next.horizon = d.To // what was removed before is not known
	*s = *next
	return nil
}

// stage checks a delta against what is held.
func (s *Store) stage(d Delta) (*staged, error) {
	st := &staged{Store: s, changes: make(map[Key]*Change, len(d.Changes)), refs: map[Key]int{}, digest: s.digest}
	last := uint64(0)
	for i := range d.Changes {
		c := &d.Changes[i]
		if c.Version < last { // Since relies on the order
			return nil, &Rejection{Key: c.Key, Version: c.Version, Reason: OldVersion, Detail: "changes are not ordered"}
		}
		last = c.Version
		if err := st.add(c, d); err != nil {
			return nil, err
		}
	}
	for i := range d.Changes {
		if err := st.checkRefs(&d.Changes[i]); err != nil {
			return nil, err
		}
	}
	for key, more := range st.refs {
		if more < 0 || st.exists(key) {
			continue
		}
		return nil, &Rejection{Key: key, Version: d.To, Reason: MissingRef}
	}
	if st.digest != d.Digest {
		return nil, &Rejection{Version: d.To, Reason: Drift}
	}
	return st, nil
}

// add stages one change.
func (st *staged) add(c *Change, d Delta) error {
	reject := func(r Reason, detail string) error {
		return &Rejection{Key: c.Key, Version: c.Version, Reason: r, Detail: detail}
	}
	was := st.held[c.Key]
	switch {
	case st.changes[c.Key] != nil:
		return reject(Twice, "")
	case c.Size() > st.limits.ChangeMost:
		return reject(TooLarge, "")
	case c.Version <= d.From || c.Version > d.To: // what is held is no newer than From
		return reject(OldVersion, "")
	case c.Removed && was == nil && d.To-d.From == 1: // over several revisions it may have come and gone
		return reject(UnknownRemoval, "")
	}
	if st.check != nil && !c.Removed {
		if err := st.check(c); err != nil {
			return reject(Local, err.Error())
		}
	}
	st.changes[c.Key] = c
	if was != nil {
		st.digest -= sum(c.Key, was.version)
		st.count(was.refs, -1)
	}
	if !c.Removed {
		st.digest += sum(c.Key, c.Version)
		st.count(c.Refs, 1)
	}
	return nil
}

func (st *staged) count(refs []Key, by int) {
	for _, r := range refs {
		st.refs[r] += by
	}
}

func (st *staged) exists(k Key) bool {
	if c := st.changes[k]; c != nil {
		return !c.Removed
	}
	return st.held[k] != nil
}

// refsOf returns what a resource refers to once the delta holds.
func (st *staged) refsOf(k Key) []Key {
	if c := st.changes[k]; c != nil {
		return c.Refs
	}
	if r := st.held[k]; r != nil {
		return r.refs
	}
	return nil
}

// checkRefs checks that what is removed is not referred to, and that what is changed refers to what exists, in no circle.
func (st *staged) checkRefs(c *Change) error {
	if c.Removed {
		referrers := st.refs[c.Key]
		if was := st.held[c.Key]; was != nil {
			referrers += was.referrers
		}
		if referrers > 0 {
			return &Rejection{Key: c.Key, Version: c.Version, Reason: StillReferred}
		}
		return nil
	}
	seen := map[Key]bool{}
	var visit func(k Key) error
	visit = func(k Key) error {
		for _, r := range st.refsOf(k) {
			if r == c.Key {
				return &Rejection{Key: c.Key, Version: c.Version, Reason: Cycle, Detail: "by way of " + k.String()}
			}
			if !st.exists(r) {
				return &Rejection{Key: c.Key, Version: c.Version, Reason: MissingRef, Detail: r.String()}
			}
			if seen[r] {
				continue
			}
			seen[r] = true
			if err := visit(r); err != nil {
				return err
			}
		}
		return nil
	}
	return visit(c.Key)
}

// commit makes a staged delta hold.
func (st *staged) commit(d Delta) {
	s := st.Store
	for key, c := range st.changes {
		if c.Removed {
			delete(s.held, key)
			s.removed[key] = c.Version
			continue
		}
		r := s.held[key]
		if r == nil {
			r = &resource{}
			s.held[key] = r
			delete(s.removed, key)
		}
		r.version, r.value, r.refs = c.Version, c.Value, c.Refs
	}
	for key, by := range st.refs {
		if r := s.held[key]; r != nil {
			r.referrers += by
		}
	}
	for i := range d.Changes {
		s.order = append(s.order, logged{d.Changes[i].Version, d.Changes[i].Key})
	}
	s.revision, s.digest = d.To, st.digest
	s.compact()
}

// compact drops superseded entries once they are half of all, and the oldest removals beyond RemovedMost.
func (s *Store) compact() {
	if len(s.removed) > s.limits.RemovedMost {
		versions := slices.Sorted(maps.Values(s.removed))
		s.horizon = max(s.horizon, versions[len(versions)/2])
		maps.DeleteFunc(s.removed, func(_ Key, v uint64) bool { return v <= s.horizon })
	}
	if len(s.order) > 2*(len(s.held)+len(s.removed))+64 {
		s.order = slices.DeleteFunc(s.order, func(l logged) bool { return !s.current(l) })
	}
}

// current tells whether an entry is the last change of its resource.
func (s *Store) current(l logged) bool {
	if r := s.held[l.key]; r != nil {
		return r.version == l.version
	}
	return s.removed[l.key] == l.version
}

// Since makes the delta from a revision to the store's own: each resource once, as it is now. Where removals since then are
// forgotten it is a full one.
func (s *Store) Since(revision uint64) Delta {
	d := Delta{From: revision, To: s.revision, Digest: s.digest}
	if revision < s.horizon || revision == 0 {
		return s.full()
	}
	first, _ := slices.BinarySearchFunc(s.order, revision+1, func(l logged, v uint64) int { return cmp.Compare(l.version, v) })
	for _, l := range s.order[first:] {
		if s.current(l) {
			d.Changes = append(d.Changes, s.change(l))
		}
	}
	return d
}

func (s *Store) change(l logged) Change {
	r := s.held[l.key]
	if r == nil {
		return Change{Key: l.key, Version: l.version, Removed: true}
	}
	return Change{Key: l.key, Version: l.version, Value: r.value, Refs: r.refs}
}

// full makes a delta of all that is held.
func (s *Store) full() Delta {
	d := Delta{To: s.revision, Full: true, Digest: s.digest}
	for _, l := range s.order {
		if s.held[l.key] != nil && s.current(l) {
			d.Changes = append(d.Changes, s.change(l))
		}
	}
	return d
}
