package balance

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkRequestAtFullSize handles one request with its probes and its response, in a fleet of full size. The subset of
// the node has all backends.
func BenchmarkRequestAtFullSize(b *testing.B) {
	cfg := testConfig()
	cfg.Instances, cfg.Prices.Probe = 600, 0.001
	cfg.Tenants = nil
	members := make([]Member, 250)
	for i := range members {
		members[i] = member(BackendID(i+1), 0, i/5)
	}
	r := newRig(b, cfg, members...)
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		r.wait(200 * time.Millisecond)
		r.do(Event{Kind: RequestArrived, Request: id, Hint: 20 * ms, Budget: time.Second})
		for _, a := range ofKind(Probe, r.last) {
			r.do(report(a.Backend, 1))
			for _, s := range ofKind(Send, r.last) {
				r.do(Event{Kind: Outcome, Request: id, Backend: s.Backend, Elapsed: 20 * ms, RequestEnded: true})
			}
		}
		r.do(Event{Kind: Timer, TimerID: r.b.lastMark})
	}
}
