package merge

import "strings"

// Each source has a vote on each backend, by the state of its list. The first rule of Rules that matches the votes of all sources
// decides what becomes of the backend. docs/MEMBERS.md has the same table.

// Vote is the vote of one source on one backend. A source is fresh while it can be reached and the lifetime of its list or entry
// has not ended.
type Vote uint8

// Votes.
const (
	Abstains    Vote = iota // no list yet, or too long ago; or the source isn't trusted for this
	Lists                   // fresh: its list names the backend
	Drains                  // fresh: its list names it as draining
	Lacks                   // fresh: its complete list doesn't name it
	Denies                  // the same, of a source with Required
	StaleLists              // stale: its list named the backend
	StaleDrains             // stale: its list named it as draining
	StaleLacks              // stale: its list didn't name it
	voteKinds
)

var voteNames = [voteKinds]string{"silent", "lists", "drains", "lacks", "denies", "listed", "drained", "lacked"}

// String returns the vote as one word, which stored lists contain.
func (v Vote) String() string { return voteNames[v] }

// VoteSet is a set of votes.
type VoteSet uint8

// SetOf returns the set of these votes. Abstains is never in a set, since it has no influence.
func SetOf(list ...Vote) VoteSet {
	var s VoteSet
	for _, v := range list {
		if v != Abstains {
			s |= 1 << (v - 1)
		}
	}
	return s
}

// VoteSetCount is the number of sets.
const VoteSetCount = 1 << (voteKinds - 1)

// String returns the votes of the set, joined by a plus sign.
func (s VoteSet) String() string {
	var names []string
	for v := Lists; v < voteKinds; v++ {
		if s&SetOf(v) != 0 {
			names = append(names, v.String())
		}
	}
	return strings.Join(names, "+")
}

// Verdict is what a rule decides for a backend.
type Verdict uint8

// Verdicts.
const (
	Unchanged Verdict = iota // its state doesn't change: no fresh source has a vote, and no stale list names it
	Serve                    // it gets requests
	Drain                    // it drains: it finishes its requests and gets no new ones
	Remove                   // it is removed
)

var verdictNames = [...]string{"as it was", "serves", "drains", "gone"}

// String returns the verdict in words.
func (v Verdict) String() string { return verdictNames[v] }

// Rule is one line of the table. It matches where any of its votes was given. A rule without votes matches always.
type Rule struct {
	Name    string
	AnyOf   VoteSet
	Verdict Verdict
	Reason  string
}

// Rules decide on a backend, in order: the first that matches.
var Rules = [...]Rule{
	{"drain", SetOf(Drains, StaleDrains), Drain,
		"some source lists it as draining; stale entries count too, because a missed drain sends requests to a backend that wants none"},
	{"denied", SetOf(Denies), Remove, "a source that has to list every backend doesn't list it"},
	{"listed", SetOf(Lists), Serve, "some source lists it; a source that has lost a backend doesn't remove it for the others"},
	{"forgotten", SetOf(Lacks), Remove, "no fresh source lists it, and some fresh source leaves it out"},
	{"stale", SetOf(StaleLists), Serve, "no fresh source has a vote, and a stale list names it; a failing source empties no pool"},
	{"unknown", 0, Unchanged, "no fresh source has a vote, and no stale list names it"},
}

// Decide returns the index in Rules of the first rule that matches the votes.
func Decide(s VoteSet) int {
	for i := range Rules {
		if Rules[i].AnyOf == 0 || s&Rules[i].AnyOf != 0 {
			return i
		}
	}
	return len(Rules) - 1
}
