package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"path"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/settings"
)

const (
	// headWithin is how long a client may take from its connection, or the first byte of a further request,
	// to the last byte of the head; idleWithin how long it may keep a connection without a request.
	headWithin, idleWithin = 3 * time.Second, 4 * time.Second
	// slowAfter is when a connection without a whole request is the first to give way: the usual clients send
	// theirs at once.
	slowAfter = 250 * time.Millisecond
	// freshFor is how long nothing has to come on a connection before it can be missed: who has just connected, or writes on,
	// is about to ask, and whoever finds no place waits to be let in. relieveEvery is how often places are looked for.
	freshFor, relieveEvery = 30 * time.Millisecond, 20 * time.Millisecond
	// giveWayTries bounds how many connections are looked at for one that can be missed.
	giveWayTries = 8
	// drainMost bounds what is read of a body that is turned away.
	drainMost = 4 * bodyMost
	// answerWithin is how long a client may take to read its answer.
	answerWithin = 20 * time.Second
	// early is how much sooner than the client's deadline a request ends: its way here and the answer's way
	// back take part of the time, and neither can be seen from here.
	early = 8 * time.Millisecond
	// defaultDeadline stands for a class's deadline that is not told.
	defaultDeadline = time.Minute
	// fullRetry is when a client may come back that was refused because the node is full.
	fullRetry = 250 * time.Millisecond
)

// front is the client side: it reads requests, has the loop decide and writes the answers.
type front struct {
	loop     *engine.Engine
	tuning   atomic.Pointer[tuning]
	held     budget       // of bodies over bodyMost
	bodyMost atomic.Int64 // the longest body, bytes
	log      *slog.Logger
	most     atomic.Int64 // requests at once
	inFlight atomic.Int64
	crowded  int          // so many connections that answers close theirs; by mu
	full     int          // so many that silent ones give way too; by mu
	ready    atomic.Bool  // the node's life lets it be ready
	leaving  atomic.Bool  // the node is about to end
	closing  atomic.Bool  // and answers close their connections
	timed    atomic.Bool  // writing answers is timed
	writes   atomic.Int64 // the mean time of wording and writing an answer, ns
	book     book

	mu      sync.Mutex
	conns   map[net.Conn]*clientConn
	waiting int // connections without a whole request
}

// clientConn is where a client's connection stands, by f.mu.
type clientConn struct {
	state connState
	since time.Time
	began bool // some byte of a request has come
}

type connState uint8

const (
	connWaits connState = iota // no whole request has come yet
	connOpen                   // a request is open: never closed from this side
	connIdle                   // it has had its answer
)

// newFront returns the client side for a node that may hold so many connections of clients.
func newFront(l *engine.Engine, names settings.Settings, clients, backends int, fig *figures, log *slog.Logger) *front {
	f := &front{loop: l, log: log, conns: map[net.Conn]*clientConn{}}
	f.tuning.Store(newTuning(names, fig))
	f.bodyMost.Store(uploadMost)
	f.resize(clients, backends)
	return f
}

// resize changes how many connections of clients there may be, and how many to backends they may need.
func (f *front) resize(clients, backends int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.most.Store(int64(min(clients, backends-probesOut)))
	f.crowded, f.full = clients*3/4, clients*6/10
}

// keepAll has nobody give way any more.
func (f *front) keepAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crowded, f.full = math.MaxInt, math.MaxInt
}

// relieve has connections that can be missed give way until ctx ends: where all places are taken nobody new is let in, for whom
// one could give way.
func (f *front) relieve(ctx context.Context) {
	every(ctx, relieveEvery, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for len(f.conns) > f.full && f.giveWay() {
		}
	})
}

// closeQuiet closes the connections on which no part of a request has come, read or not; half: also those on which no whole
// one has.
func (f *front) closeQuiet(half bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, cc := range f.conns {
		if cc.state != connOpen && (half || !cc.began) && closeUnasked(c) {
			f.remove(c)
		}
	}
}

// closeUnasked closes a connection if no request stands on it that has been taken.
func closeUnasked(c net.Conn) bool {
	if fc, ok := c.(*framedConn); ok {
		return fc.closeUnasked()
	}
	c.Close()
	return true
}

// server returns the HTTP server of the client side.
func (f *front) server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headWithin, // a body has as long as it goes on coming
		IdleTimeout:       idleWithin,
		MaxHeaderBytes:    headMost,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnState:         f.track,
		ConnContext:       withConn,
	}
}

// track follows the connections of clients. When they become many, one gives way to each that comes: a crowd that
// says nothing, or that keeps its connections, would lock out who has something to ask.
func (f *front) track(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case http.StateNew:
		f.conns[c] = &clientConn{since: time.Now()}
		f.waiting++
		if len(f.conns) > f.full {
			f.giveWay()
		}
	case http.StateActive:
		if cc := f.conns[c]; cc != nil {
			if cc.state == connIdle {
				f.enter(c, connWaits)
			}
			cc.began = true
		}
	case http.StateIdle:
		if fc, ok := c.(*framedConn); ok {
			fc.asking.Store(false)
		}
		if f.enter(c, connIdle) {
			f.conns[c].began = false
		}
	case http.StateClosed, http.StateHijacked:
		f.remove(c)
	}
}

// enter has a connection change its state. One that has given way has none. It tells whether it is still there.
func (f *front) enter(c net.Conn, to connState) bool {
	cc := f.conns[c]
	if cc == nil {
		return false
	}
	if cc.state == connWaits {
		f.waiting--
	}
	if to == connWaits {
		f.waiting++
	}
	cc.state, cc.since = to, time.Now()
	return true
}

func (f *front) remove(c net.Conn) {
	if cc := f.conns[c]; cc != nil {
		if cc.state == connWaits {
			f.waiting--
		}
		delete(f.conns, c)
	}
}

// giveWay closes the connection that can best be missed: one that has long been without a whole request, then the
// one that has been idle longest, unless most of the crowd has just come and says nothing. What stands unread
// since this node is slow is no silence, and closing it could lose a request that has been taken. It tells whether one did.
func (f *front) giveWay() bool {
	for range giveWayTries {
		var oldest [connIdle + 1]net.Conn
		for c, cc := range f.conns {
			if fc, ok := c.(*framedConn); ok && fc.asking.Load() {
				continue // a whole request has been read from it
			}
			if cc.state == connWaits && time.Since(f.moved(c)) < freshFor {
				continue
			}
			if o := oldest[cc.state]; o == nil || f.moved(c).Before(f.moved(o)) {
				oldest[cc.state] = c
			}
		}
		slow, idle := oldest[connWaits], oldest[connIdle]
		out := idle
		if slow != nil && (idle == nil || f.waiting > f.crowded/3 || time.Since(f.moved(slow)) > slowAfter) {
			out = slow
		}
		if out == nil {
			return false
		}
		if !closeUnasked(out) {
			f.conns[out].since = time.Now() // the last to be looked at again
			continue
		}
		f.remove(out)
		return true
	}
	return false
}

// moved is when a connection came into its state, or when a byte came on it last: a request that is written slowly is not
// one that has stopped.
func (f *front) moved(c net.Conn) time.Time {
	at := f.conns[c].since
	if fc, ok := c.(*framedConn); ok {
		if last := time.Unix(0, fc.readAt.Load()); last.After(at) {
			return last
		}
	}
	return at
}

// begin marks the connection of a whole request. It fails where that has given way.
func (f *front) begin(ctx context.Context) bool {
	c := connOf(ctx)
	if c == nil {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.enter(c, connOpen)
}

// asked is how many connections have a whole request without an answer.
func (f *front) asked() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, cc := range f.conns {
		if fc, ok := c.(*framedConn); cc.state == connOpen || ok && fc.asking.Load() {
			n++
		}
	}
	return n
}

// isCrowded tells whether there are so many connections, beside those that say nothing and will give way, that
// answers should close theirs.
func (f *front) isCrowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)-f.waiting > f.crowded
}

// ServeHTTP answers one request of a client.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	received := time.Now()
	defer func() {
		// net/http ends the connection, and would say so where nobody reads it: the client is left without an answer.
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				f.log.Error("a request ended in a panic: its client has no answer", "id", hr.Header.Get("X-Trace-Id"), "panic", p,
					"stack", string(debug.Stack()))
			}
			panic(p)
		}
	}()
	// The last request's would hold on.
	http.NewResponseController(w).SetWriteDeadline(received.Add(headWithin + answerWithin))
	if f.closing.Load() || f.isCrowded() {
		// Closing after an answer crosses no request, as closing an idle connection may.
		w.Header().Set("Connection", "close")
	}
	if frame := connOf(hr.Context()); frame != nil {
		received = received.Add(-frame.stood(received))
		switch {
		case frame.unsure.Load(), hr.ProtoMajor == 1 && hr.ProtoMinor == 0 && frame.chunked.Load():
			// Two lengths, or chunks that this version of HTTP does not have: it may hide another request.
			w.Header().Set("Connection", "close")
			http.Error(w, "the length of the body is not certain", http.StatusBadRequest)
			return
		case frame.chunked.Load():
			w.Header().Set("Connection", "close")
		}
	}
	switch hr.URL.Path {
	case "/health/ready":
		f.health(w, f.loop.Ready() && f.ready.Load())
		return
	case "/health/live":
		f.health(w, true)
		return
	}
	r, status, err := f.read(w, hr, received)
	f.book.taken.Add(1)
	answered := false
	defer func() {
		if answered {
			f.book.answered.Add(1)
		} else {
			f.book.left.Add(1) // its connection is broken
		}
	}()
	if err != nil {
		answered = true
		f.turnAway(w, hr, err, status)
		if t := f.tuning.Load(); t.Class(hr.Header.Get("X-Qos")) >= 0 {
			t.counts[t.Class(hr.Header.Get("X-Qos"))].failed.Add(1)
		}
		return
	}
	m := r.Message.(*message)
	count := m.count
	defer m.release()
	defer m.leave()
	if m.up != nil {
		defer m.up.stop()
	}
	if !f.begin(hr.Context()) {
		panic(http.ErrAbortHandler) // it has given way
	}
	// Only whole requests count: else a few clients that send theirs slowly would have the rest refused.
	if f.inFlight.Add(1) > f.most.Load() {
		f.inFlight.Add(-1)
		w.Header().Set("Connection", "close")
		refuse(w, fullRetry)
		count.refused.Add(1)
		answered = true
		return
	}
	defer f.inFlight.Add(-1)
	f.serve(w, hr.Context(), r)
	answered = true
}

// turnAway answers what can't be read and closes the connection.
func (f *front) turnAway(w http.ResponseWriter, hr *http.Request, err error, status int) {
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(silentMost)) // for what is left of the body
	text := err.Error() + "\n"
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text)
	if hr.ContentLength > 0 && hr.Header.Get("Expect") == "" {
		// Closing with something unread makes a reset, which can overtake the answer.
		http.NewResponseController(w).Flush()
		io.CopyN(io.Discard, hr.Body, drainMost)
	}
}

func (f *front) health(w http.ResponseWriter, ok bool) {
	status, text := http.StatusOK, "ok\n"
	if !ok {
		status, text = http.StatusServiceUnavailable, "not ready\n"
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// serve has the loop decide on a request and passes on the one final answer.
func (f *front) serve(w http.ResponseWriter, ctx context.Context, r *engine.Request) {
	m := r.Message.(*message)
	f.loop.Post(func() {
		if !m.tuning.holds(f.tuning.Load(), r.Class) {
			// Nothing has run: read again, it is of the class that its name means now.
			r.Reply <- engine.Answer{Kind: engine.Refused}
			return
		}
		f.loop.Arrive(r)
	})
	select {
	case a := <-r.Reply:
		if f.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		if a.Kind == engine.Failed && replyOf(a.Body).neverRan {
			a.Kind = engine.Refused // the only attempt broke before its last byte
		}
		f.write(w, a)
		m.count.answered(a.Kind)
	case s := <-m.streams:
		if f.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		f.pass(w, s, m.count)
	case <-ctx.Done():
		f.loop.Post(func() { f.loop.Gone(r) })
		if m.up != nil {
			m.up.gone.Store(true)
		}
		// Returning would have the library word an empty 200.
		panic(http.ErrAbortHandler)
	case <-f.loop.Done(): // the node is ending
		fail(w, http.StatusBadGateway)
		m.count.failed.Add(1)
	}
}

// write words an answer, and times that while the node ends.
func (f *front) write(w http.ResponseWriter, a engine.Answer) {
	if !f.timed.Load() {
		write(w, a)
		return
	}
	began := time.Now()
	write(w, a)
	http.NewResponseController(w).Flush()
	mean := f.writes.Load()
	f.writes.Store(mean + int64(writeWeight*float64(int64(time.Since(began))-mean)))
}

func write(w http.ResponseWriter, a engine.Answer) {
	switch a.Kind {
	case engine.Served:
		r := replyOf(a.Body)
		if r.contentType != "" {
			w.Header().Set("Content-Type", r.contentType)
		} else {
			w.Header()["Content-Type"] = nil // none was given: guess none
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
		w.WriteHeader(http.StatusOK)
		w.Write(r.body)
	case engine.Refused:
		refuse(w, a.RetryIn)
	case engine.Failed:
		status := http.StatusBadGateway
		if a.Late {
			status = http.StatusGatewayTimeout
		}
		fail(w, status)
	case engine.Doubled:
		http.Error(w, "another request with this id is open", http.StatusConflict)
	}
}

// refuse tells the client that trying again is harmless, and when it may do so.
func refuse(w http.ResponseWriter, retryIn time.Duration) {
	if retryIn > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fail promises nothing.
func fail(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// hopByHop are the headers that belong to one connection, beside those that Connection names.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// read checks a request and reads its body. An error comes with the status to answer.
func (f *front) read(w http.ResponseWriter, hr *http.Request, received time.Time) (*engine.Request, int, error) {
	bad := func(format string, args ...any) (*engine.Request, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	h, t := hr.Header, f.tuning.Load()
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key"} {
		if len(h[name]) > 1 {
			return bad("%s: given more than once", name)
		}
	}
	r := &engine.Request{ID: h.Get("X-Trace-Id"), Reply: make(chan engine.Answer, 1), Repeat: h.Get("X-Second-Try") == "1"}
	if r.ID == "" {
		return bad("X-Trace-Id: missing")
	}
	if r.Class = t.Class(h.Get("X-Qos")); r.Class < 0 {
		return bad("X-Qos: no such class")
	}
	if len(t.Tenants) > 0 {
		if r.Tenant = slices.Index(t.Tenants, h.Get("X-Customer")); r.Tenant < 0 {
			return bad("X-Customer: no such customer")
		}
	}
	key := h.Get("Idempotency-Key")
	class := &t.Config.Classes[r.Class]
	method, keyed := http.MethodPost, false
	switch class.Effect {
	case balance.Safe:
		method = http.MethodGet
	case balance.Keyed:
		keyed = true
	}
	switch {
	case hr.Method != method:
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("requests of this class use %s", method)
	case keyed && key == "":
		return bad("Idempotency-Key: missing")
	}
	left := cmp.Or(class.Deadline, defaultDeadline)
	if text := h.Get("X-Expires-In"); text != "" {
		s, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
			return bad("X-Expires-In: not a time in seconds")
		}
		left = min(left, time.Duration(min(s, 1e6)*float64(time.Second)))
	}
	if us, err := strconv.ParseFloat(h.Get("X-Size-Hint"), 64); err == nil && us > 0 && us < 1e12 {
		r.Hint = time.Duration(us * float64(time.Microsecond))
	}
	if subject := path.Base(hr.URL.Path); subject != "/" && subject != "." {
		sum := fnv.New64a()
		io.WriteString(sum, subject)
		r.Key, r.HasKey = sum.Sum64()>>11, true
	}
	m := &message{tuning: t, count: t.counts[r.Class], method: method, url: hr.URL, host: hr.Host, header: h, left0: left - early,
		streams: make(chan *stream, 1)}
	reads := time.Now()
	switch err := f.body(w, hr, m); {
	case errors.Is(err, errTooLong):
		m.release()
		return nil, http.StatusRequestEntityTooLarge, err
	case err != nil:
		m.release()
		return nil, http.StatusRequestTimeout, err
	}
	// A request's time begins with its last byte.
	if hr.ContentLength != 0 {
		received = received.Add(time.Since(reads))
	}
	r.Deadline = received.Add(left - early)
	// A deadline that passes while the request is served would look as if the client had gone.
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{})
	rc.SetWriteDeadline(r.Deadline.Add(answerWithin))
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	delete(h, "X-Expires-In") // the node's own goes on
	delete(h, "Host")
	// Whatever Connection named, a backend needs these to tell a request from its repeat.
	h.Set("X-Trace-Id", r.ID)
	if key != "" {
		h.Set("Idempotency-Key", key)
	}
	r.Message = m
	return r, 0, nil
}
