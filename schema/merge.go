// This file merges two records of one key.

package schema

import (
	"bytes"
	"fmt"
	"slices"
)

// Merge merges two records of one kind and key, at the higher schema of the two. It is associative, commutative and idempotent, also for
// fields that this release does not define. Neither record is changed. On an error it returns the first one.
func (b *Registry) Merge(x, y Record) (Record, error) {
	if x.Kind != y.Kind || x.Key != y.Key {
		return x, fmt.Errorf("schema: merge: %s %q with %s %q: kind and key have to be the same", x.Kind, x.Key, y.Kind, y.Key)
	}
	at := max(x.Schema, y.Schema)
	xs, err := b.Convert(x, at)
	if err != nil {
		return x, fmt.Errorf("schema: merge: %w", err)
	}
	ys, err := b.Convert(y, at)
	if err != nil {
		return x, fmt.Errorf("schema: merge: %w", err)
	}
	out := join(xs, ys)
	if err := out.Check(); err != nil {
		return x, fmt.Errorf("schema: merge: %w", err)
	}
	return out, nil
}

// join merges two records of one schema.
func join(x, y Record) Record {
	out := x
	if bytes.Compare(y.Rest, x.Rest) > 0 {
		out.Rest = y.Rest
	}
	out.Fields = make([]Field, 0, max(len(x.Fields), len(y.Fields)))
	a, c := x.Fields, y.Fields
	for len(a) > 0 || len(c) > 0 {
		switch {
		case len(c) == 0 || len(a) > 0 && registerBase(a[0].Num) < registerBase(c[0].Num):
			n := registerLength(a)
			out.Fields, a = append(out.Fields, a[:n]...), a[n:]
		case len(a) == 0 || registerBase(c[0].Num) < registerBase(a[0].Num):
			n := registerLength(c)
			out.Fields, c = append(out.Fields, c[:n]...), c[n:]
		case JoinOf(a[0].Num) == Register:
			n, m := registerLength(a), registerLength(c)
			out.Fields = joinRegisters(out.Fields, a[:n], c[:m])
			a, c = a[n:], c[m:]
		default:
			switch at := compareAt(a[0], c[0]); {
			case at < 0:
				out.Fields, a = append(out.Fields, a[0]), a[1:]
			case at > 0:
				out.Fields, c = append(out.Fields, c[0]), c[1:]
			default:
				out.Fields = append(out.Fields, joinField(a[0], c[0]))
				a, c = a[1:], c[1:]
			}
		}
	}
	return out
}

// registerBase returns a number that is common to all fields of one registerBase and that no other field has.
func registerBase(num uint32) uint32 {
	if JoinOf(num) == Register {
		return num - num%RegisterSize
	}
	return num
}

// registerLength returns how many leading fields belong to one block of registers, or 1 for a field with another join.
func registerLength(f []Field) int {
	if JoinOf(f[0].Num) != Register {
		return 1
	}
	n := 1
	for n < len(f) && registerBase(f[n].Num) == registerBase(f[0].Num) {
		n++
	}
	return n
}

func joinField(a, c Field) Field {
	switch JoinOf(a.Num) {
	case Min:
		if compareValue(&c, &a) < 0 {
			return c
		}
		return a
	case Or:
		a.Int |= c.Int
		if bytes.Compare(c.Text, a.Text) > 0 {
			a.Text = c.Text
		}
		if bytes.Compare(c.Rest, a.Rest) > 0 {
			a.Rest = c.Rest
		}
		return a
	}
	if compareValue(&c, &a) > 0 {
		return c
	}
	return a
}

// joinRegisters takes, for each Sub of one block of registers, the fields of the side with the larger list.
func joinRegisters(out []Field, a, c []Field) []Field {
	from := len(out)
	for _, f := range a {
		if compareRegister(a, c, f.Sub) >= 0 {
			out = append(out, f)
		}
	}
	for _, f := range c {
		if compareRegister(a, c, f.Sub) < 0 {
			out = append(out, f)
		}
	}
	slices.SortFunc(out[from:], compareAt)
	return out
}

// compareRegister compares the fields of one Sub as lists.
func compareRegister(a, c []Field, sub string) int {
	for {
		a, c = skipToSub(a, sub), skipToSub(c, sub)
		switch {
		case len(a) == 0 && len(c) == 0:
			return 0
		case len(c) == 0:
			return 1
		case len(a) == 0:
			return -1
		case a[0].Num != c[0].Num:
			if a[0].Num < c[0].Num { // the side with the lower Num is larger: an absent field is less than any value
				return 1
			}
			return -1
		}
		if v := compareValue(&a[0], &c[0]); v != 0 {
			return v
		}
		a, c = a[1:], c[1:]
	}
}

func skipToSub(f []Field, sub string) []Field {
	for len(f) > 0 && f[0].Sub != sub {
		f = f[1:]
	}
	return f
}
