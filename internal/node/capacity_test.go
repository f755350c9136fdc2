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

// A node must keep a list of 1,024 backends whole, and accept an operator's call for each even after all have left the list at once.
// A limit below that would drop backends or calls.
func TestThousandBackendsAreKept(t *testing.T) {
	const total = 1024
	var members []listedBackend
	for i := range total {
		members = append(members, listedBackend{ID: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1+i), Phase: "ready"})
	}
	text := listText(1, true, members...)
	n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text))
	count := func() (known int) {
		n.runOnLoop(t, func() { known = n.loop.BackendCount() })
		return known
	}
	if got := count(); got != total {
		t.Errorf("%d of %d backends known", got, total)
	}
	// All backends leave the list at once. A call for each of them still names a known backend.
	n.runOnLoop(t, func() {
		n.tracker.ApplyList(nil, true, n.loop.Clock())
		for _, m := range members {
			if _, _, known := n.tracker.SetOutOfService(m.ID, true, n.loop.Clock()); !known {
				t.Errorf("%s is unknown right after it left the list", m.ID)
				return
			}
		}
	})
}

// A node with 1,024 peers must have room to send one datagram to each at once and to receive one from each at once. Smaller queues
// would drop datagrams of a single round.
func TestThousandPeersHaveQueueSpace(t *testing.T) {
	const total = 1024
	cfg := Config{PeerListen: "127.0.0.1:0"}
	for i := range total {
		cfg.Peers = append(cfg.Peers, fmt.Sprintf("127.0.0.1:%d", 1000+i))
	}
	b := boundsOf(Limits{MemoryMB: 32, Sockets: 256}, total)
	p, err := listenPeers(t.Context(), &cfg, b.maxQueuedDatagrams, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	defer p.conn.Close()
	for i := range total {
		p.send(i, []byte{1})
	}
	if got := len(p.sendQueue); got != total {
		t.Errorf("%d of %d datagrams wait to be sent", got, total)
	}
	n := &Node{cfg: cfg, bounds: b, loop: engine.New(engine.Config{})} // its loop doesn't run
	for i := range total {
		n.receivePeerMessage(i, nil)
	}
	if got := n.queuedMessages.Load(); got != total {
		t.Errorf("%d of %d received messages wait", got, total)
	}
}

// The deadline of a request counts from its last byte, also where that byte waited in the backlog of a full listener. Counted from the
// accept, the answer would be late by the time in the backlog.
func TestTimeInBacklogCountsTowardsDeadline(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, _ *bufio.Reader) { io.Copy(io.Discard, c) }) // it never answers
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	cfg.Limits.Sockets = minSockets
	n := startNode(t, cfg)
	n.front.table.DisableEviction() // no idle connection is closed to make room
	var silent []net.Conn
	for !n.listener.IsFull() {
		silent = append(silent, n.dial(t))
		eventually(t, "an accepted connection", func() bool { return n.listener.OpenCount() >= len(silent) })
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

// A reload during the shutdown may make the node end sooner but never later, since the time of SIGKILL doesn't move. All open requests
// are answered, and so are those that arrive on connections that the node keeps.
func TestReloadDuringShutdown(t *testing.T) {
	for _, c := range []struct {
		deadline    string
		maxDuration time.Duration // the earlier time of SIGKILL
	}{{`"deadline":300000000`, 2400 * time.Millisecond}, {`"deadline":12000000000`, 3700 * time.Millisecond}} {
		t.Run(c.deadline, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan struct{}, 4)
			b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
				if r.URL.Path == "/stats" {
					return ok200("{}")
				}
				arrived <- struct{}{}
				select {} // it never answers
			}))
			text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
			reg := newRegistry(t, text).Addr
			n := startNode(t, testConfig(t, reg, text))
			answered := make(chan error, 1)
			go func() {
				resp, err := http.DefaultTransport.RoundTrip(newTestRequest(t, n.url+"/api/x", "order"))
				if err == nil && resp.StatusCode < 500 {
					err = fmt.Errorf("answered %d", resp.StatusCode)
				}
				answered <- err
			}()
			receive(t, "a request at the backend", arrived)
			began := time.Now()
			n.stop()
			eventually(t, "the start of the shutdown", n.front.isLeaving.Load)
			if err := n.Reload(testConfig(t, reg, text, `"deadline":10000000000`, c.deadline)); err != nil {
				t.Fatal(err)
			}
			if err := receive(t, "the answer", answered); err != nil {
				t.Error(err)
			}
			if err := receive(t, "the end of the node", n.result); err != nil {
				t.Error(err)
			}
			if d := time.Since(began); d > c.maxDuration {
				t.Errorf("the node ended too late, after %v", d)
			}
			if b := &n.front.requestCounts; b.Accepted.Load() != 1 || b.Answered.Load() != 1 || b.Open() != 0 {
				t.Errorf("accepted %d, answered %d, open %d", b.Accepted.Load(), b.Answered.Load(), b.Open())
			}
		})
	}
}

// A node that is stopped between opening its listener and serving must answer the clients that have connected in between.
func TestShutdownBeforeServingAnswersBacklog(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("done") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	n, err := New(t.Context(), testConfig(t, newRegistry(t, text).Addr, text, `"deadline":10000000000`, `"deadline":300000000`), discardLog())
	if err != nil {
		t.Fatal(err)
	}
	answer := make(chan string, 1)
	go func() {
		_, body := doRequest(t, newTestRequest(t, "http://"+n.Addr().String()+"/api/x", "order"))
		answer <- body
	}()
	eventually(t, "a connection in the backlog", func() bool { waiting, _ := sock.HasQueuedConn(n.listener.Listener); return waiting })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := n.Run(ctx); err != nil {
		t.Error(err)
	}
	if body := receive(t, "the answer", answer); body != "done" {
		t.Errorf("answered %q", body)
	}
}
