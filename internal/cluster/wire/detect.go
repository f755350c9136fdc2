package wire

// This file turns the messages of package detect into Packets and back.

import (
	"net"
	"time"

	"glencart/detect"
)

// nameMost and addrMost bound names and addresses, in bytes: a datagram must have room for some words.
const (
	NameMost = 64
	addrMost = 128
)

// wordsMost bounds the words of one exchange: four times the members that a fleet may have.
const wordsMost = 16384

// FromWord words a word.
func FromWord(w detect.Update) *Word {
	return &Word{Name: w.Name, Start: w.Start, Inc: w.Inc, State: State(w.State), Addr: w.Addr,
		UntilUs: uint64(max(0, w.Until).Microseconds()), By: w.By}
}

// ToWord reads a word; false: it is none that detect may be told.
func (w *Word) ToWord() (detect.Update, bool) {
	ok := w != nil && w.Name != "" && len(w.Name) <= NameMost && len(w.By) <= NameMost && w.State >= State_ALIVE && w.State <= State_LEFT &&
		len(w.Addr) <= addrMost && w.UntilUs <= uint64(time.Hour.Microseconds())
	if !ok {
		return detect.Update{}, false
	}
	if _, _, err := net.SplitHostPort(w.Addr); err != nil {
		return detect.Update{}, false
	}
	return detect.Update{ID: detect.ID{Name: w.Name, Start: w.Start}, Inc: w.Inc, State: detect.State(w.State), Addr: w.Addr,
		Until: time.Duration(w.UntilUs) * time.Microsecond, By: w.By}, true
}

// FromDetect makes a Packet of a message.
func FromDetect(m detect.Message) *Packet {
	p := &Probe{Kind: Kind(m.Kind) + 1, Seq: m.Seq}
	if m.About != (detect.ID{}) {
		p.About = &ID{Name: m.About.Name, Start: m.About.Start}
	}
	for _, w := range m.Updates {
		p.News = append(p.News, FromWord(w))
	}
	for _, l := range m.Links {
		p.Links = append(p.Links, &LinkWord{From: l.From, To: l.To, Num: l.Seq, Deaf: l.Deaf})
	}
	return &Packet{From: FromWord(m.From), Body: &Packet_Probe{p}}
}

// ToDetect reads the message of a Packet; false: it holds none that can be believed whole.
func (p *Packet) ToDetect() (m detect.Message, ok bool) {
	b := p.GetProbe()
	if b == nil || b.Kind <= Kind_NONE || b.Kind > Kind_PULL || len(b.News)+len(b.Links) > wordsMost {
		return m, false
	}
	if m.From, ok = p.From.ToWord(); !ok {
		return m, false
	}
	m.Kind, m.Seq = detect.Kind(b.Kind-1), b.Seq
	if b.About != nil {
		if len(b.About.Name) > NameMost {
			return m, false
		}
		m.About = detect.ID{Name: b.About.Name, Start: b.About.Start}
	}
	for _, w := range b.News {
		word, ok := w.ToWord()
		if !ok {
			return m, false
		}
		m.Updates = append(m.Updates, word)
	}
	for _, l := range b.Links {
		if l.From == "" || l.To == "" || len(l.From) > NameMost || len(l.To) > NameMost {
			return m, false
		}
		m.Links = append(m.Links, detect.LinkUpdate{From: l.From, To: l.To, Seq: l.Num, Deaf: l.Deaf})
	}
	return m, true
}
