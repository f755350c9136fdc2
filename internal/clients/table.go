// Package clients manages the client connections of the HTTP/1.1 front ends. It limits their number and tracks the state of
// each. It evicts connections when there are too many, and closes idle ones at shutdown. It never closes a connection with a
// whole unanswered request, read or unread. It doesn't parse or answer requests, except for a 503 to a partial one.
package clients

import (
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// slowTimeout is the inactivity after which a connection without a whole request is evicted first. Normal clients send
	// their request at once.
	slowTimeout = 250 * time.Millisecond
	// freshGrace is the inactivity before a connection may be evicted from a full listener. A client that has just connected, has its answer
	// or still writes is about to send its next bytes. A client without a slot meanwhile waits in the backlog.
	freshGrace = 30 * time.Millisecond
	// tlsQuietTimeout is the inactivity after which the bytes of a TLS connection without a request count as a handshake only.
	tlsQuietTimeout = time.Second
	// maxEvictionTries limits how many connections are tried for one eviction.
	maxEvictionTries = 8
	// evictInterval is how often connections are evicted while there are too many.
	evictInterval = 20 * time.Millisecond
)

// Thresholds are thresholds for the open connections, in percent of the listener's limit.
type Thresholds struct {
	CrowdedPercent int  // above it, answers close their connections; connections without a request don't count
	EvictPercent   int  // above it, connections without a request and idle ones are evicted
	KeepIdle       bool // idle connections and those silent for less than slowTimeout are not evicted
}

// PlatformThresholds is for clients that hold many connections and resend a request if the connection closes as they send it. Own is for
// clients that may not resend. Such a client would lose a request sent on a kept-alive connection as it is closed.
var PlatformThresholds, KeepIdleThresholds = Thresholds{CrowdedPercent: 75, EvictPercent: 60}, Thresholds{CrowdedPercent: 75, EvictPercent: 95, KeepIdle: true}

// Table tracks the states of a listener's client connections. NewTable returns one.
type Table struct {
	thresholds   Thresholds
	mu           sync.Mutex
	maxOpen      int       // limit on connections
	listener     *Listener // of the connections; it is also full of those that are closing. Nil: not known yet
	crowdedAbove int       // number of connections above which answers close theirs
	evictAbove   int       // number of connections above which some are evicted
	conns        map[net.Conn]*entry
	waitingCount int           // connections in stateWaiting
	excess       chan struct{} // receives a value when there are too many connections; capacity 1
}

// entry is the state of a connection.
type entry struct {
	state state
	since time.Time
}

type state uint8

const (
	stateWaiting state = iota // no whole request was received yet
	stateOpen                 // a request is in progress: never closed by this side
	stateIdle                 // the last request was answered
)

// NewTable returns the table of a listener with at most maxOpen connections.
func NewTable(maxOpen int, parts Thresholds) *Table {
	t := &Table{thresholds: parts, conns: map[net.Conn]*entry{}, excess: make(chan struct{}, 1)}
	t.Resize(maxOpen)
	return t
}

// Resize changes the limit on connections.
func (t *Table) Resize(maxOpen int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxOpen = maxOpen
	t.crowdedAbove, t.evictAbove = maxOpen*t.thresholds.CrowdedPercent/100, maxOpen*t.thresholds.EvictPercent/100
	t.signalExcess()
}

// signalExcess wakes RunEviction if there are too many connections. It requires mu.
func (t *Table) signalExcess() {
	if len(t.conns) <= t.evictAbove {
		return
	}
	select {
	case t.excess <- struct{}{}:
	default: // it is awake
	}
}

// RunEviction evicts connections above the threshold until ctx ends. Track evicts only when a new connection is accepted, and a full
// listener accepts none.
func (t *Table) RunEviction(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.excess:
		}
		for hasExcess := true; hasExcess; hasExcess = t.evictExcess() {
			pause := time.NewTimer(evictInterval)
			select {
			case <-ctx.Done():
				pause.Stop()
				return
			case <-pause.C:
			}
		}
	}
}

// DisableEviction disables evictions, and the closing of connections by answers.
func (t *Table) DisableEviction() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crowdedAbove, t.evictAbove = math.MaxInt, math.MaxInt
}

// evictExcess evicts connections above the threshold. It reports whether there are still too many.
func (t *Table) evictExcess() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	grace := t.evictionGrace()
	for len(t.conns) > t.evictAbove && t.evict(grace) {
	}
	return len(t.conns) > t.evictAbove
}

// CloseIdle closes the connections with no part of a request, read or unread. With includePartial it also closes those with an
// incomplete request.
func (t *Table) CloseIdle(includePartial bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, e := range t.conns {
		if conn := ConnOf(c); conn != nil && conn.opaque && e.state == stateWaiting && time.Since(t.lastActivity(c)) > tlsQuietTimeout {
			conn.unanswered.Store(0) // only a handshake: a request would have reached its handler by now
		}
		if e.state != stateOpen && closeIfNoRequest(c, includePartial, lingerTimeout) {
			t.remove(c)
		}
	}
}

// closeIfNoRequest closes a connection unless it has an unanswered request. It closes the socket without a TLS close notification,
// which could block on a client that doesn't read.
func closeIfNoRequest(c net.Conn, includePartial bool, linger time.Duration) bool {
	if conn := ConnOf(c); conn != nil {
		return conn.closeIfNoRequest(includePartial, linger)
	}
	c.Close()
	return true
}

// Track records a change of a connection's state. It is for http.Server.ConnState. Above the threshold it evicts one connection for
// each new one. Otherwise silent or idle connections would lock out clients with requests.
func (t *Table) Track(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateNew:
		t.conns[c] = &entry{since: time.Now()}
		t.waitingCount++
		if conn := ConnOf(c); conn != nil {
			t.listener = conn.listener
		}
		if len(t.conns) > t.evictAbove {
			t.evict(t.evictionGrace())
		}
		t.signalExcess()
	case http.StateActive:
		if e := t.conns[c]; e != nil && e.state == stateIdle {
			t.setState(c, stateWaiting)
		}
	case http.StateIdle:
		if conn := ConnOf(c); conn != nil {
			conn.markAnswered()
			conn.notBefore = time.Now()
		}
		t.setState(c, stateIdle)
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
	}
}

// setState changes the state of a connection. It reports false if the connection was evicted.
func (t *Table) setState(c net.Conn, to state) bool {
	e := t.conns[c]
	if e == nil {
		return false
	}
	if e.state == stateWaiting {
		t.waitingCount--
	}
	if to == stateWaiting {
		t.waitingCount++
	}
	e.state, e.since = to, time.Now()
	return true
}

func (t *Table) remove(c net.Conn) {
	if e := t.conns[c]; e != nil {
		if e.state == stateWaiting {
			t.waitingCount--
		}
		delete(t.conns, c)
	}
}

// evict closes one connection that has been inactive for grace and reports whether it did. It prefers one that has long been without a whole request, then the
// one idle longest. If many new connections are silent, it closes one of these before idle ones. A connection with unread
// bytes is not silent: this process is slow, and a close could lose a request.
func (t *Table) evict(grace time.Duration) bool {
	for range maxEvictionTries {
		var oldest [stateIdle + 1]net.Conn
		for c, e := range t.conns {
			if conn := ConnOf(c); conn != nil && conn.hasUnanswered() {
				continue // it has an unanswered request
			}
			if e.state != stateOpen && time.Since(t.lastActivity(c)) < grace {
				continue
			}
			if current := oldest[e.state]; current == nil || t.lastActivity(c).Before(t.lastActivity(current)) {
				oldest[e.state] = c
			}
		}
		silent, idleLongest := oldest[stateWaiting], oldest[stateIdle]
		if t.thresholds.KeepIdle {
			idleLongest = nil
			if silent != nil && time.Since(t.lastActivity(silent)) <= slowTimeout {
				return false
			}
		}
		victim := idleLongest
		if silent != nil && (idleLongest == nil || t.waitingCount > t.crowdedAbove/3 || time.Since(t.lastActivity(silent)) > slowTimeout) {
			victim = silent
		}
		if victim == nil {
			return false
		}
		if !closeIfNoRequest(victim, true, fullLingerTimeout) {
			t.conns[victim].since = time.Now() // tried last from now on
			continue
		}
		t.remove(victim)
		return true
	}
	return false
}

// evictionGrace returns the inactivity before a connection may be evicted. While there are free slots, nobody waits for those of clients
// that are a little slow.
func (t *Table) evictionGrace() time.Duration {
	if len(t.conns) >= t.maxOpen || t.listener != nil && t.listener.IsFull() {
		return freshGrace
	}
	return slowTimeout
}

// CutSilentBody ends the wait for the rest of a body on the connection whose client has been silent for longest, and for at least minSilence.
// Its handler answers and closes it. CutSilentBody reports whether there was one.
func (t *Table) CutSilentBody(minSilence time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []*Conn
	for c := range t.conns {
		if conn := ConnOf(c); conn != nil && conn.partial.Load() && !conn.IsBodyCut() && time.Since(conn.lastReadAt()) >= minSilence {
			silent = append(silent, conn)
		}
	}
	slices.SortFunc(silent, func(a, b *Conn) int { return a.lastReadAt().Compare(b.lastReadAt()) })
	for _, conn := range silent[:min(len(silent), maxEvictionTries)] {
		if conn.cutSilentBody() {
			return true
		}
	}
	return false
}

// lastActivity returns the time of the last change of a connection's state or of its last byte. A slowly written request counts
// as active.
func (t *Table) lastActivity(c net.Conn) time.Time {
	changedAt := t.conns[c].since
	if conn := ConnOf(c); conn != nil {
		if last := conn.lastReadAt(); last.After(changedAt) {
			return last
		}
	}
	return changedAt
}

// Begin records that the connection of a request, taken from its context, has a request in progress. It reports false if the
// connection was evicted.
func (t *Table) Begin(ctx context.Context) bool {
	conn := FromContext(ctx)
	if conn == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.setState(conn.serverConn, stateOpen)
}

// Counts are numbers of connections.
type Counts struct {
	Open    int // all connections
	Waiting int // without a whole request since their last answer
	Partial int // with part of a request
}

// Counts returns the current numbers of connections.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := Counts{Open: len(t.conns), Waiting: t.waitingCount}
	for c := range t.conns {
		if conn := ConnOf(c); conn != nil && conn.partial.Load() {
			counts.Partial++
		}
	}
	return counts
}

// UnansweredCount returns the number of connections with a whole unanswered request.
func (t *Table) UnansweredCount() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, e := range t.conns {
		if conn := ConnOf(c); e.state == stateOpen || conn != nil && conn.hasUnanswered() {
			n++
		}
	}
	return n
}

// IsCrowded reports whether answers should close their connections. Connections without a request don't count, because these are
// evicted anyway.
func (t *Table) IsCrowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)-t.waitingCount > t.crowdedAbove
}
