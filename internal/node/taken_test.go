package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"glencart/internal/engine"
	"glencart/internal/sock"
)

// A node that has lists of 1,024 peers and 1,024 backends drops nothing of either.
func TestListsOfAThousand(t *testing.T) {
	const many = 1024
	var members []listed
	for i := range many {
		members = append(members, listed{ID: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1+i), Phase: "ready"})
	}
	text := listText(1, true, members...)
	n := start(t, testConfig(t, newRegistry(t, text).Addr, text))
	count := func() (known int) {
		n.onLoop(t, func() { known = n.loop.Backends() })
		return known
	}
	if got := count(); got != many {
		t.Errorf("%d backends of %d are known", got, many)
	}
	// All leave at once: a call on each is still a word on somebody.
	n.onLoop(t, func() {
		n.hand.Take(nil, true, n.loop.Clock())
		for _, m := range members {
			if _, _, known := n.hand.Say(m.ID, true, n.loop.Clock()); !known {
				t.Errorf("%s has left the list a moment ago, and nobody knows it", m.ID)
				return
			}
		}
	})
}

// Every peer of 1,024 may be told something at once, and may speak at once.
func TestAThousandPeers(t *testing.T) {
	const many = 1024
	cfg := Config{PeerListen: "127.0.0.1:0"}
	for i := range many {
		cfg.Peers = append(cfg.Peers, fmt.Sprintf("127.0.0.1:%d", 1000+i))
	}
	b := boundsOf(Limits{MemoryMB: 32, Sockets: 256}, many)
	p, err := listenPeers(t.Context(), &cfg, b.tell, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer p.conn.Close()
	for i := range many {
		p.tell(i, []byte{1})
	}
	if got := len(p.out); got != many {
		t.Errorf("%d of %d datagrams wait to be sent", got, many)
	}
	n := &Node{cfg: cfg, bounds: b, loop: engine.New(engine.Config{})} // nobody runs it
	for i := range many {
		n.hear(i, nil)
	}
	if got := n.hears.Load(); got != many {
		t.Errorf("%d messages of %d peers wait", got, many)
	}
}

// A request's time begins with its last byte, also where that stood in the queue of a full listener: counted from when there
// was room for it, its answer would be late by as much.
func TestTimeInTheQueueCounts(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, _ *bufio.Reader) { io.Copy(io.Discard, c) }) // it never answers
	text := listText(1, true, listed{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	cfg.Limits.Sockets = leastSockets
	n := start(t, cfg)
	n.front.table.KeepAll() // nobody gives way
	var silent []net.Conn
	for !n.listener.Full() {
		silent = append(silent, n.dial(t))
		eventually(t, "a connection let in", func() bool { return n.listener.Holds() >= len(silent) })
	}
	c := n.dial(t)
	began := time.Now()
	io.WriteString(c, "GET /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: queued\r\nX-Qos: read\r\nX-Customer: acme\r\nX-Expires-In: 2\r\n\r\n")
	time.Sleep(1500 * time.Millisecond)
	silent[0].Close()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if d := time.Since(began); resp.StatusCode < 500 || d > 2750*time.Millisecond {
		t.Errorf("answered %d after %v of 2 s", resp.StatusCode, d)
	}
}

// Settings that change while the node leaves make its end sooner, never later; all that is open has its answer, and so has
// what comes on the connections that it keeps.
func TestSettingsChangeWhileLeaving(t *testing.T) {
	for _, c := range []struct {
		deadline string
		most     time.Duration // SIGKILL by the sooner reckoning
	}{{`"deadline":300000000`, 2400 * time.Millisecond}, {`"deadline":12000000000`, 3700 * time.Millisecond}} {
		t.Run(c.deadline, func(t *testing.T) {
			t.Parallel()
			held := make(chan struct{}, 4)
			b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string {
				if r.URL.Path == "/stats" {
					return ok200("{}")
				}
				held <- struct{}{}
				select {} // it never answers
			}))
			text := listText(1, true, listed{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
			reg := newRegistry(t, text).Addr
			n := start(t, testConfig(t, reg, text))
			open := make(chan error, 1)
			go func() {
				resp, err := http.DefaultTransport.RoundTrip(ask(t, n.url+"/api/x", "order"))
				if err == nil && resp.StatusCode < 500 {
					err = fmt.Errorf("answered %d", resp.StatusCode)
				}
				open <- err
			}()
			receive(t, "a request at the backend", held)
			began := time.Now()
			n.stop()
			eventually(t, "leaving", n.front.leaving.Load)
			if err := n.Reload(testConfig(t, reg, text, `"deadline":10000000000`, c.deadline)); err != nil {
				t.Fatal(err)
			}
			if err := receive(t, "the answer", open); err != nil {
				t.Error(err)
			}
			if err := receive(t, "the node's end", n.err); err != nil {
				t.Error(err)
			}
			if d := time.Since(began); d > c.most {
				t.Errorf("ended after %v", d)
			}
			if b := &n.front.book; b.Taken.Load() != 1 || b.Answered.Load() != 1 || b.Open() != 0 {
				t.Errorf("taken %d, answered %d, open %d", b.Taken.Load(), b.Answered.Load(), b.Open())
			}
		})
	}
}

// A node that is told to end before it serves has let somebody in all the same: the listener was open.
func TestToldToEndBeforeItServes(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string { return ok200("done") }))
	text := listText(1, true, listed{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	n, err := New(t.Context(), testConfig(t, newRegistry(t, text).Addr, text, `"deadline":10000000000`, `"deadline":300000000`), quiet())
	if err != nil {
		t.Fatal(err)
	}
	answer := make(chan string, 1)
	go func() {
		_, body := do(t, ask(t, "http://"+n.Addr().String()+"/api/x", "order"))
		answer <- body
	}()
	eventually(t, "one in the queue", func() bool { some, _ := sock.Waiting(n.listener.Listener); return some })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.Run(ctx); err != nil {
		t.Error(err)
	}
	if body := receive(t, "the answer", answer); body != "done" {
		t.Errorf("answered %q", body)
	}
}
