package node

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"glencart/internal/engine"
	"glencart/internal/upstream"
	"glencart/reuse"
)

// A reload with another discovery address takes effect at once, also twice in a row, and doesn't disturb requests in flight. The watch
// at the old discovery is cancelled, and its late answer must not replace the new list.
func TestReloadChangesDiscovery(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 4)
	serve := func(name string) string {
		return newRawBackend(t, "127.0.0.1:0", serveAnswers(func(r *http.Request) string {
			if r.URL.Path == "/api/slow" {
				arrived <- struct{}{}
				<-release
			}
			return ok200(name)
		})).Addr().String()
	}
	watched, cancelled, sendLate := make(chan struct{}, 4), make(chan struct{}, 4), make(chan struct{})
	text := listText(900, true, listedBackend{ID: "one", Addr: serve("one"), Phase: "ready", Up: 0})
	var lateList string // the late answer of the old discovery
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			io.WriteString(w, text)
			return
		}
		watched <- struct{}{}
		<-r.Context().Done()
		cancelled <- struct{}{}
		<-sendLate
		io.WriteString(w, lateList)
	}))
	defer old.Close()
	// Revisions of different discoveries are not comparable. These are lower.
	second := newRegistry(t, listText(7, true, listedBackend{ID: "two", Addr: serve("two"), Phase: "ready", Up: 0}))
	third := newRegistry(t, listText(3, true, listedBackend{ID: "three", Addr: serve("three"), Phase: "ready", Up: 0}))
	lateList = listText(901, true)
	cfg := testConfig(t, strings.TrimPrefix(old.URL, "http://"), text)
	n := startNode(t, cfg)
	slow := make(chan string, 1)
	go func() {
		_, body := doRequest(t, newTestRequest(t, n.url+"/api/slow", "order"))
		slow <- body
	}()
	receive(t, "the slow request at the backend", arrived)
	receive(t, "the watch", watched)
	for _, to := range []*testRegistry{second, third} {
		cfg.Discovery = to.Addr
		n.Reload(cfg)
	}
	receive(t, "the end of the old watch", cancelled)
	close(sendLate)
	eventually(t, "an answer by a backend of the last discovery", func() bool {
		_, body := doRequest(t, newTestRequest(t, n.url+"/api/x", "read"))
		return body == "three"
	})
	close(release)
	if body := receive(t, "the slow answer", slow); body != "one" {
		t.Errorf("request in flight during the reload: %q", body)
	}
	cfg.Discovery = second.Addr
	n.Reload(cfg)
	eventually(t, "an answer by a backend of the second discovery", func() bool {
		_, body := doRequest(t, newTestRequest(t, n.url+"/api/x", "read"))
		return body == "two"
	})
}

// While the new discovery can't be reached, the last list stays in use, since a node without a list rejects everything. A further
// reload calls the next discovery at once, without the backoff of the failed one.
func TestReloadKeepsLastList(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("old") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready", Up: 0})
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	n := startNode(t, cfg)
	down := newRawBackend(t, "127.0.0.1:0", nil)
	down.Close()
	cfg.Discovery = down.Addr().String()
	n.Reload(cfg)
	for range 3 {
		if resp, body := doRequest(t, newTestRequest(t, n.url+"/api/x", "read")); resp.StatusCode != 200 || body != "old" {
			t.Errorf("answered %d %q", resp.StatusCode, body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	reg := newRegistry(t, text)
	cfg.Discovery = reg.Addr
	n.Reload(cfg)
	eventually(t, "a call to the discovery that is up", func() bool { return len(reg.Asked()) > 0 })
}

// A changed value that a running node can't apply must be logged, with the need for a restart. Operators would otherwise take it as
// applied.
func TestReloadLogsSettingsThatNeedRestart(t *testing.T) {
	text := listText(1, true)
	cfg := testConfig(t, newRegistry(t, text).Addr, text)
	var log bytes.Buffer
	n, err := New(t.Context(), cfg, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer n.listener.Close()
	n.Reload(cfg)
	if strings.Contains(log.String(), "restart") {
		t.Errorf("nothing has changed, but the log has %s", &log)
	}
	cfg.Seed, cfg.Limits.MemoryMB = 7, 48
	n.Reload(cfg)
	if want := fmt.Sprintf("keys=%q", "seed limits"); !strings.Contains(log.String(), want) {
		t.Errorf("no %s in the log: %s", want, &log)
	}
}

// Of several reloads in a row the last one applies, also if the loop has not yet processed the earlier ones. A file equal to the
// settings in use still removes classes of an earlier file. Their class numbers are not assigned again.
func TestLastOfConsecutiveReloadsApplies(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready", Up: 0})
	reg := newRegistry(t, text)
	n := startNode(t, testConfig(t, reg.Addr, text))
	configWith := func(name string) Config {
		replacements := []string{}
		if name != "" {
			replacements = []string{`"classes":[`, `"classes":[{"name":"` + name + `","aim":1000000000,"deadline":9000000000,"effect":"side_effect","points":1},`}
		}
		return testConfig(t, reg.Addr, text, replacements...)
	}
	unblock, blocked := make(chan struct{}), make(chan struct{})
	n.loop.Post(func() { close(blocked); <-unblock })
	receive(t, "the blocked loop", blocked)
	for _, name := range []string{"gold", "silver", ""} {
		if err := n.Reload(configWith(name)); err != nil {
			t.Fatal(err)
		}
	}
	close(unblock)
	n.runOnLoop(t, func() {})
	current := n.front.settings.Load()
	if got := strings.Join(current.inUse(), " "); got != "read order token" || len(current.Classes) != 5 {
		t.Errorf("classes in use: %q of %q", got, current.Classes)
	}
	for _, class := range []string{"gold", "silver"} {
		if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", class)); resp.StatusCode != 400 {
			t.Errorf("%s: %d", class, resp.StatusCode)
		}
	}
}

// A reload that shortens idleClose also applies to connections that are already idle. Backends now close them sooner, and a request
// sent during such a close fails and may have run.
func TestReloadAppliesIdleCloseToPooledConnections(t *testing.T) {
	text := listText(1, true)
	cfg := testConfig(t, "127.0.0.1:1", text)
	n, err := New(t.Context(), cfg, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	to := engine.Endpoint{ID: "s", Addr: newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") })).Addr().String()}
	pooled, err := n.pool.Get(t.Context(), to, upstream.Request{})
	if err != nil {
		t.Fatal(err)
	}
	n.pool.Put(pooled, reuse.Answer{Elapsed: time.Millisecond})
	pooled.IdleAt = pooled.IdleAt.Add(-time.Second) // usable with an idleClose of 5 s, too old with 1 s
	if err := n.Reload(testConfig(t, "127.0.0.1:1", text, `"idleClose":5000000000`, `"idleClose":1000000000`, `"connectTimeout":2000000000`, `"connectTimeout":300000000`)); err != nil {
		t.Fatal(err)
	}
	n.loop.Step()
	time.Sleep(reuse.QuietTime) // or it would not be reused for another reason
	next, err := n.pool.Get(t.Context(), to, upstream.Request{})
	if err != nil {
		t.Fatal(err)
	}
	defer n.pool.Discard(next, upstream.Unsent)
	if next == pooled || n.pool.dialer.Timeout != 300*time.Millisecond {
		t.Errorf("old connection reused: %t; dial timeout %v", next == pooled, n.pool.dialer.Timeout)
	}
}

// Requests may be read under the old settings and reach the loop after a reload. If their class may now be retried more freely than
// the client expects, they are rejected and don't run. If the class has become stricter or was removed, they are served.
func TestRequestsReadBeforeReload(t *testing.T) {
	var ran atomic.Int64
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { ran.Add(1); return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready", Up: 0})
	reg := newRegistry(t, text)
	n := startNode(t, testConfig(t, reg.Addr, text))
	unblock, blocked := make(chan struct{}), make(chan struct{})
	n.loop.Post(func() { close(blocked); <-unblock })
	receive(t, "the blocked loop", blocked)
	if err := n.Reload(testConfig(t, reg.Addr, text, `"effect":"pure"`, `"effect":"side_effect"`, `"effect":"side_effect"`, `"effect":"pure"`,
		`"name":"token"`, `"name":"other"`)); err != nil {
		t.Fatal(err)
	}
	want := map[string]int{"order": 503, "read": 200, "token": 200}
	type answer struct {
		class  string
		status int
	}
	answers := make(chan answer, len(want))
	for class := range want {
		go func() {
			resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", class))
			answers <- answer{class, resp.StatusCode}
		}()
	}
	eventually(t, "all requests read and waiting", func() bool { return n.front.inFlight.Load() == int64(len(want)) })
	close(unblock)
	for range want {
		if a := receive(t, "an answer", answers); a.status != want[a.class] {
			t.Errorf("%s: %d, want %d", a.class, a.status, want[a.class])
		}
	}
	if ran.Load() != 2 {
		t.Errorf("%d requests ran, want 2", ran.Load())
	}
	if resp, _ := doRequest(t, newTestRequest(t, n.url+"/api/x", "token")); resp.StatusCode != 400 {
		t.Errorf("removed class: %d", resp.StatusCode)
	}
}

// A reload that shortens the drain grace also shortens the wait of watches to half of it. With the old wait, a drain could arrive
// after the grace.
func TestReloadShortensWatchWait(t *testing.T) {
	waits := make(chan string, 64)
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready", Up: 0})
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			io.WriteString(w, text)
			return
		}
		select {
		case waits <- r.URL.Query().Get("wait_ms"):
		default:
		}
		io.WriteString(w, listText(1, false))
	}))
	defer agent.Close()
	addr := strings.TrimPrefix(agent.URL, "http://")
	n := startNode(t, testConfig(t, addr, text))
	if got := receive(t, "a watch", waits); got != "250" {
		t.Errorf("a watch waits %s ms, want 250", got)
	}
	if err := n.Reload(testConfig(t, addr, text, `"drainGrace":500000000`, `"drainGrace":120000000`)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a watch with the shorter wait", func() bool { return receive(t, "a watch", waits) == "60" })
}
