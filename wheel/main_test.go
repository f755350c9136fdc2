package wheel

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that each run draws the same values. -rapid.seed=0 draws others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
