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
	to     engine.Endpoint
	limit  io.LimitedReader // bounds what one answer may hold
	read   *bufio.Reader
	idleAt time.Time
	age    time.Duration // how long it had been idle when it was taken
	kept   bool          // it has carried an answer before
}

var (
	// errNoRoom says that the node can open no more connections now, which tells nothing of the backend.
	errNoRoom = errors.New("no connection to a backend can be opened here now")
	// errSpoke says that a new connection ended, or had something to read, before anything was written.
	errSpoke = errors.New("a new connection was not quiet")
	// errEarly says the same of one before the last byte of a request.
	errEarly = errors.New("something came before the last byte of the request")
)

// pool keeps the connections to backends: the idle ones, and a count of all.
type pool struct {
	dialer net.Dialer
	most   int           // connections, idle or not
	keep   time.Duration // how long one may stand idle
	wear   wear

	mu   sync.Mutex
	idle map[engine.Endpoint][]*conn // the one used last is at the end
	open int
}

func newPool(most int, connectTimeout, idleClose time.Duration) *pool {
	connectTimeout, keep := poolTimes(connectTimeout, idleClose)
	return &pool{
		// A silent machine answers no SYN, and keep-alive packets notice nothing.
		dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		most:   most,
		keep:   keep,
		idle:   map[engine.Endpoint][]*conn{},
	}
}

// poolTimes returns how long a dial may take and how long a connection may stand idle. A backend closes an idle one at idleClose
// at the latest, and a request that crosses that is a reset that may have run: stay well below.
func poolTimes(connectTimeout, idleClose time.Duration) (dial, keep time.Duration) {
	if connectTimeout <= 0 {
		connectTimeout = time.Second
	}
	if idleClose <= 0 {
		idleClose = 5 * time.Second
	}
	return connectTimeout, max(0, min(idleClose*7/10, idleClose-idleMargin))
}

// idleMargin is how long before a backend may close an idle connection that is not used any more: a node may be held up for 0.15 s
// between its look at the clock and its write, and the write has a way to go.
const idleMargin = 200 * time.Millisecond

// retune takes in times that changed in service. Connections that are idle for too long by them are not used again.
func (p *pool) retune(connectTimeout, idleClose time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialer.Timeout, p.keep = poolTimes(connectTimeout, idleClose)
}

// get returns an idle connection, or dials one. A probe takes the one that has been idle longest, however worn: it
// may break, and shows at no cost how those fare. A request takes the one used last, unless that is worn. Whether it is
// usable is for the caller to see, in the instant before it writes.
func (p *pool) get(ctx context.Context, to engine.Endpoint, probe bool) (*conn, error) {
	if c := p.take(to, probe); c != nil {
		return c, nil
	}
	if !p.reserve() {
		return nil, errNoRoom
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

// dial connects to an address. What may fail for a moment is repeated within the time that a connection may take to come up; what
// then still fails for want of something on this machine is errNoRoom.
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
	if sock.LocalFailure(err) {
		err = errors.Join(errNoRoom, err)
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
		} else if p.wear.worn(time.Since(c.idleAt)) {
			return nil // the others are older
		}
		list[last] = nil
		p.setIdle(to, list[:last])
		if c.age = time.Since(c.idleAt); c.age < p.keep {
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

// reserve counts a connection to be dialed. At the limit the one that has been idle longest makes room.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.most {
		p.open++
		return true
	}
	return p.giveWay()
}

// giveWay closes the connection that has been idle longest, if there is one. Its place is still counted.
func (p *pool) giveWay() bool {
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

// resize changes how many connections there may be. Idle ones make room; one in use is let be.
func (p *pool) resize(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
	for p.open > most && p.giveWay() {
		p.open--
	}
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put takes back a connection whose last answer came whole.
func (p *pool) put(c *conn) {
	c.idleAt, c.kept = time.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > p.most { // there were more places when it was dialed
		c.Close()
		p.open--
		return
	}
	p.idle[c.to] = append(p.idle[c.to], c)
}

// discard ends a connection.
func (p *pool) discard(c *conn) {
	sock.Abort(c.Conn)
	p.release()
}

// drop ends the idle connections to an endpoint.
func (p *pool) drop(to engine.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		c.Close()
		p.open--
	}
	delete(p.idle, to)
}

// run ends connections that have been idle for long, until ctx ends, and then all idle ones.
func (p *pool) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		keep := p.keep
		p.mu.Unlock()
		pause(ctx, min(max(keep/8, time.Millisecond), time.Second)) // no busy loop, and a shorter keep is seen soon
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

// usable tells whether an idle connection is still up, with nothing unread on it. A backend that was
// restarted under its old address leaves connections behind that would swallow a request.
func (c *conn) usable() bool {
	if c.read.Buffered() > 0 {
		return false
	}
	return sock.Quiet(c.Conn)
}
