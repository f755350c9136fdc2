// Package merge merges the endpoint lists of several sources into one list of backends, by the rules in table.go. Each source is
// trusted for some of the facts, its entries have a lifetime, and the output consists of changes only. The package is pure: it has
// no I/O, no clock and no goroutine. It doesn't know which backends operators have taken out: package members applies that to its
// output.
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

// Facts is a set of the facts that a source can report of a backend.
type Facts uint8

// Facts. Existence and Phase are decided by votes. Of each other fact the value of the first trusted source counts; of Start the
// latest value counts.
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

// SourceConfig is one source of a Merge. Sources are listed in order of precedence, the highest first.
type SourceConfig struct {
	Name  string
	Trust Facts         // the facts that are taken from it; 0: all
	Must  bool          // a backend that its complete list leaves out is gone, whatever the other sources report
	Keep  time.Duration // how long an entry counts as stale after its lifetime
	// Partial marks a source whose list covers some of the backends only. It has no vote on a backend that it has never listed.
	Partial bool
}

// Config holds the settings of a Merge. Zero values switch the guard and the panic threshold off.
type Config struct {
	Sources []SourceConfig
	// GuardPart is the fraction of the serving backends that may leave within GuardWindow. When more would leave, those whose
	// checks pass are kept for GuardHold. 0: no guard.
	GuardPart              float64
	GuardWindow, GuardHold time.Duration
	DrainFor               time.Duration // how long a drain counts after its source has removed the backend while another source lists it
	PanicPart              float64       // with more than this fraction of the backends failing their checks, the checks are ignored; 0: never
	Tick                   time.Duration
}

// Entry is what a source reports of one backend. Line.ID is empty where the source has addresses only: its backends have Name as
// their id until a source with ids lists the same address. Line.Backend is the engine's number and unused here.
type Entry struct {
	Name  string
	Knows Facts // the facts that this entry reports
	members.Line
	Tier  int           // backends of a higher tier are backups
	Until time.Duration // when the entry becomes stale; 0: with its list
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events, with the fields each one uses.
const (
	Listed  EventKind = iota // Source, Entries, Complete, Revision, Until, Decided
	Failed                   // Source: it can't be reached; its last list is stale from now on
	Checked                  // Box, Up
	Allowed                  // an operator releases what the guard holds
	Ticked                   // time has passed
)

// Event is one input of a Merge. Its slices are not retained.
type Event struct {
	Kind     EventKind
	Source   int
	Entries  []Entry
	Complete bool          // Entries is the complete list; otherwise it holds updates, and one whose Phase is Gone removes an entry
	Revision int64         // the source's revision number; 0: it has none
	Until    time.Duration // the end of the list's lifetime; 0: it is valid until the source fails
	Decided  bool          // its removals are deliberate, as with target "." (RFC 2782): the guard doesn't hold them
	Box      string        // id of the backend that was checked
	Up       bool          // its check passed
}

// Change is the new state of one backend, for the pool.
type Change struct {
	members.Line
	Tier int
	Rule int // index in Rules
	Note string
}

// Merge merges the sources of one pool. Handle takes every event in order. The same events give the same changes.
type Merge struct {
	cfg     Config
	now     time.Duration
	src     []source
	boxes   map[string]*box     // by the id that the pool uses
	ids     map[string]*box     // by the id that sources with ids report
	at      map[string][]*box   // backends that a source with ids lists, by address
	loose   map[string][]*entry // entries without an id, by address
	bare    map[string]*box     // backends of the pool that no source has an entry for any more, by address
	touched []*box              // backends that the event in hand may change
	mark    uint64              // number of events
	down    map[*box]bool       // backends whose checks fail
	serving int                 // backends of the pool that are ready
	held    map[*box]bool       // backends that the guard holds
	wheel   *wheel.Wheel[alarm]
	panics  bool // checks are ignored, because too many backends fail them

	windowAt time.Duration // when the guard's window began
	left     int           // backends that left within the window
	log      []string
}

// source is the state of one source.
type source struct {
	SourceConfig
	entries  map[string]*entry
	whole    bool // it has sent a complete list
	failed   bool // it can't be reached, or its revision has gone back
	revision int64
	until    time.Duration // the end of its list's lifetime; 0: none
	alarm    wheel.ID
	due      time.Duration // when alarm is set for
	gen      uint64        // number of lists and updates received
	seen     int           // entries that the current list names
}

// entry is the last report of a source on one backend, and the backend that it is assigned to.
type entry struct {
	Entry
	src   int
	box   *box
	stale bool
	ghost bool          // it was draining when its source removed it, and it counts for DrainFor more
	alarm wheel.ID      // set for the end of its lifetime, or for an earlier end where the lifetime has been extended since
	due   time.Duration // when alarm is set for
	gen   uint64        // gen of the source when it last listed the entry
}

// box is the state of one backend.
type box struct {
	id    string        // the id that the pool uses
	named string        // the id that sources with ids report; empty: none has yet
	says  []*entry      // by source
	base  Change        // the merged state, before its checks are applied
	told  Change        // the last change sent to the pool
	known bool          // the pool has it: the last change sent was not Gone
	rule  int           // index in Rules
	check bool          // its checks fail
	hold  time.Duration // when the guard's hold ends; 0: not held
	freed bool          // its hold has ended, or an operator has released it
	mark  uint64        // mark of the Merge when it was last touched
	was   []bool        // by source: whether a partial source has listed it
}

// alarm is what a timer is for: the end of the lifetime of an entry or of a list, or the end of a hold.
type alarm struct {
	entry *entry
	src   int // the source whose list it is for, where entry and box are nil
	box   *box
}

// NewMerge returns a Merge without backends.
func NewMerge(cfg Config, now time.Duration) *Merge {
	m := &Merge{cfg: cfg, now: now, boxes: map[string]*box{}, ids: map[string]*box{}, at: map[string][]*box{},
		loose: map[string][]*entry{}, bare: map[string]*box{}, down: map[*box]bool{}, held: map[*box]bool{},
		wheel: wheel.New[alarm](cfg.Tick, now)}
	for _, s := range cfg.Sources {
		s.Trust = cmp.Or(s.Trust, AllFacts)
		m.src = append(m.src, source{SourceConfig: s, entries: map[string]*entry{}})
	}
	return m
}

// Next returns when Handle needs the next Ticked event, and whether it needs one.
func (m *Merge) Next() (time.Duration, bool) { return m.wheel.Next() }

// Log returns the log lines since the last call.
func (m *Merge) Log() []string {
	l := m.log
	m.log = nil
	return l
}

// Handle processes one event and appends the resulting changes to out, ordered by id.
func (m *Merge) Handle(now time.Duration, ev Event, out []Change) []Change {
	m.now = max(m.now, now) // time never goes back here, also when the caller's clock does
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

// touch marks a backend as one that the event may change.
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

// listed applies a complete list of a source, or updates to its list.
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
	if old { // the source has gone back to an older state: its list counts as stale until its revision rises again
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
		m.touchAll() // also backends that it doesn't list, since their votes change too
	}
	if s.until > 0 && (s.alarm == wheel.ID{} || s.until < s.due) {
		m.wheel.Stop(s.alarm)
		s.alarm, s.due = m.wheel.Arm(s.until, alarm{src: ev.Source}), s.until
	}
}

// entry applies one entry of a source.
func (m *Merge) entry(s *source, number int, x *Entry, until time.Duration) {
	if x.ID == x.Addr && x.ID != "" { // the address stands in for an id: another source may have the real one
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
		if e.gen != s.gen { // otherwise the list names it twice
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
		m.remove(s, e) // the name now belongs to another id or address
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

// adopt returns the backend for a new id: the one at its address that has no id yet, or else a new one.
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

// newBox adds a backend with this id for the pool. Where another backend has the id, it gets a numbered suffix.
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

// owner returns the backend that an entry without an id is assigned to, by its address.
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

// silent reports whether no source has an entry for the backend.
func (b *box) silent() bool {
	return !slices.ContainsFunc(b.says, func(e *entry) bool { return e != nil })
}

// phase returns the phase of the backend by sources with ids: the most available one that any of them reports.
func (b *box) phase() balance.Phase {
	p := balance.Gone
	for _, e := range b.says {
		if e != nil && e.ID != "" {
			p = min(p, e.Line.Phase)
		}
	}
	return p
}

// start returns the latest start of the backend by sources with ids.
func (b *box) start() time.Duration {
	var at time.Duration
	for _, e := range b.says {
		if e != nil && e.ID != "" {
			at = max(at, e.Launched)
		}
	}
	return at
}

// attach assigns an entry to a backend.
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
	if b.says[e.src] == nil { // of two entries of one source for one backend the first counts
		b.says[e.src] = e
	}
	if e.ID != "" && !slices.Contains(m.at[e.Addr], b) {
		m.at[e.Addr] = append(m.at[e.Addr], b)
	}
	m.touch(b)
}

// detach undoes attach: the next entry of the same source for the backend, if any, takes the place of this one.
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

// without deletes the first x from list, in place.
func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// drop handles an entry that its source has removed. Where the backend was draining and another source still lists it, the drain
// counts for DrainFor more: the other source is late, and without the drain a backend that has just finished would get new requests.
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

// remove deletes an entry. Entries without an id at its address go to the backend that has the address now.
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

// lay deletes the remaining entries of a backend where all of them are drains whose source has removed it.
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

// reseat assigns the entries without an id at an address to the backend that has the address now. Where no backend with an id has
// the address any more, they stay with their backend: it keeps its identity when a source with ids removes it.
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

// arm sets the timer for the end of an entry's lifetime. Where the lifetime is extended, the old timer stays and is set again when
// it fires: so a refreshed list costs no timer operations.
func (m *Merge) arm(e *entry) {
	if e.Until > 0 && (e.alarm == wheel.ID{} || e.Until < e.due) {
		m.wheel.Stop(e.alarm)
		e.alarm, e.due = m.wheel.Arm(e.Until, alarm{entry: e}), e.Until
	}
}

// ring handles a timer that has fired.
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
			m.touchAll() // what it leaves out is a stale vote from now on
		}
	}
}

// vote returns the vote of a source on a backend.
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

// votes returns the votes of all sources on a backend.
func (m *Merge) votes(b *box) Votes {
	var set Votes
	for i := range m.src {
		set |= Of(m.vote(i, b))
	}
	return set
}

// facts merges the facts of a backend besides its phase. Of each fact the first trusted source counts, fresh sources before stale
// ones.
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
			if tells&Start != 0 { // the latest start counts: a cold backend that is taken for warm gets more load than it can serve
				l.Launched = max(l.Launched, e.Launched)
			}
		}
	}
	return l, tier
}

// decide applies the rules to the touched backends, holds removals over the guard's limit, and appends what has changed to out. meant
// says that the removals are deliberate.
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

// holds returns when the hold of a backend ends. 0: it isn't held, also because it is listed again or its checks fail.
func (m *Merge) holds(b *box) time.Duration {
	if b.hold > 0 && Rules[b.rule].Verdict == Leaves && !b.check {
		return b.hold
	}
	delete(m.held, b)
	return 0
}

// tell appends the state of a backend to out, if it differs from the state that the pool has.
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

// forget deletes a backend that no source has an entry for.
func (m *Merge) forget(b *box) {
	if m.boxes[b.id] != b {
		return // deleted before
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

// weighChecks applies the panic threshold: while more than PanicPart of the backends fail their checks, the checks are ignored. Either
// the checks are wrong then, or sending to some backends that are down does less harm than overloading the rest.
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

// View is the state of one backend, for operators.
type View struct {
	members.Line
	Named bool // some source reports an id for it
	Tier  int
	Rule  int
	Note  string
	Says  []Said // by source
}

// Said is the vote of one source on a backend.
type Said struct {
	Vote Vote
	Addr string
	Left time.Duration // the rest of the entry's lifetime; negative: stale for that long; 0: it has no lifetime
}

// Disagree reports whether fresh sources differ about the backend, or any two sources about its address.
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

// Views returns the state of all backends, ordered by id.
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

// Serving returns the number of backends that get new requests.
func (m *Merge) Serving() int { return m.serving }

// Held returns the number of backends that only the guard keeps.
func (m *Merge) Held() int { return len(m.held) }
