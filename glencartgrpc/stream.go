package glencartgrpc

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/emptypb"

	"glencart/balance"
	"glencart/internal/engine"
)

// stream is the interceptor for streams of all three kinds.
func (p *Plugin) stream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, streamer grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	if tryOf(ctx) != nil {
		return streamer(ctx, desc, cc, method, opts...)
	}
	opts, finish := callOptions(opts)
	s, err := p.open(ctx, desc, cc, method, streamer, opts, &finish)
	if err != nil {
		for _, f := range finish {
			f(err)
		}
		return nil, err
	}
	return s, nil
}

// open places a stream. finish gains what is to be done at the stream's end.
func (p *Plugin) open(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, streamer grpc.Streamer, opts []grpc.CallOption, finish *[]func(error)) (grpc.ClientStream, error) {
	if err := p.prepared(ctx, method, cc); err != nil {
		return nil, err
	}
	set := p.methods.of(method)
	if set.timeout != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, *set.timeout)
		*finish = append(*finish, func(error) { cancel() })
	}
	wait := waits(set, opts)
	for round := 0; ; round++ {
		if err := p.awaitReady(ctx, wait); err != nil {
			return nil, err
		}
		s := &placed{c: p.begin(ctx, method, true), desc: desc, finish: *finish,
			open: func(ctx context.Context, ended grpc.CallOption) (grpc.ClientStream, error) {
				return streamer(ctx, desc, cc, method, append(slices.Clone(opts), ended)...)
			},
			shut: func() bool { return cc.GetState() == connectivity.Shutdown }}
		if !p.engine.Submit(&s.c.Request) {
			return nil, closedStatus()
		}
		s.mu.Lock() // against hold, which may ring at once
		noConn, err := s.place()
		s.mu.Unlock()
		if err == nil {
			return s, nil
		}
		if !noConn || !wait || !p.pause(ctx, round, &err) {
			return nil, err
		}
	}
}

// placed is a stream of the application. Until its first message is out it may be placed again; then it is its one
// attempt's.
type placed struct {
	c      *call
	desc   *grpc.StreamDesc
	open   func(context.Context, grpc.CallOption) (grpc.ClientStream, error)
	shut   func() bool // the ClientConn is closed
	finish []func(error)

	mu    sync.Mutex  // held while the stream moves; not while its first message is on its way
	begun atomic.Bool // set under mu
	final error       // what RecvMsg returns, where no attempt is left to ask

	inner grpc.ClientStream // set before begun, and not after
	at    *engine.Attempt
	t     *try
	end   *attemptEnd
	hold  *time.Timer

	sending atomic.Int32 // SendMsg is under way
}

// attemptEnd is what gRPC says of the end of an attempt. One that could not be opened is not told by it.
type attemptEnd struct {
	opened atomic.Bool
	err    atomic.Pointer[error]
	once   sync.Once
	told   error // set by once: what the application heard
}

// place waits for the engine's word on where the stream goes, and opens it there. noConn is as that of Plugin.call.
func (s *placed) place() (noConn bool, err error) {
	c, p := s.c, s.c.p
	done := c.ctx.Done()
	for {
		select {
		case <-c.run:
			a := c.next.Swap(nil)
			if a == nil {
				continue // taken already, at the signal of the one before
			}
			t := a.State.(*try)
			end := &attemptEnd{}
			inner, err := s.open(t, grpc.OnFinish(func(err error) {
				if end.err.Store(&err); end.opened.Load() {
					s.finished(a, t, end)
				}
			}))
			if err == nil {
				s.inner, s.at, s.t, s.end = inner, a, t, end
				if end.opened.Store(true); end.err.Load() != nil {
					s.finished(a, t, end)
				}
				// One that the application opens and leaves alone is its own before the class's deadline would end it.
				if s.hold != nil {
					s.hold.Stop()
				}
				s.hold = time.AfterFunc(time.Until(c.Deadline)*3/4, s.start)
				return false, nil
			}
			told, mine := s.hear(a, t, err)
			_, res := c.ended(a, t, err)
			if mine || s.shut() {
				c.gone()
				return false, told
			}
			a.Done(res)
		case ans := <-c.Reply:
			if c.ctx.Err() == context.Canceled {
				return false, endOf(c.ctx)
			}
			return p.lacking(ans), p.word(ans, c.class)
		case <-done:
			if c.ctx.Err() == context.DeadlineExceeded {
				done = nil
				continue
			}
			c.gone()
			return false, endOf(c.ctx)
		case <-p.engine.Done():
			return false, closedStatus()
		}
	}
}

// hear puts the end of an attempt into what the application hears of it. mine tells that no other attempt could
// change it: it is the backend's answer, or the application's own doing.
func (s *placed) hear(a *engine.Attempt, t *try, err error) (told error, mine bool) {
	c := s.c
	_, v := c.judged(a, t, err)
	if v.answer || v.local {
		return err, true
	}
	failed := &callError{class: c.class, reason: ReasonFailed}
	if v.status.NeverRan() {
		failed.reason = ReasonRefused
	}
	code := status.Code(err)
	ended := code == codes.Canceled || code == codes.DeadlineExceeded
	switch {
	case c.ctx.Err() == context.Canceled && ended:
		return endOf(c.ctx), true
	case t.has(sawTrailer) && !(ended && c.ctx.Err() != nil): // trailers may come while the context ends
		failed.err = err
	case c.ctx.Err() == context.Canceled:
		return err, true
	case c.ctx.Err() == nil && s.shut():
		return err, true
	case c.ctx.Err() == nil && c.p.closed():
		return closedStatus(), true
	case code == codes.DeadlineExceeded, code == codes.Canceled && (c.ctx.Err() != nil || !c.p.engine.Now().Before(c.Deadline)):
		// gRPC's word depends on whose clock rang first, the engine's or the context's. It is the same deadline.
		failed.err = status.FromContextError(context.DeadlineExceeded).Err()
	default:
		body := &failure{err: err}
		if t.stopped.Load() {
			body = nil
		}
		kind := engine.Failed
		if v.status.NeverRan() {
			kind = engine.Refused
		}
		return c.p.worded(engine.Answer{Kind: kind, MayHaveRun: kind == engine.Failed, Body: body}, c.class), false
	}
	return failed, false
}

// finished is gRPC's word that an attempt has ended, whoever ended it: also when the application drops the stream by
// ending its context or closing the ClientConn, and asks for no end. One that may still be placed again is left to
// SendMsg, and so is one that ends within a SendMsg, whose own error may be the reason.
func (s *placed) finished(a *engine.Attempt, t *try, end *attemptEnd) {
	if s.sending.Load() == 0 && (s.begun.Load() || s.c.ctx.Err() != nil || s.shut()) {
		s.over(a, t, end, *end.err.Load())
	}
}

// over tells the engine once how an attempt of a begun stream ended, and returns what the application hears of it.
func (s *placed) over(a *engine.Attempt, t *try, end *attemptEnd, err error) error {
	end.once.Do(func() {
		told, _ := s.hear(a, t, err)
		end.told = told
		v, res := s.c.ended(a, t, err)
		var e *callError
		switch {
		case v.answer:
			res.Status = balance.Delivered
			s.c.p.stats.served.Add(1)
		case v.local:
			res.Status = balance.Cancelled
			s.c.p.stats.served.Add(1)
		case errors.As(told, &e):
			s.c.p.counted(e)
		}
		a.Done(res)
		for _, f := range s.finish {
			f(told)
		}
	})
	// The first word on a deadline or a cancel stands: to end an attempt is to cancel it.
	if code := status.Code(err); code == codes.Canceled || code == codes.DeadlineExceeded {
		return end.told
	}
	told, _ := s.hear(a, t, err)
	return told
}

// start has the stream belong to the application: it moves no more.
func (s *placed) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started()
}

func (s *placed) started() {
	if !s.begun.Load() && s.final == nil {
		s.begun.Store(true)
		s.hold.Stop()
		s.at.StreamStarted()
	}
}

// SendMsg sends on the attempt that the stream has. One that broke before its first message was out, and nothing has
// come of, is placed again.
func (s *placed) SendMsg(m any) error {
	for {
		s.mu.Lock()
		begun, final, inner := s.begun.Load(), s.final, s.inner
		s.mu.Unlock()
		if final != nil {
			return io.EOF // as gRPC does: RecvMsg tells why
		}
		s.sending.Add(1)
		err := inner.SendMsg(m)
		s.sending.Add(-1)
		if begun {
			return s.sent(err)
		}
		s.mu.Lock()
		if s.begun.Load() || err == nil { // RecvMsg has begun it meanwhile, or this has
			s.started()
			s.mu.Unlock()
			return s.sent(err)
		}
		again, err := s.again(err)
		s.mu.Unlock()
		if !again {
			return err
		}
	}
}

// sent takes in how a message of a begun stream went. An error other than EOF is the application's, and has ended the
// stream.
func (s *placed) sent(err error) error {
	if err != nil && err != io.EOF {
		s.t.set(sawMistake)
		s.over(s.at, s.t, s.end, err)
	} else if s.end.err.Load() != nil {
		s.finished(s.at, s.t, s.end)
	}
	return err
}

// again takes in that the first message could not be sent, and places the stream anew if it may. Under mu.
func (s *placed) again(err error) (again bool, told error) {
	why := err
	if err == io.EOF {
		if s.t.has(sawAnswer) {
			s.started() // it has answered already: RecvMsg has the rest
			return false, err
		}
		// It broke before the message was out, and nothing has come back: RecvMsg has the status and no message.
		why = s.inner.RecvMsg(new(emptypb.Empty))
		if why == nil || why == io.EOF {
			s.started()
			return false, io.EOF
		}
	}
	heard, mine := s.hear(s.at, s.t, why)
	first := false
	s.end.once.Do(func() { first = true })
	if !first { // its context has ended it
		s.final = heard
		return false, err
	}
	_, res := s.c.ended(s.at, s.t, why)
	if mine || s.shut() {
		s.c.gone()
		return false, s.finally(heard, err)
	}
	s.at.Done(res)
	if _, end := s.place(); end != nil {
		return false, s.finally(end, io.EOF)
	}
	return true, nil
}

// finally ends a stream that has no attempt left, and returns what SendMsg says of it.
func (s *placed) finally(final, told error) error {
	s.final = final
	for _, f := range s.finish {
		f(final)
	}
	return told
}

func (s *placed) RecvMsg(m any) error {
	s.start()
	if s.final != nil {
		return s.final
	}
	err := s.inner.RecvMsg(m)
	switch {
	case err == io.EOF, err == nil && !s.desc.ServerStreams:
		s.over(s.at, s.t, s.end, nil)
	case err != nil:
		return s.over(s.at, s.t, s.end, err)
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

// Header gives nothing for a stream that ended without headers: RecvMsg tells why, as with gRPC.
func (s *placed) Header() (metadata.MD, error) {
	s.start()
	if s.final != nil {
		return nil, nil
	}
	return s.inner.Header()
}

func (s *placed) Trailer() metadata.MD {
	s.mu.Lock()
	inner := s.inner
	s.mu.Unlock()
	return inner.Trailer()
}

func (s *placed) Context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inner.Context()
}
