package share

import (
	"flag"
	"os"
	"testing"
	"time"
)

// Larger fleets and the complete tables of the design note: go test ./share -run 'Fleet|Calls' -v -campaign 5
var campaign = flag.Int("campaign", 0, "seeds for each cell of the tables of the design note; 0: a small part of it")

// TestMain fixes the seed, so that each run draws the same values; -rapid.seed=0 draws others.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// day is a wall clock for tests: long after the epoch, at the start of a window of ten seconds.
const day = 20_000 * 24 * time.Hour

// at returns an instant some time after both clocks started.
func at(d time.Duration) Now { return Now{Own: time.Hour + d, Wall: day + d} }
