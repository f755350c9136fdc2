// This file decides which schema is written, from the states that the members exchange.
//
// The written schema is part of a Level (turn, schema). A member adopts the highest Level that any member reports, so all members
// converge to the same Level even if messages are lost, late or repeated. A Level changes in one of two ways, each in two phases and
// without a leader:
//
//   - Up, within the same turn. A member agrees to the highest schema that all members read and that no operator holds back. It writes
//     this schema once all members have reported that they agree. "All" covers every member that is not forgotten, including dead ones.
//     A member that has reported nothing yet counts as one that reads nothing. So if a member writes schema L, every process that any
//     of its members knew reads L.
//   - Down, with the next turn. This requires that the operator has set an upper limit (UpperLimit) below the written schema at every member. A
//     member agrees to the highest of these limits, and writes it once all members have agreed. A release that reads no more than this
//     schema may be started only after Cleared, when no member holds a record above it any more.
//
// A member that does not read the written schema is unfit. It gets a TooOld or TooNew action and takes no part: no member sends it
// records or waits for it. It serves like an isolated instance until it is upgraded or the level is taken back. A member that has not
// Settled agrees to nothing, and a process alone never raises the level. So a process that starts alone with a newer release does not
// make the fleet that it joins later unfit.

package schema

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ID identifies a process by its name and its start time.
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

// Level is the written schema, with the number of times that it was taken back before. Schema 0 means that none is set yet.
type Level struct {
	Turn   uint32
	Schema uint16
}

func (l Level) less(o Level) bool {
	return l.Turn < o.Turn || l.Turn == o.Turn && l.Schema < o.Schema
}

func (l Level) String() string { return fmt.Sprintf("%d.%d", l.Turn, l.Schema) }

// KindState is the state of a member for one kind, as it reports it to others.
type KindState struct {
	Kind          Kind
	Lo, Hi        uint16 // the lowest and highest schema that it reads
	UpperLimit    uint16 // the operator's upper limit for the written schema; 0: none
	HighestStored uint16 // no record that it stores is above this schema; equal to Hi until a sweep has ended after Written changed
	Agreed        Level  // the level that it agrees to, or already writes
	Written       Level  // the level that it writes, or would write if it read it
}

// MemberState is the reported state of a process. Seq rises with each change, so an older state never replaces a newer one, whichever member
// forwards it.
type MemberState struct {
	ID
	Seq    uint64
	Stands []KindState // sorted by Kind
}

func (s *MemberState) stand(k Kind) *KindState {
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
	StateReceived EventKind = iota // State: the state of any process, sent by itself or forwarded
	Members                        // Members: all members that are not forgotten, including dead and left ones; this process may be absent
	Settled                        // the process has joined others, or has found no process for as long as a member is remembered
	LimitSet                       // Of, At: the operator's upper limit for the written schema; 0: none
	Swept                          // Of, At: a Sweep to the written schema has ended at all shards, and At is its Highest
)

// Event is an input of Levels.
type Event struct {
	Kind    EventKind
	State   MemberState
	Members []ID
	Of      Kind
	At      uint16
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	SendState ActionKind = iota // the state that State returns has changed and has to be sent to others
	LevelRose                   // the written level has risen from From to To; begin a Sweep
	LevelFell                   // the written level was taken back from From to To; begin a Sweep
	TooOld                      // the written schema is above those that this release reads: take no part, serve like an isolated instance
	TooNew                      // the written schema is below them
	Fit                         // the process reads the written schema again: take part
	Refused                     // the operator's UpperLimit cannot be followed; Why names the remedy
	Cleared                     // after LevelFell: no member stores a record above To, so releases that read no more than To may be started
)

func (k ActionKind) String() string {
	return [...]string{"tell", "rose", "fell", "too-old", "too-new", "fit", "refused", "cleared"}[k]
}

// Action is an output of Levels.
type Action struct {
	Kind     ActionKind
	Of       Kind
	From, To Level
	By       ID // the member whose state caused the action, if it was another one
	Why      string
}

// maxMembers limits the states of processes that are not members yet: such a state is stored only while fewer than maxMembers states
// are stored in all. States of members are always stored.
const maxMembers = 4096

// Levels is one member's view of the written levels. It reads no clock, and no decision depends on a duration.
type Levels struct {
	registry   *Registry
	self       MemberState
	members    []ID // without this process
	states     map[ID]MemberState
	isSettled  bool
	isUnfit    map[Kind]bool   // kinds for which TooOld or TooNew was returned
	refusedWhy map[Kind]string // the last reason returned with Refused
	cleared    map[Kind]Level
	hasFallen  map[Kind]bool // the last change was a fall, so Cleared is due
}

// NewLevels returns the levels of a process that reads the schemas of the registry. Written comes from a snapshot and may be nil.
func NewLevels(id ID, registry *Registry, written map[Kind]Level) *Levels {
	l := &Levels{registry: registry, self: MemberState{ID: id, Seq: 1}, states: map[ID]MemberState{},
		isUnfit: map[Kind]bool{}, refusedWhy: map[Kind]string{}, cleared: map[Kind]Level{}, hasFallen: map[Kind]bool{}}
	for _, k := range slices.Sorted(maps.Keys(registry.forms)) {
		s := KindState{Kind: k, Written: written[k], Agreed: written[k]}
		s.Lo, s.Hi = registry.ReadableRange(k)
		s.HighestStored = s.Hi
		l.self.Stands = append(l.self.Stands, s)
		if written[k].Schema != 0 {
			l.isSettled = true // the process was a member before
		}
	}
	return l
}

// State returns the current state of this process. Its Stands are a copy.
func (l *Levels) State() MemberState {
	s := l.self
	s.Stands = slices.Clone(s.Stands)
	return s
}

// OtherStates yields the stored states of other processes, sorted by ID, so that they can be forwarded. They must not be changed.
func (l *Levels) OtherStates(yield func(MemberState) bool) {
	for _, id := range slices.SortedFunc(maps.Keys(l.states), ID.compare) {
		if !yield(l.states[id]) {
			return
		}
	}
}

// Handle processes an event and appends the resulting actions to out.
func (l *Levels) Handle(ev Event, out []Action) []Action {
	if ev.Kind == StateReceived && !l.storeState(ev.State) {
		return out // most states have already arrived from another member
	}
	before := l.State()
	switch ev.Kind {
	case Members:
		l.members = slices.DeleteFunc(slices.Clone(ev.Members), func(id ID) bool { return id == l.self.ID })
		slices.SortFunc(l.members, ID.compare)
		maps.DeleteFunc(l.states, func(id ID, _ MemberState) bool {
			_, found := slices.BinarySearchFunc(l.members, id, ID.compare)
			return !found
		})
	case Settled:
		l.isSettled = true
	case LimitSet:
		if s := l.self.stand(ev.Of); s != nil {
			s.UpperLimit = ev.At
			delete(l.refusedWhy, ev.Of)
		}
	case Swept:
		if s := l.self.stand(ev.Of); s != nil {
			s.HighestStored = ev.At
		}
	}
	for i := range l.self.Stands {
		s := &l.self.Stands[i]
		for was, more := *s, true; more; was = *s { // one decision may enable the next; each raises Written or ends the loop
			out = l.decide(s, out)
			more = *s != was
		}
	}
	if !slices.Equal(before.Stands, l.self.Stands) {
		l.self.Seq++
		out = append(out, Action{Kind: SendState})
	}
	return out
}

// storeState stores the state of another process if it is newer than the stored one, and reports whether it did.
func (l *Levels) storeState(s MemberState) bool {
	have, known := l.states[s.ID]
	if s.ID == l.self.ID || known && have.Seq >= s.Seq {
		return false
	}
	if _, member := slices.BinarySearchFunc(l.members, s.ID, ID.compare); !member && len(l.states) >= maxMembers {
		return false
	}
	s.Stands = slices.Clone(s.Stands)
	l.states[s.ID] = s
	return true
}

func (l *Levels) decide(s *KindState, out []Action) []Action {
	out = l.adopt(s, out)
	all, complete := l.participants(s)
	if !complete || !reads(s, s.Written) {
		s.Agreed = s.Written
		return out
	}
	s.Agreed = s.Written
	if to, ok := l.agreeableLevel(s, all, &out); ok && l.isSettled {
		s.Agreed = to
	}
	if to, ok := agreedBy(s, all); ok && len(all) > 1 && l.isSettled {
		out = l.write(s, to, ID{}, "all members have agreed", out)
	}
	return l.clear(s, all, out)
}

// adopt takes over the highest level that a member writes.
func (l *Levels) adopt(s *KindState, out []Action) []Action {
	by, best := ID{}, s.Written
	for _, id := range l.members {
		state := l.states[id]
		if o := state.stand(s.Kind); o != nil && best.less(o.Written) {
			by, best = id, o.Written
		}
	}
	if s.Written.less(best) {
		l.isSettled = true
		out = l.write(s, best, by, "it is written by "+by.Name, out)
	}
	return l.reportFitness(s, by, out)
}

// write sets the written level.
func (l *Levels) write(s *KindState, to Level, by ID, why string, out []Action) []Action {
	kind := LevelRose
	if to.Turn > s.Written.Turn && to.Schema < s.Written.Schema {
		kind = LevelFell
		if err := l.registry.CheckPath(s.Kind, s.Written.Schema, to.Schema); errors.Is(err, ErrOneWay) {
			why += "; records stay where they cannot be brought down: " + err.Error()
		}
	}
	out = append(out, Action{Kind: kind, Of: s.Kind, From: s.Written, To: to, By: by, Why: why})
	s.Written, s.Agreed, s.HighestStored = to, to, s.Hi
	l.hasFallen[s.Kind] = kind == LevelFell
	return out
}

// reportFitness appends one action when the written schema leaves the range that this release reads, and one when it is back in range.
func (l *Levels) reportFitness(s *KindState, by ID, out []Action) []Action {
	fit := reads(s, s.Written)
	if fit == !l.isUnfit[s.Kind] {
		return out
	}
	l.isUnfit[s.Kind] = !fit
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

func reads(s *KindState, written Level) bool {
	return written.Schema == 0 || s.Lo <= written.Schema && written.Schema <= s.Hi
}

// participants returns the stands that take part in a decision, starting with that of this process: those of members that read the
// written schema. It returns false if a member has not reported a state yet.
func (l *Levels) participants(s *KindState) ([]*KindState, bool) {
	all := append(make([]*KindState, 0, len(l.members)+1), s)
	for _, id := range l.members {
		state := l.states[id]
		o := state.stand(s.Kind)
		if o == nil {
			return all, false
		}
		if reads(o, s.Written) {
			all = append(all, o)
		}
	}
	return all, true
}

// agreeableLevel returns the level that this member agrees to, given the states that it has.
func (l *Levels) agreeableLevel(s *KindState, all []*KindState, out *[]Action) (Level, bool) {
	lo, hi, limit, held := uint16(0), ^uint16(0), ^uint16(0), uint16(0)
	for _, o := range all {
		lo, hi = max(lo, o.Lo), min(hi, o.Hi)
		if o.UpperLimit != 0 {
			limit = min(limit, o.UpperLimit)
		}
		if o.UpperLimit == 0 || o.UpperLimit >= s.Written.Schema {
			held = ^uint16(0) // not all members hold it back
		}
		held = max(held, o.UpperLimit)
	}
	if to := min(hi, limit); to > s.Written.Schema && to >= lo {
		return Level{s.Written.Turn, to}, true
	}
	if s.UpperLimit == 0 || s.UpperLimit >= s.Written.Schema {
		return Level{}, false
	}
	// This member is to go down. It reports why if it can't, and waits while the limit is not yet set at all other members.
	if err := l.registry.CheckPath(s.Kind, s.Written.Schema, s.UpperLimit); err != nil {
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

// refuse appends one action that gives the reason why the operator's UpperLimit is not followed.
func (l *Levels) refuse(s *KindState, why string, out []Action) []Action {
	if l.refusedWhy[s.Kind] == why {
		return out
	}
	l.refusedWhy[s.Kind] = why
	return append(out, Action{Kind: Refused, Of: s.Kind, From: s.Written, To: Level{s.Written.Turn, s.UpperLimit}, Why: why})
}

// agreedBy returns the level that all members have agreed to, if it is above the written one.
func agreedBy(s *KindState, all []*KindState) (Level, bool) {
	to := s.Agreed
	for _, o := range all {
		if o.Agreed.Turn != to.Turn {
			return Level{}, false
		}
		if to.Turn > s.Written.Turn && o.Agreed.Schema != to.Schema {
			return Level{}, false // on the way down all members must agree to the same schema
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

// clear appends one action after a fall when no member stores a record above the written schema.
func (l *Levels) clear(s *KindState, all []*KindState, out []Action) []Action {
	if !l.hasFallen[s.Kind] || l.cleared[s.Kind] == s.Written {
		return out
	}
	for _, o := range all {
		if o.Written != s.Written || o.HighestStored > s.Written.Schema {
			return out
		}
	}
	l.cleared[s.Kind] = s.Written
	return append(out, Action{Kind: Cleared, Of: s.Kind, To: s.Written,
		Why: fmt.Sprintf("no member keeps %s above schema %d: releases that read no more may be started", s.Kind, s.Written.Schema)})
}

// IsFit reports whether this process takes part: it reads the written schema of each kind.
func (l *Levels) IsFit() bool {
	return !slices.ContainsFunc(l.self.Stands, func(s KindState) bool { return !reads(&s, s.Written) })
}

// Written returns the schema at which this process writes its own records. Until the fleet has a written schema it is the lowest that the
// process reads, because others may read no more. A process alone uses its highest.
func (l *Levels) Written(k Kind) uint16 {
	s := l.self.stand(k)
	switch {
	case s == nil:
		return 0
	case !reads(s, s.Written), s.Written.Schema == 0 && l.isSettled && len(l.members) == 0:
		if s.UpperLimit != 0 {
			return max(s.Lo, min(s.Hi, s.UpperLimit))
		}
		return s.Hi
	case s.Written.Schema == 0:
		return s.Lo
	}
	return s.Written.Schema
}

// SendRange returns the schema at which a record is sent to another process: the highest that both read, but not above the written one. A record
// without a path down to `at` may be sent at up to maxSchema. SendRange returns false if the other process gets no records: it has not
// reported what it reads, it is not a member, one of the two is unfit, or there is no schema that both read.
func (l *Levels) SendRange(to ID, k Kind) (at, maxSchema uint16, ok bool) {
	s := l.self.stand(k)
	state := l.states[to]
	o := state.stand(k)
	if s == nil || o == nil || !reads(s, s.Written) || !reads(o, s.Written) {
		return 0, 0, false
	}
	if _, member := slices.BinarySearchFunc(l.members, to, ID.compare); !member {
		return 0, 0, false
	}
	lo, hi := max(s.Lo, o.Lo), min(s.Hi, o.Hi)
	return max(lo, min(hi, l.Written(k))), hi, lo <= hi
}
