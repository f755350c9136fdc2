// This file has the forms that a release supports, and the conversions between them.

package schema

import (
	"errors"
	"fmt"
	"slices"
)

// Errors of a Registry, for use with errors.Is.
var (
	ErrNoForm   = errors.New("no such form")    // this release does not support the kind or the schema
	ErrOneWay   = errors.New("no step down")    // the previous form cannot represent the record
	ErrTooLarge = errors.New("over its bounds") // see MaxRecord and the other limits
)

// Registry holds the forms of one release. It is read-only after registration, so any number of goroutines may use it.
type Registry struct {
	forms map[Kind][]Form // sorted by Number, without a gap
}

// Register adds a form: the first of its kind, or the one after the last. An error is a programming mistake.
func (b *Registry) Register(f Form) error {
	where := fmt.Sprintf("schema: %s form %d (%s)", f.Kind, f.Number, f.Name)
	have := b.forms[f.Kind]
	if f.Number == 0 {
		return fmt.Errorf("%s: numbers begin with 1", where)
	}
	if n := len(have); n > 0 && f.Number != have[n-1].Number+1 {
		return fmt.Errorf("%s: comes after %d: register forms in order, without a gap", where, have[n-1].Number)
	}
	if f.Up.Loss.Never {
		return fmt.Errorf("%s: has no step up: no record could be upgraded to it", where)
	}
	for i, d := range f.Fields {
		if d.Num == 0 {
			return fmt.Errorf("%s: field %q: Nums begin with 1", where, d.Name)
		}
		if d.Join != JoinOf(d.Num) {
			return fmt.Errorf("%s: field %q: Num %d is joined by %s, not by %s: use a Num in the range of its join", where, d.Name, d.Num, JoinOf(d.Num), d.Join)
		}
		if i > 0 && f.Fields[i-1].Num >= d.Num {
			return fmt.Errorf("%s: field %q: Num %d after %d: list fields by rising Num", where, d.Name, d.Num, f.Fields[i-1].Num)
		}
	}
	if b.forms == nil {
		b.forms = map[Kind][]Form{}
	}
	b.forms[f.Kind] = append(have, f)
	return nil
}

// ReadableRange returns the lowest and the highest schema of a kind that this release reads, or 0, 0 if it reads none.
func (b *Registry) ReadableRange(k Kind) (lo, hi uint16) {
	f := b.forms[k]
	if len(f) == 0 {
		return 0, 0
	}
	return f[0].Number, f[len(f)-1].Number
}

// Restrict returns the registry of a release that supports only the schemas lo to hi of a kind, and all schemas of other kinds.
func (b *Registry) Restrict(k Kind, lo, hi uint16) *Registry {
	out := &Registry{forms: map[Kind][]Form{}}
	for kind, forms := range b.forms {
		out.forms[kind] = slices.Clip(forms)
	}
	out.forms[k] = slices.DeleteFunc(slices.Clone(b.forms[k]), func(f Form) bool { return f.Number < lo || f.Number > hi })
	return out
}

// Form returns the form of a kind with this number.
func (b *Registry) Form(k Kind, schema uint16) (Form, bool) {
	f := b.form(k, schema)
	if f == nil {
		return Form{}, false
	}
	return *f, true
}

func (b *Registry) form(k Kind, schema uint16) *Form {
	forms := b.forms[k]
	if len(forms) == 0 || schema < forms[0].Number || schema > forms[len(forms)-1].Number {
		return nil
	}
	return &forms[schema-forms[0].Number]
}

// known returns nil if this release reads the schema.
func (b *Registry) known(k Kind, schema uint16) error {
	if b.form(k, schema) != nil {
		return nil
	}
	lo, hi := b.ReadableRange(k)
	return fmt.Errorf("%w: %s at schema %d: this release reads %d to %d: upgrade it, or take the written schema back first",
		ErrNoForm, k, schema, lo, hi)
}

// CheckPath returns nil if there is a path from one schema of a kind to another. Otherwise the error names the missing step and the reason.
func (b *Registry) CheckPath(k Kind, from, to uint16) error {
	if err := b.known(k, from); err != nil {
		return err
	}
	if err := b.known(k, to); err != nil {
		return err
	}
	for s := from; s > to; s-- {
		if f := b.form(k, s); f.Down.Loss.Never {
			return fmt.Errorf("%w: %s from schema %d (%s) to %d: %s", ErrOneWay, k, s, f.Name, s-1, f.Down.What)
		}
	}
	return nil
}

// Convert converts a record to another schema, step by step. The given record is not changed. An error names a missing step (ErrOneWay), or
// a schema that this release does not support (ErrNoForm).
func (b *Registry) Convert(r Record, schema uint16) (Record, error) {
	if r.Schema == schema && b.form(r.Kind, schema) != nil {
		return r, nil
	}
	if err := b.CheckPath(r.Kind, r.Schema, schema); err != nil {
		return r, err
	}
	out := r.Clone()
	for out.Schema != schema {
		var err error
		if out.Schema < schema {
			out, err = b.step(out, b.form(r.Kind, out.Schema+1).Up, out.Schema+1)
		} else {
			out, err = b.step(out, b.form(r.Kind, out.Schema).Down, out.Schema-1)
		}
		if err != nil {
			return r, err
		}
	}
	if err := out.Check(); err != nil {
		return r, fmt.Errorf("schema: %s from %d to %d: %w", r.Kind, r.Schema, schema, err)
	}
	return out, nil
}

// step applies one step. The record owns its Fields.
func (b *Registry) step(r Record, s Step, to uint16) (Record, error) {
	out := r
	if s.Do != nil {
		var err error
		if out, err = s.Do(r); err != nil {
			return r, fmt.Errorf("schema: %s from %d to %d: %w", r.Kind, r.Schema, to, err)
		}
	}
	out.Kind, out.Key, out.Rest, out.Schema = r.Kind, r.Key, r.Rest, to
	if !slices.IsSortedFunc(out.Fields, compareAt) {
		slices.SortFunc(out.Fields, compareAt)
	}
	return out, nil
}

// MergeInto returns the record to store after one is received. It merges the stored record (nil: none) with the received one, and converts the
// result to the written schema. Where a step down does not exist, the result stays at the lowest schema that it can reach.
func (b *Registry) MergeInto(held *Record, got Record, written uint16) (Record, error) {
	r := got
	if held != nil {
		var err error
		if r, err = b.Merge(*held, got); err != nil {
			return *held, err
		}
	}
	return b.ConvertNearest(r, written)
}

// ConvertNearest converts a record to a schema, or to the lowest one above it that the record can reach, where a step down does not exist. A schema
// that this release does not read is an error.
func (b *Registry) ConvertNearest(r Record, schema uint16) (Record, error) {
	if err := b.known(r.Kind, schema); err != nil {
		return r, err
	}
	for b.known(r.Kind, r.Schema) == nil && errors.Is(b.CheckPath(r.Kind, r.Schema, schema), ErrOneWay) {
		schema++
	}
	return b.Convert(r, schema)
}

// ConvertForPeer returns the record for a receiver that reads at most maxSchema. It converts to schema `at` where there is a path to it, and
// returns an error if the record cannot be sent at all. Levels.Link returns both numbers.
func (b *Registry) ConvertForPeer(r Record, at, maxSchema uint16) (Record, error) {
	out, err := b.ConvertNearest(r, at)
	if err == nil && out.Schema > maxSchema {
		err = b.CheckPath(r.Kind, r.Schema, maxSchema)
	}
	if err != nil {
		return r, fmt.Errorf("schema: %s %q: not sent: %w", r.Kind, r.Key, err)
	}
	return out, nil
}
