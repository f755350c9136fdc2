package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A node that was restarted is ready within 10 s wherever it could serve: with a list that it remembers whatever discovery does, and else
// soon after discovery has told its own.
func TestReadyAfterARestart(t *testing.T) {
	const bound = 10 * time.Second
	b := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string { return ok200("x") }))
	list := listText(1, true, listed{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	silent, err := net.Listen("tcp", "127.0.0.1:0") // it lets calls wait
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0") // and this one refuses them
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	up := func(*testing.T) string { return newRegistry(t, list).Addr }
	comesUp := func(t *testing.T) string { // a second after the node
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := l.Addr().String()
		l.Close()
		srv := &http.Server{Addr: addr, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, list) })}
		time.AfterFunc(time.Second, func() { srv.ListenAndServe() })
		t.Cleanup(func() { srv.Close() })
		return addr
	}
	slow := func(t *testing.T) string { // its list takes half of what a call may: an agent answers at once
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(500 * time.Millisecond)
			io.WriteString(w, list)
		})}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go srv.Serve(l)
		t.Cleanup(func() { srv.Close() })
		return l.Addr().String()
	}
	for _, c := range []struct {
		name      string
		discovery func(*testing.T) string
		known     bool
		shared    bool // processes of the node share a socket: the longest wait of all
	}{
		{"a list, and discovery is up", up, true, false},
		{"a list, and discovery refuses", func(*testing.T) string { return gone.Addr().String() }, true, false},
		{"a list, and discovery refuses, shared", func(*testing.T) string { return gone.Addr().String() }, true, true},
		{"a list, and discovery is silent", func(*testing.T) string { return silent.Addr().String() }, true, false},
		{"no list, and discovery is up", up, false, false},
		{"no list, and discovery comes up", comesUp, false, false},
		{"no list, and discovery is slow", slow, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			cfg := testConfig(t, c.discovery(t), list)
			if !c.known {
				cfg.Known.Members, cfg.Known.Complete, cfg.knownErr = nil, false, errors.New("cut")
			}
			if c.shared {
				cfg.Shared = t.TempDir()
			}
			n := start(t, cfg)
			for {
				if resp, _ := do(t, ask(t, n.url+"/health/ready", "read")); resp.StatusCode == 200 {
					break
				}
				if time.Since(began) > bound {
					t.Fatalf("not ready within %v", bound)
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("ready after %v", time.Since(began).Round(10*time.Millisecond))
		})
	}
}
