package share

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func eachSituation(visit func(situation)) {
	for e := range effects {
		for k := range knowledges {
			for _, old := range []bool{false, true} {
				for o := range ownersAll {
					for _, repeat := range []bool{false, true} {
						for _, group := range []bool{false, true} {
							visit(situation{e, k, old, o, repeat, group})
						}
					}
				}
			}
		}
	}
}

// All cells of the table: each has a row, and none breaks what the table is for.
func TestEveryCell(t *testing.T) {
	used := map[int]int{}
	eachSituation(func(s situation) {
		at := -1
		for i := range table {
			if at < 0 && table[i].fits(s) {
				at = i
			}
		}
		if at < 0 {
			t.Errorf("%+v: no row", s)
			return
		}
		used[at]++
		what, why := decide(s)
		ran := s.know >= knowMay
		for _, rule := range []struct {
			broken bool
			rule   string
		}{
			{s.effect == Safe && what != Go, "what is safe goes, whatever is known"},
			{s.effect == Unsafe && ran && (what == Go || what == GoTo), "an unsafe call that may have run never goes"},
			{s.effect == Unsafe && what == GoTo, "no group drops repeats of an unsafe call"},
			{s.effect == Keyed && ran && what == Go, "a keyed call that may have run goes to its group or nowhere"},
			{what == GoTo && (!s.group || s.old), "to a group only where one is known and remembers"},
			{what == Known && s.know != knowAnswer, "an answer is given where it is known"},
			{s.effect != Safe && s.know == knowAnswer && what != Known, "and always there"},
			{s.effect != Safe && !ran && s.repeat && s.owners != ownersSure && what != Unsure, "a repeat of which nobody sure has heard fails in words"},
			{!ran && !s.repeat && what != Go, "a first try goes"},
			{!ran && s.owners == ownersSure && what != Go, "what is known not to have run goes"},
			{(what == Unsure) != (why != NoCause), "words have a cause, and nothing else has"},
		} {
			if rule.broken {
				t.Errorf("%+v: %v, %v: %s", s, what, why, rule.rule)
			}
		}
	})
	for i := range table {
		if used[i] == 0 {
			t.Errorf("row %d (%s) is for no cell", i, table[i].because)
		}
	}
}

// The table as people read it: testdata/decisions.txt. Write it anew with -rewrite.
func TestDecisionsAreAsWritten(t *testing.T) {
	datadriven.RunTest(t, "testdata/decisions.txt", func(t *testing.T, d *datadriven.TestData) string {
		var b strings.Builder
		eachSituation(func(s situation) {
			if s.effect.String() != d.Cmd {
				return
			}
			if !s.repeat && !s.group {
				fmt.Fprintf(&b, "%s, %s, owners %s\n", s.know, [...]string{"fresh", "old"}[bit(s.old)], s.owners)
			}
			what, why := decide(s)
			alike := s
			if alike.group = false; s.group {
				if w, y := decide(alike); w == what && y == why {
					return // the group changes nothing
				}
			}
			fmt.Fprintf(&b, "  %s%s: %s", [...]string{"first try", "repeat"}[bit(s.repeat)], [...]string{"", ", group known"}[bit(s.group)], what)
			if why != NoCause {
				fmt.Fprintf(&b, ": %s", why)
			}
			fmt.Fprintln(&b)
		})
		return b.String()
	})
}
