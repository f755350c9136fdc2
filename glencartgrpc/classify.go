package glencartgrpc

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"glencart/balance"
)

// NeverRan is the trailer by which a backend says that a call never ran, with one of the reasons below as its value.
// Any code may come with it.
const NeverRan = "glencart-never-ran"

// Reasons in a NeverRan trailer. An unknown one counts as ReasonFull.
const (
	ReasonFull     = "full"     // no room now
	ReasonDraining = "draining" // no room any more: the backend is about to end
	ReasonLate     = "late"     // the call's time was over when it came
)

// verdict is what the end of an attempt means.
type verdict struct {
	status balance.Status
	answer bool // what the attempt returned is the application's answer, whatever its code
	local  bool // the call failed on this side, by the application's doing: no backend is at fault, and none would do better
}

// seen is what is known of an attempt when it has ended.
type seen struct {
	code    codes.Code
	saw     uint32
	begun   bool // a connection was taken for it
	stream  bool
	barred  bool
	stopped bool // the engine gave it up
	expired bool // its time was over
	trailer metadata.MD

	cancelled bool // the application ended it
}

// spoken are the codes by which an application answers: the call ran and this is its result. The others are failures.
func spoken(c codes.Code) bool {
	switch c {
	case codes.OK, codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.PermissionDenied,
		codes.FailedPrecondition, codes.Aborted, codes.OutOfRange, codes.Unimplemented, codes.Unauthenticated:
		return true
	}
	return false
}

// judge is the table of docs/RPC.md: how an attempt ended, to what the module is told, and whether it may have run.
// Only proof counts as never run: Unavailable alone proves nothing.
func judge(s seen) verdict {
	bit := func(b uint32) bool { return s.saw&b != 0 }
	switch {
	case bit(sawSurplus):
		// Cannot be, as the picker turns a second round away; if it were, nothing would be proven.
		return verdict{status: balance.Dropped}
	case s.barred:
		return verdict{status: balance.Unused}
	case bit(sawTrailer) && len(s.trailer[NeverRan]) > 0 && s.code != codes.OK:
		return verdict{status: balance.Shed}
	case bit(sawTrailer) && spoken(s.code):
		return verdict{status: balance.Delivered, answer: true}
	case s.code == codes.OK:
		return verdict{status: balance.Delivered, answer: true}
	case bit(sawMistake):
		return verdict{status: balance.Cancelled, local: true}
	case s.cancelled && !bit(sawTrailer):
		if !s.begun || !bit(sawHead) || !s.stream && !bit(sawMessage) {
			return verdict{status: balance.Unused}
		}
		return verdict{status: balance.Cancelled}
	case bit(sawAgain):
		// GOAWAY below the stream's id, REFUSED_STREAM, or the stream never left.
		if bit(sawHead) {
			return verdict{status: balance.Shed}
		}
		return verdict{status: balance.DialFailed}
	case bit(sawNoConn):
		return verdict{status: balance.DialFailed}
	case !s.begun:
		switch {
		case s.stopped:
			return verdict{status: balance.Unused}
		case s.expired:
			return verdict{status: balance.DialFailed} // it never came up
		}
		return verdict{status: balance.Unused, local: true} // before any connection: credentials, an interceptor
	case !bit(sawHead):
		if s.stopped || s.expired {
			return verdict{status: balance.Unused}
		}
		if local(s.code) {
			return verdict{status: balance.Unused, local: true}
		}
		return verdict{status: balance.DialFailed}
	case !s.stream && !bit(sawMessage):
		// The headers left and the message did not: no handler of a unary call starts without it.
		if s.stopped || s.expired {
			return verdict{status: balance.Unused}
		}
		if local(s.code) {
			return verdict{status: balance.Unused, local: true}
		}
		return verdict{status: balance.DialFailed}
	case bit(sawTrailer): // a failure in the backend's own words: it may have run
		if s.code == codes.DeadlineExceeded && s.expired {
			return verdict{status: balance.Expired}
		}
		return verdict{status: balance.AppError}
	case s.expired:
		return verdict{status: balance.Expired}
	case s.stopped:
		return verdict{status: balance.Cancelled}
	case bit(sawAnswer) && s.code == codes.ResourceExhausted:
		// The answer came and is larger than the application takes.
		return verdict{status: balance.Delivered, answer: true}
	case bit(sawAnswer) && (s.code == codes.Internal || s.code == codes.Unimplemented):
		return verdict{status: balance.AppError} // an answer that can't be read
	}
	return verdict{status: balance.Dropped}
}

// local tells whether gRPC gives a code on this side for what the application did: a message that can't be encoded or
// is too large, credentials that fail, metadata that is malformed.
func local(c codes.Code) bool {
	switch c {
	case codes.Internal, codes.ResourceExhausted, codes.Unauthenticated, codes.InvalidArgument, codes.Unimplemented:
		return true
	}
	return false
}

// look gathers what is known of an ended attempt.
func (t *try) look(err error, stopped, expired bool) seen {
	code := status.Code(err)
	if errors.Is(err, context.DeadlineExceeded) {
		code = codes.DeadlineExceeded
	} else if errors.Is(err, context.Canceled) {
		code = codes.Canceled
	}
	st := t.state.Load()
	s := seen{code: code, saw: t.saw.Load(), begun: st == tryBegun, barred: st == tryBarred, stream: t.stream,
		stopped: stopped, expired: expired}
	if t.has(sawTrailer) {
		s.trailer = t.trailers()
	}
	return s
}
