package check

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fakePool simulates backends that are healthy or not, and that answer a check after a delay.
type fakePool struct {
	t           *testing.T
	c           *Checks
	now         time.Duration
	unhealthy   map[string]bool // by address
	answerDelay time.Duration
	pending     []pendingCheck
	verdicts    map[string][]Verdict
	checkedAt   map[string][]time.Duration
	maxInFlight int
}

type pendingCheck struct {
	at time.Duration
	Check
}

func newPool(t *testing.T, cfg Config, seed uint64) *fakePool {
	return &fakePool{t: t, c: New(cfg, seed, 0), unhealthy: map[string]bool{},
		verdicts: map[string][]Verdict{}, checkedAt: map[string][]time.Duration{}}
}

func (p *fakePool) run(d time.Duration) {
	for end := p.now + d; p.now < end; p.now += 10 * time.Millisecond {
		for i := 0; i < len(p.pending); {
			a := p.pending[i]
			if a.at > p.now {
				i++
				continue
			}
			p.pending = append(p.pending[:i], p.pending[i+1:]...)
			if v := p.c.Result(p.now, a.Token, !p.unhealthy[a.Addr], "said so"); v != nil {
				p.verdicts[v.Backend] = append(p.verdicts[v.Backend], *v)
			}
		}
		for _, a := range p.c.Due(p.now, nil) {
			for _, o := range p.pending {
				if o.Backend == a.Backend && o.Addr == a.Addr {
					p.t.Fatalf("%v: two concurrent checks of %s", p.now, a.Backend)
				}
			}
			p.checkedAt[a.Backend] = append(p.checkedAt[a.Backend], p.now)
			p.pending = append(p.pending, pendingCheck{p.now + p.answerDelay, a})
		}
		p.maxInFlight = max(p.maxInFlight, p.c.InFlight())
	}
}

// Guards against verdicts that ignore the rise and fall counts: only enough consecutive results change the state. A backend that
// has never answered goes down at its first failure.
func TestConsecutiveResultsChangeState(t *testing.T) {
	for _, tc := range []struct{ answers, verdicts string }{
		{"+", ""}, {"-", "d"}, {"+--", ""}, {"+---", "d"}, {"+--+--", ""}, {"+---+", "d"}, {"+---++", "du"}, {"+---+-+", "d"},
		{"+---+-++", "du"}, {"-++", "du"}, {"-++--", "du"}, {"-++---", "dud"}, {"------", "d"}, {"++++++", ""},
	} {
		c := New(Config{Every: time.Second, Rise: 2, Fall: 3}, 1, 0)
		c.Set(0, "a", "x:1")
		got, now := "", time.Duration(0)
		for _, answer := range tc.answers {
			var checks []Check
			for range 100 { // Next may return an earlier time than that of the next check
				next, ok := c.Next()
				if !ok {
					t.Fatalf("%s: nothing is due", tc.answers)
				}
				now = next
				if checks = c.Due(now, nil); len(checks) > 0 {
					break
				}
			}
			if len(checks) != 1 || checks[0].Addr != "x:1" {
				t.Fatalf("%s: checks %v", tc.answers, checks)
			}
			if v := c.Result(now, checks[0].Token, answer == '+', "why"); v != nil {
				got += map[bool]string{true: "u", false: "d"}[v.Up]
			}
			if v := c.Result(now, checks[0].Token, answer != '+', "twice"); v != nil {
				t.Fatalf("%s: a result counted twice", tc.answers)
			}
		}
		if got != tc.verdicts {
			t.Errorf("%s: %q, want %q", tc.answers, got, tc.verdicts)
		}
	}
}

// Guards against stale, missing and concurrent checks while backends are added, removed and moved. A check of an old address
// doesn't affect the new one. Each backend is checked about once in Every, never twice at once, and AtOnce bounds all checks.
func TestBackendsAreAddedRemovedAndMoved(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		cfg := Config{Every: time.Second, Rise: 2, Fall: 2, AtOnce: 4}
		p := newPool(t, cfg, seed)
		p.answerDelay = 300 * time.Millisecond
		addr := map[string]string{}
		for step := range 200 {
			id := fmt.Sprint(rng.IntN(10))
			switch rng.IntN(4) {
			case 0:
				addr[id] = fmt.Sprintf("%s:%d", id, step)
				p.c.Set(p.now, id, addr[id])
				p.verdicts[id] = nil
			case 1:
				p.c.Remove(id)
				delete(addr, id)
				p.verdicts[id] = nil
			case 2:
				if a := addr[id]; a != "" {
					p.unhealthy[a] = !p.unhealthy[a]
				}
			}
			p.run(time.Duration(rng.IntN(300)) * time.Millisecond)
			for id := range p.verdicts {
				if addr[id] == "" && len(p.verdicts[id]) > 0 {
					t.Fatalf("seed %d: a verdict on %s, which is removed", seed, id)
				}
			}
		}
		p.run(20 * time.Second) // time to settle
		if p.maxInFlight > cfg.AtOnce || p.c.Len() != len(addr) {
			t.Errorf("seed %d: %d concurrent checks, %d backends of %d", seed, p.maxInFlight, p.c.Len(), len(addr))
		}
		for id, a := range addr {
			if up, known := p.c.Up(id); !known || up == p.unhealthy[a] {
				t.Errorf("seed %d: %s is unhealthy %t, reported up %t, known %t", seed, id, p.unhealthy[a], up, known)
			}
		}
		for id := range addr {
			n := 0
			for _, at := range p.checkedAt[id] {
				if at > p.now-10*time.Second {
					n++
				}
			}
			if n < 5 || n > 11 { // an answer takes 0.3 s and may wait for a free slot
				t.Errorf("seed %d: %s was checked %d times in 10 s", seed, id, n)
			}
		}
		for id := range addr {
			p.c.Remove(id)
		}
		p.run(2 * time.Second)
		if _, found := p.c.Next(); found || p.c.InFlight() > 0 || len(p.c.waiting) > 0 {
			t.Errorf("seed %d: checks remain without backends: %d in flight, %d waiting", seed, p.c.InFlight(), len(p.c.waiting))
		}
	}
}

// Guards against synchronized checks: many processes that start within the same second with the same backends would check them
// all at once, at the start or later.
func TestChecksOfManyProcessesAreSpread(t *testing.T) {
	const nodes, every = 300, 2 * time.Second
	at := map[time.Duration]int{}
	for seed := range uint64(nodes) {
		p := newPool(t, Config{Every: every}, seed)
		p.c.Set(0, "a", "x:1")
		p.run(20 * time.Second)
		for _, d := range p.checkedAt["a"] {
			at[d/(100*time.Millisecond)]++
		}
	}
	for slot, n := range at {
		if n > nodes/20*2 { // twice the mean of a tenth of a second
			t.Errorf("%d nodes checked in one tenth of a second, number %d", n, slot)
		}
	}
}

// A process that was stopped, or whose machine was busy, found the time of its checks over when it ran again, and took healthy backends
// out. A check without an answer in time counts only if this process ran on time, and an answer or a refusal always.
func TestTimeoutOfHeldUpProcessIsNotTheBackends(t *testing.T) {
	const timeout = time.Second
	for _, c := range []struct {
		name              string
		lateStart, heldUp time.Duration // delays of this process: at the start of each check, and at its time-out
		took              time.Duration // of a check whose end was not delayed
		ok, wantDown      bool
	}{
		{"silent", 0, 0, timeout, false, true},
		{"silent, small delays", 20 * time.Millisecond, 20 * time.Millisecond, timeout, false, true},
		{"held up until after the time-out", 0, 400 * time.Millisecond, timeout, false, false},
		{"late timers just before", 100 * time.Millisecond, 0, timeout, false, false},
		{"refused, late timers", 100 * time.Millisecond, 0, 10 * time.Millisecond, false, true},
		{"healthy, late timers", 100 * time.Millisecond, 0, 10 * time.Millisecond, true, false},
	} {
		checks := New(Config{Every: 500 * time.Millisecond, Rise: 1, Fall: 3, Timeout: timeout}, 1, 0)
		checks.Set(0, "a", "addr")
		now, isDown := time.Duration(0), false
		for i := range 12 {
			var due []Check
			for len(due) == 0 { // Next may be earlier than the check
				next, _ := checks.Next()
				now = max(now, next) + c.lateStart
				due = checks.Due(now, nil)
			}
			isFirst := i == 0 // it shows that the backend is well
			if !isFirst {
				now += c.took + c.heldUp
			}
			if v := checks.Result(now, due[0].Token, isFirst || c.ok, "no answer"); v != nil && !isFirst {
				isDown = !v.Up
			}
		}
		if isDown != c.wantDown {
			t.Errorf("%s: down %t after 11 checks", c.name, isDown)
		}
	}
}
