// Package httpbox is an HTTP backend of the platform's protocol over package box. The last part of the path names the
// call in the ledger.
package httpbox

import (
	"fmt"
	"net"
	"net/http"
	"path"
	"sync"
	"testing"
	"time"

	"glencart/internal/standin/box"
)

// Server is one backend.
type Server struct {
	*box.Box
	Addr string

	mu  sync.Mutex
	srv *http.Server
}

// Start starts a server on a free port. It ends with the test.
func Start(t testing.TB, cfg box.Config, ledger *box.Ledger) *Server {
	t.Helper()
	s := &Server{Box: box.New(cfg, ledger)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Addr = l.Addr().String()
	s.serve(l)
	t.Cleanup(s.Kill)
	return s
}

func (s *Server) serve(l net.Listener) {
	srv := &http.Server{Handler: http.HandlerFunc(s.answer)}
	s.mu.Lock()
	s.srv = srv
	s.mu.Unlock()
	go srv.Serve(l)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	report := func() {
		held, _ := s.Held()
		w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT inflight=%d", held))
	}
	if r.URL.Path == "/stats" {
		held, _ := s.Held()
		fmt.Fprintf(w, "TEXT inflight=%d", held)
		return
	}
	switch end := s.Do(r.Context(), path.Base(r.URL.Path), 0); end {
	case box.OK:
		report()
		fmt.Fprint(w, s.ID)
	case box.Full, box.Draining:
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case box.Left:
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// Kill ends the server at once, with its connections.
func (s *Server) Kill() {
	s.mu.Lock()
	srv := s.srv
	s.mu.Unlock()
	srv.Close()
}

// Restart has a killed server start again, cold, at its address.
func (s *Server) Restart(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		l, err := net.Listen("tcp", s.Addr)
		if err == nil {
			s.Start()
			s.serve(l)
			return
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}
