package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
)

// State of removed backends must not accumulate, however many there were. A backend with an attempt in flight stays until the
// attempt ends, and no number is assigned twice, so that its result can't be taken for that of another backend.
func TestRemovedBackendsAreReleased(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 4)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		if r.URL.Path == "/api/slow" {
			arrived <- struct{}{}
			<-release
		}
		return ok200("x")
	}))
	addr := b.Addr().String()
	text := listText(1, true, listedBackend{ID: "first", Addr: addr, Phase: "ready", Up: 0})
	n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text))
	eventually(t, "the list of discovery", func() bool { return n.loop.HasReadyBackend() })
	slow := make(chan string, 1)
	go func() {
		_, body := doRequest(t, newTestRequest(t, n.url+"/api/slow", "order"))
		slow <- body
	}()
	receive(t, "the slow request", arrived)
	member := func(id string, phase balance.Phase) engine.Member {
		return engine.Member{ID: id, Addr: addr, Member: balance.Member{Phase: phase, Weight: 1}}
	}
	seen := map[balance.BackendID]bool{}
	const ids = 3000
	n.runOnLoop(t, func() {
		for i := range ids {
			id := fmt.Sprintf("s-%d", i)
			l := engine.List{Members: []engine.Member{member(id, balance.Ready), member("never-named", balance.Gone)}}
			if i%2 == 0 {
				n.loop.UpdateBackends(balance.MembersChanged, l)
			} else {
				l.Members, l.Complete = l.Members[:1], true
				n.loop.UpdateBackends(balance.MembersAll, l)
			}
			number := backendNumber(n, id)
			if seen[number] {
				t.Errorf("number %d was assigned twice", number)
			}
			seen[number] = true
			if i%2 == 0 {
				n.loop.UpdateBackends(balance.MembersChanged, engine.List{Members: []engine.Member{member(id, balance.Gone)}})
			}
		}
		if !hasBackend(n, "first") {
			t.Error("backend released with a request in flight")
		}
	})
	close(release)
	if body := receive(t, "the slow answer", slow); body != "x" {
		t.Errorf("slow request: %q", body)
	}
	n.runOnLoop(t, func() {
		if n.loop.BackendCount() > 1 {
			t.Errorf("%d backends kept", n.loop.BackendCount())
		}
	})
}

// A new backend at the address of a removed one must not use its connections, also not one that returns to the pool later. Such a
// connection may lead to the old process.
func TestReusedAddressSharesNoConnections(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 4)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		if r.URL.Path == "/api/slow" {
			arrived <- struct{}{}
			<-release
		}
		return ok200("x")
	}))
	addr := b.Addr().String()
	reg := newRegistry(t, listText(1, true, listedBackend{ID: "old", Addr: addr, Phase: "ready", Up: 0}))
	n := startNode(t, testConfig(t, reg.Addr, "null"))
	eventually(t, "the list", n.loop.HasReadyBackend)
	slow := make(chan string, 1)
	go func() {
		_, body := doRequest(t, newTestRequest(t, n.url+"/api/slow", "order"))
		slow <- body
	}()
	receive(t, "the slow request", arrived)
	reg.Next <- listText(2, false, listedBackend{ID: "old", Addr: addr, Phase: "gone", Up: 0}, listedBackend{ID: "new", Addr: addr, Phase: "ready", Up: 0})
	eventually(t, "the new backend", func() (isListed bool) {
		n.runOnLoop(t, func() { isListed = hasBackend(n, "new") })
		return isListed
	})
	close(release)
	receive(t, "the slow answer", slow)
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order")); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if got := b.Accepted.Load(); got != 2 {
		t.Errorf("%d connections, want one for each backend", got)
	}
}

// The loop must release the state and timers of requests whose clients never come again, or its tables grow without a limit.
func TestRequestStateIsReleased(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	n := startNodeWithBackends(t, b.Addr().String())
	for i := range 200 {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "GET /api/k%d HTTP/1.1\r\nHost: x\r\nX-Trace-Id: once-%d\r\nX-Qos: read\r\nX-Customer: acme\r\nX-Expires-In: 0.2\r\n\r\n", i, i)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	eventually(t, "empty tables and no timer", func() (empty bool) {
		n.runOnLoop(t, func() { empty = n.loop.OpenRequests() == 0 && !hasTimer(n) })
		return empty && n.front.connections() == 0
	})
}

// hasBackend reports whether the engine of a node still keeps a backend.
func hasBackend(n *testNode, id string) bool {
	_, _, _, isKnown := n.loop.Backend(id)
	return isKnown
}

// backendNumber returns the number that the engine assigned to a backend.
func backendNumber(n *testNode, id string) balance.BackendID {
	_, number, _, _ := n.loop.Backend(id)
	return number
}

// hasTimer reports whether a timer is set.
func hasTimer(n *testNode) bool {
	_, isSet := n.loop.Next()
	return isSet
}

// A backend that refuses connections and later answers again at its address is a new process. The node treats it as cold before a
// list reports the new start time. A cold process would otherwise get the full load of a warm one.
func TestBackendThatRefusedConnectionsIsCold(t *testing.T) {
	serve := serveAnswers(func(*http.Request) string { return ok200("x") })
	conns := make(chan net.Conn, 64)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) { conns <- c; serve(c, br) })
	addr := b.Addr().String()
	n := startNodeWithBackends(t, addr)
	request := func() int {
		resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "read"))
		return resp.StatusCode
	}
	eventually(t, "an answer", func() bool { return request() == 200 })
	launched := func() (at time.Duration) {
		n.runOnLoop(t, func() { to, _, _, _ := n.loop.Backend("s-0"); at = to.Launched })
		return at
	}
	if at := launched(); at != 0 {
		t.Fatalf("started at %v, but the list reports an old start", at)
	}
	b.Close()
	for len(conns) > 0 {
		resetConn(<-conns)
	}
	eventually(t, "a refusal", func() bool { request(); return n.suspectedRestarts(t) > 0 })
	began := n.loop.Clock()
	newRawBackend(t, addr, serve)
	eventually(t, "a new process", func() bool { request(); return launched() >= began })
}

// suspectedRestarts returns the number of backends whose restart is suspected.
func (s *testNode) suspectedRestarts(t *testing.T) (count int) {
	s.runOnLoop(t, func() { count = s.tracker.RefusedCount() })
	return count
}
