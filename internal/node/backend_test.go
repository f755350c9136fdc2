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
)

// exchangesFor returns exchanges with a pool of their own.
func exchangesFor(t *testing.T) *exchanges {
	p := newPool(16, 2*time.Second, 5*time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	go p.run(ctx)
	t.Cleanup(cancel)
	return newExchanges(p, true, quiet())
}

func get(id string) *message {
	return &message{method: "GET", url: &url.URL{Path: "/api/x"}, host: "api.internal",
		header: http.Header{"X-Trace-Id": {id}, "Idempotency-Key": {"key"}}}
}

// try makes one attempt and waits for how it ends.
func try(t *testing.T, x *exchanges, to engine.Endpoint, m *message) engine.Result {
	t.Helper()
	done := make(chan engine.Result, 1)
	x.attempt(to, m, time.Now().Add(patience/2), func(r engine.Result) { done <- r })
	return receive(t, "the outcome", done)
}

// Each attempt reaches one connection, once. http.Transport would send these again by itself when the reused
// connection breaks: they are GETs and bear an Idempotency-Key.
func TestBrokenReusedConnectionIsNotTriedAgain(t *testing.T) {
	seen := make(chan string, 8)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			seen <- r.Header.Get("X-Trace-Id")
			if i > 0 {
				reset(c) // the second request on a connection breaks it
				return
			}
			io.WriteString(c, ok200("x"))
		}
	})
	x, to := exchangesFor(t), engine.Endpoint{Addr: b.Addr().String()}
	if r := try(t, x, to, get("first")); r.Status != balance.Delivered || string(replyOf(r.Body).body) != "x" {
		t.Fatalf("the first: %v", r)
	}
	if r := try(t, x, to, get("second")); r.Status != balance.Dropped {
		t.Errorf("the second: status %v, want Dropped: it may have run", r.Status)
	}
	if n := b.Accepted.Load(); n != 1 || len(seen) != 2 {
		t.Errorf("%d connections, %d requests", n, len(seen))
	}
}

// Outcomes by what the backend does with the request once it has it.
func TestOutcomes(t *testing.T) {
	big := strings.Repeat("x", bodyMost)
	for name, tc := range map[string]struct {
		answer string
		want   balance.Status
		body   string
	}{
		"served":                   {ok200("abc"), balance.Delivered, "abc"},
		"largest body":             {ok200(big), balance.Delivered, big},
		"chunked":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", balance.Delivered, "ab"},
		"1xx ahead":                {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok200("abc"), balance.Delivered, "abc"},
		"error":                    {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balance.AppError, ""},
		"turned away":              {"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.Shed, ""},
		"over already":             {"HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.Shed, ""},
		"503 that may run":         {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balance.AppError, ""},
		"504 that may run":         {"HTTP/1.1 504 Late\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", balance.AppError, ""},
		"500 with the mark":        {"HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.AppError, ""},
		"nothing":                  {"", balance.Dropped, ""},
		"cut short":                {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", balance.Dropped, ""},
		"chunks cut short":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", balance.Dropped, ""},
		"ends with its connection": {"HTTP/1.1 200 OK\r\n\r\nabc", balance.Delivered, "abc"},
		"not HTTP":                 {"hello\r\n\r\n", balance.Dropped, ""},
		"too long":                 {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + big, balance.Dropped, ""},
		"head without end":         {"HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 10*(headMost+bodyMost)), balance.Dropped, ""},
		"1xx without end":          {strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 1000), balance.Dropped, ""},
		"chunks without end":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+big[:0x1000]+"\r\n", 40), balance.Dropped, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					io.WriteString(c, tc.answer)
				}
			})
			r := try(t, exchangesFor(t), engine.Endpoint{Addr: b.Addr().String()}, get("id"))
			if r.Status != tc.want || string(replyOf(r.Body).body) != tc.body {
				t.Errorf("status %v with %d bytes, want %v with %d", r.Status, len(replyOf(r.Body).body), tc.want, len(tc.body))
			}
		})
	}
}

// A connection that nobody takes, or that breaks before the last byte is written, never ran.
func TestNeverRan(t *testing.T) {
	addr := standin.ReserveAddr(t)
	if r := try(t, exchangesFor(t), engine.Endpoint{Addr: addr}, get("refused")); r.Status != balance.DialFailed {
		t.Errorf("refused connection: %v", r.Status)
	}

	// Buffers far smaller than the body, and a backend that breaks off having read a part of it.
	small := func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
		})
	}
	lc := net.ListenConfig{Control: small}
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
		reset(c)
	}()
	x := exchangesFor(t)
	x.pool.dialer.Control = small
	m := get("partial")
	m.method, m.body = "POST", make([]byte, bodyMost)
	if r := try(t, x, engine.Endpoint{Addr: l.Addr().String()}, m); r.Status != balance.DialFailed {
		t.Errorf("broken before the last byte: %v", r.Status)
	}
}

// A backend restarted under its address leaves connections that look open here. None may swallow a request.
func TestRestartedBackendLeavesNoDeadConnections(t *testing.T) {
	serve := answering(func(r *http.Request) string { return ok200(r.Header.Get("X-Trace-Id")) })
	conns := make(chan net.Conn, 8)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) { conns <- c; serve(c, br) })
	addr := b.Addr().String()
	x, to := exchangesFor(t), engine.Endpoint{Addr: addr}
	if r := try(t, x, to, get("old")); r.Status != balance.Delivered {
		t.Fatalf("%v", r.Status)
	}
	b.Close()
	reset(receive(t, "the old connection", conns))
	newRawBackend(t, addr, serve)
	if r := try(t, x, to, get("new")); r.Status != balance.Delivered || string(replyOf(r.Body).body) != "new" {
		t.Errorf("after the restart: %v %q", r.Status, replyOf(r.Body).body)
	}
}

// An idle connection is not used near the end of its life: a request that crosses its close may have run.
func TestOldIdleConnectionsAreNotUsed(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string { return ok200("x") }))
	x, to := exchangesFor(t), engine.Endpoint{Addr: b.Addr().String()}
	for i := range 2 {
		if r := try(t, x, to, get(fmt.Sprint(i))); r.Status != balance.Delivered {
			t.Fatalf("%v", r.Status)
		}
	}
	if n := b.Accepted.Load(); n != 1 {
		t.Fatalf("a fresh idle connection was not reused: %d connections", n)
	}
	x.pool.mu.Lock()
	x.pool.idle[to][0].idleAt = time.Now().Add(-x.pool.keep)
	x.pool.mu.Unlock()
	if r := try(t, x, to, get("later")); r.Status != balance.Delivered {
		t.Fatalf("%v", r.Status)
	}
	if n := b.Accepted.Load(); n != 2 {
		t.Errorf("an old idle connection was used: %d connections", n)
	}
}

// What follows an answer unasked spoils the connection: it would be read as the answer to the next request.
func TestSurplusAfterAnAnswerReachesNobody(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string {
		return ok200(r.Header.Get("X-Trace-Id")) + ok200("surplus")
	}))
	x, to := exchangesFor(t), engine.Endpoint{Addr: b.Addr().String()}
	for _, id := range []string{"one", "two"} {
		if r := try(t, x, to, get(id)); r.Status != balance.Delivered || string(replyOf(r.Body).body) != id {
			t.Errorf("%s: %v %q", id, r.Status, replyOf(r.Body).body)
		}
	}
}

// An attempt given up ends its connection, and its late answer is nobody's.
func TestAttemptGivenUpEndsItsConnection(t *testing.T) {
	begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			begun <- struct{}{}
			io.Copy(io.Discard, br)
			io.WriteString(c, ok200("late"))
			ended <- struct{}{}
		}
	})
	x, done := exchangesFor(t), make(chan engine.Result, 2)
	c := x.attempt(engine.Endpoint{Addr: b.Addr().String()}, get("id"), time.Now().Add(patience), func(r engine.Result) { done <- r })
	receive(t, "the request at the backend", begun)
	c.cancel()
	receive(t, "the end of the connection", ended)
	if r := receive(t, "the outcome", done); r.Status != balance.Revoked {
		t.Errorf("%v", r.Status)
	}
	x.pool.mu.Lock()
	defer x.pool.mu.Unlock()
	if x.pool.open != 0 {
		t.Errorf("%d connections left", x.pool.open)
	}
}

// The pool holds no more connections than it may, and what is idle makes room.
func TestPoolIsBounded(t *testing.T) {
	serve := answering(func(*http.Request) string { return ok200("x") })
	a, b := newRawBackend(t, "127.0.0.1:0", serve), newRawBackend(t, "127.0.0.1:0", serve)
	x := exchangesFor(t)
	x.pool.most = 1
	for _, l := range []*rawBackend{a, b} {
		if r := try(t, x, engine.Endpoint{Addr: l.Addr().String()}, get("id")); r.Status != balance.Delivered {
			t.Errorf("%v", r.Status)
		}
	}
	c, err := x.pool.get(context.Background(), engine.Endpoint{Addr: b.Addr().String()}, false)
	if err != nil {
		t.Fatal(err)
	}
	if r := try(t, x, engine.Endpoint{Addr: a.Addr().String()}, get("id")); r.Status != balance.Unused {
		t.Errorf("with no room: %v", r.Status)
	}
	x.pool.discard(c)
}

func TestReports(t *testing.T) {
	l, err := settings.ParseReport("TEXT inflight=7, queue=2, util=0.61, other=3")
	if err != nil || l.Active != 7 || l.Waiting != 2 || l.CPU != 0.61 ||
		l.Has != balance.HasActive|balance.HasWaiting|balance.HasCPU {
		t.Errorf("%+v %v", l, err)
	}
	if l, err := settings.ParseReport(" \n"); err != nil || l.Has != 0 {
		t.Errorf("empty: %+v %v", l, err)
	}
	for _, text := range []string{"TEXT inflight", "inflight=x", "inflight=NaN", "inflight=-1", "inflight=1e300", "\x00\xff"} {
		if l, err := settings.ParseReport(text); err == nil || l.Has != 0 {
			t.Errorf("%q: %+v %v", text, l, err)
		}
	}
}

// A probe brings the backend's report, and one that can't be read is none.
func TestProbes(t *testing.T) {
	body := "TEXT inflight=7, util=0.5"
	b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string {
		if r.Method != "GET" || r.URL.Path != "/stats" {
			return "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
		}
		return ok200(body)
	}))
	x, done := exchangesFor(t), make(chan engine.Result, 1)
	x.Probe(engine.Endpoint{Addr: b.Addr().String()}, func(r engine.Result) { done <- r })
	if r := receive(t, "the probe", done); r.Status != balance.Delivered || r.Load.Active != 7 || r.Load.CPU != 0.5 {
		t.Errorf("%+v", r)
	}
	body = "\x00\x01"
	x.Probe(engine.Endpoint{Addr: b.Addr().String()}, func(r engine.Result) { done <- r })
	if r := receive(t, "the probe", done); r.Load.Has != 0 {
		t.Errorf("%+v", r)
	}
}

// The platform may refuse sendfile and splice: no connection lets the library use them, since none shows it a plain socket. What
// the node copies it reads and writes.
func TestNoCopyInTheKernel(t *testing.T) {
	for what, c := range map[string]any{"client": &clients.Conn{}, "backend": &conn{}, "upload": plainWriter{}} {
		if _, ok := c.(io.ReaderFrom); ok {
			t.Errorf("%s: has ReadFrom, which splices", what)
		}
		if _, ok := c.(io.WriterTo); ok {
			t.Errorf("%s: has WriteTo, which splices", what)
		}
		if _, ok := c.(syscall.Conn); ok {
			t.Errorf("%s: shows its descriptor", what)
		}
	}
}
