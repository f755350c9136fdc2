package nginx

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"glencart/internal/site"
)

const (
	usualRead = 60 * time.Second // proxy_read_timeout
	usualBody = 1 << 20          // client_max_body_size
)

// scope is what holds at one level: http, server or location. It is inherited: single values one by one, lists of
// headers and of access rules only where the level has none of its own (as nginx does).
type scope struct {
	next      *Directive // proxy_next_upstream
	tries     int        // 0: no limit
	triesAt   *Directive
	read      time.Duration // 0: usual
	connect   time.Duration
	body      int64 // -1: usual
	bodySet   bool
	set, add  []*Directive
	access    []*Directive // allow, deny
	guards    []*Directive // what keeps clients out in ways that can't be carried
	basic     *Directive
	authReq   *Directive
	satisfy   *Directive
	slashes   string
	pages     []*Directive // error_page
	sslVerify *Directive   // proxy_ssl_verify
	sslName   string
	sslCA     string
	client    *Directive // ssl_verify_client
}

// scope reads a level's own directives over what it inherits.
func (m *importer) scope(around *scope, list []*Directive) (*scope, error) {
	s := *around
	var set, add, access, pages []*Directive
	for _, d := range list {
		var text string
		switch d.Name {
		case "proxy_read_timeout", "proxy_connect_timeout", "client_max_body_size", "proxy_next_upstream_tries", "auth_basic", "auth_request",
			"satisfy", "merge_slashes", "proxy_ssl_verify", "proxy_ssl_name", "proxy_ssl_trusted_certificate", "ssl_verify_client",
			"proxy_next_upstream_timeout":
			var err error
			if text, err = one(d); err != nil && !(d.Name == "auth_basic" && len(d.Args) > 0) {
				return nil, err
			}
		}
		var err error
		switch d.Name {
		case "proxy_next_upstream":
			if len(d.Args) == 0 {
				return nil, bad(d, "takes at least one condition")
			}
			s.next = d
			err = m.nextUpstream(d)
		case "proxy_next_upstream_tries":
			n, aerr := strconv.Atoi(text)
			if aerr != nil || n < 0 {
				return nil, bad(d, "%q is not a count", text)
			}
			s.tries, s.triesAt = n, d
			if n == 0 {
				m.say(d, Difference, "each box is tried once at most, up to 10")
			} else {
				m.say(d, Carried, "")
			}
		case "proxy_next_upstream_timeout":
			m.say(d, Difference, "proxy_read_timeout bounds all attempts together")
		case "proxy_read_timeout":
			if s.read, err = seconds(d, text); err == nil {
				m.say(d, Difference, "it bounds the time until the answer's head, over all attempts together")
			}
		case "proxy_connect_timeout":
			if s.connect, err = seconds(d, text); err == nil {
				m.say(d, Carried, "")
			}
		case "client_max_body_size":
			if s.body, err = bytesOf(d, text); err == nil {
				s.bodySet = true
				m.say(d, Carried, "")
			}
		case "proxy_set_header":
			set = append(set, d)
			err = m.headerArgs(d, 2, 2)
		case "add_header":
			add = append(add, d)
			err = m.headerArgs(d, 2, 3)
		case "allow", "deny":
			access = append(access, d)
			if text, err = one(d); err == nil && text != "unix:" {
				if _, nerr := site.Network(text); nerr != nil {
					err = bad(d, "%v", nerr)
				}
			}
		case "auth_basic":
			s.basic = d
			if text == "off" {
				s.basic = nil
				m.say(d, Carried, "")
			}
		case "auth_basic_user_file":
			m.say(d, NotCarried, "passwords are not checked here: see auth_basic")
		case "auth_request":
			s.authReq = d
			if text == "off" {
				s.authReq = nil
				m.say(d, Carried, "")
			}
		case "auth_request_set":
			m.say(d, NotCarried, "see auth_request")
		case "auth_jwt", "auth_delay", "secure_link", "secure_link_secret", "secure_link_md5", "referer_hash_bucket_size", "valid_referers",
			"access_by_lua_block", "access_by_lua_file", "access_by_lua", "oauth2_proxy", "auth_ldap", "modsecurity", "js_access":
			s.guards = append(slices.Clone(s.guards), d)
		case "ssl_verify_client":
			s.client = d
			if text == "off" {
				s.client = nil
				m.say(d, Carried, "")
			}
		case "ssl_client_certificate", "ssl_verify_depth", "ssl_crl":
			m.say(d, NotCarried, "certificates of clients are not checked here: see ssl_verify_client")
		case "satisfy":
			s.satisfy = nil
			if text == "any" {
				s.satisfy = d
			} else {
				m.say(d, Carried, "")
			}
		case "merge_slashes":
			if s.slashes = ""; text == "off" {
				s.slashes = "keep"
			}
			m.say(d, Carried, "")
		case "error_page":
			pages = append(pages, d)
		case "proxy_ssl_verify":
			s.sslVerify = d
			m.say(d, Carried, "")
		case "proxy_ssl_name":
			s.sslName = text
			m.say(d, Carried, "")
		case "proxy_ssl_server_name":
			m.say(d, Difference, "the server's name is always sent")
		case "proxy_ssl_trusted_certificate":
			s.sslCA = text
			m.say(d, Carried, "")
		case "proxy_ssl_certificate", "proxy_ssl_certificate_key":
			m.say(d, NotCarried, "boxes that ask for a certificate will turn connections away")
		}
		if err != nil {
			return nil, err
		}
	}
	if set != nil {
		s.set = set
	}
	if add != nil {
		s.add = add
	}
	if access != nil {
		s.access = access
	}
	if pages != nil {
		s.pages = pages
	}
	return &s, nil
}

func (m *importer) headerArgs(d *Directive, least, most int) error {
	if len(d.Args) < least || len(d.Args) > most {
		return bad(d, "takes a name and a value")
	}
	return nil
}

var conditions = []string{"error", "timeout", "invalid_header", "http_500", "http_502", "http_503", "http_504", "http_403", "http_404",
	"http_429", "non_idempotent", "updating", "off", "denied"}

// nextUpstream judges a retry directive. glencart's own rule holds in its place: what is safe is tried again, what is not
// only when it is known that it never ran.
func (m *importer) nextUpstream(d *Directive) error {
	for _, a := range d.Args {
		if !slices.Contains(conditions, a) {
			return bad(d, "%q is none of %s", a, strings.Join(conditions, ", "))
		}
	}
	switch {
	case slices.Contains(d.Args, "non_idempotent"):
		m.say(d, Unsafe, "it resends POST, LOCK and PATCH that may have run, so that an order is placed twice: refused; they are sent again only when they never ran")
	case slices.Contains(d.Args, "off"):
		m.say(d, Carried, "")
	case m.old():
		m.say(d, Unsafe, "nginx %s resends every method, POST too: refused; what is unsafe is sent again only when it never ran", m.opts.Version)
	default:
		note := "GET, HEAD, OPTIONS and TRACE are tried again after any failure (connection, time-out, 500, 502, 503, 504); PUT and DELETE, which nginx resends, only when they never ran"
		if slices.ContainsFunc(d.Args, func(a string) bool { return a == "http_403" || a == "http_404" || a == "http_429" }) {
			note += "; 403, 404 and 429 go to the client"
		}
		m.say(d, Difference, "%s", note)
	}
	return nil
}

// old tells whether nginx is from before 1.9.13, when it began to spare requests that are not idempotent.
func (m *importer) old() bool {
	if m.opts.Version == "" {
		return false
	}
	var have [3]int
	for i, part := range strings.SplitN(m.opts.Version, ".", 3) {
		have[i], _ = strconv.Atoi(part)
	}
	return slices.Compare(have[:], []int{1, 9, 13}) < 0
}

// attempts is how many times a request may be sent at the most: -1 for as many as there are boxes.
func (s *scope) attempts() int {
	if s.next != nil && slices.Contains(s.next.Args, "off") {
		return 1
	}
	if s.tries > 0 {
		return s.tries
	}
	return -1
}

// classes returns the class names for safe and for other methods; "" for the usual ones.
func (m *importer) classes(s *scope, boxes int) (safe, other string) {
	read, tries := cmp.Or(s.read, usualRead), s.attempts()
	if tries < 0 || tries >= boxes {
		tries = 0
	}
	if read == usualRead && tries == 0 {
		return "", ""
	}
	name := fmt.Sprintf("-%v", read)
	if tries > 0 {
		name += fmt.Sprintf("-%dx", tries)
	}
	for _, effect := range []string{"safe", "unsafe"} {
		if !slices.ContainsFunc(m.site.Classes, func(c site.Class) bool { return c.Name == effect+name }) {
			m.site.Classes = append(m.site.Classes, site.Class{Name: effect + name, Effect: effect, Deadline: site.Duration(read),
				Aim: site.Duration(aimOf(read)), Attempts: tries})
		}
	}
	return "safe" + name, "unsafe" + name
}

// closed is why a route can't be carried, if it can't: what keeps clients out is not checked, or checked otherwise.
func (m *importer) closed(s *scope) bool {
	shut := false
	refuse := func(d *Directive, format string, args ...any) {
		m.say(d, Unsafe, format+": the routes that it guards answer 403", args...)
		shut = true
	}
	if s.basic != nil {
		refuse(s.basic, "passwords are not checked here")
	}
	if s.authReq != nil {
		refuse(s.authReq, "no other service is asked here whether a client may pass")
	}
	for _, d := range s.guards {
		refuse(d, "this check is not made here")
	}
	if s.client != nil {
		refuse(s.client, "certificates of clients are not checked here")
	}
	if s.satisfy != nil && len(s.access) > 0 {
		refuse(s.satisfy, "of several checks one is enough there, and not all of them are made here")
	}
	return shut
}

// rules puts allow and deny into a location. A list whose order can't be kept is refused.
func (m *importer) rules(s *scope, l *site.Location) (ok bool) {
	ok = true
	for i, d := range s.access {
		if d.Args[0] == "unix:" {
			m.say(d, Carried, "no client comes by such a socket")
			continue
		}
		first := s.access[0].Name
		// allow..., deny... or the other way round: one change of kind at the most.
		changes := 0
		for j := 1; j <= i; j++ {
			if s.access[j].Name != s.access[j-1].Name {
				changes++
			}
		}
		if changes > 1 {
			m.say(d, Unsafe, "allow and deny take turns more than once: the routes that they guard answer 403; write the networks out so that one kind comes first")
			ok = false
			continue
		}
		m.say(d, Carried, "")
		l.DenyFirst = first == "deny"
		if d.Name == "allow" {
			l.Allow = append(l.Allow, d.Args[0])
		} else {
			l.Deny = append(l.Deny, d.Args[0])
		}
	}
	return ok
}

// usualSet are headers that the front sets by itself, or whose meaning it keeps.
var usualSet = map[string]string{
	"x-forwarded-for":   "the client's own is believed only from networks in node.trusted",
	"x-forwarded-proto": "the client's own is believed only from networks in node.trusted",
	"x-forwarded-host":  "the client's own is believed only from networks in node.trusted",
}

// headers puts proxy_set_header and add_header into a route. proxied is the name in proxy_pass.
func (m *importer) headers(s *scope, r *site.Route, proxied string) {
	r.Host = proxied
	for _, d := range s.set {
		name, value := d.Args[0], d.Args[1]
		lower := strings.ToLower(name)
		unknown := unknownVariable(value)
		switch {
		case lower == "host":
			switch value {
			case "$http_host", "$host", "$host:$server_port", "$http_host:$server_port":
				r.Host = ""
				if value == "$http_host" {
					m.say(d, Carried, "")
				} else {
					m.say(d, Difference, "the client's own Host goes on, with its port where it has one")
				}
			case "$proxy_host":
				m.say(d, Carried, "")
			default:
				if unknown != "" {
					m.say(d, NotCarried, "$%s stands for nothing here: the box gets Host: %s", unknown, proxied)
					continue
				}
				if !site.ValidHost(value) {
					m.say(d, NotCarried, "%q is not a host: the box gets Host: %s", value, proxied)
					continue
				}
				r.Host = value
				m.carried(d, value)
			}
		case lower == "upgrade":
			r.Upgrade = value != ""
			m.say(d, Carried, "")
		case lower == "connection":
			m.say(d, Carried, "worded for each connection")
		case lower == "te" || lower == "content-length" || lower == "transfer-encoding" || lower == "expect":
			m.say(d, Difference, "worded for each connection")
		case usualSet[lower] != "" && strings.Contains(value, "$"):
			m.say(d, Difference, "set by itself; %s", usualSet[lower])
		case unknown != "":
			m.say(d, NotCarried, "$%s stands for nothing here: the header is not set", unknown)
		case !site.ValidHeader(site.Header{Name: name, Value: value}):
			m.say(d, NotCarried, "%q can't stand in a header", name)
		default:
			r.Set = append(r.Set, site.Header{Name: name, Value: value})
			m.carried(d, value)
		}
	}
	for _, d := range s.add {
		if unknown := unknownVariable(d.Args[1]); unknown != "" {
			m.say(d, NotCarried, "$%s stands for nothing here: the header is not added", unknown)
			continue
		}
		if !site.ValidHeader(site.Header{Name: d.Args[0], Value: d.Args[1]}) {
			m.say(d, NotCarried, "%q can't stand in a header", d.Args[0])
			continue
		}
		r.Add = append(r.Add, site.Header{Name: d.Args[0], Value: d.Args[1]})
		if len(d.Args) != 3 || d.Args[2] != "always" {
			m.say(d, Difference, "it is added to every answer, whatever its status")
		}
		m.carried(d, d.Args[1])
	}
}

// carried reports a directive whose text is carried over, and the difference where the text contains the decoded path.
func (m *importer) carried(d *Directive, text string) {
	if usesVariable(text, "uri") {
		m.say(d, Difference, "nginx decodes $uri, line ends too, which then end the field; here its control bytes and its %% stand percent-encoded")
		return
	}
	m.say(d, Carried, "")
}

var variable = regexp.MustCompile(`\$\{?([A-Za-z0-9_]+)`)

// usesVariable reports whether a text contains a variable.
func usesVariable(text, name string) bool {
	return slices.ContainsFunc(variable.FindAllStringSubmatch(text, -1), func(v []string) bool { return v[1] == name })
}

// unknownVariable finds a variable that the front does not know, "" if there is none.
func unknownVariable(text string) string {
	for _, v := range variable.FindAllStringSubmatch(text, -1) {
		if !site.Variable(v[1]) {
			return v[1]
		}
	}
	return ""
}
