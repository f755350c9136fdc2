// This file checks the laws that forms must satisfy. The tests of each form call it with records of their own.

package schema

import (
	"bytes"
	"fmt"
	"slices"
)

// unknownFields are fields that no form defines, one of each join. Steps and merges must preserve them.
var unknownFields = []Field{
	{Num: MaxNum - 1, Sub: "strange", Int: 7, Text: []byte("x"), Rest: []byte{0x28, 1}},
	{Num: MinNum - 1, Sub: "strange", Int: 8},
	{Num: OrNum - 1, Sub: "strange", Int: 9},
	{Num: RegisterNum - 1, Sub: "strange", Int: 10},
	{Num: afterNum - 2, Sub: "strange", Int: 11},
	{Num: afterNum - 1, Sub: "strange", Text: []byte("y")},
}

// CheckFormRules checks the laws of forms on two records of one kind and key. It returns nil, or an error that names the violated law:
//
//   - A merge is commutative and idempotent, and preserves its inputs.
//   - up(merge(x, y)) = merge(up x, up y), for each step and for all of them together.
//   - A step down then up, and up then down, changes only Nums that are declared lost. A path without loss changes nothing.
//   - Fields that a form does not define pass through it unchanged.
//   - No migration lowers a total that Totals returns, and none without loss raises one. If a record is merged with a copy that went to
//     another form and back, the totals stay the same.
//   - No step changes the record that it was given.
//
// The two records may have different schemas. They must be a pair that can coexist in a fleet: of two values of one writer's counter, for
// example, one is the later.
func (b *Registry) CheckFormRules(x, y Record) error {
	at := max(x.Schema, y.Schema)
	merged, err := b.Merge(x, y)
	if err != nil {
		return err
	}
	if x, err = b.Convert(x, at); err != nil {
		return err
	}
	if y, err = b.Convert(y, at); err != nil {
		return err
	}
	if first, err := b.Merge(x, y); err != nil || !Equal(merged, first) {
		return violation(fmt.Sprintf("a merge equals that of both records converted to the higher schema %d first (%v)", at, err), merged, first, x, y)
	}
	if err := b.checkMerge(x, y); err != nil {
		return err
	}
	if err := b.checkUpOfMerge(x, y); err != nil {
		return err
	}
	for _, r := range []Record{x, y} {
		lo, hi := b.ReadableRange(r.Kind)
		for s := lo; s <= hi; s++ {
			if b.CheckPath(r.Kind, at, s) != nil || s == at {
				continue
			}
			if err := b.checkRoundTrip(r, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *Registry) checkMerge(x, y Record) error {
	xy, err := b.Merge(x, y)
	if err != nil {
		return err
	}
	yx, err := b.Merge(y, x)
	if err != nil {
		return err
	}
	if !Equal(xy, yx) {
		return violation("merge is commutative", xy, yx, x, y)
	}
	for _, r := range []Record{x, y} {
		again, err := b.Merge(xy, r)
		if err != nil {
			return err
		}
		if !Equal(again, xy) {
			return violation("merge is idempotent", again, xy, x, y)
		}
		if name, was, is, ok := b.loweredTotal(r, xy); !ok {
			return fmt.Errorf("schema: law: a merge lowers no total: %q from %d to %d: %v", name, was, is, []Record{x, y})
		}
	}
	return nil
}

func (b *Registry) checkUpOfMerge(x, y Record) error {
	xy, err := b.Merge(x, y)
	if err != nil {
		return err
	}
	_, hi := b.ReadableRange(x.Kind)
	for s := x.Schema + 1; s <= hi; s++ {
		up, err := b.Convert(xy, s)
		if err != nil {
			return err
		}
		ux, err := b.Convert(x, s)
		if err != nil {
			return err
		}
		uy, err := b.Convert(y, s)
		if err != nil {
			return err
		}
		ups, err := b.Merge(ux, uy)
		if err != nil {
			return err
		}
		if !Equal(up, ups) {
			return violation(fmt.Sprintf("up to %d of a merge is the merge of both records taken up", s), up, ups, x, y)
		}
	}
	return nil
}

// checkRoundTrip checks the conversion of one record to another schema and back.
func (b *Registry) checkRoundTrip(r Record, s uint16) error {
	original := r.Clone()
	for _, f := range unknownFields {
		if _, known := original.Get(f.Num, f.Sub); !known {
			original.Set(f)
		}
	}
	before := original.Clone()
	for i := range before.Fields {
		before.Fields[i].Text = bytes.Clone(before.Fields[i].Text)
	}
	converted, err := b.Convert(original, s)
	if err != nil {
		return err
	}
	if !Equal(original, before) {
		return violation("a step does not change its input", original, before, r)
	}
	back, err := b.Convert(converted, r.Schema)
	if b.CheckPath(r.Kind, s, r.Schema) != nil {
		back, err = converted, nil // the path up has no path back down
	}
	if err != nil {
		return err
	}
	for _, f := range unknownFields {
		for _, o := range []Record{converted, back} {
			if have, ok := o.Get(f.Num, f.Sub); !ok || compareValue(&have, &f) != 0 {
				return violation(fmt.Sprintf("an unknown field (Num %d) passes unchanged through schema %d", f.Num, s), o, original, r)
			}
		}
	}
	lost := b.lostNums(r.Kind, r.Schema, s)
	if name, was, is, ok := b.loweredTotal(original, converted); !ok {
		return fmt.Errorf("schema: law: no total falls from schema %d to %d: %q from %d to %d: %v", r.Schema, s, name, was, is, r)
	}
	if len(lost) == 0 {
		if name, was, is, ok := b.loweredTotal(converted, original); !ok {
			return fmt.Errorf("schema: law: no total rises from schema %d to %d: %q from %d to %d: %v", r.Schema, s, name, is, was, r)
		}
	}
	if back.Schema != r.Schema {
		return nil
	}
	// Over several steps a lost Num may have another number in between, so losses are compared only across a single step.
	if a, c := without(original, lost), without(back, lost); !Equal(a, c) && (len(lost) == 0 || s+1 == r.Schema || s == r.Schema+1) {
		return violation(fmt.Sprintf("to schema %d and back changes only what is declared as lost %v", s, lost), c, a, r)
	}
	// One member has converted the record there and back, another has not. Their records are merged.
	merged, err := b.Merge(original, back)
	if err != nil {
		return err
	}
	for _, o := range [][2]Record{{original, merged}, {merged, original}} {
		if name, was, is, ok := b.loweredTotal(o[0], o[1]); !ok {
			return fmt.Errorf("schema: law: a merge with a copy back from schema %d keeps the totals: %q: %d and %d: %v", s, name, was, is, r)
		}
	}
	return nil
}

// lostNums returns the Nums that the steps between two schemas declare lost, in both directions.
func (b *Registry) lostNums(k Kind, s, t uint16) []uint32 {
	var nums []uint32
	for n := min(s, t) + 1; n <= max(s, t); n++ {
		f := b.form(k, n)
		nums = append(append(nums, f.Up.Loss.Of...), f.Down.Loss.Of...)
	}
	return nums
}

// Totals returns the totals of a record by the form that it is in.
func (b *Registry) Totals(r Record) map[string]uint64 {
	f := b.form(r.Kind, r.Schema)
	if f == nil {
		return nil
	}
	if f.Totals != nil {
		return f.Totals(r)
	}
	out := map[string]uint64{}
	for _, d := range f.Fields {
		if d.Join == Max {
			for _, v := range r.All(d.Num) {
				out[d.Name] += v.Int
			}
		}
	}
	return out
}

// loweredTotal returns a total that is lower in the second record than in the first, where both forms return it; ok is false if there is
// one.
func (b *Registry) loweredTotal(from, to Record) (name string, was, is uint64, ok bool) {
	after := b.Totals(to)
	for name, was := range b.Totals(from) {
		if is, found := after[name]; (found || from.Schema == to.Schema) && is < was {
			return name, was, is, false
		}
	}
	return "", 0, 0, true
}

func without(r Record, nums []uint32) Record {
	out := r.Clone()
	out.RemoveFields(nums...)
	return out
}

// Equal reports whether two records are the same.
func Equal(a, c Record) bool {
	return a.Kind == c.Kind && a.Schema == c.Schema && a.Key == c.Key && bytes.Equal(a.Rest, c.Rest) &&
		slices.EqualFunc(a.Fields, c.Fields, func(f, g Field) bool { return compareAt(f, g) == 0 && compareValue(&f, &g) == 0 })
}

func violation(law string, got, want Record, of ...Record) error {
	return fmt.Errorf("schema: law: %s:\n got %v\nwant %v\n  of %v", law, got, want, of)
}
