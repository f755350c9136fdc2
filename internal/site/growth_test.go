package site

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// sized returns the text of an installation with so many pools, and of each ten times as many routes and a hundred times as
// many tenants.
func sized(pools int) []byte {
	var b strings.Builder
	b.WriteString("[node]\nname = \"n\"\ntenant = \"X-Tenant\"\n\n[[listener]]\nname = \"web\"\naddress = \":8080\"\n\n")
	for i := range pools {
		fmt.Fprintf(&b, "[[pool]]\nname = \"p%d\"\nboxes = [{ address = \"10.0.%d.%d:80\" }]\n\n", i, i/250, i%250)
	}
	for i := range 100 * pools {
		fmt.Fprintf(&b, "[[tenant]]\nname = \"t%d\"\nquota = 5.0\n\n", i)
	}
	for i := range pools {
		fmt.Fprintf(&b, "[[server]]\nnames = [\"s%d.example\"]\n", i)
		for j := range 10 {
			fmt.Fprintf(&b, "[[server.location]]\npath = \"/r%d/\"\n[[server.location.route]]\npool = \"p%d\"\n", j, i)
		}
	}
	return []byte(b.String())
}

// allocated returns the bytes that reading a file takes in all.
func allocated(t *testing.T, text []byte) float64 {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := Parse("site.toml", text); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

// What reading a file takes grows with the file.
func TestReadingGrowsWithTheFile(t *testing.T) {
	small, large := allocated(t, sized(4)), allocated(t, sized(32))
	if growth := large / small; growth > 12 {
		t.Errorf("8 times the file takes %.1f times the bytes (%.0f, then %.0f)", growth, small, large)
	}
}
