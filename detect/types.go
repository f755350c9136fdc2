// Package detect decides which instances of a fleet are present. It probes them in turn, confirms a failure with other members,
// and spreads membership updates by gossip. It is pure: it has no sockets, clock, goroutines or log. Events go in with the
// time, actions come out, and the same events and seed give the same actions.
//
// It follows SWIM (Das, Gupta, Motivala, 2002: direct and indirect probes, suspicion, updates piggybacked on messages) and
// Lifeguard (Dadgar, Phillips, Currey, 2018: local health, suspicion that further accusers shorten, the suspect is informed
// first). Its own additions are described in docs/design/0010-fleet.md: start numbers, planned absence, links that fail in one
// direction, pauses, and verification of a reported death.
//
// This file has the updates, messages, events, actions and settings.
package detect

import "time"

// ID identifies a process by the name of its instance and a start number. Of two processes of an instance, the later one has
// the higher start.
type ID struct {
	Name  string
	Start uint64
}

// State is the state of a process in a membership update.
type State uint8

// States. Forgotten never occurs in an update. It occurs only in a Changed action, for a process that is not known.
const (
	Alive State = iota
	Away        // announced by the process, which returns within the update's Until
	Suspect
	Dead
	Left // announced by the process; its start number never returns
	Forgotten
)

func (s State) String() string {
	return [...]string{"alive", "away", "suspect", "dead", "left", "forgotten"}[min(s, Forgotten)]
}

// Update is a membership update about one process. Only the process itself raises its incarnation Inc.
type Update struct {
	ID
	Inc   uint32
	State State
	Addr  string        // the address where it listens, from the process itself
	Until time.Duration // of Away: the rest of the absence, counted from when the update is sent
	By    string        // of Suspect: the name of the accuser
}

// LinkUpdate is an update about one direction of a link. Its author is To, which receives no messages of From although other
// members do, or receives them again.
type LinkUpdate struct {
	From, To string
	Seq      uint32 // sequence number of To's updates about From; the higher one holds
	Deaf     bool
}

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	Ask       Kind = iota // a probe
	Answer                // acknowledges a probe. Seq is that of the Ask; 0: an unsolicited notice
	AskFor                // requests an indirect probe of About
	AnswerFor             // the indirect probe of About was acknowledged
	CantReach             // the indirect probe failed, though the sender of this message is present
	Push                  // by stream: the full state of the sender
	Pull                  // by stream, in reply to a Push: the full state of the sender
)

func (k Kind) String() string {
	return [...]string{"ask", "answer", "ask-for", "answer-for", "cant-reach", "push", "pull", "unknown"}[min(k, Pull+1)]
}

// Message is a message between instances. The receiver ignores a message of an unknown kind.
type Message struct {
	Kind Kind
	Seq  uint32
	From Update // the sender's update about itself
	// About is, in AskFor, AnswerFor and CantReach, the target of the indirect probe. In Ask it is the process that the sender
	// expects at the address; zero: the sender has only an address. In Answer it is the process that sent the probe.
	About   ID
	Updates []Update
	Links   []LinkUpdate
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	Start     EventKind = iota // start discovery; after BeginAway: return
	Tick                       // only time has passed
	Received                   // Message arrived from the address From
	Leave                      // this process ends and does not return
	BeginAway                  // this process ends or stops, and returns within Until
)

// Event is an input of a Detect.
type Event struct {
	Kind    EventKind
	From    string
	Message Message
	Until   time.Duration
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions, with the fields each one uses.
const (
	// Send is Addr, Message: sent as one datagram. A Pull is the exception: it goes back on the stream of its Push.
	Send ActionKind = iota
	// Exchange is Addr, Message: a Push by stream. The caller passes the Pull that comes back as a Received event with Addr as From. It
	// doesn't report a failure.
	Exchange
	// Changed is Update, Old, Cause: another process has a different state or start. Old is Forgotten if the process was not known;
	// Update.State is Forgotten if it is no longer known.
	Changed
	// CutOff is IsCutOff, Cause: from now on this process must act as if it were alone (IsCutOff), or need no longer do so.
	CutOff
	// Superseded is By: a later process of this name is alive. This one takes no further part and serves alone.
	Superseded
	// Renamed is By: this process has a new start number, because it received a higher one for its name.
	Renamed
	// SizeChanged is N: how many members, including this one, may be present. In doubt it is the larger number.
	SizeChanged
)

// Action is an output of a Detect, for the caller to carry out.
type Action struct {
	Kind     ActionKind
	Addr     string
	Message  Message
	Update   Update
	Old      State
	Cause    string
	IsCutOff bool
	By       ID
	N        int
}

// LinkState is the state of the two directions between this process and another. It is a state of the link, not of the member.
type LinkState uint8

// States of a link. In each of them other members receive messages of the member.
const (
	Sound          LinkState = iota
	InboundFailed            // this process receives none of its messages
	OutboundFailed           // it reports that it receives none of this process's messages
	Severed                  // both directions fail
)

func (l LinkState) String() string {
	return [...]string{"sound", "unheard", "deaf", "severed"}[min(l, Severed)]
}

// Config holds the settings of a Detect. Zero values have the defaults named here.
type Config struct {
	Name  string // of the instance, the same after a restart
	Start uint64 // start number of the process: see FirstStart
	Addr  string // the address that others send to
	Seeds []string
	Seed  uint64 // of the random numbers

	ProbeInterval  time.Duration // between two probes; 0: 1s
	ProbeTimeout   time.Duration // before indirect probes; 0: 300ms
	IndirectProbes int           // indirect probes in a round; 0: 3. Less than 0: none
	// MinSuspicionTimeout is the shortest time from suspicion to death, with ten members. It grows with the logarithm of the number of
	// members.
	MinSuspicionTimeout time.Duration // 0: 5s
	MaxSuspicionFactor  int           // how many times longer suspicion lasts with one accuser; 0: 6
	SuspicionAccusers   int           // accusers beyond the first that shorten it to the minimum; 0: 3
	MaxHealthScore      int           // worst local health score: timeouts are 1 + score times as long; 0: 4. Less than 0: no score
	// PauseThreshold is how late after Next a call of Handle shows that this process was stopped; 0: 700ms. Less than 0: pauses
	// are not detected.
	PauseThreshold       time.Duration
	PauseGrace           time.Duration // after a pause this process suspects no one for this time; 0: 3s
	CutOffTimeout        time.Duration // without any acknowledgement: this process is cut off; 0: 10s
	ExchangeInterval     time.Duration // between exchanges by stream with up to a hundred members, in proportion beyond; 0: 30s
	MaxDeadProbeInterval time.Duration // longest time between two probes of a dead member; 0: 30s
	ForgetAfter          time.Duration // a process is forgotten this long after its end; 0: 30m
	SizeGrace            time.Duration // a dead member counts for SizeChanged this long; 0: 2m
	MaxAway              time.Duration // the longest planned absence; 0: 10m
	MaxMembers           int           // further members are not added; 0: 4096
	MaxLinks             int           // stored link updates; 0: 1024
	MaxDatagramBytes     int           // bytes; 0: 1200
	EnvelopeBytes        int           // bytes of a datagram that the caller needs itself; 0: 40

	// isPlainSWIM selects SWIM as published, for comparison: reported deaths are not verified, the suspect is not informed first,
	// and dead members are not probed.
	isPlainSWIM bool
}

// FirstStart returns the start number of a process that begins at this wall-clock time and draws these random bits. Nothing
// else uses the wall clock.
func FirstStart(wall time.Time, bits uint32) uint64 {
	return uint64(max(0, wall.UnixMilli()))<<startBits | uint64(bits)&(1<<startBits-1)
}

// startBits is the number of random bits of a start number. They distinguish two processes that begin in the same millisecond.
const startBits = 20
