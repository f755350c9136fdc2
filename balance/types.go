// Package balance makes the decisions of a load balancer whose nodes share
// nothing: which backend gets a request, when to retry it, and when to reject it.
//
// The caller creates one Balancer per node with New and passes it every event
// of the node, in order, through Handle. Handle appends the actions to carry
// out, in order, to the slice it is given. The package has no clock, no
// goroutine and no I/O. The caller passes the time, and the same events with
// the same seed give the same actions.
//
// The caller has to provide:
//   - events in the order in which they happened. The time should not go back;
//     if it does, the Balancer continues at its latest time.
//   - exactly one Outcome event for each Send action.
//   - a Timer event for each SetTimer action, at its time or soon after.
//   - a new Balancer, with the endpoint list, after a restart of the node.
//
// A Balancer must not be used by two goroutines at once. It ignores events
// with an unknown request, attempt, timer or backend.
package balance

import "time"

// BackendID identifies a backend. It is opaque: neither the zone nor the age follows from it.
type BackendID uint32

// Effect is what happens when a request of a class runs twice.
type Effect uint8

// Effects of a class. The zero value is the strictest.
const (
	Unsafe Effect = iota // must not run twice
	Keyed                // a group of backends drops repeats within Class.Window
	Safe                 // may be repeated freely
)

// Scope is the group of backends that drops repeats of a keyed request.
type Scope uint8

// Scopes of a keyed class. The zero value is the narrowest.
const (
	ScopeCell Scope = iota // backends of the same cell
	ScopeZone              // backends of the same zone
	ScopeAll               // every backend
)

// Class describes one class of requests.
type Class struct {
	Aim        time.Duration // a response within this time earns the full worth
	AimStretch float64       // the aim grows by this multiple of the work of the request
	Deadline   time.Duration // how long the client waits in total, over all its tries
	Effect     Effect
	Scope      Scope         // for Keyed
	Window     time.Duration // for Keyed: how long repeats are dropped
	LateWorth  float64       // fraction of the worth earned after the aim
	Points     float64       // worth of one request
	Stream     bool          // the response is streamed
	Attempts   int           // attempts per request; 0: Limits.MaxAttempts
	IsRemoved  bool          // gets no new requests; only its number is still in use
}

// Tenant describes a tenant and its share.
type Tenant struct {
	QuotaPerSecond float64 // its share in requests a second, over all nodes; 0: no limit
	Share          float64
}

// Limits holds what a node may do.
type Limits struct {
	Cancelling       bool    // Cancel is permitted
	Probing          bool    // Probe is permitted
	Peers            bool    // SendToPeer is permitted
	SecondCopies     bool    // two attempts of one request may be pending at once
	RetryAfter       bool    // clients receive the RetryAfter of a Reject
	MaxAttempts      int     // attempts per request; 0 means 1
	RetriesPerSecond float64 // added to the retry budget each second, without regard to traffic; 0: none
	MaxRetryAfter    time.Duration
	ConnectTimeout   time.Duration
	IdleClose        time.Duration
	StreamsPerConn   int
	MaxOpen          int           // open requests; more do not reach the node
	CPUPerSecond     time.Duration // CPU time that the node may use in a second; 0: unknown
	CPUPerRequest    time.Duration // and for a request with its outcomes; 0: no limit
}

// Prices are points that are deducted from the result, each for one full unit.
type Prices struct {
	CrossZone float64 // an attempt in another zone, per first attempt
	Waste     float64 // backend work without a response to the client, per work offered
	LateFail  float64 // worth that fails after its aim, per worth offered
	Probe     float64 // one probe per first attempt
	Peer      float64 // one full message per first attempt
	Handshake float64 // one new connection per first attempt

	Connection float64 // open connections, per 100 x backends
	Discovery  float64 // entries of endpoint lists, per 100 x first attempts
}

// Rules holds the parameters of the rules that a node follows.
type Rules struct {
	GraceToAnswer time.Duration // a final answer is valid until this long after the deadline
	DrainGrace    time.Duration // no new attempt to a backend from this long after an update that drains it
	AskEvery      time.Duration // how long a list may be used without a subscription
	ColdShare     float64       // a backend starts with at least this part of its capacity
	WarmWithin    time.Duration // and has all of it within this time
	FallMultiple  float64       // a load of more than this multiple of its capacity at the time ...
	OverloadFor   time.Duration // ... for this time takes a cold backend down
}

// ReportSource is where backends report their load.
type ReportSource uint8

// Sources of load reports.
const (
	NoReports     ReportSource = iota
	ProbeReports               // in probe results only
	InlineReports              // in outcomes and probe results
)

// WeightKind is the meaning of Member.Weight.
type WeightKind uint8

// Kinds of weight.
const (
	NoWeights      WeightKind = iota
	NominalWeights            // registered size
	RoughWeights              // approximate size
	LiveWeights               // size over load, somewhat stale
	// DeclaredWeights are shares that an operator sets. Each backend gets requests in proportion, unless its queue is
	// longer than those of the others by more than maxLeadRequests.
	DeclaredWeights
)

// Goal holds the weights of the parts of the overall result.
type Goal struct {
	Whole, WorstClass, WorstTenant, WorstWindow float64
}

// Config is the configuration of a node. Zero values are safe defaults:
// nothing is permitted, and every class is Unsafe.
type Config struct {
	Index              int // index of this instance among its peers
	Instances          int // number of instances; 0 means 1
	Zone               int // zone of this instance
	Classes            []Class
	Tenants            []Tenant
	OverShareWorth     float64 // factor on the worth of a request beyond its tenant's share
	WorthByWork        bool    // Class.Points are per unit of work, not per request
	WarmKeys           bool    // a backend needs less work for a key that it has served recently
	ClientsMarkRepeats bool    // clients mark requests that they repeat
	AskDiscovery       bool    // the endpoint list arrives only after Watch or Fetch
	Reports            ReportSource
	Weights            WeightKind
	Limits             Limits
	Prices             Prices
	Rules              Rules
	Goal               Goal
	Columns            LoadField     // values in load reports
	PassesDeadline     bool          // backends pass the remaining time to the next tier
	Stage              int           // the tier that this node sends requests to
	Tick               time.Duration // least time between two rounds of events
}

// Phase is the state of a backend in the list.
type Phase uint8

// Phases of a backend.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Member is one entry of the endpoint list.
type Member struct {
	Backend      BackendID
	Zone         int
	Cell         int
	Kind         int           // machine kind
	Weight       float64       // see Config.Weights
	Launched     time.Duration // time of the last start; 0: long ago
	Phase        Phase
	Name         uint32 // the same at every node, in the lower 24 bits; 0: use Backend
	IsReinstated bool   // operators have put it back in service, at Launched
}

// Status is the result of an attempt or a probe.
type Status uint8

// Statuses of attempts and probes.
const (
	Delivered  Status = iota // complete response
	AppError                 // error response
	Shed                     // rejected by the backend, which did not run it
	Expired                  // time-out
	DialFailed               // no connection
	Dropped                  // the connection broke
	Cancelled                // cancelled by the node or the client
	Unused                   // did not run, and shows nothing about the backend
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s Status) NeverRan() bool {
	return s == Shed || s == DialFailed || s == Unused
}

// Load is a load report. Has is the set of values in it.
type Load struct {
	Has     LoadField
	Active  float64 // requests in progress or queued
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

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events, with the Event fields each one uses.
const (
	MembersCached    EventKind = iota // Members: the cached endpoint list, maybe out of date
	MembersAll                        // Members: the full list
	MembersChanged                    // Members: changed entries only
	DiscoveryFailed                   // a Watch or Fetch failed, or the subscription ended
	RequestArrived                    // Request, Class, Tenant, Key, HasKey, Budget, Hint, IsRepeat, Write, IsBodyArriving
	StreamStarted                     // Request, Attempt, Backend, Elapsed: the client gets the response of this attempt
	ClientGone                        // Request
	Timer                             // TimerID
	Probed                            // Backend, Elapsed, Status, Load
	Outcome                           // Request, Attempt, Backend, Elapsed, Status, RequestEnded, Load
	PeerMessage                       // Peer, Payload
	InstancesChanged                  // Instances
	SettingsChanged                   // Settings: the new Config; its Index, Instances and Zone are ignored
	StreamAnswered                    // Request, Attempt, Backend: the response has started, and may last
	BudgetChanged                     // Request, Budget: the remaining time from now on
	ShortageChanged                   // IsShort: the process of this node is short of processor time, or no longer
	BodySent                          // Request, Attempt, Backend: the last byte of the body has been written to the backend
)

// Event is one event at a node. The Balancer does not keep its slices.
type Event struct {
	Kind         EventKind
	Request      string
	Class        int
	Tenant       int
	Key          uint64
	HasKey       bool
	Budget       time.Duration // time left before the client abandons this try
	Hint         time.Duration // expected work; 0: unknown
	IsRepeat     bool          // the client has marked the request as repeated
	Write        bool
	Attempt      int
	Backend      BackendID
	Elapsed      time.Duration // time since the attempt or probe was sent
	Status       Status
	RequestEnded bool // the request has ended, by this outcome or earlier
	Load         Load
	TimerID      uint64
	Peer         int
	Payload      []byte
	Members      []Member

	IsShort bool

	// IsBodyArriving means that the client is still sending the body. Each attempt of the request is followed by BodySent, or by its outcome.
	IsBodyArriving bool

	Instances int // current number of instances, with this one

	Settings *Config // the Balancer keeps it
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions, with the Action fields each one uses.
const (
	Send       ActionKind = iota // Request, Backend, AttemptTimeout, WriteTimeout: start the next attempt
	Cancel                       // Request, Attempt: stop waiting for an attempt
	Reject                       // Request, RetryAfter: final answer; the client may safely repeat the request
	Fail                         // Request: final answer; a repeat may run the request twice
	Probe                        // Backend
	SetTimer                     // In, TimerID
	Watch                        // subscribe to updates of the endpoint list
	Unwatch                      // end the subscription
	Fetch                        // request the full endpoint list once
	SendToPeer                   // Peer (or AllPeers), Payload: send a message
	CloseIdle                    // Backend: close idle connections
	Log                          // Text
)

// AllPeers is the Action.Peer of a message to all peers.
const AllPeers = -1

// Action is one action for the node to carry out. The attempts of a request are
// numbered 0, 1, 2 ... in the order of its Send actions.
type Action struct {
	Kind           ActionKind
	Request        string
	Backend        BackendID
	Attempt        int
	AttemptTimeout time.Duration // time-out of the attempt; 0: until the client leaves
	WriteTimeout   time.Duration // no write starts later than this, and the attempt ends as Unused; 0: no limit
	RetryAfter     time.Duration // retry-after for the client; 0: none
	In             time.Duration
	TimerID        uint64
	Peer           int
	Payload        []byte
	Text           string
}
