// Package dnssrv keeps an endpoint list up to date from DNS SRV records. Package lookup decides which questions to send, when to
// send them, and what an answer means. This package has the sockets. A Source runs in goroutines of its own and never delays a
// request.
package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/miekg/dns"

	"glencart/balance"
	sources "glencart/internal/members"
	"glencart/lookup"
	"glencart/members"
	"glencart/merge"
)

const (
	// maxUDPSize is the message size that fits into one datagram on nearly every path (DNS flag day 2020).
	maxUDPSize = 1232
	// maxMismatches bounds how many datagrams are read for one question that don't answer it.
	maxMismatches = 64
)

// Config configures a Source.
type Config struct {
	lookup.Config
	Servers []string // host:port; none: the servers of ResolvConf
	// ResolvConf is read where Servers is empty; "": /etc/resolv.conf.
	ResolvConf string
	Log        *slog.Logger
}

// Source follows one SRV name.
type Source struct {
	cfg      Config
	resolver *lookup.Lookup
	start    time.Time
	results  chan lookup.Event
}

// New returns a Source. It fails if no name server is known or the name is invalid.
func New(cfg Config) (*Source, error) {
	if len(cfg.Servers) == 0 {
		file := cfg.ResolvConf
		if file == "" {
			file = "/etc/resolv.conf"
		}
		resolvConf, err := dns.ClientConfigFromFile(file)
		if err != nil {
			return nil, fmt.Errorf("%s: %w: set the name servers with resolvers", file, err)
		}
		for _, s := range resolvConf.Servers {
			cfg.Servers = append(cfg.Servers, net.JoinHostPort(s, resolvConf.Port))
		}
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	cfg.Config.Servers = len(cfg.Servers)
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	resolver, err := lookup.New(cfg.Config, 0)
	if err != nil {
		return nil, err
	}
	return &Source{cfg: cfg, resolver: resolver, start: time.Now(), results: make(chan lookup.Event)}, nil
}

// Run looks up the name until ctx ends and reports each list.
func (s *Source) Run(ctx context.Context, report func(sources.Update)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var actions []lookup.Action
	ev := lookup.Event{Kind: lookup.Ticked}
	for {
		actions = s.resolver.Handle(time.Since(s.start), ev, actions[:0])
		for _, a := range actions {
			switch {
			case a.Query != nil:
				go s.query(ctx, *a.Query)
			case a.Answer != nil:
				report(s.toUpdate(a.Answer))
			case a.Log != "":
				s.cfg.Log.Info(a.Log)
			}
		}
		if next, idle := s.resolver.Next(); idle {
			timer.Reset(next - time.Since(s.start))
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case ev = <-s.results:
		case <-timer.C:
			ev = lookup.Event{Kind: lookup.Ticked}
		}
	}
}

// toUpdate converts an answer to an update. Expiry times become remaining lifetimes, because the merge has a clock of its own.
func (s *Source) toUpdate(answer *lookup.Answer) sources.Update {
	now := time.Since(s.start)
	update := sources.Update{Complete: true, TTL: max(answer.ExpiresAt-now, 1), Intended: answer.Intended}
	for i := range answer.Backends {
		b := &answer.Backends[i]
		name := b.Name()
		e := merge.Entry{Name: name, Reports: merge.Existence | merge.Address | merge.Weight | merge.Tier, Tier: b.Tier,
			Endpoint: members.Endpoint{Addr: b.Addr.String(), Member: balance.Member{Weight: b.Weight}}}
		update.Entries = append(update.Entries, e)
		update.EntryTTLs = append(update.EntryTTLs, b.ExpiresAt-now)
	}
	return update
}

// query sends one question to one server, once, from a port of its own.
func (s *Source) query(ctx context.Context, q lookup.Query) {
	reply, err := exchange(ctx, s.cfg.Servers[q.Server], q)
	if err != nil {
		s.cfg.Log.Debug("query to a name server failed", "server", s.cfg.Servers[q.Server], "name", q.Name, "error", err)
	}
	ev := lookup.Event{Kind: lookup.Responded, Token: q.Token, Msg: reply}
	if err != nil {
		ev.Kind = lookup.NoResponse
	}
	select {
	case s.results <- ev:
	case <-ctx.Done():
	}
}

var errTooManyMismatches = errors.New("too many datagrams that don't answer the question")

// exchange sends a question and waits for its answer. It skips messages that don't match: they may be forged, and the genuine
// answer may follow.
func exchange(ctx context.Context, server string, q lookup.Query) (*dns.Msg, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	network := "udp"
	if q.TCP {
		network = "tcp"
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, server)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	c := &dns.Conn{Conn: conn, UDPSize: maxUDPSize}
	request := new(dns.Msg)
	request.SetQuestion(q.Name, q.Type)
	request.Id = dns.Id() // from crypto/rand
	if !q.NoEDNS {
		request.SetEdns0(maxUDPSize, false)
	}
	if err := c.WriteMsg(request); err != nil {
		return nil, err
	}
	for range maxMismatches {
		reply, err := c.ReadMsg()
		if err != nil {
			if reply != nil || isMalformed(err) { // a datagram that can't be decoded
				continue
			}
			return nil, err
		}
		if lookup.Matches(request, reply) {
			return reply, nil
		}
	}
	return nil, errTooManyMismatches
}

// isMalformed reports whether err means that a message could not be decoded, while the connection still works.
func isMalformed(err error) bool {
	var d *dns.Error
	return errors.As(err, &d)
}
