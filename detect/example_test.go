package detect_test

import (
	"fmt"
	"time"

	"glencart/detect"
)

// Example runs two processes on a network without loss. One has the other's address as a seed.
func Example() {
	start := detect.FirstStart(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), 1)
	byAddr := map[string]*detect.Detect{
		"a:7946": detect.New(detect.Config{Name: "a", Start: start, Addr: "a:7946"}),
		"b:7946": detect.New(detect.Config{Name: "b", Start: start, Addr: "b:7946", Seeds: []string{"a:7946"}}),
	}
	var handle func(now time.Duration, at string, ev detect.Event)
	handle = func(now time.Duration, at string, ev detect.Event) {
		for _, a := range byAddr[at].Handle(now, ev, nil) {
			switch a.Kind {
			case detect.Send, detect.Exchange:
				handle(now, a.Addr, detect.Event{Kind: detect.Received, From: at, Message: a.Message})
			case detect.Changed:
				fmt.Printf("%s: %s is %s: %s\n", at, a.Update.Name, a.Update.State, a.Cause)
			}
		}
	}
	handle(0, "a:7946", detect.Event{Kind: detect.Start})
	handle(0, "b:7946", detect.Event{Kind: detect.Start})
	for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
		handle(now, "b:7946", detect.Event{Kind: detect.Tick})
	}
	handle(time.Second, "b:7946", detect.Event{Kind: detect.Leave})
	// Output:
	// a:7946: b is alive: the process announced it
	// b:7946: a is alive: the process announced it
	// a:7946: b is left: the process announced it
}
