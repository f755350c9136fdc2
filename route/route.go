// Package route maps a request to a route, by listener, host, path and method. It is pure and doesn't forward requests. A
// Table is compiled once; a change of routes makes a new Table.
//
// The precedence is nginx's, as documented for server_name (ngx_http_core_module, "Server names") and location. Server
// names are tried in this order: an exact name, the longest wildcard that begins with an asterisk, the longest that ends
// with one, the first regular expression in order, the default server of the listener. An exact location ends the search.
// Otherwise the longest matching prefix is remembered. Unless it is of kind PrefixNoRegex, the regular expressions are tried in
// order, and the first that matches wins. If none matches, the prefix wins. Locations nested in a prefix are searched in
// the same way before the regular expressions beside that prefix. A nested exact location or regular expression wins over
// those beside the prefix, and they win over a nested prefix.
//
// The cost of a search doesn't depend on the number of exact names, exact locations and prefixes: they are in maps and a
// radix tree. A search that tries no regular expression allocates nothing.
package route

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Config holds the servers that a Table is compiled from.
type Config struct {
	Servers []Server
}

// Server is a virtual server: its names, at its listeners.
type Server struct {
	Position string   // its place in the configuration, for errors: file and line
	Listen   []string // names of its listeners, as they are passed to Lookup
	Default  []string // the listeners at which it is the default server; at most one server per listener
	// Names: exact, "*.x.org", "x.*", ".x.org" (x.org and *.x.org), "~regex". Case is ignored.
	Names     []string
	Locations []Location
}

// Kind is the way in which the path of a location is compared.
type Kind uint8

// Kinds of locations.
const (
	Prefix        Kind = iota // the longest wins, unless a regular expression matches
	PrefixNoRegex             // a prefix; if it is the longest match, the regular expressions beside it are not tried (^~)
	Exact                     // the whole path has to be equal (=)
	Regex                     // a regular expression (RE2 syntax); the first match in order wins (~)
	RegexFold                 // the same, ignoring case (~*)
)

// Location is a set of paths of a server.
type Location struct {
	Position string // its place in the configuration, for errors
	Kind     Kind
	Path     string     // compared with the normalized path; a regular expression for Regex and RegexFold
	Targets  []Target   // by method; the first that matches counts; none: the location handles no request itself
	Nested   []Location // nested locations
}

// Target is the route for requests of some methods.
type Target struct {
	Methods []string // upper case; none: all
	Route   int      // a number that the caller defines
}

// Outcome is the kind of result of a search.
type Outcome uint8

// Outcomes.
const (
	Found      Outcome = iota // a target matches
	NoServer                  // the listener has no server
	NoLocation                // no location matches, or the one that does has no targets
	NoMethod                  // the location has no target for the method
)

// Match is the result of a search.
type Match struct {
	Outcome  Outcome
	Route    int
	Location *Location // the chosen location; nil if none matches
	Server   int       // index in Config.Servers, with any outcome but NoServer
}

// Table is a compiled Config. It is immutable and safe for concurrent use.
type Table struct {
	listeners map[string]*listener
}

// listener holds the servers of one listener. Servers are indexes in Config.Servers.
type listener struct {
	defaultServer int // the default server: the marked one, else the first
	exact         map[string]int
	suffix        map[string]int // ".x.org" of "*.x.org"
	prefix        map[string]int // "x." of "x.*"
	regex         []nameRegex
	levels        []*level // by server; nil for servers of other listeners
	hasDefault    bool     // fallback is a server marked as the default
}

// nameRegex is a server name that is a regular expression.
type nameRegex struct {
	re     *regexp.Regexp
	server int
}

// level is a set of locations that are searched together.
type level struct {
	exact  map[string]*compiledLocation
	prefix tree
	regex  []*compiledLocation
}

// compiledLocation is a Location with its regular expression and its nested locations compiled.
type compiledLocation struct {
	*Location
	re     *regexp.Regexp
	nested *level
}

// Compile checks a Config and returns its Table. Errors name the place, and the remedy where there is one. Errors are a
// duplicate name or location, two default servers of one listener, an invalid regular expression, and a nested location
// that can never match.
func Compile(cfg Config) (*Table, error) {
	t := &Table{listeners: map[string]*listener{}}
	for i := range cfg.Servers {
		s := &cfg.Servers[i]
		lv, err := compileLevel(s.Locations, nil)
		if err != nil {
			return nil, err
		}
		for _, listen := range s.Listen {
			l := t.listeners[listen]
			if l == nil {
				l = &listener{defaultServer: i, exact: map[string]int{}, suffix: map[string]int{}, prefix: map[string]int{},
					levels: make([]*level, len(cfg.Servers))}
				t.listeners[listen] = l
			}
			l.levels[i] = lv
			if slices.Contains(s.Default, listen) {
				if l.hasDefault {
					return nil, fmt.Errorf("%s: listener %s: a second default server: the first is at %s: mark only one of them as the default",
						s.Position, listen, cfg.Servers[l.defaultServer].Position)
				}
				l.hasDefault, l.defaultServer = true, i
			}
			for _, name := range s.Names {
				if err := l.addName(name, i, cfg.Servers); err != nil {
					return nil, fmt.Errorf("%s: listener %s: %w", s.Position, listen, err)
				}
			}
		}
		for _, listen := range s.Default {
			if !slices.Contains(s.Listen, listen) {
				return nil, fmt.Errorf("%s: default server of listener %s, but it doesn't listen there: add it to Listen", s.Position, listen)
			}
		}
	}
	return t, nil
}

// addName adds a name of a server to the listener.
func (l *listener) addName(name string, server int, all []Server) error {
	if re, ok := strings.CutPrefix(name, "~"); ok {
		c, err := regexp.Compile("(?i)" + re)
		if err != nil {
			return fmt.Errorf("name %q: %w", name, err)
		}
		l.regex = append(l.regex, nameRegex{c, server})
		return nil
	}
	name = strings.ToLower(name)
	add := func(m map[string]int, key string) error {
		if other, ok := m[key]; ok && other != server {
			return fmt.Errorf("name %q: stands twice: it is %s's too: take it out of one of them", name, all[other].Position)
		}
		m[key] = server
		return nil
	}
	switch {
	case strings.Contains(strings.Trim(name, "*"), "*") || name == "*":
		return fmt.Errorf("name %q: an asterisk may stand only first, before a dot, or last, after one", name)
	case strings.HasPrefix(name, "*."):
		return add(l.suffix, name[1:])
	case strings.HasSuffix(name, ".*"):
		return add(l.prefix, name[:len(name)-1])
	case strings.Contains(name, "*"):
		return fmt.Errorf("name %q: an asterisk may stand only first, before a dot, or last, after one", name)
	case strings.HasPrefix(name, "."):
		if err := add(l.exact, name[1:]); err != nil {
			return err
		}
		return add(l.suffix, name)
	}
	return add(l.exact, name)
}

// compileLevel compiles the locations that are searched together. parent is the location that contains them, or nil.
func compileLevel(locations []Location, parent *Location) (*level, error) {
	lv := &level{exact: map[string]*compiledLocation{}}
	prefixes := map[string]*Location{}
	for i := range locations {
		loc := &locations[i]
		c := &compiledLocation{Location: loc}
		locationError := func(format string, args ...any) error {
			return fmt.Errorf("%s: location %q: %s", loc.Position, loc.Path, fmt.Sprintf(format, args...))
		}
		if parent != nil {
			switch regex := loc.Kind >= Regex; {
			case parent.Kind == Exact:
				return nil, locationError("it is nested in the exact location %q, which can hold none: remove it", parent.Path)
			case !regex && parent.Kind < Exact && !strings.HasPrefix(loc.Path, parent.Path):
				return nil, locationError("it is outside of its parent location %q and never matches: remove it", parent.Path)
			}
		}
		switch loc.Kind {
		case Regex, RegexFold:
			expr := loc.Path
			if loc.Kind == RegexFold {
				expr = "(?i)" + expr
			}
			re, err := regexp.Compile(expr)
			if err != nil {
				return nil, locationError("%v", err)
			}
			c.re = re
			lv.regex = append(lv.regex, c)
		case Exact:
			if other := lv.exact[loc.Path]; other != nil {
				return nil, locationError("stands twice: the other is at %s: take one out", other.Position)
			}
			lv.exact[loc.Path] = c
		default:
			if other := prefixes[loc.Path]; other != nil {
				return nil, locationError("stands twice: the other is at %s: take one out", other.Position)
			}
			prefixes[loc.Path] = loc
			lv.prefix.insert(loc.Path, c)
		}
		if len(loc.Nested) > 0 {
			nested, err := compileLevel(loc.Nested, loc)
			if err != nil {
				return nil, err
			}
			c.nested = nested
		}
	}
	return lv, nil
}

// Lookup returns the route of a request. host is the Host header or :authority, with or without a port. path is normalized
// by Normalize. method is in upper case.
func (t *Table) Lookup(listen, host, path, method string) Match {
	l := t.listeners[listen]
	if l == nil {
		return Match{Outcome: NoServer}
	}
	m := Match{Outcome: NoLocation, Server: l.server(hostname(host))}
	c, _ := l.levels[m.Server].find(path)
	if c == nil {
		return m
	}
	m.Location = c.Location
	for i := range c.Targets {
		if tg := &c.Targets[i]; len(tg.Methods) == 0 || slices.Contains(tg.Methods, method) {
			m.Outcome, m.Route = Found, tg.Route
			return m
		}
		m.Outcome = NoMethod
	}
	return m
}

// hostname removes the port and a final dot from a host. An IPv6 address keeps its brackets.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.TrimSuffix(host, ".")
}

// server returns the server of a host name.
func (l *listener) server(name string) int {
	name = strings.ToLower(name) // allocates only where there is an upper-case letter
	if s, ok := l.exact[name]; ok {
		return s
	}
	if len(l.suffix) > 0 { // the longest suffix first; the asterisk covers at least one label
		for i := 1; i < len(name); i++ {
			if name[i] == '.' {
				if s, ok := l.suffix[name[i:]]; ok {
					return s
				}
			}
		}
	}
	if len(l.prefix) > 0 {
		for i := len(name) - 2; i >= 0; i-- {
			if name[i] == '.' {
				if s, ok := l.prefix[name[:i+1]]; ok {
					return s
				}
			}
		}
	}
	for i := range l.regex {
		if l.regex[i].re.MatchString(name) {
			return l.regex[i].server
		}
	}
	return l.defaultServer
}

// find searches a level. final reports that the regular expressions beside the parent location must not be tried.
func (lv *level) find(path string) (found *compiledLocation, final bool) {
	if c := lv.exact[path]; c != nil {
		return c, true
	}
	longest := lv.prefix.longestPrefix(path)
	if longest != nil {
		found = longest
		if longest.nested != nil {
			if c, final := longest.nested.find(path); c != nil {
				if found = c; final {
					return found, true
				}
			}
		}
	}
	if longest == nil || longest.Kind != PrefixNoRegex {
		for _, c := range lv.regex {
			if c.re.MatchString(path) {
				if c.nested != nil {
					if inner, _ := c.nested.find(path); inner != nil {
						return inner, true
					}
				}
				return c, true
			}
		}
	}
	return found, false
}
