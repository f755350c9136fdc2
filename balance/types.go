// Package balance holds the decisions of an HTTP load balancer that runs as a
// small bank of proxies sharing nothing.
//
// A node owner builds one Balancer per node with New and feeds it every event
// the node sees, in order, through Handle. Handle appends the actions to carry
// out, in order, to the slice it is given. The package has no clock, no
// goroutine and no I/O: time is whatever the caller passes, and the same
// events with the same seed give the same actions.
//
// What the caller owes: events in the order they happened, with a time that
// never goes back (one that does is held); exactly one Outcome event per Send action; a Timer event for
// each SetTimer action, at or soon after its time; and a fresh Balancer, told
// the list of backends again, after a restart of the node. A Balancer must not
// be used from two goroutines at once. Events that name a request, attempt,
// timer or backend that the Balancer does not know are ignored.
package balance

import "time"

// BackendID names a backend. It is opaque: it tells nothing of zone or age.
type BackendID uint32

// Effect says what may happen when a request of a class runs twice.
type Effect uint8

// Effects of a class. The zero value is the strictest.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // a group of backends drops repeats for a while
	Safe                 // may be repeated freely
)

// Scope is the group of backends that drops the repeats of a keyed request.
type Scope uint8

// Scopes of a keyed class. The zero value is the narrowest.
const (
	ScopeCell Scope = iota // backends of the same cell
	ScopeZone              // backends of the same zone
	ScopeAll               // every backend
)

// Class describes one class of requests.
type Class struct {
	Aim        time.Duration // an answer within this earns full worth
	AimStretch float64       // the aim grows by this multiple of the request's own work
	Deadline   time.Duration // what the client waits in total, over all its tries
	Effect     Effect
	Scope      Scope         // for Keyed
	Window     time.Duration // for Keyed: how long repeats are dropped
	LateWorth  float64       // fraction of the worth earned after the aim
	Points     float64       // worth of one request
	Stream     bool          // the answer is streamed
	Attempts   int           // attempts per request; 0: Limits.MaxAttempts
	Gone       bool          // no new request is of it: only its number is still in use
}

// Tenant describes one tenant and its share.
type Tenant struct {
	QuotaPerSecond float64 // requests a second over all nodes that lie within its share
	Share          float64
}

// Limits says what the site permits.
type Limits struct {
	Cancelling     bool    // Cancel is permitted
	Probing        bool    // Probe is permitted
	Peers          bool    // Tell is permitted
	SecondCopies   bool    // two attempts of one request may be pending at once
	RetryAfter     bool    // clients receive the advice of a Refuse
	MaxAttempts    int     // attempts per request; 0 means 1
	FreeRetries    float64 // attempts a second that may be sent again whatever was sent before; 0: none
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	IdleClose      time.Duration
	StreamsPerConn int
	MaxOpen        int           // requests open at once; more never reach the node
	CPUPerSecond   time.Duration // CPU that the node may use in a second; 0: not told
	CPUPerRequest  time.Duration // and for a request with its outcomes; 0: no such limit
}

// Prices are points taken off the result, each for one full unit.
type Prices struct {
	CrossZone float64 // an attempt crossing zones, per first try
	Waste     float64 // backend work without an answer, per work offered
	LateFail  float64 // worth ended unserved after its aim, per worth offered
	Probe     float64 // one probe per first try
	Peer      float64 // one full message per first try
	Handshake float64 // one new connection per first try

	Connection float64 // open connections over 100 x backends
	Discovery  float64 // list lines over 100 x first tries
}

// Rules holds the figures of the rules a node keeps on its own.
type Rules struct {
	GraceToAnswer time.Duration // final answers are valid this long past the deadline
	DrainGrace    time.Duration // nothing new to a backend this long after news of its drain
	AskEvery      time.Duration // how long a list may be held without a subscription
	ColdShare     float64       // a backend starts with at least this share of its capacity
	WarmWithin    time.Duration // and is warm within this time
	FallMultiple  float64       // more than this multiple of what it can do now ...
	OverloadFor   time.Duration // ... for this time brings a cold backend down
}

// ReportSource says where backends report their load.
type ReportSource uint8

// Sources of load reports.
const (
	NoReports     ReportSource = iota
	ProbeReports               // in probe results only
	InlineReports              // in outcomes and probe results
)

// WeightKind says what Member.Weight means.
type WeightKind uint8

// Kinds of weight.
const (
	NoWeights      WeightKind = iota
	NominalWeights            // registered size
	RoughWeights              // approximate size
	LiveWeights               // size over load, somewhat stale
	// DeclaredWeights are shares that an operator asks for: each backend is to get requests in proportion, for as
	// long as its queue is not leadMost places longer than the others'.
	DeclaredWeights
)

// Goal holds the weights of the parts of the result.
type Goal struct {
	Whole, WorstClass, WorstTenant, WorstWindow float64
}

// Config is what a node is told at its start. Zero values are safe defaults:
// no permission is assumed, and every effect is taken as Unsafe.
type Config struct {
	Index          int // index of this instance among its peers
	Instances      int // how many instances there are; 0 means 1
	Zone           int // zone of this instance
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // worth of a request beyond its tenant's share
	WorthByWork    bool    // worth counts for each unit of work
	WarmKeys       bool    // a backend that met a key lately needs less work for it
	ClientsMark    bool    // clients mark their repeats
	AskDiscovery   bool    // the list is told only after Watch or Fetch
	Reports        ReportSource
	Weights        WeightKind
	Limits         Limits
	Prices         Prices
	Rules          Rules
	Goal           Goal
	Columns        LoadField     // values that load reports carry
	PassesDeadline bool          // backends forward the time left when they call the next tier
	Stage          int           // the tier that this node sends to
	Tick           time.Duration // least gap between two rounds of events
}

// Phase is the state of a backend in the list.
type Phase uint8

// Phases of a backend.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Member is one line of a list of backends.
type Member struct {
	Backend  BackendID
	Zone     int
	Cell     int
	Kind     int           // machine kind
	Weight   float64       // meaning by Config.Weights
	Launched time.Duration // clock time of the last start; 0: long ago
	Phase    Phase
	Name     uint32 // the same at every node, by the lower 24 bits; 0: Backend is
	Returned bool   // operators have put it back, at Launched
}

// Status is how an attempt or a probe ended.
type Status uint8

// Statuses of attempts and probes.
const (
	Delivered Status = iota
	AppError
	Shed
	Expired
	DialFailed
	Dropped
	Revoked
	Unused
)

// NeverRan tells whether the status proves that the attempt never ran.
func (s Status) NeverRan() bool {
	return s == Shed || s == DialFailed || s == Unused
}

// Load is a load report. Has tells which values it carries.
type Load struct {
	Has     LoadField
	Active  float64 // requests held
	Waiting float64 // requests queued
	CPU     float64 // fraction of CPU in use
	AvgMs   float64 // recent service time in milliseconds
	RPS     float64 // requests served a second
	ErrRPS  float64 // errors a second
}

// LoadField is a set of the values in a Load.
type LoadField uint8

// Values of a load report.
const (
	HasActive LoadField = 1 << iota
	HasWaiting
	HasCPU
	HasAvgMs
	HasRPS
	HasErrRPS
)

// EventKind says what happened.
type EventKind uint8

// Kinds of events, with the Event fields each one uses.
const (
	MembersRemembered EventKind = iota // Members: the list as last held, maybe stale
	MembersAll                         // Members: the full list
	MembersChanged                     // Members: changed lines only
	MembersRefused                     // a Watch or Fetch failed or the subscription broke
	RequestArrived                     // Request, Class, Tenant, Key, HasKey, Budget, Hint, Repeat, Write
	StreamStarted                      // Request, Attempt, Backend, Spent
	ClientGone                         // Request
	Timer                              // Mark
	Probed                             // Backend, Spent, Status, Load
	Outcome                            // Request, Attempt, Backend, Spent, Status, NoMore, Load
	PeerMessage                        // Peer, Payload
	InstancesCounted                   // Instances
	SettingsChanged                    // Settings: what follows on Config, without its Index, Instances and Zone
	StreamAnswered                     // Request, Attempt, Backend: its answer has begun, and may last
	BudgetChanged                      // Request, Budget: what is left of its time from here on
)

// Event is one thing a node saw. Slices in it are not kept by the Balancer.
type Event struct {
	Kind    EventKind
	Request string
	Class   int
	Tenant  int
	Key     uint64
	HasKey  bool
	Budget  time.Duration // time left before the client abandons this try
	Hint    time.Duration // expected work; 0 if not told
	Repeat  bool          // the client marked it as a repeat
	Write   bool
	Attempt int
	Backend BackendID
	Spent   time.Duration // time since the attempt or probe was sent
	Status  Status
	NoMore  bool // the request is over, by this outcome or earlier
	Load    Load
	Mark    uint64
	Peer    int
	Payload []byte
	Members []Member

	Instances int // how many instances there are by now, this one included

	Settings *Config // kept
}

// ActionKind says what to do.
type ActionKind uint8

// Kinds of actions, with the Action fields each one uses.
const (
	Send     ActionKind = iota // Request, Backend, Limit, Within: launch the next attempt
	Cancel                     // Request, Attempt: stop waiting for an attempt
	Refuse                     // Request, RetryIn: final; trying again is harmless
	Fail                       // Request: final; promises nothing
	Probe                      // Backend
	SetTimer                   // In, Mark
	Watch                      // subscribe to changes of the list
	Unwatch                    // end the subscription
	Fetch                      // ask for the whole list once
	Tell                       // Peer (AllPeers for every one), Payload
	Close                      // Backend: shut idle connections
	Log                        // Text
)

// AllPeers as Action.Peer addresses every peer.
const AllPeers = -1

// Action is one thing for the node to carry out. Attempts of a request are
// numbered 0, 1, 2 ... in the order of its Send actions.
type Action struct {
	Kind    ActionKind
	Request string
	Backend BackendID
	Attempt int
	Limit   time.Duration // the attempt's time-out; 0: until the client quits
	Within  time.Duration // a write that would begin later is not made, and the attempt Unused; 0: at any time
	RetryIn time.Duration // advice to the client; 0: none
	In      time.Duration
	Mark    uint64
	Peer    int
	Payload []byte
	Text    string
}
