package detect

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"
)

// This file has the members: how an update is merged, and the timers of members that are not alive.

// member is the state of one other process.
type member struct {
	Update
	ringIndex  int // index in ring
	timerIndex int // index in timers; -1: no timer
	dueAt      time.Duration

	stateSince    time.Duration // Suspect, Dead, Left: when the state began
	finalProbes   int           // Suspect: number of final probes sent
	accusers      []string      // Suspect
	awayUntil     time.Duration // Away: when the absence ends
	probeWait     time.Duration // Dead: between two probes
	countsForSize bool          // Dead: it counts for SizeChanged
	neverPresent  bool          // it was never present in this view; its end is not passed on
	flaps         int           // recent returns from the dead
	flappedAt     time.Duration

	reportedDeath Update // a reported death that is not verified
	verifyProbes  int    // probes sent to verify it
	isUnverified  bool   // it is in unverified

	broadcast                         queueEntry
	isLinkChecked                     bool // it is in linkChecks
	misses                            int  // consecutive missing answers, while others receive its messages
	missedAt                          time.Duration
	linkNum                           uint32
	isInboundFailed, isOutboundFailed bool
	outboundFailedUntil               time.Duration
}

// flapWindow is how long a return from the dead counts, and maxFlaps the most that count: suspicion lasts 1 + flaps times as
// long.
const flapWindow, maxFlaps = 10 * time.Minute, 2

// currentUpdate returns the update about the member as it is sent now.
func (m *member) currentUpdate(now time.Duration) Update {
	w := m.Update
	if w.State == Away {
		w.Until = max(0, m.awayUntil-now)
	}
	return w
}

// receiveUpdate merges one update. isFromSender: it is the sender's update about itself.
func (d *Detect) receiveUpdate(w Update, isFromSender bool) {
	if !w.isValid() {
		return
	}
	if w.Name == d.self.Name {
		d.receiveSelfUpdate(w)
		return
	}
	m := d.members[w.Name]
	switch {
	case m == nil:
		d.add(w, isFromSender)
	case w.Start > m.Start:
		d.replace(m, w)
	case w.State == Suspect && Compare(w, m.Update) == 0:
		d.addAccuser(m, w.By)
	case Compare(w, m.Update) <= 0:
	case w.State == Dead && m.State.isPresent() && !d.cfg.isPlainSWIM:
		d.receiveDeath(m, w)
	default:
		d.applyUpdate(m, w, isFromSender)
	}
}

// add adds a member that is not known.
func (d *Detect) add(w Update, isFromSender bool) {
	if len(d.members) >= d.cfg.MaxMembers {
		return
	}
	m := &member{Update: Update{ID: w.ID, State: Forgotten}, ringIndex: len(d.ring), timerIndex: -1}
	d.members[w.Name] = m
	d.ring = append(d.ring, m)
	if n := len(d.ring) - d.ringPos; n > 1 { // at a random position among those not yet probed in this turn
		d.swap(m.ringIndex, d.ringPos+d.rng.IntN(n))
	}
	if !w.State.isPresent() { // the end of a forgotten or never seen process
		m.neverPresent = true
		m.Update, m.stateSince = w, d.now
		m.By, m.Until = "", 0
		m.probeWait = initialRetryWait
		d.setTimer(m)
		return
	}
	d.applyUpdate(m, w, isFromSender)
}

func (d *Detect) swap(i, j int) {
	d.ring[i], d.ring[j] = d.ring[j], d.ring[i]
	d.ring[i].ringIndex, d.ring[j].ringIndex = i, j
}

// replace merges an update of a later process with the member's name.
func (d *Detect) replace(m *member, w Update) {
	d.clearLinks(m)
	m.accusers = nil
	if m.neverPresent && !w.State.isPresent() {
		m.Update, m.stateSince = w, d.now
		d.setTimer(m)
		return
	}
	old := m.State
	d.transition(m, w, "a later process has its name")
	if old == m.State {
		d.reportChange(m, old, "a later process has its name")
	}
}

// applyUpdate applies an update that holds over the stored one.
func (d *Detect) applyUpdate(m *member, w Update, isFromSender bool) {
	cause := "another member reported it"
	switch {
	case isFromSender:
		cause = "the process announced it"
	case w.State == Suspect:
		cause = "suspected by " + w.By
	case m.State == Suspect || m.State == Dead:
		cause = "the process refuted the suspicion or death"
	}
	if m.State == Suspect && w.State <= Away && slices.Contains(m.accusers, d.self.Name) {
		d.worsenHealth(1) // this process's accusation was wrong
	}
	accusers := []string{}
	if w.State == Suspect {
		if w.By != "" {
			accusers = append(accusers, w.By)
		}
		if m.State == Suspect {
			cause = ""
		}
	}
	m.accusers = accusers
	d.transition(m, w, cause)
}

// transition stores an update, with all that follows from its state.
func (d *Detect) transition(m *member, w Update, cause string) {
	old := m.State
	if old == Dead && w.State <= Away {
		if m.neverPresent {
			old = Forgotten
		} else {
			if d.now-m.flappedAt > flapWindow {
				m.flaps = 0
			}
			m.flaps, m.flappedAt = min(maxFlaps, m.flaps+1), d.now
		}
		d.exchangeSoon(m)
	}
	if old.isPresent() {
		d.presentCount--
	}
	if m.countsForSize {
		d.recentDeadCount--
		m.countsForSize = false
	}
	m.Update = w
	m.neverPresent = false
	if w.State.isPresent() {
		d.presentCount++
	}
	if w.State == Dead {
		d.recentDeadCount++
		m.countsForSize = true
	}
	if w.State != old || w.State == Suspect {
		m.stateSince, m.finalProbes = d.now, 0
	}
	m.awayUntil = d.now + min(max(0, w.Until), d.cfg.MaxAway)
	m.probeWait = initialRetryWait
	m.reportedDeath = Update{}
	d.setTimer(m)
	d.broadcast(m)
	if w.State != old {
		d.reportChange(m, old, cause)
	}
}

func (d *Detect) reportChange(m *member, old State, cause string) {
	d.act(Action{Kind: Changed, Update: m.currentUpdate(d.now), Old: old, Cause: cause})
}

// setTimer sets the timer of a member by its state.
func (d *Detect) setTimer(m *member) {
	if m.State == Alive {
		if m.timerIndex >= 0 {
			heap.Remove(&d.timers, m.timerIndex)
		}
		return
	}
	switch m.State {
	case Suspect:
		m.dueAt = d.finalProbesAt(m)
	case Away:
		m.dueAt = m.awayUntil
	case Dead, Left:
		m.dueAt = m.stateSince + d.cfg.ForgetAfter
		if m.countsForSize {
			m.dueAt = min(m.dueAt, m.stateSince+d.cfg.SizeGrace)
		}
		if m.State == Dead {
			m.dueAt = min(m.dueAt, d.now+d.jitter(m.probeWait))
		}
	}
	if m.timerIndex >= 0 {
		heap.Fix(&d.timers, m.timerIndex)
	} else {
		heap.Push(&d.timers, m)
	}
}

// timerExpired handles the expired timer of a member.
func (d *Detect) timerExpired(m *member) {
	switch m.State {
	case Suspect:
		if m.dueAt = d.finalProbesAt(m); m.dueAt <= d.now && m.finalProbes < maxFinalProbes && !d.cfg.isPlainSWIM {
			m.finalProbes++
			m.dueAt = d.now + d.cfg.ProbeTimeout
			d.send(m.Addr, Message{Kind: Ask, Seq: d.nextSeq(), About: m.ID}, m)
		} else if m.dueAt <= d.now {
			m.dueAt = d.suspicionDeadline(m)
		}
		if m.dueAt > d.now {
			heap.Fix(&d.timers, m.timerIndex)
			return
		}
		w := m.Update
		w.State, w.By = Dead, ""
		d.transition(m, w, fmt.Sprintf("suspected by %d for %s without a refutation", len(m.accusers),
			(d.now-m.stateSince).Round(100*time.Millisecond)))
	case Away:
		d.suspect(m, "it did not return within the announced time")
	default:
		switch {
		case d.now >= m.stateSince+d.cfg.ForgetAfter:
			d.forget(m, "the retention time after its end has passed")
			return
		case m.countsForSize && d.now >= m.stateSince+d.cfg.SizeGrace:
			m.countsForSize = false
			d.recentDeadCount--
		case m.State == Dead:
			if d.nextDeadProbeAt > d.now {
				m.dueAt = d.nextDeadProbeAt + d.randomDuration(d.cfg.ProbeInterval)
				heap.Fix(&d.timers, m.timerIndex)
				return
			}
			if d.self.State != Left && !d.cfg.isPlainSWIM {
				d.nextDeadProbeAt = d.now + d.cfg.ProbeInterval/2
				d.unanswered++
				d.send(m.Addr, Message{Kind: Ask, Seq: d.nextSeq(), About: m.ID}, m)
			}
			m.probeWait = min(2*m.probeWait, d.cfg.MaxDeadProbeInterval)
		}
		d.setTimer(m)
	}
}

// forget removes a process and all state about it.
func (d *Detect) forget(m *member, cause string) {
	if m.State.isPresent() {
		d.presentCount--
	}
	if m.countsForSize {
		d.recentDeadCount--
	}
	if m.timerIndex >= 0 {
		heap.Remove(&d.timers, m.timerIndex)
	}
	d.broadcasts.drop(m)
	d.clearLinks(m)
	last := len(d.ring) - 1
	d.swap(m.ringIndex, last)
	d.ring = d.ring[:last]
	d.ringPos = min(d.ringPos, last)
	delete(d.members, m.Name)
	if old := m.State; !m.neverPresent {
		m.State = Forgotten
		d.reportChange(m, old, cause)
	}
	m.reportedDeath = Update{}
}

// receiveSelfUpdate processes an update about this process's own name.
func (d *Detect) receiveSelfUpdate(w Update) {
	switch {
	case w.Start > d.self.Start:
		hasEnded := w.State == Dead || w.State == Left
		switch {
		case w.Start == math.MaxUint64 || w.State == Suspect && d.hasFullState: // not known yet whether that process is alive
		case !d.hasFullState || hasEnded:
			// A process from before this one began, or one that has ended: its clock was ahead.
			d.self.Start, d.self.Inc = w.Start+1, 0
			d.act(Action{Kind: Renamed, By: d.self.ID})
		default:
			d.isSuperseded = true
			d.act(Action{Kind: Superseded, By: w.ID})
		}
	case w.Start < d.self.Start || Compare(w, d.self) <= 0 || w.Inc == math.MaxUint32 || d.self.State == Left:
	default: // it is suspected or reported dead: a higher incarnation refutes that
		d.self.Inc = w.Inc + 1
		d.worsenHealth(1)
	}
	if w.Start == d.self.Start && w.State == Dead {
		d.receiveOwnDeath()
	}
}

// timerHeap is a heap of members by due time.
type timerHeap []*member

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].dueAt < t[j].dueAt }
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timerIndex, t[j].timerIndex = i, j
}
func (t *timerHeap) Push(x any) {
	m := x.(*member)
	m.timerIndex = len(*t)
	*t = append(*t, m)
}
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	m := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	m.timerIndex = -1
	return m
}
