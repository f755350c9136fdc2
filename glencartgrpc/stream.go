package glencartgrpc

import (
	"context"
	"io"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"glencart/balance"
	"glencart/internal/engine"
)

// stream is the interceptor for streams of all three kinds.
func (p *Plugin) stream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	if tryOf(ctx) != nil {
		return streamer(ctx, desc, cc, method, opts...)
	}
	if err := p.serves(cc); err != nil {
		return nil, err
	}
	c := p.begin(ctx, method, true)
	if c.keyless() {
		return nil, status.Errorf(codes.InvalidArgument, "glencartgrpc: %s is of the keyed class %s: it needs the metadata %s", method, c.class, keyHeader)
	}
	if err := p.awaitReady(ctx, opts); err != nil {
		return nil, err
	}
	opts, finish := callOptions(opts)
	s := &placed{c: c, desc: desc, finish: finish,
		open: func(ctx context.Context) (grpc.ClientStream, error) { return streamer(ctx, desc, cc, method, opts...) },
		shut: func() bool { return cc.GetState() == connectivity.Shutdown }}
	if !p.engine.Place(&c.Request) {
		return nil, closedStatus()
	}
	s.mu.Lock() // against hold, which may ring at once
	err := s.place()
	s.mu.Unlock()
	if err != nil {
		for _, f := range finish {
			f(err)
		}
		return nil, err
	}
	return s, nil
}

// placed is a stream of the application. Until its first message is out it may be placed again; then it is its one
// attempt's.
type placed struct {
	c      *call
	desc   *grpc.StreamDesc
	open   func(context.Context) (grpc.ClientStream, error)
	shut   func() bool // the ClientConn is closed
	finish []func(error)

	mu    sync.Mutex // held while the stream may move
	begun bool
	final error // what RecvMsg returns, where no attempt is left to ask

	inner grpc.ClientStream // set before begun, and not after
	at    *engine.Attempt
	t     *try
	once  *sync.Once // tells the engine how the attempt ended
	hold  *time.Timer

	answered atomic.Bool // a message has come
}

// place waits for the engine's word on where the stream goes, and opens it there.
func (s *placed) place() error {
	c, p := s.c, s.c.p
	done := c.ctx.Done()
	for {
		select {
		case a := <-c.run:
			t := a.State.(*try)
			inner, err := s.open(t)
			if err == nil {
				s.inner, s.at, s.t, s.once = inner, a, t, new(sync.Once)
				// The application may drop the stream by ending its context, or by closing the ClientConn (Plugin.follow).
				// gRPC's own context of the stream is not asked for until an answer has begun: asking gives up gRPC's word
				// on whether the stream was processed.
				end := s.abandon(a, t, s.once)
				context.AfterFunc(t, end)
				p.streaming(s, end)
				// One that the application opens and leaves alone is its own before the class's deadline would end it.
				if s.hold != nil {
					s.hold.Stop()
				}
				s.hold = time.AfterFunc(time.Until(c.Deadline)*3/4, s.start)
				return nil
			}
			v, res := c.ended(a, t, err)
			if v.answer || v.local || s.shut() {
				c.gone()
				return err
			}
			a.Done(res)
		case ans := <-c.Reply:
			return p.word(ans, c.class)
		case <-done:
			if c.ctx.Err() == context.DeadlineExceeded {
				done = nil
				continue
			}
			c.gone()
			return status.FromContextError(c.ctx.Err()).Err()
		case <-p.engine.Done():
			return closedStatus()
		}
	}
}

// abandon ends an attempt that nobody will ask for its end.
func (s *placed) abandon(a *engine.Attempt, t *try, once *sync.Once) func() {
	return func() {
		once.Do(func() { s.tell(a, t, status.FromContextError(context.Canceled).Err()) })
	}
}

// tell ends an attempt at the engine, and returns what the application hears of it.
func (s *placed) tell(a *engine.Attempt, t *try, err error) error {
	c := s.c
	c.p.streaming(s, nil)
	v, res := c.ended(a, t, err)
	told := err
	switch {
	case v.answer || v.local:
		res.Status = balance.Delivered
		if v.local {
			res.Status = balance.Revoked
		}
		c.p.stats.served.Add(1)
	case s.c.ctx.Err() == context.Canceled:
	case v.status.NeverRan():
		told = c.p.word(engine.Answer{Kind: engine.Refused}, c.class)
	default:
		told = c.p.word(engine.Answer{Kind: engine.Failed, Begun: true, Late: v.status == balance.Expired, Body: &failure{err}}, c.class)
	}
	a.Done(res)
	for _, f := range s.finish {
		f(told)
	}
	return told
}

// start has the stream belong to the application: it moves no more.
func (s *placed) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started()
}

func (s *placed) started() {
	if !s.begun && s.final == nil {
		s.begun = true
		s.hold.Stop()
		s.at.Started()
	}
}

func (s *placed) SendMsg(m any) error {
	s.mu.Lock()
	if s.begun || s.final != nil {
		s.mu.Unlock()
		if s.final != nil {
			return io.EOF
		}
		return s.inner.SendMsg(m)
	}
	defer s.mu.Unlock()
	for {
		err := s.inner.SendMsg(m)
		if err == nil {
			s.started()
			return nil
		}
		why := err
		if err == io.EOF {
			if s.t.has(sawAnswer) {
				s.started() // it has answered already: RecvMsg has the rest
				return err
			}
			// It broke before the message was out, and nothing has come back: RecvMsg has the status and no message.
			why = s.inner.RecvMsg(reflect.New(reflect.TypeOf(m).Elem()).Interface())
			if why == nil || why == io.EOF {
				s.started()
				return io.EOF
			}
		}
		mine := false
		s.once.Do(func() { mine = true })
		if !mine { // its context has ended it
			s.final = why
			return err
		}
		s.c.p.streaming(s, nil)
		v, res := s.c.ended(s.at, s.t, why)
		if v.answer || v.local || s.shut() {
			s.c.gone()
			s.final = why
			return err
		}
		s.at.Done(res)
		if s.final = s.place(); s.final != nil {
			return io.EOF // as gRPC does: RecvMsg tells why
		}
	}
}

func (s *placed) RecvMsg(m any) error {
	s.start()
	if s.final != nil {
		return s.final
	}
	err := s.inner.RecvMsg(m)
	if err == nil && s.desc.ServerStreams && !s.answered.Swap(true) {
		context.AfterFunc(s.inner.Context(), s.abandon(s.at, s.t, s.once)) // ended with the stream, however that ends
	}
	switch {
	case err == io.EOF, err == nil && !s.desc.ServerStreams:
		s.once.Do(func() { s.tell(s.at, s.t, nil) })
	case err != nil:
		told := err
		s.once.Do(func() { told = s.tell(s.at, s.t, err) })
		return told
	}
	return err
}

func (s *placed) CloseSend() error {
	s.start()
	if s.final != nil {
		return nil
	}
	return s.inner.CloseSend()
}

func (s *placed) Header() (metadata.MD, error) {
	s.start()
	if s.final != nil {
		return nil, s.final
	}
	return s.inner.Header()
}

func (s *placed) Trailer() metadata.MD {
	if s.inner == nil {
		return nil
	}
	return s.inner.Trailer()
}

func (s *placed) Context() context.Context { return s.inner.Context() }
