// Package corpus reads the corpus of nginx configurations: files, recorded requests with where nginx's documentation says
// that they go, and what an import has to find.
//
// In a file of the corpus "==== name" begins a case, and "-- name --" a part of it: a configuration file, or one of
// requests, findings, exit N, version V. A request is a line such as
//
//	GET http://shop.mn/menu -> 10.0.0.1:80 (10.0.0.9:80) as /carte
//
// with the boxes of its pool (backups in brackets) or a status, and the path that the box gets.
package corpus

import (
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// Case is one configuration.
type Case struct {
	Name     string
	Files    map[string]string // nginx.conf is the first
	Requests []Request
	Findings []string // such as "nginx.conf:12 UNSAFE"
	Exit     int      // of the command; 3 where none is told
	Version  string   // of nginx
}

// Request is one recorded request.
type Request struct {
	Line, Method, URL string
	Boxes             []string // sorted
	Status            int      // answered without a box
	Path              string   // "" for any
}

// Listener is the name of the importer's listener that it comes to. A fragment such as #127.0.0.1:8080 names it.
func (r *Request) Listener() string {
	u, err := url.Parse(r.URL)
	if err != nil {
		return ""
	}
	if strings.Contains(u.Fragment, ":") {
		return u.Fragment
	}
	port := u.Port()
	if port == "" {
		port = map[string]string{"http": "80", "https": "443"}[u.Scheme]
	}
	return "port-" + port
}

var requestLine = regexp.MustCompile(`^([A-Z]+) (\S+) -> (.*?)(?: as (\S+))?$`)

// Load reads the cases of a folder.
func Load(t testing.TB, dir string) (out []Case) {
	t.Helper()
	names, _ := filepath.Glob(filepath.Join(dir, "*.txt"))
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range strings.Split("\n"+string(text), "\n==== ")[1:] {
			title, rest, _ := strings.Cut(part, "\n")
			c := Case{Name: title, Files: map[string]string{}, Exit: 3}
			for _, f := range strings.Split("\n"+rest, "\n-- ")[1:] {
				head, body, _ := strings.Cut(f, " --")
				c.part(t, head, strings.TrimPrefix(body, "\n"))
			}
			if len(c.Requests) == 0 || c.Files["nginx.conf"] == "" {
				t.Fatalf("%s: %s: without requests or nginx.conf", name, title)
			}
			out = append(out, c)
		}
	}
	return out
}

func (c *Case) part(t testing.TB, head, body string) {
	t.Helper()
	switch {
	case head == "requests":
		for line := range strings.Lines(body) {
			if line = strings.TrimSpace(line); line == "" {
				continue
			}
			m := requestLine.FindStringSubmatch(line)
			if m == nil {
				t.Fatalf("%s: %q is no request", c.Name, line)
			}
			r := Request{Line: line, Method: m[1], URL: m[2], Path: m[4]}
			if n, err := strconv.Atoi(m[3]); err == nil {
				r.Status = n
			} else {
				r.Boxes = strings.Fields(m[3])
				slices.Sort(r.Boxes)
			}
			c.Requests = append(c.Requests, r)
		}
	case head == "findings":
		for line := range strings.Lines(body) {
			if line = strings.TrimSpace(line); line != "" {
				c.Findings = append(c.Findings, line)
			}
		}
	case strings.HasPrefix(head, "exit "):
		c.Exit, _ = strconv.Atoi(head[5:])
	case strings.HasPrefix(head, "version "):
		c.Version = head[8:]
	default:
		c.Files[head] = body + "\n"
	}
}
