// Package longanswers is an HTTP/1.1 backend whose short answers contain the id of their request, and whose few other answers are long,
// slow or without an id. It can send some short answers twice. It records what happened to each request.
package longanswers

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Config is how the backends of a run answer requests without a plan. The zero value answers at once, without ids.
type Config struct {
	HasIDs   bool          // short answers contain the id of their request
	MinWork  time.Duration // between the request and its answer
	MaxWork  time.Duration
	SlowWork time.Duration // of one answer in slowEvery, in place of that; 0: none
	// DuplicateShare is the share of the short answers that are sent once more, up to MaxLate later. Only those with ids are.
	DuplicateShare float64
	MaxLate        time.Duration
	NoiseShare     float64 // share of the short answers behind which bytes come that begin no answer, up to maxNoiseLate later
}

// maxNoiseLate is how late the noise behind a short answer comes at most.
const maxNoiseLate = 20 * time.Millisecond

// slowEvery is one part of the answers that take SlowWork.
const slowEvery = 50

// DrawConfig returns a random configuration of backends whose short answers contain ids.
func DrawConfig(rng *rand.Rand) Config {
	cfg := Config{HasIDs: true, MinWork: time.Duration(1+rng.IntN(15)) * time.Millisecond, MaxLate: 100 * time.Millisecond}
	cfg.MaxWork = cfg.MinWork + time.Duration(rng.IntN(20))*time.Millisecond
	if rng.IntN(3) == 0 {
		cfg.SlowWork = 200 * time.Millisecond
	}
	if rng.IntN(2) == 0 {
		cfg.DuplicateShare = [...]float64{0.005, 0.05}[rng.IntN(2)]
	}
	if rng.IntN(4) == 0 {
		cfg.NoiseShare = 0.01
	}
	return cfg
}

// String describes the configuration in a line.
func (c Config) String() string {
	return fmt.Sprintf("ids %t, work %v to %v, some %v, %.3f of the answers twice, up to %v late, noise behind %.2f", c.HasIDs, c.MinWork, c.MaxWork,
		c.SlowWork, c.DuplicateShare, c.MaxLate, c.NoiseShare)
}

// ShortBody returns the body of the answer to a request without a plan.
func (c Config) ShortBody(id string) string {
	if c.HasIDs {
		return "done: " + id
	}
	return "done"
}

// Run is one execution of a request by a backend.
type Run struct {
	Connection int64 // among all connections to the backends of the run
	BeganAt    time.Time
	HeadAt     time.Time // when its answer began; zero: it has not
	WroteAll   bool      // the answer was written whole
}

// Recorder records the runs of all requests. It is safe for concurrent use.
type Recorder struct {
	Duplicates atomic.Int64 // answers sent once more
	Accepted   atomic.Int64 // connections

	mu   sync.Mutex
	runs map[string][]*Run
}

// RunsOf returns the runs of the request with this id, in the order in which they began.
func (r *Recorder) RunsOf(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var runs []Run
	for _, run := range r.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}

// update changes a run under the lock.
func (r *Recorder) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *Recorder) begin(id string, run *Run) {
	r.update(func() {
		if r.runs == nil {
			r.runs = map[string][]*Run{}
		}
		r.runs[id] = append(r.runs[id], run)
	})
}

// Serve returns a function that serves one connection after another, for standin.NewRaw. The seed decides what is random.
func Serve(cfg Config, seed uint64, recorder *Recorder) func(c net.Conn, in *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		n := recorder.Accepted.Add(1)
		s := &session{conn: c, in: in, cfg: cfg, recorder: recorder, connection: n, rng: rand.New(rand.NewPCG(seed, uint64(n)))}
		s.serve()
	}
}

// session is one connection to a backend.
type session struct {
	conn       net.Conn
	in         *bufio.Reader
	cfg        Config
	recorder   *Recorder
	connection int64
	rng        *rand.Rand
	writing    sync.Mutex // held for each whole answer, so that a duplicate is never written into another one
}

// serve answers the requests of the connection in order.
func (s *session) serve() {
	for {
		r, err := http.ReadRequest(s.in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.answer(r) {
			return
		}
	}
}

// answer answers one request. It reports whether the connection can carry another.
func (s *session) answer(r *http.Request) bool {
	if r.URL.Path == "/stats" {
		return s.write(shortAnswer("TEXT inflight=1", ""))
	}
	id := r.Header.Get("X-Trace-Id")
	run := &Run{Connection: s.connection, BeganAt: time.Now()}
	s.recorder.begin(id, run)
	if r.URL.Path == "/api/planned" {
		return s.answerPlanned(r, ParsePlan(r.URL.Query()), id, run)
	}
	time.Sleep(s.work())
	answer := shortAnswer(s.cfg.ShortBody(id), "")
	s.recorder.update(func() { run.HeadAt = time.Now() })
	if !s.write(answer) {
		return false
	}
	s.recorder.update(func() { run.WroteAll = true })
	if s.cfg.HasIDs && s.rng.Float64() < s.cfg.DuplicateShare {
		s.recorder.Duplicates.Add(1)
		time.AfterFunc(time.Duration(s.rng.Int64N(int64(s.cfg.MaxLate))), func() { s.write(answer) })
	} else if s.rng.Float64() < s.cfg.NoiseShare {
		noise := strings.Repeat("#", 1+s.rng.IntN(maxNoiseBytes))
		time.AfterFunc(time.Duration(s.rng.Int64N(int64(maxNoiseLate))), func() { s.write(noise) })
	}
	return true
}

func (s *session) work() time.Duration {
	if s.cfg.SlowWork > 0 && s.rng.IntN(slowEvery) == 0 {
		return s.cfg.SlowWork
	}
	return s.cfg.MinWork + time.Duration(s.rng.Int64N(int64(s.cfg.MaxWork-s.cfg.MinWork)+1))
}

// write writes a whole answer.
func (s *session) write(text string) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	_, err := io.WriteString(s.conn, text)
	return err == nil
}

func shortAnswer(body, fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(body), fields, body)
}

// answerPlanned writes the answer of a plan.
func (s *session) answerPlanned(r *http.Request, plan Plan, id string, run *Run) bool {
	time.Sleep(plan.HeadAfter)
	s.writing.Lock()
	defer s.writing.Unlock()
	s.recorder.update(func() { run.HeadAt = time.Now() })
	if _, err := io.WriteString(s.conn, plan.head(id)); err != nil {
		return false
	}
	if r.Method != http.MethodHead {
		time.Sleep(plan.BodyAfter)
		if !s.writeParts(plan, plan.Body(id)) {
			return false
		}
	}
	s.recorder.update(func() { run.WroteAll = true })
	if plan.NoiseBytes > 0 {
		io.WriteString(s.conn, strings.Repeat("#", plan.NoiseBytes))
		return true
	}
	return plan.Framing != ByClose
}

func (p Plan) head(id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Planned\r\n", p.Status)
	switch p.Framing {
	case ByLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(p.Body(id)))
	case Chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case ByClose:
		head += "Connection: close\r\n"
	}
	if p.Name == NameInHead {
		head += "X-Request: " + id + "\r\n"
	}
	return head + "\r\n"
}

// writeParts writes a body in the parts of its plan.
func (s *session) writeParts(plan Plan, body string) bool {
	for part := range plan.Parts {
		if part > 0 {
			time.Sleep(plan.Pause)
		}
		text := body[len(body)*part/plan.Parts : len(body)*(part+1)/plan.Parts]
		if plan.Framing == Chunked && text != "" {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(s.conn, text); err != nil {
			return false
		}
	}
	if plan.Framing == Chunked {
		_, err := io.WriteString(s.conn, "0\r\n\r\n")
		return err == nil
	}
	return true
}
