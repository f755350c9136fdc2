package glencartgrpc_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"glencart/glencartgrpc"
	"glencart/internal/standin"
	"glencart/internal/standin/box"
	"glencart/internal/standin/grpcbox"
)

// A keyed call of which an inner handler says that it never ran is not remembered: of its repeats, also those that
// wait for it, one runs, and the rest get its answer. A plain failure is remembered.
func TestGuardForgetsWhatNeverRan(t *testing.T) {
	for _, tc := range []struct {
		name string
		says string // in the first call's trailer
		runs int64
		want codes.Code // of the repeats
	}{{"never ran", glencartgrpc.ReasonFull, 2, codes.OK}, {"failed", "", 1, codes.Unavailable}} {
		t.Run(tc.name, func(t *testing.T) {
			guard := glencartgrpc.NewGuard(glencartgrpc.GuardConfig{Window: time.Minute})
			var runs atomic.Int64
			held := make(chan struct{})
			inner := grpc.ChainUnaryInterceptor(func(ctx context.Context, _ any, _ *grpc.UnaryServerInfo, _ grpc.UnaryHandler) (any, error) {
				if runs.Add(1) > 1 {
					return wrapperspb.String("done"), nil
				}
				<-held
				if tc.says != "" {
					grpc.SetTrailer(ctx, metadata.Pairs(glencartgrpc.NeverRan, tc.says))
				}
				return nil, status.Error(codes.Unavailable, "no database")
			})
			var came atomic.Int64
			outer := grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
				came.Add(1)
				return next(ctx, req)
			})
			s := grpcbox.Start(t, grpcbox.Config{Config: box.Config{ID: "b"}, Plain: true}, box.NewLedger(),
				append(append([]grpc.ServerOption{outer}, guard.ServerOptions()...), inner)...)
			cc := own(t, "round_robin", []*grpcbox.Server{s})
			ctx := metadata.AppendToOutgoingContext(within(t, standin.Patience), "idempotency-key", "k")
			ask := func() error { return cc.Invoke(ctx, grpcbox.Key, wrapperspb.String("x"), new(wrapperspb.StringValue)) }
			first := make(chan error, 1)
			go func() { first <- ask() }()
			standin.Eventually(t, "the first call", func() bool { return runs.Load() == 1 })
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() {
					if err := ask(); status.Code(err) != tc.want {
						t.Errorf("a repeat: %v", err)
					}
				})
			}
			standin.Eventually(t, "the repeats", func() bool { return came.Load() == 9 })
			time.Sleep(20 * time.Millisecond) // from the outer interceptor into the guard
			close(held)
			if err := <-first; status.Code(err) != codes.Unavailable {
				t.Errorf("the first call: %v", err)
			}
			wg.Wait()
			if err := ask(); status.Code(err) != tc.want || runs.Load() != tc.runs {
				t.Errorf("%v, %d runs, want %d", err, runs.Load(), tc.runs)
			}
		})
	}
}

// A box with long streams that have answered, and no other answers for a while, gets its part of the calls; one that
// never answers its streams looks silent, and does not. The calls come several at a time, more than the streams, so that the box without
// streams is the busier one however long a call takes.
func TestLongStreamsOweNothing(t *testing.T) {
	for _, answers := range []bool{true, false} {
		t.Run(fmt.Sprint("answers ", answers), func(t *testing.T) {
			ledger := box.NewLedger()
			s := start(t, ledger, 2, func(c *grpcbox.Config) { c.Plain = true })
			c := connect(t, config())
			c.set(t, boxes(s[0])) // the streams go there
			ctx := within(t, standin.Patience)
			if !answers {
				s[0].Hang(true)
				t.Cleanup(func() { s[0].Hang(false) })
			}
			for range 3 {
				st, err := c.cc.NewStream(ctx, grpcbox.ChatDesc, grpcbox.Chat)
				if err != nil {
					t.Fatal(err)
				}
				if err := st.SendMsg(wrapperspb.String("s")); err != nil {
					t.Fatal(err)
				}
				if answers {
					if err := st.RecvMsg(new(wrapperspb.StringValue)); err != nil {
						t.Fatal(err)
					}
				}
			}
			time.Sleep(700 * time.Millisecond) // more than a queue of three takes, by the aim of 500 ms
			c.set(t, boxes(s...))
			ask := func(name string) {
				if _, err := c.ask(ctx, grpcbox.Read, name); err != nil && answers {
					t.Errorf("call %s: %v", name, err)
				}
			}
			for i := range 60 { // the client learns how long a call takes
				ask(fmt.Sprint("r", i))
			}
			oneByOne := ledger.Total("b0") - 3
			for round := range 10 {
				var calls sync.WaitGroup
				for i := range 6 {
					calls.Go(func() { ask(fmt.Sprint("r", round, "-", i)) })
				}
				calls.Wait()
			}
			together := ledger.Total("b0") - 3 - oneByOne
			if answers && together == 0 || !answers && oneByOne+together > 0 {
				t.Errorf("%d of 60 calls one by one and %d of 60 together went to the box with the streams", oneByOne, together)
			}
		})
	}
}
