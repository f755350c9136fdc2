package wire

// This file turns words on schemas into messages and back.

import (
	"math"

	"google.golang.org/protobuf/proto"

	"glencart/schema"
)

// Bounds of words on schemas.
const (
	SaidMost   = 2048 // in one Packet: a third of partsMost
	standsMost = 16   // kinds in a word: later releases may have more than this one
)

// FromSaid words what a process says.
func FromSaid(s schema.MemberState) *Said {
	out := &Said{Name: s.Name, Start: s.Start, Seq: s.Seq}
	for _, x := range s.Stands {
		out.Stands = append(out.Stands, &Stand{Kind: uint32(x.Kind), Lo: uint32(x.Lo), Hi: uint32(x.Hi), Held: uint32(x.UpperLimit), Holds: uint32(x.HighestStored),
			AgreedTurn: x.Agreed.Turn, Agreed: uint32(x.Agreed.Schema), WrittenTurn: x.Written.Turn, Written: uint32(x.Written.Schema)})
	}
	return out
}

// ToSaid reads it; false: it is none that package schema may be told.
func (s *Said) ToSaid() (schema.MemberState, bool) {
	out := schema.MemberState{ID: schema.ID{Name: s.GetName(), Start: s.GetStart()}, Seq: s.GetSeq()}
	if out.Name == "" || len(out.Name) > NameMost || len(s.Stands) > standsMost {
		return out, false
	}
	last := uint32(0)
	for _, x := range s.Stands {
		if x.Kind <= last || x.Kind > math.MaxUint8 || x.Lo > x.Hi || max(x.Hi, x.Held, x.Holds, x.Agreed, x.Written) > math.MaxUint16 {
			return out, false
		}
		last = x.Kind
		out.Stands = append(out.Stands, schema.KindState{Kind: schema.Kind(x.Kind), Lo: uint16(x.Lo), Hi: uint16(x.Hi), UpperLimit: uint16(x.Held), HighestStored: uint16(x.Holds),
			Agreed: schema.Level{Turn: x.AgreedTurn, Schema: uint16(x.Agreed)}, Written: schema.Level{Turn: x.WrittenTurn, Schema: uint16(x.Written)}})
	}
	return out, true
}

// ToLevels reads the words of a Packet; false: one of them can't be believed, or there are too many.
func (p *Packet) ToLevels() ([]schema.MemberState, bool) {
	list := p.GetLevels().GetList()
	if len(list) > SaidMost {
		return nil, false
	}
	var out []schema.MemberState
	for _, s := range list {
		said, ok := s.ToSaid()
		if !ok {
			return nil, false
		}
		out = append(out, said)
	}
	return out, true
}

// SizeSaid is what a word takes in a Packet, in bytes, its frame included.
func SizeSaid(s *Said) int { return proto.Size(s) + 4 }
