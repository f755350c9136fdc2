package upstream

import (
	"fmt"
	"log/slog"
	"sync/atomic"

	"glencart/reuse"
)

// CloseReason is why a connection to a backend was closed.
type CloseReason int

// Reasons for closing a connection to a backend.
const (
	IdleTimeout     CloseReason = iota // idle for too long
	ForRoom                            // to make room for another connection
	BackendRemoved                     // the backend left the endpoint list, drains or has restarted
	ByBackend                          // the backend ended the idle connection
	Surplus                            // bytes arrived that belong to no request
	Distrusted                         // its backend gets one request per connection
	Unsent                             // the request was not written: its client has left, its time is over, or it was cancelled
	WriteFailed                        // the request could not be written whole
	Cancelled                          // the attempt was given up after its request was written
	TimedOut                           // no whole answer in time
	Broken                             // the connection broke, or the answer was not HTTP
	AfterAnswer                        // the answer said so, or had no length
	OrderLost                          // the answer may belong to another request
	StreamBroken                       // a streamed answer was not passed on whole
	numberOfReasons = int(StreamBroken) + 1
)

// String returns the name of the reason in counters.
func (r CloseReason) String() string {
	return [numberOfReasons]string{"idle_timeout", "for_room", "backend_removed", "by_backend", "surplus", "distrusted", "unsent",
		"write_failed", "cancelled", "timeout", "broken", "after_answer", "order_lost", "stream_broken"}[r]
}

// stats counts what happened to the connections of a pool.
type stats struct {
	dials, held   atomic.Int64
	reused, waits atomic.Int64
	closed        [numberOfReasons]atomic.Int64
	surplus       [reuse.NumberOfEvidence]atomic.Int64
	notTaken      [reuse.NumberOfReasons]atomic.Int64 // answers
}

// LogValue implements slog.LogValuer. It leaves out counters that are 0.
func (p *Pool) LogValue() slog.Value {
	var attrs []slog.Attr
	for _, counter := range p.Counters() {
		if counter.Value != 0 {
			attrs = append(attrs, slog.Int64(counter.Name, counter.Value))
		}
	}
	return slog.GroupValue(attrs...)
}

// Counter is one counter of a pool.
type Counter struct {
	Name  string
	Value int64
}

// Counters returns the counters of the pool, from its start, in a fixed order.
func (p *Pool) Counters() []Counter {
	p.mu.Lock()
	distrusted := p.policy.Distrusted(p.now())
	p.mu.Unlock()
	all := []Counter{{"dials", p.stats.dials.Load()}, {"reused", p.stats.reused.Load()}, {"waits_for_quiet", p.stats.waits.Load()},
		{"answers_held", p.stats.held.Load()}, {"distrusted_backends", int64(distrusted)}}
	for i := range p.stats.closed {
		all = append(all, Counter{fmt.Sprint("closed.", CloseReason(i)), p.stats.closed[i].Load()})
	}
	for i := range p.stats.surplus {
		all = append(all, Counter{fmt.Sprint("surplus.", reuse.Evidence(i)), p.stats.surplus[i].Load()})
	}
	for reason := range reuse.Reason(reuse.NumberOfReasons) {
		if reason != reuse.NoReason {
			all = append(all, Counter{fmt.Sprint("answers_not_taken.", reason), p.stats.notTaken[reason].Load()})
		}
	}
	return all
}
