package cluster

// This file has which schema of records the fleet writes: it tells package schema what happens, has its words go round, and puts what
// it says into the view. All that is decided is decided there.
//
// Words ride on full exchanges, and go by datagrams of their own: as soon as one has changed, and some each second, so that nothing
// hangs on one that got lost. What stands in this process's tables has no form that is written: records are put into the member's form as
// they go out and into the newest as they come in. So a sweep is done as soon as it begins, and nothing has to be moved.

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"glencart/detect"
	"glencart/internal/cluster/wire"
	"glencart/schema"
	"glencart/share"
)

// How words go round.
const (
	levelsEvery = time.Second            // between two datagrams when nothing changes
	levelsPause = 100 * time.Millisecond // between two when something does
	levelsTo    = 2                      // members that are told each time
	levelsNotes = 256                    // lines of the log that wait
	// settleAfter is how long after its first exchange a process counts as one that has joined: in it the words of all come round. So some
	// that were started at once with a new release, and met each other first, do not raise anything among themselves.
	settleAfter = 5 * time.Second
)

// levels is what is known of schemas.
type levels struct {
	lock
	schema *schema.Levels
	book   *schema.Registry
	held   map[schema.Kind]uint16
	joined bool                 // it has met others, and has heard them for settleAfter
	met    bool                 // it has met others
	alone  *time.Timer          // when it is due, this process counts as settled
	list   []schema.ID          // members that schema was told last
	told   map[schema.ID]uint64 // how often each word went out since it changed
	at     map[schema.ID]uint64 // the Seq of which told tells
	out    []schema.Action      // room for answers

	changed chan struct{} // somebody's word is a new one
	notes   chan schema.Action
}

// Schemas are what is known of schemas at one moment. They never change.
type Schemas map[schema.Kind]Schema

// Schema is what is known of one kind of records.
type Schema struct {
	Written schema.Level // by the fleet; schema 0: nothing yet
	Writes  uint16       // by this process
	Held    uint16       // by this process's operator; 0: not
	Lo, Hi  uint16       // this release reads these
	Fit     bool         // this process reads what is written: it takes part
	links   map[schema.ID]schemaLink
}

// schemaLink is at which schema a record goes to a member; or, where there is no way to At, as it stands up to most.
type schemaLink struct {
	at, most uint16
	ok       bool // false: it gets none
}

// readsMost is set by tests alone, as they link the program (-ldflags "-X glencart/internal/cluster.readsMost=2"): it stands for an older
// release, which reads nothing above it.
var readsMost string

// release is the book of what this program reads.
func release() (*schema.Registry, error) {
	b := &schema.Registry{}
	if err := share.Register(b); err != nil {
		return nil, err
	}
	if most, err := strconv.ParseUint(readsMost, 10, 16); err == nil {
		for _, k := range schema.Kinds {
			b = b.Restrict(k, 1, uint16(most))
		}
	}
	return b, nil
}

func (c *Cluster) openLevels(start uint64) (err error) {
	l := &c.levels
	if l.book = c.cfg.Book; l.book == nil {
		if l.book, err = release(); err != nil {
			return err
		}
	}
	l.rank, l.held, l.alone = rankSchema, c.cfg.Hold, time.NewTimer(cmp.Or(c.cfg.Detect.ForgetAfter, 30*time.Minute))
	l.changed, l.notes = make(chan struct{}, 1), make(chan schema.Action, levelsNotes)
	l.Lock()
	defer l.Unlock()
	c.beginLevels(start, nil)
	return nil
}

// beginLevels begins under a start, with what is written already. With the lock.
func (c *Cluster) beginLevels(start uint64, written map[schema.Kind]schema.Level) {
	l := &c.levels
	l.schema = schema.NewLevels(schema.ID{Name: c.cfg.Name, Start: start}, l.book, written)
	l.told, l.at, l.list = map[schema.ID]uint64{}, map[schema.ID]uint64{}, nil
	if l.joined {
		c.decide(schema.Event{Kind: schema.Settled})
	}
	c.decideHeld()
}

// decide tells package schema an event and keeps what it answers. With the lock.
func (c *Cluster) decide(ev schema.Event) {
	l := &c.levels
	l.out = l.schema.Handle(ev, l.out[:0])
	for _, a := range slices.Clone(l.out) {
		switch a.Kind {
		case schema.SendState:
			c.levelsChanged()
			continue
		case schema.LevelRose, schema.LevelFell:
			c.decide(schema.Event{Kind: schema.Swept, Of: a.Of, At: a.To.Schema})
		}
		select {
		case l.notes <- a:
		default:
			c.counts.add(lostNotes)
		}
	}
}

func (c *Cluster) levelsChanged() {
	select {
	case c.levels.changed <- struct{}{}:
	default:
	}
}

func (c *Cluster) decideHeld() {
	for _, k := range schema.Kinds {
		c.decide(schema.Event{Kind: schema.LimitSet, Of: k, At: c.levels.held[k]})
	}
}

// Hold has the operator want no more than these schemas written from now on; a kind that is not there: any.
func (c *Cluster) Hold(held map[schema.Kind]uint16) {
	c.levels.Lock()
	defer c.levels.Unlock()
	c.levels.held = held
	c.decideHeld()
	c.viewLevels()
}

// membersLevels tells package schema who the members are, as a view has them that is not stored yet. With the lock of the members.
func (c *Cluster) membersLevels(v *View) {
	l := &c.levels
	l.Lock()
	defer l.Unlock()
	if id := l.schema.State().ID; id.Start != v.Self.Start { // it had to take a later start
		written := map[schema.Kind]schema.Level{}
		known := slices.Collect(l.schema.OtherStates)
		for _, s := range l.schema.State().Stands {
			written[s.Kind] = s.Written
		}
		c.beginLevels(v.Self.Start, written)
		for _, s := range known {
			c.decide(schema.Event{Kind: schema.StateReceived, State: s})
		}
	}
	list := make([]schema.ID, 0, len(v.Members))
	for _, m := range v.Members {
		list = append(list, schema.ID{Name: m.Name, Start: m.Start})
	}
	if !slices.Equal(list, l.list) {
		l.list = list
		c.decide(schema.Event{Kind: schema.Members, Members: list})
		c.levelsChanged() // who has come wants to hear of it
	}
	v.Schemas = c.schemas()
	c.view.Store(v)
}

// viewLevels puts what is known now into the view. With the lock.
func (c *Cluster) viewLevels() {
	v := *c.view.Load()
	v.Schemas = c.schemas()
	c.view.Store(&v)
	c.ownersChanged()
}

// schemas words what is known. With the lock.
func (c *Cluster) schemas() Schemas {
	l := &c.levels
	out := Schemas{}
	for _, s := range l.schema.State().Stands {
		x := Schema{Written: s.Written, Writes: l.schema.Written(s.Kind), Held: s.UpperLimit, Lo: s.Lo, Hi: s.Hi, links: map[schema.ID]schemaLink{}}
		x.Fit = s.Written.Schema == 0 || s.Lo <= s.Written.Schema && s.Written.Schema <= s.Hi
		for said := range l.schema.OtherStates {
			at, most, ok := l.schema.SendRange(said.ID, s.Kind)
			x.links[said.ID] = schemaLink{at, most, ok}
		}
		out[s.Kind] = x
	}
	return out
}

// heardLevels takes in the words that a Packet brought.
func (c *Cluster) heardLevels(p *wire.Packet, from string) {
	if p.Levels == nil {
		return
	}
	list, ok := p.ToLevels()
	if !ok {
		c.counts.drop(garbage, from)
		return
	}
	l := &c.levels
	l.Lock()
	defer l.Unlock()
	news := false
	for _, s := range list {
		if s.Name == c.cfg.Name && s.Start == l.schema.State().Start {
			continue
		}
		if l.at[s.ID] < s.Seq {
			news = true
			c.decide(schema.Event{Kind: schema.StateReceived, State: s})
		}
	}
	if news {
		c.countTold()
		c.viewLevels()
		c.levelsChanged()
	}
}

// met is told when this process has met others.
func (c *Cluster) met() {
	l := &c.levels
	l.Lock()
	defer l.Unlock()
	if !l.met {
		l.met = true
		l.alone.Reset(settleAfter)
	}
}

// settled is told when it has joined them, or has been alone for as long as a member is remembered.
func (c *Cluster) settled() {
	l := &c.levels
	l.Lock()
	defer l.Unlock()
	if !l.joined {
		l.joined = true
		c.decide(schema.Event{Kind: schema.Settled})
		c.viewLevels()
	}
}

// countTold begins to count anew for words that have changed. With the lock.
func (c *Cluster) countTold() {
	l := &c.levels
	known := map[schema.ID]bool{}
	look := func(s schema.MemberState) {
		known[s.ID] = true
		if l.at[s.ID] != s.Seq {
			l.at[s.ID], l.told[s.ID] = s.Seq, 0
		}
	}
	look(l.schema.State())
	l.schema.OtherStates(func(s schema.MemberState) bool { look(s); return true })
	for id := range l.at {
		if !known[id] {
			delete(l.at, id)
			delete(l.told, id)
		}
	}
}

// words are what goes into a Packet with room for so many bytes: this process's own word, then those that went out least often.
func (c *Cluster) words(room int) *wire.Levels {
	l := &c.levels
	l.Lock()
	defer l.Unlock()
	c.countTold()
	self := l.schema.State()
	list := append([]schema.MemberState{self}, slices.Collect(l.schema.OtherStates)...)
	slices.SortStableFunc(list[1:], func(a, b schema.MemberState) int { return cmp.Compare(l.told[a.ID], l.told[b.ID]) })
	out := &wire.Levels{}
	for _, s := range list[:min(len(list), wire.SaidMost)] {
		w := wire.FromSaid(s)
		if room -= wire.SizeSaid(w); room < 0 {
			break
		}
		l.told[s.ID]++
		out.List = append(out.List, w)
	}
	return out
}

// agree sends words round until ctx ends, and writes the log.
func (c *Cluster) agree(ctx context.Context) {
	every := time.NewTicker(levelsEvery)
	defer every.Stop()
	defer c.levels.alone.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-c.levels.notes:
			c.levelLine(a)
			continue
		case <-c.levels.alone.C:
			c.settled()
			continue
		case <-every.C:
		case <-c.levels.changed:
			if !rest(ctx, levelsPause) { // what changes meanwhile goes with it
				return
			}
		}
		c.tellLevels()
	}
}

// tellLevels sends words to some members.
func (c *Cluster) tellLevels() {
	v := c.View()
	var to []Member
	for _, m := range v.Members {
		if m.Name != c.cfg.Name && (m.State == detect.Alive || m.State == detect.Suspect) {
			to = append(to, m)
		}
	}
	if v.Superseded {
		return
	}
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	for _, m := range to[:min(len(to), levelsTo)] {
		c.sendPacket(m.Addr, &wire.Packet{Levels: c.words(wire.DatagramMost - datagramRoom)})
	}
}

// levelLine words one change.
func (c *Cluster) levelLine(a schema.Action) {
	by := []any{"records", a.Of.String(), "from", a.From.String(), "to", a.To.String(), "cause", a.Why}
	if a.By.Name != "" {
		by = append(by, "by", a.By.Name)
	}
	text, level := "", slog.LevelInfo
	switch a.Kind {
	case schema.LevelRose:
		text = "fleet: schema rose"
	case schema.LevelFell:
		text, level = "fleet: schema taken back", slog.LevelWarn
	case schema.TooOld:
		text, level = "fleet: schema not read: this release is too old for it, this process takes no part and serves alone", slog.LevelError
	case schema.TooNew:
		text, level = "fleet: schema not read: this release is too new for it, this process takes no part and serves alone", slog.LevelError
	case schema.Fit:
		text = "fleet: schema is read again: this process takes part"
	case schema.Refused:
		text, level = "fleet: schema not taken back", slog.LevelWarn
	case schema.Cleared:
		text = "fleet: schema cleared: older releases may be started"
	}
	c.log.Log(context.Background(), level, text, by...)
}

// Fit tells whether this process takes part in records of a kind: it reads what the fleet writes. It takes no lock.
func (c *Cluster) Fit(k schema.Kind) bool { return c.View().Schemas[k].Fit }

// Takes tells whether a member takes part in them, as far as is known: one that has not said what it reads does.
func (c *Cluster) Takes(k schema.Kind, name string, start uint64) bool {
	l, known := c.View().Schemas[k].links[schema.ID{Name: name, Start: start}]
	return !known || l.ok
}

// Form is the schema at which a record of a kind goes to a member, and the highest that it may stand at where there is no way there.
// 0: it is not sent, as one of the two takes no part. To one that has not said yet what it reads it goes as it is written. It takes no lock.
func (c *Cluster) Form(k schema.Kind, name string) (at, most uint16) {
	v := c.View()
	x := v.Schemas[k]
	if !x.Fit {
		return 0, 0
	}
	m, _ := v.of(name)
	if l, known := x.links[schema.ID{Name: name, Start: m.Start}]; known {
		return l.at, l.most // both 0 where it gets none
	}
	return x.Writes, x.Writes
}

// reads tells whether this release reads a record that came in. One that it does not is left out and counted: who sent it has not heard
// yet what this process reads.
func (c *Cluster) reads(r schema.Record) bool {
	_, ok := c.levels.book.Form(r.Kind, r.Schema)
	if !ok {
		c.counts.add(notRead)
	}
	return ok
}

// meant tells whether what is in a Packet was meant for this process, and not for one of its name before it, which may have read more.
func (c *Cluster) meant(p *wire.Packet) bool {
	return p.ToStart == 0 || p.ToStart == c.View().Self.Start
}

// ownersChanged has it reckoned anew who owns what.
func (c *Cluster) ownersChanged() {
	select {
	case c.shared.moved <- struct{}{}:
	default:
	}
}

// of finds a process by its name.
func (v *View) of(name string) (Member, bool) {
	at, found := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
	if !found {
		return Member{}, false
	}
	return v.Members[at], true
}
