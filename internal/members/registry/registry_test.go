package registry

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	golog "log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/lograte"
	"glencart/internal/members/registry/pace"
	"glencart/internal/settings"
	"glencart/internal/standin"
)

// startFollowing starts to follow a registry, and returns the lists that come and a count of failures.
func startFollowing(t *testing.T, addr string, change func(*Source)) (<-chan engine.List, *atomic.Int64) {
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

// awaitList receives lists until ok accepts one.
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
	lists, _ := startFollowing(t, reg.Addr, nil)
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

// A malformed list must be rejected as a whole: a partial list could hide a drain. TestOnDemandCalls has the call that follows.
func TestMalformedListsAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"not JSON":       `{"revision":2,`,
		"no revision":    `{"complete":false,"members":[]}`,
		"no id":          `{"revision":2,"members":[{"host_port":"127.0.0.1:1","phase":"ready"}]}`,
		"unknown phase":  `{"revision":2,"members":[{"id":"s","host_port":"127.0.0.1:1","phase":"asleep"}]}`,
		"no address":     `{"revision":2,"members":[{"id":"s","host_port":"here","phase":"ready"}]}`,
		"negative start": `{"revision":2,"members":[{"id":"s","host_port":"127.0.0.1:1","phase":"ready","up_since_ms":-5}]}`,
	} {
		if l, err := Parse([]byte(text), settings.Settings{}); err == nil {
			t.Errorf("%s: %+v", name, l)
		}
	}
}

// A discovery that is silent, down or back at an older version must not hold up the source for good.
func TestDiscoveryIsReachedAgain(t *testing.T) {
	var calls atomic.Int64
	text := standin.ListText(7, true, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready", Up: 0})
	b := standin.NewRaw(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			switch calls.Add(1) {
			case 1: // sends nothing
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
	lists, lost := startFollowing(t, b.Addr().String(), nil)
	if l := standin.Receive(t, "the list", lists); l.Revision != 7 || lost.Load() != 3 {
		t.Errorf("lost %d, then %+v", lost.Load(), l)
	}
}

// If more time than the life of a watch passes between two calls, changes may be missing. The next call must read the complete
// list.
func TestLateWatchReadsTheWholeList(t *testing.T) {
	reg := standin.NewRegistry(t, standin.ListText(1, true))
	var slow atomic.Bool
	slow.Store(true)
	startFollowing(t, reg.Addr, func(d *Source) {
		d.onList = func(engine.List) {
			if slow.Swap(false) {
				time.Sleep(300 * time.Millisecond)
			}
		}
	})
	standin.Eventually(t, "two whole lists before the first watch", func() bool {
		calls := reg.Asked()
		return len(calls) > 2 && calls[0] == "" && calls[1] == "" && calls[2] != ""
	})
}

// Where discovery is asked at the balancer's request, no call may begin without one.
func TestOnDemandDiscoveryIsCalledOnlyOnRequest(t *testing.T) {
	reg := standin.NewRegistry(t, standin.ListText(1, true, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready", Up: 0}))
	asked := make(chan balance.ActionKind, 16)
	lists, _ := startFollowing(t, reg.Addr, func(d *Source) { d.wanted = asked })
	select {
	case <-lists:
		t.Fatal("called without a request")
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

// Where discovery is asked at the balancer's request, a watch must continue at a new address without another request.
func TestWatchContinuesAtNewAddress(t *testing.T) {
	first, second := standin.NewRegistry(t, standin.ListText(9, true)), standin.NewRegistry(t, standin.ListText(2, true))
	var d *Source
	startFollowing(t, first.Addr, func(created *Source) { d = created; d.wanted = make(chan balance.ActionKind, 4) })
	d.wanted <- balance.Watch
	standin.Eventually(t, "a watch", func() bool { return len(first.Asked()) > 1 })
	d.SetAddr(second.Addr)
	standin.Eventually(t, "a watch at the new address", func() bool {
		calls := second.Asked()
		return len(calls) > 1 && calls[0] == "" && strings.HasPrefix(calls[1], "after=2&")
	})
}

// The calls to a discovery that is asked at the balancer's request, with a balancer that asks again after each failure. Each step
// is an expected call, the time its answer takes, and the answer: a failure, or a list as its revision, * for a complete list or +
// for changes, and the number of members. news are the revisions that the balancer receives.
func TestOnDemandCalls(t *testing.T) {
	for _, c := range []struct{ name, script, news string }{
		{"an answer after 4 s in the queue", "whole 4s 1*1; after=1 0s 2+1", "[1 2]"},
		{"continues from the stored list", "known; after=41 0s 43+1; after=43 0s 44+0", "[43 44]"},
		{"continues from there after 503", "known; after=41 0s 503; after=41 0s 43+1", "[43]"},
		{"503, and the address is left", "known; after=41 0s 503; whole 0s 7*1", "[7]"},
		{"may have restarted", "known; after=41 0s reset; whole 0s 43*1", "[43]"},
		{"malformed list", "known; after=41 0s text; whole 0s 43*1", "[43]"},
		{"silent until its changes count as reported", "known; after=41 22s silent; whole 1750ms silent; whole 0s 43*1", "[43]"},
		{"revisions restart", "known; after=41 0s 7+1; whole 0s 7*1; after=7 0s 8+1", "[7 8]"},
		{"lags", "known; after=41 0s 40*1; whole 0s 42*1", "[42]"},
		{"lost its list", "known; after=41 0s 43*0; whole 0s 44*0; whole 0s 45*1", "[45]"},
	} {
		synctest.Test(t, func(t *testing.T) {
			names, _ := settings.Parse([]byte(strings.Replace(testSettings, "{", `{"membershipMode":"ask",`, 1)))
			ctx, cancel := context.WithCancel(t.Context())
			var news []int64
			d := New("discovery:1", names, standin.Quiet(), func(l engine.List) { news = append(news, l.Revision) }, nil)
			d.onFailure = func() {
				if d.Request(balance.Watch); strings.HasSuffix(c.name, "left") {
					d.SetAddr("discovery:2")
				}
			}
			var mu sync.Mutex // a call runs beside another
			steps := strings.Split(c.script, "; ")
			if steps[0] == "known" {
				steps = steps[1:]
				d.SetRevision(41)
			}
			d.http = &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
				mu.Lock()
				if len(steps) == 0 {
					mu.Unlock()
					cancel()
					return nil, context.Canceled
				}
				step, began, w := strings.Fields(steps[0]), time.Now(), httptest.NewRecorder()
				delay, _ := time.ParseDuration(step[1])
				steps = steps[1:]
				mu.Unlock()
				if got := cmp.Or(strings.Split(r.URL.RawQuery, "&")[0], "whole"); got != step[0] {
					t.Errorf("%s: call %q, want %q", c.name, got, step[0])
				}
				var rev, members int
				var kind rune
				switch n, _ := fmt.Sscanf(step[2], "%d%c%d", &rev, &kind, &members); {
				case step[2] == "silent":
					<-r.Context().Done()
					if since := time.Since(began); since != delay {
						t.Errorf("%s: given up after %v", c.name, since)
					}
				case step[2] == "reset":
					return nil, io.ErrUnexpectedEOF
				case step[2] == "503":
					w.WriteHeader(http.StatusServiceUnavailable)
				case n == 3:
					pause(r.Context(), delay)
					io.WriteString(w, standin.ListText(rev, kind == '*',
						slices.Repeat([]standin.Listed{{ID: "s", Addr: "127.0.0.1:1", Phase: "ready"}}, members)...))
				}
				return w.Result(), r.Context().Err()
			})}
			d.Request(balance.Watch)
			d.Run(ctx)
			if fmt.Sprint(news) != c.news {
				t.Errorf("%s: the balancer received %v, want %s", c.name, news, c.news)
			}
		})
	}
}

// A bad answer must not replace the last good list, and the log must have one line with the address of the registry, and only one.
// Each answer goes to one call, in turn, the last one to all that follow. cut is an answer that ends too soon, twice one that is
// sent two times.
func TestBadAnswersChangeNothing(t *testing.T) {
	golog.SetOutput(io.Discard) // net/http logs an answer that comes twice there
	defer golog.SetOutput(os.Stderr)
	list := func(rev int, complete bool) string {
		return standin.ListText(rev, complete, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready"})
	}
	for _, c := range []struct {
		name, answers, news string
		lines               int
	}{
		{"indented", "indented 41*; 42*", "[41 42]", 0},
		{"cut", "41*; cut 42+; 42*", "[41 42]", 1},
		{"not a list", "41*; not 42+; 42*", "[41 42]", 1},
		{"repeated", "41*; 41*; 41*; 42+", "[41 42]", 0},
		{"out of order", "41*; 43+; 42+; 43*", "[41 43]", 1},
		{"older list", "41*; 40*; 42*", "[41 42]", 1},
		{"revisions restart", "41*; 7+; 7*; 8+", "[41 7 8]", 1},
		{"changes for a complete list", "41+; 42+; 43*", "[43]", 1},
		{"twice", "41*; twice 42+; twice 43+; 44*", "[41 42 43 44]", 0},
		{"the complete list twice", "twice 41*; twice 41*; 42+", "[41 42]", 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			names, _ := settings.Parse([]byte(testSettings))
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			answers, news := strings.Split(c.answers, "; "), []int64{}
			var mu sync.Mutex
			var log bytes.Buffer
			d := New("discovery:1", names, slog.New(slog.NewTextHandler(&log, nil)), func(l engine.List) {
				if len(news) == 0 || news[len(news)-1] != l.Revision {
					news = append(news, l.Revision)
				}
			}, func() {})
			d.UseAgent(pace.MaxAgentCalls)
			d.http.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
				here, there := net.Pipe()
				go func() {
					defer there.Close()
					for br := bufio.NewReader(there); ; {
						if _, err := http.ReadRequest(br); err != nil {
							return
						}
						mu.Lock()
						how, what, ok := strings.Cut(answers[0], " ")
						if !ok {
							how, what = "", how
						}
						if len(answers) > 1 {
							answers = answers[1:]
						}
						mu.Unlock()
						rev, _ := strconv.Atoi(what[:len(what)-1])
						text := list(rev, strings.HasSuffix(what, "*"))
						if how == "indented" {
							var b bytes.Buffer
							json.Indent(&b, []byte(text), "", "\t")
							text = b.String()
						}
						if how == "not" {
							text = text[1:]
						}
						text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
						switch how {
						case "cut":
							io.WriteString(there, text[:len(text)-9])
							return
						case "twice":
							text += text
						}
						io.WriteString(there, text)
					}
				}()
				return here, nil
			}
			d.Run(ctx)
			d.http.CloseIdleConnections()
			if got := fmt.Sprint(news); got != c.news {
				t.Errorf("%s: the balancer received %s, want %s", c.name, got, c.news)
			}
			if c.name == "not a list" && !strings.Contains(log.String(), "can't be read: invalid character") {
				t.Errorf("%s: the log has no cause and position:\n%s", c.name, &log)
			}
			if n := strings.Count(log.String(), "discovery failed"); n != c.lines || strings.Count(log.String(), "http://discovery:1") != n {
				t.Errorf("%s: %d lines:\n%s", c.name, n, &log)
			}
		})
	}
}

// A list must be accepted as a whole or not at all. Cut at any byte, indented or not, it must be rejected, and so must one with
// invalid content. The error names the place. TestBadAnswersChangeNothing has what follows.
func TestTruncatedListIsRejected(t *testing.T) {
	names, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	text := standin.ListText(41, true, standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: "ready", Up: 5},
		standin.Listed{ID: "t", Addr: "127.0.0.1:2", Phase: "draining"})
	var indented bytes.Buffer
	json.Indent(&indented, []byte(text), "", "\t")
	for _, text := range []string{text, indented.String()} {
		if l, err := Parse([]byte(text), names); err != nil || len(l.Members) != 2 {
			t.Fatalf("%+v, %v", l, err)
		}
		whole := strings.TrimSpace(text)
		for i := range len(whole) {
			if l, err := Parse([]byte(whole[:i]), names); err == nil || len(l.Members) > 0 {
				t.Fatalf("cut at %d: %+v", i, l)
			}
		}
	}
	for name, c := range map[string][2]string{ // the text, and what the error must contain
		"twice":         {text + text, "after"},
		"an id twice":   {strings.Replace(text, `"t"`, `"s"`, 1), "listed twice"},
		"unknown phase": {strings.Replace(text, `"draining"`, `"asleep"`, 1), "member t: phase"},
		"no address":    {strings.Replace(text, "127.0.0.1:2", "", 1), "member t: host_port"},
	} {
		if l, err := Parse([]byte(c[0]), names); err == nil || len(l.Members) > 0 || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %+v, %v", name, l, err)
		}
	}
}

// Two calls that were open at once and bring an older list report the same moment of a registry that lags. Neither may undo a
// drain. An older list from a call that begins later is accepted.
func TestOlderListsOfConcurrentCallsAreRejected(t *testing.T) {
	names, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	r := &run{Source: New("discovery:1", names, standin.Quiet(), nil, nil)}
	r.SetRevision(41)
	past := engine.List{Complete: true, Revision: 40, Members: make([]engine.Member, 1)}
	r.lastCall = 2 // calls 1 and 2 are open
	for call := 1; call <= 2; call++ {
		if err := r.validate(past, call); !errors.Is(err, errStaleList) {
			t.Errorf("call %d: %v", call, err)
		}
	}
	r.lastCall = 3
	if err := r.validate(past, 3); err != nil {
		t.Error(err)
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Without the course of each call in the log, an operator can't see why a list is old. Where a registry accepts calls and never
// answers, the log must have each call as connected and written, without an answer. Once it answers again, the log must have the
// number of calls made meanwhile. The metrics have the age of the list.
func TestLogHasCallsOfSilentRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		names, err := settings.Parse([]byte(testSettings))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		s := &scenario{from: 2 * time.Second, to: 6 * time.Second, drainAt: 6 * time.Second, beganAt: time.Now()}
		d := New("first:1", names, slog.New(slog.NewTextHandler(&log, nil)), func(engine.List) {}, func() {})
		d.UseAgent(pace.MaxAgentCalls)
		d.http.Transport.(*http.Transport).DialContext = endWithCall(s.connect)
		time.AfterFunc(5900*ms, func() {
			if age := d.Stats().ListAge(); age < 3900*ms || age > 4200*ms {
				t.Errorf("the list is %v old after 3.9 s of silence", age)
			}
		})
		d.Run(ctx)
		d.http.CloseIdleConnections()
		time.Sleep(30 * time.Second)
		for _, want := range []string{`msg="discovery failed".* list_age=.* calls=".* list -\d+ms connected \+0.* open`,
			`msg="discovery answers again" after=.* begun=\d\d`, `msg="list taken" revision=2 before=1`} {
			if !regexp.MustCompile(want).MatchString(log.String()) {
				t.Errorf("no %s in\n%s", want, &log)
			}
		}
		if n := d.Stats().ListsAccepted.Load(); n != 2 {
			t.Errorf("%d lists taken", n)
		}
	})
}

// Calls continue beside one that is answered. Their answers must be compared with the list of that answer, and not with the list
// at their own beginning: the list before it is stale, and the same list again is no change.
func TestAnswersAfterANewerOne(t *testing.T) {
	names, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	whole := func(revision int64) engine.List {
		return engine.List{Complete: true, Revision: revision, Members: make([]engine.Member, 1)}
	}
	for _, c := range []struct {
		name   string
		behind answer
		failed int64
	}{
		{"the list before", answer{textHash: 40, isKnown: true}, 1},
		{"the same list", answer{textHash: 41, list: whole(41)}, 0},
	} {
		var news []int64
		source := New("discovery:1", names, standin.Quiet(), func(l engine.List) { news = append(news, l.Revision) }, func() {})
		source.UseAgent(pace.MaxAgentCalls)
		source.SetRevision(40)
		ctx, cancel := context.WithCancel(t.Context())
		r := &run{Source: source, ctx: ctx, beganAt: time.Now(), addr: source.currentAddr(), answers: make(chan answer), open: map[int]*openCall{},
			pace: pace.New(source.terms(), true, rand.New(rand.NewPCG(1, 2))), listLog: lograte.Limited{Log: source.log}}
		r.failureLog = lograte.Limited{Log: source.log}
		r.textHash = 40
		source.http = &http.Client{Transport: roundTrip(func(call *http.Request) (*http.Response, error) {
			<-call.Context().Done()
			return nil, call.Context().Err()
		})}
		for r.lastCall < 2 { // two calls are open
			r.handle(pace.Event{Kind: pace.Ticked})
		}
		r.handleAnswer(answer{call: 1, arrivedAt: time.Now(), textHash: 41, list: whole(41)})
		c.behind.call, c.behind.arrivedAt = 2, time.Now()
		r.handleAnswer(c.behind)
		if r.listRevision != 41 || r.textHash != 41 || fmt.Sprint(news) != "[41]" || r.stats.Rejected.Load() != c.failed {
			t.Errorf("%s: revision %d, text %d, the balancer received %v, %d rejected", c.name, r.listRevision, r.textHash, news, r.stats.Rejected.Load())
		}
		cancel()
		r.calls.Wait()
	}
}
