package diff

import (
	"regexp"
	"regexp/syntax"
	"strings"

	"glencart/internal/site"
	"glencart/route"
)

// other stands for any label or path segment that no file names.
const other = "zz9"

// hostsOf are hosts that a server's name stands for.
func hostsOf(name string) []string {
	switch {
	case strings.HasPrefix(name, "~"):
		if s, ok := sample(name[1:], true); ok {
			return []string{strings.ToLower(s)}
		}
		return nil
	case strings.HasPrefix(name, "*."):
		return []string{other + name[1:]}
	case strings.HasPrefix(name, "."):
		return []string{name[1:], other + name}
	case strings.HasSuffix(name, ".*"):
		return []string{strings.TrimSuffix(name, "*") + other}
	}
	return []string{strings.ToLower(name)}
}

// pathsOf are paths that show where the borders of locations are: each one's own, one below it and one beside it, what each
// regular expression matches, and that below each of the others too: which of the two counts is a border as well.
func pathsOf(list []site.Location) []string {
	paths, tails := []string{"/"}, []string(nil)
	var walk func([]site.Location)
	walk = func(list []site.Location) {
		for i := range list {
			l := &list[i]
			switch l.Match {
			case "regex", "regex-fold":
				if s, ok := sample(l.Path, false); ok {
					paths = append(paths, s)
					tails = append(tails, strings.TrimPrefix(s, "/"+other))
				}
			case "exact":
				paths = append(paths, l.Path)
			default:
				paths = append(paths, l.Path, l.Path+other, strings.TrimSuffix(l.Path, "/")+"/"+other)
			}
			walk(l.Locations)
		}
	}
	walk(list)
	for _, p := range paths {
		for _, t := range tails {
			paths = append(paths, strings.TrimSuffix(p, "/")+t)
		}
	}
	return paths
}

// sample is a text that a regular expression matches: the shortest of its first branches; false where that can't be found.
func sample(expr string, host bool) (string, bool) {
	re, err := syntax.Parse(expr, syntax.Perl)
	if err != nil {
		return "", false
	}
	var b strings.Builder
	write(&b, re.Simplify())
	text := b.String()
	if !host && !strings.HasPrefix(text, "/") {
		text = "/" + other + "/" + text // it may stand anywhere in a path
	}
	if !host {
		if text, err = route.Normalize(route.Escape(text), true); err != nil {
			return "", false
		}
	}
	ok, err := regexp.MatchString(expr, text)
	return text, err == nil && ok && text != ""
}

// write writes a text that re matches.
func write(b *strings.Builder, re *syntax.Regexp) {
	switch re.Op {
	case syntax.OpLiteral:
		b.WriteString(string(re.Rune))
	case syntax.OpCharClass:
		for i := 0; i+1 < len(re.Rune); i += 2 { // a letter or digit, if there is one
			for r := max(re.Rune[i], '0'); r <= min(re.Rune[i+1], 'z'); r++ {
				if r >= 'a' || r <= '9' || r >= 'A' && r <= 'Z' {
					b.WriteRune(r)
					return
				}
			}
		}
		if len(re.Rune) > 0 {
			b.WriteRune(re.Rune[0])
		}
	case syntax.OpAnyChar, syntax.OpAnyCharNotNL:
		b.WriteByte('z')
	case syntax.OpPlus, syntax.OpCapture:
		write(b, re.Sub[0])
	case syntax.OpAlternate:
		write(b, re.Sub[0])
	case syntax.OpRepeat:
		for range re.Min {
			write(b, re.Sub[0])
		}
	case syntax.OpConcat:
		for _, sub := range re.Sub {
			write(b, sub)
		}
	}
}
