package registry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"

	"glencart/internal/settings"
	"glencart/internal/standin"
)

// BenchmarkCall measures what a call costs a node: a watch without changes, a complete list of 200 entries that is known already,
// and one that is new.
func BenchmarkCall(b *testing.B) {
	lines := make([]standin.Listed, 200)
	for i := range lines {
		lines[i] = standin.Listed{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.1.%d.%d:8443", i/200, i%200), Phase: "ready", Up: 1700000000000}
	}
	whole := standin.ListText(41, true, lines...)
	for _, c := range []struct {
		name, query, text string
		known             bool
	}{{"watch", "after=41&wait_ms=250", standin.ListText(41, false), false}, {"whole-known", "", whole, true}, {"whole-new", "", whole, false}} {
		b.Run(c.name, func(b *testing.B) {
			answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(c.text), c.text)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go serve(conn, answer)
				}
			}()
			names, err := settings.Parse([]byte(testSettings))
			if err != nil {
				b.Fatal(err)
			}
			r := &run{Source: New(l.Addr().String(), names, standin.Quiet(), nil, nil)}
			defer r.http.CloseIdleConnections()
			var known uint64
			if a := r.call(newCallRecord(1, c.query == "", 0).traced(context.Background()), r.Source.addr, c.query, 0); a.err != nil {
				b.Fatal(a.err)
			} else if c.known {
				known = a.textHash
			}
			b.ReportAllocs()
			for b.Loop() {
				if a := r.call(newCallRecord(1, c.query == "", 0).traced(context.Background()), r.Source.addr, c.query, known); a.err != nil || a.isKnown != c.known {
					b.Fatal(a.err, a.isKnown)
				}
			}
		})
	}
}

// serve answers each request on a connection with the same bytes, at next to no cost.
func serve(conn net.Conn, answer []byte) {
	defer conn.Close()
	for br := bufio.NewReader(conn); ; {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) == 2 {
			conn.Write(answer)
		}
	}
}
