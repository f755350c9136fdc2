package glencartgrpc_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"glencart/glencartgrpc"
	"glencart/internal/standin/box"
	"glencart/internal/standin/grpcbox"
)

// outcome is what random faults came to.
type outcomes struct {
	calls, served, refused, failed, late int64
	violations                           []string
}

// window is the time within which repeats of a keyed call are dropped, cells how many groups of boxes share them.
const window, cells = 400 * time.Millisecond, 3

// randomFaults makes calls of three classes while boxes are killed, hung, slowed, failed and drained, by a seed, and
// holds the ledgers against what the application was told.
func randomFaults(t *testing.T, seed uint64, calls int, plant bool) (o outcomes) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 5))
	ledger := box.NewLedger()
	servers := start(t, ledger, 2*cells, func(c *grpcbox.Config) { c.Window, c.OOB, c.Work = window, true, 6*time.Millisecond })
	text := strings.NewReplacer(`"window":5000000000`, fmt.Sprintf(`"window":%d`, window), `"keyScope":"all"`, `"keyScope":"cell"`).Replace(testSettings)
	c := connect(t, config(func(c *glencartgrpc.Config) { c.Settings, c.Seed = []byte(text), seed+1 }))
	if plant {
		c.PlantUnavailable()
	}
	var mu sync.Mutex // of the list
	listed := boxes(servers...)
	cellOf := map[string]int{}
	for i := range listed {
		listed[i].Cell = i % cells
		cellOf[listed[i].ID] = i % cells
	}
	tell := func(change func()) {
		mu.Lock()
		defer mu.Unlock()
		change()
		c.set(t, listed)
	}
	tell(func() {})
	var done atomic.Int64
	var faults sync.WaitGroup
	stop := make(chan struct{})
	faults.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(5+rng.IntN(20)) * time.Millisecond):
			}
			i := rng.IntN(len(servers))
			s := servers[i]
			switch rng.IntN(6) {
			case 0, 1:
				s.Kill()
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
				s.Restart(t)
				tell(func() { listed[i].Started = time.Now() })
			case 2:
				s.Hang(true)
				time.Sleep(time.Duration(20+rng.IntN(80)) * time.Millisecond)
				s.Hang(false)
			case 3:
				s.Fail(true)
				time.Sleep(time.Duration(20+rng.IntN(50)) * time.Millisecond)
				s.Fail(false)
			case 4:
				s.Slow(float64(2 + rng.IntN(20)))
				time.Sleep(time.Duration(20+rng.IntN(50)) * time.Millisecond)
				s.Slow(1)
			case 5:
				s.Drain(true)
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
				tell(func() { listed[i].Draining = true })
				time.Sleep(time.Duration(20+rng.IntN(40)) * time.Millisecond)
				s.Drain(false)
				tell(func() { listed[i].Draining, listed[i].Started = false, time.Now().Add(-time.Hour) })
			}
		}
	})
	const callers = 48
	var wg sync.WaitGroup
	var vmu sync.Mutex
	violate := func(format string, args ...any) {
		vmu.Lock()
		defer vmu.Unlock()
		o.violations = append(o.violations, fmt.Sprintf(format, args...))
	}
	for w := range callers {
		wg.Go(func() {
			for i := w; i < calls; i += callers {
				name, method := fmt.Sprint("c", i), grpcbox.Read
				ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
				switch i % 3 {
				case 1:
					method = grpcbox.Place
				case 2:
					method = grpcbox.Key
					ctx = metadata.AppendToOutgoingContext(ctx, "idempotency-key", name)
				}
				began := time.Now()
				_, err := c.ask(ctx, method, name)
				cancel()
				if took := time.Since(began); took > 2*time.Second {
					violate("%s took %v", name, took)
				}
				_, refused := glencartgrpc.Refused(err)
				switch {
				case err == nil:
					atomic.AddInt64(&o.served, 1)
				case refused:
					atomic.AddInt64(&o.refused, 1)
					if n := len(ledger.Runs(name)); n > 0 && method != grpcbox.Read {
						violate("%s (%s) refused, and ran %d times", name, method, n)
					}
				default:
					if status.Code(err) == codes.DeadlineExceeded {
						atomic.AddInt64(&o.late, 1)
					}
					atomic.AddInt64(&o.failed, 1)
				}
				done.Add(1)
			}
		})
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	o.calls = done.Load()
	for i := range calls {
		name := fmt.Sprint("c", i)
		runs := ledger.Runs(name)
		switch i % 3 {
		case 1:
			if len(runs) > 1 {
				violate("%s, unsafe, ran %d times: %v", name, len(runs), runs)
			}
		case 2:
			for _, r := range runs[min(1, len(runs)):] {
				// Another run is another box's, of the same group, while the first is still remembered.
				if cellOf[r.Box] != cellOf[runs[0].Box] || r.At.Sub(runs[0].At) > window {
					violate("%s, keyed, ran outside its group or window: %v", name, runs)
				}
			}
		}
	}
	st := c.Stats()
	if st.Surplus != 0 || st.Served+st.Refused+st.Failed < o.calls {
		violate("%+v for %d calls", st, o.calls)
	}
	return o
}

// Calls under random faults on sockets: one end each, in time; no unsafe one runs twice, no keyed one outside its
// group or window, none is refused that ran. -full makes 24,000 calls.
func TestRandomFaults(t *testing.T) {
	calls, seeds := 2400, 2
	if glencartgrpc.Full() {
		calls, seeds = 6000, 4
	}
	t.Logf("%5s %7s %7s %7s %7s %7s", "seed", "calls", "served", "refused", "failed", "late")
	for seed := range uint64(seeds) {
		o := randomFaults(t, seed, calls, false)
		t.Logf("%5d %7d %7d %7d %7d %7d", seed, o.calls, o.served, o.refused, o.failed, o.late)
		if len(o.violations) > 0 {
			t.Errorf("seed %d: %d violations: %v", seed, len(o.violations), o.violations[:min(5, len(o.violations))])
		}
		if o.served < o.calls/4 || o.failed == 0 {
			t.Errorf("seed %d: the faults meet too little, or too much", seed)
		}
	}
}

// The same with a planted mistake: Unavailable taken for a proof. The test sees it.
func TestRandomFaultsSeeAPlantedRetry(t *testing.T) {
	for seed := range uint64(4) {
		if o := randomFaults(t, seed, 2400, true); len(o.violations) > 0 {
			t.Logf("seed %d: %d violations, as %s", seed, len(o.violations), o.violations[0])
			return
		}
	}
	t.Error("retries on Unavailable were not seen")
}
