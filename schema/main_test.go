package schema

import (
	"flag"
	"os"
	"testing"
)

// The fixed seed makes rapid draw the same values in every run; -rapid.seed=0 draws different ones.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
