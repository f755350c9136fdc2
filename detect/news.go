package detect

import (
	"math"
	"slices"
	"sort"
)

// This file has gossip: which updates are passed on, how often, in which order, and how many go into one datagram.

// entry is the position of a member's update in the queue.
type entry struct {
	in   bool
	sent int
	age  uint64 // the higher, the newer
}

// queue holds the updates to pass on, the least sent first, and among those the newest (SWIM, 4.1).
type queue struct {
	all  []*member
	last uint64
}

func (q *queue) find(m *member) int {
	return sort.Search(len(q.all), func(i int) bool {
		o := q.all[i]
		if o.news.sent != m.news.sent {
			return o.news.sent > m.news.sent
		}
		return o.news.age <= m.news.age
	})
}

func (q *queue) drop(m *member) {
	if m.news.in {
		i := q.find(m)
		q.all = slices.Delete(q.all, i, i+1)
		m.news = entry{}
	}
}

func (q *queue) put(m *member, sent int) {
	q.drop(m)
	q.last++
	m.news = entry{in: true, sent: sent, age: q.last}
	q.all = slices.Insert(q.all, q.find(m), m)
}

// broadcast queues a member's update for the next messages.
func (d *Detect) pass(m *member) {
	d.taught++
	d.news.put(m, 0)
}

// retransmitFactor times the logarithm of the number of members is how often each member passes an update on: SWIM's lambda.
const repeats = 3

func (d *Detect) repeatsMost() int {
	return repeats * int(math.Ceil(math.Log10(float64(d.there+2))))
}

// Upper bounds of sizes on the wire: tags, lengths and numbers at their longest in protobuf.
const (
	wordSize    = 2 + 2 + 9 + 6 + 2 + 2 + 11 + 2 + 4 // without its strings
	messageSize = 2 + 4 + 2 + 6 + 2 + 12             // without its updates and the string in About
	linkSize    = 2 + 2 + 2 + 6 + 2 + 2
)

func (w *Word) size() int { return wordSize + len(w.Name) + len(w.Addr) + len(w.By) }

func (l *LinkWord) size() int { return linkSize + len(l.From) + len(l.To) }

// send sends a datagram to a member (nil: unknown), with the update that it must receive first, and as many queued updates as
// fit.
func (d *Detect) send(addr string, msg Message, to *member) {
	msg.From = d.selfWord()
	room := d.cfg.DatagramMost - d.cfg.Envelope - messageSize - len(msg.About.Name) - msg.From.size()
	var news []Word
	// A member that counts as suspect, away or dead receives that update first, because it can refute it (Lifeguard, 4.3).
	if to != nil && to.State != Alive && to.doubt.Name == "" && !d.cfg.plain {
		news = append(news, to.told(d.now))
		room -= news[0].size()
	}
	for _, w := range msg.News {
		if room -= w.size(); room < 0 {
			break
		}
		news = append(news, w)
	}
	msg.Links, room = d.linkNews(room)
	msg.News = d.newsFor(news, room, to)
	d.act(Action{Kind: Send, Addr: addr, Message: msg})
}

// takeBroadcasts appends queued updates that fit into room, and counts them as sent.
func (d *Detect) newsFor(news []Word, room int, to *member) []Word {
	most := d.repeatsMost()
	var again []*member
	for i := 0; i < len(d.news.all) && room > wordSize; i++ {
		m := d.news.all[i]
		if m == to && !d.cfg.plain { // it knows its own state, or send has added the update about it
			continue
		}
		w := m.told(d.now)
		if w.size() > room {
			break
		}
		room -= w.size()
		news = append(news, w)
		again = append(again, m)
	}
	for _, m := range again {
		if sent := m.news.sent + 1; sent >= most {
			d.news.drop(m)
		} else {
			d.news.again(m, sent)
		}
	}
	return news
}

// requeue keeps the age of an update, so that among those sent equally often the newest goes first.
func (q *queue) again(m *member, sent int) {
	age := m.news.age
	q.drop(m)
	m.news = entry{in: true, sent: sent, age: age}
	q.all = slices.Insert(q.all, q.find(m), m)
}

// fullState returns a message with all members except those that were never present here: otherwise their ends would circulate
// forever.
func (d *Detect) all(k Kind) Message {
	msg := Message{Kind: k, From: d.selfWord(), News: make([]Word, 0, len(d.ring))}
	for _, m := range d.ring {
		if !m.silent {
			msg.News = append(msg.News, m.told(d.now))
		}
	}
	return msg
}

// sendSample sends a few members to a process that knows only an address. It can request the full state from them if this one
// can't provide it.
func (d *Detect) sampleTo(m *Message, s *member) {
	if m.About != (ID{}) || s == nil {
		return
	}
	msg := Message{Kind: Answer, About: s.ID}
	room := d.cfg.DatagramMost / 2
	for _, o := range d.some(sampleMost, s) {
		w := o.told(d.now)
		if room -= w.size(); room < 0 {
			break
		}
		msg.News = append(msg.News, w)
	}
	d.send(s.Addr, msg, s)
}

// maxSample is how many members a joining process receives before it has the full state.
const sampleMost = 8
