package balance

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// New staff read this file as a whole, so its length and width are limited by contract.
func TestModuleSizeIsLimited(t *testing.T) {
	f, err := os.Open("balance.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := 0
	for in := bufio.NewScanner(f); in.Scan(); {
		text := strings.ReplaceAll(in.Text(), "\t", "    ")
		if n := utf8.RuneCountInString(text); n > 110 {
			t.Errorf("%d characters: %s", n, text)
		}
		if strings.TrimSpace(text) != "" {
			lines++
		}
	}
	if lines > 850 {
		t.Errorf("%d lines that are not blank, 850 allowed", lines)
	}
}
