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

// Guards against gaps and unsafe actions in the decision table. Each combination must have a row, and no row may break a rule
// of the table.
func TestDecisionTableCoversEverySituation(t *testing.T) {
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
		ran := s.know >= knowMayHaveRun
		for _, rule := range []struct {
			broken bool
			rule   string
		}{
			{s.effect == Safe && what != Go, "a safe call is always sent"},
			{s.effect == Unsafe && ran && (what == Go || what == GoTo), "an unsafe call that may have run is never sent"},
			{s.effect == Unsafe && what == GoTo, "no group drops repeats of an unsafe call"},
			{s.effect == Keyed && ran && what == Go, "a keyed call that may have run is sent only to its group"},
			{what == GoTo && (!s.group || s.old), "a call is sent to a group only if one is known and still remembers the call"},
			{what == Known && s.know != knowAnswer, "an answer is returned only if it is known"},
			{s.effect != Safe && s.know == knowAnswer && what != Known, "a known answer is always returned, except for safe calls"},
			{s.effect != Safe && !ran && s.repeat && s.owners != ownersSure && what != Unsure, "a repeat fails with an explanation unless all owners are sure"},
			{!ran && !s.repeat && what != Go, "a first try is sent"},
			{!ran && s.owners == ownersSure && what != Go, "a call known not to have run is sent"},
			{(what == Unsure) != (why != NoCause), "a call has a cause exactly when it fails with an explanation"},
		} {
			if rule.broken {
				t.Errorf("%+v: %v, %v: %s", s, what, why, rule.rule)
			}
		}
	})
	for i := range table {
		if used[i] == 0 {
			t.Errorf("row %d (%s) applies to no situation", i, table[i].reason)
		}
	}
}

// The table in readable form is testdata/decisions.txt. Regenerate it with -rewrite.
func TestDecisionTableMatchesGoldenFile(t *testing.T) {
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
					return // the group makes no difference
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
