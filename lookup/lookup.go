// Package lookup is the logic of a stub resolver for one SRV name: it decides which queries to send, when, and how to read the
// responses. It is pure: queries go out as actions, responses come in as events, and the caller supplies the time. It opens no
// sockets; package dnssrv does.
//
// It follows RFC 2782 (SRV), RFC 1035 and 2181 (responses, TTLs), RFC 2308 (negative responses), RFC 5452 (forged responses) and
// RFC 8767 (stale data while the name servers fail).
package lookup

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

const (
	// maxCNAMEs is the limit of CNAMEs from a name to its records.
	maxCNAMEs = 8
	// maxTimeoutDoublings is the limit of doublings of Config.Timeout.
	maxTimeoutDoublings = 4
	// maxTargets is the limit of targets in one SRV response. Each may cost two queries.
	maxTargets = 4096
	// maxOutstanding is the limit of outstanding queries.
	maxOutstanding = 16
	// minRefreshFraction and maxRefreshFraction are fractions of a TTL. A refresh starts at a random time between them: early
	// enough for several tries, and spread, so that nodes that started together don't send their queries together.
	minRefreshFraction, maxRefreshFraction = 0.6, 0.95
)

// Config holds the settings of a Lookup. Zero values stand for the defaults named here.
type Config struct {
	Name           string // such as _menu._tcp.khuree.mn
	Servers        int    // number of name servers, which are tried in order
	Seed           uint64
	Timeout        time.Duration // for one query; doubled in each round over the servers; 0: 1s
	Rounds         int           // rounds over all servers before a query has failed; 0: 2
	MinTTL         time.Duration // minimum TTL; 0: 5s
	MaxTTL         time.Duration // maximum TTL; 0: 1h
	MaxNegativeTTL time.Duration // maximum TTL of a negative response; 0: 5m
	RetryInterval  time.Duration // wait after a failure, doubled up to MaxRetryInterval; 0: 1s
	// MaxRetryInterval is the maximum wait after a failure; 0: 30s (RFC 8767, section 5).
	MaxRetryInterval time.Duration
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events, with the fields each one uses.
const (
	Ticked     EventKind = iota // time has passed
	Responded                   // Token, Msg: a response for which Matches is true
	NoResponse                  // Token: no response in time, or none that can be parsed
)

// Event is one input of a Lookup.
type Event struct {
	Kind  EventKind
	Token int
	Msg   *dns.Msg
}

// Query is one query to one name server.
type Query struct {
	Token   int
	Server  int
	Name    string // fully qualified, with the final dot
	Type    uint16
	TCP     bool
	NoEDNS  bool          // send it without EDNS: the server doesn't support it
	Timeout time.Duration // the timeout
}

// Backend is one backend: an address and port of an SRV target.
type Backend struct {
	Target    string // in lower case, without the final dot
	Addr      netip.AddrPort
	Tier      int // rank of its SRV priority among those of the response: 0 gets the requests, higher tiers are backups
	Weight    float64
	ExpiresAt time.Duration // when its TTL ends
}

// Name returns the id of the backend: target, port and address.
func (b *Backend) Name() string {
	return fmt.Sprintf("%s:%d/%s", b.Target, b.Addr.Port(), b.Addr.Addr())
}

// Answer is the result of a lookup: the complete list of backends.
type Answer struct {
	Backends  []Backend
	ExpiresAt time.Duration // when the TTL of the list ends
	Intended  bool          // the only target is ".": the service is decidedly not available at this name (RFC 2782)
}

// Action is one thing for the caller to do: send a query, apply an answer, or write a line to the log.
type Action struct {
	Query  *Query
	Answer *Answer
	Log    string
}

// Lookup resolves one SRV name and keeps the result up to date, for as long as it gets events.
type Lookup struct {
	cfg    Config
	rng    *rand.Rand
	now    time.Duration
	nextAt time.Duration // when the next lookup starts, while none is under way
	// preferredServer is the server that responded last. It is queried first again: with servers that differ, backends would come
	// and go.
	preferredServer int
	lastToken       int
	outstanding     map[int]*pendingQuery
	queue           []*pendingQuery        // queries that wait until fewer are outstanding
	current         *resolution            // nil: no lookup is under way
	lastAddrs       map[string]targetAddrs // addresses of the last lookup, by target
	failures        int                    // failures in a row
	// timeoutDoublings is the number of doublings of Config.Timeout for the first try: those that the slowest response of the last lookup
	// needed, and one more for each failure since.
	timeoutDoublings int
	actions          []Action // of the event in hand
}

// pendingQuery is a query under way, over all its tries and name servers.
type pendingQuery struct {
	Query
	queriedName string // the name that was queried first; Name is where CNAMEs have led
	firstServer int    // the server of the first try
	tries       int
	cnames      int           // CNAMEs followed
	ttl         time.Duration // the minimum of the TTLs of the CNAMEs that led here
	sentAt      time.Duration // time of the last try
}

// resolution is the state of one lookup.
type resolution struct {
	srv              []*dns.SRV
	srvTTL           time.Duration            // of the SRV response
	targets          map[string]*targetResult // by target
	pending          int                      // queries without a result
	srvAnswered      bool                     // the SRV query has been answered
	timeoutDoublings int                      // doublings of Config.Timeout that the slowest response of this lookup needs
}

// targetResult is the result of the address queries for one target.
type targetResult struct {
	addrs       []netip.Addr
	ttl         time.Duration // of the address records
	negativeTTL time.Duration // TTL of the negative responses: it counts where the target has neither A nor AAAA records
	queried     bool          // addresses came in the additional section, or are being queried
	failed      bool          // a query got no response
}

// targetAddrs is the addresses that the last lookup found for a target.
type targetAddrs struct {
	addrs     []netip.Addr
	expiresAt time.Duration
}

// New returns a Lookup. Its first Ticked event starts a lookup.
func New(cfg Config, now time.Duration) (*Lookup, error) {
	if _, ok := dns.IsDomainName(cfg.Name); !ok || cfg.Name == "" || cfg.Name == "." {
		return nil, fmt.Errorf("dns: %q is not a service name: write it as _menu._tcp.khuree.mn", cfg.Name)
	}
	if cfg.Servers <= 0 {
		return nil, fmt.Errorf("dns: %s: no name server: list one in resolvers or in resolv.conf", cfg.Name)
	}
	cfg.Name = dns.CanonicalName(cfg.Name)
	cfg.Timeout, cfg.Rounds = cmp.Or(cfg.Timeout, time.Second), cmp.Or(cfg.Rounds, 2)
	cfg.MinTTL, cfg.MaxTTL = cmp.Or(cfg.MinTTL, 5*time.Second), cmp.Or(cfg.MaxTTL, time.Hour)
	cfg.MaxNegativeTTL, cfg.RetryInterval, cfg.MaxRetryInterval = cmp.Or(cfg.MaxNegativeTTL, 5*time.Minute), cmp.Or(cfg.RetryInterval, time.Second),
		cmp.Or(cfg.MaxRetryInterval, 30*time.Second)
	return &Lookup{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), now: now, nextAt: now,
		outstanding: map[int]*pendingQuery{}, lastAddrs: map[string]targetAddrs{}}, nil
}

// Next returns when Handle needs the next Ticked event. It returns false while a lookup is under way.
func (l *Lookup) Next() (time.Duration, bool) { return l.nextAt, l.current == nil }

// Handle processes one event and appends the resulting actions to out.
func (l *Lookup) Handle(now time.Duration, ev Event, out []Action) []Action {
	l.now, l.actions = max(l.now, now), out
	switch ev.Kind {
	case Ticked:
		if l.current == nil && l.now >= l.nextAt {
			l.current = &resolution{targets: map[string]*targetResult{}}
			l.enqueue(l.cfg.Name, dns.TypeSRV)
			l.sendQueued()
		}
	case Responded, NoResponse:
		a := l.outstanding[ev.Token]
		if a == nil {
			break // a response to an earlier try
		}
		delete(l.outstanding, ev.Token)
		if ev.Kind == NoResponse || ev.Msg == nil {
			l.retry(a)
		} else {
			l.handleResponse(a, ev.Msg)
		}
		l.sendQueued()
		if l.current != nil && l.current.pending == 0 {
			l.finish()
		}
	}
	out, l.actions = l.actions, nil
	return out
}

// Matches reports whether a message is a response to the query that was sent (RFC 5452, section 9.1). It doesn't check addresses and
// ports: a connected socket does.
func Matches(sent, got *dns.Msg) bool {
	return got.Id == sent.Id && got.Response && got.Opcode == dns.OpcodeQuery && len(got.Question) == 1 && len(sent.Question) == 1 &&
		strings.EqualFold(got.Question[0].Name, sent.Question[0].Name) &&
		got.Question[0].Qtype == sent.Question[0].Qtype && got.Question[0].Qclass == sent.Question[0].Qclass
}

// enqueue adds a query to the queue.
func (l *Lookup) enqueue(name string, qtype uint16) {
	l.current.pending++
	l.queue = append(l.queue, &pendingQuery{Query: Query{Name: name, Type: qtype, Server: l.preferredServer},
		queriedName: name, firstServer: l.preferredServer, ttl: l.cfg.MaxTTL})
}

// sendQueued sends queries from the queue, up to the limit of outstanding ones.
func (l *Lookup) sendQueued() {
	for len(l.queue) > 0 && len(l.outstanding) < maxOutstanding {
		a := l.queue[0]
		l.queue = l.queue[1:]
		l.lastToken++
		a.Token = l.lastToken
		a.Timeout, a.sentAt = l.cfg.Timeout<<min(l.timeoutDoublings+a.tries/l.cfg.Servers, maxTimeoutDoublings), l.now
		l.outstanding[a.Token] = a
		q := a.Query
		l.actions = append(l.actions, Action{Query: &q})
	}
}

// retry retries a query at the next name server, or gives it up after the last round.
func (l *Lookup) retry(a *pendingQuery) {
	a.tries++
	a.TCP, a.NoEDNS = false, false
	if a.tries >= l.cfg.Servers*l.cfg.Rounds {
		l.giveUp(a)
		return
	}
	a.Server = (a.firstServer + a.tries) % l.cfg.Servers
	l.queue = append(l.queue, a)
}

// giveUp records that a query got no response from any server.
func (l *Lookup) giveUp(a *pendingQuery) {
	l.current.pending--
	if a.Type != dns.TypeSRV {
		f := l.current.targets[a.queriedName]
		f.failed = true
	}
}

// ttlDuration converts a TTL. One with the most significant bit set counts as 0 (RFC 2181, section 8).
func ttlDuration(ttl uint32) time.Duration {
	if ttl > 1<<31-1 {
		return 0
	}
	return time.Duration(ttl) * time.Second
}

// raiseTimeout raises the timeout of the next lookup to cover a response that took this long. Without it a server that needs longer than
// the first timeout would get each query twice, and the response of one that needs longer than the last timeout would always come too late.
func (l *Lookup) raiseTimeout(took time.Duration) {
	for l.current.timeoutDoublings < maxTimeoutDoublings && l.cfg.Timeout<<l.current.timeoutDoublings <= took {
		l.current.timeoutDoublings++
	}
}

// handleResponse processes a response.
func (l *Lookup) handleResponse(a *pendingQuery, m *dns.Msg) {
	l.raiseTimeout(l.now - a.sentAt)
	switch {
	case m.Truncated && !a.TCP:
		a.TCP = true
		l.queue = append([]*pendingQuery{a}, l.queue...)
		return
	case m.Rcode == dns.RcodeFormatError && !a.NoEDNS:
		a.NoEDNS = true
		l.queue = append([]*pendingQuery{a}, l.queue...)
		return
	case m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError, m.Truncated:
		l.retry(a)
		return
	}
	name, ttl := a.Name, a.ttl
	var rrs []dns.RR
	for seen := map[string]bool{}; ; {
		seen[name] = true
		next := ""
		rrs = rrs[:0]
		for _, rr := range m.Answer {
			h := rr.Header()
			if h.Class != dns.ClassINET || dns.CanonicalName(h.Name) != name {
				continue
			}
			if h.Rrtype == a.Type {
				rrs = append(rrs, rr)
			} else if c, ok := rr.(*dns.CNAME); ok && next == "" {
				next = dns.CanonicalName(c.Target)
				ttl = min(ttl, ttlDuration(h.Ttl))
			}
		}
		if len(rrs) > 0 || next == "" {
			break
		}
		if a.cnames++; a.cnames > maxCNAMEs || seen[next] {
			l.actions = append(l.actions, Action{Log: fmt.Sprintf("%s: CNAME loop, or more than %d CNAMEs", a.queriedName, maxCNAMEs)})
			l.retry(a)
			return
		}
		name = next
	}
	l.preferredServer = a.Server
	if len(rrs) == 0 && name != a.Name && m.Rcode == dns.RcodeSuccess && !isNegative(m) {
		// The CNAMEs lead to a name that this server hasn't resolved: query that name.
		a.Name, a.ttl = name, ttl
		l.queue = append([]*pendingQuery{a}, l.queue...)
		return
	}
	l.current.pending--
	for _, rr := range rrs {
		ttl = min(ttl, ttlDuration(rr.Header().Ttl))
	}
	if len(rrs) == 0 {
		ttl = min(ttl, l.cfg.MaxNegativeTTL, soaTTL(m))
	}
	if a.Type == dns.TypeSRV {
		l.handleSRV(a, m, rrs, ttl)
		return
	}
	f := l.current.targets[a.queriedName]
	f.queried = true
	if len(rrs) == 0 {
		f.negativeTTL = min(f.negativeTTL, ttl)
		return
	}
	f.ttl = min(f.ttl, ttl)
	for _, rr := range rrs {
		f.addAddr(rr)
	}
}

// isNegative reports whether a response is negative, by its SOA record (RFC 2308, section 2).
func isNegative(m *dns.Msg) bool {
	return slices.ContainsFunc(m.Ns, func(rr dns.RR) bool { _, ok := rr.(*dns.SOA); return ok })
}

// soaTTL returns the TTL of a negative response (RFC 2308, section 5), or 0 where it has no SOA record.
func soaTTL(m *dns.Msg) time.Duration {
	for _, rr := range m.Ns {
		if s, ok := rr.(*dns.SOA); ok {
			return min(ttlDuration(s.Hdr.Ttl), ttlDuration(s.Minttl))
		}
	}
	return 0
}

// addAddr adds the address of an A or AAAA record, once. Unspecified and multicast addresses are left out.
func (f *targetResult) addAddr(rr dns.RR) {
	var a netip.Addr
	var ok bool
	switch r := rr.(type) {
	case *dns.A:
		a, ok = netip.AddrFromSlice(r.A.To4())
	case *dns.AAAA:
		a, ok = netip.AddrFromSlice(r.AAAA.To16())
	}
	if ok && !a.IsUnspecified() && !a.IsMulticast() && !slices.Contains(f.addrs, a) {
		f.addrs = append(f.addrs, a)
	}
}

// handleSRV processes the SRV records, and queries the addresses of targets that the additional section doesn't have.
func (l *Lookup) handleSRV(a *pendingQuery, m *dns.Msg, rrs []dns.RR, ttl time.Duration) {
	l.current.srvTTL, l.current.srvAnswered = ttl, true
	for _, rr := range rrs {
		s := rr.(*dns.SRV)
		s.Target = dns.CanonicalName(s.Target)
		l.current.srv = append(l.current.srv, s)
		if s.Target == "." || l.current.targets[s.Target] != nil {
			continue
		}
		if len(l.current.targets) >= maxTargets {
			l.actions = append(l.actions, Action{Log: fmt.Sprintf("%s: more than %d SRV targets: the rest is ignored", l.cfg.Name, maxTargets)})
			break
		}
		l.current.targets[s.Target] = &targetResult{ttl: l.cfg.MaxTTL, negativeTTL: l.cfg.MaxNegativeTTL}
	}
	// Records of the additional section are accepted only for names within the domain of the service, as the sender may not be
	// authoritative for others.
	domain := l.cfg.Name
	for strings.HasPrefix(domain, "_") {
		_, domain, _ = strings.Cut(domain, ".")
	}
	for _, rr := range m.Extra {
		h := rr.Header()
		f := l.current.targets[dns.CanonicalName(h.Name)]
		if f == nil || h.Class != dns.ClassINET || domain == "" || !dns.IsSubDomain(domain, h.Name) {
			continue
		}
		if h.Rrtype == dns.TypeA || h.Rrtype == dns.TypeAAAA {
			f.queried = true
			f.ttl = min(f.ttl, ttlDuration(h.Ttl))
			f.addAddr(rr)
		}
	}
	for _, s := range l.current.srv {
		if f := l.current.targets[s.Target]; f != nil && !f.queried {
			f.queried = true
			l.enqueue(s.Target, dns.TypeA)
			l.enqueue(s.Target, dns.TypeAAAA)
		}
	}
}

// clampTTL limits a TTL to the range from MinTTL to MaxTTL.
func (l *Lookup) clampTTL(ttl time.Duration) time.Duration {
	return min(max(ttl, l.cfg.MinTTL), l.cfg.MaxTTL)
}

// finish builds the answer of a lookup, and schedules the next lookup.
func (l *Lookup) finish() {
	r := l.current
	l.current = nil
	newAddrs := map[string]targetAddrs{}
	if !r.srvAnswered {
		l.scheduleRetry()
		return
	}
	shortestTTL := l.clampTTL(r.srvTTL)
	answer := &Answer{ExpiresAt: l.now + shortestTTL, Intended: len(r.srv) == 1 && r.srv[0].Target == "."}
	var priorities []uint16
	for _, s := range r.srv {
		if !slices.Contains(priorities, s.Priority) {
			priorities = append(priorities, s.Priority)
		}
	}
	slices.Sort(priorities)
	failedTargets := 0
	seen := map[string]bool{}
	for _, s := range r.srv {
		f := r.targets[s.Target]
		if f == nil {
			continue
		}
		if len(f.addrs) == 0 {
			f.ttl = f.negativeTTL
		}
		result := targetAddrs{f.addrs, l.now + min(l.clampTTL(r.srvTTL), l.clampTTL(f.ttl))}
		if f.failed && len(f.addrs) == 0 {
			failedTargets++
			result = l.lastAddrs[s.Target] // the old addresses, until their old end
		}
		if len(result.addrs) > 0 {
			newAddrs[s.Target] = result
		}
		for _, addr := range result.addrs {
			b := Backend{Target: strings.TrimSuffix(s.Target, "."), Addr: netip.AddrPortFrom(addr, s.Port), ExpiresAt: result.expiresAt,
				Tier: slices.Index(priorities, s.Priority), Weight: srvWeight(s.Weight)}
			if name := b.Name(); !seen[name] {
				seen[name] = true
				answer.Backends = append(answer.Backends, b)
			}
		}
		shortestTTL = min(shortestTTL, max(result.expiresAt-l.now, l.cfg.MinTTL))
	}
	l.lastAddrs = newAddrs
	l.actions = append(l.actions, Action{Answer: answer})
	if failedTargets > 0 {
		l.actions = append(l.actions, Action{Log: fmt.Sprintf("%s: no response to the address queries for %d targets", l.cfg.Name, failedTargets)})
		l.scheduleRetry()
		l.nextAt = min(l.nextAt, l.now+l.refreshDelay(shortestTTL))
		return
	}
	l.timeoutDoublings = r.timeoutDoublings
	if l.failures > 0 {
		l.actions = append(l.actions, Action{Log: l.cfg.Name + ": answered again"})
	}
	l.failures = 0
	l.nextAt = l.now + l.refreshDelay(shortestTTL)
}

// refreshDelay draws the time until the refresh of a TTL.
func (l *Lookup) refreshDelay(ttl time.Duration) time.Duration {
	return time.Duration((minRefreshFraction + (maxRefreshFraction-minRefreshFraction)*l.rng.Float64()) * float64(ttl))
}

// scheduleRetry schedules the next lookup after a failure, with exponential backoff and jitter.
func (l *Lookup) scheduleRetry() {
	wait := min(l.cfg.RetryInterval<<min(l.failures, 10), l.cfg.MaxRetryInterval)
	l.timeoutDoublings = min(l.timeoutDoublings+1, maxTimeoutDoublings)
	if l.failures++; l.failures == 1 {
		l.actions = append(l.actions, Action{Log: l.cfg.Name + ": the name servers fail: what is known holds"})
	}
	l.nextAt = l.now + time.Duration((0.5+l.rng.Float64())*float64(wait))
}

// srvWeight converts an SRV weight. A weight of 0 becomes 0.1: a very small share beside other weights (RFC 2782).
func srvWeight(w uint16) float64 {
	if w == 0 {
		return 0.1
	}
	return float64(w)
}
