package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A client that has sent a part of its request when the node closes the connection, at shutdown or to make room for others, still
// gets an answer. The rest may be on its way, and a client that has written its last byte expects an answer.
func TestIncompleteRequestIsAnsweredBeforeClose(t *testing.T) {
	head := func(length string) string {
		return fmt.Sprintf("POST /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: halfway-%d\r\nX-Qos: order\r\nX-Customer: acme\r\n%s\r\n\r\n",
			lastID.Add(1), length)
	}
	for name, sent := range map[string]string{
		"a byte":       "P",
		"half a head":  "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Trace",
		"a head":       head("Content-Length: 10"),
		"half a body":  head("Content-Length: 10") + "12345",
		"half a chunk": head("Transfer-Encoding: chunked") + "a\r\n12345",
	} {
		for cause, forceClose := range map[string]func(t *testing.T, n *testNode){
			"shutdown": func(t *testing.T, n *testNode) { n.stop() },
			"connection flood": func(t *testing.T, n *testNode) {
				for range 3 * n.bounds.clients {
					if c, err := net.Dial("tcp", n.Addr().String()); err == nil {
						t.Cleanup(func() { c.Close() })
					}
				}
			},
		} {
			t.Run(cause+", "+name, func(t *testing.T) {
				t.Parallel()
				b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string { return ok200("x") }))
				text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
				cfg := testConfig(t, newRegistry(t, text).Addr, text, `"deadline":10000000000`, `"deadline":400000000`)
				cfg.Limits.Sockets = minSockets
				n := startNode(t, cfg)
				eventually(t, "the node accepting clients", n.isServing.Load)
				c := n.dial(t)
				io.WriteString(c, sent)
				eventually(t, "the first bytes read", func() bool { return n.front.table.Counts().Partial == 1 })
				forceClose(t, n)
				c.SetReadDeadline(time.Now().Add(testTimeout))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatalf("no answer: %v", err)
				}
				if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
					t.Errorf("answered %d, closing: %v", resp.StatusCode, resp.Close)
				}
			})
		}
	}
}
