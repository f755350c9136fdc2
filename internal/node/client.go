package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"glencart/internal/clients"
	"glencart/internal/engine"
	"glencart/internal/living"
	"glencart/internal/lograte"
	"glencart/internal/settings"
)

const (
	// stalledRequestTimeout is how long a client that stops within a request may stay connected. The client
	// must get an error or a close within 3 s. Half a second of that is for a queue before Accept and for late
	// timers.
	stalledRequestTimeout = 2500 * time.Millisecond
	// headTimeout is how long a client may take from its connection, or from the first byte of a further
	// request, to the last byte of the head. clientIdleTimeout is how long a connection may stay without a
	// request.
	headTimeout, clientIdleTimeout = stalledRequestTimeout, 4 * time.Second
	// maxDiscardedBytes bounds how many bytes are read of the body of a rejected request.
	maxDiscardedBytes = 4 * maxBufferedBodyBytes
	// answerReadTimeout is how long a client may take to read its answer.
	answerReadTimeout = 20 * time.Second
	// deadlineMargin is how much sooner than the client's deadline a request ends. The request's way to the node and the
	// answer's way back take part of the time, and the node can't measure either.
	deadlineMargin = 8 * time.Millisecond
	// defaultDeadline is the deadline of a class that has none.
	defaultDeadline = time.Minute
	// clientCheckInterval is the interval at which the node checks whether a waiting client has left. net/http
	// sees that only while no byte follows the request. Each attempt is checked once more before its write.
	clientCheckInterval = 100 * time.Millisecond
	// fullRetryAfter is the retry-after of a request that is rejected because the node is full.
	fullRetryAfter = 250 * time.Millisecond
)

// front is the client side. It reads requests, passes them to the loop for a decision and writes the answers.
type front struct {
	loop              *engine.Engine
	settings          atomic.Pointer[activeSettings]
	bodyBudget        budget       // for bodies
	answerBudget      budget       // for answers
	copyBuffers       copyBuffers  // for streams
	uploads           atomic.Int64 // open requests whose bodies are still arriving
	writes            answerWrites
	roomLog           lograte.Limited
	cutLog            lograte.Limited // answers that ended before their last byte
	ownAnswers        clients.Pacer   // of answers that no backend makes
	silentBodiesCut   atomic.Int64    // clients that gave way because they stopped within a body
	silentReadersCut  atomic.Int64    // clients that gave way because they did not read
	maxBodyBytes      atomic.Int64    // longest body in bytes
	log               *slog.Logger
	maxInFlight       atomic.Int64 // limit on requests in flight
	inFlight          atomic.Int64
	isReady           atomic.Bool  // the lifecycle permits readiness
	isLeaving         atomic.Bool  // the node is shutting down
	closesConnections atomic.Bool  // answers close their connections
	isTimingWrites    atomic.Bool  // the time for writing answers is measured
	meanWriteNanos    atomic.Int64 // mean time for encoding and writing an answer, in ns
	requestCounts     living.RequestCounts
	lateAnswers       lateAnswers
	table             *clients.Table
}

// newFront returns the client side of a node with these limits.
func newFront(l *engine.Engine, names settings.Settings, limits bounds, counts *counters, log *slog.Logger) *front {
	f := &front{loop: l, log: log, lateAnswers: lateAnswers{log: lograte.Limited{Log: log}}, roomLog: lograte.Limited{Log: log},
		cutLog: lograte.Limited{Log: log}, table: clients.NewTable(limits.clients, clients.PlatformThresholds)}
	f.settings.Store(newActiveSettings(names, counts))
	f.maxBodyBytes.Store(maxUploadBytes)
	f.setLimits(limits)
	return f
}

// setLimits changes the limits on connections of clients and on open requests.
func (f *front) setLimits(b bounds) {
	f.maxInFlight.Store(int64(b.requests))
	f.table.Resize(b.clients)
	f.setMemory(b)
}

// server returns the HTTP server of the client side.
func (f *front) server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headTimeout, // a body has its own timeout, see pacedReader
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnState:         f.table.Track,
		ConnContext:       clients.WithConn,
		// Without this net/http would answer "OPTIONS *" itself, with an answer that no backend sent.
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
					f.requestCounts.Accepted.Add(1)
					taken = true
				}
			}
			f.countOutcome(taken, answered)
			panic(http.ErrAbortHandler)
		}
		f.countOutcome(taken, answered)
	}()
	// Otherwise the write deadline of the previous request on this connection would apply.
	http.NewResponseController(w).SetWriteDeadline(received.Add(headTimeout + answerReadTimeout))
	// Closing an idle connection may cross a request that is under way. Closing after an answer can't.
	setConnectionClose(w, hr.Context(), f.closesConnections.Load() || f.table.IsCrowded())
	if f.answerHere(w, hr) {
		return
	}
	r, status, err := f.readRequest(w, hr, received)
	f.requestCounts.Accepted.Add(1)
	taken = true
	if err != nil {
		f.answerUnreadable(w, hr, status, err)
	} else {
		f.serveWithinLimits(w, hr, r)
	}
	answered = true
}

// answerHere answers a request that goes to no backend: a health check, or one whose head can't be trusted. It reports whether it did.
func (f *front) answerHere(w http.ResponseWriter, hr *http.Request) bool {
	client := clients.FromContext(hr.Context())
	switch {
	case client == nil:
	case client.HasAmbiguousLength.Load(), hr.ProtoMajor == 1 && hr.ProtoMinor == 0 && client.Chunked.Load():
		// The request has two lengths, or chunks, which HTTP/1.0 doesn't have. Its body may hide another
		// request.
		f.ownAnswers.AwaitClosing(hr.Context())
		w.Header().Set("Connection", "close")
		http.Error(w, "Content-Length, Transfer-Encoding: the length of the body is not certain: send one of them, once", http.StatusBadRequest)
		return true
	case client.HasTooManyFields(hr.Header):
		f.ownAnswers.AwaitClosing(hr.Context())
		w.Header().Set("Connection", "close")
		http.Error(w, fmt.Sprintf("head: too many fields: send at most %d", clients.DefaultMaxHeadFields), http.StatusRequestHeaderFieldsTooLarge)
		return true
	case client.Chunked.Load():
		w.Header().Set("Connection", "close")
	}
	switch hr.URL.Path {
	case "/health/ready":
		f.ownAnswers.Await(hr.Context(), client)
		f.health(w, f.loop.HasReadyBackend() && f.isReady.Load())
		return true
	case "/health/live":
		f.ownAnswers.Await(hr.Context(), client)
		f.health(w, true)
		return true
	}
	return false
}

// serveWithinLimits serves a request, or rejects it if there are too many.
func (f *front) serveWithinLimits(w http.ResponseWriter, hr *http.Request, r *engine.Request) {
	m := r.Message.(*message)
	defer m.bodyReservation.release()
	defer m.closeStreams()
	if m.upload != nil {
		defer m.upload.stop()
	}
	if !f.table.Begin(hr.Context()) { // the connection is being closed to make room, or the node is shutting down
		f.rejectUnsent(w, hr.Context(), m.counters)
		return
	}
	// Only whole requests count. Otherwise a few clients that send slowly would cause the rejection of all
	// others.
	if f.inFlight.Add(1) > f.maxInFlight.Load() {
		f.inFlight.Add(-1)
		f.cutSilentReader()
		f.rejectUnsent(w, hr.Context(), m.counters)
		return
	}
	defer f.inFlight.Add(-1)
	if m.upload != nil {
		if !f.beginUpload() {
			f.logGivenWay(hr, "one of too many bodies that are still arriving")
			f.rejectUnsent(w, hr.Context(), m.counters)
			return
		}
		defer f.uploads.Add(-1)
	}
	f.serve(w, hr.Context(), r)
}

// answerUnreadable answers a request that could not be read.
func (f *front) answerUnreadable(w http.ResponseWriter, hr *http.Request, status int, err error) {
	extendWriteDeadline(w)
	if clients.FromContext(hr.Context()).IsBodyCut() {
		f.logGivenWay(hr, "stopped within its body")
		w.Header().Set("Connection", "close")
		writeRejected(w, fullRetryAfter)
		return
	}
	f.rejectMalformed(w, hr, err, status)
	t := f.settings.Load()
	if class := t.Class(hr.Header.Get("X-Qos")); class >= 0 {
		t.counters[class].failed.Add(1)
	}
}

// extendWriteDeadline gives a client time to read its answer from now on. Its body may have taken longer than the time that was set at the
// head of the request, and an answer behind that deadline would not be written.
func extendWriteDeadline(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerReadTimeout))
}

// extendWriteDeadline does so for a message whose body was passed on as it arrived.
func (m *message) extendWriteDeadline(w http.ResponseWriter) {
	if m.upload != nil {
		extendWriteDeadline(w)
	}
}

// countOutcome counts how a received request ended.
func (f *front) countOutcome(taken, answered bool) {
	if !taken {
		return
	}
	if answered {
		f.requestCounts.Answered.Add(1)
	} else {
		f.requestCounts.ClientLeft.Add(1) // the client's connection is broken
	}
}

// serve passes a request to the loop and writes its one final answer.
func (f *front) serve(w http.ResponseWriter, ctx context.Context, r *engine.Request) {
	m, deadline := r.Message.(*message), r.Deadline // the loop may change the deadline
	m.markClientGone = sync.OnceFunc(func() {
		m.clientHasGone.Store(true)
		f.loop.PostFirst(func() { f.loop.ClientGone(r) }) // if the loop has not received the request yet, it never will
		close(m.clientGoneSignal)
	})
	m.stages.postedAt = time.Now()
	f.loop.Post(func() {
		if m.clientHasGone.Load() {
			return // the client left while this was queued for the loop
		}
		m.stages.reachedLoop()
		f.loop.ObserveDelay(m.stages.queueTime)
		if !m.settings.accepts(f.settings.Load(), r.Class) {
			// Nothing has run. When the client sends it again, the request gets the class that the name has
			// now.
			r.Reply <- engine.Answer{Kind: engine.Refused}
			return
		}
		f.loop.Arrive(r)
	})
	look := time.NewTicker(clientCheckInterval)
	defer look.Stop()
	for {
		select {
		case a := <-r.Reply:
			f.lateAnswers.record(r, deadline, false)
			m.extendWriteDeadline(w)
			setConnectionClose(w, ctx, f.closesConnections.Load() || m.client.IsBodyCut())
			if a.Kind == engine.Failed && replyOf(a.Body).neverRan {
				a.Kind = engine.Refused // the only attempt broke before its last byte
			}
			if a.Kind == engine.Duplicate {
				f.ownAnswers.Await(ctx, m.client)
			}
			f.write(w, a)
			m.counters.answered(a.Kind)
			return
		case s := <-m.streams:
			m.extendWriteDeadline(w)
			setConnectionClose(w, ctx, f.closesConnections.Load())
			f.writeStream(w, s, m)
			return
		case <-look.C:
			m.checkClientGone()
			if m.upload != nil {
				deadline = m.upload.updateDeadline()
			}
			if !deadline.IsZero() && time.Since(deadline) > overdueMargin && r.ClaimAnswer() {
				m.extendWriteDeadline(w)
				f.answerOverdue(w, r, deadline)
				return
			}
		case <-ctx.Done():
			m.markClientGone()
		case <-m.clientGoneSignal:
			if m.upload != nil {
				m.upload.clientGone.Store(true)
			}
			// If the handler returned, net/http would send an empty 200.
			panic(http.ErrAbortHandler)
		case <-f.loop.Done(): // the node has ended
			writeFailed(w, http.StatusBadGateway)
			m.counters.failed.Add(1)
			return
		}
	}
}

// checkClientGone reports whether the client has left. It is called right before the write of each attempt. The
// loop and net/http may not have seen it yet. net/http never sees it if a byte came after the request.
func (m *message) checkClientGone() bool {
	if !m.clientHasGone.Load() && m.client.HasClientClosed() {
		m.markClientGone()
	}
	return m.clientHasGone.Load()
}
