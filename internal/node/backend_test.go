package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"glencart/balance"
	"glencart/internal/clients"
	"glencart/internal/engine"
	"glencart/internal/settings"
	"glencart/internal/standin"
	"glencart/internal/upstream"
	"glencart/reuse"
)

// newTestTransport returns a transport with a connection pool of its own.
func newTestTransport(t *testing.T) *transport {
	p := newPool(16, 2*time.Second, 5*time.Second, discardLog())
	ctx, cancel := context.WithCancel(context.Background())
	go p.Run(ctx)
	t.Cleanup(cancel)
	return newTransport(p, true, discardLog())
}

// getMessage returns a GET message with this request id. Its Idempotency-Key makes http.Transport treat it as safe to send again.
func getMessage(id string) *message {
	return &message{method: "GET", url: &url.URL{Path: "/api/x"}, host: "api.internal",
		header: http.Header{"X-Trace-Id": {id}, "Idempotency-Key": {"key"}}}
}

// attemptOnce makes one attempt and returns its result.
func attemptOnce(t *testing.T, x *transport, to engine.Endpoint, m *message) engine.Result {
	t.Helper()
	done := make(chan engine.Result, 1)
	x.attempt(to, m, time.Now().Add(testTimeout/2), func(r engine.Result) { done <- r })
	return receive(t, "the result of the attempt", done)
}

// awaitQuiet waits until the idle connections to an endpoint may carry another request.
func awaitQuiet(t *testing.T, x *transport, to engine.Endpoint) {
	t.Helper()
	eventually(t, "an idle connection", func() bool { return len(x.pool.Idle(to)) > 0 })
	time.Sleep(reuse.QuietTime)
}

// An attempt whose reused connection breaks must not be sent again on another connection, since it may have run. http.Transport
// sends such requests again by itself: they are GETs with an Idempotency-Key.
func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	seen := make(chan string, 8)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			seen <- r.Header.Get("X-Trace-Id")
			if i > 0 {
				resetConn(c) // the second request on a connection breaks it
				return
			}
			io.WriteString(c, ok200("x"))
		}
	})
	x, to := newTestTransport(t), engine.Endpoint{Addr: b.Addr().String()}
	if r := attemptOnce(t, x, to, getMessage("first")); r.Status != balance.Delivered || string(replyOf(r.Body).body) != "x" {
		t.Fatalf("first attempt: %v", r)
	}
	awaitQuiet(t, x, to)
	if r := attemptOnce(t, x, to, getMessage("second")); r.Status != balance.Dropped {
		t.Errorf("second attempt: status %v, want Dropped since it may have run", r.Status)
	}
	if n := b.Accepted.Load(); n != 1 || len(seen) != 2 {
		t.Errorf("backend saw %d connections and %d requests, want 1 and 2", n, len(seen))
	}
}

// An answer that is misread as one that never ran leads to a retry of a request that may have run, and an incomplete or oversized
// answer must not reach the client as a whole one. The cases differ in what the backend writes after it has read the request.
func TestAttemptStatusByAnswer(t *testing.T) {
	big := strings.Repeat("x", maxBufferedBodyBytes)
	for name, tc := range map[string]struct {
		answer string
		want   balance.Status
		body   string
	}{
		"served":               {ok200("abc"), balance.Delivered, "abc"},
		"largest body":         {ok200(big), balance.Delivered, big},
		"chunked":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", balance.Delivered, "ab"},
		"1xx ahead":            {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok200("abc"), balance.Delivered, "abc"},
		"error":                {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balance.AppError, ""},
		"rejected unrun":       {"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.Shed, ""},
		"expired unrun":        {"HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.Shed, ""},
		"503 that may run":     {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balance.AppError, ""},
		"504 that may run":     {"HTTP/1.1 504 Late\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", balance.AppError, ""},
		"500 with never-ran":   {"HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.AppError, ""},
		"no answer":            {"", balance.Dropped, ""},
		"cut short":            {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", balance.Dropped, ""},
		"chunks cut short":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", balance.Dropped, ""},
		"ends with connection": {"HTTP/1.1 200 OK\r\n\r\nabc", balance.Delivered, "abc"},
		"not HTTP":             {"hello\r\n\r\n", balance.Dropped, ""},
		"too long":             {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + big, balance.Dropped, ""},
		"endless head":         {"HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 10*(maxHeadBytes+maxBufferedBodyBytes)), balance.Dropped, ""},
		"endless 1xx":          {strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 1000), balance.Dropped, ""},
		"endless chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+big[:0x1000]+"\r\n", 40), balance.Dropped, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					io.WriteString(c, tc.answer)
				}
			})
			r := attemptOnce(t, newTestTransport(t), engine.Endpoint{Addr: b.Addr().String()}, getMessage("id"))
			if r.Status != tc.want || string(replyOf(r.Body).body) != tc.body {
				t.Errorf("status %v with %d bytes, want %v with %d", r.Status, len(replyOf(r.Body).body), tc.want, len(tc.body))
			}
		})
	}
}

// A request on a connection that is refused, or that breaks before the last byte is written, never ran. Any other status than
// DialFailed would keep a request that must not run twice from being sent to another backend.
func TestUnsentRequestIsDialFailed(t *testing.T) {
	addr := standin.ReserveAddr(t)
	if r := attemptOnce(t, newTestTransport(t), engine.Endpoint{Addr: addr}, getMessage("refused")); r.Status != balance.DialFailed {
		t.Errorf("refused connection: status %v, want DialFailed", r.Status)
	}

	// The socket buffers are far smaller than the body, and the backend resets the connection after reading a part of it.
	smallBuffers := func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
		})
	}
	lc := net.ListenConfig{Control: smallBuffers}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		io.ReadFull(c, make([]byte, 1000))
		resetConn(c)
	}()
	x := newTestTransport(t)
	x.pool.dialer.Control = smallBuffers
	m := getMessage("partial")
	m.method, m.body = "POST", make([]byte, maxBufferedBodyBytes)
	if r := attemptOnce(t, x, engine.Endpoint{Addr: l.Addr().String()}, m); r.Status != balance.DialFailed {
		t.Errorf("connection reset before the last byte: status %v, want DialFailed", r.Status)
	}
}

// A backend that restarts under its address leaves pooled connections that look open. A request written on one of them would be lost.
func TestStaleConnectionsOfRestartedBackendAreNotUsed(t *testing.T) {
	serve := serveAnswers(func(r *http.Request) string { return ok200(r.Header.Get("X-Trace-Id")) })
	conns := make(chan net.Conn, 8)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) { conns <- c; serve(c, br) })
	addr := b.Addr().String()
	x, to := newTestTransport(t), engine.Endpoint{Addr: addr}
	if r := attemptOnce(t, x, to, getMessage("old")); r.Status != balance.Delivered {
		t.Fatalf("first attempt: status %v", r.Status)
	}
	b.Close()
	resetConn(receive(t, "the old connection", conns))
	newRawBackend(t, addr, serve)
	if r := attemptOnce(t, x, to, getMessage("new")); r.Status != balance.Delivered || string(replyOf(r.Body).body) != "new" {
		t.Errorf("after the restart: status %v, body %q", r.Status, replyOf(r.Body).body)
	}
}

// An idle connection is not used shortly before the backend closes it. A request that is sent while the backend closes the
// connection fails, and may have run.
func TestOldIdleConnectionsAreNotUsed(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	x, to := newTestTransport(t), engine.Endpoint{Addr: b.Addr().String()}
	for i := range 2 {
		if r := attemptOnce(t, x, to, getMessage(fmt.Sprint(i))); r.Status != balance.Delivered {
			t.Fatalf("first attempt: status %v", r.Status)
		}
		awaitQuiet(t, x, to)
	}
	if n := b.Accepted.Load(); n != 1 {
		t.Fatalf("a fresh idle connection was not reused: %d connections", n)
	}
	x.pool.Idle(to)[0].IdleAt = time.Now().Add(-x.pool.IdleTimeout())
	if r := attemptOnce(t, x, to, getMessage("later")); r.Status != balance.Delivered {
		t.Fatalf("first attempt: status %v", r.Status)
	}
	if n := b.Accepted.Load(); n != 2 {
		t.Errorf("an old idle connection was used: %d connections", n)
	}
}

// Extra bytes after an answer must not be read as the answer to the next request. The connection is closed instead of reused.
func TestExtraBytesAfterAnswerCloseConnection(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		return ok200(r.Header.Get("X-Trace-Id")) + ok200("surplus")
	}))
	x, to := newTestTransport(t), engine.Endpoint{Addr: b.Addr().String()}
	for _, id := range []string{"one", "two"} {
		if r := attemptOnce(t, x, to, getMessage(id)); r.Status != balance.Delivered || string(replyOf(r.Body).body) != id {
			t.Errorf("attempt %s: status %v, body %q", id, r.Status, replyOf(r.Body).body)
		}
	}
}

// A cancelled attempt closes its connection. Otherwise its late answer could be read as that of another request, and the connection
// would stay counted in the pool.
func TestCancelledAttemptClosesItsConnection(t *testing.T) {
	begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			begun <- struct{}{}
			io.Copy(io.Discard, br)
			io.WriteString(c, ok200("late"))
			ended <- struct{}{}
		}
	})
	x, done := newTestTransport(t), make(chan engine.Result, 2)
	c := x.attempt(engine.Endpoint{Addr: b.Addr().String()}, getMessage("id"), time.Now().Add(testTimeout), func(r engine.Result) { done <- r })
	receive(t, "the request at the backend", begun)
	c.cancel()
	receive(t, "the end of the connection", ended)
	if r := receive(t, "the result of the attempt", done); r.Status != balance.Cancelled {
		t.Errorf("cancelled attempt: status %v, want Revoked", r.Status)
	}
	if open := x.pool.Open(); open != 0 {
		t.Errorf("%d connections still open", open)
	}
}

// The pool never exceeds its limit, which would take descriptors from other parts of the node. It closes an idle connection to
// dial another backend, and an attempt without a connection is Unused.
func TestPoolIsBounded(t *testing.T) {
	serve := serveAnswers(func(*http.Request) string { return ok200("x") })
	a, b := newRawBackend(t, "127.0.0.1:0", serve), newRawBackend(t, "127.0.0.1:0", serve)
	x := newTestTransport(t)
	x.pool.Resize(1)
	for _, l := range []*rawBackend{a, b} {
		if r := attemptOnce(t, x, engine.Endpoint{Addr: l.Addr().String()}, getMessage("id")); r.Status != balance.Delivered {
			t.Errorf("attempt with room in the pool: status %v, want Delivered", r.Status)
		}
	}
	c, err := x.pool.Get(context.Background(), engine.Endpoint{Addr: b.Addr().String()}, upstream.Request{})
	if err != nil {
		t.Fatal(err)
	}
	if r := attemptOnce(t, x, engine.Endpoint{Addr: a.Addr().String()}, getMessage("id")); r.Status != balance.Unused {
		t.Errorf("attempt with a full pool: status %v, want Unused", r.Status)
	}
	x.pool.Discard(c, upstream.Unsent)
}

// A malformed load report must give an error and no values. Numbers such as NaN, -1 or 1e300 would distort the choice of backends.
func TestParseReport(t *testing.T) {
	l, err := settings.ParseReport("TEXT inflight=7, queue=2, util=0.61, other=3")
	if err != nil || l.Active != 7 || l.Waiting != 2 || l.CPU != 0.61 ||
		l.Has != balance.HasActive|balance.HasWaiting|balance.HasCPU {
		t.Errorf("%+v %v", l, err)
	}
	if l, err := settings.ParseReport(" \n"); err != nil || l.Has != 0 {
		t.Errorf("empty report: %+v, %v", l, err)
	}
	for _, text := range []string{"TEXT inflight", "inflight=x", "inflight=NaN", "inflight=-1", "inflight=1e300", "\x00\xff"} {
		if l, err := settings.ParseReport(text); err == nil || l.Has != 0 {
			t.Errorf("%q: %+v %v", text, l, err)
		}
	}
}

// A probe returns the load report of the backend. An unreadable report must count as none, not as a load of zero.
func TestProbeReadsLoadReport(t *testing.T) {
	body := "TEXT inflight=7, util=0.5"
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		if r.Method != "GET" || r.URL.Path != "/stats" {
			return "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
		}
		return ok200(body)
	}))
	x, done := newTestTransport(t), make(chan engine.Result, 1)
	x.Probe(engine.Endpoint{Addr: b.Addr().String()}, func(r engine.Result) { done <- r })
	if r := receive(t, "the probe", done); r.Status != balance.Delivered || r.Load.Active != 7 || r.Load.CPU != 0.5 {
		t.Errorf("probe: %+v", r)
	}
	body = "\x00\x01"
	x.Probe(engine.Endpoint{Addr: b.Addr().String()}, func(r engine.Result) { done <- r })
	if r := receive(t, "the probe", done); r.Load.Has != 0 {
		t.Errorf("probe with an unreadable report: %+v", r)
	}
}

// The platform may refuse sendfile and splice. The library uses them where a connection has ReadFrom, WriteTo or SyscallConn, so
// the connection types of the node have none of these, and the node copies with read and write.
func TestConnectionsOfferNoKernelCopy(t *testing.T) {
	for what, c := range map[string]any{"client": &clients.Conn{}, "backend": &upstream.Conn{}, "upload": plainWriter{}} {
		if _, ok := c.(io.ReaderFrom); ok {
			t.Errorf("%s: has ReadFrom, which uses splice", what)
		}
		if _, ok := c.(io.WriterTo); ok {
			t.Errorf("%s: has WriteTo, which uses splice", what)
		}
		if _, ok := c.(syscall.Conn); ok {
			t.Errorf("%s: exposes its descriptor through SyscallConn", what)
		}
	}
}

// Guards against an attempt that ends its own head: one that can't be encoded is not written, ends as unused so that its client gets one
// answer, and is counted. The next one is served.
func TestAttemptThatCanNotBeEncodedIsNotSent(t *testing.T) {
	seen := make(chan string, 8)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		seen <- r.Header.Get("X-Trace-Id")
		return ok200("")
	}))
	x, to := newTestTransport(t), engine.Endpoint{ID: "b", Addr: b.Addr().String()}
	for i, spoil := range []func(m *message){
		func(m *message) { m.method = "GET /api/y HTTP/1.1\r\n" },
		func(m *message) { m.uri = "/api/x HTTP/1.1\r\nEvil: x" },
		func(m *message) { m.host = "api.internal\nEvil: x" },
		func(m *message) { m.header["X: y\r\nZ"] = []string{"1"} },
		func(m *message) { m.header["X"] = []string{"1\rEvil: x"} },
		func(m *message) { m.header["Content-Length"] = []string{"5"} },
	} {
		m := getMessage("invalid")
		spoil(m)
		if r := attemptOnce(t, x, to, m); r.Status != balance.Unused || x.notEncoded.Load() != int64(i+1) {
			t.Errorf("case %d: status %v, %d counted", i, r.Status, x.notEncoded.Load())
		}
	}
	if r := attemptOnce(t, x, to, getMessage("valid")); r.Status != balance.Delivered {
		t.Errorf("valid message: status %v", r.Status)
	}
	if id := receive(t, "a request", seen); id != "valid" || len(seen) != 0 {
		t.Errorf("backend received %q first, and %d more", id, len(seen))
	}
}

// Guards against a request that is lost, or sent round for ever, because it can't be encoded: it gets one answer, that it didn't run.
func TestRequestThatCanNotBeEncodedIsAnsweredOnce(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("") }))
	n := startNodeWithBackends(t, b.Addr().String())
	m := getMessage("invalid")
	m.header["X"] = []string{"1\r\nEvil: x"}
	m.settings = n.front.settings.Load()
	m.counters = m.settings.counters[0]
	m.streams, m.clientGoneSignal, m.markClientGone = make(chan *stream, 1), make(chan struct{}), func() {}
	r := &engine.Request{ID: "invalid", Message: m, Deadline: time.Now().Add(time.Second), Reply: make(chan engine.Answer, 2)}
	n.loop.Post(func() { n.loop.Arrive(r) })
	if a := receive(t, "an answer", r.Reply); a.Kind != engine.Refused || a.MayHaveRun {
		t.Errorf("answered %+v", a)
	}
	if len(r.Reply) != 0 {
		t.Errorf("answered again: %+v", <-r.Reply)
	}
	if count := n.counters.attempts.notEncoded.Load(); count < 1 || count > 10 {
		t.Errorf("%d attempts", count)
	}
}
