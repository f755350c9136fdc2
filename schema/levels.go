// Which schema is written: what one member knows of the others, and what it says itself.
//
// What is written is a Level, (turn, schema). A member takes over the highest Level that it hears of a member, so they all come to
// the same one, whatever is lost, late or repeated. A Level comes to be in one of two ways, each in two steps, with no leader:
//
//   - up, in the same turn: a member agrees to the highest schema that all members read and nobody holds back; it writes it once all
//     members have said that they agree. All: that are not forgotten, be they dead; one that has said nothing yet counts as reading
//     nothing. So who writes L knows that everybody whom any of its members knew read L.
//   - down, with the next turn: only when all members hold it back (the operator has said so at each). A member agrees to the schema
//     that all of them hold to or more, and writes it once all have said so. A release that reads no more may be started only after
//     Cleared: nobody holds a record above it any more.
//
// A member that does not read what is written is unfit: it is told, takes no part (nobody sends it records, nor waits for it), and
// serves as one that is cut off until it is upgraded or the level is taken back. One that has not Settled agrees to nothing, and a
// process alone raises nothing: so one that came up alone, with a newer release, does not make the fleet that it then meets unfit.
package schema

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ID is a process: a name and its start.
type ID struct {
	Name  string
	Start uint64
}

func (id ID) compare(o ID) int {
	if c := cmp.Compare(id.Name, o.Name); c != 0 {
		return c
	}
	return cmp.Compare(id.Start, o.Start)
}

// Level is what is written: a schema, and how often it was taken back before. Schema 0: nothing yet.
type Level struct {
	Turn   uint32
	Schema uint16
}

func (l Level) less(o Level) bool {
	return l.Turn < o.Turn || l.Turn == o.Turn && l.Schema < o.Schema
}

func (l Level) String() string { return fmt.Sprintf("%d.%d", l.Turn, l.Schema) }

// Stand is what a member says of one kind.
type Stand struct {
	Kind    Kind
	Lo, Hi  uint16 // it reads these
	Held    uint16 // its operator wants no more than this written; 0: any
	Holds   uint16 // no record that it keeps is above this; its highest while it has not swept since Written changed
	Agreed  Level  // it knows that this may be written, or is
	Written Level  // it writes this, or would if it read it
}

// Said is all that a process says. Seq rises with each change, so an older word never takes the place of a newer one, whoever
// brought it: words may be passed on.
type Said struct {
	ID
	Seq    uint64
	Stands []Stand // by rising Kind
}

func (s *Said) stand(k Kind) *Stand {
	for i := range s.Stands {
		if s.Stands[i].Kind == k {
			return &s.Stands[i]
		}
	}
	return nil
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	Heard   EventKind = iota // Said: of any process, from whoever passed it on
	Members                  // Members: all that are not forgotten, dead and left ones too; this process need not be among them
	Settled                  // it has joined others, or has waited for as long as a member is remembered and found nobody
	Held                     // Of, At: the operator wants no more than At written; 0: any
	Swept                    // Of, At: a Sweep to what is written now is done at all shards, and At is its Highest
)

// Event is what Levels are told.
type Event struct {
	Kind    EventKind
	Said    Said
	Members []ID
	Of      Kind
	At      uint16
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	Tell    ActionKind = iota // what Say says has changed: let others know
	Rose                      // To is written now instead of From; begin a Sweep
	Fell                      // the same, taken back
	TooOld                    // what is written is above what this release reads: take no part, serve as one cut off
	TooNew                    // it is below
	Fit                       // neither any more: take part again
	Refused                   // the operator's Held cannot be followed, Why says what is to be done
	Cleared                   // after Fell: nobody keeps a record above To: releases that read no more than To may be started
)

func (k ActionKind) String() string {
	return [...]string{"tell", "rose", "fell", "too-old", "too-new", "fit", "refused", "cleared"}[k]
}

// Action is what Levels answer.
type Action struct {
	Kind     ActionKind
	Of       Kind
	From, To Level
	By       ID // whose word it was, where it was another's
	Why      string
}

// maxMembers bounds the words that are kept: some of a fleet's, and as many of processes that are not members yet.
const maxMembers = 4096

// Levels is one member's view. It asks no clock: nothing that it decides depends on how long something lasts.
type Levels struct {
	book    *Book
	self    Said
	members []ID // without this process
	heard   map[ID]Said
	settled bool
	unfit   map[Kind]bool   // and it was told
	refused map[Kind]string // what was answered last
	cleared map[Kind]Level
	fell    map[Kind]bool // since the last rise: Cleared is due
}

// NewLevels returns the levels of a process that reads what the book reads. Written is what a snapshot remembers, may be nil.
func NewLevels(id ID, book *Book, written map[Kind]Level) *Levels {
	l := &Levels{book: book, self: Said{ID: id, Seq: 1}, heard: map[ID]Said{},
		unfit: map[Kind]bool{}, refused: map[Kind]string{}, cleared: map[Kind]Level{}, fell: map[Kind]bool{}}
	for _, k := range slices.Sorted(maps.Keys(book.forms)) {
		s := Stand{Kind: k, Written: written[k], Agreed: written[k]}
		s.Lo, s.Hi = book.Reads(k)
		s.Holds = s.Hi
		l.self.Stands = append(l.self.Stands, s)
		if written[k].Schema != 0 {
			l.settled = true // it was a member before
		}
	}
	return l
}

// Say is what this process says now. Its Stands are a copy.
func (l *Levels) Say() Said {
	s := l.self
	s.Stands = slices.Clone(s.Stands)
	return s
}

// Known are the words of the others that are kept, by ID, to be passed on. They are not to be changed.
func (l *Levels) Known(yield func(Said) bool) {
	for _, id := range slices.SortedFunc(maps.Keys(l.heard), ID.compare) {
		if !yield(l.heard[id]) {
			return
		}
	}
}

// Handle takes an event in and appends what is to be done.
func (l *Levels) Handle(ev Event, out []Action) []Action {
	if ev.Kind == Heard && !l.hear(ev.Said) {
		return out // most words have been heard before, from somebody else
	}
	before := l.Say()
	switch ev.Kind {
	case Members:
		l.members = slices.DeleteFunc(slices.Clone(ev.Members), func(id ID) bool { return id == l.self.ID })
		slices.SortFunc(l.members, ID.compare)
		maps.DeleteFunc(l.heard, func(id ID, _ Said) bool {
			_, found := slices.BinarySearchFunc(l.members, id, ID.compare)
			return !found
		})
	case Settled:
		l.settled = true
	case Held:
		if s := l.self.stand(ev.Of); s != nil {
			s.Held = ev.At
			delete(l.refused, ev.Of)
		}
	case Swept:
		if s := l.self.stand(ev.Of); s != nil {
			s.Holds = ev.At
		}
	}
	for i := range l.self.Stands {
		s := &l.self.Stands[i]
		for was, more := *s, true; more; was = *s { // a step may be followed by the next; each raises Written or ends it
			out = l.decide(s, out)
			more = *s != was
		}
	}
	if !slices.Equal(before.Stands, l.self.Stands) {
		l.self.Seq++
		out = append(out, Action{Kind: Tell})
	}
	return out
}

// hear keeps a word, if it is a newer one of another process, and tells whether it did.
func (l *Levels) hear(s Said) bool {
	have, known := l.heard[s.ID]
	if s.ID == l.self.ID || known && have.Seq >= s.Seq {
		return false
	}
	if _, member := slices.BinarySearchFunc(l.members, s.ID, ID.compare); !member && len(l.heard) >= maxMembers {
		return false
	}
	s.Stands = slices.Clone(s.Stands)
	l.heard[s.ID] = s
	return true
}

func (l *Levels) decide(s *Stand, out []Action) []Action {
	out = l.adopt(s, out)
	all, complete := l.counted(s)
	if !complete || !reads(s, s.Written) {
		s.Agreed = s.Written
		return out
	}
	s.Agreed = s.Written
	if to, ok := l.target(s, all, &out); ok && l.settled {
		s.Agreed = to
	}
	if to, ok := agreedBy(s, all); ok && len(all) > 1 && l.settled {
		out = l.write(s, to, ID{}, "all members have agreed", out)
	}
	return l.clear(s, all, out)
}

// adopt takes over the highest level that a member writes.
func (l *Levels) adopt(s *Stand, out []Action) []Action {
	by, best := ID{}, s.Written
	for _, id := range l.members {
		said := l.heard[id]
		if o := said.stand(s.Kind); o != nil && best.less(o.Written) {
			by, best = id, o.Written
		}
	}
	if s.Written.less(best) {
		l.settled = true
		out = l.write(s, best, by, "it is written by "+by.Name, out)
	}
	return l.fitness(s, by, out)
}

// write takes over a level.
func (l *Levels) write(s *Stand, to Level, by ID, why string, out []Action) []Action {
	kind := Rose
	if to.Turn > s.Written.Turn && to.Schema < s.Written.Schema {
		kind = Fell
		if err := l.book.Way(s.Kind, s.Written.Schema, to.Schema); errors.Is(err, ErrOneWay) {
			why += "; records stay where they cannot be brought down: " + err.Error()
		}
	}
	out = append(out, Action{Kind: kind, Of: s.Kind, From: s.Written, To: to, By: by, Why: why})
	s.Written, s.Agreed, s.Holds = to, to, s.Hi
	l.fell[s.Kind] = kind == Fell
	return out
}

// fitness tells once when what is written leaves what this release reads, and when it is back.
func (l *Levels) fitness(s *Stand, by ID, out []Action) []Action {
	fit := reads(s, s.Written)
	if fit == !l.unfit[s.Kind] {
		return out
	}
	l.unfit[s.Kind] = !fit
	a := Action{Kind: Fit, Of: s.Kind, To: s.Written, By: by}
	switch {
	case fit:
		a.Why = fmt.Sprintf("%s is written at schema %d, which this release reads", s.Kind, s.Written.Schema)
	case s.Written.Schema > s.Hi:
		a.Kind = TooOld
		a.Why = fmt.Sprintf("%s is written at schema %d and this release reads %d to %d: start a later release, or take the schema back at all members",
			s.Kind, s.Written.Schema, s.Lo, s.Hi)
	default:
		a.Kind = TooNew
		a.Why = fmt.Sprintf("%s is written at schema %d and this release reads %d to %d: start one between the two, until all members read %d",
			s.Kind, s.Written.Schema, s.Lo, s.Hi, s.Lo)
	}
	return append(out, a)
}

func reads(s *Stand, written Level) bool {
	return written.Schema == 0 || s.Lo <= written.Schema && written.Schema <= s.Hi
}

// counted are the stands that have a say, this process's first: those of members that read what is written. False: somebody has
// not said anything yet.
func (l *Levels) counted(s *Stand) ([]*Stand, bool) {
	all := append(make([]*Stand, 0, len(l.members)+1), s)
	for _, id := range l.members {
		said := l.heard[id]
		o := said.stand(s.Kind)
		if o == nil {
			return all, false
		}
		if reads(o, s.Written) {
			all = append(all, o)
		}
	}
	return all, true
}

// target is what this member agrees to, by what it knows now.
func (l *Levels) target(s *Stand, all []*Stand, out *[]Action) (Level, bool) {
	lo, hi, top, held := uint16(0), ^uint16(0), ^uint16(0), uint16(0)
	for _, o := range all {
		lo, hi = max(lo, o.Lo), min(hi, o.Hi)
		if o.Held != 0 {
			top = min(top, o.Held)
		}
		if o.Held == 0 || o.Held >= s.Written.Schema {
			held = ^uint16(0) // not all hold it back
		}
		held = max(held, o.Held)
	}
	if to := min(hi, top); to > s.Written.Schema && to >= lo {
		return Level{s.Written.Turn, to}, true
	}
	if s.Held == 0 || s.Held >= s.Written.Schema {
		return Level{}, false
	}
	// This one is to go down. It says so when it can't; when only others have not been told yet, it waits.
	if err := l.book.Way(s.Kind, s.Written.Schema, s.Held); err != nil {
		*out = l.refuse(s, err.Error(), *out)
		return Level{}, false
	}
	if held >= s.Written.Schema {
		return Level{}, false
	}
	if held < lo {
		*out = l.refuse(s, fmt.Sprintf("a member reads nothing below schema %d: hold at that, or replace it", lo), *out)
		return Level{}, false
	}
	return Level{s.Written.Turn + 1, held}, true
}

// refuse says once why the operator's Held is not followed.
func (l *Levels) refuse(s *Stand, why string, out []Action) []Action {
	if l.refused[s.Kind] == why {
		return out
	}
	l.refused[s.Kind] = why
	return append(out, Action{Kind: Refused, Of: s.Kind, From: s.Written, To: Level{s.Written.Turn, s.Held}, Why: why})
}

// agreedBy is what all have agreed to, if it is more than what is written.
func agreedBy(s *Stand, all []*Stand) (Level, bool) {
	to := s.Agreed
	for _, o := range all {
		if o.Agreed.Turn != to.Turn {
			return Level{}, false
		}
		if to.Turn > s.Written.Turn && o.Agreed.Schema != to.Schema {
			return Level{}, false // going down, all have to mean the same
		}
		to.Schema = min(to.Schema, o.Agreed.Schema)
	}
	for _, o := range all {
		if to.Schema < o.Lo {
			return Level{}, false
		}
	}
	return to, s.Written.less(to)
}

// clear tells, once after a fall, that nobody keeps anything above it.
func (l *Levels) clear(s *Stand, all []*Stand, out []Action) []Action {
	if !l.fell[s.Kind] || l.cleared[s.Kind] == s.Written {
		return out
	}
	for _, o := range all {
		if o.Written != s.Written || o.Holds > s.Written.Schema {
			return out
		}
	}
	l.cleared[s.Kind] = s.Written
	return append(out, Action{Kind: Cleared, Of: s.Kind, To: s.Written,
		Why: fmt.Sprintf("no member keeps %s above schema %d: releases that read no more may be started", s.Kind, s.Written.Schema)})
}

// Fit tells whether this process takes part: it reads what is written, of each kind.
func (l *Levels) Fit() bool {
	return !slices.ContainsFunc(l.self.Stands, func(s Stand) bool { return !reads(&s, s.Written) })
}

// Written is the schema at which this process writes records of its own. While none is written by the fleet it is the lowest that
// it reads, as others may read no more; alone it is its highest.
func (l *Levels) Written(k Kind) uint16 {
	s := l.self.stand(k)
	switch {
	case s == nil:
		return 0
	case !reads(s, s.Written), s.Written.Schema == 0 && l.settled && len(l.members) == 0:
		if s.Held != 0 {
			return max(s.Lo, min(s.Hi, s.Held))
		}
		return s.Hi
	case s.Written.Schema == 0:
		return s.Lo
	}
	return s.Written.Schema
}

// Link tells at which schema a record goes to another process: the lower of what both read, and no more than what is written. A
// record that has no way down to At may go as it stands up to Most. False: it gets none, as it has not said what it reads, is no
// member, one of the two is unfit, or there is no schema that both read.
func (l *Levels) Link(to ID, k Kind) (at, most uint16, ok bool) {
	s := l.self.stand(k)
	said := l.heard[to]
	o := said.stand(k)
	if s == nil || o == nil || !reads(s, s.Written) || !reads(o, s.Written) {
		return 0, 0, false
	}
	if _, member := slices.BinarySearchFunc(l.members, to, ID.compare); !member {
		return 0, 0, false
	}
	lo, hi := max(s.Lo, o.Lo), min(s.Hi, o.Hi)
	return max(lo, min(hi, l.Written(k))), hi, lo <= hi
}
