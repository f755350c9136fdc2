package schema

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
)

var (
	fleetCount = flag.Int("upgrades", 500, "number of seeded rolling upgrades and rollbacks that TestFleets runs")
	onlySeed   = flag.Uint64("upgrade", 0, "run only this seed and print its script")
)

// Durations in rounds of the simulated fleet. Each process sends to two others per round, so a state takes several rounds to reach all.
const (
	forgetRounds   = 30 // rounds without a message after which a process is forgotten
	settleRounds   = 3  // rounds after the first message from another process
	maxLevelRounds = 25 // rounds after the last fault within which all processes write the same level
	maxWaitRounds  = 120
)

// fleetRegistry has three forms of usage and of sessions with the changes that are prone to errors: a field that is renamed and scaled, a
// missing step down, and a register that old releases keep without defining it.
func fleetRegistry(oneway bool) *Registry {
	b := &Registry{}
	totals := func(nums map[string]uint32) func(Record) map[string]uint64 {
		return func(r Record) map[string]uint64 {
			out := map[string]uint64{}
			for name, num := range nums {
				out[name] = 0
				for _, f := range r.All(num) {
					out[name] += f.Int
				}
			}
			return out
		}
	}
	last := Step{What: "the last call stays, not known"}
	if oneway {
		last = Step{Loss: NoSuchStep, What: "a release that does not know the last call would run it again"}
	}
	for _, f := range []Form{
		{Kind: Use, Number: 1, Totals: totals(map[string]uint32{"requests": 1000})},
		{Kind: Use, Number: 2, Totals: totals(map[string]uint32{"requests": 1000, "ms": 1001})},
		{Kind: Use, Number: 3, Totals: func(r Record) map[string]uint64 {
			m := totals(map[string]uint32{"requests": 1010, "ms": 1011})(r)
			m["ms"] /= 1000
			return m
		}, Up: Step{Do: func(r Record) (Record, error) {
			r, _ = moveFields(1000, 1010, identity)(r)
			return moveFields(1001, 1011, func(v uint64) uint64 { return v * 1000 })(r)
		}}, Down: Step{Do: func(r Record) (Record, error) {
			r, _ = moveFields(1010, 1000, identity)(r)
			return moveFields(1011, 1001, func(v uint64) uint64 { return v / 1000 })(r)
		}, Loss: LossWithDefault("whole milliseconds", 1011)}},
		{Kind: Session, Number: 1},
		{Kind: Session, Number: 2},
		{Kind: Session, Number: 3, Down: last, Totals: totals(map[string]uint32{"call": 4000})},
	} {
		if err := b.Register(f); err != nil {
			panic(err)
		}
	}
	return b
}

// process is one simulated process. The records that it stores survive it in encoded form.
type process struct {
	id             ID
	release        uint16 // it reads schemas 1 to release, of both kinds
	registry       *Registry
	levels         *Levels
	tables         map[Kind]*Table
	sweeps         map[Kind]*Sweep
	unread         [][]byte // records of a snapshot that this release can't read, kept for a later one
	seen           map[string]sighting
	members        []ID
	startedAt      int
	firstMessageAt int // round of the first message from another process; -1: none yet
	pausedUntil    int // first round after a pause
	cleared        map[Kind]bool
}

type sighting struct {
	id     ID
	seenAt int
}

type message struct {
	from, to          ID
	sentAt, deliverAt int
	states            []MemberState
	seen              map[string]sighting
	records           [][]byte
}

type fleet struct {
	t             *testing.T
	seed          uint64
	rng           *rand.Rand
	oneway        bool
	round         int
	isQuiet       bool // no request is counted and no call marked any more
	procs         []*process
	messages      []message
	loss          float64
	isCut         func(from, to int) bool
	counted       map[string][2]uint64 // by key: requests, ms
	marked        map[string]uint64    // by key: the last call that was marked at two processes
	lastCall      map[string]uint64
	script        []string
	levelChanges  int
	tooOldActions int
}

func (f *fleet) note(format string, args ...any) {
	f.script = append(f.script, fmt.Sprintf("%d: ", f.round)+fmt.Sprintf(format, args...))
}

func (f *fleet) fail(format string, args ...any) {
	f.t.Helper()
	for _, line := range f.script {
		f.t.Log(line)
	}
	f.t.Fatalf("seed %d, round %d: %s", f.seed, f.round, fmt.Sprintf(format, args...))
}

// start replaces a process by a new one that takes over the stored records.
func (f *fleet) start(at int, release uint16) {
	p := &process{release: release, startedAt: f.round, firstMessageAt: -1, seen: map[string]sighting{},
		cleared: map[Kind]bool{}, tables: map[Kind]*Table{Use: {}, Session: {}}, sweeps: map[Kind]*Sweep{}}
	p.id = ID{Name: string(rune('a' + at)), Start: uint64(f.round)*10 + uint64(release)}
	allForms := fleetRegistry(f.oneway)
	p.registry = allForms.Restrict(Use, 1, release).Restrict(Session, 1, release)
	written := map[Kind]Level{}
	if old := f.procs[at]; old != nil {
		for _, s := range old.levels.State().Stands {
			written[s.Kind] = s.Written
		}
		encoded := old.unread
		for _, k := range Kinds {
			old.tables[k].After("", func(r Record) bool { encoded = append(encoded, AppendRecord(nil, r)); return true })
		}
		for _, w := range encoded {
			r, err := ParseRecord(w)
			if err != nil {
				f.fail("snapshot: %v", err)
			}
			if r.Schema > release {
				p.unread = append(p.unread, w)
				continue
			}
			f.storeRecord(p, r)
		}
	}
	p.levels = NewLevels(p.id, p.registry, written)
	f.procs[at] = p
	f.note("%s starts with release %d, %d records unreadable", p.id.Name, release, len(p.unread))
}

// storeRecord stores a received record at the written schema.
func (f *fleet) storeRecord(p *process, r Record) {
	var held *Record
	if h, ok := p.tables[r.Kind].Get(r.Key); ok {
		held = &h
	}
	written := r.Schema
	if p.levels != nil {
		written = p.levels.Written(r.Kind)
	}
	kept, err := p.registry.MergeInto(held, r, written)
	if err != nil {
		f.fail("%s: %v", p.id.Name, err)
	}
	p.tables[r.Kind].Put(kept)
}

func (f *fleet) handle(p *process, ev Event) {
	for _, a := range p.levels.Handle(ev, nil) {
		switch a.Kind {
		case LevelRose, LevelFell:
			f.levelChanges++
			if a.To.Turn == a.From.Turn && a.To.Schema < a.From.Schema {
				f.fail("%s: written schema fell within one turn: %v", p.id.Name, a)
			}
		case TooOld:
			f.tooOldActions++
		case Cleared:
			p.cleared[a.Of] = true
		}
		if a.Kind != SendState {
			f.note("%s: %s %s to %s: %s", p.id.Name, a.Kind, a.Of, a.To, a.Why)
		}
	}
}

func (f *fleet) processByID(id ID) *process {
	for _, p := range f.procs {
		if p.id == id {
			return p
		}
	}
	return nil
}

// countRequest counts one request of a tenant, in the written form.
func (f *fleet) countRequest(p *process) {
	key := fmt.Sprintf("t%d", f.rng.IntN(3))
	r, ok := p.tables[Use].Get(key)
	if !ok {
		r = Record{Kind: Use, Schema: p.levels.Written(Use), Key: key}
	}
	r, err := p.registry.ConvertNearest(r, p.levels.Written(Use))
	if err != nil {
		f.fail("%v", err)
	}
	r = r.Clone()
	sub, ms := fmt.Sprintf("%s/%d", p.id.Name, p.id.Start), uint64(f.rng.IntN(20))
	requests, work, unit := uint32(1000), uint32(1001), uint64(1)
	if r.Schema == 3 {
		requests, work, unit = 1010, 1011, 1000
	}
	r.Set(Field{Num: requests, Sub: sub, Int: r.Int(requests, sub) + 1})
	s := f.counted[key]
	s[0]++
	if r.Schema > 1 {
		r.Set(Field{Num: work, Sub: sub, Int: r.Int(work, sub) + ms*unit})
		s[1] += ms
	}
	f.counted[key] = s
	p.tables[Use].Put(r)
}

// markCall stores at two owners that a call of a session may have run.
func (f *fleet) markCall(p *process) {
	other := f.procs[f.rng.IntN(len(f.procs))]
	at, maxSchema, ok := p.levels.SendRange(other.id, Session)
	if other == p || !ok || p.levels.Written(Session) < 3 || other.pausedUntil > f.round || f.isCut(f.index(p), f.index(other)) {
		return
	}
	key := fmt.Sprintf("s%d", f.rng.IntN(3))
	f.lastCall[key]++
	call := f.lastCall[key]
	r := Record{Kind: Session, Schema: 3, Key: key, Fields: []Field{{Num: 4000, Int: call}, {Num: 4001, Int: 1}, {Num: 4002, Text: fmt.Appendf(nil, "%d", call)}}}
	f.storeRecord(p, r)
	sent, err := p.registry.ConvertForPeer(r, at, maxSchema)
	if err != nil || sent.Schema > other.release {
		return // other can't receive the mark: the call is made without it and is not counted as marked
	}
	f.storeRecord(other, sent)
	f.marked[key] = max(f.marked[key], call)
}

func (f *fleet) index(p *process) int { return slices.Index(f.procs, p) }

// runRound runs one round of one process.
func (f *fleet) runRound(i int) {
	p := f.procs[i]
	if p.firstMessageAt >= 0 && f.round >= p.firstMessageAt+settleRounds || f.round > p.startedAt+forgetRounds {
		f.handle(p, Event{Kind: Settled})
	}
	var view []ID
	for name, s := range p.seen {
		if f.round-s.seenAt > forgetRounds {
			delete(p.seen, name)
			continue
		}
		view = append(view, s.id)
	}
	slices.SortFunc(view, ID.compare)
	if !slices.Equal(view, p.members) {
		p.members = view
		f.handle(p, Event{Kind: Members, Members: view})
	}
	for range f.rng.IntN(2) {
		if f.isQuiet {
			break
		}
		f.countRequest(p)
		f.markCall(p)
	}
	for _, k := range Kinds {
		to := p.levels.Written(k)
		if s := p.sweeps[k]; s == nil || s.To != to {
			p.sweeps[k] = &Sweep{Kind: k, To: to}
		}
		s := *p.sweeps[k] // an interrupted step leaves the shelf partly updated and the position unchanged
		s.Step(p.registry, p.tables[k], StepLimit{Records: 2, Fields: 20})
		if f.rng.IntN(4) > 0 {
			p.sweeps[k] = &s
		}
		if p.sweeps[k].Done {
			f.handle(p, Event{Kind: Swept, Of: k, At: p.sweeps[k].Highest})
		}
	}
	for range 2 {
		j := f.rng.IntN(len(f.procs))
		if j == i || f.isCut(i, j) || f.rng.Float64() < f.loss {
			continue
		}
		to := f.procs[j]
		l := message{from: p.id, to: to.id, sentAt: f.round, deliverAt: f.round + f.rng.IntN(3),
			states: []MemberState{p.levels.State()}, seen: map[string]sighting{}}
		for state := range p.levels.OtherStates {
			l.states = append(l.states, state)
		}
		for name, s := range p.seen {
			l.seen[name] = s
		}
		for _, k := range Kinds {
			at, maxSchema, ok := p.levels.SendRange(to.id, k)
			if !ok {
				continue
			}
			p.tables[k].After("", func(r Record) bool {
				if sent, err := p.registry.ConvertForPeer(r, at, maxSchema); err == nil && f.rng.IntN(2) == 0 {
					l.records = append(l.records, AppendRecord(nil, sent))
				}
				return true
			})
		}
		f.messages = append(f.messages, l)
		if f.rng.IntN(10) == 0 { // delivered a second time, later
			l.deliverAt += f.rng.IntN(40)
			f.messages = append(f.messages, l)
		}
	}
}

func (f *fleet) deliver(l message) {
	p := f.processByID(l.to)
	if p == nil {
		return // another process has this address now
	}
	p.observe(sighting{l.from, l.sentAt})
	for _, s := range l.seen {
		p.observe(s)
	}
	if p.firstMessageAt < 0 {
		p.firstMessageAt = f.round
	}
	for _, state := range l.states {
		f.handle(p, Event{Kind: StateReceived, State: state})
	}
	for _, w := range l.records {
		r, err := ParseRecord(w)
		if err != nil {
			f.fail("%v", err)
		}
		if r.Schema > p.release {
			f.fail("%s reads up to schema %d and received %v from %s", p.id.Name, p.release, r, l.from.Name)
		}
		f.storeRecord(p, r)
	}
}

// observe keeps the later start of a name, and the latest round in which it was seen.
func (p *process) observe(s sighting) {
	have, ok := p.seen[s.id.Name]
	if s.id.Name == p.id.Name || ok && (s.id.Start < have.id.Start || s.id == have.id && s.seenAt <= have.seenAt) {
		return
	}
	p.seen[s.id.Name] = s
}

func (f *fleet) runRounds(rounds int) {
	for range rounds {
		f.round++
		for _, i := range f.rng.Perm(len(f.procs)) {
			if p := f.procs[i]; p.pausedUntil <= f.round {
				f.runRound(i)
			}
		}
		f.rng.Shuffle(len(f.messages), func(i, j int) { f.messages[i], f.messages[j] = f.messages[j], f.messages[i] })
		pending := f.messages[:0:0]
		for _, l := range f.messages {
			if p := f.processByID(l.to); l.deliverAt > f.round || p != nil && p.pausedUntil > f.round {
				pending = append(pending, l)
				continue
			}
			f.deliver(l)
		}
		f.messages = pending
	}
}

// injectFault replaces the current fault by a random one.
func (f *fleet) injectFault() {
	n := len(f.procs)
	f.isCut = func(int, int) bool { return false }
	switch f.rng.IntN(6) {
	case 0:
		side := f.rng.Uint64()
		f.isCut = func(i, j int) bool { return (side>>i)&1 != (side>>j)&1 }
		f.note("partition: %b", side&(1<<n-1))
	case 1:
		a := f.rng.IntN(n)
		f.isCut = func(i, _ int) bool { return i == a }
		f.note("no process receives from %c", 'a'+a)
	case 2:
		p := f.procs[f.rng.IntN(n)]
		long := 5 + f.rng.IntN(2*forgetRounds)
		p.pausedUntil = f.round + long
		for name, s := range p.seen { // a process detects that it was paused
			s.seenAt += long
			p.seen[name] = s
		}
		f.note("%s is paused for %d rounds", p.id.Name, long)
	}
	f.loss = f.rng.Float64() * 0.4
}

// highestWritten returns the highest written schema of all kinds.
func (l *Levels) highestWritten() uint16 {
	top := uint16(0)
	for _, s := range l.self.Stands {
		top = max(top, s.Written.Schema)
	}
	return top
}

// holdAll sets the operator's upper limit at all processes.
func (f *fleet) holdAll(at uint16) {
	for _, p := range f.procs {
		f.handle(p, Event{Kind: LimitSet, Of: Use, At: at})
		f.handle(p, Event{Kind: LimitSet, Of: Session, At: at})
	}
}

// waitForLevel ends all faults and waits until all processes write the same level. It returns the number of rounds.
func (f *fleet) waitForLevel(want uint16) int {
	f.isCut, f.loss = func(int, int) bool { return false }, 0.2
	for _, p := range f.procs {
		p.pausedUntil = 0
	}
	for n := range maxWaitRounds {
		if !slices.ContainsFunc(f.procs, func(p *process) bool {
			mine, first := p.levels.State().Stands, f.procs[0].levels.State().Stands
			return mine[0].Written != first[0].Written || mine[1].Written != first[1].Written ||
				mine[0].Written.Schema != want || mine[1].Written.Schema != want || !p.levels.IsFit()
		}) {
			return n
		}
		f.runRounds(1)
	}
	f.fail("not all processes write schema %d after %d rounds", want, maxWaitRounds)
	return 0
}

// runUpgrade runs one seeded upgrade to release 2 or 3. It may roll back half-way, take the level back entirely, and upgrade again.
func (f *fleet) runUpgrade() (longest int) {
	n := 3 + f.rng.IntN(5)
	f.procs = make([]*process, n)
	f.isCut = func(int, int) bool { return false }
	for i := range n {
		f.start(i, 1)
	}
	f.runRounds(10)
	roll := func(release uint16, count int) {
		for _, i := range f.rng.Perm(n)[:count] {
			f.start(i, release)
			f.runRounds(f.rng.IntN(12))
			f.injectFault()
		}
	}
	first := uint16(2 + f.rng.IntN(2))
	roll(first, n)
	if f.rng.IntN(2) == 0 { // roll back half-way through the next upgrade; a process that is too old by then serves alone
		roll(3, f.rng.IntN(n))
		roll(first, n)
	}
	if highest := slices.MaxFunc(f.procs, func(p, q *process) int {
		return int(p.levels.highestWritten()) - int(q.levels.highestWritten())
	}).levels.highestWritten(); highest > first {
		// A paused process was forgotten, and all others read the schema.
		f.note("schema %d is already written: the operator continues the upgrade", highest)
		first = 3
		roll(first, n)
	}
	longest = f.waitForLevel(first)
	if f.rng.IntN(2) == 0 && !(f.oneway && first == 3) { // take the level back, sweep, replace all by release 1
		f.holdAll(1)
		longest = max(longest, f.waitForLevel(1))
		for k := 0; slices.ContainsFunc(Kinds[:], func(kind Kind) bool {
			return !slices.ContainsFunc(f.procs, func(p *process) bool { return p.cleared[kind] })
		}); k++ {
			if k > maxWaitRounds {
				f.fail("level taken back, but no Cleared action")
			}
			f.runRounds(1)
		}
		for i := range n {
			f.start(i, 1)
			if len(f.procs[i].unread) > 0 {
				f.fail("%s cannot read %d records after Cleared", f.procs[i].id.Name, len(f.procs[i].unread))
			}
		}
		f.runRounds(10)
	}
	roll(3, n)
	f.holdAll(0)
	longest = max(longest, f.waitForLevel(3))
	f.isQuiet = true
	for k := 0; ; k++ {
		why := f.firstDifference()
		if why == "" {
			return longest
		}
		if k == maxWaitRounds {
			f.fail("%s", why)
		}
		f.runRounds(1)
	}
}

// firstDifference returns the first difference between the records of a process and the requests and calls that were counted, or "".
func (f *fleet) firstDifference() string {
	for _, p := range f.procs {
		for key, s := range f.counted {
			r, _ := p.tables[Use].Get(key)
			totals := p.registry.Totals(r)
			if totals["requests"] > s[0] || totals["ms"] > s[1] {
				f.fail("%s: %s: totals %v are above those counted, %v", p.id.Name, key, totals, s)
			}
			if r.Schema != 3 || totals["requests"] != s[0] || totals["ms"] != s[1] {
				return fmt.Sprintf("%s: %s: totals %v at schema %d, counted %v", p.id.Name, key, totals, r.Schema, s)
			}
		}
		for key, call := range f.marked {
			r, _ := p.tables[Session].Get(key)
			if r.Int(4000, "") < call || r.Schema != 3 {
				return fmt.Sprintf("%s: %s: call %d at schema %d, want at least marked call %d", p.id.Name, key, r.Int(4000, ""), r.Schema, call)
			}
			text, _ := r.Get(4002, "")
			if string(text.Text) != fmt.Sprint(r.Int(4000, "")) {
				f.fail("%s: %s: call %d has the answer of call %s", p.id.Name, key, r.Int(4000, ""), text.Text)
			}
		}
	}
	return ""
}

// TestFleets runs rolling upgrades and rollbacks with message loss, partitions, paused processes and interrupted sweeps. It guards against
// lost or doubled counts, lost marks, records sent to a process that can't read them, and processes that write different levels after the
// stated time.
func TestFleets(t *testing.T) {
	var longest, rose, tooOld, marks atomic.Int64
	play := func(t *testing.T, seed uint64) {
		f := &fleet{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 42)), oneway: seed%2 == 0,
			counted: map[string][2]uint64{}, marked: map[string]uint64{}, lastCall: map[string]uint64{}}
		took := f.runUpgrade()
		if *onlySeed != 0 {
			for _, line := range f.script {
				t.Log(line)
			}
		}
		for was := longest.Load(); int64(took) > was && !longest.CompareAndSwap(was, int64(took)); was = longest.Load() {
		}
		rose.Add(int64(f.levelChanges))
		tooOld.Add(int64(f.tooOldActions))
		for _, c := range f.marked {
			marks.Add(int64(c))
		}
		if took > maxLevelRounds {
			f.fail("all processes write the same level after %d rounds, limit %d", took, maxLevelRounds)
		}
	}
	if *onlySeed != 0 {
		play(t, *onlySeed)
		return
	}
	t.Run("seeds", func(t *testing.T) {
		for shard := range 8 {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := shard + 1; seed <= *fleetCount; seed += 8 {
					play(t, uint64(seed))
				}
			})
		}
	})
	t.Logf("%d fleets: %d level changes, %d times a process was too old, %d calls marked; all write the same level after at most %d rounds",
		*fleetCount, rose.Load(), tooOld.Load(), marks.Load(), longest.Load())
	if *fleetCount >= 500 && (rose.Load() == 0 || tooOld.Load() == 0 || marks.Load() == 0) {
		t.Error("the fleets had no level change, no process that was too old or no marked call")
	}
}
