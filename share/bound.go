// Bounds of the session table: expiry, and eviction when it is full.
package share

import (
	"cmp"
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

// reposition moves a session to its position in the heaps after a change of what it holds.
func (t *Sessions) reposition(s *session) {
	kind, due := uint8(withoutCalls), s.dropTime()
	if len(s.calls) > 0 {
		kind = withCalls
	}
	switch {
	case s.heapIndex < 0:
	case s.kind != kind:
		heap.Remove(&t.dropHeaps[s.kind], s.heapIndex)
	case s.dropAt != due:
		s.dropAt = due
		heap.Fix(&t.dropHeaps[kind], s.heapIndex)
		return
	default:
		return
	}
	s.dropAt, s.kind = due, kind
	heap.Push(&t.dropHeaps[kind], s)
}

// dropTime returns when something of a session may be dropped: its first call that ends, or without calls the session. By then the clocks
// of all members have passed that end, and late repeats have had their time.
func (s *session) dropTime() int64 {
	first := s.bindingEnd()
	if len(s.calls) > 0 {
		first = s.firstEnd
	}
	return first + Skew.Milliseconds() + LateRepeatWindow.Milliseconds()
}

// Tick drops what has expired. One call a second or so is enough.
func (t *Sessions) Tick(now Now) {
	wall := wallMillis(now)
	keep := LateRepeatWindow
	if t.cfg.Memory.IsFull(now) {
		keep = 0
	}
	for kind := range t.dropHeaps {
		for len(t.dropHeaps[kind]) > 0 && t.dropHeaps[kind][0].dropAt-(LateRepeatWindow-keep).Milliseconds() <= wall {
			t.expire(now, t.dropHeaps[kind][0], keep)
		}
	}
	for p, until := range t.lacking {
		if now.Own >= until {
			delete(t.lacking, p)
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

// Unacked appends the marks of this instance that some owner has not acknowledged for a second. They are to be sent again.
func (t *Sessions) Unacked(now Now, out []OutgoingRecord) []OutgoingRecord {
	from := len(out)
	for k, u := range t.unacked {
		s := t.find(k.key)
		c := t.ownCall(s, k.call)
		if c == nil || c.end <= wallMillis(now) {
			t.dropUnacked(k)
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
			out = append(out, OutgoingRecord{t.callRecord(s, k.call), to, k.call})
		} else if t.ring != nil {
			t.dropUnacked(k)
		}
	}
	slices.SortFunc(out[from:], func(a, b OutgoingRecord) int {
		return cmp.Or(strings.Compare(a.Record.Key, b.Record.Key), cmp.Compare(a.Call, b.Call))
	})
	return out
}

// addUnacked records a report that has to be sent until all owners have it.
func (t *Sessions) addUnacked(k callKey, u *unacked) {
	if t.unacked[k] == nil {
		t.cfg.Memory.used.Add(unackedBytes)
		t.stats.Bytes += unackedBytes
	}
	t.unacked[k] = u
}

func (t *Sessions) dropUnacked(k callKey) {
	if t.unacked[k] != nil {
		t.cfg.Memory.used.Add(-unackedBytes)
		t.stats.Bytes -= unackedBytes
		delete(t.unacked, k)
	}
}

// Stats returns the counters for metrics.
func (t *Sessions) Stats() SessionStats { return t.stats }
