package httpfront

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"glencart/internal/site"
	"glencart/internal/standin"
)

const large = 32 << 20

// leaving starts a server, has what is under way begin, tells the server to end, and lets it go on a while later. Boxes hold
// requests to /held until then.
type leaving struct {
	*node
	addr string
	held chan string   // ids that a box has
	free chan struct{} // closed: boxes go on
	ran  sync.Map
}

func startLeaving(t *testing.T, limits string, withTLS bool) *leaving {
	l := &leaving{held: make(chan string, 8), free: make(chan struct{})}
	box := handler(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Id")
		l.ran.Store(id, true)
		switch r.URL.Path {
		case "/held":
			l.held <- id
			<-l.free
		case "/large":
			l.held <- id
			w.Header().Set("Content-Length", fmt.Sprint(large))
			w.Write(make([]byte, large))
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})
	keys := ""
	if withTLS {
		cert, key := pair(t, "shop.mn")
		keys = fmt.Sprintf("tls = [{ certificate = %q, key = %q }]\n", cert, key)
	}
	s := (&node{t: t}).site(keys+limits+onePool, map[string]string{"a": box})
	s.Node.Leave = site.Duration(standin.Patience) // however slow the machine is
	l.node = serveSite(t, s)
	l.addr = l.node.Addr("web")
	return l
}

// dial returns a connection, with TLS where that is spoken.
func (l *leaving) dial() net.Conn {
	l.t.Helper()
	c, err := net.Dial("tcp", l.addr)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(standin.Patience))
	if l.listeners[0].UsesTLS {
		return tls.Client(c, &tls.Config{InsecureSkipVerify: true})
	}
	return c
}

func post(path, id string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.mn\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n", path, id, length)
}

// A server that is told to end answers all that it has taken, whole, and then ends: long before leave is over.
func TestServeEndsInOrder(t *testing.T) {
	answer := func(t *testing.T, r *bufio.Reader) (*http.Response, string) {
		t.Helper()
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp, string(text)
	}
	for _, c := range []struct {
		name, limits string
		do           func(t *testing.T, l *leaving, told func())
	}{
		{"in the listener's queue", "[limits]\nconnections = 1\n", func(t *testing.T, l *leaving, told func()) {
			first, second := l.dial(), l.dial()
			io.WriteString(first, post("/held", "first", 0))
			standin.Receive(t, "the first", l.held)
			// TLS would wait for the server's part; what it writes first is enough to be taken by the queue.
			go io.WriteString(second, post("/", "second", 0))
			standin.Eventually(t, "the second in the queue", l.listeners[0].HasQueued)
			told()
			time.Sleep(300 * time.Millisecond)
			close(l.free)
			answer(t, bufio.NewReader(first))
			answer(t, bufio.NewReader(second))
		}},
		{"a large upload", "", func(t *testing.T, l *leaving, told func()) {
			c := l.dial()
			io.WriteString(c, post("/", "up", large))
			c.Write(make([]byte, large/2))
			told()
			time.Sleep(300 * time.Millisecond)
			c.Write(make([]byte, large/2))
			if resp, text := answer(t, bufio.NewReader(c)); text != fmt.Sprint(large) || !resp.Close {
				t.Errorf("%d, %q, close %t", resp.StatusCode, text, resp.Close)
			}
		}},
		{"a large answer to a slow reader", "", func(t *testing.T, l *leaving, told func()) {
			c := l.dial()
			io.WriteString(c, post("/large", "down", 0))
			standin.Receive(t, "the request", l.held)
			told()
			time.Sleep(600 * time.Millisecond) // far more than the sockets hold is still to come
			if _, text := answer(t, bufio.NewReader(c)); len(text) != large {
				t.Errorf("%d bytes", len(text))
			}
		}},
		{"a second request behind the first", "", func(t *testing.T, l *leaving, told func()) {
			c := l.dial()
			io.WriteString(c, post("/held", "first", 0)+post("/", "second", 0))
			standin.Receive(t, "the first", l.held)
			told()
			time.Sleep(300 * time.Millisecond)
			close(l.free)
			r := bufio.NewReader(c)
			resp, _ := answer(t, r)
			_, err := r.Peek(1)
			if _, ran := l.ran.Load("second"); !resp.Close || err == nil || ran {
				t.Errorf("the first says close: %t; more came: %t; the second ran: %t", resp.Close, err == nil, ran)
			}
		}},
		{"an idle connection, and one with half a request", "", func(t *testing.T, l *leaving, told func()) {
			quiet, half := l.dial(), l.dial()
			io.WriteString(quiet, post("/", "quiet", 0))
			r := bufio.NewReader(quiet)
			answer(t, r)
			text := post("/", "half", 0)
			io.WriteString(half, text[:20])
			standin.Eventually(t, "the half", func() bool {
				c := l.listeners[0].table.Counts()
				return c.Open == 2 && (c.Partial == 1 || l.listeners[0].UsesTLS)
			})
			told()
			if _, err := r.Peek(1); err != io.EOF && !strings.Contains(fmt.Sprint(err), "reset") {
				t.Errorf("the idle one: %v", err)
			}
			io.WriteString(half, text[20:])
			answer(t, bufio.NewReader(half))
		}},
	} {
		for _, withTLS := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, tls %t", c.name, withTLS), func(t *testing.T) {
				t.Parallel()
				l := startLeaving(t, c.limits, withTLS)
				ended := make(chan struct{})
				var began time.Time
				c.do(t, l, func() {
					began = time.Now()
					go func() { l.stop(); close(ended) }()
					standin.Eventually(t, "leaving", l.leaving.Load)
				})
				standin.Receive(t, "the end", ended)
				if b := &l.book; b.Open() != 0 || b.Accepted.Load() != b.Answered.Load() {
					t.Errorf("after %v: taken %d, answered %d, open %d", time.Since(began), b.Accepted.Load(), b.Answered.Load(), b.Open())
				}
			})
		}
	}
}

// A connection under TLS on which nobody has asked yet holds up no end: the handshake is no request.
func TestHandshakeHoldsUpNoEnd(t *testing.T) {
	l := startLeaving(t, "", true)
	if err := l.dial().(*tls.Conn).Handshake(); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	l.stop()
	if d := time.Since(began); d > standin.Patience/3 {
		t.Errorf("the end took %v", d)
	}
	if err := l.Reload(l.gen.Load().site); err == nil {
		t.Error("takes a file when it is about to end")
	}
}

// Clients that ask on and on, on the connections that they have: each request that ran has its whole answer, also those that
// cross the end.
func TestServeEndsUnderLoad(t *testing.T) {
	for range 4 {
		l := startLeaving(t, "", false)
		var wg sync.WaitGroup
		var lost, served atomic.Int64
		for i := range 16 {
			c := l.dial()
			wg.Go(func() {
				r := bufio.NewReader(c)
				for k := 0; ; k++ {
					id := fmt.Sprintf("%d-%d", i, k)
					if _, err := io.WriteString(c, post("/", id, 0)); err != nil {
						return // the one before was answered
					}
					resp, err := http.ReadResponse(r, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					if err != nil {
						if _, ran := l.ran.Load(id); ran {
							lost.Add(1)
						}
						return
					}
					if served.Add(1); resp.Close {
						return
					}
				}
			})
		}
		standin.Eventually(t, "some load", func() bool { return served.Load() > 200 })
		l.stop()
		wg.Wait()
		if b := &l.book; lost.Load() > 0 || b.ClientLeft.Load() > 0 || b.Open() != 0 {
			t.Errorf("%d ran without an answer, %d served; client left %d, open %d", lost.Load(), served.Load(), b.ClientLeft.Load(), b.Open())
		}
	}
}
