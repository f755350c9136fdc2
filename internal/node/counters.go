package node

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"glencart/internal/clients"
	"glencart/internal/engine"
	"glencart/internal/inflight"
	"glencart/internal/members/registry"
	"glencart/internal/upstream"
)

// counters are the counters for operators, from the start of the process.
type counters struct {
	mu      sync.Mutex
	classes []*classCounters // in the order in which settings listed them; a removed class keeps its counts
	byName  map[string]*classCounters

	reloadsOK, reloadsFailed        atomic.Int64
	knownBackends, excludedBackends atomic.Int64 // numbers of backends, as of the last update by the loop

	discovery *registry.Stats // nil if no discovery is used
	decisions *engine.Stats
	backends  *upstream.Pool
	currency  *listCurrency // nil: discovery is no agent
	late      *lateAnswers
	attempts  *transport
	front     *front
	unsafeIDs *inflight.Table
	listener  *clients.Listener
}

// classCounters are the counters of one class.
type classCounters struct {
	name                              string
	served, refused, failed, attempts atomic.Int64
}

// countersInterval is the interval at which values owned by the loop are copied. Counters may be 0.5 s old.
const countersInterval = 200 * time.Millisecond

// class returns the counters of a class. They start at 0 when the class is first listed.
func (f *counters) class(name string) *classCounters {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.byName[name]
	if c == nil {
		c = &classCounters{name: name}
		if f.byName == nil {
			f.byName = map[string]*classCounters{}
		}
		f.byName[name] = c
		f.classes = append(f.classes, c)
	}
	return c
}

// classesWith returns how many classes there would be after adding more.
func (f *counters) classesWith(more []string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.classes)
	for _, name := range more {
		if f.byName[name] == nil {
			n++
		}
	}
	return n
}

// answered counts a request by its final answer.
func (c *classCounters) answered(kind engine.AnswerKind) {
	switch kind {
	case engine.Served:
		c.served.Add(1)
	case engine.Refused:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// format returns the counters, one per line.
func (f *counters) format(inFlight int64) []byte {
	b := make([]byte, 0, 1<<10)
	line := func(name string, n int64) {
		b = append(append(b, "app."...), name...)
		b = append(strconv.AppendInt(append(b, '='), n, 10), '\n')
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var attempts int64
	for _, c := range f.classes {
		n := c.attempts.Load()
		attempts += n
		for _, k := range []struct {
			name string
			n    int64
		}{{"served", c.served.Load()}, {"refused", c.refused.Load()}, {"failed", c.failed.Load()}, {"attempts", n}} {
			line("requests."+c.name+"."+k.name, k.n)
		}
	}
	line("attempts", attempts)
	line("in_flight", inFlight)
	line("backends_known", f.knownBackends.Load())
	line("backends_excluded", f.excludedBackends.Load())
	line("reloads_ok", f.reloadsOK.Load())
	line("reloads_failed", f.reloadsFailed.Load())
	if d := f.discovery; d != nil {
		line("discovery.list_age_ms", d.ListAge().Milliseconds())
		line("discovery.calls_begun", d.Begun.Load())
		line("discovery.calls_given_up", d.GivenUp.Load())
		line("discovery.calls_failed", d.Failed.Load())
		line("discovery.answers_late", d.AnsweredLate.Load())
		line("discovery.answers_not_taken", d.Rejected.Load())
		line("discovery.lists_taken", d.ListsAccepted.Load())
	}
	if f.decisions != nil {
		line("process.lag_ms", f.decisions.Lag().Milliseconds())
		line("process.shortages", f.decisions.Shortages())
		line("process.probes_left_out", f.decisions.ProbesLeftOut())
		f.decisions.EachProbe(func(result engine.ProbeResult, n int64) { line("probes."+result.String(), n) })
		line("probes.share_percent", f.decisions.ProbeSharePercent())
	}
	if l := f.late; l != nil {
		line("process.late_answers", l.late.Load())
		line("process.overdue_answers", l.overdue.Load())
	}
	if l := f.currency; l != nil {
		line("discovery.confirmation_age_ms", l.age().Milliseconds())
		line("discovery.requests_waited", l.waits.Load())
		line("discovery.requests_unconfirmed", l.unconfirmed.Load())
	}
	if f.decisions != nil {
		f.decisions.EachRetry(func(reason engine.RetryReason, n int64) { line("retries."+reason.String(), n) })
		f.decisions.EachRefusal(func(reason engine.RefusalReason, n int64) { line("refusals."+reason.String(), n) })
	}
	if f.attempts != nil {
		line("attempts_not_encoded", f.attempts.notEncoded.Load())
	}
	if f.front != nil {
		f.front.eachMemoryCounter(line)
	}
	if f.unsafeIDs != nil {
		line("requests_repeated", f.decisions.Duplicates())
		line("ids_evicted", f.unsafeIDs.Evicted())
	}
	if f.listener != nil {
		line("clients.heads_rejected", f.listener.RejectedHeads())
	}
	if f.backends != nil {
		for _, counter := range f.backends.Counters() {
			line("backend_connections."+counter.Name, counter.Value)
		}
	}
	return b
}
