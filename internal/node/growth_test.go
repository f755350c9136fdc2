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
	text := listText(1, true, listed{ID: "first", Addr: addr, Phase: "ready", Up: 0})
	n := start(t, testConfig(t, newRegistry(t, text).Addr, text))
	eventually(t, "discovery's own list", func() bool { return n.loop.Ready() })
	slow := make(chan string, 1)
	go func() {
		_, body := do(t, ask(t, n.url+"/api/slow", "order"))
		slow <- body
	}()
	receive(t, "the slow request", held)
	member := func(id string, phase balance.Phase) engine.Member {
		return engine.Member{ID: id, Addr: addr, Member: balance.Member{Phase: phase, Weight: 1}}
	}
	seen := map[balance.BackendID]bool{}
	const ids = 3000
	n.onLoop(t, func() {
		for i := range ids {
			id := fmt.Sprintf("s-%d", i)
			l := engine.List{Members: []engine.Member{member(id, balance.Ready), member("never-named", balance.Gone)}}
			if i%2 == 0 {
				n.loop.TakeList(balance.MembersChanged, l)
			} else {
				l.Members, l.Complete = l.Members[:1], true
				n.loop.TakeList(balance.MembersAll, l)
			}
			number := numberOf(n, id)
			if seen[number] {
				t.Errorf("number %d was given twice", number)
			}
			seen[number] = true
			if i%2 == 0 {
				n.loop.TakeList(balance.MembersChanged, engine.List{Members: []engine.Member{member(id, balance.Gone)}})
			}
		}
		if !knows(n, "first") {
			t.Error("forgotten with a request out")
		}
	})
	close(hold)
	if body := receive(t, "the slow answer", slow); body != "x" {
		t.Errorf("the slow answer: %q", body)
	}
	n.onLoop(t, func() {
		if n.loop.Backends() > 1 {
			t.Errorf("%d backends kept", n.loop.Backends())
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
	reg := newRegistry(t, listText(1, true, listed{ID: "old", Addr: addr, Phase: "ready", Up: 0}))
	n := start(t, testConfig(t, reg.Addr, "null"))
	eventually(t, "the list", n.loop.Ready)
	slow := make(chan string, 1)
	go func() {
		_, body := do(t, ask(t, n.url+"/api/slow", "order"))
		slow <- body
	}()
	receive(t, "the slow request", held)
	reg.Next <- listText(2, false, listed{ID: "old", Addr: addr, Phase: "gone", Up: 0}, listed{ID: "new", Addr: addr, Phase: "ready", Up: 0})
	eventually(t, "the new one", func() (named bool) {
		n.onLoop(t, func() { named = knows(n, "new") })
		return named
	})
	close(hold)
	receive(t, "the slow answer", slow)
	if resp, _ := do(t, ask(t, n.url+"/api/x", "order")); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if got := b.Accepted.Load(); got != 2 {
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
		n.onLoop(t, func() { empty = n.loop.Open() == 0 && !ringing(n) })
		return empty && n.front.connections() == 0
	})
}

// knows tells whether a node's engine still keeps a backend, numberOf which number it gave it, and ringing whether
// any timer is set.
func knows(n *started, id string) bool {
	_, _, _, known := n.loop.Backend(id)
	return known
}

func numberOf(n *started, id string) balance.BackendID {
	_, number, _, _ := n.loop.Backend(id)
	return number
}

func ringing(n *started) bool {
	_, some := n.loop.Next()
	return some
}

// A backend whose process ended and that answers again at its address is a cold one before any list says so.
func TestBackendThatRefusedIsANewProcess(t *testing.T) {
	serve := answering(func(*http.Request) string { return ok200("x") })
	conns := make(chan net.Conn, 64)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) { conns <- c; serve(c, br) })
	addr := b.Addr().String()
	n := startOn(t, addr)
	request := func() int {
		resp, _ := do(t, ask(t, n.url+"/api/x", "read"))
		return resp.StatusCode
	}
	eventually(t, "an answer", func() bool { return request() == 200 })
	launched := func() (at time.Duration) {
		n.onLoop(t, func() { to, _, _, _ := n.loop.Backend("s-0"); at = to.Launched })
		return at
	}
	if at := launched(); at != 0 {
		t.Fatalf("started at %v, and the list says long ago", at)
	}
	b.Close()
	for len(conns) > 0 {
		reset(<-conns)
	}
	eventually(t, "a refusal", func() bool { request(); return n.doubted(t) > 0 })
	began := n.loop.Clock()
	newRawBackend(t, addr, serve)
	eventually(t, "a new process", func() bool { request(); return launched() >= began })
}

func (s *started) doubted(t *testing.T) (some int) {
	s.onLoop(t, func() { some = s.hand.InDoubt() })
	return some
}
