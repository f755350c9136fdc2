package node

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"glencart/balance"
	"glencart/internal/clients"
	"glencart/internal/engine"
	"glencart/internal/http1"
	"glencart/internal/lograte"
	"glencart/internal/settings"
	"glencart/internal/sock"
	"glencart/internal/upstream"
	"glencart/reuse"
)

const (
	// maxBufferedBodyBytes and maxHeadBytes bound the body and the head of a message, in bytes.
	maxBufferedBodyBytes, maxHeadBytes = 64 << 10, 16 << 10
	// maxAnswerBytes bounds the bytes read for one answer. A body in small chunks takes several times its own size
	// on the wire.
	maxAnswerBytes = maxHeadBytes + 4*maxBufferedBodyBytes
	// maxInformational is how many 1xx answers may precede the final one.
	maxInformational = 8
	// probeTimeout is the timeout of a probe. A later answer would describe an outdated state. Its connection waits for the answer for
	// lateProbeWait more, if there is room, because the next probe would need a new one, which costs the backend more than a probe.
	probeTimeout, lateProbeWait = 150 * time.Millisecond, time.Second
	// reportHeader carries a load report. neverRanHeader marks a request that the backend did not run.
	reportHeader, neverRanHeader = "Endpoint-Load-Metrics", "X-Never-Ran"
)

var (
	errTooLongAnswer = errors.New("answer too long")
	// errListNotConfirmed reports that an attempt was not sent, because its backend may have been removed meanwhile.
	errListNotConfirmed = errors.New("endpoint list not confirmed")
)

// transport sends attempts and probes to backends. Each runs in its own goroutine on one connection.
//
// It doesn't use the connections of net/http. http.Transport sends a request again when a reused connection
// breaks. ClientConn doesn't, but it reports a request as written (httptrace.WroteRequest) while the request is
// still in a buffer. Neither reports whether the last byte has left, which decides whether an attempt may have
// run. Here each request goes out in one Write. net/http is used to parse the answer.
type transport struct {
	pool       *pool
	log        *slog.Logger
	inline     bool // answers carry load reports in a header
	limitedLog *lograte.Limited
	currency   *listCurrency // nil: requests are sent by any list
	jobs       chan func()   // jobs for idle workers; a new goroutine would have to grow its stack again

	notEncoded    atomic.Int64 // attempts and probes that couldn't be encoded
	notEncodedLog *lograte.Limited
}

func newTransport(p *pool, inline bool, log *slog.Logger) *transport {
	return &transport{pool: p, log: log, inline: inline, limitedLog: &lograte.Limited{Log: log},
		notEncodedLog: &lograte.Limited{Log: log}, jobs: make(chan func())}
}

// message is a client's request in the form in which it goes to backends.
type message struct {
	method   string
	uri      string // request target as received, if it is a path; net/url may encode it differently
	url      *url.URL
	host     string
	header   http.Header
	body     []byte   // first part of the body, at most maxBufferedBodyBytes bytes
	more     [][]byte // further pieces of a longer body that is held
	upload   *upload  // rest of a longer body that is not held
	probe    bool
	settings *activeSettings // settings under which the request was read
	counters *classCounters  // nil if the message isn't counted

	timeLeft time.Duration // time budget of the request from its last byte on
	stages   stages

	bodyReservation reservation // of body and more

	client           *clients.Conn // connection of the client; nil if there is none or it can't be checked
	clientHasGone    atomic.Bool   // the client has left
	markClientGone   func()        // records that the client has left; runs once
	clientGoneSignal chan struct{} // closed by markClientGone

	mu                sync.Mutex
	handlerDone       bool         // the client's goroutine has ended
	streams           chan *stream // receives an answer that is still arriving; capacity 1
	answerReservation reservation  // of the answers of all attempts
}

// reply is the answer of a backend that served the request.
type reply struct {
	body        []byte
	contentType string
	neverRan    bool // no answer: an upload broke before its last byte
}

// replyOf returns the reply in a result, or an empty one if there is none.
func replyOf(body any) *reply {
	if r, ok := body.(*reply); ok {
		return r
	}
	return &reply{}
}

// call is an exchange in progress.
type call struct {
	cancel  context.CancelFunc
	attempt *engine.Attempt // nil for a probe
	upload  *upload         // rest of the body, if this call sends it
	state   atomic.Int32
}

// States of a call: no byte is written yet, a byte may be written, or no byte will ever be written.
const (
	callQueued int32 = iota
	callWriting
	callBarred
)

// bar prevents a call that has not begun to write from writing at all. For a drain a request counts as sent
// from its first byte on, and a dial may take longer than the drain grace. bar reports whether it came before
// the first byte.
func (c *call) bar() bool { return c.state.CompareAndSwap(callQueued, callBarred) }

// Send starts an attempt. Send, PreventWrite, Cancel, Probe and CloseIdle implement the engine's transport.
func (x *transport) Send(a *engine.Attempt) {
	a.State = x.begin(a, a.To, a.Request.Message.(*message), a.Deadline, a.Done)
}

// PreventWrite is call.bar. A barred attempt reads nothing of the client's body, so the next attempt, which follows at
// once, gets the body.
func (x *transport) PreventWrite(a *engine.Attempt) bool {
	c := a.State.(*call)
	barred := c.bar()
	if barred {
		c.upload.unclaim(c)
	}
	return barred
}

// Cancel ends an attempt and closes its connection.
func (x *transport) Cancel(a *engine.Attempt) { a.State.(*call).cancel() }

// CloseIdle closes the idle connections to an endpoint.
func (x *transport) CloseIdle(to engine.Endpoint) { x.pool.Drop(to) }

// attempt sends a message to an endpoint. It calls done from another goroutine with the result. An attempt that
// is not over by the deadline ends then, and its connection is closed.
func (x *transport) attempt(to engine.Endpoint, m *message, deadline time.Time, done func(engine.Result)) *call {
	return x.begin(nil, to, m, deadline, done)
}

// begin is like attempt. If own is not nil, the engine can have its answer delivered as a stream.
func (x *transport) begin(own *engine.Attempt, to engine.Endpoint, m *message, deadline time.Time, done func(engine.Result)) *call {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	if m.upload != nil {
		// The time budget starts with the last byte of the body.
		cancel()
		ctx, cancel = context.WithCancel(context.Background())
	}
	c := &call{cancel: cancel, attempt: own, upload: m.upload}
	m.upload.claim(c)
	x.runJob(func() {
		defer cancel()
		if r, handed := x.roundTrip(ctx, c, to, m, deadline); !handed {
			done(r)
		}
	})
	return c
}

// workerIdleTimeout is how long an idle worker waits for another job.
const workerIdleTimeout = time.Second

// runJob runs a job at once, in an idle worker or in a new goroutine.
func (x *transport) runJob(job func()) {
	select {
	case x.jobs <- job:
		return
	default:
	}
	go func() {
		keep := time.NewTimer(workerIdleTimeout)
		defer keep.Stop()
		for {
			job()
			job = nil // it refers to the message, and to the answer
			keep.Reset(workerIdleTimeout)
			select {
			case job = <-x.jobs:
			case <-keep.C:
				return
			}
		}
	}()
}

// roundTrip carries out one attempt once, on one connection. It reports true if it handed the answer on as a
// stream and informed the engine.
func (x *transport) roundTrip(ctx context.Context, c *call, to engine.Endpoint, m *message, deadline time.Time) (engine.Result, bool) {
	ended := func(st balance.Status) (engine.Result, bool) { return engine.Result{Status: st}, false }
	if m.upload != nil && m.upload.owner.Load() != c {
		return ended(balance.Unused) // another attempt has the body, or has sent a part of it
	}
	cn, text, stop, err := x.readyConn(ctx, c, to, m, deadline)
	if err != nil {
		m.upload.unclaim(c)
	}
	switch {
	case errors.Is(err, upstream.ErrNoCapacity), errors.Is(err, errListNotConfirmed), errors.As(err, new(*http1.InvalidError)):
		return ended(balance.Unused) // the cause is not the backend
	case err != nil:
		return engine.Result{Status: balance.DialFailed, Refused: errors.Is(err, syscall.ECONNREFUSED)}, false
	}
	defer stop()
	if ctx.Err() != nil || c.attempt != nil && c.attempt.TooLate() || m.checkClientGone() || !c.state.CompareAndSwap(callQueued, callWriting) {
		m.upload.unclaim(c)
		x.pool.Discard(cn, upstream.Unsent)
		return ended(balance.Unused)
	}
	writtenAt := time.Now()
	if n, all, err := m.send(cn, text); err != nil {
		m.upload.unclaim(c)
		x.pool.Discard(cn, upstream.WriteFailed)
		if n < all || m.upload != nil {
			return ended(balance.DialFailed) // the last byte was not sent
		}
		return ended(x.brokenStatus(ctx, err))
	}
	if m.upload != nil {
		// This attempt is the last one, because it reads the rest of the body.
		c.attempt.StreamStarted()
		if err := m.upload.pass(cn, m.upload.length-m.size(), c.attempt.WriteBy); err != nil {
			x.pool.Discard(cn, upstream.WriteFailed)
			r := engine.Result{Status: balance.DialFailed, Body: &reply{neverRan: true}}
			if errors.Is(err, errClient) {
				r.Status = balance.Unused // the cause is not the backend
			}
			return r, false
		}
		c.attempt.BodySent()
		cn.OwnDelay += time.Since(writtenAt) // the client's pace is no time of the backend
		writtenAt = time.Now()
		deadline = cmp.Or(m.upload.updateDeadline(), writtenAt.Add(m.timeLeft))
		cn.SetDeadline(deadline)
	}
	if m.counters != nil {
		m.counters.attempts.Add(1)
	}
	x.logWritten(cn, m)
	var passOnBy time.Time // probes get whole answers only
	if c.attempt != nil {
		passOnBy = deadline.Add(-passOnMargin)
	}
	ex := &exchange{conn: cn, stop: stop, writtenAt: writtenAt, deadline: deadline, passOnBy: passOnBy}
	own, err := x.readOwnAnswer(m, ex)
	if err != nil {
		x.logEnded(cn, m, 0, err)
		return ended(x.endBroken(ctx, cn, err))
	}
	x.logEnded(cn, m, own.resp.StatusCode, nil)
	x.pool.breakRates.record(cn.IdleAge, false)
	return x.handleAnswer(ctx, c, m, ex, own)
}

// logWritten logs that a request was written on a connection.
func (x *transport) logWritten(cn *upstream.Conn, m *message) {
	if x.log.Enabled(context.Background(), slog.LevelDebug) {
		x.log.Debug("attempt written", "id", m.header.Get("X-Trace-Id"), "probe", m.probe, "backend", cn.To.ID, "connection", cn.Number,
			"answers", cn.State.Answers, "idle", cn.IdleAge)
	}
}

// logEnded logs how an attempt that was written ended: with an answer, or without.
func (x *transport) logEnded(cn *upstream.Conn, m *message, status int, err error) {
	if x.log.Enabled(context.Background(), slog.LevelDebug) {
		x.log.Debug("attempt ended", "id", m.header.Get("X-Trace-Id"), "probe", m.probe, "backend", cn.To.ID, "connection", cn.Number,
			"answers", cn.State.Answers, "status", status, "error", err)
	}
}

// exchange is an attempt or a probe whose request has been written.
type exchange struct {
	conn      *upstream.Conn
	stop      func() bool // ends the watch for cancellation; false: it was cancelled
	writtenAt time.Time
	deadline  time.Time
	passOnBy  time.Time // when an answer that has begun is passed on; zero: never before it is whole
}

// handleAnswer returns the result of an answer and ends the use of its connection, as roundTrip does.
func (x *transport) handleAnswer(
	ctx context.Context, c *call, m *message, ex *exchange, own candidate,
) (engine.Result, bool) {
	resp := own.resp
	r := engine.Result{Status: outcome(resp)}
	whole := reply{body: own.body, contentType: resp.Header.Get("Content-Type")}
	isWhole := resp.Body == http.NoBody
	r.OwnDelay = ex.conn.OwnDelay
	if text := resp.Header.Get(reportHeader); text != "" && x.inline {
		r.Load = x.parseReport(text)
	}
	switch {
	case !isWhole && r.Status == balance.Delivered:
		return x.startStream(ctx, c.attempt, ex.stop, m, &stream{reply: whole, length: resp.ContentLength, rest: resp.Body, cn: ex.conn,
			isReusable: !resp.Close, pool: x.pool, answer: own.answer}, r.Load)
	case !isWhole, resp.Close:
		x.pool.Discard(ex.conn, upstream.AfterAnswer)
	case ex.conn.Reader.Buffered() > 0:
		x.pool.DiscardBehind(ex.conn, own.answer)
	case !ex.stop():
		x.pool.Discard(ex.conn, upstream.Cancelled)
	default:
		x.pool.Put(ex.conn, own.answer) // the next request sets its own deadline
	}
	if r.Status == balance.Delivered {
		r.Body = &whole
	}
	return r, false
}

// endBroken closes a connection whose request was written whole and got no whole answer, and returns the status of the attempt.
func (x *transport) endBroken(ctx context.Context, cn *upstream.Conn, err error) balance.Status {
	if errors.Is(err, errNotTaken) {
		return balance.Dropped
	}
	status := x.brokenStatus(ctx, err)
	switch status {
	case balance.Expired:
		x.pool.Discard(cn, upstream.TimedOut)
	case balance.Cancelled:
		x.pool.Discard(cn, upstream.Cancelled)
	default:
		x.pool.breakRates.record(cn.IdleAge, true)
		if cn.State.IsReused() && upstream.HasBytesBefore(err) {
			x.pool.DiscardSurplus(cn, reuse.BytesBeforeAnswer)
		} else {
			x.pool.Discard(cn, upstream.Broken)
		}
	}
	return status
}

// readyConn returns a connection and the first bytes to write on it. The check of the connection is the last step
// before the write. Bytes that were readable before the request are no answer to it, and a connection that has
// ended would lose the request.
func (x *transport) readyConn(
	ctx context.Context, c *call, to engine.Endpoint, m *message, deadline time.Time,
) (*upstream.Conn, []byte, func() bool, error) {
	var ownDelay time.Duration // of this attempt, on all connections
	for {
		cn, err := x.pool.Get(ctx, to, upstream.Request{IsProbe: m.probe, Deadline: m.answerBy(deadline)})
		if err != nil {
			return nil, nil, nil, err
		}
		awaitBegan := time.Now()
		if !m.probe && !x.currency.await(ctx) {
			x.pool.Discard(cn, upstream.Unsent)
			return nil, nil, nil, errListNotConfirmed
		}
		ownDelay += cn.OwnDelay + time.Since(awaitBegan)
		cn.OwnDelay = ownDelay
		left := time.Until(deadline)
		if m.probe {
			left -= lateProbeWait
		}
		text, err := m.encode(to.Addr, left)
		if err != nil {
			x.pool.Discard(cn, upstream.Unsent)
			x.notEncodedLog.Warn("attempt can't be encoded: not sent", "id", m.header.Get("X-Trace-Id"), "probe", m.probe,
				"backend", to.ID, "error", err, "total", x.notEncoded.Add(1))
			return nil, nil, nil, err
		}
		cn.SetDeadline(deadline)
		if c.attempt != nil && !c.attempt.WriteBy.IsZero() && c.attempt.WriteBy.Before(deadline) {
			cn.SetWriteDeadline(c.attempt.WriteBy) // the request counts as sent with its last byte
		}
		// A call that is given up closes its connection at once. Nothing that arrives later has a receiver.
		stop := context.AfterFunc(ctx, func() { sock.Abort(cn.Conn) })
		if cn.IsUsable() || ctx.Err() != nil { // if ctx has ended, the connection is closed already
			return cn, text, stop, nil
		}
		stop()
		x.pool.DiscardNotIdle(cn)
		if !cn.State.IsReused() {
			return nil, nil, nil, errNewConnNotQuiet
		}
	}
}

// brokenStatus returns the status of an attempt that was written whole and got no whole answer. The backend may
// have run it.
func (x *transport) brokenStatus(ctx context.Context, err error) balance.Status {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Expired
	case ctx.Err() != nil:
		return balance.Cancelled
	}
	return balance.Dropped
}

// outcome returns the status of a whole answer.
func outcome(resp *http.Response) balance.Status {
	switch resp.StatusCode {
	case http.StatusOK:
		return balance.Delivered
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(neverRanHeader) == "1" {
			return balance.Shed
		}
	}
	return balance.AppError
}

// answerBy returns when the message must have its answer, if it is sent with this deadline. Zero means that its time has not begun.
func (m *message) answerBy(deadline time.Time) time.Time {
	if m.upload != nil {
		return time.Time{}
	}
	return deadline
}

// target returns the request target, with path and query as received.
func (m *message) target() string {
	if strings.HasPrefix(m.uri, "/") {
		return m.uri
	}
	return m.url.RequestURI()
}

// maxCopiedBodyBytes is the length up to which a body is copied behind its head, so that both go out in one write.
const maxCopiedBodyBytes = 4 << 10

// encode encodes the head of the message for a backend, with the body if it is short. send adds the rest of what is held.
// http.Request.Write does the same but takes a tenth of the node's CPU.
func (m *message) encode(addr string, left time.Duration) ([]byte, error) {
	room := 1 << 10
	if m.isBodyCopied() {
		room += len(m.body)
	}
	b, err := http1.AppendRequest(make([]byte, 0, room), m.method, m.target(), cmp.Or(m.host, addr), m.header)
	if err != nil {
		return nil, err
	}
	b = append(b, "X-Expires-In: "...)
	b = strconv.AppendFloat(b, max(left, 0).Seconds(), 'f', 3, 64)
	switch {
	case m.isChunked():
		b = append(b, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)
		b = append(strconv.AppendInt(b, m.size(), 16), "\r\n"...) // one chunk has all that is held
	case m.upload != nil:
		b = append(strconv.AppendInt(append(b, "\r\nContent-Length: "...), m.upload.length, 10), "\r\n\r\n"...)
	case len(m.body) > 0 || m.method != http.MethodGet:
		b = append(strconv.AppendInt(append(b, "\r\nContent-Length: "...), m.size(), 10), "\r\n\r\n"...)
	default:
		b = append(b, "\r\n\r\n"...)
	}
	if m.isBodyCopied() {
		b = append(b, m.body...)
	}
	return b, nil
}

// isChunked reports whether the message goes out in chunks.
func (m *message) isChunked() bool { return m.upload != nil && m.upload.length < 0 }

// isBodyCopied reports whether the first part of the body goes out in one write with the head.
func (m *message) isBodyCopied() bool { return len(m.body) <= maxCopiedBodyBytes }

// Probe requests the load report of an endpoint.
func (x *transport) Probe(to engine.Endpoint, done func(engine.Result)) {
	var once sync.Once
	report := func(r engine.Result) { once.Do(func() { done(r) }) }
	var running atomic.Pointer[call]
	timeout := time.AfterFunc(probeTimeout, func() {
		report(engine.Result{Status: balance.Expired})
		if c := running.Load(); c != nil && !x.pool.HasSpareRoom() {
			c.cancel()
		}
	})
	running.Store(x.attempt(to, &message{method: http.MethodGet, url: &url.URL{Path: "/stats"}, host: to.Addr, header: http.Header{}, probe: true},
		time.Now().Add(probeTimeout+lateProbeWait), func(r engine.Result) {
			timeout.Stop()
			if r.Status == balance.Delivered && r.Load.Has == 0 {
				r.Load = x.parseReport(string(replyOf(r.Body).body))
			}
			if r.Status == balance.AppError {
				r.Status = balance.Shed // the backend rejected the probe
			}
			report(r)
		}))
}

// parseReport parses a load report. It logs a malformed one at a bounded rate.
func (x *transport) parseReport(text string) balance.Load {
	l, err := settings.ParseReport(text)
	if err != nil {
		x.limitedLog.Warn("malformed load report", "error", err)
	}
	return l
}
