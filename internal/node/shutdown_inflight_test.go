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
)

// A request in flight at SIGTERM gets its whole answer, or its client can see that it never ran, and then the node ends. The longest
// deadline is 2 s. From 1.6 s on, connections close with their answers, and all requests are answered by 2.35 s.
func TestInFlightRequestsAtShutdown(t *testing.T) {
	const large = 32 << 20
	post := func(id string, length int) string {
		return fmt.Sprintf("%sX-Trace-Id: %s\r\nContent-Length: %d\r\n\r\n", orderHead, id, length)
	}
	answer := func(t *testing.T, r *bufio.Reader) (*http.Response, int) {
		t.Helper()
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%d, %d bytes, %v", resp.StatusCode, n, err)
		}
		return resp, int(n)
	}
	for name, run := range map[string]func(t *testing.T, n *testNode, c net.Conn, shutDown func()){
		"half a head": func(t *testing.T, n *testNode, c net.Conn, shutDown func()) {
			text := post("half", 0)
			io.WriteString(c, text[:30])
			eventually(t, "the half head", func() bool { return n.front.table.Counts().Partial == 1 })
			shutDown()
			time.Sleep(1800 * time.Millisecond)
			io.WriteString(c, text[30:])
			answer(t, bufio.NewReader(c))
		},
		"an upload in chunks": func(t *testing.T, n *testNode, c net.Conn, shutDown func()) {
			io.WriteString(c, orderHead+"X-Trace-Id: chunks\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
			eventually(t, "the head of the request", func() bool { return n.front.table.Counts().Open == 1 })
			shutDown()
			time.Sleep(1800 * time.Millisecond)
			io.WriteString(c, "1\r\nc\r\n0\r\n\r\n")
			answer(t, bufio.NewReader(c))
		},
		"a large upload": func(t *testing.T, n *testNode, c net.Conn, shutDown func()) {
			io.WriteString(c, post("up", large))
			c.Write(make([]byte, large/2))
			shutDown()
			time.Sleep(time.Second)
			c.Write(make([]byte, large/2))
			answer(t, bufio.NewReader(c))
		},
		"a large answer, read slowly": func(t *testing.T, n *testNode, c net.Conn, shutDown func()) {
			io.WriteString(c, strings.Replace(post("down", 0), "/api/x", "/api/large", 1))
			r := bufio.NewReader(c)
			r.Peek(1)
			shutDown()
			time.Sleep(time.Second)
			if _, got := answer(t, r); got != large {
				t.Errorf("%d bytes", got)
			}
		},
		"a pipelined request": func(t *testing.T, n *testNode, c net.Conn, shutDown func()) {
			io.WriteString(c, strings.Replace(post("first", 0), "/api/x", "/api/slow", 1)+post("second", 0))
			eventually(t, "the first request", func() bool { return n.openRequests(t) == 1 })
			shutDown()
			r := bufio.NewReader(c)
			if resp, _ := answer(t, r); !resp.Close {
				answer(t, r) // the second request was read too, so it is answered
			}
		},
		"a reload with another discovery": func(t *testing.T, n *testNode, c net.Conn, shutDown func()) {
			shutDown()
			reloaded := n.cfg
			reloaded.Discovery = newRegistry(t, listText(7, true)).Addr // its list is empty
			if err := n.Reload(reloaded); err != nil {
				t.Fatal(err)
			}
			io.WriteString(c, post("kept", 0))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 {
				t.Errorf("%v, %v", resp, err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, r *bufio.Reader) {
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					switch req.URL.Path {
					case "/api/large":
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", large)
						c.Write(make([]byte, large))
						continue
					case "/api/slow":
						time.Sleep(400 * time.Millisecond)
					}
					io.WriteString(c, ok200("x"))
				}
			})
			text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
			n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text, `"deadline":10000000000`, `"deadline":2000000000`))
			c := n.dial(t)
			c.SetDeadline(time.Now().Add(testTimeout))
			run(t, n, c, func() {
				n.stop()
				eventually(t, "the start of the shutdown", n.front.isLeaving.Load)
			})
			if err := receive(t, "the end of the node", n.result); err != nil {
				t.Error(err)
			}
			if b := &n.front.requestCounts; b.Open() != 0 || b.Accepted.Load() != b.Answered.Load() {
				t.Errorf("accepted %d, answered %d, client left %d", b.Accepted.Load(), b.Answered.Load(), b.ClientLeft.Load())
			}
		})
	}
}
