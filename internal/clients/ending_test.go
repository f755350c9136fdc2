package clients

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// racingConn is a socket on which bytes of the client arrive at the moment in which the server closes it or its sending side.
type racingConn struct {
	*net.TCPConn
	duringClose func()
}

func (c *racingConn) runDuringClose() {
	if c.duringClose != nil {
		c.duringClose()
		c.duringClose = nil
	}
}

func (c *racingConn) Close() error      { c.runDuringClose(); return c.TCPConn.Close() }
func (c *racingConn) CloseWrite() error { c.runDuringClose(); return c.TCPConn.CloseWrite() }

// racingListener is a listener with connections of type racingConn.
type racingListener struct{ net.Listener }

func (l racingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &racingConn{TCPConn: c.(*net.TCPConn)}, nil
}

// connect returns both ends of a connection of a listener.
func connect(t *testing.T, l *Listener) (client *net.TCPConn, served *Conn) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return c.(*net.TCPConn), s.(*Conn)
}

func listen(t *testing.T, most int) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := Limit(racingListener{l}, most)
	t.Cleanup(func() { bounded.Close() })
	return bounded
}

// await waits for a condition.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// A request can arrive between the last check of an idle connection and its close. It must not be read, and must not cause a
// reset, which would destroy the previous answer. The client gets that answer and then the end of the connection.
func TestRequestDuringCloseCausesNoReset(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, closeConn := range map[string]func(t *testing.T, c *Conn){
		"closed as quiet": func(t *testing.T, c *Conn) {
			if !c.closeIfNoRequest(false, lingerTimeout) {
				t.Error("not closed")
			}
		},
		"closed by net/http": func(t *testing.T, c *Conn) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t, 8)
			client, c := connect(t, l)
			io.WriteString(c, answer)
			c.Conn.(*racingConn).duringClose = func() {
				io.WriteString(client, wholeRequest)
				await(t, "the bytes", c.hasUnread)
			}
			read := make(chan string, 1)
			go func() { // like net/http, which waits for the next request
				b, _ := io.ReadAll(c)
				read <- string(b)
			}()
			closeConn(t, c)
			if got, err := io.ReadAll(client); err != nil || string(got) != answer {
				t.Errorf("the client read %q, %v", got, err)
			}
			client.Close()
			if got := <-read; got != "" {
				t.Errorf("read after the end: %q", got)
			}
			await(t, "a free slot", func() bool { return l.OpenCount() == 0 && l.LingeringCount() == 0 })
		})
	}
}

// A client that keeps writing after the close, or never closes its side, must not hold its slot for ever.
func TestLingeringIsBounded(t *testing.T) {
	for name, write := range map[string]func(c net.Conn){
		"is silent": func(net.Conn) {},
		"keeps writing": func(c net.Conn) {
			for piece := make([]byte, 1<<10); ; time.Sleep(time.Millisecond) {
				if _, err := c.Write(piece); err != nil {
					return
				}
			}
		},
		"writes much": func(c net.Conn) { c.Write(make([]byte, 4*maxLingerBytes)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listen(t, 8)
			client, c := connect(t, l)
			c.Close()
			go write(client)
			await(t, "a free slot", func() bool { return l.OpenCount() == 0 })
		})
	}
}

// New connections wait while closing ones hold all slots. So a connection lingers for a shorter time if the listener is full.
func TestLingerIsShorterWhenFull(t *testing.T) {
	l := listen(t, 2)
	_, c := connect(t, l)
	if d := l.beginLinger(lingerTimeout); d != lingerTimeout {
		t.Errorf("with a free slot: %v", d)
	}
	connect(t, l)
	if d := l.beginLinger(lingerTimeout); d != fullLingerTimeout {
		t.Errorf("full: %v", d)
	}
	l.mu.Lock()
	l.lingering = 0
	l.mu.Unlock()
	c.Close()
	connect(t, l) // waits for the slot
}

// A request that arrives at the moment of the read deadline of an idle connection would be lost. Read must return it. The
// deadline must still apply to a silent connection and to a partial request.
func TestRequestAtReadDeadlineIsRead(t *testing.T) {
	for _, s := range []struct {
		name, before, text, want string
	}{{name: "silence"}, {"a request", "", wholeRequest, wholeRequest}, {"the rest of one", wholeRequest[:9], wholeRequest[9:], ""}} {
		t.Run(s.name, func(t *testing.T) {
			client, c := connect(t, listen(t, 8))
			b := make([]byte, 256)
			if s.before != "" {
				io.WriteString(client, s.before)
				if _, err := io.ReadFull(c, b[:len(s.before)]); err != nil {
					t.Fatal(err)
				}
			}
			c.SetReadDeadline(time.Now().Add(-time.Second))
			if s.text != "" {
				io.WriteString(client, s.text)
				await(t, "the bytes", c.hasUnread)
			}
			n, err := c.Read(b)
			if late := errors.Is(err, os.ErrDeadlineExceeded); string(b[:n]) != s.want || late != (s.want == "") {
				t.Errorf("read %q, %v", b[:n], err)
			}
		})
	}
}

// An answer that closes the connection is cut off by a reset if a pipelined request is unread. The client must get all of the
// answer, and the second request must not run.
func TestAnswerThatClosesOverUnreadBytes(t *testing.T) {
	const length = 8 << 20
	l := listen(t, 8)
	table := NewTable(8, PlatformThresholds)
	var ran []string
	srv := &http.Server{ConnState: table.Track, ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran = append(ran, r.URL.Path)
		c := FromContext(r.Context())
		await(t, "the second request", c.hasUnread)
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", fmt.Sprint(length))
		w.Write(make([]byte, length))
	})}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(client, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
	await(t, "the first request", func() bool { return table.UnansweredCount() == 1 })
	io.WriteString(client, strings.Replace(wholeRequest, "/api/x", "/behind", 1))
	r := bufio.NewReader(client)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != length {
		t.Errorf("%d bytes of the answer, %v", n, err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v", err)
	}
	client.Close()
	await(t, "an empty table", func() bool { return table.Counts().Open == 0 && l.OpenCount() == 0 })
	if len(ran) != 1 {
		t.Errorf("ran %q", ran)
	}
}
