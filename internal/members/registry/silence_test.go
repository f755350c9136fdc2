package registry

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/members/registry/pace"
	"glencart/internal/settings"
	"glencart/internal/standin"
)

const (
	ms = time.Millisecond
	// A call may wait in the registry's queue for maxQueueTime, where it is asked at the balancer's request. The balancer waits
	// for maxRewatchDelay after a failure.
	callMost, rewatchMost = 2 * time.Second, 4 * time.Second
)

// scenario is a registry with an outage, and with a drain in its list from a given time on. A call that is made or open during the
// outage is never answered.
type scene struct {
	asked     bool
	known     bool          // the node has a stored list
	from, to  time.Duration // the outage
	drain     time.Duration // in the list from then on
	told      time.Duration // when the drain counts as reported
	slow      time.Duration // the time of each answer: a node with next to no CPU time
	dial      string        // in the outage, connections are refused or hang, or calls get 503 or a reset; empty: no answer
	grace     time.Duration // drain grace; 0: 500 ms
	again     time.Duration // the balancer's wait after a failure; 0: 10 s
	moveAt    time.Duration // SIGHUP; 0: none
	deaf      int           // so many first calls get no answer (after the move, if there is one)
	open, max atomic.Int32  // connections
	calls     atomic.Int32
	began     time.Time
}

func (s *scene) out(at time.Duration) bool { return s.from <= at && at < s.to }

type counted struct {
	net.Conn
	open *atomic.Int32
	done atomic.Bool
}

func (c *counted) Close() error {
	if !c.done.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

func (s *scene) connect(ctx context.Context, _, addr string) (net.Conn, error) {
	if s.out(time.Since(s.began)) {
		switch s.dial {
		case "refused":
			return nil, syscall.ECONNREFUSED
		case "hangs":
			s.max.Store(max(s.max.Load(), s.open.Add(1)))
			defer s.open.Add(-1)
			pause(ctx, pace.CallSlack)
			return nil, errors.New("no connection came up")
		}
	}
	here, there := net.Pipe()
	s.max.Store(max(s.max.Load(), s.open.Add(1)))
	go s.serve(there, addr == "second:1" || s.moveAt == 0)
	return &counted{Conn: here, open: &s.open}, nil
}

func (s *scene) serve(c net.Conn, counts bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		n, now, drain := s.calls.Load(), time.Since(s.began), pace.Never
		if counts {
			n, drain = s.calls.Add(1), s.drain
		}
		q, wait := r.URL.Query(), s.slow
		if ms, _ := strconv.Atoi(q.Get("wait_ms")); ms > 0 {
			wait = time.Duration(ms) * time.Millisecond
			if after := q.Get("after"); after == "1" && drain < now+wait {
				wait = max(0, drain-now)
			}
			wait += s.slow
		}
		if ends := s.dial == "503" || s.dial == "reset"; ends && (s.out(now) || s.from > now && s.from <= now+wait) {
			time.Sleep(s.from - now) // open calls end when the outage begins
			if s.dial == "503" {
				io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			}
			return
		}
		if s.out(now) || s.from > now && s.from <= now+wait || counts && int(n) <= s.deaf {
			br.ReadByte() // until the node gives up the call
			return
		}
		time.Sleep(wait)
		rev, phase := 1, "ready"
		if time.Since(s.began) >= drain {
			rev, phase = 2, "draining"
		}
		text := standin.ListText(rev, q.Get("after") != strconv.Itoa(rev), standin.Listed{ID: "s", Addr: "127.0.0.1:1", Phase: phase})
		if q.Get("after") == strconv.Itoa(rev) {
			text = standin.ListText(rev, false)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// play runs a node in a scenario until it has the drain, and returns how long after reportedAt that is.
func (s *scene) play(t *testing.T) (late time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s.began = time.Now()
		text := strings.Replace(testSettings, "{", fmt.Sprintf(`{"obligations":{"drainGrace":%d},`, cmp.Or(s.grace, 500*ms)), 1)
		if s.asked {
			text = strings.Replace(text, "{", `{"membershipMode":"ask",`, 1)
		}
		names, err := settings.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		late = time.Minute
		var d *Source
		d = New("first:1", names, standin.Quiet(), func(l engine.List) {
			if len(l.Members) > 0 && l.Members[0].Phase == balance.Draining {
				late = time.Since(s.began) - s.told
				cancel()
			}
		}, func() { time.AfterFunc(cmp.Or(s.again, 10*time.Second), func() { d.Ask(balance.Watch) }) })
		d.Near(pace.NearMost)
		if s.known {
			d.Holds(1)
		}
		if s.moveAt > 0 {
			time.AfterFunc(s.moveAt, func() { d.Move("second:1") })
		}
		d.http.Transport.(*http.Transport).DialContext = whileWanted(s.connect)
		d.Ask(balance.Watch)
		d.Run(ctx)
		d.http.CloseIdleConnections()
		time.Sleep(30 * time.Second)        // for what the agent still has to answer
		if s.max.Load() > pace.NearMost+1 { // a call that is given up may close after the next is made
			t.Errorf("%d connections at once", s.max.Load())
		}
	})
	return late
}

// What an agent has counts as reported, and 500 ms later no new request may go to a draining backend; on sockets 50 ms are
// allowed. Each line is a silence that is shifted over the calls of the node, and how late the node may have the drain. Each of
// the 64 shifts of 23 ms is another point of the 125 ms between two calls.
func TestNewsAfterASilence(t *testing.T) {
	for _, c := range []struct {
		name string
		most time.Duration
		make func(x time.Duration) *scene
	}{
		{"silent for 8 s", 130 * ms, func(x time.Duration) *scene { return &scene{to: 8*time.Second + x, told: 8*time.Second + x} }},
		{"refuses for 8 s", 130 * ms, func(x time.Duration) *scene {
			return &scene{dial: "refused", to: 8*time.Second + x, told: 8*time.Second + x}
		}},
		{"is cut off for 8 s", 130 * ms, func(x time.Duration) *scene {
			return &scene{dial: "hangs", to: 8*time.Second + x, told: 8*time.Second + x}
		}},
		{"the watch dies, and then there is a change", 380 * ms, func(x time.Duration) *scene {
			return &scene{from: time.Second + x, to: time.Second + x + 1, drain: time.Second + x + 2, told: time.Second + x + 2}
		}},
		{"silent for 0.3 s", 130 * ms, func(x time.Duration) *scene {
			return &scene{from: time.Second + x, to: 1300*ms + x, drain: 1200*ms + x, told: 1300*ms + x}
		}},
		{"silent for up to 2 s", 130 * ms, func(x time.Duration) *scene {
			return &scene{from: time.Second, to: 1400*ms + x, drain: 1200 * ms, told: 1400*ms + x}
		}},
		{"a new process whose first call hangs", 130 * ms, func(x time.Duration) *scene { return &scene{known: true, deaf: 1} }},
		{"and the two after it", 400 * ms, func(x time.Duration) *scene { return &scene{known: true, deaf: 3} }},
		// What the new agent has counts 4 s after SIGHUP; the test requires it at once.
		{"moves, and the first call hangs", 130 * ms, func(x time.Duration) *scene {
			return &scene{moveAt: 2*time.Second + x, deaf: 1, drain: 2*time.Second + x, told: 2*time.Second + x}
		}},
	} {
		var worst time.Duration
		for i := range 64 {
			worst = max(worst, c.make(time.Duration(i)*23*ms).play(t))
		}
		t.Logf("%s: %v late at worst", c.name, worst)
		if worst > c.most {
			t.Errorf("%s: %v late at worst, %v wanted", c.name, worst, c.most)
		}
	}
}

// Where calls cost discovery work, a change that a silent call misses counts as reported at 6 s, or 2 s after the wait of the
// call.
func TestNewsAfterASilenceThatIsAsked(t *testing.T) {
	for _, c := range []struct {
		name string
		s    *scene
	}{
		{"first list", &scene{asked: true, deaf: 1, told: 6 * time.Second}},
		{"first watch, from a remembered list", &scene{asked: true, known: true, deaf: 1, drain: time.Second, told: 22 * time.Second}},
		{"a watch later on", &scene{asked: true, from: 3 * time.Second, to: 4 * time.Second, drain: 5 * time.Second, told: 22 * time.Second}},
		{"moved", &scene{asked: true, moveAt: 3 * time.Second, deaf: 1, drain: 3 * time.Second, told: 9 * time.Second}},
		{"cut off until after the second call", &scene{asked: true, from: 3 * time.Second, to: 21500 * ms, drain: 5 * time.Second, told: 22 * time.Second}},
	} {
		if late := c.s.play(t); late > 500*ms {
			t.Errorf("%s: %v after the drain counts as reported", c.name, late)
		} else {
			t.Logf("%s: %v", c.name, late)
		}
	}
}

// The worst delay of a drain is a formula of the settings, in docs/design/0011-calls-to-discovery.md. It must not exceed the
// formula in outages that begin and end, with a drain that begins with the return, at points all over the calls and the pauses
// between them. On demand, each answer takes its 2 s in the queue, and the balancer waits as long as it may.
func TestTheWorstLagIsTheFormula(t *testing.T) {
	for _, grace := range []time.Duration{100 * ms, 500 * ms, 2 * time.Second} {
		step, late := max(grace/4, 25*ms), min(grace/2, 500*ms) // pushed; on demand
		for _, c := range []struct {
			name string
			most time.Duration // after the drain is reported
			make func(x time.Duration) *scene
		}{
			{"pushed, silent", step, func(x time.Duration) *scene { return &scene{to: 3*time.Second + x, told: 3*time.Second + x} }},
			{"pushed, 503", step, func(x time.Duration) *scene {
				return &scene{dial: "503", from: time.Second, to: 3*time.Second + x, drain: 3*time.Second + x, told: 3*time.Second + x}
			}},
			{"pushed, refused", step, func(x time.Duration) *scene {
				return &scene{dial: "refused", to: 3*time.Second + x, told: 3*time.Second + x}
			}},
			{"pushed, the watch dies", 3 * step, func(x time.Duration) *scene {
				return &scene{from: time.Second + x, to: time.Second + x + 1, drain: time.Second + x + 2, told: time.Second + x + 2}
			}},
			{"asked, 503", 0, func(x time.Duration) *scene {
				return &scene{asked: true, slow: callMost, dial: "503", from: 3 * time.Second, to: 3*time.Second + x, drain: 3*time.Second + x, told: 9*time.Second + x}
			}},
			{"asked, reset", 0, func(x time.Duration) *scene {
				return &scene{asked: true, slow: callMost, dial: "reset", from: 3 * time.Second, to: 3*time.Second + x, drain: 3*time.Second + x, told: 9*time.Second + x}
			}},
			{"asked, refused from the start", 0, func(x time.Duration) *scene {
				return &scene{asked: true, slow: callMost, dial: "refused", to: x, drain: x, told: 6*time.Second + x}
			}},
			{"asked, silent first lists", late, func(x time.Duration) *scene {
				return &scene{asked: true, slow: callMost, to: x, drain: x, told: 6*time.Second + x}
			}},
			// The watch begins at 2 s, and may wait for 20 s.
			{"asked, a silent watch", late, func(x time.Duration) *scene {
				return &scene{asked: true, slow: callMost, from: 3 * time.Second, to: 4*time.Second + x, drain: 4*time.Second + x, told: max(24*time.Second, 10*time.Second+x)}
			}},
		} {
			by, n := 23*ms*step/(125*ms), 40
			if strings.HasPrefix(c.name, "asked") {
				by = 607 * ms
			}
			worst := -time.Minute
			for i := range n {
				s := c.make(time.Duration(i) * by)
				s.grace, s.again = grace, rewatchMost
				worst = max(worst, s.play(t))
			}
			t.Logf("grace %v, %s: %v after the report at worst, by the formula %v", grace, c.name, worst, c.most)
			if worst > c.most {
				t.Errorf("grace %v, %s: %v after the report, by the formula %v", grace, c.name, worst, c.most)
			}
		}
	}
}

// A slow node must not give up calls that would have brought an answer. It must have the list however long an answer takes, as
// long as its calls stay open.
func TestSlowNodeHearsItsAgent(t *testing.T) {
	for _, slow := range []time.Duration{200 * ms, 400 * ms, 600 * ms, 900 * ms} {
		s := &scene{slow: slow, drain: 2 * time.Second, told: 2 * time.Second}
		if late := s.play(t); late > 2*slow+time.Second {
			t.Errorf("answers take %v: %v late", slow, late)
		}
	}
}
