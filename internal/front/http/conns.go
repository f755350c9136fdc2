package httpfront

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"strings"
	"time"

	"glencart/internal/engine"
	"glencart/internal/site"
	"glencart/internal/sock"
	"glencart/internal/upstream"
)

const (
	// maxAnswerHeadBytes bounds the head of a backend's answer, in bytes.
	maxAnswerHeadBytes = 64 << 10
	// maxUnsafeIdleAge is how long a connection may have been idle that carries an unsafe request. A backend closes idle connections
	// when it likes, and a request that crosses that is one that may have run.
	maxUnsafeIdleAge = 500 * time.Millisecond
	// defaultIdleTimeout is how long a connection may be idle, and defaultMaxIdle is how many may be to one backend, where the
	// file does not say.
	defaultIdleTimeout, defaultMaxIdle = 4 * time.Second, 64
	// readBufferBytes is the size of the read buffer of a connection to a backend.
	readBufferBytes = 4 << 10
)

// errNewConnNotQuiet reports that a new connection ended, or had bytes to read, before anything was written.
var errNewConnNotQuiet = errors.New("new backend connection closed or readable before the request")

// conns holds the connections to the backends of one pool.
type conns struct {
	*upstream.Pool
	dialer net.Dialer
	tls    *tls.Config // nil: plain
}

func newConns(p *site.Pool, log *slog.Logger) (*conns, error) {
	c := &conns{dialer: net.Dialer{Timeout: p.Connect.Or(time.Second)}}
	if p.TLS {
		ca, err := p.Authorities()
		if err != nil {
			return nil, err
		}
		c.tls = &tls.Config{RootCAs: ca, ServerName: p.TLSName, InsecureSkipVerify: p.TLSInsecure, NextProtos: []string{"http/1.1"}}
	}
	c.Pool = upstream.NewPool(upstream.Options{Dial: c.dial, MaxIdle: cmp.Or(p.Keep, defaultMaxIdle),
		IdleTimeout: p.Idle.Or(defaultIdleTimeout), ReadBufferBytes: readBufferBytes, Log: log})
	return c, nil
}

// ready returns a connection that may carry a request and is still up.
func (p *conns) ready(ctx context.Context, to engine.Endpoint, request upstream.Request) (*upstream.Conn, error) {
	for {
		c, err := p.Get(ctx, to, request)
		if err != nil {
			return nil, err
		}
		if c.IsUsable() || p.tls != nil && !c.State.IsReused() { // a TLS server may send session tickets behind its handshake
			return c, nil
		}
		p.DiscardNotIdle(c)
		if !c.State.IsReused() {
			return nil, errNewConnNotQuiet
		}
	}
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
