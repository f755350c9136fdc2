// Package shed rejects requests by plan when the whole cluster is overloaded. Lower plans are shed first.
//
// Each instance counts requests and their outcomes in a Tally. Once in each Config.Interval, Tick turns the counts into a Sum of bounded
// size. The caller sends the Sum to the other instances, which pass it to Receive. Every instance computes the same Level from the same
// sums, so there is no leader and no vote. A Level is immutable. The caller asks Admit before a request goes to the decision module,
// and never after an attempt has been written.
//
// The package is pure: it has no clock, goroutine, lock or log. Times are durations since an arbitrary start of the instance's own
// clock, and randomness comes from the draws that the caller passes in. A Shed is for one goroutine. Any number of goroutines may
// write to a Tally or read a Level.
//
// Usage:
//
//	s := shed.New(cfg)
//	level.Store(s.Level())                                    // an atomic.Pointer[shed.Level]
//	// each request:
//	v := level.Load().Admit(now, ask, draw)                   // draw: 64 random bits, or a hash of the request and the seed
//	tally := s.Tally(worker)
//	if !v.OK { tally.Note(v.Mark, shed.Rejected, 0); ... reject the request, retry-after v.RetryAfter }
//	tally.Note(v.Mark, shed.Admitted, 0)
//	...                                                       // when the request ends:
//	tally.Note(v.Mark, shed.Served, took)                     // or Late, Refused, Failed
//	// once in each Config.Interval, on one goroutine:
//	s.SetMembers(now, names, cutOff)                             // when the membership changes
//	s.Receive(now, from, sum)                                    // for each received sum
//	if l, changed := s.Tick(now); changed { level.Store(l); log l.Cause }
//	send(shed.AppendSum(nil, s.Sum()))
package shed

import "time"

// Bounds of the state and of a Sum.
const (
	MaxPlans     = 8    // plans; each has 32 priorities, so that a Priority is one byte
	MaxPools     = 12   // pools that are counted; requests to other pools are never shed
	MaxSumBytes  = 1000 // bytes of an encoded Sum: a datagram of 1,200 bytes holds the Sum and its packet header
	MaxNameBytes = 24   // bytes of a pool or zone name in a Sum; a longer name is sent as its hash and its last 15 bytes
)

// Plan is one service tier. Config.Plans lists plans from the last to be shed to the first to be shed.
type Plan struct {
	Name     string
	Share    float64 // part of the pool's current capacity that is reserved for this plan while the plan has the demand, 0 to 1
	MinPart  float64 // this part of the plan's demand is never shed, as long as it takes no more than this part of the capacity
	NoBorrow bool    // beyond Share the plan gets only the capacity that no borrowing plan uses
}

// Class is the operator's setting for a kind of request. Higher worth goes before lower worth. At the same worth, unsafe goes before
// safe.
type Class struct {
	Worth  float64
	Unsafe bool
}

// Config configures one instance. All instances should have the same plans. The sum of an instance with other plans counts towards
// detecting an overload, but not towards deciding which requests are shed.
type Config struct {
	Name    string
	Start   uint64 // start of this process: a later process of the same name has a higher value
	Zone    string
	Plans   []Plan  // by rank, highest first; at most MaxPlans; without plans nothing is ever shed
	Classes []Class // the classes that are sorted into up to 4 grades
	Pools   []string
	Tenants int // number of tenants that SetTenantUse accepts

	Interval time.Duration // time between Ticks; 0: DefaultInterval
	Shards   int           // number of Tallies; 0: 1
}

// Ask describes a request before it goes to the decision module.
type Ask struct {
	Rank    int     // index in Config.Plans; an index out of range counts as the lowest plan
	Worth   float64 // worth of the request's class
	Unsafe  bool    // the effect of the class is unsafe or keyed
	Session bool    // the request belongs to an active session that package share confirms; the client's word is not enough
	Repeat  bool    // the client or package share reports that the request was sent before
	Tenant  int     // index for SetTenantUse; -1: unknown tenant
	Pool    string
}

// Protected reports whether the request is a step of an order that has begun. Such a step is never shed.
func (a Ask) Protected() bool { return a.Session && a.Unsafe }

// Priority orders requests: 0 is shed last. From the highest bits it holds the rank, whether the tenant is over its share, the class
// grade, whether there is no session, and whether the request is a repeat.
type Priority uint8

// Rank returns the plan's index in Config.Plans.
func (p Priority) Rank() int { return int(p >> 5) }

// Mark identifies the counter of a request. The zero value is counted nowhere. A Mark of another Shed does no harm.
type Mark struct {
	pool      uint8 // index in Config.Pools plus one; 0: none
	priority  Priority
	protected bool // a step of an order: counted separately, because such steps get capacity before all other requests
}

// Verdict is the result of Admit.
type Verdict struct {
	OK      bool
	RetryIn time.Duration // retry-after of a rejected request, spread by the draw
	Mark    Mark
}

// Outcome is the outcome of a request. Each request is noted once as Rejected, or as Admitted and then, when it ends, as one of the others.
type Outcome uint8

const (
	Rejected Outcome = iota // shed by this instance
	Admitted                // passed to the decision module
	Served                  // answered in time
	Late                    // answered after its aim or its deadline
	Refused                 // rejected by the decision module for lack of capacity
	Failed                  // any other end, which gives no information on capacity
	outcomes
)

// Cell holds the rates of one priority at one instance, in requests a second.
type Cell struct {
	Priority                         Priority
	Asked, Admitted, Served, Refused float64
}

// PoolSum is one instance's load at one pool.
type PoolSum struct {
	Pool      string
	Protected float64       // protected requests a second: in no cell, and never shed
	Cells     []Cell        // the nonzero cells by priority; adjacent cells are merged when there are too many
	Latency   time.Duration // mean time of the requests that were served
	Capacity  float64       // capacity available to this instance, requests a second; 0: no limit seen
}

// Sum is the load report that one instance sends to the others. AppendSum encodes it in at most MaxSumBytes bytes.
type Sum struct {
	Start       uint64        // start of the sender's process
	At          time.Duration // creation time on the sender's clock; it orders sums and shows how late a sum arrived relative to the others
	Zone        string
	Plans       uint64 // hash of the sender's plans
	OwnViewOnly bool   // the sender uses only its own view: it has just started, or is cut off
	Pools       []PoolSum
}
