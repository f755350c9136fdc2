package detect

import (
	"math"
	"slices"
	"sort"
)

// This file has the news: what is passed on, how often, in which order, and how much of it goes into one datagram.

// entry is what a member's word is in the queue by.
type entry struct {
	in   bool
	sent int
	age  uint64 // the higher, the younger
}

// queue has the words that are passed on, the least sent first and of those the youngest (SWIM, 4.1).
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

// pass has a member's word ride on the next messages.
func (d *Detect) pass(m *member) {
	d.taught++
	d.news.put(m, 0)
}

// repeats times the logarithm of the number of members is how often a word is passed on by each: SWIM's lambda.
const repeats = 3

func (d *Detect) repeatsMost() int {
	return repeats * int(math.Ceil(math.Log10(float64(d.there+2))))
}

// Sizes of what is sent, from above: tags, lengths and numbers at their longest in protobuf.
const (
	wordSize    = 2 + 2 + 9 + 6 + 2 + 2 + 11 + 2 + 4 // without its texts
	messageSize = 2 + 4 + 2 + 6 + 2 + 12             // without its words, and the text in About
	linkSize    = 2 + 2 + 2 + 6 + 2 + 2
)

func (w *Word) size() int { return wordSize + len(w.Name) + len(w.Addr) + len(w.By) }

func (l *LinkWord) size() int { return linkSize + len(l.From) + len(l.To) }

// send sends a datagram to a member (nil: it is not known), with what it has to know first, and all the news that have room.
func (d *Detect) send(addr string, msg Message, to *member) {
	msg.From = d.selfWord()
	room := d.cfg.DatagramMost - d.cfg.Envelope - messageSize - len(msg.About.Name) - msg.From.size()
	var news []Word
	// Who is held for suspect, away or dead hears it first: it is the one that can say that it lives (Lifeguard, 4.3).
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

// newsFor appends what the queue has and room takes, and counts it as sent.
func (d *Detect) newsFor(news []Word, room int, to *member) []Word {
	most := d.repeatsMost()
	var again []*member
	for i := 0; i < len(d.news.all) && room > wordSize; i++ {
		m := d.news.all[i]
		if m == to && !d.cfg.plain { // it knows of itself, or has been told
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

// again keeps a word's age, so that of those that were sent as often the youngest goes first.
func (q *queue) again(m *member, sent int) {
	age := m.news.age
	q.drop(m)
	m.news = entry{in: true, sent: sent, age: age}
	q.all = slices.Insert(q.all, q.find(m), m)
}

// all is a message with all that is known, but for those that were never known to be there: else their ends would go round for ever.
func (d *Detect) all(k Kind) Message {
	msg := Message{Kind: k, From: d.selfWord(), News: make([]Word, 0, len(d.ring))}
	for _, m := range d.ring {
		if !m.silent {
			msg.News = append(msg.News, m.told(d.now))
		}
	}
	return msg
}

// sampleTo sends one who knows but an address a few members more: where it asks for the whole news, if the one it has asked cannot give it.
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

// sampleMost is how many members one that joins is told of before it has the whole news.
const sampleMost = 8
