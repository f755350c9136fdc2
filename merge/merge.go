// Package merge makes one list of boxes of what several sources say of them, by the table in table.go: each source has a trust for
// each fact, its word a lifetime, and what changes is told as changes only. It is pure: no I/O, no clock, no goroutine. What
// operators take out stands above it, in package members.
package merge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"glencart/balance"
	"glencart/members"
	"glencart/wheel"
)

// Facts is a set of the facts that a source can tell of a box.
type Facts uint8

// Facts. Existence and Phase vote; of the others the first source that tells one is believed, and of starts the latest.
const (
	Existence Facts = 1 << iota
	Address
	Phase
	Weight
	Zone // zone, cell and kind
	Start
	Tier
	AllFacts Facts = 1<<iota - 1
)

// SourceConfig is one source of a Merge. The order of sources is their rank.
type SourceConfig struct {
	Name  string
	Trust Facts         // what it is believed in; 0: all
	Must  bool          // a box that its list does not name is gone, whatever the others say
	Keep  time.Duration // how long its word counts after its lifetime
	// Partial: its list is not meant to be all there is. It says nothing of boxes that it has never listed.
	Partial bool
}

// Config is what a Merge is built from. Zero values switch the guard and the panic threshold off.
type Config struct {
	Sources []SourceConfig
	// GuardPart is the part of the serving boxes that may leave within GuardWindow; more are held for GuardHold while they
	// answer. 0: no guard.
	GuardPart              float64
	GuardWindow, GuardHold time.Duration
	DrainFor               time.Duration // how long a drain counts once its source lists the box no more, and others do
	PanicPart              float64       // with more than this part of the boxes down by checks, checks count for nothing
	Tick                   time.Duration
}

// Entry is what a source says of one box. Line.ID is empty where the source knows addresses only; its boxes go by Name until a
// source with ids lists the same address. Line.Backend is the engine's.
type Entry struct {
	Name  string
	Knows Facts
	members.Line
	Tier  int           // boxes of a higher tier are backups
	Until time.Duration // when this is stale; 0: as the list says
}

// EventKind says what happened.
type EventKind uint8

// Kinds of events, with the fields each one uses.
const (
	Listed  EventKind = iota // Source, Entries, Complete, Revision, Until, Decided
	Failed                   // Source: it can't be heard; its last word is stale from now on
	Checked                  // Box, Up
	Allowed                  // an operator lets through what the guard holds
	Ticked                   // time has passed
)

// Event is one thing that a Merge is told. Its slices are not kept.
type Event struct {
	Kind     EventKind
	Source   int
	Entries  []Entry
	Complete bool          // the entries are the whole list, else changes; a change whose Phase is Gone takes an entry out
	Revision int64         // of the source's own; 0: it has none
	Until    time.Duration // the list's lifetime; 0: it holds until the source fails
	Decided  bool          // what it takes out is meant, as with target "." (RFC 2782): nothing is held
	Box      string
	Up       bool
}

// Change is a box that the pool is to be told anew.
type Change struct {
	members.Line
	Tier int
	Rule int // in Rules
	Note string
}

// Merge merges the sources of one pool. Handle takes every event in order; the same events give the same changes.
type Merge struct {
	cfg     Config
	now     time.Duration
	src     []source
	boxes   map[string]*box     // by the id that the pool knows
	ids     map[string]*box     // by the id of sources that know ids
	at      map[string][]*box   // with such an id, by the address
	loose   map[string][]*entry // entries that know addresses only, by the address
	bare    map[string]*box     // boxes of which nobody says anything any more, by the address
	touched []*box
	mark    uint64
	down    map[*box]bool
	serving int
	held    map[*box]bool
	wheel   *wheel.Wheel[alarm]
	panics  bool

	windowAt time.Duration // the guard's window began
	left     int           // boxes that left in it
	log      []string
}

type source struct {
	SourceConfig
	entries  map[string]*entry
	whole    bool // it has told a whole list
	failed   bool
	revision int64
	until    time.Duration // of its list; 0: none
	alarm    wheel.ID
	due      time.Duration
	gen      uint64
	seen     int // entries that the list in hand names
}

// entry is what a source has said of one box, and to which box that belongs by now.
type entry struct {
	Entry
	src   int
	box   *box
	stale bool
	ghost bool     // its source lists it no more, and it drained
	alarm wheel.ID // at its lifetime's end, or where that was before
	due   time.Duration
	gen   uint64
}

type box struct {
	id    string // as the pool knows it
	named string // the id of sources that know ids; empty: none does yet
	says  []*entry
	base  Change // but for its checks
	told  Change
	known bool // the pool has been told, and not that it is gone
	rule  int
	check bool          // its checks fail
	hold  time.Duration // until when the guard holds it
	freed bool          // it has been held for long enough
	mark  uint64
	was   []bool // by source: a partial one has listed it
}

// alarm is what is due then: the lifetime of an entry or of a list, or the end of a hold.
type alarm struct {
	entry *entry
	src   int // with neither of the others
	box   *box
}

// NewMerge returns a Merge without boxes.
func NewMerge(cfg Config, now time.Duration) *Merge {
	m := &Merge{cfg: cfg, now: now, boxes: map[string]*box{}, ids: map[string]*box{}, at: map[string][]*box{},
		loose: map[string][]*entry{}, bare: map[string]*box{}, down: map[*box]bool{}, held: map[*box]bool{}, wheel: wheel.New[alarm](cfg.Tick, now)}
	for _, s := range cfg.Sources {
		s.Trust = cmp.Or(s.Trust, AllFacts)
		m.src = append(m.src, source{SourceConfig: s, entries: map[string]*entry{}})
	}
	return m
}

// Next is when Handle wants a Ticked event at the latest; false: never.
func (m *Merge) Next() (time.Duration, bool) { return m.wheel.Next() }

// Log returns the lines for the log since the last call.
func (m *Merge) Log() []string {
	l := m.log
	m.log = nil
	return l
}

// Handle takes one event and appends the boxes that the pool has to be told of to out, by id.
func (m *Merge) Handle(now time.Duration, ev Event, out []Change) []Change {
	m.now = max(m.now, now) // a clock that goes back is held
	m.mark++
	m.touched = m.touched[:0]
	switch ev.Kind {
	case Listed:
		if ev.Source >= 0 && ev.Source < len(m.src) {
			m.listed(&ev)
		}
	case Failed:
		if ev.Source >= 0 && ev.Source < len(m.src) && !m.src[ev.Source].failed {
			s := &m.src[ev.Source]
			s.failed = true
			m.log = append(m.log, fmt.Sprintf("source %s fails: its last word holds as old", s.Name))
			m.touchAll()
		}
	case Checked:
		if b := m.boxes[ev.Box]; b != nil && b.check == ev.Up {
			b.check = !ev.Up
			if ev.Up {
				delete(m.down, b)
			} else {
				m.down[b] = true
			}
			m.touch(b)
		}
	case Allowed:
		for b := range m.held {
			b.hold, b.freed = 0, true
			m.touch(b)
		}
		clear(m.held)
	}
	m.wheel.Advance(m.now, func(_ time.Duration, a alarm) { m.ring(a) })
	return m.decide(out, ev.Decided)
}

func (m *Merge) touch(b *box) {
	if b.mark != m.mark {
		b.mark = m.mark
		m.touched = append(m.touched, b)
	}
}

func (m *Merge) touchAll() {
	for _, b := range m.boxes {
		m.touch(b)
	}
}

// listed takes in a list or changes to one.
func (m *Merge) listed(ev *Event) {
	s := &m.src[ev.Source]
	back := s.failed
	s.failed = false
	if back {
		m.log = append(m.log, fmt.Sprintf("source %s is heard again", s.Name))
	}
	old := ev.Revision != 0 && ev.Revision < s.revision
	if old && !ev.Complete {
		m.log = append(m.log, fmt.Sprintf("source %s: changes of revision %d after %d: ignored", s.Name, ev.Revision, s.revision))
		return
	}
	if old { // it has gone back: what it says is no news until it goes on from there
		m.log = append(m.log, fmt.Sprintf("source %s: revision %d after %d: taken as old", s.Name, ev.Revision, s.revision))
		s.failed = true
	}
	s.revision = cmp.Or(ev.Revision, s.revision)
	over := s.until > 0 && s.until <= m.now
	s.until = ev.Until
	s.gen++
	s.seen = 0
	for i := range ev.Entries {
		m.entry(s, ev.Source, &ev.Entries[i], cmp.Or(ev.Entries[i].Until, ev.Until))
	}
	first := ev.Complete && !s.whole
	if ev.Complete {
		s.whole = true
		if s.seen < len(s.entries) && !old {
			for _, e := range s.entries {
				if e.gen != s.gen {
					m.drop(s, e)
				}
			}
		}
	}
	if first || back != s.failed || old || over {
		m.touchAll() // also boxes that it does not list: that counts from now on
	}
	if s.until > 0 && (s.alarm == wheel.ID{} || s.until < s.due) {
		m.wheel.Stop(s.alarm)
		s.alarm, s.due = m.wheel.Arm(s.until, alarm{src: ev.Source}), s.until
	}
}

// entry takes in one line of a source.
func (m *Merge) entry(s *source, number int, x *Entry, until time.Duration) {
	if x.ID == x.Addr && x.ID != "" { // the address in place of an id: it may have one elsewhere
		c := *x
		c.ID = ""
		x = &c
	}
	e := s.entries[x.Name]
	if x.Phase == balance.Gone {
		if e != nil {
			m.drop(s, e)
		}
		return
	}
	if e != nil && e.ID == x.ID && e.Addr == x.Addr {
		if e.gen != s.gen { // else its name stands twice
			s.seen++
		}
		e.gen = s.gen
		was, same := e.stale, e.Line == x.Line && e.Tier == x.Tier && e.Knows == x.Knows
		shifts := x.ID != "" && (e.Line.Phase != x.Line.Phase || e.Launched != x.Launched)
		was = was || e.ghost
		e.Entry, e.stale, e.ghost = *x, false, false
		e.Until = until
		if was || !same {
			m.touch(e.box)
		}
		if shifts {
			m.reseat(e.Addr)
		}
		m.arm(e)
		return
	}
	if e != nil {
		m.remove(s, e) // its id or address is another's now
	}
	e = &entry{Entry: *x, src: number, gen: s.gen}
	e.Until = until
	s.entries[x.Name] = e
	s.seen++
	m.arm(e)
	if x.ID == "" {
		m.loose[x.Addr] = append(m.loose[x.Addr], e)
		m.attach(e, m.owner(x.Addr, e))
		return
	}
	b := m.ids[x.ID]
	if b == nil {
		b = m.adopt(x)
	}
	m.attach(e, b)
	m.reseat(x.Addr)
}

// adopt finds the box for an id that is new: one at its address that has been known by the address alone, or a new one.
func (m *Merge) adopt(x *Entry) *box {
	var b *box
	if l := m.loose[x.Addr]; len(l) > 0 && l[0].box.named == "" && len(m.at[x.Addr]) == 0 {
		b = l[0].box
	} else if bare := m.bare[x.Addr]; bare != nil && bare.named == "" {
		b = bare
	} else {
		b = m.newBox(x.ID)
	}
	b.named = x.ID
	m.ids[x.ID] = b
	return b
}

// newBox makes a box that the pool will know by this id, or by one like it where another box has the name.
func (m *Merge) newBox(id string) *box {
	free := id
	for i := 2; m.boxes[free] != nil; i++ {
		free = fmt.Sprintf("%s#%d", id, i)
	}
	b := &box{id: free, says: make([]*entry, len(m.src)), rule: len(Rules) - 1}
	b.told.Line.Phase, b.base.Line.Phase = balance.Gone, balance.Gone
	m.boxes[free] = b
	return b
}

// owner is the box at an address that an entry without an id speaks of.
func (m *Merge) owner(addr string, e *entry) *box {
	if l := m.at[addr]; len(l) > 0 {
		return slices.MinFunc(l, func(x, y *box) int {
			return cmp.Or(cmp.Compare(x.phase(), y.phase()), cmp.Compare(y.start(), x.start()), cmp.Compare(x.named, y.named))
		})
	}
	for _, other := range m.loose[addr] {
		if other.box != nil && other.box.named == "" {
			return other.box
		}
	}
	if b := m.bare[addr]; b != nil {
		return b
	}
	return m.newBox(e.Name)
}

// silent tells whether nobody says anything of a box.
func (b *box) silent() bool {
	return !slices.ContainsFunc(b.says, func(e *entry) bool { return e != nil })
}

// phase and start are what sources with ids say.
func (b *box) phase() balance.Phase {
	p := balance.Gone
	for _, e := range b.says {
		if e != nil && e.ID != "" {
			p = min(p, e.Line.Phase)
		}
	}
	return p
}

func (b *box) start() time.Duration {
	var at time.Duration
	for _, e := range b.says {
		if e != nil && e.ID != "" {
			at = max(at, e.Launched)
		}
	}
	return at
}

// attach has an entry speak of a box.
func (m *Merge) attach(e *entry, b *box) {
	e.box = b
	if m.bare[b.told.Addr] == b {
		delete(m.bare, b.told.Addr)
	}
	if m.src[e.src].Partial {
		if b.was == nil {
			b.was = make([]bool, len(m.src))
		}
		b.was[e.src] = true
	}
	if b.says[e.src] == nil { // of two entries of one source for one box the first counts
		b.says[e.src] = e
	}
	if e.ID != "" && !slices.Contains(m.at[e.Addr], b) {
		m.at[e.Addr] = append(m.at[e.Addr], b)
	}
	m.touch(b)
}

// detach undoes attach.
func (m *Merge) detach(e *entry) {
	b := e.box
	if b.says[e.src] == e {
		b.says[e.src] = nil
		for _, other := range m.loose[e.Addr] {
			if other != e && other.src == e.src && other.box == b {
				b.says[e.src] = other
				break
			}
		}
	}
	if b.known && b.silent() {
		m.bare[b.told.Addr] = b
	}
	if e.ID != "" && !slices.ContainsFunc(b.says, func(o *entry) bool { return o != nil && o.ID != "" && o.Addr == e.Addr }) {
		m.at[e.Addr] = without(m.at[e.Addr], b)
		if len(m.at[e.Addr]) == 0 {
			delete(m.at, e.Addr)
		}
	}
	m.touch(b)
}

func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// drop takes out an entry that its source lists no more. Where it drained, and another source still lists the box, the drain
// counts for a while yet: that other source is late, and would send requests to a box that has just ended its work.
func (m *Merge) drop(s *source, e *entry) {
	others := slices.ContainsFunc(e.box.says, func(o *entry) bool { return o != nil && o != e && !o.ghost })
	switch {
	case e.ghost && others:
	case e.Line.Phase == balance.Draining && others && m.cfg.DrainFor > 0:
		m.wheel.Stop(e.alarm)
		e.ghost, e.stale, e.Until, e.due = true, true, m.now, m.now+m.cfg.DrainFor
		e.alarm = m.wheel.Arm(e.due, alarm{entry: e})
		m.touch(e.box)
	default:
		m.remove(s, e)
	}
}

// remove takes an entry out.
func (m *Merge) remove(s *source, e *entry) {
	delete(s.entries, e.Name)
	m.wheel.Stop(e.alarm)
	if e.ID == "" {
		m.loose[e.Addr] = without(m.loose[e.Addr], e)
		if len(m.loose[e.Addr]) == 0 {
			delete(m.loose, e.Addr)
		}
	}
	b := e.box
	m.detach(e)
	e.box = nil
	if e.ID != "" {
		m.reseat(e.Addr)
	}
	m.lay(b)
}

// lay ends the drains of a box that only they still speak of.
func (m *Merge) lay(b *box) {
	if slices.ContainsFunc(b.says, func(e *entry) bool { return e != nil && !e.ghost }) {
		return
	}
	for _, e := range b.says {
		if e != nil {
			m.remove(&m.src[e.src], e)
		}
	}
}

// reseat has the entries that know an address only speak of the box that has it by now. Where nobody with an id has it any more
// they stay with the box that they spoke of: a list that forgets a box does not make it a stranger.
func (m *Merge) reseat(addr string) {
	if len(m.at[addr]) == 0 {
		return
	}
	var left []*box
	for _, e := range m.loose[addr] {
		if b, was := m.owner(addr, e), e.box; b != was {
			m.detach(e)
			m.attach(e, b)
			left = append(left, was)
		}
	}
	for _, b := range left {
		m.lay(b)
	}
}

// arm sets the alarm for an entry's lifetime. One that is prolonged is looked at when the old time comes: lists that are
// refreshed cost no timers.
func (m *Merge) arm(e *entry) {
	if e.Until > 0 && (e.alarm == wheel.ID{} || e.Until < e.due) {
		m.wheel.Stop(e.alarm)
		e.alarm, e.due = m.wheel.Arm(e.Until, alarm{entry: e}), e.Until
	}
}

func (m *Merge) ring(a alarm) {
	switch {
	case a.box != nil:
		if a.box.hold > 0 && a.box.hold <= m.now && m.boxes[a.box.id] == a.box {
			a.box.hold, a.box.freed = 0, true
			delete(m.held, a.box)
			m.touch(a.box)
		}
	case a.entry != nil:
		e := a.entry
		s := &m.src[e.src]
		e.alarm = wheel.ID{}
		switch {
		case e.ghost:
			m.remove(s, e)
		case e.Until == 0 || e.Until > m.now:
			e.stale = false
			m.arm(e)
		case e.Until+s.Keep > m.now:
			if !e.stale {
				e.stale = true
				m.touch(e.box)
			}
			e.due = e.Until + s.Keep
			e.alarm = m.wheel.Arm(e.due, a)
		default:
			m.remove(s, e)
		}
	default:
		s := &m.src[a.src]
		s.alarm = wheel.ID{}
		switch {
		case s.until > m.now:
			s.alarm, s.due = m.wheel.Arm(s.until, a), s.until
		case s.until > 0:
			m.touchAll() // what it does not list counts for less
		}
	}
}

// vote is what a source says of a box.
func (m *Merge) vote(i int, b *box) Vote {
	s, e := &m.src[i], b.says[i]
	old := s.failed || s.until > 0 && s.until <= m.now
	if e != nil && e.ghost && s.Trust&e.Knows&Phase == 0 {
		e = nil
	}
	switch {
	case e != nil && e.Line.Phase == balance.Draining && s.Trust&e.Knows&Phase != 0:
		if e.stale || s.failed {
			return Drained
		}
		return Drains
	case s.Trust&Existence == 0:
		return Silent
	case e != nil && (e.stale || s.failed):
		return Had
	case e != nil:
		return Has
	case !s.whole, s.Partial && (b.was == nil || !b.was[i]):
		return Silent
	case old:
		return Lacked
	case s.Must:
		return Denies
	}
	return Lacks
}

// votes are those of all sources.
func (m *Merge) votes(b *box) Votes {
	var set Votes
	for i := range m.src {
		set |= Of(m.vote(i, b))
	}
	return set
}

// facts are what is believed of a box besides its phase: of each fact the first source's that tells it, fresh ones first.
func (m *Merge) facts(b *box) (l members.Line, tier int) {
	l.ID, l.Member.Weight = b.id, 1
	var have Facts
	for _, stale := range [2]bool{false, true} {
		for i, e := range b.says {
			if e == nil || (e.stale || m.src[i].failed) != stale {
				continue
			}
			tells := m.src[i].Trust & e.Knows
			take := tells &^ have
			have |= tells
			if take&Address != 0 {
				l.Addr = e.Addr
			}
			if take&Weight != 0 {
				l.Member.Weight = e.Line.Member.Weight
			}
			if take&Zone != 0 {
				l.Zone, l.Cell, l.Kind = e.Line.Zone, e.Cell, e.Kind
			}
			if take&Tier != 0 {
				tier = e.Tier
			}
			if tells&Start != 0 { // the latest start: a cold box that is taken for warm is pushed over
				l.Launched = max(l.Launched, e.Launched)
			}
		}
	}
	return l, tier
}

// decide decides on the boxes that were touched, holds what the guard holds, and tells what has changed.
func (m *Merge) decide(out []Change, meant bool) []Change {
	if len(m.touched) == 0 {
		return out
	}
	if m.now-m.windowAt >= m.cfg.GuardWindow {
		m.windowAt, m.left = m.now, 0
	}
	before := m.serving + m.left
	var leaving []*box
	first := len(out)
	for i := 0; i < len(m.touched); i++ {
		b := m.touched[i]
		b.rule = Decide(m.votes(b))
		b.hold = m.holds(b)
		b.freed = b.freed && Rules[b.rule].Verdict == Leaves
		if v := Rules[b.rule].Verdict; v == Leaves && b.known && b.told.Line.Phase == balance.Ready && b.hold == 0 {
			if !b.check && !b.freed {
				leaving = append(leaving, b)
				continue
			}
		}
		out = m.tell(b, out)
	}
	if m.cfg.GuardPart > 0 && !meant && len(leaving) > 0 && float64(m.left+len(leaving)) > m.cfg.GuardPart*float64(before) {
		for _, b := range leaving {
			b.hold = m.now + m.cfg.GuardHold
			m.held[b] = true
			m.wheel.Arm(b.hold, alarm{box: b})
		}
		m.log = append(m.log, fmt.Sprintf("%d of %d serving boxes would leave within %v and have not failed: held for %v, unless an operator lets them go",
			m.left+len(leaving), before, m.cfg.GuardWindow, m.cfg.GuardHold))
		leaving = nil
	}
	m.left += len(leaving)
	for _, b := range leaving {
		out = m.tell(b, out)
	}
	out = m.weighChecks(out)
	slices.SortStableFunc(out[first:], func(x, y Change) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// holds tells until when a box is held: not if it is listed again, or fails.
func (m *Merge) holds(b *box) time.Duration {
	if b.hold > 0 && Rules[b.rule].Verdict == Leaves && !b.check {
		return b.hold
	}
	delete(m.held, b)
	return 0
}

// tell appends a box to out if the pool has to be told something of it.
func (m *Merge) tell(b *box, out []Change) []Change {
	c := Change{Rule: b.rule}
	c.Line, c.Tier = m.facts(b)
	switch verdict := Rules[b.rule].Verdict; {
	case verdict == Keep && b.known:
		c = b.base
		c.Rule = b.rule
	case verdict == Leaves && b.hold > 0:
		c = b.base
		c.Rule, c.Note = b.rule, "held by the guard"
	case verdict == Keep, verdict == Leaves:
		c.Line.Phase = balance.Gone
		c.Addr = cmp.Or(c.Addr, b.told.Addr)
	case verdict == Retires:
		c.Line.Phase = balance.Draining
	}
	b.base = c
	if c.Line.Phase == balance.Ready && b.check && !m.panics {
		c.Line.Phase, c.Note = balance.Draining, "its checks fail"
	}
	if b.known && b.told.Line.Phase == balance.Ready {
		m.serving--
	}
	if c.Line.Phase == balance.Ready {
		m.serving++
	}
	if b.known || c.Line.Phase != balance.Gone {
		if b.told.Line != c.Line || b.told.Tier != c.Tier {
			out = append(out, c)
		}
	}
	b.told, b.known = c, c.Line.Phase != balance.Gone
	if !b.known && b.silent() {
		m.forget(b)
	}
	return out
}

// forget drops a box of which nobody says anything.
func (m *Merge) forget(b *box) {
	if m.boxes[b.id] != b {
		return // forgotten before
	}
	delete(m.boxes, b.id)
	delete(m.down, b)
	delete(m.held, b)
	if m.bare[b.told.Addr] == b {
		delete(m.bare, b.told.Addr)
	}
	if m.ids[b.named] == b {
		delete(m.ids, b.named)
	}
}

// weighChecks has checks count for nothing while more than a part of the boxes fails them: then the checks are wrong, or sending to some
// that are down harms less than crowding the rest.
func (m *Merge) weighChecks(out []Change) []Change {
	if m.cfg.PanicPart <= 0 {
		return out
	}
	down := 0
	for b := range m.down {
		if b.known && b.base.Line.Phase == balance.Ready {
			down++
		}
	}
	all := m.serving
	if !m.panics {
		all += down
	}
	is := float64(down) > m.cfg.PanicPart*float64(all)
	if is == m.panics {
		return out
	}
	m.panics = is
	m.log = append(m.log, fmt.Sprintf("%d of %d boxes fail their checks: checks are passed over: %t", down, all, is))
	for _, b := range slices.SortedFunc(maps.Keys(m.down), func(x, y *box) int { return cmp.Compare(x.id, y.id) }) {
		out = m.tell(b, out)
	}
	return out
}

// View is what is known of one box, for operators.
type View struct {
	members.Line
	Named bool // some source has an id for it
	Tier  int
	Rule  int
	Note  string
	Says  []Said // by source
}

// Said is what one source says of a box.
type Said struct {
	Vote Vote
	Addr string
	Left time.Duration // of its lifetime; negative: stale for so long; 0: it has none
}

// Disagree tells whether sources that are heard say different things of the box.
func (v *View) Disagree() bool {
	var set Votes
	addr, two := "", false
	for _, s := range v.Says {
		set |= Of(s.Vote)
		if s.Addr != "" {
			two = two || addr != "" && addr != s.Addr
			addr = s.Addr
		}
	}
	listed := set&Of(Has, Drains) != 0
	return two || listed && set&Of(Lacks, Denies) != 0 || set&Of(Has) != 0 && set&Of(Drains) != 0
}

// Views returns all boxes, by id.
func (m *Merge) Views() []View {
	var list []View
	for _, b := range m.boxes {
		v := View{Line: b.told.Line, Named: b.named != "", Tier: b.told.Tier, Rule: b.rule, Note: b.told.Note}
		v.ID = b.id
		for i, e := range b.says {
			s := Said{Vote: m.vote(i, b)}
			if e != nil {
				s.Addr = e.Addr
				if e.Until > 0 {
					s.Left = e.Until - m.now
				}
			}
			v.Says = append(v.Says, s)
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(x, y View) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// Serving counts the boxes that may be sent to, and Held those that only the guard keeps.
func (m *Merge) Serving() int { return m.serving }

// Held counts the boxes that only the guard keeps.
func (m *Merge) Held() int { return len(m.held) }
