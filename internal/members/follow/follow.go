// Package follow keeps the endpoint list of a pool up to date. It creates the sources from the settings of the pool, feeds the
// merge with their updates and the results of active checks, and returns which backends changed and when each started. All front
// ends with sources use it.
package follow

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"time"

	"glencart/balance"
	"glencart/check"
	sources "glencart/internal/members"
	"glencart/internal/members/checks"
	"glencart/internal/members/discovery"
	"glencart/internal/members/dnssrv"
	"glencart/internal/members/file"
	"glencart/internal/members/kept"
	"glencart/internal/settings"
	"glencart/internal/site"
	"glencart/lookup"
	"glencart/members"
	"glencart/merge"
)

const (
	// guardFraction is the part of a pool that may leave within guardWindow. Removals beyond it are held for guardHold.
	guardFraction, guardWindow, guardHold = 0.5, 10 * time.Second, time.Minute
	// startupWindow is how long after the start the first list of a source counts as one of backends that are already running.
	startupWindow = 10 * time.Second
	// drainRetention is how long a drain counts after its source has removed the backend, while other sources still list it.
	drainRetention = 5 * time.Minute
	// cachedListRetention is how long the cached endpoint list counts. It is used while no source answers, and nothing better
	// exists then.
	cachedListRetention = 10 * 365 * 24 * time.Hour
	// maxPassInterval bounds the time between two calls of HandleDue.
	maxPassInterval = time.Second
	// SaveInterval is the least time between two writes of the list to disk.
	SaveInterval = time.Second
)

// Membership has the sources of one pool, the Merge that they feed and the resulting endpoint list. It belongs to one goroutine.
// Only Run, RunTimer and SaveLater run in other goroutines.
type Membership struct {
	Merge       *merge.Merge
	SourceNames []string // of the sources, by rank
	runners     []sources.Source
	checker     *checks.Checker // nil: no active checks
	initial     []merge.Event   // what is known at the start
	cacheFolder string
	pool        string
	log         *slog.Logger

	backends        map[string]merge.Change
	startedAt       map[string]time.Duration // when a backend started, as observed here
	hasListed       map[int]bool             // sources that have sent a list
	createdAt       time.Duration            // when the Membership was created
	hasBegun        bool                     // Start has been called
	saveScheduled   bool                     // a SaveLater is pending
	cached          []merge.Entry            // entries of the cached list, while it counts; its source is the last
	hasCompleteList map[int]bool             // sources that have sent a complete list since the start
	changes         []merge.Change
}

// Defaults returns the merge configuration of a pool whose settings don't change it.
func Defaults() merge.Config {
	return merge.Config{GuardFraction: guardFraction, GuardWindow: guardWindow, GuardHold: guardHold, PanicThreshold: 0.5, RemovedDrainGrace: drainRetention}
}

// NewWithoutSources returns a Membership without sources of its own. The caller passes events to HandleEvent.
func NewWithoutSources(cfg merge.Config, log *slog.Logger, now time.Duration) *Membership {
	return &Membership{Merge: merge.NewMerge(cfg, now), log: log, createdAt: now,
		backends: map[string]merge.Change{}, startedAt: map[string]time.Duration{}, hasListed: map[int]bool{}, hasCompleteList: map[int]bool{}}
}

// New creates the sources of a pool. It contacts none of them yet. names has the zones and kinds of an installation, for
// registries. folder has the cached endpoint list; "" means that the list is not cached.
func New(p *site.Pool, names settings.Settings, folder string, log *slog.Logger, now time.Duration) (*Membership, error) {
	cfg := Defaults()
	m := NewWithoutSources(cfg, log, now)
	m.cacheFolder, m.pool = folder, p.Name
	cfg.GuardHold = p.GuardHold.Or(guardHold)
	if p.Guard != nil {
		cfg.GuardFraction = *p.Guard
	}
	if cfg.GuardFraction == 1 {
		cfg.GuardFraction = 0 // no guard
	}
	add := func(c merge.SourceConfig, source sources.Source) {
		cfg.Sources = append(cfg.Sources, c)
		m.runners = append(m.runners, source)
		m.SourceNames = append(m.SourceNames, c.Name)
	}
	if len(p.Boxes) > 0 {
		add(merge.SourceConfig{Name: site.StaticSource, Partial: true}, nil)
	}
	for i := range p.Sources {
		src := &p.Sources[i]
		c := merge.SourceConfig{Name: src.Name, Required: src.Must, StaleGrace: time.Duration(src.Stale)}
		for _, f := range src.Trust {
			c.Trust |= 1 << slices.Index(site.Facts, f)
		}
		log := log.With("source", src.Name)
		switch {
		case src.DNS != "":
			source, err := dnssrv.New(dnssrv.Config{Servers: src.Resolvers, ResolvConf: src.ResolvConf, Log: log, Config: lookup.Config{Name: src.DNS,
				MinTTL: time.Duration(src.Floor), MaxTTL: time.Duration(src.Ceiling), Timeout: time.Duration(src.Timeout)}})
			if err != nil {
				return nil, fmt.Errorf("pool %q: %w", p.Name, err)
			}
			add(c, source)
		case src.File != "":
			add(c, file.New(src.File, log))
		default:
			add(c, discovery.New(src.Registry, names, log))
		}
	}
	if m.cacheFolder != "" && len(p.Sources) > 0 { // without sources, the site file has the complete list
		if err := os.MkdirAll(m.cacheFolder, 0o700); err != nil {
			return nil, fmt.Errorf("node.keep: %w", err)
		}
		list, err := kept.Read(m.cacheFolder, p.Name)
		if err != nil {
			log.Warn("cached endpoint list can't be used", "error", err)
		}
		if list != nil {
			log.Info("starting with the cached endpoint list, which counts as stale",
				"boxes", len(list.Backends), "age", time.Since(list.SavedAt).Round(time.Second))
			list.Backends = slices.DeleteFunc(list.Backends, func(b kept.Backend) bool { return listedOnlyBy(site.StaticSource, list.Sources, b.Votes) })
			m.cached = list.Entries(now)
			m.initial = append(m.initial, merge.Event{Kind: merge.Listed, Source: len(m.SourceNames), Entries: m.cached})
		}
		add(merge.SourceConfig{Name: site.KeptSource, StaleGrace: cachedListRetention}, nil)
	}
	m.Merge = merge.NewMerge(cfg, now)
	if len(p.Boxes) > 0 {
		m.initial = append([]merge.Event{m.StaticList(p.Boxes)}, m.initial...)
	}
	return m, nil
}

// EnableChecks enables active checks of the backends, over the pool's own TLS if it has one. Call it before Start.
func (m *Membership) EnableChecks(c *site.Check, tlsConfig *tls.Config) {
	cfg := checks.Config{Config: check.Config{Every: time.Duration(c.Every), Rise: c.Rise, Fall: c.Fall},
		Path: c.HTTP, Host: c.Host, Status: c.Status, Timeout: time.Duration(c.Timeout), TLS: tlsConfig}
	switch {
	case c.HTTP != "":
		cfg.Kind = checks.HTTP
	case c.GRPC != nil:
		cfg.Kind, cfg.Service = checks.GRPC, *c.GRPC
	}
	m.checker = checks.New(cfg)
}

// listedOnlyBy reports whether source alone lists a backend or has listed it. If that source no longer lists the backend, no
// source does.
func listedOnlyBy(source string, names, votes []string) bool {
	found := false
	for i, vote := range votes {
		if i >= len(names) {
			break
		}
		switch vote {
		case merge.Lists.String(), merge.StaleLists.String(), merge.Drains.String(), merge.StaleDrains.String():
			if names[i] != source {
				return false
			}
			found = true
		}
	}
	return found
}

// StaticList returns the backends of the site file as a list of the first source.
func (m *Membership) StaticList(boxes []site.Box) merge.Event {
	ev := merge.Event{Kind: merge.Listed, Complete: true, Intended: true} // an operator's own edit, which the guard does not hold
	for _, b := range boxes {
		if b.State == "down" {
			continue
		}
		e := merge.Entry{Name: b.ID, Reports: merge.AllFacts &^ (merge.Zone | merge.Start), Endpoint: members.Endpoint{ID: b.ID, Addr: b.Address,
			Member: balance.Member{Weight: b.Weight}}}
		if b.State == "draining" {
			e.Endpoint.Phase = balance.Draining
		}
		if b.Backup {
			e.Tier = 1
		}
		ev.Entries = append(ev.Entries, e)
	}
	return ev
}

// Run runs the sources and the checks until ctx ends. It calls deliver from several goroutines. deliver passes the event function
// on to the goroutine that calls HandleEvent; the function returns the event and whether it still counts. start runs a function in a
// goroutine of its own.
func (m *Membership) Run(ctx context.Context, start func(func()),
	deliver func(event func(now time.Duration) (ev merge.Event, counts bool))) {
	for i, src := range m.runners {
		if src != nil {
			start(func() {
				src.Run(ctx, func(update sources.Update) {
					deliver(func(now time.Duration) (merge.Event, bool) { return update.Event(i, now), true })
				})
			})
		}
	}
	if m.checker == nil {
		return
	}
	start(func() {
		m.checker.Run(ctx, func(verdict check.Verdict) {
			m.log.Warn("result of the active checks changed", "box", verdict.Backend, "well", verdict.Up, "said", verdict.Cause)
			deliver(func(time.Duration) (merge.Event, bool) {
				// At another address, it is another backend by now.
				return merge.Event{Kind: merge.HealthChecked, BackendID: verdict.Backend, Up: verdict.Up}, m.backends[verdict.Backend].Addr == verdict.Addr
			})
		})
	})
}

// Backend is a changed backend, as the pool must take it. A removed backend has the phase Gone.
type Backend struct {
	merge.Change
	IsNew bool // the backend, or another one in its place, starts now
}

// Start handles what is known before any source reports, and returns the resulting backends.
func (m *Membership) Start(now time.Duration) (out []Backend) {
	for _, ev := range m.initial {
		out = append(out, m.HandleEvent(now, ev)...)
	}
	m.hasBegun = true
	return lastPerBackend(out)
}

// lastPerBackend keeps the last entry of each backend.
func lastPerBackend(boxes []Backend) []Backend {
	index := make(map[string]int, len(boxes))
	last := boxes[:0]
	for _, b := range boxes {
		if i, isDuplicate := index[b.ID]; isDuplicate {
			b.IsNew = b.IsNew || last[i].IsNew
			last[i] = b
			continue
		}
		index[b.ID] = len(last)
		last = append(last, b)
	}
	return last
}

// HandleEvent handles one event and returns the backends that changed. Once each source has sent a complete list, the cached list no
// longer counts: a backend that was draining in it may serve by now.
func (m *Membership) HandleEvent(now time.Duration, ev merge.Event) []Backend {
	out := m.handle(now, ev)
	if ev.Kind != merge.Listed || !ev.Complete || len(m.cached) == 0 || ev.Source >= len(m.runners) || m.runners[ev.Source] == nil {
		return out
	}
	m.hasCompleteList[ev.Source] = true
	for i, src := range m.runners {
		if src != nil && !m.hasCompleteList[i] {
			return out
		}
	}
	removed := merge.Event{Kind: merge.Listed, Source: len(m.SourceNames) - 1, Entries: m.cached}
	for i := range removed.Entries {
		removed.Entries[i].Endpoint.Phase = balance.Gone
	}
	m.cached = nil
	return lastPerBackend(append(out, m.handle(now, removed)...))
}

func (m *Membership) handle(now time.Duration, ev merge.Event) (out []Backend) {
	m.changes = m.Merge.Handle(now, ev, m.changes[:0])
	for _, line := range m.Merge.Log() {
		m.log.Warn(line)
	}
	if len(m.changes) == 0 {
		return nil
	}
	// The backends that a pool lists at its start are already running. So are those in the first list of a source, if it comes
	// soon. Later, for example after an outage, a backend that was not listed may have started in the meantime.
	alreadyRunning := !m.hasBegun
	if ev.Kind == merge.Listed && !m.hasListed[ev.Source] {
		m.hasListed[ev.Source], alreadyRunning = true, alreadyRunning || now-m.createdAt < startupWindow
	}
	var moved []string
	for _, c := range m.changes {
		old, wasListed := m.backends[c.ID]
		if c.Endpoint.Phase == balance.Gone {
			delete(m.backends, c.ID)
			delete(m.startedAt, c.ID)
			if m.checker != nil {
				m.checker.Remove(c.ID)
			}
			out = append(out, Backend{Change: c})
			continue
		}
		if m.checker != nil {
			m.checker.Set(c.ID, c.Addr)
		}
		isNew := !wasListed && !alreadyRunning || wasListed && old.Addr != c.Addr
		if isNew {
			m.startedAt[c.ID] = now // as far as any source reports
		}
		if wasListed && isNew {
			moved = append(moved, c.ID)
		}
		m.backends[c.ID] = c
		out = append(out, Backend{Change: m.withStart(c), IsNew: isNew})
	}
	for _, id := range moved { // check results of the old address no longer count
		out = append(out, m.handle(now, merge.Event{Kind: merge.HealthChecked, BackendID: id, Up: true})...)
	}
	if len(moved) > 0 {
		out = lastPerBackend(out)
	}
	return out
}

// withStart adds the start that was observed here.
func (m *Membership) withStart(c merge.Change) merge.Change {
	c.Launched = max(c.Launched, m.startedAt[c.ID])
	return c
}

// Restarted records that a backend was found to be another process than before. It reports whether a backend of this id is listed.
func (m *Membership) Restarted(now time.Duration, id string) (merge.Change, bool) {
	c, listed := m.backends[id]
	if listed {
		m.startedAt[id] = now
	}
	return m.withStart(c), listed
}

// Backends returns all backends, sorted by id.
func (m *Membership) Backends() []merge.Change {
	all := slices.SortedFunc(maps.Values(m.backends), func(x, y merge.Change) int { return cmp.Compare(x.ID, y.ID) })
	for i := range all {
		all[i] = m.withStart(all[i])
	}
	return all
}

// HandleDue handles what is due. It returns the backends that changed and how long to wait until the next call.
func (m *Membership) HandleDue(now time.Duration) (out []Backend, wait time.Duration) {
	if at, pending := m.Merge.Next(); pending && at <= now {
		out = m.HandleEvent(now, merge.Event{Kind: merge.Ticked})
	}
	wait = maxPassInterval // lists that arrive meanwhile may have shorter lifetimes
	if at, pending := m.Merge.Next(); pending {
		wait = min(wait, max(at-now, time.Millisecond))
	}
	return out, wait
}

// RunTimer calls HandleDue on the loop that owns the Membership whenever something is due, until ctx ends or post fails. changed
// receives the results on the loop. clock is the loop's clock.
func (m *Membership) RunTimer(ctx context.Context, post func(func()) bool, clock func() time.Duration, changed func([]Backend)) {
	next := make(chan time.Duration, 1)
	for post(func() {
		boxes, wait := m.HandleDue(clock())
		changed(boxes)
		next <- wait
	}) {
		select {
		case <-ctx.Done():
			return
		case wait := <-next:
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
	}
}

// ScheduleSave reports whether the list must be written to disk. If so, the caller calls SaveLater from a goroutine of its own. Changed
// runs on the loop.
func (m *Membership) ScheduleSave() bool {
	due := m.cacheFolder != "" && !m.saveScheduled
	m.saveScheduled = m.saveScheduled || due
	return due
}

// SaveLater writes the list to disk after SaveInterval, or as soon as ctx ends. post passes a function to the loop. loopEnded is
// closed when the loop runs no more functions.
func (m *Membership) SaveLater(ctx context.Context, post func(func()) bool, loopEnded <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-time.After(SaveInterval):
	}
	views := make(chan []merge.View, 1)
	if !post(func() {
		m.saveScheduled = false
		views <- m.Merge.Views()
	}) {
		return
	}
	select {
	case v := <-views:
		m.Save(v)
	case <-loopEnded:
	}
}

// Save writes a list to disk.
func (m *Membership) Save(views []merge.View) {
	list := kept.List{Pool: m.pool, SavedAt: time.Now(), Sources: m.SourceNames}
	for _, v := range views {
		if v.Endpoint.Phase == balance.Gone {
			continue
		}
		isDraining := v.Endpoint.Phase == balance.Draining && merge.Rules[v.Rule].Verdict != merge.Serve // check results are not stored
		b := kept.Backend{ID: v.ID, HasID: v.HasID, Address: v.Addr, Draining: isDraining, Tier: v.Tier, Weight: v.Endpoint.Member.Weight,
			Zone: v.Endpoint.Zone, Cell: v.Cell, Kind: v.Kind, Launched: v.Launched, Rule: merge.Rules[v.Rule].Name, Note: v.Note, SourcesDisagree: v.HasConflict()}
		for _, s := range v.Votes {
			b.Votes = append(b.Votes, s.Vote.String())
		}
		list.Backends = append(list.Backends, b)
	}
	if err := kept.Write(m.cacheFolder, list); err != nil {
		m.log.Error("cached endpoint list not written; a start with all sources down uses an older one", "error", err)
	}
}
