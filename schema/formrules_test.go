package schema

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// formChain is a random sequence of forms of one kind, with the Nums that a record of each form may have.
type formChain struct {
	registry *Registry
	nums     [][]uint32 // Nums by form, starting with form 1
}

// moveFields returns a step that moves all fields of one Num to another Num and joins them with fields that are already there.
func moveFields(from, to uint32, change func(uint64) uint64) func(Record) (Record, error) {
	return func(r Record) (Record, error) {
		for _, f := range append([]Field(nil), r.All(from)...) {
			f.Num, f.Int = to, change(f.Int)
			if have, ok := r.Get(to, f.Sub); ok {
				f = joinField(have, f)
			}
			r.Set(f)
		}
		r.RemoveFields(from)
		return r, nil
	}
}

func identity(v uint64) uint64 { return v }

// drawFormChain draws a sequence of forms. Each results from the previous one by a change that releases typically make.
func drawFormChain(t *rapid.T) formChain {
	c := formChain{registry: &Registry{}}
	next := map[Join]uint32{Keep: 1, Max: MaxNum, Min: MinNum, Or: OrNum, Register: RegisterNum}
	fresh := func(j Join) uint32 {
		n := next[j]
		next[j] = n + 1
		return n
	}
	joins := []Join{Keep, Max, Min, Or, Register}
	var live []uint32
	for range 4 {
		live = append(live, fresh(rapid.SampledFrom(joins).Draw(t, "join")))
	}
	for n := range rapid.IntRange(2, 5).Draw(t, "forms") {
		f := Form{Kind: Use, Number: uint16(n + 1)}
		if n > 0 {
			switch rapid.SampledFrom([]string{"add", "least", "rename", "register", "scale", "forget", "oneway"}).Draw(t, "change") {
			case "add":
				live = append(live, fresh(rapid.SampledFrom(joins).Draw(t, "join")))
			case "least": // a new field with the smallest value of its join
				num := fresh(Max)
				f.Up.Do = func(r Record) (Record, error) {
					if _, ok := r.Get(num, ""); !ok {
						r.Set(Field{Num: num})
					}
					return r, nil
				}
				f.Up.Loss = LossWithDefault("nothing used", num)
				live = append(live, num)
			case "rename":
				at := rapid.IntRange(0, len(live)-1).Draw(t, "which")
				if j := JoinOf(live[at]); j != Register {
					from, to := live[at], fresh(j)
					f.Up.Do, f.Down.Do = moveFields(from, to, identity), moveFields(to, from, identity)
					live = append(append([]uint32(nil), live[:at]...), live[at+1:]...)
					live = append(live, to)
				}
			case "register": // a block of registers is moved as a whole
				next[Register] = (next[Register]/RegisterSize + 1) * RegisterSize
				delta := next[Register] - RegisterNum
				move := func(from, to uint32) func(Record) (Record, error) {
					return func(r Record) (Record, error) {
						for i := range r.Fields {
							if JoinOf(r.Fields[i].Num) == Register && r.Fields[i].Num-from < delta {
								r.Fields[i].Num += to - from
							}
						}
						return r, nil
					}
				}
				var moved []uint32
				for _, num := range live {
					if JoinOf(num) == Register {
						num += delta
						next[Register] = max(next[Register], num+1)
					}
					moved = append(moved, num)
				}
				if 2*delta <= afterNum-RegisterNum-2*RegisterSize {
					f.Up.Do, f.Down.Do = move(RegisterNum, RegisterNum+delta), move(RegisterNum+delta, RegisterNum)
					live = moved
				}
			case "scale": // milliseconds become microseconds
				at := rapid.IntRange(0, len(live)-1).Draw(t, "which")
				if JoinOf(live[at]) == Max {
					from, to := live[at], fresh(Max)
					f.Up.Do = moveFields(from, to, func(v uint64) uint64 { return v * 1000 })
					f.Down.Do = moveFields(to, from, func(v uint64) uint64 { return v / 1000 })
					f.Down.Loss = LossWithDefault("whole milliseconds", to)
					live = append(append([]uint32(nil), live[:at]...), live[at+1:]...)
					live = append(live, to)
				}
			case "forget":
				at := rapid.IntRange(0, len(live)-1).Draw(t, "which")
				if num := live[at]; len(live) > 2 && JoinOf(num) != Register {
					f.Up = Step{Do: func(r Record) (Record, error) { r.RemoveFields(num); return r, nil }, Loss: LossWithDefault("not kept any more", num)}
					live = append(append([]uint32(nil), live[:at]...), live[at+1:]...)
				}
			case "oneway":
				live = append(live, fresh(Or))
				f.Down = Step{Loss: NoSuchStep, What: "the form before has no room for it"}
			}
		}
		if err := c.registry.Register(f); err != nil {
			t.Fatal(err)
		}
		c.nums = append(c.nums, append([]uint32(nil), live...))
	}
	return c
}

// draw draws a record of one of the forms.
func (c formChain) draw(t *rapid.T, what string) Record {
	s := rapid.IntRange(1, len(c.nums)).Draw(t, "schema of "+what)
	r := drawRecord(t, append([]uint32{997, 1997, 3997, 8001}, c.nums[s-1]...), what) // some Nums that no form defines
	r.Schema = uint16(s)
	return r
}

// The laws hold for random sequences of forms, and for each path between two forms. Otherwise a merge of records of different releases
// would depend on where each was converted.
func TestFormRulesHoldForRandomForms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawFormChain(t)
		if err := c.registry.CheckFormRules(c.draw(t, "x"), c.draw(t, "y")); err != nil {
			t.Fatal(err)
		}
	})
}

// CheckFormRules detects forms with typical mistakes. Without this test a check in CheckFormRules that never fails would stay unnoticed.
func TestCheckFormRulesDetectsWrongForms(t *testing.T) {
	count := func(sub string, n uint64) Field { return Field{Num: 1000, Sub: sub, Int: n} }
	// A release that counts by class splits the total on the way up and sums it again on the way down.
	apart := func(r Record) (Record, error) { return moveFields(1000, 1002, identity)(r) }
	addUp := func(r Record) (Record, error) {
		var n uint64
		for _, f := range r.All(1002) {
			n += f.Int
		}
		r.Set(count("", n))
		return r, nil
	}
	change := func(to func(uint64) uint64) func(Record) (Record, error) {
		return func(r Record) (Record, error) {
			for i := range r.Fields {
				if r.Fields[i].Num == 1000 {
					r.Fields[i].Int = to(r.Fields[i].Int)
				}
			}
			return r, nil
		}
	}
	add := func(n uint64) func(Record) (Record, error) {
		return func(r Record) (Record, error) {
			if _, ok := r.Get(1001, ""); !ok {
				r.Set(Field{Num: 1001, Int: n})
			}
			return r, nil
		}
	}
	for name, c := range map[string]struct {
		up, down Step
		law      string
	}{
		"a default that is not the smallest value": {up: Step{Do: add(5), Loss: LossWithDefault("five", 1001)}, law: "up to 2 of a merge"},
		"an unknown field is dropped": {down: Step{Do: func(r Record) (Record, error) {
			return Record{Fields: append([]Field(nil), r.All(1000)...)}, nil
		}}, law: "an unknown field"},
		"a loss that is not declared": {down: Step{Do: func(r Record) (Record, error) { r.RemoveFields(1001); return r, nil }}, law: "only what is declared as lost"},
		"a count that falls":          {up: Step{Do: change(func(v uint64) uint64 { return v / 2 }), Loss: LossWithDefault("half", 1000)}, law: "falls"},
		"a count that rises":          {up: Step{Do: change(func(v uint64) uint64 { return v * 2 })}, law: "rises"},
		"a total counted twice": {up: Step{Do: apart, Loss: LossWithDefault("of no class", 1000, 1002)},
			down: Step{Do: addUp, Loss: LossWithDefault("of all classes", 1000, 1002)}, law: "keeps the totals"},
		"a step that is not monotone": {up: Step{Do: change(func(v uint64) uint64 { return v ^ 1 }), Loss: LossWithDefault("", 1000)}, law: "up to 2 of a merge"},
		"a step that changes its input": {up: Step{Do: func(r Record) (Record, error) {
			for _, f := range r.Fields {
				if len(f.Text) > 0 {
					f.Text[0]++
				}
			}
			return r, nil
		}}, law: "does not change its input"},
	} {
		b := &Registry{}
		tells := func(r Record) map[string]uint64 { // totals, by the form's own definition
			var n uint64
			for _, f := range r.Fields {
				if f.Num == 1000 || f.Num == 1002 && name == "a total counted twice" {
					n += f.Int
				}
			}
			return map[string]uint64{"count": n}
		}
		b.Register(Form{Kind: Use, Number: 1, Totals: tells})
		if err := b.Register(Form{Kind: Use, Number: 2, Totals: tells, Up: c.up, Down: c.down}); err != nil {
			t.Fatal(err)
		}
		x := Record{Kind: Use, Schema: 1, Key: "k", Fields: []Field{count("", 8), count("a", 3), {Num: 1001, Sub: "", Int: 1, Text: []byte("x")}}}
		y := Record{Kind: Use, Schema: 1, Key: "k", Fields: []Field{count("", 9), count("b", 4)}}
		var seen []string
		for _, at := range []uint16{1, 2} {
			x, y := x.Clone(), y.Clone()
			x.Fields[2].Text = []byte("x")
			x.Schema, y.Schema = at, at
			if err := b.CheckFormRules(x, y); err != nil {
				seen = append(seen, err.Error())
			}
		}
		if !strings.Contains(strings.Join(seen, "\n"), c.law) {
			t.Errorf("%s: Law does not report %q: %q", name, c.law, seen)
		}
	}
}

// A missing step is named in the error of Convert and ConvertForPeer, and a missing step up is rejected by Register. A record without a path down
// stays at the lowest schema that it can reach, so that no part of it is lost.
func TestMissingStepIsNamedAndRecordStaysAtNearest(t *testing.T) {
	b := &Registry{}
	for n := uint16(1); n <= 3; n++ {
		f := Form{Kind: Session, Number: n, Name: fmt.Sprintf("form %d", n)}
		if n == 2 {
			f.Down = Step{Loss: NoSuchStep, What: "form 1 has no end"}
		}
		if err := b.Register(f); err != nil {
			t.Fatal(err)
		}
	}
	r := Record{Kind: Session, Schema: 3, Key: "k"}
	if _, err := b.Convert(r, 1); !errors.Is(err, ErrOneWay) || !strings.Contains(err.Error(), "session from schema 2 (form 2) to 1: form 1 has no end") {
		t.Errorf("%v", err)
	}
	if got, err := b.MergeInto(nil, r, 1); err != nil || got.Schema != 2 {
		t.Errorf("stored at schema %d, error %v; the record can go down to 2", got.Schema, err)
	}
	if got, err := b.ConvertForPeer(r, 1, 2); err != nil || got.Schema != 2 {
		t.Errorf("sent at schema %d, error %v, want schema 2", got.Schema, err)
	}
	if _, err := b.ConvertForPeer(r, 1, 1); !errors.Is(err, ErrOneWay) {
		t.Errorf("sent to a receiver that reads only schema 1: got error %v, want ErrOneWay", err)
	}
	table := &Table{}
	table.Put(r)
	sweep := Sweep{Kind: Session, To: 1}
	if sweep.Step(b, table, DefaultStepLimit); !sweep.Done || sweep.Moved != 1 || sweep.Unreachable != 1 || sweep.Highest != 2 {
		t.Errorf("sweep to a schema without a path: %+v", sweep)
	}
	old := b.Restrict(Session, 1, 2)
	if _, err := old.Merge(Record{Kind: Session, Schema: 1, Key: "k"}, r); !errors.Is(err, ErrNoForm) || !strings.Contains(err.Error(), "reads 1 to 2") {
		t.Errorf("%v", err)
	}
	for want, f := range map[string]Form{
		"without a gap":      {Kind: Session, Number: 5},
		"no step up":         {Kind: Session, Number: 4, Up: Step{Loss: NoSuchStep}},
		"not by min":         {Kind: Session, Number: 4, Fields: []FieldDef{{1000, "n", Min}}},
		"by rising Num":      {Kind: Session, Number: 4, Fields: []FieldDef{{1001, "n", Max}, {1000, "m", Max}}},
		"numbers begin with": {Kind: Session},
	} {
		if err := b.Register(f); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
}
