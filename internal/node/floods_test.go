package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener whose first calls of Accept fail with the given errors.
type failingListener struct {
	net.Listener
	errs  []error
	calls atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if i := int(l.calls.Add(1)) - 1; i < len(l.errs) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errs[i])}
	}
	return l.Listener.Accept()
}

// A temporary error of accept(2) must end neither the listener for clients nor that for operators. net/http ends its server on
// errors that it takes for permanent.
func TestAcceptErrorsDoNotEndListeners(t *testing.T) {
	t.Parallel()
	errs := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPERM,
		syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH}
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	cfg.Management = "127.0.0.1:0"
	n := startChangedNode(t, cfg, func(n *Node) {
		n.listener.Listener = &failingListener{Listener: n.listener.Listener, errs: errs}
		n.adminListener = &failingListener{Listener: n.adminListener, errs: errs}
	})
	if resp, body := doRequest(t, newTestRequest(t, n.url+"/api/x", "read")); resp.StatusCode != 200 || body != "x" {
		t.Errorf("answered %d %q", resp.StatusCode, body)
	}
	if resp, _ := doRequest(t, newTestRequest(t, "http://"+n.adminListener.Addr().String()+"/control/ready", "read")); resp.StatusCode != 200 {
		t.Errorf("the management endpoint answered %d", resp.StatusCode)
	}
}

// openDescriptors returns the number of open descriptors of this process.
func openDescriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc")
	}
	return len(list)
}

// A request that is cut off at any byte must reach no backend and must not leave a connection or a descriptor behind. The client
// gets a 4xx or no answer.
func TestTruncatedRequestsReachNoBackend(t *testing.T) {
	var attempts atomic.Int32
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		if strings.HasPrefix(r.URL.Path, "/api/") {
			attempts.Add(1)
		}
		return ok200("{}")
	}))
	n := startNodeWithBackends(t, b.Addr().String())
	eventually(t, "the node accepting clients", n.isServing.Load)
	before := openDescriptors(t)
	texts := []string{
		strings.Replace(readRequestText(1), "leaves", "cut", 1),
		orderHead + "X-Trace-Id: cut-2\r\nContent-Length: 9\r\n\r\n123456789",
		orderHead + "X-Trace-Id: cut-3\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n0\r\n\r\n",
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16)
	cuts := 0
	for _, text := range texts {
		for cutAt := range len(text) {
			cuts++
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				c, err := net.Dial("tcp", n.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(testTimeout))
				io.WriteString(c, text[:cutAt])
				switch cutAt % 3 {
				case 0:
					return // closes
				case 1:
					resetConn(c)
					return
				}
				c.(*net.TCPConn).CloseWrite()
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if ne, ok := err.(net.Error); ok && ne.Timeout() {
					t.Errorf("cut after %q: neither an answer nor a close", text[:cutAt])
				}
				if err == nil && (resp.StatusCode < 400 || resp.StatusCode >= 500) {
					t.Errorf("cut after %q: answered %d", text[:cutAt], resp.StatusCode)
				}
			})
		}
	}
	wg.Wait()
	eventually(t, "the release of all requests and connections", func() bool {
		return n.openRequests(t) == 0 && n.front.inFlight.Load() == 0 && n.front.connections() == 0 && n.listener.OpenCount() == 0
	})
	eventually(t, "the release of all descriptors", func() bool { return openDescriptors(t) <= before+8 }) // probes and discovery vary
	if got := attempts.Load(); got > 0 {
		t.Errorf("%d of %d cut requests reached a backend", got, cuts)
	}
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "read")); resp.StatusCode != 200 {
		t.Errorf("request after the cut ones: %d", resp.StatusCode)
	}
}

// Clients that request long answers and don't read them must delay neither the loop nor other clients, and their requests end when
// they disconnect. A write to such a client blocks once the socket buffers are full.
func TestNonReadingClientsDelayNobody(t *testing.T) {
	t.Parallel()
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		if r.URL.Path == "/api/long" {
			return ok200(strings.Repeat("x", 8<<20))
		}
		return ok200("x")
	}))
	n := startNodeWithBackends(t, b.Addr().String())
	eventually(t, "the node accepting clients", n.isServing.Load)
	var unread []net.Conn
	for i := range 4 { // in sequence; some may be rejected, since the backend is slow
		c := n.dial(t)
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		io.WriteString(c, strings.Replace(readRequestText(i), "/api/x", "/api/long", 1))
		line := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(c, line); err != nil {
			t.Fatal(err)
		}
		if string(line) == "HTTP/1.1 200" { // the answer has begun
			unread = append(unread, c)
		}
	}
	if len(unread) == 0 {
		t.Fatal("no answer has begun")
	}
	eventually(t, "only the unread answers in flight", func() bool { return int(n.front.inFlight.Load()) == len(unread) })
	began := time.Now()
	n.runOnLoop(t, func() {})
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "read")); resp.StatusCode != 200 {
		t.Errorf("request of another client: %d", resp.StatusCode)
	}
	if d := time.Since(began); d > readerTimeout/4 {
		t.Errorf("the other client waited for %v", d)
	}
	for _, c := range unread {
		c.Close()
	}
	eventually(t, "the release of the requests and their connections", func() bool {
		return n.openRequests(t) == 0 && n.front.inFlight.Load() == 0 && n.front.connections() == 0
	})
}

// A peer that floods a node whose loop is blocked must not fill the memory. Only a bounded number of messages waits, and clients are
// served afterwards.
func TestPeerFloodIsBounded(t *testing.T) {
	t.Parallel()
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	cfg.PeerListen, cfg.Peers = "127.0.0.1:0", []string{peer.LocalAddr().String()}
	n := startNode(t, cfg)
	eventually(t, "the node accepting clients", n.isServing.Load)
	release := make(chan struct{})
	n.loop.Post(func() { <-release })
	peak := int32(0)
	eventually(t, "a full queue of peer messages", func() bool {
		for i := range 200 {
			peer.WriteTo([]byte(fmt.Sprintf("noise %d", i)), n.peers.conn.LocalAddr())
		}
		peak = max(peak, n.queuedMessages.Load())
		return int(peak) >= n.bounds.maxQueuedMessages
	})
	if int(peak) > n.bounds.maxQueuedMessages+1 { // the one that is being rejected
		t.Errorf("%d messages wait, limit %d", peak, n.bounds.maxQueuedMessages)
	}
	close(release)
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "read")); resp.StatusCode != 200 {
		t.Errorf("request after the flood: %d", resp.StatusCode)
	}
}
