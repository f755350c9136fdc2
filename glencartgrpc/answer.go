package glencartgrpc

import (
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

// Domain and reasons of the ErrorInfo (google.rpc) that goes with each refusal and failure.
const (
	Domain        = "glencart"
	ReasonRefused = "REFUSED" // nothing ran that may not run again: trying again is harmless
	ReasonFailed  = "FAILED"  // promises nothing: it may have run
)

// Refused tells whether an error says that the call was refused, so that trying again is harmless, and when to come
// back; 0 where that is not known.
func Refused(err error) (retryIn time.Duration, refused bool) {
	st, ok := status.FromError(err)
	if !ok {
		return 0, false
	}
	for _, d := range st.Details() {
		switch d := d.(type) {
		case *errdetails.ErrorInfo:
			refused = refused || d.Domain == Domain && d.Reason == ReasonRefused
		case *errdetails.RetryInfo:
			retryIn = d.RetryDelay.AsDuration()
		}
	}
	if !refused {
		return 0, false
	}
	return retryIn, true
}

// failure is what an attempt left behind for the final answer.
type failure struct{ err error }

// word puts a final answer other than served into a status.
func (p *Plugin) word(a engine.Answer, class string) error {
	switch a.Kind {
	case engine.Refused:
		p.stats.refused.Add(1)
		code, text := codes.ResourceExhausted, "refused: no backend may take it now"
		if a.Late {
			code, text = codes.DeadlineExceeded, "refused: its time is over, and nothing ran that may not run again"
		}
		if a.RetryIn > 0 {
			return detailed(code, text, ReasonRefused, class, nil, &errdetails.RetryInfo{RetryDelay: durationpb.New(a.RetryIn)})
		}
		return detailed(code, text, ReasonRefused, class, nil)
	case engine.Doubled:
		return detailed(codes.Internal, "another call with this id is open", ReasonFailed, class, nil)
	}
	p.stats.failed.Add(1)
	if a.Late {
		return detailed(codes.DeadlineExceeded, "failed: its time is over, and it may have run", ReasonFailed, class, nil)
	}
	code, text := codes.Unknown, "failed: it may have run"
	if f, ok := a.Body.(*failure); ok && f.err != nil {
		st, _ := status.FromError(f.err)
		switch st.Code() {
		case codes.Unavailable, codes.ResourceExhausted, codes.OK, codes.Canceled, codes.DeadlineExceeded:
			// These read as an offer to try again, or as the application's own doing.
		default:
			code = st.Code()
		}
		text = "failed, and it may have run: " + st.Message()
		return detailed(code, text, ReasonFailed, class, st)
	}
	return detailed(code, text, ReasonFailed, class, nil)
}

// detailed makes a status that a machine can read. Details that a backend gave are kept.
func detailed(code codes.Code, text, reason, class string, from *status.Status, more ...protoadapt.MessageV1) error {
	st := status.New(code, "glencartgrpc: "+text)
	info := &errdetails.ErrorInfo{Domain: Domain, Reason: reason, Metadata: map[string]string{"class": class}}
	details := append([]protoadapt.MessageV1{info}, more...)
	if from != nil {
		info.Metadata["backend_code"] = from.Code().String()
		for _, d := range from.Details() {
			if m, ok := d.(protoadapt.MessageV1); ok {
				details = append(details, m)
			}
		}
	}
	with, err := st.WithDetails(details...)
	if err != nil {
		return st.Err()
	}
	return with.Err()
}

// errClosed is what calls get from a plug-in that was closed.
var errClosed = errors.New("glencartgrpc: the plug-in is closed")

func closedStatus() error { return status.Error(codes.Canceled, errClosed.Error()) }

func badTarget(cc string, want string) error {
	return status.Error(codes.InvalidArgument, fmt.Sprintf("glencartgrpc: %v", unknownTarget(cc, want)))
}
