package glencartgrpc

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"glencart/balance"
	"glencart/internal/engine"
)

// keyHeader carries an idempotency key, as on HTTP.
const keyHeader = "idempotency-key"

// call is one call of the application: what the engine's loop and the goroutine of the call share.
type call struct {
	engine.Request
	p       *Plugin
	ctx     context.Context
	class   string
	run     chan *engine.Attempt // attempts for the goroutine of the call; has room for one
	last    *try                 // on the loop: that of the newest attempt
	streams bool
}

// begin makes a call ready to be placed.
func (p *Plugin) begin(ctx context.Context, method string, streams bool) *call {
	p.stats.calls.Add(1)
	class := p.classOf(method)
	c := &call{p: p, ctx: ctx, class: p.names.Classes[class], run: make(chan *engine.Attempt, 1), streams: streams}
	c.ID = strconv.FormatUint(p.ids.Add(1), 36)
	c.Class = class
	c.Tenant = p.tenantOf(ctx, method)
	if p.cfg.Key != nil {
		c.Key, c.HasKey = p.cfg.Key(ctx, method)
	}
	c.Reply = make(chan engine.Answer, 1)
	c.Message = c
	left := p.names.Config.Classes[class].Deadline
	if left <= 0 {
		left = defaultDeadline
	}
	c.Deadline = p.engine.Now().Add(left)
	if d, ok := ctx.Deadline(); ok && d.Before(c.Deadline) {
		c.Deadline = d
	}
	return c
}

// defaultDeadline stands for a class's deadline that is not told.
const defaultDeadline = time.Minute

// keyless tells whether a call of a keyed class has no idempotency key: no backend could drop its repeats.
func (c *call) keyless() bool {
	if c.p.names.Config.Classes[c.Class].Effect != balance.Keyed {
		return false
	}
	md, _ := metadata.FromOutgoingContext(c.ctx)
	return len(md.Get(keyHeader)) == 0
}

// Send has the goroutine of the call carry out an attempt: so the reply is written by nobody when the application has
// it back.
func (p *Plugin) Send(a *engine.Attempt) {
	c := a.Request.Message.(*call)
	t := &try{to: a.To, stream: c.streams}
	t.Context, t.cancel = context.WithCancel(c.ctx)
	if !c.streams {
		t.deadline = a.Deadline
	}
	a.State = t
	if prev := c.last; prev != nil && !prev.returned.Load() && !prev.stopped.Load() {
		// A second copy. The module sends none today; if it did, this one never left.
		t.cancel()
		t.bar()
		a.Done(engine.Result{Status: balance.Unused})
		return
	}
	c.last = t
	select {
	case <-c.run: // given up before the goroutine came to it
	default:
	}
	c.run <- a
}

// Bar keeps an attempt from being sent. One that stands in line for a stream of a connection is stopped too, and
// what it proves is told when it has ended.
func (p *Plugin) Bar(a *engine.Attempt) bool {
	t := a.State.(*try)
	if t.bar() {
		return true
	}
	if !t.has(sawHead) {
		t.stop()
	}
	return false
}

// GiveUp ends an attempt: gRPC resets its stream.
func (p *Plugin) GiveUp(a *engine.Attempt) { a.State.(*try).stop() }

// Drop does nothing: connections follow the list (see trust.publish), and end when their calls have.
func (p *Plugin) Drop(engine.Endpoint) {}

// ended tells the engine how an attempt of the goroutine of the call ended, and what the application gets, if that
// is decided by it.
func (c *call) ended(a *engine.Attempt, t *try, err error) (v verdict, res engine.Result) {
	t.cancel()
	t.returned.Store(true)
	// A stream's own time is its context's: the class's deadline is for placing it.
	late := c.ctx.Err() == context.DeadlineExceeded || !c.streams && !time.Now().Before(a.Deadline)
	s := t.look(err, t.stopped.Load(), late)
	if t.has(sawSurplus) {
		c.p.stats.surplus.Add(1)
	}
	v = c.p.judge(s)
	res = engine.Result{Status: v.status}
	if s.trailer != nil {
		load, instances, bad := reported(s.trailer)
		if bad != nil {
			c.p.stats.spoilt.Add(1)
			c.p.spoilt.Warn("malformed load report", "backend", t.to.ID, "error", bad)
		}
		res.Load = load
		c.p.trust.counted(instances)
		if why := s.trailer[NeverRan]; v.status == balance.Shed && len(why) > 0 && why[0] == ReasonDraining {
			c.p.engine.Post(func() { c.p.trust.drained(t.to) })
		}
	}
	if !v.answer && err != nil {
		res.Body = &failure{err}
	}
	return v, res
}

// gone tells the engine that the application is out of the call. The engine answers nothing more.
func (c *call) gone() { c.p.engine.Post(func() { c.p.engine.Gone(&c.Request) }) }

// unary is the interceptor for calls of one message each way.
func (p *Plugin) unary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	if tryOf(ctx) != nil {
		return invoker(ctx, method, req, reply, cc, opts...) // a probe, or an attempt of ours already
	}
	if err := p.serves(cc); err != nil {
		return err
	}
	opts, finish := callOptions(opts)
	err := p.call(ctx, method, req, reply, cc, invoker, opts)
	for _, f := range finish {
		f(err)
	}
	return err
}

func (p *Plugin) call(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts []grpc.CallOption) error {
	c := p.begin(ctx, method, false)
	if c.keyless() {
		return status.Errorf(codes.InvalidArgument, "glencartgrpc: %s is of the keyed class %s: it needs the metadata %s", method, c.class, keyHeader)
	}
	if err := p.awaitReady(ctx, opts); err != nil {
		return err
	}
	if !p.engine.Place(&c.Request) {
		return closedStatus()
	}
	done := ctx.Done()
	for {
		select {
		case a := <-c.run:
			t := a.State.(*try)
			err := invoker(t, method, req, reply, cc, opts...)
			v, res := c.ended(a, t, err)
			switch {
			case v.answer:
				if a.Deliver(res) {
					p.stats.served.Add(1)
					return err
				}
			case v.local || cc.GetState() == connectivity.Shutdown:
				c.gone()
				return err
			default:
				a.Done(res)
			}
		case ans := <-c.Reply:
			return p.word(ans, c.class)
		case <-done:
			if ctx.Err() == context.DeadlineExceeded {
				// The engine's own clock is about to ring: what it says is the answer, and tells what may have run.
				done = nil
				continue
			}
			c.gone()
			return status.FromContextError(ctx.Err()).Err()
		case <-p.engine.Done():
			return closedStatus()
		}
	}
}

// callOptions takes out what must happen once for a call, not once for each attempt.
func callOptions(opts []grpc.CallOption) (each []grpc.CallOption, finish []func(error)) {
	for i, o := range opts {
		f, ok := o.(grpc.OnFinishCallOption)
		if !ok {
			if finish != nil {
				each = append(each, o)
			}
			continue
		}
		if finish == nil {
			each = append([]grpc.CallOption(nil), opts[:i]...)
		}
		finish = append(finish, f.OnFinish)
	}
	if finish == nil {
		return opts, nil
	}
	return each, finish
}

// awaitReady holds a call that asked to wait for ready until there is some backend.
func (p *Plugin) awaitReady(ctx context.Context, opts []grpc.CallOption) error {
	wait := false
	for _, o := range opts {
		if f, ok := o.(grpc.FailFastCallOption); ok {
			wait = !f.FailFast
		}
	}
	if !wait {
		return nil
	}
	select {
	case <-p.someReady():
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-p.engine.Done():
		return closedStatus()
	}
}
