// Package node is one real node: the Balancer of package balance between clients, backends, discovery and peers
// on real sockets.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"glencart/balance"
)

const (
	// lameDuck is how long a node that is to end goes on accepting: the front needs up to 0.4 s to see it.
	lameDuck = 700 * time.Millisecond
	// drainSlack is what answering takes beyond the longest deadline.
	drainSlack = 300 * time.Millisecond
)

// Node is one node. New opens its sockets, Run serves.
type Node struct {
	cfg      Config
	log      *slog.Logger
	listener net.Listener
	peers    *peers
	pool     *pool
	loop     *loop
	front    *front
	disco    *discovery
}

// New returns a node that is ready to run.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	bal, err := balance.New(cfg.Settings.Config, cfg.Seed)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log}
	limits := cfg.Settings.Config.Limits
	clients, backends := cfg.Limits.share()
	n.pool = newPool(backends, limits.ConnectTimeout, limits.IdleClose)
	n.loop = newLoop(bal, newExchanges(n.pool, cfg.Settings.Config.Reports == balance.InlineReports, log), log)
	n.front = newFront(n.loop, cfg.Settings, clients, log)
	n.disco = newDiscovery(cfg.Discovery, cfg.Settings, log,
		func(list List) {
			kind := balance.MembersChanged
			if list.Complete {
				kind = balance.MembersAll
			}
			n.loop.post(func() { n.loop.list(kind, list) })
		},
		func() { n.loop.post(func() { n.loop.handle(balance.Event{Kind: balance.MembersRefused}) }) })
	n.loop.askAbout = n.disco.ask
	if cfg.PeerListen != "" {
		if n.peers, err = listenPeers(&cfg); err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
		n.loop.tellPeers = n.peers.tell
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		if n.peers != nil {
			n.peers.conn.Close()
		}
		return nil, fmt.Errorf("listen: %w", err)
	}
	n.listener = limitListener(l, clients)
	return n, nil
}

// Addr is the address that the node listens on for clients.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Run serves until ctx ends, then answers all that it has taken and returns.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	known := n.cfg.Known
	known.Complete = true
	n.loop.list(balance.MembersRemembered, known)
	wg.Go(func() { n.loop.run(work.Done()) })
	wg.Go(func() { n.pool.run(work) })
	wg.Go(func() { n.disco.run(work) })
	if n.peers != nil {
		wg.Go(func() {
			n.peers.run(work, func(peer int, payload []byte) {
				n.loop.post(func() {
					n.loop.handle(balance.Event{Kind: balance.PeerMessage, Peer: peer, Payload: payload})
				})
			})
		})
	}
	srv := n.front.server()
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(n.listener) }()
	n.log.Info("serving", "name", n.cfg.Name, "listen", n.Addr().String())
	select {
	case err := <-ended:
		return fmt.Errorf("accepting: %w", err)
	case <-ctx.Done():
	}
	return n.leave(srv)
}

// leave ends the node in order: it goes on accepting until nobody sends anything new, answers what it has taken,
// and closes each connection after an answer.
func (n *Node) leave(srv *http.Server) error {
	n.log.Info("leaving")
	n.front.leaving.Store(true)
	time.Sleep(lameDuck)
	var longest time.Duration
	for _, c := range n.cfg.Settings.Config.Classes {
		longest = max(longest, c.Deadline)
	}
	ctx, cancel := context.WithTimeout(context.Background(), longest+drainSlack)
	defer cancel()
	go func() {
		// A connection that has never sent a request would be waited for.
		for n.front.inFlight.Load() > 0 && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		pause(ctx, drainSlack)
		cancel()
	}()
	err := srv.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		srv.Close()
		err = nil
	}
	n.log.Info("left")
	return err
}

// limitListener bounds how many connections are open at once. Beyond that they wait in the backlog, where
// accepting them would run the process out of descriptors.
func limitListener(l net.Listener, most int) net.Listener {
	return &boundedListener{Listener: l, room: make(chan struct{}, most), closed: make(chan struct{})}
}

type boundedListener struct {
	net.Listener
	room   chan struct{}
	once   sync.Once
	closed chan struct{}
}

func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case l.room <- struct{}{}:
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &boundedConn{Conn: c, release: sync.OnceFunc(func() { <-l.room })}, nil
}

func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type boundedConn struct {
	net.Conn
	release func()
}

func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
