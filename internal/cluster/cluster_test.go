package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"glencart/detect"
	"glencart/internal/cluster/wire"
	"glencart/internal/standin/memnet"
)

// member is one of a fleet in memory.
type member struct {
	*Cluster
	addr  netip.Addr
	stop  func()
	mu    sync.Mutex
	sizes []int
}

func begin(t *testing.T, n *memnet.Net, i int, seeds ...string) *member {
	t.Helper()
	m := &member{addr: netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})}
	var err error
	m.Cluster, err = Open(Config{Cluster: "shop", Name: fmt.Sprintf("m%d", i), Listen: netip.AddrPortFrom(m.addr, 7946).String(), Seeds: seeds, Detect: detect.Config{Seed: uint64(i)},
		Sized: func(n int) { m.mu.Lock(); m.sizes = append(m.sizes, n); m.mu.Unlock() }}, n.Host(m.addr))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := m.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	m.stop = func() { cancel(); wg.Wait() }
	return m
}

// states are what a member knows of the others, by name.
func (m *member) states() string {
	var out []string
	for _, x := range m.View().Members {
		out = append(out, x.Name+" "+x.State.String())
	}
	return strings.Join(out, ", ")
}

// The whole of a member's life over a network in memory, in virtual time: twelve come together over one seed while a fifth of the datagrams
// is lost and others come twice and late; one is cut off and comes back; one leaves. At the end nothing of them is left, which synctest
// checks. Locks are checked for their order all the while.
func TestInMemory(t *testing.T) {
	orderChecked.Store(true)
	t.Cleanup(func() { orderChecked.Store(false) })
	synctest.Test(t, func(t *testing.T) {
		const n = 12
		calm := memnet.Link{Delay: time.Millisecond, Jitter: 20 * time.Millisecond}
		lossy := calm
		lossy.Drop, lossy.Repeat = 0.2, 0.05
		net := memnet.New(1, lossy)
		var all []*member
		for i := range n {
			all = append(all, begin(t, net, i+1, "10.0.0.1:7946"))
		}
		time.Sleep(30 * time.Second)
		check := func(what string, size int, state string) {
			t.Helper()
			net.Usual(calm)
			time.Sleep(15 * time.Second)
			for _, m := range all {
				if v := m.View(); v.Size != size || v.CutOff || strings.Count(m.states(), state) != size {
					t.Errorf("%s: %s: size %d, cut off %t, %s", what, v.Self.Name, v.Size, v.CutOff, m.states())
				}
			}
		}
		check("together", n, "alive")

		net.Usual(lossy)
		last := all[n-1]
		for _, m := range all[:n-1] {
			net.Set(m.addr, last.addr, memnet.Link{Cut: true})
			net.Set(last.addr, m.addr, memnet.Link{Cut: true})
		}
		time.Sleep(90 * time.Second)
		if v := last.View(); !v.CutOff {
			t.Errorf("it does not know that it is cut off: %s", last.states())
		}
		if s := all[0].states(); !strings.Contains(s, "m12 dead") {
			t.Errorf("nobody found it dead: %s", s)
		}
		for _, m := range all[:n-1] {
			net.Set(m.addr, last.addr, calm)
			net.Set(last.addr, m.addr, calm)
		}
		time.Sleep(90 * time.Second)
		check("together again", n, "alive")

		last.Leave()
		last.stop()
		all = all[:n-1]
		time.Sleep(10 * time.Second)
		check("one has left", n-1, "alive")
		for _, m := range all {
			m.mu.Lock()
			if len(m.sizes) == 0 || m.sizes[len(m.sizes)-1] != n-1 {
				t.Errorf("%s was told the sizes %v", m.View().Self.Name, m.sizes)
			}
			m.mu.Unlock()
			if c := m.Counts(); c["shortened"]+c["lost_notes"]+c["garbage"]+c["crowded"] > 0 {
				t.Errorf("dropped: %v", c)
			}
			m.stop()
		}
	})
}

// The largest message that detect sends has room in a datagram as it is.
func TestRoom(t *testing.T) {
	d := detect.New(detect.Config{Name: strings.Repeat("n", wire.NameMost), Start: 1 << 63, Addr: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535",
		MaxDatagramBytes: wire.DatagramMost, Seed: 1})
	d.Handle(0, detect.Event{Kind: detect.Start}, nil)
	most := 0
	for i := range 200 {
		w := detect.Update{ID: detect.ID{Name: fmt.Sprintf("%0*d", wire.NameMost, i), Start: 1 << 62}, Inc: 1 << 31, Addr: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"}
		m := detect.Message{Kind: detect.Ask, Seq: 1 << 31, From: w, Links: []detect.LinkUpdate{{From: w.Name, To: w.Name + "x", Seq: 1 << 31, Deaf: true}}}
		for _, a := range d.Handle(time.Duration(i)*10*time.Millisecond, detect.Event{Kind: detect.Received, From: w.Addr, Message: m}, nil) {
			if a.Kind != detect.Send || a.Message.Kind == detect.Pull {
				continue
			}
			b, err := wire.Encode(1, wire.FromDetect(a.Message))
			if err != nil || len(b) > wire.DatagramMost {
				t.Fatalf("%d bytes, %v", len(b), err)
			}
			most = max(most, len(b))
		}
	}
	if most < wire.DatagramMost*3/4 {
		t.Errorf("the fullest has %d bytes: it shows nothing", most)
	}
}
