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

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/sock"
	"glencart/internal/upstream"
	"glencart/reuse"
)

// hookedConn is a connection that calls beforeWrite once in SetDeadline, which is the last call before a request is written.
type hookedConn struct {
	*net.TCPConn
	beforeWrite func(c net.Conn)
}

func (l *hookedConn) SetDeadline(t time.Time) error {
	if then := l.beforeWrite; then != nil {
		l.beforeWrite = nil
		then(l.TCPConn)
	}
	return l.TCPConn.SetDeadline(t)
}

// waitReadable waits until a connection has something to read or has been closed.
func waitReadable(t *testing.T, c net.Conn) {
	eventually(t, "something on the connection", func() bool { return !sock.IsIdle(c) })
}

// A backend may write to a pooled connection or close it after the node has chosen it and before the node writes. The request goes
// out on another connection. On this one it would fail, or it would get the noise as its answer.
func TestReusedConnectionIsCheckedBeforeWrite(t *testing.T) {
	for name, disturb := range map[string]func(c net.Conn){
		"a second answer":          func(c net.Conn) { io.WriteString(c, ok200("noise")) },
		"half a line":              func(c net.Conn) { io.WriteString(c, "HTTP/1.1 2") },
		"closed":                   func(c net.Conn) { c.Close() },
		"reset":                    func(c net.Conn) { resetConn(c) },
		"an answer, and its close": func(c net.Conn) { io.WriteString(c, ok200("noise")); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			kept := 0 // after surplus bytes, a connection is not kept
			if name == "closed" || name == "reset" {
				kept = 1
			}
			conns := make(chan net.Conn, 4)
			serve := serveAnswers(func(r *http.Request) string { return ok200(r.Header.Get("X-Trace-Id")) })
			b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) { conns <- c; serve(c, br) })
			x, to := newTestTransport(t), engine.Endpoint{Addr: b.Addr().String()}
			if r := attemptOnce(t, x, to, getMessage("one")); r.Status != balance.Delivered {
				t.Fatalf("first attempt: %v", r.Status)
			}
			peer := receive(t, "the connection", conns)
			awaitQuiet(t, x, to)
			pooled := x.pool.Idle(to)[0]
			pooled.Conn = &hookedConn{pooled.Conn.(*net.TCPConn), func(c net.Conn) { disturb(peer); waitReadable(t, c) }}
			if r := attemptOnce(t, x, to, getMessage("two")); r.Status != balance.Delivered || string(replyOf(r.Body).body) != "two" {
				t.Errorf("second attempt: status %v, body %q", r.Status, replyOf(r.Body).body)
			}
			if n := b.Accepted.Load(); n != 2 || x.pool.Open() != kept {
				t.Errorf("%d connections accepted, %d open in the pool; want 2 and %d", n, x.pool.Open(), kept)
			}
		})
	}
}

// Bytes that a new connection brings before the request is written are not its answer. The attempt is DialFailed, since the request
// was not sent.
func TestEarlyBytesOnNewConnectionFailAttempt(t *testing.T) {
	conns := make(chan net.Conn, 4)
	serve := serveAnswers(func(r *http.Request) string { return ok200("x") })
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) { conns <- c; serve(c, br) })
	x, to := newTestTransport(t), engine.Endpoint{Addr: b.Addr().String()}
	if r := attemptOnce(t, x, to, getMessage("one")); r.Status != balance.Delivered {
		t.Fatalf("first attempt: %v", r.Status)
	}
	peer := receive(t, "the connection", conns)
	eventually(t, "an idle connection", func() bool { return len(x.pool.Idle(to)) > 0 })
	c := x.pool.Idle(to)[0]
	c.State = reuse.Conn{} // as on a connection that has just been dialed
	c.Conn = &hookedConn{c.Conn.(*net.TCPConn), func(c net.Conn) { io.WriteString(peer, ok200("noise")); waitReadable(t, c) }}
	if r := attemptOnce(t, x, to, getMessage("two")); r.Status != balance.DialFailed || x.pool.Open() != 0 {
		t.Errorf("status %v, %d connections open; want DialFailed and none", r.Status, x.pool.Open())
	}
}

// Writing a long request takes time. Bytes that arrive before its last piece is written are not its answer. The last piece is then not
// written, so that the request never ran.
func TestEarlyBytesStopTheLastPiece(t *testing.T) {
	for name, m := range map[string]*message{
		"buffered in pieces": {more: [][]byte{make([]byte, 10), make([]byte, 10)}},
		"with length":        {upload: &upload{length: 20}},
		"chunks":             {upload: &upload{length: -1}},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			netConn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer netConn.Close()
			peer, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			cn := upstream.NewConn(netConn, engine.Endpoint{}, 1, readBufferBytes)
			cn.Limit.N = maxAnswerBytes
			noise := func() { io.WriteString(peer, ok200("noise")); waitReadable(t, netConn) }
			if m.upload == nil {
				noise()
				if n, all, err := m.send(cn, []byte("head")); err != errEarlyData || n >= all {
					t.Errorf("%d of %d bytes written, error %v", n, all, err)
				}
				return
			}
			w := &http.ResponseController{}
			m.upload.from = &pacedReader{body: io.MultiReader(strings.NewReader("0123456789"), hookReader(noise), strings.NewReader("0123456789")), rc: w}
			m.upload.remaining = 1000
			if err := m.upload.pass(cn, m.upload.length, time.Time{}); err != errEarlyData {
				t.Errorf("pass returned %v", err)
			}
			cn.Close()
			got, _ := io.ReadAll(peer)
			if strings.HasSuffix(string(got), "0\r\n\r\n") || strings.Count(string(got), "9") > 1 && m.upload.length > 0 {
				t.Errorf("the last byte was written: %q", got)
			}
		})
	}
}

// hookReader is an empty reader that calls the function when it is read.
type hookReader func()

func (s hookReader) Read([]byte) (int, error) { s(); return 0, io.EOF }

// An answer without a length that is truncated by the limit on answers must not count as complete. An answer that switches protocols
// is Dropped, and its connection is not reused for HTTP.
func TestTruncatedAndUpgradedAnswersAreDropped(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", maxAnswerBytes-1000) + "\r\n\r\n"
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.Header.Get("X-Trace-Id") == "switch" {
				fmt.Fprint(c, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")
				continue
			}
			io.WriteString(c, head+strings.Repeat("b", 5000))
			return
		}
	})
	x, to := newTestTransport(t), engine.Endpoint{Addr: b.Addr().String()}
	if r := attemptOnce(t, x, to, getMessage("cut")); r.Status != balance.Dropped {
		t.Errorf("truncated by the limit: %v with %d bytes", r.Status, len(replyOf(r.Body).body))
	}
	if r := attemptOnce(t, x, to, getMessage("switch")); r.Status != balance.Dropped {
		t.Errorf("switched protocols: %v", r.Status)
	}
	if open := x.pool.Open(); open != 0 {
		t.Errorf("%d connections kept", open)
	}
}
