package detect

import (
	"math"
	"slices"
	"sort"
)

// This file has gossip: which updates are passed on, how often, in which order, and how many go into one datagram.

// queueEntry is the position of a member's update in the queue.
type queueEntry struct {
	isQueued bool
	sent     int
	age      uint64 // the higher, the newer
}

// broadcastQueue holds the updates to pass on, the least sent first, and among those the newest (SWIM, 4.1).
type broadcastQueue struct {
	entries []*member
	lastAge uint64
}

func (q *broadcastQueue) find(m *member) int {
	return sort.Search(len(q.entries), func(i int) bool {
		o := q.entries[i]
		if o.broadcast.sent != m.broadcast.sent {
			return o.broadcast.sent > m.broadcast.sent
		}
		return o.broadcast.age <= m.broadcast.age
	})
}

func (q *broadcastQueue) drop(m *member) {
	if m.broadcast.isQueued {
		i := q.find(m)
		q.entries = slices.Delete(q.entries, i, i+1)
		m.broadcast = queueEntry{}
	}
}

func (q *broadcastQueue) put(m *member, sent int) {
	q.drop(m)
	q.lastAge++
	m.broadcast = queueEntry{isQueued: true, sent: sent, age: q.lastAge}
	q.entries = slices.Insert(q.entries, q.find(m), m)
}

// broadcast queues a member's update for the next messages.
func (d *Detect) broadcast(m *member) {
	d.learned++
	d.broadcasts.put(m, 0)
}

// retransmitFactor times the logarithm of the number of members is how often each member passes an update on: SWIM's lambda.
const retransmitFactor = 3

func (d *Detect) maxRetransmits() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(d.presentCount+2))))
}

// Upper bounds of sizes on the wire: tags, lengths and numbers at their longest in protobuf.
const (
	updateSize  = 2 + 2 + 9 + 6 + 2 + 2 + 11 + 2 + 4 // without its strings
	messageSize = 2 + 4 + 2 + 6 + 2 + 12             // without its updates and the string in About
	linkSize    = 2 + 2 + 2 + 6 + 2 + 2
)

func (w *Update) size() int { return updateSize + len(w.Name) + len(w.Addr) + len(w.By) }

func (l *LinkUpdate) size() int { return linkSize + len(l.From) + len(l.To) }

// send sends a datagram to a member (nil: unknown), with the update that it must receive first, and as many queued updates as
// fit.
func (d *Detect) send(addr string, msg Message, to *member) {
	msg.From = d.currentSelfUpdate()
	room := d.cfg.MaxDatagramBytes - d.cfg.EnvelopeBytes - messageSize - len(msg.About.Name) - msg.From.size()
	var updates []Update
	// A member that counts as suspect, away or dead receives that update first, because it can refute it (Lifeguard, 4.3).
	if to != nil && to.State != Alive && to.reportedDeath.Name == "" && !d.cfg.isPlainSWIM {
		updates = append(updates, to.currentUpdate(d.now))
		room -= updates[0].size()
	}
	for _, w := range msg.Updates {
		if room -= w.size(); room < 0 {
			break
		}
		updates = append(updates, w)
	}
	msg.Links, room = d.takeQueuedLinks(room)
	msg.Updates = d.takeBroadcasts(updates, room, to)
	d.act(Action{Kind: Send, Addr: addr, Message: msg})
}

// takeBroadcasts appends queued updates that fit into room, and counts them as sent.
func (d *Detect) takeBroadcasts(updates []Update, room int, to *member) []Update {
	maxSent := d.maxRetransmits()
	var taken []*member
	for i := 0; i < len(d.broadcasts.entries) && room > updateSize; i++ {
		m := d.broadcasts.entries[i]
		if m == to && !d.cfg.isPlainSWIM { // the member has its own state, or send has added the update about it
			continue
		}
		w := m.currentUpdate(d.now)
		if w.size() > room {
			break
		}
		room -= w.size()
		updates = append(updates, w)
		taken = append(taken, m)
	}
	for _, m := range taken {
		if sent := m.broadcast.sent + 1; sent >= maxSent {
			d.broadcasts.drop(m)
		} else {
			d.broadcasts.requeue(m, sent)
		}
	}
	return updates
}

// requeue keeps the age of an update, so that among those sent equally often the newest goes first.
func (q *broadcastQueue) requeue(m *member, sent int) {
	age := m.broadcast.age
	q.drop(m)
	m.broadcast = queueEntry{isQueued: true, sent: sent, age: age}
	q.entries = slices.Insert(q.entries, q.find(m), m)
}

// fullState returns a message with all members except those that were never present here: otherwise their ends would circulate
// forever.
func (d *Detect) fullState(k Kind) Message {
	msg := Message{Kind: k, From: d.currentSelfUpdate(), Updates: make([]Update, 0, len(d.ring))}
	for _, m := range d.ring {
		if !m.neverPresent {
			msg.Updates = append(msg.Updates, m.currentUpdate(d.now))
		}
	}
	return msg
}

// sendSample sends a few members to a process that has only an address. That process can request the full state from them if
// this one can't provide it.
func (d *Detect) sendSample(m *Message, s *member) {
	if m.About != (ID{}) || s == nil {
		return
	}
	msg := Message{Kind: Answer, About: s.ID}
	room := d.cfg.MaxDatagramBytes / 2
	for _, o := range d.randomMembers(maxSample, s) {
		w := o.currentUpdate(d.now)
		if room -= w.size(); room < 0 {
			break
		}
		msg.Updates = append(msg.Updates, w)
	}
	d.send(s.Addr, msg, s)
}

// maxSample is how many members a joining process receives before it has the full state.
const maxSample = 8
