package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"glencart/balance"
	"glencart/internal/settings"
)

// followed starts following a registry, and returns the lists that come and a count of failed calls.
func followed(t *testing.T, addr string, change func(*discovery)) (<-chan List, *atomic.Int64) {
	t.Helper()
	names, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	lists, lost := make(chan List, 64), new(atomic.Int64)
	d := newDiscovery(addr, names, quiet(), func(l List) { lists <- l }, func() { lost.Add(1) })
	if change != nil {
		change(d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return lists, lost
}

// awaitList takes lists until one holds.
func awaitList(t *testing.T, what string, lists <-chan List, ok func(List) bool) List {
	t.Helper()
	for {
		if l := receive(t, what, lists); ok(l) {
			return l
		}
	}
}

func TestDiscoveryListsAndThenWatches(t *testing.T) {
	reg := newRegistry(t, listText(41, true, listed{"s", "127.0.0.1:1", "ready", 1700000000000}))
	lists, _ := followed(t, reg.addr, nil)
	l := receive(t, "the whole list", lists)
	if !l.Complete || l.Revision != 41 || len(l.Members) != 1 || l.Members[0].Zone != 0 ||
		l.Members[0].Launched != 1700000000000*time.Millisecond {
		t.Fatalf("%+v", l)
	}
	reg.next <- listText(43, false, listed{"s", "127.0.0.1:1", "draining", 0})
	l = awaitList(t, "the change", lists, func(l List) bool { return len(l.Members) > 0 })
	if l.Complete || l.Members[0].Phase != balance.Draining {
		t.Fatalf("%+v", l)
	}
	eventually(t, "a watch that goes on from there", func() bool {
		return slices.ContainsFunc(reg.asked(), func(q string) bool { return strings.HasPrefix(q, "after=43&wait_ms=") })
	})
}

// A malformed list leaves the last good one in place; the whole list is read again.
func TestMalformedListIsDropped(t *testing.T) {
	for name, text := range map[string]string{
		"not JSON":      `{"revision":2,`,
		"no revision":   `{"complete":false,"members":[]}`,
		"no id":         `{"revision":2,"members":[{"host_port":"127.0.0.1:1","phase":"ready"}]}`,
		"unknown phase": `{"revision":2,"members":[{"id":"s","host_port":"127.0.0.1:1","phase":"asleep"}]}`,
		"no address":    `{"revision":2,"members":[{"id":"s","host_port":"here","phase":"ready"}]}`,
		"time gone by":  `{"revision":2,"members":[{"id":"s","host_port":"127.0.0.1:1","phase":"ready","up_since_ms":-5}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			reg := newRegistry(t, listText(1, true, listed{"s", "127.0.0.1:1", "ready", 0}))
			lists, lost := followed(t, reg.addr, nil)
			receive(t, "the first list", lists)
			reg.next <- text
			l := awaitList(t, "the whole list again", lists, func(l List) bool { return l.Complete })
			if lost.Load() == 0 || l.Revision != 1 || len(l.Members) != 1 {
				t.Errorf("lost %d, then %+v", lost.Load(), l)
			}
		})
	}
}

// A discovery that is silent, or down, or back at an older version, holds nothing up for good.
func TestDiscoveryIsReachedAgain(t *testing.T) {
	var calls atomic.Int64
	text := listText(7, true, listed{"s", "127.0.0.1:1", "ready", 0})
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			switch calls.Add(1) {
			case 1: // says nothing
				br.ReadByte()
				return
			case 2:
				reset(c)
				return
			case 3:
				c.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
			default:
				c.Write([]byte(ok200(text)))
			}
		}
	})
	lists, lost := followed(t, b.Addr().String(), nil)
	if l := receive(t, "the list", lists); l.Revision != 7 || lost.Load() != 3 {
		t.Errorf("lost %d, then %+v", lost.Load(), l)
	}
}

// When more than the life of a watch has passed between two calls, what changed may be missing.
func TestLateWatchReadsTheWholeList(t *testing.T) {
	reg := newRegistry(t, listText(1, true))
	var slow atomic.Bool
	slow.Store(true)
	followed(t, reg.addr, func(d *discovery) {
		d.news = func(List) {
			if slow.Swap(false) {
				time.Sleep(2 * watchGap)
			}
		}
	})
	eventually(t, "two whole lists before the first watch", func() bool {
		calls := reg.asked()
		return len(calls) > 2 && calls[0] == "" && calls[1] == "" && calls[2] != ""
	})
}

// Where discovery is asked, the module says when.
func TestDiscoveryIsAskedOnTheModulesBehalf(t *testing.T) {
	reg := newRegistry(t, listText(1, true, listed{"s", "127.0.0.1:1", "ready", 0}))
	asked := make(chan balance.ActionKind, 16)
	lists, _ := followed(t, reg.addr, func(d *discovery) { d.asked = asked })
	select {
	case <-lists:
		t.Fatal("called unasked")
	case <-time.After(50 * time.Millisecond):
	}
	asked <- balance.Fetch
	receive(t, "the list", lists)
	if calls := reg.asked(); len(calls) != 1 || calls[0] != "" {
		t.Fatalf("calls %q", calls)
	}
	asked <- balance.Watch
	eventually(t, "a watch", func() bool { return len(reg.asked()) > 2 })
}

// Once a backend drains nothing new goes out to it: not from the module, and not what still hangs in a dial.
func TestDrainStopsWhatHangsInADial(t *testing.T) {
	got := make(chan string, 8)
	serve := func(name string) func(net.Conn, *bufio.Reader) {
		return answering(func(*http.Request) string { got <- name; return ok200(name) })
	}
	old := newRawBackend(t, "127.0.0.1:0", serve("old"))
	other := newRawBackend(t, "127.0.0.1:0", serve("other"))
	text := listText(1, true, listed{"old", old.Addr().String(), "ready", 0})
	reg := newRegistry(t, text)
	n, err := New(testConfig(t, reg.addr, text), quiet())
	if err != nil {
		t.Fatal(err)
	}
	dialing, dial := make(chan struct{}, 8), make(chan struct{})
	n.pool.dialer.Control = func(_, addr string, _ syscall.RawConn) error {
		if addr == old.Addr().String() {
			dialing <- struct{}{}
			<-dial
		}
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { n.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	s := &started{Node: n, url: "http://" + n.Addr().String()}
	answered := make(chan string, 1)
	go func() {
		_, body := do(t, ask(t, s.url+"/api/x", "order"))
		answered <- body
	}()
	receive(t, "a dial", dialing)
	reg.next <- listText(2, false, listed{"old", old.Addr().String(), "draining", 0},
		listed{"new", other.Addr().String(), "ready", 0})
	eventually(t, "the news", func() (told bool) {
		s.onLoop(t, func() { told = n.loop.backends["old"].phase == balance.Draining })
		return told
	})
	close(dial)
	// It never ran, so the module may send it on or refuse it; a node this young has earned no retry.
	if body := receive(t, "the answer", answered); body == "old" {
		t.Errorf("answered %q", body)
	}
	for range 3 {
		if _, body := do(t, ask(t, s.url+"/api/x", "order")); body != "other" {
			t.Errorf("answered %q", body)
		}
	}
	eventually(t, "the end of the dial", func() bool {
		n.pool.mu.Lock()
		defer n.pool.mu.Unlock()
		return n.pool.open == 1
	})
	close(got)
	for name := range got {
		if name == "old" {
			t.Error("a request went out to a backend that drains")
		}
	}
}
