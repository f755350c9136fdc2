package nginx

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"glencart/internal/site"
)

// Options are what an import may be told.
type Options struct {
	// Version is nginx's, such as "1.8.0": before 1.9.13 it sent requests of any method again. "": a later one.
	Version string
	// Accept names unsafe findings that the operator knows of: a directive's name or its "file:line".
	Accept []string
}

// Result is what an import made.
type Result struct {
	Site   *site.Site // checked
	Text   []byte     // the file
	Report *Report
}

// Import reads a configuration and makes an installation's file of it. What nginx itself would refuse is a *Bad. A result
// with unsafe findings leaves their routes closed, and is not to be used before the operator has named them.
func Import(files Files, name string, o Options) (*Result, error) {
	tree, err := Parse(files, name)
	if err != nil {
		return nil, err
	}
	m := &importer{opts: o, found: map[*Directive]*Finding{}, site: &site.Site{}, upstreams: map[string]*upstream{}, pools: map[string]string{},
		listeners: map[string]*site.Listener{}, names: map[string]*Directive{}, defaults: map[string]*Directive{}}
	if err := m.top(tree); err != nil {
		return nil, err
	}
	res := &Result{Report: m.report(tree)}
	if len(m.site.Servers) == 0 {
		return res, &Bad{name, "no server block in it: nothing to import"}
	}
	text, err := m.site.Text()
	if err != nil {
		return nil, err
	}
	head := "# Made by glencart import nginx from " + strings.Map(func(r rune) rune {
		if r < ' ' {
			return '?'
		}
		return r
	}, name) + ".\n# Read the report beside it before it is used.\n\n"
	res.Text = append([]byte(head), text...)
	if res.Site, err = site.Parse(name+" (imported)", res.Text); err != nil {
		return res, &Bad{name, "what was made of it can't be used: " + err.Error()}
	}
	return res, nil
}

// importer is an import under way.
type importer struct {
	opts      Options
	found     map[*Directive]*Finding
	site      *site.Site
	upstreams map[string]*upstream
	order     []*upstream
	pools     map[string]string // pool names by what makes them differ
	listeners map[string]*site.Listener
	names     map[string]*Directive // server_name by listener and name
	names53   *resolver             // of the http block
	defaults  map[string]*Directive // listen ... default_server by listener
}

// say tells what became of a directive. Said twice, the worse verdict stands, with both notes.
func (m *importer) say(d *Directive, v Verdict, format string, args ...any) {
	note := fmt.Sprintf(format, args...)
	f := m.found[d]
	if f == nil {
		m.found[d] = &Finding{File: d.File, Line: d.Line, Directive: d.String(), Verdict: v, Note: note}
		return
	}
	f.Verdict = max(f.Verdict, v)
	if note != "" && !strings.Contains(f.Note, note) {
		if f.Note != "" {
			f.Note += "; "
		}
		f.Note += note
	}
}

// all says the same of all that stands within a directive.
func (m *importer) all(d *Directive, v Verdict, format string, args ...any) {
	m.say(d, v, format, args...)
	for _, in := range d.Block {
		in.Each(func(x *Directive) { m.say(x, v, "part of %s at line %d", d.Name, d.Line) })
	}
}

// report lists what became of every directive.
func (m *importer) report(tree []*Directive) *Report {
	r := &Report{Findings: []Finding{}}
	for _, d := range tree {
		d.Each(func(d *Directive) {
			if m.found[d] == nil {
				m.general(d)
			}
			f := *m.found[d]
			f.Accepted = f.Verdict == Unsafe && (slices.Contains(m.opts.Accept, d.Name) || slices.Contains(m.opts.Accept, d.At()))
			r.Findings = append(r.Findings, f)
		})
	}
	return r
}

// general says what became of a directive that no other part has looked at.
func (m *importer) general(d *Directive) {
	if k, ok := known[d.Name]; ok {
		m.all(d, k.verdict, "%s", k.note)
		return
	}
	m.all(d, NotCarried, "unknown here, or without a counterpart at this place: it has no effect")
}

// flat lists directives with what include directives bring in their place.
func (m *importer) flat(list []*Directive) (out []*Directive) {
	for _, d := range list {
		if d.Name == "include" && !d.Has {
			if len(d.Block) == 0 {
				m.say(d, Carried, "nothing in it")
			} else {
				m.say(d, Carried, "")
			}
			out = append(out, m.flat(d.Block)...)
			continue
		}
		out = append(out, d)
	}
	return out
}

// top looks for http blocks. A file without one is taken for what stands in such a block.
func (m *importer) top(tree []*Directive) error {
	list := m.flat(tree)
	var https []*Directive
	for _, d := range list {
		if d.Name == "http" && d.Has {
			https = append(https, d)
		}
	}
	if len(https) > 1 {
		return bad(https[1], "stands twice: the other is at %s: nginx takes one", https[0].At())
	}
	if len(https) == 1 {
		m.say(https[0], Carried, "")
		list = m.flat(https[0].Block)
	}
	sc, err := m.scope(&scope{}, list)
	if err != nil {
		return err
	}
	if m.names53, err = m.resolver(&resolver{}, list); err != nil {
		return err
	}
	for _, d := range list {
		if d.Name == "upstream" {
			if err := m.upstream(d); err != nil {
				return err
			}
		}
	}
	for _, d := range list {
		if d.Name == "server" && d.Has {
			if err := m.server(sc, d); err != nil {
				return err
			}
		}
	}
	m.close()
	return nil
}

// close adds the classes that the routes name by method, and tells of pools that nothing goes to.
func (m *importer) close() {
	for _, u := range m.order {
		if !u.used {
			m.say(u.at, NotCarried, "no location that was carried passes requests to it")
		}
	}
	base := []site.Class{{Name: site.SafeClass, Effect: "safe", Deadline: site.Duration(usualRead), Aim: site.Duration(aimOf(usualRead))},
		{Name: site.UnsafeClass, Effect: "unsafe", Deadline: site.Duration(usualRead), Aim: site.Duration(aimOf(usualRead))}}
	m.site.Classes = append(base, m.site.Classes...)
}

// aimOf is the aim for a time that a box may take: nginx knows none.
func aimOf(read time.Duration) time.Duration {
	return min(max(read/10, 500*time.Millisecond), 2*time.Second, read)
}

// one takes the single argument of a directive.
func one(d *Directive) (string, error) {
	if len(d.Args) != 1 || d.Has {
		return "", bad(d, "takes one argument")
	}
	return d.Args[0], nil
}

// seconds reads one of nginx's times: 500ms, 5s, 1m, 1h30m, 7 (seconds).
func seconds(d *Directive, text string) (time.Duration, error) {
	var sum time.Duration
	rest := text
	for rest != "" {
		n := 0
		for n < len(rest) && rest[n] >= '0' && rest[n] <= '9' {
			n++
		}
		v, err := strconv.ParseInt(rest[:n], 10, 32)
		if err != nil {
			return 0, bad(d, "%q is not a time: write it as 500ms, 5s or 1m", text)
		}
		rest = rest[n:]
		u := 0
		for u < len(rest) && (rest[u] < '0' || rest[u] > '9') {
			u++
		}
		unit, ok := map[string]time.Duration{"": time.Second, "ms": time.Millisecond, "s": time.Second, "m": time.Minute, "h": time.Hour,
			"d": 24 * time.Hour, "w": 7 * 24 * time.Hour, "M": 30 * 24 * time.Hour, "y": 365 * 24 * time.Hour}[strings.TrimSpace(rest[:u])]
		if !ok {
			return 0, bad(d, "%q is not a time: write it as 500ms, 5s or 1m", text)
		}
		sum += time.Duration(v) * unit
		rest = rest[u:]
		if sum < 0 || sum > 10*365*24*time.Hour {
			return 0, bad(d, "%q is too long a time", text)
		}
	}
	if text == "" {
		return 0, bad(d, "a time is missing")
	}
	return sum, nil
}

// bytesOf reads one of nginx's sizes: 512, 8k, 1m, 2g.
func bytesOf(d *Directive, text string) (int64, error) {
	unit := int64(1)
	digits := strings.ToLower(text)
	for suffix, n := range map[string]int64{"k": 1 << 10, "m": 1 << 20, "g": 1 << 30} {
		if cut, ok := strings.CutSuffix(digits, suffix); ok {
			digits, unit = cut, n
			break
		}
	}
	n, err := strconv.ParseInt(digits, 10, 32)
	if err != nil || n < 0 {
		return 0, bad(d, "%q is not a size: write it as 512, 8k or 1m", text)
	}
	return n * unit, nil
}
