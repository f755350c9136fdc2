// The forms that a release knows, and the ways between them.
package schema

import (
	"errors"
	"fmt"
	"slices"
)

// Errors of a Book, for errors.Is.
var (
	ErrNoForm   = errors.New("no such form")    // this release does not know the kind or the schema
	ErrOneWay   = errors.New("no step down")    // the form before cannot hold such a record
	ErrTooLarge = errors.New("over its bounds") // see MaxRecord and its neighbours
)

// Book has the forms of one release. Once they are registered it is only read: any number of goroutines may use it.
type Book struct {
	forms map[Kind][]Form // without a gap, by Number
}

// Register takes up a form: the first of its kind, or the one after the last. An error is a mistake in the program.
func (b *Book) Register(f Form) error {
	where := fmt.Sprintf("schema: %s form %d (%s)", f.Kind, f.Number, f.Name)
	have := b.forms[f.Kind]
	if f.Number == 0 {
		return fmt.Errorf("%s: numbers begin with 1", where)
	}
	if n := len(have); n > 0 && f.Number != have[n-1].Number+1 {
		return fmt.Errorf("%s: comes after %d: register forms in order, without a gap", where, have[n-1].Number)
	}
	if f.Up.Loss.Never {
		return fmt.Errorf("%s: has no step up: nobody could ever be upgraded to it", where)
	}
	for i, d := range f.Fields {
		if d.Num == 0 {
			return fmt.Errorf("%s: field %q: Nums begin with 1", where, d.Name)
		}
		if d.Join != JoinOf(d.Num) {
			return fmt.Errorf("%s: field %q: Num %d is joined by %s, not by %s: take a Num of its thousand", where, d.Name, d.Num, JoinOf(d.Num), d.Join)
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

// Reads tells the lowest and the highest schema of a kind that this release reads; 0, 0: none.
func (b *Book) Reads(k Kind) (lo, hi uint16) {
	f := b.forms[k]
	if len(f) == 0 {
		return 0, 0
	}
	return f[0].Number, f[len(f)-1].Number
}

// Only is the book of a release that knows no more than lo..hi of a kind, and all that this one knows of others.
func (b *Book) Only(k Kind, lo, hi uint16) *Book {
	out := &Book{forms: map[Kind][]Form{}}
	for kind, forms := range b.forms {
		out.forms[kind] = slices.Clip(forms)
	}
	out.forms[k] = slices.DeleteFunc(slices.Clone(b.forms[k]), func(f Form) bool { return f.Number < lo || f.Number > hi })
	return out
}

// Form finds a form.
func (b *Book) Form(k Kind, schema uint16) (Form, bool) {
	f := b.form(k, schema)
	if f == nil {
		return Form{}, false
	}
	return *f, true
}

func (b *Book) form(k Kind, schema uint16) *Form {
	forms := b.forms[k]
	if len(forms) == 0 || schema < forms[0].Number || schema > forms[len(forms)-1].Number {
		return nil
	}
	return &forms[schema-forms[0].Number]
}

// known is nil when this release reads the schema.
func (b *Book) known(k Kind, schema uint16) error {
	if b.form(k, schema) != nil {
		return nil
	}
	lo, hi := b.Reads(k)
	return fmt.Errorf("%w: %s at schema %d: this release reads %d to %d: upgrade it, or take the written schema back first",
		ErrNoForm, k, schema, lo, hi)
}

// Way is nil when there is a way from one schema of a kind to another; else the error says which step is not there and why.
func (b *Book) Way(k Kind, from, to uint16) error {
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

// To moves a record to another schema, step by step. The record that goes in is not changed. An error says which step is not there
// (ErrOneWay), or that this release does not know one of the two schemas (ErrNoForm).
func (b *Book) To(r Record, schema uint16) (Record, error) {
	if r.Schema == schema && b.form(r.Kind, schema) != nil {
		return r, nil
	}
	if err := b.Way(r.Kind, r.Schema, schema); err != nil {
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

// step takes one step; the record's Fields are its own.
func (b *Book) step(r Record, s Step, to uint16) (Record, error) {
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

// Keep is what is kept when a record comes in: merged with the one that is held (nil: none is), at the schema that is written, or,
// where a step down is not there, at the lowest that there is a way to.
func (b *Book) Keep(held *Record, got Record, written uint16) (Record, error) {
	r := got
	if held != nil {
		var err error
		if r, err = b.Merge(*held, got); err != nil {
			return *held, err
		}
	}
	return b.Near(r, written)
}

// Near moves a record to a schema, or, where a step down is not there, to the lowest that there is a way to. A schema that this
// release does not read is an error.
func (b *Book) Near(r Record, schema uint16) (Record, error) {
	if err := b.known(r.Kind, schema); err != nil {
		return r, err
	}
	for b.known(r.Kind, r.Schema) == nil && errors.Is(b.Way(r.Kind, r.Schema, schema), ErrOneWay) {
		schema++
	}
	return b.To(r, schema)
}

// Within is the record as it goes to one that reads no more than most, at schema `at` where there is a way to it; an error when
// it cannot go at all. Levels.Link tells both.
func (b *Book) Within(r Record, at, most uint16) (Record, error) {
	out, err := b.Near(r, at)
	if err == nil && out.Schema > most {
		err = b.Way(r.Kind, r.Schema, most)
	}
	if err != nil {
		return r, fmt.Errorf("schema: %s %q: not sent: %w", r.Kind, r.Key, err)
	}
	return out, nil
}
