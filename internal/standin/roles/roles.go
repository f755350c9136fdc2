// Package roles runs the surroundings of a fleet of nodes, its clients and its backends, in processes of their own, so that a test can
// separate the delays of its own side from those of the nodes. A test binary starts itself once more for each process: Start passes the role
// in the environment, and RunIfAsked, called from TestMain, runs it.
//
// Times of arrival are the kernel's (tcpi_last_data_recv of tcp(7)), in steps of a few milliseconds. They hold even if the process that
// records them was held up.
package roles

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"testing"
	"time"

	"glencart/internal/sock"
	"glencart/internal/standin"
)

// roleEnv is the environment variable with the setup of a process.
const roleEnv = "GLENCART_TEST_ROLE"

// Setup is the start configuration of a process: exactly one field is set.
type Setup struct {
	Clients  *ClientSetup  `json:",omitempty"`
	Backends *BackendSetup `json:",omitempty"`
	Busy     *BusySetup    `json:",omitempty"`
}

// BusySetup is the configuration of a process that does nothing but compute.
type BusySetup struct{ For time.Duration }

// Command is a line of JSON on the standard input of a process.
type Command struct {
	// Nodes adds nodes to send requests to.
	Nodes []NodeAddr `json:",omitempty"`
	// Faults disturbs backends.
	Faults []BackendFault `json:",omitempty"`
	// Crowd opens this many silent connections to each of these nodes.
	Crowd *CrowdCommand `json:",omitempty"`
	// Stop ends the process after it has reported what it has recorded.
	Stop bool `json:",omitempty"`
}

// Report is a line of JSON on the standard output of a process.
type Report struct {
	Addrs    []string  `json:",omitempty"` // at the start, of backends
	Request  *Request  `json:",omitempty"` // a request of a client
	Arrival  *Arrival  `json:",omitempty"` // an attempt at a backend
	Lateness *Lateness `json:",omitempty"` // of the process itself
}

// Lateness is a delay of a timer of the reporting process.
type Lateness struct {
	At time.Time
	By time.Duration
}

// RunIfAsked runs the role in the environment and exits, if there is one.
func RunIfAsked() {
	text := os.Getenv(roleEnv)
	if text == "" {
		return
	}
	var setup Setup
	if err := json.Unmarshal([]byte(text), &setup); err != nil {
		panic(err)
	}
	switch {
	case setup.Clients != nil:
		runClients(*setup.Clients)
	case setup.Backends != nil:
		runBackends(*setup.Backends)
	case setup.Busy != nil:
		for end := time.Now().Add(setup.Busy.For); time.Now().Before(end); {
			runtime.KeepAlive(end) // a loop that only reads the clock
		}
	}
	os.Exit(0)
}

// Process is a running role.
type Process struct {
	Cmd      *exec.Cmd
	commands *json.Encoder
	first    chan Report
	ended    chan struct{}

	Requests []Request // valid after Stop, like the next two
	Arrivals []Arrival
	Late     []Lateness
}

// Start starts a process. It ends with the test.
func Start(t testing.TB, setup Setup) *Process {
	t.Helper()
	text, err := json.Marshal(setup)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleEnv+"="+string(text), "GORACE=atexit_sleep_ms=0")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &Process{Cmd: cmd, commands: json.NewEncoder(in), first: make(chan Report, 1), ended: make(chan struct{})}
	go p.receive(out)
	t.Cleanup(func() {
		cmd.Process.Kill()
		<-p.ended
		cmd.Wait()
	})
	return p
}

func (p *Process) receive(out io.Reader) {
	defer close(p.ended)
	for lines := json.NewDecoder(bufio.NewReaderSize(out, 1<<20)); ; {
		var r Report
		if lines.Decode(&r) != nil {
			return
		}
		switch {
		case r.Request != nil:
			p.Requests = append(p.Requests, *r.Request)
		case r.Arrival != nil:
			p.Arrivals = append(p.Arrivals, *r.Arrival)
		case r.Lateness != nil:
			p.Late = append(p.Late, *r.Lateness)
		default:
			p.first <- r
		}
	}
}

// Addrs returns the addresses that the process reported at its start.
func (p *Process) Addrs(t testing.TB) []string {
	t.Helper()
	return standin.Receive(t, "the addresses of a process", p.first).Addrs
}

// Send sends a command.
func (p *Process) Send(c Command) { p.commands.Encode(c) }

// Stop ends the process and waits for what it has recorded.
func (p *Process) Stop(t testing.TB) {
	t.Helper()
	p.Send(Command{Stop: true})
	select {
	case <-p.ended:
	case <-time.After(3 * standin.Patience):
		t.Fatal("a process of the test does not end")
	}
}

// lastReceived returns when the kernel last received data on a connection. Both of its sources have to be read without a pause of this
// process between them.
func lastReceived(c net.Conn) time.Time {
	const maxPause, tries = 2 * time.Millisecond, 20
	for try := 1; ; try++ {
		before := time.Now()
		since, _ := sock.SinceLastReceive(c)
		if after := time.Now(); after.Sub(before) < maxPause || try == tries {
			return after.Add(-since)
		}
	}
}

// recorder collects reports in memory, so that the process writes nothing during the run.
type recorder struct {
	mu      sync.Mutex
	reports []Report
}

func (r *recorder) add(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, report)
}

// write writes all reports to standard output.
func (r *recorder) write() {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := bufio.NewWriterSize(os.Stdout, 1<<20)
	defer out.Flush()
	for encoder := json.NewEncoder(out); len(r.reports) > 0; r.reports = r.reports[1:] {
		if err := encoder.Encode(r.reports[0]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return
		}
	}
}

// Timers of a process are checked every latenessInterval; delays from minLateness on are reported.
const latenessInterval, minLateness = 5 * time.Millisecond, 20 * time.Millisecond

// watchTimers reports the delays of the timers of this process.
func (r *recorder) watchTimers() {
	for at := time.Now(); ; at = time.Now() {
		time.Sleep(latenessInterval)
		if now := time.Now(); now.Sub(at)-latenessInterval >= minLateness {
			r.add(Report{Lateness: &Lateness{At: now, By: now.Sub(at) - latenessInterval}})
		}
	}
}

// receiveCommands calls handle for each command until Stop or the end of the input.
func receiveCommands(handle func(Command)) {
	for in := json.NewDecoder(os.Stdin); ; {
		var c Command
		if in.Decode(&c) != nil || c.Stop {
			return
		}
		handle(c)
	}
}
