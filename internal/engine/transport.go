package engine

import (
	"sync/atomic"
	"time"

	"glencart/balance"
)

// Endpoint is one process of a backend: whose it is, the address, and when it started (Unix time; 0: long ago). A new
// backend at a used address shares nothing with the old one.
type Endpoint struct {
	ID       string
	Addr     string
	Launched time.Duration
}

// Transport carries attempts to backends over one protocol.
//
// The engine calls every method from its loop: none may block, or call back into the engine other than by Post,
// Attempt.Started, Attempt.Done and the function given to Probe. Those are for any goroutine; Attempt.Deliver and Place
// are for any but the loop's.
type Transport interface {
	// Send begins an attempt on a.To. It owes exactly one a.Done, at a.Deadline or soon after it at the latest. An
	// attempt is one write on one connection, and is never sent again by the transport or by a library below it. One that
	// a.TooLate tells of in the instant before its write is not written, and is Unused.
	Send(a *Attempt)
	// Bar keeps an attempt that has not begun to write from ever doing so: a send counts for a drain from its first
	// byte, and a dial may outlast the grace. It tells whether it came in time.
	Bar(a *Attempt) bool
	// GiveUp stops an attempt at once: nothing that comes for it later may reach anyone.
	GiveUp(a *Attempt)
	// Probe asks an endpoint for its load and calls told once. A probe that is turned away is Shed.
	Probe(to Endpoint, told func(Result))
	// Drop ends the idle connections to an endpoint.
	Drop(to Endpoint)
}

// Result is how an attempt or a probe ended.
type Result struct {
	Status balance.Status
	// Refused tells, with DialFailed, that nobody listens there: the machine is up, and the process has ended.
	Refused bool
	Load    balance.Load
	Body    any // the protocol's answer, for the front that asked
}

// Request is a client's request: what the front fills in, and, for the loop alone, where it stands.
type Request struct {
	ID       string // unique among the open ones
	Class    int
	Tenant   int
	Key      uint64
	HasKey   bool
	Hint     time.Duration // expected work; 0: not told
	Repeat   bool          // the client marked it as a repeat
	Deadline time.Time     // by Config.Now's clock
	Hasty    bool          // it has far too little time: a time-out tells nothing of a backend
	Message  any           // for the transport
	// Reply takes the one final answer. It needs room for one: the loop waits for nobody. After Gone none comes.
	Reply chan Answer
	// Answered takes it instead where a driver owns the time: it is called on the loop.
	Answered func(Answer)

	seq      uint64 // in the order of arrival
	attempts []*Attempt
	first    Attempt     // room for the commonest case: one attempt, and a pointer to it
	room     [1]*Attempt // of attempts, likewise
	answered bool
	begun    bool        // some attempt may have run
	last     any         // Result.Body of the last attempt that had one
	stream   *Attempt    // its answer has begun to reach the client: it is the last attempt
	claimed  atomic.Bool // the answer is decided: by the loop, or by Attempt.Deliver
}

// Attempt is one copy of a request on its way to a backend.
type Attempt struct {
	Request  *Request
	To       Endpoint
	Deadline time.Time // by Config.Now's clock
	WriteBy  time.Time // a repeat after that may have its effect twice: it is not written; zero: at any time
	// State is the transport's own. The engine never looks at it.
	State any

	engine *Engine
	number int
	to     *backend
	sent   time.Duration
	begun  bool // Send was called for it
	over   bool // its outcome has been told
}

// Number counts the attempts of a request from 0.
func (a *Attempt) Number() int { return a.number }

// TooLate tells whether the attempt may not be written any more. The transport asks in the instant before its write: a
// dial or a queue may last from the choice of a backend to the end of the time in which backends drop repeats.
func (a *Attempt) TooLate() bool { return !a.WriteBy.IsZero() && !a.engine.Now().Before(a.WriteBy) }

// Done tells how the attempt ended. It counts once; what comes after the attempt was given up changes nothing.
func (a *Attempt) Done(res Result) {
	a.engine.Post(func() { a.engine.outcome(a, res) })
}

// Deliver is Done for an answer that the caller can hand to its client by itself, without a way through the loop. It
// reports false when another answer has been decided on: then the client gets that one, and the caller
// hands on nothing. No answer comes on Reply after true.
func (a *Attempt) Deliver(res Result) bool {
	won := a.Request.claimed.CompareAndSwap(false, true)
	if e := a.engine; e.enter() {
		e.delivered(a, res, won)
		e.leave()
	} else {
		e.Post(func() { e.delivered(a, res, won) })
	}
	return won
}

// Started tells that the stream belongs to the client from now on: the request has no further attempt, and ends with
// this one.
func (a *Attempt) Started() {
	a.engine.Post(func() { a.engine.started(a) })
}

// Answering tells that the backend has begun to answer a stream: from now on it owes this attempt no sign, however long
// the stream lasts.
func (a *Attempt) Answering() {
	a.engine.Post(func() {
		a.engine.Handle(balance.Event{Kind: balance.StreamAnswered, Request: a.Request.ID, Attempt: a.number, Backend: a.to.number})
	})
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// Kinds of final answers.
const (
	Served  AnswerKind = iota // a backend's answer, in Answer.Body
	Refused                   // trying again is harmless
	Failed                    // promises nothing
	Doubled                   // another request of this id is open
)

// Answer is the final answer to a request.
type Answer struct {
	Kind    AnswerKind
	Late    bool          // the time for the request is up
	Begun   bool          // some attempt may have run
	RetryIn time.Duration // with Refused: when to come back; 0: not told
	Body    any           // with Served: Result.Body; with Failed: that of the last attempt that ended, if any
}

func (r *Request) reply(a Answer) {
	if r.Answered != nil {
		r.Answered(a)
		return
	}
	r.Reply <- a
}
