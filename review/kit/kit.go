// Package kit starts the project's programs as separate processes for the cases of the review, and writes down what was sent, answered
// and run. Each case is a program of its own under review/N.
package kit

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// caseTimeout ends a case that takes too long. A case may run for 120 s.
const caseTimeout = 112 * time.Second

// Run is one run of a case.
type Run struct {
	Trouble bool   // false: the same without the disruption
	Root    string // of the repository
	Dir     string // temporary

	began time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*Proc
	ports  []int
}

// failure ends a case that could not run.
type failure string

// Fatalf ends the run as one that could not run.
func (r *Run) Fatalf(format string, args ...any) { panic(failure(fmt.Sprintf(format, args...))) }

// Logf writes a line to the record.
func (r *Run) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Main runs a case and exits with its code. The case returns whether its rule was broken.
func Main(run func(r *Run) (broken bool)) {
	record := flag.String("record", "record.txt", "where the record is written")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if r.Root, err = filepath.Abs(*root); err == nil {
		if r.record, err = os.Create(*record); err == nil {
			r.Dir, err = os.MkdirTemp("", "glencart-review")
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NoRun)
	}
	r.Logf("trouble=%v", r.Trouble)
	var once sync.Once
	end := func(code int, why string) {
		once.Do(func() {
			r.Logf("%s: exit %d", why, code)
			fmt.Printf("%s: exit %d\n", why, code)
			r.cleanup()
			os.Exit(code)
		})
		select {} // another goroutine ends the process
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case s := <-signals:
			end(NoRun, "signal: "+s.String())
		case <-time.After(caseTimeout):
			end(NoRun, "the case took too long")
		}
	}()
	defer func() {
		if p := recover(); p != nil {
			f, ok := p.(failure)
			if !ok {
				r.cleanup()
				panic(p)
			}
			end(NoRun, "could not run: "+string(f))
		}
	}()
	if run(r) {
		end(Broken, "the rule was broken")
	}
	end(Held, "the rule held")
}

func (r *Run) cleanup() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		select {
		case <-p.Ended:
		case <-time.After(2 * time.Second):
		}
	}
	os.RemoveAll(r.Dir)
}

// Port returns a loopback port that is free for TCP and UDP, a different one each time.
func (r *Run) Port() int {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			break
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		taken := false
		for _, p := range r.ports {
			taken = taken || p == port
		}
		if !taken {
			r.ports = append(r.ports, port)
			return port
		}
	}
	r.Fatalf("no free port")
	return 0
}

// Addr returns a loopback address that is free.
func (r *Run) Addr() string { return fmt.Sprintf("127.0.0.1:%d", r.Port()) }

// Write writes a file below the temporary folder and returns its path.
func (r *Run) Write(name, text string) string {
	path := filepath.Join(r.Dir, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		r.Fatalf("%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		r.Fatalf("%v", err)
	}
	return path
}

// Proc is a process that the case started.
type Proc struct {
	r     *Run
	name  string
	cmd   *exec.Cmd
	log   string
	Ended chan struct{} // closed once it has ended
}

// Start starts the program of the deploy file, with arguments behind its run command and extra variables of the environment.
func (r *Run) Start(name string, env []string, args ...string) *Proc {
	p := &Proc{r: r, name: name, log: filepath.Join(r.Dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())), Ended: make(chan struct{})}
	words := ""
	for _, a := range args {
		words += " '" + strings.ReplaceAll(a, "'", `'\''`) + "'"
	}
	p.cmd = exec.Command("/bin/sh", "-c", "exec bin/glencart"+words)
	p.cmd.Dir = r.Root
	p.cmd.Env = append(os.Environ(), env...)
	f, err := os.Create(p.log)
	if err != nil {
		r.Fatalf("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		r.Fatalf("%s: %v", name, err)
	}
	f.Close()
	go func() { p.cmd.Wait(); close(p.Ended) }()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.Logf("started %s, process %d", name, p.cmd.Process.Pid)
	return p
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) {
	p.r.Logf("%s to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

// Log returns what the process has written.
func (p *Proc) Log() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// AwaitLog waits until the log has a text.
func (p *Proc) AwaitLog(text string, most time.Duration) {
	p.r.Await(p.name+" logs "+text, most, func() bool { return strings.Contains(p.Log(), text) })
}

// Await waits until a condition holds.
func (r *Run) Await(what string, most time.Duration, holds func() bool) {
	for end := time.Now().Add(most); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			r.mu.Lock()
			for _, p := range r.procs {
				fmt.Fprintf(r.record, "--- log of %s\n%s\n", p.name, tail(p.Log()))
			}
			r.mu.Unlock()
			r.Fatalf("waited %v in vain: %s", most, what)
		}
	}
}

// Output runs a verb of the program and returns what it writes to standard output.
func (r *Run) Output(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(r.Root, "bin/glencart"), args...)
	cmd.Dir = r.Root
	out, err := cmd.Output()
	return string(out), err
}

func tail(s string) string {
	if len(s) > 4000 {
		return s[len(s)-4000:]
	}
	return s
}

// DumpLog writes the end of a process's log to the record.
func (p *Proc) DumpLog() { p.r.Logf("log of %s:\n%s", p.name, tail(p.Log())) }

// Accepts reports whether something takes connections at an address.
func Accepts(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err == nil {
		c.Close()
	}
	return err == nil
}
