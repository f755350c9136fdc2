package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// dial returns a connection to the node.
func (s *testNode) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// orderHead is the head of an order request, without its id, its length and its end.
const orderHead = "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Qos: order\r\nX-Customer: acme\r\nX-Expires-In: 9\r\n"

// A client that sends an invalid, incomplete or endless request must not hold a connection for long or reach a backend. It gets an
// error or a close within the limits for a head and a body.
func TestInvalidClientsAreDisconnected(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("") }))
	n := startNodeWithBackends(t, b.Addr().String())
	n.front.maxBodyBytes.Store(1 << 20)
	repeat := func(piece string, pause time.Duration) func(net.Conn) {
		return func(c net.Conn) {
			for {
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}
	}
	sendThen := func(text string, next func(net.Conn)) func(net.Conn) {
		return func(c net.Conn) {
			io.WriteString(c, text)
			if next != nil {
				next(c)
			}
		}
	}
	idHeader := "X-Trace-Id: rude\r\n"
	var wg sync.WaitGroup
	for name, send := range map[string]func(net.Conn){
		"nothing":           sendThen("", nil),
		"half a line":       sendThen("POST /api", nil),
		"half a head":       sendThen(orderHead, nil),
		"noise":             sendThen("\x00\xff\x01 \r\n\r\n", nil),
		"endless noise":     repeat("\x9c\x01\x00\xfe", 0),
		"endless head":      sendThen(orderHead, repeat("X-A: a\r\n", 0)),
		"slow endless head": sendThen(orderHead, repeat("X-A: a\r\n", 20*time.Millisecond)),
		"endless line":      sendThen(orderHead+"X-A: ", repeat("aaaa", 0)),
		"half a body":       sendThen(orderHead+idHeader+"Content-Length: 100\r\n\r\nabc", nil),
		"slow body after a pause": func(c net.Conn) {
			time.Sleep(1200 * time.Millisecond)
			sendThen(orderHead+idHeader+"Content-Length: 60000\r\n\r\n", repeat("a", 20*time.Millisecond))(c)
		},
		"half a body and a close": sendThen(orderHead+idHeader+"Content-Length: 100\r\n\r\nabc", func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }),
		"negative length":         sendThen(orderHead+idHeader+"Content-Length: -1\r\n\r\n", nil),
		"length out of range":     sendThen(orderHead+idHeader+"Content-Length: 99999999999999999999999\r\n\r\n", nil),
		"length not a number":     sendThen(orderHead+idHeader+"Content-Length: abc\r\n\r\n", nil),
		"60 MB":                   sendThen(orderHead+idHeader+"Content-Length: 62914560\r\n\r\n", repeat(strings.Repeat("x", 64<<10), 0)),
		"60 MB and a close":       sendThen(orderHead+idHeader+"Connection: close\r\nContent-Length: 62914560\r\n\r\n", repeat(strings.Repeat("x", 64<<10), 0)),
		"60 MB never sent":        sendThen(orderHead+idHeader+"Content-Length: 62914560\r\n\r\n", nil),
		"100-continue and 60 MB":  sendThen(orderHead+idHeader+"Expect: 100-continue\r\nContent-Length: 62914560\r\n\r\n", nil),
		"endless chunks":          sendThen(orderHead+idHeader+"Transfer-Encoding: chunked\r\n\r\n", repeat("4\r\naaaa\r\n", 0)),
		"invalid chunks":          sendThen(orderHead+idHeader+"Transfer-Encoding: chunked\r\n\r\nzz\r\n", nil),
		"unknown class":           sendThen(strings.Replace(orderHead, "order", "gold", 1)+idHeader+"Content-Length: 0\r\n\r\n", nil),
		"deadline not a number":   sendThen(strings.Replace(orderHead, ": 9\r\n", ": soon\r\n", 1)+idHeader+"Content-Length: 0\r\n\r\n", nil),
		"no id":                   sendThen(orderHead+"Content-Length: 0\r\n\r\n", nil),
		"endless repetition":      repeat(orderHead+"Content-Length: 0\r\n\r\n", 0),
		"hundreds at once":        sendThen(strings.Repeat(orderHead+"Content-Length: 0\r\n\r\n", 300), nil),
	} {
		wg.Go(func() {
			c, err := net.Dial("tcp", n.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			began := time.Now()
			c.SetDeadline(began.Add(testTimeout))
			go send(c)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				t.Errorf("%s: neither an error nor a close", name)
			}
			if err == nil && resp.StatusCode < 400 {
				t.Errorf("%s: answered %d", name, resp.StatusCode)
			}
			// The limit is 3 s for a head, and as much for a body that is sent too slowly.
			if d := time.Since(began); d > headTimeout+bodySilenceTimeout+time.Second {
				t.Errorf("%s: took %v", name, d)
			}
		})
	}
	wg.Wait()
	if n := b.Accepted.Load(); n != 0 {
		t.Errorf("%d connections reached the backend", n)
	}
}

// Clients that send nothing or send slowly must not keep others out of a full node. Their connections are closed to make room, but
// never one with an open request.
func TestSilentClientsAreEvicted(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 4)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		if r.URL.Path == "/api/slow" {
			arrived <- struct{}{}
			<-release
		}
		return ok200("x")
	}))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready", Up: 0})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	cfg.Limits.Sockets = minSockets
	n := startNode(t, cfg)
	clients, _ := cfg.Limits.share()
	slow := make(chan int, 1)
	go func() {
		resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/slow", "read"))
		slow <- resp.StatusCode
	}()
	receive(t, "the open request", arrived)
	began := time.Now()
	for i := range 5 * clients {
		c := n.dial(t)
		switch i % 3 {
		case 1:
			io.WriteString(c, "POST /api")
		case 2:
			fmt.Fprintf(c, "%sX-Trace-Id: slow-%d\r\nContent-Length: 10\r\n\r\nabc", orderHead, i)
		}
	}
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "read")); resp.StatusCode != 200 {
		t.Errorf("normal client: %d", resp.StatusCode)
	}
	// If they were not disconnected, they would hold all connections until their timeout.
	if d := time.Since(began); d > headTimeout-300*time.Millisecond {
		t.Errorf("normal client waited %v", d)
	}
	close(release)
	if status := receive(t, "the answer to the open request", slow); status != 200 {
		t.Errorf("open request: %d", status)
	}
	eventually(t, "an empty request table", func() bool { return n.front.connections() == 0 && n.openRequests(t) == 0 })
	if c := n.front.table.Counts(); c.Waiting != 0 {
		t.Errorf("counted as waiting: %d", c.Waiting)
	}
}

// Requests whose bodies arrive slowly must not occupy the slots for open requests. A few such clients could block a node.
func TestSlowBodiesHoldNoRequestSlots(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	n := startNodeWithBackends(t, b.Addr().String())
	n.runOnLoop(t, func() {})
	n.front.inFlight.Store(n.front.maxInFlight.Load() - 1) // one request below the limit
	for i := range 8 {
		fmt.Fprintf(n.dial(t), "%sX-Trace-Id: slow-%d\r\nContent-Length: 10\r\n\r\nabc", orderHead, i)
	}
	eventually(t, "the connections of the slow clients", func() bool { return n.front.connections() == 8 })
	time.Sleep(20 * time.Millisecond)
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order")); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	n.front.inFlight.Add(1 - n.front.maxInFlight.Load())
}

// Guards against a host that goes to backends unchecked: net/http checks the Host field, and not the host of an absolute target.
func TestInvalidHostsOfAbsoluteTargetsReachNoBackend(t *testing.T) {
	hosts := make(chan string, 8)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		hosts <- r.Host
		return ok200("")
	}))
	n := startNodeWithBackends(t, b.Addr().String())
	for host, want := range map[string]int{"[fe80::1%25a%20b]": 400, `a"b`: 400, "a<b": 400, "%FF.mn": 400, "shop.mn": 200} {
		c := n.dial(t)
		head := strings.Replace(orderHead, "/api/x", "http://"+host+"/api/x", 1)
		io.WriteString(c, head+"X-Trace-Id: "+host+"\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != want {
			t.Errorf("%s: %+v, %v: expected %d", host, resp, err, want)
		}
	}
	if host := receive(t, "a request", hosts); host != "shop.mn" || len(hosts) != 0 {
		t.Errorf("backend received Host %q first, and %d more", host, len(hosts))
	}
}
