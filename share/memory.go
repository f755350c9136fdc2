// The memory that the session table may take, and who gives way when there is no more.
package share

import (
	"container/heap"
	"math/bits"
	"slices"
	"sync/atomic"
	"time"
	"unsafe"
)

const (
	// DefaultMemory is the memory of the records of sessions where the configuration doesn't set it, in bytes.
	DefaultMemory = 128 << 20
	// sessionShareDivisor bounds a session to one part in so many of all memory, so that one client can't take that of the others.
	sessionShareDivisor = 8
	// minSessionShare is the least share of a session in bytes: that of some calls.
	minSessionShare = 16 << 10
	// sessionBytes is what a session takes without its calls: its struct, its places in the leaf and in a heap, and their free space.
	sessionBytes = int(unsafe.Sizeof(session{})) + 3*int(unsafe.Sizeof(Key{})+unsafe.Sizeof(&session{})) + 2*int(unsafe.Sizeof(&session{}))
	// callBytes is what a call takes without its texts.
	callBytes = int(unsafe.Sizeof(call{}))
	// partBytes is what a part takes without its sessions.
	partBytes = int(unsafe.Sizeof(part{}))
	// unackedBytes is what a report takes that not all owners have acknowledged: an entry of a map, and what it refers to.
	unackedBytes = 192
	// fullMemory is how long a table counts as full after something found no room.
	fullMemory = 10 * time.Second
)

// textBytes returns the memory that a text of n bytes takes: the allocator has about eight sizes for each power of two.
func textBytes(n int) int {
	if n == 0 {
		return 0
	}
	step := max(16, 1<<bits.Len(uint(n-1))/16)
	return (n + step - 1) / step * step
}

// Memory is the memory that the shards of a session table may take together. It is safe for concurrent use.
type Memory struct {
	limit, used atomic.Int64
	fullAt      atomic.Int64 // own time in ns at which something found no room, plus 1; 0: never
}

// NewMemory returns a Memory of a number of bytes; 0: DefaultMemory.
func NewMemory(limit int64) *Memory {
	m := &Memory{}
	if limit <= 0 {
		limit = DefaultMemory
	}
	m.limit.Store(limit)
	return m
}

// Used returns how many bytes are in use.
func (m *Memory) Used() int64 { return m.used.Load() }

// Limit returns how many bytes may be in use.
func (m *Memory) Limit() int64 { return m.limit.Load() }

// IsFull reports whether something found no room in the last fullMemory.
func (m *Memory) IsFull(now Now) bool {
	at := m.fullAt.Load()
	return at > 0 && now.Own-time.Duration(at-1) < fullMemory
}

func (m *Memory) take(n int) bool {
	if m.used.Add(int64(n)) <= m.limit.Load() || n <= 0 {
		return true
	}
	m.used.Add(-int64(n))
	return false
}

// reserve takes n more bytes for a session, or for a new one if s is nil. It drops what nobody needs any more, but never a call that a
// repeat may still need. It reports false if there is no room, or if the session has its share.
func (t *Sessions) reserve(now Now, s *session, n int) bool {
	if n > 0 && s != nil && s.bytes+n > t.cfg.SessionMemory {
		t.expireCalls(now, s, 0)
		t.reposition(s)
		if s.bytes+n > t.cfg.SessionMemory {
			t.stats.OverShare++
			return t.noRoom(now)
		}
	}
	for !t.cfg.Memory.take(n) {
		if !t.makeRoom(now, s) {
			return t.noRoom(now)
		}
	}
	if s != nil {
		s.bytes += n
	}
	t.stats.Bytes += n
	return true
}

func (t *Sessions) noRoom(now Now) bool {
	t.stats.NoRoom++
	t.cfg.Memory.fullAt.Store(int64(now.Own) + 1)
	return false
}

// release returns n bytes of a session.
func (t *Sessions) release(s *session, n int) {
	t.cfg.Memory.take(-n)
	s.bytes -= n
	t.stats.Bytes -= n
}

// makeRoom drops something that nobody needs: calls beyond their end, or else the session without calls that ends first. Nothing of except
// is dropped. It reports whether it has dropped anything.
func (t *Sessions) makeRoom(now Now, except *session) bool {
	if except != nil && except.heapIndex >= 0 {
		heap.Remove(&t.dropHeaps[except.kind], except.heapIndex)
		defer func() { heap.Push(&t.dropHeaps[except.kind], except) }()
	}
	if h := t.dropHeaps[withCalls]; len(h) > 0 && t.expire(now, h[0], 0) {
		return true
	}
	h := t.dropHeaps[withoutCalls]
	if len(h) == 0 {
		return false
	}
	if h[0].end()+Skew.Milliseconds() > wallMillis(now) {
		t.stats.SessionsEvictedEarly++
	}
	t.drop(h[0])
	return true
}

// expire drops the calls of a session that ended longer than Skew and keep ago, and the session if nothing of it is left. It reports
// whether it has dropped anything.
func (t *Sessions) expire(now Now, s *session, keep time.Duration) bool {
	dropped := t.expireCalls(now, s, keep)
	if len(s.calls) == 0 && s.bindingEnd() <= wallMillis(now)-Skew.Milliseconds()-keep.Milliseconds() {
		t.drop(s)
		return true
	}
	t.reposition(s)
	return dropped
}

// expireCalls drops the calls of a session that ended longer than Skew and keep ago. It reports whether there were any.
func (t *Sessions) expireCalls(now Now, s *session, keep time.Duration) bool {
	last := wallMillis(now) - Skew.Milliseconds() - keep.Milliseconds()
	before := len(s.calls)
	s.calls = slices.DeleteFunc(s.calls, func(c call) bool {
		if c.end > last {
			return false
		}
		t.dropCall(s, &c)
		return true
	})
	for i := range s.calls {
		if i == 0 || s.calls[i].end < s.firstEnd {
			s.firstEnd = s.calls[i].end
		}
	}
	if 4*len(s.calls) < cap(s.calls) {
		t.setCapacity(s, len(s.calls))
	}
	return len(s.calls) < before
}

// grow makes place for one more call of a session. It reports false if there is no room.
func (t *Sessions) grow(now Now, s *session) bool {
	if len(s.calls) < cap(s.calls) {
		return true
	}
	more := 1 + len(s.calls)/8
	if !t.reserve(now, s, more*callBytes) {
		return false
	}
	if len(s.calls) < cap(s.calls) { // reserve has dropped some
		t.release(s, more*callBytes)
		return true
	}
	calls := make([]call, len(s.calls), len(s.calls)+more)
	copy(calls, s.calls)
	s.calls = calls
	return true
}

// setCapacity moves the calls of a session to a smaller place.
func (t *Sessions) setCapacity(s *session, capacity int) {
	t.release(s, (cap(s.calls)-capacity)*callBytes)
	calls := make([]call, len(s.calls), capacity)
	copy(calls, s.calls)
	s.calls = calls
}
