// Package registry keeps an endpoint list up to date from the HTTP registry that the platform calls discovery. It reads the
// complete list, watches for changes, reconnects, and switches to another address on request. The node, `serve` and the gRPC
// plug-in share it.
package registry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/lograte"
	"glencart/internal/members/registry/pace"
	"glencart/internal/settings"
)

// Source follows one registry, and switches to another on request.
type Source struct {
	names      settings.Settings
	http       *http.Client
	log        *slog.Logger
	agentCalls int               // calls that may be open to an agent on this machine; 0: it is none
	onList     func(engine.List) // receives each list
	onFailure  func()            // is called when calls fail
	observer   Observer          // nil: none
	drainGrace atomic.Int64      // drain grace of the current settings, ns
	stats      Stats

	// Where discovery is asked only at the balancer's request, Request passes Watch, Unwatch and Fetch on here. It is nil where lists
	// are pushed and the node follows on its own.
	wanted chan balance.ActionKind

	// Only Run uses these fields once it has started.
	listRevision int64 // revision of the balancer's list, if hasList
	hasList      bool
	// seenBackend is set once a list has had a backend. An empty complete list after that counts as a fault of a shared registry:
	// backends that are really gone accept no connection, and a pool emptied by mistake rejects all requests. The list of the
	// platform's agent is accepted as it is: a backend that its complete list omits is gone.
	seenBackend bool
	// staleUntilCall is the id of the last call begun when an answer with a revision before the current one arrived; 0: none did
	// since the last accepted list. If a call begun later brings such an answer again, the answer is accepted: that registry
	// restarted its revisions. Two calls that were open at once may report the same moment.
	staleUntilCall int
	textHash       uint64    // hash of the body with that revision, if it was a complete list; else 0
	lastListAt     time.Time // when onList was last called

	mu          sync.Mutex
	addr        string
	addrChanged chan struct{} // addr has changed; holds one signal
}

// New returns a Source that is ready to run. onList receives each list, in order, and an empty list of changes about every two
// seconds while there are none. onFailure is called when calls fail. Run calls both and waits for them.
func New(addr string, names settings.Settings, log *slog.Logger, onList func(engine.List), onFailure func()) *Source {
	d := &Source{addr: addr, names: names, log: log,
		onList: onList, onFailure: onFailure, addrChanged: make(chan struct{}, 1), http: newClient()}
	d.stats.origin = time.Now()
	d.SetDrainGrace(names.Config.Rules.DrainGrace)
	if names.Config.AskDiscovery {
		d.wanted = make(chan balance.ActionKind, 16)
	}
	return d
}

// UseAgent declares, before Run, that the registry is an agent on this machine, such as the platform's. What the agent has counts as
// reported to the node, and calls to it cost nothing. The Source then calls it as often as the drain grace of the settings
// requires, with at most calls open at once. Near has no effect where discovery is asked at the balancer's request.
func (d *Source) UseAgent(calls int) { d.agentCalls = calls }

// Observer follows the calls to an agent.
type Observer interface {
	// ListCallBegan is called when a call for the complete list is about to be sent. It returns a number for the call. hasUnread reports
	// whether an answer to it has arrived that this process has not read, or has just begun to read, as after a hold-up. Any goroutine
	// may call it.
	ListCallBegan(hasUnread func() bool) int
	// ListCallNotSent is called if the call was not sent, because this machine lacks a resource.
	ListCallNotSent(number int)
	// Confirmed is called after each accepted answer, and after onList if the answer has a new list. The agent wrote it at writtenAt.
	Confirmed(writtenAt time.Time)
}

// Observe sets, before Run, an observer. It reports false if the registry is no agent; then nothing is called.
func (d *Source) Observe(observer Observer) bool {
	if d.agentCalls == 0 || d.wanted != nil {
		return false
	}
	d.observer = observer
	return true
}

// Stats returns the counters of calls. Any goroutine may call it.
func (d *Source) Stats() *Stats { return &d.stats }

// SetDrainGrace sets the drain grace for calls that begin from now on. Any goroutine may call it.
func (d *Source) SetDrainGrace(grace time.Duration) { d.drainGrace.Store(int64(grace)) }

// SetRevision sets, before Run, the revision of the list that the balancer already has from a stored list. It may be old, since a watch
// from that revision brings all later changes.
func (d *Source) SetRevision(revision int64) {
	d.listRevision, d.hasList, d.seenBackend = revision, true, true
}

// Request passes on what the balancer requests of discovery. It never blocks.
func (d *Source) Request(kind balance.ActionKind) {
	select {
	case d.wanted <- kind:
	default: // not received where lists are pushed; elsewhere a call is in progress
	}
}

// SetAddr continues at another address, at once. Answers still to come from the old one are ignored. The list of the old one stays in
// use until the new one has sent its complete list.
func (d *Source) SetAddr(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.log.Info("discovery address changed", "from", d.addr, "to", addr)
	d.addr = addr
	select {
	case d.addrChanged <- struct{}{}:
	default: // a signal is pending
	}
}

func (d *Source) currentAddr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

func (d *Source) terms() pace.Terms {
	switch grace := time.Duration(d.drainGrace.Load()); {
	case d.wanted != nil:
		return pace.OnDemandTerms(grace)
	case d.agentCalls > 0:
		return pace.AgentTerms(grace, d.agentCalls)
	}
	return pace.SharedTerms()
}

// Run follows discovery until ctx ends.
func (d *Source) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	r := &run{Source: d, ctx: ctx, beganAt: time.Now(), addr: d.currentAddr(),
		answers: make(chan answer, pace.MaxAgentCalls), open: map[int]*openCall{},
		pace:       pace.New(d.terms(), d.hasList, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		failureLog: lograte.Limited{Log: d.log}, listLog: lograte.Limited{Log: d.log}}
	defer r.calls.Wait()
	defer cancel()
	r.loop()
}
