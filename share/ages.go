// How old each member's word is.
package share

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"glencart/schema"
)

// AgeLimit is how long a member is remembered after its last word.
const AgeLimit = 10 * time.Minute

// maxBeats bounds who is remembered, whatever messages say.
const maxBeats = 4096

// Ages keeps the time of each member's last word. Each member tells a beat, a number that only it raises, with all that it tells;
// others pass beats on with what they know of its counts. There is one Ages for all shards.
//
// An age is counted from when a beat arrived here, on the own clock. So it is too low by what the word was under way, and a beat
// that comes through others is as good as one that comes straight.
type Ages struct {
	self  Member
	beats map[Member]*beat
	own   uint64
	said  uint64 // version
}

type beat struct {
	n       uint64
	at      time.Duration // own
	off     time.Duration
	version uint64
}

// NewAges returns one that has heard nobody.
func NewAges(self Member) *Ages { return &Ages{self: self, beats: map[Member]*beat{}} }

// Beat is a new word of this member, to be sent with its counts, in the same message or after them.
func (a *Ages) Beat(now Now) schema.Record {
	for m, b := range a.beats {
		if now.Own-b.at > AgeLimit {
			delete(a.beats, m)
		}
	}
	a.own = max(a.own+1, uint64(now.Wall.Milliseconds()))
	return schema.Record{Kind: schema.Use, Schema: NewestUse, Key: beatKey, Fields: []schema.Field{beatField(a.self, a.own)}}
}

func beatField(m Member, n uint64) schema.Field {
	return schema.Field{Num: useBeat, Sub: countSub(0, m, ""), Int: n}
}

// IsBeat tells records that go to Ages from those that go to a Use.
func IsBeat(r schema.Record) bool { return r.Kind == schema.Use && r.Key == beatKey }

// Changed are the beats that have risen after a version, the own one not among them, and the version now: for passing on, with
// Use.Changed.
func (a *Ages) Changed(since uint64) (schema.Record, uint64) {
	r := schema.Record{Kind: schema.Use, Schema: NewestUse, Key: beatKey}
	for m, b := range a.beats {
		if b.version > since {
			r.Fields = append(r.Fields, beatField(m, b.n))
		}
	}
	slices.SortFunc(r.Fields, compareFields)
	return r, a.said
}

// Merge takes in beats.
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
		if f.Int <= b.n {
			continue
		}
		// The word that was least under way tells best how far the clocks are apart; one that comes late only seems to be behind.
		off := time.Duration(f.Int)*time.Millisecond - now.Wall
		if b.n == 0 || off > b.off {
			b.off = off
		} else {
			b.off -= (b.off - off) / 16
		}
		a.said++
		b.n, b.at, b.version = f.Int, now.Own, a.said
	}
	return nil
}

// Age is how old a member's last word is; AgeLimit if there is none.
func (a *Ages) Age(now Now, m Member) time.Duration {
	if b := a.beats[m]; b != nil {
		return min(now.Own-b.at, AgeLimit)
	}
	return AgeLimit
}

// Off is by how much a member's wall clock is ahead of this one, as far as its words tell: less what they were under way.
func (a *Ages) Off(m Member) time.Duration {
	if b := a.beats[m]; b != nil {
		return b.off
	}
	return 0
}

// Seen is a member as View wants it.
func (a *Ages) Seen(now Now, m Member) Seen { return Seen{m, a.Age(now, m), a.Off(m)} }

// Each visits all members that were heard, in order.
func (a *Ages) Each(now Now, visit func(Seen)) {
	members := make([]Member, 0, len(a.beats))
	for m := range a.beats {
		members = append(members, m)
	}
	slices.SortFunc(members, func(x, y Member) int { return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Start, y.Start)) })
	for _, m := range members {
		visit(a.Seen(now, m))
	}
}
