package nginx

import (
	"net"
	"slices"
	"strings"
	"time"

	"glencart/internal/site"
)

// namedAttempts is how often a request may be sent in a pool whose boxes DNS tells: as in one with so many boxes.
const namedAttempts = 3

// resolver is what the directives resolver and resolver_timeout say at one level.
type resolver struct {
	at      *Directive
	servers []string
	valid   time.Duration // the lifetime of all answers; 0: their own
	timeout time.Duration
}

// resolver reads a level's own over what it inherits.
func (m *importer) resolver(around *resolver, list []*Directive) (*resolver, error) {
	r := *around
	for _, d := range list {
		switch d.Name {
		case "resolver":
			if len(d.Args) == 0 || d.Has {
				return nil, bad(d, "takes at least one address")
			}
			r.at, r.servers, r.valid = d, nil, 0
			m.say(d, Carried, "for servers with service=")
			for _, a := range d.Args {
				if key, value, has := strings.Cut(a, "="); has {
					switch key {
					case "valid":
						t, err := seconds(d, value)
						if err != nil {
							return nil, err
						}
						r.valid = t
					case "ipv4", "ipv6":
						if value == "off" {
							m.say(d, Difference, "%s: addresses of both kinds are asked for", a)
						}
					case "status_zone":
						m.say(d, Difference, "%s has no use here", a)
					default:
						return nil, bad(d, "parameter %q is unknown", a)
					}
					continue
				}
				host, port, err := net.SplitHostPort(a)
				if err != nil {
					host, port = strings.Trim(a, "[]"), "53"
				}
				if net.ParseIP(host) == nil {
					if !hostName.MatchString(host) {
						return nil, bad(d, "%q is not an address", a)
					}
					m.say(d, NotCarried, "%s: a name server is named by its IP address here", a)
					continue
				}
				r.servers = append(r.servers, net.JoinHostPort(host, port))
			}
		case "resolver_timeout":
			text, err := one(d)
			if err != nil {
				return nil, err
			}
			if r.timeout, err = seconds(d, text); err != nil {
				return nil, err
			}
			m.say(d, Difference, "it is for one question to one name server, and requests never wait for it")
		}
	}
	return &r, nil
}

// follow makes sources of the servers of an upstream whose boxes SRV records tell.
func (m *importer) follow(u *upstream, list, named []*Directive) error {
	r, err := m.resolver(m.names53, list)
	if err != nil {
		return err
	}
	for _, d := range named {
		var service string
		resolves, weight := false, ""
		for _, a := range d.Args[1:] {
			key, value, _ := strings.Cut(a, "=")
			switch key {
			case "service":
				service = value
			case "resolve":
				resolves = true
			case "weight", "backup":
				weight = key
			}
		}
		host := d.Args[0]
		if _, _, err := net.SplitHostPort(host); err == nil {
			return bad(d, "service= stands with a name that has no port")
		}
		if service == "" || !resolves {
			return bad(d, "service= takes a name, and stands with resolve")
		}
		name := service + "." + host
		if !strings.Contains(service, ".") {
			name = "_" + service + "._tcp." + host
		}
		name = strings.TrimSuffix(name, ".")
		switch {
		case !strings.HasPrefix(name, "_") || strings.Count(name, ".") < 2:
			m.say(d, NotCarried, "%s is no name of a service as RFC 2782 words it", name)
			continue
		case weight != "":
			m.say(d, Difference, "%s: weights and priorities are those of the records", weight)
		}
		if slices.ContainsFunc(u.pool.Sources, func(s site.Source) bool { return s.DNS == name }) {
			continue // nginx would count its boxes twice
		}
		src := site.Source{DNS: name, Resolvers: r.servers, Timeout: site.Duration(r.timeout)}
		if r.valid > 0 {
			src.Floor, src.Ceiling = site.Duration(r.valid), site.Duration(r.valid)
		}
		if r.at == nil {
			m.say(d, Difference, "no resolver is named: those of /etc/resolv.conf are asked")
		}
		m.say(d, Difference, "boxes that go all at once are held for 60 s, and a failing name server takes none away")
		u.pool.Sources = append(u.pool.Sources, src)
	}
	return nil
}
