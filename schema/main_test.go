package schema

import (
	"flag"
	"os"
	"testing"
)

// The same draws every time; -rapid.seed=0 draws others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
