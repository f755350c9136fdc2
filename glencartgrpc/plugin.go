// Package glencartgrpc makes a grpc-go client place its calls as a glencart node would: the same decision module, the
// same lists of backends and the same four rules, inside the application's own process.
//
//	plugin, err := glencartgrpc.New(glencartgrpc.Config{Target: "orders", Settings: settings, Discovery: "127.0.0.1:8500"})
//	defer plugin.Close()
//	cc, err := grpc.NewClient("glencart:///orders", append(plugin.DialOptions(),
//		grpc.WithTransportCredentials(creds))...)
//
// A call has exactly one end: the backend's answer; a refusal (ResourceExhausted with google.rpc.RetryInfo), after which
// trying again is harmless; or a failure, which promises nothing. Refused tells them apart. docs/RPC.md has the whole.
package glencartgrpc

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/metadata"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/lograte"
	"glencart/internal/members/follow"
	"glencart/internal/members/registry"
	"glencart/internal/settings"
	"glencart/internal/site"
)

// Config is what a plug-in is told.
type Config struct {
	// Target is the name after glencart:/// that ClientConns dial. Needed.
	Target string
	// Settings is the settings object of the installation as the daemon takes it (JSON): classes, tenants, limits,
	// obligations. Needed, with one class at the least.
	Settings []byte
	// Discovery is the registry's address, HTTP. Empty: Sources, or the application gives lists to SetList.
	Discovery string
	// Sources says where backends come from if that is several places, or DNS, files or fixed boxes: the keys boxes, sources,
	// guard, guard_hold, check and keep of docs/MEMBERS.md, in TOML. It stands in the place of Discovery and SetList.
	Sources string
	// Methods names the class of each method: by full name ("/shop.Orders/Place") or by service ("/shop.Orders/"). The
	// exact name goes first. A method that is not named is of an unsafe class.
	Methods map[string]string
	// ServiceConfig is the application's (JSON), as for grpc.WithDefaultServiceConfig, which has no effect beside a resolver
	// with a config of its own. methodConfig is honoured: timeout, waitForReady, message sizes. What would choose a
	// backend or repeat a call is an error.
	ServiceConfig string
	// Tenant tells whose call it is, by the names of the settings. Default: the outgoing metadata x-customer.
	Tenant func(ctx context.Context, method string) string
	// Key tells what a call is about, where calls have such a key. Default: none.
	Key func(ctx context.Context, method string) (key uint64, has bool)
	// Instances is the operator's upper bound on how many plug-ins and daemons send to these backends at once; 0: that of
	// the settings. It divides what a cold backend may be sent. What backends count themselves is used where it is more.
	Instances int
	// Zone is where this process runs, by the names of the settings. Empty: that of the settings.
	Zone string
	// Seed is for random choice. 0: drawn.
	Seed uint64
	// CutOffAfter is how long the list may be silent before this plug-in counts as cut off; 0: 8 s.
	CutOffAfter time.Duration
	// Log takes a few lines, each explained in docs/RPC.md. nil: none. Its handler must not make calls by this plug-in:
	// decisions wait for it.
	Log *slog.Logger

	trace func(engine.Step) // tests
}

// Box is one backend in a list that the application gives.
type Box struct {
	ID       string    // the same for as long as it is the same machine
	Addr     string    // IP and port
	Zone     string    // by the names of the settings
	Cell     int       // backends of one cell share which idempotency keys they have seen
	Started  time.Time // zero: long ago
	Draining bool      // finishes what it has, wants nothing new
}

// Plugin is one plug-in. Any number may live in a process.
type Plugin struct {
	cfg     Config
	names   settings.Settings
	unnamed int // class of methods that are not named
	exact   map[string]int
	service map[string]int
	methods methodSets
	config  string // the service config that resolvers give to gRPC
	engine  *engine.Engine
	trust   *trust
	member  *follow.Membership // nil: no Sources; on the loop, as are:
	spare   int                // the highest tier of backends that may be sent to
	ending  bool               // the list is written down a last time
	judge   func(seen) verdict // judge, but for tests that plant a mistake
	spoilt  *lograte.Limited

	quit  chan struct{}
	ctx   context.Context // ends first when the plug-in is closed
	end   context.CancelFunc
	keeps sync.WaitGroup // who writes the list down; they need the loop
	wait  sync.WaitGroup
	once  sync.Once
	mute  sync.Map // endpoint: time.Time until which it is not probed, having no such service
	ids   atomic.Uint64
	up    atomic.Int64                    // connections that are up, over all ClientConns
	conn  atomic.Pointer[grpc.ClientConn] // some ClientConn, for probes
	stats counters

	tellMu sync.Mutex // held while resolvers are told

	mu        sync.Mutex
	followers map[*follower]bool
	endpoints []engine.Endpoint // that may be sent to, as told to the followers
	ready     chan struct{}     // closed when there is a backend; made anew when there is none
	instances int               // as told to the Balancer
}

type counters struct {
	calls, served, refused, failed, spoilt, surplus atomic.Int64
}

// Stats counts what a plug-in has done since its start.
type Stats struct {
	Calls, Served, Refused, Failed int64
	SpoiltReports                  int64 // load reports that could not be read
	Surplus                        int64 // calls that gRPC sent again by itself: always 0
}

// Stats returns the counts.
func (p *Plugin) Stats() Stats {
	return Stats{p.stats.calls.Load(), p.stats.served.Load(), p.stats.refused.Load(), p.stats.failed.Load(),
		p.stats.spoilt.Load(), p.stats.surplus.Load()}
}

// New checks a configuration and starts a plug-in. Close ends it.
func New(cfg Config) (*Plugin, error) {
	p, err := prepare(cfg)
	if err != nil {
		return nil, fmt.Errorf("glencartgrpc: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.ctx, p.end = ctx, cancel
	p.wait.Go(func() { p.engine.Run(p.quit) })
	p.wait.Go(func() { p.trust.run(ctx) })
	if p.member != nil {
		p.learn(ctx)
	}
	if cfg.Discovery != "" {
		source := registry.New(cfg.Discovery, p.names, p.cfg.Log, p.trust.heard, func() {
			p.engine.Post(func() { p.engine.Handle(balance.Event{Kind: balance.DiscoveryFailed}) })
		})
		p.engine.Post(func() { p.engine.RequestDiscovery = source.Request })
		if p.names.Config.AskDiscovery {
			source.Request(balance.Watch)
		}
		p.wait.Go(func() { source.Run(ctx) })
	}
	return p, nil
}

// prepare makes a plug-in with nothing running yet.
func prepare(cfg Config) (*Plugin, error) {
	if cfg.Target == "" {
		return nil, errors.New("config: Target: missing: name the target that ClientConns dial, as in glencart:///orders")
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Discovery != "" {
		if _, err := netip.ParseAddrPort(cfg.Discovery); err != nil {
			return nil, fmt.Errorf("config: Discovery: %q is not an IP address with a port", cfg.Discovery)
		}
	}
	if cfg.CutOffAfter == 0 {
		cfg.CutOffAfter = cutOffAfter
	}
	if cfg.CutOffAfter < 0 || cfg.Instances < 0 {
		return nil, errors.New("config: CutOffAfter, Instances: negative: 0 stands for the default")
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	names, err := settings.Parse(cfg.Settings)
	if err != nil {
		return nil, fmt.Errorf("config: Settings: %w", err)
	}
	if len(names.Classes) == 0 {
		return nil, errors.New("config: Settings: classes: none: a class tells the effect, aim and deadline of calls")
	}
	bal := &names.Config
	if cfg.Instances > 0 {
		bal.Instances = cfg.Instances
	}
	if bal.Prices.Probe == 0 {
		bal.Prices.Probe = probePrice
	}
	bal.Index = min(bal.Index, max(bal.Instances, 1)-1)
	if cfg.Zone != "" {
		if bal.Zone = slices.Index(names.Zones, cfg.Zone); bal.Zone < 0 {
			return nil, fmt.Errorf("config: Zone: %q is not one of the settings' zones (%s)", cfg.Zone, strings.Join(names.Zones, ", "))
		}
	}
	p := &Plugin{cfg: cfg, exact: map[string]int{}, service: map[string]int{}, quit: make(chan struct{}), end: func() {},
		followers: map[*follower]bool{}, ready: make(chan struct{}), instances: bal.Instances,
		spoilt: &lograte.Limited{Log: cfg.Log}}
	for _, method := range slices.Sorted(keysOf(cfg.Methods)) {
		class := slices.Index(names.Classes, cfg.Methods[method])
		switch {
		case class < 0:
			return nil, fmt.Errorf("config: Methods: %s: class %q is not one of the settings' classes (%s)", method, cfg.Methods[method],
				strings.Join(names.Classes, ", "))
		case !strings.HasPrefix(method, "/") || strings.Count(method, "/") != 2:
			return nil, fmt.Errorf("config: Methods: %q is neither a method, as in /shop.Orders/Place, nor a service, as in /shop.Orders/", method)
		case strings.HasSuffix(method, "/"):
			p.service[method] = class
		default:
			p.exact[method] = class
		}
	}
	if p.config, err = serviceConfig(cfg.ServiceConfig); err == nil {
		p.methods, err = methodSetsOf(p.config)
	}
	if err != nil {
		return nil, fmt.Errorf("config: ServiceConfig: %w", err)
	}
	p.unnamed = strictest(&names)
	p.names = names
	b, err := balance.New(*bal, cfg.Seed)
	if err != nil {
		return nil, err
	}
	p.engine = engine.New(engine.Config{Balancer: b, Transport: p, Log: cfg.Log, Trace: cfg.trace})
	p.trust, p.judge = newTrust(p), judge
	if cfg.Sources != "" {
		if cfg.Discovery != "" {
			return nil, errors.New("config: Sources, Discovery: both are given: write the registry as one of sources, { registry = \"ADDRESS\" }")
		}
		pool, keep, err := site.ParseMembers("config: Sources", cfg.Target, []byte(cfg.Sources))
		if err != nil {
			return nil, err
		}
		if p.member, err = follow.New(pool, p.names, keep, cfg.Log, p.engine.Clock()); err != nil {
			return nil, fmt.Errorf("config: Sources: %w", err)
		}
		if pool.Check != nil {
			p.member.EnableChecks(pool.Check, nil)
		}
	}
	return p, nil
}

func keysOf(m map[string]string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// strictest returns the class for methods that are not named: the first unsafe one, or one made for them.
func strictest(names *settings.Settings) int {
	classes := names.Config.Classes
	if i := slices.IndexFunc(classes, func(c balance.Class) bool { return c.Effect == balance.Unsafe }); i >= 0 {
		return i
	}
	class := balance.Class{Effect: balance.Unsafe, Points: 1}
	for _, c := range classes {
		class.Aim, class.Deadline = max(class.Aim, c.Aim), max(class.Deadline, c.Deadline)
	}
	names.Classes = append(names.Classes, "unnamed")
	names.Config.Classes = append(classes, class)
	return len(names.Classes) - 1
}

// Close ends the plug-in. Calls that are open end as failed; close the ClientConns first, or after.
func (p *Plugin) Close() {
	p.once.Do(func() {
		p.end()
		marked := make(chan struct{})
		if p.engine.Post(func() { p.ending = true; close(marked) }) {
			<-marked
		}
		p.keeps.Wait()
		close(p.quit)
	})
	p.wait.Wait()
}

// closed tells whether the plug-in has been closed.
func (p *Plugin) closed() bool {
	select {
	case <-p.quit:
		return true
	default:
		return false
	}
}

// DialOptions are what a ClientConn of this plug-in needs, all of them. Interceptors that are given after them see each
// attempt, those that are given before see the call. Retries by gRPC are off: the module decides on each attempt.
func (p *Plugin) DialOptions() []grpc.DialOption {
	connect := p.names.Config.Limits.ConnectTimeout
	if connect <= 0 {
		connect = time.Second
	}
	return []grpc.DialOption{
		grpc.WithResolvers(builder{p}),
		grpc.WithDisableRetry(),
		grpc.WithStatsHandler(watcher{}),
		grpc.WithChainUnaryInterceptor(p.unary),
		grpc.WithChainStreamInterceptor(p.stream),
		// A box that says nothing is given up after the site's own time, and tried again soon.
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: connect, Backoff: backoff.Config{
			BaseDelay: reconnectLeast, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMost}}),
	}
}

// probePrice is the price of a probe where the settings tell none. On HTTP a probe is a cheap look aside; here it is a
// stream of its own, which costs more than the call that it helps: at this price there is one in ten calls.
const probePrice = 0.04

// The wait after a failed connect grows from reconnectLeast to reconnectMost: the module keeps traffic away from what
// fails, so a try now and then costs little, and a box that is back is found soon.
const reconnectLeast, reconnectMost = 50 * time.Millisecond, time.Second

// SetList takes in the whole list of backends. One malformed line spoils the list, and the last one holds.
func (p *Plugin) SetList(boxes []Box) error {
	if p.member != nil {
		return errors.New("glencartgrpc: list: Config.Sources says where backends come from: give one or the other")
	}
	list := engine.List{Complete: true}
	named := map[string]bool{}
	for i, b := range boxes {
		_, err := netip.ParseAddrPort(b.Addr)
		switch {
		case b.ID == "":
			return fmt.Errorf("glencartgrpc: list: line %d: ID: missing", i)
		case named[b.ID]:
			return fmt.Errorf("glencartgrpc: list: %s: named twice", b.ID)
		case err != nil:
			return fmt.Errorf("glencartgrpc: list: %s: Addr: %q is not an IP address with a port", b.ID, b.Addr)
		}
		named[b.ID] = true
		m := engine.Member{ID: b.ID, Addr: b.Addr, Member: balance.Member{Weight: 1, Cell: b.Cell, Zone: slices.Index(p.names.Zones, b.Zone)}}
		if !b.Started.IsZero() {
			m.Launched = time.Duration(b.Started.UnixNano())
		}
		if b.Draining {
			m.Phase = balance.Draining
		}
		list.Members = append(list.Members, m)
	}
	p.trust.heard(list)
	return nil
}

// classOf finds the class of a method.
func (p *Plugin) classOf(method string) int {
	if c, ok := p.exact[method]; ok {
		return c
	}
	if len(p.service) > 0 {
		if c, ok := p.service[method[:strings.LastIndexByte(method, '/')+1]]; ok {
			return c
		}
	}
	return p.unnamed
}

func (p *Plugin) tenantOf(ctx context.Context, method string) int {
	if len(p.names.Tenants) == 0 {
		return 0
	}
	var name string
	if p.cfg.Tenant != nil {
		name = p.cfg.Tenant(ctx, method)
	} else if md, ok := metadata.FromOutgoingContext(ctx); ok {
		if v := md.Get("x-customer"); len(v) > 0 {
			name = v[0]
		}
	}
	return slices.Index(p.names.Tenants, name)
}

// serves tells whether a ClientConn's target is this plug-in's. Without this look a wrong one would wait for a backend
// that never comes.
func (p *Plugin) serves(cc *grpc.ClientConn) error {
	if p.conn.Load() == cc {
		return nil
	}
	_, name, _ := strings.Cut(cc.Target(), ":///")
	if name != p.cfg.Target {
		return badTarget(name, p.cfg.Target)
	}
	p.conn.Store(cc)
	return nil
}

// follow adds or removes a resolver. A new one is told what holds.
func (p *Plugin) follow(r *follower, on bool) {
	p.mu.Lock()
	if !on {
		delete(p.followers, r)
		p.mu.Unlock()
		return
	}
	p.followers[r] = true
	p.mu.Unlock()
	p.tellMu.Lock() // what is told in between is told in order
	defer p.tellMu.Unlock()
	p.mu.Lock()
	to := p.endpoints
	p.mu.Unlock()
	r.tell(to)
}

// publish tells the resolvers which endpoints may be sent to.
func (p *Plugin) publish(to []engine.Endpoint) {
	p.mu.Lock()
	if slices.Equal(to, p.endpoints) {
		p.mu.Unlock()
		return
	}
	had := len(p.endpoints) > 0
	p.endpoints = to
	switch {
	case len(to) > 0 && !had:
		close(p.ready)
	case len(to) == 0 && had:
		p.ready = make(chan struct{})
	}
	rs := make([]*follower, 0, len(p.followers))
	for r := range p.followers {
		rs = append(rs, r)
	}
	p.mu.Unlock()
	p.tellMu.Lock()
	defer p.tellMu.Unlock()
	for _, r := range rs {
		r.tell(to)
	}
}

// someReady is closed while there is a backend that may be sent to.
func (p *Plugin) someReady() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}
