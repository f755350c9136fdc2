package glencartgrpc_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"glencart/glencartgrpc"
	"glencart/internal/node"
	"glencart/internal/standin"
	"glencart/internal/standin/box"
	"glencart/internal/standin/grpcbox"
	"glencart/internal/standin/httpbox"
	"glencart/internal/standin/script"
)

// The settings of both sides, with boxes as the scripts want them.
const socketSettings = `{"nInstances":1,"zones":["a","b"],"skus":["m"],
 "classes":[
  {"name":"read","aim":150000000,"deadline":1000000000,"effect":"pure","points":1},
  {"name":"place","aim":150000000,"deadline":1000000000,"effect":"side_effect","points":5},
  {"name":"key","aim":150000000,"deadline":1000000000,"effect":"token","keyScope":"all","window":3000000000,"points":2}],
 "limits":{"cancelling":true,"probing":true,"maxAttempts":3,"retryAfter":true,"maxRetryAfter":2000000000,"connectTimeout":500000000,"idleClose":5000000000},
 "prices":{"probe":0.01},
 "obligations":{"drainGrace":500000000,"coldShare":0.12,"warmWithin":4000000000,"fallMultiple":3,"overloadFor":500000000},
 "loadReport":{"source":"inline","columns":["active"]}}`

// acting is a box of either protocol.
type acting interface {
	Kill()
	Restart(testing.TB)
	Hang(bool)
	Fail(bool)
	Slow(float64)
	Drain(bool)
	Fell() bool
}

// line is one side of the comparison: its boxes, its registry, and a way to make a call.
type line struct {
	boxes  []acting
	reg    *standin.Registry
	ledger *box.Ledger
	call   func(ctx context.Context, class, name string) (end string)

	lists []standin.Listed
	rev   int
	cut   bool
	mu    sync.Mutex
	ends  map[string]map[string]int // by class
	fell  bool
}

func (l *line) news() {
	l.rev++
	if !l.cut {
		l.reg.Whole(standin.ListText(l.rev, true, l.lists...))
		l.reg.Next <- standin.ListText(l.rev, true, l.lists...)
	}
}

func (l *line) act(t *testing.T, s *script.Script, a script.Act) {
	switch a.Verb {
	case "cut":
		l.cut = true
	case "heal":
		l.cut = false
	}
	for _, i := range s.Expand(a.Box) {
		b, row := l.boxes[i], &l.lists[i]
		switch a.Verb {
		case "drain":
			b.Drain(true)
			if a.Word != "unlisted" {
				row.Phase = "draining"
			}
		case "undrain":
			b.Drain(false)
			row.Phase = "ready"
		case "list":
			row.Phase = a.Word
		case "crash":
			l.fell = l.fell || b.Fell()
			b.Kill()
		case "restart":
			b.Kill()
			b.Restart(t)
			row.Phase, row.Up = "ready", time.Now().UnixMilli()
		case "hang", "unhang":
			b.Hang(a.Verb == "hang")
		case "slow":
			by, _ := strconv.ParseFloat(a.Word, 64)
			b.Slow(by)
		case "fail":
			b.Fail(a.Word == "on")
		}
	}
	l.news()
}

func boxConfig(s *script.Script, i int) box.Config {
	return box.Config{ID: fmt.Sprint("b", i), Cores: s.Cores, Queue: s.Queue, Work: s.Work,
		ColdShare: .12, WarmWithin: 4 * time.Second, FallMultiple: 3, OverloadFor: 500 * time.Millisecond}
}

// daemonLine is a real node with HTTP boxes.
func daemonLine(t *testing.T, s *script.Script) *line {
	l := &line{ledger: box.NewLedger(), ends: map[string]map[string]int{}}
	for i := range s.Boxes {
		b := httpbox.Start(t, boxConfig(s, i), l.ledger)
		l.boxes = append(l.boxes, b)
		l.lists = append(l.lists, standin.Listed{ID: b.ID, Addr: b.Addr, Phase: "ready"})
	}
	l.reg = standin.NewRegistry(t, standin.ListText(0, true, l.lists...))
	cfg, err := node.ParseConfig(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"5","limits":{"sockets":2048},"settings":%s}`,
		l.reg.Addr, socketSettings))
	if err != nil {
		t.Fatal(err)
	}
	n, err := node.New(t.Context(), cfg, standin.Quiet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { n.Run(ctx); close(ended) }()
	tr := &http.Transport{MaxIdleConnsPerHost: 500}
	t.Cleanup(func() { tr.CloseIdleConnections(); cancel(); <-ended })
	client := &http.Client{Transport: tr}
	url := "http://" + n.Addr().String()
	standin.Eventually(t, "a ready node", func() bool {
		resp, err := client.Get(url + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	l.call = func(ctx context.Context, class, name string) string {
		method := http.MethodPost
		if class == "read" {
			method = http.MethodGet
		}
		r, _ := http.NewRequestWithContext(ctx, method, url+"/api/"+name, nil)
		r.Header.Set("X-Trace-Id", name)
		r.Header.Set("X-Qos", class)
		r.Header.Set("X-Expires-In", "1.000")
		if class == "key" {
			r.Header.Set("Idempotency-Key", name)
		}
		resp, err := client.Do(r)
		if err != nil {
			return "failed"
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		switch resp.StatusCode {
		case 200:
			return "served"
		case 429, 503:
			return "refused"
		}
		return "failed"
	}
	return l
}

// pluginLine is a plug-in with gRPC boxes, on a registry of the same words.
func pluginLine(t *testing.T, s *script.Script) *line {
	l := &line{ledger: box.NewLedger(), ends: map[string]map[string]int{}}
	for i := range s.Boxes {
		b := grpcbox.Start(t, grpcbox.Config{Config: boxConfig(s, i), OOB: true}, l.ledger)
		l.boxes = append(l.boxes, b)
		l.lists = append(l.lists, standin.Listed{ID: b.ID, Addr: b.Addr, Phase: "ready"})
	}
	l.reg = standin.NewRegistry(t, standin.ListText(0, true, l.lists...))
	c := connect(t, glencartgrpc.Config{Target: "orders", Settings: []byte(socketSettings), Discovery: l.reg.Addr, Seed: 5,
		Methods: map[string]string{grpcbox.Read: "read", grpcbox.Place: "place", grpcbox.Key: "key"}})
	methods := map[string]string{"read": grpcbox.Read, "place": grpcbox.Place, "key": grpcbox.Key}
	if _, err := c.ask(within(t, standin.Patience), grpcbox.Read, "first", waitForReady); err != nil {
		t.Fatal(err)
	}
	l.call = func(ctx context.Context, class, name string) string {
		if class == "key" {
			ctx = withKey(ctx, name)
		}
		err := c.cc.Invoke(ctx, methods[class], wrapperspb.String(name), new(wrapperspb.StringValue))
		if err == nil {
			return "served"
		}
		if _, refused := glencartgrpc.Refused(err); refused {
			return "refused"
		}
		return "failed"
	}
	return l
}

// play runs a script on a line in real time.
func (l *line) play(t *testing.T, s *script.Script, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 9))
	began := time.Now()
	acts := slices.Clone(s.Acts)
	var wg sync.WaitGroup
	total := 0.0
	for _, p := range s.Mix {
		total += p.Weight
	}
	next, i := time.Duration(0), 0
	for {
		now := time.Since(began)
		for len(acts) > 0 && acts[0].At <= now {
			l.act(t, s, acts[0])
			acts = acts[1:]
		}
		if next > now {
			time.Sleep(min(next-now, 2*time.Millisecond))
			continue
		}
		if next >= s.For {
			break
		}
		next += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
		class, x := "", rng.Float64()*total
		for _, p := range s.Mix {
			if class = p.Class; x < p.Weight {
				break
			}
			x -= p.Weight
		}
		name := fmt.Sprint(class, "-", i)
		i++
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			at := time.Now()
			end := l.call(ctx, class, name)
			if end == "served" && time.Since(at) <= 150*time.Millisecond {
				end = "in aim"
			}
			runs := len(l.ledger.Runs(name))
			if class == "place" && (runs > 1 || end == "refused" && runs > 0) {
				t.Errorf("%s: %s, ran %d times", name, end, runs)
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.ends[class] == nil {
				l.ends[class] = map[string]int{}
			}
			l.ends[class][end]++
			l.ends[class]["all"]++
		})
	}
	wg.Wait()
	for _, b := range l.boxes {
		l.fell = l.fell || b.Fell()
	}
}

func (l *line) share(class, end string) float64 {
	return float64(l.ends[class][end]) / math.Max(1, float64(l.ends[class]["all"]))
}

// socketBound is how far the two may lie apart in the share of a class that is answered within its aim, where the
// facts that reach them are the same.
const socketBound = 0.10

// The daemon and the plug-in on sockets, under the same scripts at the same time: no cold box is pushed over by either,
// no unsafe call runs twice, and the outcomes by class agree within socketBound, or the plug-in's are better: a gRPC box
// says in words that it drains. -full plays all scripts.
func TestOutcomesLikeTheDaemonsOnSockets(t *testing.T) {
	all, err := script.All()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%-13s %-6s %8s %8s %8s %8s", "script", "class", "daemon", "plug-in", "refused", "refused")
	for _, s := range all {
		if !glencartgrpc.Full() {
			if s.Name != "cold-box" {
				continue
			}
			s.For = 4 * time.Second
		}
		s.Rate *= .6 // both at once, and their boxes, in this process
		t.Run(s.Name, func(t *testing.T) {
			d, p := daemonLine(t, s), pluginLine(t, s)
			var wg sync.WaitGroup
			wg.Go(func() { d.play(t, s, 1) })
			wg.Go(func() { p.play(t, s, 1) })
			wg.Wait()
			if d.fell || p.fell {
				t.Errorf("pushed over: daemon %t, plug-in %t", d.fell, p.fell)
			}
			for _, class := range []string{"read", "place", "key"} {
				a, b := d.share(class, "in aim"), p.share(class, "in aim")
				t.Logf("%-13s %-6s %7.1f%% %7.1f%% %7.1f%% %7.1f%%", s.Name, class, 100*a, 100*b, 100*d.share(class, "refused"), 100*p.share(class, "refused"))
				if b < a-socketBound {
					t.Errorf("%s: the daemon %.3f within the aim, the plug-in %.3f", class, a, b)
				}
			}
		})
	}
}

var waitForReady = grpc.WaitForReady(true)

func withKey(ctx context.Context, key string) context.Context {
	return metadata.AppendToOutgoingContext(ctx, "idempotency-key", key)
}
