package roles

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Class is a class of requests.
type Class struct {
	Name, Method string
	HasKey       bool
	Budget       time.Duration
}

// ClientSetup is the configuration of a process with clients.
type ClientSetup struct {
	Seed    uint64
	Rate    float64 // requests a second to each node
	Classes []Class
}

// NodeAddr is a node to send requests to.
type NodeAddr struct {
	Node int
	Addr string
}

// CrowdCommand opens connections that send nothing.
type CrowdCommand struct {
	Addrs []string
	Count int // to each
	For   time.Duration
}

// Request is a request of a client and its outcome.
type Request struct {
	Node, Class int
	ID          string
	IsFirst     bool      // of its connection
	WrittenFrom time.Time // right before and right after its only write
	WrittenTo   time.Time
	Status      int       // 0: there was no answer
	Body        string    `json:",omitempty"`
	EndedAt     time.Time // when the kernel had the last byte of the answer, or when the client stopped waiting
	Error       string    `json:",omitempty"`
}

// answerPatience is how long a client waits for an answer beyond its budget.
const answerPatience = 2500 * time.Millisecond

// dialPatience is how long a client waits for a connection.
const dialPatience = 2 * time.Second

// clients are the clients of one process.
type clients struct {
	setup   ClientSetup
	records recorder
	stop    chan struct{}
	open    sync.WaitGroup // requests in progress
}

func runClients(setup ClientSetup) {
	c := &clients{setup: setup, stop: make(chan struct{})}
	go c.records.watchTimers()
	var nodes sync.WaitGroup
	receiveCommands(func(command Command) {
		for _, n := range command.Nodes {
			nodes.Go(func() { c.sendTo(n) })
		}
		if crowd := command.Crowd; crowd != nil {
			go openCrowd(*crowd)
		}
	})
	close(c.stop)
	nodes.Wait()
	c.open.Wait()
	c.records.write()
}

// openCrowd opens silent connections and closes them later.
func openCrowd(crowd CrowdCommand) {
	var conns []net.Conn
	for _, addr := range crowd.Addrs {
		for range crowd.Count {
			if c, err := net.DialTimeout("tcp", addr, dialPatience); err == nil {
				conns = append(conns, c)
			}
		}
	}
	time.Sleep(crowd.For)
	for _, c := range conns {
		c.Close()
	}
}

// idleConns are the connections to one node that carry no request.
type idleConns struct {
	mu    sync.Mutex
	conns []*clientConn
}

func (p *idleConns) take() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) == 0 {
		return nil
	}
	last := p.conns[len(p.conns)-1]
	p.conns = p.conns[:len(p.conns)-1]
	return last
}

func (p *idleConns) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

// clientConn is a connection to a node.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	sent   int // requests so far
}

// sendTo sends requests to one node at random times until stop. Requests do not wait for earlier ones.
func (c *clients) sendTo(n NodeAddr) {
	rng := rand.New(rand.NewPCG(c.setup.Seed, uint64(n.Node)))
	idle := &idleConns{}
	for {
		pause := time.NewTimer(time.Duration(rng.ExpFloat64() / c.setup.Rate * float64(time.Second)))
		select {
		case <-c.stop:
			pause.Stop()
			return
		case <-pause.C:
		}
		q := &Request{Node: n.Node, Class: rng.IntN(len(c.setup.Classes)), ID: fmt.Sprintf("%04d-%016x", n.Node, rng.Uint64())}
		c.open.Go(func() { c.send(n.Addr, idle, q) })
	}
}

// send sends one request. If the connection ended before the request could be read, it sends it once more on a new one.
func (c *clients) send(addr string, idle *idleConns, q *Request) {
	conn := idle.take()
	if conn == nil {
		if conn = dial(addr); conn == nil {
			return // the node is not running
		}
	}
	q.IsFirst = conn.sent == 0
	conn.sent++
	class := &c.setup.Classes[q.Class]
	q.WrittenFrom = time.Now()
	if _, err := io.WriteString(conn, requestText(class, q.ID)); err != nil {
		conn.Close()
		return // the connection ended before the last byte
	}
	q.WrittenTo = time.Now()
	if c.receive(conn, class, q) {
		idle.put(conn)
	} else {
		conn.Close()
	}
	c.records.add(Report{Request: q})
}

func dial(addr string) *clientConn {
	nc, err := net.DialTimeout("tcp", addr, dialPatience)
	if err != nil {
		return nil
	}
	return &clientConn{Conn: nc, reader: bufio.NewReader(nc)}
}

// receive reads the answer to a request. It reports whether the connection can carry another one.
func (c *clients) receive(conn *clientConn, class *Class, q *Request) bool {
	conn.SetReadDeadline(q.WrittenTo.Add(class.Budget + answerPatience))
	resp, err := http.ReadResponse(conn.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		q.EndedAt, q.Error = time.Now(), err.Error()
		return false
	}
	q.EndedAt = lastReceived(conn.Conn)
	q.Status, q.Body = resp.StatusCode, string(body)
	return !resp.Close
}

func requestText(class *Class, id string) string {
	text := class.Method + " /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + class.Name +
		fmt.Sprintf("\r\nX-Expires-In: %.3f\r\n", class.Budget.Seconds())
	if class.HasKey {
		text += "Idempotency-Key: key-" + id + "\r\n"
	}
	if class.Method == http.MethodGet {
		return text + "\r\n"
	}
	return text + "Content-Length: 4\r\n\r\nabcd"
}
