// Package diff tells in words what another version of an installation's file changes for traffic. Routes are not compared by their
// lines: both tables are asked where requests would go, one for each server's names, each place among its paths and each
// method that either file has, and what differs in the answers is told. It is pure.
package diff

import (
	"cmp"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"time"

	"glencart/internal/site"
	"glencart/route"
)

// Line is one difference.
type Line struct {
	About string `json:"about"`          // "route", "pool", "class", ...
	Of    string `json:"of"`             // a request, or a name
	Text  string `json:"text"`           // what is different
	Risk  string `json:"risk,omitempty"` // what may come of it that nobody may have meant; empty: nothing that is seen here
}

// String words a line.
func (l Line) String() string {
	text := l.About + " " + l.Of + ": " + l.Text
	if l.Risk != "" {
		text += "  [" + l.Risk + "]"
	}
	return text
}

// Files tells what differs between two files that have been checked, in the order of the files' parts.
func Files(old, now *site.Site) ([]Line, error) {
	d := &differ{}
	if err := d.routes(old, now); err != nil {
		return nil, err
	}
	d.pools(old, now)
	d.classes(old, now)
	named(d, "tenant", old.Tenants, now.Tenants, func(t site.Tenant) string { return t.Name }, func(field string) string {
		if field == "plan" {
			return "its requests are turned away earlier or later than they were when the cluster has too much"
		}
		return ""
	})
	named(d, "plan", old.Plans, now.Plans, func(p site.Plan) string { return p.Name }, func(field string) string {
		return "who is turned away first when the cluster has too much changes; until all instances read this file, each goes by those that read the same"
	})
	named(d, "listener", old.Listeners, now.Listeners, func(l site.Listener) string { return l.Name }, func(field string) string {
		if field == "address" {
			return "needs a restart: SIGHUP turns the file down"
		}
		return ""
	})
	d.fields("limits", "", reflect.ValueOf(old.Limits), reflect.ValueOf(now.Limits), nil)
	d.fields("node", "", reflect.ValueOf(old.Node), reflect.ValueOf(now.Node), nil)
	d.fleet(old.Fleet, now.Fleet)
	return d.lines, nil
}

// fleet tells what differs in the part that this process takes among others.
func (d *differ) fleet(old, now *site.Fleet) {
	const restart = "needs a restart: SIGHUP turns the file down"
	switch {
	case old == nil && now == nil:
	case old == nil || now == nil:
		d.say("fleet", "fleet", restart, "%s", map[bool]string{true: "comes in", false: "is taken out"}[old == nil])
	default:
		d.fields("fleet", "", reflect.ValueOf(*old), reflect.ValueOf(*now), func(field string) string {
			if !slices.Contains(site.FleetReloads, field) {
				return restart
			}
			return ""
		})
	}
}

type differ struct{ lines []Line }

func (d *differ) say(about, of, risk, format string, args ...any) {
	d.lines = append(d.lines, Line{about, of, fmt.Sprintf(format, args...), risk})
}

// fields tells which keys of two tables differ.
func (d *differ) fields(about, of string, old, now reflect.Value, risk func(field string) string, but ...string) {
	for i := range old.NumField() {
		name, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("toml"), ",")
		if name == "" || slices.Contains(but, name) {
			continue
		}
		a, b := old.Field(i), now.Field(i)
		if reflect.DeepEqual(a.Interface(), b.Interface()) {
			continue
		}
		why := ""
		if risk != nil {
			why = risk(name)
		}
		key := cmp.Or(of, name)
		if of != "" {
			d.say(about, key, why, "%s %s → %s", name, word(a), word(b))
		} else {
			d.say(about, key, why, "%s → %s", word(a), word(b))
		}
	}
}

// word words a value of a file.
func word(v reflect.Value) string {
	for v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	if v.IsZero() {
		return "default"
	}
	switch x := v.Interface().(type) {
	case site.Duration:
		return time.Duration(x).String()
	case site.Size:
		text, _ := x.MarshalText()
		return string(text)
	}
	switch v.Kind() {
	case reflect.Struct:
		var parts []string
		for i := range v.NumField() {
			if name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ","); name != "" && !v.Field(i).IsZero() {
				parts = append(parts, name+" "+word(v.Field(i)))
			}
		}
		return "{" + strings.Join(parts, ", ") + "}"
	case reflect.Slice:
		var parts []string
		for i := range v.Len() {
			parts = append(parts, word(v.Index(i)))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return fmt.Sprint(v.Interface())
}

// named tells what differs in lists of tables that have names.
func named[T any](d *differ, about string, old, now []T, name func(T) string, risk func(field string) string) {
	find := func(list []T, of string) int { return slices.IndexFunc(list, func(x T) bool { return name(x) == of }) }
	for _, x := range old {
		switch i := find(now, name(x)); {
		case i < 0:
			why := ""
			if risk != nil {
				why = risk("address")
			}
			d.say(about, name(x), why, "is gone")
		default:
			d.fields(about, name(x), reflect.ValueOf(x), reflect.ValueOf(now[i]), risk, "name")
		}
	}
	for _, x := range now {
		if find(old, name(x)) < 0 {
			d.say(about, name(x), "", "is new: %s", word(reflect.ValueOf(x)))
		}
	}
}

// ---- Pools and classes ----

func (d *differ) pools(old, now *site.Site) {
	for i := range old.Pools {
		p := &old.Pools[i]
		j := now.Pool(p.Name)
		if j < 0 {
			d.say("pool", p.Name, "", "is gone")
			continue
		}
		q := &now.Pools[j]
		d.boxes(p, q)
		before := len(d.lines)
		d.fields("pool", p.Name, reflect.ValueOf(*p), reflect.ValueOf(*q), nil, "name", "boxes")
		if len(d.lines) > before {
			d.say("pool", p.Name, "what is known of its boxes is learned anew", "starts anew, since its settings differ")
		}
	}
	for i := range now.Pools {
		if old.Pool(now.Pools[i].Name) < 0 {
			d.say("pool", now.Pools[i].Name, "", "is new, with %d boxes and %d sources", len(now.Pools[i].Boxes), len(now.Pools[i].Sources))
		}
	}
}

// boxes tells what differs in the boxes of a pool.
func (d *differ) boxes(p, q *site.Pool) {
	works := func(b site.Box) bool { return b.State == "ready" && !b.Backup }
	at := func(list []site.Box, id string) int {
		return slices.IndexFunc(list, func(b site.Box) bool { return b.ID == id })
	}
	had, stay := 0, 0
	for _, b := range p.Boxes {
		i := at(q.Boxes, b.ID)
		if works(b) {
			had++
			if i >= 0 && works(q.Boxes[i]) && q.Boxes[i].Address == b.Address {
				stay++
			}
		}
		switch {
		case i < 0:
			d.say("pool", p.Name, "", "box %s is gone", b.ID)
		case !reflect.DeepEqual(b, q.Boxes[i]):
			d.fields("pool", p.Name+" box "+b.ID, reflect.ValueOf(b), reflect.ValueOf(q.Boxes[i]), nil, "id")
		}
	}
	for _, b := range q.Boxes {
		if at(p.Boxes, b.ID) < 0 {
			d.say("pool", p.Name, "", "box %s is new at %s", b.ID, b.Address)
		}
	}
	if had > 0 && stay*2 < had {
		d.say("pool", p.Name, "what is left may be too little, and newcomers may be cold", "%d of %d boxes at work stay", stay, had)
	}
}

func (d *differ) classes(old, now *site.Site) {
	for i := range old.Classes {
		c := &old.Classes[i]
		j := now.Class(c.Name)
		if j < 0 {
			d.say("class", c.Name, "", "is gone")
			continue
		}
		n := &now.Classes[j]
		d.fields("class", c.Name, reflect.ValueOf(*c), reflect.ValueOf(*n), func(field string) string {
			switch {
			case field == "effect":
				return looser(c.Effect, n.Effect)
			case field == "deadline" && n.Deadline < c.Deadline:
				return "what takes longer fails from then on"
			}
			return ""
		}, "name")
	}
	for i := range now.Classes {
		if old.Class(now.Classes[i].Name) < 0 {
			d.say("class", now.Classes[i].Name, "", "is new: %s, within %v", now.Classes[i].Effect, time.Duration(now.Classes[i].Deadline))
		}
	}
}

// looser tells what comes of another effect.
func looser(old, now string) string {
	strict := map[string]int{"safe": 0, "keyed": 1, "unsafe": 2}
	if strict[now] < strict[old] {
		return "requests may be sent again that could not be: what runs twice must do no harm"
	}
	return ""
}

// ---- Routes ----

// answer is what becomes of a request, as far as it is compared.
type answer struct {
	where, class, effect string
	parts                [][2]string // what else there is to a route, by name
	none                 bool        // nobody takes it
}

// asker asks one file.
type asker struct {
	s       *site.Site
	table   *route.Table
	targets []site.Target
}

func ask(s *site.Site) (asker, error) {
	table, targets, err := s.Compile()
	return asker{s, table, targets}, err
}

// find asks where a request goes, and which server it is for; -1: none.
func (a asker) find(listener, host, path, method string) (answer, int) {
	m := a.table.Lookup(listener, host, path, method)
	switch m.Outcome {
	case route.NoServer:
		return answer{where: "nobody (no server)", none: true}, -1
	case route.NoLocation:
		return answer{where: "404", none: true}, m.Server
	case route.NoMethod:
		return answer{where: "405", none: true}, m.Server
	}
	t := &a.targets[m.Route]
	r, l := t.Route, t.Location
	out := answer{where: "pool " + r.Pool}
	if r.Pool == "" {
		out.where = fmt.Sprintf("%d here", r.Status)
	} else {
		out.class = r.Class
		if out.class == "" {
			out.class = site.UnsafeClass
			if slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}, method) {
				out.class = site.SafeClass
			}
		}
		if i := a.s.Class(out.class); i >= 0 {
			out.effect = a.s.Classes[i].Effect
		}
	}
	add := func(name string, v any) { out.parts = append(out.parts, [2]string{name, word(reflect.ValueOf(v))}) }
	add("rewrite", r.Rewrite)
	add("host", r.Host)
	add("body", r.Body)
	add("upgrade", r.Upgrade)
	add("set", r.Set)
	add("add", r.Add)
	add("text", r.Text)
	add("allow", l.Allow)
	add("deny", l.Deny)
	add("deny_first", l.DenyFirst)
	return out, m.Server
}

// routes asks both tables.
func (d *differ) routes(old, now *site.Site) error {
	a, err := ask(old)
	if err != nil {
		return err
	}
	b, err := ask(now)
	if err != nil {
		return err
	}
	listeners := names(old, now, func(s *site.Site) (out []string) {
		for _, l := range s.Listeners {
			out = append(out, l.Name)
		}
		return out
	})
	hosts := names(old, now, func(s *site.Site) (out []string) {
		for _, v := range s.Servers {
			for _, n := range v.Names {
				out = append(out, hostsOf(n)...)
			}
		}
		return append(out, other+".invalid")
	})
	methods := names(old, now, func(s *site.Site) []string { return append(methodsOf(s), http.MethodGet, http.MethodPost) })
	said := map[string]bool{}
	type pair struct {
		listener string
		old, now int
	}
	asked := map[pair]bool{}
	for _, l := range listeners {
		for _, h := range hosts {
			_, i := a.find(l, h, "/", http.MethodGet)
			_, j := b.find(l, h, "/", http.MethodGet)
			if asked[pair{l, i, j}] {
				continue // another name of the same servers
			}
			asked[pair{l, i, j}] = true
			var list []site.Location
			if i >= 0 {
				list = append(list, old.Servers[i].Locations...)
			}
			if j >= 0 {
				list = append(list, now.Servers[j].Locations...)
			}
			paths := pathsOf(list)
			slices.Sort(paths)
			for _, p := range slices.Compact(paths) {
				for _, m := range methods {
					x, _ := a.find(l, h, p, m)
					y, _ := b.find(l, h, p, m)
					of := m + " " + h + p
					if len(listeners) > 1 {
						of += " at " + l
					}
					if h == other+".invalid" {
						of = strings.Replace(of, h, "any other host", 1)
					}
					d.compare(of, fmt.Sprint(l, " ", h, " ", m), x, y, said)
				}
			}
		}
	}
	return nil
}

// compare tells in what two answers differ, once for each server, method and difference: at the first path that shows it.
func (d *differ) compare(of, group string, x, y answer, said map[string]bool) {
	say := func(risk, format string, args ...any) {
		text := fmt.Sprintf(format, args...)
		if key := group + "|" + text; !said[key] {
			said[key] = true
			d.say("route", of, risk, "%s", text)
		}
	}
	if x.where != y.where {
		risk := ""
		if y.none && !x.none {
			risk = "these requests are turned away"
		}
		say(risk, "%s → %s", x.where, y.where)
	}
	if x.class != y.class && x.class != "" && y.class != "" {
		say(looser(x.effect, y.effect), "class %s (%s) → %s (%s)", x.class, x.effect, y.class, y.effect)
	}
	if x.none || y.none {
		return
	}
	for i := range x.parts {
		if x.parts[i] != y.parts[i] {
			risk := ""
			if n := x.parts[i][0]; n == "allow" || n == "deny" || n == "deny_first" {
				risk = "others are let in, or kept out"
			}
			say(risk, "%s %s → %s", x.parts[i][0], x.parts[i][1], y.parts[i][1])
		}
	}
}

// names joins what two files have, sorted, each once.
func names(old, now *site.Site, of func(*site.Site) []string) []string {
	all := append(of(old), of(now)...)
	slices.Sort(all)
	return slices.Compact(all)
}

func methodsOf(s *site.Site) (out []string) {
	var walk func([]site.Location)
	walk = func(list []site.Location) {
		for i := range list {
			for j := range list[i].Routes {
				out = append(out, list[i].Routes[j].Methods...)
			}
			walk(list[i].Locations)
		}
	}
	for i := range s.Servers {
		walk(s.Servers[i].Locations)
	}
	return out
}
