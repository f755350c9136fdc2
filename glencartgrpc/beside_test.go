package glencartgrpc_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"glencart/glencartgrpc"
	"glencart/internal/standin/box"
	"glencart/internal/standin/grpcbox"
)

// side is one policy's figures on one script.
type side struct {
	calls, inAim, served int
	p50, p99             time.Duration // of calls that were served
	fell                 int
}

const besideSettings = `{"nInstances":1,"zones":["a"],"skus":["m"],
 "classes":[
  {"name":"read","aim":100000000,"deadline":1000000000,"effect":"pure","points":1},
  {"name":"place","aim":100000000,"deadline":1000000000,"effect":"side_effect","points":1}],
 "limits":{"cancelling":true,"probing":true,"maxAttempts":3,"retryAfter":true,"maxRetryAfter":2000000000,"connectTimeout":500000000},
 "obligations":{"drainGrace":500000000,"coldShare":0.05,"warmWithin":8000000000,"fallMultiple":2,"overloadFor":500000000},
 "loadReport":{"source":"inline","columns":["active"]}}`

// beside sends calls at a steady rate, whatever comes back, and counts those answered within the aim.
func beside(b *testing.B, policy, fault string, rate int, lasts time.Duration) (s side) {
	servers := start(b, box.NewLedger(), 6, func(c *grpcbox.Config) {
		c.OOB, c.Cores, c.Queue, c.Work = true, 4, 100, 20*time.Millisecond
		c.ColdShare, c.WarmWithin, c.FallMultiple, c.OverloadFor = .05, 8*time.Second, 2, 500*time.Millisecond
	})
	var cc *grpc.ClientConn
	var c *client
	if policy == "glencart" {
		c = connect(b, config(func(c *glencartgrpc.Config) {
			c.Settings, c.Methods = []byte(besideSettings), map[string]string{grpcbox.Read: "read"}
		}))
		c.set(b, boxes(servers...))
		cc = c.cc
	} else {
		cc = own(b, policy, servers)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var took []time.Duration
	rng := rand.New(rand.NewPCG(1, 2))
	call := func(count bool) {
		method := grpcbox.Place
		if rng.IntN(10) < 7 {
			method = grpcbox.Read
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			began := time.Now()
			err := cc.Invoke(ctx, method, wrapperspb.String("x"), new(wrapperspb.StringValue))
			d := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			if !count {
				return
			}
			s.calls++
			if err == nil {
				s.served++
				took = append(took, d)
				if d <= 100*time.Millisecond {
					s.inAim++
				}
			}
		})
	}
	run := func(d time.Duration, count bool) {
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
			call(count)
		}
	}
	run(1500*time.Millisecond, false) // connections, first estimates
	switch fault {
	case "slow":
		servers[2].Slow(10)
	case "cold":
		servers[2].Kill()
		servers[2].Restart(b)
		if c != nil {
			list := boxes(servers...)
			list[2].Started = time.Now()
			c.set(b, list)
		}
	case "failing":
		servers[2].Fail(true)
	}
	run(lasts, true)
	wg.Wait()
	for _, x := range servers {
		if x.Fell() {
			s.fell++
		}
	}
	cc.Close()
	if c != nil {
		c.Close()
	}
	slices.Sort(took)
	if len(took) > 0 {
		s.p50, s.p99 = took[len(took)/2], took[len(took)*99/100]
	}
	return s
}

// BenchmarkBeside sets the plug-in beside grpc-go's own policies, one after the other on boxes of the same kind, and
// prints a table: -run xxx -bench Beside -benchtime 1x.
func BenchmarkBeside(b *testing.B) {
	policies := []string{"glencart", "round_robin", "weighted_round_robin", "least_request_experimental"}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "script\tpolicy\tcalls\tserved\tin aim\tp50\tp99\tpushed over\t")
	for _, fault := range []string{"calm", "slow", "cold", "failing"} {
		for _, p := range policies {
			s := beside(b, p, fault, 700, 4*time.Second)
			pct := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(s.calls)) }
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%v\t%v\t%d\t\n", fault, strings.TrimSuffix(p, "_experimental"), s.calls, pct(s.served), pct(s.inAim),
				s.p50.Round(100*time.Microsecond), s.p99.Round(100*time.Microsecond), s.fell)
		}
	}
	w.Flush()
}
