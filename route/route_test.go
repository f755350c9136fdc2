package route

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"path"
	"regexp"
	"slices"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"
)

// oracle finds the server and location by a full search, as nginx's documentation describes it. It shares no code with Table.
func oracle(cfg Config, listen, host, p string) (server int, loc *Location) {
	host = strings.TrimSuffix(strings.Split(strings.ToLower(host), ":")[0], ".")
	server, rank, length := -1, 9, 0
	better := func(i, r, n int) {
		if r < rank || r == rank && n > length {
			server, rank, length = i, r, n
		}
	}
	first := -1
	for i, s := range cfg.Servers {
		if !slices.Contains(s.Listen, listen) {
			continue
		}
		if first < 0 {
			first = i
		}
		if slices.Contains(s.Default, listen) {
			better(i, 5, 0)
		}
		for _, name := range s.Names {
			re := strings.HasPrefix(name, "~")
			low := strings.ToLower(name)
			switch {
			case re:
				if ok, _ := regexp.MatchString("(?i)"+name[1:], host); ok {
					better(i, 4, 0)
				}
			case strings.HasPrefix(low, "."):
				if host == low[1:] {
					better(i, 1, 0)
				} else if strings.HasSuffix(host, low) && len(host) > len(low) {
					better(i, 2, len(low))
				}
			case strings.HasPrefix(low, "*."):
				if strings.HasSuffix(host, low[1:]) && len(host) > len(low)-1 {
					better(i, 2, len(low)-1)
				}
			case strings.HasSuffix(low, ".*"):
				if strings.HasPrefix(host, low[:len(low)-1]) && len(host) > len(low)-1 {
					better(i, 3, len(low))
				}
			case host == low:
				better(i, 1, 0)
			}
		}
	}
	if server < 0 {
		server = first
	}
	if server < 0 {
		return -1, nil
	}
	loc, _ = search(cfg.Servers[server].Locations, p)
	return server, loc
}

// search is the oracle for locations. settled reports that regular expressions beside the parent must not be tried.
func search(locs []Location, p string) (found *Location, settled bool) {
	var longest *Location
	for i := range locs {
		switch l := &locs[i]; {
		case l.Kind == Exact && l.Path == p:
			return l, true
		case l.Kind <= PrefixNoRegex && strings.HasPrefix(p, l.Path) && (longest == nil || len(l.Path) > len(longest.Path)):
			longest = l
		}
	}
	if found = longest; longest != nil {
		if in, settled := search(longest.Nested, p); in != nil {
			if found = in; settled {
				return found, true
			}
		}
		if longest.Kind == PrefixNoRegex {
			return found, false
		}
	}
	for i := range locs {
		l := &locs[i]
		if l.Kind < Regex {
			continue
		}
		expr := l.Path
		if l.Kind == RegexFold {
			expr = "(?i)" + expr
		}
		if ok, _ := regexp.MatchString(expr, p); ok {
			if in, _ := search(l.Nested, p); in != nil {
				return in, true
			}
			return l, true
		}
	}
	return found, false
}

var (
	segments = []string{"a", "b", "ab", "A", "c.php", "img"}
	labels   = []string{"a", "b", "org", "shop"}
	regexes  = []string{`\.php$`, `^/a`, `b`, `/img/`, `^/(a|b)/`}
)

func drawPath(rng *rand.Rand) string {
	var b strings.Builder
	for range rng.IntN(4) {
		b.WriteString("/" + segments[rng.IntN(len(segments))])
	}
	if rng.IntN(2) == 0 || b.Len() == 0 {
		b.WriteString("/")
	}
	return b.String()
}

func drawName(rng *rand.Rand) string {
	parts := make([]string, 1+rng.IntN(3))
	for i := range parts {
		parts[i] = labels[rng.IntN(len(labels))]
	}
	return strings.Join(parts, ".")
}

func drawLocations(rng *rand.Rand, parent string, depth int, number *int) (locs []Location) {
	seen := map[string]bool{}
	for range rng.IntN(6) {
		l := Location{Kind: Kind(rng.IntN(5)), Path: parent + strings.TrimPrefix(drawPath(rng), "/")}
		if l.Kind >= Regex {
			l.Path = regexes[rng.IntN(len(regexes))]
		}
		key := fmt.Sprint(l.Kind == Exact, l.Path)
		if l.Kind < Regex && seen[key] {
			continue
		}
		seen[key] = true
		l.Targets = []Target{{Route: *number}}
		*number++
		if depth > 0 && l.Kind != Exact && rng.IntN(3) == 0 {
			in := l.Path
			if l.Kind >= Regex {
				in = "/"
			}
			l.Nested = drawLocations(rng, in, depth-1, number)
		}
		locs = append(locs, l)
	}
	return locs
}

// A compiled table gives the same results as a plain search by nginx's documentation, for 20,000 random tables with five requests
// each.
func TestTableFollowsNginxPrecedence(t *testing.T) {
	rng := rand.New(rand.NewPCG(8, 1))
	outcomes := map[Outcome]int{}
	tables := 0
	for tables < 20_000 {
		var cfg Config
		number := 0
		for i := range 1 + rng.IntN(4) {
			s := Server{Position: fmt.Sprint("s", i), Listen: []string{[]string{"x", "y"}[rng.IntN(2)]},
				Locations: drawLocations(rng, "/", 2, &number)}
			for range rng.IntN(3) {
				s.Names = append(s.Names, []string{"", "*.", ".", "~^"}[rng.IntN(4)]+drawName(rng))
			}
			if rng.IntN(3) == 0 {
				s.Names = append(s.Names, drawName(rng)+".*")
			}
			if rng.IntN(4) == 0 {
				s.Default = s.Listen
			}
			cfg.Servers = append(cfg.Servers, s)
		}
		table, err := Compile(cfg)
		if err != nil {
			if !strings.Contains(err.Error(), "twice") && !strings.Contains(err.Error(), "second default") {
				t.Fatal(err)
			}
			continue // two servers drew the same name
		}
		tables++
		for range 5 {
			host, p := drawName(rng), drawPath(rng)
			if rng.IntN(4) == 0 {
				host = strings.ToUpper(host) + ".:80"
			}
			m := table.Lookup("x", host, p, "GET")
			server, loc := oracle(cfg, "x", host, p)
			outcomes[m.Outcome]++
			if (m.Outcome == NoServer) != (server < 0) || server >= 0 && (m.Server != server || m.Location != loc) {
				t.Fatalf("%s %s: %+v, want server %d, %+v\n%+v", host, p, m, server, loc, cfg)
			}
		}
	}
	if outcomes[Found] < 30_000 || outcomes[NoServer] == 0 || outcomes[NoLocation] == 0 {
		t.Errorf("%v: the random tables cover too little", outcomes)
	}
	t.Logf("%d tables, outcomes %v", tables, outcomes)
}

// Targets are chosen by method, and a location without a target for the method gives another outcome than one without targets.
func TestTargetIsChosenByMethod(t *testing.T) {
	table, err := Compile(Config{Servers: []Server{{Listen: []string{"x"}, Locations: []Location{
		{Path: "/", Targets: []Target{{Methods: []string{"GET", "HEAD"}, Route: 1}, {Methods: []string{"POST"}, Route: 2}}},
		{Path: "/all", Targets: []Target{{Route: 3}}}, {Path: "/none"}}}}})
	if err != nil {
		t.Fatal(err)
	}
	for request, want := range map[string]Match{
		"GET /": {Outcome: Found, Route: 1}, "POST /": {Outcome: Found, Route: 2}, "PUT /": {Outcome: NoMethod},
		"PUT /all": {Outcome: Found, Route: 3}, "GET /none": {Outcome: NoLocation}} {
		method, p, _ := strings.Cut(request, " ")
		if m := table.Lookup("x", "h", p, method); m.Outcome != want.Outcome || m.Route != want.Route {
			t.Errorf("%s: %+v", request, m)
		}
	}
}

// Dot segments, slashes and percent-encodings are normalized, encoded dot segments too. Otherwise a path could get past the location
// that is meant for it.
func TestNormalize(t *testing.T) {
	for raw, want := range map[string]string{
		"/": "/", "/a/b": "/a/b", "/a//b": "/a/b", "/a/./b": "/a/b", "/a/../b": "/b", "/a/..": "/", "/a/.": "/a/", "/a/b/..": "/a/",
		"/%61": "/a", "/a%2Fb": "/a/b", "/a/%2e%2E/b": "/b", "/a%252e": "/a%2e", "/...": "/...", "/.a": "/.a", "/a/..b/": "/a/..b/",
		"//": "/", "/a%00": "NUL", "/%zz": "percent", "/%4": "percent", "/..": "above", "/a/../../b": "above", "a": "slash", "": "slash",
	} {
		got, err := Normalize(raw, true)
		if err != nil {
			got = err.Error()
		}
		if got != want && (err == nil || !strings.Contains(got, want)) {
			t.Errorf("%q: %q, want %q", raw, got, want)
		}
	}
	if got, _ := Normalize("/a//b/../c", false); got != "/a//c" {
		t.Errorf("slashes kept: %q", got)
	}
	if got := Escape(Rewrite("/old/a b%", "/old/", "/new/")); got != "/new/a%20b%25" {
		t.Errorf("%q", got)
	}
}

// A normalized path equals its path.Clean, apart from a final slash, and stays the same when it is escaped and normalized again.
func FuzzNormalize(f *testing.F) {
	for _, s := range []string{"/a/../b", "/%2e%2e/", "/a%2f..%2f", "//", "/a/./", "/%41%"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		got, err := Normalize(raw, true)
		if err != nil {
			return
		}
		clean := path.Clean(got)
		if strings.HasSuffix(got, "/") && clean != "/" {
			clean += "/"
		}
		if got != clean {
			t.Errorf("%q: %q, clean is %q", raw, got, clean)
		}
		if again, err := Normalize(Escape(got), true); err != nil || again != got {
			t.Errorf("%q: %q, escaped and normalized again %q %v", raw, got, again, err)
		}
	})
}

// Errors of Compile name the place and the cause.
func TestCompileErrors(t *testing.T) {
	one := func(locs ...Location) Config {
		return Config{Servers: []Server{{Position: "f:1", Listen: []string{"x"}, Locations: locs}}}
	}
	names := func(a, b string) Config {
		return Config{Servers: []Server{{Position: "f:1", Listen: []string{"x"}, Names: []string{a}}, {Position: "f:9", Listen: []string{"x"}, Names: []string{b}}}}
	}
	for want, cfg := range map[string]Config{
		"f:2: location \"/a\": stands twice: the other is at f:1": one(Location{Position: "f:1", Path: "/a"}, Location{Position: "f:2", Path: "/a", Kind: PrefixNoRegex}),
		"f:2: location \"(\":":                          one(Location{Position: "f:2", Path: "(", Kind: Regex}),
		"f:3: location \"/b\": it is outside":           one(Location{Position: "f:2", Path: "/a", Nested: []Location{{Position: "f:3", Path: "/b"}}}),
		"can hold none":                                 one(Location{Position: "f:2", Path: "/a", Kind: Exact, Nested: []Location{{Position: "f:3", Path: "/a"}}}),
		"f:9: listener x: name \"a.org\": stands twice": names("a.org", "A.org"),
		"an asterisk may stand only":                    names("a.*.org", "b"),
		"name \"~(\"":                                   names("~(", "b"),
		"a second default server": {Servers: []Server{{Position: "f:1", Listen: []string{"x"}, Default: []string{"x"}},
			{Position: "f:2", Listen: []string{"x"}, Default: []string{"x"}}}},
		"add it to Listen": {Servers: []Server{{Position: "f:1", Default: []string{"x"}}}},
	} {
		if _, err := Compile(cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// BenchmarkLookup measures a lookup with few and with many routes.
func BenchmarkLookup(b *testing.B) {
	for _, kind := range []Kind{Prefix, Exact} {
		for _, n := range []int{10, 10_000} {
			b.Run(fmt.Sprintf("%s/%d routes", map[Kind]string{Prefix: "prefix", Exact: "exact"}[kind], n), func(b *testing.B) {
				s := Server{Listen: []string{"x"}, Names: []string{"shop.org", "*.shop.org"}}
				paths := make([]string, n)
				for i := range n {
					paths[i] = fmt.Sprintf("/service-%05d/items/", i*(10_000/n))
					s.Locations = append(s.Locations, Location{Kind: kind, Path: paths[i], Targets: []Target{{Route: i}}})
				}
				table, err := Compile(Config{Servers: []Server{s}})
				if err != nil {
					b.Fatal(err)
				}
				if kind == Prefix {
					for i := range paths {
						paths[i] += "4711"
					}
				}
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					if m := table.Lookup("x", "www.shop.org:8080", paths[i%10], "GET"); m.Outcome != Found {
						b.Fatal(m)
					}
					i++
				}
			})
		}
	}
}

// Guards against a path that can't be decoded from a field, or that ends it: every byte, alone, doubled and at the end.
func TestEscapeInFieldDecodesToThePath(t *testing.T) {
	for b := range 256 {
		for _, path := range []string{"/" + string([]byte{byte(b)}) + "x", "/x" + string([]byte{byte(b), byte(b)})} {
			escaped := EscapeInField(path)
			if decoded, err := url.PathUnescape(escaped); err != nil || decoded != path {
				t.Errorf("%q: %q decodes to %q (%v)", path, escaped, decoded, err)
			}
			if !httpguts.ValidHeaderFieldValue(escaped) || strings.Trim(escaped, " ") != escaped || strings.Contains(escaped, "\t") {
				t.Errorf("%q: %q can't stand in a field as it is", path, escaped)
			}
		}
	}
}
