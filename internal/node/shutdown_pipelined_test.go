package node

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// A pipelined request that was read together with the one before it must be answered, also when answers close their connections.
// Only the last answer closes it. Closing with the first would lose a request that the node has read.
func TestPipelinedRequestIsAnsweredBeforeClose(t *testing.T) {
	for name, c := range map[string]struct{ before, during func(*front) }{
		"closing before":     {before: func(f *front) { f.closesConnections.Store(true) }},
		"closing while open": {during: func(f *front) { f.closesConnections.Store(true) }},
		"above the limit":    {before: func(f *front) { f.maxInFlight.Store(0) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrived, release := make(chan struct{}, 2), make(chan struct{})
			b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string {
				arrived <- struct{}{}
				<-release
				return ok200("x")
			}))
			n := startNodeWithBackends(t, b.Addr().String())
			eventually(t, "the node accepting clients", n.isServing.Load)
			n.runOnLoop(t, func() {})
			if c.before != nil {
				c.before(n.front)
			}
			conn := n.dial(t)
			request := orderHead + "X-Trace-Id: ID\r\nContent-Length: 3\r\n\r\nabc"
			io.WriteString(conn, strings.Replace(request, "ID", "first", 1)+strings.Replace(request, "ID", "behind", 1))
			if n.front.maxInFlight.Load() > 0 {
				receive(t, "the first request at the backend", arrived)
			}
			if c.during != nil {
				c.during(n.front)
			}
			close(release)
			r := bufio.NewReader(conn)
			for _, last := range []bool{false, true} {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close != last {
					t.Errorf("answered %d, %v, closing: %t", resp.StatusCode, err, resp.Close)
				}
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("after the last answer: %v", err)
			}
		})
	}
}
