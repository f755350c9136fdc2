package main

// The test of this file guards against two failures at once. A sound answer was ended by the node, because it named no request and came on
// a connection that was in use again at once, as its backend's other answers named theirs: an unsafe request got a 502 while its backend
// wrote the answer, and a safe one was sent again. And an answer that was made for another request was passed on.
//
// A run consists of one node, backends with ids in their short answers, and clients. Each seed draws the work of the backends, the answers
// that are sent twice, and the plans of the few answers that are long, or short without an id. Some runs have a crowd of idle clients. The
// node gets SIGHUP again and again, and SIGTERM at the end; clients use their connections until it has ended.

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"glencart/internal/standin/longanswers"
)

var (
	longAnswerSeeds = flag.Int("longanswers.seeds", 6, "number of seeds for the tests of long answers")
	longAnswerFirst = flag.Uint64("longanswers.first", 1, "first seed")
	longAnswerTime  = flag.Duration("longanswers.time", 8*time.Second, "length of a run")
)

const (
	namedClients, namedGap     = 24, 50 * time.Millisecond
	longClients, longGap       = 2, 800 * time.Millisecond
	unnamedClients, unnamedGap = 1, 900 * time.Millisecond
	crowdClients               = 60 // idle connections
	reloadInterval             = 1500 * time.Millisecond
	// longestPlanned is how long a planned answer takes at most, from its request to its last byte. What is sent later than that before
	// SIGTERM may be cut off by the end of the node.
	longestPlanned = 2 * time.Second
	// minNamedServed is how many requests of a run must be served for the run to count, in each second.
	minNamedServed = 100
)

// longAnswerRun is one run.
type longAnswerRun struct {
	t        *testing.T
	cfg      longanswers.Config
	recorder longanswers.Recorder
	node     *pressureNode

	terminatedAt  time.Time     // when the node got SIGTERM
	processorTime time.Duration // of the node until then

	mu        sync.Mutex
	exchanges []*longanswers.Exchange
}

// client sends requests in series, on one connection for as long as that is open.
func (s *longAnswerRun) client(name string, rng *rand.Rand, gap time.Duration, draw func(*rand.Rand) longanswers.Plan, stop <-chan struct{}) {
	var c net.Conn
	var in *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * gap)))):
		}
		if c == nil {
			var err error
			if c, err = s.node.dialClient(); err != nil {
				return
			}
			in = bufio.NewReader(c)
		}
		e := &longanswers.Exchange{ID: fmt.Sprintf("%s-%06d", name, i), Class: [...]string{"read", "order", "token"}[rng.IntN(3)], Budget: safeBudget}
		if e.Class == "order" {
			e.Budget = unsafeBudget
		}
		if draw != nil {
			plan := draw(rng)
			e.Plan = &plan
		}
		if !s.send(c, in, e) {
			c.Close()
			c = nil
		}
	}
}

// send sends one request and reads its answer. It reports whether the connection can carry another.
func (s *longAnswerRun) send(c net.Conn, in *bufio.Reader, e *longanswers.Exchange) bool {
	target, fields := "/api/x", "Content-Length: 0\r\n"
	if e.Plan != nil {
		target = e.Plan.Target()
	}
	switch e.Class {
	case "read":
		fields = ""
	case "token":
		fields += "Idempotency-Key: key-" + e.ID + "\r\n"
	}
	e.SentAt = time.Now()
	if _, err := io.WriteString(c, pressureRequest(e.Class, target, e.ID, e.Budget, fields)); err != nil {
		return false
	}
	c.SetReadDeadline(e.SentAt.Add(20 * time.Second))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		e.Err = err
	} else {
		e.Began, e.Status = time.Since(e.SentAt), resp.StatusCode
		e.Body, e.Err = io.ReadAll(resp.Body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges = append(s.exchanges, e)
	return e.Err == nil && !resp.Close
}

// mayBeCut reports whether an exchange may have been cut off by the end of the node.
func (s *longAnswerRun) mayBeCut(e *longanswers.Exchange) bool {
	return e.Plan != nil && e.SentAt.After(s.terminatedAt.Add(-longestPlanned))
}

// check fails for each kind of problem.
func (s *longAnswerRun) check(length time.Duration) {
	counts := map[string]int{}
	var texts []string
	long, served, statuses := 0, 0, map[int]int{}
	for _, e := range s.exchanges {
		if e.Plan != nil {
			long++
		}
		statuses[e.Status]++
		kind, text := s.recorder.Problem(s.cfg, e, s.mayBeCut(e))
		switch {
		case kind != "":
			counts[kind]++
			plan := "ordinary"
			if e.Plan != nil {
				plan = e.Plan.String()
			}
			texts = append(texts, fmt.Sprintf("%s: %s (%s; %s): %s", kind, e.ID, e.Class, plan, text))
		case e.Status == http.StatusOK:
			served++
		}
	}
	s.t.Logf("%v: %d requests, %d of them planned, %v, %d connections to backends, %d duplicates, %v of processor time a request: %v", s.cfg, len(s.exchanges), long,
		statuses, s.recorder.Accepted.Load(), s.recorder.Duplicates.Load(),
		(s.processorTime / time.Duration(max(1, len(s.exchanges)))).Round(time.Microsecond), counts)
	if served < int(minNamedServed*length.Seconds()) {
		s.t.Errorf("%d served: too few for a valid run", served)
	}
	for _, text := range texts[:min(len(texts), 8)] {
		s.t.Error(text)
	}
	if len(texts) > 0 {
		s.t.Errorf("%v", counts)
	}
}

// startCrowd opens connections that stay idle.
func (s *longAnswerRun) startCrowd() {
	for range crowdClients {
		c, err := s.node.dialClient()
		if err != nil {
			s.t.Error(err)
			return
		}
		s.t.Cleanup(func() { c.Close() })
	}
}

// signal has the node reload its configuration until a run is over, and ends it then.
func (s *longAnswerRun) signal(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(min(reloadInterval, time.Until(end)))
		s.node.process.Signal(syscall.SIGHUP)
	}
	s.processorTime, s.terminatedAt = s.node.processorTime(), time.Now()
	s.node.process.Signal(syscall.SIGTERM)
	select {
	case <-s.node.ended:
	case <-time.After(safeBudget + killAfter):
		s.node.process.Kill()
		s.t.Errorf("the node was still running %v after SIGTERM", safeBudget+killAfter)
	}
}

func TestRareLongAnswersAmongNamedOnesComeWhole(t *testing.T) {
	for i := range *longAnswerSeeds {
		seed := *longAnswerFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 82))
			s := &longAnswerRun{t: t, cfg: longanswers.DrawConfig(rng)}
			s.node = startPressureNode(t, pressureLimits{memoryMB: 64, sockets: 512}, longanswers.Serve(s.cfg, seed, &s.recorder))
			stop := make(chan struct{})
			var running sync.WaitGroup
			start := func(count int, name string, gap time.Duration, draw func(*rand.Rand) longanswers.Plan) {
				for n := range count {
					name := fmt.Sprintf("%s-%d-%02d", name, seed, n)
					rng := rand.New(rand.NewPCG(seed, rng.Uint64()))
					running.Go(func() { s.client(name, rng, gap, draw, stop) })
				}
			}
			if rng.IntN(3) == 0 {
				s.startCrowd()
			}
			start(namedClients, "named", namedGap, nil)
			start(longClients, "long", longGap, longanswers.Draw)
			start(unnamedClients, "short", unnamedGap, longanswers.DrawShort)
			s.signal(*longAnswerTime)
			close(stop)
			running.Wait()
			s.check(*longAnswerTime)
		})
	}
}
