package engine

import (
	"sync/atomic"
	"time"

	"glencart/balance"
)

// Endpoint is one process of a backend: the id of the backend, its address, and its start time (Unix time; 0: long ago).
// A new backend at a reused address shares nothing with the old one.
type Endpoint struct {
	ID       string
	Addr     string
	Launched time.Duration
}

// Transport carries attempts to backends over one protocol.
//
// The engine calls every method from its loop. No method may block, or call into the engine other than by Post,
// Attempt.StreamStarted, Attempt.Done and the function passed to Probe. These are safe to call from any goroutine.
// Attempt.Deliver and Submit are safe to call from any goroutine but the loop.
type Transport interface {
	// Send starts an attempt to a.To. The transport calls a.Done exactly once, no later than shortly after a.Deadline. An
	// attempt is one write on one connection. Neither the transport nor a library below it may resend it. The transport
	// calls a.TooLate immediately before the write. If it returns true, the attempt is not written and ends as Unused.
	Send(a *Attempt)
	// PreventWrite prevents the write of an attempt that has not begun to write. It reports whether it did. An attempt counts as
	// sent, for a draining backend, from its first byte, and a dial may outlast the drain grace.
	PreventWrite(a *Attempt) bool
	// Cancel cancels an attempt immediately. Whatever arrives for it later is discarded.
	Cancel(a *Attempt)
	// Probe requests the load of an endpoint and calls done once. A rejected probe has the status Shed.
	Probe(to Endpoint, done func(Result))
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(to Endpoint)
}

// Result is the result of an attempt or a probe.
type Result struct {
	Status balance.Status
	// Refused is set with DialFailed if the connection was refused: the machine is up, but no process listens.
	Refused bool
	// OwnDelay is the part of the attempt's time that this process waited by its own decision. It shows nothing of the backend.
	OwnDelay time.Duration
	Load     balance.Load
	Body     any // the answer in the form of the protocol, for the front end
}

// Request is a client's request. The front end sets the exported fields. The others are state of the loop.
type Request struct {
	ID               string // unique among open requests
	Class            int
	Tenant           int
	Key              uint64
	HasKey           bool
	Hint             time.Duration // expected work; 0: unknown
	Repeat           bool          // the client marked it as a repeat
	Deadline         time.Time     // on the clock of Config.Now
	HasShortDeadline bool          // the deadline is far too short for a time-out to count against a backend
	IsUnsafe         bool          // must not run twice, see Config.UnsafeIDs
	IsBodyArriving   bool          // the client is still sending the body: the transport calls Attempt.BodySent
	Message          any           // for the transport
	// Reply receives the final answer. It needs a buffer of one, because the loop doesn't wait. After ClientGone there is none.
	Reply chan Answer
	// OnAnswer, if set, receives the final answer instead of Reply. It is called on the loop, by drivers that control the time.
	OnAnswer func(Answer)

	seq           uint64 // order of arrival
	attempts      []*Attempt
	firstAttempt  Attempt     // saves an allocation in the usual case of one attempt
	attemptsBuf   [1]*Attempt // storage of attempts, for the same case
	answered      bool
	mayHaveRun    bool           // some attempt may have run
	lastStatus    balance.Status // of the attempt that ended last
	lastBody      any            // Result.Body of the last attempt that returned one
	stream        *Attempt       // the client has received part of its answer: no attempt follows
	isRecorded    bool           // in Config.UnsafeIDs, and its end there is not set yet
	answerClaimed atomic.Bool    // the final answer is chosen, by the loop or by Attempt.Deliver
}

// Attempt is one copy of a request on its way to a backend.
type Attempt struct {
	Request  *Request
	To       Endpoint
	Deadline time.Time // on the clock of Config.Now
	WriteBy  time.Time // not written after it, because a later repeat may have its effect twice; zero: no limit
	// State belongs to the transport. The engine never uses it.
	State any

	engine   *Engine
	number   int
	backend  *backend
	sentAt   time.Duration
	isSent   bool // passed to Transport.Send
	hasEnded bool // its outcome was reported
}

// Number returns the number of the attempt among those of its request, from 0.
func (a *Attempt) Number() int { return a.number }

// TooLate reports whether the attempt may no longer be written. The transport calls it immediately before the write,
// because a dial or a queue may last until backends no longer recognize a repeat.
func (a *Attempt) TooLate() bool { return !a.WriteBy.IsZero() && !a.engine.Now().Before(a.WriteBy) }

// Done reports the result of the attempt. Later calls, and calls after the attempt was given up, have no effect.
func (a *Attempt) Done(res Result) {
	a.engine.Post(func() { a.engine.handleResult(a, res) })
}

// Deliver is Done for an answer that the caller itself can pass to the client, without waiting for the loop. It reports
// false if the client gets another answer. Then the caller passes nothing on. After true, no answer is sent to Reply.
func (a *Attempt) Deliver(res Result) bool {
	won := a.Request.answerClaimed.CompareAndSwap(false, true)
	handle := func() { a.engine.handleDelivered(a, res, won) }
	if !a.engine.tryRunOnLoop(handle) {
		a.engine.Post(handle)
	}
	return won
}

// StreamStarted reports that the client receives the stream of this attempt. The request has no further attempt and ends with
// this one.
func (a *Attempt) StreamStarted() {
	a.engine.Post(func() { a.engine.handleStreamStarted(a) })
}

// ResponseStarted reports that the backend has begun to answer a stream. From then on the attempt no longer counts as
// unanswered, however long the stream lasts.
func (a *Attempt) ResponseStarted() {
	a.engine.Post(func() {
		a.engine.Handle(balance.Event{Kind: balance.StreamAnswered, Request: a.Request.ID, Attempt: a.number, Backend: a.backend.number})
	})
}

// BodySent reports that the last byte of a body that was still arriving has been written to the backend. Until then the attempt is no queue
// there.
func (a *Attempt) BodySent() {
	a.engine.Post(func() {
		a.engine.Handle(balance.Event{Kind: balance.BodySent, Request: a.Request.ID, Attempt: a.number, Backend: a.backend.number})
	})
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// Kinds of final answers.
const (
	Served    AnswerKind = iota // answer of a backend, in Answer.Body
	Refused                     // the client may safely retry
	Failed                      // the request may or may not have been executed
	Duplicate                   // another request with this id is open, or has ended and may have run
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Late       bool          // the deadline of the request has passed
	MayHaveRun bool          // some attempt may have run
	RetryAfter time.Duration // with Refused: retry-after; 0: none
	Body       any           // with Served: Result.Body; with Failed: Result.Body of the last attempt that returned one, if any
}

func (r *Request) reply(a Answer) {
	if r.OnAnswer != nil {
		r.OnAnswer(a)
		return
	}
	r.Reply <- a
}
