// Package schema versions the records that instances exchange and store. Each kind of record has numbered forms (schemas). A pure step up
// and a pure step down lead between neighbouring forms, and each step declares what it loses. The package converts records between forms,
// merges them, decides which form is written during a rolling upgrade or a rollback, and migrates a shard in steps of bounded size.
// It does no I/O, reads no clock, starts no goroutine and writes no log.
package schema

import (
	"bytes"
	"cmp"
	"slices"
	"strconv"
)

// Kind is the kind of a record. Its numbers are on the wire and in snapshots, so a number is never reused.
type Kind uint8

// Kinds of records.
const (
	Use     Kind = 1 // the usage of a tenant
	Session Kind = 2 // the state of a client's session
)

// Kinds lists all kinds, in order.
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

// Limits of a record. A record over them is rejected when it is parsed, merged or converted, so that no sender can make other instances
// hold more.
const (
	MaxKey    = 512       // bytes of a key
	MaxSub    = 256       // bytes of a field's Sub
	MaxText   = 64 << 10  // bytes of a field's Text, and of its Rest
	MaxFields = 1 << 14   // fields of a record
	MaxRecord = 512 << 10 // bytes of an encoded record
)

// Field is one value of a record. Num identifies the field. Sub separates several values of one Num, such as those of an instance with
// its start time, a class or a window. Rest holds the bytes that a later release has written into the field and that this release can't
// decode. They are kept unchanged.
type Field struct {
	Num  uint32
	Sub  string
	Int  uint64
	Text []byte // immutable once it is in a record, because copies share it
	Rest []byte
}

// Record is a value of one kind under one key, in the form with the number Schema. Fields are sorted by (Num, Sub), and each pair occurs
// once. Fields whose Num the form does not define are kept and merged like all others.
type Record struct {
	Kind   Kind
	Schema uint16
	Key    string
	Fields []Field
	Rest   []byte // unknown parts beside the fields, written by a later release, unchanged
}

// Join is the rule that merges two values of a field. Each is associative, commutative and idempotent, so messages may be reordered, lost
// or repeated without affecting the result of a merge.
type Join uint8

// Joins. The number of a field determines its join (see JoinOf), so a release that does not define a field merges it like one that does.
const (
	Keep     Join = iota // for values without an order: the larger of (Int, Text, Rest), so that all instances keep the same one
	Max                  // the larger of (Int, Text, Rest), for counters and for deadlines that are extended
	Min                  // the smaller of (Int, Text, Rest)
	Or                   // the bitwise OR of both Ints, and the larger Text
	Register             // part of a register, which is taken from one side as a whole
)

func (j Join) String() string {
	if int(j) < len(joinNames) {
		return joinNames[j]
	}
	return "join " + strconv.Itoa(int(j))
}

var joinNames = [...]string{"keep", "max", "min", "or", "register"}

// Numbers of fields. The range of a Num determines its join, and this never changes: 1 to 999 Keep, 1000 to 1999 Max, 2000 to 2999 Min,
// 3000 to 3999 Or, 4000 to 7999 Register, from 8000 on Keep.
//
// A register is a block of a hundred Nums (4000 to 4099, 4100 to 4199, ...) under one Sub. The fields of two registers are compared as
// lists, by rising Num, each by (Int, Text, Rest). A present field is larger than an absent one. The larger list wins as a whole. So the
// lowest Nums of a register are its version: for the order "by call, then by state" the call is 4000 and the state 4001.
const (
	KeepNum      = 1
	MaxNum       = 1000
	MinNum       = 2000
	OrNum        = 3000
	RegisterNum  = 4000
	RegisterSize = 100
	afterNum     = 8000 // reserved: a later release may define a join for these numbers and write them only where all instances support it
)

// JoinOf returns the join of a field's number.
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

// FieldDef describes a field that a form defines.
type FieldDef struct {
	Num  uint32
	Name string // descriptive, for errors and documentation
	Join Join   // equal to JoinOf(Num), repeated so that a reader of the form sees it
}

// Loss declares what a step does not preserve. The zero value means that nothing is lost.
type Loss struct {
	Never   bool     // the step does not exist; the step's What gives the reason
	Of      []uint32 // Nums that may differ after this step and the opposite one
	Default string   // describes the values that replace the lost ones
}

// NoLoss is the Loss of a step that preserves everything.
var NoLoss = Loss{}

// NoSuchStep is the Loss of a step that does not exist.
var NoSuchStep = Loss{Never: true}

// LossWithDefault returns the Loss of a step after which these Nums have the described default.
func LossWithDefault(byDefault string, nums ...uint32) Loss {
	return Loss{Of: nums, Default: byDefault}
}

// Step converts a record of one form into a neighbouring form. Do is pure. It gets a record that owns its Fields. It may change them in
// place and return them in any order, but the Texts are shared and must not be changed. The Registry sorts the fields and sets the Schema.
// Do keeps every Num that it does not handle. A nil Do changes no field. That is enough for a step that only adds a field, because the
// earlier form keeps the field without defining it.
//
// The form rules (see Registry.CheckFormRules) have two consequences. A default has to be the smallest value of its join. A total that is split on the way up,
// or summed on the way down, is counted twice when the converted record is merged with the original. So a total keeps one Num in all
// forms, and its parts are stored beside it.
type Step struct {
	Do   func(Record) (Record, error)
	Loss Loss
	What string // describes the conversion, or why it does not exist
}

// Form is one schema of a kind. The forms of a kind are numbered without a gap. Up converts from the previous form to this one, Down from
// this form to the previous one. The first form that a release supports has neither.
type Form struct {
	Kind     Kind
	Number   uint16
	Name     string
	Fields   []FieldDef
	Up, Down Step
	// Totals returns the totals of a record that a change of form must preserve, by name. A name means the same in all forms that return
	// it, and a form returns 0 for an absent value. No migration lowers a total, and a migration without loss does not raise one. If nil, the
	// totals are the sums of the Ints of each Max field, by the field's Name.
	Totals func(Record) map[string]uint64
}

func compareAt(a, b Field) int {
	if c := cmp.Compare(a.Num, b.Num); c != 0 {
		return c
	}
	return cmp.Compare(a.Sub, b.Sub)
}

// compareValue orders two fields by their contents.
func compareValue(a, b *Field) int {
	if c := cmp.Compare(a.Int, b.Int); c != 0 {
		return c
	}
	if c := bytes.Compare(a.Text, b.Text); c != 0 {
		return c
	}
	return bytes.Compare(a.Rest, b.Rest)
}

// Get returns the field with this Num and Sub.
func (r Record) Get(num uint32, sub string) (Field, bool) {
	at, found := slices.BinarySearchFunc(r.Fields, Field{Num: num, Sub: sub}, compareAt)
	if !found {
		return Field{}, false
	}
	return r.Fields[at], true
}

// Int returns the Int of a field, or 0 if the field is absent.
func (r Record) Int(num uint32, sub string) uint64 {
	f, _ := r.Get(num, sub)
	return f.Int
}

// All returns the fields of one Num, sorted by Sub. The slice is part of the record.
func (r Record) All(num uint32) []Field {
	from, _ := slices.BinarySearchFunc(r.Fields, Field{Num: num}, compareAt)
	to := from
	for to < len(r.Fields) && r.Fields[to].Num == num {
		to++
	}
	return r.Fields[from:to]
}

// Set inserts a field, or replaces the one with the same Num and Sub.
func (r *Record) Set(f Field) {
	at, found := slices.BinarySearchFunc(r.Fields, f, compareAt)
	if found {
		r.Fields[at] = f
		return
	}
	r.Fields = slices.Insert(r.Fields, at, f)
}

// RemoveFields removes all fields of these Nums.
func (r *Record) RemoveFields(nums ...uint32) {
	r.Fields = slices.DeleteFunc(r.Fields, func(f Field) bool { return slices.Contains(nums, f.Num) })
}

// Clone returns a copy of the record that owns its Fields. Texts and Rests are shared.
func (r Record) Clone() Record {
	r.Fields = slices.Clone(r.Fields)
	return r
}
