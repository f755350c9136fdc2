package wire

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"glencart/detect"
	"glencart/schema"
)

var full = detect.Message{Kind: detect.CantReach, Seq: math.MaxUint32,
	From:    detect.Update{ID: detect.ID{Name: "a", Start: math.MaxUint64}, Inc: 7, State: detect.Away, Addr: "10.0.0.1:7946", Until: 30 * time.Second},
	About:   detect.ID{Name: "b", Start: 1},
	Updates: []detect.Update{{ID: detect.ID{Name: "b", Start: 1}, State: detect.Suspect, Addr: "10.0.0.2:7946", By: "c"}, {ID: detect.ID{Name: "d"}, State: detect.Left, Addr: "[::1]:1"}},
	Links:   []detect.LinkUpdate{{From: "a", To: "b", Seq: 3, Deaf: true}}}

// What goes out comes in as it was, and what is another's is told apart before it is read.
func TestPacket(t *testing.T) {
	b, err := Encode(Number("shop"), FromDetect(full))
	if err != nil {
		t.Fatal(err)
	}
	p, err := Decode(Number("shop"), b)
	if err != nil {
		t.Fatal(err)
	}
	if m, ok := p.ToDetect(); !ok || !reflect.DeepEqual(m, full) {
		t.Errorf("%t, %+v\nwant %+v", ok, m, full)
	}
	later := protowire.AppendVarint(protowire.AppendTag(bytes.Clone(b), 2, protowire.VarintType), Version+1)
	unknown := append(protowire.AppendTag(bytes.Clone(b), 77, protowire.BytesType), 3, 'n', 'e', 'w')
	many := protowire.AppendTag(bytes.Clone(b), 4, protowire.BytesType)
	many = protowire.AppendBytes(many, bytes.Repeat(append(protowire.AppendTag(nil, 4, protowire.BytesType), 0), partsMost+1))
	for _, c := range []struct {
		name    string
		cluster string
		b       []byte
		want    error
	}{
		{"another cluster", "depot", b, ErrForeign}, {"a later version", "shop", later, ErrTooNew}, {"a field that is not known", "shop", unknown, nil},
		{"cut short", "shop", b[:len(b)-3], ErrGarbage}, {"nothing", "shop", nil, ErrGarbage}, {"far more words than a fleet has", "shop", many, ErrGarbage},
	} {
		if _, err := Decode(Number(c.cluster), c.b); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	long := full
	long.From.Name = strings.Repeat("x", NameMost+1)
	if _, ok := FromDetect(long).ToDetect(); ok {
		t.Error("a name that is too long is taken")
	}
}

// A stream's frame that promises more than may come, or than comes, is an error and no memory.
func TestFrames(t *testing.T) {
	var b bytes.Buffer
	if err := WriteFrame(&b, []byte("packet")); err != nil {
		t.Fatal(err)
	}
	whole := b.Bytes()
	if got, err := ReadFrame(bytes.NewReader(whole)); err != nil || string(got) != "packet" {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := ReadFrame(bytes.NewReader(whole[:7])); err == nil {
		t.Error("half a frame is taken")
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0xff, 0, 0, 0})); !errors.Is(err, ErrTooLong) {
		t.Errorf("too long: %v", err)
	}
}

// Words on schemas come in as they went out. Those that nobody can mean are refused, and so are more than a Packet may hold in memory.
func TestLevels(t *testing.T) {
	said := schema.MemberState{ID: schema.ID{Name: "a", Start: 1 << 60}, Seq: 7, Stands: []schema.KindState{{Kind: schema.Use, Lo: 1, Hi: 3, UpperLimit: 2, HighestStored: 3,
		Agreed: schema.Level{Turn: 1, Schema: 2}, Written: schema.Level{Turn: 1 << 31, Schema: 65535}}, {Kind: schema.Session, Lo: 1, Hi: 2}}}
	decode := func(list ...*Said) ([]schema.MemberState, error) {
		t.Helper()
		b, err := Encode(1, &Packet{Levels: &Levels{List: list}})
		if err != nil {
			t.Fatal(err)
		}
		p, err := Decode(1, b)
		if err != nil {
			return nil, err
		}
		got, ok := p.ToLevels()
		if !ok {
			return nil, ErrGarbage
		}
		return got, nil
	}
	if got, err := decode(FromSaid(said)); err != nil || !reflect.DeepEqual(got, []schema.MemberState{said}) {
		t.Errorf("%+v, %v", got, err)
	}
	for what, spoil := range map[string]func(*Said){
		"no name":            func(s *Said) { s.Name = "" },
		"kinds out of order": func(s *Said) { s.Stands[0].Kind = 2 },
		"a schema too high":  func(s *Said) { s.Stands[0].Written = 1 << 16 },
		"a kind too high":    func(s *Said) { s.Stands[1].Kind = 256 },
		"lo above hi":        func(s *Said) { s.Stands[0].Lo = 4 },
	} {
		s := FromSaid(said)
		spoil(s)
		if _, err := decode(s); err == nil {
			t.Errorf("%s: it is taken", what)
		}
	}
	many := &Said{Name: "a", Stands: make([]*Stand, partsMost)}
	for i := range many.Stands {
		many.Stands[i] = &Stand{}
	}
	b, _ := Encode(1, &Packet{Levels: &Levels{List: []*Said{many}}})
	if _, err := Decode(1, b); !errors.Is(err, ErrGarbage) {
		t.Errorf("%d empty stands: %v", partsMost, err)
	}
}

// Whatever comes is refused or read; what was read goes out and comes in the same.
func FuzzDecode(f *testing.F) {
	b, _ := Encode(1, FromDetect(full))
	f.Add(b)
	who, _ := Encode(1, &Packet{Body: &Packet_Who{Who: &Who{}}})
	f.Add(who)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := Decode(1, b)
		if err != nil {
			return
		}
		m, ok := p.ToDetect()
		if !ok {
			return
		}
		out, err := Encode(1, FromDetect(m))
		if err != nil {
			t.Fatal(err)
		}
		if p, err = Decode(1, out); err != nil {
			t.Fatal(err)
		}
		if again, ok := p.ToDetect(); !ok || !reflect.DeepEqual(m, again) {
			t.Fatalf("%+v\nthen %+v", m, again)
		}
	})
}
