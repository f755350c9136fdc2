package nginx

import (
	"fmt"
	"net/url"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"glencart/internal/site"
	"glencart/internal/standin/corpus"
	"glencart/route"
)

// where finds the boxes of the pool that a request goes to, those that are down aside; a backup stands in brackets.
func where(res *Result, table *route.Table, targets []site.Target, r corpus.Request) (boxes []string, status int, path string, err error) {
	u, err := url.Parse(r.URL)
	if err != nil {
		return nil, 0, "", err
	}
	raw := u.EscapedPath()
	norm, err := route.Normalize(raw, true)
	if err != nil {
		return nil, 400, "", nil
	}
	m := table.Lookup(r.Listener(), u.Host, norm, r.Method)
	switch m.Outcome {
	case route.NoMethod:
		return nil, 405, "", nil
	case route.Found:
	default:
		return nil, 404, "", nil
	}
	tg := targets[m.Route]
	if tg.Pool == "" {
		return nil, tg.Status, "", nil
	}
	p := res.Site.Pools[res.Site.Pool(tg.Pool)]
	for _, b := range p.Boxes {
		switch {
		case b.State == "down":
		case b.Backup:
			boxes = append(boxes, "("+b.Address+")")
		default:
			boxes = append(boxes, b.Address)
		}
	}
	for _, src := range p.Sources {
		text := "dns:" + src.DNS + "@" + strings.Join(src.Resolvers, ",")
		if src.Floor > 0 {
			text += "/" + time.Duration(src.Floor).String()
		}
		boxes = append(boxes, text)
	}
	slices.Sort(boxes)
	path = raw
	if tg.Rewrite != nil {
		path = route.Escape(route.Rewrite(norm, m.Location.Path, *tg.Rewrite))
	}
	return boxes, 0, path, nil
}

// Every recorded request goes to the boxes that nginx's documentation says; every directive is reported once; what is
// unsafe is found with its file and line.
func TestCorpus(t *testing.T) {
	cases := corpus.Load(t, "testdata/corpus")
	requests := 0
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			res, err := Import(Memory(c.Files), "nginx.conf", Options{Version: c.Version})
			if err != nil {
				t.Fatal(err)
			}
			table, targets, err := res.Site.Compile()
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range c.Requests {
				requests++
				boxes, status, path, err := where(res, table, targets, r)
				if err != nil || status != r.Status || !slices.Equal(boxes, r.Boxes) {
					t.Errorf("%s\n  goes to %v, status %d (%v)", r.Line, boxes, status, err)
				} else if r.Path != "" && path != r.Path {
					t.Errorf("%s\n  as %s", r.Line, path)
				}
			}
			total(t, Memory(c.Files), res.Report)
			var worst []string
			for _, f := range res.Report.Findings {
				if f.Verdict >= NotCarried {
					worst = append(worst, fmt.Sprintf("%s:%d %s", f.File, f.Line, f.Verdict))
				}
			}
			for _, want := range c.Findings {
				if !slices.Contains(worst, want) {
					t.Errorf("not found: %s; found: %v", want, worst)
				}
			}
			for _, f := range res.Report.Findings {
				if at := fmt.Sprintf("%s:%d UNSAFE", f.File, f.Line); f.Verdict == Unsafe && !slices.Contains(c.Findings, at) {
					t.Errorf("unexpected: %s %s: %s", at, f.Directive, f.Note)
				}
			}
			exit := 0
			switch {
			case res.Report.Count(Unsafe) > 0:
				exit = 4
			case res.Report.Count(Difference)+res.Report.Count(NotCarried) > 0:
				exit = 3
			}
			if exit != c.Exit {
				t.Errorf("exit %d, want %d", exit, c.Exit)
			}
			for _, k := range res.Site.Classes {
				if strings.HasPrefix(k.Name, "unsafe") != (k.Effect == "unsafe") {
					t.Errorf("class %s has effect %s: an unsafe retry would get through", k.Name, k.Effect)
				}
			}
		})
	}
	if len(cases) < 60 {
		t.Errorf("%d cases", len(cases))
	}
	t.Logf("%d cases, %d requests", len(cases), requests)
}

// total asserts that as many directives are reported as there are, each with its line and text.
func total(t testing.TB, files Files, r *Report) {
	t.Helper()
	tree, err := Parse(files, "nginx.conf")
	if err != nil {
		t.Fatal(err)
	}
	var in, out []string
	for _, d := range tree {
		d.Each(func(d *Directive) { in = append(in, d.At()+" "+d.String()) })
	}
	for _, f := range r.Findings {
		out = append(out, fmt.Sprintf("%s:%d %s", f.File, f.Line, f.Directive))
	}
	if !slices.Equal(in, out) {
		t.Errorf("%d directives in, %d reported", len(in), len(out))
	}
}

// What nginx refuses, and what can't be read, is bad input with its line.
func TestBad(t *testing.T) {
	text, err := os.ReadFile("testdata/bad/cases.txt")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, part := range strings.Split("\n"+string(text), "\n==== ")[1:] {
		want, conf, _ := strings.Cut(part, "\n")
		n++
		_, err := Import(Memory{"nginx.conf": conf, "loop.conf": "include loop.conf;"}, "nginx.conf", Options{})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\n  gives %v\n  want  %s", conf, err, want)
		}
	}
	if n < 25 {
		t.Errorf("%d cases", n)
	}
}

// The parser and the importer end, with an error or with every directive reported, whatever they are given.
func FuzzImport(f *testing.F) {
	for _, c := range corpus.Load(f, "testdata/corpus") {
		f.Add(c.Files["nginx.conf"], c.Files["conf.d/a.conf"])
	}
	f.Fuzz(func(t *testing.T, main, other string) {
		files := Memory{"nginx.conf": main, "conf.d/a.conf": other}
		res, err := Import(files, "nginx.conf", Options{})
		if err != nil {
			if _, ok := err.(*Bad); !ok {
				t.Fatalf("%T: %v", err, err)
			}
			if strings.Contains(err.Error(), "what was made of it") && !strings.Contains(err.Error(), "listener") {
				t.Fatal(err)
			}
			return
		}
		total(t, files, res.Report)
		for _, k := range res.Site.Classes {
			if k.Effect == "unsafe" != strings.HasPrefix(k.Name, "unsafe") {
				t.Fatalf("class %v", k)
			}
		}
	})
}

// Guards against a silent difference: nginx writes a decoded path into headers and redirects, and here it is encoded. Directives with
// the path as it came, and rewrites, which nginx encodes, are no difference.
func TestDecodedPathIsReported(t *testing.T) {
	res, err := Import(Memory{"nginx.conf": `
upstream menu { server 10.0.0.1:8080; }
server {
    listen 80;
    location /notes/ {
        proxy_pass http://menu;
        proxy_set_header X-Original-Path $uri;
        proxy_set_header X-Target $request_uri;
        add_header X-Path ${uri} always;
    }
    location /old/ { return 301 https://khuree.mn$uri; }
    location /text { return 200 "not here: $uri"; }
    location /moved/ { return 301 https://khuree.mn$request_uri; }
    location /away/ { rewrite ^(.*)$ https://khuree.mn$1 permanent; }
}
`}, "nginx.conf", Options{})
	if err != nil {
		t.Fatal(err)
	}
	var lines []int
	for _, f := range res.Report.Findings {
		if strings.Contains(f.Note, "$uri") {
			lines = append(lines, f.Line)
			if f.Verdict != Difference {
				t.Errorf("line %d: %v", f.Line, f.Verdict)
			}
		}
	}
	if want := []int{7, 9, 11, 12}; !slices.Equal(lines, want) {
		t.Errorf("reported at lines %v, expected %v", lines, want)
	}
}
