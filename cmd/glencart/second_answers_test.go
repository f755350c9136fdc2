package main

// This test guards against a known incident. A backend sent some answers twice. The second answer arrived after the node had
// checked the kept connection and written the next request on it, and was taken for the answer to that request. A client got
// what was made for another. A second 503 with X-Never-Ran made a running request look as if it had not run, so it was sent
// again, or refused as harmless. The node's answers on that connection stayed one ahead of its requests.
//
// A run consists of real nodes, backends that send surplus bytes, and clients. Each seed draws the form of the surplus bytes, when
// they come, behind which share of the answers, whether answers contain the id of their request, the delay of the links and the number
// of nodes.

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"glencart/internal/standin"
	"glencart/internal/standin/surplus"
)

var (
	secondSeeds = flag.Int("second.seeds", 6, "number of seeds for the tests of second answers")
	secondFirst = flag.Uint64("second.first", 1, "first seed of the tests of second answers")
)

const (
	secondBackends, secondClients = 6, 24 // of a run; clients of each node
	// earlyLimit is how late a second answer may be with no effect at all.
	earlyLimit = 100 * time.Millisecond
	// lateLimit is how late a second answer may be that has an effect once for each node and backend.
	lateLimit      = 2 * time.Second
	secondDeadline = time.Second
	earlyTraffic   = 3 * time.Second
	lateTraffic    = 6 * time.Second
	// maxClientPause is how long a client waits between two requests at most.
	maxClientPause = 20 * time.Millisecond
	// minSecondServed is how many requests of a run must be served for the run to count.
	minSecondServed = 200
)

// secondRun is one run.
type secondRun struct {
	t        *testing.T
	seed     uint64
	cfg      surplus.Config
	backends []*surplus.Backend

	mu       sync.Mutex
	begun    map[string][]begunAttempt
	requests []*request
}

// begunAttempt is an attempt that a backend has begun to run.
type begunAttempt struct {
	backend int
	at      time.Time
}

// play runs nodes for a time and ends them with SIGTERM and, at the earliest that the platform may, SIGKILL.
func (s *secondRun) play(nodes int, traffic time.Duration) {
	s.begun = map[string][]begunAttempt{}
	var listed []standin.Listed
	for i := range secondBackends {
		b := surplus.Start(s.t, s.cfg, s.seed<<8|uint64(i), func(r *http.Request, at time.Time) {
			s.mu.Lock()
			defer s.mu.Unlock()
			id := surplus.RequestID(r)
			s.begun[id] = append(s.begun[id], begunAttempt{i, at})
		})
		s.backends = append(s.backends, b)
		listed = append(listed, standin.Listed{ID: fmt.Sprint("s-", i), Addr: b.Addr, Phase: "ready", Cell: i})
	}
	registry := standin.NewRegistry(s.t, standin.ListText(1, true, listed...))
	var running sync.WaitGroup
	for n := range nodes {
		listen := standin.ReserveAddr(s.t)
		running.Go(func() { s.playNode(n, listen, registry.Addr, traffic) })
	}
	running.Wait()
}

// playNode runs one node and its clients.
func (s *secondRun) playNode(n int, listen, discovery string, traffic time.Duration) {
	cmd, ended := s.startNode(n, listen, discovery)
	defer cmd.Process.Kill()
	if !awaitReady(listen) {
		s.t.Errorf("node %d does not become ready", n)
		return
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range secondClients {
		clients.Go(func() { s.client(listen, rand.New(rand.NewPCG(s.seed, uint64(1000*n+i))), stop) })
	}
	time.Sleep(traffic)
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(secondDeadline + killAfter):
		cmd.Process.Kill()
		s.t.Errorf("node %d was still running %v after SIGTERM", n, secondDeadline+killAfter)
	}
	close(stop)
	clients.Wait()
}

// startNode starts a node. The channel is closed when it has ended.
func (s *secondRun) startNode(n int, listen, discovery string) (*exec.Cmd, <-chan struct{}) {
	config := nodeConfig(listen, discovery, s.seed*8+uint64(n), secondDeadline)
	for _, class := range config["settings"].(map[string]any)["classes"].([]any) {
		class.(map[string]any)["keyScope"] = "cell" // each backend is a cell of its own
	}
	text, err := json.Marshal(config)
	if err != nil {
		s.t.Fatal(err)
	}
	path := fmt.Sprintf("%s/config-%d.json", s.t.TempDir(), n)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "GLENCART_TEST_RUN=1", "BALANCER_CONFIG="+path, "GORACE=atexit_sleep_ms=0")
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { cmd.Wait(); close(ended) }()
	return cmd, ended
}

// awaitReady waits until a node is ready.
func awaitReady(listen string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(standin.Patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := client.Get("http://" + listen + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// client sends requests on one connection after another, and uses each for as long as it is open.
func (s *secondRun) client(listen string, rng *rand.Rand, stop <-chan struct{}) {
	for {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			return // the node has ended
		}
		in := bufio.NewReader(c)
		for s.send(c, in, rng) {
			select {
			case <-stop:
				c.Close()
				return
			case <-time.After(time.Duration(rng.Int64N(int64(maxClientPause)))):
			}
		}
		c.Close()
	}
}

// send sends one request and reads its answer. It reports whether the connection can carry another.
func (s *secondRun) send(c net.Conn, in *bufio.Reader, rng *rand.Rand) bool {
	q := &request{id: fmt.Sprintf("%x-%x", s.seed, rng.Uint64()), effect: [...]string{"read", "order", "token"}[rng.IntN(3)],
		budget: secondDeadline, writtenAt: time.Now()}
	head := "POST /api/x HTTP/1.1\r\nContent-Length: 0\r\n"
	switch q.effect {
	case "read":
		head = "GET /api/x HTTP/1.1\r\n"
	case "token":
		head += "Idempotency-Key: key-" + q.id + "\r\n"
	}
	head += fmt.Sprintf("Host: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %.3f\r\n\r\n", q.id, q.effect, q.budget.Seconds())
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	c.SetReadDeadline(q.writtenAt.Add(q.budget + lateSlack))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false // the connection was closed between two requests, or the node was killed
	}
	body, err := io.ReadAll(resp.Body)
	q.status, q.body = resp.StatusCode, string(body)
	s.mu.Lock()
	s.requests = append(s.requests, q)
	s.mu.Unlock()
	return err == nil && !resp.Close
}

// violations returns what clients and backends observed that the rules forbid, one text for each request.
func (s *secondRun) violations() (found []string, served int) {
	for _, q := range s.requests {
		runs := s.begun[q.id]
		isRefusal := q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests
		switch {
		case q.status == http.StatusOK && q.body != s.cfg.Body(q.id):
			found = append(found, fmt.Sprintf("%s (%s) was served with %q", q.id, q.effect, q.body))
		case q.effect == "order" && len(runs) > 1:
			found = append(found, fmt.Sprintf("%s is unsafe and ran %d times", q.id, len(runs)))
		case q.effect == "token" && !s.isOneGroup(runs):
			found = append(found, fmt.Sprintf("%s is keyed and was sent again outside its group", q.id))
		case isRefusal && q.effect != "read" && len(runs) > 0:
			found = append(found, fmt.Sprintf("%s (%s) was refused and had run", q.id, q.effect))
		case q.status == http.StatusOK:
			served++
		}
	}
	return found, served
}

// isOneGroup reports whether all runs were at one backend, which drops repeats of a key.
func (s *secondRun) isOneGroup(runs []begunAttempt) bool {
	for _, run := range runs {
		if run.backend != runs[0].backend || run.at.Sub(runs[0].at) > keyedWindow+ruleSlack {
			return false
		}
	}
	return true
}

// check plays a run and fails if it has more violations than allowed.
func (s *secondRun) check(nodes int, traffic time.Duration, allowed int) {
	s.play(nodes, traffic)
	found, served := s.violations()
	sent, accepted := int64(0), int64(0)
	for _, b := range s.backends {
		sent += b.Surplus.Load()
		accepted += b.Accepted.Load()
	}
	s.t.Logf("nodes %d, %v: %d requests, %d served, %d connections, %d times surplus bytes, %d violations (%d allowed)",
		nodes, s.cfg, len(s.requests), served, accepted, sent, len(found), allowed)
	if served < minSecondServed {
		s.t.Errorf("%d requests, %d served: too few for a valid run", len(s.requests), served)
	}
	if len(found) > allowed {
		for _, text := range found[:min(len(found), 10)] {
			s.t.Error(text)
		}
		s.t.Errorf("%d violations, %d allowed", len(found), allowed)
	}
}

// A second answer that arrives up to 100 ms after the first one must have no effect on any other request, from the first request
// on.
func TestSecondAnswersReachNoOtherRequest(t *testing.T) {
	for i := range *secondSeeds {
		seed := *secondFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 1))
			s := &secondRun{t: t, seed: seed, cfg: surplus.Draw(rng, earlyLimit)}
			s.check([...]int{1, 3}[rng.IntN(2)], earlyTraffic, 0)
		})
	}
}

// Attempts that run out of time, are cancelled or race another attempt must not leave their answers behind for the next request.
// The backends are honest: some answers come after the attempt was given up.
func TestLateAnswersOfHonestBackendsReachNoOtherRequest(t *testing.T) {
	for i := range (*secondSeeds + 2) / 3 {
		seed := *secondFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			s := &secondRun{t: t, seed: seed, cfg: surplus.Draw(rng, 0)}
			s.cfg.Share, s.cfg.SlowShare = 0, 0.08
			s.check([...]int{1, 3}[rng.IntN(2)], earlyTraffic, 0)
		})
	}
}

// A second answer that arrives up to 2 s late, or with the first bytes of the next request, looks like the answer to that
// request the first time. It must have an effect once at most for each node and backend, since the node notices the surplus and
// uses no connection to that backend twice from then on.
func TestLateSecondAnswersAreNoticed(t *testing.T) {
	for i := range *secondSeeds {
		seed := *secondFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 2))
			s := &secondRun{t: t, seed: seed, cfg: surplus.Draw(rng, lateLimit)}
			s.cfg.WithNext = rng.IntN(2) == 0
			nodes := [...]int{1, 3}[rng.IntN(2)]
			s.check(nodes, lateTraffic, nodes*secondBackends)
		})
	}
}
