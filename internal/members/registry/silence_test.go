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
	maxQueueTime, maxRewatchDelay = 2 * time.Second, 4 * time.Second
)

// scenario is a registry with an outage, and with a drain in its list from a given time on. A call that is made or open during the
// outage is never answered.
type scenario struct {
	onDemand      bool
	hasStoredList bool          // the node has a stored list
	from, to      time.Duration // the outage
	drainAt       time.Duration // in the list from then on
	reportedAt    time.Duration // when the drain counts as reported
	answerTime    time.Duration // the time of each answer: a node with next to no CPU time
	failure       string        // in the outage, connections are refused or hang, or calls get 503 or a reset; empty: no answer
	drainGrace    time.Duration // drain grace; 0: 500 ms
	retryDelay    time.Duration // the balancer's wait after a failure; 0: 10 s
	moveAt        time.Duration // SIGHUP; 0: none
	unanswered    int           // so many first calls get no answer (after the move, if there is one)
	open, max     atomic.Int32  // connections
	calls         atomic.Int32
	beganAt       time.Time
}

func (s *scenario) isOut(at time.Duration) bool { return s.from <= at && at < s.to }

type countedConn struct {
	net.Conn
	open *atomic.Int32
	done atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.done.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

func (s *scenario) connect(ctx context.Context, _, addr string) (net.Conn, error) {
	if s.isOut(time.Since(s.beganAt)) {
		switch s.failure {
		case "refused":
			return nil, syscall.ECONNREFUSED
		case "hangs":
			s.max.Store(max(s.max.Load(), s.open.Add(1)))
			defer s.open.Add(-1)
			pause(ctx, pace.AnswerTimeout)
			return nil, errors.New("no connection came up")
		}
	}
	here, there := net.Pipe()
	s.max.Store(max(s.max.Load(), s.open.Add(1)))
	go s.serve(there, addr == "second:1" || s.moveAt == 0)
	return &countedConn{Conn: here, open: &s.open}, nil
}

func (s *scenario) serve(c net.Conn, counts bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		n, now, drain := s.calls.Load(), time.Since(s.beganAt), pace.Never
		if counts {
			n, drain = s.calls.Add(1), s.drainAt
		}
		q, wait := r.URL.Query(), s.answerTime
		if ms, _ := strconv.Atoi(q.Get("wait_ms")); ms > 0 {
			wait = time.Duration(ms) * time.Millisecond
			if after := q.Get("after"); after == "1" && drain < now+wait {
				wait = max(0, drain-now)
			}
			wait += s.answerTime
		}
		if ends := s.failure == "503" || s.failure == "reset"; ends && (s.isOut(now) || s.from > now && s.from <= now+wait) {
			time.Sleep(s.from - now) // open calls end when the outage begins
			if s.failure == "503" {
				io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			}
			return
		}
		if s.isOut(now) || s.from > now && s.from <= now+wait || counts && int(n) <= s.unanswered {
			br.ReadByte() // until the node gives up the call
			return
		}
		time.Sleep(wait)
		rev, phase := 1, "ready"
		if time.Since(s.beganAt) >= drain {
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
func (s *scenario) play(t *testing.T) (late time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		s.beganAt = time.Now()
		text := strings.Replace(testSettings, "{", fmt.Sprintf(`{"obligations":{"drainGrace":%d},`, cmp.Or(s.drainGrace, 500*ms)), 1)
		if s.onDemand {
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
				late = time.Since(s.beganAt) - s.reportedAt
				cancel()
			}
		}, func() { time.AfterFunc(cmp.Or(s.retryDelay, 10*time.Second), func() { d.Request(balance.Watch) }) })
		d.UseAgent(pace.MaxAgentCalls)
		if s.hasStoredList {
			d.SetRevision(1)
		}
		if s.moveAt > 0 {
			time.AfterFunc(s.moveAt, func() { d.SetAddr("second:1") })
		}
		d.http.Transport.(*http.Transport).DialContext = endWithCall(s.connect)
		d.Request(balance.Watch)
		d.Run(ctx)
		d.http.CloseIdleConnections()
		time.Sleep(30 * time.Second)             // for what the agent still has to answer
		if s.max.Load() > pace.MaxAgentCalls+1 { // a call that is given up may close after the next is made
			t.Errorf("%d connections at once", s.max.Load())
		}
	})
	return late
}

// What an agent has counts as reported, and 500 ms later no new request may go to a draining backend; on sockets 50 ms are
// allowed. Each line is a silence that is shifted over the calls of the node, and how late the node may have the drain. Each of
// the 64 shifts of 23 ms is another point of the 125 ms between two calls.
func TestDrainAfterSilence(t *testing.T) {
	for _, c := range []struct {
		name     string
		maxDelay time.Duration
		make     func(x time.Duration) *scenario
	}{
		{"silent for 8 s", 130 * ms, func(x time.Duration) *scenario {
			return &scenario{to: 8*time.Second + x, reportedAt: 8*time.Second + x}
		}},
		{"refuses for 8 s", 130 * ms, func(x time.Duration) *scenario {
			return &scenario{failure: "refused", to: 8*time.Second + x, reportedAt: 8*time.Second + x}
		}},
		{"is cut off for 8 s", 130 * ms, func(x time.Duration) *scenario {
			return &scenario{failure: "hangs", to: 8*time.Second + x, reportedAt: 8*time.Second + x}
		}},
		{"the watch dies, and then there is a change", 380 * ms, func(x time.Duration) *scenario {
			return &scenario{from: time.Second + x, to: time.Second + x + 1, drainAt: time.Second + x + 2, reportedAt: time.Second + x + 2}
		}},
		{"silent for 0.3 s", 130 * ms, func(x time.Duration) *scenario {
			return &scenario{from: time.Second + x, to: 1300*ms + x, drainAt: 1200*ms + x, reportedAt: 1300*ms + x}
		}},
		{"silent for up to 2 s", 130 * ms, func(x time.Duration) *scenario {
			return &scenario{from: time.Second, to: 1400*ms + x, drainAt: 1200 * ms, reportedAt: 1400*ms + x}
		}},
		{"a new process whose first call hangs", 130 * ms, func(x time.Duration) *scenario { return &scenario{hasStoredList: true, unanswered: 1} }},
		{"and the two after it", 400 * ms, func(x time.Duration) *scenario { return &scenario{hasStoredList: true, unanswered: 3} }},
		// What the new agent has counts 4 s after SIGHUP; the test requires it at once.
		{"moves, and the first call hangs", 130 * ms, func(x time.Duration) *scenario {
			return &scenario{moveAt: 2*time.Second + x, unanswered: 1, drainAt: 2*time.Second + x, reportedAt: 2*time.Second + x}
		}},
	} {
		var worst time.Duration
		for i := range 64 {
			worst = max(worst, c.make(time.Duration(i)*23*ms).play(t))
		}
		t.Logf("%s: %v late at worst", c.name, worst)
		if worst > c.maxDelay {
			t.Errorf("%s: %v late at worst, %v wanted", c.name, worst, c.maxDelay)
		}
	}
}

// Where calls cost discovery work, a change that a silent call misses counts as reported at 6 s, or 2 s after the wait of the
// call.
func TestOnDemandDrainAfterSilence(t *testing.T) {
	for _, c := range []struct {
		name string
		s    *scenario
	}{
		{"first list", &scenario{onDemand: true, unanswered: 1, reportedAt: 6 * time.Second}},
		{"first watch, from a stored list", &scenario{onDemand: true, hasStoredList: true, unanswered: 1,
			drainAt: time.Second, reportedAt: 22 * time.Second}},
		{"a watch later on", &scenario{onDemand: true, from: 3 * time.Second, to: 4 * time.Second,
			drainAt: 5 * time.Second, reportedAt: 22 * time.Second}},
		{"moved", &scenario{onDemand: true, moveAt: 3 * time.Second, unanswered: 1, drainAt: 3 * time.Second, reportedAt: 9 * time.Second}},
		{"cut off until after the second call", &scenario{onDemand: true, from: 3 * time.Second, to: 21500 * ms,
			drainAt: 5 * time.Second, reportedAt: 22 * time.Second}},
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
func TestWorstDelayKeepsToFormula(t *testing.T) {
	for _, grace := range []time.Duration{100 * ms, 500 * ms, 2 * time.Second} {
		step, late := max(grace/4, 25*ms), min(grace/2, 500*ms) // pushed; on demand
		for _, c := range []struct {
			name     string
			maxDelay time.Duration // after the drain is reported
			make     func(x time.Duration) *scenario
		}{
			{"pushed, silent", step, func(x time.Duration) *scenario {
				return &scenario{to: 3*time.Second + x, reportedAt: 3*time.Second + x}
			}},
			{"pushed, 503", step, func(x time.Duration) *scenario {
				return &scenario{failure: "503", from: time.Second, to: 3*time.Second + x, drainAt: 3*time.Second + x, reportedAt: 3*time.Second + x}
			}},
			{"pushed, refused", step, func(x time.Duration) *scenario {
				return &scenario{failure: "refused", to: 3*time.Second + x, reportedAt: 3*time.Second + x}
			}},
			{"pushed, the watch dies", 3 * step, func(x time.Duration) *scenario {
				return &scenario{from: time.Second + x, to: time.Second + x + 1, drainAt: time.Second + x + 2, reportedAt: time.Second + x + 2}
			}},
			{"asked, 503", 0, func(x time.Duration) *scenario {
				return &scenario{onDemand: true, answerTime: maxQueueTime, failure: "503", from: 3 * time.Second, to: 3*time.Second + x,
					drainAt: 3*time.Second + x, reportedAt: 9*time.Second + x}
			}},
			{"asked, reset", 0, func(x time.Duration) *scenario {
				return &scenario{onDemand: true, answerTime: maxQueueTime, failure: "reset", from: 3 * time.Second, to: 3*time.Second + x,
					drainAt: 3*time.Second + x, reportedAt: 9*time.Second + x}
			}},
			{"asked, refused from the start", 0, func(x time.Duration) *scenario {
				return &scenario{onDemand: true, answerTime: maxQueueTime, failure: "refused", to: x, drainAt: x, reportedAt: 6*time.Second + x}
			}},
			{"asked, silent first lists", late, func(x time.Duration) *scenario {
				return &scenario{onDemand: true, answerTime: maxQueueTime, to: x, drainAt: x, reportedAt: 6*time.Second + x}
			}},
			// The watch begins at 2 s, and may wait for 20 s.
			{"asked, a silent watch", late, func(x time.Duration) *scenario {
				return &scenario{onDemand: true, answerTime: maxQueueTime, from: 3 * time.Second, to: 4*time.Second + x,
					drainAt: 4*time.Second + x, reportedAt: max(24*time.Second, 10*time.Second+x)}
			}},
		} {
			by, n := 23*ms*step/(125*ms), 40
			if strings.HasPrefix(c.name, "asked") {
				by = 607 * ms
			}
			worst := -time.Minute
			for i := range n {
				s := c.make(time.Duration(i) * by)
				s.drainGrace, s.retryDelay = grace, maxRewatchDelay
				worst = max(worst, s.play(t))
			}
			t.Logf("grace %v, %s: %v after the report at worst, by the formula %v", grace, c.name, worst, c.maxDelay)
			if worst > c.maxDelay {
				t.Errorf("grace %v, %s: %v after the report, by the formula %v", grace, c.name, worst, c.maxDelay)
			}
		}
	}
}

// A slow node must not give up calls that would have brought an answer. It must have the list however long an answer takes, as
// long as its calls stay open.
func TestSlowNodeReceivesList(t *testing.T) {
	for _, slow := range []time.Duration{200 * ms, 400 * ms, 600 * ms, 900 * ms} {
		s := &scenario{answerTime: slow, drainAt: 2 * time.Second, reportedAt: 2 * time.Second}
		if late := s.play(t); late > 2*slow+time.Second {
			t.Errorf("answers take %v: %v late", slow, late)
		}
	}
}
