package nginx

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"glencart/internal/site"
)

// upstream is an upstream block, or a box that proxy_pass names by itself.
type upstream struct {
	at   *Directive
	name string
	pool site.Pool
	used bool
}

// upstream reads a block.
func (m *importer) upstream(d *Directive) error {
	if len(d.Args) != 1 || d.Args[0] == "" || !d.Has {
		return bad(d, "takes a name and a block")
	}
	name := d.Args[0]
	if other := m.upstreams[name]; other != nil {
		return bad(d, "%q stands twice: the other is at %s", name, other.at.At())
	}
	u := &upstream{at: d, name: name, pool: site.Pool{Name: name, Spread: "weights"}}
	m.upstreams[name], m.order = u, append(m.order, u)
	m.say(d, Carried, "")
	list := m.flat(d.Block)
	method, backup := (*Directive)(nil), (*Directive)(nil)
	ids := map[string]int{}
	fails := map[int]bool{}
	var named []*Directive // servers whose boxes DNS tells
	for _, s := range list {
		switch s.Name {
		case "server":
			if slices.ContainsFunc(s.Args, func(a string) bool { return strings.HasPrefix(a, "service=") }) {
				named = append(named, s)
			}
			b, err := m.box(s, u, fails)
			if err != nil {
				return err
			}
			if b.Backup {
				backup = s
			}
			if b.Address == "" {
				continue
			}
			b.ID = b.Address
			if ids[b.Address]++; ids[b.Address] > 1 {
				b.ID = fmt.Sprintf("%s#%d", b.Address, ids[b.Address])
			}
			u.pool.Boxes = append(u.pool.Boxes, b)
		case "least_conn", "least_time", "random":
			method = s
			u.pool.Spread = "estimate"
			m.say(s, Difference, "the estimate of queues decides: what each box has open, and how fast it answers")
		case "ip_hash", "hash", "sticky", "sticky_cookie_insert":
			method = s
			m.say(s, NotCarried, "requests of one client or key may go to any box: what a box keeps for them in memory is not found on another")
		case "keepalive":
			n, err := one(s)
			if err != nil {
				return err
			}
			if u.pool.Keep, err = strconv.Atoi(n); err != nil || u.pool.Keep < 1 {
				return bad(s, "%q is not a count", n)
			}
			m.say(s, Difference, "so many idle connections are kept to each box")
		case "keepalive_timeout":
			text, err := one(s)
			if err != nil {
				return err
			}
			t, err := seconds(s, text)
			if err != nil {
				return err
			}
			u.pool.Idle = site.Duration(t)
			m.say(s, Carried, "")
		case "zone":
			m.say(s, Carried, "there is one process")
		case "keepalive_requests", "keepalive_time":
			m.say(s, Difference, "a connection is kept for as long as both sides like")
		case "queue":
			m.say(s, Difference, "a request that no box has room for is refused at once")
		case "ntlm":
			m.say(s, NotCarried, "requests of one client take any connection: NTLM needs its own")
		}
	}
	if err := m.follow(u, list, named); err != nil {
		return err
	}
	if backup != nil && method != nil && slices.Contains([]string{"ip_hash", "hash", "random"}, method.Name) {
		return bad(backup, "nginx takes no backup beside %s (line %d)", method.Name, method.Line)
	}
	if len(u.pool.Boxes)+len(u.pool.Sources) == 0 {
		if len(list) > 0 && slices.ContainsFunc(list, func(s *Directive) bool { return s.Name == "server" }) {
			return nil // all of them can't be carried, which is said
		}
		return bad(d, "no server is in it")
	}
	return nil
}

// box reads a server of an upstream. One that can't be carried comes back without an address.
func (m *importer) box(d *Directive, u *upstream, fails map[int]bool) (site.Box, error) {
	if len(d.Args) == 0 || d.Has {
		return site.Box{}, bad(d, "takes an address")
	}
	b := site.Box{}
	addr, err := boxAddress(d, d.Args[0], "80")
	if err != nil {
		return b, err
	}
	m.say(d, Carried, "")
	for _, a := range d.Args[1:] {
		key, value, has := strings.Cut(a, "=")
		n, nerr := strconv.Atoi(value)
		switch key {
		case "weight":
			if nerr != nil || n < 1 || n > 1e6 {
				return b, bad(d, "%q is not a weight", a)
			}
			b.Weight = float64(n)
			m.say(d, Difference, "its share holds while its queue is not more than 8 places longer than the others'")
		case "max_fails":
			if nerr != nil || n < 0 {
				return b, bad(d, "%q is not a count", a)
			}
			if n == 0 {
				n = 1 << 20
			}
			u.pool.MaxFails = max(u.pool.MaxFails, n)
			m.say(d, Difference, "max_fails counts for when backups step in; which box gets less after failures is for the estimate to say")
		case "fail_timeout":
			t, err := seconds(d, value)
			if err != nil {
				return b, err
			}
			u.pool.FailWithin = max(u.pool.FailWithin, site.Duration(t))
			m.say(d, Difference, "fail_timeout counts for when backups step in")
		case "slow_start":
			t, err := seconds(d, value)
			if err != nil {
				return b, err
			}
			u.pool.SlowStart = max(u.pool.SlowStart, site.Duration(t))
			m.say(d, Difference, "it holds for the whole pool: for a box that is new in the file, or that refused connections and answers again")
		case "max_conns":
			if nerr != nil || n < 0 {
				return b, bad(d, "%q is not a count", a)
			}
			if n > 0 {
				m.say(d, NotCarried, "max_conns: the box may get more at once, as far as its answers stay in time")
			}
		case "backup":
			b.Backup = true
			m.say(d, Difference, "it steps in when no other box may be sent to, and leaves once one of them answers and its last failure is fail_timeout ago")
		case "down":
			b.State = "down"
		case "drain":
			b.State = "draining"
		case "resolve":
			if !slices.ContainsFunc(d.Args, func(a string) bool { return strings.HasPrefix(a, "service=") }) {
				m.say(d, NotCarried, "resolve: a name's addresses are not followed as they change, only SRV records (service=) are")
			}
		case "service":
			return site.Box{Backup: b.Backup}, nil // its boxes are told by DNS alone: follow
		case "route", "id":
			m.say(d, Difference, "%s= has no use here", key)
		default:
			return b, bad(d, "parameter %q is unknown", a)
		}
		if has == slices.Contains([]string{"backup", "down", "drain", "resolve"}, key) {
			return b, bad(d, "parameter %q: its value is missing, or it takes none", a)
		}
	}
	b.Address = addr
	return b, nil
}

var hostName = regexp.MustCompile(`^[A-Za-z0-9._:%-]+$`)

// boxAddress reads an address with or without a port.
func boxAddress(d *Directive, text, port string) (string, error) {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		if !strings.HasPrefix(path, "/") {
			return "", bad(d, "%q: a socket's path begins with a slash", text)
		}
		return "unix:" + strings.TrimSuffix(path, ":"), nil
	}
	host, p, err := net.SplitHostPort(text)
	if err != nil {
		host, p = strings.Trim(text, "[]"), port
	}
	if n, err := strconv.Atoi(p); err != nil || n < 1 || n > 65535 || !hostName.MatchString(host) {
		return "", bad(d, "%q is not an address", text)
	}
	return net.JoinHostPort(host, p), nil
}

// poolFor finds or makes the pool of a proxied name, as the scope has its connections.
func (m *importer) poolFor(d *Directive, s *scope, scheme, name string) (string, int, error) {
	u := m.upstreams[name]
	if u == nil {
		addr, err := boxAddress(d, name, map[string]string{"http": "80", "https": "443"}[scheme])
		if err != nil {
			return "", 0, err
		}
		u = &upstream{at: d, name: name, pool: site.Pool{Name: strings.NewReplacer("unix:", "unix", "/", "-").Replace(name),
			Boxes: []site.Box{{ID: addr, Address: addr}}}}
		if m.upstreams[u.pool.Name] != nil {
			u.pool.Name += "-direct"
		}
		m.upstreams[name] = u
	}
	if len(u.pool.Boxes)+len(u.pool.Sources) == 0 {
		return "", 0, nil
	}
	p := u.pool
	p.Connect = site.Duration(s.connect)
	if scheme == "https" {
		p.TLS, p.TLSName, p.TLSCA = true, s.sslName, s.sslCA
		p.TLSInsecure = s.sslVerify == nil || s.sslVerify.Args[0] != "on"
	}
	ready := 0
	for _, b := range p.Boxes {
		if b.State == "" {
			ready++
		}
	}
	p.Attempts = max(1, min(len(p.Boxes), 10))
	if len(p.Sources) > 0 {
		ready, p.Attempts = ready+2, max(p.Attempts, namedAttempts) // how many there are is not known before DNS has said so
	}
	key := fmt.Sprintf("%s %v %v %s %s %v", u.pool.Name, p.Connect, p.TLS, p.TLSName, p.TLSCA, p.TLSInsecure)
	if have, ok := m.pools[key]; ok {
		return have, ready, nil
	}
	for i := 2; slices.ContainsFunc(m.site.Pools, func(x site.Pool) bool { return x.Name == p.Name }); i++ {
		p.Name = fmt.Sprintf("%s-%d", u.pool.Name, i)
	}
	if len(p.Sources) == 0 && slices.IndexFunc(p.Boxes, func(b site.Box) bool { return !b.Backup }) < 0 {
		m.say(u.at, Difference, "all of its servers are backups: they are the usual boxes here")
		p.Boxes = slices.Clone(p.Boxes)
		for i := range p.Boxes {
			p.Boxes[i].Backup = false
		}
	}
	u.used = true
	m.pools[key] = p.Name
	m.site.Pools = append(m.site.Pools, p)
	return p.Name, ready, nil
}
