package nginx

import (
	"fmt"
	"net"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"glencart/internal/site"
)

// listens are the addresses of a server.
type listens struct {
	names    []string // of listeners
	defaults []string
}

// server reads a server block.
func (m *importer) server(around *scope, d *Directive) error {
	m.say(d, Carried, "")
	list := m.flat(d.Block)
	sc, err := m.scope(around, list)
	if err != nil {
		return err
	}
	ls, err := m.listens(d, list)
	if err != nil {
		return err
	}
	names, err := m.serverNames(ls, list)
	if err != nil {
		return err
	}
	v := site.Server{Slashes: sc.slashes}
	named := map[string]*Directive{}
	level := &level{importer: m, scope: sc, named: named}
	for _, x := range list {
		if x.Name == "location" && len(x.Args) > 0 && strings.HasPrefix(x.Args[0], "@") {
			if named[x.Args[0]] != nil {
				return bad(x, "%q stands twice: the other is at %s", x.Args[0], named[x.Args[0]].At())
			}
			named[x.Args[0]] = x
		}
	}
	var split []site.Server // names that an if sends elsewhere
	for _, x := range list {
		if host, ret := hostIf(x); host != "" && slices.Contains(names, host) {
			r := &site.Route{}
			if why := m.fixed(ret, r); why == "" {
				m.say(x, Carried, "")
				names = slices.DeleteFunc(names, func(n string) bool { return n == host })
				split = append(split, site.Server{Names: []string{host}, Locations: []site.Location{{Path: "/", Routes: []site.Route{*r}}}})
				continue
			}
		}
		if err := level.rewrites(x); err != nil {
			return err
		}
	}
	if level.ret != nil || level.why != "" {
		r := &site.Route{}
		level.answer(r)
		v.Locations = []site.Location{{Match: "stop", Path: "/", Routes: gated(level.gate, []site.Route{*r})}}
		for _, x := range list {
			if x.Name == "location" {
				if level.why != "" {
					m.all(x, NotCarried, "the whole server answers 501: %s", level.why)
				} else {
					m.all(x, Carried, "never reached: what the server returns comes first")
				}
			}
		}
	} else if v.Locations, err = m.locations(level, list, nil); err != nil {
		return err
	}
	m.pages(level, list)
	if len(v.Locations) == 0 {
		m.say(d, NotCarried, "files are not served here, and it passes no requests on: it answers 501")
		v.Locations = []site.Location{{Path: "/", Routes: []site.Route{{Status: 501, Text: "files are not served here\n"}}}}
	}
	emit := func(v site.Server, listeners []string, isDefault bool) {
		if len(listeners) > 0 {
			v.Listeners, v.Default = listeners, isDefault
			m.site.Servers = append(m.site.Servers, v)
		}
	}
	v.Names = names
	plain := slices.DeleteFunc(slices.Clone(ls.names), func(n string) bool { return slices.Contains(ls.defaults, n) })
	emit(v, ls.defaults, true)
	emit(v, plain, false)
	for _, s := range split {
		emit(s, ls.names, false)
	}
	return nil
}

// listens reads a server's addresses.
func (m *importer) listens(d *Directive, list []*Directive) (*listens, error) {
	ls := &listens{}
	var certs, keys []string
	on := false
	var at []*Directive
	for _, x := range list {
		switch x.Name {
		case "listen":
			at = append(at, x)
		case "ssl_certificate", "ssl_certificate_key":
			name, err := one(x)
			if err != nil {
				return nil, err
			}
			if strings.Contains(name, "$") || strings.HasPrefix(name, "data:") || strings.HasPrefix(name, "engine:") {
				m.say(x, NotCarried, "only files are read: give the listener its certificate in [[listener]]")
				continue
			}
			if !filepath.IsAbs(name) {
				name = filepath.Join(filepath.Dir(x.File), name)
			}
			m.say(x, Carried, "")
			if x.Name == "ssl_certificate" {
				certs = append(certs, name)
			} else {
				keys = append(keys, name)
			}
		case "ssl":
			on = len(x.Args) > 0 && x.Args[0] == "on"
			m.say(x, Carried, "")
		}
	}
	if len(at) == 0 {
		at = []*Directive{{File: d.File, Line: d.Line, Name: "listen", Args: []string{"80"}}}
	}
	for _, x := range at {
		if len(x.Args) == 0 {
			return nil, bad(x, "takes an address")
		}
		if strings.HasPrefix(x.Args[0], "unix:") {
			m.say(x, NotCarried, "only TCP is listened on")
			continue
		}
		addr, err := listenAddress(x)
		if err != nil {
			return nil, err
		}
		name := "port-" + addr[1:]
		if addr[0] != ':' {
			name = addr
		}
		m.say(x, Carried, "")
		tls, isDefault, usable := on, false, true
		for _, a := range x.Args[1:] {
			key, _, _ := strings.Cut(a, "=")
			switch key {
			case "ssl":
				tls = true
			case "default_server", "default":
				isDefault = true
			case "http2", "spdy":
				m.say(x, Difference, "glencart speaks HTTP/1.1 with clients")
			case "quic":
				usable = false
				m.say(x, NotCarried, "HTTP/3 is not spoken")
			case "proxy_protocol":
				usable = false
				m.say(x, NotCarried, "the PROXY protocol is not read: the listener is left out")
			case "reuseport", "backlog", "rcvbuf", "sndbuf", "deferred", "bind", "ipv6only", "so_keepalive", "fastopen", "setfib", "accept_filter", "multipath":
				m.say(x, Carried, "its socket options are the system's")
			default:
				return nil, bad(x, "parameter %q is unknown", a)
			}
		}
		if !usable {
			continue
		}
		l := m.listeners[name]
		if l == nil {
			m.site.Listeners = append(m.site.Listeners, site.Listener{Name: name, Address: addr})
			l = &site.Listener{Name: name}
			m.listeners[name] = l
		}
		if tls {
			if len(certs) == 0 || len(certs) != len(keys) {
				return nil, bad(x, "ssl, and the server has no ssl_certificate with its ssl_certificate_key")
			}
			i := slices.IndexFunc(m.site.Listeners, func(l site.Listener) bool { return l.Name == name })
			for j := range certs {
				c := site.Certificate{Certificate: certs[j], Key: keys[j]}
				if !slices.Contains(m.site.Listeners[i].TLS, c) {
					m.site.Listeners[i].TLS = append(m.site.Listeners[i].TLS, c)
				}
			}
		}
		if isDefault && !slices.Contains(ls.defaults, name) {
			if other := m.defaults[name]; other != nil {
				return nil, bad(x, "a second default server for %s: the other is at %s", x.Args[0], other.At())
			}
			m.defaults[name] = x
			ls.defaults = append(ls.defaults, name)
		}
		if !slices.Contains(ls.names, name) {
			ls.names = append(ls.names, name)
		}
	}
	return ls, nil
}

// listenAddress brings an address into the form of the site's file. Wildcards of IPv4 and IPv6 are one listener.
func listenAddress(d *Directive) (string, error) {
	text := d.Args[0]
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		if _, nerr := strconv.Atoi(text); nerr == nil {
			host, port = "", text
		} else {
			host, port = strings.Trim(text, "[]"), "80"
		}
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return "", bad(d, "%q is not an address", text)
	}
	if host == "*" || host == "0.0.0.0" || host == "::" {
		host = ""
	}
	if host != "" && !hostName.MatchString(host) {
		return "", bad(d, "%q is not an address", text)
	}
	return net.JoinHostPort(host, port), nil
}

// serverNames reads a server's names. One that stands at an earlier server of the same listener is ignored by nginx too.
func (m *importer) serverNames(ls *listens, list []*Directive) (names []string, err error) {
	for _, x := range list {
		if x.Name != "server_name" {
			continue
		}
		if len(x.Args) == 0 {
			return nil, bad(x, "takes at least one name")
		}
		m.say(x, Carried, "")
		for _, n := range x.Args {
			if re, ok := strings.CutPrefix(n, "~"); ok {
				if _, err := regexp.Compile("(?i)" + re); err != nil {
					m.say(x, Unsafe, "%q uses what RE2 can't: its requests would go to another server; write the names out", n)
					continue
				}
			} else if inner := strings.TrimPrefix(strings.TrimSuffix(n, ".*"), "*."); strings.Contains(inner, "*") {
				return nil, bad(x, "%q: an asterisk may stand only first, before a dot, or last, after one", n)
			} else if n = strings.ToLower(n); n == "$hostname" {
				m.say(x, NotCarried, "$hostname is not known here: write the name out")
				continue
			}
			taken := (*Directive)(nil)
			for _, l := range ls.names {
				forms := []string{n}
				if strings.HasPrefix(n, ".") {
					forms = []string{n[1:], "*" + n}
				}
				for _, f := range forms {
					if other := m.names[l+" "+f]; other != nil && other != x {
						taken = other
					} else {
						m.names[l+" "+f] = x
					}
				}
			}
			if taken != nil {
				m.say(x, Difference, "%q stands at %s already, which gets its requests, in nginx too", n, taken.At())
				continue
			}
			if !slices.Contains(names, n) {
				names = append(names, n)
			}
		}
	}
	return names, nil
}

// level is what the rewrite module, and what else bears on where requests go, says at a server or location.
type level struct {
	*importer
	scope *scope
	named map[string]*Directive
	ret   *Directive // an unconditional return or redirect
	text  string     // of a redirect by rewrite
	code  int
	why   string // a reason for 501
	gate  *gate
}

// gate lets some methods through.
type gate struct {
	methods []string
	status  int
}

var hostIs = regexp.MustCompile(`^\$(?:host|http_host)$`)

// hostIf recognises if ($host = name) { return ...; }, which certbot writes.
func hostIf(d *Directive) (host string, ret *Directive) {
	if d.Name != "if" || len(d.Args) != 3 || len(d.Block) != 1 || d.Block[0].Name != "return" || d.Args[1] != "=" {
		return "", nil
	}
	if !hostIs.MatchString(strings.TrimPrefix(d.Args[0], "(")) || !strings.HasPrefix(d.Args[0], "(") {
		return "", nil
	}
	return strings.ToLower(strings.TrimSuffix(d.Args[2], ")")), d.Block[0]
}

var methodList = regexp.MustCompile(`^\^?\(?([A-Z]+(?:\|[A-Z]+)*)\)?\$?$`)

// methodIf recognises if ($request_method !~ ^(GET|POST)$) { return 405; }, and the like with = and !=.
func (m *importer) methodIf(d *Directive) *gate {
	if d.Name != "if" || len(d.Args) != 3 || d.Args[0] != "($request_method" || len(d.Block) != 1 || d.Block[0].Name != "return" {
		return nil
	}
	ret := d.Block[0]
	code, err := strconv.Atoi(strings.Join(ret.Args, " "))
	list := methodList.FindStringSubmatch(strings.TrimSuffix(d.Args[2], ")"))
	if list == nil { // the closing parenthesis of the if may stand behind one of the expression
		list = methodList.FindStringSubmatch(d.Args[2][:max(len(d.Args[2])-1, 0)])
	}
	if err != nil || list == nil || code < 400 || code > 499 || d.Args[1] != "!~" && d.Args[1] != "!=" {
		return nil
	}
	if d.Args[1] == "!~" && !(strings.HasPrefix(d.Args[2], "^") && strings.HasSuffix(strings.TrimSuffix(d.Args[2], ")"), "$")) {
		return nil // GET would let TARGET in
	}
	m.say(d, Carried, "")
	m.say(ret, Carried, "")
	return &gate{strings.Split(list[1], "|"), code}
}

// rewrites takes in a directive of a level that bears on where requests go, if it is one.
func (l *level) rewrites(d *Directive) error {
	over := l.ret != nil || l.why != ""
	switch d.Name {
	case "return":
		if over {
			l.say(d, Carried, "never reached")
			return nil
		}
		if len(d.Args) == 0 || len(d.Args) > 2 {
			return bad(d, "takes a code, and a text or URL")
		}
		if why := l.fixed(d, &site.Route{}); why != "" {
			l.why = why
			return nil
		}
		l.ret = d
	case "if":
		if len(d.Args) == 0 || !d.Has {
			return bad(d, "takes a condition and a block")
		}
		if g := l.methodIf(d); g != nil && l.gate == nil && !over {
			l.gate = g
			return nil
		}
		if over {
			l.all(d, Carried, "never reached")
			return nil
		}
		l.all(d, NotCarried, "conditions are not followed: what they bear on answers 501; use locations, or methods of routes")
		l.why = fmt.Sprintf("%s: if", d.At())
	case "rewrite":
		if len(d.Args) < 2 || len(d.Args) > 3 {
			return bad(d, "takes an expression, a replacement and a flag")
		}
		if over {
			l.say(d, Carried, "never reached")
			return nil
		}
		if text, code := redirect(d); text != "" && unknownVariable(text) == "" {
			l.ret, l.text, l.code = d, text, code
			l.say(d, Carried, "")
			return nil
		}
		l.say(d, NotCarried, "paths are not rewritten by expressions: what it bears on answers 501; use a prefix location with rewrite")
		l.why = fmt.Sprintf("%s: rewrite", d.At())
	case "set":
		l.say(d, NotCarried, "the variable stands for nothing here: what uses it is reported where it is used")
	case "break":
		l.say(d, Carried, "")
	case "rewrite_by_lua_block", "rewrite_by_lua_file", "content_by_lua_block", "content_by_lua_file", "set_by_lua_block", "js_content", "perl",
		"balancer_by_lua_block", "header_filter_by_lua_block", "body_filter_by_lua_block":
		l.say(d, NotCarried, "programs are not run here: what it bears on answers 501")
		l.why = fmt.Sprintf("%s: %s", d.At(), d.Name)
	}
	return nil
}

// wholePath are expressions that match any path. The first group is the path, less its slash for the latter.
var wholePath = map[string]string{"^": "", "^/": "", ".*": "", "^.*": "", "^.*$": "", "^(.*)$": "$1", "^(.*)": "$1", "(.*)": "$1",
	"^/(.*)$": "/$1", "^/(.*)": "/$1"}

// redirect recognises a rewrite that sends the client elsewhere whatever the path.
func redirect(d *Directive) (text string, code int) {
	group, ok := wholePath[d.Args[0]]
	text = d.Args[1]
	flag := ""
	if len(d.Args) == 3 {
		flag = d.Args[2]
	}
	away := strings.HasPrefix(text, "http://") || strings.HasPrefix(text, "https://") || strings.HasPrefix(text, "$scheme")
	if !ok || !away && flag != "redirect" && flag != "permanent" {
		return "", 0
	}
	code = 302
	if flag == "permanent" {
		code = 301
	}
	if group != "" {
		text = strings.ReplaceAll(text, group, "$uri")
	}
	if strings.Contains(text, "$1") || strings.Contains(text, "$2") {
		return "", 0
	}
	if cut, ok := strings.CutSuffix(text, "?"); ok {
		return cut, code
	}
	if !strings.Contains(text, "$request_uri") {
		text += "$is_args$args"
	}
	return text, code
}

// fixed reads a return into a route and tells why it can't, "" if it can.
func (m *importer) fixed(d *Directive, r *site.Route) (why string) {
	code, err := strconv.Atoi(d.Args[0])
	text := strings.Join(d.Args[1:], " ")
	if err != nil { // a URL alone
		code, text = 302, d.Args[0]
	}
	if code == 444 {
		m.say(d, Difference, "the client gets 403: a connection is not closed without an answer")
		code = 403
	}
	if v := unknownVariable(text); v != "" {
		m.say(d, NotCarried, "$%s stands for nothing here: what it bears on answers 501", v)
		return fmt.Sprintf("%s: return", d.At())
	}
	if code < 200 || code > 599 {
		m.say(d, NotCarried, "%d is no status for a final answer: what it bears on answers 501", code)
		return fmt.Sprintf("%s: return", d.At())
	}
	r.Status, r.Text = code, text
	switch {
	case !site.IsRedirect(code):
		m.carried(d, text)
	case !httpguts.ValidHeaderFieldValue(text):
		m.say(d, NotCarried, "a Location can't contain a control byte: what it bears on answers 501")
		return fmt.Sprintf("%s: return", d.At())
	case usesVariable(text, "uri"):
		m.say(d, Difference, "nginx decodes $uri, line ends too, which then end the Location; here it is encoded as in a request line. $request_uri has the path as it came")
	default:
		m.say(d, Carried, "")
	}
	return ""
}

// answer words the route of a level that answers by itself.
func (l *level) answer(r *site.Route) {
	switch {
	case l.why != "":
		r.Status, r.Text = 501, "not carried over: "+l.why+"\n"
	case l.text != "":
		r.Status, r.Text = l.code, l.text
	default:
		l.fixed(l.ret, r)
	}
}

// gated puts a gate before routes.
func gated(g *gate, routes []site.Route) []site.Route {
	if g == nil {
		return routes
	}
	var out []site.Route
	for _, r := range routes {
		if len(r.Methods) == 0 {
			r.Methods = g.methods
		} else {
			r.Methods = slices.DeleteFunc(slices.Clone(r.Methods), func(x string) bool { return !slices.Contains(g.methods, x) })
			if len(r.Methods) == 0 {
				continue
			}
		}
		out = append(out, r)
	}
	return append(out, site.Route{Status: g.status})
}

// pages judges error_page: where it passes the request on to boxes it is a second attempt.
func (m *importer) pages(l *level, list []*Directive) {
	for _, d := range list {
		if d.Name != "error_page" || len(d.Args) < 2 {
			continue
		}
		to := d.Args[len(d.Args)-1]
		if x := l.named[to]; x != nil {
			again := false
			x.Each(func(in *Directive) { again = again || strings.HasSuffix(in.Name, "_pass") })
			if again {
				m.say(d, Unsafe, "after an error it sends the request on to %s, POST too, which may have run: refused; the client gets the error", to)
				continue
			}
		}
		m.say(d, Difference, "the client gets the box's own page, or a short text")
	}
}
