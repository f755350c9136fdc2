package schema

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

// drawRecord draws a record with fields of every join that no form defines, so a release keeps them as an old release keeps newer fields.
func drawRecord(t *rapid.T, nums []uint32, what string) Record {
	r := Record{Kind: Use, Schema: 1, Key: "k"}
	for range rapid.IntRange(0, 8).Draw(t, what) {
		f := Field{Num: rapid.SampledFrom(nums).Draw(t, "num"), Sub: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "sub"),
			Int: rapid.Uint64Range(0, 3).Draw(t, "int")}
		if rapid.Bool().Draw(t, "text?") {
			f.Text = []byte{rapid.ByteRange('x', 'z').Draw(t, "text")}
		}
		if rapid.IntRange(0, 4).Draw(t, "rest?") == 0 {
			f.Rest = protowire.AppendVarint(protowire.AppendTag(nil, 9, protowire.VarintType), rapid.Uint64Range(0, 2).Draw(t, "rest"))
		}
		r.Set(f)
	}
	if rapid.IntRange(0, 4).Draw(t, "rest?") == 0 {
		r.Rest = protowire.AppendVarint(protowire.AppendTag(nil, 9, protowire.VarintType), rapid.Uint64Range(0, 2).Draw(t, "rest"))
	}
	return r
}

var numsOfEveryJoin = []uint32{1, 2, 999, 1000, 1001, 2000, 2001, 3000, 3001, 4000, 4001, 4099, 4100, 4102, 7999, 8000, 1 << 31}

// TestMerge checks that merges are independent of order and repetition for fields of every join, and that decoding returns what was
// encoded. Otherwise reordered or repeated messages would leave instances with different records.
func TestMerge(t *testing.T) {
	b := &Registry{}
	if err := b.Register(Form{Kind: Use, Number: 1}); err != nil {
		t.Fatal(err)
	}
	merge := func(t *rapid.T, x, y Record) Record {
		r, err := b.Merge(x, y)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	one := func(num uint32, v uint64) Record {
		return Record{Kind: Use, Schema: 1, Key: "k", Fields: []Field{{Num: num, Int: v}}}
	}
	for num, want := range map[uint32]uint64{1: 6, 1000: 6, 2000: 5, 3000: 7, 4000: 6, 8000: 6} {
		if r, err := b.Merge(one(num, 5), one(num, 6)); err != nil || r.Int(num, "") != want {
			t.Errorf("Num %d: merge of 5 and 6 by %s: got %v, want %d; error %v", num, JoinOf(num), r, want, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		x, y, z := drawRecord(t, numsOfEveryJoin, "x"), drawRecord(t, numsOfEveryJoin, "y"), drawRecord(t, numsOfEveryJoin, "z")
		if err := b.checkMerge(x, y); err != nil {
			t.Fatal(err)
		}
		if l, r := merge(t, merge(t, x, y), z), merge(t, x, merge(t, y, z)); !Equal(l, r) {
			t.Fatalf("not associative:\n%v\n%v", l, r)
		}
		wire := AppendRecord([]byte("head"), x)
		got, err := ParseRecord(wire[4:])
		if err != nil || !Equal(got, x) || x.Size() != len(wire)-4 {
			t.Fatalf("error %v, record %v: encoded to %d bytes, Size %d, decoded as %v", err, x, len(wire)-4, x.Size(), got)
		}
		// A register is taken from one side as a whole, ordered by its lowest Nums first.
		xy := merge(t, x, y)
		for _, sub := range []string{"", "a", "b"} {
			part := func(r Record) []Field {
				return slices.DeleteFunc(slices.Clone(r.Fields), func(f Field) bool { return registerBase(f.Num) != 4000 || f.Sub != sub })
			}
			same := func(f, g Field) bool { return compareAt(f, g) == 0 && compareValue(&f, &g) == 0 }
			px, py, pxy := part(x), part(y), part(xy)
			if !slices.EqualFunc(pxy, px, same) && !slices.EqualFunc(pxy, py, same) {
				t.Fatalf("register %q merged from\n%v and\n%v is\n%v", sub, px, py, pxy)
			}
			if x, y := x.Int(4000, sub), y.Int(4000, sub); xy.Int(4000, sub) != max(x, y) {
				t.Fatalf("register %q: versions %d and %d, merged %d", sub, x, y, xy.Int(4000, sub))
			}
		}
	})
}

// TestInvalidRecordIsRejected checks that invalid bytes are rejected with an error that names the place and the remedy. Without the
// limits a sender could make others hold more.
func TestInvalidRecordIsRejected(t *testing.T) {
	good := Record{Kind: Use, Schema: 1, Key: "k", Fields: []Field{{Num: 1, Int: 300}, {Num: 2}}}
	for name, c := range map[string]struct {
		wire []byte
		want string
	}{
		"cut":          {AppendRecord(nil, good)[:10], "byte 7: part 4: unexpected EOF: truncated"},
		"cut within":   {append(AppendRecord(nil, Record{Kind: 1, Schema: 1, Key: "k"}), 0x22, 2, 0x18, 0x80), "byte 9: part 3: unexpected EOF"},
		"empty":        {nil, "each is required"},
		"double":       {AppendRecord(nil, Record{Kind: 1, Schema: 1, Key: "k", Fields: []Field{{Num: 1}, {Num: 1}}}), "out of order or duplicate"},
		"no Num":       {AppendRecord(nil, Record{Kind: 1, Schema: 1, Key: "k", Fields: []Field{{Int: 1}}}), "no Num"},
		"type":         {[]byte{0x09, 0, 0, 0, 0, 0, 0, 0, 0}, "byte 0: part 1 has protobuf type 1"},
		"key":          {AppendRecord(nil, Record{Kind: 1, Schema: 1, Key: strings.Repeat("k", MaxKey+1)}), "512 at most"},
		"sub":          {AppendRecord(nil, Record{Kind: 1, Schema: 1, Key: "k", Fields: []Field{{Num: 1, Sub: strings.Repeat("s", MaxSub+1)}}}), "256, 65536 and"},
		"text":         {AppendRecord(nil, Record{Kind: 1, Schema: 1, Key: "k", Fields: []Field{{Num: 1, Text: make([]byte, MaxText+1)}}}), "65536"},
		"large":        {make([]byte, MaxRecord+1), "524288 at most"},
		"fields":       {AppendRecord(nil, Record{Kind: 1, Schema: 1, Key: "k", Fields: make([]Field, MaxFields+1)}), "more than 16384 fields"},
		"schema":       {[]byte{0x10, 0x80, 0x80, 0x04}, "65535 at most"},
		"field's type": {[]byte{0x22, 5, 0x15, 0, 0, 0, 0}, "byte 2: field's part 2 has protobuf type 5"},
	} {
		if _, err := ParseRecord(c.wire); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one with %q", name, err, c.want)
		}
	}
	b := &Registry{}
	b.Register(Form{Kind: Use, Number: 1})
	var large, other Record = good, good
	large.Fields, other.Fields = nil, nil
	for i := range MaxFields {
		large.Fields = append(large.Fields, Field{Num: 1000, Sub: string([]byte{byte(i >> 8), byte(i)})})
		other.Fields = append(other.Fields, Field{Num: 1001, Sub: string([]byte{byte(i >> 8), byte(i)})})
	}
	if kept, err := b.Merge(large, other); !errors.Is(err, ErrTooLarge) || !Equal(kept, large) {
		t.Errorf("merge over the limit of fields: got error %v, want ErrTooLarge and the first record", err)
	}
}

// FuzzParseRecord checks that every accepted record survives encoding and decoding, and is unchanged when it is merged with itself.
func FuzzParseRecord(f *testing.F) {
	f.Add(AppendRecord(nil, Record{Kind: Session, Schema: 3, Key: "k", Rest: []byte{0x48, 1},
		Fields: []Field{{Num: 1, Sub: "s", Int: 1 << 40, Text: []byte("t"), Rest: []byte{0x48, 1}}, {Num: 4000}}}))
	f.Add([]byte{0x08, 1, 0x10, 1, 0x1a, 1, 'k', 0x22, 2, 8, 1, 0x33, 0x34})
	b := &Registry{}
	b.Register(Form{Kind: Use, Number: 1})
	b.Register(Form{Kind: Session, Number: 1})
	f.Fuzz(func(t *testing.T, wire []byte) {
		r, err := ParseRecord(wire)
		if err != nil {
			return
		}
		out := AppendRecord(nil, r)
		again, err := ParseRecord(out)
		if err != nil || !Equal(r, again) || r.Size() != len(out) {
			t.Fatalf("error %v: %v decoded again as %v", err, r, again)
		}
		if m, err := b.Merge(r, again); err == nil && !Equal(m, r) {
			t.Fatalf("%v merged with itself is %v", r, m)
		}
	})
}
