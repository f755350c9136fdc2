// Package merge merges the endpoint lists of several sources into one list of backends, by the rules in table.go. Each source is
// trusted for some of the facts, its entries have a lifetime, and the output consists of changes only. The package is pure: it has
// no I/O, no clock and no goroutine. It has no record of the backends that operators have taken out: package members applies
// that to its output.
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
	Name       string
	Trust      Facts         // the facts that are taken from it; 0: all
	Required   bool          // a backend that its complete list leaves out is gone, whatever the other sources report
	StaleGrace time.Duration // how long an entry counts as stale after its lifetime
	// Partial marks a source whose list covers some of the backends only. It has no vote on a backend that it has never listed.
	Partial bool
}

// Config holds the settings of a Merge. Zero values switch the guard and the panic threshold off.
type Config struct {
	Sources []SourceConfig
	// GuardFraction is the fraction of the serving backends that may leave within GuardWindow. When more would leave, those whose
	// checks pass are kept for GuardHold. 0: no guard.
	GuardFraction          float64
	GuardWindow, GuardHold time.Duration
	RemovedDrainGrace      time.Duration // how long a drain counts after its source has removed the backend while another source lists it
	PanicThreshold         float64       // with more than this fraction of the backends failing their checks, the checks are ignored; 0: never
	Tick                   time.Duration
}

// Entry is what a source reports of one backend. Line.ID is empty where the source has addresses only: its backends have Name as
// their id until a source with ids lists the same address. Line.Backend is the engine's number and unused here.
type Entry struct {
	Name    string
	Reports Facts // the facts that this entry reports
	members.Endpoint
	Tier      int           // backends of a higher tier are backups
	ExpiresAt time.Duration // when the entry becomes stale; 0: with its list
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events, with the fields each one uses.
const (
	Listed        EventKind = iota // Source, Entries, Complete, Revision, ExpiresAt, Intended
	SourceFailed                   // Source: it can't be reached; its last list is stale from now on
	HealthChecked                  // BackendID, Up
	GuardReleased                  // an operator releases what the guard holds
	Ticked                         // time has passed
)

// Event is one input of a Merge. Its slices are not retained.
type Event struct {
	Kind      EventKind
	Source    int
	Entries   []Entry
	Complete  bool          // Entries is the complete list; otherwise it holds updates, and one whose Phase is Gone removes an entry
	Revision  int64         // the source's revision number; 0: it has none
	ExpiresAt time.Duration // the end of the list's lifetime; 0: it is valid until the source fails
	Intended  bool          // its removals are deliberate, as with target "." (RFC 2782): the guard doesn't hold them
	BackendID string        // id of the backend that was checked
	Up        bool          // its check passed
}

// Change is the new state of one backend, for the pool.
type Change struct {
	members.Endpoint
	Tier int
	Rule int // index in Rules
	Note string
}

// Merge merges the sources of one pool. Handle takes every event in order. The same events give the same changes.
type Merge struct {
	cfg        Config
	now        time.Duration
	sources    []source
	backends   map[string]*backend   // by the id that the pool uses
	bySourceID map[string]*backend   // by the id that sources with ids report
	byAddr     map[string][]*backend // backends that a source with ids lists, by address
	addrOnly   map[string][]*entry   // entries without an id, by address
	orphans    map[string]*backend   // backends of the pool that no source has an entry for any more, by address
	touched    []*backend            // backends that the event in hand may change
	eventSeq   uint64                // number of events
	failing    map[*backend]bool     // backends whose checks fail
	serving    int                   // backends of the pool that are ready
	held       map[*backend]bool     // backends that the guard holds
	wheel      *wheel.Wheel[expiry]
	inPanic    bool // checks are ignored, because too many backends fail them

	windowStart  time.Duration // when the guard's window began
	leftInWindow int           // backends that left within the window
	logLines     []string
}

// source is the state of one source.
type source struct {
	SourceConfig
	entries     map[string]*entry
	hasList     bool // it has sent a complete list
	failed      bool // it can't be reached, or its revision has gone back
	revision    int64
	expiresAt   time.Duration // the end of its list's lifetime; 0: none
	timer       wheel.ID
	timerAt     time.Duration // when timer is set for
	listSeq     uint64        // number of lists and updates received
	listedCount int           // entries that the current list names
}

// entry is the last report of a source on one backend, and the backend that it is assigned to.
type entry struct {
	Entry
	sourceIndex int
	backend     *backend
	stale       bool
	lingering   bool          // it was draining when its source removed it, and it counts for RemovedDrainGrace more
	timer       wheel.ID      // set for the end of its lifetime, or for an earlier end where the lifetime has been extended since
	timerAt     time.Duration // when timer is set for
	listSeq     uint64        // listSeq of the source when it last listed the entry
}

// backend is the state of one backend.
type backend struct {
	id            string        // the id that the pool uses
	sourceID      string        // the id that sources with ids report; empty: none has yet
	entries       []*entry      // by source
	merged        Change        // the merged state, before its checks are applied
	sent          Change        // the last change sent to the pool
	inPool        bool          // the pool has it: the last change sent was not Gone
	ruleIndex     int           // index in Rules
	checksFail    bool          // its checks fail
	holdEndsAt    time.Duration // when the guard's hold ends; 0: not held
	released      bool          // its hold has ended, or an operator has released it
	touchedSeq    uint64        // eventSeq of the Merge when it was last touched
	partialListed []bool        // by source: whether a partial source has listed it
}

// expiry is what a timer is for: the end of the lifetime of an entry or of a list, or the end of a hold.
type expiry struct {
	entry       *entry
	sourceIndex int // the source whose list it is for, where entry and backend are nil
	backend     *backend
}

// NewMerge returns a Merge without backends.
func NewMerge(cfg Config, now time.Duration) *Merge {
	m := &Merge{cfg: cfg, now: now, backends: map[string]*backend{}, bySourceID: map[string]*backend{}, byAddr: map[string][]*backend{},
		addrOnly: map[string][]*entry{}, orphans: map[string]*backend{}, failing: map[*backend]bool{}, held: map[*backend]bool{},
		wheel: wheel.New[expiry](cfg.Tick, now)}
	for _, s := range cfg.Sources {
		s.Trust = cmp.Or(s.Trust, AllFacts)
		m.sources = append(m.sources, source{SourceConfig: s, entries: map[string]*entry{}})
	}
	return m
}

// Next returns when Handle needs the next Ticked event, and whether it needs one.
func (m *Merge) Next() (time.Duration, bool) { return m.wheel.Next() }

// Log returns the log lines since the last call.
func (m *Merge) Log() []string {
	l := m.logLines
	m.logLines = nil
	return l
}

// Handle processes one event and appends the resulting changes to out, ordered by id.
func (m *Merge) Handle(now time.Duration, ev Event, out []Change) []Change {
	m.now = max(m.now, now) // time never goes back here, also when the caller's clock does
	m.eventSeq++
	m.touched = m.touched[:0]
	switch ev.Kind {
	case Listed:
		if ev.Source >= 0 && ev.Source < len(m.sources) {
			m.applyList(&ev)
		}
	case SourceFailed:
		if ev.Source >= 0 && ev.Source < len(m.sources) && !m.sources[ev.Source].failed {
			s := &m.sources[ev.Source]
			s.failed = true
			m.logLines = append(m.logLines, fmt.Sprintf("source %s fails: its last word holds as old", s.Name))
			m.touchAll()
		}
	case HealthChecked:
		if b := m.backends[ev.BackendID]; b != nil && b.checksFail == ev.Up {
			b.checksFail = !ev.Up
			if ev.Up {
				delete(m.failing, b)
			} else {
				m.failing[b] = true
			}
			m.touch(b)
		}
	case GuardReleased:
		for b := range m.held {
			b.holdEndsAt, b.released = 0, true
			m.touch(b)
		}
		clear(m.held)
	}
	m.wheel.Advance(m.now, func(_ time.Duration, a expiry) { m.timerFired(a) })
	return m.decide(out, ev.Intended)
}

// touch marks a backend as one that the event may change.
func (m *Merge) touch(b *backend) {
	if b.touchedSeq != m.eventSeq {
		b.touchedSeq = m.eventSeq
		m.touched = append(m.touched, b)
	}
}

func (m *Merge) touchAll() {
	for _, b := range m.backends {
		m.touch(b)
	}
}

// applyList applies a complete list of a source, or updates to its list.
func (m *Merge) applyList(ev *Event) {
	s := &m.sources[ev.Source]
	recovered := s.failed
	s.failed = false
	if recovered {
		m.logLines = append(m.logLines, fmt.Sprintf("source %s is heard again", s.Name))
	}
	outdated := ev.Revision != 0 && ev.Revision < s.revision
	if outdated && !ev.Complete {
		m.logLines = append(m.logLines, fmt.Sprintf("source %s: changes of revision %d after %d: ignored", s.Name, ev.Revision, s.revision))
		return
	}
	if outdated { // the source has gone back to an older state: its list counts as stale until its revision rises again
		m.logLines = append(m.logLines, fmt.Sprintf("source %s: revision %d after %d: taken as old", s.Name, ev.Revision, s.revision))
		s.failed = true
	}
	s.revision = cmp.Or(ev.Revision, s.revision)
	hadExpired := s.expiresAt > 0 && s.expiresAt <= m.now
	s.expiresAt = ev.ExpiresAt
	s.listSeq++
	s.listedCount = 0
	for i := range ev.Entries {
		m.applyEntry(s, ev.Source, &ev.Entries[i], cmp.Or(ev.Entries[i].ExpiresAt, ev.ExpiresAt))
	}
	firstList := ev.Complete && !s.hasList
	if ev.Complete {
		s.hasList = true
		if s.listedCount < len(s.entries) && !outdated {
			for _, e := range s.entries {
				if e.listSeq != s.listSeq {
					m.unlistEntry(s, e)
				}
			}
		}
	}
	if firstList || recovered != s.failed || outdated || hadExpired {
		m.touchAll() // also backends that it doesn't list, since their votes change too
	}
	if s.expiresAt > 0 && (s.timer == wheel.ID{} || s.expiresAt < s.timerAt) {
		m.wheel.Stop(s.timer)
		s.timer, s.timerAt = m.wheel.Arm(s.expiresAt, expiry{sourceIndex: ev.Source}), s.expiresAt
	}
}

// applyEntry applies one entry of a source.
func (m *Merge) applyEntry(s *source, index int, x *Entry, until time.Duration) {
	if x.ID == x.Addr && x.ID != "" { // the address stands in for an id: another source may have the real one
		c := *x
		c.ID = ""
		x = &c
	}
	e := s.entries[x.Name]
	if x.Phase == balance.Gone {
		if e != nil {
			m.unlistEntry(s, e)
		}
		return
	}
	if e != nil && e.ID == x.ID && e.Addr == x.Addr {
		if e.listSeq != s.listSeq { // otherwise the list names it twice
			s.listedCount++
		}
		e.listSeq = s.listSeq
		wasInactive, unchanged := e.stale, e.Endpoint == x.Endpoint && e.Tier == x.Tier && e.Reports == x.Reports
		ownerMayChange := x.ID != "" && (e.Endpoint.Phase != x.Endpoint.Phase || e.Launched != x.Launched)
		wasInactive = wasInactive || e.lingering
		e.Entry, e.stale, e.lingering = *x, false, false
		e.ExpiresAt = until
		if wasInactive || !unchanged {
			m.touch(e.backend)
		}
		if ownerMayChange {
			m.reassign(e.Addr)
		}
		m.armTimer(e)
		return
	}
	if e != nil {
		m.deleteEntry(s, e) // the name now belongs to another id or address
	}
	e = &entry{Entry: *x, sourceIndex: index, listSeq: s.listSeq}
	e.ExpiresAt = until
	s.entries[x.Name] = e
	s.listedCount++
	m.armTimer(e)
	if x.ID == "" {
		m.addrOnly[x.Addr] = append(m.addrOnly[x.Addr], e)
		m.attach(e, m.backendAt(x.Addr, e))
		return
	}
	b := m.bySourceID[x.ID]
	if b == nil {
		b = m.backendForID(x)
	}
	m.attach(e, b)
	m.reassign(x.Addr)
}

// backendForID returns the backend for a new id: the one at its address that has no id yet, or else a new one.
func (m *Merge) backendForID(x *Entry) *backend {
	var b *backend
	if l := m.addrOnly[x.Addr]; len(l) > 0 && l[0].backend.sourceID == "" && len(m.byAddr[x.Addr]) == 0 {
		b = l[0].backend
	} else if orphan := m.orphans[x.Addr]; orphan != nil && orphan.sourceID == "" {
		b = orphan
	} else {
		b = m.addBackend(x.ID)
	}
	b.sourceID = x.ID
	m.bySourceID[x.ID] = b
	return b
}

// addBackend adds a backend with this id for the pool. Where another backend has the id, it gets a numbered suffix.
func (m *Merge) addBackend(id string) *backend {
	unusedID := id
	for i := 2; m.backends[unusedID] != nil; i++ {
		unusedID = fmt.Sprintf("%s#%d", id, i)
	}
	b := &backend{id: unusedID, entries: make([]*entry, len(m.sources)), ruleIndex: len(Rules) - 1}
	b.sent.Endpoint.Phase, b.merged.Endpoint.Phase = balance.Gone, balance.Gone
	m.backends[unusedID] = b
	return b
}

// backendAt returns the backend that an entry without an id is assigned to, by its address.
func (m *Merge) backendAt(addr string, e *entry) *backend {
	if l := m.byAddr[addr]; len(l) > 0 {
		return slices.MinFunc(l, func(x, y *backend) int {
			return cmp.Or(cmp.Compare(x.phase(), y.phase()), cmp.Compare(y.latestStart(), x.latestStart()), cmp.Compare(x.sourceID, y.sourceID))
		})
	}
	for _, other := range m.addrOnly[addr] {
		if other.backend != nil && other.backend.sourceID == "" {
			return other.backend
		}
	}
	if b := m.orphans[addr]; b != nil {
		return b
	}
	return m.addBackend(e.Name)
}

// hasNoEntries reports whether no source has an entry for the backend.
func (b *backend) hasNoEntries() bool {
	return !slices.ContainsFunc(b.entries, func(e *entry) bool { return e != nil })
}

// phase returns the phase of the backend by sources with ids: the most available one that any of them reports.
func (b *backend) phase() balance.Phase {
	p := balance.Gone
	for _, e := range b.entries {
		if e != nil && e.ID != "" {
			p = min(p, e.Endpoint.Phase)
		}
	}
	return p
}

// latestStart returns the latest start of the backend by sources with ids.
func (b *backend) latestStart() time.Duration {
	var at time.Duration
	for _, e := range b.entries {
		if e != nil && e.ID != "" {
			at = max(at, e.Launched)
		}
	}
	return at
}

// attach assigns an entry to a backend.
func (m *Merge) attach(e *entry, b *backend) {
	e.backend = b
	if m.orphans[b.sent.Addr] == b {
		delete(m.orphans, b.sent.Addr)
	}
	if m.sources[e.sourceIndex].Partial {
		if b.partialListed == nil {
			b.partialListed = make([]bool, len(m.sources))
		}
		b.partialListed[e.sourceIndex] = true
	}
	if b.entries[e.sourceIndex] == nil { // of two entries of one source for one backend the first counts
		b.entries[e.sourceIndex] = e
	}
	if e.ID != "" && !slices.Contains(m.byAddr[e.Addr], b) {
		m.byAddr[e.Addr] = append(m.byAddr[e.Addr], b)
	}
	m.touch(b)
}

// detach undoes attach: the next entry of the same source for the backend, if any, takes the place of this one.
func (m *Merge) detach(e *entry) {
	b := e.backend
	if b.entries[e.sourceIndex] == e {
		b.entries[e.sourceIndex] = nil
		for _, other := range m.addrOnly[e.Addr] {
			if other != e && other.sourceIndex == e.sourceIndex && other.backend == b {
				b.entries[e.sourceIndex] = other
				break
			}
		}
	}
	if b.inPool && b.hasNoEntries() {
		m.orphans[b.sent.Addr] = b
	}
	if e.ID != "" && !slices.ContainsFunc(b.entries, func(o *entry) bool { return o != nil && o.ID != "" && o.Addr == e.Addr }) {
		m.byAddr[e.Addr] = removeFirst(m.byAddr[e.Addr], b)
		if len(m.byAddr[e.Addr]) == 0 {
			delete(m.byAddr, e.Addr)
		}
	}
	m.touch(b)
}

// removeFirst deletes the first x from list, in place.
func removeFirst[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// unlistEntry handles an entry that its source has removed. Where the backend was draining and another source still lists it, the drain
// counts for RemovedDrainGrace more: the other source is late, and without the drain a backend that has just finished would get new requests.
func (m *Merge) unlistEntry(s *source, e *entry) {
	others := slices.ContainsFunc(e.backend.entries, func(o *entry) bool { return o != nil && o != e && !o.lingering })
	switch {
	case e.lingering && others:
	case e.Endpoint.Phase == balance.Draining && others && m.cfg.RemovedDrainGrace > 0:
		m.wheel.Stop(e.timer)
		e.lingering, e.stale, e.ExpiresAt, e.timerAt = true, true, m.now, m.now+m.cfg.RemovedDrainGrace
		e.timer = m.wheel.Arm(e.timerAt, expiry{entry: e})
		m.touch(e.backend)
	default:
		m.deleteEntry(s, e)
	}
}

// deleteEntry deletes an entry. Entries without an id at its address go to the backend that has the address now.
func (m *Merge) deleteEntry(s *source, e *entry) {
	delete(s.entries, e.Name)
	m.wheel.Stop(e.timer)
	if e.ID == "" {
		m.addrOnly[e.Addr] = removeFirst(m.addrOnly[e.Addr], e)
		if len(m.addrOnly[e.Addr]) == 0 {
			delete(m.addrOnly, e.Addr)
		}
	}
	b := e.backend
	m.detach(e)
	e.backend = nil
	if e.ID != "" {
		m.reassign(e.Addr)
	}
	m.deleteLingering(b)
}

// deleteLingering deletes the remaining entries of a backend where all of them are drains whose source has removed it.
func (m *Merge) deleteLingering(b *backend) {
	if slices.ContainsFunc(b.entries, func(e *entry) bool { return e != nil && !e.lingering }) {
		return
	}
	for _, e := range b.entries {
		if e != nil {
			m.deleteEntry(&m.sources[e.sourceIndex], e)
		}
	}
}

// reassign assigns the entries without an id at an address to the backend that has the address now. Where no backend with an id has
// the address any more, they stay with their backend: it keeps its identity when a source with ids removes it.
func (m *Merge) reassign(addr string) {
	if len(m.byAddr[addr]) == 0 {
		return
	}
	var previous []*backend
	for _, e := range m.addrOnly[addr] {
		if b, old := m.backendAt(addr, e), e.backend; b != old {
			m.detach(e)
			m.attach(e, b)
			previous = append(previous, old)
		}
	}
	for _, b := range previous {
		m.deleteLingering(b)
	}
}

// armTimer sets the timer for the end of an entry's lifetime. Where the lifetime is extended, the old timer stays and is set again when
// it fires: so a refreshed list costs no timer operations.
func (m *Merge) armTimer(e *entry) {
	if e.ExpiresAt > 0 && (e.timer == wheel.ID{} || e.ExpiresAt < e.timerAt) {
		m.wheel.Stop(e.timer)
		e.timer, e.timerAt = m.wheel.Arm(e.ExpiresAt, expiry{entry: e}), e.ExpiresAt
	}
}

// timerFired handles a timer that has fired.
func (m *Merge) timerFired(a expiry) {
	switch {
	case a.backend != nil:
		if a.backend.holdEndsAt > 0 && a.backend.holdEndsAt <= m.now && m.backends[a.backend.id] == a.backend {
			a.backend.holdEndsAt, a.backend.released = 0, true
			delete(m.held, a.backend)
			m.touch(a.backend)
		}
	case a.entry != nil:
		e := a.entry
		s := &m.sources[e.sourceIndex]
		e.timer = wheel.ID{}
		switch {
		case e.lingering:
			m.deleteEntry(s, e)
		case e.ExpiresAt == 0 || e.ExpiresAt > m.now:
			e.stale = false
			m.armTimer(e)
		case e.ExpiresAt+s.StaleGrace > m.now:
			if !e.stale {
				e.stale = true
				m.touch(e.backend)
			}
			e.timerAt = e.ExpiresAt + s.StaleGrace
			e.timer = m.wheel.Arm(e.timerAt, a)
		default:
			m.deleteEntry(s, e)
		}
	default:
		s := &m.sources[a.sourceIndex]
		s.timer = wheel.ID{}
		switch {
		case s.expiresAt > m.now:
			s.timer, s.timerAt = m.wheel.Arm(s.expiresAt, a), s.expiresAt
		case s.expiresAt > 0:
			m.touchAll() // what it leaves out is a stale vote from now on
		}
	}
}

// vote returns the vote of a source on a backend.
func (m *Merge) vote(i int, b *backend) Vote {
	s, e := &m.sources[i], b.entries[i]
	listStale := s.failed || s.expiresAt > 0 && s.expiresAt <= m.now
	if e != nil && e.lingering && s.Trust&e.Reports&Phase == 0 {
		e = nil
	}
	switch {
	case e != nil && e.Endpoint.Phase == balance.Draining && s.Trust&e.Reports&Phase != 0:
		if e.stale || s.failed {
			return StaleDrains
		}
		return Drains
	case s.Trust&Existence == 0:
		return Abstains
	case e != nil && (e.stale || s.failed):
		return StaleLists
	case e != nil:
		return Lists
	case !s.hasList, s.Partial && (b.partialListed == nil || !b.partialListed[i]):
		return Abstains
	case listStale:
		return StaleLacks
	case s.Required:
		return Denies
	}
	return Lacks
}

// votes returns the votes of all sources on a backend.
func (m *Merge) votes(b *backend) VoteSet {
	var set VoteSet
	for i := range m.sources {
		set |= SetOf(m.vote(i, b))
	}
	return set
}

// mergeFacts merges the facts of a backend besides its phase. Of each fact the first trusted source counts, fresh sources
// before stale ones.
func (m *Merge) mergeFacts(b *backend) (l members.Endpoint, tier int) {
	l.ID, l.Member.Weight = b.id, 1
	var known Facts
	for _, stale := range [2]bool{false, true} {
		for i, e := range b.entries {
			if e == nil || (e.stale || m.sources[i].failed) != stale {
				continue
			}
			reported := m.sources[i].Trust & e.Reports
			taken := reported &^ known
			known |= reported
			if taken&Address != 0 {
				l.Addr = e.Addr
			}
			if taken&Weight != 0 {
				l.Member.Weight = e.Endpoint.Member.Weight
			}
			if taken&Zone != 0 {
				l.Zone, l.Cell, l.Kind = e.Endpoint.Zone, e.Cell, e.Kind
			}
			if taken&Tier != 0 {
				tier = e.Tier
			}
			if reported&Start != 0 { // the latest start counts: a cold backend that is taken for warm gets more load than it can serve
				l.Launched = max(l.Launched, e.Launched)
			}
		}
	}
	return l, tier
}

// decide applies the rules to the touched backends, holds removals over the guard's limit, and appends what has changed to out.
// deliberate reports that the guard doesn't apply, since the removals are meant.
func (m *Merge) decide(out []Change, deliberate bool) []Change {
	if len(m.touched) == 0 {
		return out
	}
	if m.now-m.windowStart >= m.cfg.GuardWindow {
		m.windowStart, m.leftInWindow = m.now, 0
	}
	before := m.serving + m.leftInWindow
	var leaving []*backend
	first := len(out)
	for i := 0; i < len(m.touched); i++ {
		b := m.touched[i]
		b.ruleIndex = Decide(m.votes(b))
		b.holdEndsAt = m.holdEnd(b)
		b.released = b.released && Rules[b.ruleIndex].Verdict == Remove
		if v := Rules[b.ruleIndex].Verdict; v == Remove && b.inPool && b.sent.Endpoint.Phase == balance.Ready && b.holdEndsAt == 0 {
			if !b.checksFail && !b.released {
				leaving = append(leaving, b)
				continue
			}
		}
		out = m.emit(b, out)
	}
	if m.cfg.GuardFraction > 0 && !deliberate && len(leaving) > 0 && float64(m.leftInWindow+len(leaving)) > m.cfg.GuardFraction*float64(before) {
		for _, b := range leaving {
			b.holdEndsAt = m.now + m.cfg.GuardHold
			m.held[b] = true
			m.wheel.Arm(b.holdEndsAt, expiry{backend: b})
		}
		m.logLines = append(m.logLines, fmt.Sprintf(
			"%d of %d serving boxes would leave within %v and have not failed: held for %v, unless an operator lets them go",
			m.leftInWindow+len(leaving), before, m.cfg.GuardWindow, m.cfg.GuardHold))
		leaving = nil
	}
	m.leftInWindow += len(leaving)
	for _, b := range leaving {
		out = m.emit(b, out)
	}
	out = m.applyPanicThreshold(out)
	slices.SortStableFunc(out[first:], func(x, y Change) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// holdEnd returns when the hold of a backend ends. 0: it isn't held, also because it is listed again or its checks fail.
func (m *Merge) holdEnd(b *backend) time.Duration {
	if b.holdEndsAt > 0 && Rules[b.ruleIndex].Verdict == Remove && !b.checksFail {
		return b.holdEndsAt
	}
	delete(m.held, b)
	return 0
}

// emit appends the state of a backend to out, if it differs from the state that the pool has.
func (m *Merge) emit(b *backend, out []Change) []Change {
	c := Change{Rule: b.ruleIndex}
	c.Endpoint, c.Tier = m.mergeFacts(b)
	switch verdict := Rules[b.ruleIndex].Verdict; {
	case verdict == Unchanged && b.inPool:
		c = b.merged
		c.Rule = b.ruleIndex
	case verdict == Remove && b.holdEndsAt > 0:
		c = b.merged
		c.Rule, c.Note = b.ruleIndex, "held by the guard"
	case verdict == Unchanged, verdict == Remove:
		c.Endpoint.Phase = balance.Gone
		c.Addr = cmp.Or(c.Addr, b.sent.Addr)
	case verdict == Drain:
		c.Endpoint.Phase = balance.Draining
	}
	b.merged = c
	if c.Endpoint.Phase == balance.Ready && b.checksFail && !m.inPanic {
		c.Endpoint.Phase, c.Note = balance.Draining, "its checks fail"
	}
	if b.inPool && b.sent.Endpoint.Phase == balance.Ready {
		m.serving--
	}
	if c.Endpoint.Phase == balance.Ready {
		m.serving++
	}
	if b.inPool || c.Endpoint.Phase != balance.Gone {
		if b.sent.Endpoint != c.Endpoint || b.sent.Tier != c.Tier {
			out = append(out, c)
		}
	}
	b.sent, b.inPool = c, c.Endpoint.Phase != balance.Gone
	if !b.inPool && b.hasNoEntries() {
		m.forget(b)
	}
	return out
}

// forget deletes a backend that no source has an entry for.
func (m *Merge) forget(b *backend) {
	if m.backends[b.id] != b {
		return // deleted before
	}
	delete(m.backends, b.id)
	delete(m.failing, b)
	delete(m.held, b)
	if m.orphans[b.sent.Addr] == b {
		delete(m.orphans, b.sent.Addr)
	}
	if m.bySourceID[b.sourceID] == b {
		delete(m.bySourceID, b.sourceID)
	}
}

// applyPanicThreshold applies the panic threshold: while more than PanicThreshold of the backends fail their checks, the checks are
// ignored. Either the checks are wrong then, or sending to some backends that are down does less harm than overloading the rest.
func (m *Merge) applyPanicThreshold(out []Change) []Change {
	if m.cfg.PanicThreshold <= 0 {
		return out
	}
	failing := 0
	for b := range m.failing {
		if b.inPool && b.merged.Endpoint.Phase == balance.Ready {
			failing++
		}
	}
	total := m.serving
	if !m.inPanic {
		total += failing
	}
	panicNow := float64(failing) > m.cfg.PanicThreshold*float64(total)
	if panicNow == m.inPanic {
		return out
	}
	m.inPanic = panicNow
	m.logLines = append(m.logLines, fmt.Sprintf("%d of %d boxes fail their checks: checks are passed over: %t", failing, total, panicNow))
	for _, b := range slices.SortedFunc(maps.Keys(m.failing), func(x, y *backend) int { return cmp.Compare(x.id, y.id) }) {
		out = m.emit(b, out)
	}
	return out
}

// View is the state of one backend, for operators.
type View struct {
	members.Endpoint
	HasID bool // some source reports an id for it
	Tier  int
	Rule  int
	Note  string
	Votes []SourceVote // by source
}

// SourceVote is the vote of one source on a backend.
type SourceVote struct {
	Vote      Vote
	Addr      string
	Remaining time.Duration // the rest of the entry's lifetime; negative: stale for that long; 0: it has no lifetime
}

// HasConflict reports whether fresh sources differ about the backend, or any two sources about its address.
func (v *View) HasConflict() bool {
	var set VoteSet
	addr, addrsDiffer := "", false
	for _, s := range v.Votes {
		set |= SetOf(s.Vote)
		if s.Addr != "" {
			addrsDiffer = addrsDiffer || addr != "" && addr != s.Addr
			addr = s.Addr
		}
	}
	listed := set&SetOf(Lists, Drains) != 0
	return addrsDiffer || listed && set&SetOf(Lacks, Denies) != 0 || set&SetOf(Lists) != 0 && set&SetOf(Drains) != 0
}

// Views returns the state of all backends, ordered by id.
func (m *Merge) Views() []View {
	var list []View
	for _, b := range m.backends {
		v := View{Endpoint: b.sent.Endpoint, HasID: b.sourceID != "", Tier: b.sent.Tier, Rule: b.ruleIndex, Note: b.sent.Note}
		v.ID = b.id
		for i, e := range b.entries {
			s := SourceVote{Vote: m.vote(i, b)}
			if e != nil {
				s.Addr = e.Addr
				if e.ExpiresAt > 0 {
					s.Remaining = e.ExpiresAt - m.now
				}
			}
			v.Votes = append(v.Votes, s)
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
