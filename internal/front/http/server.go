// Package httpfront serves an installation of one's own over HTTP/1.1: several listeners, TLS, several pools, each with
// its own engine and Balancer, and the routes of package route between them. The platform's node is internal/node.
//
// All that a file says is one generation: table, pools, certificates, limits. A request belongs to the generation that was
// current when its head came, and sees nothing of another. A pool whose settings stay the same is carried over with all
// that it has learned.
package httpfront

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"glencart/internal/clients"
	"glencart/internal/cluster"
	"glencart/internal/living"
	"glencart/internal/lograte"
	"glencart/internal/site"
	"glencart/internal/sock"
	"glencart/life"
	"glencart/route"
)

// Server serves a site. New opens its sockets, Run serves, Reload takes in another version of the file.
type Server struct {
	log       *slog.Logger
	access    *accessLog
	listeners []*listener
	gen       atomic.Pointer[generation]
	open      atomic.Int64 // requests
	number    atomic.Uint64
	start     string // before the numbers of requests
	living    *living.Runner
	book      living.RequestCounts
	leaving   atomic.Bool // told to end
	closing   atomic.Bool // answers close their connections
	others    *others     // the processes beside this one; nil: none are known
	pressure  *cluster.Pressure

	invalidCount atomic.Int64 // requests that couldn't be encoded for a backend
	invalidLog   lograte.Limited

	mu      sync.Mutex
	tunnels map[net.Conn]bool
	alive   map[*generation]bool // those whose pools may have something open
	retired sync.WaitGroup
}

type listener struct {
	*clients.Listener
	table *clients.Table
	site  site.Listener
	port  string
}

// generation is all that one version of the file says.
type generation struct {
	site    *site.Site
	table   *route.Table
	targets []target
	pools   map[string]*pool
	certs   map[string][]tls.Certificate // by listener
	trusted []netip.Prefix
	tenants map[string]int
	used    []*cluster.Tenant // by tenant; none: they are not counted
	gate    *cluster.Gate     // where requests ask whether they are let in; nil: there are no plans
	refs    atomic.Int64      // requests
	over    chan struct{}
}

// target is a route that is ready to use.
type target struct {
	site.Target
	pool        *pool
	access      []rule
	safe, other int // classes of safe methods, and of the others
}

// New opens the listeners of a site and starts its pools.
func New(s *site.Site, log *slog.Logger) (*Server, error) {
	v := &Server{log: log, tunnels: map[net.Conn]bool{}, alive: map[*generation]bool{}, start: fmt.Sprintf("%x-", time.Now().UnixNano())}
	v.invalidLog.Log = log
	g, err := v.build(s, nil)
	if err != nil {
		return nil, err
	}
	v.gen.Store(g)
	v.alive[g] = true
	v.living = living.New(life.New(life.Standalone, leaveWithin(s)), obeys{v})
	if v.access, err = openAccess(s.Node.AccessLog); err != nil {
		g.end()
		return nil, err
	}
	most := s.Limits.Connections
	if most == 0 {
		most = 1024
	}
	for _, l := range s.Listeners {
		nl, err := listen(l.Address)
		if err != nil {
			v.abandon(g)
			return nil, fmt.Errorf("listener %q: %w", l.Name, err)
		}
		_, port, _ := net.SplitHostPort(sock.ListenAddr(nl, l.Address))
		cl := clients.Limit(nl, most)
		cl.UsesTLS, cl.HeadTimeout, cl.MaxHeadFields = len(l.TLS) > 0, headWithin(s), clients.DefaultMaxHeadFields
		v.listeners = append(v.listeners, &listener{Listener: cl, table: clients.NewTable(most, clients.KeepIdleThresholds), site: l, port: port})
	}
	if err := v.openFleet(s); err != nil {
		v.abandon(g)
		return nil, err
	}
	g.used = v.tenantsUsed(s)
	v.openPressure(s)
	v.living.Handle(life.Event{Kind: life.AcceptStarted})
	return v, nil
}

// abandon gives back what a server has taken that does not begin.
func (v *Server) abandon(g *generation) {
	for _, l := range v.listeners {
		l.Close()
	}
	v.others.close()
	v.access.close()
	g.end()
}

// Addr is the address of a listener, "" if there is none of that name.
func (v *Server) Addr(name string) string {
	for _, l := range v.listeners {
		if l.site.Name == name {
			return sock.ListenAddr(l.Listener, l.site.Address)
		}
	}
	return ""
}

// build makes a generation. Pools of old that stay the same are carried over, but for their boxes.
func (v *Server) build(s *site.Site, old *generation) (*generation, error) {
	table, targets, err := s.Compile()
	if err != nil {
		return nil, err
	}
	g := &generation{site: s, table: table, pools: map[string]*pool{}, certs: map[string][]tls.Certificate{},
		tenants: map[string]int{}, over: make(chan struct{}, 1)}
	fresh := []*pool{}
	undo := func(err error) (*generation, error) {
		for _, p := range fresh {
			p.end()
		}
		return nil, err
	}
	for _, l := range s.Listeners {
		for _, c := range l.TLS {
			pair, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
			if err != nil {
				return undo(fmt.Errorf("listener %q: %w", l.Name, err))
			}
			g.certs[l.Name] = append(g.certs[l.Name], pair)
		}
	}
	for i := range s.Pools {
		p := &s.Pools[i]
		if old != nil && old.pools[p.Name] != nil && old.pools[p.Name].sum == sumOf(s, p) {
			g.pools[p.Name] = old.pools[p.Name]
			continue
		}
		q, err := newPool(s, p, v.log)
		if err != nil {
			return undo(err)
		}
		g.pools[p.Name] = q
		fresh = append(fresh, q)
	}
	for _, t := range s.Node.Trusted {
		n, err := site.Network(t)
		if err != nil {
			return undo(err)
		}
		g.trusted = append(g.trusted, n)
	}
	for i, t := range s.Tenants {
		g.tenants[t.Name] = i
	}
	for _, t := range targets {
		access, err := rulesOf(t.Location)
		if err != nil {
			return undo(err)
		}
		tg := target{Target: t, pool: g.pools[t.Pool], access: access, safe: s.Class(site.SafeClass), other: s.Class(site.UnsafeClass)}
		if t.Class != "" {
			tg.safe = s.Class(t.Class)
			tg.other = tg.safe
		}
		g.targets = append(g.targets, tg)
	}
	return g, nil
}

func (g *generation) end() {
	for _, p := range g.pools {
		p.end()
	}
}

// enter takes the current generation for a request. Whoever has it calls leave.
func (v *Server) enter() *generation {
	for {
		g := v.gen.Load()
		g.refs.Add(1)
		if v.gen.Load() == g {
			return g
		}
		g.leave() // it was followed by another in between
	}
}

func (g *generation) leave() {
	if g.refs.Add(-1) == 0 {
		select {
		case g.over <- struct{}{}:
		default:
		}
	}
}

// Reload has another version of the file take effect, whole or not at all. Listeners' addresses, limits of connections
// and the access log's name hold until a restart. What is open goes on under the version that it came under.
func (v *Server) Reload(s *site.Site) error {
	if v.leaving.Load() { // its pools would know nothing of the end, and the old ones would end before their requests
		return errors.New("the process is about to end: the file counts for the next one")
	}
	old := v.gen.Load()
	for _, l := range s.Listeners {
		if i := indexOf(old.site.Listeners, l.Name); i < 0 || old.site.Listeners[i].Address != l.Address ||
			(len(old.site.Listeners[i].TLS) > 0) != (len(l.TLS) > 0) {
			return fmt.Errorf("listener %q: a new address, or TLS switched on or off, needs a restart", l.Name)
		}
	}
	if len(s.Listeners) != len(old.site.Listeners) {
		return errors.New("listener: one that is taken out needs a restart")
	}
	if err := sameFleet(old.site.Fleet, s.Fleet); err != nil {
		return err
	}
	g, err := v.build(s, old)
	if err != nil {
		return err
	}
	if v.others != nil {
		v.others.Networks(fleetNetworks(s.Fleet))
		v.others.Hold(fleetHold(s.Fleet))
		g.used = v.tenantsUsed(s)
	}
	g.gate = v.pressure.Next(s.Shed())
	v.mu.Lock()
	v.alive[g] = true
	v.mu.Unlock()
	v.gen.Store(g)
	v.living.Handle(life.Event{Kind: life.SettingsChanged, Deadline: leaveWithin(s)})
	if err := v.access.reopen(); err != nil {
		v.log.Error("access log not opened anew, the old one is written on", "error", err)
	}
	// Also a pool that ends hears of the boxes: what is open in it may be tried again, and a drain holds for that too.
	for name, p := range old.pools {
		if i := s.Pool(name); i >= 0 {
			p.reload(s.Pools[i].Boxes)
		} else {
			p.reload(nil)
		}
	}
	v.countInstances() // pools that are new have the file's number
	v.log.Info("file reloaded", "pools", len(g.pools), "routes", len(g.targets))
	v.retired.Go(func() { v.retire(old, g) })
	return nil
}

func indexOf(list []site.Listener, name string) int {
	for i, l := range list {
		if l.Name == name {
			return i
		}
	}
	return -1
}

// retire ends the pools of an old generation that the new one has not taken over, once nothing is open in it.
func (v *Server) retire(old, now *generation) {
	most := time.NewTimer(longest(old.site) + time.Minute)
	defer most.Stop()
	for old.refs.Load() > 0 && !v.leaving.Load() {
		select {
		case <-old.over:
			continue
		case <-most.C:
		}
		break
	}
	for name, p := range old.pools {
		if now.pools[name] != p {
			p.end()
		}
	}
	v.mu.Lock()
	delete(v.alive, old)
	v.mu.Unlock()
}

// longest is the longest time until the head of an answer.
func longest(s *site.Site) time.Duration {
	var d time.Duration
	for _, c := range s.Classes {
		d = max(d, time.Duration(c.Deadline))
	}
	return d
}

// headTimeout is how long a client may take to send a head.
func headWithin(s *site.Site) time.Duration { return s.Limits.HeadWithin.Or(10 * time.Second) }

// listenTimeout is how long an address is tried for that can't be had at the start: it may be a process's that is just ending.
const listenTimeout = 3 * time.Second

// listen opens a listener.
func listen(address string) (l net.Listener, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	err = sock.Retry(ctx, func() (err error) {
		l, err = net.Listen("tcp", address)
		return err
	})
	return l, err
}

// Run serves until ctx ends. Then it takes nothing new, answers what is open, within the file's leave at the most, and returns.
func (v *Server) Run(ctx context.Context) error {
	s := v.gen.Load().site
	v.others.begin(v.log)
	failed, complain := make(chan error, len(v.listeners)), &lograte.Limited{Log: v.log}
	var accepting sync.WaitGroup
	servers := make([]*http.Server, 0, len(v.listeners))
	for _, l := range v.listeners {
		srv := &http.Server{
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { v.serve(l, w, r) }),
			ReadHeaderTimeout: headWithin(s),
			IdleTimeout:       s.Limits.Idle.Or(75 * time.Second),
			MaxHeaderBytes:    int(s.Limits.Head.Or(32 << 10)),
			ErrorLog:          slog.NewLogLogger(v.log.Handler(), slog.LevelDebug),
			TLSNextProto:      map[string]func(*http.Server, *tls.Conn, http.Handler){}, // HTTP/1.1 only
			ConnState:         l.table.Track,
			ConnContext:       clients.WithConn,
		}
		servers = append(servers, srv)
		nl := clients.Accepting(l.Listener, complain)
		if len(l.site.TLS) > 0 {
			nl = tls.NewListener(nl, &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
				GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
					// The first whose names fit is used: keys change with the file, in service.
					return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
						Certificates: v.gen.Load().certs[l.site.Name]}, nil
				}})
		}
		accepting.Go(func() { failed <- srv.Serve(nl) })
		v.log.Info("serving", "listener", l.site.Name, "address", sock.ListenAddr(l.Listener, l.site.Address), "tls", len(l.site.TLS) > 0)
	}
	relieving, stop := context.WithCancel(context.Background())
	defer stop()
	go v.runEviction(relieving)
	var err error
	select {
	case err = <-failed:
		err = fmt.Errorf("accepting: %w", err)
	case <-ctx.Done():
	}
	v.leaving.Store(true)
	ended := v.living.Handle(life.Event{Kind: life.ShutdownRequested})
	v.log.Info("leaving", "most", v.living.Remaining(), "open", v.open.Load())
	if !ended {
		served := make(chan error)
		go func() { accepting.Wait(); close(served) }()
		v.living.RunShutdown(served, v.see)
	}
	for _, srv := range servers {
		srv.Close()
	}
	v.mu.Lock()
	for c := range v.tunnels {
		c.Close()
	}
	v.mu.Unlock()
	v.pressure.Close()
	v.others.end()
	g := v.gen.Load()
	select {
	case g.over <- struct{}{}: // a retirement looks again
	default:
	}
	g.end()
	v.retired.Wait()
	v.access.close()
	v.log.Info("left", "taken", v.book.Accepted.Load(), "answered", v.book.Answered.Load(), "client_left", v.book.ClientLeft.Load(),
		"open", v.book.Open(), "invalid", v.invalidCount.Load())
	return err
}
