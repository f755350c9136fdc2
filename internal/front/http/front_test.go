package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"glencart/internal/site"
	"glencart/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is a server under test.
type node struct {
	*Server
	t    *testing.T
	stop func()
}

// serve starts a site whose text may hold {name} for addresses.
func serve(t *testing.T, text string, addrs map[string]string) *node {
	t.Helper()
	return serveSite(t, (&node{t: t}).site(text, addrs))
}

func serveSite(t *testing.T, s *site.Site) *node {
	t.Helper()
	v, err := New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n := &node{t: t, Server: v}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- v.Run(ctx) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		if err := standin.Receive(t, "the end", ended); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(n.stop)
	return n
}

const oneListener = "[node]\nleave = \"2s\"\n[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n"

func (n *node) site(text string, addrs map[string]string) *site.Site {
	n.t.Helper()
	for name, a := range addrs {
		text = strings.ReplaceAll(text, "{"+name+"}", a)
	}
	s, err := site.Parse("site.toml", []byte(oneListener+text))
	if err != nil {
		n.t.Fatal(err)
	}
	return s
}

func (n *node) reload(text string, addrs map[string]string) {
	n.t.Helper()
	if err := n.Reload(n.site(text, addrs)); err != nil {
		n.t.Fatal(err)
	}
}

// raw sends text on a connection of its own and returns the answer, and what follows on the connection.
func (n *node) raw(text string) (*http.Response, *bufio.Reader, net.Conn) {
	n.t.Helper()
	c, err := net.Dial("tcp", n.Addr("web"))
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(standin.Patience))
	io.WriteString(c, text)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, &http.Request{Method: strings.Fields(text)[0]})
	if err != nil {
		n.t.Fatalf("%.40q: %v", text, err)
	}
	return resp, r, c
}

// get sends a request and returns the status and the whole body.
func (n *node) get(method, path, body string, header ...string) (int, string, http.Header) {
	n.t.Helper()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.mn\r\nConnection: close\r\n", method, path)
	for i := 0; i < len(header); i += 2 {
		head += header[i] + ": " + header[i+1] + "\r\n"
	}
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	resp, _, _ := n.raw(head + "\r\n" + body)
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, "cut: " + string(text), resp.Header
	}
	return resp.StatusCode, string(text), resp.Header
}

// handler starts a box with net/http's server.
func handler(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// scripted starts a box that reads whole requests and does with the connection what it likes. ran counts them.
func scripted(t *testing.T, ran *atomic.Int64, answer func(c net.Conn, r *http.Request)) string {
	return standin.NewRaw(t, "127.0.0.1:0", func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			ran.Add(1)
			answer(c, req)
		}
	}).Listener.Addr().String()
}

const onePool = `
[[pool]]
name = "p"
boxes = [{ address = "{a}" }]
[[server]]
[[server.location]]
path = "/"
[[server.location.route]]
pool = "p"
upgrade = true
`

const twoBoxes = `
[[pool]]
name = "p"
boxes = [{ id = "a", address = "{a}" }, { id = "b", address = "{b}" }]
[[server]]
[[server.location]]
path = "/"
[[server.location.route]]
pool = "p"
`

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Every way a box can break, by a scripted peer: what is safe is tried again, what may have run is not, and the client has
// one answer.
func TestBreaks(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(c net.Conn, r *http.Request)
		get    int // status of a GET, with a good box beside it
		post   int // of a POST, when it came to the bad box
		cut    bool
	}{
		{"closed after the last byte", func(c net.Conn, r *http.Request) { c.Close() }, 200, 502, false},
		{"reset after the last byte", func(c net.Conn, r *http.Request) { standin.Reset(c) }, 200, 502, false},
		{"half a head", func(c net.Conn, r *http.Request) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-"); c.Close() }, 200, 502, false},
		{"noise", func(c net.Conn, r *http.Request) { io.WriteString(c, "\x00\x01\x02 what\r\n\r\n"); c.Close() }, 200, 502, false},
		{"a head without end", func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 2*maxAnswerHeadBytes))
		}, 200, 502, false},
		{"half of a short body", func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			c.Close()
		}, 200, 502, false},
		{"500", func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops")
		}, 200, 500, false},
		{"503 that may have run", func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		}, 200, 503, false},
		{"503 that never ran", func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		}, 200, 200, false},
		{"1xx without end", func(c net.Conn, r *http.Request) {
			io.WriteString(c, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2*maxInformational)+fine)
			c.Close()
		}, 200, 502, false},
		{"101 that nobody asked for", func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")
		}, 200, 502, false},
		{"half of a stream", func(c net.Conn, r *http.Request) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			c.Close()
		}, 200, 200, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, method := range []string{"GET", "POST"} {
				var bad, good atomic.Int64
				n := serve(t, twoBoxes, map[string]string{"a": scripted(t, &bad, c.answer),
					"b": scripted(t, &good, func(c net.Conn, _ *http.Request) { io.WriteString(c, fine) })})
				for bad.Load() == 0 { // until one comes to the bad box
					was := good.Load()
					status, body, h := n.get(method, "/x", map[string]string{"GET": "", "POST": "two buuz"}[method])
					if bad.Load() == 0 {
						continue
					}
					want := map[string]int{"GET": c.get, "POST": c.post}[method]
					if status != want || strings.HasPrefix(body, "cut") != c.cut {
						t.Errorf("%s: %d %q, want %d", method, status, body, want)
					}
					if method == "POST" && (want != 200 || c.cut) && good.Load() != was {
						t.Errorf("a POST that may have run went on to the other box")
					}
					if want == 503 && h.Get(neverRanHeader) != "" {
						t.Error("the client is told that it never ran")
					}
				}
			}
		})
	}
}

// What no table of breaks shows: kept connections that a box has closed or written noise on take no request; a refusal of
// what may have run does not say that it never did; a body that streams belongs to one attempt, also of a safe class; a
// class may have fewer attempts than its pool.
func TestOnce(t *testing.T) {
	var ran atomic.Int64
	for _, after := range []string{"", "noise"} {
		answered, spoilt := make(chan bool), make(chan bool)
		n := serve(t, onePool, map[string]string{"a": scripted(t, &ran, func(c net.Conn, r *http.Request) {
			io.WriteString(c, fine)
			<-answered
			if io.WriteString(c, after); after == "" {
				c.Close()
			}
			spoilt <- true
		})})
		for i := range 20 {
			if status, body, _ := n.get("POST", "/x", "x"); status != 200 || body != "ok" {
				t.Errorf("%q behind the answer, request %d: %d %q", after, i, status, body)
			}
			answered <- true
			<-spoilt
		}
	}
	closes := func(c net.Conn, _ *http.Request) { c.Close() }
	n := serve(t, onePool, map[string]string{"a": scripted(t, &ran, closes)})
	if status, _, h := n.get("GET", "/x", ""); status != 503 || h.Get(neverRanHeader) != "" || h.Get("Retry-After") == "" {
		t.Errorf("a safe request that may have run: %d %v", status, h)
	}
	n = serve(t, strings.Replace(twoBoxes, "pool = \"p\"", "pool = \"p\"\nclass = \"safe\"", 1), map[string]string{
		"a": standin.NewRaw(t, "127.0.0.1:0", func(c net.Conn, r *bufio.Reader) { io.CopyN(io.Discard, r, 200<<10); standin.Reset(c) }).Listener.Addr().String(),
		"b": standin.NewRaw(t, "127.0.0.1:0", func(c net.Conn, r *bufio.Reader) { io.CopyN(io.Discard, r, 200<<10); standin.Reset(c) }).Listener.Addr().String()})
	resp, _, _ := n.raw(fmt.Sprintf("PUT /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 1<<20, bytes.Repeat([]byte("x"), 1<<20)))
	if resp.StatusCode != 502 {
		t.Errorf("a stream that broke: %d", resp.StatusCode)
	}
	ran.Store(0)
	once := strings.Replace(twoBoxes, "pool = \"p\"", "pool = \"p\"\nclass = \"once\"", 1) + "[[class]]\nname = \"once\"\neffect = \"safe\"\nattempts = 1\n"
	n = serve(t, once, map[string]string{"a": scripted(t, &ran, closes), "b": scripted(t, &ran, closes)})
	if n.get("GET", "/x", ""); ran.Load() != 1 {
		t.Errorf("one attempt, and it ran %d times", ran.Load())
	}
}

// What one box says of itself is not told of all: a request that may have run at one, and never ran at the next, goes back
// without X-Never-Ran; so does a failure, whatever the box adds to it.
func TestNeverRanIsOfAllBoxes(t *testing.T) {
	var ran atomic.Int64
	text := strings.Replace(twoBoxes, "pool = \"p\"", "pool = \"p\"\nclass = \"k\"", 1) + "[[class]]\nname = \"k\"\neffect = \"keyed\"\nwindow = \"1m\"\n"
	for _, c := range []struct{ first, then string }{
		{"", "HTTP/1.1 429 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"},
		{"HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"},
	} {
		ran.Store(0)
		box := func(conn net.Conn, r *http.Request) {
			if answer := map[bool]string{true: c.first, false: c.then}[ran.Load() == 1]; answer != "" {
				io.WriteString(conn, answer)
			} else {
				conn.Close()
			}
		}
		n := serve(t, text, map[string]string{"a": scripted(t, &ran, box), "b": scripted(t, &ran, box)})
		status, _, h := n.get("POST", "/x", "x", "Idempotency-Key", "7")
		if ran.Load() < 2 || h.Get(neverRanHeader) != "" {
			t.Errorf("%d attempts, status %d, %v", ran.Load(), status, h)
		}
		unsafe := serve(t, onePool, map[string]string{"a": scripted(t, &ran, func(conn net.Conn, _ *http.Request) { io.WriteString(conn, c.then) })})
		if status, _, h := unsafe.get("POST", "/x", "x"); status == 500 && h.Get(neverRanHeader) != "" {
			t.Errorf("status %d, %v", status, h)
		}
	}
}

// A body beyond what is held streams: it arrives whole, goes out once, and is tried again only while none of it was read.
func TestStreamedBodies(t *testing.T) {
	big := bytes.Repeat([]byte("khuree khool "), 1<<18) // 3.25 MiB
	sum := fmt.Sprintf("%x", sha256.Sum256(big))
	hash := func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		io.Copy(h, r.Body)
		w.Header().Set("X-Trailer-Was", r.Trailer.Get("Checksum"))
		w.Header().Set("Trailer", "Answer-Sum")
		fmt.Fprintf(w, "%x %d", h.Sum(nil), r.ContentLength)
		w.(http.Flusher).Flush()
		w.Header().Set("Answer-Sum", "42")
	}
	refusing := standin.ReserveAddr(t)
	n := serve(t, twoBoxes, map[string]string{"a": handler(t, hash), "b": refusing})
	for _, length := range []int64{int64(len(big)), -1} {
		for range 4 { // whichever box it comes to first
			req, _ := http.NewRequest("PUT", "http://"+n.Addr("web")+"/file", io.NopCloser(bytes.NewReader(big)))
			req.ContentLength = length
			if length < 0 {
				req.Trailer = http.Header{"Checksum": {"7"}}
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil || string(text) != fmt.Sprintf("%s %d", sum, length) {
				t.Errorf("%d: %s, %v", resp.StatusCode, text, err)
			}
			if length < 0 && resp.Header.Get("X-Trailer-Was") != "7" || resp.Trailer.Get("Answer-Sum") != "42" {
				t.Errorf("trailers: %q, %q", resp.Header.Get("X-Trailer-Was"), resp.Trailer.Get("Answer-Sum"))
			}
		}
	}
	http.DefaultClient.CloseIdleConnections()
	// A client that breaks off within it: the box sees a cut, and nothing is left behind.
	_, _, c := n.raw("GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	fmt.Fprintf(c, "PUT /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n%s", bytes.Repeat([]byte("x"), 100_000))
	c.Close()
	standin.Eventually(t, "nothing open", func() bool { return n.Server.open.Load() == 0 })
	// A box that answers before the body is over: the client has that answer.
	var ran atomic.Int64
	early := serve(t, onePool, map[string]string{"a": standin.NewRaw(t, "127.0.0.1:0", func(c net.Conn, r *bufio.Reader) {
		http.ReadRequest(r)
		ran.Add(1)
		io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno")
		io.Copy(io.Discard, r) // closing with something unread makes a reset
	}).Listener.Addr().String()})
	resp, _, _ := early.raw(fmt.Sprintf("PUT /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 1<<20, bytes.Repeat([]byte("x"), 100_000)))
	if resp.StatusCode != 413 || ran.Load() != 1 {
		t.Errorf("status %d, ran %d times", resp.StatusCode, ran.Load())
	}
}

// What goes on to a box and comes back: headers, upgrades, Expect, events as they come.
func TestPassing(t *testing.T) {
	next := make(chan bool)
	n := serve(t, onePool+"set = [{ name = \"X-Seen\", value = \"$scheme $host $request_uri\" }]\nadd = [{ name = \"X-By\", value = \"glencart\" }]\n",
		map[string]string{"a": handler(t, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/events":
				io.WriteString(w, "one\n")
				w.(http.Flusher).Flush()
				<-next
				io.WriteString(w, "two\n")
			case "/ws":
				c, rw, _ := w.(http.Hijacker).Hijack()
				defer c.Close()
				fmt.Fprintf(rw, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\nhello ", r.Header.Get("Upgrade"))
				rw.Flush()
				line, _ := rw.ReadString('\n')
				rw.WriteString("you said " + line)
				rw.Flush()
			default:
				for _, name := range []string{"X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "Forwarded", "X-Seen", "Connection", "X-Hop", "Te", "Expect"} {
					fmt.Fprintf(w, "%s=%s\n", name, strings.Join(r.Header[name], "|"))
				}
				body, _ := io.ReadAll(r.Body)
				fmt.Fprintf(w, "uri=%s host=%s body=%s", r.RequestURI, r.Host, body)
			}
		})})
	status, body, h := n.get("GET", "/a%20b/../c?q=1", "", "X-Forwarded-For", "6.6.6.6", "Forwarded", "for=6.6.6.6", "X-Hop", "1", "Connection", "X-Hop", "TE", "trailers")
	want := "X-Forwarded-For=127.0.0.1\nX-Forwarded-Proto=http\nX-Forwarded-Host=shop.mn\nForwarded=for=127.0.0.1;host=shop.mn;proto=http\n" +
		"X-Seen=http shop.mn /a%20b/../c?q=1\nConnection=\nX-Hop=\nTe=\nExpect=\nuri=/a%20b/../c?q=1 host=shop.mn body="
	if status != 200 || body != want || h.Get("X-By") != "glencart" {
		t.Errorf("%d\n%s\nwant\n%s", status, body, want)
	}
	resp, r, c := n.raw("POST /x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	if resp.StatusCode != 100 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	io.WriteString(c, "body")
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("after 100: %v %v", resp, err)
	} else if text, _ := io.ReadAll(resp.Body); !strings.HasSuffix(string(text), "body=body") {
		t.Errorf("%s", text)
	}
	resp, _, _ = n.raw("GET /events HTTP/1.1\r\nHost: x\r\n\r\n")
	line := make([]byte, 4)
	if _, err := io.ReadFull(resp.Body, line); err != nil || string(line) != "one\n" {
		t.Errorf("the first event: %q %v", line, err)
	}
	next <- true
	if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != "two\n" {
		t.Errorf("the second: %q %v", rest, err)
	}
	resp, r, c = n.raw("GET /ws HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n\r\n")
	if resp.StatusCode != 101 || resp.Header.Get("Upgrade") != "websocket" {
		t.Fatalf("upgrade: %d %v", resp.StatusCode, resp.Header)
	}
	io.WriteString(c, "buuz\n")
	if text, _ := io.ReadAll(r); string(text) != "hello you said buuz\n" {
		t.Errorf("through the tunnel: %q", text)
	}
	for _, bad := range []string{"GET /a%00b HTTP/1.1\r\nHost: x\r\n\r\n", "GET /../../x HTTP/1.1\r\nHost: x\r\n\r\n"} {
		if resp, _, _ := n.raw(bad); resp.StatusCode != 400 {
			t.Errorf("%q: %d", bad, resp.StatusCode)
		}
	}
}

const manyRoutes = `
[[class]]
name = "keyed"
effect = "keyed"
window = "1m"
[[pool]]
name = "p"
boxes = [{ address = "{a}" }]
[[server]]
[[server.location]]
path = "/api/"
[[server.location.route]]
pool = "p"
rewrite = "/v2/"
host = "inner"
methods = ["GET"]
body = "10B"
[[server.location]]
path = "/inside"
allow = ["10.0.0.0/8"]
deny = ["all"]
[[server.location.route]]
pool = "p"
[[server.location]]
path = "/near"
allow = ["127.0.0.0/8"]
deny = ["all"]
[[server.location.route]]
pool = "p"
[[server.location]]
path = "/moved"
[[server.location.route]]
status = 308
text = "$scheme://new.mn$request_uri"
[[server.location]]
path = "/keyed"
[[server.location.route]]
pool = "p"
class = "keyed"
[[server.location]]
path = "/small"
[[server.location.route]]
pool = "p"
body = "10B"
`

func TestRoutes(t *testing.T) {
	n := serve(t, manyRoutes, map[string]string{"a": handler(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s %s", r.Host, r.RequestURI)
	})})
	for _, c := range []struct {
		method, path, body string
		header             []string
		status             int
		want               string // in the body or the Location, or in Allow
	}{
		{"GET", "/api/menu%2F7?x=%20", "", nil, 200, "inner /v2/menu/7?x=%20"},
		{"DELETE", "/api/menu", "", nil, 405, "GET"},
		{"GET", "/inside", "", nil, 403, ""},
		{"GET", "/x/../inside/", "", nil, 403, ""},
		{"GET", "/near", "", nil, 200, "shop.mn /near"},
		{"GET", "/nowhere", "", nil, 404, ""},
		{"POST", "/moved?a=b", "", nil, 308, "http://new.mn/moved?a=b"},
		{"POST", "/keyed", "x", nil, 400, "Idempotency-Key"},
		{"POST", "/keyed", "x", []string{"Idempotency-Key", "7"}, 200, "/keyed"},
		{"POST", "/small", "12345678901", nil, 413, "too long"},
		{"POST", "/small", "1234567890", nil, 200, "/small"},
		{"POST", "/small", "", []string{"Transfer-Encoding", "chunked"}, 413, "too long"},
	} {
		body := c.body
		if c.header != nil && c.header[0] == "Transfer-Encoding" {
			resp, _, _ := n.raw("POST /small HTTP/1.1\r\nHost: shop.mn\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n0\r\n\r\n")
			text, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != c.status || !strings.Contains(string(text), c.want) {
				t.Errorf("chunked: %d %s", resp.StatusCode, text)
			}
			continue
		}
		status, text, h := n.get(c.method, c.path, body, c.header...)
		if status != c.status || !strings.Contains(text+h.Get("Location")+h.Get("Allow"), c.want) {
			t.Errorf("%s %s: %d %q %v, want %d %q", c.method, c.path, status, text, h, c.status, c.want)
		}
	}
}

// Reloading: what is open ends under its version, a drained box gets nothing new, a wrong file changes nothing.
func TestReload(t *testing.T) {
	hold, held := make(chan bool), make(chan bool, 1)
	var a, b atomic.Int64
	box := func(n *atomic.Int64) string {
		return handler(t, func(w http.ResponseWriter, r *http.Request) {
			n.Add(1)
			if r.URL.Path == "/hold" {
				held <- true
				<-hold
			}
			io.WriteString(w, "served")
		})
	}
	addrs := map[string]string{"a": box(&a), "b": box(&b)}
	n := serve(t, twoBoxes, addrs)
	got := make(chan string, 1)
	go func() { _, body, _ := n.get("GET", "/hold", ""); got <- body }()
	standin.Receive(t, "the open request", held)
	for i, state := range []string{"draining", "down"} {
		n.reload(strings.ReplaceAll(twoBoxes, `address = "{a}"`, `address = "{a}", state = "`+state+`"`), addrs)
		was, posted := a.Load(), make(chan bool)
		n.gen.Load().pools["p"].loop.Post(func() { close(posted) })
		<-posted
		for range 20 {
			if status, _, _ := n.get("GET", "/x", ""); status != 200 {
				t.Errorf("status %d", status)
			}
		}
		if a.Load() != was {
			t.Errorf("%s: %d more came to it", state, a.Load()-was)
		}
		if i == 0 {
			close(hold)
			if body := standin.Receive(t, "its answer", got); body != "served" {
				t.Errorf("the open request: %q", body)
			}
		}
	}
	pool := n.gen.Load().pools["p"]
	// Another class: another pool, and the old one ends.
	n.reload(twoBoxes+"[[class]]\nname = \"new\"\n", addrs)
	if n.gen.Load().pools["p"] == pool {
		t.Error("the pool was carried over, with its old classes")
	}
	<-pool.loop.Done()
	if status, _, _ := n.get("GET", "/x", ""); status != 200 {
		t.Errorf("after it: %d", status)
	}
	other := n.site(strings.ReplaceAll(onePool, "{a}", addrs["a"]), nil)
	other.Listeners[0].Address = "127.0.0.1:1"
	if err := n.Reload(other); err == nil || !strings.Contains(err.Error(), "restart") {
		t.Errorf("another address: %v", err)
	}
	n.stop()
	if n.Server.open.Load() != 0 {
		t.Error("something is open after the end")
	}
}

// A pool that ends with a reload hears of a drain in the same file: what is open in it is not tried again there.
func TestDrainOfAnEndingPool(t *testing.T) {
	var a, b atomic.Int64
	at, hold := make(chan string, 1), make(chan bool)
	box := func(id string, n *atomic.Int64) string {
		return scripted(t, n, func(c net.Conn, r *http.Request) {
			if r.URL.Path == "/hold" && a.Load()+b.Load() == 1 {
				at <- id
				<-hold
				c.Close()
				return
			}
			io.WriteString(c, fine)
		})
	}
	addrs := map[string]string{"a": box("a", &a), "b": box("b", &b)}
	n := serve(t, twoBoxes, addrs)
	got := make(chan int, 1)
	go func() { status, _, _ := n.get("GET", "/hold", ""); got <- status }()
	other := map[string]string{"a": "b", "b": "a"}[standin.Receive(t, "the open request", at)]
	n.reload(strings.ReplaceAll(twoBoxes, `address = "{`+other+`}"`, `address = "{`+other+`}", state = "draining"`)+"[[class]]\nname = \"new\"\n", addrs)
	close(hold)
	if status := standin.Receive(t, "its answer", got); status != 503 || a.Load()+b.Load() != 1 {
		t.Errorf("status %d, %d attempts: it went to a box that drains", status, a.Load()+b.Load())
	}
}

// Backups step in within the request that finds the last usual box gone, and leave again; a box that comes back is cold.
func TestBackups(t *testing.T) {
	var usual, spare atomic.Int64
	good := func(c net.Conn, _ *http.Request) { io.WriteString(c, fine) }
	addr := standin.ReserveAddr(t)
	text := strings.ReplaceAll(twoBoxes, `address = "{b}"`, `address = "{b}", backup = true`)
	text = strings.ReplaceAll(text, `name = "p"`, "name = \"p\"\nslow_start = \"20s\"\nfail_within = \"50ms\"")
	n := serve(t, text, map[string]string{"a": addr, "b": scripted(t, &spare, good)})
	for i := range 10 {
		if status, body, _ := n.get("POST", "/x", "x"); status != 200 {
			t.Fatalf("request %d: %d %s", i, status, body)
		}
	}
	if spare.Load() != 10 {
		t.Errorf("%d to the backup", spare.Load())
	}
	standin.NewRaw(t, addr, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			usual.Add(1)
			good(c, nil)
		}
	})
	standin.Eventually(t, "the usual box has all", func() bool {
		n.get("GET", "/x", "")
		q := n.gen.Load().pools["p"]
		told, on := make(chan bool, 1), false
		q.loop.Post(func() { on = q.spare.UsesBackups(); told <- q.list.Members[0].Launched > 0 })
		return <-told && !on && usual.Load() > 0
	})
}
