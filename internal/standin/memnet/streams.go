package memnet

// This file has streams: pipes whose writes wait for their link.

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// backlogMost is how many streams wait to be accepted.
const backlogMost = 128

type listener struct {
	net    *Net
	at     netip.AddrPort
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen opens a listener for streams.
func (h Host) Listen(addr string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	a, err := h.at(addr, func(a netip.AddrPort) bool { return h.net.streams[a] != nil })
	if err != nil {
		return nil, err
	}
	l := &listener{net: h.net, at: a, queue: make(chan net.Conn, backlogMost), closed: make(chan struct{})}
	h.net.streams[a] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		if !l.net.moves(l.at.Addr(), l.closed) {
			c.Close()
			return nil, net.ErrClosed
		}
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.streams, l.at)
		l.net.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.queue:
				c.Close()
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

// Dial opens a stream to a listener. It waits for as long as either direction is cut.
func (h Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	h.net.moves(h.addr, nil)
	for _, way := range [][2]netip.Addr{{h.addr, to.Addr()}, {to.Addr(), h.addr}} {
		if err := h.net.wait(ctx.Done(), nil, way[0], way[1]); err != nil {
			return nil, fmt.Errorf("dial %s: %w", addr, context.DeadlineExceeded)
		}
	}
	h.net.mu.Lock()
	l := h.net.streams[to]
	h.net.ports++
	from := netip.AddrPortFrom(h.addr, h.net.ports)
	h.net.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: connection refused", addr)
	}
	near, far := net.Pipe()
	a := &stream{Conn: near, net: h.net, from: from, to: to, gone: make(chan struct{})}
	b := &stream{Conn: far, net: h.net, from: to, to: from, gone: make(chan struct{})}
	select {
	case l.queue <- b:
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: connection refused", addr)
	default:
		return nil, fmt.Errorf("dial %s: too many wait to be accepted", addr)
	}
	return a, nil
}

// wait waits until a direction carries something, and for its delay.
func (n *Net) wait(done, gone <-chan struct{}, from, to netip.Addr) error {
	for {
		n.mu.Lock()
		l, changed := n.link(from, to), n.changed
		n.mu.Unlock()
		var pass <-chan time.Time
		if !l.Cut {
			if l.Delay == 0 {
				return nil
			}
			pass = time.After(l.Delay)
		}
		select {
		case <-pass:
			return nil
		case <-changed:
		case <-done:
			return os.ErrDeadlineExceeded
		case <-gone:
			return net.ErrClosed
		}
	}
}

// stream is one end of a stream.
type stream struct {
	net.Conn
	net      *Net
	from, to netip.AddrPort
	once     sync.Once
	gone     chan struct{}

	mu  sync.Mutex
	end time.Time // the write deadline
}

func (s *stream) Write(b []byte) (int, error) {
	s.mu.Lock()
	end := s.end
	s.mu.Unlock()
	var done chan struct{}
	if !end.IsZero() {
		done = make(chan struct{})
		defer time.AfterFunc(time.Until(end), func() { close(done) }).Stop()
	}
	if !s.net.moves(s.from.Addr(), s.gone) {
		return 0, net.ErrClosed
	}
	if err := s.net.wait(done, s.gone, s.from.Addr(), s.to.Addr()); err != nil {
		return 0, err
	}
	return s.Conn.Write(b)
}

func (s *stream) Close() error {
	s.once.Do(func() { close(s.gone) })
	return s.Conn.Close()
}

func (s *stream) SetDeadline(t time.Time) error {
	s.keep(t)
	return s.Conn.SetDeadline(t)
}

func (s *stream) SetWriteDeadline(t time.Time) error {
	s.keep(t)
	return s.Conn.SetWriteDeadline(t)
}

func (s *stream) keep(t time.Time) {
	s.mu.Lock()
	s.end = t
	s.mu.Unlock()
}

func (s *stream) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(s.from) }
func (s *stream) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(s.to) }
