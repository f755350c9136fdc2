// Command grpc shows the plug-in at work, on loopback and with nothing else to start: three backends, a client that
// spreads its calls over them by glencartgrpc, and a drain and a crash on the way.
//
//	go run ./examples/grpc
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"net"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"glencart/glencartgrpc"
)

// settings are what an operator writes for the whole installation: the classes of calls and the limits. Times are in
// nanoseconds, as the daemon takes them.
const settings = `{
  "classes": [
    {"name": "menu-read",   "effect": "pure",        "aim": 100000000, "deadline": 1000000000, "points": 1},
    {"name": "place-order", "effect": "side_effect", "aim": 200000000, "deadline": 2000000000, "points": 5}
  ],
  "limits": {"maxAttempts": 3, "retryAfter": true, "maxRetryAfter": 2000000000, "connectTimeout": 300000000},
  "obligations": {"drainGrace": 500000000, "coldShare": 0.1, "warmWithin": 5000000000, "fallMultiple": 3, "overloadFor": 1000000000}
}`

const (
	readMenu   = "/example.Kitchen/ReadMenu"
	placeOrder = "/example.Kitchen/PlaceOrder"
)

func main() {
	lasts := flag.Duration("for", 6*time.Second, "how long to send calls")
	flag.Parse()
	if err := run(*lasts); err != nil {
		log.Fatal(err)
	}
}

func run(lasts time.Duration) error {
	var kitchens []*kitchen
	for i := range 3 {
		k, err := open(fmt.Sprint("kitchen-", i))
		if err != nil {
			return err
		}
		defer k.srv.Stop()
		kitchens = append(kitchens, k)
	}

	plugin, err := glencartgrpc.New(glencartgrpc.Config{
		Target:   "kitchens",
		Settings: []byte(settings),
		Methods:  map[string]string{readMenu: "menu-read", "/example.Kitchen/": "place-order"},
	})
	if err != nil {
		return err
	}
	defer plugin.Close()
	var list []glencartgrpc.Box
	for _, k := range kitchens {
		list = append(list, glencartgrpc.Box{ID: k.name, Addr: k.addr})
	}
	if err := plugin.SetList(list); err != nil {
		return err
	}
	cc, err := grpc.NewClient("glencart:///kitchens",
		append(plugin.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	if err != nil {
		return err
	}
	defer cc.Close()

	var mu sync.Mutex
	count := map[string]map[string]int{}
	note := func(method, end string) {
		mu.Lock()
		defer mu.Unlock()
		if count[method] == nil {
			count[method] = map[string]int{}
		}
		count[method][end]++
	}
	began := time.Now()
	third := lasts / 3
	steps := []struct {
		at   time.Duration
		text string
		do   func()
	}{
		{third, "kitchen-0 says that it drains; the list does not know yet", kitchens[0].guard.Drain},
		{2 * third, "kitchen-1 dies without a word", kitchens[1].srv.Stop},
	}
	fmt.Println("0s: three kitchens, 300 calls a second")
	var wg sync.WaitGroup
	for i := 0; time.Since(began) < lasts; i++ {
		if len(steps) > 0 && time.Since(began) > steps[0].at {
			fmt.Printf("%v: %s\n", steps[0].at, steps[0].text)
			go steps[0].do()
			steps = steps[1:]
		}
		method := readMenu
		if i%3 == 0 {
			method = placeOrder
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var who wrapperspb.StringValue
			err := cc.Invoke(ctx, method, wrapperspb.String(fmt.Sprint(i)), &who)
			switch _, refused := glencartgrpc.Refused(err); {
			case err == nil:
				note(method, who.Value)
			case refused:
				note(method, "refused") // trying again is harmless
			default:
				note(method, "failed") // it may have run: ask before trying again
			}
		})
		time.Sleep(time.Second / 300)
	}
	wg.Wait()

	fmt.Println()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	ends := []string{"kitchen-0", "kitchen-1", "kitchen-2", "refused", "failed"}
	fmt.Fprint(w, "answered by\t")
	for _, e := range ends {
		fmt.Fprintf(w, "%s\t", e)
	}
	fmt.Fprintln(w)
	for _, m := range []string{readMenu, placeOrder} {
		fmt.Fprintf(w, "%s\t", m)
		for _, e := range ends {
			fmt.Fprintf(w, "%d\t", count[m][e])
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	twice := 0
	for _, k := range kitchens {
		for id, n := range k.orders() {
			for _, other := range kitchens {
				if other != k {
					n += other.orders()[id]
				}
			}
			if n > 1 {
				twice++
			}
		}
	}
	fmt.Printf("orders that ran twice: %d\n", twice)
	return nil
}

// kitchen is one backend.
type kitchen struct {
	name, addr string
	srv        *grpc.Server
	guard      *glencartgrpc.Guard

	mu  sync.Mutex
	ran map[string]int
}

func open(name string) (*kitchen, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &kitchen{name: name, addr: l.Addr().String(), ran: map[string]int{},
		guard: glencartgrpc.NewGuard(glencartgrpc.GuardConfig{MaxInFlight: 64})}
	k.srv = grpc.NewServer(k.guard.ServerOptions()...)
	k.srv.RegisterService(&grpc.ServiceDesc{
		ServiceName: "example.Kitchen", HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{{MethodName: "ReadMenu", Handler: handler(readMenu)}, {MethodName: "PlaceOrder", Handler: handler(placeOrder)}},
	}, k)
	go k.srv.Serve(l)
	return k, nil
}

// handler is what protoc would generate for a method.
func handler(method string) grpc.MethodHandler {
	return func(srv any, ctx context.Context, dec func(any) error, mid grpc.UnaryServerInterceptor) (any, error) {
		in := new(wrapperspb.StringValue)
		if err := dec(in); err != nil {
			return nil, err
		}
		k := srv.(*kitchen)
		return mid(ctx, in, &grpc.UnaryServerInfo{Server: srv, FullMethod: method}, func(ctx context.Context, req any) (any, error) {
			return k.cook(method, req.(*wrapperspb.StringValue).Value), nil
		})
	}
}

func (k *kitchen) cook(method, id string) *wrapperspb.StringValue {
	if method == placeOrder {
		k.mu.Lock()
		k.ran[id]++
		k.mu.Unlock()
	}
	time.Sleep(10 * time.Millisecond)
	return wrapperspb.String(k.name)
}

// orders returns a copy of what ran here.
func (k *kitchen) orders() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	ran := make(map[string]int, len(k.ran))
	for id, n := range k.ran {
		ran[id] = n
	}
	return ran
}
