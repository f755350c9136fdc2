package glencartgrpc_test

import (
	"context"
	"fmt"
	"log"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/emptypb"

	"glencart/glencartgrpc"
)

// A call with no backend in the list is refused at once: trying again is harmless.
func Example() {
	plugin, err := glencartgrpc.New(glencartgrpc.Config{
		Target: "orders",
		Settings: []byte(`{"classes":[{"name":"place-order","effect":"side_effect","aim":200000000,"deadline":2000000000,"points":1}],
			"limits":{"maxAttempts":3,"retryAfter":true,"maxRetryAfter":2000000000}}`),
		Methods: map[string]string{"/shop.Orders/": "place-order"},
	})
	if err != nil {
		log.Fatal(err)
	}
	defer plugin.Close()
	if err := plugin.SetList(nil); err != nil { // or Config.Discovery
		log.Fatal(err)
	}
	cc, err := grpc.NewClient("glencart:///orders",
		append(plugin.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	if err != nil {
		log.Fatal(err)
	}
	defer cc.Close()

	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err = cc.Invoke(ctx, "/shop.Orders/Place", &emptypb.Empty{}, &emptypb.Empty{})
	if retryIn, refused := glencartgrpc.Refused(err); refused {
		fmt.Println("refused; come back in", retryIn)
	}
	// Output: refused; come back in 200ms
}
