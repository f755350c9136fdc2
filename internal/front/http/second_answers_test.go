package httpfront

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"glencart/internal/standin/surplus"
)

// A backend that answers some requests twice makes the answers on a kept connection one ahead of its requests. A client must not get
// the answer to another client's request, and a request that ran must not be sent again because a second 503 with X-Never-Ran
// came in place of its answer.
func TestSecondAnswersReachNoOtherClient(t *testing.T) {
	const seeds, backends, clients, requests = 6, 3, 8, 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			cfg := surplus.Draw(rand.New(rand.NewPCG(seed, 5)), 100*time.Millisecond)
			cfg.Form = [...]surplus.Form{surplus.SameAnswer, surplus.NeverRan, surplus.OtherAnswer}[seed%3]
			cfg.Link /= 5
			var mu sync.Mutex
			runs := map[string]int{}
			text, addrs := "[[pool]]\nname = \"p\"\nboxes = [", map[string]string{}
			for i := range backends {
				b := surplus.Start(t, cfg, seed<<8|uint64(i), func(r *http.Request, _ time.Time) {
					mu.Lock()
					defer mu.Unlock()
					runs[surplus.RequestID(r)]++
				})
				text += fmt.Sprintf("{ id = \"s%d\", address = %q }, ", i, b.Addr)
			}
			text += "]\n[[server]]\n[[server.location]]\npath = \"/\"\n[[server.location.route]]\npool = \"p\"\n"
			n := serve(t, text, addrs)
			var running sync.WaitGroup
			served := 0
			for c := range clients {
				running.Go(func() {
					client := &http.Client{Transport: &http.Transport{}}
					defer client.CloseIdleConnections()
					for i := range requests {
						id := fmt.Sprintf("%d-%d", c, i)
						resp, err := client.Post("http://"+n.Addr("web")+"/api/"+id, "text/plain", strings.NewReader("x"))
						if err != nil {
							t.Errorf("%s: %v", id, err)
							continue
						}
						body, _ := io.ReadAll(resp.Body)
						resp.Body.Close()
						mu.Lock()
						ran := runs[id]
						switch {
						case resp.StatusCode == http.StatusOK && string(body) != cfg.Body(id):
							t.Errorf("%s was served with %q", id, body)
						case ran > 1:
							t.Errorf("%s ran %d times", id, ran)
						case resp.Header.Get("X-Never-Ran") != "" && ran > 0:
							t.Errorf("%s ran and was refused", id)
						case resp.StatusCode == http.StatusOK:
							served++
						}
						mu.Unlock()
					}
				})
			}
			running.Wait()
			t.Logf("%v: %d of %d served", cfg, served, clients*requests)
			if served < clients*requests/2 {
				t.Errorf("%d of %d served", served, clients*requests)
			}
		})
	}
}
