package conform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// Script is what both sides of one call do, a word a step. The handler's: recv, head, send, trail, hang (until the call
// is over), and last end=CODE. The client's: send, close, head, recv, cancel; then it receives to the end and
// looks at everything once more.
type Script struct {
	Kind    string // unary, up, down or chat
	Class   string // Read or Place: the method, and so the class
	Handler string
	Client  string
}

func (s Script) String() string {
	return fmt.Sprintf("%s %s | handler: %s | client: %s", s.Kind, s.Class, s.Handler, s.Client)
}

// Methods of a script's classes.
const (
	ReadMethod  = "/conform.Read/Do"
	PlaceMethod = "/conform.Place/Do"
)

func (s Script) method() string {
	if s.Class == "Read" {
		return ReadMethod
	}
	return PlaceMethod
}

// ownWords is a message that a careless reader could take for the plug-in's.
const ownWords = "glencartgrpc: refused: no backend may take it now"

// Draw draws a script. What both sides wait for may never come: then the deadline ends it.
func Draw(rng *rand.Rand) Script {
	pick := func(words ...string) string { return words[rng.IntN(len(words))] }
	s := Script{Kind: pick("unary", "up", "down", "chat", "chat"), Class: pick("Read", "Place")}
	var h, c []string
	for range rng.IntN(5) {
		h = append(h, pick("recv", "head", "send", "send", "trail"))
	}
	for range rng.IntN(6) {
		c = append(c, pick("send", "send", "close", "head", "recv"))
	}
	if rng.IntN(6) == 0 {
		// Two answers where one may come are an error, and it is not promised whether it or the cancel is seen first.
		if s.Kind == "unary" || s.Kind == "up" {
			h = slices.DeleteFunc(h, func(w string) bool { return w == "send" })
		}
		c = slices.DeleteFunc(c, func(w string) bool { return w == "recv" || w == "head" }) // or the deadline would come first
		h, c = append(h, "hang"), append(c, "cancel")
	}
	code := 0
	if rng.IntN(2) == 0 {
		for code = 4; code == 4; { // which a deadline could not be told from
			code = 1 + rng.IntN(17)
		}
	}
	s.Handler, s.Client = strings.Join(append(h, fmt.Sprint("end=", code)), " "), strings.Join(c, " ")
	return s
}

// Handle is the handler of scripts.
func Handle(_ any, ss grpc.ServerStream) error {
	md, _ := metadata.FromIncomingContext(ss.Context())
	words := md.Get("script")
	if len(words) == 0 {
		return status.Error(codes.InvalidArgument, "no script")
	}
	for _, w := range strings.Fields(words[0]) {
		var err error
		switch w {
		case "recv":
			if err = ss.RecvMsg(new(wrapperspb.StringValue)); err == io.EOF {
				err = nil
			}
		case "head":
			ss.SendHeader(metadata.Pairs("h", "first", "h-bin", "\x00\xff"))
		case "send":
			err = ss.SendMsg(wrapperspb.String("from the handler"))
		case "trail":
			ss.SetTrailer(metadata.Pairs("t", "last", "t-bin", "\xff\x00"))
		case "hang":
			<-ss.Context().Done()
		default:
			code, _ := strconv.Atoi(strings.TrimPrefix(w, "end="))
			return End(code)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// End is a handler's status: some have details, some the plug-in's own words or a forged ErrorInfo of its.
func End(code int) error {
	if code == 0 {
		return nil
	}
	st := status.New(codes.Code(code), fmt.Sprint("ended\twith ", code, " ☺"))
	if code%3 == 0 {
		st = status.New(codes.Code(code), ownWords)
	}
	if code%2 == 0 {
		return st.Err()
	}
	with, err := st.WithDetails(&errdetails.DebugInfo{Detail: "the handler's"},
		&errdetails.ErrorInfo{Domain: "glencart", Reason: "REFUSED", Metadata: map[string]string{"forged": "yes"}})
	if err != nil {
		return err
	}
	return with.Err()
}

// scriptTime is the deadline of a script that both sides wait in.
const scriptTime = 300 * time.Millisecond

// Run plays the client's side, and returns what it saw.
func (s Script) Run(cc *grpc.ClientConn) []string {
	ctx, cancel := context.WithTimeout(context.Background(), scriptTime)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "script", s.Handler)
	lines := s.run(ctx, cancel, cc)
	// What had come before the deadline is not promised, nor on which side it rings first.
	code := lastCode(lines)
	if ctx.Err() == context.DeadlineExceeded || code == "DeadlineExceeded" || slices.Contains(lines, "finished: [DeadlineExceeded]") {
		return []string{"ended by its deadline: " + code}
	}
	return lines
}

// lastCode is the code of the last thing that a script received or was refused.
func lastCode(lines []string) string {
	for _, l := range slices.Backward(lines) {
		if what, rest, _ := strings.Cut(l, ": "); strings.HasPrefix(what, "recv") || strings.HasPrefix(what, "unary") ||
			strings.HasPrefix(what, "new stream") || strings.HasPrefix(what, "cancelled") {
			return strings.Fields(rest)[0]
		}
	}
	return "(none)"
}

func (s Script) run(ctx context.Context, cancel func(), cc *grpc.ClientConn) []string {
	var o Seen
	var head, trail metadata.MD
	var finished []codes.Code
	opts := []grpc.CallOption{grpc.OnFinish(func(err error) { finished = append(finished, status.Code(err)) })}
	message := wrapperspb.String("from the client")
	if s.Kind == "unary" {
		if strings.Contains(s.Client, "cancel") {
			time.AfterFunc(10*time.Millisecond, cancel)
		}
		var out wrapperspb.StringValue
		err := cc.Invoke(ctx, s.method(), message, &out, append(opts, grpc.Header(&head), grpc.Trailer(&trail))...)
		o.Err("unary "+out.Value, err)
		o.ends(ctx, err, head, func() metadata.MD { return trail })
		if !strings.Contains(fmt.Sprint(err), "cardinality") { // there grpc-go itself never calls OnFinish
			o.Note("finished: %v", finished)
		}
		return o.Lines()
	}
	desc := &grpc.StreamDesc{StreamName: "Do", ClientStreams: s.Kind != "down", ServerStreams: s.Kind != "up"}
	st, err := cc.NewStream(ctx, desc, s.method(), opts...)
	if err != nil {
		o.Err("new stream", err)
		return o.Lines()
	}
	recv := func() error {
		var in wrapperspb.StringValue
		err := st.RecvMsg(&in)
		if err == io.EOF {
			o.Note("recv: EOF")
		} else {
			o.Err("recv "+in.Value, err)
		}
		return err
	}
	var end error
	cancelled, mistake := false, false
	for _, w := range strings.Fields(s.Client) {
		switch w {
		case "send":
			if err := st.SendMsg(message); err != nil && err != io.EOF { // whether it has left is not promised
				o.Err("send", err)
				end, mistake = err, true
			}
		case "close":
			st.CloseSend()
		case "head":
			if end == nil {
				md, err := st.Header()
				o.Err("head", err)
				o.MD("head", md, "h", "h-bin")
			}
		case "recv":
			if end == nil && (desc.ServerStreams || len(o.lines) == 0) {
				end = recv()
			}
		case "cancel":
			cancel()
			cancelled = true
		}
	}
	if cancelled { // how much had come before is not promised
		var err error
		for err == nil {
			err = st.RecvMsg(new(wrapperspb.StringValue))
			if !desc.ServerStreams {
				break
			}
		}
		o.Note("cancelled: %v", status.Code(err))
		return o.Lines()
	}
	st.CloseSend()
	for n := 0; end == nil && n < 10; n++ {
		if end = recv(); !desc.ServerStreams {
			break
		}
	}
	if !mistake { // what had come before is not promised
		o.ends(ctx, end, nil, st.Trailer)
	}
	if md, err := st.Header(); end != nil {
		o.Err("head at the end", err)
		o.MD("head at the end", md, "h")
	}
	if err := st.SendMsg(message); err == nil && end != nil {
		o.Note("a message is taken after the end")
	}
	// Else it may be on its way; and of an answer of the wrong number of messages grpc-go itself tells this or that.
	if ctx.Err() == nil && end != nil && !strings.Contains(end.Error(), "cardinality") {
		o.Note("finished: %v", finished)
	}
	return o.Lines()
}

// ends adds headers and trailers, where an end is the handler's: with a deadline it is not promised what has come.
func (s *Seen) ends(ctx context.Context, err error, head metadata.MD, trail func() metadata.MD) {
	// With an answer that gRPC stopped reading they may come still.
	if code := status.Code(err); ctx.Err() != nil || code == codes.DeadlineExceeded || strings.Contains(fmt.Sprint(err), "cardinality") {
		return
	}
	s.MD("header", head, "h", "h-bin")
	s.MD("trailer", trail(), "t", "t-bin")
}

// Cut plays a script whose client sends once and reads to the end, and cuts it off after a time, by a cancel or by its
// deadline. It returns the code of the end, and how often OnFinish told it.
func (s Script) Cut(cc *grpc.ClientConn, after time.Duration, byCancel bool) (code codes.Code, told int) {
	ctx, cancel := context.WithCancel(metadata.AppendToOutgoingContext(context.Background(), "script", s.Handler))
	defer cancel()
	if byCancel {
		defer time.AfterFunc(after, cancel).Stop()
	} else {
		var stop func()
		ctx, stop = context.WithTimeout(ctx, after)
		defer stop()
	}
	ended := make(chan struct{}, 8)
	opts := []grpc.CallOption{grpc.OnFinish(func(error) { ended <- struct{}{} })}
	message := wrapperspb.String("from the client")
	var err error
	if s.Kind == "unary" {
		err = cc.Invoke(ctx, s.method(), message, new(wrapperspb.StringValue), opts...)
	} else {
		var st grpc.ClientStream
		st, err = cc.NewStream(ctx, &grpc.StreamDesc{ClientStreams: s.Kind == "chat", ServerStreams: true}, s.method(), opts...)
		if err == nil {
			if err = st.SendMsg(message); err == nil || err == io.EOF {
				st.CloseSend()
				for err = error(nil); err == nil; {
					err = st.RecvMsg(new(wrapperspb.StringValue))
				}
			}
			if err == io.EOF {
				err = nil
			}
		}
	}
	<-ended // a stream's may be on its way
	return status.Code(err), 1 + len(ended)
}
