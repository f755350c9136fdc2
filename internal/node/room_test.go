package node

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkRoom tells what lists of backends and peers take: bytes of heap and stacks in use, and goroutines, of a node at rest.
func BenchmarkRoom(b *testing.B) {
	for _, many := range []int{20, 200, 1024} {
		b.Run(fmt.Sprintf("backends=%d", many), func(b *testing.B) {
			var members []listed
			for i := range many {
				members = append(members, listed{ID: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1+i), Phase: "ready"})
			}
			text := listText(1, true, members...)
			for b.Loop() {
				b.StopTimer()
				runtime.GC()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				goroutines := runtime.NumGoroutine()
				t := &testing.T{}
				cfg := testConfig(t, "127.0.0.1:1", text)
				cfg.Limits = Limits{Cores: 1, MemoryMB: 32, Sockets: 256}
				for i := range many {
					cfg.Peers = append(cfg.Peers, fmt.Sprintf("127.0.0.1:%d", 1000+i))
				}
				cfg.PeerListen = "127.0.0.1:0"
				b.StartTimer()
				n, err := New(cfg, quiet())
				if err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc+after.StackInuse)-float64(before.HeapAlloc+before.StackInuse), "B-held")
				b.ReportMetric(float64(runtime.NumGoroutine()-goroutines), "goroutines")
				n.close()
				b.StartTimer()
			}
		})
	}
}
