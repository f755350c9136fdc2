package cluster

// This file has what goes by stream: full exchanges, and the question who is there. A stream carries one Packet each way.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"glencart/detect"
	"glencart/internal/cluster/wire"
)

// Bounds of a stream in time: one that stalls is given up, and the next exchange tries another member.
const (
	dialWithin   = time.Second
	streamWithin = 5 * time.Second
)

// exchange sends a Push and hands in its Pull, beside the caller.
func (c *Cluster) exchange(addr string, m detect.Message) {
	if a, err := netip.ParseAddrPort(addr); err == nil && !c.allowed(a.Addr()) {
		c.counts.drop(outside, addr)
		return
	}
	if !c.aside.TryGo(func() error {
		push := wire.FromDetect(m)
		push.Levels = c.words(wire.StreamMost)
		p, err := call(c.running, c.net, addr, c.number, push)
		if err != nil {
			c.counts.add(exchangeLost)
			c.log.Debug("fleet: exchange failed", "with", addr, "error", err)
			return nil
		}
		if m, ok := p.ToDetect(); ok && m.Kind == detect.Pull {
			c.handle(detect.Event{Kind: detect.Received, From: addr, Message: m}, nil)
			c.heardLevels(p, addr)
			c.met()
			c.pulls.Add(1)
			c.ownersChanged()
		} else {
			c.counts.drop(garbage, addr)
		}
		return nil
	}) {
		c.counts.add(exchangeMany)
	}
}

// call sends one Packet by stream and returns its answer.
func call(ctx context.Context, n Net, addr string, number uint64, p *wire.Packet) (*wire.Packet, error) {
	b, err := wire.Encode(number, p)
	if err != nil {
		return nil, err
	}
	dial, stop := context.WithTimeout(ctx, dialWithin)
	defer stop()
	conn, err := n.Dial(dial, addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(streamWithin))
	if err := wire.WriteFrame(conn, b); err != nil {
		return nil, err
	}
	if b, err = wire.ReadFrame(conn); err != nil {
		return nil, err
	}
	return wire.Decode(number, b)
}

// accept answers streams until the listener is closed. Those beyond streamMost wait in the system's queue.
func (c *Cluster) accept(ctx context.Context) {
	room := make(chan struct{}, streamMost)
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return
		}
		conn, err := c.listener.Accept()
		if err != nil {
			<-room
			if !rest(ctx, pauseAfterFault) {
				return
			}
			continue
		}
		open.Go(func() {
			defer func() { <-room }()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			conn.SetDeadline(time.Now().Add(streamWithin))
			c.answer(conn)
		})
	}
}

// Exchanges is how many exchanges that this process began have come to their end. Before the first a process knows others by hearsay
// alone, and takes a later start of its own name for one that was before it.
func (c *Cluster) Exchanges() uint64 { return c.pulls.Load() }

// answer reads a stream's Packet and answers it.
func (c *Cluster) answer(conn net.Conn) {
	remote := addrPort(conn.RemoteAddr())
	from := remote.String()
	here := remote.Addr().IsLoopback()
	if !here && !c.allowed(remote.Addr()) {
		c.counts.drop(outside, from)
		return
	}
	b, err := wire.ReadFrame(conn)
	if errors.Is(err, wire.ErrTooLong) {
		c.counts.drop(tooLong, from)
	}
	if err != nil {
		return
	}
	p, err := wire.Decode(c.number, b)
	if err != nil {
		c.counts.drop(reasonOf(err), from)
		return
	}
	if p.GetWho() != nil {
		c.put(conn, c.known())
		return
	}
	m, ok := p.ToDetect()
	_, member := p.From.ToWord()
	switch {
	case !c.allowed(remote.Addr()):
		c.counts.drop(outside, from)
	case !c.meant(p):
		c.counts.add(misled)
	case member && p.GetRecords() != nil:
		c.put(conn, &wire.Packet{Body: &wire.Packet_Records{Records: c.records(p.GetRecords(), p.From.Name)}})
	case member && p.GetDigests() != nil:
		c.put(conn, &wire.Packet{Body: &wire.Packet_Digests{Digests: c.digests(p.GetDigests())}})
	case member && p.GetMarks().GetReply():
		c.replies(p, from)
		c.put(conn, &wire.Packet{Body: &wire.Packet_Marks{Marks: &wire.Marks{Reply: true}}})
	case member && p.GetMarks() != nil:
		c.put(conn, &wire.Packet{From: wire.FromWord(c.View().Self), Body: &wire.Packet_Marks{Marks: c.marked(p, from)}})
	case !ok || m.Kind != detect.Push:
		c.counts.drop(garbage, from)
	default:
		c.handle(detect.Event{Kind: detect.Received, From: from, Message: m}, func(m detect.Message) {
			pull := wire.FromDetect(m)
			pull.Levels = c.words(wire.StreamMost)
			c.put(conn, pull)
		})
		c.heardLevels(p, from)
		c.met()
	}
}

func (c *Cluster) put(w io.Writer, p *wire.Packet) {
	if b, err := wire.Encode(c.number, p); err == nil {
		wire.WriteFrame(w, b) // a reader that is gone is its own fault
	}
}

// known words the view.
func (c *Cluster) known() *wire.Packet {
	v := c.View()
	m := &wire.Members{Size: uint32(v.Size), CutOff: v.CutOff, Superseded: v.Superseded, Cause: v.Cause, Counts: c.Counts(), Exchanges: c.pulls.Load(), Shared: c.told(), Levels: c.words(wire.StreamMost)}
	m.Turned, m.Shedding = c.pressure.Load().Turned()
	for _, x := range v.Members {
		m.List = append(m.List, &wire.Member{Word: wire.FromWord(x.Update), Link: x.Link.String(), SinceMs: time.Since(x.Since).Milliseconds()})
	}
	return &wire.Packet{From: wire.FromWord(v.Self), Body: &wire.Packet_Members{Members: m}}
}

// Ask asks a running process of a cluster what it knows of its fleet, and which of its words is its own.
func Ask(ctx context.Context, n Net, addr, cluster string) (*wire.Members, *wire.Word, error) {
	p, err := call(ctx, n, addr, wire.Number(cluster), &wire.Packet{Body: &wire.Packet_Who{Who: &wire.Who{}}})
	if err != nil {
		return nil, nil, fmt.Errorf("fleet: %s: %w: does the process run, with the same fleet.cluster, and are we in its fleet.networks?", addr, err)
	}
	m := p.GetMembers()
	if m == nil {
		return nil, nil, fmt.Errorf("fleet: %s: it answered something else: is it of another release?", addr)
	}
	return m, p.From, nil
}
