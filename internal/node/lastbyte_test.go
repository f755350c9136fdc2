package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// listenSmallBuffer returns a listener whose receive buffer holds only a part of a request.
func listenSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// A backend that hangs or is unreachable must not receive the rest of a request after its client has disconnected or its deadline has
// passed. A backend runs a request when its last byte arrives, and after a plain close the system still sends what it has buffered.
func TestRequestDoesNotCompleteAfterItsClientLeft(t *testing.T) {
	for _, ending := range []string{"leaves", "time is up"} {
		for _, length := range []int{60 << 10, 1 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", ending, length), func(t *testing.T) {
				t.Parallel()
				l := listenSmallBuffer(t)
				var wholeBodies atomic.Int32
				headsRead, resume, bodiesRead := make(chan struct{}, 8), make(chan struct{}), make(chan struct{}, 8)
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go func() {
							defer c.Close()
							r, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
							if err != nil || !strings.HasPrefix(r.URL.Path, "/api/") {
								return
							}
							headsRead <- struct{}{}
							<-resume
							if n, _ := io.Copy(io.Discard, r.Body); n == int64(length) {
								wholeBodies.Add(1)
							}
							bodiesRead <- struct{}{}
						}()
					}
				}()
				text := listText(1, true, listedBackend{ID: "s", Addr: l.Addr().String(), Phase: "ready"})
				n := startNode(t, testConfig(t, newRegistry(t, text).Addr, text))
				eventually(t, "the node accepting clients", n.isServing.Load)
				c := n.dial(t)
				fmt.Fprintf(c, "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: late-%d\r\nX-Qos: order\r\nX-Customer: acme\r\nX-Expires-In: %s\r\n"+
					"Content-Length: %d\r\n\r\n%s", lastID.Add(1), map[string]string{"leaves": "9", "time is up": "0.4"}[ending], length, strings.Repeat("x", length))
				receive(t, "the head at the backend", headsRead)
				if ending == "leaves" {
					c.Close()
				} else if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
					t.Fatal(err)
				}
				eventually(t, "the release of the request and its connection", func() bool { return n.openRequests(t) == 0 && n.front.inFlight.Load() == 0 })
				close(resume)
				receive(t, "the end of the request at the backend", bodiesRead)
				if wholeBodies.Load() > 0 {
					t.Error("the backend received the whole request after its client had disconnected")
				}
			})
		}
	}
}
