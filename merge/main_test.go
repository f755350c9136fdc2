package merge

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run makes the same draws. -rapid.seed=0 makes others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
