package detect

import "time"

// Detect is one process's view of the fleet. New returns one. It is not safe for use by several goroutines.
type Detect struct{ cfg Config }

// New returns a view that knows nobody. It does nothing before Begin.
func New(cfg Config) *Detect { return &Detect{cfg: cfg} }

// Handle takes one event and appends the actions that answer it to out. Times are on any clock that does not go back.
// What is in an action is the caller's to keep.
func (d *Detect) Handle(now time.Duration, ev Event, out []Action) []Action { return out }

// Next is when Tick is due at the latest. A call of Handle that comes LateTick later than that shows that this process was stopped.
func (d *Detect) Next() time.Duration { return 0 }

// Self is this process's own word.
func (d *Detect) Self() Word { return Word{} }

// Members calls f for each process that is not forgotten, this one included, by name, until f returns false.
func (d *Detect) Members(f func(Word, LinkState) bool) {}

// Health is the score of this process's own health: 0 is well, Config.HealthMost is the worst.
func (d *Detect) Health() int { return 0 }

// Via names a member that hears this process and is heard by the one of that name, to pass on what the link between the two does not
// carry. It is false where none is known.
func (d *Detect) Via(name string) (Word, bool) { return Word{}, false }

// Beats tells whether word a holds over word b of the same name. Of two words of which neither beats the other, both say the same.
func Beats(a, b Word) bool { return false }
