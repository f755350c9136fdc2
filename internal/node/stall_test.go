package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// stalledListener accepts connections whose bytes are read late, as if the process had been stalled.
type stalledListener struct {
	net.Listener
	delay *atomic.Int64 // ns
}

func (l stalledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{c.(*net.TCPConn), l.delay}, nil
}

// stalledConn is a connection whose next read is delayed.
type stalledConn struct {
	*net.TCPConn
	delay *atomic.Int64
}

func (c *stalledConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return stalledRawConn{raw, c.delay}, err
}

// stalledRawConn sleeps once before a read that has something to return.
type stalledRawConn struct {
	syscall.RawConn
	delay *atomic.Int64
}

func (r stalledRawConn) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		if n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); err == nil && n > 0 {
			time.Sleep(time.Duration(r.delay.Swap(0)))
		}
		return f(fd)
	})
}

// The deadline that a backend gets must not exceed the remaining time of the client by more than 0.15 s, counted from the client's
// last byte. That byte may have waited in the socket of a stalled node, on a reused connection, with a body or without.
func TestForwardedDeadlineCountsSocketDelay(t *testing.T) {
	const stall, timeLeft, slack = 400 * time.Millisecond, 2 * time.Second, 150 * time.Millisecond
	forwarded := make(chan time.Duration, 8)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
		if strings.HasPrefix(r.URL.Path, "/api/") {
			s, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64)
			if err != nil {
				t.Error(err)
			}
			forwarded <- time.Duration(s * float64(time.Second))
		}
		return ok200("x")
	}))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	delay := new(atomic.Int64)
	n := startChangedNode(t, testConfig(t, newRegistry(t, text).Addr, text), func(n *Node) {
		n.listener.Listener = stalledListener{n.listener.Listener, delay}
	})
	eventually(t, "the node accepting clients", n.isServing.Load)
	c := n.dial(t)
	r := bufio.NewReader(c)
	for i, part := range []struct{ head, body string }{
		{"GET /api/x HTTP/1.1\r\nX-Qos: read", ""},
		{"POST /api/x HTTP/1.1\r\nX-Qos: order\r\nContent-Length: 4", "abcd"},
		{"GET /api/x HTTP/1.1\r\nX-Qos: read", ""},
		{"POST /api/x HTTP/1.1\r\nX-Qos: order\r\nTransfer-Encoding: chunked", "4\r\nabcd\r\n0\r\n\r\n"},
	} {
		time.Sleep(50 * time.Millisecond) // the connection is idle
		delay.Store(int64(stall))
		written := time.Now()
		fmt.Fprintf(c, "%s\r\nHost: x\r\nX-Trace-Id: told-%d\r\nX-Customer: acme\r\nX-Expires-In: %.3f\r\n\r\n%s", part.head, lastID.Add(1), timeLeft.Seconds(), part.body)
		got := receive(t, "the request at the backend", forwarded)
		if left := timeLeft - time.Since(written); got > left+slack {
			t.Errorf("request %d: deadline of %v forwarded, but the client has %v left", i, got, left)
		} else if got < left-slack {
			t.Errorf("request %d: deadline of only %v forwarded, but the client has %v left", i, got, left)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v, %v", i, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}

// A pooled connection is not used so late that a stall of the node between reading the clock and writing the request would meet the
// backend's close, however short the idle time in the settings is.
func TestPoolIdleTimesLeaveMarginForStall(t *testing.T) {
	const stall = 150 * time.Millisecond
	for _, idle := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
		500 * time.Millisecond, time.Second, 5 * time.Second} {
		if _, keep := poolTimes(0, idle); keep < 0 || keep > 0 && keep+stall >= idle {
			t.Errorf("backend closes after %v: connection used after %v and written %v later", idle, keep, stall)
		}
	}
}

// A UDP socket whose reads keep failing must not make the reader spin, and datagrams are received again once it works.
func TestFailingPeerSocketDoesNotSpin(t *testing.T) {
	sender, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	p, err := listenPeers(t.Context(), &Config{PeerListen: "127.0.0.1:0", Peers: []string{sender.LocalAddr().String()}}, 8, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	p.conn.SetReadDeadline(time.Unix(1, 0)) // each read fails
	received := make(chan int, 8)
	ended := make(chan struct{})
	go func() {
		p.run(t.Context(), func(peer int, _ []byte) { received <- peer })
		close(ended)
	}()
	t.Cleanup(func() { <-ended })
	cpuTime := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			t.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	const interval = 300 * time.Millisecond
	before := cpuTime()
	time.Sleep(interval)
	if d := cpuTime() - before; d > interval/2 {
		t.Errorf("%v of processor time in %v", d, interval)
	}
	p.conn.SetReadDeadline(time.Time{})
	sender.WriteTo([]byte("x"), p.conn.LocalAddr())
	if peer := receive(t, "a datagram", received); peer != 0 {
		t.Errorf("datagram of peer %d, want 0", peer)
	}
}
