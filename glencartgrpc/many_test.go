package glencartgrpc_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"glencart/glencartgrpc"
	"glencart/internal/standin/box"
	"glencart/internal/standin/grpcbox"
)

// Many plug-ins in one process, on sockets, told a tenth of their number; a box comes back cold and is listed so. It is
// not pushed over, and serves. Some plug-ins come only then, and know nothing yet. -full starts 200.
func TestManyPluginsOnSockets(t *testing.T) {
	instances, rate, lasts := 40, 1200, 2500*time.Millisecond
	if glencartgrpc.Full() {
		instances, rate, lasts = 200, 1200, 5*time.Second
	}
	ledger := box.NewLedger()
	s := start(t, ledger, 5, func(c *grpcbox.Config) {
		c.Cores, c.Queue, c.Work, c.OOB = 4, 100, 13*time.Millisecond, true
		c.ColdShare, c.WarmWithin, c.FallMultiple, c.OverloadFor = .12, 5*time.Second, 3, 500*time.Millisecond
	})
	settings := strings.NewReplacer(`"warmWithin":22000000000`, `"warmWithin":5000000000`, `"overloadFor":1500000000`, `"overloadFor":500000000`,
		`"probing":true`, `"probing":false`).Replace(testSettings)
	list := boxes(s...)
	var cs []*client
	add := func(n int) {
		for range n {
			c := connect(t, config(func(c *glencartgrpc.Config) {
				c.Settings, c.Instances, c.Seed = []byte(settings), instances/10, uint64(len(cs)+1)
			}))
			c.set(t, list)
			cs = append(cs, c)
		}
	}
	add(instances * 3 / 4)
	rng := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	i := 0 // calls so far
	run := func(lasts time.Duration) {
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for end := time.Now().Add(lasts); time.Now().Before(end); <-tick.C {
			c, name := cs[rng.IntN(len(cs))], fmt.Sprint("m", i)
			i++
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				_, err := c.ask(ctx, grpcbox.Place, name)
				end := "served"
				if _, refused := glencartgrpc.Refused(err); refused {
					end = "refused"
				} else if err != nil {
					end = "failed"
				}
				mu.Lock()
				defer mu.Unlock()
				ends[end]++
			})
		}
	}
	run(time.Second)
	s[1].Kill()
	s[1].Restart(t)
	list[1].Started = time.Now()
	for _, c := range cs {
		c.set(t, list)
	}
	before := ledger.Total("b1")
	add(instances - len(cs))
	run(lasts)
	wg.Wait()
	cold := ledger.Total("b1") - before
	t.Logf("%d plug-ins told %d: %v, %d served by the cold box, pushed over %t", instances, instances/10, ends, cold, s[1].Fell())
	if s[1].Fell() {
		t.Error("the cold box was pushed over")
	}
	// In the short form the warm ones answer sooner than it could, and it need not serve.
	if glencartgrpc.Full() && cold < 50 {
		t.Errorf("the cold box served %d", cold)
	}
	for n := range i {
		if runs := ledger.Runs(fmt.Sprint("m", n)); len(runs) > 1 {
			t.Errorf("m%d ran %d times", n, len(runs))
		}
	}
}
