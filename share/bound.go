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
	// maxUnknownBytes is how many bytes of unknown fields, written by later releases, a session may keep.
	maxUnknownBytes = 16 << 10
)

// dropHeap is a heap of sessions by the time at which they are dropped.
type dropHeap []*session

func (e dropHeap) Len() int           { return len(e) }
func (e dropHeap) Less(i, j int) bool { return e[i].dropAt < e[j].dropAt }
func (e dropHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}
func (e *dropHeap) Push(x any) {
	s := x.(*session)
	s.heapIndex = len(*e)
	*e = append(*e, s)
}
func (e *dropHeap) Pop() any {
	last := len(*e) - 1
	s := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	s.heapIndex = -1
	return s
}

// reposition moves a session to its position in the heaps after a change of its end or its marks.
func (t *Sessions) reposition(s *session) {
	marked := uint8(0)
	for i := range s.calls {
		if s.calls[i].state() == MayHaveRun {
			marked = 1
		}
	}
	due := s.dropTime()
	switch {
	case s.heapIndex < 0:
	case s.marked != marked:
		heap.Remove(&t.dropHeaps[s.marked], s.heapIndex)
	case s.dropAt != due:
		s.dropAt = due
		heap.Fix(&t.dropHeaps[marked], s.heapIndex)
		return
	default:
		return
	}
	s.dropAt, s.marked = due, marked
	heap.Push(&t.dropHeaps[marked], s)
}

// dropTime returns when a session is dropped. By then the clocks of all members have passed its end, and late repeats have had
// their time.
func (s *session) dropTime() int64 {
	return s.end() + Skew.Milliseconds() + LateRepeatWindow.Milliseconds()
}

// Tick drops what has expired. One call a second or so is enough.
func (t *Sessions) Tick(now Now) {
	wall := wallMillis(now)
	for m := range t.dropHeaps {
		for len(t.dropHeaps[m]) > 0 && t.dropHeaps[m][0].dropAt <= wall {
			t.drop(t.dropHeaps[m][0])
		}
	}
	for p, until := range t.unsureUntil {
		if now.Own >= until {
			delete(t.unsureUntil, p)
		}
	}
	for p, at := range t.earlyParts {
		if now.Own-at >= earlyPartWindow {
			delete(t.earlyParts, p)
		}
	}
	for k, p := range t.pending {
		if now.Own-p.since > t.cfg.Wait+time.Minute {
			delete(t.pending, k)
		}
	}
}

// evict evicts one session to make room for another one, or for bytes. It takes the one that ends first: an expired one, else
// one without an unexpired mark, else one with such a mark, which is counted. It returns false if except, the session that the
// room is for, is the only one.
func (t *Sessions) evict(now Now, except *session) bool {
	wall := wallMillis(now)
	if except != nil {
		heap.Remove(&t.dropHeaps[except.marked], except.heapIndex)
		defer func() { heap.Push(&t.dropHeaps[except.marked], except) }()
	}
	for m := range t.dropHeaps {
		if e := t.dropHeaps[m]; len(e) > 0 && e[0].end()+Skew.Milliseconds() <= wall {
			t.drop(e[0])
			return true
		}
	}
	for m := range t.dropHeaps {
		if e := t.dropHeaps[m]; len(e) > 0 {
			if n := e[0].activeMarks(wall); n > 0 {
				t.stats.MarksEvictedEarly += uint64(n)
			} else {
				t.stats.SessionsEvictedEarly++
			}
			t.drop(e[0])
			return true
		}
	}
	return false
}

// activeMarks counts the calls that may have run and have not expired.
func (s *session) activeMarks(wall int64) (n int) {
	for i := range s.calls {
		if c := &s.calls[i]; c.state() == MayHaveRun && c.end+Skew.Milliseconds() > wall {
			n++
		}
	}
	return n
}

// evictCall evicts a call of a session to make room for another: an expired one, else the one that matters least for
// decisions. Of equals it takes the one that ends first.
func (t *Sessions) evictCall(now Now, s *session) bool {
	wall := wallMillis(now)
	severity := func(c *call) int64 {
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
	lowest := 0
	for i := range s.calls {
		a, b := &s.calls[i], &s.calls[lowest]
		if w, v := severity(a), severity(b); w < v || w == v && a.end < b.end {
			lowest = i
		}
	}
	c := &s.calls[lowest]
	if severity(c) == 3 {
		t.stats.MarksEvictedEarly++
	}
	t.dropCall(s, c)
	s.calls = slices.Delete(s.calls, lowest, lowest+1)
	t.refresh(now, s)
	return true
}

// Unacked appends the marks of this instance that some owner has not acknowledged for a second. They are to be sent again.
func (t *Sessions) Unacked(now Now, out []OutgoingRecord) []OutgoingRecord {
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
		for _, o := range t.otherOwners(k.key) {
			if !slices.Contains(u.acked, o) {
				to = append(to, o)
			}
		}
		if len(to) > 0 {
			out = append(out, OutgoingRecord{t.record(s), to, k.call})
		} else if t.ring != nil {
			delete(t.unacked, k)
		}
	}
	slices.SortFunc(out[from:], func(a, b OutgoingRecord) int { return strings.Compare(a.Record.Key, b.Record.Key) })
	return out
}

// Stats returns the counters for metrics.
func (t *Sessions) Stats() SessionStats { return t.stats }
