package detect

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// This file has the links: that this process does not hear one whom others hear is said of the link, and not of the member.

const (
	// probesMost bounds the links that are looked into at once, and probesAtOnce how many of them in one round.
	probesMost, probesAtOnce = 16, 2
	// missesMost is how many answers in a row have to be missing, of one whom others hear, for its link to have failed: with 30 % of the
	// messages lost, half of the answers miss, and one link in 250 that are looked into is held for failed, until its next message.
	missesMost = 8
	// missEvery is the least time between two misses that count, and unheardEvery the time between two questions on a failed link.
	missEvery, unheardEvery = time.Second, 10 * time.Second
	// linkFor is how long a word of a link holds that is not said again; it is said again each linkAgain.
	linkFor, linkAgain = 3 * time.Minute, time.Minute
	// linkRepeats is how often each passes one on, and linksAtOnce how many ride on one message.
	linkRepeats, linksAtOnce = 4, 4
)

type link struct{ from, to string }

type heldLink struct {
	num   uint32
	deaf  bool
	until time.Duration
}

// links is what is known of links that fail in one direction.
type links struct {
	held map[link]heldLink
	news []linkNews
}

type linkNews struct {
	LinkWord
	sent int
}

// link is the state of the link to a member.
func (m *member) link() LinkState {
	switch {
	case m.unheard && m.deaf:
		return Severed
	case m.unheard:
		return Unheard
	case m.deaf:
		return Deaf
	}
	return Sound
}

// missed notes that a member answered others and not this process: its link is looked into.
func (d *Detect) missed(m *member) {
	if m.probed || len(d.probes) >= probesMost || m.State != Alive && m.State != Suspect {
		return
	}
	m.probed, m.misses, m.missAt = true, 1, d.now
	d.probes = append(d.probes, m)
}

// probe asks on links that are looked into. A question that has no answer by the next one is a miss.
func (d *Detect) probe() {
	asked := 0
	for i := 0; i < len(d.probes); {
		m := d.probes[i]
		if d.members[m.Name] != m || !m.probed || !m.State.there() {
			m.probed = false
			d.probes = slices.Delete(d.probes, i, i+1)
			continue
		}
		wait := missEvery
		if m.unheard {
			wait = unheardEvery
		}
		if d.now-m.missAt < wait || asked >= probesAtOnce || d.now < d.calm {
			i++
			continue
		}
		if m.State == Alive && d.now-d.sureAt < d.cfg.CutAfter { // else it is not shown that others hear it, or they this process
			m.misses++
		}
		if m.misses >= missesMost && !m.deaf && (!m.unheard || m.misses%int(linkAgain/unheardEvery) == 0) {
			m.unheard = true
			d.sayLink(m, true)
		}
		m.missAt = d.now
		asked++
		d.send(m.Addr, Message{Kind: Ask, Seq: d.seqNext(), About: m.ID}, m)
		d.probes = append(slices.Delete(d.probes, i, i+1), m)
	}
}

// sayLink tells of the link from a member to this process.
func (d *Detect) sayLink(m *member, deaf bool) {
	if m.num == math.MaxUint32 {
		return
	}
	m.num++
	d.passLink(LinkWord{From: m.Name, To: d.self.Name, Num: m.num, Deaf: deaf})
}

// heard notes a message that came from a member itself.
func (d *Detect) heard(m *member) {
	if m.probed {
		m.probed, m.misses = false, 0
		if i := slices.Index(d.probes, m); i >= 0 {
			d.probes = slices.Delete(d.probes, i, i+1)
		}
	}
	if m.unheard {
		m.unheard = false
		d.sayLink(m, false)
	}
	if m.deaf && d.now >= m.deafUntil {
		m.deaf = false
	}
}

// unlink forgets the links of a process that is another now.
func (d *Detect) unlink(m *member) {
	m.unheard, m.deaf, m.num, m.misses, m.probed = false, false, 0, 0, false
	if i := slices.Index(d.probes, m); i >= 0 {
		d.probes = slices.Delete(d.probes, i, i+1)
	}
	for l := range d.links.held {
		if l.to == m.Name || l.from == m.Name {
			delete(d.links.held, l)
		}
	}
}

// takeLinks takes in words of links.
func (d *Detect) takeLinks(words []LinkWord) {
	for _, w := range words {
		from, to := d.members[w.From], d.members[w.To]
		if w.To == d.self.Name || to == nil || !to.State.there() || from == nil && w.From != d.self.Name || w.From == w.To {
			continue
		}
		k := link{w.From, w.To}
		h, ok := d.links.held[k]
		if ok && h.until > d.now && w.Num <= h.num {
			continue
		}
		if !ok && len(d.links.held) >= d.cfg.LinksMost && !d.dropLinks() {
			continue
		}
		d.links.held[k] = heldLink{num: w.Num, deaf: w.Deaf, until: d.now + linkFor}
		if w.From != d.self.Name {
			d.passLink(w)
			continue
		}
		to.deaf, to.deafUntil = w.Deaf, d.now+linkFor
		if w.Deaf { // a message that does come shows that it is the way of its questions that has failed, and not of these
			d.send(to.Addr, Message{Kind: Ask, Seq: d.seqNext(), About: to.ID}, to)
			d.missed(to)
		}
	}
}

// dropLinks drops words of links that are too old. It is false where there are none.
func (d *Detect) dropLinks() bool {
	n := len(d.links.held)
	for l, h := range d.links.held {
		if h.until <= d.now {
			delete(d.links.held, l)
		}
	}
	return len(d.links.held) < n
}

// passLink has a word of a link ride on the next messages, in the place of an older one.
func (d *Detect) passLink(w LinkWord) {
	d.links.news = slices.DeleteFunc(d.links.news, func(o linkNews) bool { return o.From == w.From && o.To == w.To })
	if len(d.links.news) >= d.cfg.LinksMost {
		d.links.news = d.links.news[1:]
	}
	d.links.news = append(d.links.news, linkNews{LinkWord: w})
}

// linkNews takes what rides on one message, and tells the room that is left.
func (d *Detect) linkNews(room int) ([]LinkWord, int) {
	var got []LinkWord
	for i := len(d.links.news) - 1; i >= 0 && len(got) < linksAtOnce; i-- {
		n := &d.links.news[i]
		if n.size() > room {
			break
		}
		room -= n.size()
		got = append(got, n.LinkWord)
		n.sent++
	}
	if len(got) > 0 {
		most := linkRepeats * int(math.Ceil(d.logs()))
		d.links.news = slices.DeleteFunc(d.links.news, func(n linkNews) bool { return n.sent >= most })
	}
	return got, room
}

// Via names a member that hears this process and is heard by the one of that name, to pass on what the link between the two does not
// carry. It is false where none is known. Of several it is always the same, and not the same for all.
func (d *Detect) Via(name string) (Word, bool) {
	var best *member
	var least uint32
	for _, m := range d.ring {
		if m.Name == name || m.State != Alive || m.link() != Sound {
			continue
		}
		if h, ok := d.links.held[link{m.Name, name}]; ok && h.deaf && h.until > d.now {
			continue
		}
		f := fnv.New32a()
		for _, s := range [...]string{d.self.Name, "\x00", name, "\x00", m.Name} {
			_, _ = f.Write([]byte(s))
		}
		if h := f.Sum32(); best == nil || h < least {
			best, least = m, h
		}
	}
	if best == nil {
		return Word{}, false
	}
	return best.Word, true
}
