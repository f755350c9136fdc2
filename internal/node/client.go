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
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/internal/settings"
)

const (
	// headWithin and bodyWithin are how long a client may take to send a head and a body, and idleWithin how
	// long it may keep a connection without a request.
	headWithin, bodyWithin, idleWithin = 3 * time.Second, 3 * time.Second, 30 * time.Second
	// answerWithin is how long a client may take to read its answer.
	answerWithin = 5 * time.Second
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
	loop     *loop
	names    settings.Settings
	log      *slog.Logger
	most     int64 // requests at once
	inFlight atomic.Int64
	crowded  int         // so many connections that idle ones give way and answers close theirs
	leaving  atomic.Bool // the node is about to end

	mu    sync.Mutex
	conns map[net.Conn]time.Time // connections of clients; since when one is idle, zero while it is not
}

// newFront returns the client side for a node that may hold so many connections of clients.
func newFront(l *loop, names settings.Settings, conns int, log *slog.Logger) *front {
	// Each request in flight may need a connection to a backend, beside those of probes.
	return &front{loop: l, names: names, log: log, most: int64(conns) * 7 / 8, crowded: conns * 3 / 4,
		conns: map[net.Conn]time.Time{}}
}

// server returns the HTTP server of the client side.
func (f *front) server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headWithin,
		IdleTimeout:       idleWithin,
		WriteTimeout:      bodyWithin + longestDeadline(f.names) + answerWithin,
		MaxHeaderBytes:    headMost,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnState:         f.track,
		ConnContext:       withFraming,
	}
}

// track follows the connections of clients. When they become many, the one that has been idle longest is closed:
// else a crowd that keeps its connections would lock out who has something to ask.
func (f *front) track(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		f.conns[c] = time.Time{}
	case http.StateIdle:
		f.conns[c] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(f.conns, c)
	}
	if s != http.StateNew || len(f.conns) <= f.crowded {
		return
	}
	var oldest net.Conn
	var since time.Time
	for c, at := range f.conns {
		if !at.IsZero() && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	if oldest != nil {
		f.conns[oldest] = time.Time{}
		oldest.Close()
	}
}

// isCrowded tells whether there are so many connections that answers should close theirs.
func (f *front) isCrowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) > f.crowded
}

// ServeHTTP answers one request of a client.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	received := time.Now()
	if f.leaving.Load() || f.isCrowded() {
		// Closing after an answer crosses no request, as closing an idle connection may.
		w.Header().Set("Connection", "close")
	}
	if frame := framingOf(hr.Context()); frame != nil {
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
		f.health(w, f.loop.ready.Load() && !f.leaving.Load())
		return
	case "/health/live":
		f.health(w, true)
		return
	}
	if f.inFlight.Add(1) > f.most {
		f.inFlight.Add(-1)
		w.Header().Set("Connection", "close")
		refuse(w, fullRetry)
		return
	}
	defer f.inFlight.Add(-1)
	r, status, err := f.read(w, hr, received)
	if err != nil {
		if status >= http.StatusRequestTimeout {
			w.Header().Set("Connection", "close") // the rest of the body is of no use
		}
		http.Error(w, err.Error(), status)
		return
	}
	f.serve(w, hr.Context(), r)
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
func (f *front) serve(w http.ResponseWriter, ctx context.Context, r *request) {
	f.loop.post(func() { f.loop.arrive(r) })
	select {
	case a := <-r.reply:
		if f.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		write(w, a)
	case <-ctx.Done():
		f.loop.post(func() { f.loop.gone(r) })
		// Returning would have the library word an empty 200.
		panic(http.ErrAbortHandler)
	case <-f.loop.done: // the node is ending
		fail(w, http.StatusBadGateway)
	}
}

func write(w http.ResponseWriter, a answer) {
	switch a.kind {
	case served:
		if a.contentType != "" {
			w.Header().Set("Content-Type", a.contentType)
		} else {
			w.Header()["Content-Type"] = nil // none was given: guess none
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(http.StatusOK)
		w.Write(a.body)
	case refused:
		refuse(w, a.retryIn)
	case failed:
		status := http.StatusBadGateway
		if a.late {
			status = http.StatusGatewayTimeout
		}
		fail(w, status)
	case doubled:
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
func (f *front) read(w http.ResponseWriter, hr *http.Request, received time.Time) (*request, int, error) {
	bad := func(format string, args ...any) (*request, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	h := hr.Header
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key"} {
		if len(h[name]) > 1 {
			return bad("%s: given more than once", name)
		}
	}
	r := &request{id: h.Get("X-Trace-Id"), reply: make(chan answer, 1), repeat: h.Get("X-Second-Try") == "1"}
	if r.id == "" {
		return bad("X-Trace-Id: missing")
	}
	if r.class = slices.Index(f.names.Classes, h.Get("X-Qos")); r.class < 0 {
		return bad("X-Qos: no such class")
	}
	if len(f.names.Tenants) > 0 {
		if r.tenant = slices.Index(f.names.Tenants, h.Get("X-Customer")); r.tenant < 0 {
			return bad("X-Customer: no such customer")
		}
	}
	key := h.Get("Idempotency-Key")
	class := &f.names.Config.Classes[r.class]
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
	r.deadline = received.Add(left - early)
	if us, err := strconv.ParseFloat(h.Get("X-Size-Hint"), 64); err == nil && us > 0 && us < 1e12 {
		r.hint = time.Duration(us * float64(time.Microsecond))
	}
	if subject := path.Base(hr.URL.Path); subject != "/" && subject != "." {
		sum := fnv.New64a()
		io.WriteString(sum, subject)
		r.key, r.hasKey = sum.Sum64()>>11, true
	}
	if hr.ContentLength > bodyMost {
		return nil, http.StatusRequestEntityTooLarge, errors.New("body too long")
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(received.Add(bodyWithin))
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, bodyMost))
	if err != nil {
		if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
			return nil, http.StatusRequestEntityTooLarge, errors.New("body too long")
		}
		return nil, http.StatusRequestTimeout, errors.New("body cut short")
	}
	// A deadline that passes while the request is served would look as if the client had gone.
	rc.SetReadDeadline(time.Time{})
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	// Whatever Connection named, a backend needs these to tell a request from its repeat.
	h.Set("X-Trace-Id", r.id)
	if key != "" {
		h.Set("Idempotency-Key", key)
	}
	r.message = message{method: method, url: hr.URL, host: hr.Host, header: h, body: body}
	return r, 0, nil
}
