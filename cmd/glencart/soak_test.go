package main

import (
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
)

// This file runs real nodes for a short time under random faults that are drawn from seeds. It checks what
// clients and backends observe against the rules for answers, repeats and drains.

var (
	soakSeeds = flag.Int("soak.seeds", 8, "number of seeds for TestSoak")
	soakFirst = flag.Uint64("soak.first", 1, "first seed")
)

const (
	soakBackends = 4
	soakClients  = 12
	keyedWindow  = 400 * time.Millisecond // in which backends drop repeats of a keyed request
	drainGrace   = 500 * time.Millisecond
	ruleSlack    = 50 * time.Millisecond  // what the protocol adds to each time limit
	leaveSlack   = 100 * time.Millisecond // maximum time from a client's leaving to the start of an attempt
	budgetSlack  = 150 * time.Millisecond // maximum excess of the time budget sent to a backend
	lateSlack    = 500 * time.Millisecond // an answer within this time after its budget is late and not lost
	maxStopped   = 150 * time.Millisecond
	killAfter    = 700 * time.Millisecond // SIGKILL follows SIGTERM after the longest deadline plus this time
	minServed    = 30                     // with fewer a run checks too little; a node that has learned of late answers rejects most
	connectGrace = 400 * time.Millisecond // clients open new connections for this long after SIGTERM
)

// arrival is an attempt whose last byte a backend has read.
type arrival struct {
	backend     int
	beganAt, at time.Time
	budget      time.Duration // value of X-Expires-In
	neverRan    bool
	key, method string
}

// period is a period in which the node was stopped.
type period struct{ from, to time.Time }

// soak is one run of one node.
type soak struct {
	t             *testing.T
	seed          uint64
	rng           *rand.Rand // used by the driver
	deadline      time.Duration
	secondShare   float64   // share of the answers that backends send twice
	registryAddrs [2]string // two addresses of one registry
	listen        string
	config        string // path of the configuration file

	mu              sync.Mutex
	revision        int
	draining        [soakBackends]bool
	drainListedAt   [soakBackends]time.Time // when the registry wrote the list in which it drains; zero if it has not
	drainSendableAt [soakBackends]time.Time // when the registry could send that list; zero if not before it did
	currentStall    stall
	stalls          int
	seconds         int           // second answers that backends sent
	changed         chan struct{} // closed at the next change of the list
	addrs           [soakBackends]string
	arrivals        map[string][]arrival
	stopped         []period
	requests        []*request
	violations      []string
	late            time.Duration // maximum delay of this process's own timers
	terminatedAt    time.Time     // when the first SIGTERM was sent
	done            chan struct{}
}

// request is one request of a client and its outcome.
type request struct {
	id, effect string
	budget     time.Duration
	writtenAt  time.Time // right before its last byte was written
	leftAt     time.Time // when its client closed the connection; zero if it waited
	first      bool      // first request of its connection
	status     int       // 0 if there was no answer
	body       string
	endedAt    time.Time
	err        error
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// run runs one node and returns the violations of the rules.
func (s *soak) run() []string {
	s.rng = rand.New(rand.NewPCG(s.seed, 1))
	s.deadline = [...]time.Duration{400 * time.Millisecond, time.Second, 3 * time.Second}[s.rng.IntN(3)]
	s.secondShare = [...]float64{0, 0.01, 0.1}[rand.New(rand.NewPCG(s.seed, 2)).IntN(3)]
	s.arrivals, s.changed, s.done, s.revision = map[string][]arrival{}, make(chan struct{}), make(chan struct{}), 1
	for i := range soakBackends {
		s.backend(i)
	}
	s.registry()
	s.listen = standin.ReserveAddr(s.t)
	s.config = s.t.TempDir() + "/config.json"
	s.configure(s.registryAddrs[0], false)
	cmd := exec.Command(os.Args[0])
	// Under the race detector a process would sleep for a second at its exit.
	cmd.Env = append(os.Environ(), "GLENCART_TEST_RUN=1", "BALANCER_CONFIG="+s.config, "GORACE=atexit_sleep_ms=0")
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	s.t.Cleanup(func() { cmd.Process.Kill() })
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get("http://" + s.listen + "/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(end) {
			s.t.Fatal("the node does not become ready")
		}
	}
	http.DefaultClient.CloseIdleConnections()
	var clients, watch sync.WaitGroup
	watch.Go(s.watchTimers)
	for i := range soakClients {
		clients.Go(func() { s.client(rand.New(rand.NewPCG(s.seed, uint64(100+i)))) })
	}
	s.injectFaults(cmd.Process)
	s.terminate(cmd.Process, ended)
	close(s.done)
	clients.Wait()
	watch.Wait()
	for i := range soakBackends {
		s.checkDrain(i)
	}
	s.checkRequests()
	return s.violations
}

// watchTimers measures the maximum delay of this process's timers.
func (s *soak) watchTimers() {
	const every = 5 * time.Millisecond
	for at := time.Now(); ; at = time.Now() {
		select {
		case <-s.done:
			return
		case <-time.After(every):
			s.mu.Lock()
			s.late = max(s.late, time.Since(at)-every)
			s.mu.Unlock()
		}
	}
}

// stopNode stops the node with SIGSTOP for a short time.
func (s *soak) stopNode(p *os.Process) {
	from := time.Now()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(maxStopped/3 + time.Duration(s.rng.Int64N(int64(maxStopped/2))))
	p.Signal(syscall.SIGCONT)
	s.mu.Lock()
	s.stopped = append(s.stopped, period{from, time.Now()})
	s.mu.Unlock()
}

// reload writes one or more new configurations and sends SIGHUP after each.
func (s *soak) reload(p *os.Process) {
	for n := 1 + s.rng.IntN(3); n > 0; n-- {
		s.configure(s.registryAddrs[s.rng.IntN(2)], s.rng.IntN(4) == 0)
		p.Signal(syscall.SIGHUP)
		time.Sleep(time.Duration(s.rng.IntN(20)) * time.Millisecond)
	}
}

// crowd opens connections that send nothing or stop within a request.
func (s *soak) crowd() {
	for range 150 {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			return
		}
		io.WriteString(c, [...]string{"", "", "P", "GET /api/x HTTP/1.1\r\nHost"}[s.rng.IntN(4)])
		s.t.Cleanup(func() { c.Close() })
	}
}

// injectFaults injects faults before SIGTERM.
func (s *soak) injectFaults(p *os.Process) {
	drained := -1
	for n := 6 + s.rng.IntN(5); n > 0; n-- {
		time.Sleep(time.Duration(50+s.rng.IntN(250)) * time.Millisecond)
		switch s.rng.IntN(8) {
		case 0, 1:
			if drained >= 0 {
				time.Sleep(max(0, time.Until(s.activeStall().until)) + drainGrace + 2*ruleSlack)
				s.checkDrain(drained)
				s.drain(drained, false)
			}
			drained = s.rng.IntN(soakBackends)
			s.drain(drained, true)
		case 2:
			s.reload(p)
		case 3:
			s.stopNode(p)
		case 4:
			if s.rng.IntN(2) == 0 {
				s.crowd()
			}
		case 5, 6:
			s.stallDiscovery()
		}
	}
}

// terminate sends SIGTERM, once or several times and with further faults, and SIGKILL as soon as the platform may
// send it.
func (s *soak) terminate(p *os.Process, ended <-chan error) {
	s.mu.Lock()
	s.terminatedAt = time.Now()
	s.mu.Unlock()
	p.Signal(syscall.SIGTERM)
	kill := time.After(s.deadline + killAfter)
	again := s.rng.IntN(3)
	next := time.After(time.Duration(s.rng.IntN(200)) * time.Millisecond)
	for {
		select {
		case <-next:
			switch s.rng.IntN(5) {
			case 0:
				s.stopNode(p)
			case 1:
				s.reload(p)
			case 2:
				s.drain(s.rng.IntN(soakBackends), true)
			case 3:
				s.stallDiscovery()
			}
			if next = nil; again > 0 {
				again--
				p.Signal(syscall.SIGTERM)
				next = time.After(time.Duration(s.rng.Int64N(int64(s.deadline))))
			}
		case err := <-ended:
			if err != nil {
				s.addViolation("the node ended with %v", err)
			}
			return
		case <-kill:
			p.Kill()
			s.addViolation("the node was still running %v after SIGTERM", time.Since(s.terminatedAt))
			<-ended
			return
		}
	}
}

// TestSoak runs a node for a short time with drains, reloads, stops of the process, crowds of connections and a
// stalling discovery, and ends it with one or more SIGTERM. In some runs backends send some answers twice. Clients reuse each
// connection for as long as it is open. It guards against lost requests, duplicate runs, answers of other requests, and requests to
// draining backends.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := &soak{t: t, seed: seed}
			faults := s.run()
			answered, served, crossed := 0, 0, 0
			for _, q := range s.requests {
				switch {
				case q.status == http.StatusOK:
					served++
					answered++
				case q.status > 0:
					answered++
				case q.leftAt.IsZero():
					crossed++
				}
			}
			t.Logf("deadline %v: %d requests, %d answered, %d served, %d without an answer; held up %d times, discovery %d; %d second answers; late by %v",
				s.deadline, len(s.requests), answered, served, crossed, len(s.stopped), s.stalls, s.seconds, s.late)
			if served < minServed {
				t.Errorf("%d requests, %d served: too few for a valid run", len(s.requests), served)
			}
			for i, f := range faults {
				if i < 10 {
					t.Error(f)
				}
			}
			if len(faults) > 10 {
				t.Errorf("and %d more", len(faults)-10)
			}
		})
	}
}
