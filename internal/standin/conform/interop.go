package conform

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"google.golang.org/grpc"
	_ "google.golang.org/grpc/encoding/gzip" // the compressor of one case
	"google.golang.org/grpc/grpclog"
	"google.golang.org/grpc/interop"
	testgrpc "google.golang.org/grpc/interop/grpc_testing"

	"glencart/internal/standin"
)

// Named is one of grpc-go's interoperability cases.
type Named struct {
	Name string
	Run  func(ctx context.Context, cc *grpc.ClientConn)
}

// Interop are grpc-go's own cases (google.golang.org/grpc/interop), but for those that need a cloud, an account or a
// load-balancing policy of their own.
func Interop() []Named {
	on := func(f func(context.Context, testgrpc.TestServiceClient, ...grpc.CallOption), opts ...grpc.CallOption) func(context.Context, *grpc.ClientConn) {
		return func(ctx context.Context, cc *grpc.ClientConn) { f(ctx, testgrpc.NewTestServiceClient(cc), opts...) }
	}
	zip := grpc.UseCompressor("gzip")
	return []Named{
		{"empty_unary", on(interop.DoEmptyUnaryCall)},
		{"large_unary", on(interop.DoLargeUnaryCall)},
		{"large_unary, gzip", on(interop.DoLargeUnaryCall, zip)},
		{"client_streaming", on(interop.DoClientStreaming)},
		{"client_streaming, gzip", on(interop.DoClientStreaming, zip)},
		{"server_streaming", on(interop.DoServerStreaming)},
		{"server_streaming, gzip", on(interop.DoServerStreaming, zip)},
		{"ping_pong", on(interop.DoPingPong)},
		{"ping_pong, gzip", on(interop.DoPingPong, zip)},
		{"empty_stream", on(interop.DoEmptyStream)},
		{"timeout_on_sleeping_server", on(interop.DoTimeoutOnSleepingServer)},
		{"cancel_after_begin", on(interop.DoCancelAfterBegin)},
		{"cancel_after_first_response", on(interop.DoCancelAfterFirstResponse)},
		{"custom_metadata", on(interop.DoCustomMetadata)},
		{"status_code_and_message", on(interop.DoStatusCodeAndMessage)},
		{"special_status_message", on(interop.DoSpecialStatusMessage)},
		{"unimplemented_method", func(ctx context.Context, cc *grpc.ClientConn) { interop.DoUnimplementedMethod(ctx, cc) }},
		{"unimplemented_service", func(ctx context.Context, cc *grpc.ClientConn) {
			interop.DoUnimplementedService(ctx, testgrpc.NewUnimplementedServiceClient(cc))
		}},
		{"rpc_soak", func(ctx context.Context, cc *grpc.ClientConn) {
			interop.DoSoakTest(ctx, interop.SoakTestConfig{RequestSize: 27182, ResponseSize: 31415, NumWorkers: 4, Iterations: 80,
				PerIterationMaxAcceptableLatency: 5 * time.Second, OverallTimeout: standin.Patience, ServerAddr: cc.Target(),
				ChannelForTest: func() (*grpc.ClientConn, func()) { return cc, func() {} }})
		}},
	}
}

// Register serves what the interoperability cases call.
func Register(s *grpc.Server) { testgrpc.RegisterTestServiceServer(s, interop.NewTestServer()) }

// Attempt runs a case and returns what it complained of, "" if it passed. The cases end the process when they fail, by
// gRPC's log; Catch must stand in for that log.
func (n Named) Attempt(ctx context.Context, cc *grpc.ClientConn) (complaint string) {
	defer func() {
		if f, ok := recover().(fatal); ok {
			complaint = string(f)
		}
	}()
	n.Run(ctx, cc)
	return ""
}

type fatal string

// catcher is a log of gRPC that panics where another would end the process.
type catcher struct{ grpclog.LoggerV2 }

func (catcher) Fatal(args ...any)              { panic(fatal(fmt.Sprint(args...))) }
func (catcher) Fatalln(args ...any)            { panic(fatal(strings.TrimSpace(fmt.Sprintln(args...)))) }
func (catcher) Fatalf(format string, a ...any) { panic(fatal(fmt.Sprintf(format, a...))) }
func (catcher) FatalDepth(_ int, args ...any)  { panic(fatal(fmt.Sprint(args...))) }
func (catcher) InfoDepth(_ int, _ ...any)      {}
func (catcher) WarningDepth(_ int, _ ...any)   {}
func (catcher) ErrorDepth(_ int, _ ...any)     {}

// Catch has gRPC's log, of the whole process, hand the complaints of cases to Attempt. Call it before anything of gRPC.
func Catch() { grpclog.SetLoggerV2(catcher{grpclog.NewLoggerV2(io.Discard, io.Discard, io.Discard)}) }
