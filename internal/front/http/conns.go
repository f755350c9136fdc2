package httpfront

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"math"
	"net"
	"strings"
	"sync"
	"time"

	"glencart/internal/engine"
	"glencart/internal/site"
	"glencart/internal/sock"
)

const (
	// maxHeadBytes bounds the head of a box's answer.
	headMost = 64 << 10
	// freshFor is how long a connection may have stood idle that takes an unsafe request. A box closes idle connections
	// when it likes, and a request that crosses that is one that may have run.
	freshFor = 500 * time.Millisecond
)

// conn is a connection to a box. It carries one request at a time.
type conn struct {
	net.Conn
	to     engine.Endpoint
	limit  io.LimitedReader
	read   *bufio.Reader
	idleAt time.Time
}

// conns keeps the connections to the boxes of one pool.
type conns struct {
	dialer net.Dialer
	tls    *tls.Config   // nil: plain
	keep   time.Duration // how long one may stand idle
	most   int           // idle ones to one box

	mu     sync.Mutex
	closed bool
	idle   map[engine.Endpoint][]*conn // the one used last is at the end
}

func newConns(p *site.Pool) (*conns, error) {
	c := &conns{
		dialer: net.Dialer{Timeout: p.Connect.Or(time.Second)},
		keep:   p.Idle.Or(4 * time.Second), most: p.Keep, idle: map[engine.Endpoint][]*conn{},
	}
	if c.most == 0 {
		c.most = 64
	}
	if p.TLS {
		ca, err := p.Authorities()
		if err != nil {
			return nil, err
		}
		c.tls = &tls.Config{RootCAs: ca, ServerName: p.TLSName, InsecureSkipVerify: p.TLSInsecure, NextProtos: []string{"http/1.1"}}
	}
	return c, nil
}

// get returns an idle connection that is still up, or dials one.
func (p *conns) get(ctx context.Context, to engine.Endpoint, unsafe bool) (*conn, error) {
	for {
		c := p.take(to)
		if c == nil {
			break
		}
		if (!unsafe || time.Since(c.idleAt) < freshFor) && c.read.Buffered() == 0 && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	nc, err := p.dial(ctx, to.Addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, to: to}
	c.limit.R = nc
	c.read = bufio.NewReaderSize(&c.limit, 4<<10)
	return c, nil
}

func (p *conns) dial(ctx context.Context, addr string) (net.Conn, error) {
	network := "tcp"
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		network, addr = "unix", path
	}
	if p.tls == nil {
		return p.connect(ctx, &p.dialer, network, addr)
	}
	cfg := p.tls
	if cfg.ServerName == "" && network == "unix" {
		cfg = cfg.Clone()
		cfg.ServerName = "localhost"
	}
	return p.connect(ctx, &tls.Dialer{NetDialer: &p.dialer, Config: cfg}, network, addr)
}

// connect dials, and dials again where the system fails to for a moment.
func (p *conns) connect(ctx context.Context, dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}, network, addr string) (nc net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialer.Timeout)
	defer cancel()
	err = sock.Retry(ctx, func() (err error) {
		nc, err = dialer.DialContext(ctx, network, addr)
		return err
	})
	return nc, err
}

func (c *conn) quiet() bool {
	if t, ok := c.Conn.(*tls.Conn); ok {
		return sock.IsIdle(t.NetConn())
	}
	return sock.IsIdle(c.Conn)
}

func (p *conns) take(to engine.Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.set(to, list[:len(list)-1])
	return c
}

func (p *conns) set(to engine.Endpoint, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, to)
	} else {
		p.idle[to] = list
	}
}

// put takes back a connection whose last answer came whole.
func (p *conns) put(c *conn) {
	c.SetDeadline(time.Time{})
	c.limit.N = math.MaxInt64
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.to]) >= p.most {
		c.Close()
		return
	}
	p.idle[c.to] = append(p.idle[c.to], c)
}

// drop ends the idle connections to an endpoint.
func (p *conns) drop(to engine.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		c.Close()
	}
	delete(p.idle, to)
}

// run ends connections that have been idle for long, until ctx ends, and then all.
func (p *conns) run(ctx context.Context) {
	t := time.NewTicker(p.keep/4 + time.Millisecond)
	defer t.Stop()
	for {
		keep := p.keep
		select {
		case <-ctx.Done():
			keep = 0
		case <-t.C:
		}
		p.mu.Lock()
		p.closed = keep == 0
		for to, list := range p.idle {
			n := 0
			for n < len(list) && time.Since(list[n].idleAt) >= keep {
				list[n].Close()
				n++
			}
			p.set(to, list[n:])
		}
		p.mu.Unlock()
		if keep == 0 {
			return
		}
	}
}
