// Package node is one real node: the Balancer of package balance between clients, backends, discovery and peers
// on real sockets.
package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/handover"
	"glencart/internal/members/registry"
	"glencart/internal/settings"
	"glencart/members"
)

const (
	// lameDuck is how long a node that is to end goes on accepting at the least: the front needs up to 0.4 s to
	// see it. SIGKILL may come killAfter after SIGTERM and the longest deadline, or deadlineMost where that is less; spare
	// is kept before that.
	lameDuck, killAfter, spare = 600 * time.Millisecond, 700 * time.Millisecond, 200 * time.Millisecond
	deadlineMost               = 3 * time.Second
	// lastAnswers is how long before its end a node has every request answered: what is answered in the same instant has yet
	// to be worded and written, request by request.
	lastAnswers = 150 * time.Millisecond
	// lastServe is how long before its end a node stops to take requests on connections that it keeps: nearly all are
	// answered in that time, and the others are at its end.
	lastServe = 900 * time.Millisecond
	// clearFor is how long there must be room to accept, for the backlog to be empty.
	clearFor  = 50 * time.Millisecond
	lookEvery = 10 * time.Millisecond
)

// Node is one node. New opens its sockets, Run serves.
type Node struct {
	cfg      Config
	log      *slog.Logger
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
}

// New returns a node that is ready to run.
func New(cfg Config, log *slog.Logger) (*Node, error) {
	bal, err := balance.New(cfg.Settings.Config, cfg.Seed)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, figures: &figures{}}
	limits := cfg.Settings.Config.Limits
	clients, backends := cfg.Limits.share()
	n.pool = newPool(backends, limits.ConnectTimeout, limits.IdleClose)
	n.loop = engine.New(engine.Config{Balancer: bal, Log: log,
		Transport: newExchanges(n.pool, cfg.Settings.Config.Reports == balance.InlineReports, log)})
	n.front = newFront(n.loop, cfg.Settings, clients, backends, n.figures, log)
	n.front.held.left.Store(cmp.Or(cfg.Limits.MemoryMB<<20/holdPart, usualHold))
	n.disco = registry.New(cfg.Discovery, cfg.Settings, log,
		func(list engine.List) {
			kind := balance.MembersChanged
			if list.Complete {
				kind = balance.MembersAll
			}
			n.loop.Post(func() {
				n.takeList(kind, list)
				n.heard.Store(true)
			})
		},
		func() { n.loop.Post(func() { n.loop.Handle(balance.Event{Kind: balance.MembersRefused}) }) })
	n.loop.Ask = n.disco.Ask
	if cfg.PeerListen != "" {
		if n.peers, err = listenPeers(&cfg, log); err != nil {
			return nil, fmt.Errorf("peer_listen: %w", err)
		}
		n.loop.Tell = n.peers.tell
	}
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

// hearLeast and hearEach bound the messages of peers that wait for the loop, each some 200 bytes: a loop that is behind or a
// peer that floods must not fill the memory, and a datagram may be lost anyway. All peers may speak at once, hearEach times.
const hearLeast, hearEach = 1024, 2

// hearMost is how many messages of peers may wait for the loop.
func (n *Node) hearMost() int32 { return int32(max(hearLeast, hearEach*len(n.cfg.Peers))) }

// hear passes a peer's message on to the loop.
func (n *Node) hear(peer int, payload []byte) {
	if n.hears.Add(1) > n.hearMost() || !n.loop.Post(func() {
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
	known := n.cfg.Known
	if err := n.cfg.knownErr; err != nil {
		n.log.Warn("known: the remembered list can't be read: waiting for discovery", "error", err)
	}
	if known.Complete && len(known.Members) > 0 {
		n.disco.Holds(known.Revision)
	}
	known.Complete = true
	n.takeList(balance.MembersRemembered, known)
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
	n.log.Info("serving", "name", n.cfg.Name, "listen", n.Addr().String())
	select {
	case err := <-ended:
		return fmt.Errorf("accepting: %w", err)
	case <-ctx.Done():
	}
	return n.leave(srv)
}

// leave ends the node in order: it goes on serving for as long as what comes can be answered in time, then closes
// each connection after its answer. Clients keep to their connections: one closed early, with other nodes out
// for a restart too, leaves them none.
func (n *Node) leave(srv *http.Server) error {
	if n.place != nil && n.place.Followed() {
		return n.yield(srv)
	}
	end := n.leaveSoon("leaving")
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	pause(ctx, lameDuck)
	// What stands in the backlog for want of room has been taken too, and closing the listener would reset it.
	for free := time.Duration(0); free < clearFor && ctx.Err() == nil; free += lookEvery {
		pause(ctx, lookEvery)
		if n.listener.full() {
			free = 0
		}
	}
	// Nobody is sent here any more. Who is connected may have nowhere else to go, and keeps the connection.
	n.listener.Close()
	n.front.keepAll()
	for n.front.connected() && time.Until(end) > lastServe {
		pause(ctx, lookEvery)
	}
	return n.finish(srv, end)
}

// leaveSoon has all that is open, and all that comes, answered before the node's end, and returns that.
func (n *Node) leaveSoon(why string) time.Time {
	most := min(longestDeadline(n.front.tuning.Load().Settings), deadlineMost)
	end := time.Now().Add(most + killAfter - spare)
	n.log.Info(why, "most", time.Until(end))
	n.front.leaving.Store(true)
	by := end.Add(-lastAnswers)
	n.loop.PostFirst(func() { n.loop.AnswerBy(by) })
	time.AfterFunc(time.Until(by), func() { n.loop.PostFirst(func() { n.loop.AnswerBy(by) }) }) // streams
	return end
}

// finish closes each connection after its answer, and near the end those on which nothing has come. One on which a request
// is being written stays to the end.
func (n *Node) finish(srv *http.Server, end time.Time) error {
	n.front.closing.Store(true)
	for n.front.connected() && time.Now().Before(end) {
		if time.Until(end) < lastServe {
			n.front.closeQuiet()
		}
		time.Sleep(lookEvery)
	}
	n.log.Info("left")
	if err := srv.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // the listener may be closed already
		return err
	}
	return nil
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
	b := &boundedListener{Listener: l, most: most}
	b.free.L = &b.mu
	return b
}

type boundedListener struct {
	net.Listener
	mu         sync.Mutex
	free       sync.Cond
	open, most int // accepted and not closed, and how many may be
	closed     bool
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
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
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
	return watched(bounded, c), nil
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
