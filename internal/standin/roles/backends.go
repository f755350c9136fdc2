package roles

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// BackendSetup is the configuration of a process with backends.
type BackendSetup struct {
	Count       int
	Concurrency int           // requests that one backend works on at once
	Work        time.Duration // of a request
	MaxQueue    int           // further requests are answered with 503 and X-Never-Ran
}

// FaultKind is a kind of fault of a backend.
type FaultKind string

// Kinds of faults.
const (
	Hangs    FaultKind = "hangs"    // it answers nothing, and continues with its requests afterwards
	Vanishes FaultKind = "vanishes" // it hangs, and connections to it never come up, as to a machine that is cut off
	Resets   FaultKind = "resets"   // it resets all its connections, once
)

// BackendFault is a fault of one backend.
type BackendFault struct {
	Backend int
	Kind    FaultKind
	For     time.Duration // not of Resets
}

// Arrival is an attempt at a backend.
type Arrival struct {
	Backend  int // index among all backends of its process
	ID       string
	At       time.Time // when the kernel had the request
	BegunAt  time.Time // zero if it never ran
	NeverRan bool
	Stray    string `json:",omitempty"` // a request without an id: its head and where it came from
}

// backend is one backend.
type backend struct {
	index    int
	setup    *BackendSetup
	records  *recorder
	listener *net.TCPListener
	slots    chan struct{}
	inFlight atomic.Int64

	mu        sync.Mutex
	hangUntil time.Time
	conns     map[net.Conn]bool
}

func runBackends(setup BackendSetup) {
	records := &recorder{}
	var backends []*backend
	var addrs []string
	for i := range setup.Count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		b := &backend{index: i, setup: &setup, records: records, listener: l.(*net.TCPListener),
			slots: make(chan struct{}, setup.Concurrency), conns: map[net.Conn]bool{}}
		backends, addrs = append(backends, b), append(addrs, l.Addr().String())
		go b.accept()
	}
	json.NewEncoder(os.Stdout).Encode(Report{Addrs: addrs})
	go records.watchTimers()
	receiveCommands(func(c Command) {
		for _, f := range c.Faults {
			backends[f.Backend].disturb(f)
		}
	})
	records.write()
}

func (b *backend) accept() {
	for {
		b.awaitAwake()
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// disturb begins a fault.
func (b *backend) disturb(f BackendFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.Kind == Resets {
		for c := range b.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		return
	}
	b.hangUntil = time.Now().Add(f.For)
	if f.Kind == Vanishes {
		go b.fillAcceptQueue(f.For)
	}
}

// fillAcceptQueue keeps the accept queue full for a time, so that the system answers no SYN.
func (b *backend) fillAcceptQueue(d time.Duration) {
	b.setBacklog(0)
	var waiting []net.Conn
	for range 4 { // one of them may be accepted, and the system lets in one more than the backlog
		if c, err := net.DialTimeout("tcp", b.listener.Addr().String(), 20*time.Millisecond); err == nil {
			waiting = append(waiting, c)
		}
	}
	time.Sleep(d)
	for _, c := range waiting {
		c.Close()
	}
	b.setBacklog(unix.SOMAXCONN)
}

func (b *backend) setBacklog(n int) {
	if raw, err := b.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { unix.Listen(int(fd), n) })
	}
}

// awaitAwake returns when the backend does not hang.
func (b *backend) awaitAwake() {
	b.mu.Lock()
	d := time.Until(b.hangUntil)
	b.mu.Unlock()
	time.Sleep(d)
}

// serve answers the requests of one connection.
func (b *backend) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	for r := bufio.NewReader(c); ; {
		if _, err := r.Peek(1); err != nil {
			return
		}
		at := lastReceived(c)
		hr, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, hr.Body); err != nil {
			return
		}
		if !b.answer(c, hr, at) {
			return
		}
	}
}

// answer answers one request. It reports whether the connection stays open.
func (b *backend) answer(c net.Conn, hr *http.Request, at time.Time) bool {
	if hr.URL.Path == "/stats" {
		b.awaitAwake()
		report := fmt.Sprintf("TEXT inflight=%d", b.inFlight.Load())
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		return err == nil
	}
	a := &Arrival{Backend: b.index, ID: hr.Header.Get("X-Trace-Id"), At: at}
	defer func() { b.records.add(Report{Arrival: a}) }()
	if a.ID == "" {
		a.NeverRan, a.Stray = true, fmt.Sprint(hr.Method, " ", hr.RequestURI, " ", hr.Header, " from ", c.RemoteAddr())
		_, err := io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	defer b.inFlight.Add(-1)
	if b.inFlight.Add(1) > int64(b.setup.Concurrency+b.setup.MaxQueue) {
		a.NeverRan = true
		_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	b.awaitAwake()
	a.BegunAt = time.Now()
	time.Sleep(b.setup.Work)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(a.ID), a.ID)
	return err == nil
}
