package glencartgrpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"glencart/internal/engine"
)

// Domain and reasons of the ErrorInfo (google.rpc) that is added to the status of each refusal and failure.
const (
	Domain        = "glencart"
	ReasonRefused = "REFUSED" // nothing ran that may not run again: trying again is harmless
	ReasonFailed  = "FAILED"  // promises nothing: it may have run
)

// Refused tells whether an error of this process's plug-in says that the call was refused, so that trying again is
// harmless, and when to come back; 0 where that is not known. It believes no status that came over a wire: what a
// backend was refused by its own backends says nothing of what it did before.
func Refused(err error) (retryIn time.Duration, refused bool) {
	var e *callError
	if !errors.As(err, &e) || e.reason != ReasonRefused {
		return 0, false
	}
	return e.retryIn, true
}

// callError is the end of a call that was not served. Its message and code are those of err, untouched: a handler's,
// gRPC's or this package's own. What the plug-in knows beside is kept apart, and is a further detail of the status.
type callError struct {
	err     error // a status
	reason  string
	class   string
	retryIn time.Duration
}

func (e *callError) Error() string { return e.err.Error() }

// Unwrap gives the status without the further details, for errors.Is.
func (e *callError) Unwrap() error { return e.err }

// GRPCStatus is the status with what the plug-in adds, after all the details that it had.
func (e *callError) GRPCStatus() *status.Status {
	st := status.Convert(e.err)
	add := []protoadapt.MessageV1{&errdetails.ErrorInfo{Domain: Domain, Reason: e.reason, Metadata: map[string]string{"class": e.class}}}
	if e.retryIn > 0 {
		add = append(add, &errdetails.RetryInfo{RetryDelay: durationpb.New(e.retryIn)})
	}
	with, err := st.WithDetails(add...)
	if err != nil {
		return st
	}
	return with
}

// failure is what an attempt left behind for the final answer.
type failure struct {
	err    error
	said   bool // in the backend's own trailers
	noConn bool // there was no connection to send it on
}

// word puts a final answer other than served into an error. What the last attempt was told stands, where that is no
// false offer: a status in a backend's trailers always does.
func (p *Plugin) word(a engine.Answer, class string) error {
	e := p.worded(a, class)
	p.counted(e)
	return e
}

// counted counts the end of a call that was not served.
func (p *Plugin) counted(e *callError) {
	if e.reason == ReasonRefused {
		p.stats.refused.Add(1)
	} else {
		p.stats.failed.Add(1)
	}
}

func (p *Plugin) worded(a engine.Answer, class string) *callError {
	f, _ := a.Body.(*failure)
	e := &callError{class: class, reason: ReasonFailed}
	if a.Kind == engine.Failed && !a.MayHaveRun { // given up in time: it is proven that nothing ran
		a.Kind = engine.Refused
	}
	switch a.Kind {
	case engine.Refused:
		e.reason, e.retryIn = ReasonRefused, a.RetryAfter
		switch {
		case a.Late:
			e.err = own(codes.DeadlineExceeded, "refused: its time is over, and nothing ran that may not run again")
		case f != nil:
			e.err = f.err
		case !p.engine.HasReadyBackend():
			e.err = own(codes.Unavailable, "refused: no backend is ready")
		default:
			e.err = own(codes.ResourceExhausted, "refused: no backend may take it now")
		}
		return e
	case engine.Duplicate:
		e.err = own(codes.Internal, "another call with this id is open")
		return e
	}
	switch {
	case a.Late:
		e.err = own(codes.DeadlineExceeded, "failed: its time is over, and it may have run")
	case f == nil:
		e.err = own(codes.Unknown, "failed: it may have run")
	case f.said:
		e.err = f.err
	default:
		e.err = f.err
		switch st := status.Convert(f.err); st.Code() {
		case codes.Unavailable, codes.ResourceExhausted, codes.OK, codes.Canceled, codes.DeadlineExceeded:
			// No backend's word, and it reads as an offer to try again, or as the application's own doing.
			e.err = own(codes.Unknown, "failed, and it may have run: "+st.Message())
		}
	}
	return e
}

// own is a status in the plug-in's own words.
func own(code codes.Code, text string) error { return status.Error(code, "glencartgrpc: "+text) }

func closedStatus() error { return own(codes.Canceled, "the plug-in is closed") }

// endOf is the status of a call whose context has ended, in gRPC's words.
func endOf(ctx context.Context) error { return status.FromContextError(ctx.Err()).Err() }

func badTarget(cc string, want string) error {
	return status.Error(codes.InvalidArgument, fmt.Sprintf("glencartgrpc: %v", unknownTarget(cc, want)))
}
