// Bounds of the session table: expiry, and eviction when it is full.
package share

import (
	"container/heap"
	"slices"
	"strings"
	"time"
)

const (
	// maxHold is the longest time that a session may stay with its backend.
	maxHold = 7 * 24 * time.Hour
	// maxStrange is how many bytes of unknown fields, written by later releases, a session may keep.
	maxStrange = 16 << 10
)

// endings is a heap of sessions by the time at which they are dropped.
type endings []*session

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].due < e[j].due }
func (e endings) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].place, e[j].place = i, j
}
func (e *endings) Push(x any) {
	s := x.(*session)
	s.place = len(*e)
	*e = append(*e, s)
}
func (e *endings) Pop() any {
	last := len(*e) - 1
	s := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	s.place = -1
	return s
}

// place moves a session to its position in the heaps after a change of its end or its marks.
func (t *Sessions) place(s *session) {
	marked := uint8(0)
	for i := range s.calls {
		if s.calls[i].state() == MayHaveRun {
			marked = 1
		}
	}
	due := s.forgotten()
	switch {
	case s.place < 0:
	case s.marked != marked:
		heap.Remove(&t.ends[s.marked], s.place)
	case s.due != due:
		s.due = due
		heap.Fix(&t.ends[marked], s.place)
		return
	default:
		return
	}
	s.due, s.marked = due, marked
	heap.Push(&t.ends[marked], s)
}

// forgotten returns when a session is dropped. By then the clocks of all members have passed its end, and late repeats have had
// their time.
func (s *session) forgotten() int64 {
	return s.end() + Skew.Milliseconds() + OldFor.Milliseconds()
}

// Tick drops what has expired. One call a second or so is enough.
func (t *Sessions) Tick(now Now) {
	wall := wallMillis(now)
	for m := range t.ends {
		for len(t.ends[m]) > 0 && t.ends[m][0].due <= wall {
			t.drop(t.ends[m][0])
		}
	}
	for p, until := range t.unsure {
		if now.Own >= until {
			delete(t.unsure, p)
		}
	}
	for p, at := range t.early {
		if now.Own-at >= earlyFor {
			delete(t.early, p)
		}
	}
	for k, p := range t.pending {
		if now.Own-p.since > t.cfg.Wait+time.Minute {
			delete(t.pending, k)
		}
	}
}

// pushOut evicts one session to make room for another one, or for bytes. It takes the one that ends first: an expired one, else
// one without an unexpired mark, else one with such a mark, which is counted. It returns false if except, the session that the
// room is for, is the only one.
func (t *Sessions) pushOut(now Now, except *session) bool {
	wall := wallMillis(now)
	if except != nil {
		heap.Remove(&t.ends[except.marked], except.place)
		defer func() { heap.Push(&t.ends[except.marked], except) }()
	}
	for m := range t.ends {
		if e := t.ends[m]; len(e) > 0 && e[0].end()+Skew.Milliseconds() <= wall {
			t.drop(e[0])
			return true
		}
	}
	for m := range t.ends {
		if e := t.ends[m]; len(e) > 0 {
			if n := e[0].marks(wall); n > 0 {
				t.stats.ForgottenEarly += uint64(n)
			} else {
				t.stats.SessionsPushedOut++
			}
			t.drop(e[0])
			return true
		}
	}
	return false
}

// marks counts the calls that may have run and have not expired.
func (s *session) marks(wall int64) (n int) {
	for i := range s.calls {
		if c := &s.calls[i]; c.state() == MayHaveRun && c.end+Skew.Milliseconds() > wall {
			n++
		}
	}
	return n
}

// pushOutCall evicts a call of a session to make room for another: an expired one, else the one that matters least for
// decisions. Of equals it takes the one that ends first.
func (t *Sessions) pushOutCall(now Now, s *session) bool {
	wall := wallMillis(now)
	worth := func(c *call) int64 {
		switch {
		case c.end+Skew.Milliseconds() <= wall:
			return 0
		case c.state() == NeverRan:
			return 1
		case c.state() == Answered:
			return 2
		}
		return 3
	}
	least := 0
	for i := range s.calls {
		a, b := &s.calls[i], &s.calls[least]
		if w, v := worth(a), worth(b); w < v || w == v && a.end < b.end {
			least = i
		}
	}
	c := &s.calls[least]
	if worth(c) == 3 {
		t.stats.ForgottenEarly++
	}
	t.dropCall(s, c)
	s.calls = slices.Delete(s.calls, least, least+1)
	t.changed(now, s)
	return true
}

// Unacked appends the marks of this instance that some owner has not acknowledged for a second. They are to be sent again.
func (t *Sessions) Unacked(now Now, out []Marked) []Marked {
	from := len(out)
	for k, u := range t.unacked {
		s := t.find(k.key)
		c := t.ownCall(s, k.call)
		if c == nil || c.end <= wallMillis(now) {
			delete(t.unacked, k)
			continue
		}
		if now.Own-u.sent < time.Second {
			continue
		}
		u.sent = now.Own
		var to []string
		for _, o := range t.others(k.key) {
			if !slices.Contains(u.acked, o) {
				to = append(to, o)
			}
		}
		if len(to) > 0 {
			out = append(out, Marked{t.record(s), to, k.call})
		} else if t.ring != nil {
			delete(t.unacked, k)
		}
	}
	slices.SortFunc(out[from:], func(a, b Marked) int { return strings.Compare(a.Record.Key, b.Record.Key) })
	return out
}

// Stats returns the counters for metrics.
func (t *Sessions) Stats() SessionStats { return t.stats }
