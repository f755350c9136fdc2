package httpfront

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"glencart/internal/members/kept"
	"glencart/internal/standin"
	"glencart/internal/standin/box"
	"glencart/internal/standin/dns"
	"glencart/internal/standin/httpbox"
)

// srv words SRV records for addresses on 127.0.0.1.
func srv(addrs ...string) []string {
	lines := []string{"a.khuree.mn. 1 IN A 127.0.0.1"}
	for _, a := range addrs {
		_, port, _ := net.SplitHostPort(a)
		lines = append(lines, "_menu._tcp.khuree.mn. 1 IN SRV 1 1 "+port+" a.khuree.mn.")
	}
	return lines
}

const dnsPool = `
[[pool]]
name = "menu"
slow_start = "2s"
cold_share = 0.2
guard_hold = "30s"
sources = [ { dns = "_menu._tcp.khuree.mn", resolvers = ["{dns}"], floor = "100ms", timeout = "100ms" }{more} ]
[[class]]
name = "unsafe"
effect = "unsafe"
deadline = "2s"
[[server]]
[[server.location]]
path = "/"
[[server.location.route]]
pool = "menu"
`

// DNS is dead while a part of the boxes is gone and comes back cold: no request is lost, none runs twice, no cold box is pushed over,
// and about as much is served as with DNS well.
func TestOutageWithDNSDead(t *testing.T) {
	share := map[bool]float64{}
	for _, dead := range []bool{false, true} {
		ledger := box.NewLedger()
		var boxes []*httpbox.Server
		var addrs []string
		for i := range 4 {
			b := httpbox.Start(t, box.Config{ID: fmt.Sprint("b", i), Cores: 2, Work: 2 * time.Millisecond, ColdShare: 0.2, WarmWithin: 2 * time.Second,
				FallMultiple: 2, OverloadFor: time.Second}, ledger)
			boxes, addrs = append(boxes, b), append(addrs, b.Addr)
		}
		ns := dns.New(t, "khuree.mn.")
		ns.Set(t, srv(addrs...)...)
		n := serve(t, dnsPool, map[string]string{"dns": ns.Addr, "more": ""})
		standin.Eventually(t, "the pool", func() bool { return n.gen.Load().pools["menu"].loop.HasReadyBackend() })
		var asked, served atomic.Int64
		stop := make(chan bool)
		var wg sync.WaitGroup
		for c := range 8 {
			wg.Go(func() {
				tr := &http.Transport{}
				defer tr.CloseIdleConnections()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(4 * time.Millisecond):
					}
					id := fmt.Sprintf("c%d-%d", c, i)
					req, _ := http.NewRequest("POST", "http://"+n.Addr("web")+"/"+id, strings.NewReader("x"))
					resp, err := tr.RoundTrip(req)
					if err != nil {
						t.Errorf("%s: no answer: %v", id, err)
						return
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					asked.Add(1)
					if resp.StatusCode == 200 {
						served.Add(1)
					}
					if runs := ledger.Runs(id); len(runs) > 1 || resp.StatusCode == 200 && len(runs) != 1 {
						t.Errorf("%s: answered %d, ran %d times", id, resp.StatusCode, len(runs))
					}
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		if dead {
			ns.Fail(dns.Fault{Drop: true})
		}
		time.Sleep(300 * time.Millisecond)
		boxes[0].Kill()
		boxes[1].Kill()
		time.Sleep(1500 * time.Millisecond) // past the lifetime of a second
		boxes[0].Restart(t)
		boxes[1].Restart(t)
		time.Sleep(time.Second)
		close(stop)
		wg.Wait()
		for _, b := range boxes {
			if b.Fell() {
				t.Errorf("%s was pushed over", b.ID)
			}
		}
		share[dead] = float64(served.Load()) / float64(asked.Load())
		n.stop()
	}
	t.Logf("served: %.3f with DNS well, %.3f with DNS dead", share[false], share[true])
	if share[true] < share[false]-0.1 {
		t.Errorf("served %.3f with DNS dead, %.3f with it well", share[true], share[false])
	}
}

// A box that one source calls draining gets nothing new half a second later, whatever the others list.
func TestDrainByAnySource(t *testing.T) {
	var one, two atomic.Int64
	a := handler(t, func(w http.ResponseWriter, _ *http.Request) { one.Add(1) })
	b := handler(t, func(w http.ResponseWriter, _ *http.Request) { two.Add(1) })
	ns := dns.New(t, "khuree.mn.")
	ns.Set(t, srv(a, b)...)
	file := filepath.Join(t.TempDir(), "boxes.toml")
	put := func(state string) {
		os.WriteFile(file+".new", fmt.Appendf(nil, "[[box]]\nid = \"one\"\naddress = %q\nstate = %q\n", a, state), 0o600)
		if err := os.Rename(file+".new", file); err != nil {
			t.Fatal(err)
		}
	}
	put("ready")
	text := strings.Replace(dnsPool, "[[pool]]", "[[pool]]\nspread = \"weights\"", 1) // so that each gets some
	n := serve(t, text, map[string]string{"dns": ns.Addr, "more": `, { name = "hand", file = "` + file + `" }`})
	ask := func(times int) {
		for range times {
			if status, _, _ := n.get("GET", "/x", ""); status != 200 && status != 503 {
				t.Errorf("answered %d", status)
			}
		}
	}
	standin.Eventually(t, "both at work", func() bool { ask(5); return one.Load() > 0 && two.Load() > 0 })
	put("draining")
	p := n.gen.Load().pools["menu"]
	standin.Eventually(t, "the drain", func() bool {
		drains := make(chan bool, 1)
		p.loop.Post(func() {
			for _, c := range p.member.Backends() {
				if c.Addr == a {
					drains <- c.Endpoint.Phase != 0
				}
			}
		})
		return standin.Receive(t, "a look", drains)
	})
	before := one.Load()
	ask(30)
	if got := one.Load(); got != before {
		t.Errorf("%d requests at a box that drains", got-before)
	}
	put("ready")
	standin.Eventually(t, "its return", func() bool { ask(5); return one.Load() > before })
}

// With all sources down a node begins with the list that it kept, and without one refuses at once.
func TestStartWithSourcesDown(t *testing.T) {
	a := handler(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "a") })
	ns := dns.New(t, "khuree.mn.")
	ns.Set(t, srv(a)...)
	keep := t.TempDir()
	start := func(folder string) *node {
		s := (&node{t: t}).site(dnsPool, map[string]string{"dns": ns.Addr, "more": ""})
		s.Node.Keep = folder
		return serveSite(t, s)
	}
	n := start(keep)
	standin.Eventually(t, "the kept list", func() bool { l, err := kept.Read(keep, "menu"); return err == nil && l != nil && len(l.Backends) == 1 })
	n.stop()
	ns.Fail(dns.Fault{Drop: true})
	n = start(keep)
	if status, body, _ := n.get("GET", "/x", ""); status != 200 || body != "a" {
		t.Errorf("with a kept list: %d %q", status, body)
	}
	n.stop()
	n = start(t.TempDir())
	began := time.Now()
	status, _, h := n.get("GET", "/x", "")
	if status != 503 || h.Get("Retry-After") == "" || time.Since(began) > time.Second {
		t.Errorf("with none: %d after %v, come back %q", status, time.Since(began), h.Get("Retry-After"))
	}
}

// A box whose checks fail gets nothing new, and is back when they pass; where most fail them, checks count for nothing; and what
// was said of a box says nothing of another one under its name.
func TestChecks(t *testing.T) {
	var sick [3]atomic.Bool
	var got [3]atomic.Int64
	addrs := map[string]string{}
	for i := range sick {
		addrs[string(rune('a'+i))] = handler(t, func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path != "/well":
				got[i].Add(1)
			case sick[i].Load():
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
	}
	const text = `
[[pool]]
name = "p"
boxes = [{ id = "a", address = "{a}" }, { id = "b", address = "{b}" }]
check = { http = "/well", every = "100ms", timeout = "100ms", rise = 1, fall = 1 }
spread = "weights"
[[server]]
[[server.location]]
path = "/"
[[server.location.route]]
pool = "p"
`
	n := serve(t, text, addrs)
	// gets tells which boxes get requests now.
	gets := func() (names string) {
		for i := range got {
			got[i].Store(0)
		}
		for range 20 {
			if status, _, _ := n.get("GET", "/", ""); status != 200 {
				t.Errorf("answered %d", status)
			}
		}
		for i := range got {
			if got[i].Load() > 0 {
				names += string(rune('a' + i))
			}
		}
		return names
	}
	await := func(want string) {
		t.Helper()
		standin.Eventually(t, "requests to "+want+" only", func() bool { return gets() == want })
	}
	await("ab")
	sick[1].Store(true)
	await("a")
	sick[0].Store(true)
	await("ab") // all fail: checks are wrong, or it does not matter
	sick[0].Store(false)
	await("a")
	addrs["b"] = addrs["c"]
	n.reload(text, addrs)
	await("ac")
}
