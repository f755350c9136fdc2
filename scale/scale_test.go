package scale

import (
	"encoding/json"
	"flag"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"glencart/balance"
	"glencart/detect"
	"glencart/internal/site"
	"glencart/route"
)

var (
	allSizes     = flag.Bool("whole", false, "measure sizes up to those of docs/CAPACITY.md instead of the small ones for CI")
	outputFolder = flag.String("into", "", "folder for slopes.json and slopes.png; empty: nothing is written")
)

// sizes returns the small sizes for CI, or all of them with -whole.
func sizes(all ...int) []int {
	if *allSizes {
		return all
	}
	return all[:3]
}

// allSeries holds the series of all tests of this run.
var allSeries []*Series

func newSeries(name, unit, sizeName string) *Series {
	s := &Series{Name: name, Unit: unit, SizeName: sizeName}
	allSeries = append(allSeries, s)
	return s
}

// checkGrowth fails the test if a series of counts or bytes grows with a larger exponent. With exponent 0, as for times, it only logs.
func checkGrowth(t *testing.T, s *Series, exponent float64) {
	t.Helper()
	s.ComputeFit()
	t.Log(s)
	if exponent > 0 && s.Exponent > exponent {
		t.Errorf("%s grows with exponent %.2f in %s, want at most %.2f", s.Name, s.Exponent, s.SizeName, exponent)
	}
}

// heapUse returns the heap bytes that the result of make keeps in use, and the bytes allocated in all.
func heapUse(make func() any) (live, allocated float64) {
	var before, after runtime.MemStats
	collectPools()
	runtime.ReadMemStats(&before)
	v := make()
	runtime.ReadMemStats(&after)
	allocated = float64(after.TotalAlloc - before.TotalAlloc)
	collectPools()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 1), allocated
}

// collectPools collects garbage twice, because an object in a sync.Pool survives the first collection.
func collectPools() {
	runtime.GC()
	runtime.GC()
}

// timePerCall returns the time of one call in microseconds: the lowest mean of five rounds.
func timePerCall(calls int, do func(i int)) float64 {
	best := time.Duration(1 << 62)
	for range 5 {
		start := time.Now()
		for i := range calls {
			do(i)
		}
		best = min(best, time.Since(start))
	}
	return float64(best.Nanoseconds()) / 1e3 / float64(calls)
}

// Guards against memory or time to read a configuration that grows faster than its size. The sizes are the target divided by
// 1,000, 300, 100, 10 and 1.
func TestReadingConfiguration(t *testing.T) {
	bytes := newSeries("configuration: bytes allocated to read", "bytes", "resources")
	live := newSeries("configuration: bytes held", "bytes", "resources")
	times := newSeries("configuration: time to read", "ms", "resources")
	routes := newSeries("route table: bytes held", "bytes", "routes")
	for _, divisor := range sizes(1000, 300, 100, 10, 1) {
		n := Installation{Pools: max(3900/divisor, 1), BackendsPerPool: 36, RoutesPerPool: 15, Tenants: 550_000 / divisor}
		text := n.Text()
		count := float64(n.Pools*(1+n.BackendsPerPool+n.RoutesPerPool) + n.Tenants)
		start := time.Now()
		l, a := heapUse(func() any {
			s, err := site.Parse("site.toml", text)
			if err != nil {
				t.Fatal(err)
			}
			return s
		})
		times.Add(count, float64(time.Since(start).Microseconds())/1e3)
		bytes.Add(count, a)
		live.Add(count, l)
		table, _ := heapUse(func() any { return routeTable(t, n) })
		routes.Add(float64(n.Pools*n.RoutesPerPool), table)
	}
	checkGrowth(t, bytes, 1.1)
	checkGrowth(t, live, 1.1)
	checkGrowth(t, routes, 1.1)
	checkGrowth(t, times, 0)
}

func routeTable(t *testing.T, n Installation) *route.Table {
	var cfg route.Config
	number := 0
	for i := range n.Pools {
		s := route.Server{Listen: []string{"web"}, Names: []string{fmt.Sprintf("service-%d.example", i)}}
		for j := range n.RoutesPerPool {
			s.Locations = append(s.Locations, route.Location{Path: fmt.Sprintf("/r%d/", j), Targets: []route.Target{{Route: number}}})
			number++
		}
		cfg.Servers = append(cfg.Servers, s)
	}
	table, err := route.Compile(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

const (
	zones                  = 11
	fleetNodes             = 6100
	fleetRequestsPerSecond = 3.2e6 // requests per second of all nodes
)

// newBalancer returns the Balancer of a node with that many backends. rate is the request rate of the whole fleet in the settings,
// per second; 0: the settings have none, and the node keeps all backends.
func newBalancer(t *testing.T, backends, tenants int, rate float64) *balance.Balancer {
	cfg := balance.Config{Instances: fleetNodes,
		Classes: []balance.Class{{Aim: 200 * time.Millisecond, Deadline: time.Second, Effect: balance.Safe, Points: 1}},
		Limits:  balance.Limits{Probing: true, MaxAttempts: 3}, Reports: balance.InlineReports, Columns: balance.HasActive,
		Prices: balance.Prices{Probe: 0.01}, Rules: balance.Rules{WarmWithin: 10 * time.Second, FallMultiple: 3, OverloadFor: 2 * time.Second}}
	for range tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{QuotaPerSecond: rate / float64(tenants), Share: 1 / float64(tenants)})
	}
	b, err := balance.New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	members := make([]balance.Member, backends)
	for i := range members {
		members[i] = balance.Member{Backend: balance.BackendID(i + 1), Zone: i % zones, Weight: 1}
	}
	b.Handle(time.Hour, balance.Event{Kind: balance.MembersAll, Members: members}, nil)
	return b
}

// Guards against memory and allocations per request that grow too fast with the number of backends. It also logs the time of one request
// with its answer, and of one changed line of the list.
func TestDecision(t *testing.T) {
	all := newSeries("decision: time for a request, all backends kept", "us", "backends")
	subset := newSeries("decision: time for a request, a subset by traffic", "us", "backends")
	change := newSeries("decision: time for one changed line of the list", "us", "backends")
	memory := newSeries("decision: bytes held", "bytes", "backends")
	allocations := newSeries("decision: allocations a request", "allocations", "backends")
	for _, n := range sizes(36, 360, 1000, 14_000, 140_000) {
		live, _ := heapUse(func() any { return newBalancer(t, n, 1, 0) })
		memory.Add(float64(n), live)
		request := func(b *balance.Balancer) func(int) {
			now, out, next := time.Hour, []balance.Action(nil), 0
			return func(int) {
				next++
				now += 2 * time.Millisecond
				id := fmt.Sprint(next)
				out = b.Handle(now, balance.Event{Kind: balance.RequestArrived, Request: id, Budget: time.Second}, out[:0])
				for _, a := range out {
					if a.Kind == balance.Send {
						b.Handle(now, balance.Event{Kind: balance.Outcome, Request: id, Backend: a.Backend, Elapsed: time.Millisecond, RequestEnded: true}, nil)
					}
				}
			}
		}
		calls := max(20, min(2000, 2_000_000/n))
		all.Add(float64(n), timePerCall(calls, request(newBalancer(t, n, 1, 0))))
		subset.Add(float64(n), timePerCall(calls, request(newBalancer(t, n, 1, fleetRequestsPerSecond))))
		do := request(newBalancer(t, n, 1, 0))
		allocations.Add(float64(n), testing.AllocsPerRun(min(calls, 100), func() { do(0) }))
		b := newBalancer(t, n, 1, 0)
		change.Add(float64(n), timePerCall(max(5, min(200, 200_000/n)), func(i int) {
			b.Handle(time.Hour, balance.Event{Kind: balance.MembersChanged, Members: []balance.Member{{Backend: 1, Weight: float64(i)}}}, nil)
		}))
	}
	checkGrowth(t, memory, 1.1)
	checkGrowth(t, allocations, 0.2)
	checkGrowth(t, all, 0)
	checkGrowth(t, subset, 0)
	checkGrowth(t, change, 0)
}

// Guards against memory that grows faster than the number of tenants.
func TestTenants(t *testing.T) {
	memory := newSeries("tenants: bytes held by the decision", "bytes", "tenants")
	for _, n := range sizes(550, 5500, 18_000, 55_000, 550_000) {
		live, _ := heapUse(func() any { return newBalancer(t, 36, n, fleetRequestsPerSecond) })
		memory.Add(float64(n), live)
	}
	checkGrowth(t, memory, 1.1)
}

// Guards against memory that grows faster than the number of members of the fleet, up to the most that detect accepts.
func TestMembership(t *testing.T) {
	memory := newSeries("membership: bytes held by detect", "bytes", "members")
	for _, n := range sizes(36, 360, 1000, 4000) {
		live, _ := heapUse(func() any {
			d := detect.New(detect.Config{Name: "self", Addr: "10.0.0.1:7000", Seed: 1, Start: 1})
			out := d.Handle(0, detect.Event{Kind: detect.Start}, nil)
			m := detect.Message{Kind: detect.Pull, From: detect.Update{ID: detect.ID{Name: "n0", Start: 1}, Addr: "10.0.0.2:7000"}}
			for i := range n {
				m.Updates = append(m.Updates, detect.Update{ID: detect.ID{Name: fmt.Sprint("n", i), Start: 1},
					Addr: fmt.Sprintf("10.1.%d.%d:7000", i>>8, i&255)})
			}
			d.Handle(time.Millisecond, detect.Event{Kind: detect.Received, From: "10.0.0.2:7000", Message: m}, out[:0])
			count := 0
			d.Members(func(detect.Update, detect.LinkState) bool { count++; return true })
			if count < n {
				t.Fatalf("%d members, want at least %d", count, n)
			}
			return d
		})
		memory.Add(float64(n), live)
	}
	checkGrowth(t, memory, 1.2)
}

// TestMain writes the measurements to the folder of -into.
func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if *outputFolder != "" && code == 0 {
		if err := write(*outputFolder); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

func write(folder string) error {
	text, err := json.MarshalIndent(allSeries, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "slopes.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = "Growth with size, each series by its largest value"
	p.X.Label.Text, p.Y.Label.Text = "size, part of the largest", "value, part of the largest"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	for i, s := range allSeries {
		points := make(plotter.XYs, len(s.Sizes))
		for j := range points {
			points[j].X = s.Sizes[j] / slices.Max(s.Sizes)
			points[j].Y = max(s.Values[j], 1e-9) / max(slices.Max(s.Values), 1e-9)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = color.RGBA{R: uint8(37 * i), G: uint8(91 * i), B: uint8(160 - 11*i), A: 255}
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return p.Save(9*vg.Inch, 6*vg.Inch, filepath.Join(folder, "slopes.png"))
}
