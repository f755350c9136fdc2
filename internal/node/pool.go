package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"glencart/internal/engine"
	"glencart/internal/sock"
)

// conn is a connection to a backend. It carries one request at a time.
type conn struct {
	net.Conn
	to       engine.Endpoint
	limit    io.LimitedReader // bounds the bytes of one answer
	read     *bufio.Reader
	idleAt   time.Time
	idleAge  time.Duration // idle time when it was last taken
	isReused bool          // it has carried an answer before
}

var (
	// errNoCapacity reports that the node can't open another connection now. The cause is not the backend.
	errNoCapacity = errors.New("no room for another backend connection")
	// errNewConnNotQuiet reports that a new connection ended, or had bytes to read, before anything was written.
	errNewConnNotQuiet = errors.New("new backend connection closed or readable before the request")
	// errEarlyData reports the same before the last byte of a request was written.
	errEarlyData = errors.New("backend answered or closed before the last byte of the request")
)

// pool holds the idle connections to backends, and counts all connections.
type pool struct {
	dialer      net.Dialer
	maxConns    int           // limit on connections, idle or in use
	idleTimeout time.Duration // how long a connection may be idle
	breakRates  idleBreakRates

	mu   sync.Mutex
	idle map[engine.Endpoint][]*conn // the most recently used connection is last
	open int
}

func newPool(maxConns int, connectTimeout, idleClose time.Duration) *pool {
	connectTimeout, keep := poolTimes(connectTimeout, idleClose)
	return &pool{
		// The dial timeout is for a machine that answers no SYN. Keep-alive is off because its packets would
		// detect nothing.
		dialer:      net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		maxConns:    maxConns,
		idleTimeout: keep,
		idle:        map[engine.Endpoint][]*conn{},
	}
}

// poolTimes returns the dial timeout and how long a connection may be idle. A backend closes an idle connection
// after idleClose at the latest. A request that crosses the close gets a reset and may have run. So keep stays
// well below idleClose.
func poolTimes(connectTimeout, idleClose time.Duration) (dial, keep time.Duration) {
	if connectTimeout <= 0 {
		connectTimeout = time.Second
	}
	if idleClose <= 0 {
		idleClose = 5 * time.Second
	}
	return connectTimeout, max(0, min(idleClose*7/10, idleClose-idleMargin))
}

// idleMargin is how long before idleClose a connection is no longer used. The node may be held up for 0.15 s
// between reading the clock and its write, and the written bytes need time to arrive.
const idleMargin = 200 * time.Millisecond

// setTimes applies changed settings. Connections that are idle for too long by the new times are not used again.
func (p *pool) setTimes(connectTimeout, idleClose time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer.Timeout, p.idleTimeout = poolTimes(connectTimeout, idleClose)
}

// get returns an idle connection, or dials one. A probe gets the connection that has been idle longest, even if
// connections of that idle age often break. If it breaks, no request is lost and the pool learns from it. A
// request gets the most recently used connection, unless connections of that idle age often break. The caller
// must check that the connection is usable right before it writes.
func (p *pool) get(ctx context.Context, to engine.Endpoint, probe bool) (*conn, error) {
	if c := p.take(to, probe); c != nil {
		return c, nil
	}
	if !p.reserve() {
		return nil, errNoCapacity
	}
	nc, err := p.dial(ctx, to.Addr)
	if err != nil {
		p.release()
		return nil, err
	}
	c := &conn{Conn: nc, to: to}
	c.limit.R = nc
	c.read = bufio.NewReaderSize(&c.limit, 2<<10)
	return c, nil
}

// dial connects to an address. It repeats temporary failures within the dial timeout. If the last failure is
// for lack of resources on this machine, the error is errNoCapacity.
func (p *pool) dial(ctx context.Context, addr string) (nc net.Conn, err error) {
	p.mu.Lock()
	dialer := p.dialer
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialer.Timeout)
	defer cancel()
	err = sock.Retry(ctx, func() (err error) {
		nc, err = dialer.DialContext(ctx, "tcp", addr)
		return err
	})
	if sock.IsLocalError(err) {
		err = errors.Join(errNoCapacity, err)
	}
	return nc, err
}

func (p *pool) take(to engine.Endpoint, probe bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		list := p.idle[to]
		if len(list) == 0 {
			return nil
		}
		last := len(list) - 1
		c := list[last]
		if probe {
			c = list[0]
			copy(list, list[1:])
		} else if p.breakRates.breaksTooOften(time.Since(c.idleAt)) {
			return nil // the others are older
		}
		list[last] = nil
		p.setIdle(to, list[:last])
		if c.idleAge = time.Since(c.idleAt); c.idleAge < p.idleTimeout {
			return c
		}
		c.Close()
		p.open--
	}
}

func (p *pool) setIdle(to engine.Endpoint, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, to)
	} else {
		p.idle[to] = list
	}
}

// reserve counts a connection that is about to be dialed. At the limit it closes the one that has been idle
// longest.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.maxConns {
		p.open++
		return true
	}
	return p.closeOldestIdle()
}

// closeOldestIdle closes the connection that has been idle longest, if there is one. It stays in the count.
func (p *pool) closeOldestIdle() bool {
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].idleAt.Before(oldest.idleAt) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(oldest.to, p.idle[oldest.to][1:])
	oldest.Close()
	return true
}

// resize changes the limit on connections. It closes idle ones to meet the limit, but none in use.
func (p *pool) resize(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
	for p.open > maxConns && p.closeOldestIdle() {
		p.open--
	}
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put returns a connection to the pool after a whole answer.
func (p *pool) put(c *conn) {
	c.idleAt, c.isReused = time.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > p.maxConns { // the limit was higher when it was dialed
		c.Close()
		p.open--
		return
	}
	p.idle[c.to] = append(p.idle[c.to], c)
}

// discard closes a connection that can't be reused.
func (p *pool) discard(c *conn) {
	sock.Abort(c.Conn)
	p.release()
}

// drop closes the idle connections to an endpoint.
func (p *pool) drop(to engine.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		c.Close()
		p.open--
	}
	delete(p.idle, to)
}

// run closes connections that have been idle for too long until ctx ends, and then all idle ones.
func (p *pool) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		keep := p.idleTimeout
		p.mu.Unlock()
		pause(ctx, min(max(keep/8, time.Millisecond), time.Second)) // at least 1 ms to avoid a busy loop, at most 1 s to notice a shorter keep
		p.sweep(keep)
	}
	p.sweep(0)
}

func (p *pool) sweep(keep time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for to, list := range p.idle {
		n := 0
		for n < len(list) && now.Sub(list[n].idleAt) >= keep {
			list[n].Close()
			p.open--
			n++
		}
		p.setIdle(to, list[n:])
	}
}

// usable reports whether an idle connection is still up and has no unread bytes. A backend that restarted under
// the same address leaves connections behind on which a request would be lost.
func (c *conn) usable() bool {
	if c.read.Buffered() > 0 {
		return false
	}
	return sock.IsIdle(c.Conn)
}
