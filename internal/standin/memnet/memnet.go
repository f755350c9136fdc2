// Package memnet is a network in memory, for tests under testing/synctest: hosts with addresses of their own, datagrams that get lost,
// late, repeated and out of order, streams that stall, links that fail in one direction. All time is package time's, all chance is from the
// seed, and nobody waits in a way that synctest does not see.
//
// This file has the hosts and their links, and datagrams.
package memnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Link is what one direction between two hosts is like.
type Link struct {
	Cut    bool          // datagrams are lost, streams stall until it is mended
	Drop   float64       // part of the datagrams that is lost
	Repeat float64       // part of them that comes twice
	Delay  time.Duration // of everything
	Jitter time.Duration // of datagrams, beyond Delay: they overtake each other
}

// Net is a network. New returns one.
type Net struct {
	mu      sync.Mutex
	rng     *rand.Rand
	usual   Link
	links   map[[2]netip.Addr]Link
	changed chan struct{} // closed at each change of links
	packets map[netip.AddrPort]*packetConn
	streams map[netip.AddrPort]*listener
	still   map[netip.Addr]bool // hosts that stand still
	watch   func(from, to netip.AddrPort, b []byte)
	ports   uint16
	dropped int
	carried int
	bytes   int
}

// New returns a network whose links are as usual says.
func New(seed uint64, usual Link) *Net {
	return &Net{rng: rand.New(rand.NewPCG(seed, 2)), usual: usual, links: map[[2]netip.Addr]Link{}, changed: make(chan struct{}),
		still: map[netip.Addr]bool{}, packets: map[netip.AddrPort]*packetConn{}, streams: map[netip.AddrPort]*listener{}, ports: 40000}
}

// Set changes one direction between two hosts.
func (n *Net) Set(from, to netip.Addr, l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]netip.Addr{from, to}] = l
	n.change()
}

// Usual changes all links that were not set.
func (n *Net) Usual(l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.usual = l
	n.change()
}

func (n *Net) change() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Carried is how many datagrams came, with their bytes, and how many got lost.
func (n *Net) Carried() (datagrams, bytes, lost int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.carried, n.bytes, n.dropped
}

func (n *Net) link(from, to netip.Addr) Link {
	if l, ok := n.links[[2]netip.Addr{from, to}]; ok {
		return l
	}
	return n.usual
}

// Host is one machine. Its methods are those that a cluster speaks through.
type Host struct {
	net  *Net
	addr netip.Addr
}

// Host returns the machine at an address.
func (n *Net) Host(a netip.Addr) Host { return Host{n, a} }

// at reads an address of this host; port 0 takes a free one. With the lock.
func (h Host) at(addr string, taken func(netip.AddrPort) bool) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || a.Addr() != h.addr {
		return a, fmt.Errorf("listen %s: not an address of %s", addr, h.addr)
	}
	for a.Port() == 0 || taken(a) {
		if a.Port() != 0 && addr == a.String() {
			return a, fmt.Errorf("listen %s: address already in use", addr)
		}
		h.net.ports++
		a = netip.AddrPortFrom(h.addr, h.net.ports)
	}
	return a, nil
}

// inboxMost is how many datagrams a socket holds: beyond them, they are lost.
const inboxMost = 512

type packet struct {
	from netip.AddrPort
	b    []byte
}

type packetConn struct {
	net    *Net
	at     netip.AddrPort
	inbox  chan packet
	closed chan struct{}
	once   sync.Once
}

// ListenPacket opens a socket for datagrams.
func (h Host) ListenPacket(addr string) (net.PacketConn, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	a, err := h.at(addr, func(a netip.AddrPort) bool { return h.net.packets[a] != nil })
	if err != nil {
		return nil, err
	}
	c := &packetConn{net: h.net, at: a, inbox: make(chan packet, inboxMost), closed: make(chan struct{})}
	h.net.packets[a] = c
	return c, nil
}

func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.inbox:
		if !c.net.moves(c.at.Addr(), c.closed) {
			return 0, nil, net.ErrClosed
		}
		return copy(b, p.b), net.UDPAddrFromAddrPort(p.from), nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram. That it gets lost is no error.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if !c.net.moves(c.at.Addr(), c.closed) {
		return 0, net.ErrClosed
	}
	u, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, fmt.Errorf("send to %v: not a UDP address", to)
	}
	dst := u.AddrPort()
	p := packet{c.at, append([]byte(nil), b...)}
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.watch != nil {
		n.watch(c.at, dst, p.b)
	}
	l := n.link(c.at.Addr(), dst.Addr())
	// The draws are made whatever comes of them, so that a link's fault does not change the chance of others.
	lost, twice := n.rng.Float64() < l.Drop, n.rng.Float64() < l.Repeat
	first, second := n.rng.Float64(), n.rng.Float64()
	if l.Cut || lost {
		n.dropped++
		return len(b), nil
	}
	n.carry(dst, p, l.Delay+time.Duration(first*float64(l.Jitter)))
	if twice {
		n.carry(dst, p, l.Delay+time.Duration(second*float64(l.Jitter)))
	}
	return len(b), nil
}

// carry hands a datagram in after a while. With the lock. Timers fire in turn under synctest, so the order is the same for one seed.
func (n *Net) carry(dst netip.AddrPort, p packet, after time.Duration) {
	time.AfterFunc(after, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		c := n.packets[dst]
		if c == nil {
			n.dropped++
			return
		}
		select {
		case c.inbox <- p:
			n.carried++
			n.bytes += len(p.b)
		default:
			n.dropped++
		}
	})
}

func (c *packetConn) Close() error {
	c.once.Do(func() {
		c.net.mu.Lock()
		delete(c.net.packets, c.at)
		c.net.mu.Unlock()
		close(c.closed)
	})
	return nil
}

func (c *packetConn) LocalAddr() net.Addr              { return net.UDPAddrFromAddrPort(c.at) }
func (c *packetConn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (c *packetConn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (c *packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
