package nginx

import (
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"glencart/internal/site"
	"glencart/route"
)

// locations reads the locations of a level. around is the location that they stand in, nil at a server.
func (m *importer) locations(at *level, list []*Directive, around *site.Location) ([]site.Location, error) {
	var out []site.Location
	seen := map[string]*Directive{}
	for _, d := range list {
		if d.Name != "location" {
			continue
		}
		if !d.Has || len(d.Args) == 0 || len(d.Args) > 2 {
			return nil, bad(d, "takes a modifier, a path and a block")
		}
		match, path, err := pathOf(d)
		if err != nil {
			return nil, err
		}
		if match == "named" {
			if around != nil {
				return nil, bad(d, "a named location stands at the server only")
			}
			m.all(d, NotCarried, "reached by internal redirects only, which are not made here")
			continue
		}
		regex := strings.HasPrefix(match, "regex")
		if around != nil {
			switch {
			case around.Match == "exact":
				return nil, bad(d, "it stands in the exact location %q, which can hold none", around.Path)
			case !regex && !strings.HasPrefix(around.Match, "regex") && !strings.HasPrefix(path, around.Path):
				return nil, bad(d, "%q is outside of the location %q around it", path, around.Path)
			}
		}
		if regex && path == "" {
			path = "^" // any path
		}
		if !regex {
			key := path
			if match == "exact" {
				key = "= " + path
			}
			if other := seen[key]; other != nil {
				return nil, bad(d, "%q stands twice: the other is at %s", path, other.At())
			}
			seen[key] = d
			if path == "" || path[0] != '/' {
				m.all(d, NotCarried, "no path begins so: it never matches, in nginx either")
				continue
			}
		} else if _, err := regexp.Compile(path); err != nil {
			m.all(d, NotCarried, "see the location around it")
			m.say(d, Unsafe, "%q uses what RE2 can't (look-around, back-references): its requests would go to another location; write it otherwise", path)
			continue
		}
		l, err := m.location(at, d, site.Location{Match: match, Path: path})
		if err != nil {
			return nil, err
		}
		out = append(out, *l)
	}
	// A request for the path of a proxied prefix less its closing slash is sent to it by 301 (ngx_http_core_module, location).
	for _, l := range slices.Clone(out) {
		bare := strings.TrimSuffix(l.Path, "/")
		if bare == l.Path || bare == "" || l.Match != "" && l.Match != "stop" || !slices.ContainsFunc(l.Routes, func(r site.Route) bool { return r.Pool != "" }) {
			continue
		}
		if seen[bare] != nil || seen["= "+bare] != nil || around != nil && !strings.HasPrefix(bare, around.Path) {
			continue
		}
		out = append(out, site.Location{Match: "exact", Path: bare,
			Routes: []site.Route{{Status: 301, Text: "$scheme://$http_host" + route.Escape(l.Path) + "$is_args$args"}}})
	}
	return out, nil
}

// pathOf reads a location's modifier and path, which may stand as one word.
func pathOf(d *Directive) (match, path string, err error) {
	kinds := []struct{ mark, match string }{{"=", "exact"}, {"^~", "stop"}, {"~*", "regex-fold"}, {"~", "regex"}}
	if len(d.Args) == 2 {
		for _, k := range kinds {
			if d.Args[0] == k.mark {
				return k.match, d.Args[1], nil
			}
		}
		return "", "", bad(d, "modifier %q is none of =, ~, ~* and ^~", d.Args[0])
	}
	path = d.Args[0]
	if strings.HasPrefix(path, "@") {
		return "named", path, nil
	}
	for _, k := range kinds {
		if rest, ok := strings.CutPrefix(path, k.mark); ok {
			return k.match, rest, nil
		}
	}
	return "", path, nil
}

var otherPasses = map[string]string{"fastcgi_pass": "FastCGI", "uwsgi_pass": "uwsgi", "scgi_pass": "SCGI", "memcached_pass": "memcached",
	"grpc_pass": "gRPC over HTTP/2", "postgres_pass": "PostgreSQL", "redis_pass": "Redis", "tunnel_pass": "CONNECT"}

// location reads a location's block.
func (m *importer) location(around *level, d *Directive, l site.Location) (*site.Location, error) {
	m.say(d, Carried, "")
	list := m.flat(d.Block)
	sc, err := m.scope(around.scope, list)
	if err != nil {
		return nil, err
	}
	lv := &level{importer: m, scope: sc, named: around.named, gate: around.gate}
	var pass, strip, hidden, files *Directive
	for _, x := range list {
		switch {
		case x.Name == "proxy_pass":
			if pass != nil {
				return nil, bad(x, "stands twice: the other is at line %d", pass.Line)
			}
			pass = x
		case x.Name == "internal":
			hidden = x
			m.say(x, Carried, "a client gets 404")
		case x.Name == "rewrite" && lv.ret == nil && lv.why == "" && strip == nil && stripOf(x, &l) != nil:
			strip = x
			m.say(x, Carried, "")
		case x.Name == "limit_except":
			if err := lv.limitExcept(x); err != nil {
				return nil, err
			}
		case otherPasses[x.Name] != "":
			m.say(x, NotCarried, "%s is not spoken: the location answers 501", otherPasses[x.Name])
			lv.why = cmpWhy(lv.why, fmt.Sprintf("%s: %s", x.At(), x.Name))
		case slices.Contains([]string{"try_files", "alias", "autoindex", "dav_methods", "empty_gif", "flv", "mp4", "random_index", "stub_status", "index", "root"}, x.Name):
			if files == nil || x.Name == "try_files" {
				files = x
			}
			if x.Name != "root" && x.Name != "index" {
				m.say(x, NotCarried, "files are not served here: the location answers 501")
			}
		case slices.Contains([]string{"proxy_method", "proxy_set_body", "proxy_pass_request_body", "proxy_pass_request_headers"}, x.Name):
			m.say(x, NotCarried, "boxes would get another request than the client sent: the location answers 501")
			lv.why = cmpWhy(lv.why, fmt.Sprintf("%s: %s", x.At(), x.Name))
		default:
			if err := lv.rewrites(x); err != nil {
				return nil, err
			}
		}
	}
	m.pages(lv, list)
	if files != nil && lv.ret == nil && lv.why == "" && (pass == nil || files.Name == "try_files") {
		lv.why = fmt.Sprintf("%s: %s: files are not served", files.At(), files.Name)
	}
	for _, x := range list { // root and index alone say nothing where requests are passed on
		if x.Name == "root" || x.Name == "index" {
			if pass != nil {
				m.say(x, Carried, "no files are served where requests are passed on")
			} else {
				m.say(x, NotCarried, "files are not served here: the location answers 501")
			}
		}
	}
	var target *passed
	if pass != nil {
		if target, err = m.proxyPass(pass, lv, &l); err != nil {
			return nil, err
		}
	}
	shut := lv.ret == nil && m.closed(sc) // what is returned comes before the checks, in nginx too
	if lv.ret == nil && !m.rules(sc, &l) {
		shut = true
	}
	r := site.Route{}
	switch {
	case hidden != nil:
		r.Status = 404
	case shut:
		r.Status, r.Text = 403, "not carried over: a check of clients\n"
	case lv.ret != nil || lv.why != "":
		lv.answer(&r)
		for _, x := range sc.add {
			if h := (site.Header{Name: x.Args[0], Value: x.Args[1]}); unknownVariable(h.Value) == "" && site.ValidHeader(h) {
				r.Add = append(r.Add, h)
				m.say(x, Difference, "it is added to every answer, whatever its status")
			}
		}
	case target != nil:
		l.Routes = gated(lv.gate, target.routes(m, sc, &l, strip))
	}
	if r.Status != 0 {
		l.Routes = gated(lv.gate, []site.Route{r})
	}
	if l.Locations, err = m.locations(lv, list, &l); err != nil {
		return nil, err
	}
	if strip != nil && l.Locations == nil && target != nil && r.Status == 0 {
		// Only what the expression matches is rewritten: a location within, for a path that ends before the slash.
		if p := stripOf(strip, &l); p.within != "" {
			in := site.Location{Path: p.within, Allow: l.Allow, Deny: l.Deny, DenyFirst: l.DenyFirst, Routes: slices.Clone(l.Routes)}
			for i := range in.Routes {
				if in.Routes[i].Pool != "" {
					in.Routes[i].Rewrite = &p.to
				}
			}
			l.Locations = []site.Location{in}
		}
	} else if strip != nil && len(l.Locations) > 0 {
		m.say(strip, Difference, "locations within are passed on unrewritten, as nginx does")
	}
	return &l, nil
}

func cmpWhy(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// strip is a rewrite ... break that takes a prefix off: to stands in the place of the location's path, or of within.
type strip struct{ within, to string }

// stripOf recognises rewrite ^/prefix/(.*)$ /to/$1 break in a prefix location, nil if it is something else.
func stripOf(d *Directive, l *site.Location) *strip {
	if len(d.Args) != 3 || d.Args[2] != "break" || l.Match != "" && l.Match != "stop" {
		return nil
	}
	from, ok := strings.CutSuffix(strings.TrimSuffix(d.Args[0], "$"), "(.*)")
	from, ok2 := strings.CutPrefix(from, "^")
	to, ok3 := strings.CutSuffix(d.Args[1], "$1")
	if !ok || !ok2 || !ok3 || regexp.QuoteMeta(from) != from || !strings.HasPrefix(to, "/") || strings.Contains(to, "$") {
		return nil
	}
	switch {
	case strings.HasPrefix(l.Path, from):
		return &strip{to: to + l.Path[len(from):]}
	case from == l.Path+"/":
		return &strip{within: from, to: to}
	}
	return nil
}

// httpMethods are those that limit_except takes.
var httpMethods = strings.Fields("GET HEAD POST PUT DELETE MKCOL COPY MOVE OPTIONS PROPFIND PROPPATCH LOCK UNLOCK PATCH")

// limitExcept takes in limit_except: only a plain deny all is a gate.
func (l *level) limitExcept(d *Directive) error {
	methods := slices.Clone(d.Args)
	for i, x := range methods {
		methods[i] = strings.ToUpper(x)
		if !slices.Contains(httpMethods, methods[i]) {
			return bad(d, "method %q is none of %s", x, strings.Join(httpMethods, ", "))
		}
	}
	if slices.Contains(methods, "GET") && !slices.Contains(methods, "HEAD") {
		methods = append(methods, "HEAD")
	}
	if len(d.Block) == 1 && d.Block[0].Name == "deny" && slices.Equal(d.Block[0].Args, []string{"all"}) && l.gate == nil {
		l.all(d, Carried, "")
		l.gate = &gate{methods, 403}
		return nil
	}
	l.all(d, Unsafe, "only deny all can be carried within limit_except: other methods answer 403")
	l.gate = &gate{methods, 403}
	return nil
}

// passed is where proxy_pass sends requests.
type passed struct {
	pool   string
	boxes  int
	host   string
	uri    string
	hasURI bool
}

// proxyPass reads where requests go. What can't be told now closes the location.
func (m *importer) proxyPass(d *Directive, lv *level, l *site.Location) (*passed, error) {
	text, err := one(d)
	if err != nil {
		return nil, err
	}
	if strings.Contains(text, "$") {
		m.say(d, NotCarried, "where it goes is told by variables, which stand for nothing here: the location answers 501; name the pool")
		lv.why = cmpWhy(lv.why, fmt.Sprintf("%s: proxy_pass with variables", d.At()))
		return nil, nil
	}
	scheme, rest, ok := strings.Cut(text, "://")
	if !ok || scheme != "http" && scheme != "https" {
		return nil, bad(d, "%q is not an address: it begins with http:// or https://", text)
	}
	p := &passed{}
	if socket, ok := strings.CutPrefix(rest, "unix:"); ok {
		path, uri, has := strings.Cut(socket, ":")
		rest, p.uri, p.hasURI = "unix:"+path, uri, has && uri != ""
		p.host = "localhost"
	} else {
		if i := strings.IndexAny(rest, "/?"); i >= 0 {
			p.uri, p.hasURI = rest[i:], true
			rest = rest[:i]
		}
		p.host = rest
	}
	if !site.ValidHost(p.host) {
		return nil, bad(d, "%q is not a host", p.host)
	}
	if rest == "" {
		return nil, bad(d, "%q names no box", text)
	}
	if p.hasURI && strings.HasPrefix(l.Match, "regex") {
		return nil, bad(d, "it can't have a URI (%q) in a location with a regular expression", p.uri)
	}
	m.say(d, Carried, "")
	if p.hasURI {
		u, err := url.PathUnescape(p.uri)
		if err != nil || !strings.HasPrefix(p.uri, "/") || strings.ContainsAny(p.uri, "?#") {
			m.say(d, NotCarried, "%q is not a plain path: the location answers 501", p.uri)
			lv.why = cmpWhy(lv.why, fmt.Sprintf("%s: proxy_pass with %q", d.At(), p.uri))
			return nil, nil
		}
		p.uri = u
	}
	pool, boxes, err := m.poolFor(d, lv.scope, scheme, rest)
	if err != nil {
		return nil, err
	}
	if pool == "" {
		m.say(d, NotCarried, "none of its servers could be carried: the location answers 501")
		lv.why = cmpWhy(lv.why, fmt.Sprintf("%s: proxy_pass without boxes", d.At()))
		return nil, nil
	}
	p.pool, p.boxes = pool, boxes
	return p, nil
}

var safeMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE"}

// routes words the routes of a proxied location.
func (p *passed) routes(m *importer, s *scope, l *site.Location, strips *Directive) []site.Route {
	r := site.Route{Pool: p.pool}
	m.headers(s, &r, p.host)
	most := site.Size(usualBody)
	if s.bodySet {
		most = site.Size(s.body)
	}
	r.Body = &most
	if p.hasURI {
		r.Rewrite = &p.uri
	}
	if strips != nil {
		if x := stripOf(strips, l); x.within == "" {
			r.Rewrite = &x.to
		}
	}
	safe, other := m.classes(s, p.boxes)
	if safe == "" {
		return []site.Route{r}
	}
	first := r
	first.Methods, first.Class = safeMethods, safe
	r.Class = other
	return []site.Route{first, r}
}
