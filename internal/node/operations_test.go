package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// callManagement makes one call to the management endpoint of a node.
func (s *testNode) callManagement(t *testing.T, method, path string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.adminListener.Addr().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	resp, err := (&http.Client{Transport: tr, Timeout: testTimeout}).Do(r)
	if err != nil {
		t.Errorf("%s %s: %v", method, path, err)
		return 0, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// counter returns the value of a counter of the management endpoint, or -1 where it is missing.
func (s *testNode) counter(t *testing.T, name string) int {
	t.Helper()
	_, text := s.callManagement(t, "GET", "/control/counters")
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "app."+name+"="); ok {
			n, err := strconv.Atoi(value)
			if err != nil {
				t.Error(err)
			}
			return n
		}
	}
	return -1
}

// startCountingBackend starts a backend that counts its requests in ran, under its name, and returns its address.
func startCountingBackend(t *testing.T, ran *sync.Map, name string) string {
	n := new(atomic.Int64)
	ran.Store(name, n)
	return newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		if strings.HasPrefix(r.URL.Path, "/api/") {
			n.Add(1)
		}
		if r.URL.Path == "/api/bad" {
			return "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
		}
		return ok200(name)
	})).Addr().String()
}

// requestsRun returns the number of requests that a backend has run.
func requestsRun(ran *sync.Map, name string) int64 {
	n, _ := ran.Load(name)
	return n.(*atomic.Int64).Load()
}

// startNodeWithManagement starts a node with a management endpoint and two backends, a and b.
func startNodeWithManagement(t *testing.T, ran *sync.Map) *testNode {
	text := listText(1, true, listedBackend{ID: "a", Addr: startCountingBackend(t, ran, "a"), Phase: "ready"},
		listedBackend{ID: "b", Addr: startCountingBackend(t, ran, "b"), Phase: "ready"})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	cfg.Management = "127.0.0.1:0"
	n := startNode(t, cfg)
	eventually(t, "readiness", func() bool { status, _ := n.callManagement(t, "GET", "/control/ready"); return status == 200 })
	return n
}

// Callers that connect and send nothing or half a call must not block the management endpoint, and neither must a blocked loop. Every
// whole call is answered within 1 s, with a 5xx where the loop can't be reached. A call that timed out is still applied.
func TestManagementEndpointAnswersInTime(t *testing.T) {
	var ran sync.Map
	n := startNodeWithManagement(t, &ran)
	var closedCallers atomic.Int64 // callers whose connection was closed
	for i := range 3 * maxAdminConns {
		c, err := net.Dial("tcp", n.adminListener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "POST /control/backends/a/off")
		}
		go func() {
			c.Read(make([]byte, 1))
			closedCallers.Add(1)
		}()
	}
	for _, tc := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/control/ready", 200}, {"GET", "/control/counters", 200}, {"POST", "/control/backends/a/offline", 200},
		{"POST", "/control/backends/a/offline", 200}, {"POST", "/control/backends/a/online", 200},
		{"POST", "/control/backends/nobody/offline", 404}, {"POST", "/control/backends/nobody/online", 404},
		{"GET", "/control/backends/a/offline", 405}, {"POST", "/control/counters", 405}, {"GET", "/control/", 404},
		{"POST", "/control/backends/" + strings.Repeat("x", maxIDBytes+1) + "/offline", 400},
	} {
		began := time.Now()
		if status, _ := n.callManagement(t, tc.method, tc.path); status != tc.want || time.Since(began) > time.Second {
			t.Errorf("%s %.40s: %d after %v, want %d", tc.method, tc.path, status, time.Since(began), tc.want)
		}
	}
	if n := closedCallers.Load(); n < 2*maxAdminConns {
		t.Errorf("%d of %d silent callers were disconnected", n, 3*maxAdminConns)
	}
	blocked, unblock := make(chan bool), make(chan bool)
	n.loop.Post(func() { close(blocked); <-unblock })
	<-blocked
	began := time.Now()
	if status, _ := n.callManagement(t, "POST", "/control/backends/b/offline"); status != 504 || time.Since(began) > time.Second {
		t.Errorf("with the loop blocked: %d after %v", status, time.Since(began))
	}
	if status, _ := n.callManagement(t, "GET", "/control/counters"); status != 200 {
		t.Errorf("counters with the loop blocked: %d", status)
	}
	close(unblock)
	eventually(t, "the effect of the call that timed out", func() bool { return n.counter(t, "backends_excluded") == 1 })
}

// The counters must match exactly what clients and backends have seen once no request is in flight. A path that ends a request
// without counting it, or counts it twice, makes them differ.
func TestCountersAreExact(t *testing.T) {
	var ran sync.Map
	n := startNodeWithManagement(t, &ran)
	var served, failed atomic.Int64
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			path := "/api/x"
			if i%5 == 0 {
				path = "/api/bad"
			}
			switch resp, _ := doRequest(t, newTestRequest(t, n.url+path, "order")); resp.StatusCode {
			case 200:
				served.Add(1)
			case 502, 504:
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	rejected := 60 - served.Load() - failed.Load()
	eventually(t, "exact counters", func() bool {
		return n.counter(t, "requests.order.served") == int(served.Load()) && n.counter(t, "requests.order.failed") == int(failed.Load()) &&
			n.counter(t, "requests.order.refused") == int(rejected) && n.counter(t, "in_flight") == 0 &&
			n.counter(t, "attempts") == int(requestsRun(&ran, "a")+requestsRun(&ran, "b")) && n.counter(t, "requests.read.served") == 0 &&
			n.counter(t, "backends_known") == 2
	})
	if failed.Load() == 0 || served.Load() == 0 {
		t.Errorf("%d served, %d failed", served.Load(), failed.Load())
	}
}

// A backend that an operator takes out of service gets no request from the answer to the call on, and is used again after the
// opposite call. With all backends out, requests are rejected.
func TestOperatorTakesBackendOutOfService(t *testing.T) {
	var ran sync.Map
	n := startNodeWithManagement(t, &ran)
	n.callManagement(t, "POST", "/control/backends/a/offline")
	before := requestsRun(&ran, "a")
	for range 30 {
		doRequest(t, newTestRequest(t, n.url+"/api/x", "read"))
	}
	if now := requestsRun(&ran, "a"); now != before {
		t.Errorf("%d requests to a backend out of service", now-before)
	}
	n.callManagement(t, "POST", "/control/backends/b/offline")
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "read")); resp.StatusCode != 503 {
		t.Errorf("with all backends out of service: %d", resp.StatusCode)
	}
	if got := n.counter(t, "backends_excluded"); got != 2 {
		t.Errorf("%d backends excluded, want 2", got)
	}
	n.callManagement(t, "POST", "/control/backends/b/online")
	n.callManagement(t, "POST", "/control/backends/a/online")
	eventually(t, "a request at the backend that is in service again", func() bool {
		doRequest(t, newTestRequest(t, n.url+"/api/x", "read"))
		return requestsRun(&ran, "a") > before
	})
}

// Reloads under load alternate between valid files with other classes and invalid ones. Each request is served by one version of the
// settings, a removed class counts as unknown, and an invalid file changes nothing.
func TestReloadUnderLoad(t *testing.T) {
	var ran sync.Map
	n := startNodeWithManagement(t, &ran)
	configWith := func(replacements ...string) Config {
		cfg := testConfig(t, n.cfg.Discovery, listText(1, true), replacements...)
		return cfg
	}
	reloadInvalid := func(replacements ...string) {
		t.Helper()
		failed := n.counter(t, "reloads_failed")
		if err := n.Reload(configWith(replacements...)); err == nil || n.counter(t, "reloads_failed") != failed+1 {
			t.Errorf("%q: applied, %v", replacements, err)
		}
	}
	stop := make(chan bool)
	var wg sync.WaitGroup
	for _, class := range []string{"read", "gold"} {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				resp, body := doRequest(t, newTestRequest(t, n.url+"/api/x", class))
				if known := resp.StatusCode == 200 && (body == "a" || body == "b") || resp.StatusCode == 503; !known && (class == "read" || resp.StatusCode != 400) {
					t.Errorf("%s: %d %q", class, resp.StatusCode, body)
				}
			}
		})
	}
	withGold := []string{`"classes":[`, `"classes":[{"name":"gold","aim":1000000000,"deadline":9000000000,"effect":"side_effect","points":1},`}
	for range 5 {
		if err := n.Reload(configWith(withGold...)); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the new class", func() bool {
			resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "gold"))
			return resp.StatusCode == 200
		})
		reloadInvalid(`"deadline":10000000000,"effect":"pure"`, `"deadline":0,"effect":"pure"`)
		reloadInvalid(`"maxAttempts":3,`, "")
		reloadInvalid(`"maxAttempts":3`, `"maxAttempts":0`)
		reloadInvalid(`"name":"token"`, `"name":"read"`)
		reloadInvalid(`"deadline":10000000000,"effect":"token"`, `"effect":"token"`)
		if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "gold")); resp.StatusCode == 400 {
			t.Error("an invalid file removed a class")
		}
		if err := n.Reload(configWith()); err != nil {
			t.Fatal(err)
		}
		eventually(t, "the removal of the class", func() bool {
			resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "gold"))
			return resp.StatusCode == 400
		})
	}
	close(stop)
	wg.Wait()
	if served := n.counter(t, "requests.gold.served"); served < 5 {
		t.Errorf("the removed class counts %d served requests", served)
	}
	if ok := n.counter(t, "reloads_ok"); ok != 10 {
		t.Errorf("%d files applied, want 10", ok)
	}
}

// A request whose body is still arriving when a reload makes its class safe to retry is rejected, since its client sent it as unsafe.
// It must not be retried under the new effect. A request whose class becomes stricter is served.
func TestReloadDuringRequestBody(t *testing.T) {
	for _, tc := range []struct {
		name, change string
		want         int
	}{{"relaxed", `"effect":"pure"`, 503}, {"stricter", `"effect":"side_effect","keyScope":"all"`, 200}} {
		t.Run(tc.name, func(t *testing.T) {
			var ran sync.Map
			n := startNodeWithManagement(t, &ran)
			class, effect := "order", `"effect":"side_effect"`
			if tc.want == 200 {
				class, effect = "token", `"effect":"token","keyScope":"all"`
			}
			c := n.dial(t)
			fmt.Fprintf(c, "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Qos: %s\r\nX-Customer: acme\r\nX-Expires-In: 9\r\nX-Trace-Id: half\r\n"+
				"Idempotency-Key: k\r\nContent-Length: 6\r\n\r\nabc", class)
			eventually(t, "the head of the request", func() bool { return n.front.table.Counts().Partial > 0 })
			time.Sleep(50 * time.Millisecond) // so that the head is read under the old settings
			if err := n.Reload(testConfig(t, n.cfg.Discovery, listText(1, true), effect, tc.change)); err != nil {
				t.Fatal(err)
			}
			n.runOnLoop(t, func() {})
			io.WriteString(c, "def")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != tc.want {
				t.Errorf("%v, %v, want %d", resp, err, tc.want)
			}
		})
	}
}

// Three handovers between processes of a node on one inherited socket, under load. Each request is answered once and runs once, the
// management endpoint stays reachable, and a backend that an operator took out of service stays out.
func TestHandover(t *testing.T) {
	var ran sync.Map
	text := listText(1, true, listedBackend{ID: "a", Addr: startCountingBackend(t, &ran, "a"), Phase: "ready"},
		listedBackend{ID: "b", Addr: startCountingBackend(t, &ran, "b"), Phase: "ready"})
	reg := newRegistry(t, text)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() // the platform keeps the socket open
	dir := t.TempDir()
	startProcess := func() *testNode {
		f, err := l.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		fd, err := dupFD(f)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		cfg := testConfig(t, reg.Addr, text, "10000000000", "2000000000")
		cfg.Management, cfg.AcceptFD, cfg.Shared = "127.0.0.1:0", fmt.Sprint(fd), dir
		n := startNode(t, cfg)
		eventually(t, "readiness", func() bool { status, _ := n.callManagement(t, "GET", "/control/ready"); return status == 200 })
		return n
	}
	current := startProcess()
	current.callManagement(t, "POST", "/control/backends/a/offline")
	ranBefore := requestsRun(&ran, "a")
	stop := make(chan bool)
	var sent, rejected atomic.Int64
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			tr := &http.Transport{}
			defer tr.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				resp, err := tr.RoundTrip(newTestRequest(t, "http://"+l.Addr().String()+"/api/x", "order"))
				if err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 {
					t.Errorf("answered %v, %v", resp, err)
					return
				}
				if resp.StatusCode == 503 {
					rejected.Add(1)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
	for range 3 {
		successor := startProcess()
		if !successor.handover.IsSuccessor() {
			t.Error("the successor did not find its predecessor")
		}
		if got := successor.counter(t, "backends_excluded"); got != 1 {
			t.Errorf("%d backends out of service at the successor, want 1", got)
		}
		current.stop()
		if err := receive(t, "the end of the predecessor", current.result); err != nil {
			t.Error(err)
		}
		eventually(t, "the end of the handover at the successor", func() bool { return !successor.handover.IsSuccessor() })
		current = successor
	}
	// A second process runs beside the current one, which isn't stopped. An operator's call to either applies to both.
	second := startProcess()
	close(stop)
	wg.Wait()
	second.callManagement(t, "POST", "/control/backends/a/online")
	eventually(t, "the call of the other process", func() bool { return current.counter(t, "backends_excluded") == 0 })
	second.callManagement(t, "POST", "/control/backends/a/offline")
	if current.callManagement(t, "POST", "/control/backends/a/online"); current.counter(t, "backends_excluded") != 0 {
		t.Error("an online call at one process was lost after an offline call at the other")
	}
	if got := requestsRun(&ran, "b") + requestsRun(&ran, "a"); got != sent.Load()-rejected.Load() || rejected.Load() > sent.Load()/20 {
		t.Errorf("%d requests sent, %d rejected, %d ran", sent.Load(), rejected.Load(), got)
	}
	if requestsRun(&ran, "a") != ranBefore {
		t.Errorf("%d requests to the backend out of service", requestsRun(&ran, "a")-ranBefore)
	}
}

// Large requests and answers, more than the budget for buffered bodies, must arrive unchanged in pieces of any size. A broken answer
// must not look complete, and the whole budget must be free at the end.
func TestLargeBodies(t *testing.T) {
	answer := strings.Repeat("0123456789abcdef", 1<<16) // 1 MiB
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.Header.Get("Content-Length") == "" && r.URL.Path != "/api/x" && r.Method == "GET" {
				io.WriteString(c, ok200("{}"))
				continue
			}
			n, _ := io.Copy(io.Discard, r.Body)
			switch r.URL.Path {
			case "/api/long":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Got: %d\r\n\r\n", len(answer), n)
				for rest := answer; rest != ""; {
					k := min(len(rest), 100_003)
					io.WriteString(c, rest[:k])
					rest = rest[k:]
				}
			case "/api/chunks":
				io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for rest := answer; rest != ""; {
					k := min(len(rest), 50_021)
					fmt.Fprintf(c, "%x;name=value\r\n%s\r\n", k, rest[:k])
					rest = rest[k:]
				}
				io.WriteString(c, "0\r\nX-Trailer: x\r\n\r\n")
			case "/api/breaks":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer[:300_000])
				return
			default:
				io.WriteString(c, ok200(fmt.Sprint(n)))
			}
		}
	})
	n := startNodeWithBackends(t, b.Addr().String())
	n.front.bodyBudget.available.Store(1 << 20)
	body := func(size int, length int64) func(*http.Request) {
		return func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), length
		}
	}
	for _, size := range []int{1, maxBufferedBodyBytes - 1, maxBufferedBodyBytes, maxBufferedBodyBytes + 1, 500_000, 1<<20 + maxBufferedBodyBytes, 3 << 20} {
		for _, length := range []int64{int64(size), -1} {
			if resp, got := doRequest(t, newTestRequest(t, n.url+"/api/count", "order", body(size, length))); resp.StatusCode != 200 || got != fmt.Sprint(size) {
				t.Errorf("%d bytes, length %d: %d %q", size, length, resp.StatusCode, got)
			}
		}
	}
	for _, path := range []string{"/api/long", "/api/chunks"} {
		if resp, got := doRequest(t, newTestRequest(t, n.url+path, "order")); resp.StatusCode != 200 || got != answer {
			t.Errorf("%s: %d, %d bytes", path, resp.StatusCode, len(got))
		}
	}
	resp, err := http.DefaultTransport.RoundTrip(newTestRequest(t, n.url+"/api/breaks", "order"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("a broken answer looks complete with %d bytes", len(got))
	}
	resp.Body.Close()
	if left := n.front.bodyBudget.available.Load(); left != 1<<20 {
		t.Errorf("%d bytes of the budget were not released", 1<<20-left)
	}
	eventually(t, "an empty request table", func() bool { return n.openRequests(t) == 0 })
}

// A streamed upload whose backend connection breaks before the last byte never ran. The client gets a 503, and the node doesn't send
// the upload again, since it has kept no copy of it.
func TestBrokenUploadIsNotRetried(t *testing.T) {
	var heads atomic.Int64
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if r, err := http.ReadRequest(br); err == nil && r.Method == "POST" {
			heads.Add(1)
			io.CopyN(io.Discard, r.Body, 200_000)
		}
		resetConn(c)
	})
	n := startNodeWithBackends(t, b.Addr().String())
	n.front.bodyBudget.available.Store(0)
	resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 8<<20))), 8<<20
	}))
	if resp.StatusCode != 503 || heads.Load() != 1 {
		t.Errorf("answered %d after %d attempts", resp.StatusCode, heads.Load())
	}
}

// dupFD returns a duplicate of the descriptor of a file.
func dupFD(f *os.File) (int, error) {
	raw, err := f.SyscallConn()
	if err != nil {
		return 0, err
	}
	var fd int
	var dupErr error
	err = raw.Control(func(old uintptr) { fd, dupErr = syscall.Dup(int(old)) })
	if err == nil {
		err = dupErr
	}
	return fd, err
}
