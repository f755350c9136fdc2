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

// sendInPieces writes text to a node in pieces of this many bytes. It returns the statuses of the answers up to the close of
// the connection.
func sendInPieces(t *testing.T, n *testNode, text string, piece int) (statuses []int) {
	t.Helper()
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	go func() {
		for len(text) > 0 {
			size := min(piece, len(text))
			if _, err := io.WriteString(c, text[:size]); err != nil {
				return
			}
			text = text[size:]
		}
	}()
	br := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			if strings.Contains(err.Error(), "timeout") {
				t.Error("the connection was not closed")
			}
			return statuses
		}
		io.Copy(io.Discard, resp.Body)
		statuses = append(statuses, resp.StatusCode)
	}
}

// A request with two conflicting lengths may hide another one in its body (request smuggling, RFC 9112, section 11.2). It gets a 4xx
// and a close, whole or in pieces, first on its connection or not. Neither it nor the hidden request reaches a backend.
func TestConflictingLengthsAreRejected(t *testing.T) {
	seen := make(chan string, 64)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		seen <- r.Header.Get("X-Trace-Id")
		return ok200("x")
	}))
	n := startNodeWithBackends(t, b.Addr().String())
	head := func(class, id, lengths string) string {
		method := "POST"
		if class == "read" {
			method = "GET"
		}
		return fmt.Sprintf("%s /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\nX-Expires-In: 9\r\n%s\r\n",
			method, id, class, lengths)
	}
	hidden := head("order", "hidden", "Content-Length: 0\r\n")
	chunk := "0\r\n\r\n" + hidden
	for name, text := range map[string]string{
		"length first":  head("order", "bad", fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(chunk))) + chunk,
		"chunks first":  head("order", "bad", fmt.Sprintf("transfer-encoding: chunked\r\ncontent-length: %d\r\n", len(chunk))) + chunk,
		"a length of 0": head("order", "bad", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n") + chunk,
		"on a GET":      head("read", "bad", fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(chunk))) + chunk,
		"HTTP/1.0": strings.Replace(head("order", "bad", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n"),
			"HTTP/1.1", "HTTP/1.0", 1) + chunk,
		"two lengths": head("order", "bad", "Content-Length: 3\r\nContent-Length: 30\r\n") + "abc" + hidden,
	} {
		for _, piece := range []int{1, 7, 1 << 20} {
			t.Run(fmt.Sprintf("%s by %d", name, piece), func(t *testing.T) {
				if got := sendInPieces(t, n, text, piece); len(got) != 1 || got[0] < 400 || got[0] > 499 || got[0] == 429 {
					t.Errorf("answered %v", got)
				}
			})
		}
	}
	t.Run("second on its connection", func(t *testing.T) {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		br := bufio.NewReader(c)
		// The body of the first request looks like a head and must not be parsed as one.
		body := "Transfer-Encoding: chunked\r\n\r\n"
		for i, want := range []int{200, 400} {
			text := head("order", "good", fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
			if i == 1 {
				text = head("order", "bad", fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(chunk))) + chunk
			}
			io.WriteString(c, text)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != want {
				t.Errorf("request %d: answered %d, want %d", i, resp.StatusCode, want)
			}
		}
		if _, err := br.ReadByte(); err == nil {
			t.Error("more than two answers")
		}
	})
	close(seen)
	for id := range seen {
		if id != "good" {
			t.Errorf("request %q reached the backend", id)
		}
	}
}

// A chunked request is forwarded with its whole body, and its connection closes after the answer, so that no bytes after the last
// chunk are read as a request.
func TestChunkedRequestIsServed(t *testing.T) {
	got := make(chan string, 4)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		body, _ := io.ReadAll(r.Body)
		got <- string(body)
		return ok200("x")
	}))
	n := startNodeWithBackends(t, b.Addr().String())
	text := "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: chunks\r\nX-Qos: order\r\nX-Customer: acme\r\nX-Expires-In: 9\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
	if got := sendInPieces(t, n, text, len(text)); len(got) != 1 || got[0] != 200 {
		t.Errorf("answered %v", got)
	}
	if body := receive(t, "the request at the backend", got); body != "abc" {
		t.Errorf("the backend got %q", body)
	}
}
