// Package discovery makes the HTTP registry one of several sources of a pool. Package registry follows the registry.
package discovery

import (
	"context"
	"log/slog"
	"time"

	"glencart/internal/engine"
	sources "glencart/internal/members"
	"glencart/internal/members/registry"
	"glencart/internal/settings"
	"glencart/merge"
)

// failureTimeout is how long a registry may give no answer before its list counts as stale.
const failureTimeout = 10 * time.Second

// Source follows one registry.
type Source struct {
	addr  string
	names settings.Settings
	log   *slog.Logger
}

// New returns a Source for the registry at addr. names has the numbers of zones and kinds.
func New(addr string, names settings.Settings, log *slog.Logger) *Source {
	return &Source{addr: addr, names: names, log: log}
}

// Run follows the registry until ctx ends.
func (s *Source) Run(ctx context.Context, report func(sources.Update)) {
	lastListAt := time.Now()
	follower := registry.New(s.addr, s.names, s.log, func(list engine.List) {
		lastListAt = time.Now()
		update := sources.Update{Complete: list.Complete, Revision: list.Revision, Entries: make([]merge.Entry, 0, len(list.Members))}
		for _, m := range list.Members {
			update.Entries = append(update.Entries, merge.Entry{Name: m.ID, Reports: merge.AllFacts &^ merge.Tier, Endpoint: m})
		}
		report(update)
	}, func() {
		if time.Since(lastListAt) > failureTimeout {
			report(sources.Update{Failed: true})
		}
	})
	follower.Run(ctx)
}
