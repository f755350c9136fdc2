package glencartgrpc

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// GuardConfig is what a Guard is told. Zero values: no bound, nothing remembered.
type GuardConfig struct {
	MaxInFlight int            // calls at once; more are answered 'never ran'
	Window      time.Duration  // how long the repeats of a keyed call get the first one's answer
	MaxKeys     int            // keys remembered at once; 0: 10,000. At the bound, keyed calls that are new are turned away
	CPU         func() float64 // part of the process's CPU in use, for reports; nil: not reported
}

// Guard stands in a backend and says what plug-ins can use: that a call never ran (while draining or full), the load
// with each answer, how many instances are connected; and it drops repeats of keyed calls. It is optional.
//
//	guard := glencartgrpc.NewGuard(glencartgrpc.GuardConfig{MaxInFlight: 64})
//	srv := grpc.NewServer(guard.ServerOptions()...)
type Guard struct {
	cfg GuardConfig

	mu       sync.Mutex
	inflight int
	draining bool
	conns    int
	ended    int       // calls that ended in this span
	spanAt   time.Time // when it began
	rate     float64   // of the one before, a second
	keys     map[string]*remembered
	order    list.List // of *remembered, by when the first call came
}

// remembered is a keyed call: the first one, and what it was answered.
type remembered struct {
	key   string
	until time.Time
	done  chan struct{}
	reply any
	err   error

	neverRan bool // set before done is closed: it is forgotten
}

// NewGuard returns a guard for one server.
func NewGuard(cfg GuardConfig) *Guard {
	if cfg.MaxKeys <= 0 {
		cfg.MaxKeys = 10_000
	}
	return &Guard{cfg: cfg, keys: map[string]*remembered{}}
}

// ServerOptions are what a server needs for the guard to stand in it.
func (g *Guard) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ChainUnaryInterceptor(g.unary), grpc.ChainStreamInterceptor(g.stream), grpc.StatsHandler(connCounter{g})}
}

// Drain has the guard turn away what comes from now on. Calls that run go on; call the server's GracefulStop when Idle.
func (g *Guard) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Idle tells whether no call runs.
func (g *Guard) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inflight == 0
}

// enter takes in a call, or tells why not.
func (g *Guard) enter(ctx context.Context) (reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.draining:
		return ReasonDraining
	case ctx.Err() != nil:
		return ReasonLate
	case g.cfg.MaxInFlight > 0 && g.inflight >= g.cfg.MaxInFlight:
		return ReasonFull
	}
	g.inflight++
	return ""
}

// rateSpan is the time over which calls are counted for the reported rate.
const rateSpan = time.Second

func (g *Guard) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inflight--
	g.ended++
	if now := time.Now(); now.Sub(g.spanAt) >= rateSpan {
		if !g.spanAt.IsZero() {
			g.rate = float64(g.ended) / now.Sub(g.spanAt).Seconds()
		}
		g.ended, g.spanAt = 0, now
	}
}

// away is the status of a call that never ran. The trailer goes with it.
func away(reason string) error {
	code := codes.Unavailable
	if reason == ReasonFull {
		code = codes.ResourceExhausted
	}
	return status.Error(code, "never ran: "+reason)
}

// report is the load, as a trailer.
func (g *Guard) report(extra ...string) metadata.MD {
	g.mu.Lock()
	r := &orcapb.OrcaLoadReport{RpsFractional: g.rate, NamedMetrics: map[string]float64{
		MetricInflight: float64(g.inflight), MetricInstances: float64(g.conns)}}
	g.mu.Unlock()
	if g.cfg.CPU != nil {
		r.CpuUtilization = g.cfg.CPU()
	}
	md := metadata.Pairs(extra...)
	if b, err := proto.Marshal(r); err == nil {
		md.Set(reportTrailer, string(b))
	}
	return md
}

func (g *Guard) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if info.FullMethod == probeMethod {
		return handler(ctx, req)
	}
	if reason := g.enter(ctx); reason != "" {
		grpc.SetTrailer(ctx, g.report(NeverRan, reason))
		return nil, away(reason)
	}
	defer g.leave()
	defer func() { grpc.SetTrailer(ctx, g.report()) }()
	if g.cfg.Window > 0 {
		if md, _ := metadata.FromIncomingContext(ctx); len(md.Get(keyHeader)) > 0 {
			return g.once(ctx, info.FullMethod+" "+md.Get(keyHeader)[0], func(ctx context.Context) (any, error) { return handler(ctx, req) })
		}
	}
	return handler(ctx, req)
}

// once runs the first call of a key, and gives its answer to the repeats that come within the window.
func (g *Guard) once(ctx context.Context, key string, run func(context.Context) (any, error)) (any, error) {
	now := time.Now()
	g.mu.Lock()
	for e := g.order.Front(); e != nil; e = g.order.Front() {
		old := e.Value.(*remembered)
		if now.Before(old.until) {
			break
		}
		select {
		case <-old.done:
			g.order.Remove(e)
			delete(g.keys, old.key)
			continue
		default:
		}
		break // it still runs: its repeats wait for it
	}
	first := g.keys[key]
	if first == nil {
		if len(g.keys) >= g.cfg.MaxKeys {
			g.mu.Unlock()
			grpc.SetTrailer(ctx, metadata.Pairs(NeverRan, ReasonFull))
			return nil, away(ReasonFull) // forgetting one early could run it twice
		}
		first = &remembered{key: key, until: now.Add(g.cfg.Window), done: make(chan struct{})}
		g.keys[key] = first
		said := &listener{ServerTransportStream: grpc.ServerTransportStreamFromContext(ctx)}
		place := g.order.PushBack(first)
		g.mu.Unlock()
		defer close(first.done)
		first.err = status.Error(codes.Internal, "the first call with this key did not end") // should run panic
		if said.ServerTransportStream != nil {
			ctx = grpc.NewContextWithServerTransportStream(ctx, said)
		}
		first.reply, first.err = run(ctx)
		if first.err != nil && said.neverRan.Load() {
			// What never ran has no answer to remember, whoever within says so: the next call with this key is the first.
			first.neverRan = true
			g.mu.Lock()
			delete(g.keys, key)
			g.order.Remove(place)
			g.mu.Unlock()
		}
		return first.reply, first.err
	}
	g.mu.Unlock()
	select {
	case <-first.done:
		if first.neverRan {
			return g.once(ctx, key, run)
		}
		return first.reply, first.err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// listener is a call's own stream, as grpc.SetTrailer sees it: it hears an inner handler say that the call never ran.
type listener struct {
	grpc.ServerTransportStream
	neverRan atomic.Bool
}

func (l *listener) SetTrailer(md metadata.MD) error {
	if len(md.Get(NeverRan)) > 0 {
		l.neverRan.Store(true)
	}
	return l.ServerTransportStream.SetTrailer(md)
}

func (g *Guard) stream(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if info.FullMethod == probeMethod {
		return handler(srv, ss)
	}
	if reason := g.enter(ss.Context()); reason != "" {
		ss.SetTrailer(g.report(NeverRan, reason))
		return away(reason)
	}
	defer g.leave()
	defer func() { ss.SetTrailer(g.report()) }()
	return handler(srv, ss)
}

// connCounter counts connections: each instance holds one.
type connCounter struct{ g *Guard }

func (c connCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (c connCounter) HandleRPC(context.Context, stats.RPCStats)                       {}
func (c connCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}
func (c connCounter) HandleConn(_ context.Context, s stats.ConnStats) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	switch s.(type) {
	case *stats.ConnBegin:
		c.g.conns++
	case *stats.ConnEnd:
		c.g.conns--
	}
}
