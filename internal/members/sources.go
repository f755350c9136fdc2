// Package sources is what every source of boxes has in common: a static list, a file, a registry, DNS. A new one is a folder
// beside this file.
package sources

import (
	"context"
	"net"
	"strconv"
	"time"

	"glencart/merge"
)

// Told is one thing that a source tells: a list, changes to one, or that it can't be heard.
type Told struct {
	Failed   bool
	Complete bool
	Decided  bool // an empty list is meant
	Revision int64
	Entries  []merge.Entry
	Life     time.Duration   // of the list from now on; 0: until the source fails
	Lives    []time.Duration // of the entries, where they have their own; none: as the list
}

// Source keeps a list up to date. Run tells of it from one goroutine until ctx ends, and returns; tell may not be called after
// that. It must not wait for anything that waits for tell.
type Source interface {
	Run(ctx context.Context, tell func(Told))
}

// Event is what is told as an event of a Merge whose clock says now.
func (t *Told) Event(source int, now time.Duration) merge.Event {
	if t.Failed {
		return merge.Event{Kind: merge.Failed, Source: source}
	}
	ev := merge.Event{Kind: merge.Listed, Source: source, Complete: t.Complete, Revision: t.Revision, Decided: t.Decided, Entries: t.Entries}
	if t.Life > 0 {
		ev.Until = now + t.Life
	}
	for i, life := range t.Lives {
		ev.Entries[i].Until = max(now+life, 1)
	}
	return ev
}

// Address tells whether a text is a host or an IP address with a port.
func Address(text string) bool {
	host, port, err := net.SplitHostPort(text)
	n, perr := strconv.Atoi(port)
	return err == nil && host != "" && perr == nil && n > 0 && n < 1<<16
}
