package follow

import (
	"log/slog"
	"testing"
	"time"

	"glencart/balance"
	"glencart/internal/settings"
	"glencart/internal/site"
	"glencart/members"
	"glencart/merge"
)

func list(boxes ...string) merge.Event {
	ev := merge.Event{Kind: merge.Listed, Complete: true}
	for i := 0; i < len(boxes); i += 2 {
		ev.Entries = append(ev.Entries, merge.Entry{Name: boxes[i], Reports: merge.Existence | merge.Address,
			Endpoint: members.Endpoint{ID: boxes[i], Addr: boxes[i+1]}})
	}
	return ev
}

// A backend that wrongly counts as new is warmed up again; one that wrongly counts as running is sent a full share while cold. A
// source whose first list comes long after the start lists backends that may have started in between, so they are new. Backends in
// a list that comes at once are running, and so are those known at the start. A backend that moves is new, once, and check results
// of the old address no longer count. A backend that was found to have restarted has started then.
func TestWhichBackendsCountAsNew(t *testing.T) {
	for _, late := range []bool{false, true} {
		now := time.Hour
		m, err := New(&site.Pool{Name: "p", Sources: []site.Source{{Name: "f", File: "none"}}}, settings.Settings{}, "", slog.New(slog.DiscardHandler), now)
		if err != nil {
			t.Fatal(err)
		}
		m.EnableChecks(&site.Check{TCP: true}, nil)
		if got := m.Start(now); len(got) != 0 {
			t.Errorf("starts with %v", got)
		}
		if late {
			now += 2 * startupWindow
		}
		got := m.HandleEvent(now, list("a", "1.1.1.1:1", "b", "1.1.1.2:1"))
		if len(got) != 2 || got[0].IsNew != late || got[0].Launched > 0 != late {
			t.Errorf("late %t: %+v", late, got)
		}
		m.HandleEvent(now, merge.Event{Kind: merge.HealthChecked, BackendID: "b", Up: false})
		if all := m.Backends(); all[1].Endpoint.Phase == 0 {
			t.Errorf("a backend whose checks fail is %+v", all[1])
		}
		now += time.Second
		got = m.HandleEvent(now, list("a", "1.1.1.1:1", "b", "1.1.1.3:1"))
		if len(got) != 1 || !got[0].IsNew || got[0].Launched != now || got[0].Addr != "1.1.1.3:1" || got[0].Endpoint.Phase != 0 {
			t.Errorf("moved: %+v", got)
		}
		now += time.Second
		if c, listed := m.Restarted(now, "a"); !listed || c.Launched != now || m.Backends()[0].Launched != now {
			t.Errorf("restarted: %+v, %t", c, listed)
		}
		if _, listed := m.Restarted(now, "x"); listed {
			t.Error("a backend that is not listed has restarted")
		}
		got = m.HandleEvent(now, list("b", "1.1.1.3:1", "c", "1.1.1.4:1"))
		if all := m.Backends(); len(all) != 2 || all[1].Launched != now { // a backend that is new in a later list starts now
			t.Errorf("%+v after %+v", all, got)
		}
	}
}

// At a start from the cached list, a backend that only the site file listed, and no longer lists, is gone. One that other sources
// listed serves while they don't answer. One that was draining serves once all sources list it as ready. One whose checks failed
// serves at once.
func TestStartFromCachedList(t *testing.T) {
	dir, log, now := t.TempDir(), slog.New(slog.DiscardHandler), time.Hour
	start := func(boxes ...string) *Membership {
		p := &site.Pool{Name: "p", Sources: []site.Source{{Name: "f", File: "none"}}}
		for _, id := range boxes {
			p.Boxes = append(p.Boxes, site.Box{ID: id, Address: "1.1.1." + id + ":1", Weight: 1, State: "ready"})
		}
		m, err := New(p, settings.Settings{}, dir, log, now)
		if err != nil {
			t.Fatal(err)
		}
		m.Start(now)
		return m
	}
	serving := func(m *Membership) (text string) {
		for _, c := range m.Backends() {
			if c.Endpoint.Phase == balance.Ready {
				text += c.ID
			}
		}
		return text
	}
	m := start("1", "2")
	draining := list("3", "1.1.1.3:1", "4", "1.1.1.4:1", "5", "1.1.1.5:1")
	draining.Source, draining.Entries[1].Reports, draining.Entries[1].Endpoint.Phase = 1, merge.AllFacts, balance.Draining
	m.HandleEvent(now, draining)
	m.HandleEvent(now, merge.Event{Kind: merge.HealthChecked, BackendID: "5", Up: false})
	if got := serving(m); got != "123" {
		t.Fatalf("serving %q", got)
	}
	m.Save(m.Merge.Views())
	m = start("1")
	if got := serving(m); got != "135" {
		t.Errorf("after a start without an answer of a source: %q", got)
	}
	now += time.Second
	ready := list("3", "1.1.1.3:1", "4", "1.1.1.4:1")
	ready.Source = 1
	m.HandleEvent(now, ready)
	now += 10 * time.Minute // the drain counts for 5 minutes after its source has removed it
	m.HandleDue(now)
	if got := serving(m); got != "134" {
		t.Errorf("after a list: %q", got)
	}
}
