package httpfront

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/lograte"
	"glencart/internal/sock"
	"glencart/internal/upstream"
	"glencart/reserve"
	"glencart/reuse"
)

const (
	// maxHeldAnswerBytes bounds an answer that is held whole before it goes to the client. One that breaks before its end can
	// be requested again. Longer answers, and those without a length, go to the client as they arrive.
	maxHeldAnswerBytes = 64 << 10
	// maxInformational is how many 1xx answers may come ahead of the one that counts.
	maxInformational = 8
	// earlyAnswerTimeout is how long a backend that has read only a part of a body may take to answer.
	earlyAnswerTimeout = time.Second
	// probeTimeout is how long a probe may take.
	probeTimeout = 150 * time.Millisecond
	// reportHeader carries a load report. neverRanHeader marks an answer to a request that never ran, of a backend and of this
	// process.
	reportHeader, neverRanHeader = "Endpoint-Load-Metrics", "X-Never-Ran"
)

// transport sends attempts to the backends of one pool. Each runs in a goroutine of its own on one connection and is written with one
// Write: all of it, or the head and the held part of a body that streams. transport retries nothing.
type transport struct {
	conns   *conns
	probe   string
	reports bool
	idle    time.Duration                             // between two writes of a body
	ended   func(to engine.Endpoint, end reserve.End) // called before the engine has the result
	report  func(string) (balance.Load, error)
	log     *lograte.Limited
}

// call is an exchange under way.
type call struct {
	cancel context.CancelFunc
	state  atomic.Int32
}

// States of a call: its first byte has not been written, or it may have been, or it never will be.
const (
	callQueued int32 = iota
	callWriting
	callBarred
)

// Send begins an attempt.
func (x *transport) Send(a *engine.Attempt) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	c := &call{cancel: cancel}
	a.State = c
	m := a.Request.Message.(*message)
	m.attempts.Add(1)
	go func() {
		defer cancel()
		x.exchange(ctx, c, a, m)
	}()
}

// PreventWrite keeps an attempt that has not begun to write from ever doing so.
func (x *transport) PreventWrite(a *engine.Attempt) bool {
	return a.State.(*call).state.CompareAndSwap(callQueued, callBarred)
}

// Cancel closes the attempt's connection.
func (x *transport) Cancel(a *engine.Attempt) { a.State.(*call).cancel() }

// CloseIdle closes the idle connections to a backend.
func (x *transport) CloseIdle(to engine.Endpoint) { x.conns.Drop(to) }

// exchange carries out one attempt on one connection, once.
func (x *transport) exchange(ctx context.Context, c *call, a *engine.Attempt, m *message) {
	end := func(st balance.Status, re *reply) {
		if st == balance.DialFailed || st == balance.Dropped || st == balance.AppError || st == balance.Expired {
			x.ended(a.To, reserve.Failed)
		}
		res := engine.Result{Status: st}
		if re != nil {
			res.Body, res.Load, res.OwnDelay = re, re.load, re.ownDelay
		}
		a.Done(res)
	}
	request := upstream.Request{NeedsNew: m.upgrade, Deadline: a.Deadline} // what follows an upgrade is not counted in answers
	if m.unsafe {
		request.MaxIdleAge = maxUnsafeIdleAge
	}
	cn, err := x.conns.ready(ctx, a.To, request)
	if err != nil {
		switch {
		case errors.Is(ctx.Err(), context.Canceled), sock.IsLocalError(err): // not the fault of the backend
			end(balance.Unused, nil)
		case errors.Is(err, syscall.ECONNREFUSED):
			x.ended(a.To, reserve.Refused)
			a.Done(engine.Result{Status: balance.DialFailed})
		default:
			end(balance.DialFailed, nil)
		}
		return
	}
	// What streams can be taken by one attempt only, and is not taken while nothing of it has been read.
	if ctx.Err() != nil || a.TooLate() || m.client.HasClientClosed() || !c.state.CompareAndSwap(callQueued, callWriting) || m.rest != nil && !m.taken.CompareAndSwap(false, true) {
		x.conns.Discard(cn, upstream.Unsent)
		end(balance.Unused, nil)
		return
	}
	if m.tenant != nil {
		began := time.Now()
		defer func() { m.tenant.Spend(time.Since(began)) }()
	}
	stop := context.AfterFunc(ctx, func() { sock.Abort(cn.Conn) })
	cn.SetDeadline(a.Deadline)
	text := m.encode()
	ex := &exchange{conn: cn, writtenAt: time.Now(), deadline: a.Deadline}
	if n, err := cn.Write(text); err != nil {
		stop()
		x.conns.Discard(cn, upstream.WriteFailed)
		if n < len(text) {
			m.taken.Store(false)
			end(balance.DialFailed, nil) // the last byte never left
			return
		}
		end(broken(ctx, err), nil)
		return
	}
	pumped := (chan error)(nil)
	if m.rest != nil {
		if !m.begin() {
			stop()
			x.conns.Discard(cn, upstream.Cancelled)
			end(balance.Cancelled, nil)
			return
		}
		a.StreamStarted() // what is read from the client from here on can't be sent again
		cn.SetDeadline(time.Time{})
		pumped = make(chan error, 1)
		go func() {
			err := m.pump(cn, x.idle)
			if err == nil {
				a.BodySent()
			}
			pumped <- err
		}()
	}
	re, st, err := x.answer(ex, m, pumped)
	if err != nil {
		stop()
		end(x.endBroken(ctx, cn, err), nil)
		return
	}
	if !stop() {
		re.drop() // given up meanwhile
		end(balance.Cancelled, nil)
		return
	}
	re.to, re.ownDelay = a.To, cn.OwnDelay+time.Duration(m.bodyTime.Load())
	if st != balance.Delivered {
		re.release(true)
		end(st, re)
		return
	}
	x.ended(a.To, reserve.Answered)
	if re.body == nil && re.tunnel == nil {
		re.release(true) // it is held whole: the next request need not wait for the client
	}
	if a.Deliver(engine.Result{Status: st, OwnDelay: re.ownDelay, Load: re.load}) {
		m.hand(re)
	} else {
		re.drop()
	}
}

// exchange is a request on a connection, from its write to its answer.
type exchange struct {
	conn      *upstream.Conn
	writtenAt time.Time
	deadline  time.Time
	isProbe   bool
}

// errOrderLost reports that an answer may belong to another request. The connection is closed already.
var errOrderLost = errors.New("answer of another request")

// endBroken closes a connection whose request was written whole and got no whole answer, and returns the status of the attempt.
func (x *transport) endBroken(ctx context.Context, cn *upstream.Conn, err error) balance.Status {
	if errors.Is(err, errOrderLost) {
		return balance.Dropped
	}
	status := broken(ctx, err)
	switch {
	case status == balance.Expired:
		x.conns.Discard(cn, upstream.TimedOut)
	case status == balance.Cancelled:
		x.conns.Discard(cn, upstream.Cancelled)
	case cn.State.IsReused() && upstream.HasBytesBefore(err):
		x.conns.DiscardSurplus(cn, reuse.BytesBeforeAnswer)
	default:
		x.conns.Discard(cn, upstream.Broken)
	}
	return status
}

// broken returns the status of an attempt that was written whole and got no whole answer. It may have run.
func broken(ctx context.Context, err error) balance.Status {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Expired
	case ctx.Err() != nil:
		return balance.Cancelled
	}
	return balance.Dropped
}

// reply is the answer of a backend.
type reply struct {
	status  int
	header  http.Header
	trailer func() http.Header // after the body
	length  int64              // -1: unknown
	held    []byte             // the body, if it is held whole
	body    io.Reader          // or where it comes from
	tunnel  *upstream.Conn     // or what was upgraded
	conn    *upstream.Conn
	release func(clean bool) // gives the connection back, once
	to      engine.Endpoint
	load    balance.Load

	ownDelay time.Duration // part of its time that this process waited by its own decision
}

// drop ends an answer that nobody gets.
func (r *reply) drop() { r.release(false) }

// answer reads the head of an answer, and its body where that is to be held.
func (x *transport) answer(ex *exchange, m *message, pumped chan error) (*reply, balance.Status, error) {
	cn := ex.conn
	if pumped != nil {
		// Until the body has left, its own idle time counts; then the answer's. An answer may come before that.
		gone := make(chan struct{})
		defer close(gone)
		wait := pumped
		pumped = make(chan error, 1)
		go func() {
			select {
			case err := <-wait:
				switch {
				case m.cut.Load():
					cn.Close()
				case err != nil: // a backend that reads no further may have answered
					cn.SetReadDeadline(time.Now().Add(earlyAnswerTimeout))
				default:
					m.bodyTime.Store(int64(time.Since(ex.writtenAt)))
					cn.SetReadDeadline(m.finalAnswerBy())
				}
				pumped <- err
			case <-gone:
			}
		}()
	}
	req := &http.Request{Method: m.method}
	for range maxInformational {
		cn.Limit.N = maxAnswerHeadBytes
		resp, err := http.ReadResponse(cn.Reader, req)
		if err != nil {
			if cn.Limit.N <= 0 {
				err = errors.New("head too long")
			}
			return nil, 0, err
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		cn.Limit.N = math.MaxInt64
		return x.reply(ex, m, resp, pumped)
	}
	return nil, 0, errors.New("too many 1xx answers")
}

func (x *transport) reply(ex *exchange, m *message, resp *http.Response, pumped chan error) (*reply, balance.Status, error) {
	cn := ex.conn
	elapsed := time.Since(ex.writtenAt)
	re := &reply{conn: cn, status: resp.StatusCode, header: resp.Header, length: resp.ContentLength,
		trailer: func() http.Header { return resp.Trailer }}
	if text := resp.Header.Get(reportHeader); text != "" && x.reports {
		re.load, _ = x.report(text)
	}
	description := reuse.Answer{Elapsed: elapsed, IsProbe: ex.isProbe}
	given := false
	re.release = func(clean bool) {
		if given {
			return
		}
		given = true
		whole := pumped == nil
		if !whole {
			select {
			case err := <-pumped:
				whole = err == nil
			default:
			}
		}
		switch {
		case !clean:
			x.conns.Discard(cn, upstream.Cancelled)
		case !whole || resp.Close:
			x.conns.Discard(cn, upstream.AfterAnswer)
		case cn.Reader.Buffered() > 0:
			x.conns.DiscardBehind(cn, description)
		default:
			x.conns.Put(cn, description)
		}
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		if !m.upgrade {
			return nil, 0, errors.New("101 to a request that asked for no upgrade")
		}
		cn.SetDeadline(time.Time{})
		re.tunnel = cn
		return re, balance.Delivered, nil
	}
	st := balance.Delivered
	switch resp.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway:
		st = balance.AppError
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if st = balance.AppError; resp.Header.Get(neverRanHeader) == "1" {
			st = balance.Shed
			m.full.Store(true)
		}
	}
	description.IsServed, description.NeverRan = st == balance.Delivered, st == balance.Shed
	if st == balance.Delivered && (resp.ContentLength < 0 || resp.ContentLength > maxHeldAnswerBytes) && m.method != http.MethodHead {
		description.IsLong = true
		if !x.isOwnAnswer(ex, description) {
			return nil, 0, errOrderLost
		}
		re.body = resp.Body
		cn.SetDeadline(time.Time{})
		return re, st, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldAnswerBytes+1))
	switch {
	case err != nil:
		return nil, 0, err
	case len(body) > maxHeldAnswerBytes:
		return nil, 0, errors.New("an error's body is too long to be held")
	}
	description.Elapsed = time.Since(ex.writtenAt)
	if !x.isOwnAnswer(ex, description) {
		return nil, 0, errOrderLost
	}
	re.held = body
	if re.length < 0 && m.method != http.MethodHead {
		re.length = int64(len(body))
	}
	return re, st, nil
}

// isOwnAnswer reports whether an answer is taken for the one to the request of its exchange. If it isn't, the connection is closed.
func (x *transport) isOwnAnswer(ex *exchange, answer reuse.Answer) bool {
	return ex.isProbe || x.conns.AcceptsAnswer(ex.conn, answer, ex.deadline)
}

// Probe requests the load report of a backend.
func (x *transport) Probe(to engine.Endpoint, told func(engine.Result)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		m := &message{method: http.MethodGet, target: x.probe, host: probeHost(to.Addr)}
		if err := m.encodeHead(nil); err != nil {
			x.log.Warn("probe can't be encoded", "backend", to.ID, "error", err)
			told(engine.Result{Status: balance.Unused})
			return
		}
		cn, err := x.conns.ready(ctx, to, upstream.Request{IsProbe: true})
		if err != nil {
			told(engine.Result{Status: balance.DialFailed})
			return
		}
		ex := &exchange{conn: cn, writtenAt: time.Now(), deadline: time.Now().Add(probeTimeout), isProbe: true}
		cn.SetDeadline(ex.deadline)
		_, err = cn.Write(m.encode())
		var re *reply
		var st balance.Status
		if err == nil {
			re, st, err = x.answer(ex, m, nil)
		}
		switch {
		case err != nil:
			told(engine.Result{Status: x.endBroken(ctx, cn, err)})
			return
		case st != balance.Delivered || re.status != http.StatusOK || re.body != nil:
			re.drop()
			told(engine.Result{Status: balance.Shed})
			return
		}
		if re.load.Has == 0 {
			if re.load, err = x.report(string(re.held)); err != nil && cn.State.IsReused() {
				x.conns.ReportUnreadable(cn)
			}
		}
		re.release(true)
		told(engine.Result{Status: balance.Delivered, Load: re.load})
	}()
}

// probeHost returns the Host of a probe. The path of a Unix socket is no host.
func probeHost(addr string) string {
	if strings.HasPrefix(addr, "unix:") {
		return "localhost"
	}
	return addr
}
