package glencartgrpc

import (
	"context"
	"errors"
	"strconv"
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

// keyHeader carries an idempotency key, as on HTTP.
const keyHeader = "idempotency-key"

// call is one call of the application: what the engine's loop and the goroutine of the call share.
type call struct {
	engine.Request
	p       *Plugin
	ctx     context.Context
	class   string
	next    atomic.Pointer[engine.Attempt] // the attempt for the goroutine of the call
	run     chan struct{}                  // there is one; has room for one
	first   try                            // room for the commonest case: one attempt
	last    *try                           // on the loop: that of the newest attempt
	streams bool
}

// begin makes a call ready to be placed.
func (p *Plugin) begin(ctx context.Context, method string, streams bool) *call {
	p.stats.calls.Add(1)
	class := p.classOf(method)
	c := &call{p: p, ctx: ctx, class: p.names.Classes[class], run: make(chan struct{}, 1), streams: streams}
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
		c.HasShortDeadline = d.Before(p.engine.Now().Add(p.names.Config.Classes[class].Aim / hasty))
	}
	return c
}

// hasty: a call with less than this part of its class's aim can't tell a box that hangs from one that works.
const hasty = 10

// defaultDeadline stands for a class's deadline that is not told.
const defaultDeadline = time.Minute

// keyless is the error of a call of a keyed class without an idempotency key: no backend could drop its repeats.
func (p *Plugin) keyless(ctx context.Context, method string) error {
	class := p.classOf(method)
	if p.names.Config.Classes[class].Effect != balance.Keyed {
		return nil
	}
	if md, _ := metadata.FromOutgoingContext(ctx); len(md.Get(keyHeader)) > 0 {
		return nil
	}
	return status.Errorf(codes.InvalidArgument, "glencartgrpc: %s is of the keyed class %s: it needs the metadata %s", method,
		p.names.Classes[class], keyHeader)
}

// Send has the goroutine of the call carry out an attempt: so the reply is written by nobody when the application has
// it back.
func (p *Plugin) Send(a *engine.Attempt) {
	c := a.Request.Message.(*call)
	t := &c.first
	if c.last != nil {
		t = new(try)
	}
	t.to, t.stream = a.To, c.streams
	t.Context, t.cancel = context.WithCancel(c.ctx)
	if c.streams {
		t.attempt = a
	} else {
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
	if !a.WriteBy.IsZero() {
		t.writeBy = a.WriteBy
		lapse := time.AfterFunc(time.Until(a.WriteBy), t.lapse)
		context.AfterFunc(t.Context, func() { lapse.Stop() })
	}
	c.next.Store(a) // in the place of one that was given up before the goroutine came to it
	select {
	case c.run <- struct{}{}:
	default:
	}
}

// PreventWrite keeps an attempt from being sent. One that stands in line for a stream of a connection is stopped too, and
// what it proves is told when it has ended.
func (p *Plugin) PreventWrite(a *engine.Attempt) bool {
	t := a.State.(*try)
	if t.bar() {
		return true
	}
	if !t.has(sawHead) {
		t.stop()
	}
	return false
}

// Cancel ends an attempt: gRPC resets its stream.
func (p *Plugin) Cancel(a *engine.Attempt) { a.State.(*try).stop() }

// CloseIdle does nothing: connections follow the list (see trust.publish), and end when their calls have.
func (p *Plugin) CloseIdle(engine.Endpoint) {}

// judged tells what the end of an attempt means. It changes nothing.
func (c *call) judged(a *engine.Attempt, t *try, err error) (seen, verdict) {
	// A stream's own time is its context's: the class's deadline is for placing it.
	late := c.ctx.Err() == context.DeadlineExceeded || !c.streams && !time.Now().Before(a.Deadline)
	s := t.look(err, t.stopped.Load(), late)
	s.cancelled = c.ctx.Err() == context.Canceled
	return s, c.p.judge(s)
}

// ended ends an attempt of the goroutine of the call, and returns what it means and what the engine is to be told.
func (c *call) ended(a *engine.Attempt, t *try, err error) (v verdict, res engine.Result) {
	s, v := c.judged(a, t, err)
	t.cancel()
	t.returned.Store(true)
	if t.has(sawSurplus) {
		c.p.stats.surplus.Add(1)
	}
	res = engine.Result{Status: v.status}
	if s.trailer != nil {
		load, instances, bad := reported(s.trailer)
		if bad != nil {
			c.p.stats.spoilt.Add(1)
			c.p.spoilt.Warn("malformed load report", "backend", t.to.ID, "error", bad)
		}
		res.Load = load
		if load.Has != 0 && t.link != nil {
			t.link.reports.Store(true)
		}
		c.p.trust.counted(instances)
		if why := s.trailer[NeverRan]; v.status == balance.Shed && len(why) > 0 && why[0] == ReasonDraining {
			c.p.engine.Post(func() { c.p.trust.drained(t.to) })
		}
	}
	if t.link != nil && !t.link.reports.Load() && (t.has(sawAnswer|sawTrailer) || s.cancelled || c.HasShortDeadline) {
		// A service that never reports, and nothing that speaks against it: nobody else is known to be there. Without a word
		// of it, what was not accepted would count against it until a report, which never comes.
		res.Load = balance.Load{Has: balance.HasActive}
	}
	if !v.answer && err != nil && !s.barred && (!s.stopped || t.has(sawTrailer)) {
		res.Body = &failure{err: err, said: t.has(sawTrailer), noConn: !s.begun || t.has(sawNoConn)}
	}
	return v, res
}

// gone tells the engine that the application is out of the call. The engine answers nothing more.
func (c *call) gone() { c.p.engine.Post(func() { c.p.engine.ClientGone(&c.Request) }) }

// unary is the interceptor for calls of one message each way.
func (p *Plugin) unary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	if tryOf(ctx) != nil {
		return invoker(ctx, method, req, reply, cc, opts...) // a probe, or an attempt of ours already
	}
	opts, finish := callOptions(opts)
	err := p.prepared(ctx, method, cc)
	if err == nil {
		set := p.methods.of(method)
		if set.timeout != nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, *set.timeout)
			defer cancel()
		}
		wait := waits(set, opts)
		for round := 0; ; round++ {
			var noConn bool
			if err = p.awaitReady(ctx, wait); err != nil {
				break
			}
			if noConn, err = p.call(ctx, method, req, reply, cc, invoker, opts); !noConn || !wait || !p.pause(ctx, round, &err) {
				break
			}
		}
	}
	for _, f := range finish {
		f(err)
	}
	return err
}

// prepared tells why a call can't be placed at all.
func (p *Plugin) prepared(ctx context.Context, method string, cc *grpc.ClientConn) error {
	if err := p.serves(cc); err != nil {
		return err
	}
	return p.keyless(ctx, method)
}

// call places a call. noConn tells that it ended as refused for want of a connection, so that nothing left.
func (p *Plugin) call(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts []grpc.CallOption) (noConn bool, err error) {
	c := p.begin(ctx, method, false)
	if !p.engine.Submit(&c.Request) {
		return false, closedStatus()
	}
	done := ctx.Done()
	for {
		select {
		case <-c.run:
			a := c.next.Swap(nil)
			if a == nil {
				continue // taken already, at the signal of the one before
			}
			t := a.State.(*try)
			err := invoker(t, method, req, reply, cc, opts...)
			v, res := c.ended(a, t, err)
			switch {
			case v.answer:
				if a.Deliver(res) {
					p.stats.served.Add(1)
					return false, err
				}
			case ctx.Err() == context.Canceled:
				c.gone()
				return false, endOf(ctx)
			case v.local || cc.GetState() == connectivity.Shutdown:
				c.gone()
				return false, err
			default:
				a.Done(res)
			}
		case ans := <-c.Reply:
			if ctx.Err() == context.Canceled { // both at once: it is the application that ended it
				return false, endOf(ctx)
			}
			return p.lacking(ans), p.word(ans, c.class)
		case <-done:
			if ctx.Err() == context.DeadlineExceeded {
				// The engine's own clock is about to ring: what it says is the answer, and tells what may have run.
				done = nil
				continue
			}
			c.gone()
			return false, endOf(ctx)
		case <-p.engine.Done():
			return false, closedStatus()
		}
	}
}

// lacking tells whether an answer is a refusal for want of a connection.
func (p *Plugin) lacking(a engine.Answer) bool {
	f, _ := a.Body.(*failure)
	return a.Kind == engine.Refused && (f != nil && f.noConn || p.up.Load() == 0)
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

// waits tells whether a call waits for a backend to be ready: its options say so, or else its method config.
func waits(set methodSet, opts []grpc.CallOption) bool {
	wait := set.wait
	for _, o := range opts {
		if f, ok := o.(grpc.FailFastCallOption); ok {
			wait = !f.FailFast
		}
	}
	return wait
}

// awaitReady holds a call that asked to wait for ready until there is some backend.
func (p *Plugin) awaitReady(ctx context.Context, wait bool) error {
	if !wait {
		return nil
	}
	select {
	case <-p.someReady():
		return nil
	case <-ctx.Done():
		return endOf(ctx)
	case <-p.engine.Done():
		return closedStatus()
	}
}

// pause comes before a call that waits for ready is placed once more, having found no connection. It tells whether to;
// if the call's time is over meanwhile, that is its error, and nothing has run.
func (p *Plugin) pause(ctx context.Context, round int, err *error) bool {
	wait := min(reconnectLeast<<min(round, 10), reconnectMost)
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		var e *callError
		if errors.As(*err, &e); e != nil {
			*err = &callError{err: endOf(ctx), reason: ReasonRefused, class: e.class}
		}
		return false
	case <-p.engine.Done():
		return false
	}
}
