package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// limitedNodeEnv names the environment variable with which the test binary runs as a node. Its value is the configuration. The process
// limits itself to minSockets descriptors, prints its addresses, and when its standard input ends the peak of its open descriptors.
const limitedNodeEnv = "GLENCART_TEST_CRAMPED"

func init() {
	text := os.Getenv(limitedNodeEnv)
	if text == "" {
		return
	}
	exitOnError := func(err error) {
		if err != nil {
			fmt.Fprintln(os.Stderr, "cramped:", err)
			os.Exit(1)
		}
	}
	cfg, err := ParseConfig([]byte(text))
	exitOnError(err)
	exitOnError(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: minSockets, Max: minSockets}))
	n, err := New(context.Background(), cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	exitOnError(err)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		io.Copy(io.Discard, os.Stdin)
		stop()
	}()
	peak := atomic.Int64{}
	go every(ctx, 3*time.Millisecond, func() {
		if list, err := os.ReadDir("/proc/self/fd"); err == nil {
			peak.Store(max(peak.Load(), int64(len(list)-1))) // without the one that reads the folder
		}
	})
	go every(ctx, 20*time.Millisecond, func() { n.peers.send(0, []byte("word")) })
	fmt.Println(n.Addr(), n.adminListener.Addr())
	exitOnError(n.Run(ctx))
	fmt.Println(peak.Load())
	os.Exit(0)
}

// A node must not run out of descriptors. Here clients and callers of the management endpoint open connections and send nothing or a
// part of a request, backends are slow, and discovery refuses or hangs. The node still serves requests, sends to its peers, and applies
// a drain as soon as discovery is back.
func TestDescriptorLimitUnderConnectionFlood(t *testing.T) {
	t.Parallel()
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	datagrams := make(chan struct{}, 1)
	go func() {
		for b := make([]byte, 512); ; {
			if _, _, err := peer.ReadFrom(b); err != nil {
				return
			}
			select {
			case datagrams <- struct{}{}:
			default:
			}
		}
	}()
	release, arrived := make(chan struct{}), make(chan struct{}, 64)
	var oldLastAt atomic.Int64 // when an old backend last received a request
	serve := func(name string) func(net.Conn, *bufio.Reader) {
		return serveAnswers(func(r *http.Request) string {
			if !strings.HasPrefix(r.URL.Path, "/api/") {
				return ok200("{}")
			}
			if name == "old" {
				oldLastAt.Store(time.Now().UnixNano())
			}
			if r.URL.Path == "/api/slow" {
				arrived <- struct{}{}
				<-release
			}
			return ok200(name)
		})
	}
	const many = 24 // more than the pool may hold: each connection of a probe is kept for a while
	var known, drained []listedBackend
	for i := range many {
		old := listedBackend{ID: fmt.Sprintf("s-old-%d", i), Addr: newRawBackend(t, "127.0.0.1:0", serve("old")).Addr().String(), Phase: "ready"}
		known = append(known, old)
		old.Phase = "draining"
		drained = append(drained, old)
	}
	newBackend := newRawBackend(t, "127.0.0.1:0", serve("new"))
	var mode atomic.Value
	mode.Store("refuses")
	resumed := make(chan struct{})
	var listSentAt atomic.Int64
	calls := atomic.Int32{}
	discovery := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			calls.Add(1)
			switch mode.Load() {
			case "refuses":
				resetConn(c)
				return
			case "hangs":
				<-resumed
				return
			}
			text := listText(2, true, append(drained, listedBackend{ID: "s-new", Addr: newBackend.Addr().String(), Phase: "ready"})...)
			if r.URL.RawQuery != "" && listSentAt.Load() != 0 {
				time.Sleep(100 * time.Millisecond)
				text = listText(2, false)
			}
			listSentAt.CompareAndSwap(0, time.Now().UnixNano())
			io.WriteString(c, ok200(text))
		}
	})
	raw, err := json.Marshal(map[string]any{
		"name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.Addr().String(), "seed": "8c1f30d27a5be964",
		"management": "127.0.0.1:0", "shared": t.TempDir(), "peer_listen": "127.0.0.1:0", "peers": []string{peer.LocalAddr().String()},
		"limits": Limits{Cores: 1, MemoryMB: 192, Sockets: minSockets}, "settings": json.RawMessage(testSettings),
		"known": json.RawMessage(listText(1, true, known...)),
	})
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0], "-test.run=^$")
	child.Env = append(os.Environ(), limitedNodeEnv+"="+string(raw))
	var log strings.Builder
	child.Stderr = &log
	stdin, _ := child.StdinPipe()
	stdout, _ := child.StdoutPipe()
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	waitForEnd := sync.OnceValue(func() error { stdin.Close(); return child.Wait() })
	defer waitForEnd()
	output := bufio.NewScanner(stdout)
	var addr, admin string
	if !output.Scan() {
		t.Fatalf("the node did not start: %v %s", waitForEnd(), log.String())
	}
	fmt.Sscan(output.Text(), &addr, &admin)
	call := func(to, path string) (status int, body string) {
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(newTestRequest(t, "http://"+to+path, "read"))
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	eventually(t, "readiness", func() bool { status, _ := call(addr, "/health/ready"); return status == 200 })

	b := boundsOf(Limits{MemoryMB: 192, Sockets: minSockets}, 1)
	var slow sync.WaitGroup
	var answered atomic.Int32
	for range b.requests - 1 {
		slow.Go(func() {
			if status, _ := call(addr, "/api/slow"); status != 0 {
				answered.Add(1)
			}
		})
	}
	receive(t, "a request at the backend", arrived)
	flood := func(to string, many int) {
		for i := range many {
			c, err := net.Dial("tcp", to)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			if i%2 == 1 {
				io.WriteString(c, "POST /api/x HTTP/1.1\r\nHost:")
			}
		}
	}
	for _, m := range []string{"refuses", "hangs", "returns"} {
		mode.Store(m)
		if m == "returns" {
			close(resumed)
		}
		flood(addr, 3*b.clients)
		flood(admin, 2*maxAdminConns)
		for range many {
			call(addr, "/api/x") // probes run in between
		}
		callsBefore := calls.Load()
		began := time.Now()
		if status, body := call(addr, "/api/x"); status != 200 {
			t.Errorf("discovery %s: answered %d %s", m, status, body)
		}
		if d := time.Since(began); d > 2*time.Second {
			t.Errorf("discovery %s: the client waited %v", m, d)
		}
		if status, body := call(admin, "/control/ready"); status != 200 {
			t.Errorf("discovery %s: the management endpoint answered %d %s", m, status, body)
		}
		eventually(t, "a call to discovery, which "+m, func() bool { return calls.Load() > callsBefore })
		select {
		case <-datagrams:
		default:
		}
		receive(t, "a datagram at the peer", datagrams)
	}
	eventually(t, "the new backend", func() bool { _, body := call(addr, "/api/x"); return body == "new" })
	for range 20 {
		call(addr, "/api/x")
	}
	if d := time.Duration(oldLastAt.Load() - listSentAt.Load()); d > 500*time.Millisecond {
		t.Errorf("a draining backend received a request %v after the update", d)
	}
	close(release)
	slow.Wait()
	if got := int(answered.Load()); got != b.requests-1 {
		t.Errorf("%d of %d open requests were answered", got, b.requests-1)
	}
	stdin.Close()
	peak := 0
	if output.Scan() {
		fmt.Sscan(output.Text(), &peak)
	}
	if err := waitForEnd(); err != nil {
		t.Errorf("the node ended with %v", err)
	}
	t.Logf("peak of open descriptors: %d of %d; clients %d, backends %d, others %d", peak, minSockets, b.clients, b.backends, reservedSockets)
	if peak == 0 || peak >= minSockets || strings.Contains(log.String(), "too many open files") {
		t.Errorf("%d of %d descriptors were open; the node's log: %s", peak, minSockets, log.String())
	}
}
