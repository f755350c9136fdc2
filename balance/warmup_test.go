package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// overloadLimit returns the number of requests within a window that overloads a cold backend: n requests of mean work by the
// settings, and 2 x sqrt(n) + 2 more that count as chance.
func overloadLimit(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// All nodes of a fleet together must not overload a cold backend, however small its capacity is. The cases: requests come
// from its start on; all nodes start to use it only after some seconds; the mean work turns out to be a quarter of the
// first estimate, so that the saved budget of one request is one of four; requests have nearly twice the mean work.
func TestFleetDoesNotOverloadColdBackend(t *testing.T) {
	const every, cores = 250 * ms, 1.0
	rules := Rules{ColdShare: 0.12, WarmWithin: 22 * time.Second, FallMultiple: 3, OverloadFor: 1500 * ms}
	highest, used := 0.0, 0
	for _, c := range []struct {
		name    string
		idleFor time.Duration
		first   float64 // first estimate of the mean work, of the true one
		heavy   float64 // work of the requests that are sent, of the mean
	}{
		{"from its start", 0, 1, 1},
		{"after 3 s", 3 * time.Second, 1, 1},
		{"after 10 s", 10 * time.Second, 1, 1},
		{"after 20 s", 20 * time.Second, 1, 1},
		{"learned late", 0, 4, 1},
		{"heavy, after 10 s", 10 * time.Second, 1, 1.8},
	} {
		for _, nodes := range []int{1, 5, 80, 300, 1000} {
			line := ""
			for _, n := range []float64{0.5, 1, 2, 5, 20} {
				warmth := rules.ColdShare + (1-rules.ColdShare)*c.idleFor.Seconds()/rules.WarmWithin.Seconds()
				work := rules.FallMultiple * warmth * cores * rules.OverloadFor.Seconds() / n // so that n requests overload it at that time
				sent := 0.0
				for node := range nodes {
					cfg := testConfig()
					cfg.Instances, cfg.Index, cfg.Rules, cfg.Limits.Probing = nodes, node, rules, false
					cfg.Classes[safe].Aim, cfg.Classes[unsafe].Aim = time.Hour, time.Hour // no queue is too long to send
					b, _ := New(cfg, uint64(node))
					r := &rig{t: t, b: b, now: time.Hour}
					setMeanWork := func(mean float64) { // the mean of both classes is the mean work
						b.classes[safe] = classStats{baseTime: c.heavy * mean, samples: 1e9, unqueuedSamples: 1e9}
						b.classes[unsafe] = classStats{baseTime: (2 - c.heavy) * mean, samples: 1e9, unqueuedSamples: 1e9}
					}
					setMeanWork(c.first * work)
					b.warmRate = cores / work / float64(nodes)
					r.do(Event{Kind: MembersCached, Members: []Member{{Backend: 1, Launched: r.now}}})
					r.wait(c.idleFor)
					setMeanWork(work)
					for i := range int(rules.OverloadFor / every) {
						id := fmt.Sprint(i)
						for _, a := range ofKind(Send, r.arrive(id, safe)) {
							sent += c.heavy
							r.do(Event{Kind: Outcome, Request: id, Backend: a.Backend, Status: Shed, RequestEnded: true})
							b.backends[1].unconfirmed, b.backends[1].failureRate = 0, 0
						}
						r.wait(every)
					}
				}
				line += fmt.Sprintf("%8.1f of %4.1f", sent, overloadLimit(n))
				highest = max(highest, sent/overloadLimit(n))
				if sent > overloadLimit(n) {
					t.Errorf("%s, %d nodes: %.0f requests of mean work within a window; for n = %v a backend fails at %.1f",
						c.name, nodes, sent, n, overloadLimit(n))
				}
				if n == 20 {
					used += int(sent)
				}
			}
			t.Logf("%-18s %4d nodes %s", c.name, nodes, line)
		}
	}
	t.Logf("at worst %.2f of the overload limit", highest)
	if used < 100 { // sending nothing would also pass the checks above
		t.Errorf("%d requests sent, although the backend can take 20 and more each time", used)
	}
}

// The warm-up budget is this node's part of what warm backends serve. It must be divided among the processes of a node,
// also in a process that restores learned values, and it must follow a change of the mean request, in which it is counted.
func TestWarmRateFollowsInstancesAndMeanRequest(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(50, safe, constantTime)
	r.b.warmRate = 8
	near := func(what string, b *Balancer, want float64) {
		t.Helper()
		if math.Abs(b.warmRate-want) > 1e-9 {
			t.Errorf("%s: warm rate of %v mean requests a second, want %v", what, b.warmRate, want)
		}
	}
	l := r.b.Learned()
	r.do(Event{Kind: InstancesChanged, Instances: 4})
	near("another process of each node", r.b, 4)
	next := newRig(t, testConfig(), member(1, 0, 0))
	next.do(Event{Kind: InstancesChanged, Instances: 4})
	next.b.Restore(l)
	near("learned as one of two, restored as one of four", next.b, 4)
	r.do(Event{Kind: InstancesChanged, Instances: 2})
	near("alone again", r.b, 8)
	r.arrive("dear", unsafe)
	r.do(Event{Kind: Outcome, Request: "dear", Backend: 1, Elapsed: 100 * ms, RequestEnded: true})
	mean := r.b.meanBaseTime()
	near("first response of a class with five times the work", r.b, 8*r.b.classes[safe].baseTime/mean)
	cfg := testConfig()
	cfg.Classes[unsafe].IsRemoved = true
	r.do(Event{Kind: SettingsChanged, Settings: &cfg})
	near("that class is removed", r.b, 8)
}
