package httpfront

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"glencart/internal/site"
	"glencart/internal/standin"
)

const twoPlans = `[[plan]]
name = "gold"
rank = 1
share = 0.5
[[plan]]
name = "free"
rank = 2
least = 0.1
[[tenant]]
name = "g"
plan = "gold"
[[tenant]]
name = "f"
plan = "free"
[[pool]]
name = "p"
boxes = [{ address = "{box}" }]
[[server]]
[[server.location]]
path = "/"
[[server.location.route]]
pool = "p"
`

func parse(t *testing.T, text string) *site.Site {
	t.Helper()
	s, err := site.Parse("site.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// One process alone, whose box has room for two at once and is asked by sixteen: the lower plan is turned away, with words of when to come
// back, and before anything went to the box; its connection, with a body on it that nobody asked for, goes on. A reload that moves the other
// tenant to the lower plan has it turned away too.
func TestShedByPlan(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]bool{}
	room := make(chan struct{}, 2)
	box := handler(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case room <- struct{}{}:
		default:
			w.Header().Set(neverRanHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.Copy(io.Discard, r.Body)
		mu.Lock()
		ran[r.URL.Path] = true
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		<-room
	})
	text := "[node]\nleave = \"2s\"\ntenant = \"X-Tenant\"\n" + strings.TrimPrefix(oneListener, "[node]\nleave = \"2s\"\n") + twoPlans
	n := serveSite(t, parse(t, strings.ReplaceAll(text, "{box}", box)))
	turned := func(plan string) uint64 { m, _ := n.pressure.Turned(); return m[plan] }

	done := make(chan struct{})
	var wg sync.WaitGroup
	var number atomic.Int64
	for i := range 16 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				r, _ := http.NewRequest("POST", fmt.Sprintf("http://%s/%d", n.Addr("web"), number.Add(1)), strings.NewReader(strings.Repeat("x", 10_000)))
				r.Header.Set("X-Tenant", "gf"[i/2%2:][:1])
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Errorf("no answer: %v", err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				mu.Lock()
				if resp.StatusCode == 503 && (resp.Header.Get("Retry-After") == "" || resp.Header.Get(neverRanHeader) != "1" || ran[r.URL.Path]) {
					t.Errorf("%s: %v, ran %t", r.URL.Path, resp.Header, ran[r.URL.Path])
				}
				mu.Unlock()
			}
		})
	}
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	standin.Eventually(t, "the lower plan is turned away", func() bool { return turned("free") > 50 })
	if g, f := turned("gold"), turned("free"); g > f {
		t.Errorf("%d of the higher plan, %d of the lower", g, f)
	}
	// On one connection: what is turned away, with its body, and what follows.
	for shed, tries := false, 0; !shed; tries++ {
		if tries == 2000 {
			t.Fatal("none of 2,000 is turned away with words of when to come back")
		}
		before := turned("free")
		head := "POST /raw HTTP/1.1\r\nHost: x\r\nX-Tenant: f\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000)
		resp, r, c := n.raw(head)
		io.Copy(io.Discard, resp.Body)
		if shed = resp.StatusCode == 503 && resp.Header.Get("Retry-After") != "" && turned("free") > before; !shed {
			c.Close()
			continue
		}
		go io.WriteString(c, "GET /raw HTTP/1.1\r\nHost: x\r\nX-Tenant: g\r\n\r\n")
		if _, err := http.ReadResponse(r, nil); err != nil {
			t.Fatalf("the connection does not go on: %v", err)
		}
		c.Close()
	}
	if err := n.Reload(parse(t, strings.Replace(strings.ReplaceAll(text, "{box}", box), "name = \"g\"\nplan = \"gold\"", "name = \"g\"\nplan = \"free\"\n[[tenant]]\nname = \"h\"\nplan = \"gold\"", 1))); err != nil {
		t.Fatal(err)
	}
	rest := turned("gold")
	before := turned("free")
	standin.Eventually(t, "the other tenant is in the lower plan", func() bool { return turned("free") > before+50 })
	if now := turned("gold"); now != rest {
		t.Errorf("%d turned away of a plan that nobody asks for", now-rest)
	}
	close(done)
	wg.Wait()
}
