package detect

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func allUpdates() []Update {
	var all []Update
	for start := uint64(1); start <= 2; start++ {
		for inc := uint32(0); inc <= 2; inc++ {
			for s := Alive; s <= Left; s++ {
				all = append(all, Update{ID: ID{"x", start}, Inc: inc, State: s, Addr: "x:1", Until: time.Minute})
			}
		}
	}
	return all
}

// compareByTable is the precedence table of the design note, written independently of the code.
func compareByTable(a, b Update) int {
	switch {
	case a == b:
		return 0
	case a.Start != b.Start:
		return sign(a.Start > b.Start)
	case a.State == Left && b.State != Left:
		return 1
	case b.State == Left && a.State != Left:
		return -1
	case a.Inc != b.Inc:
		return sign(a.Inc > b.Inc)
	}
	accuses := map[State]int{Alive: 1, Away: 2, Suspect: 3, Dead: 4}
	return sign(accuses[a.State] > accuses[b.State])
}

func sign(more bool) int {
	if more {
		return 1
	}
	return -1
}

func TestUpdatePrecedenceOverAllPairs(t *testing.T) {
	all := allUpdates()
	for _, a := range all {
		for _, b := range all {
			if got, want := Compare(a, b), compareByTable(a, b); got != want {
				t.Errorf("Compare(%+v, %+v) = %d, want %d", a, b, got, want)
			}
			for _, c := range all {
				if Compare(a, b) > 0 && Compare(b, c) > 0 && Compare(a, c) <= 0 {
					t.Errorf("%+v holds over %+v, which holds over %+v, but the first not over the last", a, b, c)
				}
			}
		}
	}
}

// Guards against views that depend on the order or repetition of updates: no update may replace one that holds over it. A
// reported death of a present member is verified first, so it counts here while it is unverified.
func TestUpdatesMergeInAnyOrder(t *testing.T) {
	all := allUpdates()
	rapid.Check(t, func(t *rapid.T) {
		some := rapid.SliceOfN(rapid.SampledFrom(all), 1, 12).Draw(t, "words")
		best := some[0]
		for _, w := range some {
			if Compare(w, best) > 0 {
				best = w
			}
		}
		for range 2 {
			v := New(Config{Name: "self", Start: 1, Addr: "self:1"})
			v.Handle(0, Event{Kind: Start}, nil)
			got := Update{}
			for _, w := range append(rapid.Permutation(some).Draw(t, "order"), some...) {
				v.Handle(0, Event{Kind: Received, From: "y:1", Message: Message{Kind: Pull, From: Update{ID: ID{"y", 1}, Addr: "y:1"}, Updates: []Update{w}}}, nil)
				stored := v.members["x"]
				if Compare(stored.Update, got) < 0 && got.Name != "" {
					t.Fatalf("%+v replaced %+v, which holds over it", stored.Update, got)
				}
				got = stored.Update
			}
			m := v.members["x"]
			if m.reportedDeath.Name != "" {
				if Compare(m.reportedDeath, m.Update) > 0 {
					got = m.reportedDeath
				}
			}
			if Compare(got, best) != 0 {
				t.Fatalf("the result is %+v after %+v, want %+v", got, some, best)
			}
		}
	})
}

// Guards against two processes of one name that both take part. On a higher start of its own name, a process takes the next
// start number if it has not joined or the other has ended. If the other one is alive, it stops taking part.
func TestHigherStartOfOwnName(t *testing.T) {
	for _, c := range []struct {
		state  State
		joined bool
		want   ActionKind
	}{{Alive, false, Renamed}, {Suspect, false, Renamed}, {Dead, true, Renamed}, {Left, true, Renamed}, {Alive, true, Superseded}, {Away, true, Superseded}} {
		d := New(Config{Name: "x", Start: 5, Addr: "x:1"})
		d.Handle(0, Event{Kind: Start}, nil)
		m := Message{Kind: Pull, From: Update{ID: ID{"y", 1}, Addr: "y:1"}}
		if c.joined {
			d.Handle(0, Event{Kind: Received, From: "y:1", Message: m}, nil)
		}
		m.Kind, m.Updates = Answer, []Update{{ID: ID{"x", 9}, State: c.state, Addr: "x:2"}}
		var got []ActionKind
		for _, a := range d.Handle(0, Event{Kind: Received, From: "y:1", Message: m}, nil) {
			if a.Kind == Renamed || a.Kind == Superseded {
				got = append(got, a.Kind)
				if start := d.Self().Start; (a.Kind == Renamed) != (start == 10) || a.By.Start != 9 && a.By.Start != 10 {
					t.Errorf("%s, joined %t: the start is %d, the action has %d", c.state, c.joined, start, a.By.Start)
				}
			}
		}
		if len(got) != 1 || got[0] != c.want {
			t.Errorf("%s, joined %t: actions %v, want %v", c.state, c.joined, got, c.want)
		}
	}
}

// Guards against a wrong suspicion timeout for a number of members, accusers and recent returns from the dead. The expected
// values are in milliseconds, exact to a tenth of a second, and calculated by hand from the formula of the design note.
func TestSuspicionTimeout(t *testing.T) {
	for _, c := range []struct {
		members, accusers, flaps int
		want                     time.Duration
	}{{2, 1, 0, 5000}, {3, 1, 0, 30000}, {3, 2, 0, 5000}, {9, 1, 0, 30000}, {9, 2, 0, 17500}, {9, 3, 0, 10200}, {9, 4, 0, 5000}, {99, 4, 0, 10000},
		{999, 4, 0, 15000}, {999, 1, 0, 90000}, {9, 4, 2, 15000}, {9, 4, 5, 15000}} {
		d := New(Config{Name: "self", Start: 1, Addr: "self:1"})
		d.Handle(0, Event{Kind: Start}, nil)
		for i := range c.members - 1 {
			d.receiveUpdate(Update{ID: ID{nameOf(i), 1}, Addr: "x:1"}, false)
		}
		m := d.members["a"]
		for range c.flaps {
			d.transition(m, Update{ID: m.ID, State: Dead, Addr: m.Addr}, "")
			d.transition(m, Update{ID: m.ID, State: Alive, Addr: m.Addr}, "")
		}
		for i := range c.accusers {
			d.receiveUpdate(Update{ID: m.ID, State: Suspect, Addr: "x:1", By: nameOf(i + 1)}, false)
		}
		if got := d.suspicionDeadline(m).Round(100 * time.Millisecond); got-c.want*time.Millisecond > 100*time.Millisecond || c.want*time.Millisecond-got > 100*time.Millisecond {
			t.Errorf("%d members, %d accusers, %d returns: suspicion lasts %s", c.members, c.accusers, c.flaps, got)
		}
	}
}
