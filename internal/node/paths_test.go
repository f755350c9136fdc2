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

// The path and query of a client must reach the backend byte for byte. net/url would decode, clean or escape them.
func TestPathsAreForwardedUnchanged(t *testing.T) {
	got := make(chan string, 8)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for {
			line, err := br.ReadString('\n')
			if err != nil {
				return
			}
			for text := line; text != "\r\n"; {
				if text, err = br.ReadString('\n'); err != nil {
					return
				}
			}
			if line != "GET /stats HTTP/1.1\r\n" {
				got <- line
			}
			io.WriteString(c, ok200("x"))
		}
	})
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text))
	eventually(t, "the node accepting clients", n.isServing.Load)
	for _, path := range []string{"/api/x", "/api/a%2Fb%7e", `/api/"quoted"|{x}^`, "//api//x/", "/api/x?", "/api/x?a=%zz&b=;c", "/api/../x/./y", "/api/\xc3\xbc?\xfc"} {
		c := n.dial(t)
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: path-%d\r\nX-Qos: read\r\nX-Customer: acme\r\n\r\n", path, lastID.Add(1))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%q: %v, %v", path, resp, err)
			continue
		}
		if line := receive(t, "the request at the backend", got); line != "GET "+path+" HTTP/1.1\r\n" {
			t.Errorf("%q was forwarded as %q", path, line)
		}
	}
}

// The node must not answer a request in place of a backend. net/http answers some by itself, such as OPTIONS *. None of these
// requests can run, so each gets an error or a close.
func TestLibraryAnswersNoRequest(t *testing.T) {
	text := listText(1, true, listedBackend{ID: "s", Addr: "127.0.0.1:1", Phase: "ready"})
	n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text))
	eventually(t, "the node accepting clients", n.isServing.Load)
	for _, line := range []string{"OPTIONS * HTTP/1.1", "OPTIONS /api/x HTTP/1.1", "TRACE /api/x HTTP/1.1", "CONNECT x:1 HTTP/1.1", "PRI * HTTP/2.0", "HEAD /api/x HTTP/1.1"} {
		c := n.dial(t)
		fmt.Fprintf(c, "%s\r\nHost: x\r\nX-Trace-Id: odd-%d\r\nX-Qos: read\r\nX-Customer: acme\r\nContent-Length: 0\r\n\r\n", line, lastID.Add(1))
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode < 400 {
			t.Errorf("%s: answered %d", line, resp.StatusCode)
		}
	}
}
