// The age of each member's last beat.
package share

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"glencart/schema"
)

// AgeLimit is how long a member is remembered after its last beat.
const AgeLimit = 10 * time.Minute

// maxBeats bounds the number of remembered members, whatever messages contain.
const maxBeats = 4096

// Ages keeps the arrival time of each member's last beat. A beat is a number that only its member raises. Each member sends its
// beat with its counts; others pass beats on with the counts that they store. One Ages serves all shards.
//
// An age is counted from the arrival of a beat here, on the own clock. So it is too low by the beat's time in transit, and a
// beat that other members passed on counts like one that came directly.
type Ages struct {
	self        Member
	beats       map[Member]*beat
	ownBeat     uint64
	lastVersion uint64 // version
}

type beat struct {
	number      uint64
	arrivedAt   time.Duration // own
	clockOffset time.Duration
	version     uint64
}

// NewAges returns an Ages without any beats.
func NewAges(self Member) *Ages { return &Ages{self: self, beats: map[Member]*beat{}} }

// Beat returns a new beat of this member, to be sent with its counts, in the same message or after them.
func (a *Ages) Beat(now Now) schema.Record {
	for m, b := range a.beats {
		if now.Own-b.arrivedAt > AgeLimit {
			delete(a.beats, m)
		}
	}
	a.ownBeat = max(a.ownBeat+1, uint64(now.Wall.Milliseconds()))
	return schema.Record{Kind: schema.Use, Schema: NewestUse, Key: beatKey, Fields: []schema.Field{beatField(a.self, a.ownBeat)}}
}

func beatField(m Member, n uint64) schema.Field {
	return schema.Field{Num: useBeat, Sub: countSub(0, m, ""), Int: n}
}

// IsBeat distinguishes records for Ages from those for a Use.
func IsBeat(r schema.Record) bool { return r.Kind == schema.Use && r.Key == beatKey }

// Changed returns the beats of other members that have risen after a version, and the current version. They are for passing on,
// with Use.Changed.
func (a *Ages) Changed(since uint64) (schema.Record, uint64) {
	r := schema.Record{Kind: schema.Use, Schema: NewestUse, Key: beatKey}
	for m, b := range a.beats {
		if b.version > since {
			r.Fields = append(r.Fields, beatField(m, b.number))
		}
	}
	slices.SortFunc(r.Fields, compareFields)
	return r, a.lastVersion
}

// Merge merges received beats.
func (a *Ages) Merge(now Now, r schema.Record) error {
	if !IsBeat(r) {
		return fmt.Errorf("share: ages: %s %q: not a beat", r.Kind, r.Key)
	}
	for _, f := range r.All(useBeat) {
		_, m, _, ok := readCountSub(f.Sub)
		if !ok || m == a.self || len(m.Name) > maxName {
			continue
		}
		b := a.beats[m]
		if b == nil {
			if len(a.beats) >= maxBeats {
				continue
			}
			b = &beat{}
			a.beats[m] = b
		}
		if f.Int <= b.number {
			continue
		}
		// The beat with the shortest transit time gives the best clock offset; a delayed one only makes the clock seem to be
		// behind.
		off := time.Duration(f.Int)*time.Millisecond - now.Wall
		if b.number == 0 || off > b.clockOffset {
			b.clockOffset = off
		} else {
			b.clockOffset -= (b.clockOffset - off) / 16
		}
		a.lastVersion++
		b.number, b.arrivedAt, b.version = f.Int, now.Own, a.lastVersion
	}
	return nil
}

// Age returns the age of a member's last beat, or AgeLimit if there is none.
func (a *Ages) Age(now Now, m Member) time.Duration {
	if b := a.beats[m]; b != nil {
		return min(now.Own-b.arrivedAt, AgeLimit)
	}
	return AgeLimit
}

// Off returns by how much a member's wall clock is ahead of this one, as far as its beats show. The transit time of the beats
// makes it too low.
func (a *Ages) Off(m Member) time.Duration {
	if b := a.beats[m]; b != nil {
		return b.clockOffset
	}
	return 0
}

// Seen returns a member in the form that View needs.
func (a *Ages) Seen(now Now, m Member) MemberAge { return MemberAge{m, a.Age(now, m), a.Off(m)} }

// Each visits all members with a beat, in order.
func (a *Ages) Each(now Now, visit func(MemberAge)) {
	members := make([]Member, 0, len(a.beats))
	for m := range a.beats {
		members = append(members, m)
	}
	slices.SortFunc(members, func(x, y Member) int { return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Start, y.Start)) })
	for _, m := range members {
		visit(a.Seen(now, m))
	}
}
