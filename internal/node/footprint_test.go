package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkIdleNodeFootprint measures the cost of lists of backends and peers in an idle node: bytes of heap and stacks in
// use, and goroutines.
func BenchmarkIdleNodeFootprint(b *testing.B) {
	for _, backends := range []int{20, 200, 1024} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			var members []listedBackend
			for i := range backends {
				members = append(members, listedBackend{ID: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1+i), Phase: "ready"})
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
				for i := range backends {
					cfg.Peers = append(cfg.Peers, fmt.Sprintf("127.0.0.1:%d", 1000+i))
				}
				cfg.PeerListen = "127.0.0.1:0"
				b.StartTimer()
				n, err := New(t.Context(), cfg, discardLog())
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

// BenchmarkLoadedNodeFootprint measures the heap and stacks, goroutines and answers of a node whose request slots are in use. 64 clients
// send without a pause, and each answer takes 20 ms. Backends and clients run in a process of their own.
func BenchmarkLoadedNodeFootprint(b *testing.B) {
	for _, backends := range []int{20, 200, 1024} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			for b.Loop() {
				helper := exec.Command(os.Args[0], "-test.run=^$")
				helper.Env = append(os.Environ(), fmt.Sprintf("%s=%d", loadHelperEnv, backends))
				stdin, _ := helper.StdinPipe()
				stdout, _ := helper.StdoutPipe()
				if err := helper.Start(); err != nil {
					b.Fatal(err)
				}
				output := bufio.NewScanner(stdout)
				var members []listedBackend
				for i := 0; i < backends && output.Scan(); i++ {
					members = append(members, listedBackend{ID: fmt.Sprintf("s-%d", i), Addr: output.Text(), Phase: "ready"})
				}
				var before, now runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				goroutines := runtime.NumGoroutine()
				cfg := testConfig(&testing.T{}, "127.0.0.1:1", listText(1, true, members...))
				cfg.Limits = Limits{Cores: 1, MemoryMB: 32, Sockets: 256}
				n, err := New(context.Background(), cfg, discardLog())
				if err != nil {
					b.Fatal(err)
				}
				ctx, end := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func() { ended <- n.Run(ctx) }()
				fmt.Fprintln(stdin, n.Addr())
				var peakHeap, peakGoroutines, served uint64
				for output.Scan() { // the number of answers, ten times a second
					runtime.ReadMemStats(&now)
					peakHeap = max(peakHeap, now.HeapAlloc+now.StackInuse)
					peakGoroutines = max(peakGoroutines, uint64(runtime.NumGoroutine()-goroutines))
					fmt.Sscan(output.Text(), &served)
				}
				end()
				<-ended
				stdin.Close()
				helper.Wait()
				b.ReportMetric(float64(int64(peakHeap)-int64(before.HeapAlloc+before.StackInuse)), "B-held")
				b.ReportMetric(float64(peakGoroutines), "goroutines")
				b.ReportMetric(float64(served), "answers")
			}
		})
	}
}

// loadHelperEnv names the environment variable with which the test binary runs as this many backends, and as 64 clients of a node for
// two seconds. It reads the address of the node from standard input.
const loadHelperEnv = "GLENCART_TEST_SURROUNDINGS"

func init() {
	backends, _ := strconv.Atoi(os.Getenv(loadHelperEnv))
	if backends == 0 {
		return
	}
	for range backends {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			os.Exit(1)
		}
		fmt.Println(l.Addr())
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/stats" {
				time.Sleep(20 * time.Millisecond)
			}
			io.WriteString(w, "{}")
		}))
	}
	var addr string
	fmt.Scanln(&addr)
	var answers atomic.Int64
	for i := range 64 {
		go func() {
			client := &http.Client{Transport: &http.Transport{}}
			for k := 0; ; k++ {
				r, _ := http.NewRequest("POST", "http://"+addr+"/api/x", nil)
				r.Header = http.Header{"X-Qos": {"order"}, "X-Customer": {"acme"}, "X-Trace-Id": {fmt.Sprintf("r%d-%d", i, k)}, "X-Expires-In": {"9"}}
				resp, err := client.Do(r)
				if err != nil {
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == 200 {
					answers.Add(1)
				}
			}
		}()
	}
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		fmt.Println(answers.Load())
	}
	os.Exit(0)
}
