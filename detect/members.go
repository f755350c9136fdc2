package detect

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"
)

// This file has the members: how a word is taken in, and what becomes due of those who are not alive.

// member is what is known of one other process.
type member struct {
	Word
	place int // in ring
	timer int // in timed; -1: in none
	due   time.Duration

	since    time.Duration // Suspect, Dead, Left: since when
	last     int           // Suspect: last questions that it was asked
	accusers []string      // Suspect
	back     time.Duration // Away: until when
	wait     time.Duration // Dead: between two questions
	recent   bool          // Dead: it counts for Sized
	silent   bool          // it was never known to be there: its end is not passed on
	flaps    int           // times that it came back from the dead lately
	flapAt   time.Duration

	doubt   Word // a death of it that was told
	checks  int  // how often it was asked for that
	doubted bool // in doubts

	news          entry
	probed        bool // in probes
	misses        int  // of its own answers, while others heard it
	missAt        time.Duration
	num           uint32
	unheard, deaf bool
	deafUntil     time.Duration
}

// flapFor is how long a return from the dead is remembered, and flapsMost the most that count: suspicion lasts 1 + flaps times as long.
const flapFor, flapsMost = 10 * time.Minute, 2

// told is the word as it is passed on now.
func (m *member) told(now time.Duration) Word {
	w := m.Word
	if w.State == Away {
		w.Until = max(0, m.back-now)
	}
	return w
}

// take takes in one word. first: it is of its sender.
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

// add takes in one that is not known.
func (d *Detect) add(w Word, first bool) {
	if len(d.members) >= d.cfg.MembersMost {
		return
	}
	m := &member{Word: Word{ID: w.ID, State: Forgotten}, place: len(d.ring), timer: -1}
	d.members[w.Name] = m
	d.ring = append(d.ring, m)
	if n := len(d.ring) - d.pos; n > 1 { // at a random place of what is still to be asked in this turn
		d.swap(m.place, d.pos+d.rng.IntN(n))
	}
	if !w.State.there() { // it is the end of one that is forgotten, or was never met
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

// replace takes in a later process of the name.
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

// set takes in a word that holds over what is known.
func (d *Detect) set(m *member, w Word, first bool) {
	cause := "it was told of"
	switch {
	case first:
		cause = "it said so"
	case w.State == Suspect:
		cause = "suspected by " + w.By
	case m.State == Suspect || m.State == Dead:
		cause = "it says that it lives"
	}
	if m.State == Suspect && w.State <= Away && slices.Contains(m.accusers, d.self.Name) {
		d.worse(1) // the accuser was wrong
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

// become gives a member a word, with all that follows from its state.
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

// arm sets the timer of a member by its state.
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

// timeUp works the timer of a member.
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
		d.become(m, w, fmt.Sprintf("suspected by %d for %s, and it did not say that it lives", len(m.accusers),
			(d.now-m.since).Round(100*time.Millisecond)))
	case Away:
		d.suspect(m, "it is not back within the time that it said")
	default:
		switch {
		case d.now >= m.since+d.cfg.ForgetAfter:
			d.forget(m, "its end is long ago")
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

// forget drops all that is known of a process.
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

// ofSelf works a word of this process's own name.
func (d *Detect) ofSelf(w Word) {
	switch {
	case w.Start > d.self.Start:
		ended := w.State == Dead || w.State == Left
		switch {
		case w.Start == math.MaxUint64 || w.State == Suspect && d.pulled: // whether that one lives is not known yet
		case !d.pulled || ended:
			// A process that was there before this one began, or has ended: its clock was ahead.
			d.self.Start, d.self.Inc = w.Start+1, 0
			d.act(Action{Kind: Renamed, By: d.self.ID})
		default:
			d.over = true
			d.act(Action{Kind: Superseded, By: w.ID})
		}
	case w.Start < d.self.Start || Compare(w, d.self) <= 0 || w.Inc == math.MaxUint32 || d.self.State == Left:
	default: // it is suspected, or dead: it lives
		d.self.Inc = w.Inc + 1
		d.worse(1)
	}
	if w.Start == d.self.Start && w.State == Dead {
		d.heldDead()
	}
}

// timers is a heap by due.
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
