package tomlat

import (
	"fmt"
	"strings"
	"testing"
)

// tables returns a text of n tables with three keys each.
func tables(n int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[[tenant]]\nname = \"t%d\"\nshare = 0.5\nlabels = [\"a\", \"b\"]\n\n", i)
	}
	return []byte(b.String())
}

// The work of finding where keys stand grows with the text, but for the logarithm of its lines.
func TestIndexGrowsWithTheText(t *testing.T) {
	_, small := index(tables(500))
	_, large := index(tables(8000))
	if growth := float64(large.steps) / float64(small.steps); growth > 24 {
		t.Errorf("16 times the text takes %.1f times the steps (%d, then %d)", growth, small.steps, large.steps)
	}
}

func TestLinesOfOffsets(t *testing.T) {
	text := []byte("a\n\nbc\nd")
	n := newNewlines(text)
	for offset, want := range []int{1, 1, 2, 3, 3, 3, 4} {
		if got := n.line(offset); got != want {
			t.Errorf("offset %d: line %d, want %d", offset, got, want)
		}
	}
}

func TestIndexNamesTheLinesOfKeys(t *testing.T) {
	at := Index(tables(3))
	for key, want := range map[string]int{"tenant.0": 1, "tenant.0.name": 2, "tenant.1.share": 8, "tenant.2.labels.1": 14} {
		if at[key] != want {
			t.Errorf("%s at line %d, want %d", key, at[key], want)
		}
	}
}
