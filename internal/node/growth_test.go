package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"glencart/balance"
)

// Backends that are gone leave nothing behind, however many there were; one with something out is kept until its
// outcome, and a number is never given twice.
func TestBackendsThatAreGoneAreForgotten(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 4)
	b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string {
		if r.URL.Path == "/api/slow" {
			held <- struct{}{}
			<-hold
		}
		return ok200("x")
	}))
	addr := b.Addr().String()
	text := listText(1, true, listed{"first", addr, "ready", 0})
	n := start(t, testConfig(t, newRegistry(t, text).addr, text))
	eventually(t, "discovery's own list", func() bool { return n.loop.ready.Load() })
	slow := make(chan string, 1)
	go func() {
		_, body := do(t, ask(t, n.url+"/api/slow", "order"))
		slow <- body
	}()
	receive(t, "the slow request", held)
	member := func(id string, phase balance.Phase) Member {
		return Member{ID: id, Addr: addr, Member: balance.Member{Phase: phase, Weight: 1}}
	}
	seen := map[balance.BackendID]bool{}
	const ids = 3000
	n.onLoop(t, func() {
		for i := range ids {
			id := fmt.Sprintf("s-%d", i)
			l := List{Members: []Member{member(id, balance.Ready), member("never-named", balance.Gone)}}
			if i%2 == 0 {
				n.loop.list(balance.MembersChanged, l)
			} else {
				l.Members, l.Complete = l.Members[:1], true
				n.loop.list(balance.MembersAll, l)
			}
			number := n.loop.backends[id].number
			if seen[number] {
				t.Errorf("number %d was given twice", number)
			}
			seen[number] = true
			if i%2 == 0 {
				n.loop.list(balance.MembersChanged, List{Members: []Member{member(id, balance.Gone)}})
			}
		}
		if n.loop.backends["first"] == nil {
			t.Error("forgotten with a request out")
		}
	})
	close(hold)
	if body := receive(t, "the slow answer", slow); body != "x" {
		t.Errorf("the slow answer: %q", body)
	}
	n.onLoop(t, func() {
		if len(n.loop.backends) > 1 || len(n.loop.byNumber) > 1 {
			t.Errorf("%d backends kept, %d numbers", len(n.loop.backends), len(n.loop.byNumber))
		}
	})
}

// A new backend at the address of one that has gone shares no connection with it, not even one that comes back to
// the pool later.
func TestNewBackendAtAUsedAddress(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 4)
	b := newRawBackend(t, "127.0.0.1:0", answering(func(r *http.Request) string {
		if r.URL.Path == "/api/slow" {
			held <- struct{}{}
			<-hold
		}
		return ok200("x")
	}))
	addr := b.Addr().String()
	reg := newRegistry(t, listText(1, true, listed{"old", addr, "ready", 0}))
	n := start(t, testConfig(t, reg.addr, "null"))
	eventually(t, "the list", n.loop.ready.Load)
	slow := make(chan string, 1)
	go func() {
		_, body := do(t, ask(t, n.url+"/api/slow", "order"))
		slow <- body
	}()
	receive(t, "the slow request", held)
	reg.next <- listText(2, false, listed{"old", addr, "gone", 0}, listed{"new", addr, "ready", 0})
	eventually(t, "the new one", func() (named bool) {
		n.onLoop(t, func() { named = n.loop.backends["new"] != nil })
		return named
	})
	close(hold)
	receive(t, "the slow answer", slow)
	if resp, _ := do(t, ask(t, n.url+"/api/x", "order")); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if got := b.accepted.Load(); got != 2 {
		t.Errorf("%d connections, want one for each backend", got)
	}
}

// What the loop keeps for requests and timers goes with them, for clients that never come twice.
func TestRequestsLeaveNothingBehind(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string { return ok200("x") }))
	n := startOn(t, b.Addr().String())
	for i := range 200 {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "GET /api/k%d HTTP/1.1\r\nHost: x\r\nX-Trace-Id: once-%d\r\nX-Qos: read\r\nX-Customer: acme\r\nX-Expires-In: 0.2\r\n\r\n", i, i)
		c.SetReadDeadline(time.Now().Add(patience))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	eventually(t, "empty tables", func() (empty bool) {
		n.onLoop(t, func() { empty = len(n.loop.requests) == 0 && len(n.loop.timers) == 0 })
		return empty && n.front.connections() == 0
	})
}
