package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
)

// engineFixture is an engine that sends over a transport to two backends. The test can advance its clock.
type engineFixture struct {
	transport    *transport
	loop         *engine.Engine
	clockAdvance atomic.Int64
	results      chan engine.Result
}

func newEngineFixture(t *testing.T, window time.Duration, addrs ...string) *engineFixture {
	p := &engineFixture{transport: newTestTransport(t), results: make(chan engine.Result, 8)}
	bal, err := balance.New(balance.Config{
		Classes: []balance.Class{{Aim: time.Second, Deadline: testTimeout, Effect: balance.Keyed, Window: window, Scope: balance.ScopeAll, Points: 1}},
		Limits:  balance.Limits{MaxAttempts: 2, RetriesPerSecond: 10},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	p.loop = engine.New(engine.Config{Balancer: bal, Transport: p.transport, OnResult: func(_ string, r engine.Result) { p.results <- r },
		Now: func() time.Time { return time.Now().Add(time.Duration(p.clockAdvance.Load())) }})
	var l engine.List
	for _, a := range addrs {
		l.Members = append(l.Members, engine.Member{ID: a, Addr: a, Member: balance.Member{Weight: 1}})
	}
	p.loop.UpdateBackends(balance.MembersChanged, l)
	quit := make(chan struct{})
	go p.loop.Run(quit)
	t.Cleanup(func() { close(quit); <-p.loop.Done() })
	return p
}

// submit submits a request with this message.
func (p *engineFixture) submit(m *message) *engine.Request {
	r := &engine.Request{ID: "x", Deadline: p.loop.Now().Add(testTimeout), Message: m, Reply: make(chan engine.Answer, 1)}
	p.loop.Submit(r)
	return r
}

// The window in which backends recognize a repeated key may end while a retry is still dialing. After it the request could run twice,
// so the window is checked again before the write.
func TestNoRetryIsSentAfterKeyWindow(t *testing.T) {
	for name, afterWindow := range map[string]bool{"in the window": false, "after the window": true} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			serve := func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				if ran.Add(1) == 1 {
					resetConn(c) // so that the request may have run
					return
				}
				io.WriteString(c, ok200("again"))
			}
			a, b := newRawBackend(t, "127.0.0.1:0", serve), newRawBackend(t, "127.0.0.1:0", serve)
			p := newEngineFixture(t, testTimeout/2, a.Addr().String(), b.Addr().String())
			var dials atomic.Int32
			dialing, proceed := make(chan struct{}), make(chan struct{})
			p.transport.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
				if dials.Add(1) == 2 {
					close(dialing)
					<-proceed
				}
				return nil
			}
			r := p.submit(getMessage("x"))
			if got := receive(t, "the result of the first attempt", p.results); got.Status != balance.Dropped {
				t.Fatalf("first attempt: %v", got.Status)
			}
			receive(t, "the second dial", dialing)
			if afterWindow {
				p.clockAdvance.Store(int64(testTimeout / 2))
			}
			close(proceed)
			ans := receive(t, "the answer", r.Reply)
			if afterWindow && (ans.Kind != engine.Failed || ran.Load() != 1) || !afterWindow && (ans.Kind != engine.Served || ran.Load() != 2) {
				t.Errorf("answer %v, %d runs", ans.Kind, ran.Load())
			}
			if got := receive(t, "the result of the second attempt", p.results); afterWindow && got.Status != balance.Unused {
				t.Errorf("second attempt: %v", got.Status)
			}
		})
	}
}

// The key window may also end while a retry is being written to a backend that reads slowly. The last byte must not be sent after
// it, so the write ends with the window and the retry never ran.
func TestRetryWriteEndsWithKeyWindow(t *testing.T) {
	smallBuffers := func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
		})
	}
	for name, addBody := range map[string]func(m *message){
		"one piece": func(m *message) { m.body = make([]byte, maxBufferedBodyBytes) },
		"in pieces": func(m *message) { m.body = make([]byte, 1); m.more = [][]byte{make([]byte, maxBufferedBodyBytes)} },
	} {
		t.Run(name, func(t *testing.T) {
			var accepted atomic.Int32
			testEnded := make(chan struct{})
			var addrs []string
			for range 2 {
				l, err := (&net.ListenConfig{Control: smallBuffers}).Listen(context.Background(), "tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					defer c.Close()
					if accepted.Add(1) == 1 {
						if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
							io.Copy(io.Discard, r.Body)
						}
						resetConn(c)
						return
					}
					<-testEnded // reads nothing
				}()
				addrs = append(addrs, l.Addr().String())
			}
			defer close(testEnded)
			p := newEngineFixture(t, testTimeout/80, addrs...)
			p.transport.pool.dialer.Control = smallBuffers
			m := getMessage("x")
			m.method = "POST"
			addBody(m)
			r := p.submit(m)
			if got := receive(t, "the result of the first attempt", p.results); got.Status != balance.Dropped {
				t.Fatalf("first attempt: %v", got.Status)
			}
			if got := receive(t, "the result of the second attempt", p.results); got.Status != balance.DialFailed {
				t.Errorf("second attempt: %v", got.Status)
			}
			if remaining := time.Until(r.Deadline); remaining < testTimeout/4 {
				t.Errorf("the write ended only %v before the deadline", remaining)
			}
			if ans := receive(t, "the answer", r.Reply); ans.Kind != engine.Failed {
				t.Errorf("answer %v", ans.Kind)
			}
		})
	}
}

// An upload whose attempt is still dialing when its backend begins to drain moves to another backend. The next attempt gets the body
// although the goroutine of the first one is still in its dial, and that goroutine must not read from the body when it returns.
func TestUploadMovesOnWhileStoppedDialLasts(t *testing.T) {
	const body = "0123456789"
	got := make(chan string, 2)
	serve := serveAnswers(func(r *http.Request) string {
		b, _ := io.ReadAll(r.Body)
		got <- string(b)
		return ok200("done")
	})
	a, b := newRawBackend(t, "127.0.0.1:0", serve), newRawBackend(t, "127.0.0.1:0", serve)
	p := newEngineFixture(t, testTimeout, a.Addr().String(), b.Addr().String())
	var dials atomic.Int32
	dialing, proceed := make(chan string, 1), make(chan struct{})
	p.transport.pool.dialer.Control = func(_, addr string, _ syscall.RawConn) error {
		if dials.Add(1) == 1 {
			dialing <- addr
			<-proceed
		}
		return nil
	}
	m := getMessage("x")
	m.method, m.timeLeft, m.streams = "POST", testTimeout, make(chan *stream, 1)
	m.upload = &upload{from: &pacedReader{body: strings.NewReader(body), rc: &http.ResponseController{}}, length: int64(len(body)), remaining: 100}
	r := p.submit(m)
	addr := receive(t, "the first dial", dialing)
	p.loop.Post(func() {
		p.loop.UpdateBackends(balance.MembersChanged, engine.List{Members: []engine.Member{{ID: addr, Addr: addr,
			Member: balance.Member{Weight: 1, Phase: balance.Draining}}}})
	})
	ans := receive(t, "the answer", r.Reply)
	close(proceed)
	if ans.Kind != engine.Served || len(got) != 1 || <-got != body {
		t.Errorf("answer %v, %d bodies", ans.Kind, len(got))
	}
	if n := dials.Load(); n != 2 {
		t.Errorf("%d dials", n)
	}
}
