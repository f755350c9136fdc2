package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"
)

// A request that has been read is never on a connection that was closed as silent, however reading and closing meet: one that
// is read and then closed would run with nobody to answer, or be lost.
func TestClosingNeverMeetsARequestThatWasRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := limitListener(l, 8)
	defer bounded.Close()
	whole := orderHead + "Content-Length: 3\r\n\r\nabc"
	closed, read := 0, 0
	for range 3000 {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		served, err := bounded.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := served.(*framedConn)
		var wg sync.WaitGroup
		var got int
		out := false
		wg.Go(func() {
			buf := make([]byte, len(whole))
			got, _ = io.ReadFull(c, buf)
		})
		wg.Go(func() {
			for !out && !c.asking.Load() {
				out = c.closeUnasked()
				if out {
					break
				}
				runtime.Gosched()
			}
		})
		io.WriteString(client, whole)
		wg.Wait()
		switch {
		case out && got == len(whole):
			t.Fatal("a whole request was read from a connection that was closed as silent")
		case out:
			closed++
		default:
			read++
		}
		client.Close()
		c.Close()
	}
	t.Logf("%d closed, %d read", closed, read)
}

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
		n.hand.Take(nil, true, unixNow())
		for _, m := range members {
			if _, _, known := n.hand.Say(m.ID, true, unixNow()); !known {
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
	p, err := listenPeers(&cfg, quiet())
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
	n := &Node{cfg: cfg}
	if got := n.hearMost(); got < many {
		t.Errorf("%d messages may wait, of %d peers", got, many)
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
	n.front.keepAll() // nobody gives way
	var silent []net.Conn
	for !n.listener.full() {
		silent = append(silent, n.dial(t))
		eventually(t, "a connection let in", func() bool { return n.listener.holds() >= len(silent) })
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
