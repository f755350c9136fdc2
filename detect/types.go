// Package detect decides who of a fleet's instances is there: it asks them in turn, believes no single accuser, and passes on what
// it hears. It is pure: it has no sockets, no clock, no goroutine and no log. Events go in with the time, actions come out, and the same
// events and seed give the same actions.
//
// It follows SWIM (Das, Gupta, Motivala, 2002: direct and indirect asks, suspicion, news that rides on them) and Lifeguard (Dadgar,
// Phillips, Currey, 2018: own health, suspicion that accusers shorten, the accused is told first). What is its own stands in
// docs/design/0010-fleet.md: starts, being away, links that fail in one direction, pauses, and a death that is no hearsay.
//
// This file has the words, messages, events and actions.
package detect

import "time"

// ID names a process: an instance's name, and the start that tells its processes apart. The later process has the higher start.
type ID struct {
	Name  string
	Start uint64
}

// State is what is said of a process.
type State uint8

// States. Forgotten is no word's: it stands in a Changed alone, for what is not known.
const (
	Alive State = iota
	Away        // it said so: it is back within the word's Until
	Suspect
	Dead
	Left // it said so, and its start never comes back
	Forgotten
)

func (s State) String() string {
	return [...]string{"alive", "away", "suspect", "dead", "left", "forgotten"}[min(s, Forgotten)]
}

// Word is what is said of one process. Only the process itself raises Inc.
type Word struct {
	ID
	Inc   uint32
	State State
	Addr  string        // where it listens, as it says itself
	Until time.Duration // of Away: how long from when the word is told
	By    string        // of Suspect: the name of the accuser
}

// LinkWord is said by To: it does not hear From though others do, or hears it again.
type LinkWord struct {
	From, To string
	Num      uint32 // of words by To about From: the higher one holds
	Deaf     bool
}

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	Ask       Kind = iota // are you there?
	Answer                // yes. Seq is the Ask's; 0: nobody asked, it is a notice
	AskFor                // ask About for me
	AnswerFor             // About has answered me
	CantReach             // About has not answered me, but I am here
	Push                  // by stream: all that I know
	Pull                  // by stream, in answer to a Push: all that I know
)

func (k Kind) String() string {
	return [...]string{"ask", "answer", "ask-for", "answer-for", "cant-reach", "push", "pull", "unknown"}[min(k, Pull+1)]
}

// Message is what instances send each other. The receiver takes unknown kinds for nothing.
type Message struct {
	Kind Kind
	Seq  uint32
	From Word // the sender's own word of itself
	// About is of AskFor, AnswerFor and CantReach the process that is asked for, of Ask whom the sender takes the receiver for (zero: it
	// knows but an address), of Answer who asked.
	About ID
	News  []Word
	Links []LinkWord
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	Begin  EventKind = iota // begin to look for others; after GoAway: back
	Tick                    // nothing but time
	Got                     // Message came from the address From
	Leave                   // this process ends and does not come back
	GoAway                  // this process ends, or stands still, and is back within Until
)

// Event is what a Detect is told.
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
	// Send is Addr, Message: as one datagram. A Pull is not one: it goes back on the stream that its Push came by.
	Send ActionKind = iota
	// Exchange is Addr, Message: a Push by stream. The Pull that comes back is told as Got, with Addr as From. A failure is not told.
	Exchange
	// Changed is Word, Old, Cause: what is known of another process has another state or start. Old is Forgotten for one that was not
	// known; Word.State is Forgotten for one that is no longer.
	Changed
	// CutOff is Is, Cause: from now on this process has to act as one that stands alone, or not any more.
	CutOff
	// Superseded is By: a later process of this name lives. This one takes no part from here on, and serves alone.
	Superseded
	// Renamed is By: this process's own start is another from here on, as a higher one was heard for its name.
	Renamed
	// Sized is N: how many members, this one included, may be there; in doubt the larger number.
	Sized
)

// Action is what a Detect wants done.
type Action struct {
	Kind    ActionKind
	Addr    string
	Message Message
	Word    Word
	Old     State
	Cause   string
	Is      bool
	By      ID
	N       int
}

// LinkState is what is known of the two directions between this process and another: a state of the link and not of the member.
type LinkState uint8

// States of a link. Others hear the member in each of them.
const (
	Sound   LinkState = iota
	Unheard           // this process does not hear it
	Deaf              // it says that it does not hear this process
	Severed           // both
)

func (l LinkState) String() string {
	return [...]string{"sound", "unheard", "deaf", "severed"}[min(l, Severed)]
}

// Config is what a Detect is built from. Zero values have the defaults named here.
type Config struct {
	Name  string // of the instance, the same after a restart
	Start uint64 // of the process: see FirstStart
	Addr  string // where it listens, for others to send to
	Seeds []string
	Seed  uint64 // of its chance

	Every        time.Duration // between two asks; 0: 1s
	AnswerWithin time.Duration // before others are asked to ask; 0: 300ms
	Others       int           // how many of them; 0: 3. Less than 0: none
	// Suspicion is how long one is suspect before it is dead, at the least, with ten members; it grows with the logarithm of their number.
	Suspicion  time.Duration // 0: 5s
	Stretch    int           // how many times longer it is with one accuser; 0: 6
	Accusers   int           // beyond the first, that shorten it to the least; 0: 3
	HealthMost int           // worst score of own health: patience is 1 + score times as long; 0: 4. Less than 0: it is not kept
	// LateTick is how much later than Next a call of Handle shows that this process was stopped; 0: 700ms. Less than 0: pauses are not seen.
	LateTick      time.Duration
	Calm          time.Duration // after a pause nobody is accused for so long; 0: 3s
	CutAfter      time.Duration // without any answer: this process is cut off; 0: 10s
	ExchangeEvery time.Duration // between exchanges by stream, with up to a hundred members; beyond, in proportion; 0: 30s
	DeadMost      time.Duration // between two asks of a dead one at the most; 0: 30s
	ForgetAfter   time.Duration // after its end a process is forgotten; 0: 30m
	SizedFor      time.Duration // a dead one counts for Sized for so long; 0: 2m
	AwayMost      time.Duration // the longest time that one may be away; 0: 10m
	MembersMost   int           // beyond them nobody is taken in; 0: 4096
	LinksMost     int           // link words kept; 0: 1024
	DatagramMost  int           // bytes; 0: 1200
	Envelope      int           // bytes of it that the caller needs itself; 0: 40

	plain bool // SWIM as published, to compare with: deaths are hearsay, the accused is not told first, the dead are not asked again
}

// FirstStart is the start of a process that begins at this wall clock and draws these bits: the only place where a wall clock counts.
func FirstStart(wall time.Time, bits uint32) uint64 {
	return uint64(max(0, wall.UnixMilli()))<<startBits | uint64(bits)&(1<<startBits-1)
}

// startBits are drawn, so that two processes that begin in one millisecond differ.
const startBits = 20
