package cluster

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"glencart/detect"
	"glencart/internal/cluster/wire"
	"glencart/internal/standin/memnet"
	"glencart/schema"
	"glencart/share"
)

// sameWithin is how long after the last change the same is written at all members.
const sameWithin = 15 * time.Second

// levelsFleet is one of members that read different schemas.
type levelsFleet struct {
	t   *testing.T
	net *memnet.Net
	all []*levelsMember
	// seeds of who is begun next; none: one of the first two.
	seeds []string
}

type levelsMember struct {
	*member
	log strings.Builder
}

// begin starts member i, which reads schemas 1 to most, and takes the place of the one before it.
func (f *levelsFleet) begin(i int, most uint16, hold uint16) *levelsMember {
	f.t.Helper()
	b := &schema.Registry{}
	if err := share.Register(b); err != nil {
		f.t.Fatal(err)
	}
	seeds := f.seeds
	if len(seeds) == 0 {
		seeds = []string{"10.0.0.1:7946", "10.0.0.2:7946"}[i%2 : i%2+1]
	}
	m := &levelsMember{member: &member{addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(i)})}}
	var mu sync.Mutex
	var err error
	m.Cluster, err = Open(Config{Cluster: "shop", Name: fmt.Sprintf("m%d", i), Listen: netip.AddrPortFrom(m.addr, 7946).String(),
		Seeds: seeds, Detect: detect.Config{Seed: uint64(i) + uint64(most)<<8},
		Book: b.Restrict(schema.Use, 1, most).Restrict(schema.Session, 1, most), Hold: map[schema.Kind]uint16{schema.Use: hold, schema.Session: hold},
		Log: slog.New(slog.NewTextHandler(writer(func(b []byte) { mu.Lock(); m.log.Write(b); mu.Unlock() }), nil))}, f.net.Host(m.addr))
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { m.Run(ctx) })
	m.stop = func() { cancel(); wg.Wait() }
	if i > len(f.all) {
		f.all = append(f.all, m)
	} else {
		f.all[i-1] = m
	}
	return m
}

type writer func([]byte)

func (w writer) Write(b []byte) (int, error) { w(b); return len(b), nil }

// restart ends a member as a restart does, and starts it with another release.
func (f *levelsFleet) restart(i int, most, hold uint16) *levelsMember {
	f.all[i-1].Leave()
	f.all[i-1].stop()
	m := f.begin(i, most, hold)
	time.Sleep(3 * time.Second) // until it has met the others: who restarts all at once has nobody left who remembers those asleep
	return m
}

// written checks that all members come to write a level within sameWithin, and returns after how long they did.
func (f *levelsFleet) written(what string, want schema.Level) {
	f.t.Helper()
	began := time.Now()
	for {
		same := true
		var got []string
		for _, m := range f.all {
			for _, k := range schema.Kinds {
				w := m.View().Schemas[k].Written
				same = same && w == want
				got = append(got, w.String())
			}
		}
		if same {
			f.t.Logf("%s: %v at all after %v", what, want, time.Since(began))
			return
		}
		if time.Since(began) > sameWithin {
			f.t.Fatalf("%s: not %v at all after %v: %v", what, want, sameWithin, got)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// stays checks that nobody writes anything above it for half a minute, and that all write it then.
func (f *levelsFleet) stays(what string, want schema.Level) {
	f.t.Helper()
	for range 30 {
		time.Sleep(time.Second)
		for _, m := range f.all {
			if w := m.View().Schemas[schema.Use].Written; w.Turn > want.Turn || w.Schema > want.Schema {
				f.t.Log(m.states(), "\n", m.log.String())
				f.t.Fatalf("%s: %s writes %v instead of %v", what, m.View().Self.Name, w, want)
			}
		}
	}
	f.written(what, want)
}

func (f *levelsFleet) cut(is bool, some ...int) {
	for i := range f.all {
		for _, j := range some {
			if k := j - 1; i != k && !contains(some, i+1) {
				f.net.Set(f.all[i].addr, f.all[k].addr, memnet.Link{Cut: is, Delay: time.Millisecond})
				f.net.Set(f.all[k].addr, f.all[i].addr, memnet.Link{Cut: is, Delay: time.Millisecond})
			}
		}
	}
}

func contains(list []int, i int) bool {
	for _, x := range list {
		if x == i {
			return true
		}
	}
	return false
}

func playLevels(t *testing.T, most uint16, play func(f *levelsFleet)) {
	orderChecked.Store(true)
	t.Cleanup(func() { orderChecked.Store(false) })
	synctest.Test(t, func(t *testing.T) {
		f := &levelsFleet{t: t, net: memnet.New(1, memnet.Link{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Drop: 0.1, Repeat: 0.05})}
		for i := range 5 {
			f.begin(i+1, most, 0)
		}
		defer func() {
			for _, m := range f.all {
				m.stop()
			}
		}()
		f.written("together", schema.Level{Schema: most})
		play(f)
	})
}

// Five are upgraded one by one, one of them asleep meanwhile: written rises once the last one reads it, and not before. One that is held
// back holds all; one that goes back to the old release above what is written says that it is too old and serves on; it is back with the
// new release, or once all have taken the schema back.
func TestLevelsRolling(t *testing.T) {
	playLevels(t, 2, func(f *levelsFleet) {
		f.cut(true, 5) // it sleeps: nobody hears of it
		time.Sleep(20 * time.Second)
		for i := range 4 {
			f.restart(i+1, 3, 0)
		}
		f.stays("one asleep has not said that it reads 3", schema.Level{Schema: 2})
		f.cut(false, 5)
		f.stays("it reads 2", schema.Level{Schema: 2})
		f.restart(5, 3, 2)
		f.stays("it holds back", schema.Level{Schema: 2})
		f.all[4].Hold(nil)
		f.written("upgraded", schema.Level{Schema: 3})

		old := f.restart(4, 2, 0)
		f.written("one is back on the old release", schema.Level{Schema: 3})
		if old.Fit(schema.Session) || !strings.Contains(old.log.String(), "too old") || !strings.Contains(old.log.String(), "start a later release") {
			t.Errorf("it does not say that it is too old: %s", old.log.String())
		}
		time.Sleep(2 * time.Second)
		if at, _ := f.all[0].Form(schema.Session, "m4"); at != 0 {
			t.Errorf("records go to it at schema %d", at)
		}
		if n := f.all[0].shared.ring.Load().Size(); n != 4 {
			t.Errorf("%d own sessions instead of 4", n)
		}
		for _, m := range f.all {
			if m != old {
				m.Hold(map[schema.Kind]uint16{schema.Use: 2, schema.Session: 2})
			}
		}
		f.written("taken back", schema.Level{Turn: 1, Schema: 2})
		time.Sleep(2 * time.Second)
		for _, m := range f.all {
			if at, _ := m.Form(schema.Session, f.all[0].View().Self.Name); m != f.all[0] && (at != 2 || !m.Fit(schema.Use)) {
				t.Errorf("%s sends at schema %d", m.View().Self.Name, at)
			}
			if !strings.Contains(m.log.String(), "older releases may be started") && m != old {
				t.Errorf("%s does not say that it is cleared: %s", m.View().Self.Name, m.log.String())
			}
		}
	})
}

// One side of a partition is upgraded: nothing rises while the others are not forgotten, nor once they are back, until they read it too.
func TestLevelsPartition(t *testing.T) {
	playLevels(t, 2, func(f *levelsFleet) {
		f.cut(true, 1, 2)
		time.Sleep(40 * time.Second)
		f.restart(1, 3, 0)
		f.restart(2, 3, 0)
		f.stays("apart", schema.Level{Schema: 2})
		f.cut(false, 1, 2)
		f.stays("healed", schema.Level{Schema: 2})
		for i := range 3 {
			f.restart(i+3, 3, 0)
		}
		f.written("all upgraded", schema.Level{Schema: 3})
	})
}

// Two that read more are started at once and meet each other before the rest: they raise nothing among themselves.
func TestLevelsTwoMeetFirst(t *testing.T) {
	playLevels(t, 2, func(f *levelsFleet) {
		f.seeds = []string{"10.0.0.7:7946"}
		f.begin(6, 3, 0)
		f.seeds = []string{"10.0.0.6:7946"}
		f.begin(7, 3, 0)
		time.Sleep(2 * time.Second)
		f.seeds = []string{"10.0.0.6:7946", "10.0.0.1:7946"}
		f.restart(3, 2, 0)
		f.stays("two read more", schema.Level{Schema: 2})
	})
}

// A record in a form that this release does not read is left out and counted, whatever brought it, and so is a letter to the process that
// had this name before, which may have read it. What is in a form that is read is taken.
func TestLevelsNotRead(t *testing.T) {
	playLevels(t, 2, func(f *levelsFleet) {
		a, b := f.all[0], f.all[1]
		send := func(form uint16, start uint64) {
			r := schema.Record{Kind: schema.Use, Schema: form, Key: "t", Fields: nil}
			a.sendPacket(b.View().Self.Addr, &wire.Packet{ToStart: start, Body: &wire.Packet_Records{Records: &wire.Records{List: [][]byte{schema.AppendRecord(nil, r)}}}})
			time.Sleep(time.Second)
		}
		f.net.Usual(memnet.Link{Delay: time.Millisecond})
		before := b.Counts()
		for _, x := range []struct {
			form  uint16
			start uint64
			why   string
		}{{2, b.View().Self.Start, ""}, {3, b.View().Self.Start, "not_read"}, {2, b.View().Self.Start - 1, "misled"}} {
			send(x.form, x.start)
			now := b.Counts()
			for _, why := range []string{"not_read", "misled", "garbage"} {
				if more := now[why] - before[why]; (more > 0) != (why == x.why) {
					t.Errorf("form %d to %d: %s: %d", x.form, x.start, why, more)
				}
			}
			before = now
		}
		// With a record that is not read, no part counts as whole.
		unsure := func() uint32 { return b.told().Unsure }
		first := unsure()
		if first == 0 {
			t.Fatal("all is sure: it shows nothing")
		}
		all := &wire.Records{List: [][]byte{schema.AppendRecord(nil, schema.Record{Kind: schema.Use, Schema: 3, Key: "t"})}}
		for i := range uint32(share.Parts) {
			all.Sure = append(all.Sure, i)
		}
		if b.records(all, "m1"); unsure() != first {
			t.Errorf("%d parts are not sure, after %d", unsure(), first)
		}
		all.List = nil
		if b.records(all, "m1"); unsure() != 0 {
			t.Errorf("%d parts are not sure though all was read", unsure())
		}
	})
}
