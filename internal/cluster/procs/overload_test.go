package procs

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"glencart/internal/standin"
	"glencart/internal/standin/box"
	"glencart/internal/standin/httpbox"
)

// tiers is a file with three plans. Work takes 200 ms, so that what a crowded machine adds is small beside it.
const tiers = `tenant = "X-Tenant"
[[class]]
name = "safe"
effect = "safe"
deadline = "4s"
aim = "1s"
[[plan]]
name = "gold"
rank = 1
share = 0.5
[[plan]]
name = "silver"
rank = 2
share = 0.2
[[plan]]
name = "free"
rank = 3
share = 0.05
least = 0.1
[[tenant]]
name = "gold"
plan = "gold"
[[tenant]]
name = "silver"
plan = "silver"
`

// tally counts a plan's answers.
type tally struct{ ok, refused, wrong atomic.Int64 }

// part is what was served of what was asked.
func (t *tally) part() float64 {
	return float64(t.ok.Load()) / float64(max(1, t.ok.Load()+t.refused.Load()+t.wrong.Load()))
}

func (t *tally) String() string {
	return fmt.Sprintf("%d served, %d refused, %d other", t.ok.Load(), t.refused.Load(), t.wrong.Load())
}

// crowd is clients in closed loops: each waits for its answer, and then for pause. It counts in what tallies holds at the time.
type crowd struct {
	f       *fleet
	done    chan struct{}
	wg      sync.WaitGroup
	tallies atomic.Pointer[map[string]*tally]
	broken  atomic.Int64 // no answer
	bare    atomic.Int64 // a refusal that does not say when to come back
}

func (f *fleet) crowd() *crowd {
	w := &crowd{f: f, done: make(chan struct{})}
	w.count()
	f.t.Cleanup(w.stop)
	return w
}

func (w *crowd) stop() {
	select {
	case <-w.done:
	default:
		close(w.done)
	}
	w.wg.Wait()
	if n := w.broken.Load() + w.bare.Load(); n > 0 {
		w.f.t.Errorf("%d requests had no answer, %d refusals no time to come back", w.broken.Load(), w.bare.Load())
	}
}

// count begins to count anew.
func (w *crowd) count() {
	w.tallies.Store(&map[string]*tally{"gold": {}, "silver": {}, "free": {}})
}

// come adds n clients of a plan at a process.
func (w *crowd) come(p *proc, plan string, n int, pause time.Duration) {
	for range n {
		w.wg.Go(func() {
			c := http.Client{Timeout: standin.Patience, Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for {
				select {
				case <-w.done:
					return
				case <-time.After(pause):
				}
				r, _ := http.NewRequest("GET", "http://"+p.web+"/x", nil)
				r.Header.Set("X-Tenant", plan)
				t := (*w.tallies.Load())[plan]
				resp, err := c.Do(r)
				if err != nil {
					w.broken.Add(1)
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				switch {
				case resp.StatusCode == http.StatusOK:
					t.ok.Add(1)
				case resp.StatusCode == http.StatusServiceUnavailable:
					t.refused.Add(1)
					if resp.Header.Get("Retry-After") == "" {
						w.bare.Add(1)
					}
				default:
					t.wrong.Add(1)
				}
			}
		})
	}
}

// turned is how many a process has turned away by plan.
func (p *proc) turned() (n uint64) {
	for _, x := range p.knows().GetTurned() {
		n += x
	}
	return n
}

// slowBoxes starts boxes that work on 8 at once for 200 ms each: 40 requests a second.
func (f *fleet) slowBoxes(n int) (addrs []string) {
	for i := range n {
		addrs = append(addrs, httpbox.Start(f.t, box.Config{ID: fmt.Sprint("slow-", i), Cores: 8, Queue: 16, Work: 200 * time.Millisecond}, f.ledger).Addr)
	}
	return addrs
}

// heard waits until processes go by the view of all: who has just begun goes by its own.
func (f *fleet) heard(procs ...*proc) {
	f.t.Helper()
	f.eventually("they have heard each other's sums", func() bool {
		for _, p := range procs {
			if p.knows().GetTurned() == nil || p.knows().GetShedding() != "" {
				return false
			}
		}
		return true
	})
}

// The whole fleet is asked several times what its boxes can do. The highest plan, which asks less than its share, keeps what it asks; the
// lowest is turned away first and keeps its least part; all are answered. Before it and after it nobody is turned away.
func TestOverload(t *testing.T) {
	f := newFleet(t, "")
	f.more = tiers
	addrs := f.slowBoxes(2)
	f.boxes = func(string) []string { return addrs }
	a, b, c := f.three()
	all := []*proc{a, b, c}
	f.heard(all...)
	calm := f.crowd()
	for _, p := range all {
		for _, plan := range []string{"gold", "silver", "free"} {
			calm.come(p, plan, 1, 100*time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second) // as long as calm is to be looked at
	for _, p := range all {
		if n := p.turned(); n > 0 {
			t.Errorf("%s turned %d away in calm", p.name, n)
		}
	}
	w := f.crowd()
	for _, p := range all {
		w.come(p, "gold", 4, 400*time.Millisecond)
		w.come(p, "silver", 8, 200*time.Millisecond)
		w.come(p, "free", 16, 200*time.Millisecond)
	}
	for _, p := range all {
		p.await("it sheds", is("msg", "shed: begins"))
	}
	time.Sleep(10 * time.Second) // as long as the room takes to be found
	w.count()
	calm.count()
	time.Sleep(15 * time.Second) // as long as it is looked at
	now := *w.tallies.Load()
	gold, silver, free := now["gold"], now["silver"], now["free"]
	t.Logf("overload: gold %v; silver %v; free %v", gold, silver, free)
	var turned = map[string]uint64{}
	for _, p := range all {
		m := p.knows()
		t.Logf("%s: turned %v: %s", p.name, m.GetTurned(), m.GetShedding())
		for plan, n := range m.GetTurned() {
			turned[plan] += n
		}
	}
	w.stop()
	// The decision module knows no plan: while the room is tried it refuses some of what is let in, of any plan.
	if g := gold.part(); g < 0.8 {
		t.Errorf("gold has %.2f of what it asks", g)
	}
	if s, fr := silver.part(), free.part(); 2*fr > s || 2*fr > gold.part() {
		t.Errorf("free has %.2f of what it asks, silver %.2f, gold %.2f: not by rank", fr, s, gold.part())
	}
	if free.ok.Load() == 0 {
		t.Error("free has not its least part")
	}
	if turned["free"] == 0 || turned["gold"] > turned["free"]/50 {
		t.Errorf("turned away: %v", turned)
	}
	for _, p := range all {
		p.await("it is over", is("msg", "shed: over"))
	}
	before := a.turned() + b.turned() + c.turned()
	time.Sleep(5 * time.Second) // as long as calm is to be looked at
	if n := a.turned() + b.turned() + c.turned() - before; n > 0 {
		t.Errorf("%d turned away after the end", n)
	}
	calm.stop()
	for _, p := range all {
		if n := p.told(func(l map[string]any) bool { return strings.HasPrefix(l["msg"].(string), "shed: ") }); n > 12 {
			t.Errorf("%s has %d lines on it", p.name, n)
		}
	}
}

// One instance alone has too much, for its own boxes: that is its decision module's affair, and nobody is turned away by plan.
func TestOneIsHot(t *testing.T) {
	f := newFleet(t, "")
	f.more = tiers
	addrs := f.slowBoxes(2)
	f.boxes = func(name string) []string {
		if name == "a" {
			return addrs[:1]
		}
		return addrs[1:]
	}
	a, b, c := f.three()
	f.heard(a, b, c)
	w := f.crowd()
	w.come(b, "free", 2, 100*time.Millisecond)
	w.come(c, "free", 2, 100*time.Millisecond)
	w.come(a, "silver", 10, 100*time.Millisecond)
	w.come(a, "free", 40, 100*time.Millisecond)
	f.eventually("it has too much", func() bool { return (*w.tallies.Load())["free"].refused.Load() > 300 })
	time.Sleep(5 * time.Second) // as long as it takes to say so and be heard
	now := *w.tallies.Load()
	t.Logf("silver %v; free %v", now["silver"], now["free"])
	for _, p := range []*proc{a, b, c} {
		if n := p.turned(); n > 0 || p.told(is("msg", "shed: begins")) > 0 {
			t.Errorf("%s has turned %d away", p.name, n)
		}
	}
}
