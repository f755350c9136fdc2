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
	"glencart/internal/clients"
	"glencart/internal/engine"
	"glencart/internal/living"
	"glencart/internal/settings"
)

const (
	// stopsWithin is how long a client that stops within a request may stay: it is owed an error or a close within 3 s, of which
	// half a second is for a queue before Accept and for late timers.
	stopsWithin = 2500 * time.Millisecond
	// headWithin is how long a client may take from its connection, or the first byte of a further request,
	// to the last byte of the head; idleWithin how long it may keep a connection without a request.
	headWithin, idleWithin = stopsWithin, 4 * time.Second
	// drainMost bounds what is read of a body that is turned away.
	drainMost = 4 * bodyMost
	// answerWithin is how long a client may take to read its answer.
	answerWithin = 20 * time.Second
	// early is how much sooner than the client's deadline a request ends: its way here and the answer's way
	// back take part of the time, and neither can be seen from here.
	early = 8 * time.Millisecond
	// defaultDeadline stands for a class's deadline that is not told.
	defaultDeadline = time.Minute
	// goneEvery is how often it is looked at whether a client that waits has left. The library sees that only as long as nothing
	// has come after the request; each attempt's write is looked at by itself.
	goneEvery = 100 * time.Millisecond
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
	ready    atomic.Bool  // the node's life lets it be ready
	leaving  atomic.Bool  // the node is about to end
	closing  atomic.Bool  // and answers close their connections
	timed    atomic.Bool  // writing answers is timed
	writes   atomic.Int64 // the mean time of wording and writing an answer, ns
	book     living.Book
	table    *clients.Table
}

// newFront returns the client side for a node that may hold so many connections of clients.
func newFront(l *engine.Engine, names settings.Settings, most, backends int, fig *figures, log *slog.Logger) *front {
	f := &front{loop: l, log: log, table: clients.NewTable(most, clients.Platform)}
	f.tuning.Store(newTuning(names, fig))
	f.bodyMost.Store(uploadMost)
	f.resize(most, backends)
	return f
}

// resize changes how many connections of clients there may be, and how many to backends they may need.
func (f *front) resize(most, backends int) {
	f.most.Store(int64(min(most, backends-probesOut)))
	f.table.Resize(most)
}

// server returns the HTTP server of the client side.
func (f *front) server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headWithin, // a body has as long as it goes on coming
		IdleTimeout:       idleWithin,
		MaxHeaderBytes:    headMost,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnState:         f.table.Track,
		ConnContext:       clients.WithConn,
		// What the library would answer by itself no backend has made.
		DisableGeneralOptionsHandler: true,
	}
}

// ServeHTTP answers one request of a client.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	received := time.Now()
	var taken, answered bool
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				f.answerPanic(w, hr, p)
				answered = true
				if !taken {
					f.book.Taken.Add(1)
					taken = true
				}
			}
			f.count(taken, answered)
			panic(http.ErrAbortHandler)
		}
		f.count(taken, answered)
	}()
	// The last request's would hold on.
	http.NewResponseController(w).SetWriteDeadline(received.Add(headWithin + answerWithin))
	// Closing after an answer crosses no request, as closing an idle connection may.
	closes(w, hr.Context(), f.closing.Load() || f.table.Crowded())
	if frame := clients.FromContext(hr.Context()); frame != nil {
		switch {
		case frame.Unsure.Load(), hr.ProtoMajor == 1 && hr.ProtoMinor == 0 && frame.Chunked.Load():
			// Two lengths, or chunks that this version of HTTP does not have: it may hide another request.
			w.Header().Set("Connection", "close")
			http.Error(w, "Content-Length, Transfer-Encoding: the length of the body is not certain: send one of them, once", http.StatusBadRequest)
			return
		case frame.Chunked.Load():
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
	f.book.Taken.Add(1)
	taken = true
	if err != nil {
		answered = true
		if c := clients.FromContext(hr.Context()); c != nil && c.Cut() {
			w.Header().Set("Connection", "close")
			refuse(w, fullRetry)
			return
		}
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
	if !f.table.Begin(hr.Context()) { // it gives way, or the node ends
		answered = true
		f.refuseUnsent(w, hr.Context(), count)
		return
	}
	// Only whole requests count: else a few clients that send theirs slowly would have the rest refused.
	if f.inFlight.Add(1) > f.most.Load() {
		f.inFlight.Add(-1)
		answered = true
		f.refuseUnsent(w, hr.Context(), count)
		return
	}
	defer f.inFlight.Add(-1)
	f.serve(w, hr.Context(), r)
	answered = true
}

// answerPanic answers a request whose handler has panicked, unless its answer has begun: that ends without its last byte. net/http
// would end the connection without a word.
func (f *front) answerPanic(w http.ResponseWriter, hr *http.Request, cause any) {
	f.log.Error("a request ended in a panic: it is answered as failed", "id", hr.Header.Get("X-Trace-Id"), "panic", cause,
		"stack", string(debug.Stack()))
	w.Header().Set("Connection", "close")
	fail(w, http.StatusInternalServerError)
	http.NewResponseController(w).Flush()
}

// count takes in how a request ended, if it was taken.
func (f *front) count(taken, answered bool) {
	if !taken {
		return
	}
	if answered {
		f.book.Answered.Add(1)
	} else {
		f.book.Left.Add(1) // its connection is broken
	}
}

// refuseUnsent refuses a request that the loop has not seen, and closes its connection.
func (f *front) refuseUnsent(w http.ResponseWriter, ctx context.Context, count *classFigures) {
	closes(w, ctx, true)
	refuse(w, fullRetry)
	count.refused.Add(1)
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

// closes has an answer close its connection, if that is wanted and nothing that has been read stands behind it: net/http would drop that.
func closes(w http.ResponseWriter, ctx context.Context, want bool) {
	switch c := clients.FromContext(ctx); {
	case c != nil && c.Behind():
		w.Header().Del("Connection")
	case want:
		w.Header().Set("Connection", "close")
	}
}

// serve has the loop decide on a request and passes on the one final answer.
func (f *front) serve(w http.ResponseWriter, ctx context.Context, r *engine.Request) {
	m := r.Message.(*message)
	m.went = sync.OnceFunc(func() {
		m.gone.Store(true)
		f.loop.PostFirst(func() { f.loop.Gone(r) }) // where the loop has not taken it in yet, it never will
		close(m.lost)
	})
	f.loop.Post(func() {
		if m.gone.Load() {
			return // its client left while this waited for the loop
		}
		if !m.tuning.holds(f.tuning.Load(), r.Class) {
			// Nothing has run: read again, it is of the class that its name means now.
			r.Reply <- engine.Answer{Kind: engine.Refused}
			return
		}
		f.loop.Arrive(r)
	})
	look := time.NewTicker(goneEvery)
	defer look.Stop()
	for {
		select {
		case a := <-r.Reply:
			closes(w, ctx, f.closing.Load())
			if a.Kind == engine.Failed && replyOf(a.Body).neverRan {
				a.Kind = engine.Refused // the only attempt broke before its last byte
			}
			f.write(w, a)
			m.count.answered(a.Kind)
			return
		case s := <-m.streams:
			closes(w, ctx, f.closing.Load())
			f.pass(w, s, m.count)
			return
		case <-look.C:
			m.clientGone()
		case <-ctx.Done():
			m.went()
		case <-m.lost:
			if m.up != nil {
				m.up.gone.Store(true)
			}
			// Returning would have the library word an empty 200.
			panic(http.ErrAbortHandler)
		case <-f.loop.Done(): // the node is ending
			fail(w, http.StatusBadGateway)
			m.count.failed.Add(1)
			return
		}
	}
}

// clientGone tells whether the client has left. It is asked in the instant before each attempt's write: the loop, and the library
// that reads on, may not have seen so yet, or, behind a byte that came after the request, never would.
func (m *message) clientGone() bool {
	if !m.gone.Load() && m.client.Gone() {
		m.went()
	}
	return m.gone.Load()
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
		http.Error(w, "X-Trace-Id: another request with this id is open: give each request an id of its own", http.StatusConflict)
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
			return bad("%s: given more than once: send it once", name)
		}
	}
	r := &engine.Request{ID: h.Get("X-Trace-Id"), Reply: make(chan engine.Answer, 1), Repeat: h.Get("X-Second-Try") == "1"}
	if r.ID == "" {
		return bad("X-Trace-Id: missing: give each request an id of its own")
	}
	if r.Class = t.Class(h.Get("X-Qos")); r.Class < 0 {
		return bad("X-Qos: no such class: name one of the settings")
	}
	if len(t.Tenants) > 0 {
		if r.Tenant = slices.Index(t.Tenants, h.Get("X-Customer")); r.Tenant < 0 {
			return bad("X-Customer: no such customer: name a tenant of the settings")
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
		w.Header().Set("Allow", method)
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("X-Qos: requests of this class use %s", method)
	case keyed && key == "":
		return bad("Idempotency-Key: missing: requests of this class need one")
	}
	left := cmp.Or(class.Deadline, defaultDeadline)
	if text := h.Get("X-Expires-In"); text != "" {
		s, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
			return bad("X-Expires-In: not a time: send seconds, such as 0.480")
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
	m := &message{tuning: t, count: t.counts[r.Class], method: method, uri: hr.RequestURI, url: hr.URL, host: hr.Host, header: h, left0: left - early,
		streams: make(chan *stream, 1), client: clients.FromContext(hr.Context()), lost: make(chan struct{})}
	switch err := f.body(w, hr, m); {
	case errors.Is(err, errTooLong):
		m.release()
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("%w: send at most %d bytes", err, f.bodyMost.Load())
	case err != nil:
		m.release()
		return nil, http.StatusRequestTimeout, fmt.Errorf("%w, or it came too slowly: send all that its head tells, without a pause", err)
	}
	// A request's time begins with its last byte.
	if hr.ContentLength != 0 {
		received = time.Now()
	}
	if m.client != nil && m.up == nil {
		received = received.Add(-m.client.Stood(received))
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
