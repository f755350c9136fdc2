// Package sources defines what all sources of backends have in common. A source is a static list, a file, a registry or DNS. A new
// kind of source gets a folder beside this file.
package sources

import (
	"context"
	"net"
	"strconv"
	"time"

	"glencart/merge"
)

// Update is one report of a source: a complete endpoint list, changes to the last one, or a failure to reach the source.
type Update struct {
	Failed    bool
	Complete  bool
	Intended  bool // an empty list is intended
	Revision  int64
	Entries   []merge.Entry
	TTL       time.Duration   // of the list, from now on; 0: until the source fails
	EntryTTLs []time.Duration // of the entries, where each has its own; none: TTL holds for all
}

// Source keeps an endpoint list up to date. Run calls report from one goroutine until ctx ends, and then returns. It doesn't call
// report after that. Run must not wait for anything that waits for a call of report.
type Source interface {
	Run(ctx context.Context, report func(Update))
}

// Event returns the update as an event of a Merge whose clock shows now.
func (u *Update) Event(source int, now time.Duration) merge.Event {
	if u.Failed {
		return merge.Event{Kind: merge.SourceFailed, Source: source}
	}
	ev := merge.Event{Kind: merge.Listed, Source: source, Complete: u.Complete, Revision: u.Revision, Intended: u.Intended, Entries: u.Entries}
	if u.TTL > 0 {
		ev.ExpiresAt = now + u.TTL
	}
	for i, life := range u.EntryTTLs {
		ev.Entries[i].ExpiresAt = max(now+life, 1)
	}
	return ev
}

// IsHostPort reports whether text is a host name or an IP address with a port.
func IsHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	n, perr := strconv.Atoi(port)
	return err == nil && host != "" && perr == nil && n > 0 && n < 1<<16
}
