// Package node is one real node: the Balancer of package balance between clients, backends, discovery and peers
// on real sockets.
package node

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/handover"
	"glencart/internal/members/registry"
	"glencart/internal/settings"
	"glencart/life"
	"glencart/members"
)

// Node is one node. New opens its sockets, Run serves.
type Node struct {
	cfg      Config
	log      *slog.Logger
	bounds   bounds
	hears    atomic.Int32 // messages of peers that wait for the loop
	listener *boundedListener
	peers    *peers
	pool     *pool
	loop     *engine.Engine
	front    *front
	disco    *registry.Source
	door     net.Listener    // for operators; nil: none
	place    *handover.Place // where this process stands beside another; nil: there is none
	hand     members.Hand    // of the loop
	figures  *figures
	listed   atomic.Bool // a list has named a backend that may be sent to
	heard    atomic.Bool // discovery has told a list
	running  atomic.Bool // clients are let in
	living   living
}

// New returns a node that is ready to run.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	bal, err := balance.New(cfg.Settings.Config, cfg.Seed)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, figures: &figures{}}
	n.living.born, n.living.life = time.Now(), life.New(longestDeadline(cfg.Settings))
	limits := cfg.Settings.Config.Limits
	n.bounds = boundsOf(cfg.Limits, len(cfg.Peers))
	clients, backends := n.bounds.clients, n.bounds.backends
	log.Info("bounds", "most", n.bounds)
	n.pool = newPool(backends, limits.ConnectTimeout, limits.IdleClose)
	n.loop = engine.New(engine.Config{Balancer: bal, Log: log,
		Transport: newExchanges(n.pool, cfg.Settings.Config.Reports == balance.InlineReports, log)})
	n.front = newFront(n.loop, cfg.Settings, clients, backends, n.figures, log)
	n.front.held.left.Store(n.bounds.held)
	n.disco = registry.New(cfg.Discovery, cfg.Settings, log,
		func(list engine.List) {
			kind := balance.MembersChanged
			if list.Complete {
				kind = balance.MembersAll
			}
			n.loop.Post(func() {
				n.takeList(kind, list)
				n.heard.Store(true)
				n.live(life.Event{Kind: life.Heard})
			})
		},
		func() { n.loop.Post(func() { n.loop.Handle(balance.Event{Kind: balance.MembersRefused}) }) })
	n.loop.Ask, n.loop.Saw = n.disco.Ask, n.saw
	if cfg.PeerListen != "" {
		if n.peers, err = listenPeers(&cfg, n.bounds.tell, log); err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
		n.loop.Tell = n.peers.tell
	}
	n.recall(cfg)
	// Last: who connects from here on has been taken, and waits.
	var l net.Listener
	if cfg.AcceptFD == "" {
		l, err = net.Listen("tcp", cfg.Listen)
	} else {
		l, err = handover.Listener(cfg.AcceptFD)
	}
	if err != nil {
		n.close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	n.listener = limitListener(l, clients)
	n.live(life.Event{Kind: life.Opened})
	if cfg.Management != "" {
		if n.door, err = net.Listen("tcp", cfg.Management); err != nil {
			n.close()
			return nil, fmt.Errorf("management: %w", err)
		}
	}
	if cfg.Shared != "" {
		if n.place, err = handover.Open(cfg.Shared, cfg.Name, log); err != nil {
			n.close()
			return nil, err
		}
		n.hand.Hear(n.place.Read())
		if n.place.Follows() {
			n.beside(true)
		}
	}
	return n, nil
}

// recall takes in the list that the node remembers.
func (n *Node) recall(cfg Config) {
	known := cfg.Known
	if cfg.knownErr != nil {
		n.log.Warn("known: the remembered list can't be read: waiting for discovery", "error", cfg.knownErr)
	}
	if known.Complete && len(known.Members) > 0 {
		n.disco.Holds(known.Revision)
	}
	known.Complete = true
	n.takeList(balance.MembersRemembered, known)
}

// close ends the sockets of a node that does not come to run.
func (n *Node) close() {
	if n.peers != nil {
		n.peers.conn.Close()
	}
	if n.listener != nil {
		n.listener.Close()
	}
	if n.door != nil {
		n.door.Close()
	}
}

// Addr is the address that the node listens on for clients.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// hear passes a peer's message on to the loop.
func (n *Node) hear(peer int, payload []byte) {
	if int(n.hears.Add(1)) > n.bounds.hear || !n.loop.Post(func() {
		n.hears.Add(-1)
		n.loop.Handle(balance.Event{Kind: balance.PeerMessage, Peer: peer, Payload: payload})
	}) {
		n.hears.Add(-1)
	}
}

// Run serves until ctx ends, then answers all that it has taken and returns.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { n.loop.Run(work.Done()) })
	wg.Go(func() { n.pool.run(work) })
	wg.Go(func() { n.front.relieve(work) })
	wg.Go(func() { n.disco.Run(work) })
	if n.peers != nil {
		wg.Go(func() {
			n.peers.run(work, n.hear)
		})
	}
	srv := n.front.server()
	if n.door != nil {
		d := newDoor(n)
		wg.Go(func() { d.srv.Serve(n.door) })
		wg.Go(func() { n.countOften(work) })
		defer d.srv.Close()
	}
	if n.place != nil {
		defer n.place.Close()
		wg.Go(func() {
			n.place.Run(work, n.beside, func(calls []members.Call) {
				n.loop.PostFirst(func() { n.heed(n.hand.Hear(calls)) })
			})
		})
		n.awaitList(ctx)
	}
	n.running.Store(true)
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(n.listener) }()
	wg.Go(func() { n.remember(work) })
	n.log.Info("serving", "name", n.cfg.Name, "listen", n.Addr().String())
	select {
	case err := <-ended:
		return fmt.Errorf("accepting: %w", err)
	case <-ctx.Done():
	}
	return n.leave(srv, ended)
}

// longestDeadline is the longest time for which a request may be in flight.
func longestDeadline(s settings.Settings) time.Duration {
	var longest time.Duration
	for _, c := range s.Config.Classes {
		if c.Gone {
			continue
		}
		longest = max(longest, cmp.Or(c.Deadline, defaultDeadline))
	}
	return longest
}

// limitListener bounds how many connections are open at once. Beyond that they wait in the backlog, where
// accepting them would run the process out of descriptors.
func limitListener(l net.Listener, most int) *boundedListener {
	b := &boundedListener{Listener: l, most: most, emptyAt: time.Now()}
	b.free.L = &b.mu
	return b
}

type boundedListener struct {
	net.Listener
	mu         sync.Mutex
	free       sync.Cond
	open, most int // accepted and not closed, and how many may be
	closed     bool
	emptyAt    time.Time // when the queue was known to be empty last; of Accept alone
}

// queueEmpty is how long the system has to wait for a connection for the queue to have been empty.
const queueEmpty = time.Millisecond

// holds is how many connections are open.
func (l *boundedListener) holds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// waits tells whether nobody can be let in now: it is full, or closed.
func (l *boundedListener) waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.most || l.closed
}

// full tells whether connections have to wait.
func (l *boundedListener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.most
}

// resize changes how many may be open. What is open is let be.
func (l *boundedListener) resize(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
	l.free.Broadcast()
}

// Accept is for one goroutine.
func (l *boundedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.open >= l.most && !l.closed {
		l.free.Wait()
	}
	closed := l.closed
	l.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	asked := time.Now()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if now := time.Now(); now.Sub(asked) >= queueEmpty {
		l.emptyAt = now
	}
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	bounded := &boundedConn{Conn: c, release: sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open--
		l.free.Signal()
	})}
	w := watched(bounded, c)
	w.notBefore = l.emptyAt
	return w, nil
}

func (l *boundedListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.free.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

type boundedConn struct {
	net.Conn
	release func()
}

func (c *boundedConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// every calls f each d until ctx ends.
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
