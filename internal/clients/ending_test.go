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

const patience = 10 * time.Second

// crossed is a socket on which bytes of the client come in the very instant in which the server shuts or closes it.
type crossed struct {
	*net.TCPConn
	write func()
}

func (c *crossed) cross() {
	if c.write != nil {
		c.write()
		c.write = nil
	}
}

func (c *crossed) Close() error      { c.cross(); return c.TCPConn.Close() }
func (c *crossed) CloseWrite() error { c.cross(); return c.TCPConn.CloseWrite() }

// crossing is a listener whose connections are crossed.
type crossing struct{ net.Listener }

func (l crossing) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossed{TCPConn: c.(*net.TCPConn)}, nil
}

// meet returns both ends of a connection of a listener.
func meet(t *testing.T, l *Listener) (client *net.TCPConn, served *Conn) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
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
	bounded := Limit(crossing{l}, most)
	t.Cleanup(func() { bounded.Close() })
	return bounded
}

// await waits until something is so.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not so in time: %s", what)
		}
	}
}

// A request that comes between the last look at a resting connection and its end is neither taken nor answered by a reset, whoever
// ends it: its client has the whole answer before, and then an end.
func TestARequestThatCrossesTheEnd(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, end := range map[string]func(t *testing.T, c *Conn){
		"closed as quiet": func(t *testing.T, c *Conn) {
			if !c.closeUnasked(false, lingerFor) {
				t.Error("not closed")
			}
		},
		"closed by net/http": func(t *testing.T, c *Conn) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t, 8)
			client, c := meet(t, l)
			io.WriteString(c, answer)
			c.Conn.(*crossed).write = func() {
				io.WriteString(client, whole)
				await(t, "the bytes", c.unread)
			}
			read := make(chan string, 1)
			go func() { // as net/http, which waits for the next request meanwhile
				b, _ := io.ReadAll(c)
				read <- string(b)
			}()
			end(t, c)
			if got, err := io.ReadAll(client); err != nil || string(got) != answer {
				t.Errorf("the client has %q, %v", got, err)
			}
			client.Close()
			if got := <-read; got != "" {
				t.Errorf("read after the end: %q", got)
			}
			await(t, "the place given back", func() bool { return l.Holds() == 0 && l.Lingering() == 0 })
		})
	}
}

// A client that writes on after the end, or never ends its own side, holds its place for a bounded time.
func TestLingeringIsBounded(t *testing.T) {
	for name, write := range map[string]func(c net.Conn){
		"says nothing": func(net.Conn) {},
		"writes on": func(c net.Conn) {
			for piece := make([]byte, 1<<10); ; time.Sleep(time.Millisecond) {
				if _, err := c.Write(piece); err != nil {
					return
				}
			}
		},
		"writes much": func(c net.Conn) { c.Write(make([]byte, 4*lingerMost)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listen(t, 8)
			client, c := meet(t, l)
			c.Close()
			go write(client)
			await(t, "the place given back", func() bool { return l.Holds() == 0 })
		})
	}
}

// Where all places are taken, who lingers gives way to who waits: sooner than where there is room.
func TestLingeringWhereItIsFull(t *testing.T) {
	l := listen(t, 2)
	_, c := meet(t, l)
	if d := l.lingers(lingerFor); d != lingerFor {
		t.Errorf("with room: %v", d)
	}
	meet(t, l)
	if d := l.lingers(lingerFor); d != lingerCrowd {
		t.Errorf("full: %v", d)
	}
	l.mu.Lock()
	l.lingering = 0
	l.mu.Unlock()
	c.Close()
	meet(t, l) // waits for the place
}

// A request that came before a deadline was looked at ends the rest, and is read; a deadline on a rest is one, and on half a request too.
func TestDeadlineBesideTheFirstByte(t *testing.T) {
	for _, s := range []struct {
		name, before, text, want string
	}{{name: "silence"}, {"a request", "", whole, whole}, {"the rest of one", whole[:9], whole[9:], ""}} {
		t.Run(s.name, func(t *testing.T) {
			client, c := meet(t, listen(t, 8))
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
				await(t, "the bytes", c.unread)
			}
			n, err := c.Read(b)
			if late := errors.Is(err, os.ErrDeadlineExceeded); string(b[:n]) != s.want || late != (s.want == "") {
				t.Errorf("read %q, %v", b[:n], err)
			}
		})
	}
}

// What stands unread behind a request whose answer closes the connection doesn't cost its client the answer.
func TestAnswerThatClosesOverUnreadBytes(t *testing.T) {
	const length = 8 << 20
	l := listen(t, 8)
	table := NewTable(8, Platform)
	var ran []string
	srv := &http.Server{ConnState: table.Track, ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran = append(ran, r.URL.Path)
		c := FromContext(r.Context())
		await(t, "the bytes behind", c.unread)
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
	client.SetDeadline(time.Now().Add(patience))
	io.WriteString(client, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
	await(t, "the first", func() bool { return table.Asked() == 1 })
	io.WriteString(client, strings.Replace(whole, "/api/x", "/behind", 1))
	r := bufio.NewReader(client)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != length {
		t.Errorf("%d bytes of the answer, %v", n, err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after it: %v", err)
	}
	client.Close()
	await(t, "an empty table", func() bool { return table.Counts().Open == 0 && l.Holds() == 0 })
	if len(ran) != 1 {
		t.Errorf("ran %q", ran)
	}
}
