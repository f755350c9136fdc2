package glencartgrpc

import (
	"context"
	"io"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"glencart/balance"
	"glencart/internal/engine"
)

// unplugged is a plug-in with nothing running.
func unplugged(t *testing.T) *Plugin {
	t.Helper()
	p, err := prepare(Config{Target: "x", Seed: 1, Settings: []byte(`{"nInstances":1,"classes":[{"name":"place","aim":500000000,"deadline":5000000000,"effect":"side_effect","points":5}]}`)})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// What ends a stream at the same instant as something else: what the application hears and what the module is told.
func TestHear(t *testing.T) {
	live := context.Background()
	cancelled, cancel := context.WithCancel(live)
	cancel()
	late, cancel := context.WithDeadline(live, time.Now().Add(-time.Second))
	defer cancel()
	const sent = sawHead | sawMessage
	for name, tc := range map[string]struct {
		ctx     context.Context
		err     codes.Code
		saw     uint32
		stopped bool // by the engine
		due     bool // the call's deadline has passed by the engine's clock
		closed  bool
		want    codes.Code
		told    balance.Status
		refused bool
	}{
		"stopped at the deadline, the context's timer later": {live, codes.Canceled, sent, true, true, false, codes.DeadlineExceeded, balance.Cancelled, false},
		"stopped, its time not over":                         {live, codes.Canceled, sent, true, false, false, codes.Unknown, balance.Cancelled, false},
		"stopped before it left":                             {live, codes.Canceled, 0, true, false, false, codes.Unavailable, balance.Unused, true},
		"gRPC saw our cancel, the context its deadline":      {late, codes.Canceled, sent, false, true, false, codes.DeadlineExceeded, balance.Expired, false},
		"the handler's answer and the deadline":              {late, codes.NotFound, sent | sawAnswer | sawTrailer, false, true, false, codes.NotFound, balance.Delivered, false},
		"the handler's failure and the deadline":             {late, codes.Internal, sent | sawAnswer | sawTrailer, false, true, false, codes.Internal, balance.AppError, false},
		"the handler's failure and a cancel":                 {cancelled, codes.Internal, sent | sawAnswer | sawTrailer, false, false, false, codes.Internal, balance.AppError, false},
		"broken and a cancel":                                {cancelled, codes.Unavailable, sent, false, false, false, codes.Unavailable, balance.Cancelled, false},
		"cancelled":                                          {cancelled, codes.Canceled, sent, false, false, false, codes.Canceled, balance.Cancelled, false},
		"cancelled before it left":                           {cancelled, codes.Canceled, 0, false, false, false, codes.Canceled, balance.Unused, false},
		"the plug-in closes":                                 {live, codes.Canceled, sent, true, false, true, codes.Canceled, balance.Cancelled, false},
		"broken":                                             {live, codes.Unavailable, sent, false, false, false, codes.Unknown, balance.Dropped, false},
		"reset, with a code that offers nothing":             {live, codes.Internal, sent, false, false, false, codes.Internal, balance.Dropped, false},
		"not processed":                                      {live, codes.Unavailable, sent | sawAgain, false, false, false, codes.Unavailable, balance.Shed, true},
		"the application's own mistake":                      {live, codes.Internal, sent | sawMistake, false, false, false, codes.Internal, balance.Cancelled, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := unplugged(t)
			if tc.closed {
				close(p.quit)
			}
			c := p.begin(tc.ctx, "/a.B/C", true)
			if tc.due {
				c.Deadline = p.engine.Now().Add(-time.Millisecond)
			}
			s := &placed{c: c, shut: func() bool { return false }}
			try := &try{stream: true}
			if try.saw.Store(tc.saw); tc.saw != 0 {
				try.state.Store(tryBegun)
			}
			try.stopped.Store(tc.stopped)
			a := &engine.Attempt{Request: &c.Request}
			err := status.Error(tc.err, "x")
			_, v := c.judged(a, try, err)
			told, _ := s.hear(a, try, err)
			if _, refused := Refused(told); status.Code(told) != tc.want || v.status != tc.told || refused != tc.refused {
				t.Errorf("the application hears %v (refused %t), the module %v", told, refused, v.status)
			}
		})
	}
}

// faked is a stream whose messages fail as its function says.
type faked struct {
	grpc.ClientStream
	send func() error
}

func (f faked) SendMsg(any) error { return f.send() }

// opened is a stream on an attempt of an engine that writes down what the module is told.
func opened(t *testing.T) (s *placed, told func() []balance.Status) {
	c := unplugged(t).begin(context.Background(), "/a.B/C", true)
	s = &placed{c: c, t: &try{stream: true}, end: &attemptEnd{}, hold: time.NewTimer(time.Hour), shut: func() bool { return false },
		open: func(context.Context, grpc.CallOption) (grpc.ClientStream, error) {
			t.Error("placed again")
			return nil, io.EOF
		}}
	s.t.Context, s.t.cancel = context.WithCancel(c.ctx)
	s.t.state.Store(tryBegun)
	s.t.set(sawHead | sawMessage)
	b, _ := balance.New(balance.Config{Classes: []balance.Class{{}}}, 1)
	send := &sends{}
	var seen []balance.Status
	e := engine.New(engine.Config{Balancer: b, Transport: send, Trace: func(st engine.Step) {
		if st.Event.Kind == balance.Outcome {
			seen = append(seen, st.Event.Status)
		}
	}})
	e.UpdateBackends(balance.MembersAll, engine.List{Complete: true, Members: []engine.Member{{ID: "b", Addr: "127.0.0.1:1"}}})
	e.Arrive(&c.Request)
	s.at = send.last
	return s, func() []balance.Status { e.Step(); return seen }
}

// A stream that was begun while its first message was on its way is never placed again.
func TestBegunWithinSendMsg(t *testing.T) {
	s, _ := opened(t)
	s.inner = faked{send: func() error { s.start(); return io.EOF }}
	if err := s.SendMsg(nil); err != io.EOF || !s.begun.Load() {
		t.Errorf("%v, begun %t", err, s.begun.Load())
	}
}

// gRPC tells the end of a stream from within SendMsg. The module hears of it once, when SendMsg has told whose doing it was.
func TestEndWithinSendMsg(t *testing.T) {
	for name, tc := range map[string]struct {
		ended, sent error
		want        balance.Status
	}{
		"the application's mistake": {status.Error(codes.Internal, "SendMsg called after CloseSend"), status.Error(codes.Internal, "SendMsg called after CloseSend"), balance.Cancelled},
		"broken":                    {status.Error(codes.Unavailable, "EOF"), io.EOF, balance.Dropped},
	} {
		s, told := opened(t)
		s.start()
		s.inner = faked{send: func() error {
			s.end.err.Store(&tc.ended)
			s.finished(s.at, s.t, s.end)
			return tc.sent
		}}
		err := s.SendMsg(nil)
		if got := told(); err != tc.sent || len(got) != 1 || got[0] != tc.want {
			t.Errorf("%s: %v, the module is told %v, want %v", name, err, got, tc.want)
		}
	}
}

// sends is a transport that keeps the attempt.
type sends struct{ last *engine.Attempt }

func (x *sends) Send(a *engine.Attempt)                     { x.last = a }
func (x *sends) PreventWrite(*engine.Attempt) bool          { return false }
func (x *sends) Cancel(*engine.Attempt)                     {}
func (x *sends) Probe(engine.Endpoint, func(engine.Result)) {}
func (x *sends) CloseIdle(engine.Endpoint)                  {}

// A final answer in words: what is proven never to have run is refused, whatever the module could promise.
func TestWord(t *testing.T) {
	said := &failure{err: status.Error(codes.ResourceExhausted, "the handler's"), said: true}
	broken := &failure{err: status.Error(codes.Unavailable, "EOF")}
	for name, tc := range map[string]struct {
		a       engine.Answer
		want    codes.Code
		refused bool
	}{
		"failed, given up in time":        {engine.Answer{Kind: engine.Failed, Late: true}, codes.DeadlineExceeded, true},
		"failed, it may have run":         {engine.Answer{Kind: engine.Failed, Late: true, MayHaveRun: true}, codes.DeadlineExceeded, false},
		"failed, in the backend's words":  {engine.Answer{Kind: engine.Failed, MayHaveRun: true, Body: said}, codes.ResourceExhausted, false},
		"failed, broken":                  {engine.Answer{Kind: engine.Failed, MayHaveRun: true, Body: broken}, codes.Unknown, false},
		"refused, in the backend's words": {engine.Answer{Kind: engine.Refused, MayHaveRun: true, Body: said, RetryAfter: time.Second}, codes.ResourceExhausted, true},
		"refused, broken, and harmless":   {engine.Answer{Kind: engine.Refused, MayHaveRun: true, Body: broken}, codes.Unavailable, true},
		"doubled":                         {engine.Answer{Kind: engine.Duplicate}, codes.Internal, false},
	} {
		err := unplugged(t).word(tc.a, "place")
		if in, refused := Refused(err); status.Code(err) != tc.want || refused != tc.refused || in != tc.a.RetryAfter {
			t.Errorf("%s: %v, refused %t, come back in %v", name, err, refused, in)
		}
		if _, refused := Refused(status.FromProto(status.Convert(err).Proto()).Err()); refused {
			t.Errorf("%s: believed from a wire", name)
		}
	}
}

// captures is a plug-in's transport that keeps the attempt.
type captures struct {
	*Plugin
	last *engine.Attempt
}

func (x *captures) Send(a *engine.Attempt) { x.last = a; x.Plugin.Send(a) }

// A signal that is left over runs no attempt twice.
func TestAttemptIsTakenOnce(t *testing.T) {
	p := unplugged(t)
	x := &captures{Plugin: p}
	p.engine.Transport = x
	p.engine.UpdateBackends(balance.MembersAll, engine.List{Complete: true, Members: []engine.Member{{ID: "b", Addr: "127.0.0.1:1"}}})
	cc, err := grpc.NewClient("passthrough:///x", grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer cc.Close()
	quit := make(chan struct{})
	go p.engine.Run(quit)
	runs := 0
	_, err = p.call(context.Background(), "/a.B/C", nil, nil, cc, func(ctx context.Context, _ string, _, _ any, _ *grpc.ClientConn, _ ...grpc.CallOption) error {
		runs++
		tryOf(ctx).begin()
		tryOf(ctx).set(sawHead | sawMessage)
		if runs == 1 {
			x.last.Request.Message.(*call).run <- struct{}{}
		}
		return status.Error(codes.Unavailable, "broken")
	}, nil)
	close(quit)
	<-p.engine.Done()
	if runs != 1 || status.Code(err) != codes.Unknown {
		t.Errorf("ran %d times: %v", runs, err)
	}
}

// The end of an attempt that may still be placed again is SendMsg's matter; one whose application is gone is told.
func TestEndBeforeTheFirstMessage(t *testing.T) {
	s, told := opened(t)
	err := status.Error(codes.Unavailable, "not processed")
	s.end.err.Store(&err)
	if s.finished(s.at, s.t, s.end); len(told()) != 0 {
		t.Errorf("told %v: it can't be placed again any more", told())
	}
	s.shut = func() bool { return true }
	if s.finished(s.at, s.t, s.end); len(told()) != 1 {
		t.Errorf("told %v of a stream that nobody will ask for", told())
	}
}

// A connection that went before anything left is no second sending; after the headers it would be one, and what was
// given up meanwhile leaves by no connection.
func TestPickAgain(t *testing.T) {
	to := engine.Endpoint{ID: "b", Addr: "127.0.0.1:1"}
	p := &picker{&obeyer{links: map[engine.Endpoint]*link{to: {state: connectivity.Ready}}}}
	for name, tc := range map[string]struct {
		saw     uint32
		stopped bool
		want    error
	}{
		"the first time":                 {0, false, nil},
		"before anything left":           {sawAgain, false, nil},
		"before anything left, given up": {sawAgain, true, errBarred},
		"after the headers":              {sawAgain | sawHead, false, errAgain},
	} {
		a := &try{to: to, Context: context.Background()}
		a.begin()
		a.saw.Store(tc.saw) // as gRPC has told by now
		a.stopped.Store(tc.stopped)
		_, err := p.Pick(balancer.PickInfo{Ctx: a})
		if err != tc.want || err == nil && a.has(sawAgain) {
			t.Errorf("%s: %v, want %v", name, err, tc.want)
		}
	}
}
