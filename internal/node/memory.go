package node

import (
	"sync"
	"sync/atomic"
)

// This file accounts for the memory that bodies, answers and streams of clients and backends may hold. What is short needs no
// reservation, so whoever sends and receives little is served also when others have taken all that there is.

const (
	// unreservedBytes is how much of each body and each answer needs no reservation, in bytes.
	unreservedBytes = 4 << 10
	// copyBufferBytes is the buffer size of a stream in bytes, smallCopyBufferBytes that of one for which there is no reservation.
	copyBufferBytes, smallCopyBufferBytes = 32 << 10, 4 << 10
)

// budget is a number of bytes that may be reserved.
type budget struct {
	available atomic.Int64
	limit     atomic.Int64 // what is available when nothing is reserved
	refused   atomic.Int64 // reservations that found no room
}

// setLimit sets the limit of a budget. What is reserved stays reserved.
func (b *budget) setLimit(limit int64) { b.available.Add(limit - b.limit.Swap(limit)) }

// reserved returns how much is reserved.
func (b *budget) reserved() int64 { return b.limit.Load() - b.available.Load() }

// take reserves n bytes. It reports whether so many are left.
func (b *budget) take(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	b.refused.Add(1)
	return false
}

// release returns n bytes.
func (b *budget) release(n int64) { b.available.Add(n) }

// reservation is what one holder has taken from a budget. One without a budget takes nothing. It isn't safe for concurrent use.
type reservation struct {
	budget *budget
	bytes  int64
}

// take reserves n more bytes. It reports whether there is room for them.
func (r *reservation) take(n int64) bool {
	if r.budget == nil {
		return true
	}
	if !r.budget.take(n) {
		return false
	}
	r.bytes += n
	return true
}

// release returns all that was taken.
func (r *reservation) release() {
	if r.budget != nil {
		r.budget.release(r.bytes)
		r.bytes = 0
	}
}

// takeAnswer reserves n more bytes for an answer to a message. It reports false if there is no room, or if nobody waits for the answer.
func (m *message) takeAnswer(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.handlerDone && m.answerReservation.take(n)
}

// releaseAnswer returns what was reserved for the answer to a message.
func (m *message) releaseAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answerReservation.release()
}

// copyBuffers are the buffers of streams. A stream for which the budget has no room gets a small one.
type copyBuffers struct {
	budget budget
	large  sync.Pool // *[copyBufferBytes]byte
}

// get returns a buffer, which has to be returned with put. A nil receiver has no limit.
func (c *copyBuffers) get() []byte {
	switch {
	case c == nil:
		return make([]byte, copyBufferBytes)
	case !c.budget.take(copyBufferBytes):
		return make([]byte, smallCopyBufferBytes)
	}
	if buffer, ok := c.large.Get().(*[copyBufferBytes]byte); ok {
		return buffer[:]
	}
	return make([]byte, copyBufferBytes)
}

// put takes a buffer back.
func (c *copyBuffers) put(buffer []byte) {
	if c == nil || len(buffer) != copyBufferBytes {
		return
	}
	c.large.Put((*[copyBufferBytes]byte)(buffer))
	c.budget.release(copyBufferBytes)
}

// setMemory sets the memory for what clients and backends make the front end hold.
func (f *front) setMemory(b bounds) {
	f.bodyBudget.setLimit(b.bodyBytes)
	f.answerBudget.setLimit(b.answerBytes)
	f.copyBuffers.budget.setLimit(b.copyBytes)
}
