// Package share is what instances know together: what each tenant has used (Use, Ages) and what is known of a client's session and
// of its last unsafe calls (Sessions, Ring). It is pure: plain calls with the time, no I/O, no clock, no goroutine, no log, no
// global state. A Use and a Sessions are one shard each, for one goroutine at a time; Ring and View are not changed once made and
// may be read by all.
//
// Records go in and out as schema.Record, at the newest forms (see Forms); the caller moves them to the form of a link with its
// schema.Book.
//
// This file has the types that callers see.
package share

import (
	"crypto/sha256"
	"time"

	"github.com/cespare/xxhash/v2"

	"glencart/schema"
)

// Now is an instant on both clocks. Ages and waits go by Own; windows of use and ends of marks, which instances must agree on, by
// Wall. What a wall clock that is off does to them is said where it matters (see Use, Skew).
type Now struct {
	Own  time.Duration // the instance's own clock, which never goes back
	Wall time.Duration // since the Unix epoch
}

// Member is a process: a name and a start. Of one name the higher start is the later one.
type Member struct {
	Name  string
	Start uint64
}

// Seen is a member that may be there, and how old its last word is, on the own clock (see Ages.Age).
type Seen struct {
	Member
	Age time.Duration
	Off time.Duration // its wall clock less this one's (see Ages.Off)
}

// View is the membership as use is reckoned from it. The caller makes a new one for each tick and hands it to every shard.
type View struct {
	Self    Member
	Members []Seen // the others that may be there: alive, away, suspect, dead and not forgotten yet; not those that have left
	N       int    // how many may be there, self counted; in doubt the larger. At least len(Members)+1 is taken
	CutOff  bool   // this member speaks or hears in vain: it takes its fair part and no more
}

// Limit is what a tenant may use over all instances. 0 is no limit.
type Limit struct {
	Requests float64 // a second
	Work     float64 // seconds of box time a second
	Plan     string  // carried along for others to see, not reckoned with
	Loaded   uint64  // which load of the file said so: the higher one's plan holds where instances differ
}

// Allowance is what this instance may let in of a tenant by itself. It holds until the next window begins or the view changes.
type Allowance struct {
	Limited  bool
	Part     float64       // of the limit, 0..1
	Rate     float64       // requests a second
	Burst    float64       // requests at once, after a rest
	Work     float64       // seconds of box time a second; 0 with WorkFree
	WorkFree bool          // work has no limit
	Heard    int           // members whose word is fresh, self counted
	Of       int           // members that may be there
	Until    time.Duration // when it is reckoned anew, on the own clock
}

// Bucket is what an instance has left of its allowance. The zero value is full.
type Bucket struct {
	at       time.Duration
	begun    bool
	requests float64
	work     float64 // seconds; below 0 when calls took longer than was left
}

// Count is what was used: Asked with what was refused, Requests without, Work in seconds of box time.
type Count struct {
	Asked, Requests uint64
	Work            float64
}

// UseStats are what a shard of use has had to do, for metrics.
type UseStats struct {
	Tenants, Cells int    // held now: tenants, and (tenant, member) pairs
	Classes        int    // (tenant, member, class) held now
	Full           uint64 // counts not taken in, for the caps
	Strange        uint64 // fields of records that are not what their form says
	OutOfTime      uint64 // counts of windows that are over, or too far ahead
}

// Key names a session. It is a hash, so that cookies and keys of clients travel in no message; two clients share one with the
// probability of a collision of 128 bits.
type Key [16]byte

// KeyOf hashes what the site names as a session's key. space keeps rules apart: the same cookie under two of them is two sessions.
func KeyOf(space string, b []byte) Key {
	var buf [256]byte
	in := append(append(append(buf[:0], space...), 0), b...)
	sum := sha256.Sum256(in)
	return Key(sum[:16])
}

// Effect is what running a call twice would do.
type Effect uint8

// Effects.
const (
	Safe   Effect = iota // nothing
	Keyed                // nothing, within the group that remembers the call's key
	Unsafe               // an order is placed twice
	effects
)

func (e Effect) String() string { return [...]string{"safe", "keyed", "unsafe"}[e] }

// State is what is known of a call.
type State uint8

// States of a call, each said by the instance that made the attempt. Of several instances' words the last in this order holds.
const (
	Unknown    State = iota
	NeverRan         // the attempt was never written to a box
	MayHaveRun       // it may have been
	Answered         // it ran, and this was the answer
	states
)

func (s State) String() string {
	return [...]string{"unknown", "never ran", "may have run", "answered"}[s]
}

// Query is a call for which a decision is wanted.
type Query struct {
	Key    Key
	Call   uint64 // which call of the session: a hash of its own key, or of what was sent (see CallOf)
	Effect Effect
	Repeat bool          // the client says, or it can be seen, that this is not its first try
	Group  string        // keyed: the group that the call would go to, and that then remembers it. "" if there is none
	Keep   time.Duration // how long from now a mark of it matters: as long as clients repeat. MaxKeep at most; 0: a minute
}

// What is what to do with a call.
type What uint8

// What to do.
const (
	Go     What = iota // to any box, Box first if there is one
	GoTo               // to Group and nowhere else
	Known              // no attempt: Answer is the answer
	Unsure             // no attempt: fail in words (see Why)
	Ask                // send Tell, take in the replies (Replied), then call Decide: when Replied says so, or after Wait
	whats
)

func (w What) String() string {
	return [...]string{"go", "go to the group", "known answer", "in words", "ask"}[w]
}

// Cause says why a call is not simply sent on, or goes without protection.
type Cause uint8

// Causes.
const (
	NoCause      Cause = iota
	ItMayHaveRun       // an attempt of this call may have run
	ItRan              // it has run, and its answer is no longer known
	UnderWay           // another request for the same call is at this point right now
	OwnersSilent       // those who would know it have not answered in time, or are not sure
	Minority           // this side of a partition has not more than half of the members: others may know more
	Alone              // there is no other instance to tell
	NotMarked          // not every owner has taken the mark in time
	NoRoom             // the table is full: the mark is kept nowhere
	causes
)

func (c Cause) String() string {
	return [...]string{"", "it may have run", "it has run, and its answer is no longer known", "another request for the same call is under way",
		"the instances that would know have not answered", "this instance is cut off from most others", "there is no other instance",
		"not every instance that should has taken the mark", "no room for the mark"}[c]
}

// Standing is as who a member replies to a mark.
type Standing uint8

// Standings. Their numbers are on the wire.
const (
	NotOwner    Standing = iota // by its own ring: the mark may be forgotten
	UnsureOwner                 // it has the mark, and may lack earlier ones
	SureOwner                   // it has every mark of the key's part that all its owners have taken
)

// Decision is what is to be done with a call.
type Decision struct {
	What        What
	Why         Cause
	Box, Group  string
	Answer      string        // with Known
	Wait        time.Duration // with Ask
	Tell        Marked        // to be sent before anything else with Ask; with others whenever there is time
	End         bool          // End has to be called, with Attempt, once it is known how the attempt has ended
	Attempt     uint64        // the mark that was made for it; 0: none, it is under an earlier one
	Unprotected bool          // it goes though a repeat elsewhere could run it again; counted
}

// Marked is a record that is to be told to others. The zero value tells nothing to nobody.
type Marked struct {
	Record schema.Record
	To     []string // names of owners beside this instance. Not to be changed
	Call   uint64   // of which it is a word; 0 with Hold
}

// Ended is how an attempt of this instance has ended, or what became known of it.
type Ended struct {
	Key     Key
	Call    uint64
	Attempt uint64 // of the Decision
	State   State  // NeverRan only when nothing of it was written to any box
	Box     string // that has run it, or may have
	Answer  string // with Answered: one of more than MaxAnswer bytes is not kept
}

// Bounds of sessions.
const (
	MaxAnswer = 2 << 10         // bytes of an answer that is kept
	MaxKeep   = 5 * time.Minute // of a mark; a session may be held for longer
	// Skew is how far apart two wall clocks may be. A mark counts as fresh no later than Skew before its end, and is kept until
	// Skew after it, so that a clock that is off by this forgets nothing early and sends no repeat to a group that has forgotten.
	Skew = 5 * time.Second
)

// Part is a slice of the key space: the owners of sessions are those of their part. (With parts, two owners compare what they hold
// by the parts that they have in common.)
type Part uint16

// Parts is how many parts there are, Leaves how many ranges each of them has for comparing.
const (
	Parts  = 4096
	Leaves = 16
)

// CallOf hashes what tells one call of a session from another. Two of one session share a number with the probability of a collision
// of 64 bits.
func CallOf(b []byte) uint64 { return xxhash.Sum64(b) }

// PartOf is the part of a key.
func PartOf(k Key) Part { return Part(k[0])<<4 | Part(k[1])>>4 }

// LeafOf is the range within its part.
func LeafOf(k Key) uint8 { return k[1] & 15 }

// Range is a part, or one leaf of it.
type Range struct {
	Part Part
	Leaf uint8 // with One
	One  bool
}

// Transfer says that a member is to get all records of a part from this one.
type Transfer struct {
	Part Part
	To   string
	Sure bool // Took is called there for those that are
}

// SessionStats are what a shard of sessions holds and has had to do, for metrics.
type SessionStats struct {
	Sessions, Calls, Bytes int
	Unprotected            uint64 // calls that went without a mark at another owner
	FailedInWords          uint64
	KnownAnswers           uint64
	ForgottenEarly         uint64 // "may have run" that the cap has pushed out before its end
	SessionsPushedOut      uint64 // sessions that the cap has pushed out before their end, without such a mark
	Strange                uint64 // fields of records that are not what their form says
}
