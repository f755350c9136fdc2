package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"glencart/internal/sock"
	"glencart/internal/upstream"
)

var (
	// errNewConnNotQuiet reports that a new connection ended, or had bytes to read, before anything was written.
	errNewConnNotQuiet = errors.New("new backend connection closed or readable before the request")
	// errEarlyData reports the same before the last byte of a request was written.
	errEarlyData = errors.New("backend answered or closed before the last byte of the request")
)

// readBufferBytes is the size of the read buffer of a connection to a backend. Most answers are shorter.
const readBufferBytes = 2 << 10

// pool holds the connections to backends. It learns at which idle ages they break.
type pool struct {
	*upstream.Pool
	breakRates idleBreakRates

	mu     sync.Mutex
	dialer net.Dialer
}

func newPool(maxConns int, connectTimeout, idleClose time.Duration, log *slog.Logger) *pool {
	connectTimeout, idleTimeout := poolTimes(connectTimeout, idleClose)
	// The dial timeout is for a machine that answers no SYN. Keep-alive is off because its packets would
	// detect nothing.
	p := &pool{dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}}
	p.Pool = upstream.NewPool(upstream.Options{Dial: p.dial, MaxConns: maxConns, IdleTimeout: idleTimeout, ReadBufferBytes: readBufferBytes,
		AvoidsIdleAge: p.breakRates.breaksTooOften, Log: log})
	return p
}

// poolTimes returns the dial timeout and how long a connection may be idle. A backend closes an idle connection
// after idleClose at the latest. A request that crosses the close gets a reset and may have run. So the idle timeout stays
// well below idleClose.
func poolTimes(connectTimeout, idleClose time.Duration) (dial, idleTimeout time.Duration) {
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
	connectTimeout, idleTimeout := poolTimes(connectTimeout, idleClose)
	p.mu.Lock()
	p.dialer.Timeout = connectTimeout
	p.mu.Unlock()
	p.SetIdleTimeout(idleTimeout)
}

// dial connects to an address. It repeats temporary failures within the dial timeout. If the last failure is
// for lack of resources on this machine, the error is upstream.ErrNoCapacity.
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
		err = errors.Join(upstream.ErrNoCapacity, err)
	}
	return nc, err
}
