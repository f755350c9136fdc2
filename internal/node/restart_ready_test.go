package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A restarted node must be ready within 10 s whenever it could serve. With a cached endpoint list it becomes ready whatever discovery
// does. Without one it becomes ready soon after discovery has sent its list.
func TestReadyAfterRestart(t *testing.T) {
	const readyTimeout = 10 * time.Second
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	list := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	silent, err := net.Listen("tcp", "127.0.0.1:0") // never answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	healthy := func(*testing.T) string { return newRegistry(t, list).Addr }
	serveWith := func(answer http.HandlerFunc) func(*testing.T) string {
		return func(t *testing.T) string {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := &http.Server{Handler: answer}
			go srv.Serve(l)
			t.Cleanup(func() { srv.Close() })
			return l.Addr().String()
		}
	}
	failing := serveWith(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	began := time.Now()
	recovering := serveWith(func(w http.ResponseWriter, _ *http.Request) {
		if time.Since(began) < time.Second {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		io.WriteString(w, list)
	})
	slow := serveWith(func(w http.ResponseWriter, _ *http.Request) { // half of the time that a call may take
		time.Sleep(500 * time.Millisecond)
		io.WriteString(w, list)
	})
	for _, c := range []struct {
		name      string
		discovery func(*testing.T) string
		hasList   bool
		shared    bool // processes of the node share a socket, which has the longest wait
	}{
		{"cached list, discovery up", healthy, true, false},
		{"cached list, discovery fails", failing, true, false},
		{"cached list, discovery fails, shared socket", failing, true, true},
		{"cached list, discovery silent", func(*testing.T) string { return silent.Addr().String() }, true, false},
		{"no list, discovery up", healthy, false, false},
		{"no list, discovery comes up", recovering, false, false},
		{"no list, discovery slow", slow, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			cfg := testConfig(t, c.discovery(t), list)
			if !c.hasList {
				cfg.Known.Members, cfg.Known.Complete, cfg.knownErr = nil, false, errors.New("cut")
			}
			if c.shared {
				cfg.Shared = t.TempDir()
			}
			n := startNode(t, cfg)
			for {
				if resp, _ := doRequest(t, newTestRequest(t, n.url+"/health/ready", "read")); resp.StatusCode == 200 {
					break
				}
				if time.Since(began) > readyTimeout {
					t.Fatalf("not ready within %v", readyTimeout)
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("ready after %v", time.Since(began).Round(10*time.Millisecond))
		})
	}
}
