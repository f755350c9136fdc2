package conform

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	chanzpb "google.golang.org/grpc/channelz/grpc_channelz_v1"
	channelz "google.golang.org/grpc/channelz/service"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/reflection"
	reflectpb "google.golang.org/grpc/reflection/grpc_reflection_v1"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/testdata"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// Cases are what applications do with options, security and the state of a ClientConn.
func Cases() []Case {
	all := statusCases()
	all = append(all, optionCases()...)
	all = append(all, configCases()...)
	all = append(all, endCases()...)
	all = append(all, securityCases()...)
	return append(all, serviceCases()...)
}

// reply is a handler that takes one message and gives it back.
func reply(_ any, ss grpc.ServerStream) error {
	var in wrapperspb.StringValue
	if err := ss.RecvMsg(&in); err != nil {
		return err
	}
	return ss.SendMsg(&in)
}

// gives is a handler that ends with an error.
func gives(err error) grpc.StreamHandler {
	return func(_ any, ss grpc.ServerStream) error {
		ss.RecvMsg(new(wrapperspb.StringValue))
		return err
	}
}

// hangs is a handler that waits until its call is over.
func hangs(_ any, ss grpc.ServerStream) error { <-ss.Context().Done(); return ss.Context().Err() }

// unary makes one call and writes down its end.
func unary(ctx context.Context, cc *grpc.ClientConn, s *Seen, method, text string, opts ...grpc.CallOption) error {
	var out wrapperspb.StringValue
	err := cc.Invoke(ctx, method, wrapperspb.String(text), &out, opts...)
	s.Err(fmt.Sprintf("unary, %d bytes back", len(out.Value)), err)
	return err
}

// once is a case of one unary call.
func once(text string, opts ...grpc.CallOption) func(context.Context, *grpc.ClientConn, *Seen) {
	return func(ctx context.Context, cc *grpc.ClientConn, s *Seen) { unary(ctx, cc, s, PlaceMethod, text, opts...) }
}

// code is a case of one unary call of which the code alone counts: the words name addresses and times.
func code(opts ...grpc.CallOption) func(context.Context, *grpc.ClientConn, *Seen) {
	return func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
		s.Note("%v", status.Code(cc.Invoke(ctx, PlaceMethod, wrapperspb.String("x"), new(wrapperspb.StringValue), opts...)))
	}
}

// statusCases: every code that a handler can give, for safe and unsafe classes; a stream's too.
func statusCases() (all []Case) {
	huge := status.New(codes.ResourceExhausted, "much to say")
	huge, _ = huge.WithDetails(&errdetails.DebugInfo{Detail: strings.Repeat("x", 1<<20)})
	ends := map[string]error{"1 MB of details": huge.Err(), "no status": errors.New("plain"), "a context's": context.Canceled}
	for c := 1; c <= 17; c++ {
		ends[fmt.Sprint("code ", c)] = End(c)
	}
	for _, name := range slices.Sorted(maps.Keys(ends)) {
		for _, method := range []string{ReadMethod, PlaceMethod} {
			all = append(all, Case{Name: name + " by " + method, Handler: gives(ends[name]), Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
				var trailer metadata.MD
				unary(ctx, cc, s, method, "x", grpc.Trailer(&trailer))
				st, err := cc.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, method)
				if err == nil {
					st.SendMsg(wrapperspb.String("x"))
					st.CloseSend()
					err = st.RecvMsg(new(wrapperspb.StringValue))
				}
				s.Err("stream", err)
			}})
		}
	}
	return all
}

func optionCases() []Case {
	big := strings.Repeat("m", 5<<20)
	order := func(s *Seen) []grpc.DialOption {
		return []grpc.DialOption{
			grpc.WithChainUnaryInterceptor(func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, next grpc.UnaryInvoker, opts ...grpc.CallOption) error {
				err := next(metadata.AppendToOutgoingContext(ctx, "inner", "yes"), method, req, reply, cc, opts...)
				s.Err("interceptor", err)
				return err
			}),
			grpc.WithStatsHandler(&events{s: s})}
	}
	inner := &Seen{}
	return []Case{
		{Name: "header, trailer, peer, OnFinish", Handler: Handle, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			for _, script := range []string{"head recv send trail end=0", "head recv trail end=5", "trail end=13"} {
				var head, trail metadata.MD
				var p peer.Peer
				var done []codes.Code
				unary(metadata.AppendToOutgoingContext(ctx, "script", script), cc, s, PlaceMethod, "x", grpc.Header(&head), grpc.Trailer(&trail),
					grpc.Peer(&p), grpc.OnFinish(func(err error) { done = append(done, status.Code(err)) }))
				s.MD("header", head, "h", "h-bin")
				s.MD("trailer", trail, "t", "t-bin")
				s.Note("peer %t, security %T, finished %v", p.Addr != nil, p.AuthInfo, done)
			}
		}},
		{Name: "an answer too large", Handler: reply, Run: once("12345678", grpc.MaxCallRecvMsgSize(4))},
		{Name: "an answer too large by default", Handler: func(_ any, ss grpc.ServerStream) error { return ss.SendMsg(wrapperspb.String(big)) }, Run: once("x")},
		{Name: "a message too large", Handler: reply, Run: once("12345678", grpc.MaxCallSendMsgSize(4))},
		{Name: "5 MB both ways", Handler: reply, Server: []grpc.ServerOption{grpc.MaxRecvMsgSize(8 << 20)}, Run: once(big, grpc.MaxCallRecvMsgSize(8<<20))},
		{Name: "gzip", Handler: reply, Run: once("12345678", grpc.UseCompressor("gzip"))},
		{Name: "a compressor that is not there", Handler: reply, Run: once("x", grpc.UseCompressor("brotli"))},
		{Name: "a content subtype that is not there", Handler: reply, Run: once("x", grpc.CallContentSubtype("cbor"))},
		{Name: "a message that is none", Handler: reply, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			s.Err("unary", cc.Invoke(ctx, PlaceMethod, "text", new(wrapperspb.StringValue)))
		}},
		{Name: "credentials of a call without security", Handler: reply, Run: once("x", grpc.PerRPCCredentials(token{secure: true}))},
		{Name: "credentials of a call that fail", Handler: reply, Run: once("x", grpc.PerRPCCredentials(token{err: errors.New("no token")}))},
		{Name: "credentials of a call that fail with a status", Handler: reply, Run: once("x", grpc.PerRPCCredentials(token{err: status.Error(codes.PermissionDenied, "expired")}))},
		{Name: "metadata as the handler sees it", Handler: echoMetadata, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			ctx = metadata.AppendToOutgoingContext(ctx, "k", "v1", "k", "v2", "bin-bin", "\x00\xfe\xff", "large", strings.Repeat("l", 64<<10))
			var out wrapperspb.StringValue
			err := cc.Invoke(ctx, PlaceMethod, wrapperspb.String("x"), &out, grpc.PerRPCCredentials(token{}))
			s.Err(out.Value, err)
		}},
		{Name: "metadata that is not allowed", Handler: reply, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			unary(metadata.AppendToOutgoingContext(ctx, "k", "a\x00b"), cc, s, PlaceMethod, "x")
		}},
		{Name: "interceptors and stats handlers of the application", Handler: reply, Dial: Plain(order(inner)...), Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			inner.lines = nil
			unary(ctx, cc, s, PlaceMethod, "x")
			inner.mu.Lock()
			defer inner.mu.Unlock()
			slices.Sort(inner.lines) // trailers are told by another goroutine than messages
			s.Note("%q", inner.lines)
		}},
		{Name: "keepalive", Handler: reply, Dial: Plain(grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, PermitWithoutStream: true})),
			Server: []grpc.ServerOption{grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionAge: 50 * time.Millisecond, MaxConnectionAgeGrace: time.Second})},
			Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) { // the server ends connections, no call does
				for range 12 {
					unary(ctx, cc, s, PlaceMethod, "x")
					time.Sleep(10 * time.Millisecond)
				}
			}},
		{Name: "both sides talk at once", Handler: func(_ any, ss grpc.ServerStream) error { // writes much before it reads
			for range 64 {
				if err := ss.SendMsg(wrapperspb.String(big[:32<<10])); err != nil {
					return err
				}
			}
			return ss.RecvMsg(new(wrapperspb.StringValue))
		}, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			st, err := cc.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, PlaceMethod)
			if err != nil {
				s.Err("new stream", err)
				return
			}
			var wg sync.WaitGroup
			wg.Go(func() { s.Err("sent", st.SendMsg(wrapperspb.String(big[:2<<20]))); st.CloseSend() })
			n := 0
			for err = error(nil); err == nil; n++ {
				err = st.RecvMsg(new(wrapperspb.StringValue))
			}
			wg.Wait()
			s.Note("%d messages, then %v", n-1, err)
		}},
	}
}

// configCases: a service config is honoured in its times, waits and sizes.
func configCases() []Case {
	config := `{"methodConfig":[{"name":[{"service":"conform.Place"}],"timeout":"0.050s"},
	 {"name":[{"service":"conform.Place","method":"Small"}],"maxRequestMessageBytes":4,"maxResponseMessageBytes":4},
	 {"name":[{}],"waitForReady":true}]}`
	return []Case{
		{Name: "timeout of a method config", Config: config, Handler: hangs, Run: once("x")},
		{Name: "timeout of a method config, stream", Config: config, Handler: hangs, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			st, err := cc.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, PlaceMethod)
			if err == nil {
				st.SendMsg(wrapperspb.String("x"))
				err = st.RecvMsg(new(wrapperspb.StringValue))
			}
			s.Err("stream", err)
		}},
		{Name: "sizes of a method config", Config: config, Handler: reply, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			unary(ctx, cc, s, "/conform.Place/Small", "12345678")
			unary(ctx, cc, s, "/conform.Place/Small", "")
		}},
		{Name: "wait for ready of a method config", Config: config, Absent: true, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			ctx, cancel := context.WithTimeout(ctx, 150*time.Millisecond)
			defer cancel()
			s.Err("waits", cc.Invoke(ctx, ReadMethod, wrapperspb.String("x"), new(wrapperspb.StringValue)))
			s.Note("%v", status.Code(cc.Invoke(ctx, "/conform.Place/Small", wrapperspb.String(""), new(wrapperspb.StringValue))))
		}},
	}
}

// endCases: deadline, cancel and closing, before, in and after a call.
func endCases() []Case {
	in := func(end func(cancel func(), cc *grpc.ClientConn)) func(context.Context, *grpc.ClientConn, *Seen) {
		return func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			for _, kind := range []string{"unary", "stream"} {
				ctx, cancel := context.WithCancel(ctx)
				time.AfterFunc(30*time.Millisecond, func() { end(cancel, cc) })
				if kind == "unary" {
					unary(ctx, cc, s, PlaceMethod, "x")
				} else if st, err := cc.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, PlaceMethod); err != nil {
					s.Err("new stream", err)
				} else {
					s.Err("sent", st.SendMsg(wrapperspb.String("x")))
					s.Err("received", st.RecvMsg(new(wrapperspb.StringValue)))
					if err := st.SendMsg(wrapperspb.String("x")); err == nil || err != io.EOF {
						s.Note("sent after the end: %v", err)
					}
				}
				cancel()
			}
		}
	}
	past := func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
		done, cancel := context.WithCancel(ctx)
		cancel()
		late, cancel := context.WithDeadline(ctx, time.Now().Add(-time.Second))
		defer cancel()
		for _, ctx := range []context.Context{done, late} {
			unary(ctx, cc, s, PlaceMethod, "x")
			_, err := cc.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, PlaceMethod)
			s.Err("new stream", err)
		}
	}
	short := func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
		unary(ctx, cc, s, PlaceMethod, "x") // a connection is there
		ctx, cancel := context.WithTimeout(ctx, 40*time.Millisecond)
		defer cancel()
		s.Note("%v", status.Code(cc.Invoke(metadata.AppendToOutgoingContext(ctx, "script", "hang end=4"), PlaceMethod, wrapperspb.String("x"), new(wrapperspb.StringValue))))
	}
	return []Case{
		{Name: "cancel within a call", Handler: hangs, Run: in(func(cancel func(), _ *grpc.ClientConn) { cancel() })},
		{Name: "closing within a call", Handler: hangs, Run: in(func(_ func(), cc *grpc.ClientConn) { cc.Close() })},
		{Name: "over before it begins", Handler: reply, Run: past},
		{Name: "over before it begins, nobody there", Absent: true, Run: past},
		{Name: "deadline within a call", Handler: Handle, Run: short},
		{Name: "cancelled streams are not held against the box", Handler: reply, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			for i := range 60 {
				ctx, cancel := context.WithCancel(ctx)
				st, err := cc.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, PlaceMethod)
				if err != nil {
					s.Err("new stream", err)
					cancel()
					continue
				}
				if st.SendMsg(wrapperspb.String("x")); i%2 == 0 {
					st.RecvMsg(new(wrapperspb.StringValue))
				} else if i%3 == 0 {
					st.SendMsg("no message") // the application's mistake, no fault of the box either
				}
				cancel()
				st.RecvMsg(new(wrapperspb.StringValue))
			}
			unary(ctx, cc, s, PlaceMethod, "x")
		}},
		{Name: "nobody listens", Absent: true, Run: code()},
		{Name: "nobody listens, waits for ready", Absent: true, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			ctx, cancel := context.WithTimeout(ctx, 150*time.Millisecond)
			defer cancel()
			code(grpc.WaitForReady(true))(ctx, cc, s)
		}},
		{Name: "the box drops the connection within an unsafe call", Handler: reply, Run: code(),
			Server: []grpc.ServerOption{grpc.MaxHeaderListSize(8)}},
		{Name: "state of the ClientConn", Handler: reply, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			s.Note("%v", cc.GetState())
			cc.Connect()
			for st := cc.GetState(); st != connectivity.Ready && cc.WaitForStateChange(ctx, st); st = cc.GetState() {
			}
			s.Note("%v", cc.GetState())
			unary(ctx, cc, s, PlaceMethod, "x")
			cc.Close()
			s.Note("%v", cc.GetState())
			unary(ctx, cc, s, PlaceMethod, "x")
			_, err := cc.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, PlaceMethod)
			s.Err("new stream", err)
		}},
		{Name: "state with nobody there", Absent: true, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			cc.Connect()
			for st := cc.GetState(); st != connectivity.TransientFailure && cc.WaitForStateChange(ctx, st); st = cc.GetState() {
			}
			s.Note("%v", cc.GetState())
		}},
	}
}

func securityCases() []Case {
	pool := func(name string) *x509.CertPool {
		pem, _ := os.ReadFile(testdata.Path("x509/" + name + "_ca_cert.pem"))
		p := x509.NewCertPool()
		p.AppendCertsFromPEM(pem)
		return p
	}
	pair := func(name string) []tls.Certificate {
		c, err := tls.LoadX509KeyPair(testdata.Path("x509/"+name+"_cert.pem"), testdata.Path("x509/"+name+"_key.pem"))
		if err != nil {
			return nil
		}
		return []tls.Certificate{c}
	}
	server := func(c *tls.Config) []grpc.ServerOption {
		c.Certificates = pair("server1")
		return []grpc.ServerOption{grpc.Creds(credentials.NewTLS(c))}
	}
	dial := func(c *tls.Config, opts ...grpc.DialOption) []grpc.DialOption {
		return append(opts, grpc.WithTransportCredentials(credentials.NewTLS(c)))
	}
	mutual := &tls.Config{ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool("client")}
	secure := func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
		var p peer.Peer
		unary(ctx, cc, s, PlaceMethod, "x", grpc.Peer(&p), grpc.PerRPCCredentials(token{secure: true}))
		info, _ := p.AuthInfo.(credentials.TLSInfo)
		s.Note("%q", info.State.ServerName)
	}
	const name = "x.test.example.com"
	return []Case{
		{Name: "TLS", Handler: reply, Server: server(&tls.Config{}), Dial: dial(&tls.Config{RootCAs: pool("server"), ServerName: name}), Run: secure},
		{Name: "TLS, authority of its own", Handler: reply, Server: server(&tls.Config{}), Dial: dial(&tls.Config{RootCAs: pool("server")}, grpc.WithAuthority(name)), Run: secure},
		{Name: "TLS, an authority that nobody vouches for", Handler: reply, Server: server(&tls.Config{}), Dial: dial(&tls.Config{RootCAs: pool("client"), ServerName: name}), Run: code()},
		{Name: "TLS to a server without", Handler: reply, Dial: dial(&tls.Config{RootCAs: pool("server"), ServerName: name}), Run: code()},
		{Name: "mutual TLS", Handler: reply, Server: server(mutual.Clone()), Dial: dial(&tls.Config{RootCAs: pool("server"), ServerName: name, Certificates: pair("client1")}), Run: secure},
		{Name: "mutual TLS without a certificate", Handler: reply, Server: server(mutual.Clone()), Dial: dial(&tls.Config{RootCAs: pool("server"), ServerName: name}), Run: code()},
		{Name: "authority of the target", Handler: func(_ any, ss grpc.ServerStream) error {
			md, _ := metadata.FromIncomingContext(ss.Context())
			ss.RecvMsg(new(wrapperspb.StringValue))
			return status.Error(codes.NotFound, strings.SplitN(md.Get(":authority")[0], ":", 2)[0])
		}, Run: once("x"), Differs: "the authority is the target's name, as with any resolver: WithAuthority or a ServerName sets another"},
	}
}

// serviceCases: services of grpc-go's own.
func serviceCases() []Case {
	return []Case{
		{Name: "health watching", Serve: func(srv *grpc.Server) {
			h := health.NewServer()
			grpc_health_v1.RegisterHealthServer(srv, h)
		}, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			w, err := grpc_health_v1.NewHealthClient(cc).Watch(ctx, &grpc_health_v1.HealthCheckRequest{})
			if err == nil {
				var r *grpc_health_v1.HealthCheckResponse
				r, err = w.Recv()
				s.Note("%v", r.GetStatus())
			}
			s.Err("watch", err)
			_, err = grpc_health_v1.NewHealthClient(cc).Check(ctx, &grpc_health_v1.HealthCheckRequest{Service: "nobody"})
			s.Err("check", err)
		}},
		{Name: "reflection", Serve: func(srv *grpc.Server) { reflection.Register(srv) }, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			st, err := reflectpb.NewServerReflectionClient(cc).ServerReflectionInfo(ctx)
			if err != nil {
				s.Err("reflection", err)
				return
			}
			s.Err("sent", st.Send(&reflectpb.ServerReflectionRequest{MessageRequest: &reflectpb.ServerReflectionRequest_ListServices{}}))
			r, err := st.Recv()
			s.Err(fmt.Sprint(r.GetListServicesResponse().GetService()), err)
			st.CloseSend()
			_, err = st.Recv()
			s.Note("%v", err)
		}},
		{Name: "channelz", Handler: reply, Serve: func(srv *grpc.Server) { channelz.RegisterChannelzServiceToServer(srv) }, Run: func(ctx context.Context, cc *grpc.ClientConn, s *Seen) {
			for range 3 {
				unary(ctx, cc, s, PlaceMethod, "x")
			}
			r, err := chanzpb.NewChannelzClient(cc).GetTopChannels(ctx, &chanzpb.GetTopChannelsRequest{})
			s.Err("top channels", err)
			for _, c := range r.GetChannel() {
				if c.Data.Target == cc.Target() {
					s.Note("%v, %d succeeded, %d failed, %d subchannels", c.Data.State.State, c.Data.CallsSucceeded, c.Data.CallsFailed, len(c.SubchannelRef))
				}
			}
		}},
	}
}

// token is a call's credentials.
type token struct {
	secure bool
	err    error
}

func (t token) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{"authorization": "bearer x"}, t.err
}
func (t token) RequireTransportSecurity() bool { return t.secure }

// echoMetadata answers with what it was sent, less what names the connection and the time.
func echoMetadata(_ any, ss grpc.ServerStream) error {
	md, _ := metadata.FromIncomingContext(ss.Context())
	ss.RecvMsg(new(wrapperspb.StringValue))
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(md)) {
		if k != ":authority" && k != "grpc-timeout" {
			fmt.Fprintf(&b, "%s=%s ", k, short(fmt.Sprintf("%q", md[k])))
		}
	}
	return ss.SendMsg(wrapperspb.String(b.String()))
}

// events is a stats handler that writes down the order of events of a call.
type events struct{ s *Seen }

func (e *events) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (e *events) HandleRPC(_ context.Context, r stats.RPCStats) {
	if _, ok := r.(*stats.DelayedPickComplete); !ok { // comes only if there was no connection yet
		e.s.Note("%T", r)
	}
}
func (e *events) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (e *events) HandleConn(context.Context, stats.ConnStats)                       {}
