package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"glencart/internal/clients"
	"glencart/internal/standin"
	"glencart/life"
)

// Short names for the helpers of package standin.
const testTimeout = standin.Patience

type (
	rawBackend    = standin.Raw
	listedBackend = standin.Listed
	testRegistry  = standin.Registry
)

var (
	discardLog  = standin.Quiet
	resetConn   = standin.Reset
	listText    = standin.ListText
	newRegistry = func(t *testing.T, whole string) *testRegistry { t.Helper(); return standin.NewRegistry(t, whole) }
)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	standin.Eventually(t, what, ok)
}

func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	return standin.Receive(t, what, c)
}

func newRawBackend(t *testing.T, addr string, serve func(c net.Conn, r *bufio.Reader)) *rawBackend {
	t.Helper()
	return standin.NewRaw(t, addr, serve)
}

const testSettings = `{"nInstances":1,"zones":["a","b"],"skus":["m"],
 "classes":[
  {"name":"read","aim":1000000000,"deadline":10000000000,"effect":"pure","points":1},
  {"name":"order","aim":1000000000,"deadline":10000000000,"effect":"side_effect","points":1},
  {"name":"token","aim":1000000000,"deadline":10000000000,"effect":"token","keyScope":"all","window":5000000000,"points":1}],
 "tenants":[{"name":"acme","quotaPerS":1000,"share":1}],
 "limits":{"cancelling":true,"maxAttempts":3,"connectTimeout":2000000000,"idleClose":5000000000,"maxRetryAfter":2000000000},
 "obligations":{"drainGrace":500000000,"coldShare":0.12,"warmWithin":22000000000,"fallMultiple":3,"overloadFor":1500000000},
 "loadReport":{"source":"on_probe","columns":["active","cpu"]}}`

// serveAnswers returns a function that serves requests on a connection until the connection ends.
func serveAnswers(answer func(r *http.Request) string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			if _, err := io.WriteString(c, answer(r)); err != nil {
				return
			}
		}
	}
}

// ok200 returns a 200 answer with this body as text.
func ok200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// testConfig returns a configuration with testSettings. replacements has pairs of an old and a new text for them.
func testConfig(t *testing.T, discovery string, known string, replacements ...string) Config {
	t.Helper()
	text := strings.NewReplacer(replacements...).Replace(testSettings)
	raw, err := json.Marshal(map[string]any{
		"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, "known": json.RawMessage(known),
		"settings": json.RawMessage(text),
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := ParseConfig(raw)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// testNode is a node under test.
type testNode struct {
	*Node
	url    string
	stop   context.CancelFunc
	result chan error
}

// startNode runs a node until the test ends.
func startNode(t *testing.T, cfg Config) *testNode {
	t.Helper()
	n, err := New(t.Context(), cfg, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &testNode{Node: n, url: "http://" + n.Addr().String(), stop: cancel, result: make(chan error, 1)}
	ended := make(chan struct{})
	go func() {
		s.result <- n.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// startNodeWithBackends starts a node with these backends, which are also what its discovery lists.
func startNodeWithBackends(t *testing.T, addrs ...string) *testNode {
	t.Helper()
	var members []listedBackend
	for i, a := range addrs {
		members = append(members, listedBackend{ID: fmt.Sprintf("s-%d", i), Addr: a, Phase: "ready"})
	}
	text := listText(1, true, members...)
	return startNode(t, testConfig(t, newRegistry(t, text).Addr, text))
}

// runOnLoop runs f on the node's loop and waits for it.
func (s *testNode) runOnLoop(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{})
	if !s.loop.Post(func() { f(); close(done) }) {
		t.Fatal("the loop has ended")
	}
	receive(t, "the loop", done)
}

// openRequests returns the number of requests in the table of the loop.
func (s *testNode) openRequests(t *testing.T) (n int) {
	s.runOnLoop(t, func() { n = s.loop.OpenRequests() })
	return n
}

var lastID atomic.Int64

// newTestRequest returns a request of this class as a client sends it.
func newTestRequest(t *testing.T, url, class string, change ...func(*http.Request)) *http.Request {
	t.Helper()
	method, body := http.MethodPost, "payload"
	if class == "read" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Trace-Id", fmt.Sprintf("id-%d", lastID.Add(1)))
	r.Header.Set("X-Qos", class)
	r.Header.Set("X-Customer", "acme")
	r.Header.Set("X-Expires-In", "9.5")
	if class == "token" {
		r.Header.Set("Idempotency-Key", "key-1")
	}
	for _, f := range change {
		f(r)
	}
	return r
}

// doRequest sends a request on a connection of its own and returns the answer and its body.
func doRequest(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// A node that shuts down must not lose requests that it has accepted, or that clients still send before they notice. It serves new
// connections for a while, answers every request that it has read, closes each connection after an answer, and ends.
func TestShutdownAnswersAllAcceptedRequests(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 16)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		if r.URL.Path == "/api/slow" {
			arrived <- struct{}{}
			<-release
		}
		return ok200("done")
	}))
	n := startNodeWithBackends(t, b.Addr().String())
	eventually(t, "readiness", func() bool {
		resp, _ := doRequest(t, newTestRequest(t, n.url+"/health/ready", "read"))
		return resp.StatusCode == 200
	})
	client := &http.Client{Transport: &http.Transport{}}
	slow := make(chan *http.Response, 1)
	go func() {
		resp, err := client.Do(newTestRequest(t, n.url+"/api/slow", "order"))
		if err != nil {
			t.Error(err)
			resp = &http.Response{}
		}
		slow <- resp
	}()
	receive(t, "the slow request at the backend", arrived)
	began := time.Now()
	n.stop()
	eventually(t, "the start of the shutdown", func() bool { return n.front.isLeaving.Load() })
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/health/ready", "read")); resp.StatusCode != 503 {
		t.Errorf("readiness during shutdown: %d", resp.StatusCode)
	}
	if resp, body := doRequest(t, newTestRequest(t, n.url+"/api/late", "order")); resp.StatusCode != 200 || body != "done" || !resp.Close {
		t.Errorf("new connection during shutdown: %d %q, closed: %t", resp.StatusCode, body, resp.Close)
	}
	eventually(t, "the end of accepting", func() bool {
		c, err := net.Dial("tcp", n.Addr().String())
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if d := time.Since(began); d < 400*time.Millisecond {
		t.Errorf("accepted connections for only %v", d)
	}
	close(release)
	if resp := receive(t, "the slow answer", slow); resp.StatusCode != 200 {
		t.Errorf("slow request: %d", resp.StatusCode)
	}
	if err := receive(t, "the end of the node", n.result); err != nil {
		t.Error(err)
	}
}

// A request in the backlog of a full node must be served although the node shuts down. Its client is connected and would see a reset.
func TestShutdownServesBacklog(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 64)
	serve := serveAnswers(func(r *http.Request) string {
		if r.URL.Path == "/api/slow" {
			arrived <- struct{}{}
			<-release
		}
		return ok200("done")
	})
	text := listText(1, true, // one runs the slow request, the other is idle
		listedBackend{ID: "s-0", Addr: newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), Phase: "ready", Up: 0},
		listedBackend{ID: "s-1", Addr: newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), Phase: "ready", Up: 0})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	cfg.Limits.Sockets = minSockets
	n := startNode(t, cfg)
	clients, _ := cfg.Limits.share()
	n.front.table.DisableEviction() // no idle connection is closed to make room
	slow := make(chan string, 1)
	go func() {
		_, body := doRequest(t, newTestRequest(t, n.url+"/api/slow", "order"))
		slow <- body
	}()
	receive(t, "the slow request at the backend", arrived)
	var silent []net.Conn
	for range clients - 1 {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	eventually(t, "a full node", n.listener.IsFull)
	queued := make(chan string, 1)
	go func() {
		_, body := doRequest(t, newTestRequest(t, n.url+"/api/waits", "order"))
		queued <- body
	}()
	n.stop()
	time.Sleep(life.Platform.NewConnectionsWindow + life.ShutdownMargin + 100*time.Millisecond)
	for _, c := range silent {
		c.Close()
	}
	if body := receive(t, "the answer to the request from the backlog", queued); body != "done" {
		t.Errorf("request from the backlog: %q", body)
	}
	close(release)
	if body := receive(t, "the slow answer", slow); body != "done" {
		t.Errorf("slow request: %q", body)
	}
	if err := receive(t, "the end of the node", n.result); err != nil {
		t.Error(err)
	}
}

// A node without backends must not report itself ready, since it could serve nothing. It becomes ready when discovery lists one.
func TestReadyOnlyWithBackends(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	reg := newRegistry(t, listText(1, true))
	n := startNode(t, testConfig(t, reg.Addr, "null"))
	resp, _ := doRequest(t, newTestRequest(t, n.url+"/health/ready", "read"))
	if resp.StatusCode != 503 {
		t.Fatalf("readiness without backends: %d", resp.StatusCode)
	}
	reg.Next <- listText(2, false, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready", Up: 0})
	eventually(t, "readiness", func() bool {
		resp, _ := doRequest(t, newTestRequest(t, n.url+"/health/ready", "read"))
		return resp.StatusCode == 200
	})
	if resp, body := doRequest(t, newTestRequest(t, n.url+"/api/x", "read")); resp.StatusCode != 200 || body != "x" {
		t.Fatalf("after the update: answered %d %q", resp.StatusCode, body)
	}
}

// Connections beyond the limit wait in the backlog. Accepting them would run the process out of descriptors.
func TestConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := clients.Limit(l, 2)
	defer bounded.Close()
	got := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := bounded.Accept()
			if err != nil {
				return
			}
			got <- c
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	first := receive(t, "the first connection", got)
	second := receive(t, "the second connection", got)
	defer second.Close()
	select {
	case <-got:
		t.Fatal("a third connection was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	first.Close()
	receive(t, "the third connection after one was closed", got).Close()
}

// A node that shuts down keeps the connections of its clients while it can still answer in time. If it closed them at once, clients
// might find no other node while others restart too.
func TestShutdownKeepsClientConnections(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready", Up: 0})
	n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text, `"deadline":10000000000`, `"deadline":3000000000`))
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	br := bufio.NewReader(c)
	request := func() (*http.Response, error) {
		fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: id-%d\r\nX-Qos: read\r\nX-Customer: acme\r\nX-Expires-In: 0.5\r\n\r\n", lastID.Add(1))
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
	if resp, err := request(); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	began := time.Now()
	n.stop()
	eventually(t, "the start of the shutdown", func() bool { return n.front.isLeaving.Load() })
	for {
		resp, err := request()
		if err != nil {
			break // closed between two requests
		}
		if resp.StatusCode != 200 {
			t.Errorf("answered %d", resp.StatusCode)
		}
		if resp.Close {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	// The node has 3 s and 0.7 s before SIGKILL, of which the longest request may need 0.5 s.
	if d := time.Since(began); d < 2*(life.Platform.NewConnectionsWindow+life.ShutdownMargin) {
		t.Errorf("connections closed too early, after %v", d)
	}
	if err := receive(t, "the end of the node", n.result); err != nil {
		t.Error(err)
	}
	if d := time.Since(began); d > 3700*time.Millisecond {
		t.Errorf("the node ended too late, after %v", d)
	}
}

// Requests that are open at SIGTERM or arrive after it get one whole answer before SIGKILL, even if their deadlines end later. The
// cases are a backend that never answers, an upload, and a node with a successor.
func TestShutdownShortensDeadlines(t *testing.T) {
	for _, hasSuccessor := range []bool{false, true} {
		t.Run(fmt.Sprintf("followed=%t", hasSuccessor), func(t *testing.T) {
			t.Parallel()
			arrived := make(chan struct{}, 16)
			b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
				if r.URL.Path == "/stats" {
					return ok200("{}")
				}
				arrived <- struct{}{}
				select {} // it never answers
			}))
			text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
			cfg := testConfig(t, newRegistry(t, text).Addr, text)
			cfg.Shared = t.TempDir()
			n := startNode(t, cfg)
			eventually(t, "the node accepting clients", n.isServing.Load)
			n.front.bodyBudget.available.Store(0) // uploads are streamed, not buffered
			type answer struct {
				what   string
				status int
				err    error
			}
			answers := make(chan answer, 8)
			send := func(what, class string, change ...func(*http.Request)) {
				go func() {
					tr := &http.Transport{DisableKeepAlives: true}
					resp, err := tr.RoundTrip(newTestRequest(t, n.url+"/api/"+what, class, change...))
					a := answer{what: what, err: err}
					if err == nil {
						a.status = resp.StatusCode
						_, a.err = io.ReadAll(resp.Body)
						resp.Body.Close()
					}
					answers <- a
				}()
			}
			body, writer := io.Pipe()
			defer writer.Close()
			send("open", "order")
			receive(t, "a request at the backend", arrived)
			send("upload", "order", func(r *http.Request) { r.Body, r.ContentLength = body, 8<<20 })
			writer.Write(make([]byte, 200_000))
			go func() { // a slow client that keeps sending
				for _, err := writer.Write(make([]byte, 64<<10)); err == nil; _, err = writer.Write(make([]byte, 64<<10)) {
					time.Sleep(200 * time.Millisecond)
				}
			}()
			if hasSuccessor {
				startNode(t, cfg)
				eventually(t, "a successor", n.handover.HasSuccessor)
			}
			began := time.Now()
			n.stop()
			eventually(t, "the start of the shutdown", n.front.isLeaving.Load)
			sent := 2
			if !hasSuccessor { // with a successor the node accepts no more connections
				send("late", "order")
				sent++
			}
			for range sent {
				if a := receive(t, "an answer", answers); a.err != nil || a.status < 500 {
					t.Errorf("%s: answered %d, %v", a.what, a.status, a.err)
				}
			}
			if err := receive(t, "the end of the node", n.result); err != nil {
				t.Error(err)
			}
			if d := time.Since(began); d > 3700*time.Millisecond { // the time of SIGKILL
				t.Errorf("the node ended too late, after %v", d)
			}
		})
	}
}
