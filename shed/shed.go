package shed

import "time"

// Shed is one instance's part. It is for one goroutine, but for its Tally.
type Shed struct {
	cfg   Config
	level *Level
}

func New(cfg Config) *Shed { return &Shed{cfg: cfg, level: &Level{}} }

// Next is a Shed by another file: what is known of pools and members by name goes over, the counters begin anew.
func (s *Shed) Next(cfg Config) *Shed { return New(cfg) }

// Tally of a worker: any number, taken modulo Config.Shards.
func (s *Shed) Tally(worker int) *Tally { return &Tally{} }

// Note counts at the first Tally.
func (s *Shed) Note(now time.Duration, m Mark, o Outcome, took time.Duration) {}

// Hear takes in what another member said.
func (s *Shed) Hear(now time.Duration, from string, sum Sum) {}

// Members says who is there by name, this instance too, and whether this instance is cut off.
func (s *Shed) Members(now time.Duration, names []string, cutOff bool) {}

// Use says what a tenant has used of its share: 1 is all of it.
func (s *Shed) Use(tenant int, ofShare float64) {}

// Tick makes the instance's own sum and the level.
func (s *Shed) Tick(now time.Duration) (l *Level, changed bool) { return s.level, false }

// Sum is what to tell the others, as of the last Tick.
func (s *Shed) Sum(now time.Duration) Sum { return Sum{} }

// Level as of the last Tick.
func (s *Shed) Level() *Level { return s.level }

// Tally counts.
type Tally struct{}

func (t *Tally) Note(m Mark, o Outcome, took time.Duration) {}

// Level is who goes in. It never changes.
type Level struct {
	Pool     string   // the pool that is worst off; empty: nobody is shed
	Priority Priority // what is above goes, Part of it goes, what is below does not (but its plan's guaranteed part)
	Part     float64
	Alone    bool
	Cause    string // for the log
}

// Open tells that nobody is shed.
func (l *Level) Open() bool { return l.Pool == "" }

// Admit is asked once, before the decision module.
func (l *Level) Admit(now time.Duration, a Ask, draw uint64) Verdict { return Verdict{OK: true} }

// AppendSum words a sum in at most SumMost bytes.
func AppendSum(dst []byte, s Sum) []byte { return dst }

// ParseSum reads it.
func ParseSum(b []byte) (Sum, error) { return Sum{}, nil }
