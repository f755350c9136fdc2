package merge

import "strings"

// What one source says of one box, by its state, is a vote. The votes of all sources together decide, by the first rule of Rules
// that fits. docs/MEMBERS.md has the same table.

// Vote is what one source says of one box. Fresh is a source that is heard, and whose word has not outlived its lifetime.
type Vote uint8

// Votes.
const (
	Silent  Vote = iota // never heard, too long ago, or not believed in this
	Has                 // fresh: it lists the box
	Drains              // fresh: it lists it as draining
	Lacks               // fresh: its whole list does not name it
	Denies              // the same, of a source that every box has to be listed by
	Had                 // stale: it listed the box
	Drained             // stale: it listed it as draining
	Lacked              // stale: its list did not name it
	votes
)

var voteNames = [votes]string{"silent", "lists", "drains", "lacks", "denies", "listed", "drained", "lacked"}

// String is the vote in a word.
func (v Vote) String() string { return voteNames[v] }

// Votes is a set of votes.
type Votes uint8

// Of makes a set. Silent is in none: it changes nothing.
func Of(list ...Vote) Votes {
	var s Votes
	for _, v := range list {
		if v != Silent {
			s |= 1 << (v - 1)
		}
	}
	return s
}

// AllVotes is how many sets there are.
const AllVotes = 1 << (votes - 1)

// String names the votes in a set.
func (s Votes) String() string {
	var names []string
	for v := Has; v < votes; v++ {
		if s&Of(v) != 0 {
			names = append(names, v.String())
		}
	}
	return strings.Join(names, "+")
}

// Verdict is what becomes of a box.
type Verdict uint8

// Verdicts.
const (
	Keep    Verdict = iota // as it was: nobody who is heard says anything of it
	Serves                 // it may be sent to
	Retires                // it finishes what it has
	Leaves                 // it is gone
)

var verdictNames = [...]string{"as it was", "serves", "drains", "gone"}

// String is the verdict in words.
func (v Verdict) String() string { return verdictNames[v] }

// Rule is one line of the table: it fits where any of its votes was given; with none it fits always.
type Rule struct {
	Name    string
	Any     Votes
	Verdict Verdict
	Why     string
}

// Rules decide on a box, the first that fits.
var Rules = [...]Rule{
	{"drain", Of(Drains, Drained), Retires, "some source says that it drains; old word counts, for a drain that is missed sends requests to a box that wants none"},
	{"denied", Of(Denies), Leaves, "a source that every box has to be listed by does not list it"},
	{"listed", Of(Has), Serves, "some source lists it: one that has forgotten a box does not take it away from the others"},
	{"forgotten", Of(Lacks), Leaves, "who is heard does not list it, and who listed it is not heard any more"},
	{"stale", Of(Had), Serves, "nobody is heard, and the last that was known listed it: a failing source empties no pool"},
	{"unknown", 0, Keep, "nobody is heard who knew it"},
}

// Decide returns the place in Rules of the rule for these votes.
func Decide(s Votes) int {
	for i := range Rules {
		if Rules[i].Any == 0 || s&Rules[i].Any != 0 {
			return i
		}
	}
	return len(Rules) - 1
}
