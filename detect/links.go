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
	maxLinkChecks, maxLinkChecksPerRound = 16, 2
	// maxMisses is how many consecutive answers must be missing, from a member that others can reach, before its link counts as
	// failed. With 30 % message loss, half of the answers are missing, and one in 250 checked links counts as failed until its
	// next message.
	maxMisses = 8
	// missInterval is the least time between two misses that count, and failedLinkProbeInterval the time between two probes on a
	// failed link.
	missInterval, failedLinkProbeInterval = time.Second, 10 * time.Second
	// linkWindow is how long a link update holds unless repeated; linkRepeatInterval is how often it is repeated.
	linkWindow, linkRepeatInterval = 3 * time.Minute, time.Minute
	// maxLinkRepeats is how often each member passes an update on, and maxLinksPerMessage how many fit into one message.
	maxLinkRepeats, maxLinksPerMessage = 4, 4
)

type link struct{ from, to string }

type storedLink struct {
	num   uint32
	deaf  bool
	until time.Duration
}

// links stores updates about links that fail in one direction.
type links struct {
	stored map[link]storedLink
	queued []queuedLink
}

type queuedLink struct {
	LinkUpdate
	sent int
}

// link returns the state of the link to a member.
func (m *member) link() LinkState {
	switch {
	case m.isInboundFailed && m.isOutboundFailed:
		return Severed
	case m.isInboundFailed:
		return InboundFailed
	case m.isOutboundFailed:
		return OutboundFailed
	}
	return Sound
}

// startLinkCheck records that a member answered others and not this process, and starts a check of its link.
func (d *Detect) startLinkCheck(m *member) {
	if m.isLinkChecked || len(d.linkChecks) >= maxLinkChecks || m.State != Alive && m.State != Suspect {
		return
	}
	m.isLinkChecked, m.misses, m.missedAt = true, 1, d.now
	d.linkChecks = append(d.linkChecks, m)
}

// probeLinks probes the links that are checked. A probe without an answer by the next one is a miss.
func (d *Detect) probeLinks() {
	probed := 0
	for i := 0; i < len(d.linkChecks); {
		m := d.linkChecks[i]
		if d.members[m.Name] != m || !m.isLinkChecked || !m.State.isPresent() {
			m.isLinkChecked = false
			d.linkChecks = slices.Delete(d.linkChecks, i, i+1)
			continue
		}
		wait := missInterval
		if m.isInboundFailed {
			wait = failedLinkProbeInterval
		}
		if d.now-m.missedAt < wait || probed >= maxLinkChecksPerRound || d.now < d.noSuspicionUntil {
			i++
			continue
		}
		// Otherwise nothing shows that others receive from it, or from this process.
		if m.State == Alive && d.now-d.confirmedAt < d.cfg.CutOffTimeout {
			m.misses++
		}
		if m.misses >= maxMisses && !m.isOutboundFailed && (!m.isInboundFailed || m.misses%int(linkRepeatInterval/failedLinkProbeInterval) == 0) {
			m.isInboundFailed = true
			d.announceLink(m, true)
		}
		m.missedAt = d.now
		probed++
		d.send(m.Addr, Message{Kind: Ask, Seq: d.nextSeq(), About: m.ID}, m)
		d.linkChecks = append(slices.Delete(d.linkChecks, i, i+1), m)
	}
}

// announceLink publishes the state of the link from a member to this process.
func (d *Detect) announceLink(m *member, deaf bool) {
	if m.linkNum == math.MaxUint32 {
		return
	}
	m.linkNum++
	d.queueLink(LinkUpdate{From: m.Name, To: d.self.Name, Seq: m.linkNum, Deaf: deaf})
}

// receivedFrom records a message that came from a member itself.
func (d *Detect) receivedFrom(m *member) {
	if m.isLinkChecked {
		m.isLinkChecked, m.misses = false, 0
		if i := slices.Index(d.linkChecks, m); i >= 0 {
			d.linkChecks = slices.Delete(d.linkChecks, i, i+1)
		}
	}
	if m.isInboundFailed {
		m.isInboundFailed = false
		d.announceLink(m, false)
	}
	if m.isOutboundFailed && d.now >= m.outboundFailedUntil {
		m.isOutboundFailed = false
	}
}

// clearLinks removes the link state of a member that a new process has replaced.
func (d *Detect) clearLinks(m *member) {
	m.isInboundFailed, m.isOutboundFailed, m.linkNum, m.misses, m.isLinkChecked = false, false, 0, 0, false
	if i := slices.Index(d.linkChecks, m); i >= 0 {
		d.linkChecks = slices.Delete(d.linkChecks, i, i+1)
	}
	for l := range d.links.stored {
		if l.to == m.Name || l.from == m.Name {
			delete(d.links.stored, l)
		}
	}
}

// receiveLinks merges link updates.
func (d *Detect) receiveLinks(updates []LinkUpdate) {
	for _, w := range updates {
		from, to := d.members[w.From], d.members[w.To]
		if w.To == d.self.Name || to == nil || !to.State.isPresent() || from == nil && w.From != d.self.Name || w.From == w.To {
			continue
		}
		k := link{w.From, w.To}
		h, ok := d.links.stored[k]
		if ok && h.until > d.now && w.Seq <= h.num {
			continue
		}
		if !ok && len(d.links.stored) >= d.cfg.MaxLinks && !d.dropExpiredLinks() {
			continue
		}
		d.links.stored[k] = storedLink{num: w.Seq, deaf: w.Deaf, until: d.now + linkWindow}
		if w.From != d.self.Name {
			d.queueLink(w)
			continue
		}
		to.isOutboundFailed, to.outboundFailedUntil = w.Deaf, d.now+linkWindow
		if w.Deaf {
			// If this probe arrives, the member learns that the path of its own probes failed, and not the path from this process.
			d.send(to.Addr, Message{Kind: Ask, Seq: d.nextSeq(), About: to.ID}, to)
			d.startLinkCheck(to)
		}
	}
}

// dropExpiredLinks removes expired link updates. It returns false if there are none.
func (d *Detect) dropExpiredLinks() bool {
	before := len(d.links.stored)
	for l, h := range d.links.stored {
		if h.until <= d.now {
			delete(d.links.stored, l)
		}
	}
	return len(d.links.stored) < before
}

// queueLink queues a link update for the next messages, in place of an older one.
func (d *Detect) queueLink(w LinkUpdate) {
	d.links.queued = slices.DeleteFunc(d.links.queued, func(o queuedLink) bool { return o.From == w.From && o.To == w.To })
	if len(d.links.queued) >= d.cfg.MaxLinks {
		d.links.queued = d.links.queued[1:]
	}
	d.links.queued = append(d.links.queued, queuedLink{LinkUpdate: w})
}

// takeQueuedLinks returns the link updates for one message, and the room that is left.
func (d *Detect) takeQueuedLinks(room int) ([]LinkUpdate, int) {
	var got []LinkUpdate
	for i := len(d.links.queued) - 1; i >= 0 && len(got) < maxLinksPerMessage; i-- {
		n := &d.links.queued[i]
		if n.size() > room {
			break
		}
		room -= n.size()
		got = append(got, n.LinkUpdate)
		n.sent++
	}
	if len(got) > 0 {
		maxSent := maxLinkRepeats * int(math.Ceil(d.logMembers()))
		d.links.queued = slices.DeleteFunc(d.links.queued, func(n queuedLink) bool { return n.sent >= maxSent })
	}
	return got, room
}

// Via returns a member that can relay to the named one: this process and that member reach each other, and no update reports
// the link from it to the named one as failed. It returns false if none is known. Of several it always returns the same one,
// but not the same for all processes.
func (d *Detect) Via(name string) (Update, bool) {
	var best *member
	var least uint32
	for _, m := range d.ring {
		if m.Name == name || m.State != Alive || m.link() != Sound {
			continue
		}
		if h, ok := d.links.stored[link{m.Name, name}]; ok && h.deaf && h.until > d.now {
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
		return Update{}, false
	}
	return best.Update, true
}
