package node

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
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
	"glencart/internal/lograte"
	"glencart/internal/settings"
	"glencart/internal/sock"
)

const (
	// bodyMost bounds the body of a message, headMost its head.
	bodyMost, headMost = 64 << 10, 16 << 10
	// answerMost bounds an answer as it comes: small chunks take several times their body.
	answerMost = headMost + 4*bodyMost
	// holdFor is how long an answer of no stated length is held back so that its length can be told and its end be seen.
	holdFor = 100 * time.Millisecond
	// informMost is how many 1xx answers may come ahead of the one that counts.
	informMost = 8
	// probeWithin is how long a probe may take: an answer that comes later tells of the past.
	probeWithin = 150 * time.Millisecond
	// reportHeader carries a load report, neverRanHeader tells that a request never ran.
	reportHeader, neverRanHeader = "Endpoint-Load-Metrics", "X-Never-Ran"
)

var errTooLongAnswer = errors.New("answer too long")

// exchanges sends attempts and probes to backends. Each runs in a goroutine of its own on one connection.
//
// The connections are not net/http's own. Its Transport sends a request again when a reused connection breaks,
// and its ClientConn, which does not, reports a request as written (httptrace.WroteRequest) while it still
// stands in a buffer: neither tells whether the last byte has left, which decides if an attempt may have run.
// Here a request goes out whole in one Write. net/http still words it and reads the answer.
type exchanges struct {
	pool     *pool
	inline   bool // answers carry load reports
	complain *lograte.Limited
	jobs     chan func() // taken by goroutines that wait for more: each new one grows its stack anew
}

func newExchanges(p *pool, inline bool, log *slog.Logger) *exchanges {
	return &exchanges{pool: p, inline: inline, complain: &lograte.Limited{Log: log}, jobs: make(chan func())}
}

// message is what a client asked for, as it goes on to backends.
type message struct {
	method string
	uri    string // of the request line, where it is a path: net/url may word that otherwise
	url    *url.URL
	host   string
	header http.Header
	body   []byte   // at most bodyMost of it
	more   [][]byte // and what follows, where it is longer and held
	up     *upload  // and what is still to come, where it is not
	probe  bool
	tuning *tuning       // that it was read under
	count  *classFigures // nil: nobody counts

	left0  time.Duration // the request's time, from its last byte on
	held   int64         // bytes that the budget counts
	budget *budget

	client *clients.Conn // whose it is; nil: nobody's, or it can't be looked at
	gone   atomic.Bool   // it has left
	went   func()        // takes that in, once
	lost   chan struct{} // closed by that

	mu      sync.Mutex
	left    bool         // the client's goroutine is gone
	streams chan *stream // takes an answer that is still coming; it has room for one
}

// reply is the answer of a backend that served.
type reply struct {
	body        []byte
	contentType string
	neverRan    bool // in place of an answer: an upload broke before its last byte
}

// replyOf is the answer in a result; an empty one where there is none.
func replyOf(body any) *reply {
	if r, ok := body.(*reply); ok {
		return r
	}
	return &reply{}
}

// call is an exchange under way.
type call struct {
	cancel context.CancelFunc
	own    *engine.Attempt // nil for a probe
	up     *upload         // what is still to come of the body, if it is this call's
	state  atomic.Int32
}

// States of a call: its first byte has not been written, or it may have been, or it never will be.
const (
	callQueued int32 = iota
	callWriting
	callBarred
)

// bar keeps a call that has not begun to write from ever doing so: a send counts for a drain from its first
// byte, and a dial may outlast the grace. It tells whether it came in time.
func (c *call) bar() bool { return c.state.CompareAndSwap(callQueued, callBarred) }

// Send, Bar, GiveUp, Probe and Drop make exchanges the engine's transport.
func (x *exchanges) Send(a *engine.Attempt) {
	a.State = x.begin(a, a.To, a.Request.Message.(*message), a.Deadline, a.Done)
}

// Bar is call.bar. What is barred reads nothing of the client's body: the next attempt, which follows at once, has it.
func (x *exchanges) Bar(a *engine.Attempt) bool {
	c := a.State.(*call)
	barred := c.bar()
	if barred {
		c.up.giveBack(c)
	}
	return barred
}

// GiveUp closes the attempt's connection.
func (x *exchanges) GiveUp(a *engine.Attempt) { a.State.(*call).cancel() }

// Drop ends the idle connections to an endpoint.
func (x *exchanges) Drop(to engine.Endpoint) { x.pool.drop(to) }

// attempt sends a message to an endpoint and calls done, from another goroutine, with how it ended. What is not
// over by the deadline is ended then, and its connection with it.
func (x *exchanges) attempt(to engine.Endpoint, m *message, deadline time.Time, done func(engine.Result)) *call {
	return x.begin(nil, to, m, deadline, done)
}

// begin is attempt for one that the engine may hand over as a stream.
func (x *exchanges) begin(own *engine.Attempt, to engine.Endpoint, m *message, deadline time.Time, done func(engine.Result)) *call {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	if m.up != nil {
		// Its time begins with the last byte of the body.
		cancel()
		ctx, cancel = context.WithCancel(context.Background())
	}
	c := &call{cancel: cancel, own: own, up: m.up}
	m.up.take(c)
	x.work(func() {
		defer cancel()
		if r, handed := x.exchange(ctx, c, to, m, deadline); !handed {
			done(r)
		}
	})
	return c
}

// workerKeep is how long a goroutine waits for another job.
const workerKeep = time.Second

// work runs a job in a goroutine of its own, at once: one that waits, or a new one.
func (x *exchanges) work(job func()) {
	select {
	case x.jobs <- job:
		return
	default:
	}
	go func() {
		keep := time.NewTimer(workerKeep)
		defer keep.Stop()
		for {
			job()
			keep.Reset(workerKeep)
			select {
			case job = <-x.jobs:
			case <-keep.C:
				return
			}
		}
	}()
}

// exchange carries out one attempt on one connection, once. It reports true where it handed the answer on as a stream, and
// told the engine.
func (x *exchanges) exchange(ctx context.Context, c *call, to engine.Endpoint, m *message, deadline time.Time) (engine.Result, bool) {
	ended := func(st balance.Status) (engine.Result, bool) { return engine.Result{Status: st}, false }
	if m.up != nil && m.up.owner.Load() != c {
		return ended(balance.Unused) // a part of the body has gone elsewhere, or another has it
	}
	cn, text, stop, err := x.ready(ctx, c, to, m, deadline)
	if err != nil {
		m.up.giveBack(c)
	}
	switch {
	case errors.Is(err, errNoRoom):
		return ended(balance.Unused) // says nothing of the backend
	case err != nil:
		return engine.Result{Status: balance.DialFailed, Refused: errors.Is(err, syscall.ECONNREFUSED)}, false
	}
	defer stop()
	if ctx.Err() != nil || c.own != nil && c.own.TooLate() || m.clientGone() || !c.state.CompareAndSwap(callQueued, callWriting) {
		m.up.giveBack(c)
		x.pool.discard(cn)
		return ended(balance.Unused)
	}
	if n, all, err := m.send(cn, text); err != nil {
		m.up.giveBack(c)
		x.pool.discard(cn)
		if n < all || m.up != nil {
			return ended(balance.DialFailed) // the last byte never left
		}
		return ended(x.broken(ctx, err))
	}
	if m.up != nil {
		// From here on this attempt is the last one.
		c.own.Started()
		if err := m.up.pass(cn, m.up.length-m.size(), c.own.WriteBy); err != nil {
			x.pool.discard(cn)
			r := engine.Result{Status: balance.DialFailed, Body: &reply{neverRan: true}}
			if errors.Is(err, errClient) {
				r.Status = balance.Unused // says nothing of the backend
			}
			return r, false
		}
		cn.SetDeadline(time.Now().Add(m.left0))
	}
	if m.count != nil {
		m.count.attempts.Add(1)
	}
	resp, body, err := cn.answer(m.method, c.own != nil)
	if err != nil {
		x.pool.discard(cn)
		st := x.broken(ctx, err)
		if st == balance.Dropped {
			x.pool.wear.note(cn.age, true)
		}
		return ended(st)
	}
	x.pool.wear.note(cn.age, false)
	r := engine.Result{Status: outcome(resp)}
	if text := resp.Header.Get(reportHeader); text != "" && x.inline {
		r.Load = x.report(text)
	}
	whole := reply{body: body, contentType: resp.Header.Get("Content-Type")}
	if resp.Body != http.NoBody { // more is to come
		if r.Status == balance.Delivered {
			return x.handOn(ctx, c.own, stop, m, &stream{reply: whole, length: resp.ContentLength, rest: resp.Body, cn: cn,
				keep: !resp.Close, pool: x.pool}, r.Load)
		}
		x.pool.discard(cn)
	} else if resp.Close || cn.read.Buffered() > 0 || !stop() {
		x.pool.discard(cn)
	} else {
		x.pool.put(cn) // the next one sets its own deadline
	}
	if r.Status == balance.Delivered {
		r.Body = &whole
	}
	return r, false
}

// ready returns a connection and the words to write on it. Nothing is left to do before the write, so the look at the connection
// is the last thing: what was readable before the request is no answer to it, and one that has ended would swallow it.
func (x *exchanges) ready(ctx context.Context, c *call, to engine.Endpoint, m *message, deadline time.Time) (*conn, []byte, func() bool, error) {
	for {
		cn, err := x.pool.get(ctx, to, m.probe)
		if err != nil {
			return nil, nil, nil, err
		}
		text := m.wire(to.Addr, time.Until(deadline))
		cn.SetDeadline(deadline)
		if c.own != nil && !c.own.WriteBy.IsZero() && c.own.WriteBy.Before(deadline) {
			cn.SetWriteDeadline(c.own.WriteBy) // it is sent with its last byte
		}
		// Given up means closed, at once: nothing that comes later can reach anyone.
		stop := context.AfterFunc(ctx, func() { sock.Abort(cn.Conn) })
		if cn.usable() || ctx.Err() != nil { // the latter closes it
			return cn, text, stop, nil
		}
		stop()
		x.pool.discard(cn)
		if !cn.kept {
			return nil, nil, nil, errSpoke
		}
	}
}

// broken tells how an attempt ended that was written whole and got no whole answer. It may have run.
func (x *exchanges) broken(ctx context.Context, err error) balance.Status {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Expired
	case ctx.Err() != nil:
		return balance.Revoked
	}
	return balance.Dropped
}

// outcome reads a whole answer's status.
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

// target is what the request line asks for: path and query as they came.
func (m *message) target() string {
	if strings.HasPrefix(m.uri, "/") {
		return m.uri
	}
	return m.url.RequestURI()
}

// wire words the message for a backend, in one piece. http.Request.Write does the same for a tenth of the node's
// CPU. Names and values have been read and checked by net/http: no line of theirs can end another.
func (m *message) wire(addr string, left time.Duration) []byte {
	host := cmp.Or(m.host, addr)
	b := make([]byte, 0, len(m.body)+1<<10)
	b = append(b, m.method+" "+m.target()+" HTTP/1.1\r\nHost: "+host+"\r\n"...)
	for name, values := range m.header {
		for _, value := range values {
			b = append(b, name+": "+value+"\r\n"...)
		}
	}
	b = append(b, "X-Expires-In: "...)
	b = strconv.AppendFloat(b, max(left, 0).Seconds(), 'f', 3, 64)
	switch {
	case m.up != nil && m.up.length < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked\r\n\r\n"...)
		b = strconv.AppendInt(b, m.size(), 16)
		b = append(append(b, "\r\n"...), m.body...)
		for _, piece := range m.more {
			b = append(b, piece...)
		}
		return append(b, "\r\n"...)
	case m.up != nil:
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), m.up.length, 10)
	case len(m.body) > 0 || m.method != http.MethodGet:
		b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), m.size(), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, m.body...)
}

// answer reads one answer: whole, or, where long ones are wanted, its first bytes: of one that says that it is longer than
// bodyMost, and of one that says nothing and is longer, or has not ended holdFor after its head. Of a whole one Body is
// http.NoBody. One that ends with its connection is whole by that (RFC 9112, section 6.3).
func (c *conn) answer(method string, long bool) (*http.Response, []byte, error) {
	c.limit.N = answerMost
	req := &http.Request{Method: method}
	for range informMost {
		resp, err := http.ReadResponse(c.read, req)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, errors.New("an answer that switches protocols") // nobody asked for it
		}
		if resp.ContentLength > bodyMost && !long {
			return nil, nil, errTooLongAnswer
		}
		var began time.Time
		if resp.ContentLength < 0 {
			began = time.Now()
		}
		body := make([]byte, 0, 4<<10)
		if n := resp.ContentLength; n >= 0 && n < bodyMost {
			body = make([]byte, 0, n+1)
		}
		for err == nil && len(body) <= bodyMost {
			if len(body) == cap(body) {
				grown := make([]byte, len(body), min(4*cap(body), bodyMost+1))
				copy(grown, body)
				body = grown
			}
			var n int
			n, err = resp.Body.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if long && (resp.ContentLength > bodyMost || !began.IsZero() && time.Since(began) > holdFor) {
				break
			}
		}
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			return nil, nil, err
		case err == nil && !long, resp.ContentLength < 0 && c.limit.N <= 0: // the bound looks like the connection's end
			return nil, nil, errTooLongAnswer
		case err == nil:
			c.limit.N = math.MaxInt64
			return resp, body, nil
		}
		resp.Body = http.NoBody
		return resp, body, nil
	}
	return nil, nil, errors.New("too many 1xx answers")
}

// Probe asks an endpoint for its load report.
func (x *exchanges) Probe(to engine.Endpoint, done func(engine.Result)) {
	x.attempt(to, &message{method: http.MethodGet, url: &url.URL{Path: "/stats"}, host: to.Addr, header: http.Header{}, probe: true},
		time.Now().Add(probeWithin), func(r engine.Result) {
			if r.Status == balance.Delivered && r.Load.Has == 0 {
				r.Load = x.report(string(replyOf(r.Body).body))
			}
			if r.Status == balance.AppError {
				r.Status = balance.Shed // a probe that is turned away
			}
			done(r)
		})
}

// report reads a load report and complains, at a bounded rate, of one that can't be read.
func (x *exchanges) report(text string) balance.Load {
	l, err := settings.ParseReport(text)
	if err != nil {
		x.complain.Warn("malformed load report", "error", err)
	}
	return l
}
