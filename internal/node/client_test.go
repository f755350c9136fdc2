package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"glencart/internal/standin"
)

// The backend gets the path, query, body and id as the client sent them, without the headers of the client's connection, and the
// client gets the answer unchanged. Decoding and encoding again, or dropping what Connection lists, would alter the request.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		got <- r
		return "HTTP/1.1 200 OK\r\nContent-Type: text/x-menu\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	}))
	n := startNodeWithBackends(t, b.Addr().String())
	resp, body := doRequest(t, newTestRequest(t, n.url+"/api/a%2Fb/7f3a?x=1&y=%20", "token", func(r *http.Request) {
		r.Header.Set("X-Trace-Id", "trace-1")
		r.Header.Set("Connection", "X-Trace-Id, X-Hop")
		r.Header.Set("X-Hop", "1")
	}))
	if resp.StatusCode != 200 || body != "abcde" || resp.Header.Get("Content-Type") != "text/x-menu" {
		t.Errorf("client got %d %q %v", resp.StatusCode, body, resp.Header)
	}
	r := receive(t, "the request at the backend", got)
	payload, _ := io.ReadAll(r.Body)
	if r.Method != "POST" || r.RequestURI != "/api/a%2Fb/7f3a?x=1&y=%20" || string(payload) != "payload" ||
		r.Header.Get("Idempotency-Key") != "key-1" {
		t.Errorf("backend got %s %s %q %v", r.Method, r.RequestURI, payload, r.Header)
	}
	// The id is forwarded even where the client lists it in Connection.
	if r.Header.Get("X-Trace-Id") != "trace-1" || r.Header.Get("X-Hop") != "" {
		t.Errorf("headers at the backend: %v", r.Header)
	}
	var left float64
	if _, err := fmt.Sscan(r.Header.Get("X-Expires-In"), &left); err != nil || left <= 0 || left >= 9.5 {
		t.Errorf("X-Expires-In at the backend: %q", r.Header.Get("X-Expires-In"))
	}
}

// A malformed request gets a 4xx at once and reaches no backend. A 429 or 5xx would make the client send it again.
func TestMalformedRequestsAreRejected(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("") }))
	n := startNodeWithBackends(t, b.Addr().String())
	n.front.maxBodyBytes.Store(maxBufferedBodyBytes)
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for name, tc := range map[string]struct {
		class    string
		change   func(*http.Request)
		want     int
		wantText string // the header at fault and what to do
	}{
		"no id":             {"read", set("X-Trace-Id", ""), 400, "X-Trace-Id: missing"},
		"unknown class":     {"read", set("X-Qos", "gold"), 400, "X-Qos: no such class: name"},
		"no class":          {"read", set("X-Qos", ""), 400, "X-Qos: no such class: name"},
		"unknown tenant":    {"read", set("X-Customer", "nobody"), 400, "X-Customer: no such customer: name"},
		"not a number":      {"read", set("X-Expires-In", "soon"), 400, "X-Expires-In: not a time: send"},
		"NaN":               {"read", set("X-Expires-In", "NaN"), 400, "X-Expires-In: not a time: send"},
		"infinite":          {"read", set("X-Expires-In", "Inf"), 400, "X-Expires-In: not a time: send"},
		"negative time":     {"read", set("X-Expires-In", "-1"), 400, "X-Expires-In: not a time: send"},
		"two ids":           {"read", func(r *http.Request) { r.Header.Add("X-Trace-Id", "again") }, 400, "X-Trace-Id: given more than once: send"},
		"keyed without key": {"token", set("Idempotency-Key", ""), 400, "Idempotency-Key: missing: "},
		"unsafe as a GET":   {"order", func(r *http.Request) { r.Method = "GET" }, 405, "use POST"},
		"safe as a POST":    {"read", func(r *http.Request) { r.Method = "POST" }, 405, "use GET"},
		"other method":      {"order", func(r *http.Request) { r.Method = "DELETE" }, 405, "use POST"},
		"body too long": {"order", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBufferedBodyBytes+1))), maxBufferedBodyBytes+1
		}, 413, "send at most 65536 bytes"},
		"chunked body too long": {"order", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBufferedBodyBytes+1))), -1
		}, 413, "send at most 65536 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := doRequest(t, newTestRequest(t, n.url+"/api/x", tc.class, tc.change))
			if resp.StatusCode != tc.want || !strings.Contains(body, tc.wantText) {
				t.Errorf("answered %d %q, want %d %q", resp.StatusCode, body, tc.want, tc.wantText)
			}
			if allow := resp.Header.Get("Allow"); (allow != "") != (tc.want == http.StatusMethodNotAllowed) {
				t.Errorf("Allow: %q with %d", allow, tc.want)
			}
		})
	}
	for name, text := range map[string]string{
		"not HTTP":        "\x16\x03\x01 hello\r\n\r\n",
		"negative length": "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
		"two lengths":     "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"huge head":       "GET /api/x HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 2*maxHeadBytes) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", n.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			go io.WriteString(c, text)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil && (resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode >= 500) {
				t.Errorf("answered %d", resp.StatusCode)
			}
			if err != nil && strings.Contains(err.Error(), "timeout") {
				t.Error("neither an answer nor a close")
			}
		})
	}
	if n := b.Accepted.Load(); n != 0 {
		t.Errorf("%d connections reached the backend", n)
	}
}

// A backend that never answers must not leave its client without an answer. The client gets one before its deadline, and that is a
// failure (504), since the request may have run.
func TestClientOfSilentBackendIsAnsweredInTime(t *testing.T) {
	ended := make(chan error, 4)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			io.Copy(io.Discard, br)
			_, err = c.Read(make([]byte, 1))
			ended <- err
		}
	})
	n := startNodeWithBackends(t, b.Addr().String())
	began := time.Now()
	resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order", func(r *http.Request) { r.Header.Set("X-Expires-In", "0.300") }))
	if resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if d := time.Since(began); d < 200*time.Millisecond {
		t.Errorf("answered too early, after %v", d)
	}
	// The cancelled attempt closes its connection to the backend.
	receive(t, "the end of the backend's connection", ended)
	eventually(t, "an empty request table", func() bool { return n.openRequests(t) == 0 })
}

// A client that disconnects during its request must not leave a request, an attempt or a connection behind. Nothing else would end
// an attempt on a backend that doesn't answer.
func TestDisconnectedClientLeaksNothing(t *testing.T) {
	begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			begun <- struct{}{}
			io.Copy(io.Discard, br)
			ended <- struct{}{}
		}
	})
	n := startNodeWithBackends(t, b.Addr().String())
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: gone-1\r\nX-Qos: read\r\nX-Customer: acme\r\nX-Expires-In: 9\r\n\r\n")
	receive(t, "the request at the backend", begun)
	disconnectedAt := time.Now()
	c.(*net.TCPConn).CloseWrite()
	receive(t, "the end of the attempt's connection", ended)
	if d := time.Since(disconnectedAt); d > 5*time.Second {
		t.Errorf("the attempt went on for %v", d)
	}
	// No backend has answered, so the client must read nothing, not even an empty answer of net/http.
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if text, _ := io.ReadAll(c); len(text) > 0 {
		t.Errorf("answered %q", text)
	}
	c.Close()
	eventually(t, "an empty request table", func() bool { return n.openRequests(t) == 0 })
	eventually(t, "no request in flight and no connection", func() bool {
		return n.front.inFlight.Load() == 0 && n.front.connections() == 0
	})
}

// A request with the id of an open one gets a 409. A backend could not distinguish two open requests with the same id.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 4)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string {
		arrived <- struct{}{}
		<-release
		return ok200("once")
	}))
	n := startNodeWithBackends(t, b.Addr().String())
	same := func(r *http.Request) { r.Header.Set("X-Trace-Id", "same") }
	first := make(chan string, 1)
	go func() {
		_, body := doRequest(t, newTestRequest(t, n.url+"/api/x", "order", same))
		first <- body
	}()
	receive(t, "the first request at the backend", arrived)
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order", same)); resp.StatusCode != http.StatusConflict {
		t.Errorf("second request: %d", resp.StatusCode)
	}
	close(release)
	if body := receive(t, "the first answer", first); body != "once" {
		t.Errorf("first request: %q", body)
	}
}

// A node at its limit of open requests rejects a new one with 503 and Retry-After, and still serves those that it has accepted.
func TestFullNodeRejectsRequests(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 4)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string {
		arrived <- struct{}{}
		<-release
		return ok200("x")
	}))
	n := startNodeWithBackends(t, b.Addr().String())
	n.runOnLoop(t, func() {})
	n.front.inFlight.Store(n.front.maxInFlight.Load() - 1) // one request below the limit
	first := make(chan int, 1)
	go func() {
		resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order"))
		first <- resp.StatusCode
	}()
	receive(t, "the last accepted request at the backend", arrived)
	resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order"))
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("answered %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	close(release)
	if status := receive(t, "the answer to the accepted request", first); status != 200 {
		t.Errorf("accepted request: %d", status)
	}
	n.front.inFlight.Add(1 - n.front.maxInFlight.Load())
}

// Idle client connections that fill the node are closed in favor of new connections. Otherwise clients with a request wait in the
// backlog until idle ones leave.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready", Up: 0})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	cfg.Limits.Sockets = minSockets
	n := startNode(t, cfg)
	clients, _ := cfg.Limits.share()
	for range 2 * clients {
		tr := &http.Transport{} // its connection stays open
		defer tr.CloseIdleConnections()
		resp, err := tr.RoundTrip(newTestRequest(t, n.url+"/api/x", "read"))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Errorf("answered %d", resp.StatusCode)
		}
	}
	busy := clients / 4 // more than fit beside the idle ones
	for range busy {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /api/x HTTP/1.1\r\n")
	}
	eventually(t, "all busy connections accepted", func() bool {
		return n.front.table.Counts().Waiting >= busy
	})
}

// A request that no backend can run is rejected at once and with Retry-After. Waiting for the deadline would hold a request slot
// and leave the client no time for another node.
func TestRejectionHasRetryAfter(t *testing.T) {
	n := startNodeWithBackends(t, standin.ReserveAddr(t)) // refuses connections
	began := time.Now()
	resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "order"))
	var after float64
	if _, err := fmt.Sscan(resp.Header.Get("Retry-After"), &after); resp.StatusCode != 503 || err != nil || after <= 0 || after > 2 {
		t.Errorf("answered %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if d := time.Since(began); d > 5*time.Second {
		t.Errorf("rejected only after %v", d)
	}
}

// connections returns the number of open client connections.
func (f *front) connections() int { return f.table.Counts().Open }
