package glencartgrpc

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/attributes"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/status"

	"glencart/internal/engine"
)

// scheme is that of targets, policyName the balancer's in a service config.
const scheme, policyName = "glencart", "glencart_obey"

// gRPC finds balancers by name in one table for the whole process. What is entered here holds no state: each
// plug-in's comes with its resolver's addresses.
func init() { balancer.Register(obeyBuilder{}) }

// builder is the resolver of one plug-in. Each ClientConn on it gets the addresses that the engine may send to.
type builder struct{ p *Plugin }

func (b builder) Scheme() string { return scheme }

func (b builder) Build(target resolver.Target, cc resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	if name := target.Endpoint(); name != b.p.cfg.Target {
		return nil, unknownTarget(name, b.p.cfg.Target)
	}
	r := &follower{p: b.p, cc: cc}
	b.p.follow(r, true)
	return r, nil
}

func unknownTarget(got, want string) error {
	return fmt.Errorf("glencartgrpc: target %q: this plug-in serves %s:///%s: dial that, or make a plug-in with this Target", got, scheme, want)
}

// follower is the resolver of one ClientConn.
type follower struct {
	p  *Plugin
	cc resolver.ClientConn
}

func (r *follower) ResolveNow(resolver.ResolveNowOptions) {}
func (r *follower) Close()                                { r.p.follow(r, false) }

// tell hands on the endpoints that may be sent to.
func (r *follower) tell(to []engine.Endpoint) {
	state := resolver.State{
		ServiceConfig: r.cc.ParseServiceConfig(r.p.config),
		Attributes:    attributes.New(endpointKey{}, &endpointList{to, r.p.trust.linked, &r.p.up}),
	}
	for _, ep := range to {
		state.Endpoints = append(state.Endpoints, resolver.Endpoint{Addresses: []resolver.Address{{Addr: ep.Addr}}})
	}
	r.cc.UpdateState(state) // an error is the balancer's, and ours has none
}

type endpointKey struct{}

type endpointList struct {
	to     []engine.Endpoint
	linked func(engine.Endpoint) // a connection has come up
	up     *atomic.Int64         // how many are
}

// Equal lets a list stand as an attribute.
func (l *endpointList) Equal(o any) bool { return l == o }

// obeyBuilder makes balancers that hold one connection to each endpoint and choose nothing: the engine has.
type obeyBuilder struct{}

func (obeyBuilder) Name() string { return policyName }

func (obeyBuilder) Build(cc balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &obeyer{cc: cc, links: map[engine.Endpoint]*link{}}
}

type obeyer struct {
	cc    balancer.ClientConn
	mu    sync.RWMutex
	links map[engine.Endpoint]*link
	up    *atomic.Int64
	wake  bool // the application has asked for connections (ClientConn.Connect) before there was an endpoint

	states balancer.ConnectivityStateEvaluator // of the links, for ClientConn.GetState
}

// link is the connection to one endpoint.
type link struct {
	sc    balancer.SubConn
	state connectivity.State
	err   error

	reports atomic.Bool // the backend has told its load
}

// UpdateClientConnState keeps a connection for each endpoint named. One that is no longer named ends when the calls
// on it have: Shutdown lets them.
func (b *obeyer) UpdateClientConnState(s balancer.ClientConnState) error {
	list, ok := s.ResolverState.Attributes.Value(endpointKey{}).(*endpointList)
	if !ok {
		return fmt.Errorf("%s: needs the resolver of scheme %s: use Plugin.DialOptions", policyName, scheme)
	}
	named := make(map[engine.Endpoint]bool, len(list.to))
	b.mu.Lock()
	b.up = list.up
	for _, ep := range list.to {
		named[ep] = true
		if b.links[ep] != nil {
			continue
		}
		l := &link{state: connectivity.Idle}
		//lint:ignore SA1019 pickfirst would add a choice of its own; one address is what is given.
		sc, err := b.cc.NewSubConn([]resolver.Address{{Addr: ep.Addr}}, balancer.NewSubConnOptions{
			StateListener: func(st balancer.SubConnState) {
				b.changed(l, st)
				if st.ConnectivityState == connectivity.Ready {
					list.linked(ep)
				}
			}})
		if err != nil {
			continue // the ClientConn is closing
		}
		l.sc = sc
		b.links[ep] = l
		b.states.RecordTransition(connectivity.Shutdown, l.state)
	}
	var over []balancer.SubConn
	for ep, l := range b.links {
		if !named[ep] {
			delete(b.links, ep)
			over = append(over, l.sc)
			b.turn(l, connectivity.Shutdown)
		}
	}
	wake := b.wake && len(b.links) > 0
	b.wake = b.wake && !wake
	b.mu.Unlock()
	if wake {
		b.ExitIdle()
	}
	for _, sc := range over {
		sc.Shutdown()
	}
	b.publish()
	return nil
}

func (b *obeyer) changed(l *link, st balancer.SubConnState) {
	b.mu.Lock()
	if l.state != connectivity.Shutdown { // else it was counted out when the list dropped it
		b.turn(l, st.ConnectivityState)
		l.err = st.ConnectionError
	}
	b.mu.Unlock()
	b.publish()
}

// turn counts a change of a link's state. Under mu.
func (b *obeyer) turn(l *link, to connectivity.State) {
	if was, is := l.state == connectivity.Ready, to == connectivity.Ready; is && !was {
		b.up.Add(1)
	} else if was && !is {
		b.up.Add(-1)
	}
	b.states.RecordTransition(l.state, to)
	l.state = to
}

// publish wakes the calls that wait for a connection: each looks again for its own. The state is for the application
// alone; gRPC asks the picker whatever it is.
func (b *obeyer) publish() {
	b.mu.RLock()
	state := b.states.CurrentState()
	b.mu.RUnlock()
	b.cc.UpdateState(balancer.State{ConnectivityState: state, Picker: &picker{b}})
}

func (b *obeyer) ResolverError(error)                                        {}
func (b *obeyer) UpdateSubConnState(balancer.SubConn, balancer.SubConnState) {}

// Close ends with the ClientConn, which shuts down its connections without a word to their listeners.
func (b *obeyer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.links {
		b.turn(l, connectivity.Shutdown)
	}
}

// wakeMost is how many connections ClientConn.Connect asks for: some that come up make it ready, and a thousand
// instances that all ask for all would be a storm.
const wakeMost = 3

// ExitIdle is ClientConn.Connect: some connections are made before any call needs them.
func (b *obeyer) ExitIdle() {
	b.mu.Lock()
	b.wake = len(b.links) == 0
	var some []balancer.SubConn
	for _, l := range b.links { // in the random order of maps
		if l.state == connectivity.Idle && len(some) < wakeMost {
			some = append(some, l.sc)
		}
	}
	b.mu.Unlock()
	for _, sc := range some {
		sc.Connect()
	}
}

// picker finds the connection to the endpoint that the attempt was decided for, and no other.
type picker struct{ b *obeyer }

func (p *picker) Pick(info balancer.PickInfo) (balancer.PickResult, error) {
	t := tryOf(info.Ctx)
	if t == nil {
		return balancer.PickResult{}, status.Error(codes.Internal,
			"glencartgrpc: a call that no interceptor of the plug-in saw: use all of Plugin.DialOptions")
	}
	if t.has(sawAgain) {
		if t.has(sawHead) {
			// gRPC would send this by itself once more. What made it try proves that the first never ran.
			return balancer.PickResult{}, errAgain
		}
		// The connection went before anything of this attempt left, as when a server ends connections by their age: it is
		// the first sending still.
		if t.stopped.Load() {
			return balancer.PickResult{}, errBarred // given up meanwhile, as at a drain: nothing of it may leave any more
		}
		t.saw.And(^sawAgain)
	}
	p.b.mu.RLock()
	l := p.b.links[t.to]
	var state connectivity.State
	var err error
	if l != nil {
		state, err = l.state, l.err
	}
	p.b.mu.RUnlock()
	switch {
	case l == nil:
		return balancer.PickResult{}, balancer.ErrNoSubConnAvailable // not told yet
	case state == connectivity.Ready:
		if !t.begin() {
			return balancer.PickResult{}, errBarred
		}
		t.link = l
		return balancer.PickResult{SubConn: l.sc}, nil
	case state == connectivity.TransientFailure || state == connectivity.Shutdown:
		t.set(sawNoConn)
		return balancer.PickResult{}, status.Errorf(codes.Unavailable, "glencartgrpc: %s: no connection: %v", t.to.Addr, err)
	case state == connectivity.Idle:
		l.sc.Connect()
	}
	return balancer.PickResult{}, balancer.ErrNoSubConnAvailable
}

var (
	errAgain  = status.Error(codes.Unavailable, "glencartgrpc: not processed by the backend")
	errBarred = status.Error(codes.Unavailable, "glencartgrpc: stopped before it was sent")
)

type tryKey struct{}

func tryOf(ctx context.Context) *try {
	t, _ := ctx.Value(tryKey{}).(*try)
	return t
}
