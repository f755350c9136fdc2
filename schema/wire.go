// This file encodes records in the protobuf wire format:
//
//	message Record { uint32 kind = 1; uint32 schema = 2; bytes key = 3; repeated Field fields = 4; }
//	message Field  { uint32 num = 1; bytes sub = 2; uint64 int = 3; bytes text = 4; }
//
// Zero values are not written. Parts with other numbers are kept in Rest unchanged, and are written again after the known ones.

package schema

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// Check returns an error if a record cannot be encoded: its fields are out of order or duplicated, or it exceeds a limit.
func (r Record) Check() error {
	if r.Kind == 0 || r.Schema == 0 || r.Key == "" {
		return fmt.Errorf("record: kind %d, schema %d, key %q: each is required", r.Kind, r.Schema, r.Key)
	}
	if len(r.Key) > MaxKey {
		return fmt.Errorf("record: key: %d bytes, %d at most: %w: shorten or hash the key", len(r.Key), MaxKey, ErrTooLarge)
	}
	if len(r.Fields) > MaxFields {
		return fmt.Errorf("record %q: %d fields, %d at most: %w: split the record", r.Key, len(r.Fields), MaxFields, ErrTooLarge)
	}
	size := r.frameSize()
	for i := range r.Fields {
		f := &r.Fields[i]
		if f.Num == 0 {
			return fmt.Errorf("record %q: field %d: no Num", r.Key, i)
		}
		if i > 0 && compareAt(r.Fields[i-1], *f) >= 0 {
			return fmt.Errorf("record %q: field %d (%d %q): out of order or duplicate: sort by Num and Sub, each pair once", r.Key, i, f.Num, f.Sub)
		}
		if len(f.Sub) > MaxSub || len(f.Text) > MaxText || len(f.Rest) > MaxText {
			return fmt.Errorf("record %q: field %d (%d): Sub, Text and Rest of %d, %d and %d bytes, %d, %d and %d at most: %w",
				r.Key, i, f.Num, len(f.Sub), len(f.Text), len(f.Rest), MaxSub, MaxText, MaxText, ErrTooLarge)
		}
		size += 1 + protowire.SizeBytes(f.size())
	}
	if size > MaxRecord {
		return fmt.Errorf("record %q: %d bytes, %d at most: %w: split the record", r.Key, size, MaxRecord, ErrTooLarge)
	}
	return nil
}

// frameSize returns the encoded size of everything except the fields.
func (r *Record) frameSize() int {
	return 1 + protowire.SizeVarint(uint64(r.Kind)) + 1 + protowire.SizeVarint(uint64(r.Schema)) + 1 + protowire.SizeBytes(len(r.Key)) + len(r.Rest)
}

func (f *Field) size() int {
	n := 1 + protowire.SizeVarint(uint64(f.Num)) + len(f.Rest)
	if f.Sub != "" {
		n += 1 + protowire.SizeBytes(len(f.Sub))
	}
	if f.Int != 0 {
		n += 1 + protowire.SizeVarint(f.Int)
	}
	if len(f.Text) > 0 {
		n += 1 + protowire.SizeBytes(len(f.Text))
	}
	return n
}

// Size returns the number of bytes that AppendRecord writes.
func (r Record) Size() int {
	n := r.frameSize()
	for i := range r.Fields {
		n += 1 + protowire.SizeBytes(r.Fields[i].size())
	}
	return n
}

// AppendRecord appends the encoding of a record. Check must return nil for the record.
func AppendRecord(dst []byte, r Record) []byte {
	dst = protowire.AppendVarint(protowire.AppendTag(dst, 1, protowire.VarintType), uint64(r.Kind))
	dst = protowire.AppendVarint(protowire.AppendTag(dst, 2, protowire.VarintType), uint64(r.Schema))
	dst = protowire.AppendString(protowire.AppendTag(dst, 3, protowire.BytesType), r.Key)
	for i := range r.Fields {
		f := &r.Fields[i]
		dst = protowire.AppendVarint(protowire.AppendTag(dst, 4, protowire.BytesType), uint64(f.size()))
		dst = protowire.AppendVarint(protowire.AppendTag(dst, 1, protowire.VarintType), uint64(f.Num))
		if f.Sub != "" {
			dst = protowire.AppendString(protowire.AppendTag(dst, 2, protowire.BytesType), f.Sub)
		}
		if f.Int != 0 {
			dst = protowire.AppendVarint(protowire.AppendTag(dst, 3, protowire.VarintType), f.Int)
		}
		if len(f.Text) > 0 {
			dst = protowire.AppendBytes(protowire.AppendTag(dst, 4, protowire.BytesType), f.Text)
		}
		dst = append(dst, f.Rest...)
	}
	return append(dst, r.Rest...)
}

// ParseRecord decodes one record that fills all of b. Texts and Rests are copies. An error names the byte offset and the remedy.
func ParseRecord(b []byte) (Record, error) {
	if len(b) > MaxRecord {
		return Record{}, fmt.Errorf("record: %d bytes, %d at most: %w", len(b), MaxRecord, ErrTooLarge)
	}
	var r Record
	err := eachPart(b, 0, func(at int, p part) error {
		switch {
		case p.num == 1 && p.typ == protowire.VarintType:
			if p.int > math.MaxUint8 {
				return fmt.Errorf("record: byte %d: kind %d: 255 at most", at, p.int)
			}
			r.Kind = Kind(p.int)
		case p.num == 2 && p.typ == protowire.VarintType:
			if p.int > math.MaxUint16 {
				return fmt.Errorf("record: byte %d: schema %d: 65535 at most", at, p.int)
			}
			r.Schema = uint16(p.int)
		case p.num == 3 && p.typ == protowire.BytesType:
			r.Key = string(p.bytes)
		case p.num == 4 && p.typ == protowire.BytesType:
			if len(r.Fields) >= MaxFields {
				return fmt.Errorf("record: byte %d: more than %d fields: %w", at, MaxFields, ErrTooLarge)
			}
			f, err := parseField(p.bytes, at+len(p.raw)-len(p.bytes))
			if err != nil {
				return err
			}
			r.Fields = append(r.Fields, f)
		case p.num <= 4:
			return fmt.Errorf("record: byte %d: part %d has protobuf type %d, which is not valid: drop the record, its sender is faulty", at, p.num, p.typ)
		default:
			r.Rest = append(r.Rest, p.raw...)
		}
		return nil
	})
	if err != nil {
		return Record{}, err
	}
	if err := r.Check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func parseField(b []byte, from int) (Field, error) {
	var f Field
	err := eachPart(b, from, func(at int, p part) error {
		switch {
		case p.num == 1 && p.typ == protowire.VarintType:
			if p.int > math.MaxUint32 {
				return fmt.Errorf("record: byte %d: Num %d: %d at most", at, p.int, uint32(math.MaxUint32))
			}
			f.Num = uint32(p.int)
		case p.num == 2 && p.typ == protowire.BytesType:
			f.Sub = string(p.bytes)
		case p.num == 3 && p.typ == protowire.VarintType:
			f.Int = p.int
		case p.num == 4 && p.typ == protowire.BytesType:
			f.Text = nil
			if len(p.bytes) > 0 {
				f.Text = append([]byte(nil), p.bytes...)
			}
		case p.num <= 4:
			return fmt.Errorf("record: byte %d: field's part %d has protobuf type %d, which is not valid: drop the record, its sender is faulty", at, p.num, p.typ)
		default:
			f.Rest = append(f.Rest, p.raw...)
		}
		return nil
	})
	return f, err
}

// part is one numbered part of a protobuf message.
type part struct {
	num   protowire.Number
	typ   protowire.Type
	int   uint64 // value of a varint
	bytes []byte // value of a length-delimited part
	raw   []byte // the whole part, including its tag
}

// eachPart calls do for each part of a message. The message begins at byte from of the record.
func eachPart(b []byte, from int, do func(at int, p part) error) error {
	for at := 0; at < len(b); {
		num, typ, n := protowire.ConsumeTag(b[at:])
		if n < 0 {
			return fmt.Errorf("record: byte %d: %w: truncated or not a record: drop it", from+at, protowire.ParseError(n))
		}
		p := part{num: num, typ: typ}
		m := 0
		switch typ {
		case protowire.VarintType:
			p.int, m = protowire.ConsumeVarint(b[at+n:])
		case protowire.BytesType:
			p.bytes, m = protowire.ConsumeBytes(b[at+n:])
		default:
			m = protowire.ConsumeFieldValue(num, typ, b[at+n:])
		}
		if m < 0 {
			return fmt.Errorf("record: byte %d: part %d: %w: truncated or not a record: drop it", from+at, num, protowire.ParseError(m))
		}
		p.raw = b[at : at+n+m]
		if err := do(from+at, p); err != nil {
			return err
		}
		at += n + m
	}
	return nil
}
