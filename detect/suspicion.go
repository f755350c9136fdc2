package detect

import (
	"math"
	"slices"
	"time"
)

// This file has suspicion: how long it lasts, who accuses, and the deaths that others tell of.

const (
	// enough is the part of the least suspicion that one has to have been suspect here for the word of its death to be believed.
	enough = 0.75
	// doubtEvery and doubtsAtOnce bound how fast deaths that were told are looked into: 40 a second; checksMost is how often each.
	doubtEvery, doubtsAtOnce, checksMost = 100 * time.Millisecond, 4, 3
)

// least is the shortest suspicion of a member.
func (d *Detect) least(m *member) time.Duration {
	flaps := m.flaps
	if d.now-m.flapAt > flapFor {
		flaps = 0
	}
	return time.Duration(float64(d.cfg.Suspicion)*d.logs()) * time.Duration(1+flaps)
}

// deadline is when a suspicion ends in death: Stretch times the least with one accuser, and each further one shortens it, the first the
// most (Lifeguard, 4.2).
func (d *Detect) deadline(m *member) time.Duration {
	least := d.least(m)
	k := min(d.cfg.Accusers, d.there-1) // this process may be one, the accused is none
	length := least
	if c := max(0, len(m.accusers)-1); k > 0 && c < k {
		most := least * time.Duration(d.cfg.Stretch)
		length = most - time.Duration(float64(most-least)*math.Log(float64(c+1))/math.Log(float64(k+1)))
	}
	return m.since + length
}

// lastMost is how many last questions a suspect is asked by each that holds it for one, before its time is up: that it lives may have been
// told to all others. With 30 % of the messages lost, one suspicion in 200 is left of those that news did not end.
const lastMost = 8

// lastFrom is when the last questions to a suspect begin.
func (d *Detect) lastFrom(m *member) time.Duration {
	if m.last > 0 { // they have begun
		return d.now
	}
	return max(d.deadline(m)-lastMost*d.cfg.AnswerWithin, d.calm)
}

// accuse counts one more accuser of a suspect.
func (d *Detect) accuse(m *member, by string) {
	if by == "" || by == m.Name || slices.Contains(m.accusers, by) || len(m.accusers) > d.cfg.Accusers {
		return
	}
	m.accusers = append(m.accusers, by)
	m.By = by
	if m.last == 0 { // else it is being asked for the last time
		d.arm(m)
	}
	d.pass(m)
}

// suspect has this process accuse one that does not answer.
func (d *Detect) suspect(m *member, cause string) {
	if m.State == Suspect {
		d.accuse(m, d.self.Name)
		return
	}
	w := m.Word
	w.State, w.By, w.Until = Suspect, d.self.Name, 0
	m.accusers = []string{d.self.Name}
	d.become(m, w, cause)
}

// hearOfDeath works the word of the death of one who is there as far as this process knows. It is believed of one that has been suspect
// for long enough to say that it lives. Else who tells it may have been cut off itself: the one that is told of is asked first.
func (d *Detect) hearOfDeath(m *member, w Word) {
	if m.State == Suspect && m.Inc == w.Inc && float64(d.now-m.since) >= enough*float64(d.least(m)) && d.now >= d.calm {
		d.become(m, w, "others found it dead")
		return
	}
	if m.doubt.Name != "" && Compare(w, m.doubt) <= 0 {
		return
	}
	m.doubt, m.checks = w, 0
	if !m.doubted {
		m.doubted = true
		if d.doubts = append(d.doubts, m); len(d.doubts) == 1 {
			d.doubtAt = d.now
		}
	}
}

// check asks those of whose death was told.
func (d *Detect) check() {
	for range min(doubtsAtOnce, len(d.doubts)) {
		m := d.doubts[0]
		d.doubts = d.doubts[1:]
		m.doubted = false
		if m.doubt.Name == "" || d.members[m.Name] != m || !m.State.there() || Compare(m.Word, m.doubt) > 0 {
			m.doubt = Word{}
			continue
		}
		if m.checks >= checksMost {
			w := m.doubt
			m.doubt = Word{}
			if m.State != Away && d.now >= d.calm {
				w.State, w.By = Suspect, d.self.Name
				if m.State == Suspect && Compare(w, m.Word) <= 0 {
					d.accuse(m, w.By)
				} else {
					m.accusers = []string{w.By}
					d.become(m, w, "others found it dead, and it does not answer")
				}
			}
			continue
		}
		m.checks++
		d.send(m.Addr, Message{Kind: Ask, Seq: d.seqNext(), About: m.ID, News: []Word{m.doubt}}, m)
		m.doubted = true
		d.doubts = append(d.doubts, m)
	}
	d.doubtAt = d.now + doubtEvery
	if n := len(d.doubts); n > 0 && n <= doubtsAtOnce { // each has time to answer
		d.doubtAt = d.now + d.cfg.AnswerWithin
	}
}
