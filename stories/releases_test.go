package stories

// This file has a fleet of releases: each member has the shipped schema.Levels and share's forms up to its release, keeps records of use
// and of sessions at what is written, and tells two others a round, which is a second. What it keeps outlives its process, as bytes.

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"glencart/schema"
	"glencart/share"
)

const (
	relForget = 30 * 60 // seconds of silence after which a member is forgotten, as fleet's default
	relSettle = 3       // seconds after it has heard somebody
)

type releases struct {
	rng    *rand.Rand
	now    int // seconds
	book   *schema.Registry
	list   []*release
	post   []relLetter
	loss   float64
	apart  bool              // halves
	kept   map[string]uint64 // of each key, what was counted or marked: it must not fall
	unfit  []string          // who was told that it is too old
	refuse []string          // why an operator's word was not followed
	served int
}

type release struct {
	id      schema.ID
	number  uint16 // it reads forms up to this
	book    *schema.Registry
	levels  *schema.Levels
	shelf   map[schema.Kind]*schema.Table
	sweep   map[schema.Kind]*schema.Sweep
	unread  [][]byte // what this release cannot read of what was kept: for a later one
	seen    map[string]relSight
	view    []schema.ID
	heardAt int
	born    int
	asleep  bool
	dead    bool
	use     *share.Use
	cleared bool
}

type relSight struct {
	id schema.ID
	at int
}

type relLetter struct {
	from, to *release
	said     []schema.MemberState
	seen     map[string]relSight
	records  [][]byte
}

var relKinds = []schema.Kind{schema.Use, schema.Session}

// newReleases begins n members on a release. oneway: there is a fourth form of sessions that has no way down.
func (w *world) newReleases(n int, number uint16, oneway bool) error {
	f := &releases{rng: rand.New(rand.NewPCG(w.seed, 1)), book: &schema.Registry{}, kept: map[string]uint64{}, loss: 0.05}
	if err := share.Register(f.book); err != nil {
		return err
	}
	if oneway {
		for _, form := range []schema.Form{
			{Kind: schema.Session, Number: share.NewestSession + 1, Name: "one that cannot go down", Down: schema.Step{Loss: schema.NoSuchStep, What: "it is a story's"}},
			{Kind: schema.Use, Number: share.NewestUse + 1, Name: "the same as before"},
		} {
			if err := f.book.Register(form); err != nil {
				return err
			}
		}
	}
	f.list = make([]*release, n)
	w.releases = f
	for i := range n {
		if err := f.start(i, number); err != nil {
			return err
		}
	}
	f.run(15)
	return nil
}

// start puts a process in the place of one, with what that one kept.
func (f *releases) start(i int, number uint16) error {
	p := &release{id: schema.ID{Name: letter(i), Start: uint64(f.now)*100 + uint64(number)}, number: number, heardAt: -1, born: f.now, seen: map[string]relSight{},
		shelf: map[schema.Kind]*schema.Table{schema.Use: {}, schema.Session: {}}, sweep: map[schema.Kind]*schema.Sweep{}}
	p.book = f.book.Restrict(schema.Use, 1, number).Restrict(schema.Session, 1, number)
	p.use = share.NewUse(share.UseConfig{Self: share.Member{Name: p.id.Name, Start: p.id.Start}})
	written := map[schema.Kind]schema.Level{}
	if old := f.list[i]; old != nil {
		for _, s := range old.levels.State().Stands {
			written[s.Kind] = s.Written
		}
		wires := old.unread
		for _, k := range relKinds {
			old.shelf[k].After("", func(r schema.Record) bool { wires = append(wires, schema.AppendRecord(nil, r)); return true })
		}
		for _, b := range wires {
			r, err := schema.ParseRecord(b)
			if err != nil {
				return err
			}
			if r.Schema > number {
				p.unread = append(p.unread, b)
				continue
			}
			p.shelf[r.Kind].Put(r)
		}
	}
	p.levels = schema.NewLevels(p.id, p.book, written)
	f.list[i] = p
	return nil
}

// take keeps a record at what is written.
func (f *releases) take(p *release, r schema.Record) error {
	var held *schema.Record
	if h, ok := p.shelf[r.Kind].Get(r.Key); ok {
		held = &h
	}
	kept, err := p.book.MergeInto(held, r, p.levels.Written(r.Kind))
	if err == nil {
		p.shelf[r.Kind].Put(kept)
	}
	return err
}

func (f *releases) handle(p *release, ev schema.Event) {
	for _, a := range p.levels.Handle(ev, nil) {
		switch a.Kind {
		case schema.TooOld:
			f.unfit = append(f.unfit, p.id.Name)
		case schema.Refused:
			f.refuse = append(f.refuse, a.Why)
		case schema.Cleared:
			p.cleared = true
		}
	}
}

// serve counts a request and marks an order at a member, and remembers what must never be lost of it. The records come from package share,
// at its newest forms, and are brought to what this release knows.
func (f *releases) serve(p *release) error {
	f.served++
	now := share.Now{Own: time.Duration(f.now) * time.Second, Wall: wallAt + time.Duration(f.now)*time.Second}
	p.use.SetLimit(now, "shop", share.Limit{Requests: 1e9})
	p.use.Admit(now, "shop", "")
	records := p.use.Own(now, nil)
	table := share.NewSessions(share.SessionsConfig{Self: share.Member{Name: p.id.Name, Start: p.id.Start}})
	table.SetRing(now, share.NewRing([]share.Member{{Name: p.id.Name, Start: p.id.Start}, {Name: "other", Start: 1}}, 2), false, nil)
	d := table.Lookup(now, share.Query{Key: share.KeyOf("", fmt.Append(nil, f.served%5)), Call: uint64(f.served), Effect: share.Unsafe})
	if p.number >= share.NewestSession && p.levels.Written(schema.Session) >= share.NewestSession && d.Outgoing.Record.Key != "" {
		records = append(records, d.Outgoing.Record)
	}
	for _, r := range records {
		r, err := f.book.Convert(r, min(r.Schema, p.levels.Written(r.Kind)))
		if err != nil {
			return err
		}
		if err := f.take(p, r); err != nil {
			return err
		}
		for name, n := range p.book.Totals(r) {
			if name = r.Key + " " + name; !strings.HasSuffix(name, " plan") {
				f.kept[name] = max(n, f.kept[name])
			}
		}
	}
	return nil
}

func (f *releases) run(seconds int) {
	for range seconds {
		f.now++
		for _, i := range f.rng.Perm(len(f.list)) {
			if p := f.list[i]; !p.dead && !p.asleep {
				f.turn(p)
			}
		}
		post := f.post
		f.post = nil
		for _, l := range post {
			f.deliver(l)
		}
	}
}

func (f *releases) reach(a, b int) bool {
	return !f.apart || (a < len(f.list)/2) == (b < len(f.list)/2)
}

// turn is one second of one member.
func (f *releases) turn(p *release) {
	if p.heardAt >= 0 && f.now >= p.heardAt+relSettle || f.now > p.born+relForget {
		f.handle(p, schema.Event{Kind: schema.Settled})
	}
	var view []schema.ID
	for name, s := range p.seen {
		if f.now-s.at > relForget {
			delete(p.seen, name)
			continue
		}
		view = append(view, s.id)
	}
	slices.SortFunc(view, func(a, b schema.ID) int { return strings.Compare(a.Name, b.Name) })
	if !slices.Equal(view, p.view) {
		p.view = view
		f.handle(p, schema.Event{Kind: schema.Members, Members: view})
	}
	for _, k := range relKinds {
		to := p.levels.Written(k)
		if s := p.sweep[k]; s == nil || s.To != to {
			p.sweep[k] = &schema.Sweep{Kind: k, To: to}
		}
		if p.sweep[k].Step(p.book, p.shelf[k], schema.StepLimit{Records: 2, Fields: 50}); p.sweep[k].Done {
			f.handle(p, schema.Event{Kind: schema.Swept, Of: k, At: p.sweep[k].Highest})
		}
	}
	at := slices.Index(f.list, p)
	for range 2 {
		j := f.rng.IntN(len(f.list))
		o := f.list[j]
		if j == at || !f.reach(at, j) || o.dead || f.rng.Float64() < f.loss {
			continue
		}
		l := relLetter{from: p, to: o, said: []schema.MemberState{p.levels.State()}, seen: maps.Clone(p.seen)}
		l.seen[p.id.Name] = relSight{p.id, f.now}
		for said := range p.levels.OtherStates {
			l.said = append(l.said, said)
		}
		for _, k := range relKinds {
			to, most, ok := p.levels.SendRange(o.id, k)
			if !ok {
				continue
			}
			p.shelf[k].After("", func(r schema.Record) bool {
				if sent, err := p.book.ConvertForPeer(r, to, most); err == nil {
					l.records = append(l.records, schema.AppendRecord(nil, sent))
				}
				return true
			})
		}
		f.post = append(f.post, l)
	}
}

func (f *releases) deliver(l relLetter) {
	p := l.to
	if p.dead || p.asleep || !slices.Contains(f.list, p) {
		return
	}
	for name, s := range l.seen {
		have, known := p.seen[name]
		if name != p.id.Name && (!known || s.id.Start > have.id.Start || s.id == have.id && s.at > have.at) {
			p.seen[name] = s
		}
	}
	if p.heardAt < 0 {
		p.heardAt = f.now
	}
	for _, s := range l.said {
		f.handle(p, schema.Event{Kind: schema.StateReceived, State: s})
	}
	for _, b := range l.records {
		if r, err := schema.ParseRecord(b); err == nil {
			if err := f.take(p, r); err != nil {
				f.refuse = append(f.refuse, fmt.Sprintf("%s got a record that it cannot read: %v", p.id.Name, err))
			}
		}
	}
}

// live are the members that run.
func (f *releases) live() []*release {
	return slices.DeleteFunc(slices.Clone(f.list), func(p *release) bool { return p.dead || p.asleep })
}

func (f *releases) writes(list []*release, number uint16) error {
	for _, p := range list {
		for _, k := range relKinds {
			if got := p.levels.Written(k); got != number || !p.levels.IsFit() {
				return fmt.Errorf("%s writes %s at %d, takes part: %t", p.id.Name, k, got, p.levels.IsFit())
			}
		}
	}
	return nil
}

// lost says what a member does not know of what was counted and marked.
func (f *releases) lost(p *release) error {
	have := map[string]uint64{}
	for _, k := range relKinds {
		p.shelf[k].After("", func(r schema.Record) bool {
			for name, n := range f.book.Totals(r) {
				have[r.Key+" "+name] = max(n, have[r.Key+" "+name])
			}
			return true
		})
	}
	for name, n := range f.kept {
		if have[name] != n {
			return fmt.Errorf("%s: %q is %d, and was %d", p.id.Name, name, have[name], n)
		}
	}
	if len(f.kept) == 0 {
		return fmt.Errorf("nothing was counted in this story")
	}
	return nil
}

// wait lets seconds pass until check holds.
func (f *releases) wait(n int, check func() error) error {
	for ; ; n-- {
		err := check()
		if err == nil || n <= 0 {
			return err
		}
		f.run(1)
	}
}

func (f *releases) at(name string) (int, error) {
	for i, p := range f.list {
		if p.id.Name == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("there is no %s in this story", name)
}

func (f *releases) hold(i int, at uint16) {
	for _, k := range relKinds {
		f.handle(f.list[i], schema.Event{Kind: schema.LimitSet, Of: k, At: at})
	}
}

func (w *world) releaseSentences() []sentence {
	roll := func(from, to, number int) error { // one after the other, a second each, under load
		for i := from; i < to; i++ {
			if err := w.releases.start(i, uint16(number)); err != nil {
				return err
			}
			w.releases.run(3)
			if err := w.releases.serve(w.releases.list[i]); err != nil {
				return err
			}
		}
		return nil
	}
	one := func(do func(i int, p *release)) func(string) error {
		return func(name string) error {
			i, err := w.releases.at(name)
			if err == nil {
				do(i, w.releases.list[i])
			}
			return err
		}
	}
	return []sentence{
		{`^(\d+) members of release (\d+)$`, func(n, r int) error { return w.newReleases(n, uint16(r), false) }},
		{`^(\d+) members of release (\d+), where the schema of release 4 cannot go down$`, func(n, r int) error { return w.newReleases(n, uint16(r), true) }},
		{`^each counts requests and marks orders$`, func() error {
			for _, p := range w.releases.live() {
				for range 3 {
					if err := w.releases.serve(p); err != nil {
						return err
					}
				}
			}
			return nil
		}},
		{`^all are restarted in turn with release (\d+)$`, func(r int) error { return roll(0, len(w.releases.list), r) }},
		{`^the first (\d+) are restarted in turn with release (\d+)$`, func(n, r int) error { return roll(0, n, r) }},
		{`^the last (\d+) are restarted in turn with release (\d+)$`, func(n, r int) error {
			return roll(len(w.releases.list)-n, len(w.releases.list), r)
		}},
		{`^member ([A-Z]) is restarted with release (\d+)$`, func(name string, r int) error {
			i, err := w.releases.at(name)
			if err != nil {
				return err
			}
			return w.releases.start(i, uint16(r))
		}},
		{`^member ([A-Z]) ends and is not started again$`, one(func(_ int, p *release) { p.dead = true })},
		{`^member ([A-Z]) sleeps$`, one(func(_ int, p *release) { p.asleep = true })},
		{`^member ([A-Z]) wakes$`, one(func(_ int, p *release) {
			p.asleep = false
			for name, s := range p.seen { // it knows that it was stopped
				s.at = w.releases.now
				p.seen[name] = s
			}
		})},
		{`^the members' halves are apart$`, func() error { w.releases.apart = true; return nil }},
		{`^the members' halves are together again$`, func() error { w.releases.apart = false; return nil }},
		{`^the operator holds schema (\d+) at all$`, func(n int) error {
			for i := range w.releases.list {
				w.releases.hold(i, uint16(n))
			}
			return nil
		}},
		{`^the operator holds schema (\d+) at ([A-Z])$`, func(n int, name string) error {
			return one(func(i int, _ *release) { w.releases.hold(i, uint16(n)) })(name)
		}},
		{`^schema (\d+) is written by all within (\d+) seconds$`, func(n, s int) error {
			return w.releases.wait(s, func() error { return w.releases.writes(w.releases.live(), uint16(n)) })
		}},
		{`^schema (\d+) is still written by all$`, func(n int) error { return w.releases.writes(w.releases.live(), uint16(n)) }},
		{`^all know every count and mark within (\d+) seconds$`, func(s int) error {
			return w.releases.wait(s, func() error {
				for _, p := range w.releases.live() {
					if err := w.releases.lost(p); err != nil {
						return err
					}
				}
				return nil
			})
		}},
		{`^member ([A-Z]) is told that it is too old within (\d+) seconds$`, func(name string, s int) error {
			return w.releases.wait(s, func() error {
				if !slices.Contains(w.releases.unfit, name) {
					return fmt.Errorf("told were %v", w.releases.unfit)
				}
				return nil
			})
		}},
		{`^nobody was told that it is too old$`, func() error {
			if len(w.releases.unfit) > 0 {
				return fmt.Errorf("%v were", w.releases.unfit)
			}
			return nil
		}},
		{`^the operator is told why it is refused$`, func() error {
			if len(w.releases.refuse) == 0 {
				return fmt.Errorf("nothing was said")
			}
			return nil
		}},
		{`^older releases may be started within (\d+) seconds$`, func(s int) error {
			return w.releases.wait(s, func() error {
				if !slices.ContainsFunc(w.releases.list, func(p *release) bool { return p.cleared }) {
					return fmt.Errorf("somebody still keeps records of a higher schema")
				}
				return nil
			})
		}},
		{`^nobody got what it cannot read$`, func() error {
			for _, why := range w.releases.refuse {
				return fmt.Errorf("%s", why)
			}
			return nil
		}},
	}
}
