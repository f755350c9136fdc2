package upstream

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"glencart/internal/engine"
	"glencart/internal/standin"
	"glencart/reuse"
)

// fixture is a pool with one backend. Its ends of the connections arrive on accepted.
type fixture struct {
	*Pool
	to       engine.Endpoint
	accepted chan net.Conn
	blocked  atomic.Bool   // dials fail when their context ends, not before
	closing  chan struct{} // if it is not nil, Close of a connection waits for a value
}

// slowConn is a connection whose Close waits, as that of a connection with a read in progress does.
type slowConn struct {
	net.Conn
	closing <-chan struct{}
}

func (c slowConn) Close() error {
	<-c.closing
	return c.Conn.Close()
}

func newFixture(t *testing.T, maxConns int) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{to: engine.Endpoint{ID: "s", Addr: l.Addr().String()}, accepted: make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.accepted <- c
		}
	}()
	ended := make(chan struct{})
	f.Pool = NewPool(Options{MaxConns: maxConns, IdleTimeout: time.Minute, ReadBufferBytes: 512, Log: slog.New(slog.DiscardHandler),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			if f.blocked.Load() {
				<-ended
				return nil, errors.New("dial ended with the test")
			}
			c, err := net.Dial("tcp", addr)
			if err == nil && f.closing != nil {
				c = slowConn{c, f.closing}
			}
			return c, err
		}})
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx)
	t.Cleanup(func() { close(ended); cancel(); l.Close() })
	return f
}

// get gets a connection for a request.
func (f *fixture) get(t *testing.T) *Conn {
	t.Helper()
	c, err := f.Get(t.Context(), f.to, Request{})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// learnAnswerTime has the backend answer until the pool knows that it takes 100 ms. No connection stays open.
func (f *fixture) learnAnswerTime(t *testing.T) {
	t.Helper()
	for range 16 {
		f.Put(f.get(t), reuse.Answer{Elapsed: 100 * time.Millisecond})
		f.Drop(f.to)
	}
}

// counter returns a counter of the pool.
func (f *fixture) counter(name string) int64 {
	for _, c := range f.Counters() {
		if c.Name == name {
			return c.Value
		}
	}
	return -1
}

// A second answer may still be on its way when a connection becomes idle. The next request must wait until the connection was quiet
// for long enough, even if no other connection comes up or there is no room for one.
func TestRequestWaitsForQuietConnection(t *testing.T) {
	for name, maxConns := range map[string]int{"dials hang": 0, "no room": 1} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, maxConns)
			c := f.get(t)
			f.blocked.Store(true)
			f.Put(c, reuse.Answer{Elapsed: time.Millisecond})
			freeAt := time.Now()
			if next := f.get(t); next != c || time.Since(freeAt) < reuse.QuietTime-time.Millisecond {
				t.Errorf("same connection: %v, after %v", next == c, time.Since(freeAt))
			}
		})
	}
}

// The wait for a quiet connection and the hold of an early answer are decisions of this process. They counted as time of the backend, so
// that all backends looked slow and requests were rejected. A connection that was quiet already has no such delay.
func TestOwnDelayCountsWaitAndHold(t *testing.T) {
	f := newFixture(t, 1)
	f.learnAnswerTime(t)
	c := f.get(t)
	f.Put(c, reuse.Answer{Elapsed: 100 * time.Millisecond})
	began := time.Now()
	if f.get(t) != c {
		t.Fatal("the connection was not reused")
	}
	waited := time.Since(began)
	if c.OwnDelay <= 0 || c.OwnDelay > waited {
		t.Errorf("own delay %v after a wait of %v", c.OwnDelay, waited)
	}
	time.Sleep(reuse.QuietTime) // an answer in this time would not be accepted
	began = time.Now()
	before := c.OwnDelay
	if !f.AcceptsAnswer(c, reuse.Answer{Elapsed: time.Millisecond}, began.Add(time.Minute)) {
		t.Fatal("the answer was not accepted")
	}
	if held := c.OwnDelay - before; held <= 0 || held > time.Since(began) {
		t.Errorf("own delay of %v for an answer held back for %v", held, time.Since(began))
	}
	f.Put(c, reuse.Answer{Elapsed: 100 * time.Millisecond})
	time.Sleep(reuse.QuietTime)
	if f.get(t) != c || c.OwnDelay != 0 {
		t.Errorf("own delay %v on a quiet connection", c.OwnDelay)
	}
}

// A connection that comes up sooner than another one is quiet must carry the request, and the other one stays in the pool.
func TestNewConnectionIsUsedIfItIsUpFirst(t *testing.T) {
	f := newFixture(t, 0)
	c := f.get(t)
	f.Put(c, reuse.Answer{Elapsed: time.Millisecond})
	if next := f.get(t); next == c || next.State.IsReused() {
		t.Error("the connection that was not quiet was used")
	}
	if idle := f.Idle(f.to); len(idle) != 1 || idle[0] != c {
		t.Errorf("%d idle connections, want the one that was not used", len(idle))
	}
}

// Surplus bytes that come late on an idle connection show that they may reach requests. The connection is closed when they come, and
// the backend's connections are no longer reused.
func TestLateSurplusEndsReuse(t *testing.T) {
	f := newFixture(t, 0)
	c := f.get(t)
	backend := standin.Receive(t, "the connection", f.accepted)
	f.Put(c, reuse.Answer{Elapsed: time.Millisecond})
	time.Sleep(reuse.QuietTime)
	io.WriteString(backend, "HTTP/1.1 200 OK\r\n\r\n")
	standin.Eventually(t, "the end of the connection", func() bool { return f.Open() == 0 })
	if n := f.counter("surplus.bytes_while_idle"); n != 1 {
		t.Errorf("surplus bytes counted %d times", n)
	}
	f.Put(f.get(t), reuse.Answer{Elapsed: time.Millisecond})
	if f.Open() != 0 || f.counter("closed.distrusted") != 1 {
		t.Errorf("%d connections open, %d closed as distrusted; want 0 and 1", f.Open(), f.counter("closed.distrusted"))
	}
}

// A backend that closes an idle connection does nothing wrong. The connection leaves the pool at once and nothing else changes.
func TestConnectionClosedByBackendLeavesPool(t *testing.T) {
	f := newFixture(t, 0)
	f.Put(f.get(t), reuse.Answer{Elapsed: time.Millisecond})
	standin.Receive(t, "the connection", f.accepted).Close()
	standin.Eventually(t, "the end of the connection", func() bool { return f.Open() == 0 })
	if f.counter("closed.by_backend") != 1 || f.counter("distrusted_backends") != 0 {
		t.Errorf("closed by backend: %d, distrusted: %d", f.counter("closed.by_backend"), f.counter("distrusted_backends"))
	}
}

// An answer that comes sooner than its backend can answer is held back. If another one follows, neither may be passed on.
func TestSecondAnswerBehindEarlyOneIsNoticed(t *testing.T) {
	f := newFixture(t, 0)
	for range 16 { // until the answer time of the backend is known
		f.Put(f.get(t), reuse.Answer{Elapsed: 100 * time.Millisecond})
		f.Drop(f.to)
		standin.Receive(t, "the connection", f.accepted)
	}
	c := f.get(t)
	backend := standin.Receive(t, "the connection", f.accepted)
	f.Put(c, reuse.Answer{Elapsed: 100 * time.Millisecond})
	time.Sleep(reuse.QuietTime)
	if next := f.get(t); next != c {
		t.Fatal("the quiet connection was not reused")
	}
	time.Sleep(reuse.QuietTime) // an answer in this time would not be accepted for another reason
	io.WriteString(backend, "HTTP/1.1 200 OK\r\n\r\n")
	if f.AcceptsAnswer(c, reuse.Answer{Elapsed: time.Millisecond}, time.Now().Add(time.Minute)) {
		t.Error("an early answer with another one behind it was accepted")
	}
	if f.counter("surplus.second_answer") != 1 || f.Open() != 0 {
		t.Errorf("second answers: %d, open: %d", f.counter("surplus.second_answer"), f.Open())
	}
}

// An early answer may be another request's. When its attempt has no time left to see whether another answer follows, it must not be
// accepted, because nothing shows that it is the right one.
func TestEarlyAnswerIsNotAcceptedWithoutTimeToHoldIt(t *testing.T) {
	f := newFixture(t, 0)
	f.learnAnswerTime(t)
	c := f.get(t)
	f.Put(c, reuse.Answer{Elapsed: 100 * time.Millisecond})
	time.Sleep(reuse.QuietTime)
	if next := f.get(t); next != c {
		t.Fatal("the quiet connection was not reused")
	}
	time.Sleep(reuse.QuietTime) // an answer in this time would not be accepted for another reason
	if f.AcceptsAnswer(c, reuse.Answer{Elapsed: time.Millisecond}, time.Now().Add(20*time.Millisecond)) {
		t.Error("an early answer was accepted without being held for long enough")
	}
	if f.Open() != 0 || f.counter("closed.order_lost") != 1 {
		t.Errorf("%d connections open, %d closed since their order is lost", f.Open(), f.counter("closed.order_lost"))
	}
}

// A backend may be found to send surplus answers while a request waits for one of its connections to be quiet. The connection must
// not carry the request after that.
func TestWaitingConnectionIsNotUsedAfterDistrust(t *testing.T) {
	f := newFixture(t, 0)
	waiting, faulty := f.get(t), f.get(t)
	f.Put(waiting, reuse.Answer{Elapsed: time.Millisecond})
	f.blocked.Store(true)
	got := make(chan *Conn, 1)
	go func() {
		c, _ := f.Get(t.Context(), f.to, Request{})
		got <- c
	}()
	standin.Eventually(t, "the wait", func() bool { return f.counter("waits_for_quiet") == 1 })
	f.blocked.Store(false) // the next dial succeeds; the one beside the wait goes on
	f.DiscardSurplus(faulty, reuse.SecondAnswer)
	if c := standin.Receive(t, "a connection", got); c == waiting {
		t.Error("a connection of a backend with surplus answers was reused")
	}
}

// A list that removed most backends at once made the loop close their idle connections one by one. Each Close waits for the goroutine
// that watches the connection, and the lock of the pool was held meanwhile, so all requests of the node waited too. Neither Drop nor
// the use of other connections may wait for a Close.
func TestDropDoesNotWaitForConnectionsToClose(t *testing.T) {
	f := newFixture(t, 0)
	f.closing = make(chan struct{})
	f.Put(f.get(t), reuse.Answer{Elapsed: time.Millisecond})
	dropped := make(chan struct{})
	go func() {
		f.Drop(f.to)
		f.Put(f.get(t), reuse.Answer{Elapsed: time.Millisecond})
		close(dropped)
	}()
	standin.Receive(t, "Drop and another connection", dropped)
	close(f.closing)
}

// A connection was reused before it had been quiet, since its backend never answered so fast, and an answer that came sooner nevertheless
// was ended. A short one must be held until the right one would have come, and a long one taken at once.
func TestSoundAnswerInQuietTimeIsNotEnded(t *testing.T) {
	for _, isLong := range []bool{false, true} {
		f := newFixture(t, 0)
		f.learnAnswerTime(t)
		c := f.get(t)
		f.Put(c, reuse.Answer{Elapsed: 100 * time.Millisecond})
		f.blocked.Store(true)
		freeAt := time.Now()
		if f.get(t) != c || time.Since(freeAt) >= reuse.QuietTime {
			t.Fatal("the connection was not in use early")
		}
		if !f.AcceptsAnswer(c, reuse.Answer{Elapsed: time.Millisecond, IsLong: isLong}, time.Now().Add(time.Minute)) {
			t.Errorf("long %t: the answer was ended", isLong)
		}
		if held := f.counter("answers_held"); held != 0 == isLong {
			t.Errorf("long %t: %d answers held", isLong, held)
		}
	}
}

// A connection must not be in use early for a request whose deadline leaves no time to hold an answer back: a sound one would be ended.
func TestRequestWithLittleTimeGetsQuietConnection(t *testing.T) {
	f := newFixture(t, 0)
	f.learnAnswerTime(t)
	c := f.get(t)
	f.Put(c, reuse.Answer{Elapsed: 100 * time.Millisecond})
	f.blocked.Store(true)
	freeAt := time.Now()
	next, err := f.Get(t.Context(), f.to, Request{Deadline: freeAt.Add(reuse.QuietTime + 20*time.Millisecond)})
	if err != nil || next != c || time.Since(freeAt) < reuse.QuietTime-time.Millisecond {
		t.Errorf("same connection: %t, after %v, %v", next == c, time.Since(freeAt), err)
	}
}

// Bytes that stood ahead of an answer ended the request whose answer followed them, and the reuse of all connections to that backend.
func TestNoiseAheadOfAnswerIsDiscarded(t *testing.T) {
	for text, want := range map[string]struct {
		discarded int
		rest      string // what can be read behind the noise; empty: an error
	}{
		"HTTP/1.1 200 OK\r\n":      {0, "HTTP/1.1 200 OK\r\n"},
		"###HTTP/1.1 200 OK\r\n":   {3, "HTTP/1.1 200 OK\r\n"},
		"HTT##HTTP/1.1 200 OK\r\n": {5, "HTTP/1.1 200 OK\r\n"},
		"no answer at all":         {12, ""},
	} {
		f := newFixture(t, 0)
		c := f.get(t)
		backend := standin.Receive(t, "the connection", f.accepted)
		io.WriteString(backend, text)
		backend.Close()
		discarded, err := c.DiscardNoise(time.Now().Add(time.Minute))
		rest, _ := io.ReadAll(c.Reader)
		if discarded != want.discarded || (err == nil) != (want.rest != "") || err == nil && string(rest) != want.rest {
			t.Errorf("%q: %d bytes discarded, %v, rest %q", text, discarded, err, rest)
		}
	}
}
