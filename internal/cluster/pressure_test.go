package cluster

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"glencart/internal/standin/memnet"
	"glencart/shed"
)

var tiers = shed.Config{Pools: []string{"p"}, Classes: []shed.Class{{Worth: 1}}, Tenants: 2,
	Plans: []shed.Plan{{Name: "gold", Share: 0.5}, {Name: "free", Share: 0.05, MinPart: 0.1}}}

// ranks are those of the tenants gold and free, and of who is none.
var ranks = []int{0, 1, 1}

// lines is a log that keeps what it is told.
type lines struct {
	sync.Mutex
	list []string
}

func (l *lines) Write(b []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	l.list = append(l.list, string(b))
	return len(b), nil
}

// ask asks once for a tenant, and has what is let in served, or refused for lack of room.
func ask(g *Gate, chance *rand.Rand, tenant int, room bool) bool {
	v := g.Admit(shed.Ask{Tenant: tenant, Pool: "p", Worth: 1}, chance.Uint64())
	if v.OK {
		o := shed.Served
		if !room {
			o = shed.Refused
		}
		g.Done(v.Mark, o, 50*time.Millisecond)
	}
	return v.OK
}

// second has each gate asked for a second, 100 times a tenant, where there is room for so many at each.
func second(gates []*Gate, chance *rand.Rand, room int) (turned [][2]int) {
	turned = make([][2]int, len(gates))
	for range 10 {
		for n, g := range gates {
			left := room / 10
			for i := range 20 {
				switch ok := ask(g, chance, i%2, left > 0); {
				case ok:
					left--
				default:
					turned[n][i%2]++
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return turned
}

// Rooms of an instance that is asked 200 times a second.
const ample, scarce = 1000, 120

// parts are what a gate lets in of each tenant.
func parts(g *Gate) (high, low float64) {
	l := g.level.Load()
	for draw := range uint64(1000) {
		for rank, part := range []*float64{&high, &low} {
			if l.Admit(g.p.now(), shed.Ask{Rank: rank, Tenant: rank, Pool: "p", Worth: 1}, draw).OK {
				*part += 0.001
			}
		}
	}
	return high, low
}

// Five members over a network in memory. One alone that is refused sheds nobody. When all are refused the same level is stored at all, the
// lower plan is turned away and the higher is not; without refusals it is soon over. One whose file has other ranks from then on goes by
// them; one that is cut off goes by its own view. The log has few lines.
func TestPressureOfAll(t *testing.T) {
	orderChecked.Store(true)
	t.Cleanup(func() { orderChecked.Store(false) })
	synctest.Test(t, func(t *testing.T) {
		const n = 5
		net := memnet.New(1, memnet.Link{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Drop: 0.02})
		chance := rand.New(rand.NewPCG(1, 2))
		var all []*member
		var gates []*Gate
		var told lines
		for i := range n {
			m := begin(t, net, i+1, "10.0.0.1:7946")
			log := slog.New(slog.DiscardHandler)
			if i == 0 {
				log = slog.New(slog.NewTextHandler(&told, nil))
			}
			p := NewPressure(fmt.Sprintf("m%d", i+1), m.Cluster, log)
			all, gates = append(all, m), append(gates, p.Next(tiers, ranks))
		}
		away := func(what string, seconds, room int, of ...int) (sum [2]int) {
			for range seconds {
				for i, x := range second(gates, chance, room) {
					if len(of) == 0 || slices.Contains(of, i) {
						sum[0], sum[1] = sum[0]+x[0], sum[1]+x[1]
					}
				}
			}
			t.Logf("%s: turned away %v", what, sum)
			return sum
		}
		time.Sleep(15 * time.Second)
		if x := away("calm", 10, ample); x != [2]int{} {
			t.Errorf("calm: turned away %v", x)
		}
		for range 10 {
			second(gates[:1], chance, scarce)
			second(gates[1:], chance, ample)
			if l := gates[0].level.Load(); !l.Open() {
				t.Fatalf("one alone is refused: %s", l.Cause)
			}
		}
		for range 5 {
			second(gates, chance, scarce)
		}
		if x := away("no room", 20, scarce); x[1] < 4000 || x[0] > x[1]/20 {
			t.Errorf("turned away: %d of the higher plan, %d of the lower", x[0], x[1])
		}
		high, low := parts(gates[0])
		for i, g := range gates {
			// Each has its own words of this second, and the others' of the last, in which a room may have grown by 15 %.
			if h, l := parts(g); math.Abs(h-high) > 0.2 || math.Abs(l-low) > 0.2 || g.level.Load().OwnViewOnly {
				t.Errorf("m%d lets %.2f and %.2f in, m1 %.2f and %.2f: %s", i+1, h, l, high, low, g.level.Load().Cause)
			}
		}
		// In its new file tenant 1 is of the higher plan, and tenant 0 of the lower.
		p := all[1].pressure.Load()
		gates[1] = p.Next(tiers, []int{1, 0, 1})
		if x := away("after a reload", 10, scarce, 1); x[0] < 500 || x[1] > x[0]/4 {
			t.Errorf("after a reload: turned away %v", x)
		}
		last := all[n-1]
		for _, m := range all[:n-1] {
			net.Set(m.addr, last.addr, memnet.Link{Cut: true})
			net.Set(last.addr, m.addr, memnet.Link{Cut: true})
		}
		away("one cut off", 30, scarce)
		if l := gates[n-1].level.Load(); !l.OwnViewOnly {
			t.Errorf("cut off: %+v", l)
		}
		away("room again", 40, ample)
		if x := away("calm again", 10, ample); x != [2]int{} {
			t.Errorf("calm again: turned away %v", x)
		}
		for _, m := range all {
			m.pressure.Load().Close()
			m.stop()
		}
		if k := len(told.list); k < 2 || k > 20 {
			t.Errorf("%d lines: %v", k, told.list)
		}
	})
}

// With no plans there is no gate, and nothing runs; a file that takes them out ends what ran.
func TestPressureWithoutPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPressure("a", nil, slog.New(slog.DiscardHandler))
		if g := p.Next(shed.Config{Pools: []string{"p"}}, []int{0}); g != nil || p.ticking {
			t.Error("it runs")
		}
		if g := p.Next(tiers, ranks); g == nil || !ask(g, rand.New(rand.NewPCG(1, 2)), 0, true) {
			t.Error("it does not run")
		}
		if g := p.Next(shed.Config{}, []int{0}); g != nil {
			t.Error("it goes on")
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if p.ticking {
			t.Error("its ticker goes on") // synctest would see it too: nothing closes it
		}
	})
}

// To be asked costs no allocation.
func TestPressureCost(t *testing.T) {
	p := NewPressure("a", nil, slog.New(slog.DiscardHandler))
	defer p.Close()
	g := p.Next(tiers, ranks)
	if n := testing.AllocsPerRun(1000, func() {
		v := g.Admit(shed.Ask{Tenant: 1, Pool: "p"}, 7)
		g.Done(v.Mark, shed.Served, time.Millisecond)
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkGate is what a request pays where there are plans.
func BenchmarkGate(b *testing.B) {
	p := NewPressure("a", nil, slog.New(slog.DiscardHandler))
	defer p.Close()
	g := p.Next(tiers, ranks)
	b.ReportAllocs()
	for b.Loop() {
		v := g.Admit(shed.Ask{Tenant: 1, Pool: "p"}, rand.Uint64())
		g.Done(v.Mark, shed.Served, time.Millisecond)
	}
}
