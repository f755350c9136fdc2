package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// coldFall is what a cold server bears in a window: N requests of mean work by the settings, and 2 x root of N + 2 more, that are put
// down to chance.
func coldFall(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// All nodes of a fleet together stay below what pushes a cold server over, however small that is and whoever asks when: from its
// start on; only once it has stood there unasked for a while, when it is suddenly what all want; where the times that nodes had
// reckoned with turn out to be a quarter, so that what they had saved up is four requests; and with requests of nearly twice the
// mean work.
func TestTheWholeFleetAtAColdServer(t *testing.T) {
	const every, cores = 250 * ms, 1.0
	rules := Rules{ColdShare: 0.12, WarmWithin: 22 * time.Second, FallMultiple: 3, OverloadFor: 1500 * ms}
	worst, used := 0.0, 0
	for _, c := range []struct {
		name    string
		unasked time.Duration
		first   float64 // the work that nodes reckon with at first, of the true one
		heavy   float64 // the work of what is sent, of the mean
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
				warmth := rules.ColdShare + (1-rules.ColdShare)*c.unasked.Seconds()/rules.WarmWithin.Seconds()
				work := rules.FallMultiple * warmth * cores * rules.OverloadFor.Seconds() / n // that makes it n by then
				sent := 0.0
				for node := range nodes {
					cfg := site()
					cfg.Instances, cfg.Index, cfg.Rules, cfg.Limits.Probing = nodes, node, rules, false
					cfg.Classes[safe].Aim, cfg.Classes[unsafe].Aim = time.Hour, time.Hour // no queue is too long
					b, _ := New(cfg, uint64(node))
					r := &rig{t: t, b: b, now: time.Hour}
					know := func(mean float64) { // the classes' means make the mean work
						b.classes[safe] = classStats{base: c.heavy * mean, seen: 1e9, free: 1e9}
						b.classes[unsafe] = classStats{base: (2 - c.heavy) * mean, seen: 1e9, free: 1e9}
					}
					know(c.first * work)
					b.warmRate = cores / work / float64(nodes)
					r.do(Event{Kind: MembersRemembered, Members: []Member{{Backend: 1, Launched: r.now}}})
					r.wait(c.unasked)
					know(work)
					for i := range int(rules.OverloadFor / every) {
						id := fmt.Sprint(i)
						for _, a := range of(Send, r.arrive(id, safe)) {
							sent += c.heavy
							r.do(Event{Kind: Outcome, Request: id, Backend: a.Backend, Status: Shed, NoMore: true})
							b.servers[1].unconfirmed, b.servers[1].fails = 0, 0
						}
						r.wait(every)
					}
				}
				line += fmt.Sprintf("%8.1f of %4.1f", sent, coldFall(n))
				worst = max(worst, sent/coldFall(n))
				if sent > coldFall(n) {
					t.Errorf("%s, %d nodes: %.0f requests of mean work within a window, N is %v: it falls at %.1f", c.name, nodes, sent, n, coldFall(n))
				}
				if n == 20 {
					used += int(sent)
				}
			}
			t.Logf("%-18s %4d nodes %s", c.name, nodes, line)
		}
	}
	t.Logf("at worst %.2f of what pushes it over", worst)
	if used < 100 { // held back altogether, nothing would ever be broken
		t.Errorf("%d requests sent where it bears 20 and more each time", used)
	}
}

// What a node may send cold servers is a part of what warm ones do. Two processes of one node share that part, the one that
// takes over what was learned as well; and a part that is counted in mean requests follows when the mean request becomes another.
func TestTheColdPartFollows(t *testing.T) {
	r := newRig(t, site(), member(1, 0, 0))
	r.serve(50, safe, steady)
	r.b.warmRate = 8
	near := func(what string, b *Balancer, want float64) {
		t.Helper()
		if math.Abs(b.warmRate-want) > 1e-9 {
			t.Errorf("%s: a part of %v mean requests a second, want %v", what, b.warmRate, want)
		}
	}
	l := r.b.Learned()
	r.do(Event{Kind: InstancesCounted, Instances: 4})
	near("another process of each node", r.b, 4)
	next := newRig(t, site(), member(1, 0, 0))
	next.do(Event{Kind: InstancesCounted, Instances: 4})
	next.b.Relearn(l)
	near("what was learned as one of two, at one of four", next.b, 4)
	r.do(Event{Kind: InstancesCounted, Instances: 2})
	near("alone again", r.b, 8)
	r.arrive("dear", unsafe)
	r.do(Event{Kind: Outcome, Request: "dear", Backend: 1, Spent: 100 * ms, NoMore: true})
	mean := r.b.meanBase()
	near("a class five times as dear is met", r.b, 8*r.b.classes[safe].base/mean)
	cfg := site()
	cfg.Classes[unsafe].Gone = true
	r.do(Event{Kind: SettingsChanged, Settings: &cfg})
	near("and is gone", r.b, 8)
}
