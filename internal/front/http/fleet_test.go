package httpfront

import (
	"fmt"
	"testing"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/standin"
)

// Pools divide by as many instances as there are, and by no fewer than the file says: a second one that comes and goes is told to the
// first one's pools, and to all of them after a reload.
func TestInstancesAreCounted(t *testing.T) {
	box := handler(t, nil)
	file := func(name, seeds string) string {
		return fmt.Sprintf("[fleet]\ncluster = \"shop\"\nname = %q\nlisten = \"127.0.0.1:0\"\nseeds = [%s]\n", name, seeds) + onePool
	}
	first := serve(t, file("a", ""), map[string]string{"a": box})
	counted := make(chan int, 8)
	watch := func(pool string) {
		loop := first.gen.Load().pools[pool].loop
		loop.Post(func() {
			loop.Trace = func(s engine.Step) {
				if s.Event.Kind == balance.InstancesChanged {
					counted <- s.Event.Instances
				}
			}
		})
	}
	want := func(n int) {
		t.Helper()
		if got := standin.Receive(t, "the number of instances", counted); got != n {
			t.Errorf("%d instances, want %d", got, n)
		}
	}
	watch("p")
	second := serve(t, file("b", fmt.Sprintf("%q", first.others.Addr())), map[string]string{"a": box})
	want(2)
	first.reload(file("a", "")+"\n[[pool]]\nname = \"more\"\nboxes = [{ address = \"127.0.0.1:1\" }]\n", map[string]string{"a": box})
	want(2) // a reload tells all pools: those that are new have the file's number
	watch("more")
	second.stop()
	want(1)
	want(1)
}
