package glencartgrpc_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"glencart/glencartgrpc"
	"glencart/internal/standin"
	"glencart/internal/standin/box"
	"glencart/internal/standin/grpcbox"
)

// logged is a log that a test reads.
type logged struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logged) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

func listed(servers []*grpcbox.Server) (lines []standin.Listed) {
	for _, s := range servers {
		lines = append(lines, standin.Listed{ID: s.ID, Addr: s.Addr, Phase: "ready"})
	}
	return lines
}

// The registry as the daemon uses it: list, change, a malformed answer, and silence. A plug-in that is cut off goes on
// with the list, and takes a connection that comes up for one to a box that has just started.
func TestRegistry(t *testing.T) {
	ledger := box.NewLedger()
	s := start(t, ledger, 2)
	reg := standin.NewRegistry(t, standin.ListText(1, true, listed(s)...))
	log := &logged{}
	c := connect(t, config(func(c *glencartgrpc.Config) {
		c.Discovery, c.CutOffAfter, c.Log = reg.Addr, 1500*time.Millisecond, slog.New(slog.NewTextHandler(log, nil))
	}))
	ctx := within(t, standin.Patience)
	read := func(name string) (string, error) { return c.ask(ctx, grpcbox.Read, name, grpc.WaitForReady(true)) }
	if _, err := read("first"); err != nil {
		t.Fatal(err)
	}
	reg.Next <- `{"revision":2,` // spoils nothing
	standin.Eventually(t, "a complaint", func() bool { return log.has("discovery failed") })
	if _, err := read("after the malformed answer"); err != nil {
		t.Fatal(err)
	}
	change := listed(s)[:1]
	change[0].Phase = "draining"
	reg.Next <- standin.ListText(3, false, change...)
	standin.Eventually(t, "the drain", func() bool {
		for i := range 20 {
			if who, err := read(fmt.Sprint("d", i)); err != nil || who != "b1" {
				return false
			}
		}
		return true
	})
	reg.Server.Close()
	standin.Eventually(t, "being cut off", c.Cut)
	if _, err := read("cut off"); err != nil {
		t.Errorf("cut off: %v", err)
	}
	s[1].Kill()
	s[1].Restart(t)
	standin.Eventually(t, "the restart is found out", func() bool {
		c.ask(ctx, grpcbox.Read, "again")
		return log.has("backend has started")
	})
	standin.Eventually(t, "an answer from it", func() bool { _, err := c.ask(ctx, grpcbox.Read, "more"); return err == nil })
}

// Boxes count who is connected; where that is more than the operator's bound, it is what cold boxes are divided by.
func TestInstancesAreCounted(t *testing.T) {
	s := start(t, box.NewLedger(), 1)
	var cs []*client
	for range 5 {
		c := connect(t, config(func(c *glencartgrpc.Config) { c.Instances = 2 }))
		c.set(t, boxes(s...))
		cs = append(cs, c)
	}
	ctx := within(t, standin.Patience)
	standin.Eventually(t, "the count", func() bool {
		for _, c := range cs {
			if _, err := c.ask(ctx, grpcbox.Read, "x"); err != nil {
				t.Fatal(err)
			}
		}
		return cs[0].Instances() == 5
	})
}

// GOAWAY by a server that ends in order, with calls in it and calls that come: none is lost, none runs twice.
func TestGracefulStop(t *testing.T) {
	ledger := box.NewLedger()
	s := start(t, ledger, 3, func(c *grpcbox.Config) { c.Plain, c.Work = true, 10*time.Millisecond })
	c := connect(t, config())
	c.set(t, boxes(s...))
	var wg sync.WaitGroup
	var served atomic.Int64
	for i := range 300 {
		if i == 100 {
			wg.Go(s[0].GracefulStop)
		}
		wg.Go(func() {
			name := fmt.Sprint("g", i)
			_, err := c.ask(within(t, standin.Patience), grpcbox.Place, name)
			_, refused := glencartgrpc.Refused(err)
			n := len(ledger.Runs(name))
			if err == nil {
				served.Add(1)
			}
			if err != nil && !refused || n > 1 || refused && n > 0 || err == nil && n != 1 {
				t.Errorf("%s: %v, ran %d times", name, err, n)
			}
		})
		time.Sleep(time.Millisecond / 2)
	}
	wg.Wait()
	if served.Load() < 200 {
		t.Errorf("%d served", served.Load())
	}
}

// emptySoon wants the engine's tables empty well before any deadline (5 s) would empty them.
func emptySoon(t *testing.T, c *client) {
	t.Helper()
	began := time.Now()
	standin.Eventually(t, "empty tables", func() bool { return c.Open() == 0 })
	if took := time.Since(began); took > 2500*time.Millisecond {
		t.Errorf("the tables were empty only after %v: something waited for its deadline", took)
	}
}

// A box that says after the first message that a stream never ran: the stream is refused and not placed again.
func TestStreamIsOneAttempt(t *testing.T) {
	ledger := box.NewLedger()
	s := start(t, ledger, 2)
	c := connect(t, config())
	c.set(t, boxes(s...))
	ctx := within(t, standin.Patience)
	for i := range 30 { // earns retries
		if _, err := c.ask(ctx, grpcbox.Read, fmt.Sprint("w", i)); err != nil {
			t.Fatal(err)
		}
	}
	s[0].Drain(true)
	s[1].Drain(true)
	st, err := c.cc.NewStream(ctx, grpcbox.DownDesc, grpcbox.Down)
	if err != nil {
		t.Fatal(err)
	}
	if err := st.SendMsg(wrapperspb.String("down")); err != nil {
		t.Fatal(err)
	}
	st.CloseSend()
	err = st.RecvMsg(new(wrapperspb.StringValue))
	if _, refused := glencartgrpc.Refused(err); !refused {
		t.Errorf("%v", err)
	}
	emptySoon(t, c)
}

// Cancels that race replies, streams that are dropped unread, thousands of calls on a box that hangs: each ends, and
// the engine keeps nothing of them.
func TestNothingIsLeft(t *testing.T) {
	s := start(t, box.NewLedger(), 2, func(c *grpcbox.Config) { c.Queue = 4000 })
	c := connect(t, config())
	c.set(t, boxes(s...))
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(3, 3))
	for i := range 400 {
		ctx, cancel := context.WithTimeout(context.Background(), standin.Patience)
		after := time.Duration(rng.IntN(4000)) * time.Microsecond
		wg.Go(func() {
			defer cancel()
			time.AfterFunc(after, cancel)
			method := grpcbox.Place
			if i%2 == 0 {
				method = grpcbox.Read // may be placed again, and must not be
			}
			_, err := c.ask(ctx, method, fmt.Sprint("c", i))
			if code := status.Code(err); err != nil && code != codes.Canceled && code != codes.ResourceExhausted {
				t.Errorf("%v", err)
			}
		})
		wg.Go(func() { // dropped unread, begun or not
			ctx, drop := context.WithTimeout(context.Background(), standin.Patience)
			defer drop()
			st, err := c.cc.NewStream(ctx, grpcbox.ChatDesc, grpcbox.Chat)
			if err == nil && i%2 == 0 {
				st.SendMsg(wrapperspb.String(fmt.Sprint("s", i)))
			}
		})
	}
	wg.Wait()
	emptySoon(t, c)
	s[0].Hang(true)
	s[1].Hang(true)
	for i := range 3000 {
		wg.Go(func() { c.ask(within(t, 300*time.Millisecond), grpcbox.Read, fmt.Sprint("h", i)) })
	}
	wg.Wait()
	s[0].Hang(false)
	s[1].Hang(false)
	emptySoon(t, c)
}

// A stream whose ClientConn is closed while the application holds it unread ends at the engine too.
func TestStreamLeftOpenAtClose(t *testing.T) {
	s := start(t, box.NewLedger(), 1)
	c := connect(t, config())
	c.set(t, boxes(s...))
	for i := range 3 {
		st, err := c.cc.NewStream(context.Background(), grpcbox.ChatDesc, grpcbox.Chat)
		if err != nil {
			t.Fatal(err)
		}
		if i > 0 {
			if err := st.SendMsg(wrapperspb.String("x")); err != nil {
				t.Fatal(err)
			}
		}
		if i > 1 {
			if err := st.RecvMsg(new(wrapperspb.StringValue)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := c.Open(); n != 3 {
		t.Fatalf("%d open", n)
	}
	c.cc.Close()
	standin.Eventually(t, "empty tables", func() bool { return c.Open() == 0 })
}

// Transport credentials are the application's.
func TestTLS(t *testing.T) {
	keep := httptest.NewTLSServer(nil) // for its certificate
	defer keep.Close()
	pool := x509.NewCertPool()
	pool.AddCert(keep.Certificate())
	s := grpcbox.Start(t, grpcbox.Config{Config: box.Config{ID: "b0"}}, box.NewLedger(),
		grpc.Creds(credentials.NewTLS(&tls.Config{Certificates: keep.TLS.Certificates})))
	p, err := glencartgrpc.New(config())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if err := p.SetList(boxes(s)); err != nil {
		t.Fatal(err)
	}
	cc, err := grpc.NewClient("glencart:///orders", append(p.DialOptions(),
		grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{RootCAs: pool, ServerName: "example.com"})))...)
	if err != nil {
		t.Fatal(err)
	}
	defer cc.Close()
	if err := cc.Invoke(within(t, standin.Patience), grpcbox.Read, wrapperspb.String("x"), new(wrapperspb.StringValue)); err != nil {
		t.Error(err)
	}
}

// A plug-in that is closed with calls in it, on a box that hangs and with no deadline of the application's: each ends.
func TestPluginClosedInFlight(t *testing.T) {
	s := start(t, box.NewLedger(), 1)
	s[0].Hang(true)
	defer s[0].Hang(false)
	c := connect(t, config())
	c.set(t, boxes(s...))
	ended := make(chan error, 2)
	go func() { _, err := c.ask(context.Background(), grpcbox.Place, "a"); ended <- err }()
	go func() {
		st, err := c.cc.NewStream(context.Background(), grpcbox.ChatDesc, grpcbox.Chat)
		if err == nil {
			st.SendMsg(wrapperspb.String("b"))
			err = st.RecvMsg(new(wrapperspb.StringValue))
		}
		ended <- err
	}()
	standin.Eventually(t, "two calls at the box", func() bool { n, _ := s[0].Held(); return n == 2 })
	c.Close()
	for range 2 {
		if err := standin.Receive(t, "an end", ended); err == nil {
			t.Error("answered")
		} else if _, refused := glencartgrpc.Refused(err); refused {
			t.Errorf("refused, and it ran: %v", err)
		}
	}
}

// A stream outlives its class's deadline, also one that the application opens and uses only later; when it breaks then,
// it has failed, and is not late.
func TestStreamOutlivesTheClass(t *testing.T) {
	s := start(t, box.NewLedger(), 1)
	c := connect(t, config(func(c *glencartgrpc.Config) {
		c.Settings = []byte(strings.ReplaceAll(testSettings, `"deadline":5000000000`, `"deadline":200000000`))
	}))
	c.set(t, boxes(s...))
	st, err := c.cc.NewStream(within(t, standin.Patience), grpcbox.ChatDesc, grpcbox.Chat)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(400 * time.Millisecond)
	for i := range 2 {
		if err := st.SendMsg(wrapperspb.String(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
		if err := st.RecvMsg(new(wrapperspb.StringValue)); err != nil {
			t.Fatal(err)
		}
	}
	s[0].Kill()
	err = st.RecvMsg(new(wrapperspb.StringValue))
	if _, refused := glencartgrpc.Refused(err); refused || status.Code(err) == codes.DeadlineExceeded || err == nil {
		t.Errorf("%v", err)
	}
}
