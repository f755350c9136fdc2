// Package grpcbox is a gRPC backend over package box. Its service, standin.Box, is worded by hand, with
// google.protobuf.StringValue both ways: the value names the call in the ledger.
package grpcbox

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/orca"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"glencart/glencartgrpc"
	"glencart/internal/standin/box"
)

// Methods of the service.
const (
	Read  = "/standin.Box/Read"  // meant to be safe
	Place = "/standin.Box/Place" // meant to be unsafe
	Key   = "/standin.Box/Key"   // meant to be keyed
	Down  = "/standin.Box/Down"  // a stream from the server: three messages
	Up    = "/standin.Box/Up"    // a stream to the server
	Chat  = "/standin.Box/Chat"  // both ways: echoes
)

// Descriptions of the streams.
var (
	DownDesc = &grpc.StreamDesc{StreamName: "Down", ServerStreams: true}
	UpDesc   = &grpc.StreamDesc{StreamName: "Up", ClientStreams: true}
	ChatDesc = &grpc.StreamDesc{StreamName: "Chat", ServerStreams: true, ClientStreams: true}
)

// Server is one backend.
type Server struct {
	*box.Box
	Addr   string
	Guard  *glencartgrpc.Guard // nil where Config.Plain
	Asked  atomic.Int64        // reports out of band so far
	Spoilt bool                // load reports are garbage
	cfg    Config
	extra  []grpc.ServerOption

	served atomic.Int64

	mu        sync.Mutex
	srv       *grpc.Server
	counted   int64
	countedAt time.Time
	qps       float64
}

// Config is how a server behaves beside its box.
type Config struct {
	box.Config
	Plain  bool // no Guard: a service that knows nothing of this project
	OOB    bool // reports out of band too, for probes
	Window time.Duration
}

// Start starts a server on a free port. It ends with the test.
func Start(t testing.TB, cfg Config, ledger *box.Ledger, opts ...grpc.ServerOption) *Server {
	t.Helper()
	s := &Server{Box: box.New(cfg.Config, ledger), cfg: cfg, extra: opts}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Addr = l.Addr().String()
	s.serve(l)
	t.Cleanup(s.Kill)
	return s
}

func (s *Server) serve(l net.Listener) {
	opts := append([]grpc.ServerOption(nil), s.extra...)
	s.Guard = nil
	if !s.cfg.Plain {
		s.Guard = glencartgrpc.NewGuard(glencartgrpc.GuardConfig{Window: s.cfg.Window, CPU: func() float64 {
			held, _ := s.Held()
			return float64(min(held, s.Cores)) / float64(s.Cores)
		}})
		opts = append(opts, s.Guard.ServerOptions()...)
	}
	srv := grpc.NewServer(opts...)
	srv.RegisterService(&desc, s)
	if s.cfg.OOB {
		orca.Register(srv, orca.ServiceOptions{ServerMetricsProvider: s, MinReportingInterval: reportEvery})
	}
	s.mu.Lock()
	s.srv = srv
	s.mu.Unlock()
	go srv.Serve(l)
}

// ServerMetrics is the report out of band: what weighted_round_robin wants, and the calls held.
func (s *Server) ServerMetrics() *orca.ServerMetrics {
	s.Asked.Add(1)
	held, _ := s.Held()
	s.mu.Lock()
	if now := time.Now(); now.Sub(s.countedAt) >= reportEvery {
		n := s.served.Load()
		s.qps = float64(n-s.counted) / now.Sub(s.countedAt).Seconds()
		s.counted, s.countedAt = n, now
	}
	qps := s.qps
	s.mu.Unlock()
	return &orca.ServerMetrics{CPUUtilization: float64(min(held, s.Cores)) / float64(s.Cores), MemUtilization: -1, AppUtilization: -1,
		QPS: qps, EPS: -1, NamedMetrics: map[string]float64{glencartgrpc.MetricInflight: float64(held)}}
}

// reportEvery is the least time between two reports out of band.
const reportEvery = 100 * time.Millisecond

// Kill ends the server at once, with its connections. The port may be taken again by Restart.
func (s *Server) Kill() {
	s.mu.Lock()
	srv := s.srv
	s.mu.Unlock()
	srv.Stop()
}

// Restart has a killed server start again, cold, at its address.
func (s *Server) Restart(t testing.TB) {
	t.Helper()
	var l net.Listener
	var err error
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if l, err = net.Listen("tcp", s.Addr); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	s.Start()
	s.serve(l)
}

// GracefulStop sends GOAWAY, and ends when the calls have.
func (s *Server) GracefulStop() {
	s.mu.Lock()
	srv := s.srv
	s.mu.Unlock()
	srv.GracefulStop()
}

// do works on a call, and words its end.
func (s *Server) do(ctx context.Context, call string) error {
	switch s.Do(ctx, call, 0) {
	case box.OK:
		s.served.Add(1)
		return nil
	case box.Error:
		return status.Error(codes.Internal, "failed on request")
	case box.Full:
		return s.away(ctx, codes.ResourceExhausted, glencartgrpc.ReasonFull)
	case box.Draining:
		return s.away(ctx, codes.Unavailable, glencartgrpc.ReasonDraining)
	case box.Fallen:
		return status.Error(codes.Unavailable, "down")
	}
	return status.FromContextError(ctx.Err()).Err()
}

func (s *Server) away(ctx context.Context, code codes.Code, reason string) error {
	if !s.cfg.Plain {
		grpc.SetTrailer(ctx, metadata.Pairs(glencartgrpc.NeverRan, reason))
	}
	return status.Error(code, "never ran: "+reason)
}

func (s *Server) unary(ctx context.Context, in *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
	if s.Spoilt {
		defer grpc.SetTrailer(ctx, metadata.Pairs("endpoint-load-metrics-bin", "\xff\xff\xff"))
	}
	if in.Value == "missing" {
		return nil, status.Error(codes.NotFound, "no such thing")
	}
	if err := s.do(ctx, in.Value); err != nil {
		return nil, err
	}
	return wrapperspb.String(s.ID), nil
}

func (s *Server) down(_ any, ss grpc.ServerStream) error {
	var in wrapperspb.StringValue
	if err := ss.RecvMsg(&in); err != nil {
		return err
	}
	if err := s.do(ss.Context(), in.Value); err != nil {
		return err
	}
	for range 3 {
		if err := ss.SendMsg(wrapperspb.String(s.ID)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) up(_ any, ss grpc.ServerStream) error {
	name := ""
	for {
		var in wrapperspb.StringValue
		err := ss.RecvMsg(&in)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		name = in.Value
	}
	if err := s.do(ss.Context(), name); err != nil {
		return err
	}
	return ss.SendMsg(wrapperspb.String(s.ID))
}

func (s *Server) chat(_ any, ss grpc.ServerStream) error {
	for {
		var in wrapperspb.StringValue
		err := ss.RecvMsg(&in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.do(ss.Context(), in.Value); err != nil {
			return err
		}
		if err := ss.SendMsg(&in); err != nil {
			return err
		}
	}
}

func method(srv any, ctx context.Context, dec func(any) error, mid grpc.UnaryServerInterceptor, full string) (any, error) {
	in := new(wrapperspb.StringValue)
	if err := dec(in); err != nil {
		return nil, err
	}
	s := srv.(*Server)
	if mid == nil {
		return s.unary(ctx, in)
	}
	return mid(ctx, in, &grpc.UnaryServerInfo{Server: srv, FullMethod: full},
		func(ctx context.Context, req any) (any, error) { return s.unary(ctx, req.(*wrapperspb.StringValue)) })
}

func unaryDesc(name, full string) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, dec func(any) error, mid grpc.UnaryServerInterceptor) (any, error) {
		return method(srv, ctx, dec, mid, full)
	}}
}

func streamOf(f func(*Server, any, grpc.ServerStream) error) grpc.StreamHandler {
	return func(srv any, ss grpc.ServerStream) error { return f(srv.(*Server), srv, ss) }
}

var desc = grpc.ServiceDesc{
	ServiceName: "standin.Box",
	HandlerType: (*any)(nil),
	Methods:     []grpc.MethodDesc{unaryDesc("Read", Read), unaryDesc("Place", Place), unaryDesc("Key", Key)},
	Streams: []grpc.StreamDesc{
		{StreamName: "Down", ServerStreams: true, Handler: streamOf((*Server).down)},
		{StreamName: "Up", ClientStreams: true, Handler: streamOf((*Server).up)},
		{StreamName: "Chat", ServerStreams: true, ClientStreams: true, Handler: streamOf((*Server).chat)},
	},
}
