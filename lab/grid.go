package lab

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"sync"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Cell is one run of a grid.
type Cell struct {
	Scenario *Scenario
	Policy   Policy
	Seed     uint64
}

// Grid lists the cells of scenarios by policies by seeds 1 to n.
func Grid(scenarios []*Scenario, policies []Policy, seeds int) (out []Cell) {
	for _, s := range scenarios {
		for seed := range seeds {
			for _, p := range policies {
				out = append(out, Cell{s, p, uint64(seed + 1)})
			}
		}
	}
	return out
}

// Store keeps the results of a grid as files, so that one that was stopped half way goes on where it was. A result's name
// is the hash of the scenario, the policy, the seed and the code's version.
type Store struct {
	Dir     string // "": nothing is kept
	Version string
}

func (s *Store) path(c Cell) string {
	sc, _ := json.Marshal(c.Scenario) // its exported fields are all that it is
	return filepath.Join(s.Dir, fmt.Sprintf("%s-%s-%d-%016x.json", c.Scenario.Name, c.Policy.Name, c.Seed,
		xxhash.Sum64String(fmt.Sprint(s.Version, " ", string(sc), " ", c.Policy.Name, " ", c.Seed))))
}

func (s *Store) load(c Cell) *Result {
	if s.Dir == "" {
		return nil
	}
	text, err := os.ReadFile(s.path(c))
	if err != nil {
		return nil
	}
	var r Result
	if json.Unmarshal(text, &r) != nil || r.Requests == 0 {
		return nil // half a file: it is made again
	}
	return &r
}

func (s *Store) save(c Cell, r *Result) error {
	if s.Dir == "" {
		return nil
	}
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return err
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	temp := s.path(c) + ".part"
	if err := os.WriteFile(temp, text, 0o644); err != nil {
		return err
	}
	return os.Rename(temp, s.path(c))
}

// Play runs the cells over all cores and returns their results in the cells' order. done is called after each, by one
// goroutine at a time.
func Play(cells []Cell, store Store, done func(c Cell, r *Result, kept bool)) ([]*Result, error) {
	out := make([]*Result, len(cells))
	var mu sync.Mutex
	var first error
	var wg sync.WaitGroup
	next := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				c := cells[i]
				r := store.load(c)
				kept, err := r != nil, error(nil)
				if !kept {
					if r, err = Run(c.Scenario, c.Policy, c.Seed); err == nil {
						err = store.save(c, r)
					}
				}
				mu.Lock()
				if out[i] = r; err != nil && first == nil {
					first = fmt.Errorf("%s under %s, seed %d: %w", c.Scenario.Name, c.Policy.Name, c.Seed, err)
				}
				if err == nil && done != nil {
					done(c, r, kept)
				}
				mu.Unlock()
			}
		})
	}
	for i := range cells {
		next <- i
	}
	close(next)
	wg.Wait()
	return out, first
}

// Row is what a policy came to on a scenario, over all seeds, beside the first policy of the grid.
type Row struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seeds    int     `json:"seeds"`
	Worth    float64 `json:"worth"`
	// Less is the mean of this policy's worth less the first policy's, paired by seed, and Half the half width of its 95%
	// confidence interval (Student's t).
	Less   float64 `json:"less"`
	Half   float64 `json:"half"`
	InAim  float64 `json:"in_aim"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
	P999   float64 `json:"p999_ms"`
	Tries  float64 `json:"attempts_a_request"`
	Probes float64 `json:"probes_a_request"`
	Broken int64   `json:"broken"` // rules, over all seeds
	Fell   int64   `json:"fell"`
	Twice  int64   `json:"twice"`
}

// Sign tells whether a policy is better (+1) or worse (-1) than the first one beyond chance, or neither (0).
func (r *Row) Sign() int {
	switch {
	case r.Less-r.Half > 0:
		return 1
	case r.Less+r.Half < 0:
		return -1
	}
	return 0
}

// Compare sums results up, a row for each scenario and policy, in the order in which they come.
func Compare(results []*Result) (rows []Row) {
	type key struct{ s, p string }
	by := map[key][]*Result{}
	var keys []key
	firstOf := map[string]string{}
	for _, r := range results {
		k := key{r.Scenario, r.Policy}
		if by[k] == nil {
			keys = append(keys, k)
		}
		if firstOf[r.Scenario] == "" {
			firstOf[r.Scenario] = r.Policy
		}
		by[k] = append(by[k], r)
	}
	for _, k := range keys {
		row := Row{Scenario: k.s, Policy: k.p, Seeds: len(by[k])}
		n := float64(row.Seeds)
		var less []float64
		for i, r := range by[k] {
			row.Worth += r.Worth / n
			row.InAim += float64(r.InAim) / float64(max(r.Requests, 1)) / n
			row.P50, row.P99, row.P999 = row.P50+r.P50/n, row.P99+r.P99/n, row.P999+r.P999/n
			row.Tries += float64(r.Attempts) / float64(max(r.Requests, 1)) / n
			row.Probes += float64(r.Probes) / float64(max(r.Requests, 1)) / n
			row.Broken += r.Lost + r.Late + r.Twice + r.RefusedRan + r.AfterDrain + r.Fell
			row.Fell, row.Twice = row.Fell+r.Fell, row.Twice+r.Twice
			if f := by[key{k.s, firstOf[k.s]}]; i < len(f) {
				less = append(less, r.Worth-f[i].Worth)
			}
		}
		row.Less = stat.Mean(less, nil)
		if len(less) > 1 {
			t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(less) - 1)}
			row.Half = t.Quantile(0.975) * stat.StdDev(less, nil) / math.Sqrt(float64(len(less)))
		}
		rows = append(rows, row)
	}
	return rows
}
