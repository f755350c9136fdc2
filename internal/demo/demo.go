// Package demo shows a newcomer what glencart does: it starts stand-in boxes and a server on loopback, drives traffic
// through a drain, a cold start, a crash and a flood, and counts the four rules by the boxes' own ledger.
package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	httpfront "glencart/internal/front/http"
	"glencart/internal/site"
	"glencart/internal/standin/box"
)

// Options are what a demo may be told.
type Options struct {
	Out   io.Writer
	Log   *slog.Logger
	Speed float64 // 1: about 15 s
	Keep  bool    // stay up after the traffic, until ctx ends
}

const (
	usual, flood = 250, 2000 // requests a second
	deadline     = 2 * time.Second
	grace        = 500 * time.Millisecond // for a drain
	lines        = 30                     // of the live table
)

// stand is a stand-in box with its HTTP face.
type stand struct {
	*box.Box
	addr string

	mu  sync.Mutex
	srv *http.Server
}

func (s *stand) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(s.answer), ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.srv = srv
	s.mu.Unlock()
	go srv.Serve(l)
	return nil
}

func (s *stand) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.srv != nil {
		s.srv.Close()
	}
}

func (s *stand) answer(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	call := r.Header.Get("Demo-Call")
	if call == "" {
		call = r.Header.Get("X-Request-Id")
	}
	switch s.Do(r.Context(), call, 0) {
	case box.OK:
		fmt.Fprintf(w, "box %s: %s %s\n", s.ID, r.Method, r.URL.Path)
	case box.Full, box.Draining:
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case box.Left, box.Fallen:
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// Sum is what came of a demo.
type Sum struct {
	Requests, Served, Refused, Failed int
	Lost, Twice, Late, PushedOver     int // of the four rules
}

// Broken tells whether a rule was broken.
func (s Sum) Broken() bool { return s.Lost+s.Twice+s.Late+s.PushedOver > 0 }

// run is a demo under way.
type run struct {
	Options
	ledger *box.Ledger
	boxes  []*stand
	server *httpfront.Server
	client *http.Client
	url    string

	mu     sync.Mutex
	sum    Sum
	unsafe []string
	window Sum
	times  []time.Duration // of the answers in the window
	phase  string
	rate   float64
	listed map[string]string // state of each box in the file
}

// Run plays a demo and returns what came of it.
func Run(ctx context.Context, o Options) (Sum, error) {
	if o.Speed <= 0 {
		o.Speed = 1
	}
	r := &run{Options: o, ledger: box.NewLedger(), rate: usual, phase: "calm",
		listed: map[string]string{"a": "ready", "b": "ready", "c": "ready"},
		client: &http.Client{Timeout: 2 * deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	defer r.client.CloseIdleConnections()
	warm := r.span(2 * time.Second)
	for _, id := range []string{"a", "b", "c", "d"} {
		s := &stand{Box: box.New(box.Config{ID: id, Cores: 4, Queue: 64, Work: 8 * time.Millisecond,
			ColdShare: 0.1, WarmWithin: warm, FallMultiple: 2, OverloadFor: time.Second}, r.ledger)}
		if err := s.listen("127.0.0.1:0"); err != nil {
			return Sum{}, err
		}
		defer s.kill()
		r.boxes = append(r.boxes, s)
	}
	first, err := r.site()
	if err != nil {
		return Sum{}, err
	}
	if r.server, err = httpfront.New(first, o.Log); err != nil {
		return Sum{}, err
	}
	r.url = "http://" + r.server.Addr("demo")
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- r.server.Run(serving) }()
	defer func() { stop(); <-ended }()
	fmt.Fprintf(o.Out, "glencart serves %s with three boxes of 500 requests a second each; a fourth waits.\n\n", r.url)
	err = r.play(ctx)
	r.client.CloseIdleConnections()
	sum := r.close()
	if err == nil && o.Keep {
		fmt.Fprintf(o.Out, "\nStill up. Try, and stop with Ctrl-C:\n  curl -i %s/menu/7\n  curl -i -d two=buuz %s/orders/1\n  curl -i %s/about\n", r.url, r.url, r.url)
		<-ctx.Done()
	}
	return sum, err
}

func (r *run) span(d time.Duration) time.Duration { return time.Duration(float64(d) / r.Speed) }

// site words the file as it would stand on disk, and reads it as serve would.
func (r *run) site() (*site.Site, error) {
	var b strings.Builder
	fmt.Fprintf(&b, `[[listener]]
name = "demo"
address = "127.0.0.1:0"

[[class]]
name = "menu-read"
effect = "safe"
aim = "500ms"
deadline = "%[1]v"

[[class]]
name = "place-order"
effect = "unsafe"
aim = "500ms"
deadline = "%[1]v"
worth = 5

[[pool]]
name = "orders"
slow_start = "%[2]v"
boxes = [
`, deadline, r.span(2*time.Second))
	for _, s := range r.boxes {
		if state := r.listed[s.ID]; state != "" {
			fmt.Fprintf(&b, "  { id = %q, address = %q, state = %q },\n", s.ID, s.addr, state)
		}
	}
	b.WriteString(`]

[[server]]
[[server.location]]
path = "/"
[[server.location.route]]
methods = ["GET", "HEAD"]
pool = "orders"
class = "menu-read"
[[server.location.route]]
methods = ["POST"]
pool = "orders"
class = "place-order"
[[server.location]]
path = "/about"
[[server.location.route]]
status = 200
text = "the demo of glencart\n"
`)
	return site.Parse("demo.toml", []byte(b.String()))
}

// list changes the state of a box in the file and has the server reload it, as SIGHUP would.
func (r *run) list(id, state string) error {
	r.listed[id] = state
	s, err := r.site()
	if err != nil {
		return err
	}
	return r.server.Reload(s)
}

func (r *run) box(id string) *stand {
	return r.boxes[slices.IndexFunc(r.boxes, func(s *stand) bool { return s.ID == id })]
}

// play drives traffic while the events come.
func (r *run) play(ctx context.Context) error {
	events := []struct {
		at    time.Duration
		phase string
		rate  float64
		do    func() error
	}{
		{3 * time.Second, "a drains", usual, func() error {
			r.box("a").Drain(true)
			return r.list("a", "draining")
		}},
		{5 * time.Second, "a is back, d is new and cold", usual, func() error {
			r.box("a").Drain(false)
			r.box("d").Start()
			r.listed["a"] = "ready"
			return r.list("d", "ready")
		}},
		{8 * time.Second, "b crashes", usual, func() error { r.box("b").kill(); return nil }},
		{9500 * time.Millisecond, "b is back, cold", usual, func() error {
			r.box("b").Start()
			return r.box("b").listen(r.box("b").addr)
		}},
		{11 * time.Second, "flood: 8 times the load", flood, func() error { return nil }},
		{13500 * time.Millisecond, "calm again", usual, func() error { return nil }},
		{15 * time.Second, "", 0, func() error { return nil }},
	}
	fmt.Fprintf(r.Out, "%6s  %-30s %7s %7s %7s %7s %8s  %s\n", "time", "what happens", "asked", "served", "refused", "failed", "p99", "held by box")
	began := time.Now()
	tick := time.NewTicker(r.span(15 * time.Second / lines))
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	rng := rand.New(rand.NewPCG(1, 1))
	due := began
	for i, next := 0, 0; ; {
		now := time.Now()
		for next < len(events) && now.Sub(began) >= r.span(events[next].at) {
			e := &events[next]
			if e.rate == 0 {
				return nil
			}
			if err := e.do(); err != nil {
				return err
			}
			r.phase, r.rate = e.phase, e.rate
			next++
		}
		for ; !due.After(now); i++ {
			n := i
			wg.Go(func() { r.ask(ctx, n) })
			due = due.Add(time.Duration(rng.ExpFloat64() / r.rate * float64(time.Second)))
		}
		wait := time.NewTimer(max(time.Until(due), time.Millisecond))
		select {
		case <-ctx.Done():
			wait.Stop()
			return ctx.Err()
		case <-tick.C:
			r.line(time.Since(began))
		case <-wait.C:
		}
		wait.Stop()
	}
}

// ask sends one request, as an app would that asks once.
func (r *run) ask(ctx context.Context, i int) {
	call := fmt.Sprintf("call-%d", i)
	method, path, body := http.MethodGet, "/menu/", io.Reader(nil)
	if i%5 == 0 {
		method, path, body = http.MethodPost, "/orders/", bytes.NewReader([]byte("two buuz"))
	}
	req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), method, r.url+path+call, body)
	if err != nil {
		return
	}
	req.GetBody = nil // an order is sent once
	req.Header.Set("Demo-Call", call)
	began := time.Now()
	resp, err := r.client.Do(req)
	status := 0
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		status = resp.StatusCode
	}
	took := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	if method == http.MethodPost {
		r.unsafe = append(r.unsafe, call)
	}
	for _, s := range []*Sum{&r.sum, &r.window} {
		s.Requests++
		switch {
		case err != nil || took > deadline+grace:
			s.Lost++
		case status == http.StatusOK:
			s.Served++
		case status == http.StatusServiceUnavailable:
			s.Refused++
		default:
			s.Failed++
		}
	}
	if status == http.StatusOK {
		r.times = append(r.times, took)
	}
}

// line prints what came of the latest moment.
func (r *run) line(at time.Duration) {
	r.mu.Lock()
	w, times := r.window, r.times
	r.window, r.times = Sum{}, nil
	r.mu.Unlock()
	var held []string
	for _, s := range r.boxes {
		n, _ := s.Held()
		state := r.listed[s.ID]
		if state == "ready" {
			state = ""
		} else if state == "" {
			state = "-"
		}
		held = append(held, fmt.Sprintf("%s:%d%s", s.ID, n, map[string]string{"draining": "(drains)", "-": "(not listed)", "": ""}[state]))
	}
	fmt.Fprintf(r.Out, "%5.1fs  %-30s %7d %7d %7d %7d %8v  %s\n", at.Seconds(), r.phase, w.Requests, w.Served, w.Refused, w.Failed+w.Lost,
		percentile(times, 0.99).Round(100*time.Microsecond), strings.Join(held, " "))
}

func percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(p*float64(len(times)-1))]
}

// close counts the rules and prints the summary.
func (r *run) close() Sum {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sum
	for _, call := range r.unsafe {
		if len(r.ledger.Runs(call)) > 1 {
			s.Twice++
		}
	}
	for _, b := range r.boxes {
		if b.LastAfterDrain() > grace {
			s.Late++
		}
		if b.Fell() {
			s.PushedOver++
		}
	}
	fmt.Fprintf(r.Out, "\n%d requests: %d served, %d refused at once (may be sent again), %d failed.\n", s.Requests, s.Served, s.Refused, s.Failed)
	for _, x := range []struct {
		rule string
		n    int
	}{{"no request lost: without one final answer in time", s.Lost}, {"no effect twice: orders that ran more than once", s.Twice},
		{"drains kept: boxes sent to later than 500 ms after", s.Late}, {"no cold box pushed over: boxes that fell", s.PushedOver}} {
		verdict := "kept"
		if x.n > 0 {
			verdict = "BROKEN"
		}
		fmt.Fprintf(r.Out, "  %-52s %4d  %s\n", x.rule, x.n, verdict)
	}
	return s
}
