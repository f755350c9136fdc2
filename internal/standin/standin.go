// Package standin holds stand-in servers and what tests of several packages share. Every server listens on a free port
// of 127.0.0.1 and ends with its test.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Patience bounds every wait for something that must happen.
const Patience = 20 * time.Second

// Quiet is a log that nobody reads.
func Quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// Eventually waits until ok holds.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came about: %s", what)
		}
	}
}

// Receive takes what comes on a channel, with patience.
func Receive[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Patience):
		t.Fatalf("never came: %s", what)
		panic("unreachable")
	}
}

// Raw is a server that hands each connection to a function.
type Raw struct {
	net.Listener
	Accepted atomic.Int64
}

// NewRaw starts a Raw server at an address.
func NewRaw(t testing.TB, addr string, serve func(c net.Conn, r *bufio.Reader)) *Raw {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	b := &Raw{Listener: l}
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.Accepted.Add(1)
			mu.Lock()
			open[c] = true
			mu.Unlock()
			go func() {
				defer func() {
					c.Close()
					mu.Lock()
					delete(open, c)
					mu.Unlock()
				}()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for c := range open {
			c.Close()
		}
	})
	return b
}

// Reset ends a connection with an RST.
func Reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// Listed is one line of a registry's list. Up is a Unix time in milliseconds.
type Listed struct {
	ID, Addr, Phase string
	Cell            int
	Up              int64
}

// ListText words a list as the registry does.
func ListText(revision int, complete bool, members ...Listed) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"revision":%d,"complete":%t,"members":[`, revision, complete)
	for i, m := range members {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":%q,"host_port":%q,"locality":"a","flavor":"m","cell":%d,"phase":%q,"size":1.0,"up_since_ms":%d}`,
			m.ID, m.Addr, m.Cell, m.Phase, m.Up)
	}
	b.WriteString("]}")
	return b.String()
}

// Registry is a discovery service that tells what it is given.
type Registry struct {
	*http.Server
	Addr string
	Next chan string // answers to watches, each to one watch

	mu    sync.Mutex
	whole string
	calls []string
}

// NewRegistry starts a registry whose whole list is this text.
func NewRegistry(t testing.TB, whole string) *Registry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Registry{Addr: l.Addr().String(), Next: make(chan string, 16), whole: whole}
	r.Server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		r.mu.Lock()
		r.calls = append(r.calls, hr.URL.RawQuery)
		whole := r.whole
		r.mu.Unlock()
		if hr.URL.RawQuery == "" {
			io.WriteString(w, whole)
			return
		}
		wait, _ := strconv.Atoi(hr.URL.Query().Get("wait_ms"))
		select {
		case text := <-r.Next:
			io.WriteString(w, text)
		case <-hr.Context().Done():
		case <-time.After(min(time.Duration(wait)*time.Millisecond, 500*time.Millisecond)):
			after, _ := strconv.Atoi(hr.URL.Query().Get("after"))
			io.WriteString(w, ListText(after, false))
		}
	})}
	go r.Serve(l)
	t.Cleanup(func() { r.Server.Close() })
	return r
}

// Asked returns the queries of the calls so far.
func (r *Registry) Asked() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.calls...)
}

// Whole changes the whole list.
func (r *Registry) Whole(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.whole = text
}
