package confsync

import (
	"errors"
	"fmt"
	"maps"
	"testing"
)

func pool(name string) Change { return Change{Key: Key{Pool, name}, Value: []byte("spread=estimate")} }
func zone(name string) Change { return Change{Key: Key{Zone, name}, Value: []byte("up")} }
func remove(k Key) Change     { return Change{Key: k, Removed: true} }
func route(name, to string) Change {
	return Change{Key: Key{Route, name}, Value: []byte("/" + name), Refs: []Key{{Pool, to}}}
}

// published returns a publisher whose store holds pools a and b, and route r to a, at revision 3.
func published(t *testing.T, limits Limits) *Publisher {
	t.Helper()
	p := NewPublisher(NewStore(limits, nil), limits)
	for _, c := range []Change{pool("a"), pool("b"), route("r", "a")} {
		if _, err := p.Publish(0, []Change{c}, nil); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// contents is all that a store holds, for comparing two of them.
func contents(s *Store) map[Key]string {
	all := map[Key]string{}
	for k, r := range s.held {
		all[k] = fmt.Sprint(r.version, string(r.value), r.refs, r.referrers)
	}
	return all
}

// What is wrong is refused with key, version and reason, and nothing of it holds, be it alone or behind what is right.
func TestWhatIsWrongIsRefusedWhole(t *testing.T) {
	key := func(k Kind, name string) Key { return Key{k, name} }
	circle := func(name, to string) Change {
		return Change{Key: key(Pool, name), Refs: []Key{{Pool, to}}}
	}
	local := errors.New("no such listener here")
	for _, c := range []struct {
		name    string
		changes []Change
		change  func(d *Delta)
		key     Key
		version uint64
		reason  Reason
	}{
		{"removal of what is unknown", []Change{remove(key(Pool, "none"))}, nil, key(Pool, "none"), 4, UnknownRemoval},
		{"a pool removed that a route names", []Change{remove(key(Pool, "a"))}, nil, key(Pool, "a"), 4, StillReferred},
		{"a route to no pool", []Change{route("s", "none")}, nil, key(Route, "s"), 4, MissingRef},
		{"a route to a pool removed beside it", []Change{remove(key(Pool, "b")), route("s", "b")}, nil, key(Pool, "b"), 4, StillReferred},
		{"a circle", []Change{circle("x", "y"), circle("y", "x")}, nil, key(Pool, "x"), 4, Cycle},
		{"a circle of one", []Change{circle("x", "x")}, nil, key(Pool, "x"), 4, Cycle},
		{"a circle by what is held", []Change{circle("a", "b"), circle("b", "a")}, nil, key(Pool, "a"), 4, Cycle},
		{"too large", []Change{{Key: key(Pool, "x"), Value: make([]byte, 1000)}}, nil, key(Pool, "x"), 4, TooLarge},
		{"a key twice", []Change{pool("x"), pool("x")}, nil, key(Pool, "x"), 4, Twice},
		{"an equal version", []Change{pool("a")}, func(d *Delta) { d.Changes[0].Version = 1 }, key(Pool, "a"), 1, OldVersion},
		{"a version from beyond", []Change{pool("a")}, func(d *Delta) { d.Changes[0].Version = 9 }, key(Pool, "a"), 9, OldVersion},
		{"not ordered", []Change{pool("x"), pool("y")}, func(d *Delta) { d.To, d.Changes[0].Version = 5, 5 }, key(Pool, "y"), 4, OldVersion},
		{"a gap", []Change{pool("x")}, func(d *Delta) { d.From, d.To = 4, 5 }, Key{}, 4, Gap},
		{"one that is behind", []Change{pool("x")}, func(d *Delta) { d.From, d.To = 2, 3 }, Key{}, 3, Stale},
		{"another digest", []Change{pool("x")}, func(d *Delta) { d.Digest++ }, Key{}, 4, Drift},
		{"refused by the node", []Change{{Key: key(Route, "s"), Value: []byte("local"), Refs: []Key{{Pool, "a"}}}}, nil, key(Route, "s"), 4, Local},
	} {
		for _, before := range [][]Change{nil, {zone("z"), pool("c")}} {
			p := published(t, Limits{ChangeMost: 500})
			p.store.check = func(c *Change) error {
				if string(c.Value) == "local" {
					return local
				}
				return nil
			}
			was, revision := contents(p.store), p.store.Revision()
			var err error
			if c.change == nil {
				_, err = p.Publish(0, append(before, c.changes...), nil)
			} else if before == nil {
				d := Delta{From: 3, To: 4, Changes: c.changes, Digest: p.store.digest}
				for i := range d.Changes {
					d.Changes[i].Version = 4
					d.Digest += sum(d.Changes[i].Key, 4)
				}
				c.change(&d)
				err = p.store.Apply(d)
			} else {
				continue
			}
			var r *Rejection
			if !errors.As(err, &r) {
				t.Errorf("%s: %v", c.name, err)
				continue
			}
			if r.Key != c.key || r.Version != c.version || r.Reason != c.reason {
				t.Errorf("%s: %v, want %s at revision %d: %s", c.name, r, c.key, c.version, c.reason)
			}
			if !maps.Equal(contents(p.store), was) || p.store.Revision() != revision {
				t.Errorf("%s: something holds of what was refused", c.name)
			}
		}
	}
}

// A pool and the routes to it go together in one change, and come together.
func TestChangesOfOneRevisionAreSeenTogether(t *testing.T) {
	p := published(t, Limits{})
	if _, err := p.Publish(0, []Change{remove(Key{Route, "r"}), remove(Key{Pool, "a"})}, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Publish(0, []Change{route("r", "n"), pool("n")}, nil); err != nil {
		t.Fatal(err)
	}
	if p.store.Len() != 3 || p.store.Revision() != 5 {
		t.Errorf("%d held at revision %d", p.store.Len(), p.store.Revision())
	}
}

// A delta over many revisions holds each resource once, and brings another store to the same contents.
func TestDeltasAreCoalesced(t *testing.T) {
	p := published(t, Limits{})
	other := NewStore(Limits{}, nil)
	if err := other.Apply(p.store.Since(0)); err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		c := pool("a")
		c.Value = fmt.Append(nil, i)
		if _, err := p.Publish(0, []Change{c}, nil); err != nil {
			t.Fatal(err)
		}
	}
	p.Publish(0, []Change{zone("come and gone")}, nil)
	p.Publish(0, []Change{remove(Key{Zone, "come and gone"})}, nil)
	d := p.store.Since(3)
	if len(d.Changes) != 2 {
		t.Errorf("%d changes of 52 revisions of two resources", len(d.Changes))
	}
	if err := other.Apply(d); err != nil {
		t.Fatal(err)
	}
	if !maps.Equal(contents(other), contents(p.store)) || other.Digest() != p.store.Digest() {
		t.Error("contents differ")
	}
}

// Who is further behind than removals are remembered gets all anew, and what was removed is gone there.
func TestForgottenRemovalsMakeAFullDelta(t *testing.T) {
	limits := Limits{RemovedMost: 8}
	p := published(t, limits)
	other := NewStore(limits, nil)
	other.Apply(p.store.Since(0))
	for i := range 20 {
		k := Key{Zone, fmt.Sprint(i)}
		p.Publish(0, []Change{{Key: k}}, nil)
		p.Publish(0, []Change{remove(k)}, nil)
	}
	d := p.store.Since(3)
	if !d.Full {
		t.Error("not full")
	}
	if err := other.Apply(d); err != nil || !maps.Equal(contents(other), contents(p.store)) {
		t.Error(err, contents(other))
	}
	if len(p.store.removed) > 8 || len(p.store.order) > 200 {
		t.Errorf("%d removals, %d entries held", len(p.store.removed), len(p.store.order))
	}
}

// What a change takes does not grow with what is held: no more allocations with a thousand times the resources.
func TestAChangeTakesAsLongAsItIs(t *testing.T) {
	allocations := func(held int) float64 {
		s := NewStore(Limits{}, nil)
		p := NewPublisher(s, Limits{})
		all := make([]Change, held)
		for i := range all {
			all[i] = pool(fmt.Sprint(i))
		}
		if _, err := p.Publish(0, all, nil); err != nil {
			t.Fatal(err)
		}
		return testing.AllocsPerRun(200, func() { p.Publish(0, []Change{pool("0")}, nil) })
	}
	if few, many := allocations(30), allocations(30_000); many > 1.5*few {
		t.Errorf("%.0f allocations with 30 resources, %.0f with 30,000", few, many)
	}
}
