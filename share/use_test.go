package share

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"glencart/schema"
)

// Guards against lost or doubled counts. Members exchange records in random forms, and messages are lost, late, doubled and out
// of order. No member may ever see a count fall, or more than was counted; after a full exchange all must have the exact count.
func TestUseIsNeitherLostNorDoubled(t *testing.T) {
	registry := newRegistry()
	rapid.Check(t, func(t *rapid.T) {
		members := make([]*Use, 3)
		for i := range members {
			members[i] = NewUse(UseConfig{Self: Member{fmt.Sprint("m", i), uint64(i + 1)}})
		}
		var asked, let uint64
		var flight []schema.Record
		var seen [3]uint64
		now := at(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			u := members[rapid.IntRange(0, 2).Draw(t, "member")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				n := uint64(rapid.IntRange(1, 5).Draw(t, "n"))
				u.CountRequests(now, "shop", rapid.SampledFrom([]string{"", "order"}).Draw(t, "class"), n, n-1)
				asked, let = asked+n, let+n-1
			case 1:
				flight = u.Own(now, flight)
			case 2:
				flight = u.All(now, flight)
			case 3:
				if len(flight) > 0 { // stays in flight: it may arrive again
					r := flight[rapid.IntRange(0, len(flight)-1).Draw(t, "message")]
					if form := uint16(rapid.IntRange(1, 3).Draw(t, "form")); form < 3 {
						r, _ = registry.Convert(r, form)
					}
					if err := u.Merge(now, r); err != nil {
						t.Fatal(err)
					}
				}
			case 4: // all steps lie within ten seconds: no window expires
				now = at(min(now.Wall-day+time.Second, 9*time.Second))
			}
			for i, u := range members {
				n := u.Total(now, "shop", "")
				if n.Requests < seen[i] || n.Asked > asked || n.Requests > let {
					t.Fatalf("%d: %+v after %d of %d asked and %d admitted", i, n, seen[i], asked, let)
				}
				seen[i] = n.Requests
			}
		}
		for _, from := range members {
			for _, to := range members {
				for _, r := range from.All(now, nil) {
					to.Merge(now, r)
				}
			}
		}
		for i, u := range members {
			if n := u.classTotal("shop"); n != let {
				t.Fatalf("member %d counts %d in windows of ten seconds, %d were admitted", i, n, let)
			}
		}
	})
}

func (u *Use) classTotal(name string) (n uint64) {
	if t := u.tenants[name]; t != nil {
		for _, c := range t.cells {
			for _, k := range c.tens {
				if k.class == "" {
					n += uint64(k.requests)
				}
			}
		}
	}
	return n
}

// Guards against unbounded growth. The caps must hold, and expired members and unused tenants must be removed; a tenant with a
// limit stays.
func TestUseIsBounded(t *testing.T) {
	u := NewUse(UseConfig{Self: Member{"a", 1}, Tenants: 3, Cells: 4, Classes: 2})
	u.SetLimit(at(0), "limited", Limit{Requests: 5})
	for i := range 10 {
		u.CountRequests(at(0), fmt.Sprint("tenant", i), "", 1, 1)
		u.CountRequests(at(0), "limited", fmt.Sprint("class", i), 1, 1)
		other := NewUse(UseConfig{Self: Member{"b", uint64(i + 1)}})
		other.CountRequests(at(0), "limited", "", 1, 1)
		for _, r := range other.Own(at(0), nil) {
			u.Merge(at(0), r)
		}
	}
	s := u.Stats()
	if s.Tenants != 3 || s.Cells > 4 || s.Classes > 4*9 || s.DroppedAtCap == 0 {
		t.Errorf("%+v", s)
	}
	u.Tick(at(2 * Idle))
	if s := u.Stats(); s.Tenants != 1 || s.Cells != 0 || s.Classes != 0 || len(u.members) != 0 {
		t.Errorf("after everything expired: %+v, %d members", s, len(u.members))
	}
}

// Counts in windows that no clock within Skew could be in must be dropped; counts from clocks that are off by Skew must not.
func TestUseFromSkewedClocks(t *testing.T) {
	now := at(time.Hour)
	for off, want := range map[time.Duration]uint64{-Skew: 1, Skew: 1, time.Minute: 0, -time.Minute: 0} {
		u, o := NewUse(UseConfig{Self: Member{"a", 1}}), NewUse(UseConfig{Self: Member{"b", 1}})
		theirs := Now{Own: now.Own, Wall: now.Wall + off}
		o.CountRequests(theirs, "shop", "", 1, 1)
		for _, r := range o.Own(theirs, nil) {
			u.Merge(now, r)
		}
		if n := u.classTotal("shop"); n != want {
			t.Errorf("clock off by %v: %d known, want %d", off, n, want)
		}
	}
}

// The plan of the latest load must apply at all members, whichever member read it and in whatever order the records arrive.
func TestPlanOfLatestLoadApplies(t *testing.T) {
	a, b := NewUse(UseConfig{Self: Member{"a", 1}}), NewUse(UseConfig{Self: Member{"b", 1}})
	a.SetLimit(at(0), "shop", Limit{Plan: "gold", Loaded: 2})
	b.SetLimit(at(0), "shop", Limit{Plan: "free", Loaded: 1})
	a.CountRequests(at(0), "shop", "", 1, 1)
	for range 2 {
		for _, r := range a.Own(at(0), nil) {
			b.Merge(at(0), r)
		}
		for _, r := range b.Own(at(0), nil) {
			a.Merge(at(0), r)
		}
	}
	for _, u := range []*Use{a, b} {
		if plan, loaded := u.Plan("shop"); plan != "gold" || loaded != 2 {
			t.Errorf("%s of load %d", plan, loaded)
		}
	}
}

// An allowance must be the whole limit for a single instance, a part of it for several, and the fair part if no other member is
// fresh.
func TestAllowance(t *testing.T) {
	u := NewUse(UseConfig{Self: Member{"a", 1}})
	u.SetLimit(at(0), "shop", Limit{Requests: 90, Work: 9})
	u.View(at(0), View{N: 1})
	if a := u.Allowance(at(0), "shop"); a.Rate != 90 || a.Part != 1 || a.Burst != 90 || a.Work != 9 || a.HasNoWorkLimit || a.Until != time.Hour+Window {
		t.Errorf("alone: %+v", a)
	}
	u.View(at(0), View{N: 3, Members: []MemberAge{{Member: Member{"b", 1}, Age: AgeLimit}}})
	if a := u.Allowance(at(0), "shop"); math.Abs(a.Rate-30) > 1e-9 || a.FreshMembers != 1 || a.TotalMembers != 3 {
		t.Errorf("three members, one known, none fresh: %+v", a)
	}
	if a := u.Allowance(at(0), "who?"); a.Limited {
		t.Errorf("no limit: %+v", a)
	}
	u.SetLimit(at(0), "free", Limit{})
	if ok, _ := u.Admit(at(0), "free", ""); !ok {
		t.Error("a tenant without a limit is rejected")
	}
}

// As the beats of the others age, a part must move from its last value to the fair part, and never to nothing or to all.
func TestAllowanceMovesToFairPartWhenOthersAreSilent(t *testing.T) {
	u, b := NewUse(UseConfig{Self: Member{"a", 1}}), NewUse(UseConfig{Self: Member{"b", 1}})
	u.SetLimit(at(0), "shop", Limit{Requests: 100})
	reportedAt := time.Duration(0)
	var parts []string
	for s := range 18 {
		now := at(time.Duration(s) * Window)
		u.CountRequests(now, "shop", "", 10, 10)
		b.CountRequests(now, "shop", "", 90, 90)
		if s < 10 {
			reportedAt = now.Own
			for _, r := range b.Own(now, nil) {
				u.Merge(now, r)
			}
		}
		u.View(now, View{N: 2, Members: []MemberAge{{Member: Member{"b", 1}, Age: now.Own - reportedAt}}})
		parts = append(parts, fmt.Sprintf("%.2f", u.Allowance(now, "shop").Part))
	}
	// The other member counts after four seconds, and until its last beat is two seconds old. Then less and less of what it had
	// is left to it.
	want := "[0.50 0.50 0.50 0.50 0.12 0.12 0.12 0.12 0.12 0.12 0.12 0.12 0.41 0.50 0.50 0.50 0.50 0.50]"
	if got := fmt.Sprint(parts); got != want {
		t.Errorf("parts by second:\n%s, want\n%s", got, want)
	}
	u.View(at(17*Window), View{N: 2, IsCutOff: true, Members: []MemberAge{{Member: Member{"b", 1}}}})
	if p := u.Allowance(at(17*Window), "shop").Part; p != 0.5 {
		t.Errorf("cut off: %v", p)
	}
}

// A bucket must admit its rate over time and its burst after an idle time, make up for work beyond what was left, and return
// when to retry.
func TestBucket(t *testing.T) {
	a := Allowance{Limited: true, Rate: 10, Burst: 10, Work: 1}
	var b Bucket
	let := 0
	for ms := range 5000 {
		if ok, in := b.Take(time.Duration(ms)*time.Millisecond, a); ok {
			let++
		} else if in <= 0 || in > 100*time.Millisecond {
			t.Fatalf("retry in %v", in)
		}
	}
	if let != 10+49 {
		t.Errorf("%d admitted in 5 s", let)
	}
	b.Spend(3)
	if ok, in := b.Take(6*time.Second, a); ok || in < time.Second || in > 2*time.Second {
		t.Errorf("a second after 3 s of work of 1 s a second: %v, %v", ok, in)
	}
	if ok, _ := b.Take(9*time.Second, a); !ok {
		t.Error("no request admitted after the work was made up for")
	}
}

// An age must count from the arrival of a beat, direct or passed on. Only a higher beat may reset it.
func TestAges(t *testing.T) {
	a, b, c := NewAges(Member{"a", 1}), NewAges(Member{"b", 1}), NewAges(Member{"c", 1})
	beat := b.Beat(Now{Wall: day + 5*time.Second})
	a.Merge(at(0), beat)
	a.Merge(at(3*time.Second), beat)
	if age, off := a.Age(at(3*time.Second), Member{"b", 1}), a.Off(Member{"b", 1}); age != 3*time.Second || off != 5*time.Second {
		t.Errorf("age %v, off by %v", age, off)
	}
	r, upTo := a.Changed(0)
	c.Merge(at(0), r)
	if age := c.Age(at(0), Member{"b", 1}); age != 0 {
		t.Errorf("passed on: %v", age)
	}
	if r, _ := a.Changed(upTo); len(r.Fields) != 0 {
		t.Errorf("sent again although nothing is new: %v", r)
	}
	if age := c.Age(at(0), Member{"b", 2}); age != AgeLimit {
		t.Errorf("another process of the same name: %v", age)
	}
}

// Each part of a split record must be valid by itself.
func TestSplit(t *testing.T) {
	u := NewUse(UseConfig{Self: Member{"a", 1}})
	for i := range 8 {
		u.CountRequests(at(0), "shop", fmt.Sprint("class", i), 1, 1)
	}
	whole := u.All(at(0), nil)[0]
	parts := Split(nil, whole, 200)
	if len(parts) < 3 {
		t.Fatalf("%d parts", len(parts))
	}
	var sum schema.Record
	for i, p := range parts {
		if p.Size() > 300 {
			t.Errorf("part of %d bytes", p.Size())
		}
		if sum = p; i > 0 {
			sum, _ = u.registry.Merge(parts[0], p)
			parts[0] = sum
		}
	}
	if !schema.Equal(sum, whole) {
		t.Errorf("merged parts: %v, want %v", sum, whole)
	}
}
