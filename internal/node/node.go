// Package node runs one node of the platform's balancer. It connects the Balancer of package balance to
// clients, backends, discovery and other nodes over real sockets. The decisions are made in package balance,
// not here.
package node

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/internal/clients"
	"glencart/internal/engine"
	"glencart/internal/handover"
	"glencart/internal/inflight"
	"glencart/internal/living"
	"glencart/internal/lograte"
	"glencart/internal/members/registry"
	"glencart/internal/settings"
	"glencart/internal/sock"
	"glencart/life"
	"glencart/members"
)

// Node is one node. New opens its sockets and Run serves.
type Node struct {
	cfg              Config
	log              *slog.Logger
	bounds           bounds
	queuedMessages   atomic.Int32 // messages of peers that are queued for the loop
	listener         *clients.Listener
	peers            *peers
	pool             *pool
	loop             *engine.Engine
	front            *front
	latest           *activeSettings // the settings of the last accepted reload; used only by the goroutine that calls Reload
	discovery        *registry.Source
	adminListener    net.Listener       // for operators; nil if there is no management address
	handover         *handover.Handover // the folder shared with a predecessor or successor; nil if there is none
	tracker          members.Tracker    // used only on the loop
	counters         *counters
	hadUsableBackend atomic.Bool   // a list has named a backend that can receive requests
	hasList          atomic.Bool   // discovery has sent a list
	isServing        atomic.Bool   // clients are accepted
	currency         *listCurrency // nil: discovery is no agent
	unsafeIDs        *inflight.Table
	lifecycle        *living.Runner
	loopLag          living.LoopLag
}

// New returns a node that is ready to run. New fails if ctx ends while it still opens what the node needs.
func New(ctx context.Context, cfg Config, log *slog.Logger) (*Node, error) {
	if err := cfg.Settings.Check(); err != nil {
		return nil, fmt.Errorf("configuration: settings: %w", err)
	}
	bal, err := balance.New(cfg.Settings.Config, cfg.Seed)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, counters: &counters{}}
	n.tracker.WarmWithin = cfg.Settings.Config.Rules.WarmWithin
	n.lifecycle = living.New(life.New(life.Platform, longestDeadline(cfg.Settings)), lifecycleFront{n})
	limits := cfg.Settings.Config.Limits
	n.bounds = boundsOf(cfg.Limits, len(cfg.Peers))
	maxClients, backends := n.bounds.clients, n.bounds.backends
	log.Info("bounds", "most", n.bounds)
	n.pool = newPool(backends, limits.ConnectTimeout, limits.IdleClose, log)
	transport := newTransport(n.pool, cfg.Settings.Config.Reports == balance.InlineReports, log)
	n.unsafeIDs = openUnsafeIDs(cfg.Shared, log)
	n.loop = engine.New(engine.Config{Balancer: bal, Log: log, Origin: cfg.origin, Transport: transport,
		UnsafeIDs: n.unsafeIDs, UnsafeIDRetention: unsafeIDRetention})
	n.front = newFront(n.loop, cfg.Settings, n.bounds, n.counters, log)
	n.latest, n.counters.late, n.counters.front = n.front.settings.Load(), &n.front.lateAnswers, n.front
	n.discovery = registry.New(cfg.Discovery, cfg.Settings, log,
		func(list engine.List) {
			kind := balance.MembersChanged
			if list.Complete {
				kind = balance.MembersAll
			}
			n.loop.PostFirst(func() { // before requests that would be sent by the old list
				n.takeList(kind, list)
				n.hasList.Store(true)
				n.lifecycle.Handle(life.Event{Kind: life.ListReceived})
			})
		},
		func() { n.loop.Post(func() { n.loop.Handle(balance.Event{Kind: balance.DiscoveryFailed}) }) })
	n.discovery.UseAgent(n.bounds.discoveryCalls)
	currency := newListCurrency(cfg.Settings.Config.Rules.DrainGrace, n.loop, &lograte.Limited{Log: log})
	if n.discovery.Observe(currency) {
		n.currency, transport.currency, n.counters.currency = currency, currency, currency
	}
	n.counters.discovery, n.counters.decisions, n.counters.backends = n.discovery.Stats(), n.loop.Stats(), n.pool.Pool
	n.counters.attempts, n.counters.unsafeIDs = transport, n.unsafeIDs
	n.loop.RequestDiscovery, n.loop.OnResult = n.discovery.Request, n.observeResult
	if cfg.PeerListen != "" {
		if n.peers, err = listenPeers(ctx, &cfg, n.bounds.maxQueuedDatagrams, log); err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
		n.loop.SendToPeer = n.peers.send
	}
	n.applyCachedList(cfg)
	if err := n.open(ctx, maxClients); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

const (
	// unsafeIDRetention is how long after the end of a request that must not run twice its id is not accepted again, if it may have run.
	unsafeIDRetention = 10 * time.Second
	// inFlightFile is the file in the shared folder with the ids of such requests.
	inFlightFile = "glencart.inflight"
)

// openUnsafeIDs opens the records of the ids of requests that must not run twice, in the folder shared with another process if there is one.
func openUnsafeIDs(sharedFolder string, log *slog.Logger) *inflight.Table {
	if sharedFolder == "" {
		return inflight.NewTable()
	}
	table, err := inflight.Open(filepath.Join(sharedFolder, inFlightFile))
	if err != nil {
		log.Error("can't share the ids of requests in flight: an id that comes again at the other process may run twice", "error", err)
		return inflight.NewTable()
	}
	return table
}

// open opens the management listener, the folder shared with another process, and the clients' listener.
func (n *Node) open(ctx context.Context, maxClients int) (err error) {
	if n.cfg.Management != "" {
		listen := func(context.Context) (net.Listener, error) { return net.Listen("tcp", n.cfg.Management) }
		if n.adminListener, err = openListener(ctx, listen); err != nil {
			return fmt.Errorf("management: %w", err)
		}
	}
	if n.cfg.Shared != "" {
		if err = retryOpen(ctx, func(context.Context) (err error) {
			n.handover, err = handover.Open(n.cfg.Shared, n.cfg.Name, n.log)
			return err
		}); err != nil {
			return err
		}
		n.tracker.MergeOverrides(n.handover.Read(), n.loop.Clock())
	}
	if ctx.Err() != nil { // the process got SIGTERM already
		return ctx.Err()
	}
	// The clients' listener opens last. From here on the kernel completes connections, so a client that
	// connects is waiting for an answer.
	l, err := openListener(ctx, func(ctx context.Context) (net.Listener, error) {
		if n.cfg.AcceptFD != "" {
			return handover.Listener(ctx, n.cfg.AcceptFD)
		}
		return net.Listen("tcp", n.cfg.Listen)
	})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.listener = clients.Limit(l, maxClients)
	n.counters.listener = n.listener
	n.listener.HeadTimeout, n.listener.MaxHeadFields = headTimeout, clients.DefaultMaxHeadFields
	n.lifecycle.Handle(life.Event{Kind: life.AcceptStarted})
	if n.handover != nil && n.handover.IsSuccessor() {
		n.shareMachine(true)
	}
	return nil
}

// applyCachedList applies the cached endpoint list of the configuration.
func (n *Node) applyCachedList(cfg Config) {
	cached := cfg.Known
	if cfg.knownErr != nil {
		n.log.Warn("known: the cached endpoint list can't be read: waiting for discovery", "error", cfg.knownErr)
	}
	if cached.Complete && len(cached.Members) > 0 {
		n.discovery.SetRevision(cached.Revision)
	}
	cached.Complete = true
	n.takeList(balance.MembersCached, cached)
}

// close closes the sockets of a node that was never run.
func (n *Node) close() {
	if n.peers != nil {
		n.peers.conn.Close()
	}
	if n.listener != nil {
		n.listener.Close()
	}
	if n.adminListener != nil {
		n.adminListener.Close()
	}
	if n.handover != nil {
		n.handover.Close()
	}
	n.unsafeIDs.Close()
}

// Addr returns the address on which the node listens for clients.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// receivePeerMessage queues a peer's message for the loop. It drops the message if too many are queued already.
func (n *Node) receivePeerMessage(peer int, payload []byte) {
	if int(n.queuedMessages.Add(1)) > n.bounds.maxQueuedMessages || !n.loop.Post(func() {
		n.queuedMessages.Add(-1)
		n.loop.Handle(balance.Event{Kind: balance.PeerMessage, Peer: peer, Payload: payload})
	}) {
		n.queuedMessages.Add(-1)
	}
}

// Run serves until ctx ends, then answers all received requests and returns.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer n.unsafeIDs.Close()
	defer wg.Wait()
	defer stop()
	wg.Go(func() { n.loop.Run(work.Done()) })
	wg.Go(func() { n.pool.Run(work) })
	wg.Go(func() { n.front.table.RunEviction(work) })
	wg.Go(func() { n.discovery.Run(work) })
	if n.peers != nil {
		wg.Go(func() {
			n.peers.run(work, n.receivePeerMessage)
		})
	}
	srv, limitedLog := n.front.server(), &lograte.Limited{Log: n.log}
	if n.adminListener != nil {
		admin := newAdminEndpoint(n)
		wg.Go(func() { admin.srv.Serve(clients.Accepting(n.adminListener, limitedLog)) })
		wg.Go(func() { n.countBackendsPeriodically(work) })
		defer admin.srv.Close()
	}
	if n.handover != nil {
		defer n.handover.Close()
		wg.Go(func() {
			n.handover.Run(work, n.shareMachine, func(calls []members.Override) {
				n.loop.PostFirst(func() { n.applyLines(n.tracker.MergeOverrides(calls, n.loop.Clock())) })
			})
		})
		n.awaitList(ctx)
	}
	n.isServing.Store(true)
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(clients.Accepting(n.listener, limitedLog)) }()
	wg.Go(func() { n.useCachedListInTime(work) })
	n.log.Info("serving", "name", n.cfg.Name, "listen", sock.ListenAddr(n.listener, n.cfg.Listen))
	select {
	case err := <-ended:
		return fmt.Errorf("accepting: %w", err)
	case <-ctx.Done():
	}
	return n.shutDown(srv, ended)
}

// longestDeadline returns the longest time for which a request may be in flight.
func longestDeadline(s settings.Settings) time.Duration {
	var longest time.Duration
	for _, c := range s.Config.Classes {
		if c.IsRemoved {
			continue
		}
		longest = max(longest, cmp.Or(c.Deadline, defaultDeadline))
	}
	return longest
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// every calls f at intervals of d until ctx ends.
func every(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
