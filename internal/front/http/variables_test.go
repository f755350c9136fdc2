package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"glencart/internal/standin"
	"glencart/internal/standin/strict"
)

// recorder is a backend that keeps every byte it receives, and answers each request that net/http reads in them with an empty 200.
type recorder struct {
	addr string

	mu      sync.Mutex
	streams []*bytes.Buffer // by connection
}

func newRecorder(t *testing.T) *recorder {
	b := &recorder{}
	b.addr = standin.NewRaw(t, "127.0.0.1:0", func(c net.Conn, r *bufio.Reader) {
		stream := &bytes.Buffer{}
		b.mu.Lock()
		b.streams = append(b.streams, stream)
		b.mu.Unlock()
		reader := bufio.NewReader(io.TeeReader(r, lockedWriter{&b.mu, stream}))
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}).Listener.Addr().String()
	return b
}

// lockedWriter writes under a lock.
type lockedWriter struct {
	mu *sync.Mutex
	to io.Writer
}

func (w lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.to.Write(p)
}

// take returns the requests received since the last call.
func (b *recorder) take(t *testing.T) (requests []strict.Request) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, stream := range b.streams {
		some, err := strict.Requests(stream.Bytes())
		if err != nil {
			t.Errorf("backend received %q: %v", stream.Bytes(), err)
		}
		requests = append(requests, some...)
		stream.Reset()
	}
	return requests
}

// ask sends a request on a connection of its own and returns the status, the header and the body of the answer, parsed strictly.
func (n *node) ask(request string) (status int, fields strict.Fields, body string) {
	n.t.Helper()
	c, err := net.Dial("tcp", n.Addr("web"))
	if err != nil {
		n.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(standin.Patience))
	io.WriteString(c, request)
	text, err := io.ReadAll(c)
	if err != nil {
		n.t.Fatalf("%q: %v", request, err)
	}
	status, fields, rest, err := strict.ParseAnswerHead(text)
	if err != nil {
		n.t.Errorf("%q: answer %q: %v", request, text, err)
	}
	return status, fields, string(rest)
}

// variableSite expands $uri under each key that takes variables.
const variableSite = `
[[pool]]
name = "menu"
boxes = [ { id = "menu-1", address = "{menu}" } ]
[[server]]
default = true
  [[server.location]]
  path = "/set/"
    [[server.location.route]]
    pool = "menu"
    set = [ { name = "X-Path", value = "${uri}" } ]
  [[server.location]]
  path = "/upgrade/"
    [[server.location.route]]
    pool = "menu"
    upgrade = true
    set = [ { name = "X-Path", value = "$uri" } ]
  [[server.location]]
  path = "/host/"
    [[server.location.route]]
    pool = "menu"
    host = "$uri"
  [[server.location]]
  path = "/rewrite/"
    [[server.location.route]]
    pool = "menu"
    rewrite = "/rewritten/"
  [[server.location]]
  path = "/add/"
    [[server.location.route]]
    pool = "menu"
    add = [ { name = "X-Path", value = "$uri" } ]
  [[server.location]]
  path = "/text/"
    [[server.location.route]]
    status = 200
    text = "$uri"
    add = [ { name = "X-Path", value = "$uri" } ]
  [[server.location]]
  path = "/redirect/"
    [[server.location.route]]
    status = 302
    text = "$scheme://$http_host$uri"
`

// Guards against text decoded from a path that becomes bytes of a protocol: for each byte that no field may carry, and each key that
// expands variables, the backend receives the client's request or nothing, and the client one answer with the path in a decodable form.
func TestDecodedPathStaysInItsField(t *testing.T) {
	backend := newRecorder(t)
	n := serve(t, variableSite, map[string]string{"menu": backend.addr})
	var decoded []byte
	for b := byte(1); b < ' '; b++ {
		decoded = append(decoded, b)
	}
	for _, b := range append(decoded, 0x7f, '%', '?', ' ') {
		for _, key := range []string{"set", "upgrade", "host", "rewrite", "add", "text", "redirect"} {
			target := fmt.Sprintf("/%s/a%%%02XEvil:%%20x%%%02X", key, b, b)
			path := fmt.Sprintf("/%s/a%cEvil: x%c", key, b, b)
			head := "GET " + target + " HTTP/1.1\r\nHost: shop.mn\r\nConnection: close"
			if key == "upgrade" {
				head += ", upgrade\r\nUpgrade: echo"
			}
			status, fields, body := n.ask(head + "\r\n\r\n")
			received := backend.take(t)
			n.checkExpansion(t, expansion{key, target, path, status, fields, body, received})
		}
	}
}

// expansion is a request whose path is expanded under a key, with what the backend and the client received.
type expansion struct {
	key, target, path string
	status            int
	fields            strict.Fields
	body              string
	received          []strict.Request
}

func (n *node) checkExpansion(t *testing.T, x expansion) {
	t.Helper()
	fault := func(format string, args ...any) {
		t.Helper()
		t.Errorf("%s: "+format, append([]any{x.target}, args...)...)
	}
	decodes := func(where string, values []string) {
		t.Helper()
		if len(values) != 1 {
			fault("%s: %q, one value expected", where, values)
		} else if got, err := url.PathUnescape(values[0]); err != nil || got != x.path {
			fault("%s: %q decodes to %q (%v), expected %q", where, values[0], got, err, x.path)
		}
	}
	wantTarget, wantStatus := x.target, http.StatusOK
	switch x.key {
	case "host": // a path is no host
		wantTarget, wantStatus = "", http.StatusBadRequest
	case "text":
		wantTarget = ""
		decodes("X-Path of the answer", x.fields.Values("X-Path"))
		decodes("body", []string{x.body})
	case "redirect":
		wantTarget, wantStatus = "", http.StatusFound
		locations := x.fields.Values("Location")
		for i, location := range locations {
			if _, err := url.Parse(location); err != nil || strings.ContainsAny(location, " ?") {
				fault("Location %q is no reference to the path: %v", location, err)
			}
			locations[i] = strings.TrimPrefix(location, "http://shop.mn")
		}
		decodes("Location", locations)
	case "rewrite":
		wantTarget = ""
		if len(x.received) == 1 {
			decodes("target", []string{strings.Replace(x.received[0].Target, "/rewritten/", "/rewrite/", 1)})
			wantTarget = x.received[0].Target
		}
	case "add":
		decodes("X-Path of the answer", x.fields.Values("X-Path"))
	}
	if x.status != wantStatus {
		fault("answered %d, expected %d", x.status, wantStatus)
	}
	if wantTarget == "" {
		if len(x.received) != 0 {
			fault("backend received %+v, nothing expected", x.received)
		}
		return
	}
	if len(x.received) != 1 || x.received[0].Target != wantTarget {
		fault("backend received %+v, one request for %s expected", x.received, wantTarget)
		return
	}
	request := x.received[0]
	if len(request.Fields.Values("Evil")) != 0 {
		fault("backend received a field that no client sent: %+v", request)
	}
	if x.key == "set" || x.key == "upgrade" {
		decodes("X-Path of the request", request.Fields.Values("X-Path"))
	}
}

// Guards against another variable that carries a byte that ends its field: whatever a client puts into the part of the head that a
// variable stands for, the backend receives one request, or nothing and the client 400.
func TestVariablesOfInvalidHeadsReachNoBackend(t *testing.T) {
	names := []string{"host", "http_host", "remote_addr", "scheme", "request_uri", "uri", "server_port", "proxy_add_x_forwarded_for",
		"request_method", "args", "is_args", "query_string", "http_x_client"}
	var headers []string
	for i, name := range names {
		headers = append(headers, fmt.Sprintf(`{ name = "X-V%d", value = "a ${%s} b" }`, i, name))
	}
	list := strings.Join(headers, ", ")
	backend := newRecorder(t)
	text := fmt.Sprintf(`
[[pool]]
name = "menu"
boxes = [ { id = "menu-1", address = "{menu}" } ]
[[server]]
  [[server.location]]
  path = "/"
    [[server.location.route]]
    pool = "menu"
    set = [ %s ]
    add = [ %s ]
`, list, list)
	site := (&node{t: t}).site(text, map[string]string{"menu": backend.addr})
	site.Node.Trusted = []string{"all"}
	n := serveSite(t, site)
	for b := byte(1); b <= 0x7f; b++ {
		if b == ' ' {
			b = 0x7f // between them are bytes that may stand in some part
		}
		for _, form := range []string{
			"GET /a%cb HTTP/1.1\r\nHost: shop.mn\r\n",
			"GET /a?x=%cb HTTP/1.1\r\nHost: shop.mn\r\n",
			"G%cT /a HTTP/1.1\r\nHost: shop.mn\r\n",
			"GET /a HTTP/1.1\r\nHost: sh%cop.mn\r\n",
			"GET http://sh%cop.mn/a HTTP/1.1\r\nHost: shop.mn\r\n",
			"GET /a HTTP/1.1\r\nHost: shop.mn\r\nX-Client: a%cb\r\n",
			"GET /a HTTP/1.1\r\nHost: shop.mn\r\nX-Forwarded-For: a%cb\r\n",
			"GET /a HTTP/1.1\r\nHost: shop.mn\r\nForwarded: a%cb\r\n",
			"GET /a HTTP/1.1\r\nHost: shop.mn\r\nX-Cl%cient: a\r\n",
		} {
			request := fmt.Sprintf(form, b) + "Connection: close\r\n\r\n"
			status, _, _ := n.ask(request)
			received := backend.take(t)
			if status != http.StatusBadRequest && (status != http.StatusOK || len(received) != 1) || status == http.StatusBadRequest && len(received) != 0 {
				t.Errorf("%q: answered %d, backend received %+v", request, status, received)
			}
			if status == http.StatusOK && b != '\t' && b != '\n' {
				t.Errorf("%q: accepted", request)
			}
		}
	}
	for _, target := range []string{"/a?x=%0D%0AEvil:%20x", "/a%0D%0AEvil:%20x?y"} {
		if status, _, _ := n.ask("GET " + target + " HTTP/1.1\r\nHost: shop.mn\r\nX-Client: %0A\r\nConnection: close\r\n\r\n"); status != http.StatusOK {
			t.Errorf("%s: answered %d", target, status)
		}
		if received := backend.take(t); len(received) != 1 || received[0].Target != target {
			t.Errorf("%s: backend received %+v", target, received)
		}
	}
}

// Guards against a Host that an untrusted client chooses: its X-Forwarded-Host is deleted before the variables of route.host are
// expanded, and headers that the route sets count.
func TestHostIsExpandedFromThePreparedHeader(t *testing.T) {
	backend := newRecorder(t)
	n := serve(t, `
[[pool]]
name = "menu"
boxes = [ { id = "menu-1", address = "{menu}" } ]
[[server]]
  [[server.location]]
  path = "/forwarded"
    [[server.location.route]]
    pool = "menu"
    host = "$http_x_forwarded_host"
  [[server.location]]
  path = "/set"
    [[server.location.route]]
    pool = "menu"
    host = "$http_x_shop:8080"
    set = [ { name = "X-Shop", value = "menu.mn" } ]
`, map[string]string{"menu": backend.addr})
	for target, want := range map[string]string{"/forwarded": "shop.mn", "/set": "menu.mn:8080"} {
		status, _, _ := n.ask("GET " + target + " HTTP/1.1\r\nHost: shop.mn\r\nX-Forwarded-Host: evil.mn\r\nX-Shop: evil.mn\r\nConnection: close\r\n\r\n")
		received := backend.take(t)
		if status != http.StatusOK || len(received) != 1 || received[0].Fields.Values("Host")[0] != want {
			t.Errorf("%s: answered %d, backend received %+v, expected Host %s", target, status, received, want)
		}
	}
}
