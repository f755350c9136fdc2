// Package shed decides who is turned away when the whole cluster has too much: plans by which the lower tiers go first.
//
// Each instance counts what it was asked and what became of it (Tally), makes a bounded Sum of that once in Config.Every (Tick), and tells it
// to the others, who Hear it. From the same sums every instance computes the same Level by itself: there is no leader and no vote. The Level is
// immutable; whoever holds it asks Admit before a request goes to the decision module, and never after an attempt was written.
//
// It is pure: no clock, no goroutine, no lock, no log. Times are the instance's own (time since some start of its own), chance is in the draws
// that the caller gives. Shed is for one goroutine; a Tally may be written by any number, and a Level read by any.
//
// How to use it:
//
//	s := shed.New(cfg)
//	level.Store(s.Level())                                    // an atomic.Pointer[shed.Level]
//	// each request:
//	v := level.Load().Admit(now, ask, draw)                   // draw: 64 random bits, or a hash of the request and the seed
//	tally := s.Tally(worker)
//	if !v.OK { tally.Note(v.Mark, shed.Turned, 0); ... answer at once: come back in v.RetryIn }
//	tally.Note(v.Mark, shed.Let, 0)
//	...                                                       // and as it ends:
//	tally.Note(v.Mark, shed.Served, took)                     // or Late, NoRoom, Failed
//	// each Config.Every, on one goroutine:
//	s.Members(now, names, cutOff)                             // as it changes
//	s.Hear(now, from, sum)                                    // as sums come
//	if l, changed := s.Tick(now); changed { level.Store(l); log l.Cause }
//	send(shed.AppendSum(nil, s.Sum()))
package shed

import "time"

// Bounds of what is kept and told.
const (
	RanksMost = 8    // plans; each has 32 priorities, so that a Priority is one byte
	PoolsMost = 12   // pools that are counted; of the others nobody is shed
	SumMost   = 1000 // bytes of a worded Sum: a datagram of 1,200 bytes holds it and its packet
	NameMost  = 24   // bytes of a pool's or zone's name in a Sum; a longer one is told by its last 15 bytes and its hash
)

// Plan is one tier. Plans stand in Config.Plans from the first that is served to the first that is shed.
type Plan struct {
	Name     string
	Share    float64 // part of what the pool can do now that is kept for this plan while it asks for it, 0 to 1
	Least    float64 // this part of what it asks is never shed, as long as it takes no more than this part of the pool
	NoBorrow bool    // beyond Share it gets only what no plan that borrows wants
}

// Class is what an operator says of a kind of request. Higher worth goes before lower, at the same worth unsafe goes before safe.
type Class struct {
	Worth  float64
	Unsafe bool
}

// Config of an instance. All instances should be told the same plans; sums of one that was told others count for whether there is an
// overload, and not for who is shed.
type Config struct {
	Name    string
	Start   uint64 // of this process: a later one of the same name has a higher one
	Zone    string
	Plans   []Plan  // by rank, first the highest; at most RanksMost; none: nobody is ever shed
	Classes []Class // to grade the worth of requests: up to 4 grades
	Pools   []string
	Tenants int // how many tenants Use may name

	Every  time.Duration // between Ticks; 0: EveryDefault
	Shards int           // of Tally; 0: 1
}

// Ask is what is known of a request before it goes to the decision module.
type Ask struct {
	Rank    int     // index in Config.Plans; beyond it, or negative: the lowest
	Worth   float64 // of its class
	Unsafe  bool    // its class's effect is unsafe or keyed
	Session bool    // a session under way within its time, as share knows it; a client's word is not enough
	Repeat  bool    // the client says, or share knows, that it was sent before
	Tenant  int     // index for Use; -1: unknown
	Pool    string
}

// Protected tells whether this is a step of an order that has begun. It is not shed.
func (a Ask) Protected() bool { return a.Session && a.Unsafe }

// Priority orders requests: 0 is shed last. It is rank, then whether its tenant is beyond its share, class, session, first try.
type Priority uint8

// Rank of the plan, as index in Config.Plans.
func (p Priority) Rank() int { return int(p >> 5) }

// Mark is where a request is counted. Its zero value, and one of another Shed, are counted nowhere that harms.
type Mark struct {
	pool     uint8 // index in Config.Pools, plus one; 0: none
	priority Priority
	kept     bool // protected: counted apart, for it takes room before all others
}

// Verdict is the answer to an Ask.
type Verdict struct {
	OK      bool
	RetryIn time.Duration // when to come back, if not OK: spread by the draw
	Mark    Mark
}

// Outcome of a request. Each request is noted as Turned, or as Let and, when it ends, as one of the others.
type Outcome uint8

const (
	Turned Outcome = iota // shed here
	Let                   // went to the decision module
	Served                // answered in time
	Late                  // answered after its aim or its deadline
	NoRoom                // refused by the decision module for lack of room
	Failed                // any other end: says nothing of room
	outcomes
)

// Cell is what one instance counts of one priority, in requests a second.
type Cell struct {
	Priority                        Priority
	Asked, Admitted, Served, NoRoom float64
}

// PoolSum is one instance's pressure at one pool.
type PoolSum struct {
	Pool  string
	Kept  float64       // steps of orders under way, requests a second: in no cell, and never shed
	Cells []Cell        // by priority, those that are not zero; neighbours are put together where there are too many
	Pace  time.Duration // mean time of those served
	Room  float64       // what this instance can have served now, requests a second; 0: it has seen no bound
}

// Sum is what one instance tells the others. AppendSum words it in at most SumMost bytes.
type Sum struct {
	Start uint64        // of the sender's process
	At    time.Duration // when it was made, on the sender's clock: it orders sums, and tells how late one came beside the others
	Zone  string
	Plans uint64 // hash of the plans that the sender was told
	Alone bool   // the sender goes by its own view: it has just started, or is cut off
	Pools []PoolSum
}
