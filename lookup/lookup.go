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
	// chainMost is the limit of CNAMEs from a name to its records.
	chainMost = 8
	// doublings is the limit of doublings of Config.Timeout.
	doublings = 4
	// targetsMost is the limit of targets in one SRV response. Each may cost two queries.
	targetsMost = 4096
	// outMost is the limit of outstanding queries.
	outMost = 16
	// refreshFrom and refreshTo are fractions of a TTL. A refresh starts at a random time between them: early enough for several
	// tries, and spread, so that nodes that started together don't send their queries together.
	refreshFrom, refreshTo = 0.6, 0.95
)

// Config holds the settings of a Lookup. Zero values stand for the defaults named here.
type Config struct {
	Name     string // such as _menu._tcp.khuree.mn
	Servers  int    // number of name servers, which are tried in order
	Seed     uint64
	Timeout  time.Duration // for one query; doubled in each round over the servers; 0: 1s
	Rounds   int           // rounds over all servers before a query has failed; 0: 2
	Floor    time.Duration // minimum TTL; 0: 5s
	Ceiling  time.Duration // maximum TTL; 0: 1h
	Negative time.Duration // maximum TTL of a negative response; 0: 5m
	Retry    time.Duration // wait after a failure, doubled up to RetryMost; 0: 1s
	// RetryMost is the maximum wait after a failure; 0: 30s (RFC 8767, section 5).
	RetryMost time.Duration
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events, with the fields each one uses.
const (
	Ticked  EventKind = iota // time has passed
	Replied                  // Token, Msg: a response for which Matches is true
	Lost                     // Token: no response in time, or none that can be parsed
)

// Event is one input of a Lookup.
type Event struct {
	Kind  EventKind
	Token int
	Msg   *dns.Msg
}

// Question is one query to one name server.
type Question struct {
	Token  int
	Server int
	Name   string // fully qualified, with the final dot
	Type   uint16
	TCP    bool
	NoEDNS bool          // send it without EDNS: the server doesn't support it
	Within time.Duration // the timeout
}

// Box is one backend: an address and port of an SRV target.
type Box struct {
	Target string // in lower case, without the final dot
	Addr   netip.AddrPort
	Tier   int // rank of its SRV priority among those of the response: 0 gets the requests, higher tiers are backups
	Weight float64
	Until  time.Duration // when its TTL ends
}

// Name returns the id of the backend: target, port and address.
func (b *Box) Name() string {
	return fmt.Sprintf("%s:%d/%s", b.Target, b.Addr.Port(), b.Addr.Addr())
}

// Answer is the result of a lookup: the complete list of backends.
type Answer struct {
	Boxes   []Box
	Until   time.Duration // when the TTL of the list ends
	Decided bool          // the only target is ".": the service is decidedly not available at this name (RFC 2782)
}

// Action is one thing for the caller to do: send a query, apply an answer, or write a line to the log.
type Action struct {
	Ask  *Question
	Told *Answer
	Log  string
}

// Lookup resolves one SRV name and keeps the result up to date, for as long as it gets events.
type Lookup struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	next time.Duration // when the next lookup starts, while none is under way
	// server is the server that responded last. It is queried first again: with servers that differ, backends would come and go.
	server int
	token  int
	out    map[int]*ask
	queue  []*ask          // queries that wait until fewer are outstanding
	run    *run            // nil: no lookup is under way
	last   map[string]held // addresses of the last lookup, by target
	fails  int             // failures in a row
	// slow is the number of doublings of Config.Timeout for the first try: those that the slowest response of the last lookup
	// needed, and one more for each failure since.
	slow int
	acts []Action // of the event in hand
}

// ask is a query under way, over all its tries and name servers.
type ask struct {
	Question
	first string // the name that was queried first; Name is where CNAMEs have led
	from  int    // the server of the first try
	tries int
	chain int           // CNAMEs followed
	ttl   time.Duration // the minimum of the TTLs of the CNAMEs that led here
	sent  time.Duration // time of the last try
}

// run is the state of one lookup.
type run struct {
	srv   []*dns.SRV
	ttl   time.Duration     // of the SRV response
	addrs map[string]*found // by target
	left  int               // queries without a result
	ok    bool              // the SRV query has been answered
	slow  int               // doublings of Config.Timeout that the slowest response of this lookup needs
}

// found is the result of the address queries for one target.
type found struct {
	addrs []netip.Addr
	ttl   time.Duration // of the address records
	none  time.Duration // TTL of the negative responses: it counts where the target has neither A nor AAAA records
	tried bool          // addresses came in the additional section, or are being queried
	lost  bool          // a query got no response
}

// held is the addresses that the last lookup found for a target.
type held struct {
	addrs []netip.Addr
	until time.Duration
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
	cfg.Floor, cfg.Ceiling = cmp.Or(cfg.Floor, 5*time.Second), cmp.Or(cfg.Ceiling, time.Hour)
	cfg.Negative, cfg.Retry, cfg.RetryMost = cmp.Or(cfg.Negative, 5*time.Minute), cmp.Or(cfg.Retry, time.Second),
		cmp.Or(cfg.RetryMost, 30*time.Second)
	return &Lookup{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), now: now, next: now, out: map[int]*ask{}, last: map[string]held{}}, nil
}

// Next returns when Handle needs the next Ticked event. It returns false while a lookup is under way.
func (l *Lookup) Next() (time.Duration, bool) { return l.next, l.run == nil }

// Handle processes one event and appends the resulting actions to out.
func (l *Lookup) Handle(now time.Duration, ev Event, out []Action) []Action {
	l.now, l.acts = max(l.now, now), out
	switch ev.Kind {
	case Ticked:
		if l.run == nil && l.now >= l.next {
			l.run = &run{addrs: map[string]*found{}}
			l.want(l.cfg.Name, dns.TypeSRV)
			l.send()
		}
	case Replied, Lost:
		a := l.out[ev.Token]
		if a == nil {
			break // a response to an earlier try
		}
		delete(l.out, ev.Token)
		if ev.Kind == Lost || ev.Msg == nil {
			l.again(a)
		} else {
			l.replied(a, ev.Msg)
		}
		l.send()
		if l.run != nil && l.run.left == 0 {
			l.finish()
		}
	}
	out, l.acts = l.acts, nil
	return out
}

// Matches reports whether a message is a response to the query that was sent (RFC 5452, section 9.1). It doesn't check addresses and
// ports: a connected socket does.
func Matches(sent, got *dns.Msg) bool {
	return got.Id == sent.Id && got.Response && got.Opcode == dns.OpcodeQuery && len(got.Question) == 1 && len(sent.Question) == 1 &&
		strings.EqualFold(got.Question[0].Name, sent.Question[0].Name) &&
		got.Question[0].Qtype == sent.Question[0].Qtype && got.Question[0].Qclass == sent.Question[0].Qclass
}

// want adds a query to the queue.
func (l *Lookup) want(name string, kind uint16) {
	l.run.left++
	l.queue = append(l.queue, &ask{Question: Question{Name: name, Type: kind, Server: l.server}, first: name, from: l.server, ttl: l.cfg.Ceiling})
}

// send sends queries from the queue, up to the limit of outstanding ones.
func (l *Lookup) send() {
	for len(l.queue) > 0 && len(l.out) < outMost {
		a := l.queue[0]
		l.queue = l.queue[1:]
		l.token++
		a.Token = l.token
		a.Within, a.sent = l.cfg.Timeout<<min(l.slow+a.tries/l.cfg.Servers, doublings), l.now
		l.out[a.Token] = a
		q := a.Question
		l.acts = append(l.acts, Action{Ask: &q})
	}
}

// again retries a query at the next name server, or gives it up after the last round.
func (l *Lookup) again(a *ask) {
	a.tries++
	a.TCP, a.NoEDNS = false, false
	if a.tries >= l.cfg.Servers*l.cfg.Rounds {
		l.lost(a)
		return
	}
	a.Server = (a.from + a.tries) % l.cfg.Servers
	l.queue = append(l.queue, a)
}

// lost records that a query got no response from any server.
func (l *Lookup) lost(a *ask) {
	l.run.left--
	if a.Type != dns.TypeSRV {
		f := l.run.addrs[a.first]
		f.lost = true
	}
}

// lifetime converts a TTL. One with the most significant bit set counts as 0 (RFC 2181, section 8).
func lifetime(ttl uint32) time.Duration {
	if ttl > 1<<31-1 {
		return 0
	}
	return time.Duration(ttl) * time.Second
}

// learn raises the timeout of the next lookup to cover a response that took this long. Without it a server that needs longer than the
// first timeout would get each query twice, and the response of one that needs longer than the last timeout would always come too late.
func (l *Lookup) learn(took time.Duration) {
	for l.run.slow < doublings && l.cfg.Timeout<<l.run.slow <= took {
		l.run.slow++
	}
}

// replied processes a response.
func (l *Lookup) replied(a *ask, m *dns.Msg) {
	l.learn(l.now - a.sent)
	switch {
	case m.Truncated && !a.TCP:
		a.TCP = true
		l.queue = append([]*ask{a}, l.queue...)
		return
	case m.Rcode == dns.RcodeFormatError && !a.NoEDNS:
		a.NoEDNS = true
		l.queue = append([]*ask{a}, l.queue...)
		return
	case m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError, m.Truncated:
		l.again(a)
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
				ttl = min(ttl, lifetime(h.Ttl))
			}
		}
		if len(rrs) > 0 || next == "" {
			break
		}
		if a.chain++; a.chain > chainMost || seen[next] {
			l.acts = append(l.acts, Action{Log: fmt.Sprintf("%s: CNAME loop, or more than %d CNAMEs", a.first, chainMost)})
			l.again(a)
			return
		}
		name = next
	}
	l.server = a.Server
	if len(rrs) == 0 && name != a.Name && m.Rcode == dns.RcodeSuccess && !negative(m) {
		// The CNAMEs lead to a name that this server hasn't resolved: query that name.
		a.Name, a.ttl = name, ttl
		l.queue = append([]*ask{a}, l.queue...)
		return
	}
	l.run.left--
	for _, rr := range rrs {
		ttl = min(ttl, lifetime(rr.Header().Ttl))
	}
	if len(rrs) == 0 {
		ttl = min(ttl, l.cfg.Negative, soa(m))
	}
	if a.Type == dns.TypeSRV {
		l.services(a, m, rrs, ttl)
		return
	}
	f := l.run.addrs[a.first]
	f.tried = true
	if len(rrs) == 0 {
		f.none = min(f.none, ttl)
		return
	}
	f.ttl = min(f.ttl, ttl)
	for _, rr := range rrs {
		f.add(rr)
	}
}

// negative reports whether a response is negative, by its SOA record (RFC 2308, section 2).
func negative(m *dns.Msg) bool {
	return slices.ContainsFunc(m.Ns, func(rr dns.RR) bool { _, ok := rr.(*dns.SOA); return ok })
}

// soa returns the TTL of a negative response (RFC 2308, section 5), or 0 where it has no SOA record.
func soa(m *dns.Msg) time.Duration {
	for _, rr := range m.Ns {
		if s, ok := rr.(*dns.SOA); ok {
			return min(lifetime(s.Hdr.Ttl), lifetime(s.Minttl))
		}
	}
	return 0
}

// add adds the address of an A or AAAA record, once. Unspecified and multicast addresses are left out.
func (f *found) add(rr dns.RR) {
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

// services processes the SRV records, and queries the addresses of targets that the additional section doesn't have.
func (l *Lookup) services(a *ask, m *dns.Msg, rrs []dns.RR, ttl time.Duration) {
	l.run.ttl, l.run.ok = ttl, true
	for _, rr := range rrs {
		s := rr.(*dns.SRV)
		s.Target = dns.CanonicalName(s.Target)
		l.run.srv = append(l.run.srv, s)
		if s.Target == "." || l.run.addrs[s.Target] != nil {
			continue
		}
		if len(l.run.addrs) >= targetsMost {
			l.acts = append(l.acts, Action{Log: fmt.Sprintf("%s: more than %d SRV targets: the rest is ignored", l.cfg.Name, targetsMost)})
			break
		}
		l.run.addrs[s.Target] = &found{ttl: l.cfg.Ceiling, none: l.cfg.Negative}
	}
	// Records of the additional section are accepted only for names within the domain of the service, as the sender may not be
	// authoritative for others.
	domain := l.cfg.Name
	for strings.HasPrefix(domain, "_") {
		_, domain, _ = strings.Cut(domain, ".")
	}
	for _, rr := range m.Extra {
		h := rr.Header()
		f := l.run.addrs[dns.CanonicalName(h.Name)]
		if f == nil || h.Class != dns.ClassINET || domain == "" || !dns.IsSubDomain(domain, h.Name) {
			continue
		}
		if h.Rrtype == dns.TypeA || h.Rrtype == dns.TypeAAAA {
			f.tried = true
			f.ttl = min(f.ttl, lifetime(h.Ttl))
			f.add(rr)
		}
	}
	for _, s := range l.run.srv {
		if f := l.run.addrs[s.Target]; f != nil && !f.tried {
			f.tried = true
			l.want(s.Target, dns.TypeA)
			l.want(s.Target, dns.TypeAAAA)
		}
	}
}

// clamp limits a TTL to the range from Floor to Ceiling.
func (l *Lookup) clamp(ttl time.Duration) time.Duration {
	return min(max(ttl, l.cfg.Floor), l.cfg.Ceiling)
}

// finish builds the answer of a lookup, and schedules the next lookup.
func (l *Lookup) finish() {
	r := l.run
	l.run = nil
	old := map[string]held{}
	if !r.ok {
		l.fail()
		return
	}
	life := l.clamp(r.ttl)
	ans := &Answer{Until: l.now + life, Decided: len(r.srv) == 1 && r.srv[0].Target == "."}
	var tiers []uint16
	for _, s := range r.srv {
		if !slices.Contains(tiers, s.Priority) {
			tiers = append(tiers, s.Priority)
		}
	}
	slices.Sort(tiers)
	lost := 0
	seen := map[string]bool{}
	for _, s := range r.srv {
		f := r.addrs[s.Target]
		if f == nil {
			continue
		}
		if len(f.addrs) == 0 {
			f.ttl = f.none
		}
		h := held{f.addrs, l.now + min(l.clamp(r.ttl), l.clamp(f.ttl))}
		if f.lost && len(f.addrs) == 0 {
			lost++
			h = l.last[s.Target] // the old addresses, until their old end
		}
		if len(h.addrs) > 0 {
			old[s.Target] = h
		}
		for _, addr := range h.addrs {
			b := Box{Target: strings.TrimSuffix(s.Target, "."), Addr: netip.AddrPortFrom(addr, s.Port), Until: h.until,
				Tier: slices.Index(tiers, s.Priority), Weight: weight(s.Weight)}
			if name := b.Name(); !seen[name] {
				seen[name] = true
				ans.Boxes = append(ans.Boxes, b)
			}
		}
		life = min(life, max(h.until-l.now, l.cfg.Floor))
	}
	l.last = old
	l.acts = append(l.acts, Action{Told: ans})
	if lost > 0 {
		l.acts = append(l.acts, Action{Log: fmt.Sprintf("%s: no response to the address queries for %d targets", l.cfg.Name, lost)})
		l.fail()
		l.next = min(l.next, l.now+l.refresh(life))
		return
	}
	l.slow = r.slow
	if l.fails > 0 {
		l.acts = append(l.acts, Action{Log: l.cfg.Name + ": answered again"})
	}
	l.fails = 0
	l.next = l.now + l.refresh(life)
}

// refresh draws the time until the refresh of a TTL.
func (l *Lookup) refresh(life time.Duration) time.Duration {
	return time.Duration((refreshFrom + (refreshTo-refreshFrom)*l.rng.Float64()) * float64(life))
}

// fail schedules the next lookup after a failure, with exponential backoff and jitter.
func (l *Lookup) fail() {
	wait := min(l.cfg.Retry<<min(l.fails, 10), l.cfg.RetryMost)
	l.slow = min(l.slow+1, doublings)
	if l.fails++; l.fails == 1 {
		l.acts = append(l.acts, Action{Log: l.cfg.Name + ": the name servers fail: what is known holds"})
	}
	l.next = l.now + time.Duration((0.5+l.rng.Float64())*float64(wait))
}

// weight converts an SRV weight. A weight of 0 becomes 0.1: a very small share beside other weights (RFC 2782).
func weight(w uint16) float64 {
	if w == 0 {
		return 0.1
	}
	return float64(w)
}
