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
	Word
	place int // index in ring
	timer int // index in timers; -1: no timer
	due   time.Duration

	since    time.Duration // Suspect, Dead, Left: when the state began
	last     int           // Suspect: number of final probes sent
	accusers []string      // Suspect
	back     time.Duration // Away: when the absence ends
	wait     time.Duration // Dead: between two probes
	recent   bool          // Dead: it counts for Sized
	silent   bool          // it was never present in this view; its end is not passed on
	flaps    int           // recent returns from the dead
	flapAt   time.Duration

	doubt   Word // a reported death that is not verified
	checks  int  // probes sent to verify it
	doubted bool // it is in unverified

	news          entry
	probed        bool // it is in linkChecks
	misses        int  // consecutive missing answers, while others receive its messages
	missAt        time.Duration
	num           uint32
	unheard, deaf bool
	deafUntil     time.Duration
}

// flapWindow is how long a return from the dead counts, and maxFlaps the most that count: suspicion lasts 1 + flaps times as
// long.
const flapFor, flapsMost = 10 * time.Minute, 2

// currentWord returns the update about the member as it is sent now.
func (m *member) told(now time.Duration) Word {
	w := m.Word
	if w.State == Away {
		w.Until = max(0, m.back-now)
	}
	return w
}

// receiveWord merges one update. first: it is the sender's update about itself.
func (d *Detect) take(w Word, first bool) {
	if !w.sound() {
		return
	}
	if w.Name == d.self.Name {
		d.ofSelf(w)
		return
	}
	m := d.members[w.Name]
	switch {
	case m == nil:
		d.add(w, first)
	case w.Start > m.Start:
		d.replace(m, w)
	case w.State == Suspect && Compare(w, m.Word) == 0:
		d.accuse(m, w.By)
	case Compare(w, m.Word) <= 0:
	case w.State == Dead && m.State.there() && !d.cfg.plain:
		d.hearOfDeath(m, w)
	default:
		d.set(m, w, first)
	}
}

// add adds a member that is not known.
func (d *Detect) add(w Word, first bool) {
	if len(d.members) >= d.cfg.MembersMost {
		return
	}
	m := &member{Word: Word{ID: w.ID, State: Forgotten}, place: len(d.ring), timer: -1}
	d.members[w.Name] = m
	d.ring = append(d.ring, m)
	if n := len(d.ring) - d.pos; n > 1 { // at a random position among those not yet probed in this turn
		d.swap(m.place, d.pos+d.rng.IntN(n))
	}
	if !w.State.there() { // the end of a forgotten or never seen process
		m.silent = true
		m.Word, m.since = w, d.now
		m.By, m.Until = "", 0
		m.wait = retry
		d.arm(m)
		return
	}
	d.set(m, w, first)
}

func (d *Detect) swap(i, j int) {
	d.ring[i], d.ring[j] = d.ring[j], d.ring[i]
	d.ring[i].place, d.ring[j].place = i, j
}

// replace merges an update of a later process with the member's name.
func (d *Detect) replace(m *member, w Word) {
	d.unlink(m)
	m.accusers = nil
	if m.silent && !w.State.there() {
		m.Word, m.since = w, d.now
		d.arm(m)
		return
	}
	old := m.State
	d.become(m, w, "a later process has its name")
	if old == m.State {
		d.changed(m, old, "a later process has its name")
	}
}

// applyWord applies an update that holds over the stored one.
func (d *Detect) set(m *member, w Word, first bool) {
	cause := "another member reported it"
	switch {
	case first:
		cause = "the process announced it"
	case w.State == Suspect:
		cause = "suspected by " + w.By
	case m.State == Suspect || m.State == Dead:
		cause = "the process refuted the suspicion or death"
	}
	if m.State == Suspect && w.State <= Away && slices.Contains(m.accusers, d.self.Name) {
		d.worse(1) // this process's accusation was wrong
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
	d.become(m, w, cause)
}

// transition stores an update, with all that follows from its state.
func (d *Detect) become(m *member, w Word, cause string) {
	old := m.State
	if old == Dead && w.State <= Away {
		if m.silent {
			old = Forgotten
		} else {
			if d.now-m.flapAt > flapFor {
				m.flaps = 0
			}
			m.flaps, m.flapAt = min(flapsMost, m.flaps+1), d.now
		}
		d.exchangeSoon(m)
	}
	if old.there() {
		d.there--
	}
	if m.recent {
		d.recent--
		m.recent = false
	}
	m.Word = w
	m.silent = false
	if w.State.there() {
		d.there++
	}
	if w.State == Dead {
		d.recent++
		m.recent = true
	}
	if w.State != old || w.State == Suspect {
		m.since, m.last = d.now, 0
	}
	m.back = d.now + min(max(0, w.Until), d.cfg.AwayMost)
	m.wait = retry
	m.doubt = Word{}
	d.arm(m)
	d.pass(m)
	if w.State != old {
		d.changed(m, old, cause)
	}
}

func (d *Detect) changed(m *member, old State, cause string) {
	d.act(Action{Kind: Changed, Word: m.told(d.now), Old: old, Cause: cause})
}

// setTimer sets the timer of a member by its state.
func (d *Detect) arm(m *member) {
	if m.State == Alive {
		if m.timer >= 0 {
			heap.Remove(&d.timed, m.timer)
		}
		return
	}
	switch m.State {
	case Suspect:
		m.due = d.lastFrom(m)
	case Away:
		m.due = m.back
	case Dead, Left:
		m.due = m.since + d.cfg.ForgetAfter
		if m.recent {
			m.due = min(m.due, m.since+d.cfg.SizedFor)
		}
		if m.State == Dead {
			m.due = min(m.due, d.now+d.about(m.wait))
		}
	}
	if m.timer >= 0 {
		heap.Fix(&d.timed, m.timer)
	} else {
		heap.Push(&d.timed, m)
	}
}

// timerExpired handles the expired timer of a member.
func (d *Detect) timeUp(m *member) {
	switch m.State {
	case Suspect:
		if m.due = d.lastFrom(m); m.due <= d.now && m.last < lastMost && !d.cfg.plain {
			m.last++
			m.due = d.now + d.cfg.AnswerWithin
			d.send(m.Addr, Message{Kind: Ask, Seq: d.seqNext(), About: m.ID}, m)
		} else if m.due <= d.now {
			m.due = d.deadline(m)
		}
		if m.due > d.now {
			heap.Fix(&d.timed, m.timer)
			return
		}
		w := m.Word
		w.State, w.By = Dead, ""
		d.become(m, w, fmt.Sprintf("suspected by %d for %s without a refutation", len(m.accusers),
			(d.now-m.since).Round(100*time.Millisecond)))
	case Away:
		d.suspect(m, "it did not return within the announced time")
	default:
		switch {
		case d.now >= m.since+d.cfg.ForgetAfter:
			d.forget(m, "the retention time after its end has passed")
			return
		case m.recent && d.now >= m.since+d.cfg.SizedFor:
			m.recent = false
			d.recent--
		case m.State == Dead:
			if d.deadAt > d.now {
				m.due = d.deadAt + d.chance(d.cfg.Every)
				heap.Fix(&d.timed, m.timer)
				return
			}
			if d.self.State != Left && !d.cfg.plain {
				d.deadAt = d.now + d.cfg.Every/2
				d.tries++
				d.send(m.Addr, Message{Kind: Ask, Seq: d.seqNext(), About: m.ID}, m)
			}
			m.wait = min(2*m.wait, d.cfg.DeadMost)
		}
		d.arm(m)
	}
}

// forget removes a process and all state about it.
func (d *Detect) forget(m *member, cause string) {
	if m.State.there() {
		d.there--
	}
	if m.recent {
		d.recent--
	}
	if m.timer >= 0 {
		heap.Remove(&d.timed, m.timer)
	}
	d.news.drop(m)
	d.unlink(m)
	last := len(d.ring) - 1
	d.swap(m.place, last)
	d.ring = d.ring[:last]
	d.pos = min(d.pos, last)
	delete(d.members, m.Name)
	if old := m.State; !m.silent {
		m.State = Forgotten
		d.changed(m, old, cause)
	}
	m.doubt = Word{}
}

// receiveSelfWord processes an update about this process's own name.
func (d *Detect) ofSelf(w Word) {
	switch {
	case w.Start > d.self.Start:
		ended := w.State == Dead || w.State == Left
		switch {
		case w.Start == math.MaxUint64 || w.State == Suspect && d.pulled: // not known yet whether that process is alive
		case !d.pulled || ended:
			// A process from before this one began, or one that has ended: its clock was ahead.
			d.self.Start, d.self.Inc = w.Start+1, 0
			d.act(Action{Kind: Renamed, By: d.self.ID})
		default:
			d.over = true
			d.act(Action{Kind: Superseded, By: w.ID})
		}
	case w.Start < d.self.Start || Compare(w, d.self) <= 0 || w.Inc == math.MaxUint32 || d.self.State == Left:
	default: // it is suspected or reported dead: a higher incarnation refutes that
		d.self.Inc = w.Inc + 1
		d.worse(1)
	}
	if w.Start == d.self.Start && w.State == Dead {
		d.heldDead()
	}
}

// timerHeap is a heap of members by due time.
type timers []*member

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timer, t[j].timer = i, j
}
func (t *timers) Push(x any) {
	m := x.(*member)
	m.timer = len(*t)
	*t = append(*t, m)
}
func (t *timers) Pop() any {
	last := len(*t) - 1
	m := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	m.timer = -1
	return m
}
