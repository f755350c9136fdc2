package detect

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func words() []Word {
	var all []Word
	for start := uint64(1); start <= 2; start++ {
		for inc := uint32(0); inc <= 2; inc++ {
			for s := Alive; s <= Left; s++ {
				all = append(all, Word{ID: ID{"x", start}, Inc: inc, State: s, Addr: "x:1", Until: time.Minute})
			}
		}
	}
	return all
}

// wordTable is the design note's, in words: what holds of a and b. It is not written as the code is.
func wordTable(a, b Word) int {
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

func TestOrderOfWordsOverAllPairs(t *testing.T) {
	all := words()
	for _, a := range all {
		for _, b := range all {
			if got, want := Compare(a, b), wordTable(a, b); got != want {
				t.Errorf("%+v against %+v: %d, the table says %d", a, b, got, want)
			}
			for _, c := range all {
				if Compare(a, b) > 0 && Compare(b, c) > 0 && Compare(a, c) <= 0 {
					t.Errorf("%+v over %+v over %+v, but not over the last", a, b, c)
				}
			}
		}
	}
}

// Whatever the order, and however often each, the same words leave a view that agrees with all who got them: no word is taken in that an
// earlier one holds over. A death of one who is there waits until it was asked, so it stands among the words only once it is suspect.
func TestMergeOfWordsInAnyOrder(t *testing.T) {
	all := words()
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
			v.Handle(0, Event{Kind: Begin}, nil)
			got := Word{}
			for _, w := range append(rapid.Permutation(some).Draw(t, "order"), some...) {
				v.Handle(0, Event{Kind: Got, From: "y:1", Message: Message{Kind: Pull, From: Word{ID: ID{"y", 1}, Addr: "y:1"}, News: []Word{w}}}, nil)
				held := v.members["x"]
				if Compare(held.Word, got) < 0 && got.Name != "" {
					t.Fatalf("%+v took the place of %+v", held.Word, got)
				}
				got = held.Word
			}
			m := v.members["x"]
			if m.doubt.Name != "" {
				if Compare(m.doubt, m.Word) > 0 {
					got = m.doubt
				}
			}
			if Compare(got, best) != 0 {
				t.Fatalf("%+v is left of %+v, not %+v", got, some, best)
			}
		}
	})
}
