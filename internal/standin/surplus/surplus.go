// Package surplus is an HTTP/1.1 backend that sends more answers than it gets requests. It behaves like a backend with a fault
// in its release, or like a proxy before it that repeats answers. It records which requests it has begun.
package surplus

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Form is what follows a whole answer without a request for it.
type Form int

// Forms of surplus bytes.
const (
	SameAnswer    Form = iota // the same answer once more
	OtherAnswer               // a 200 with another body
	NeverRan                  // a 503 which says that its request has not run
	Unavailable               // a 503 which does not say so
	ServerError               // a 500
	HalfHead                  // the beginning of a status line
	BeyondLength              // bytes of a body that is longer than its length
	numberOfForms = int(BeyondLength) + 1
)

// String returns the name of the form.
func (f Form) String() string {
	return [numberOfForms]string{"same answer", "other answer", "503 never ran", "503", "500", "half a head", "beyond its length"}[f]
}

// Config is how a backend behaves. The zero value is an honest backend that answers at once.
type Config struct {
	Form     Form
	Share    float64       // share of the answers that are followed by surplus bytes
	MaxLate  time.Duration // surplus bytes follow the answer after a random time of up to MaxLate
	WithNext bool          // surplus bytes are sent instead when the first byte of the next request has come
	InPieces bool          // surplus bytes are sent in two pieces

	BehindProbes bool          // answers to probes are followed by surplus bytes too
	Link         time.Duration // delay of the link, in each direction
	MinWork      time.Duration // time from the request to its answer, without the link
	MaxWork      time.Duration
	ShedShare    float64 // share of the requests that are rejected with X-Never-Ran, and have not run
	SlowShare    float64 // share of the requests whose answers take from minSlow to maxSlow

	Anonymous bool // bodies don't contain the id of their request

	ProbePath string // path of probes; their answer is Report
	Report    string
}

// Answers of SlowShare take a time within these bounds.
const minSlow, maxSlow = 400 * time.Millisecond, 1200 * time.Millisecond

// Draw returns a random configuration of a backend whose surplus bytes come at most maxLate after the answer.
func Draw(rng *rand.Rand, maxLate time.Duration) Config {
	cfg := Config{
		Form:         Form(rng.IntN(numberOfForms)),
		Share:        [...]float64{0.01, 0.1, 0.1, 1}[rng.IntN(4)],
		MaxLate:      [...]time.Duration{maxLate / 20, maxLate / 2, maxLate}[rng.IntN(3)],
		InPieces:     rng.IntN(4) == 0,
		BehindProbes: rng.IntN(2) == 0,
		Link:         time.Duration(rng.IntN(51)) * time.Millisecond,
		MinWork:      time.Duration(rng.IntN(15)) * time.Millisecond,
		MaxWork:      time.Duration(15+rng.IntN(25)) * time.Millisecond,
		ShedShare:    0.02,
		ProbePath:    "/stats",
		Report:       "TEXT inflight=1",
	}
	cfg.Anonymous = rng.IntN(2) == 0
	return cfg
}

// Body returns the body of the answer to the request with this id.
func (c Config) Body(id string) string {
	if !c.Anonymous {
		return "done: " + id
	}
	sum := fnv.New64a()
	io.WriteString(sum, id)
	return fmt.Sprintf("done: %x", sum.Sum64())
}

// String describes the configuration in a line.
func (c Config) String() string {
	when := fmt.Sprintf("up to %v late", c.MaxLate)
	if c.WithNext {
		when = "with the next request"
	}
	if c.InPieces {
		when += " in pieces"
	}
	if c.Anonymous {
		when += ", anonymous"
	}
	if c.BehindProbes {
		when += ", behind probes too"
	}
	return fmt.Sprintf("%v behind %.2f of the answers, %s, link %v, work %v to %v", c.Form, c.Share, when, c.Link, c.MinWork, c.MaxWork)
}

// Backend is one backend. Start returns one. It ends with its test.
type Backend struct {
	Addr     string
	cfg      Config
	onBegin  func(r *http.Request, at time.Time)
	seed     uint64
	Surplus  atomic.Int64 // times that surplus bytes were sent
	Accepted atomic.Int64 // connections
}

// Start starts a backend on a free port. It calls onBegin for each request that it runs, from several goroutines.
func Start(t testing.TB, cfg Config, seed uint64, onBegin func(r *http.Request, at time.Time)) *Backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &Backend{Addr: l.Addr().String(), cfg: cfg, onBegin: onBegin, seed: seed}
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			rng := rand.New(rand.NewPCG(seed, uint64(b.Accepted.Add(1))))
			mu.Lock()
			open[c] = true
			mu.Unlock()
			go func() {
				b.serve(c, rng)
				c.Close()
				mu.Lock()
				delete(open, c)
				mu.Unlock()
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for c := range open {
			c.Close()
		}
	})
	return b
}

// serve answers the requests of one connection in order.
func (b *Backend) serve(c net.Conn, rng *rand.Rand) {
	out := &delayedWriter{to: c, link: b.cfg.Link}
	in := bufio.NewReader(c)
	withNext := ""
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		if withNext != "" {
			b.Surplus.Add(1)
			out.write(0, withNext)
			withNext = ""
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(b.cfg.Link)
		isProbe := r.URL.Path == b.cfg.ProbePath
		answer := b.answer(r, isProbe, rng)
		out.write(0, answer)
		if isProbe && !b.cfg.BehindProbes || rng.Float64() >= b.cfg.Share {
			continue
		}
		if b.cfg.WithNext {
			withNext = b.surplus(answer)
			continue
		}
		b.sendLate(out, b.surplus(answer), time.Duration(rng.Int64N(int64(b.cfg.MaxLate)+1)))
	}
}

// sendLate sends surplus bytes some time after the answer.
func (b *Backend) sendLate(out *delayedWriter, text string, late time.Duration) {
	b.Surplus.Add(1)
	if !b.cfg.InPieces {
		out.write(late, text)
		return
	}
	out.write(late/2, text[:len(text)/2])
	out.write(late, text[len(text)/2:])
}

// answer runs a request and returns its answer.
func (b *Backend) answer(r *http.Request, isProbe bool, rng *rand.Rand) string {
	if isProbe {
		return OK(b.cfg.Report)
	}
	if rng.Float64() < b.cfg.ShedShare {
		return "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	}
	b.onBegin(r, time.Now())
	shortest, longest := b.cfg.MinWork, b.cfg.MaxWork
	if rng.Float64() < b.cfg.SlowShare {
		shortest, longest = minSlow, maxSlow
	}
	time.Sleep(shortest + time.Duration(rng.Int64N(int64(longest-shortest)+1)))
	return OK(b.cfg.Body(RequestID(r)))
}

// RequestID returns the id of a request: X-Trace-Id, or the last part of its path.
func RequestID(r *http.Request) string {
	if id := r.Header.Get("X-Trace-Id"); id != "" {
		return id
	}
	return path.Base(r.URL.Path)
}

// surplus returns the bytes that follow an answer.
func (b *Backend) surplus(answer string) string {
	switch b.cfg.Form {
	case OtherAnswer:
		return OK("the answer to nobody")
	case NeverRan:
		return "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	case Unavailable:
		return "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
	case ServerError:
		return "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
	case HalfHead:
		return "HTTP/1.1 20"
	case BeyondLength:
		return strings.Repeat("x", 20)
	}
	return answer
}

// OK returns a 200 answer with a body.
func OK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// delayedWriter writes texts to a connection when they are due, each in one piece. Texts of the same delay keep their order.
type delayedWriter struct {
	to   net.Conn
	link time.Duration

	mu    sync.Mutex
	queue []delayedText // by due time
	runs  bool
}

type delayedText struct {
	at   time.Time
	text string
}

// write writes a text after a delay and the link's own. It doesn't wait.
func (w *delayedWriter) write(delay time.Duration, text string) {
	at := time.Now().Add(delay + w.link)
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.queue)
	for i > 0 && w.queue[i-1].at.After(at) {
		i--
	}
	w.queue = append(w.queue, delayedText{})
	copy(w.queue[i+1:], w.queue[i:])
	w.queue[i] = delayedText{at, text}
	if !w.runs {
		w.runs = true
		go w.run()
	}
}

// run writes what is queued and ends when nothing is.
func (w *delayedWriter) run() {
	for {
		w.mu.Lock()
		if len(w.queue) == 0 {
			w.runs = false
			w.mu.Unlock()
			return
		}
		first := w.queue[0]
		wait := time.Until(first.at)
		if wait <= 0 {
			w.queue = w.queue[1:]
		}
		w.mu.Unlock()
		if wait > 0 {
			time.Sleep(min(wait, time.Millisecond)) // a text with less delay may be queued meanwhile
			continue
		}
		io.WriteString(w.to, first.text)
	}
}
