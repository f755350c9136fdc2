package detect

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// This file has the measurements behind the table of the design note: go test ./detect -run Measure -v -measure

var (
	measure   = flag.Bool("measure", false, "run the measurements of the design note")
	hours     = flag.Float64("measure.hours", 10, "hours of virtual time for each count of deaths")
	sizeLimit = flag.Int("measure.most", 350, "the largest fleet whose false deaths are counted")
)

// heartbeat is the simplest detector, for comparison: each member sends to all each second, and one that is silent for 5 s is
// dead.
type heartbeat struct {
	self           Update
	all            []Update
	lastReceivedAt []time.Duration
	dead           []bool
	next           time.Duration
}

func (h *heartbeat) Next() time.Duration { return h.next }

func (h *heartbeat) Handle(now time.Duration, ev Event, out []Action) []Action {
	if ev.Kind == Received {
		i := int(ev.Message.Seq)
		h.lastReceivedAt[i] = now
		if h.dead[i] {
			h.dead[i] = false
			out = append(out, Action{Kind: Changed, Update: h.all[i], Old: Dead})
		}
		return out
	}
	if now < h.next && ev.Kind == Tick {
		return out
	}
	h.next = now + time.Second
	me := slices.IndexFunc(h.all, func(w Update) bool { return w.Name == h.self.Name })
	for i, w := range h.all {
		if i == me {
			continue
		}
		out = append(out, Action{Kind: Send, Addr: w.Addr, Message: Message{Kind: Ask, Seq: uint32(me), From: h.self}})
		if !h.dead[i] && now-h.lastReceivedAt[i] > 5*time.Second {
			h.dead[i] = true
			w.State = Dead
			out = append(out, Action{Kind: Changed, Update: w, Old: Alive})
		}
	}
	return out
}

// method is one way of detection that is measured.
type method struct {
	name    string
	newNode func(n int) func(*Config) node
}

var methods = []method{
	{"detect", func(int) func(*Config) node { return newDetectFunc(nil) }},
	{"SWIM alone", func(int) func(*Config) node {
		return newDetectFunc(func(c *Config) {
			c.isPlainSWIM, c.MaxHealthScore, c.SuspicionAccusers, c.MaxSuspicionFactor, c.PauseThreshold = true, -1, -1, 1, -1
		})
	}},
	{"heartbeats", func(n int) func(*Config) node {
		return func(c *Config) node {
			h := &heartbeat{self: Update{ID: ID{c.Name, c.Start}, Addr: c.Addr}, lastReceivedAt: make([]time.Duration, n), dead: make([]bool, n)}
			for i := range n {
				h.all = append(h.all, Update{ID: ID{nameOf(i), 1}, Addr: nameOf(i) + ":7946"})
			}
			return h
		}
	}},
}

// newJoinedFleet returns a fleet after its processes have joined.
func newJoinedFleet(seed uint64, n int, w method) *sim {
	s := newSim(seed)
	s.fleet(n, w.newNode(n))
	s.run(30 * time.Second)
	return s
}

func percentile(of []time.Duration, p float64) time.Duration {
	if len(of) == 0 {
		return -1
	}
	slices.Sort(of)
	return of[min(len(of)-1, int(p*float64(len(of))))].Round(100 * time.Millisecond)
}

func skipUnlessMeasured(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure")
	}
}

// Measures the time until the first member, and until all, detect a crash, and the traffic of a fleet without faults.
func TestMeasureCrash(t *testing.T) {
	skipUnlessMeasured(t)
	for _, c := range []struct{ n, runs int }{{3, 100}, {30, 100}, {350, 24}, {1000, 4}} {
		for _, w := range methods {
			if w.name == "heartbeats" && c.n > 30 { // n times as many messages
				continue
			}
			runs := c.runs
			if w.name == "heartbeats" {
				runs = min(runs, 8)
			}
			var mu sync.Mutex
			var first, every, all []time.Duration
			bytes, missed := 0.0, 0
			t.Run(fmt.Sprintf("%d/%s", c.n, w.name), func(t *testing.T) {
				for seed := range uint64(runs) {
					t.Run("", func(t *testing.T) {
						t.Parallel()
						s := newJoinedFleet(seed, c.n, w)
						s.run(4 * time.Minute) // until all updates have spread
						b, from := s.bytes, s.now
						s.run(s.now + time.Minute)
						each := float64(s.bytes-b) / float64(c.n) / (s.now - from).Seconds()
						s.run(s.now + time.Duration(s.rng.Int64N(int64(time.Second))))
						dead := s.nodes[s.rng.IntN(c.n)]
						at := s.now
						seen := map[string]time.Duration{}
						s.onChange = func(n *simNode, a Action) {
							if a.Update.Name == dead.name && a.Update.State == Dead {
								seen[n.name] = s.now - at
							}
						}
						s.crash(dead)
						s.until(3*time.Minute, time.Second, func() bool { return len(seen) == c.n-1 })
						mu.Lock()
						defer mu.Unlock()
						var own []time.Duration
						for _, name := range sortedKeys(seen) {
							own = append(own, seen[name])
						}
						bytes += each / float64(runs)
						missed += c.n - 1 - len(own)
						every = append(every, own...)
						if len(own) > 0 {
							first = append(first, slices.Min(own))
							all = append(all, slices.Max(own))
						}
					})
				}
			})
			t.Logf("MEASURE crash | %d | %s | runs %d | a member sees it: median %s, 99th %s | first %s | all: median %s, worst %s | not seen %d | %.0f bytes/s and member", c.n, w.name, runs,
				percentile(every, .5), percentile(every, .99), percentile(first, .5), percentile(all, .5), percentile(all, 1), missed, bytes)
		}
	}
}

// faults are the faults of a fleet while its false deaths are counted.
type faults struct {
	name        string
	loss        float64
	pause, cuts bool
}

// Counts living members that are reported dead.
func TestMeasureFalseDeaths(t *testing.T) {
	skipUnlessMeasured(t)
	for _, f := range []faults{{name: "calm"}, {name: "10 % lost", loss: .1}, {name: "30 % lost", loss: .3}, {name: "a tenth stands still for 5 s a minute", pause: true},
		{name: "one way cut between a fifth as many pairs as members, others each minute", cuts: true}} {
		for _, n := range []int{3, 30, 350, 1000} {
			if n > *sizeLimit {
				continue
			}
			for _, w := range methods {
				if w.name == "heartbeats" && n > 30 {
					continue
				}
				const runs = 4
				var mu sync.Mutex
				deaths, suspects, observed, cutOffs := 0, 0, 0, 0
				var back []time.Duration
				each := time.Duration(*hours * float64(time.Hour) / runs)
				if n > 30 { // as many messages in a tenth or a thirtieth of the time
					each /= time.Duration(n / 30)
				}
				if w.name != "detect" {
					each /= 10
				}
				t.Run(fmt.Sprintf("%s/%d/%s", f.name, n, w.name), func(t *testing.T) {
					for seed := range uint64(runs) {
						t.Run("", func(t *testing.T) {
							t.Parallel()
							d, su, o, c, b := falseDeaths(seed, n, w, f, each)
							mu.Lock()
							defer mu.Unlock()
							deaths, suspects, observed, cutOffs, back = deaths+d, suspects+su, observed+o, cutOffs+c, append(back, b...)
						})
					}
				})
				t.Logf("MEASURE deaths | %s | %d | %s | %s | called dead %d (by %d in all), suspected %d | taken back after: median %s, worst %s | cut off %d", f.name, n, w.name,
					runs*each, deaths, observed, suspects, percentile(back, .5), percentile(back, 1), cutOffs)
			}
		}
	}
}

func falseDeaths(seed uint64, n int, w method, f faults, each time.Duration) (deaths, suspects, observed, cutOffs int, back []time.Duration) {
	s := newJoinedFleet(seed, n, w)
	s.loss = f.loss
	began := map[string]time.Duration{} // deaths that are not yet taken back everywhere
	holders := map[string]map[string]bool{}
	s.onChange = func(at *simNode, a Action) {
		name := a.Update.Name
		switch {
		case a.Update.State == Dead:
			if _, ok := began[name]; !ok {
				deaths++
				began[name] = s.now
				holders[name] = map[string]bool{}
			}
			observed++
			holders[name][at.name] = true
		case a.Update.State == Suspect:
			suspects++
		}
		if a.Old == Dead && a.Update.State != Dead && holders[name] != nil {
			delete(holders[name], at.name)
			if len(holders[name]) == 0 {
				back = append(back, s.now-began[name])
				delete(began, name)
				delete(holders, name)
			}
		}
	}
	s.onAction = func(_ *simNode, a Action) {
		if a.Kind == CutOff && a.IsCutOff {
			cutOffs++
		}
	}
	for end := s.now + each; s.now < end; {
		if f.pause {
			for i := range max(1, n/10) {
				s.after(time.Duration(s.rng.Int64N(int64(54*time.Second))), func() { s.pause(s.nodes[i], 5*time.Second) })
			}
		}
		if f.cuts {
			s.cut = map[link]bool{}
			for range max(1, n/5) {
				s.cut[link{s.nodes[s.rng.IntN(n)].name, s.nodes[s.rng.IntN(n)].name}] = true
			}
		}
		s.run(s.now + time.Minute)
	}
	return
}

// Measures the time and traffic until two sides of a partition have one view again.
func TestMeasureHeal(t *testing.T) {
	skipUnlessMeasured(t)
	for _, c := range []struct{ n, runs int }{{3, 100}, {30, 40}, {350, 4}, {1000, 2}} {
		for _, apart := range []time.Duration{time.Minute, 10 * time.Minute} {
			if c.n == 1000 && apart > time.Minute {
				continue
			}
			var mu sync.Mutex
			var took []time.Duration
			maxRate := 0.0
			t.Run(fmt.Sprintf("%d/%s", c.n, apart), func(t *testing.T) {
				for seed := range uint64(c.runs) {
					t.Run("", func(t *testing.T) {
						t.Parallel()
						s := newJoinedFleet(seed, c.n, methods[0])
						half := map[*simNode]bool{}
						for i, n := range s.nodes {
							half[n] = i < c.n/2
						}
						s.cutFunc = func(a, b *simNode) bool { return half[a] != half[b] }
						s.run(s.now + apart)
						s.cutFunc = nil
						b, from := s.bytes, s.now
						d := s.until(5*time.Minute, time.Second, s.hasOneView)
						mu.Lock()
						defer mu.Unlock()
						if d < 0 {
							t.Error("the two sides do not reach one view")
							return
						}
						took = append(took, d)
						maxRate = max(maxRate, float64(s.bytes-b)/float64(c.n)/(s.now-from+1).Seconds())
					})
				}
			})
			t.Logf("MEASURE heal | %d | halves apart for %s | runs %d | one view after: median %s, worst %s | at most %.0f bytes/s and member meanwhile", c.n, apart, c.runs, percentile(took, .5), percentile(took, 1), maxRate)
		}
	}
}

// Measures the time and traffic until a fleet that starts at once has one view.
func TestMeasureJoin(t *testing.T) {
	skipUnlessMeasured(t)
	for _, n := range []int{3, 30, 350, 1000} {
		s := newSim(1)
		s.fleet(n, newDetectFunc(nil))
		took := s.until(2*time.Minute, 100*time.Millisecond, s.hasOneView)
		t.Logf("MEASURE join | %d at once | all know all after %s | %d bytes for each member", n, took, s.bytes/n)
	}
}
