// Package wheel implements a hierarchical timing wheel (Varghese and Lauck, 1987): the cost of arming and stopping a timer does not
// depend on the number of timers. It is pure: the caller passes the time, no clock runs here and no timer fires by itself.
//
// Timers fire exactly in the order of their times, and those of the same time in the order in which they were armed. The tick only
// decides which timers are examined together.
package wheel

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	slotBits = 6
	slots    = 1 << slotBits
	// levels cover every time.Duration: 11 levels of 6 bits are more than the 63 bits of a tick.
	levels = 11
)

// ID identifies an armed timer. The zero ID identifies none.
type ID struct {
	index int32 // index in Wheel.nodes, from 1
	gen   uint32
}

// Wheel holds timers that carry a value of type T each. It is not safe for concurrent use.
type Wheel[T any] struct {
	tick        time.Duration
	currentTick int64 // the current tick: no timer is filed before it
	heads       [levels][slots]int32
	usedSlots   [levels]uint64 // bit set of the slots that are not empty
	nodes       []node[T]      // index 0 is unused and stands for none
	firstFree   int32
	armed       int
	lastSeq     uint64
	due         []dueTimer
}

type node[T any] struct {
	at         time.Duration
	seq        uint64
	prev, next int32 // neighbors in the list of its slot
	level      int8  // -1: in no slot
	slot       uint8
	gen        uint32
	value      T
}

type dueTimer struct {
	at  time.Duration
	seq uint64
	id  ID
}

// New returns a wheel whose time is now. tick is the resolution of the slots: timers that are due within the current tick are
// examined one by one. A tick of 0 stands for a millisecond.
func New[T any](tick time.Duration, now time.Duration) *Wheel[T] {
	if tick <= 0 {
		tick = time.Millisecond
	}
	w := &Wheel[T]{tick: tick, nodes: make([]node[T], 1)}
	w.currentTick = w.tickOf(now)
	return w
}

// Len returns the number of armed timers.
func (w *Wheel[T]) Len() int { return w.armed }

func (w *Wheel[T]) tickOf(at time.Duration) int64 { return int64(max(at, 0) / w.tick) }

// Arm sets a timer. If at has passed, the timer fires at the next Advance.
func (w *Wheel[T]) Arm(at time.Duration, v T) ID {
	i := w.firstFree
	if i == 0 {
		w.nodes = append(w.nodes, node[T]{gen: 1})
		i = int32(len(w.nodes) - 1)
	} else {
		w.firstFree = w.nodes[i].next
	}
	w.lastSeq++
	n := &w.nodes[i]
	n.at, n.seq, n.value = at, w.lastSeq, v
	w.armed++
	w.insert(i)
	return ID{i, n.gen}
}

// Stop disarms a timer. It reports false if the timer has fired or was stopped before.
func (w *Wheel[T]) Stop(id ID) bool {
	if id.index <= 0 || int(id.index) >= len(w.nodes) || w.nodes[id.index].gen != id.gen {
		return false
	}
	if w.nodes[id.index].level >= 0 {
		w.unlink(id.index)
	}
	w.release(id.index)
	return true
}

// insert files a timer on the level of the highest group of bits in which its tick and the current one differ. Ticks that differ only in
// the lowest group are due within this turn of the lowest level, and so on upward.
func (w *Wheel[T]) insert(i int32) {
	n := &w.nodes[i]
	t := max(w.tickOf(n.at), w.currentTick)
	level := (63 - bits.LeadingZeros64(uint64(t^w.currentTick)|(slots-1))) / slotBits
	slot := t >> (level * slotBits) & (slots - 1)
	n.level, n.slot = int8(level), uint8(slot)
	head := &w.heads[level][slot]
	n.prev, n.next = 0, *head
	if *head != 0 {
		w.nodes[*head].prev = i
	}
	*head = i
	w.usedSlots[level] |= 1 << slot
}

// unlink removes a timer from its slot.
func (w *Wheel[T]) unlink(i int32) {
	n := &w.nodes[i]
	if n.prev != 0 {
		w.nodes[n.prev].next = n.next
	} else {
		w.heads[n.level][n.slot] = n.next
		if n.next == 0 {
			w.usedSlots[n.level] &^= 1 << n.slot
		}
	}
	if n.next != 0 {
		w.nodes[n.next].prev = n.prev
	}
	n.level = -1
}

// release frees the node of a timer that is in no slot.
func (w *Wheel[T]) release(i int32) {
	n := &w.nodes[i]
	var zero T
	n.value, n.gen, n.level, n.next = zero, n.gen+1, -1, w.firstFree
	w.firstFree = i
	w.armed--
}

// nextSlot returns the next slot that is not empty, and its first tick. The timers of a lower level come before those of higher ones.
func (w *Wheel[T]) nextSlot() (level int, slot, start int64, found bool) {
	for level := range levels {
		if w.usedSlots[level] == 0 {
			continue
		}
		slot := int64(bits.TrailingZeros64(w.usedSlots[level]))
		shift := uint(level * slotBits)
		base := w.currentTick >> min(shift+slotBits, 63) << min(shift+slotBits, 63)
		return level, slot, max(base|slot<<shift, w.currentTick), true
	}
	return 0, 0, 0, false
}

// Next returns a time before which no timer is due, and at which Advance fires the next timer or moves it closer to firing. It
// returns false when no timer is armed. If the next timer is due within the current tick, the time is that of the timer.
func (w *Wheel[T]) Next() (time.Duration, bool) {
	level, slot, start, found := w.nextSlot()
	if !found {
		return 0, false
	}
	if level > 0 {
		return time.Duration(start) * w.tick, true
	}
	i := w.heads[0][slot]
	earliest := w.nodes[i].at
	for ; i != 0; i = w.nodes[i].next {
		earliest = min(earliest, w.nodes[i].at)
	}
	return earliest, true
}

// Advance moves the time to now and calls fire for each timer that is due, in order. fire may arm and stop timers. A timer that it
// arms for a time that has passed fires in the same call, after those that were due before it.
func (w *Wheel[T]) Advance(now time.Duration, fire func(at time.Duration, v T)) {
	target := w.tickOf(now)
	for {
		level, slot, start, found := w.nextSlot()
		if !found || start > target {
			break
		}
		w.currentTick = start
		if level > 0 { // move the timers to lower levels
			for i := w.heads[level][slot]; i != 0; i = w.heads[level][slot] {
				w.unlink(i)
				w.insert(i)
			}
			continue
		}
		due := w.due[:0]
		for i := w.heads[0][slot]; i != 0; {
			n := &w.nodes[i]
			next := n.next
			if n.at <= now {
				w.unlink(i)
				due = append(due, dueTimer{n.at, n.seq, ID{i, n.gen}})
			}
			i = next
		}
		if len(due) == 0 {
			break // the other timers of this tick are due after now
		}
		w.due = nil // fire may call Advance
		slices.SortFunc(due, func(x, y dueTimer) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.seq, y.seq)) })
		for _, d := range due {
			if n := &w.nodes[d.id.index]; n.gen == d.id.gen { // not stopped by an earlier one
				v := n.value
				w.release(d.id.index)
				fire(d.at, v)
			}
		}
		w.due = due[:0]
	}
	w.currentTick = max(w.currentTick, target)
}
