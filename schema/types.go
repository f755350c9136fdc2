// Package schema is about state that outlives its form. What instances tell each other and keep are records; each kind of record
// has numbered forms (schemas), with a pure step up and a pure step down between neighbours, whose loss is declared. The package
// moves records between forms, merges them, says which form is written while a fleet is upgraded or rolled back, and migrates a
// shard in steps of bounded size. It is pure: no I/O, no clock, no goroutine, no log.
//
// This file has the types of records and forms.
package schema

import (
	"bytes"
	"cmp"
	"slices"
	"strconv"
)

// Kind is what a record is about. Its numbers are on the wire and in snapshots: none is ever given to something else.
type Kind uint8

// Kinds of records.
const (
	Use     Kind = 1 // what a tenant has used
	Session Kind = 2 // what is known of a client's session
)

// Kinds are all of them, in order.
var Kinds = [...]Kind{Use, Session}

func (k Kind) String() string {
	switch k {
	case Use:
		return "use"
	case Session:
		return "session"
	}
	return "kind " + strconv.Itoa(int(k))
}

// Bounds of a record. What is over them is refused when it is parsed, merged and moved, so nobody can make others hold more.
const (
	MaxKey    = 512       // bytes of a key
	MaxSub    = 256       // bytes of a field's Sub
	MaxText   = 64 << 10  // bytes of a field's Text, and of what is kept unread of it
	MaxFields = 1 << 14   // fields of a record
	MaxRecord = 512 << 10 // bytes of a record as it is written
)

// Field is one value of a record: Num says which, Sub which of several (an instance and its start, a class, a window). Rest is
// what a later release has written into this field that this one does not know: it is kept as it came.
type Field struct {
	Num  uint32
	Sub  string
	Int  uint64
	Text []byte // not changed once it is in a record: copies share it
	Rest []byte
}

// Record is a value of one kind under one key, in the form with the number Schema. Fields are sorted by (Num, Sub), one of each.
// Fields whose Num the form does not know are kept and merged like all others.
type Record struct {
	Kind   Kind
	Schema uint16
	Key    string
	Fields []Field
	Rest   []byte // what a later release has written beside the fields, as it came
}

// Join is how two values of a field become one. Each is associative, commutative and idempotent, so no order, loss or repeat of
// messages spoils a merge.
type Join uint8

// Joins. A field's number says its join (see JoinOf): so a release that does not know a field joins it as one that does.
const (
	Keep     Join = iota // no order of its own: the larger of (Int, Text, Rest), so that all keep the same
	Max                  // the larger of (Int, Text, Rest): counters, ends that are put off
	Min                  // the lesser of (Int, Text, Rest)
	Or                   // the bits of both Ints, the larger Text
	Register             // part of a register, which is taken from one side as a whole
)

func (j Join) String() string {
	if int(j) < len(joinNames) {
		return joinNames[j]
	}
	return "join " + strconv.Itoa(int(j))
}

var joinNames = [...]string{"keep", "max", "min", "or", "register"}

// Numbers of fields. The thousands of a Num say its join for ever: 1..999 Keep, 1000..1999 Max, 2000..2999 Min, 3000..3999 Or,
// 4000..7999 Register; from 8000 on Keep. A register is a hundred of Nums (4000..4099, 4100..4199, ...) under one Sub: its fields
// are compared as a list, by rising Num, each by (Int, Text, Rest), a field that is there before one that is not; the larger
// list holds as a whole. So the lowest Nums of a register are its stamp: "ordered by call, then by state" is call 4000, state 4001.
const (
	KeepNum      = 1
	MaxNum       = 1000
	MinNum       = 2000
	OrNum        = 3000
	RegisterNum  = 4000
	RegisterSize = 100
	afterNum     = 8000 // not given out yet: a later release may say its own join, and writes them only where all know it
)

// JoinOf tells the join of a field's number.
func JoinOf(num uint32) Join {
	switch {
	case num < MaxNum || num >= afterNum:
		return Keep
	case num < MinNum:
		return Max
	case num < OrNum:
		return Min
	case num < RegisterNum:
		return Or
	}
	return Register
}

// FieldDef is a field that a form knows.
type FieldDef struct {
	Num  uint32
	Name string // in words, for errors and pages
	Join Join   // the one that JoinOf tells: said once more so that a reader of the form sees it
}

// Loss is what a step does not keep. The zero value: nothing.
type Loss struct {
	Never   bool     // there is no such step; What of the step says why
	Of      []uint32 // Nums that may come back otherwise from this step and the one against it
	Default string   // in words: what stands in their place
}

// None is a step that keeps all.
var None = Loss{}

// Impossible is a step that there is not.
var Impossible = Loss{Never: true}

// Named is a step after which these Nums have a default, which is named in words.
func Named(byDefault string, nums ...uint32) Loss { return Loss{Of: nums, Default: byDefault} }

// Step turns a record of one form into one of its neighbour's. Do is pure. It gets a record whose Fields are its own (Texts are
// shared and not to be changed), may change them in place and return them in any order; the Book sorts them and sets the Schema.
// It keeps every Num that it does not know. A nil Do changes no field: that is all there is to do for a field that is new, as the
// form before keeps it without knowing it. The law (see Book.Law) forbids more than it seems: a default has to be the least value
// of its join, and a total that is taken apart on the way up, or added up on the way down, is counted twice when it meets itself.
// So a total keeps one Num through all forms, and what it is made of stands beside it.
type Step struct {
	Do   func(Record) (Record, error)
	Loss Loss
	What string // in words: what it does, or why there is none
}

// Form is one schema of a kind. Forms of a kind are numbered without a gap. Up leads here from the form before, Down from here to
// the form before; the first form that a release knows has neither.
type Form struct {
	Kind     Kind
	Number   uint16
	Name     string
	Fields   []FieldDef
	Up, Down Step
	// Tells says what of a record may not change with its form: counts and marks by name, the names alike in all forms that tell
	// them, each told by 0 when there is none. By no migration does one fall; by one without loss none rises. Nil: the sum of each
	// Max field's Ints by its Name.
	Tells func(Record) map[string]uint64
}

func compareAt(a, b Field) int {
	if c := cmp.Compare(a.Num, b.Num); c != 0 {
		return c
	}
	return cmp.Compare(a.Sub, b.Sub)
}

// compareValue orders what two fields hold.
func compareValue(a, b *Field) int {
	if c := cmp.Compare(a.Int, b.Int); c != 0 {
		return c
	}
	if c := bytes.Compare(a.Text, b.Text); c != 0 {
		return c
	}
	return bytes.Compare(a.Rest, b.Rest)
}

// Get finds a field.
func (r Record) Get(num uint32, sub string) (Field, bool) {
	at, found := slices.BinarySearchFunc(r.Fields, Field{Num: num, Sub: sub}, compareAt)
	if !found {
		return Field{}, false
	}
	return r.Fields[at], true
}

// Int is a field's Int, 0 when it is not there.
func (r Record) Int(num uint32, sub string) uint64 {
	f, _ := r.Get(num, sub)
	return f.Int
}

// All are the fields of one Num, by Sub. They are the record's own.
func (r Record) All(num uint32) []Field {
	from, _ := slices.BinarySearchFunc(r.Fields, Field{Num: num}, compareAt)
	to := from
	for to < len(r.Fields) && r.Fields[to].Num == num {
		to++
	}
	return r.Fields[from:to]
}

// Set puts a field in its place, instead of the one that stands there.
func (r *Record) Set(f Field) {
	at, found := slices.BinarySearchFunc(r.Fields, f, compareAt)
	if found {
		r.Fields[at] = f
		return
	}
	r.Fields = slices.Insert(r.Fields, at, f)
}

// Drop takes out all fields of these Nums.
func (r *Record) Drop(nums ...uint32) {
	r.Fields = slices.DeleteFunc(r.Fields, func(f Field) bool { return slices.Contains(nums, f.Num) })
}

// Clone is a record with Fields of its own. Texts and Rests are shared.
func (r Record) Clone() Record {
	r.Fields = slices.Clone(r.Fields)
	return r
}
