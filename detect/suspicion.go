package detect

import (
	"math"
	"slices"
	"time"
)

// This file has suspicion: how long it lasts, who accuses, and the verification of deaths that others report.

const (
	// minSuspicionShare is the share of the minimum suspicion that must have passed here before a reported death is accepted.
	minSuspicionShare = 0.75
	// verifyInterval and maxVerifyPerRound limit the probes that verify reported deaths to 40 a second; maxVerifyProbes is the
	// number for each member.
	verifyInterval, maxVerifyPerRound, maxVerifyProbes = 100 * time.Millisecond, 4, 3
)

// minSuspicion returns the shortest suspicion timeout of a member.
func (d *Detect) minSuspicion(m *member) time.Duration {
	flaps := m.flaps
	if d.now-m.flappedAt > flapWindow {
		flaps = 0
	}
	return time.Duration(float64(d.cfg.MinSuspicionTimeout)*d.logMembers()) * time.Duration(1+flaps)
}

// suspicionDeadline returns when a suspicion ends in death: MaxSuspicionFactor times the minimum with one accuser. Each further
// accuser shortens it, the first the most (Lifeguard, 4.2).
func (d *Detect) suspicionDeadline(m *member) time.Duration {
	least := d.minSuspicion(m)
	k := min(d.cfg.SuspicionAccusers, d.presentCount-1) // this process may be an accuser, the suspect is none
	length := least
	if c := max(0, len(m.accusers)-1); k > 0 && c < k {
		most := least * time.Duration(d.cfg.MaxSuspicionFactor)
		length = most - time.Duration(float64(most-least)*math.Log(float64(c+1))/math.Log(float64(k+1)))
	}
	return m.stateSince + length
}

// maxFinalProbes is how many final probes each member that suspects a process sends it before the timeout. The process may have
// refuted the suspicion to all others. With 30 % message loss, one suspicion in 200 remains of those that gossip did not end.
const maxFinalProbes = 8

// finalProbesAt returns when the final probes of a suspect begin.
func (d *Detect) finalProbesAt(m *member) time.Duration {
	if m.finalProbes > 0 { // they have begun
		return d.now
	}
	return max(d.suspicionDeadline(m)-maxFinalProbes*d.cfg.ProbeTimeout, d.noSuspicionUntil)
}

// addAccuser counts one more accuser of a suspect.
func (d *Detect) addAccuser(m *member, by string) {
	if by == "" || by == m.Name || slices.Contains(m.accusers, by) || len(m.accusers) > d.cfg.SuspicionAccusers {
		return
	}
	m.accusers = append(m.accusers, by)
	m.By = by
	if m.finalProbes == 0 { // otherwise the final probes have begun
		d.setTimer(m)
	}
	d.broadcast(m)
}

// suspect makes this process an accuser of a member that doesn't answer.
func (d *Detect) suspect(m *member, cause string) {
	if m.State == Suspect {
		d.addAccuser(m, d.self.Name)
		return
	}
	w := m.Update
	w.State, w.By, w.Until = Suspect, d.self.Name, 0
	m.accusers = []string{d.self.Name}
	d.transition(m, w, cause)
}

// receiveDeath processes a reported death of a member that is present in this view. It accepts the death of a member that has
// been suspect long enough to refute it. Otherwise the reporter may have been cut off itself, so the member is probed first.
func (d *Detect) receiveDeath(m *member, w Update) {
	if m.State == Suspect && m.Inc == w.Inc &&
		float64(d.now-m.stateSince) >= minSuspicionShare*float64(d.minSuspicion(m)) && d.now >= d.noSuspicionUntil {
		d.transition(m, w, "others reported its death")
		return
	}
	if m.reportedDeath.Name != "" && Compare(w, m.reportedDeath) <= 0 {
		return
	}
	m.reportedDeath, m.verifyProbes = w, 0
	if !m.isUnverified {
		m.isUnverified = true
		if d.unverified = append(d.unverified, m); len(d.unverified) == 1 {
			d.nextVerifyAt = d.now
		}
	}
}

// verifyDeaths probes the members whose death was reported.
func (d *Detect) verifyDeaths() {
	for range min(maxVerifyPerRound, len(d.unverified)) {
		m := d.unverified[0]
		d.unverified = d.unverified[1:]
		m.isUnverified = false
		if m.reportedDeath.Name == "" || d.members[m.Name] != m || !m.State.isPresent() || Compare(m.Update, m.reportedDeath) > 0 {
			m.reportedDeath = Update{}
			continue
		}
		if m.verifyProbes >= maxVerifyProbes {
			w := m.reportedDeath
			m.reportedDeath = Update{}
			if m.State != Away && d.now >= d.noSuspicionUntil {
				w.State, w.By = Suspect, d.self.Name
				if m.State == Suspect && Compare(w, m.Update) <= 0 {
					d.addAccuser(m, w.By)
				} else {
					m.accusers = []string{w.By}
					d.transition(m, w, "others reported its death, and it does not answer")
				}
			}
			continue
		}
		m.verifyProbes++
		d.send(m.Addr, Message{Kind: Ask, Seq: d.nextSeq(), About: m.ID, Updates: []Update{m.reportedDeath}}, m)
		m.isUnverified = true
		d.unverified = append(d.unverified, m)
	}
	d.nextVerifyAt = d.now + verifyInterval
	if n := len(d.unverified); n > 0 && n <= maxVerifyPerRound { // leaves each one time to answer
		d.nextVerifyAt = d.now + d.cfg.ProbeTimeout
	}
}
