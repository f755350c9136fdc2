package registry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/settings"
	"glencart/internal/standin"
)

// followed starts following a registry, and returns the lists that come and a count of failed calls.
func followed(t *testing.T, addr string, change func(*Source)) (<-chan engine.List, *atomic.Int64) {
	t.Helper()
	names, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	lists, lost := make(chan engine.List, 64), new(atomic.Int64)
	d := New(addr, names, standin.Quiet(), func(l engine.List) { lists <- l }, func() { lost.Add(1) })
	if change != nil {
		change(d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return lists, lost
}

// awaitList takes lists until one holds.
func awaitList(t *testing.T, what string, lists <-chan engine.List, ok func(engine.List) bool) engine.List {
	t.Helper()
	for {
		if l := standin.Receive(t, what, lists); ok(l) {
			return l
		}
	}
}

func TestDiscoveryListsAndThenWatches(t *testing.T) {
	reg := standin.NewRegistry(t, standin.ListText(41, true, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready", Up: 1700000000000}))
	lists, _ := followed(t, reg.Addr, nil)
	l := standin.Receive(t, "the whole list", lists)
	if !l.Complete || l.Revision != 41 || len(l.Members) != 1 || l.Members[0].Zone != 0 ||
		l.Members[0].Launched != 1700000000000*time.Millisecond {
		t.Fatalf("%+v", l)
	}
	reg.Next <- standin.ListText(43, false, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "draining", Up: 0})
	l = awaitList(t, "the change", lists, func(l engine.List) bool { return len(l.Members) > 0 })
	if l.Complete || l.Members[0].Phase != balance.Draining {
		t.Fatalf("%+v", l)
	}
	standin.Eventually(t, "a watch that goes on from there", func() bool {
		return slices.ContainsFunc(reg.Asked(), func(q string) bool { return strings.HasPrefix(q, "after=43&wait_ms=") })
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
			reg := standin.NewRegistry(t, standin.ListText(1, true, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready", Up: 0}))
			lists, lost := followed(t, reg.Addr, nil)
			standin.Receive(t, "the first list", lists)
			reg.Next <- text
			l := awaitList(t, "the whole list again", lists, func(l engine.List) bool { return l.Complete })
			if lost.Load() == 0 || l.Revision != 1 || len(l.Members) != 1 {
				t.Errorf("lost %d, then %+v", lost.Load(), l)
			}
		})
	}
}

// A discovery that is silent, or down, or back at an older version, holds nothing up for good.
func TestDiscoveryIsReachedAgain(t *testing.T) {
	var calls atomic.Int64
	text := standin.ListText(7, true, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready", Up: 0})
	b := standin.NewRaw(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			switch calls.Add(1) {
			case 1: // says nothing
				br.ReadByte()
				return
			case 2:
				standin.Reset(c)
				return
			case 3:
				c.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
			default:
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			}
		}
	})
	lists, lost := followed(t, b.Addr().String(), nil)
	if l := standin.Receive(t, "the list", lists); l.Revision != 7 || lost.Load() != 3 {
		t.Errorf("lost %d, then %+v", lost.Load(), l)
	}
}

// When more than the life of a watch has passed between two calls, what changed may be missing.
func TestLateWatchReadsTheWholeList(t *testing.T) {
	reg := standin.NewRegistry(t, standin.ListText(1, true))
	var slow atomic.Bool
	slow.Store(true)
	followed(t, reg.Addr, func(d *Source) {
		d.news = func(engine.List) {
			if slow.Swap(false) {
				time.Sleep(2 * watchGap)
			}
		}
	})
	standin.Eventually(t, "two whole lists before the first watch", func() bool {
		calls := reg.Asked()
		return len(calls) > 2 && calls[0] == "" && calls[1] == "" && calls[2] != ""
	})
}

// Where discovery is asked, the module says when.
func TestDiscoveryIsAskedOnTheModulesBehalf(t *testing.T) {
	reg := standin.NewRegistry(t, standin.ListText(1, true, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready", Up: 0}))
	asked := make(chan balance.ActionKind, 16)
	lists, _ := followed(t, reg.Addr, func(d *Source) { d.asked = asked })
	select {
	case <-lists:
		t.Fatal("called unasked")
	case <-time.After(50 * time.Millisecond):
	}
	asked <- balance.Fetch
	standin.Receive(t, "the list", lists)
	if calls := reg.Asked(); len(calls) != 1 || calls[0] != "" {
		t.Fatalf("calls %q", calls)
	}
	asked <- balance.Watch
	standin.Eventually(t, "a watch", func() bool { return len(reg.Asked()) > 2 })
}

const testSettings = `{"nInstances":1,"zones":["a","b"],"skus":["m"],"classes":[{"name":"read","effect":"pure"}]}`

// Where discovery is asked on the module's behalf, a watch goes on at the new address unasked.
func TestReloadTakesTheWatchAlong(t *testing.T) {
	first, second := standin.NewRegistry(t, standin.ListText(9, true)), standin.NewRegistry(t, standin.ListText(2, true))
	var d *Source
	followed(t, first.Addr, func(made *Source) { d = made; d.asked = make(chan balance.ActionKind, 4) })
	d.asked <- balance.Watch
	standin.Eventually(t, "a watch", func() bool { return len(first.Asked()) > 1 })
	d.Move(second.Addr)
	standin.Eventually(t, "a watch at the new address", func() bool {
		calls := second.Asked()
		return len(calls) > 1 && calls[0] == "" && strings.HasPrefix(calls[1], "after=2&")
	})
}

// turns is a discovery that works through calls in turn, as the platform's does: each takes work, one that has waited for
// limit fails, and is worked through all the same.
type turns struct {
	work, limit time.Duration

	mu   sync.Mutex
	free time.Time
}

func (s *turns) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(s.work)
	wait := s.free.Sub(now)
	s.mu.Unlock()
	time.Sleep(min(wait, s.limit))
	if wait > s.limit {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, standin.ListText(5, true))
}

// A call that is given up while it waits for its turn is worked through all the same, and the next one waits behind it.
func TestACallWaitsForItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &turns{work: 1500 * time.Millisecond, limit: 2 * time.Second}
		asked := make(chan balance.ActionKind, 16)
		names, _ := settings.Parse([]byte(testSettings))
		names.Config.AskDiscovery, names.Config.Rules.AskEvery = true, 10*time.Second
		got, lost := 0, 0
		d := New("discovery:1", names, standin.Quiet(), func(engine.List) { got++ }, func() { lost++ })
		d.asked, d.http = asked, &http.Client{Transport: direct{s}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { d.Run(ctx); close(ended) }()
		asked <- balance.Fetch
		time.Sleep(5 * time.Second)
		cancel()
		<-ended
		if got != 1 || lost != 0 {
			t.Errorf("%d lists, %d calls lost", got, lost)
		}
	})
}

// direct carries requests to a handler without a socket, and ends with the request's context.
type direct struct{ to http.Handler }

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	done := make(chan *http.Response, 1)
	go func() {
		w := httptest.NewRecorder()
		d.to.ServeHTTP(w, r)
		done <- w.Result()
	}()
	select {
	case resp := <-done:
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// Where a call costs discovery work for each line, a watch goes on from what the module has: the remembered list at the
// start, and the last list after a failure. Only an answer that can't be read, or from before, makes it read all again.
func TestAskedWatchesGoOnFromWhatIsHeld(t *testing.T) {
	reg := standin.NewRegistry(t, standin.ListText(50, true, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready"}))
	var d *Source
	lists, lost := followed(t, reg.Addr, func(made *Source) {
		d = made
		d.asked = make(chan balance.ActionKind, 16)
		d.Holds(41)
	})
	asks := func(n int, prefix string) {
		t.Helper()
		standin.Eventually(t, fmt.Sprintf("call %d is %q", n, prefix), func() bool {
			calls := reg.Asked()
			return len(calls) > n && strings.HasPrefix(calls[n], prefix) && (prefix != "" || calls[n] == "")
		})
	}
	d.asked <- balance.Watch
	asks(0, "after=41&")
	reg.Next <- standin.ListText(43, false, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready"})
	if l := standin.Receive(t, "the change", lists); l.Revision != 43 || l.Complete {
		t.Fatalf("%+v", l)
	}
	asks(1, "after=43&")
	reg.Next <- "no list" // can't be read
	standin.Eventually(t, "the failure", func() bool { return lost.Load() == 1 })
	d.asked <- balance.Watch
	asks(2, "")
	asks(3, "after=50&")
	reg.Next <- standin.ListText(7, false) // another history
	asks(4, "")
	if l := awaitList(t, "the whole list again", lists, func(l engine.List) bool { return l.Complete }); l.Revision != 50 {
		t.Fatalf("%+v", l)
	}
}

// A registry that has lost its list says that there are no boxes. It must not empty a pool that works.
func TestAnEmptyListDoesNotEmptyAPool(t *testing.T) {
	full := standin.ListText(7, true, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready"})
	reg := standin.NewRegistry(t, full)
	lists, lost := followed(t, reg.Addr, nil)
	standin.Receive(t, "the whole list", lists)
	reg.Whole(standin.ListText(8, true))
	reg.Next <- standin.ListText(8, true)
	standin.Eventually(t, "a call that is taken for failed", func() bool { return lost.Load() > 1 })
	reg.Whole(full)
	if l := awaitList(t, "the list again", lists, func(l engine.List) bool { return l.Complete }); len(l.Members) != 1 {
		t.Errorf("%+v", l)
	}
}
