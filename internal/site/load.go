package site

import (
	"bytes"
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/net/http/httpguts"

	"glencart/check"
	"glencart/internal/http1"
	"glencart/internal/tomlat"
	"glencart/route"
)

// Load reads and checks a file, and the certificates that it names.
func Load(file string) (*Site, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	return s, s.files()
}

// Parse reads and checks the text of a file. It opens nothing.
func Parse(file string, text []byte) (*Site, error) {
	s := &Site{file: file}
	var err error
	if s.at, err = tomlat.Decode(file, "docs/SITE.md", text, s); err != nil {
		return nil, err
	}
	s.fill()
	if err := s.check(); err != nil {
		return nil, err
	}
	if _, _, err := s.Compile(); err != nil {
		return nil, err
	}
	return s, nil
}

// Members are the keys of a pool that say where its boxes come from, for a front that has no site around it.
type Members struct {
	Keep      string   `toml:"keep,omitempty"` // as node.keep
	Boxes     []Box    `toml:"boxes,omitempty"`
	Sources   []Source `toml:"sources,omitempty"`
	Guard     *float64 `toml:"guard,omitempty"`
	GuardHold Duration `toml:"guard_hold,omitempty"`
	Check     *Check   `toml:"check,omitempty"`
}

// ParseMembers reads and checks such keys, and returns a pool that has nothing else, and the folder for its last list. file
// names the text in errors.
func ParseMembers(file, name string, text []byte) (p *Pool, keep string, err error) {
	var m Members
	lines, err := tomlat.Decode(file, "docs/MEMBERS.md", text, &m)
	if err != nil {
		return nil, "", err
	}
	s := &Site{file: file, at: tomlat.Lines{}, Pools: []Pool{{Name: name, Boxes: m.Boxes, Sources: m.Sources, Guard: m.Guard,
		GuardHold: m.GuardHold, Check: m.Check}}}
	for key, line := range lines {
		s.at["pool."+key] = line
	}
	s.fill()
	c := newChecker(s)
	c.pool("pool", &s.Pools[0])
	return &s.Pools[0], m.Keep, errors.Join(c.errs...)
}

// Names of the classes that every site has.
const (
	SafeClass   = "safe"
	UnsafeClass = "unsafe"
)

// fill adds what the file may leave out.
func (s *Site) fill() {
	for _, c := range []Class{{Name: SafeClass, Effect: "safe"}, {Name: UnsafeClass, Effect: "unsafe"}} {
		if s.Class(c.Name) < 0 {
			s.Classes = append(s.Classes, c)
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.Effect, c.Worth = cmp.Or(c.Effect, "unsafe"), cmp.Or(c.Worth, 1)
		c.Deadline = cmp.Or(c.Deadline, Duration(30e9))
		c.Aim = cmp.Or(c.Aim, c.Deadline/10)
	}
	for i := range s.Pools {
		p := &s.Pools[i]
		p.Spread, p.Attempts = cmp.Or(p.Spread, "estimate"), cmp.Or(p.Attempts, 3)
		p.ColdShare, p.MaxFails = cmp.Or(p.ColdShare, 0.1), cmp.Or(p.MaxFails, 1)
		for j := range p.Sources {
			src := &p.Sources[j]
			src.Name = cmp.Or(src.Name, src.DNS, src.Registry, src.File)
			src.Stale = cmp.Or(src.Stale, Duration(72*time.Hour))
		}
		for j := range p.Boxes {
			b := &p.Boxes[j]
			b.ID, b.Weight, b.State = cmp.Or(b.ID, b.Address), cmp.Or(b.Weight, 1), cmp.Or(b.State, "ready")
		}
	}
	if s.Fleet != nil {
		s.Fleet.Name = cmp.Or(s.Fleet.Name, s.Node.Name)
	}
}

// Class finds a class by its name; -1 where there is none.
func (s *Site) Class(name string) int {
	return slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name })
}

// Pool finds a pool by its name; -1 where there is none.
func (s *Site) Pool(name string) int {
	return slices.IndexFunc(s.Pools, func(p Pool) bool { return p.Name == name })
}

// checker collects faults with their places.
type checker struct {
	*Site
	errs []error
	// What routes and tenants name, by name. A file may have tens of thousands of both.
	pools, classes, plansByName, listeners map[string]bool
}

func newChecker(s *Site) *checker {
	return &checker{
		Site:        s,
		pools:       names(s.Pools, func(p *Pool) string { return p.Name }),
		classes:     names(s.Classes, func(c *Class) string { return c.Name }),
		plansByName: names(s.Plans, func(p *Plan) string { return p.Name }),
		listeners:   names(s.Listeners, func(l *Listener) string { return l.Name }),
	}
}

// names returns the set of the names of some things.
func names[T any](list []T, name func(*T) string) map[string]bool {
	set := make(map[string]bool, len(list))
	for i := range list {
		set[name(&list[i])] = true
	}
	return set
}

func (c *checker) fault(path, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s:%d: %s: %s", c.file, c.at.Line(path), path, fmt.Sprintf(format, args...)))
}

// named checks that names are there and stand once.
func (c *checker) named(what string, n int, name func(i int) string) {
	seen := map[string]int{}
	for i := range n {
		path := fmt.Sprintf("%s.%d.name", what, i)
		if first, ok := seen[name(i)]; name(i) == "" {
			c.fault(path, "missing: give each %s a name", what)
		} else if ok {
			c.fault(path, "%q stands twice: the other is at line %d: rename one", name(i), c.at.Line(fmt.Sprintf("%s.%d.name", what, first)))
		}
		seen[name(i)] = i
	}
}

func (c *checker) oneOf(path, value string, of ...string) {
	if value != "" && !slices.Contains(of, value) {
		c.fault(path, "%q is none of %s", value, strings.Join(of, ", "))
	}
}

func hostPort(a string) bool {
	_, port, err := net.SplitHostPort(a)
	n, perr := strconv.Atoi(port)
	return err == nil && perr == nil && n >= 0 && n < 1<<16 && httpguts.ValidHostHeader(a)
}

func (s *Site) check() error {
	c := newChecker(s)
	c.named("listener", len(s.Listeners), func(i int) string { return s.Listeners[i].Name })
	c.named("pool", len(s.Pools), func(i int) string { return s.Pools[i].Name })
	c.named("class", len(s.Classes), func(i int) string { return s.Classes[i].Name })
	c.named("tenant", len(s.Tenants), func(i int) string { return s.Tenants[i].Name })
	c.plans()
	if len(s.Listeners) == 0 {
		c.fault("listener", "none: add [[listener]] with name and address")
	}
	if len(s.Servers) == 0 {
		c.fault("server", "none: add [[server]] with a location")
	}
	if len(s.Tenants) > 0 && s.Node.Tenant == "" {
		c.fault("node.tenant", "missing: name the header that tells the tenant")
	}
	for i, t := range s.Node.Trusted {
		if _, err := Network(t); err != nil {
			c.fault(fmt.Sprint("node.trusted.", i), "%v", err)
		}
	}
	for path, n := range map[string]int{"node.instances": s.Node.Instances, "limits.connections": s.Limits.Connections, "limits.requests": s.Limits.Requests} {
		if n < 0 {
			c.fault(path, "negative: give a count, or leave it out")
		}
	}
	for i, l := range s.Listeners {
		path := fmt.Sprintf("listener.%d", i)
		if !hostPort(l.Address) {
			c.fault(path+".address", "%q is not an address with a port: write it as 127.0.0.1:8080 or :8080", l.Address)
		}
		for j, t := range l.TLS {
			if t.Certificate == "" || t.Key == "" {
				c.fault(fmt.Sprintf("%s.tls.%d", path, j), "certificate and key: both are needed")
			}
		}
	}
	for i := range s.Pools {
		c.pool(fmt.Sprintf("pool.%d", i), &s.Pools[i])
	}
	for i, k := range s.Classes {
		path := fmt.Sprintf("class.%d", i)
		c.oneOf(path+".effect", k.Effect, "safe", "keyed", "unsafe")
		if k.Aim > k.Deadline {
			c.fault(path+".aim", "longer than the deadline: make it shorter")
		}
		if k.Attempts < 0 || k.Worth < 0 {
			c.fault(path, "attempts and worth: a negative number")
		}
		if k.Effect != "keyed" && k.Window != 0 {
			c.fault(path+".window", "counts for keyed classes only: take it out")
		}
	}
	for i := range s.Servers {
		c.server(fmt.Sprintf("server.%d", i), &s.Servers[i])
	}
	if s.Fleet != nil {
		c.fleet(s.Fleet)
	}
	return errors.Join(c.errs...)
}

func (c *checker) pool(path string, p *Pool) {
	c.oneOf(path+".spread", p.Spread, "estimate", "weights")
	switch {
	case len(p.Boxes) == 0 && p.Registry == "" && len(p.Sources) == 0:
		c.fault(path, "no boxes: give boxes, registry or sources")
	case p.Registry != "" && len(p.Boxes)+len(p.Sources) > 0:
		c.fault(path+".registry", "stands beside boxes or sources: write it as one of sources, { registry = %q }", p.Registry)
	}
	c.sources(path, p)
	if p.Check != nil {
		c.pings(path+".check", p)
	}
	if p.Registry != "" && !hostPort(p.Registry) {
		c.fault(path+".registry", "%q is not an address with a port", p.Registry)
	}
	if p.Probe != "" {
		c.target(path+".probe", p.Probe)
	}
	if p.Attempts < 0 || p.Keep < 0 || p.MaxFails < 0 {
		c.fault(path, "attempts, keep and max_fails: a negative count")
	}
	if p.ColdShare < 0 || p.ColdShare > 1 {
		c.fault(path+".cold_share", "not from 0 to 1")
	}
	if !p.TLS && (p.TLSName != "" || p.TLSCA != "" || p.TLSInsecure) {
		c.fault(path+".tls", "false, and other tls keys are given: set it, or take them out")
	}
	ids, primary := map[string]bool{}, false
	for j, b := range p.Boxes {
		at := fmt.Sprintf("%s.boxes.%d", path, j)
		if !hostPort(b.Address) && !strings.HasPrefix(b.Address, "unix:/") {
			c.fault(at+".address", "%q is not an address with a port: write it as 10.0.0.7:8080 or unix:/path", b.Address)
		}
		if ids[b.ID] {
			c.fault(at, "id %q stands twice in the pool: give one of them another id", b.ID)
		}
		ids[b.ID], primary = true, primary || !b.Backup
		if !(b.Weight > 0 && b.Weight <= 1e6) {
			c.fault(at+".weight", "not above 0 and up to 1000000: use state = \"down\" for a box that gets nothing")
		}
		c.oneOf(at+".state", b.State, "ready", "draining", "down")
	}
	if len(p.Boxes) > 0 && !primary && len(p.Sources) == 0 {
		c.fault(path+".boxes", "all are backups: make one of them a usual box")
	}
}

// SourceNames of a pool: static boxes are the first of them.
const (
	StaticSource = "boxes"
	KeptSource   = "kept"
)

// Facts are the names of what a source can be believed in.
var Facts = []string{"exists", "address", "phase", "weight", "zone", "start", "tier"}

func (c *checker) sources(path string, p *Pool) {
	names := map[string]bool{StaticSource: true, KeptSource: true}
	for j := range p.Sources {
		s, at := &p.Sources[j], fmt.Sprintf("%s.sources.%d", path, j)
		given := 0
		for _, text := range []string{s.DNS, s.Registry, s.File} {
			if text != "" {
				given++
			}
		}
		switch {
		case given != 1:
			c.fault(at, "dns, registry or file: give exactly one of them")
		case names[s.Name]:
			c.fault(at+".name", "%q stands twice, or is glencart's own: give it another name", s.Name)
		case s.Registry != "" && !hostPort(s.Registry):
			c.fault(at+".registry", "%q is not an address with a port", s.Registry)
		case s.DNS != "" && (!strings.HasPrefix(s.DNS, "_") || strings.Count(s.DNS, ".") < 2):
			c.fault(at+".dns", "%q is no SRV name: write it as _menu._tcp.khuree.mn", s.DNS)
		case s.DNS == "" && (len(s.Resolvers) > 0 || s.ResolvConf != "" || s.Floor != 0 || s.Ceiling != 0 || s.Timeout != 0):
			c.fault(at, "resolvers, resolv_conf, floor, ceiling and timeout are for dns: take them out")
		case s.Ceiling != 0 && s.Ceiling < s.Floor:
			c.fault(at+".ceiling", "below floor: make it longer")
		}
		names[s.Name] = true
		for k, r := range s.Resolvers {
			if host, _, err := net.SplitHostPort(r); err != nil || net.ParseIP(host) == nil {
				c.fault(fmt.Sprintf("%s.resolvers.%d", at, k), "%q is no IP address with a port: write it as 10.0.0.2:53 or [fd00::2]:53", r)
			}
		}
		for k, f := range s.Trust {
			c.oneOf(fmt.Sprintf("%s.trust.%d", at, k), f, Facts...)
		}
	}
	if g := p.Guard; g != nil && !(*g > 0 && *g <= 1) {
		c.fault(path+".guard", "not above 0 and up to 1: 1 lets all go at once")
	}
	if len(p.Sources) == 0 && (p.Guard != nil || p.GuardHold != 0) {
		c.fault(path+".guard", "counts with sources: take it out")
	}
}

// target checks the target of a request that is sent on the file's behalf.
func (c *checker) target(path, target string) {
	switch {
	case target[0] != '/':
		c.fault(path, "%q is not a path: begin it with a slash", target)
	case !http1.IsValidTarget(target):
		c.fault(path, "%q has a space or a control byte: percent-encode it", target)
	}
}

// pings checks how boxes are asked whether they are well.
func (c *checker) pings(path string, p *Pool) {
	k, given := p.Check, 0
	for _, is := range []bool{k.HTTP != "", k.GRPC != nil, k.TCP} {
		if is {
			given++
		}
	}
	switch {
	case given != 1:
		c.fault(path, "http, grpc or tcp: give exactly one of them")
	case p.Registry != "":
		c.fault(path, "a pool with registry takes the registry's word: write it as one of sources, { registry = %q }", p.Registry)
	case k.HTTP != "":
		c.target(path+".http", k.HTTP)
	}
	switch {
	case len(k.Status) > 0 && k.HTTP == "":
		c.fault(path+".status", "is for http: take it out")
	case k.Host != "" && k.TCP:
		c.fault(path+".host", "is for http and grpc: take it out")
	case !httpguts.ValidHostHeader(k.Host):
		c.fault(path+".host", "%q is not a host: write it as shop.mn or shop.mn:8080", k.Host)
	}
	for j, status := range k.Status {
		if status < 200 || status > 599 {
			c.fault(fmt.Sprintf("%s.status.%d", path, j), "%d is no status of an answer: 200 to 599", status)
		}
	}
	if k.Rise < 0 || k.Fall < 0 {
		c.fault(path, "rise and fall: a negative count")
	}
	if k.Every != 0 && time.Duration(k.Every) < check.MinEvery {
		c.fault(path+".every", "shorter than %v: make it longer", check.MinEvery)
	}
	if t, every := k.Timeout.Or(time.Second), k.Every.Or(check.DefaultEvery); t > every {
		c.fault(path+".timeout", "%v is longer than every, %v: make it shorter", t, every)
	}
}

func (c *checker) server(path string, s *Server) {
	c.oneOf(path+".slashes", s.Slashes, "merge", "keep")
	for j, l := range s.Listeners {
		if !c.listeners[l] {
			c.fault(fmt.Sprintf("%s.listeners.%d", path, j), "no listener has the name %q: add one, or correct it", l)
		}
	}
	for j := range s.Locations {
		c.location(fmt.Sprintf("%s.location.%d", path, j), &s.Locations[j])
	}
}

var methodName = regexp.MustCompile(`^[A-Z][A-Z0-9_-]*$`)

func (c *checker) location(path string, l *Location) {
	c.oneOf(path+".match", l.Match, "prefix", "stop", "exact", "regex", "regex-fold")
	regex := strings.HasPrefix(l.Match, "regex")
	if l.Path == "" || !regex && l.Path[0] != '/' {
		c.fault(path+".path", "%q is not a path: begin it with a slash", l.Path)
	}
	for what, list := range map[string][]string{".allow.": l.Allow, ".deny.": l.Deny} {
		for i, n := range list {
			if _, err := Network(n); err != nil {
				c.fault(path+what+strconv.Itoa(i), "%v", err)
			}
		}
	}
	for j := range l.Routes {
		at, r := fmt.Sprintf("%s.route.%d", path, j), &l.Routes[j]
		for k, m := range r.Methods {
			if !methodName.MatchString(m) {
				c.fault(fmt.Sprintf("%s.methods.%d", at, k), "%q is no method: write it in capitals", m)
			}
		}
		switch {
		case (r.Pool == "") == (r.Status == 0):
			c.fault(at, "pool or status: give exactly one of them")
		case r.Pool != "" && !c.pools[r.Pool]:
			c.fault(at+".pool", "no pool has the name %q: add one, or correct it", r.Pool)
		case r.Status != 0 && (r.Status < 200 || r.Status > 599):
			c.fault(at+".status", "%d is not a status from 200 to 599", r.Status)
		}
		if r.Class != "" && !c.classes[r.Class] {
			c.fault(at+".class", "no class has the name %q: add one, or correct it", r.Class)
		}
		if r.Rewrite != nil && regex {
			c.fault(at+".rewrite", "a location with a regular expression has no path to replace: use a prefix")
		}
		if r.Rewrite != nil && (*r.Rewrite == "" || (*r.Rewrite)[0] != '/') {
			c.fault(at+".rewrite", "%q is not a path: begin it with a slash", *r.Rewrite)
		}
		if !ValidHost(r.Host) {
			c.fault(at+".host", "%q is not a host: write it as shop.mn, shop.mn:8080 or $http_host", r.Host)
		}
		if IsRedirect(r.Status) && !httpguts.ValidHeaderFieldValue(r.Text) {
			c.fault(at+".text", "%q has a control byte, and a Location can't: percent-encode it", r.Text)
		}
		for _, hs := range []struct {
			key  string
			list []Header
		}{{"set", r.Set}, {"add", r.Add}} {
			for k, h := range hs.list {
				if !ValidHeader(h) {
					c.fault(fmt.Sprintf("%s.%s.%d", at, hs.key, k), "%q: %q can't be set: take it out (Host is the key host; how messages are framed is not for a file to say)", h.Name, h.Value)
				}
			}
		}
	}
	for j := range l.Locations {
		c.location(fmt.Sprintf("%s.location.%d", path, j), &l.Locations[j])
	}
}

// variable matches a variable in a text.
var variable = regexp.MustCompile(`\$(\{[A-Za-z0-9_]*\}|[A-Za-z0-9_]*)`)

// framing are headers that are worded for each connection: set by a file, they would stand twice.
var framing = []string{"connection", "content-length", "host", "transfer-encoding", "trailer", "te", "upgrade", "keep-alive"}

// ValidHeader tells whether a header can be set: it is well formed, and says nothing of how a message is framed.
func ValidHeader(h Header) bool {
	return !slices.Contains(framing, strings.ToLower(h.Name)) && httpguts.ValidHeaderFieldName(h.Name) && httpguts.ValidHeaderFieldValue(h.Value)
}

// ValidHost reports whether a text can be the Host that is sent to backends. A variable in it stands for a letter.
func ValidHost(text string) bool {
	return httpguts.ValidHostHeader(variable.ReplaceAllLiteralString(text, "x"))
}

// Network reads "all", a network or one address.
func Network(text string) (netip.Prefix, error) {
	if text == "all" {
		return netip.Prefix{}, nil
	}
	if p, err := netip.ParsePrefix(text); err == nil {
		return p.Masked(), nil
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, fmt.Errorf("%q is no network: write it as 10.0.0.0/8, 10.1.2.3 or all", text)
	}
	return netip.PrefixFrom(a, a.BitLen()), nil
}

// Target is what the number of a route in a compiled table stands for.
type Target struct {
	*Route
	Location *Location
	Place    string // where the location stands, for the log
}

// Compile makes the table of routes. The route numbers of the table are indexes of targets. Listeners go by name.
func (s *Site) Compile() (*route.Table, []Target, error) {
	var targets []Target
	kinds := map[string]route.Kind{"": route.Prefix, "prefix": route.Prefix, "stop": route.PrefixNoRegex, "exact": route.Exact,
		"regex": route.Regex, "regex-fold": route.RegexFold}
	var locations func(path string, list []Location) []route.Location
	locations = func(path string, list []Location) (out []route.Location) {
		for i := range list {
			l := &list[i]
			at := fmt.Sprintf("%s.location.%d", path, i)
			place := fmt.Sprintf("%s:%d", s.file, s.at.Line(at))
			rl := route.Location{Position: place, Kind: kinds[l.Match], Path: l.Path, Nested: locations(at, l.Locations)}
			for j := range l.Routes {
				rl.Targets = append(rl.Targets, route.Target{Methods: l.Routes[j].Methods, Route: len(targets)})
				targets = append(targets, Target{Route: &l.Routes[j], Location: l, Place: place})
			}
			out = append(out, rl)
		}
		return out
	}
	var cfg route.Config
	for i := range s.Servers {
		v := &s.Servers[i]
		at := fmt.Sprintf("server.%d", i)
		rs := route.Server{Position: fmt.Sprintf("%s:%d", s.file, s.at.Line(at)), Names: v.Names, Listen: v.Listeners,
			Locations: locations(at, v.Locations)}
		if len(rs.Listen) == 0 {
			for _, l := range s.Listeners {
				rs.Listen = append(rs.Listen, l.Name)
			}
		}
		if v.Default {
			rs.Default = rs.Listen
		}
		cfg.Servers = append(cfg.Servers, rs)
	}
	t, err := route.Compile(cfg)
	return t, targets, err
}

// files checks the files that are named: certificates and authorities.
func (s *Site) files() error {
	c := &checker{Site: s}
	for i, l := range s.Listeners {
		for j, t := range l.TLS {
			if _, err := tls.LoadX509KeyPair(t.Certificate, t.Key); err != nil {
				c.fault(fmt.Sprintf("listener.%d.tls.%d", i, j), "%v", err)
			}
		}
	}
	for i, p := range s.Pools {
		if _, err := p.Authorities(); err != nil {
			c.fault(fmt.Sprintf("pool.%d.tls_ca", i), "%v", err)
		}
	}
	return errors.Join(c.errs...)
}

// Authorities reads the certificates that boxes are verified by; nil: the system's.
func (p *Pool) Authorities() (*x509.CertPool, error) {
	if p.TLSCA == "" {
		return nil, nil
	}
	text, err := os.ReadFile(p.TLSCA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: no PEM certificate in it", p.TLSCA)
	}
	return pool, nil
}

// Text words a site as a file.
func (s *Site) Text() ([]byte, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetIndentTables(true)
	err := e.Encode(s)
	return b.Bytes(), err
}
