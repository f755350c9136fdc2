// Package conform tells two ways of dialing a gRPC service apart, if anything can: it does the same on a ClientConn of
// each and compares all that an application may see. It knows nothing of what stands behind a Dial.
//
// Three parts: grpc-go's own interoperability cases (interop.go), scripts of calls on streams in every order
// (script.go), and cases of options, security and state (cases.go).
package conform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"glencart/internal/standin"
)

// Dial makes a ClientConn to the server at addr, with the application's own options beside the caller's. It ends with
// the test. config is a service config without a policy, or empty.
type Dial func(t testing.TB, addr, config string, opts ...grpc.DialOption) *grpc.ClientConn

// Direct dials as grpc-go does by itself, by round_robin.
func Direct(t testing.TB, addr, config string, opts ...grpc.DialOption) *grpc.ClientConn {
	t.Helper()
	whole := `{"loadBalancingConfig":[{"round_robin":{}}]}`
	if config != "" {
		whole = strings.Replace(whole, "{", strings.TrimSuffix(strings.TrimSpace(config), "}")+",", 1)
	}
	cc, err := grpc.NewClient("dns:///"+addr, append([]grpc.DialOption{grpc.WithDefaultServiceConfig(whole)}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	return cc
}

// Plain are the options of a dial without security.
func Plain(opts ...grpc.DialOption) []grpc.DialOption {
	return append([]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}, opts...)
}

// Serve starts a server whose methods are all handler, beside what register adds. It ends with the test.
func Serve(t testing.TB, handler grpc.StreamHandler, register func(*grpc.Server), opts ...grpc.ServerOption) (addr string, stop func()) {
	t.Helper()
	if handler != nil {
		opts = append(opts, grpc.UnknownServiceHandler(handler))
	}
	srv := grpc.NewServer(opts...)
	if register != nil {
		register(srv)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); srv.Serve(l) }()
	stop = func() { srv.Stop(); <-done }
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// Seen is what an application saw, a line each, in order.
type Seen struct {
	mu    sync.Mutex
	lines []string
}

// Note adds a line.
func (s *Seen) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

// Err adds all that an application can read of an error: text, code, message, details, and whether errors.Is finds it.
// The further details that the plug-in documents are left out. Of a deadline and a cancel the code alone counts, since
// whose words come is not promised by grpc-go either.
func (s *Seen) Err(what string, err error) { s.Note("%s: %s", what, Describe(err)) }

// Describe words an error as Seen.Err does.
func Describe(err error) string {
	if err == nil {
		return "ok"
	}
	st, ok := status.FromError(err)
	if !ok {
		return "no status: " + err.Error()
	}
	if c := st.Code(); (c == codes.DeadlineExceeded || c == codes.Canceled) && len(ownDetails(st)) == 0 {
		return c.String()
	}
	same := status.New(st.Code(), st.Message()).Proto()
	same.Details = append(same.Details, ownDetails(st)...)
	return fmt.Sprintf("%v %q, text %q, is itself %t, details %s", st.Code(), st.Message(), err.Error(),
		errors.Is(err, status.FromProto(same).Err()), short(fmt.Sprint(ownDetails(st))))
}

// Added finds the ErrorInfo that the plug-in adds: the last one of its domain, with the class of the call.
func Added(st *status.Status) *errdetails.ErrorInfo {
	for _, d := range slices.Backward(st.Details()) {
		if info, ok := d.(*errdetails.ErrorInfo); ok && info.Domain == "glencart" && info.Metadata["class"] != "" {
			return info
		}
	}
	return nil
}

// ownDetails are the details of a status less those that the plug-in adds behind them.
func ownDetails(st *status.Status) (own []*anypb.Any) {
	all := st.Proto().GetDetails()
	info := Added(st)
	for i, d := range all {
		if info != nil {
			var e errdetails.ErrorInfo
			if d.UnmarshalTo(&e) == nil && proto.Equal(&e, info) {
				return all[:i]
			}
		}
	}
	return all
}

func short(s string) string {
	if len(s) > 300 {
		return fmt.Sprintf("%s... (%d bytes)", s[:100], len(s))
	}
	return s
}

// MD adds the values of the keys that a case has sent.
func (s *Seen) MD(what string, md metadata.MD, keys ...string) {
	for _, k := range keys {
		s.Note("%s %s: %q", what, k, md.Get(k))
	}
}

// Lines returns what was seen.
func (s *Seen) Lines() []string { return s.lines }

// Diff lists the lines in which two differ, "" if none.
func Diff(direct, other []string) string {
	var b strings.Builder
	for i := range max(len(direct), len(other)) {
		at := func(l []string) string {
			if i < len(l) {
				return l[i]
			}
			return "(nothing)"
		}
		if d, o := at(direct), at(other); d != o {
			fmt.Fprintf(&b, "  line %d, direct: %s\n  line %d, other:  %s\n", i, d, i, o)
		}
	}
	return b.String()
}

// Case is one thing that applications do. Run makes its calls on a ClientConn from dial and writes down what it sees.
type Case struct {
	Name    string
	Handler grpc.StreamHandler
	Server  []grpc.ServerOption
	Serve   func(*grpc.Server)
	Dial    []grpc.DialOption // nil: Plain()
	Config  string            // a service config
	Absent  bool              // the server listens no more
	Run     func(ctx context.Context, cc *grpc.ClientConn, s *Seen)
	// Differs is the stated reason for a row that can be told apart. One that can't be any more fails too.
	Differs string
}

// Compare runs a case both ways and reports a difference.
func Compare(t *testing.T, c Case, dial Dial) {
	t.Helper()
	addr, stop := Serve(t, c.Handler, c.Serve, c.Server...)
	if c.Absent {
		stop()
	}
	opts := c.Dial
	if opts == nil {
		opts = Plain()
	}
	see := func(d Dial) []string {
		ctx, cancel := context.WithTimeout(context.Background(), standin.Patience)
		defer cancel()
		var s Seen
		c.Run(ctx, d(t, addr, c.Config, opts...), &s)
		return s.Lines()
	}
	direct, other := see(Direct), see(dial)
	if len(direct) == 0 {
		t.Fatal("the case sees nothing")
	}
	diff := Diff(direct, other)
	switch {
	case diff != "" && c.Differs == "":
		t.Errorf("told apart:\n%s", diff)
	case diff == "" && c.Differs != "":
		t.Errorf("can't be told apart any more, so it is no row: %s", c.Differs)
	case diff != "":
		t.Logf("a stated row (%s):\n%s", c.Differs, diff)
	}
}
