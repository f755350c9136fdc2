package share

import (
	"encoding/binary"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"glencart/schema"
)

var someMembers = []Member{{"a", 7}, {"a", 8}, {"b", 7}, {"c#1", 1 << 63}}

// drawUse draws a record of use as a release of the form writes it, or as it stores what a later release sent.
func drawUse(t *rapid.T, form uint16, what string) schema.Record {
	r := schema.Record{Kind: schema.Use, Schema: form, Key: "tenant"}
	for range rapid.IntRange(0, 6).Draw(t, what) {
		m := rapid.SampledFrom(someMembers).Draw(t, "member")
		window := uint64(rapid.IntRange(172_800_000, 172_800_002).Draw(t, "window"))
		class := rapid.SampledFrom([]string{"", "order", "menu"}).Draw(t, "class")
		f := schema.Field{Num: useRequests, Sub: countSub(window, m, class), Int: uint64(rapid.IntRange(0, 3).Draw(t, "n"))}
		pick := rapid.IntRange(0, 5).Draw(t, "field")
		switch {
		case pick == 0:
			f.Num = useWork
		case pick == 1 && form == 3:
			f = schema.Field{Num: usePlan, Int: f.Int, Text: []byte(class)}
		case pick <= 4 && form == 3:
			f.Num, f.Sub = uint32(useAsked+pick-2), countSub(window*10, m, "")
		case pick == 5:
			f.Sub = "not what the form says"
		}
		if f.Num == useRequests && form == 1 && (class == "" || pick == 5) {
			f.Num, f.Sub = useRequestsForm1, subForm1(window, m)
			if pick == 5 {
				f.Sub = "1#2"
			}
		}
		r.Set(f)
	}
	return r
}

func drawSession(t *rapid.T, form uint16, what string) schema.Record {
	r := schema.Record{Kind: schema.Session, Schema: form, Key: "0123456789abcdef"}
	if stamp := uint64(rapid.IntRange(0, 2).Draw(t, what)); stamp > 0 {
		box := []byte(rapid.SampledFrom([]string{"", "box", "box2"}).Draw(t, "box"))
		if form == 1 {
			r.Set(schema.Field{Num: sessBackendForm1, Int: stamp, Text: box})
		} else {
			r.Set(schema.Field{Num: sessStamp, Int: stamp})
			r.Set(schema.Field{Num: sessBackend, Text: box})
			if g := rapid.SampledFrom([]string{"", "g", "h"}).Draw(t, "group"); g != "" {
				r.Set(schema.Field{Num: sessGroup, Text: []byte(g)})
			}
			r.Set(schema.Field{Num: sessEnd, Int: uint64(rapid.IntRange(1, 2).Draw(t, "end"))})
		}
	}
	for range rapid.IntRange(0, 3).Draw(t, "calls") { // an older form stores them unread
		b := body{end: int64(rapid.IntRange(1, 2).Draw(t, "end")), group: "g", hasAnswer: rapid.Bool().Draw(t, "kept")}
		r.Set(schema.Field{Num: sessCall, Sub: callSub(uint64(rapid.IntRange(1, 2).Draw(t, "call")), rapid.SampledFrom(someMembers).Draw(t, "by")),
			Int: uint64(rapid.IntRange(1, 11).Draw(t, "stamp")), Text: b.append(nil)})
	}
	return r
}

// Guards against conversions between forms that lose counts or marks. For every pair of forms, converting a merge up must equal
// merging the converted records, a conversion down and up may lose only what is declared, and no count or mark may fall.
func TestFormConversionsKeepCountsAndMarks(t *testing.T) {
	registry := newRegistry()
	for _, draw := range []func(*rapid.T, uint16, string) schema.Record{drawUse, drawSession} {
		for x := uint16(1); x <= 3; x++ {
			for y := uint16(1); y <= 3; y++ {
				rapid.Check(t, func(t *rapid.T) {
					rx, ry := draw(t, x, "x"), draw(t, y, "y")
					if err := registry.CheckFormRules(rx, ry); err != nil {
						t.Fatal(err)
					}
					// The same for records that an old release stores after a newer one sent them.
					low := uint16(rapid.IntRange(1, int(min(x, y))).Draw(t, "low"))
					dx, err := registry.Convert(rx, low)
					if err != nil {
						t.Fatal(err)
					}
					dy, _ := registry.Convert(ry, low)
					if err := registry.CheckFormRules(dx, dy); err != nil {
						t.Fatal(err)
					}
				})
			}
		}
	}
}

// Guards against losing the counts of the first release. A record of form 1 must count in a current table, and must convert
// back exactly.
func TestUseOfFirstReleaseIsCounted(t *testing.T) {
	now := at(0)
	old := schema.Record{Kind: schema.Use, Schema: 1, Key: "shop", Fields: []schema.Field{{Num: useRequestsForm1, Sub: "172800000#7#a", Int: 40}}}
	u := NewUse(UseConfig{Self: Member{"b", 1}})
	if err := u.Merge(now, old); err != nil {
		t.Fatal(err)
	}
	if n := u.Total(now, "shop", ""); n.Requests != 40 {
		t.Errorf("total: %+v", n)
	}
	for _, r := range u.All(now, nil) {
		back, err := u.registry.Convert(r, 1)
		if err != nil || !schema.Equal(back, old) {
			t.Errorf("back: %v, %v; want %v", back, err, old)
		}
	}
}

// Guards against older releases dropping fields that they don't define. A record that passes through a table of an older release
// must arrive complete at a newer one.
func TestOldReleasePassesOnUnknownFields(t *testing.T) {
	now := at(0)
	for form := uint16(1); form <= 3; form++ {
		registry := newRegistry()
		a, old, b := NewUse(UseConfig{Self: Member{"a", 1}}), NewUse(UseConfig{Self: Member{"o", 1}, Form: form}), NewUse(UseConfig{Self: Member{"b", 1}})
		a.CountRequests(now, "shop", "order", 5, 4)
		a.CountWork(now, "shop", "order", 2)
		for _, r := range a.Own(now, nil) {
			down, err := registry.Convert(r, form)
			if err != nil {
				t.Fatal(err)
			}
			old.Merge(now, down)
		}
		for _, r := range old.All(now, nil) {
			down, _ := registry.Convert(r, form)
			b.Merge(now, down)
		}
		if got, want := fmt.Sprint(b.Total(now, "shop", "order")), "{4 4 2}"; got != want {
			t.Errorf("use by class after passing form %d: %s, want %s", form, got, want)
		}

		x, o, y := newPair(form)
		key := KeyOf("shop", []byte("cookie"))
		x.Lookup(now, Query{Key: key, Call: 1, Effect: Unsafe})
		m := x.End(now, AttemptOutcome{Key: key, Call: 1, State: Answered, Answer: "placed"})
		down, err := registry.Convert(m.Record, form)
		if err != nil {
			t.Fatal(err)
		}
		o.Merge(now, down)
		for _, r := range o.AppendRecords(now, Range{Part: PartOf(key)}, nil) {
			down, _ = registry.Convert(r, form)
			y.Merge(now, down)
		}
		if d := y.Lookup(now, Query{Key: key, Call: 1, Effect: Unsafe, Repeat: true}); d.What != Known || d.Answer != "placed" {
			t.Errorf("a mark after passing form %d: %v %q", form, d.What, d.Answer)
		}
	}
}

// newPair returns two tables of the current release and one of an older release.
func newPair(form uint16) (x, old, y *Sessions) {
	x, old, y = NewSessions(SessionsConfig{Self: Member{"x", 1}}), NewSessions(SessionsConfig{Self: Member{"o", 1}, Form: form}), NewSessions(SessionsConfig{Self: Member{"y", 1}})
	ring := NewRing([]Member{{"x", 1}, {"o", 1}, {"y", 1}}, 2)
	for _, s := range []*Sessions{x, old, y} {
		s.SetRing(at(0), ring, false, nil)
	}
	return x, old, y
}

// Any parsed record must be merged or rejected without a panic, and the records that go out again must be valid.
func FuzzRecords(f *testing.F) {
	u := NewUse(UseConfig{Self: Member{"a", 1}})
	u.CountRequests(at(0), "shop", "order", 5, 4)
	for _, r := range u.All(at(0), nil) {
		f.Add(schema.AppendRecord(nil, r))
	}
	s := NewSessions(SessionsConfig{Self: Member{"a", 1}})
	s.Lookup(at(0), Query{Key: Key{1}, Call: 1, Effect: Unsafe})
	for _, r := range s.AppendRecords(at(0), Range{Part: PartOf(Key{1})}, nil) {
		f.Add(schema.AppendRecord(nil, r))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := schema.ParseRecord(b)
		if err != nil {
			return
		}
		now := at(0)
		u, ages := NewUse(UseConfig{Self: Member{"a", 1}}), NewAges(Member{"a", 1})
		s := NewSessions(SessionsConfig{Self: Member{"a", 1}})
		u.Merge(now, r)
		ages.Merge(now, r)
		s.Merge(now, r)
		out := u.All(now, nil)
		if len(r.Key) == 16 {
			key := Key([]byte(r.Key))
			out = s.AppendRecords(now, Range{Part: PartOf(key)}, out)
			if len(r.Fields) > 0 && r.Fields[0].Num == sessCall && len(r.Fields[0].Sub) > 16 {
				s.Lookup(now, Query{Key: key, Call: binary.BigEndian.Uint64([]byte(r.Fields[0].Sub)), Effect: Keyed})
			}
		}
		for _, o := range out {
			if err := o.Check(); err != nil {
				t.Fatalf("%v\nfrom %v", err, r)
			}
		}
	})
}
