package httpfront

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"glencart/internal/standin"
	"glencart/internal/standin/longanswers"
)

const longAnswerSite = `
[[class]]
name = "all"
deadline = "600ms"
effect = "unsafe"
[[pool]]
name = "p"
boxes = [{ id = "s0", address = "{b0}" }, { id = "s1", address = "{b1}" }]
[[server]]
[[server.location]]
path = "/"
[[server.location.route]]
pool = "p"
class = "all"
`

// A sound answer was ended because it came on a connection in early use, sooner than its backend's usual time. Rare long and short answers
// among ordinary ones must come whole, and an answer that was sent twice must reach no other request.
func TestRareLongAnswersComeWhole(t *testing.T) {
	const seeds, clients, rareClients, length = 4, 10, 3, 4 * time.Second
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 82))
			cfg := longanswers.DrawConfig(rng)
			cfg.MinWork, cfg.MaxWork = 60*time.Millisecond, 80*time.Millisecond // connections are in use early behind slow answers
			cfg.NoiseShare = 0
			if seed%2 == 0 {
				cfg.DuplicateShare = 0
			}
			recorder := &longanswers.Recorder{}
			addrs := map[string]string{}
			for i := range 2 {
				b := standin.NewRaw(t, "127.0.0.1:0", longanswers.Serve(cfg, seed<<8|uint64(i), recorder))
				addrs[fmt.Sprint("b", i)] = b.Addr().String()
			}
			n := serve(t, longAnswerSite, addrs)
			var running sync.WaitGroup
			var mu sync.Mutex
			counts := map[string]int{}
			client := func(name string, gap time.Duration, draw func(*rand.Rand) longanswers.Plan, rng *rand.Rand) {
				for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
					time.Sleep(time.Duration(rng.Int64N(int64(2 * gap))))
					e := &longanswers.Exchange{ID: fmt.Sprintf("%s-%d-%04d", name, seed, i), Class: "order", Budget: 600 * time.Millisecond}
					target := "/api/x"
					if draw != nil {
						plan := draw(rng)
						e.Plan, target = &plan, plan.Target()
					}
					exchangeLong("http://"+n.Addr("web")+target, e)
					kind, text := recorder.Problem(cfg, e, false)
					mu.Lock()
					counts[kind]++
					mu.Unlock()
					// Where answers are sent twice and name nobody for serve, one that is held and another can't be distinguished.
					if kind != "" && (cfg.DuplicateShare == 0 || kind != "ended") {
						t.Errorf("%s: %s (%v): %s", kind, e.ID, e.Plan, text)
					}
				}
			}
			for i := range clients {
				rng := rand.New(rand.NewPCG(seed, rng.Uint64()))
				running.Go(func() { client(fmt.Sprintf("named-%02d", i), 20*time.Millisecond, nil, rng) })
			}
			for i := range rareClients {
				rng := rand.New(rand.NewPCG(seed, rng.Uint64()))
				draw := longanswers.Draw
				if i == 0 {
					draw = longanswers.DrawShort
				}
				running.Go(func() { client(fmt.Sprintf("rare-%02d", i), 200*time.Millisecond, draw, rng) })
			}
			running.Wait()
			t.Logf("%v: %v", cfg, counts)
			if counts[""] < 100 {
				t.Errorf("%v: too few for a valid run", counts)
			}
		})
	}
}

// exchangeLong sends the request of an exchange on a connection of its own.
func exchangeLong(url string, e *longanswers.Exchange) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(nil))
	if err != nil {
		e.Err = err
		return
	}
	r.Header.Set("X-Trace-Id", e.ID)
	e.SentAt = time.Now()
	resp, err := client.Do(r)
	if err != nil {
		e.Err = err
		return
	}
	defer resp.Body.Close()
	e.Began, e.Status = time.Since(e.SentAt), resp.StatusCode
	e.Body, e.Err = io.ReadAll(resp.Body)
}
