// Package checks runs the active health checks that package check schedules: over HTTP, with the gRPC health protocol, or by
// connecting.
package checks

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"glencart/check"
)

// Kind is the protocol of a check.
type Kind uint8

// Kinds of checks.
const (
	TCP  Kind = iota // the backend accepts a connection; with TLS, it completes a handshake
	HTTP             // GET Path is answered with an accepted status
	GRPC             // grpc.health.v1.Health/Check of Service returns SERVING
)

const (
	// defaultTimeout is how long a backend may take to answer where the configuration has no timeout.
	defaultTimeout = time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// Config determines how the backends of a pool are checked.
type Config struct {
	check.Config
	Kind    Kind
	Path    string        // of HTTP, with the query
	Host    string        // of HTTP, and the gRPC authority; empty: the backend's address
	Status  []int         // accepted by HTTP; none: 200 to 399
	Service string        // of GRPC; empty: the whole server
	Timeout time.Duration // 0: 1 s
	TLS     *tls.Config   // nil: no TLS
}

// Checker checks the backends of one pool.
type Checker struct {
	cfg    Config
	client *http.Transport
	origin time.Time
	wake   chan struct{}

	mu     sync.Mutex
	checks *check.Checks
}

// New returns a Checker without backends. Run makes the checks.
func New(cfg Config) *Checker {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	cfg.Config.Timeout = cfg.Timeout
	c := &Checker{cfg: cfg, origin: time.Now(), wake: make(chan struct{}, 1), checks: check.New(cfg.Config, rand.Uint64(), 0)}
	c.client = &http.Transport{DisableKeepAlives: true, TLSClientConfig: cfg.TLS, MaxResponseHeaderBytes: maxHeaderBytes, DialContext: dial}
	return c
}

// dial connects to host:port or to unix:/path. An address in the context replaces addr, because net/http appends a port to a
// unix:/path.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	if target, ok := ctx.Value(dialAddrKey{}).(string); ok {
		addr = target
	}
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		network, addr = "unix", path
	}
	return d.DialContext(ctx, network, addr)
}

type dialAddrKey struct{}

// Set adds a backend to be checked. The same id at another address counts as another backend.
func (c *Checker) Set(id, addr string) {
	c.mu.Lock()
	isNew := c.checks.Set(time.Since(c.origin), id, addr)
	c.mu.Unlock()
	if isNew {
		c.notify()
	}
}

// Remove ends the checks of a backend.
func (c *Checker) Remove(id string) {
	c.mu.Lock()
	c.checks.Remove(id)
	c.mu.Unlock()
}

func (c *Checker) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// result is the outcome of a check.
type result struct {
	token uint64
	err   error
}

// Run checks the backends until ctx ends, and returns once no check is in progress. It calls report, in order, for each backend
// that goes down or comes up again.
func (c *Checker) Run(ctx context.Context, report func(check.Verdict)) {
	var running sync.WaitGroup
	defer running.Wait()
	defer c.client.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	results := make(chan result, check.DefaultAtOnce) // room for all checks in progress, so that none waits
	var verdict *check.Verdict
	for {
		var r result
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.wake:
		case r = <-results:
		}
		c.mu.Lock()
		if r.token != 0 {
			reason := "answers"
			if r.err != nil {
				reason = r.err.Error()
			}
			verdict = c.checks.Result(time.Since(c.origin), r.token, r.err == nil, reason)
		}
		due := c.checks.Due(time.Since(c.origin), nil)
		next, hasNext := c.checks.Next()
		c.mu.Unlock()
		if verdict != nil {
			report(*verdict)
			verdict = nil
		}
		for _, a := range due {
			running.Go(func() {
				if err := c.probe(ctx, a.Addr); ctx.Err() == nil { // a cancelled check has no result
					results <- result{a.Token, err}
				}
			})
		}
		if hasNext {
			timer.Reset(max(next-time.Since(c.origin), time.Millisecond))
		} else {
			timer.Stop()
		}
	}
}

// probe checks a backend once. The error gives the reason why the backend is unhealthy.
func (c *Checker) probe(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	switch c.cfg.Kind {
	case HTTP:
		return c.http(ctx, addr)
	case GRPC:
		return c.grpc(ctx, addr)
	default:
		return c.tcp(ctx, addr)
	}
}

func (c *Checker) tcp(ctx context.Context, addr string) error {
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if c.cfg.TLS == nil {
		return nil
	}
	return tls.Client(conn, withServerName(c.cfg.TLS, addr)).HandshakeContext(ctx)
}

// withServerName returns cfg with the host of addr as the server name, unless cfg has a name.
func withServerName(cfg *tls.Config, addr string) *tls.Config {
	if cfg.ServerName != "" {
		return cfg
	}
	cfg = cfg.Clone()
	cfg.ServerName = "localhost"
	if host, _, err := net.SplitHostPort(addr); err == nil {
		cfg.ServerName = host
	}
	return cfg
}

func (c *Checker) http(ctx context.Context, addr string) error {
	host, scheme := addr, "http://"
	if strings.HasPrefix(addr, "unix:") {
		ctx, host = context.WithValue(ctx, dialAddrKey{}, addr), "localhost"
	}
	if c.cfg.TLS != nil {
		scheme = "https://"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+host+c.cfg.Path, nil)
	if err != nil {
		return err
	}
	r.Host = c.cfg.Host
	r.Header.Set("User-Agent", "glencart-check")
	resp, err := c.client.RoundTrip(r) // a redirect is an answer and is not followed
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	accepted := resp.StatusCode >= 200 && resp.StatusCode < 400
	if len(c.cfg.Status) > 0 {
		accepted = slices.Contains(c.cfg.Status, resp.StatusCode)
	}
	if !accepted {
		return fmt.Errorf("answers %s", resp.Status)
	}
	return nil // the body is not read: one that never ends is no sign of an unhealthy backend
}

// grpc checks a backend with the health protocol (grpc.health.v1). A server without it answers Unimplemented and is unhealthy.
func (c *Checker) grpc(ctx context.Context, addr string) error {
	creds := insecure.NewCredentials()
	if c.cfg.TLS != nil {
		cfg := c.cfg.TLS.Clone()
		cfg.NextProtos = nil // gRPC sets its own
		creds = credentials.NewTLS(withServerName(cfg, addr))
	}
	opts := []grpc.DialOption{grpc.WithTransportCredentials(creds), grpc.WithDisableServiceConfig(),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return dial(ctx, "tcp", addr) })}
	if c.cfg.Host != "" {
		opts = append(opts, grpc.WithAuthority(c.cfg.Host))
	}
	cc, err := grpc.NewClient("passthrough:///"+addr, opts...)
	if err != nil {
		return err
	}
	defer cc.Close()
	resp, err := healthpb.NewHealthClient(cc).Check(ctx, &healthpb.HealthCheckRequest{Service: c.cfg.Service})
	if err != nil {
		return err
	}
	if resp.Status != healthpb.HealthCheckResponse_SERVING {
		return fmt.Errorf("answers %s", resp.Status)
	}
	return nil
}
