package detect

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// This file has the links. When this process receives no messages of a member that others can reach, it reports the link as
// failed and not the member.

const (
	// maxLinkChecks bounds the links that are checked at once, and maxLinkChecksPerRound how many of them are probed in a round.
	probesMost, probesAtOnce = 16, 2
	// maxMisses is how many consecutive answers must be missing, from a member that others can reach, before its link counts as
	// failed. With 30 % message loss, half of the answers are missing, and one in 250 checked links counts as failed until its
	// next message.
	missesMost = 8
	// missInterval is the least time between two misses that count, and unheardProbeInterval the time between two probes on a
	// failed link.
	missEvery, unheardEvery = time.Second, 10 * time.Second
	// linkWindow is how long a link update holds unless repeated; linkRepeatInterval is how often it is repeated.
	linkFor, linkAgain = 3 * time.Minute, time.Minute
	// maxLinkRepeats is how often each member passes an update on, and maxLinksPerMessage how many fit into one message.
	linkRepeats, linksAtOnce = 4, 4
)

type link struct{ from, to string }

type heldLink struct {
	num   uint32
	deaf  bool
	until time.Duration
}

// links stores updates about links that fail in one direction.
type links struct {
	held map[link]heldLink
	news []linkNews
}

type linkNews struct {
	LinkWord
	sent int
}

// link returns the state of the link to a member.
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

// startLinkCheck records that a member answered others and not this process, and starts a check of its link.
func (d *Detect) missed(m *member) {
	if m.probed || len(d.probes) >= probesMost || m.State != Alive && m.State != Suspect {
		return
	}
	m.probed, m.misses, m.missAt = true, 1, d.now
	d.probes = append(d.probes, m)
}

// probeLinks probes the links that are checked. A probe without an answer by the next one is a miss.
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
		if m.State == Alive && d.now-d.sureAt < d.cfg.CutAfter { // otherwise nothing shows that others receive from it, or from this process
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

// announceLink publishes the state of the link from a member to this process.
func (d *Detect) sayLink(m *member, deaf bool) {
	if m.num == math.MaxUint32 {
		return
	}
	m.num++
	d.passLink(LinkWord{From: m.Name, To: d.self.Name, Num: m.num, Deaf: deaf})
}

// receivedFrom records a message that came from a member itself.
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

// clearLinks removes the link state of a member that a new process has replaced.
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

// receiveLinks merges link updates.
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
		if w.Deaf { // an acknowledgement shows that only the path of this member's probes failed
			d.send(to.Addr, Message{Kind: Ask, Seq: d.seqNext(), About: to.ID}, to)
			d.missed(to)
		}
	}
}

// dropLinks removes expired link updates. It returns false if there are none.
func (d *Detect) dropLinks() bool {
	n := len(d.links.held)
	for l, h := range d.links.held {
		if h.until <= d.now {
			delete(d.links.held, l)
		}
	}
	return len(d.links.held) < n
}

// queueLink queues a link update for the next messages, in place of an older one.
func (d *Detect) passLink(w LinkWord) {
	d.links.news = slices.DeleteFunc(d.links.news, func(o linkNews) bool { return o.From == w.From && o.To == w.To })
	if len(d.links.news) >= d.cfg.LinksMost {
		d.links.news = d.links.news[1:]
	}
	d.links.news = append(d.links.news, linkNews{LinkWord: w})
}

// takeQueuedLinks returns the link updates for one message, and the room that is left.
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

// Via returns a member that can relay to the named one: this process and that member reach each other, and no update reports
// the link from it to the named one as failed. It returns false if none is known. Of several it always returns the same one,
// but not the same for all processes.
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
