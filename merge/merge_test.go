package merge

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"glencart/balance"
	"glencart/members"
)

// A stale entry that is listed again is fresh. The latest start of a backend counts, also from a later source. The drain of a source
// that isn't trusted for phases doesn't keep a backend once that source has removed it.
func TestRelistedEntryLatestStartAndUntrustedDrain(t *testing.T) {
	p := newPool(t, Config{RemovedDrainGrace: time.Minute, Sources: []SourceConfig{
		{Name: "a", Trust: AllFacts &^ Phase, StaleGrace: time.Hour}, {Name: "b", Trust: Start}}})
	p.list(0, time.Second, entryWithID("x", "1.1.1.1:1", 0, 0))
	p.now = 2 * time.Second
	p.do(Event{Kind: Ticked})
	p.list(0, 9*time.Second, entryWithID("x", "1.1.1.1:1", 0, 4))
	if v := p.m.Views()[0]; v.Votes[0].Vote != Lists {
		t.Errorf("listed again, its vote is %v", v.Votes[0].Vote)
	}
	p.list(1, 0, entryWithID("x", "1.1.1.1:1", 0, 6))
	if p.have["x"].Launched != 6 {
		t.Errorf("the latest start doesn't count: %+v", p.have["x"])
	}
	p.list(0, 9*time.Second, entryWithID("x", "1.1.1.1:1", balance.Draining, 4))
	p.list(0, 9*time.Second)
	p.want("removed by the source that is trusted for existence", "")
}

// A partial list, such as the backends in the configuration file, has no vote on backends that only other sources list: these stay
// when the other sources fail. A backend that the partial list removes is gone, also where no other source has ever listed it.
func TestPartialListHasNoVoteOnOtherBackends(t *testing.T) {
	p := newPool(t, Config{Sources: []SourceConfig{{Name: "boxes", Partial: true}, {Name: "dns", StaleGrace: time.Hour}}})
	p.list(0, 0, entryWithID("x", "1.1.1.9:1", 0, 0), entryWithID("y", "1.1.1.8:1", 0, 0))
	p.list(1, time.Second, entryWithID("a", "1.1.1.1:1", 0, 0), entryWithID("x", "1.1.1.9:1", 0, 0))
	p.do(Event{Kind: SourceFailed, Source: 1})
	p.want("the other source fails", "a@1.1.1.1:1 x@1.1.1.9:1 y@1.1.1.8:1")
	p.list(0, 0)
	p.want("removed from the partial list, which is fresh", "a@1.1.1.1:1")
	p.list(1, time.Second)
	p.want("the other source is fresh and lists none", "")
	p.list(0, 0, entryWithID("a", "1.1.1.1:1", 0, 0))
	p.want("only the partial list has one", "a@1.1.1.1:1")
	p.list(0, 0)
	p.want("no list has any", "")
}

// Every set of votes matches a rule, every rule is used by some set, and the verdicts follow from the votes: a drain is never
// overlooked, and a backend leaves only where a fresh source leaves it out.
func TestEveryVoteSetMatchesOneRule(t *testing.T) {
	used := map[int]int{}
	for s := VoteSet(0); s < VoteSetCount-1; s++ {
		i := Decide(s)
		used[i]++
		has := func(list ...Vote) bool { return s&SetOf(list...) != 0 }
		v := Rules[i].Verdict
		switch {
		case has(Drains, StaleDrains):
			if v != Drain {
				t.Errorf("%v: a drain is ignored: %v", s, v)
			}
		case v == Remove && !has(Lacks, Denies):
			t.Errorf("%v: the backend leaves, and no fresh source leaves it out", s)
		case has(Denies) && v != Remove:
			t.Errorf("%v: denied, and %v", s, v)
		case has(Lists) && !has(Denies) && v != Serve:
			t.Errorf("%v: listed, and %v", s, v)
		case v == Serve && !has(Lists, StaleLists):
			t.Errorf("%v: serves, and no source lists it", s)
		case v == Unchanged && has(Lists, StaleLists, Lacks, Denies):
			t.Errorf("%v: kept unchanged in spite of these votes", s)
		}
	}
	if len(used) != len(Rules) {
		t.Errorf("rules used: %v", used)
	}
}

// entryWithID returns an entry of a source with ids.
func entryWithID(id, addr string, p balance.Phase, start time.Duration) Entry {
	return Entry{Name: id, Reports: AllFacts, Endpoint: members.Endpoint{ID: id, Addr: addr, Member: balance.Member{Weight: 1, Phase: p, Launched: start}}}
}

// entryWithoutID returns an entry of a source that has addresses only.
func entryWithoutID(addr string, until time.Duration) Entry {
	return Entry{Name: "dns/" + addr, Reports: Existence | Address, ExpiresAt: until, Endpoint: members.Endpoint{Addr: addr}}
}

// pool applies the changes of a Merge, as a pool does.
type pool struct {
	t    interface{ Fatalf(string, ...any) }
	m    *Merge
	now  time.Duration
	have map[string]Change
}

func newPool(t interface{ Fatalf(string, ...any) }, cfg Config) *pool {
	return &pool{t: t, m: NewMerge(cfg, 0), have: map[string]Change{}}
}

func (p *pool) do(ev Event) []Change {
	changes := p.m.Handle(p.now, ev, nil)
	for _, c := range changes {
		if old, had := p.have[c.ID]; had && old.Endpoint == c.Endpoint && old.Tier == c.Tier {
			p.t.Fatalf("change without a difference: %+v", c)
		}
		if c.Endpoint.Phase == balance.Gone {
			delete(p.have, c.ID)
		} else {
			p.have[c.ID] = c
		}
	}
	return changes
}

func (p *pool) list(source int, until time.Duration, entries ...Entry) []Change {
	return p.do(Event{Kind: Listed, Source: source, Complete: true, ExpiresAt: until, Entries: entries})
}

// ready returns the backends that get requests, with their addresses.
func (p *pool) ready() string {
	var list []string
	for id, c := range p.have {
		if c.Endpoint.Phase == balance.Ready {
			list = append(list, id+"@"+c.Addr)
		}
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func (p *pool) want(what, ready string) {
	if got := p.ready(); got != ready {
		p.t.Fatalf("%s: ready %q, want %q", what, got, ready)
	}
}

var twoSources = Config{Sources: []SourceConfig{{Name: "registry"}, {Name: "dns", StaleGrace: time.Hour}}}

// A backend that two sources list under different names is one backend, and keeps its first name. When its address passes to another
// backend, that one starts afresh. Otherwise a pool would count a backend twice, or send to one that drains.
func TestTwoNamesOfOneBackendAreMerged(t *testing.T) {
	p := newPool(t, twoSources)
	p.list(1, time.Minute, entryWithoutID("10.0.0.1:80", 0))
	p.want("DNS alone", "dns/10.0.0.1:80@10.0.0.1:80")
	if c := p.list(0, 0, entryWithID("s-1", "10.0.0.1:80", balance.Ready, 0)); len(c) != 0 {
		t.Errorf("change %+v for a backend that the pool has", c)
	}
	p.want("both", "dns/10.0.0.1:80@10.0.0.1:80")
	p.list(0, 0, entryWithID("s-2", "10.0.0.1:80", balance.Ready, 5))
	p.want("another backend at its address", "s-2@10.0.0.1:80")
	// The backend moves. DNS still lists the old address, which the registry has no backend for.
	p.list(0, 0, entryWithID("s-2", "10.0.0.9:80", balance.Ready, 5))
	p.list(1, time.Minute, entryWithoutID("10.0.0.9:80", 0))
	p.want("moved", "s-2@10.0.0.9:80")
	p.list(0, 0, entryWithID("s-2", "10.0.0.9:80", balance.Draining, 5))
	p.want("the registry lists it as draining, DNS lists it", "")
	p.list(0, 0, entryWithID("s-2", "10.0.0.9:80", balance.Draining, 5), entryWithID("s-3", "10.0.0.9:80", balance.Ready, 9))
	p.want("a successor at the address of one that drains", "s-3@10.0.0.9:80")
	p = newPool(t, Config{Sources: []SourceConfig{{Name: "boxes"}, {Name: "file"}}})
	p.list(0, 0, entryWithID("x", "10.0.0.1:80", balance.Draining, 0))
	p.list(1, 0, entryWithID("10.0.0.1:80", "10.0.0.1:80", balance.Ready, 0))
	p.want("one source uses the address as the id, the other lists it as draining", "")
	if len(p.m.backends) != 1 {
		t.Errorf("%d backends kept", len(p.m.backends))
	}
}

// A failing source empties no pool, however long it fails: its last list counts until some source reports a fresh one.
func TestFailingSourceEmptiesNoPool(t *testing.T) {
	p := newPool(t, twoSources)
	p.list(1, 30*time.Second, entryWithoutID("10.0.0.1:80", 0), entryWithoutID("10.0.0.2:80", 0))
	for _, d := range []time.Duration{31 * time.Second, 20 * time.Minute, 2 * time.Hour, 1000 * time.Hour} {
		p.now = d
		p.do(Event{Kind: Ticked})
		if p.m.Serving() != 2 {
			t.Fatalf("after %v: %q", d, p.ready())
		}
	}
	p.list(0, 0, entryWithID("s-1", "10.0.0.1:80", balance.Ready, 0))
	p.want("the registry is fresh and lists one of them", "dns/10.0.0.1:80@10.0.0.1:80")
	p.do(Event{Kind: SourceFailed, Source: 0})
	p.now += time.Hour
	p.do(Event{Kind: Ticked})
	p.want("the registry fails", "dns/10.0.0.1:80@10.0.0.1:80")
}

// A list whose lifetime ends before that of the list before it becomes stale at its own end. A timer kept from the older list would
// leave it fresh for too long.
func TestShorterLifetimeOfNextListCounts(t *testing.T) {
	p := newPool(t, twoSources)
	p.list(0, 0, entryWithID("s-1", "10.0.0.1:80", balance.Ready, 0))
	p.list(1, time.Hour)
	p.list(1, time.Minute)
	p.now = 2 * time.Minute
	p.do(Event{Kind: SourceFailed, Source: 0})
	p.want("both are stale: the backend stays", "s-1@10.0.0.1:80")
	if v := p.m.Views()[0]; v.Votes[1].Vote != StaleLacks || Rules[v.Rule].Name != "stale" {
		t.Errorf("%+v", v)
	}
	p.list(1, p.now+time.Hour)
	p.list(1, p.now+time.Second)
	p.now += time.Minute
	p.do(Event{Kind: Ticked})
	if next, some := p.m.Next(); some && next < p.now {
		t.Errorf("a timer is left at %v", next)
	}
	if v := p.m.Views()[0]; Rules[v.Rule].Name != "stale" && Rules[v.Rule].Name != "unknown" {
		t.Errorf("decided by rule %q, and no source is fresh: %+v", Rules[v.Rule].Name, v)
	}
}

// When more than a fraction of a pool would leave at once, the backends whose checks pass are held. The hold ends when an operator
// releases it or its time is over. A discovery that loses its data would empty the pool otherwise.
func TestGuardHoldsMassRemoval(t *testing.T) {
	cfg := twoSources
	cfg.GuardFraction, cfg.GuardWindow, cfg.GuardHold = 0.5, 10*time.Second, time.Minute
	all := []Entry{entryWithID("a", "1.1.1.1:1", 0, 0), entryWithID("b", "1.1.1.2:1", 0, 0),
		entryWithID("c", "1.1.1.3:1", 0, 0), entryWithID("d", "1.1.1.4:1", 0, 0)}
	fullPool := func() *pool {
		p := newPool(t, cfg)
		p.list(0, 0, all...)
		return p
	}
	p := fullPool()
	p.list(0, 0, all[:2]...)
	if p.m.Serving() != 2 || p.m.Held() != 0 {
		t.Errorf("half of the pool left: %q", p.ready())
	}
	p.now = 5 * time.Second
	p.list(0, 0, all[:1]...) // three quarters within the window
	if p.m.Serving() != 2 || p.m.Held() != 1 {
		t.Errorf("one more within the window: %q", p.ready())
	}
	p = fullPool()
	p.do(Event{Kind: HealthChecked, BackendID: "c"})
	p.list(0, 0)
	p.want("empty list: those whose checks pass are held", "a@1.1.1.1:1 b@1.1.1.2:1 d@1.1.1.4:1")
	p.list(0, 0, all[0])
	if p.m.Held() != 2 {
		t.Errorf("%d held, one is listed again", p.m.Held())
	}
	p.do(Event{Kind: HealthChecked, BackendID: "b"})
	p.want("the checks of a held one fail", "a@1.1.1.1:1 d@1.1.1.4:1")
	p.now += 59 * time.Second
	p.do(Event{Kind: Ticked})
	p.want("held", "a@1.1.1.1:1 d@1.1.1.4:1")
	p.now += 2 * time.Second
	p.do(Event{Kind: Ticked})
	p.want("the hold is over", "a@1.1.1.1:1")
	p = fullPool()
	p.list(0, 0)
	p.do(Event{Kind: GuardReleased})
	p.want("an operator releases them", "")
	p = fullPool()
	p.do(Event{Kind: Listed, Complete: true, Intended: true})
	p.want("a deliberate empty list", "")
}

// A backend that fails its checks gets no requests. Once most backends fail them, the checks are ignored: a broken check would take
// the whole pool out of service.
func TestPanicThresholdIgnoresChecks(t *testing.T) {
	p := newPool(t, Config{Sources: []SourceConfig{{Name: "r"}}, PanicThreshold: 0.5})
	p.list(0, 0, entryWithID("a", "1.1.1.1:1", 0, 0), entryWithID("b", "1.1.1.2:1", 0, 0), entryWithID("c", "1.1.1.3:1", 0, 0))
	p.do(Event{Kind: HealthChecked, BackendID: "a"})
	p.want("one fails", "b@1.1.1.2:1 c@1.1.1.3:1")
	p.do(Event{Kind: HealthChecked, BackendID: "b"})
	p.want("two of three fail", "a@1.1.1.1:1 b@1.1.1.2:1 c@1.1.1.3:1")
	p.do(Event{Kind: SourceFailed})
	p.do(Event{Kind: HealthChecked, BackendID: "b", Up: true})
	p.want("one is up again, the source fails", "b@1.1.1.2:1 c@1.1.1.3:1")
	p.do(Event{Kind: HealthChecked, BackendID: "a", Up: true})
	p.want("all are up", "a@1.1.1.1:1 b@1.1.1.2:1 c@1.1.1.3:1")
}

// The settings Required and Trust, the order of sources, and revisions that go back decide what counts of a source.
func TestMustTrustPrecedenceAndRevisions(t *testing.T) {
	p := newPool(t, Config{Sources: []SourceConfig{
		{Name: "must", Required: true, Trust: Existence | Address}, {Name: "words", Trust: Phase | Start | Weight}, {Name: "other", Trust: AllFacts}}})
	p.list(0, 0, entryWithID("a", "1.1.1.1:1", balance.Draining, 7), entryWithID("b", "1.1.1.2:1", 0, 0))
	p.want("it isn't trusted for phases", "a@1.1.1.1:1 b@1.1.1.2:1")
	heavy := entryWithID("b", "9.9.9.9:9", balance.Draining, 5)
	heavy.Member.Weight = 3
	p.list(1, 0, entryWithID("x", "1.1.1.9:1", 0, 0), heavy)
	p.want("trusted for phase, start and weight only", "a@1.1.1.1:1")
	if b := p.have["b"]; b.Addr != "1.1.1.2:1" || b.Launched != 5 || b.Member.Weight != 3 {
		t.Errorf("%+v", b)
	}
	p.list(2, 0, entryWithID("c", "1.1.1.3:1", 0, 0), entryWithID("a", "1.1.1.8:1", 0, 11))
	p.want("not listed by the source with Must", "a@1.1.1.1:1")
	if p.have["a"].Launched != 11 {
		t.Errorf("want the latest start: %+v", p.have["a"])
	}
	p.list(2, 0, entryWithID("a", "1.1.1.8:1", 0, 3))
	p.list(1, 0, entryWithID("a", "1.1.1.1:1", 0, 8))
	if p.have["a"].Launched != 8 {
		t.Errorf("the start of the later source counts, though it is earlier: %+v", p.have["a"])
	}
	rev := func(n int64, complete bool, e ...Entry) {
		p.do(Event{Kind: Listed, Source: 2, Complete: complete, Revision: n, Entries: e})
	}
	p = newPool(t, Config{Sources: []SourceConfig{{Name: "f"}, {}, {Name: "r"}}})
	rev(9, true, entryWithID("a", "1.1.1.1:1", 0, 0), entryWithID("b", "1.1.1.2:1", 0, 0))
	rev(7, false, entryWithID("a", "1.1.1.1:1", balance.Gone, 0))
	p.want("updates of an old revision", "a@1.1.1.1:1 b@1.1.1.2:1")
	rev(7, true, entryWithID("a", "1.1.1.1:1", 0, 0))
	p.want("a complete list of an old revision removes nothing", "a@1.1.1.1:1 b@1.1.1.2:1")
	rev(8, true, entryWithID("a", "1.1.1.1:1", 0, 0))
	p.want("it goes on from there", "a@1.1.1.1:1")
}

// For any events in any order: deciding on all backends again changes nothing; a draining backend gets no requests; a pool becomes
// empty only while some source is fresh; an entry without an id belongs to a backend that a source with ids lists at its address, if
// there is one; and no state remains of backends that are gone.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(t, Config{Sources: []SourceConfig{{Name: "registry"}, {Name: "dns", StaleGrace: 20 * time.Second},
			{Name: "file", Required: rapid.Bool().Draw(t, "must")}}, PanicThreshold: 0.6, RemovedDrainGrace: 10 * time.Second})
		addr := func() string { return fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(1, 4).Draw(t, "address")) }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := p.ready()
			switch k := rapid.IntRange(0, 7).Draw(t, "event"); k {
			case 0, 1, 2, 3:
				ev := Event{Kind: Listed, Source: rapid.IntRange(0, 2).Draw(t, "source"), Complete: rapid.IntRange(0, 2).Draw(t, "whole") > 0}
				if ev.Source == 1 {
					ev.ExpiresAt = p.now + time.Duration(rapid.IntRange(0, 20).Draw(t, "life"))*time.Second
				}
				for range rapid.IntRange(0, 4).Draw(t, "boxes") {
					if ev.Source == 1 {
						ev.Entries = append(ev.Entries, entryWithoutID(addr(), ev.ExpiresAt))
					} else {
						ev.Entries = append(ev.Entries, entryWithID(fmt.Sprint("s-", rapid.IntRange(1, 4).Draw(t, "id")), addr(),
							balance.Phase(rapid.IntRange(0, 2).Draw(t, "phase")), time.Duration(rapid.IntRange(0, 2).Draw(t, "start"))))
					}
				}
				p.do(ev)
			case 4:
				p.do(Event{Kind: SourceFailed, Source: rapid.IntRange(0, 2).Draw(t, "source")})
			case 5:
				if v := p.m.Views(); len(v) > 0 {
					p.do(Event{Kind: HealthChecked, BackendID: v[rapid.IntRange(0, len(v)-1).Draw(t, "box")].ID, Up: rapid.Bool().Draw(t, "up")})
				}
			default:
				p.now += time.Duration(rapid.IntRange(0, 30).Draw(t, "passes")) * time.Second
				p.do(Event{Kind: Ticked})
			}
			anyFresh := false
			for i := range p.m.sources {
				s := &p.m.sources[i]
				anyFresh = anyFresh || s.hasList && !s.failed && (s.expiresAt == 0 || s.expiresAt > p.now)
			}
			if before != "" && len(p.have) == 0 && !anyFresh {
				t.Fatalf("emptied while no source is fresh: %s", before)
			}
			serving := 0
			for _, v := range p.m.Views() {
				c, known := p.have[v.ID]
				if known != (v.Endpoint.Phase != balance.Gone) || known && c.Endpoint != v.Endpoint {
					t.Fatalf("%s: the pool has %+v, the view is %+v", v.ID, c, v)
				}
				var set VoteSet
				for _, s := range v.Votes {
					set |= SetOf(s.Vote)
				}
				if v.Endpoint.Phase == balance.Ready {
					serving++
					if set&SetOf(Drains, StaleDrains) != 0 {
						t.Fatalf("%s drains and gets requests: %v", v.ID, set)
					}
				}
			}
			if serving != p.m.Serving() {
				t.Fatalf("%d backends serve, Serving returns %d", serving, p.m.Serving())
			}
			for addr, l := range p.m.addrOnly {
				for _, e := range l {
					if at := p.m.byAddr[addr]; len(at) > 0 && !slices.Contains(at, e.backend) {
						t.Fatalf("%s: entry %s is assigned to %s", addr, e.Name, e.backend.id)
					}
				}
			}
			p.m.eventSeq++
			p.m.touched = p.m.touched[:0]
			p.m.touchAll()
			if c := p.m.decide(nil, false); len(c) != 0 {
				t.Fatalf("decided again: %+v", c)
			}
		}
		for i := range p.m.sources {
			p.do(Event{Kind: Listed, Source: i, Complete: true})
		}
		if len(p.have)+len(p.m.backends)+len(p.m.bySourceID)+len(p.m.byAddr)+len(p.m.addrOnly)+len(p.m.orphans)+len(p.m.failing)+len(p.m.held) != 0 {
			t.Fatalf("state left: %+v %+v", p.have, p.m)
		}
	})
}

// newLargeMerge returns a Merge with this many backends, which a registry and DNS list.
func newLargeMerge(boxes int) (*Merge, []Entry) {
	entries := make([]Entry, boxes)
	loose := make([]Entry, boxes)
	for i := range entries {
		addr := fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255)
		entries[i], loose[i] = entryWithID(fmt.Sprint("s-", i), addr, 0, 0), entryWithoutID(addr, time.Minute)
	}
	m := NewMerge(twoSources, 0)
	m.Handle(0, Event{Kind: Listed, Complete: true, Entries: entries}, nil)
	m.Handle(0, Event{Kind: Listed, Source: 1, Complete: true, ExpiresAt: time.Minute, Entries: loose}, nil)
	return m, entries
}

// BenchmarkRefresh applies a complete list of 5,000 backends of which 1% change. It compares this with deciding on all backends again.
func BenchmarkRefresh(b *testing.B) {
	for _, plain := range []bool{false, true} {
		b.Run(map[bool]string{false: "touched", true: "walk"}[plain], func(b *testing.B) {
			m, entries := newLargeMerge(5000)
			r := rand.New(rand.NewPCG(1, 1))
			var out []Change
			b.ReportAllocs()
			for n := 1; b.Loop(); n++ {
				for range len(entries) / 100 {
					entries[r.IntN(len(entries))].Member.Weight = float64(n)
				}
				out = m.Handle(0, Event{Kind: Listed, Complete: true, Entries: entries}, out[:0])
				if plain {
					m.eventSeq++
					m.touched = m.touched[:0]
					m.touchAll()
					out = m.decide(out[:0], false)
				}
			}
		})
	}
}

// BenchmarkExpiry refreshes one of 5,000 entries at a time, with their timers in a wheel. It compares this with a walk over all entries.
func BenchmarkExpiry(b *testing.B) {
	for _, plain := range []bool{false, true} {
		b.Run(map[bool]string{false: "wheel", true: "walk"}[plain], func(b *testing.B) {
			m, _ := newLargeMerge(5000)
			now := time.Duration(0)
			var out []Change
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				k := i % 5000
				addr := fmt.Sprintf("10.0.%d.%d:80", k>>8&255, k&255)
				out = m.Handle(now, Event{Kind: Listed, Source: 1, ExpiresAt: now + time.Minute, Entries: []Entry{entryWithoutID(addr, now+time.Minute)}}, out[:0])
				if plain {
					due := 0
					for _, e := range m.sources[1].entries {
						if e.ExpiresAt <= now {
							due++
						}
					}
					_ = due
				}
			}
		})
	}
}

// A backend that two sources list takes at most 4 KiB. The test prints the measured size.
func TestMemoryPerBackendIsBounded(t *testing.T) {
	heap := func() uint64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	before := heap()
	m, _ := newLargeMerge(5000)
	perBackend := (heap() - before) / 5000
	t.Logf("%d bytes per backend with two sources", perBackend)
	if perBackend > 4096 {
		t.Errorf("%d bytes per backend", perBackend)
	}
	runtime.KeepAlive(m)
}
