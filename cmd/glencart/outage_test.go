package main

// This test guards against a known incident. After an outage of discovery, nodes sent requests to removed
// backends 0.3 to 1.2 s after the drain grace. The discovery agents had been held up. They came back with
// thousands of queued calls, or slower than before. A node called eight times a second and gave each call up
// after 375 ms, one of them after 1 s. It never accepted an answer that took longer, and the calls that it gave
// up kept the agent slow. The cause was proven with an agent that answers 1.1 s late or handles calls one after
// another. It writes one whole answer after another, while the node's log lists every call as given up.
//
// A run consists of real nodes, one process with the agents of all nodes, and clients that send requests all
// the time. The agents fail and come back with a list that lacks two backends. No new request may reach these
// backends later than the grace after the agents can send the list, or after a node's agent has written its
// first whole answer with that list if that is later.

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"glencart/internal/standin"
)

var (
	outageSweep = flag.String("outage.sweep", "",
		"run the cells of the table whose name contains this text, one at a time, instead of the default cells; all: every cell")
	outageSeed = flag.Uint64("outage.seed", 1, "seed for the times at which agents fail and come back")
)

// outageCell is one kind of outage.
type outageCell struct {
	kind   agentKind // during the outage
	outage time.Duration
	back   agentState // after the outage
	nodes  int
}

// String describes the cell. The sweep flag selects cells by this text.
func (c outageCell) String() string {
	s := fmt.Sprintf("%s %v", c.kind, c.outage)
	if c.back.Delay > 0 {
		s += fmt.Sprintf(", then answers take %v", c.back.Delay)
	}
	if c.back.Kind == agentInPieces {
		s += " in pieces"
	}
	if c.back.Turn > 0 {
		s += fmt.Sprintf(", then in turn %v each", c.back.Turn)
	}
	return fmt.Sprintf("%s, nodes %d", s, c.nodes)
}

// outageCells returns the cells of every test run. Without the fix that keeps calls open, nodes in three of them
// never applied the list.
func outageCells() []outageCell {
	const outage, long = 1500 * time.Millisecond, 6200 * time.Millisecond
	return []outageCell{
		{agentSilent, outage, agentState{Delay: 1100 * time.Millisecond}, 2},
		{agentSilent, outage, agentState{Turn: 200 * time.Millisecond}, 1},
		{agentUnread, long, agentState{Turn: 100 * time.Millisecond}, 1},
		{agentStopped, long, agentState{Turn: 100 * time.Millisecond}, 1},
		{agentBusy, outage, agentState{Kind: agentInPieces, Delay: 1200 * time.Millisecond}, 2},
	}
}

// sweepCells returns the cells of the full table.
func sweepCells() (cells []outageCell) {
	const usual = 6 * time.Second
	for _, kind := range []agentKind{agentStopped, agentUnread, agentSilent, agentRefuses, agentBusy, agentCuts} {
		for _, outage := range []time.Duration{300 * time.Millisecond, 2 * time.Second, usual, 20 * time.Second, time.Minute} {
			cells = append(cells, outageCell{kind, outage, agentState{}, 1})
		}
	}
	for _, delay := range []time.Duration{
		300 * time.Millisecond, 600 * time.Millisecond, 1100 * time.Millisecond, 2 * time.Second, 3 * time.Second,
	} {
		cells = append(cells, outageCell{agentSilent, usual, agentState{Delay: delay}, 1},
			outageCell{agentStopped, usual, agentState{Delay: delay}, 1},
			outageCell{agentSilent, usual, agentState{Kind: agentInPieces, Delay: delay}, 1})
	}
	for _, turn := range []time.Duration{30 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		for _, kind := range []agentKind{agentSilent, agentStopped} {
			cells = append(cells, outageCell{kind, usual, agentState{Turn: turn}, 1})
		}
	}
	cells = append(cells, outageCell{agentStopped, time.Minute, agentState{Turn: 100 * time.Millisecond}, 1})
	for _, nodes := range []int{40, 167} {
		cells = append(cells, outageCell{agentStopped, usual, agentState{}, nodes}, outageCell{agentSilent, usual, agentState{}, nodes},
			outageCell{agentStopped, usual, agentState{Turn: 400 * time.Microsecond}, nodes},
			outageCell{agentSilent, usual, agentState{Delay: 1100 * time.Millisecond}, nodes})
	}
	return cells
}

const (
	// outageClients send requests to each node at the same time. Each waits outagePause after its last answer.
	// With more than outageManyNodes nodes the pause is longer, so that the machine can run them all.
	outageClients, outagePause, outageManyNodes = 2, 20 * time.Millisecond, 8
	// outageWatchTime is how long nodes are watched after the agents' return.
	outageWatchTime = 4 * time.Second
)

// outage is one run.
type outage struct {
	t     testing.TB
	cell  outageCell
	rng   *rand.Rand
	nodes []*outageNode
	setup agentSetup

	commands *json.Encoder
	agent    *os.Process
	applied  chan time.Time

	mu             sync.Mutex
	arrivals       []outageArrival // at backends that are removed later
	calls          []int           // by node: calls at its agent
	listSentAt     [][]time.Time   // by node: when its agent had written the later list in whole
	listSendableAt time.Time
	late           time.Duration
	done           chan struct{}
}

type outageArrival struct {
	node int
	at   time.Time
}

// outageNode is one node process.
type outageNode struct {
	listen, admin  string
	process        *os.Process
	applied        chan time.Time // when the node logged the later list
	appliedAt      time.Time
	maxDescriptors int // maximum of open descriptors
	cpu            time.Duration
	counters       map[string]int
}

func (o *outage) run() (faults []string) {
	o.done = make(chan struct{})
	o.backends()
	o.startAgents()
	var wait sync.WaitGroup
	for i := range o.nodes {
		wait.Go(func() { o.startNode(i) })
	}
	wait.Wait()
	if o.t.Failed() {
		return nil
	}
	wait.Go(o.watch)
	for i := range o.nodes {
		for range outageClients {
			wait.Go(func() { o.client(i) })
		}
	}
	time.Sleep(time.Second + time.Duration(o.rng.Int64N(int64(300*time.Millisecond))))
	o.injectOutage()
	for _, n := range o.nodes {
		select {
		case n.appliedAt = <-n.applied:
		case <-time.After(time.Until(o.listSendableAt.Add(outageWatchTime + 2*o.cell.back.Delay + 20*o.cell.back.Turn))):
		}
	}
	time.Sleep(time.Until(o.listSendableAt.Add(outageWatchTime)))
	for _, n := range o.nodes {
		n.measure()
	}
	close(o.done)
	wait.Wait()
	return o.violations()
}

// injectOutage makes the agents fail, and come back with the later list.
func (o *outage) injectOutage() {
	back := o.cell.back
	back.Revision = 2
	duration := o.cell.outage + time.Duration(o.rng.Int64N(int64(130*time.Millisecond)))
	if o.cell.kind == agentStopped {
		o.agent.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		o.commands.Encode(back)
		o.mu.Lock()
		o.listSendableAt = time.Now()
		o.mu.Unlock()
		o.agent.Signal(syscall.SIGCONT)
		standin.Receive(o.t, "the agents' return", o.applied)
		return
	}
	o.commands.Encode(agentState{Kind: o.cell.kind, Revision: 1})
	standin.Receive(o.t, "the outage", o.applied)
	time.Sleep(duration)
	o.commands.Encode(back)
	at := standin.Receive(o.t, "the agents' return", o.applied)
	o.mu.Lock()
	o.listSendableAt = at
	o.mu.Unlock()
}

// violations returns the violations of the drain rule.
func (o *outage) violations() (faults []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, n := range o.nodes {
		if n.appliedAt.IsZero() {
			faults = append(faults, fmt.Sprintf("node %d never applied the list; its agent had %d calls and wrote %d whole answers with it",
				i, o.calls[i], len(o.listSentAt[i])))
		}
	}
	for _, a := range o.arrivals {
		bound := o.listSendableAt
		if of := o.listSentAt[a.node]; len(of) > 0 && of[0].After(bound) {
			bound = of[0]
		} else if len(of) == 0 {
			continue // the agent has not sent the list
		}
		if late := a.at.Sub(bound); late > drainGrace+ruleSlack+o.late {
			faults = append(faults, fmt.Sprintf(
				"node %d sent a request to a removed backend %v after its agent could send and had written the list in whole", a.node, late))
		}
	}
	return faults
}

// backends starts four backends, of which two are removed later, and encodes the lists.
func (o *outage) backends() {
	addrs := map[string]string{}
	for _, id := range []string{"s-0", "s-1", "s-2", "s-3"} {
		removed := id < "s-2"
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if node, _, ok := strings.Cut(r.Header.Get("X-Trace-Id"), "-"); ok && removed {
				i, _ := strconv.Atoi(node)
				o.mu.Lock()
				o.arrivals = append(o.arrivals, outageArrival{i, time.Now()})
				o.mu.Unlock()
			}
			io.WriteString(w, r.Header.Get("X-Trace-Id"))
		}))
		o.t.Cleanup(s.Close)
		addrs[id] = s.Listener.Addr().String()
	}
	o.setup = agentSetup{Nodes: o.cell.nodes, Lists: []string{
		listText(1, addrs, "s-0", "s-1", "s-2", "s-3"),
		listText(2, addrs, "s-2", "s-3"),
	}}
}

// command returns a command that runs this test binary in another role.
func (o *outage) command(env ...string) (cmd *exec.Cmd) {
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), "GORACE=atexit_sleep_ms=0"), env...)
	return cmd
}

func (o *outage) startProcess(cmd *exec.Cmd) {
	if err := cmd.Start(); err != nil {
		o.t.Fatal(err)
	}
	o.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
}

func (o *outage) startAgents() {
	text, _ := json.Marshal(o.setup)
	cmd := o.command(agentEnv + "=" + string(text))
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	cmd.Stderr = os.Stderr
	o.startProcess(cmd)
	o.commands, o.agent = json.NewEncoder(in), cmd.Process
	o.calls, o.listSentAt, o.applied = make([]int, o.cell.nodes), make([][]time.Time, o.cell.nodes), make(chan time.Time, 4)
	addrs := make(chan []string, 1)
	go func() {
		for lines := json.NewDecoder(out); ; {
			var l agentReport
			if lines.Decode(&l) != nil {
				return
			}
			o.mu.Lock()
			switch {
			case l.Addrs != nil:
				addrs <- l.Addrs
			case l.Obeyed:
				o.applied <- l.At
			case l.Revision == 2:
				o.listSentAt[l.Node] = append(o.listSentAt[l.Node], l.At)
			case l.Revision == 0:
				o.calls[l.Node]++
			}
			o.mu.Unlock()
		}
	}()
	for _, addr := range standin.Receive(o.t, "the agents", addrs) {
		o.nodes = append(o.nodes, &outageNode{admin: addr, applied: make(chan time.Time, 1)})
	}
}

// startNode starts one node and waits until it is ready.
func (o *outage) startNode(i int) {
	n := o.nodes[i]
	discovery := n.admin
	n.listen, n.admin = standin.ReserveAddr(o.t), standin.ReserveAddr(o.t)
	path := filepath.Join(o.t.TempDir(), "config.json")
	config := nodeConfig(n.listen, discovery, uint64(i+1), time.Second)
	config["management"] = n.admin
	text, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		o.t.Error(err)
		return
	}
	cmd := o.command("GLENCART_TEST_RUN=1", "BALANCER_CONFIG="+path)
	logged, _ := cmd.StderrPipe()
	o.startProcess(cmd)
	n.process = cmd.Process
	go func() {
		for lines := bufio.NewScanner(logged); lines.Scan(); {
			if line := lines.Text(); strings.Contains(line, `msg="list taken" revision=2`) {
				n.applied <- time.Now()
			} else if testing.Verbose() && o.cell.nodes < 3 && strings.Contains(line, "discovery") {
				o.t.Log(line)
			}
		}
	}()
	for end := time.Now().Add(standin.Patience); ; time.Sleep(20 * time.Millisecond) {
		if resp, err := http.Get("http://" + n.admin + "/control/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			o.t.Errorf("node %d does not become ready", i)
			return
		}
	}
}

// client sends requests to one node all the time.
func (o *outage) client(node int) {
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-o.done:
			return
		case <-time.After(outagePause * time.Duration(max(1, len(o.nodes)/outageManyNodes))):
		}
		r, _ := http.NewRequest("GET", "http://"+o.nodes[node].listen+"/api/x", nil)
		r.Header.Set("X-Trace-Id", fmt.Sprintf("%d-%x", node, rand.Uint64()))
		r.Header.Set("X-Qos", "read")
		r.Header.Set("X-Expires-In", "1.000")
		if resp, err := c.Do(r); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
}

// watch measures the delay of this process's timers and the open descriptors of the nodes.
func (o *outage) watch() {
	const every = 10 * time.Millisecond
	for n := 0; ; n++ {
		at := time.Now()
		select {
		case <-o.done:
			return
		case <-time.After(every):
		}
		late := time.Since(at) - every
		o.mu.Lock()
		o.late = max(o.late, late)
		o.mu.Unlock()
		if node := o.nodes[n%len(o.nodes)]; n%4 == 0 {
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.process.Pid))
			node.maxDescriptors = max(node.maxDescriptors, len(open))
		}
	}
}

// measure reads the node's counters and its CPU time.
func (n *outageNode) measure() {
	n.counters = map[string]int{}
	if resp, err := http.Get("http://" + n.admin + "/control/counters"); err == nil {
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		for line := range strings.Lines(string(text)) {
			name, number, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(line), "app."), "=")
			n.counters[name], _ = strconv.Atoi(number)
		}
	}
	n.cpu = processorTime(n.process.Pid)
}

// processorTime returns the CPU time of a process. It adds the 14th and 15th fields of /proc/PID/stat, in
// hundredths of a second.
func processorTime(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// row formats the measurements: the delay from the agents' return until the list was applied, and means per
// node.
func (o *outage) row(faults int) string {
	var delays []time.Duration
	never, sockets := 0, 0
	sum := map[string]int{}
	var cpu time.Duration
	for _, n := range o.nodes {
		if n.appliedAt.IsZero() {
			never++
		} else {
			delays = append(delays, n.appliedAt.Sub(o.listSendableAt))
		}
		for name, number := range n.counters {
			sum[name] += number
		}
		sockets, cpu = max(sockets, n.maxDescriptors), cpu+n.cpu
	}
	slices.Sort(delays)
	median, worst := "never", "never"
	if len(delays) > 0 {
		median = fmt.Sprintf("%.2f", delays[len(delays)/2].Seconds())
	}
	if never == 0 {
		worst = fmt.Sprintf("%.2f", delays[len(delays)-1].Seconds())
	}
	nodes := len(o.nodes)
	agentCPU := processorTime(o.agent.Pid)
	return fmt.Sprintf("| %s | %s | %s | %d | %d | %d | %d | %d | %.2f | %.2f | %d |",
		o.cell, median, worst, sum["discovery.calls_begun"]/nodes,
		sum["discovery.calls_given_up"]/nodes, sum["discovery.answers_late"]/nodes, sum["discovery.answers_not_taken"]/nodes, sockets,
		cpu.Seconds()/float64(nodes), agentCPU.Seconds(), faults)
}

// TestRemovedBackendsAfterAnOutage runs discovery outages after which the agents answer slowly. Removed
// backends must get no new request after the drain grace.
func TestRemovedBackendsAfterAnOutage(t *testing.T) {
	cells := outageCells()
	if *outageSweep != "" {
		cells = slices.DeleteFunc(sweepCells(), func(c outageCell) bool {
			return *outageSweep != "all" && !strings.Contains(c.String(), *outageSweep)
		})
		fmt.Println(
			"| outage | taken after, median, s | worst | calls begun | given up | answered late | not taken | descriptors | CPU of a node, s | of the agents | faults |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	}
	for _, cell := range cells {
		t.Run(cell.String(), func(t *testing.T) {
			if *outageSweep == "" {
				t.Parallel()
			}
			o := &outage{t: t, cell: cell, rng: rand.New(rand.NewPCG(*outageSeed, 1))}
			faults := o.run()
			if *outageSweep != "" {
				fmt.Println(o.row(len(faults)))
			}
			for i, f := range faults {
				if i < 3 {
					t.Error(f)
				}
			}
			if len(faults) > 3 {
				t.Errorf("and %d more", len(faults)-3)
			}
		})
	}
}
