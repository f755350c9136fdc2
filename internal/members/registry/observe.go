package registry

// This file records the course of calls for metrics and the log: which were begun, connected, written, answered and accepted, and
// why the others were not.

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"glencart/internal/sock"
)

// historyLength is how many of the last calls a log line shows.
const historyLength = 12

// Stats counts calls since the Source was created. Any goroutine may read it.
type Stats struct {
	Begun, GivenUp, Failed, AnsweredLate, Rejected, ListsAccepted atomic.Int64

	lastAcceptedAt atomic.Int64 // ns after origin; 0: none was accepted yet
	origin         time.Time
}

// ListAge returns the time since the last accepted answer, or since the Source was created if there is none.
func (s *Stats) ListAge() time.Duration {
	return time.Since(s.origin) - time.Duration(s.lastAcceptedAt.Load())
}

func (s *Stats) recordAccepted() { s.lastAcceptedAt.Store(int64(time.Since(s.origin))) }

// callEnd is how a call ended.
type callEnd string

// Ends of calls, with the reason where a call was given up.
const (
	callOpen        callEnd = "open"
	callAccepted    callEnd = "taken"
	callFailed      callEnd = "failed"
	callRejected    callEnd = "answered, not taken"
	callSuperseded  callEnd = "given up: another was answered"
	callTimedOut    callEnd = "given up: no answer in time"
	callAddrChanged callEnd = "given up: discovery moved"
)

// callRecord records the course of one call. Other goroutines set the times of its connection.
type callRecord struct {
	id                           int
	complete                     bool
	wait                         time.Duration // requested by a watch
	beganAt                      time.Time
	connected, written, answered atomic.Int64 // ns after beganAt; 0: not yet
	arrived                      atomic.Int64 // ns after beganAt: when the kernel had received the answer; 0: unknown
	endedAt                      time.Time
	end                          callEnd
	conn                         atomic.Pointer[net.Conn] // nil: none yet, or no longer
	isUnhandled                  atomic.Bool              // the whole answer is read, and neither accepted nor rejected yet
}

func newCallRecord(id int, complete bool, wait time.Duration) *callRecord {
	return &callRecord{id: id, complete: complete, wait: wait, beganAt: time.Now(), end: callOpen}
}

// traced returns a context with which the HTTP client records the times of a call.
func (c *callRecord) traced(ctx context.Context) context.Context {
	note := func(at *atomic.Int64) { at.Store(max(1, int64(time.Since(c.beganAt)))) }
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c.conn.Store(&info.Conn)
			note(&c.connected)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { note(&c.written) },
		GotFirstResponseByte: func() {
			c.noteArrival()
			note(&c.answered)
		},
	})
}

// noteArrival records when the kernel received the answer. The goroutine that reads it may run much later. It is called while the
// connection belongs to the call: afterwards it may be closed or receive another answer.
func (c *callRecord) noteArrival() {
	conn := c.conn.Load()
	if conn == nil {
		return
	}
	if since, ok := sock.SinceLastReceive(*conn); ok {
		c.arrived.Store(max(1, int64(time.Since(c.beganAt)-since)))
	}
}

// writtenAt returns the latest time for which the answer is known to be current: when the kernel had received it, or the
// beginning of the call if that is unknown.
func (c *callRecord) writtenAt() time.Time {
	return c.beganAt.Add(time.Duration(c.arrived.Load()))
}

// processingTime is how long this process may take from the first byte of an answer that it reads until the answer is in effect. An answer
// that comes in pieces may take longer; then the agent is slow.
const processingTime = 100 * time.Millisecond

// hasUnreadAnswer reports whether an answer has arrived that this process has not read, has just begun to read, or has not handled.
func (c *callRecord) hasUnreadAnswer() bool {
	if at := time.Duration(c.answered.Load()); c.isUnhandled.Load() || at > 0 && time.Since(c.beganAt)-at < processingTime {
		return true
	}
	conn := c.conn.Load()
	if conn == nil {
		return false
	}
	n, err := sock.Peek(*conn)
	return err == nil && n > 0
}

// close records how the call ended.
func (c *callRecord) close(end callEnd) { c.endedAt, c.end = time.Now(), end }

// text returns the call as text for the log. Times are in ms: the beginning before now, the others after the beginning.
func (c *callRecord) text(now time.Time) string {
	kind := "watch"
	if c.complete {
		kind = "list"
	}
	b := fmt.Sprintf("%d %s -%dms", c.id, kind, now.Sub(c.beganAt).Milliseconds())
	for _, step := range []struct {
		name string
		at   int64
	}{{"connected", c.connected.Load()}, {"written", c.written.Load()}, {"answered", c.answered.Load()}} {
		if step.at > 0 {
			b += fmt.Sprintf(" %s +%d", step.name, time.Duration(step.at).Milliseconds())
		}
	}
	b += " " + string(c.end)
	if !c.endedAt.IsZero() {
		b += fmt.Sprintf(" +%d", c.endedAt.Sub(c.beganAt).Milliseconds())
	}
	return b
}

// callHistory has the records of the last calls.
type callHistory struct {
	records [historyLength]*callRecord
	next    int
}

func (h *callHistory) add(c *callRecord) {
	h.records[h.next%historyLength] = c
	h.next++
}

// text returns the last calls as text, the oldest first.
func (h *callHistory) text(now time.Time) string {
	var parts []string
	for i := range historyLength {
		if c := h.records[(h.next+i)%historyLength]; c != nil {
			parts = append(parts, c.text(now))
		}
	}
	return strings.Join(parts, "; ")
}
