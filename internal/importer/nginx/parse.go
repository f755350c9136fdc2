// Package nginx imports nginx configurations: it reads http, server, location and upstream blocks, makes an equivalent
// installation's file of them (package site), and reports what became of every directive. docs/IMPORT.md has the table.
//
// The syntax follows nginx's own reader (ngx_conf_file.c) as its documentation describes it; the meaning of directives
// follows the reference of ngx_http_core_module, ngx_http_upstream_module, ngx_http_proxy_module and
// ngx_http_rewrite_module.
package nginx

import (
	"fmt"
	"os"
	"path"
	"path/filepath"
	"sort"
	"strings"
)

const (
	// sizeMost bounds all the text that is read, includeMost how deep files include one another.
	sizeMost, includeMost = 8 << 20, 32
	// directivesMost bounds how many directives there are, depthMost how deep blocks stand in one another.
	directivesMost, depthMost = 100_000, 64
)

// Directive is one directive of a configuration, with the block behind it.
type Directive struct {
	File  string
	Line  int
	Name  string
	Args  []string
	Block []*Directive
	Has   bool // a block, which may be empty
	Raw   bool // its block is program text, which is not read
}

// At is where it stands.
func (d *Directive) At() string { return fmt.Sprintf("%s:%d", d.File, d.Line) }

// String words it without its block.
func (d *Directive) String() string {
	text := strings.Join(append([]string{d.Name}, d.Args...), " ")
	if len(text) > 120 {
		text = text[:117] + "..."
	}
	return text
}

// Each calls f with a directive and all within it, in order.
func (d *Directive) Each(f func(*Directive)) {
	f(d)
	for _, in := range d.Block {
		in.Each(f)
	}
}

// Bad is an input that nginx itself would refuse, or that can't be read.
type Bad struct{ At, Why string }

// Error says where and why.
func (b *Bad) Error() string { return b.At + ": " + b.Why }

func bad(d *Directive, format string, args ...any) *Bad {
	return &Bad{d.At(), fmt.Sprintf("%s: %s", d.Name, fmt.Sprintf(format, args...))}
}

// Files is where configurations come from.
type Files interface {
	Read(name string) ([]byte, error)
	Glob(pattern string) ([]string, error)
}

// Disk reads files of this machine.
type Disk struct{}

// Read reads a file.
func (Disk) Read(name string) ([]byte, error) {
	if info, err := os.Stat(name); err != nil {
		return nil, err
	} else if info.Size() > sizeMost {
		return nil, fmt.Errorf("%s: %d bytes are too many for a configuration", name, info.Size())
	}
	return os.ReadFile(name)
}

// Glob lists the files that fit, in order.
func (Disk) Glob(pattern string) ([]string, error) { return filepath.Glob(pattern) }

// Memory is a set of files by name, for tests.
type Memory map[string]string

// Read reads a file.
func (m Memory) Read(name string) ([]byte, error) {
	if text, ok := m[name]; ok {
		return []byte(text), nil
	}
	return nil, fmt.Errorf("open %s: %w", name, os.ErrNotExist)
}

// Glob lists the files that fit, in order.
func (m Memory) Glob(pattern string) (names []string, err error) {
	for name := range m {
		ok, err := path.Match(pattern, name)
		if err != nil {
			return nil, err
		}
		if ok {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

// reader reads a configuration with all that it includes.
type reader struct {
	files Files
	dir   string   // of the first file: relative names start there
	open  []string // files that include one another, the first one first
	size  int
	count int
}

// Parse reads a file and all that it includes. What is included stands in Block of its include directive.
func Parse(files Files, name string) ([]*Directive, error) {
	r := &reader{files: files, dir: filepath.Dir(name)}
	return r.file(name, &Directive{File: name, Line: 1, Name: "file"})
}

func (r *reader) file(name string, from *Directive) ([]*Directive, error) {
	for _, o := range r.open {
		if o == name {
			return nil, bad(from, "%s includes itself, by way of %s: take one of the includes out", name, strings.Join(r.open, ", "))
		}
	}
	if len(r.open) >= includeMost {
		return nil, bad(from, "more than %d files include one another", includeMost)
	}
	text, err := r.files.Read(name)
	if err != nil {
		return nil, bad(from, "%v", err)
	}
	if r.size += len(text); r.size > sizeMost {
		return nil, bad(from, "more than %d bytes of configuration", sizeMost)
	}
	r.open = append(r.open, name)
	defer func() { r.open = r.open[:len(r.open)-1] }()
	l := &lexer{file: name, text: strings.TrimPrefix(string(text), "\ufeff"), line: 1}
	return r.block(l, 0, nil)
}

// block reads directives up to the closing brace, or the end of the file at depth 0.
func (r *reader) block(l *lexer, depth int, around *Directive) ([]*Directive, error) {
	var out []*Directive
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		switch t.kind {
		case end:
			if depth > 0 {
				return nil, &Bad{fmt.Sprintf("%s:%d", l.file, l.line), fmt.Sprintf("the file ends within the block of %s (line %d): a \"}\" is missing", around.Name, around.Line)}
			}
			return out, nil
		case closes:
			if depth == 0 {
				return nil, l.fault(t.line, "a \"}\" that closes nothing: take it out")
			}
			return out, nil
		case opens, semicolon:
			return nil, l.fault(t.line, "a directive is missing before %q", t.text)
		}
		d := &Directive{File: l.file, Line: t.line, Name: t.text}
		if r.count++; r.count > directivesMost {
			return nil, bad(d, "more than %d directives", directivesMost)
		}
		for {
			t, err := l.next()
			if err != nil {
				return nil, err
			}
			if t.kind == word {
				d.Args = append(d.Args, t.text)
				continue
			}
			switch t.kind {
			case end:
				return nil, bad(d, "the file ends within it: a \";\" is missing")
			case closes:
				return nil, bad(d, "a \"}\" stands within it (line %d): a \";\" is missing", t.line)
			case opens:
				d.Has = true
				if strings.HasSuffix(d.Name, "_by_lua_block") {
					d.Raw = true
					if err := l.skip(d); err != nil {
						return nil, err
					}
					break
				}
				if depth >= depthMost {
					return nil, bad(d, "more than %d blocks within one another", depthMost)
				}
				if d.Block, err = r.block(l, depth+1, d); err != nil {
					return nil, err
				}
			}
			break
		}
		if d.Name == "include" && !d.Has {
			if err := r.include(d); err != nil {
				return nil, err
			}
		}
		out = append(out, d)
	}
}

// plainIncludes are files that come with nginx and hold nothing that tells where requests go.
var plainIncludes = map[string]bool{"mime.types": true, "fastcgi_params": true, "fastcgi.conf": true, "uwsgi_params": true, "scgi_params": true,
	"koi-utf": true, "koi-win": true, "win-utf": true}

// include reads what an include directive names. A pattern may match nothing; a name must be there, but for the files
// that come with nginx.
func (r *reader) include(d *Directive) error {
	if len(d.Args) != 1 {
		return bad(d, "takes one name")
	}
	name := d.Args[0]
	if !filepath.IsAbs(name) {
		name = filepath.Join(r.dir, name)
	}
	names := []string{name}
	if strings.ContainsAny(name, "*?[") {
		var err error
		if names, err = r.files.Glob(name); err != nil {
			return bad(d, "%v", err)
		}
	} else if plainIncludes[filepath.Base(name)] {
		if _, err := r.files.Read(name); err != nil {
			return nil
		}
	}
	for _, n := range names {
		in, err := r.file(n, d)
		if err != nil {
			return err
		}
		d.Block = append(d.Block, in...)
	}
	return nil
}

type tokenKind uint8

const (
	word tokenKind = iota
	opens
	closes
	semicolon
	end
)

type token struct {
	kind tokenKind
	text string
	line int
}

type lexer struct {
	file, text string
	at, line   int
}

func (l *lexer) fault(line int, format string, args ...any) error {
	return &Bad{fmt.Sprintf("%s:%d", l.file, line), fmt.Sprintf(format, args...)}
}

// next reads one token: a word, quoted or not, or one of ; { }.
func (l *lexer) next() (token, error) {
	for l.at < len(l.text) {
		switch c := l.text[l.at]; c {
		case '\n':
			l.line++
			l.at++
		case ' ', '\t', '\r':
			l.at++
		case '#':
			if i := strings.IndexByte(l.text[l.at:], '\n'); i >= 0 {
				l.at += i
			} else {
				l.at = len(l.text)
			}
		case '{', '}', ';':
			l.at++
			return token{map[byte]tokenKind{'{': opens, '}': closes, ';': semicolon}[c], string(c), l.line}, nil
		case '"', '\'':
			return l.quoted(c)
		default:
			return l.plain()
		}
	}
	return token{kind: end, line: l.line}, nil
}

// escaped are the letters that a backslash makes something else of; of the others the backslash stays, as regular
// expressions need it.
var escaped = map[byte]byte{'t': '\t', 'r': '\r', 'n': '\n', '"': '"', '\'': '\'', '\\': '\\', ' ': ' '}

func (l *lexer) quoted(q byte) (token, error) {
	t := token{line: l.line}
	var b strings.Builder
	for l.at++; l.at < len(l.text); l.at++ {
		switch c := l.text[l.at]; {
		case c == q:
			if l.at++; l.at < len(l.text) && !strings.ContainsRune(" \t\r\n;{})", rune(l.text[l.at])) {
				return t, l.fault(l.line, "%q behind a closing quote: put a space between, or the whole word in quotes", l.text[l.at])
			}
			t.text = b.String()
			return t, nil
		case c == '\\' && l.at+1 < len(l.text):
			l.at++
			l.escape(&b)
		default:
			if c == '\n' {
				l.line++
			}
			b.WriteByte(c)
		}
	}
	return t, l.fault(t.line, "a quote that is never closed")
}

// escape takes the character behind a backslash.
func (l *lexer) escape(b *strings.Builder) {
	c := l.text[l.at]
	if e, ok := escaped[c]; ok {
		b.WriteByte(e)
		return
	}
	if c == '\n' {
		l.line++
	}
	b.WriteByte('\\')
	b.WriteByte(c)
}

func (l *lexer) plain() (token, error) {
	t := token{line: l.line}
	var b strings.Builder
	for ; l.at < len(l.text); l.at++ {
		switch c := l.text[l.at]; {
		case c == ' ', c == '\t', c == '\r', c == '\n', c == ';':
			t.text = b.String()
			return t, nil
		case c == '{':
			if !strings.HasSuffix(b.String(), "$") { // ${name} is part of a word
				t.text = b.String()
				return t, nil
			}
			i := strings.IndexByte(l.text[l.at:], '}')
			if i < 0 || strings.ContainsAny(l.text[l.at:l.at+i], " \t\r\n;") {
				return t, l.fault(l.line, "\"${\" without its \"}\"")
			}
			b.WriteString(l.text[l.at : l.at+i+1])
			l.at += i
		case c == '\\' && l.at+1 < len(l.text):
			l.at++
			l.escape(&b)
		default:
			b.WriteByte(c)
		}
	}
	t.text = b.String()
	return t, nil
}

// skip passes over a block of program text: braces are counted, but for those in quotes and comments (--).
func (l *lexer) skip(d *Directive) error {
	depth := 1
	for ; l.at < len(l.text); l.at++ {
		switch c := l.text[l.at]; c {
		case '\n':
			l.line++
		case '{':
			depth++
		case '}':
			if depth--; depth == 0 {
				l.at++
				return nil
			}
		case '"', '\'':
			for l.at++; l.at < len(l.text) && l.text[l.at] != c && l.text[l.at] != '\n'; l.at++ {
				if l.text[l.at] == '\\' {
					l.at++
				}
			}
			if l.at < len(l.text) && l.text[l.at] == '\n' {
				l.line++
			}
		case '-':
			if strings.HasPrefix(l.text[l.at:], "--") {
				if i := strings.IndexByte(l.text[l.at:], '\n'); i >= 0 {
					l.at += i - 1
				} else {
					l.at = len(l.text) - 1
				}
			}
		}
	}
	return bad(d, "the file ends within its block: a \"}\" is missing")
}
