package detect

import (
	"math"
	"slices"
	"time"
)

// This file has suspicion: how long it lasts, who accuses, and the verification of deaths that others report.

const (
	// minSuspicionShare is the share of the minimum suspicion that must have passed here before a reported death is accepted.
	enough = 0.75
	// verifyInterval and maxVerifyPerRound limit the probes that verify reported deaths to 40 a second; maxVerifyProbes is the
	// number for each member.
	doubtEvery, doubtsAtOnce, checksMost = 100 * time.Millisecond, 4, 3
)

// minSuspicion returns the shortest suspicion timeout of a member.
func (d *Detect) least(m *member) time.Duration {
	flaps := m.flaps
	if d.now-m.flapAt > flapFor {
		flaps = 0
	}
	return time.Duration(float64(d.cfg.Suspicion)*d.logs()) * time.Duration(1+flaps)
}

// suspicionDeadline returns when a suspicion ends in death: MaxSuspicionFactor times the minimum with one accuser. Each further
// accuser shortens it, the first the most (Lifeguard, 4.2).
func (d *Detect) deadline(m *member) time.Duration {
	least := d.least(m)
	k := min(d.cfg.Accusers, d.there-1) // this process may be an accuser, the suspect is none
	length := least
	if c := max(0, len(m.accusers)-1); k > 0 && c < k {
		most := least * time.Duration(d.cfg.Stretch)
		length = most - time.Duration(float64(most-least)*math.Log(float64(c+1))/math.Log(float64(k+1)))
	}
	return m.since + length
}

// maxFinalProbes is how many final probes each member that suspects a process sends it before the timeout. The process may have
// refuted the suspicion to all others. With 30 % message loss, one suspicion in 200 remains of those that gossip did not end.
const lastMost = 8

// finalProbesAt returns when the final probes of a suspect begin.
func (d *Detect) lastFrom(m *member) time.Duration {
	if m.last > 0 { // they have begun
		return d.now
	}
	return max(d.deadline(m)-lastMost*d.cfg.AnswerWithin, d.calm)
}

// addAccuser counts one more accuser of a suspect.
func (d *Detect) accuse(m *member, by string) {
	if by == "" || by == m.Name || slices.Contains(m.accusers, by) || len(m.accusers) > d.cfg.Accusers {
		return
	}
	m.accusers = append(m.accusers, by)
	m.By = by
	if m.last == 0 { // otherwise the final probes have begun
		d.arm(m)
	}
	d.pass(m)
}

// suspect makes this process an accuser of a member that doesn't answer.
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

// receiveDeath processes a reported death of a member that is present in this view. It accepts the death of a member that has
// been suspect long enough to refute it. Otherwise the reporter may have been cut off itself, so the member is probed first.
func (d *Detect) hearOfDeath(m *member, w Word) {
	if m.State == Suspect && m.Inc == w.Inc && float64(d.now-m.since) >= enough*float64(d.least(m)) && d.now >= d.calm {
		d.become(m, w, "others reported its death")
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

// verifyDeaths probes the members whose death was reported.
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
					d.become(m, w, "others reported its death, and it does not answer")
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
	if n := len(d.doubts); n > 0 && n <= doubtsAtOnce { // leaves each one time to answer
		d.doubtAt = d.now + d.cfg.AnswerWithin
	}
}
