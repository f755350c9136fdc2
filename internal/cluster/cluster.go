// Package cluster runs the processes of a fleet of serve: their sockets, workers and messages. What the pure packages decide is obeyed
// here: detect says who is there. docs/design/0010-fleet.md has the contract, docs/FLEET-OF-SERVE.md is for operators.
//
// It does not stand on an engine's loop: a pool of workers takes datagrams from a bounded queue, and whoever has an event tells it to
// the tables under their locks (locks.go has their order). What a request needs is read from a View that is replaced whole, without
// a lock. All time is package time's and all sockets are Net's, so that tests run it in memory under testing/synctest.
//
// This file has a cluster's life: Open, Run, Leave.
package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"glencart/detect"
	"glencart/internal/cluster/wire"
	"glencart/internal/sock"
	"glencart/schema"
	"glencart/share"
)

// Config is what a Cluster is built from. Cluster, Name and Listen are needed.
type Config struct {
	Cluster   string         // its name: who has another is not heard
	Name      string         // of this instance, the same after a restart
	Listen    string         // host:port, for UDP and TCP
	Advertise string         // IP:port that others are told; "": as Listen
	Seeds     []string       // host:port of others to begin with
	Networks  []netip.Prefix // who is heard and spoken to; none: DefaultNetworks
	Away      time.Duration  // Leave says that this process is back within it; 0: that it does not come back

	Wait   time.Duration // that a call waits for the owners of its session at the most; 0: 50ms
	Keep   time.Duration // how long a call's mark matters: as long as clients repeat; 0: a minute
	Owners int           // of each session; 0: share.Owners

	SessionsMemory int64 // bytes of the records of all sessions; 0: share.DefaultMemory
	SessionMemory  int64 // bytes of the records of one session; 0: a part of SessionsMemory
	RefuseIfFull   bool  // a call whose mark finds no room is refused; false: it goes unprotected

	Book *schema.Registry       // forms of records that this release reads; nil: all of package share's
	Hold map[schema.Kind]uint16 // no more than these schemas are to be written; a kind that is not there: any

	Log *slog.Logger
	// Sized is told how many members there may be, each time the number has changed, from one goroutine; nil: nobody is.
	Sized func(n int)
	// Detect has limits and times for detection; zero values have its defaults. Its Seed is for tests; 0: drawn. What else is in it is
	// filled in here.
	Detect detect.Config
}

// DefaultNetworks are this machine and private ones (RFC 1918, RFC 4193).
var DefaultNetworks = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8"), netip.MustParsePrefix("::1/128"), netip.MustParsePrefix("10.0.0.0/8"),
	netip.MustParsePrefix("172.16.0.0/12"), netip.MustParsePrefix("192.168.0.0/16"), netip.MustParsePrefix("fc00::/7")}

// Sizes of what stands between goroutines.
const (
	workers    = 4    // that read datagrams: reading one takes some microseconds, and sending the answers some more
	inboxMost  = 1024 // datagrams that wait: a second of a fleet of some hundred
	notesMost  = 4096 // changes whose log line waits
	asideMost  = 8    // exchanges that this process has begun
	streamMost = 16   // streams of others that are read: each may take StreamMost bytes
)

// Cluster is one process's part in a fleet. Open returns one; Run must be called once, or Close.
type Cluster struct {
	cfg      Config
	net      Net
	log      *slog.Logger
	number   uint64
	listener net.Listener
	packets  net.PacketConn
	born     time.Time
	networks atomic.Pointer[[]netip.Prefix]
	counts   counts
	pulls    atomic.Uint64 // exchanges that came to their end

	repaired atomic.Uint64 // comparisons that found something

	members  members
	levels   levels
	shared   shared
	view     atomic.Pointer[View]
	pressure atomic.Pointer[Pressure] // nil: no plans were ever told
	rearm    chan struct{}            // the timer looks again when it is due
	inbox    chan datagram
	notes    chan detect.Action
	aside    errgroup.Group // what is begun here and waits for the network
	running  context.Context
}

// Open takes the sockets. Nothing is sent before Run.
func Open(cfg Config, n Net) (*Cluster, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	l, p, err := open(n, cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %s: %w: end who has it, or give another port", cfg.Listen, err)
	}
	if cfg.Advertise == "" {
		cfg.Advertise = sock.ListenAddr(l, cfg.Listen)
	}
	c := &Cluster{cfg: cfg, net: n, log: cfg.Log.With("part", "fleet"), number: wire.Number(cfg.Cluster), listener: l, packets: p, born: time.Now(),
		rearm: make(chan struct{}, 1), inbox: make(chan datagram, inboxMost), notes: make(chan detect.Action, notesMost)}
	c.cfg.Owners = cmp.Or(cfg.Owners, share.Owners)
	c.aside.SetLimit(asideMost)
	c.counts.log = c.log
	c.Networks(cfg.Networks)
	d := cfg.Detect
	if d.Seed == 0 {
		d.Seed = rand.Uint64()
	}
	d.Name, d.Addr, d.Seeds, d.MaxDatagramBytes = cfg.Name, cfg.Advertise, cfg.Seeds, wire.DatagramMost
	d.Start = detect.FirstStart(wall(n), uint32(d.Seed))
	c.members.rank, c.members.detect, c.members.size = rankMembers, detect.New(d), 1
	c.members.since = map[string]time.Duration{}
	if err := errors.Join(c.openLevels(d.Start), c.openShared(d.Start)); err != nil {
		c.Close()
		return nil, err
	}
	c.members.Lock()
	c.replace(0)
	c.members.Unlock()
	return c, nil
}

// Addr is where this process listens.
func (c *Cluster) Addr() string { return sock.ListenAddr(c.listener, c.cfg.Listen) }

// Networks has other networks heard and spoken to from now on; none: DefaultNetworks.
func (c *Cluster) Networks(list []netip.Prefix) {
	if len(list) == 0 {
		list = DefaultNetworks
	}
	c.networks.Store(&list)
}

// allowed tells whether a process at an address is heard and spoken to.
func (c *Cluster) allowed(a netip.Addr) bool {
	a = a.Unmap().WithZone("")
	for _, p := range *c.networks.Load() {
		if !p.IsValid() || p.Contains(a) { // invalid: site's word "all"
			return true
		}
	}
	return false
}

// now is the process's own clock.
func (c *Cluster) now() time.Duration { return time.Since(c.born) }

// Run takes part until ctx ends. It says nothing to others at its end: Leave does.
func (c *Cluster) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	c.running = ctx
	c.log.Info("fleet: begins", "cluster", c.cfg.Cluster, "name", c.cfg.Name, "listen", c.Addr(), "advertise", c.cfg.Advertise, "seeds", len(c.cfg.Seeds))
	g.Go(func() error { <-ctx.Done(); c.Close(); return nil })
	g.Go(func() error { c.tell(ctx); return nil })
	g.Go(func() error { c.read(ctx); return nil })
	g.Go(func() error { c.accept(ctx); return nil })
	for range workers {
		g.Go(func() error { c.work(ctx); return nil })
	}
	c.handle(detect.Event{Kind: detect.Start}, nil)
	g.Go(func() error { c.ticks(ctx); return nil })
	g.Go(func() error { c.tend(ctx); return nil })
	g.Go(func() error { c.agree(ctx); return nil })
	err := g.Wait()
	c.aside.Wait()
	c.shared.marks.Wait()
	c.shared.moves.Wait()
	return err
}

// Leave hands over what this process owns, and tells others that it ends, or is away for Config.Away. From here on it takes no part. It
// waits for handWithin at the most, and says so a few times: who does not hear it would find this process dead.
func (c *Cluster) Leave() {
	c.handOver()
	ev := detect.Event{Kind: detect.Leave}
	if c.cfg.Away > 0 {
		ev = detect.Event{Kind: detect.BeginAway, Until: c.cfg.Away}
	}
	out := c.step(ev)
	c.members.Lock()
	c.members.over = true
	c.members.Unlock()
	for i := range leaveTimes {
		if i > 0 {
			time.Sleep(leavePause)
		}
		c.obey(out, nil)
	}
	c.log.Info("fleet: ends", "said", map[bool]string{false: "left", true: "away"}[c.cfg.Away > 0], "away", c.cfg.Away)
}

// With a third of the datagrams lost, one member in 27 does not hear of an end by itself; the others tell it. It takes 40 ms.
const (
	leaveTimes = 3
	leavePause = 20 * time.Millisecond
)

// Close gives the sockets back. Run does it too.
func (c *Cluster) Close() {
	c.listener.Close()
	c.packets.Close()
}
