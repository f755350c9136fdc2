package clients

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"
)

const whole = "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"

// A request that has been read is never on a connection that was closed as silent, however reading and closing meet: one that
// is read and then closed would run with nobody to answer, or be lost.
func TestClosingNeverMeetsARequestThatWasRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := Limit(l, 8)
	defer bounded.Close()
	closed, read := 0, 0
	for range 3000 {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		served, err := bounded.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := served.(*Conn)
		var wg sync.WaitGroup
		var got int
		out := false
		wg.Go(func() {
			buf := make([]byte, len(whole))
			got, _ = io.ReadFull(c, buf)
		})
		wg.Go(func() {
			for !out && !c.asking() {
				out = c.closeUnasked(true, lingerFor)
				if out {
					break
				}
				runtime.Gosched()
			}
		})
		io.WriteString(client, whole)
		wg.Wait()
		switch {
		case out && got == len(whole):
			t.Fatal("a whole request was read from a connection that was closed as silent")
		case out:
			closed++
		default:
			read++
		}
		client.Close()
		c.Close()
	}
	t.Logf("%d closed, %d read", closed, read)
}

// What stands unread since the process is slow, and what has been read whole and waits for its turn, does not give way:
// closing it would lose a request that has been taken.
func TestNoRequestGivesWay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := Limit(l, 8)
	defer bounded.Close()
	f := NewTable(8, Platform)
	f.full = 2
	pair := func(text string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, text)
		s, err := bounded.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Close() })
		if text != "" {
			for !s.(*Conn).unread() { // it is on its way
				time.Sleep(time.Millisecond)
			}
		}
		f.Track(s, http.StateNew)
		if cc := f.conns[s]; cc != nil {
			cc.since = time.Now().Add(-time.Second) // not fresh
		}
		return s
	}
	read := pair(whole)
	if _, err := io.ReadFull(read, make([]byte, len(whole))); err != nil {
		t.Fatal(err)
	}
	unread, silent := pair(whole), pair("")
	pair("")
	if f.conns[read] == nil || f.conns[unread] == nil || f.conns[silent] != nil {
		t.Errorf("there yet: one read whole %t, one unread %t, a silent one %t",
			f.conns[read] != nil, f.conns[unread] != nil, f.conns[silent] != nil)
	}
}

// Where clients don't send again what crossed a close, an idle connection never gives way, and a silent one only after a while.
func TestIdleIsKept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := Limit(l, 4)
	defer bounded.Close()
	f := NewTable(4, Own)
	f.full = 1
	pair := func(since time.Duration, states ...http.ConnState) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		s, err := bounded.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Close() })
		for _, state := range states {
			f.Track(s, state)
		}
		f.conns[s].since = time.Now().Add(-since)
		return s
	}
	idle := pair(time.Hour, http.StateNew, http.StateActive, http.StateIdle)
	fresh, silent := pair(100*time.Millisecond, http.StateNew), pair(time.Second, http.StateNew)
	f.Relieve()
	if f.conns[idle] == nil || f.conns[fresh] == nil || f.conns[silent] != nil {
		t.Errorf("there yet: idle %t, fresh %t, silent %t", f.conns[idle] != nil, f.conns[fresh] != nil, f.conns[silent] != nil)
	}
}

// Requests that stand behind the first are asked for yet when that has its answer; of one that has come in part it is known.
func TestAskedAndBegun(t *testing.T) {
	for _, c := range []struct {
		text  string
		asked int32
		begun bool
	}{
		{"", 0, false}, {"PO", 0, true}, {"POST / HTTP/1.1\r\n", 0, true}, {whole[:len(whole)-1], 0, true}, {whole, 1, false},
		{"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 0, true}, {whole + whole, 2, false}, {whole + whole[:1], 1, true}, {"GET / HTTP/1.1\r\n\r\n" + whole, 2, false},
	} {
		for _, piece := range []int{1, 5, 1 << 10} {
			f := framing{length: -1}
			for text := []byte(c.text); len(text) > 0; {
				n := min(piece, len(text))
				f.saw(text[:n])
				text = text[n:]
			}
			if f.asked.Load() != c.asked || f.begun.Load() != c.begun {
				t.Errorf("%q by %d: asked %d, begun %t", c.text, piece, f.asked.Load(), f.begun.Load())
			}
			f.answered()
			if f.Chunked.Load() && f.begun.Load() {
				t.Errorf("%q by %d: begun after its answer", c.text, piece)
			}
			if f.asking() != (c.asked > 1) {
				t.Errorf("%q by %d: asking after an answer: %t", c.text, piece, f.asking())
			}
		}
	}
}
