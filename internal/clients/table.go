// Package clients is what every front over HTTP/1.1 knows of its clients' connections: how many there may be, where each one
// stands, which can be missed when they are too many, and which may be closed when the process ends. No connection is closed on
// which a whole request has been taken, or stands unread.
package clients

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// slowAfter is when a connection without a whole request is the first to give way: the usual clients send
	// theirs at once.
	slowAfter = 250 * time.Millisecond
	// freshFor is how long nothing has to come on a connection before it can be missed: who has just connected, or writes on,
	// is about to ask, and whoever finds no place waits to be let in.
	freshFor = 30 * time.Millisecond
	// opaqueQuiet is when what has come of a connection under TLS that has not asked yet is taken for the handshake alone.
	opaqueQuiet = time.Second
	// giveWayTries bounds how many connections are looked at for one that can be missed.
	giveWayTries = 8
	// RelieveEvery is how often Relieve is to be called.
	RelieveEvery = 20 * time.Millisecond
)

// Parts are how much of a listener's places may be taken, in hundredths.
type Parts struct {
	Crowded  int  // beyond it, answers close their connections, but for those of silent ones
	Full     int  // beyond it, connections that say nothing give way, and those that are idle
	KeepIdle bool // but no idle ones, and none that has been silent for a short while only
}

// Platform are the parts where clients are rude, and send what crossed a close again. Own are those where a client may not do
// that: its request on a kept connection would be lost.
var Platform, Own = Parts{Crowded: 75, Full: 60}, Parts{Crowded: 75, Full: 95, KeepIdle: true}

// Table is where the connections of a listener's clients stand. NewTable returns one.
type Table struct {
	parts   Parts
	mu      sync.Mutex
	crowded int // so many connections that answers close theirs
	full    int // so many that silent ones give way too
	conns   map[net.Conn]*entry
	waiting int // connections without a whole request
}

// entry is where a connection stands.
type entry struct {
	state state
	since time.Time
}

type state uint8

const (
	waits state = iota // no whole request has come yet
	open               // a request is open: never closed from this side
	idle               // it has had its answer
)

// NewTable returns the table of a listener that holds so many connections.
func NewTable(most int, parts Parts) *Table {
	t := &Table{parts: parts, conns: map[net.Conn]*entry{}}
	t.Resize(most)
	return t
}

// Resize changes how many connections there may be.
func (t *Table) Resize(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crowded, t.full = most*t.parts.Crowded/100, most*t.parts.Full/100
}

// KeepAll has nobody give way any more.
func (t *Table) KeepAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crowded, t.full = math.MaxInt, math.MaxInt
}

// Relieve has connections that can be missed give way: where all places are taken nobody new is let in, for whom one could.
func (t *Table) Relieve() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.conns) > t.full && t.giveWay() {
	}
}

// CloseQuiet closes the connections on which no part of a request has come, read or not; half: also those on which no whole
// one has.
func (t *Table) CloseQuiet(half bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, e := range t.conns {
		if w := Of(c); w != nil && w.opaque && e.state == waits && time.Since(t.moved(c)) > opaqueQuiet {
			w.asked.Store(0) // a handshake, and nothing after it: a request would have come to its handler by now
		}
		if e.state != open && closeUnasked(c, half, lingerFor) {
			t.remove(c)
		}
	}
}

// closeUnasked closes a connection if no request stands on it that has been taken. The socket is closed, not what TLS is on it:
// saying so could wait for a client that does not read.
func closeUnasked(c net.Conn, half bool, within time.Duration) bool {
	if w := Of(c); w != nil {
		return w.closeUnasked(half, within)
	}
	c.Close()
	return true
}

// Track follows the connections of clients (http.Server's ConnState). When they become many, one gives way to each that comes: a
// crowd that says nothing, or that keeps its connections, would lock out who has something to ask.
func (t *Table) Track(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateNew:
		t.conns[c] = &entry{since: time.Now()}
		t.waiting++
		if len(t.conns) > t.full {
			t.giveWay()
		}
	case http.StateActive:
		if e := t.conns[c]; e != nil && e.state == idle {
			t.enter(c, waits)
		}
	case http.StateIdle:
		if w := Of(c); w != nil {
			w.answered()
			w.notBefore = time.Now()
		}
		t.enter(c, idle)
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
	}
}

// enter has a connection change its state. One that has given way has none. It tells whether it is still there.
func (t *Table) enter(c net.Conn, to state) bool {
	e := t.conns[c]
	if e == nil {
		return false
	}
	if e.state == waits {
		t.waiting--
	}
	if to == waits {
		t.waiting++
	}
	e.state, e.since = to, time.Now()
	return true
}

func (t *Table) remove(c net.Conn) {
	if e := t.conns[c]; e != nil {
		if e.state == waits {
			t.waiting--
		}
		delete(t.conns, c)
	}
}

// giveWay closes the connection that can best be missed: one that has long been without a whole request, then the
// one that has been idle longest, unless most of the crowd has just come and says nothing. What stands unread
// since this process is slow is no silence, and closing it could lose a request that has been taken. It tells whether one did.
func (t *Table) giveWay() bool {
	for range giveWayTries {
		var oldest [idle + 1]net.Conn
		for c, e := range t.conns {
			if w := Of(c); w != nil && w.asking() {
				continue // a whole request has been read from it
			}
			if e.state == waits && time.Since(t.moved(c)) < freshFor {
				continue
			}
			if o := oldest[e.state]; o == nil || t.moved(c).Before(t.moved(o)) {
				oldest[e.state] = c
			}
		}
		slow, quiet := oldest[waits], oldest[idle]
		if t.parts.KeepIdle {
			quiet = nil
			if slow != nil && time.Since(t.moved(slow)) <= slowAfter {
				return false
			}
		}
		out := quiet
		if slow != nil && (quiet == nil || t.waiting > t.crowded/3 || time.Since(t.moved(slow)) > slowAfter) {
			out = slow
		}
		if out == nil {
			return false
		}
		if !closeUnasked(out, true, lingerCrowd) {
			t.conns[out].since = time.Now() // the last to be looked at again
			continue
		}
		t.remove(out)
		return true
	}
	return false
}

// moved is when a connection came into its state, or when a byte came on it last: a request that is written slowly is not
// one that has stopped.
func (t *Table) moved(c net.Conn) time.Time {
	at := t.conns[c].since
	if w := Of(c); w != nil {
		if last := w.readAt(); last.After(at) {
			return last
		}
	}
	return at
}

// Begin marks the connection of a whole request, which came with this context. It fails where that has given way.
func (t *Table) Begin(ctx context.Context) bool {
	w := FromContext(ctx)
	if w == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.enter(w.known, open)
}

// Counts says how many connections there are.
type Counts struct {
	Open    int // all
	Waiting int // of them, those with no whole request since their last answer
	Begun   int // and those on which some of a request has come, and not all
}

// Counts tells how many connections there are.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := Counts{Open: len(t.conns), Waiting: t.waiting}
	for c := range t.conns {
		if w := Of(c); w != nil && w.begun.Load() {
			n.Begun++
		}
	}
	return n
}

// Asked is how many connections have a whole request without an answer.
func (t *Table) Asked() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, e := range t.conns {
		if w := Of(c); e.state == open || w != nil && w.asking() {
			n++
		}
	}
	return n
}

// Crowded tells whether there are so many connections, beside those that say nothing and will give way, that
// answers should close theirs.
func (t *Table) Crowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)-t.waiting > t.crowded
}
