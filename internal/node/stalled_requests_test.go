package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// A client that stops in the middle of a request and stays connected must get an error or a close within 3 s, wherever it stops, on a
// new or a reused connection. A phase of reading without a timeout would leave it waiting. The margin is for a slow machine.
func TestStalledRequestsEndInTime(t *testing.T) {
	const limit, margin = 3 * time.Second, 250 * time.Millisecond
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string { return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text))
	eventually(t, "the node accepting clients", n.isServing.Load)
	order := func(length string) string {
		return fmt.Sprintf("POST /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: stops-%d\r\nX-Qos: order\r\nX-Customer: acme\r\n%s\r\n\r\n",
			lastID.Add(1), length)
	}
	var stalled sync.WaitGroup // goroutines, since only as many parallel tests run as there are cores
	defer stalled.Wait()
	for name, sent := range map[string]string{
		"nothing":               "",
		"a byte":                "P",
		"two bytes":             "PO",
		"four bytes":            "POST",
		"half a head":           "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Trace",
		"a head":                order("Content-Length: 10"),
		"half a body":           order("Content-Length: 10") + "12345",
		"a long body":           order("Content-Length: 200000") + "12345",
		"half a chunk":          order("Transfer-Encoding: chunked") + "a\r\n12345",
		"chunks without an end": order("Transfer-Encoding: chunked") + "5\r\n12345\r\n",
	} {
		for _, reused := range []bool{false, true} {
			if reused && sent == "" {
				continue // an idle connection
			}
			c := n.dial(t)
			stalled.Go(func() {
				if reused {
					doRequestOn(t, c)
					time.Sleep(500 * time.Millisecond)
				}
				began := time.Now()
				io.WriteString(c, sent)
				c.SetReadDeadline(began.Add(2 * limit))
				got := make([]byte, 1)
				if _, err := io.ReadFull(c, got); err != nil && err != io.EOF {
					t.Errorf("%s, reused %v: neither an answer nor a close: %v", name, reused, err)
				}
				if d := time.Since(began); d > limit-margin {
					t.Errorf("%s, reused %v: ended after %v", name, reused, d)
				}
			})
		}
	}
}

// doRequestOn sends a whole request on a connection and waits for its answer.
func doRequestOn(t *testing.T, c net.Conn) {
	t.Helper()
	fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: whole-%d\r\nX-Qos: read\r\nX-Customer: acme\r\n\r\n", lastID.Add(1))
	answer := make([]byte, 512)
	if k, err := c.Read(answer); err != nil || k < 16 || string(answer[:9]) != "HTTP/1.1 " {
		t.Errorf("answered %q, %v", answer[:k], err)
	}
}
