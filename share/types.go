// Package share keeps the state that instances share: what each tenant has used (Use, Ages), and a client's session with its
// latest unsafe calls (Sessions, Ring). It is pure. Callers pass the time; the package has no I/O, clock, goroutine, log or
// global state. A Use and a Sessions are one shard each, for one goroutine at a time. Ring and View are immutable and may be
// read concurrently.
//
// Records go in and out as schema.Record in the newest forms (see Forms). The caller converts them to the form of a link with
// its schema.Registry.
//
// This file has the types that callers use.
package share

import (
	"crypto/sha256"
	"time"

	"github.com/cespare/xxhash/v2"

	"glencart/schema"
)

// Now is an instant on both clocks. Ages and waits use Own. Use windows and expiry times of marks, on which instances must
// agree, use Wall. For the effect of a wall clock that is off, see Use and Skew.
type Now struct {
	Own  time.Duration // monotonic clock of the instance
	Wall time.Duration // since the Unix epoch
}

// Member is a process: a name and a start number. Of two with the same name, the one with the higher start is the later.
type Member struct {
	Name  string
	Start uint64
}

// MemberAge is a member that may be running, and the age of its last beat on the own clock (see Ages.Age).
type MemberAge struct {
	Member
	Age         time.Duration
	ClockOffset time.Duration // its wall clock minus this one's (see Ages.ClockOffset)
}

// View is the membership that allowances are computed from. The caller makes a new one for each tick and passes it to every
// shard.
type View struct {
	Self     Member
	Members  []MemberAge // the other members that may be running: alive, away, suspect, and dead but not yet forgotten. Members that left are not listed
	N        int         // how many members may be running, including self; the larger number in doubt. At least len(Members)+1 is used
	IsCutOff bool        // this member can't send or can't receive: it uses its fair part and no more
}

// Limit is what a tenant may use over all instances. 0 means no limit.
type Limit struct {
	Requests float64 // a second
	Work     float64 // backend seconds a second
	Plan     string  // passed on to other instances; not used in computations
	Loaded   uint64  // number of the file load that set the plan. Where instances differ, the plan of the highest load applies
}

// Allowance is what this instance may admit for a tenant by itself. It holds until the next window begins or the view changes.
type Allowance struct {
	Limited        bool
	Part           float64       // of the limit, 0..1
	Rate           float64       // requests a second
	Burst          float64       // requests at once, after an idle time
	Work           float64       // backend seconds a second; 0 with HasNoWorkLimit
	HasNoWorkLimit bool          // work has no limit
	FreshMembers   int           // members with a fresh beat, including self
	TotalMembers   int           // members that may be running
	Until          time.Duration // when it is computed again, on the own clock
}

// Bucket is the unused rest of an instance's allowance (a token bucket). The zero value is full.
type Bucket struct {
	at       time.Duration
	started  bool
	requests float64
	work     float64 // seconds; negative when calls took longer than what was left
}

// Count is what was used. Asked includes rejected requests, Requests doesn't, Work is in backend seconds.
type Count struct {
	Asked, Requests uint64
	Work            float64
}

// UseStats are the counters of one shard of Use, for metrics.
type UseStats struct {
	Tenants, Cells  int    // current number of tenants, and of (tenant, member) pairs
	Classes         int    // current number of (tenant, member, class) entries
	DroppedAtCap    uint64 // counts dropped because a cap was reached
	MalformedFields uint64 // fields of records that don't match their form
	OutOfTime       uint64 // counts of windows that are over or too far in the future
}

// Key names a session. It is a hash, so that no message carries cookies or keys of clients. Two clients share a key with the
// probability of a 128-bit hash collision.
type Key [16]byte

// KeyOf hashes the value that the settings name as a session's key. space separates rules: the same cookie under two rules is
// two sessions.
func KeyOf(space string, b []byte) Key {
	var buf [256]byte
	in := append(append(append(buf[:0], space...), 0), b...)
	sum := sha256.Sum256(in)
	return Key(sum[:16])
}

// Effect is what a second run of a call would do.
type Effect uint8

// Effects.
const (
	Safe   Effect = iota // nothing
	Keyed                // nothing, within the group that remembers the call's key
	Unsafe               // it repeats the effect: an order is placed twice
	effects
)

func (e Effect) String() string { return [...]string{"safe", "keyed", "unsafe"}[e] }

// State is what is known of a call.
type State uint8

// States of a call, each reported by the instance that made the attempt. Of several instances' reports the last in this order
// applies.
const (
	Unknown    State = iota
	NeverRan         // the attempt was never written to a backend
	MayHaveRun       // it may have been
	Answered         // it ran, and this was the answer
	states
)

func (s State) String() string {
	return [...]string{"unknown", "never ran", "may have run", "answered"}[s]
}

// Query is a call that needs a decision.
type Query struct {
	Key    Key
	Call   uint64 // which call of the session: a hash of the call's own key, or of the request that was sent (see CallOf)
	Effect Effect
	Repeat bool          // this is not the first try: the client marked it as a repeat, or it can be recognized as one
	Group  string        // keyed: the group that the call would go to and that then remembers it. "" if there is none
	Keep   time.Duration // how long from now a mark of it matters: as long as clients repeat. At most MaxKeep; 0 means a minute
}

// What is the action for a call.
type What uint8

// Actions.
const (
	Go     What = iota // send to any backend, to Backend first if it is set
	GoTo               // send only to Group
	Known              // no attempt: Answer is the final answer
	Unsure             // no attempt: fail with an explanation (see Cause)
	Refuse             // no attempt: there is no room to protect it (see Cause). Trying again later is harmless
	Ask                // send Outgoing, pass the replies to Replied, then call Decide: when Replied returns done, or after Wait
	whats
)

func (w What) String() string {
	return [...]string{"go", "go to the group", "known answer", "in words", "refuse", "ask"}[w]
}

// Cause is why a call is not simply sent on, or is sent without protection.
type Cause uint8

// Causes.
const (
	NoCause          Cause = iota
	MayHaveRunBefore       // an attempt of this call may have run
	RanAnswerLost          // it ran, and its answer is no longer stored
	UnderWay               // another request for the same call is between Lookup and Decide
	OwnersSilent           // an owner has not replied in time, or is not sure
	InMinority             // this side of a partition has at most half of the members: the other side may have further marks
	NoOtherInstance        // there is no other instance to send the mark to
	NotMarked              // not every owner has stored the mark in time
	NoRoom                 // the table is full: the mark is stored nowhere
	causes
)

func (c Cause) String() string {
	return [...]string{"", "it may have run", "it has run, and its answer is no longer known", "another request for the same call is under way",
		"the instances that would know have not answered", "this instance is cut off from most others", "there is no other instance",
		"not every instance that should has taken the mark", "no room for the mark"}[c]
}

// OwnerStatus is the role in which a member replies to a mark.
type OwnerStatus uint8

// Standings. Their numbers are on the wire.
const (
	NotOwner    OwnerStatus = iota // not an owner by its own ring: it may forget the mark
	UnsureOwner                    // it has the mark, but earlier ones may be missing
	SureOwner                      // it has every mark of the key's part that all owners of the part have stored
)

// Decision is the result of Lookup and Decide for a call.
type Decision struct {
	What           What
	Cause          Cause
	Backend, Group string
	Answer         string         // with Known
	Wait           time.Duration  // with Ask
	Outgoing       OutgoingRecord // with Ask: to be sent before anything else; otherwise whenever there is time
	NeedsEnd       bool           // End must be called, with Attempt, once the outcome of the attempt is known
	Attempt        uint64         // the mark that was made for it; 0 means none: it runs under an earlier one
	Unprotected    bool           // it is sent although a repeat at another instance could run it again; counted
}

// OutgoingRecord is a record to send to other members. The zero value sends nothing.
type OutgoingRecord struct {
	Record schema.Record
	To     []string // names of the other owners. Read-only
	Call   uint64   // the call that the record reports; 0 with BindBackend
}

// AttemptOutcome is how an attempt of this instance ended, or what became known of it later.
type AttemptOutcome struct {
	Key     Key
	Call    uint64
	Attempt uint64 // of the Decision
	State   State  // NeverRan only when nothing of it was written to any backend
	Backend string // that ran it, or may have
	Answer  string // with Answered: an answer longer than MaxAnswer bytes is not stored
}

// Bounds of sessions.
const (
	MaxAnswer = 2 << 10         // bytes of a stored answer
	MaxKeep   = 5 * time.Minute // of a mark; a session may be kept longer
	// Skew is how far apart two wall clocks may be. A mark counts as fresh until Skew before its end, and is kept until Skew
	// after it. So a clock that is off by Skew forgets nothing early and sends no repeat to a group that has forgotten the
	// call.
	Skew = 5 * time.Second
)

// Part is a slice of the key space. Owners are assigned to parts, and the sessions of a part have its owners. Two owners
// compare what they hold part by part, over the parts that they have in common.
type Part uint16

// Parts is the number of parts, Leaves the number of ranges that each part is divided into for comparison.
const (
	Parts  = 4096
	Leaves = 16
)

// CallOf hashes what distinguishes one call of a session from another. Two calls of one session share a number with the
// probability of a 64-bit hash collision.
func CallOf(b []byte) uint64 { return xxhash.Sum64(b) }

// PartOf returns the part of a key.
func PartOf(k Key) Part { return Part(k[0])<<4 | Part(k[1])>>4 }

// LeafOf returns the range of a key within its part.
func LeafOf(k Key) uint8 { return k[1] & 15 }

// Range is a part, or one leaf of it.
type Range struct {
	Part Part
	Leaf uint8 // with One
	One  bool
}

// Transfer requests that this instance send all records of a part to a member.
type Transfer struct {
	Part Part
	To   string
	Sure bool // the receiver calls PartReceived for the part when Sure is set
}

// SessionStats are the contents and counters of one shard of Sessions, for metrics.
type SessionStats struct {
	Sessions, Calls, Bytes int    // Bytes: of memory
	Unprotected            uint64 // calls that were sent without a mark at another owner
	FailedWithReason       uint64
	KnownAnswers           uint64
	Refused                uint64 // calls that were refused because there was no room for their marks
	NoRoom                 uint64 // reports, own and of others, for which there was no room
	OverShare              uint64 // those of them whose session had its share
	AnswersNotKept         uint64 // answers for which there was no room: a repeat fails with an explanation
	SessionsEvictedEarly   uint64 // sessions without a call that were dropped before their end to make room
	MalformedFields        uint64 // fields of records that don't match their form
}
