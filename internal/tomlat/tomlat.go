// Package tomlat reads TOML files strictly and tells at which line each key stands, for errors that name their place.
package tomlat

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Decode reads a text into a value. Unknown keys are errors; every error names the file, the line, the key and the remedy.
// doc is the page that describes the keys.
func Decode(file, doc string, text []byte, into any) (Lines, error) {
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into); err != nil {
		return nil, worded(file, doc, err)
	}
	return Index(text), nil
}

// Lines tells at which line each key of a file stands: "pool.0.boxes.2.address" is 14.
type Lines map[string]int

// newlines holds the offsets of the line ends of a text, in order.
type newlines struct {
	offsets []int
	steps   int // bytes read and offsets compared so far, for the test of growth
}

func newNewlines(text []byte) *newlines {
	n := &newlines{steps: len(text)}
	for offset, b := range text {
		if b == '\n' {
			n.offsets = append(n.offsets, offset)
		}
	}
	return n
}

// line returns the line that an offset lies in, from 1 on. The parser's own Shape counts from the start of the text each
// time, which makes the index of a large file quadratic.
func (n *newlines) line(offset int) int {
	before := sort.Search(len(n.offsets), func(i int) bool {
		n.steps++
		return n.offsets[i] >= offset
	})
	return before + 1
}

// Index reads where the keys stand. What can't be read has been reported by the decoder.
func Index(text []byte) Lines {
	at, _ := index(text)
	return at
}

func index(text []byte) (Lines, *newlines) {
	at := Lines{}
	lines := newNewlines(text)
	var p unstable.Parser
	p.Reset(text)
	count := map[string]int{} // tables of an array so far
	table := ""
	line := func(n *unstable.Node) int { return lines.line(int(n.Raw.Offset)) }
	var value func(path string, n *unstable.Node, near int)
	value = func(path string, n *unstable.Node, near int) {
		at[path] = near
		it := n.Children()
		for i := 0; it.Next(); i++ {
			child := it.Node()
			switch {
			case n.Kind == unstable.InlineTable:
				key, first := keyOf(child.Key())
				if first != nil {
					near = line(first)
				}
				value(path+"."+key, child.Value(), near)
			case n.Kind == unstable.Array:
				if child.Raw.Length > 0 {
					near = line(child)
				}
				value(path+"."+strconv.Itoa(i), child, near)
			}
		}
	}
	for p.NextExpression() {
		e := p.Expression()
		key, first := keyOf(e.Key())
		if first == nil {
			continue
		}
		switch e.Kind {
		case unstable.KeyValue:
			value(join(table, key), e.Value(), line(first))
		case unstable.Table, unstable.ArrayTable:
			// Of the tables around it the last one of each array is meant.
			table = ""
			parts := strings.Split(key, ".")
			for i, part := range parts {
				table = join(table, part)
				if last := i == len(parts)-1; last && e.Kind == unstable.ArrayTable {
					n := count[table]
					count[table]++
					table += "." + strconv.Itoa(n)
				} else if n, ok := count[table]; ok {
					table += "." + strconv.Itoa(n-1)
				}
			}
			at[table] = line(first)
		}
	}
	return at, lines
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}

func keyOf(it unstable.Iterator) (key string, first *unstable.Node) {
	for it.Next() {
		n := *it.Node()
		if first == nil {
			first = &n
		}
		key = join(key, string(n.Data))
	}
	return key, first
}

// Line finds the line of a key, or of the nearest thing around it that the file has.
func (l Lines) Line(path string) int {
	for path != "" {
		if n, ok := l[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexByte(path, '.'), 0)]
	}
	return 1
}

// worded gives a decoder's errors their place and remedy.
func worded(file, doc string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var all []error
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: %s: no such key: take it out, or see %s for its name", file, row, strings.Join(e.Key(), "."), doc))
		}
		return errors.Join(all...)
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, col := dec.Position()
		key := strings.Join(dec.Key(), ".")
		if key != "" {
			key += ": "
		}
		return fmt.Errorf("%s:%d:%d: %s%s", file, row, col, key, strings.TrimPrefix(dec.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", file, err)
}
