package main

// This test guards against a known incident. A fleet whose machine was short of processor time answered requests long after their time,
// or not at all, and sent requests to removed backends after the drain grace, when one list replaced most of the backends.
//
// A run consists of real nodes, their discovery agents, and backends and clients in processes of their own. Faults are drawn from a seed:
// how the backends are replaced, when busy processes take the processor, which nodes are stopped, restarted or crowded, and which
// backends hang. The rules are checked by the records of clients and backends, whose times are the kernel's.

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"glencart/internal/standin"
	"glencart/internal/standin/roles"
)

var (
	shortageSeeds    = flag.Int("shortage.seeds", 2, "number of seeds for TestShortOfProcessorTime")
	shortageFirst    = flag.Uint64("shortage.first", 1, "first seed of TestShortOfProcessorTime")
	shortageNodes    = flag.Int("shortage.nodes", 3*runtime.NumCPU(), "nodes of a run")
	shortageBusy     = flag.Int("shortage.busy", 5, "busy processes for each core")
	shortageRate     = flag.Float64("shortage.rate", 120, "requests a second to each node; their sum is what loads the backends")
	shortageNoProbes = flag.Bool("shortage.noprobes", false, "the settings permit no probes")
	shortageLogs     = flag.String("shortage.logs", "", "directory for the logs of the nodes")
	shortagePlain    = flag.Bool("shortage.plain", false, "one list replaces 16 of 26 backends; no fault but the busy processes")
)

const (
	shortageBackends, shortageRemoved = 26, 16
	// A backend works on shortageConcurrency requests at once, shortageWork each, and queues shortageQueue.
	shortageConcurrency, shortageQueue, shortageWork = 6, 64, 20 * time.Millisecond
	shortageClientProcesses                          = 4
	shortageTraffic                                  = 11 * time.Second // of a run
)

// shortageClasses are the classes of requests.
var shortageClasses = []roles.Class{
	{Name: "read", Method: http.MethodGet, Budget: 1400 * time.Millisecond},
	{Name: "order", Method: http.MethodPost, Budget: 560 * time.Millisecond},
	{Name: "token", Method: http.MethodPost, HasKey: true, Budget: time.Second},
}

// shortageNode is one node, with all processes that it has had.
type shortageNode struct {
	listen, discovery, config string

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	startedAt []time.Time
	ends      []nodeEnd
	stops     []period
}

// nodeEnd is the end of a process of a node. killed means SIGKILL without SIGTERM, which loses open requests.
type nodeEnd struct {
	at, terminatedAt time.Time
	isKill           bool
}

// shortage is one run.
type shortage struct {
	t        *testing.T
	rng      *rand.Rand
	plan     shortagePlan
	nodes    []*shortageNode
	agents   *agentProcess
	backends *roles.Process
	clients  []*roles.Process
	lists    shortageLists
	beganAt  time.Time // of the traffic
	busyFrom time.Time // zero: no busy processes
	busyTo   time.Time
	toldAt   []time.Time   // by revision, from 1 on: when the agents had it
	nodeTime time.Duration // processor time of all nodes, from their start
	stolen   time.Duration // processor time that the host took from this machine during the traffic

	mu         sync.Mutex
	violations []string
}

func (s *shortage) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// run runs the fleet.
func (s *shortage) run() {
	s.startBackends()
	s.agents = startAgentProcess(s.t, agentSetup{Nodes: s.plan.nodes, Lists: s.lists.texts})
	s.toldAt = append(s.toldAt, time.Time{})
	for i, addr := range s.agents.addrs {
		s.nodes = append(s.nodes, &shortageNode{discovery: addr, listen: standin.ReserveAddr(s.t)})
		s.writeConfig(i)
	}
	for i := range s.nodes {
		s.startNode(i)
	}
	for i, n := range s.nodes {
		if !awaitReady(n.listen) {
			s.t.Fatalf("node %d does not become ready", i)
		}
	}
	s.startClients()
	s.beganAt, s.stolen = time.Now(), stolenTime()
	s.injectFaults()
	time.Sleep(time.Until(s.beganAt.Add(shortageTraffic)))
	s.measureProcessorTime()
	for _, c := range s.clients {
		c.Stop(s.t)
	}
	s.backends.Stop(s.t)
}

// measureProcessorTime records the processor time of all nodes, and what the machine's host took from all processes.
func (s *shortage) measureProcessorTime() {
	for _, n := range s.nodes {
		n.mu.Lock()
		s.nodeTime += processorTime(n.cmd.Process.Pid)
		n.mu.Unlock()
	}
	s.stolen = stolenTime() - s.stolen
}

// stolenTime returns the time that the host of a virtual machine has taken from its processors, the eighth figure of the first line of
// /proc/stat, in hundredths of a second.
func stolenTime() time.Duration {
	text, _ := os.ReadFile("/proc/stat")
	fields := strings.Fields(string(text))
	if len(fields) < 9 {
		return 0
	}
	hundredths, _ := strconv.Atoi(fields[8])
	return time.Duration(hundredths) * 10 * time.Millisecond
}

func (s *shortage) startBackends() {
	s.backends = roles.Start(s.t, roles.Setup{Backends: &roles.BackendSetup{Count: shortageBackends + shortageRemoved,
		Concurrency: shortageConcurrency, Work: shortageWork, MaxQueue: shortageQueue}})
	s.lists = newShortageLists(s.plan, s.backends.Addrs(s.t))
}

func (s *shortage) startClients() {
	for i := range shortageClientProcesses {
		c := roles.Start(s.t, roles.Setup{Clients: &roles.ClientSetup{Seed: s.plan.seed, Rate: s.plan.rate, Classes: shortageClasses}})
		s.clients = append(s.clients, c)
		var command roles.Command
		for n := i; n < len(s.nodes); n += shortageClientProcesses {
			command.Nodes = append(command.Nodes, roles.NodeAddr{Node: n, Addr: s.nodes[n].listen})
		}
		c.Send(command)
	}
}

// writeConfig writes the configuration of a node. Its cached list is the first one, so a restarted node begins with an old list.
func (s *shortage) writeConfig(i int) {
	n := s.nodes[i]
	config := nodeConfig(n.listen, n.discovery, s.plan.seed*1000+uint64(i), time.Second)
	settings := config["settings"].(map[string]any)
	settings["nInstances"] = len(s.nodes)
	for j, class := range settings["classes"].([]any) {
		class := class.(map[string]any)
		class["deadline"], class["aim"] = int64(shortageClasses[j].Budget), int64(shortageClasses[j].Budget/2)
	}
	settings["limits"].(map[string]any)["probing"] = !*shortageNoProbes
	config["known"] = json.RawMessage(s.lists.texts[0])
	text, err := json.Marshal(config)
	if err != nil {
		s.t.Fatal(err)
	}
	n.config = filepath.Join(s.t.TempDir(), "config.json")
	if err := os.WriteFile(n.config, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// startNode starts a process of a node.
func (s *shortage) startNode(i int) {
	n := s.nodes[i]
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "GLENCART_TEST_RUN=1", "GORACE=atexit_sleep_ms=0", "BALANCER_CONFIG="+n.config)
	if *shortageLogs != "" {
		log, err := os.OpenFile(filepath.Join(*shortageLogs, fmt.Sprintf("%d-%d.log", s.plan.seed, i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			s.t.Error(err)
			return
		}
		defer log.Close()
		cmd.Stderr = log
	}
	if err := cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.startedAt = append(n.startedAt, time.Now())
	n.mu.Unlock()
	go func() {
		cmd.Wait()
		close(exited)
	}()
	s.t.Cleanup(func() {
		cmd.Process.Kill()
		<-exited
	})
}

// restart ends a node, with SIGTERM and at the earliest time of the platform SIGKILL or with SIGKILL alone, and starts it again.
func (s *shortage) restart(i int, isKill bool, pause time.Duration) {
	n := s.nodes[i]
	end := nodeEnd{terminatedAt: time.Now(), isKill: isKill}
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if isKill {
		cmd.Process.Kill()
	} else {
		cmd.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-exited:
	case <-time.After(shortageClasses[0].Budget + killAfter):
		cmd.Process.Kill()
		<-exited
		if !isKill {
			s.addViolation("lost: node %d was still running %v after SIGTERM", i, time.Since(end.terminatedAt))
		}
	}
	end.at = time.Now()
	if code := cmd.ProcessState.ExitCode(); !isKill && code != 0 {
		s.addViolation("crash: node %d ended with %d after SIGTERM", i, code)
	}
	n.mu.Lock()
	n.ends = append(n.ends, end)
	n.mu.Unlock()
	time.Sleep(pause)
	s.startNode(i)
}

// stop stops a node with SIGSTOP for a time.
func (s *shortage) stop(i int, d time.Duration) {
	n := s.nodes[i]
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	from := time.Now()
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	cmd.Process.Signal(syscall.SIGCONT)
	n.mu.Lock()
	n.stops = append(n.stops, period{from, time.Now()})
	n.mu.Unlock()
}

// occupy runs busy processes for a time.
func (s *shortage) occupy(d time.Duration) {
	count := *shortageBusy * runtime.NumCPU()
	if count == 0 {
		return
	}
	s.busyFrom = time.Now()
	for range count {
		roles.Start(s.t, roles.Setup{Busy: &roles.BusySetup{For: d}})
	}
	s.busyTo = s.busyFrom.Add(d)
}

// stopBackends stops the process of all backends for a time.
func (s *shortage) stopBackends(d time.Duration) {
	s.busyFrom = time.Now()
	s.backends.Cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	s.backends.Cmd.Process.Signal(syscall.SIGCONT)
	s.busyTo = time.Now()
}

// TestFleetReturnsAfterBackendsStop stops all backends at once. The probes that had no reply meanwhile, and their new connections, must
// not keep the fleet from serving once the backends run again.
func TestFleetReturnsAfterBackendsStop(t *testing.T) {
	plan := shortagePlan{seed: 1, nodes: *shortageNodes, rate: *shortageRate, replacement: replaceAtOnce, changeAt: 3 * time.Second,
		busyAt: 2500 * time.Millisecond, backendStop: 2 * time.Second}
	runShortage(t, plan)
}

// TestOwnWaitsLookLikeNoSlowBackends runs a fleet that waits for quiet connections: some backends of a new list fail while the machine is
// busy, and those that remain have few connections. These waits counted as answer times, and requests were rejected after the shortage.
func TestOwnWaitsLookLikeNoSlowBackends(t *testing.T) {
	const seed = 13
	runShortage(t, newShortagePlan(seed))
}

// runShortage runs a plan and checks it.
func runShortage(t *testing.T, plan shortagePlan) {
	t.Log(plan)
	s := &shortage{t: t, plan: plan, rng: rand.New(rand.NewPCG(plan.seed, 2))}
	s.run()
	s.check()
	s.report()
}

// TestShortOfProcessorTime runs fleets that are short of processor time while their backends are replaced.
func TestShortOfProcessorTime(t *testing.T) {
	for i := range *shortageSeeds {
		seed := *shortageFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runShortage(t, newShortagePlan(seed))
		})
	}
}

// report fails the test for each violation.
func (s *shortage) report() {
	const most = 12
	for i, v := range s.violations {
		if i < most {
			s.t.Error(v)
		}
	}
	if len(s.violations) > most {
		s.t.Errorf("and %d more", len(s.violations)-most)
	}
}
