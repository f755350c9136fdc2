package cluster

// This file reads and sends datagrams.

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"glencart/detect"
	"glencart/internal/cluster/wire"
)

// datagram is one that waits for a worker. Its buffer goes back to buffers.
type datagram struct {
	from netip.AddrPort
	b    *[wire.DatagramMost + 1]byte
	n    int
}

var buffers = sync.Pool{New: func() any { return new([wire.DatagramMost + 1]byte) }}

// pauseAfterFault is how long the sockets are let alone after they failed while the process goes on.
const pauseAfterFault = 50 * time.Millisecond

// read puts what comes into the inbox, until the socket is closed.
func (c *Cluster) read(ctx context.Context) {
	for {
		b := buffers.Get().(*[wire.DatagramMost + 1]byte)
		n, addr, err := c.packets.ReadFrom(b[:])
		if err != nil {
			buffers.Put(b)
			if !rest(ctx, pauseAfterFault) {
				return
			}
			continue
		}
		from := addrPort(addr)
		r := reasons
		switch {
		case !c.allowed(from.Addr()):
			r = outside
		case n > wire.DatagramMost:
			r = tooLong
		default:
			select {
			case c.inbox <- datagram{from, b, n}:
				continue
			default:
				r = crowded
			}
		}
		buffers.Put(b)
		c.counts.drop(r, from.String())
	}
}

// rest waits; false: ctx ended.
func rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// addrPort is a socket's address in the form that is compared; the zero value for one that is no IP address.
func addrPort(a net.Addr) netip.AddrPort {
	var p netip.AddrPort
	switch a := a.(type) {
	case *net.UDPAddr:
		p = a.AddrPort()
	case *net.TCPAddr:
		p = a.AddrPort()
	}
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}

// work takes datagrams until ctx ends.
func (c *Cluster) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-c.inbox:
			c.took(d)
			buffers.Put(d.b)
		}
	}
}

// took reads one datagram. Strings and bytes of a Packet are copies, so the buffer is free after it.
func (c *Cluster) took(d datagram) {
	p, err := wire.Decode(c.number, d.b[:d.n])
	if err != nil {
		c.counts.drop(reasonOf(err), d.from.String())
		return
	}
	if p.GetMarks() != nil || p.GetRecords() != nil {
		c.tookShared(p, d.from.String())
		return
	}
	if p.Body == nil && p.Levels != nil {
		c.heardLevels(p, d.from.String())
		return
	}
	if p.GetPressure() != nil {
		c.pressed(p, d.from.String())
		return
	}
	m, ok := p.ToDetect()
	if !ok || m.Kind == detect.Push || m.Kind == detect.Pull {
		if p.GetProbe().GetKind() <= wire.Kind_PULL { // else a later release's: skipped
			c.counts.drop(garbage, d.from.String())
		}
		return
	}
	c.handle(detect.Event{Kind: detect.Received, From: d.from.String(), Message: m}, nil)
}

// tookShared takes marks, replies and records that came by datagram. They are believed from whoever may speak here, as all else is.
func (c *Cluster) tookShared(p *wire.Packet, from string) {
	w, ok := p.From.ToWord()
	switch m := p.GetMarks(); {
	case !ok:
		c.counts.drop(garbage, from)
	case !c.meant(p):
		c.counts.add(misled)
	case p.GetRecords() != nil:
		c.records(&wire.Records{List: p.GetRecords().List}, from)
	case m.Reply:
		c.replies(p, from)
	default:
		reply := c.marked(p, from)
		if len(reply.List) == 0 {
			return
		}
		to := from // as with all answers, but for one that goes by stream
		if proto.Size(reply) > wire.DatagramMost-datagramRoom {
			to = w.Addr
		}
		c.sendMarks(to, reply)
	}
}

// send sends a message. What has no room is left out, the last first: the youngest news stands first.
func (c *Cluster) send(addr string, m detect.Message) {
	b, err := wire.Encode(c.number, wire.FromDetect(m))
	for err == nil && len(b) > wire.DatagramMost && len(m.Updates)+len(m.Links) > 0 {
		c.counts.add(shortened)
		m.Updates, m.Links = m.Updates[:len(m.Updates)/2], m.Links[:len(m.Links)/2]
		b, err = wire.Encode(c.number, wire.FromDetect(m))
	}
	if err != nil {
		c.counts.add(notSent)
		return
	}
	to, err := netip.ParseAddrPort(addr)
	if err == nil {
		c.sendTo(to, b)
		return
	}
	// A seed's name: asking for it may take long.
	if !c.aside.TryGo(func() error {
		ctx, stop := context.WithTimeout(c.running, dialWithin)
		defer stop()
		if a, err := resolve(ctx, addr); err == nil {
			c.sendTo(a, b)
		} else {
			c.counts.add(notSent)
		}
		return nil
	}) {
		c.counts.add(notSent)
	}
}

func (c *Cluster) sendTo(to netip.AddrPort, b []byte) {
	if !c.allowed(to.Addr()) {
		c.counts.drop(outside, to.String())
		return
	}
	if _, err := c.packets.WriteTo(b, net.UDPAddrFromAddrPort(to)); err != nil {
		c.counts.add(notSent)
	}
}

// resolve asks the system for an address.
func resolve(ctx context.Context, addr string) (netip.AddrPort, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return netip.AddrPort{}, err
	}
	n, err := net.DefaultResolver.LookupPort(ctx, "udp", port)
	if err != nil {
		return netip.AddrPort{}, err
	}
	ips, err := net.DefaultResolver.LookupNetIP(ctx, "ip", host)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(ips[0].Unmap(), uint16(n)), nil
}
