package cluster

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"glencart/internal/standin/memnet"
	"glencart/share"
)

// orderOf is the call of one order.
func orderOf(i int) Query {
	return Query{Key: share.KeyOf("test", fmt.Appendf(nil, "order %d", i)), Call: 7, Effect: share.Unsafe}
}

// inMemory runs a fleet of members over a network in memory, with the order of locks checked.
func inMemory(t *testing.T, n int, do func(*testing.T, *memnet.Net, []*member)) {
	t.Helper()
	orderChecked.Store(true)
	t.Cleanup(func() { orderChecked.Store(false) })
	synctest.Test(t, func(t *testing.T) {
		net := memnet.New(1, memnet.Link{Delay: 2 * time.Millisecond, Jitter: 2 * time.Millisecond})
		var all []*member
		for i := range n {
			all = append(all, begin(t, net, i+1, "10.0.0.1:7946"))
		}
		time.Sleep(80 * time.Second) // a fleet that is new is sure of nothing for a minute
		do(t, net, all)
		for _, m := range all {
			m.stop()
		}
	})
}

// Orders are begun at one member, and it is cut off from all. At the others they may have run; there, what is new goes at once, and waits
// for no owner longer than is stated. Once they are together again, what one side has been told all know.
func TestMarks(t *testing.T) {
	inMemory(t, 4, func(t *testing.T, net *memnet.Net, all []*member) {
		ctx := t.Context()
		const n = 40
		var open []Ticket
		for i := range n {
			began := time.Now()
			k, v := all[0].Admit(ctx, orderOf(i))
			if wait := time.Since(began); v.What != share.Go || v.Why != share.NoCause || wait > 10*time.Millisecond {
				t.Errorf("order %d: %v, after %v", i, v, wait)
			}
			open = append(open, k)
		}
		for i := range 10 { // keyed ones go on to their group, while it remembers them
			q := orderOf(1000 + i)
			q.Effect, q.Group, q.Keep = share.Keyed, "p", 30*time.Second
			if _, v := all[0].Admit(ctx, q); v.What != share.Go {
				t.Errorf("keyed: %v", v)
			}
			if _, v := all[1+i%3].Admit(ctx, q); v.What != share.GoTo || v.Group != "p" {
				t.Errorf("keyed, repeated: %v", v)
			}
		}
		for _, m := range all[1:] {
			net.Set(all[0].addr, m.addr, memnet.Link{Cut: true})
			net.Set(m.addr, all[0].addr, memnet.Link{Cut: true})
		}
		for i := range n {
			q := orderOf(i)
			q.Repeat = i%2 == 0
			began := time.Now()
			_, v := all[1+i%3].Admit(ctx, q)
			if wait := time.Since(began); v.What != share.Unsure || v.Why != share.MayHaveRunBefore || wait > 50*time.Millisecond {
				t.Errorf("order %d, repeated: %v, after %v", i, v, wait)
			}
			q = orderOf(n + i)
			began = time.Now()
			_, v = all[0].Admit(ctx, q) // its owners are silent
			if wait := time.Since(began); v.What != share.Go || v.Why == share.NoCause || wait > 50*time.Millisecond {
				t.Errorf("a first try of one cut off: %v, after %v", v, wait)
			}
			q = orderOf(2*n + i)
			q.Repeat = true
			if _, v = all[0].Admit(ctx, q); v.What != share.Unsure {
				t.Errorf("a repeat at one cut off: %v", v)
			}
		}
		for i, k := range open {
			k.Done(share.Answered, "box", fmt.Sprint("answer ", i))
		}
		for _, m := range all[1:] {
			net.Set(all[0].addr, m.addr, memnet.Link{})
			net.Set(m.addr, all[0].addr, memnet.Link{})
		}
		time.Sleep(20 * time.Second)
		for i := range n {
			if _, v := all[1+i%3].Admit(ctx, orderOf(i)); v.What != share.Known || v.Answer != fmt.Sprint("answer ", i) {
				t.Errorf("order %d, after all: %v", i, v)
			}
		}
		time.Sleep(10 * time.Second)
		same(t, all)
	})
}

// Two of five are cut off, until they know the others as dead. Both own what they are asked for, and were sure of it: what is marked as a
// repeat fails in words all the same, for it may have run on the other side.
func TestMinority(t *testing.T) {
	inMemory(t, 5, func(t *testing.T, net *memnet.Net, all []*member) {
		var calls []Query
		for i := 0; len(calls) < 10; i++ {
			q := orderOf(i)
			q.Repeat = true
			if p, ring := share.PartOf(q.Key), all[0].shared.ring.Load(); ring.Owns("m1", p) && ring.Owns("m2", p) {
				calls = append(calls, q)
			}
		}
		cut := func(l memnet.Link) {
			for _, m := range all[:2] {
				for _, o := range all[2:] {
					net.Set(m.addr, o.addr, l)
					net.Set(o.addr, m.addr, l)
				}
			}
		}
		cut(memnet.Link{Cut: true})
		time.Sleep(time.Minute)
		if r := all[0].shared.ring.Load().Size(); r != 2 {
			t.Fatalf("a ring of %d", r)
		}
		for _, q := range calls {
			if _, v := all[0].Admit(t.Context(), q); v.What != share.Unsure || v.Why != share.InMinority {
				t.Errorf("a repeat on the smaller side: %v", v)
			}
		}
		cut(memnet.Link{})
		time.Sleep(time.Minute)
	})
}

// same checks that owners of one part know the same.
func same(t *testing.T, all []*member) {
	t.Helper()
	for p := range share.Part(share.Parts) {
		sums := map[string]uint64{}
		for _, m := range all {
			sh := m.shared.ofPart(p)
			sh.Lock()
			if m.shared.ring.Load().Owns(m.cfg.Name, p) {
				sums[m.cfg.Name] = sh.sessions.Digest(share.Range{Part: p})
			}
			sh.Unlock()
		}
		var first *uint64
		for _, s := range sums {
			if first == nil {
				first = &s
			}
			if s != *first {
				t.Fatalf("part %d: %v", p, sums)
			}
		}
	}
}

// What one owner was never told it gets by comparing; one that leaves by plan takes nothing with it, nor does one that comes.
func TestRepairAndHandOver(t *testing.T) {
	inMemory(t, 3, func(t *testing.T, net *memnet.Net, all []*member) {
		ctx := t.Context()
		const n = 60
		for i := range n {
			k, v := all[i%3].Admit(ctx, orderOf(i))
			if v.What != share.Go {
				t.Errorf("order %d: %v", i, v)
			}
			k.Done(share.Answered, "box", strings.Repeat("x", 1900)) // by stream: it has no room in a datagram
		}
		// One forgets a third of what it knows, as one whose table was full.
		for i := range 5 {
			sh := &all[0].shared.shards[i]
			sh.Lock()
			sh.sessions = share.NewSessions(share.SessionsConfig{Self: all[0].shared.self, Shard: i, Shards: shardCount})
			sh.sessions.SetRing(all[0].instant(), all[0].shared.ring.Load(), false, nil)
			sh.Unlock()
		}
		time.Sleep(20 * time.Second)
		same(t, all)
		if all[0].repaired.Load()+all[1].repaired.Load()+all[2].repaired.Load() == 0 {
			t.Error("nothing was repaired")
		}
		// It leaves while the two others can't tell each other anything: what the third gets, it gets from who leaves.
		net.Set(all[1].addr, all[2].addr, memnet.Link{Cut: true})
		net.Set(all[2].addr, all[1].addr, memnet.Link{Cut: true})
		all[0].Leave()
		all[0].stop()
		for i := range n {
			if _, v := all[2].Admit(ctx, orderOf(i)); v.What != share.Known || len(v.Answer) != 1900 {
				t.Errorf("order %d: %v", i, v.What)
			}
		}
		net.Set(all[1].addr, all[2].addr, memnet.Link{})
		net.Set(all[2].addr, all[1].addr, memnet.Link{})
		time.Sleep(10 * time.Second)
		all[0] = begin(t, net, 9, "10.0.0.2:7946")
		time.Sleep(2 * time.Second)
		if u := all[0].told(); u.Unsure != 0 || u.Ring != 3 {
			t.Errorf("one that came: %v", u)
		}
		same(t, all)
	})
}

// All know what all have asked of a tenant, and their parts of its limit add up to 1.
func TestUseIsTold(t *testing.T) {
	inMemory(t, 3, func(t *testing.T, _ *memnet.Net, all []*member) {
		var tenants []*Tenant
		for _, m := range all {
			tenants = append(tenants, m.Tenants(map[string]share.Limit{"depot": {Requests: 100}})["depot"])
		}
		for range 150 { // 15 s
			time.Sleep(100 * time.Millisecond)
			for i, k := range tenants {
				for range i + 1 {
					k.Ask(true)
					k.Spend(time.Millisecond)
				}
			}
		}
		parts := 0.0
		for _, m := range all {
			u := m.Used().Tenants["depot"]
			if u.Total.Asked < 500 || u.Total.Asked > 620 || u.Total.Work < 0.5 {
				t.Errorf("%s knows of %+v", m.cfg.Name, u.Total)
			}
			parts += u.Allowance.Part
		}
		if parts < 0.9 || parts > 1.1 || all[2].Used().Tenants["depot"].Allowance.Part < 1.5*all[0].Used().Tenants["depot"].Allowance.Part {
			t.Errorf("parts add up to %v, and are not by what was asked", parts)
		}
		if n := testing.AllocsPerRun(100, func() { tenants[0].Ask(true); tenants[0].Spend(time.Millisecond) }); n > 0 {
			t.Errorf("%v allocations", n)
		}
	})
}

// What a request waits: nothing where it needs nothing; an order for its owners, on this machine's loopback.
func BenchmarkAdmit(b *testing.B) {
	var all []*Cluster
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	for i := range 3 {
		cfg := Config{Cluster: "shop", Name: fmt.Sprint("m", i), Listen: "127.0.0.1:0"}
		if i > 0 {
			cfg.Seeds = []string{all[0].Addr()}
		}
		c, err := Open(cfg, System{})
		if err != nil {
			b.Fatal(err)
		}
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		defer func() { stop(); <-done }()
		all = append(all, c)
	}
	for all[0].told().Ring < 3 || all[1].told().Ring < 3 || all[2].told().Ring < 3 {
		time.Sleep(10 * time.Millisecond)
	}
	safe := orderOf(1)
	safe.Effect = share.Safe
	for _, x := range []struct {
		name string
		q    Query
	}{{"safe", safe}, {"no session", Query{Effect: share.Unsafe}}} {
		b.Run(x.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t, _ := all[0].Admit(ctx, x.q)
				t.Done(share.Answered, "", "")
			}
		})
	}
	b.Run("order", func(b *testing.B) {
		b.ReportAllocs()
		var waits []time.Duration
		for i := 0; b.Loop(); i++ {
			began := time.Now()
			t, v := all[0].Admit(ctx, orderOf(i))
			waits = append(waits, time.Since(began))
			if v.What == share.Go {
				t.Done(share.Answered, "box", "done")
			}
		}
		slices.SortFunc(waits, func(x, y time.Duration) int { return cmp.Compare(x, y) })
		b.ReportMetric(float64(waits[len(waits)/2].Microseconds()), "µs/median")
		b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds()), "µs/99th")
	})
}
