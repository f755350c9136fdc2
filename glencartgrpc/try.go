package glencartgrpc

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"

	"glencart/internal/engine"
)

// try is one attempt on its way through gRPC. It is the attempt's context: the picker and the stats handler find it
// there, and write down what they see.
type try struct {
	context.Context // that of the call, with an end of its own

	to       engine.Endpoint
	deadline time.Time // what the backend is told; the engine's timer keeps it. Zero: the context's
	cancel   context.CancelFunc
	state    atomic.Int32    // queued, begun or barred
	saw      atomic.Uint32   // what was seen, of the bits below
	stopped  atomic.Bool     // the engine gave it up
	returned atomic.Bool     // gRPC is done with it
	stream   bool            // the application may send or receive more than one message
	link     *link           // set by the pick that began it, in the goroutine of the call
	attempt  *engine.Attempt // of a stream: the engine hears when its answer begins
	writeBy  time.Time       // of a repeat: its backend may have forgotten the first attempt after that; zero: it is none

	mu      sync.Mutex
	trailer metadata.MD
}

// States of a try: no connection has been taken for it, or one may have been, or never will be.
const (
	tryQueued int32 = iota
	tryBegun
	tryBarred
)

// What gRPC's events tell of an attempt.
const (
	sawNoConn  uint32 = 1 << iota // no connection to the endpoint
	sawAgain                      // gRPC wants to send it again by itself: it was not processed
	sawHead                       // its headers went to the transport
	sawMessage                    // a whole message went to the transport
	sawAnswer                     // the backend's headers came
	sawTrailer                    // its trailers came: the status is the backend's word
	sawSurplus                    // gRPC tried once more, and headers went out all the same
	sawMistake                    // the application's own mistake has ended the stream: a message that can't be sent
)

// has tells whether any of some bits is set.
func (t *try) has(bit uint32) bool { return t.saw.Load()&bit != 0 }

func (t *try) set(bit uint32) { t.saw.Or(bit) }

// Deadline is the attempt's. No timer stands behind it here: the engine gives the attempt up.
func (t *try) Deadline() (time.Time, bool) {
	if t.deadline.IsZero() {
		return t.Context.Deadline()
	}
	return t.deadline, true
}

// Value finds the try itself, and all that the call's context holds.
func (t *try) Value(key any) any {
	if key == (tryKey{}) {
		return t
	}
	return t.Context.Value(key)
}

// begin marks that a connection is taken. It fails for a try that was barred, or is a repeat that comes too late.
func (t *try) begin() bool {
	if !t.writeBy.IsZero() && !time.Now().Before(t.writeBy) {
		t.bar()
		return false
	}
	return t.state.CompareAndSwap(tryQueued, tryBegun) || t.state.Load() == tryBegun
}

// bar keeps a try that has no connection yet from ever getting one.
func (t *try) bar() bool { return t.state.CompareAndSwap(tryQueued, tryBarred) }

// lapse ends a try that has not left: its time to be written is over. No handler of a unary call starts without the message.
func (t *try) lapse() {
	if t.bar() || !t.has(sawHead) || !t.stream && !t.has(sawMessage) {
		t.stop()
	}
}

// stop ends a try at once.
func (t *try) stop() {
	t.stopped.Store(true)
	t.cancel()
}

// watcher is the stats.Handler that tells tries what became of them. gRPC calls it in the goroutine that acts.
type watcher struct{}

func (watcher) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (watcher) HandleRPC(ctx context.Context, s stats.RPCStats) {
	t := tryOf(ctx)
	if t == nil {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		if s.IsTransparentRetryAttempt {
			t.set(sawAgain)
		}
	case *stats.OutHeader:
		if t.has(sawHead | sawAgain) {
			t.set(sawSurplus)
		}
		t.set(sawHead)
	case *stats.OutPayload:
		t.set(sawMessage)
	case *stats.InHeader:
		t.set(sawAnswer)
		if t.attempt != nil {
			t.attempt.ResponseStarted()
		}
	case *stats.InTrailer:
		t.mu.Lock()
		t.trailer = s.Trailer
		t.mu.Unlock()
		t.set(sawTrailer)
	}
}

func (watcher) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (watcher) HandleConn(context.Context, stats.ConnStats)                       {}

// trailers returns what the backend's trailers said.
func (t *try) trailers() metadata.MD {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.trailer
}
