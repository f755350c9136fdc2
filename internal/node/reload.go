package node

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"glencart/balance"
	"glencart/internal/settings"
	"glencart/life"
)

// activeSettings is one version of the settings that can change in service. Each request is read under one
// version.
type activeSettings struct {
	settings.Settings
	counters  []*classCounters // by class number
	removedAt []time.Time      // when a class was removed, by class number; zero if it is in use
}

// classNumberReuseDelay is how long after its removal the number of a class can go to another class. By then
// the loop has received all requests that were read under the old name.
const classNumberReuseDelay = time.Minute

// maxClassNames bounds how many class names configuration files may add while a process runs.
const maxClassNames = 1024

func newActiveSettings(s settings.Settings, counts *counters) *activeSettings {
	t := &activeSettings{Settings: s, removedAt: make([]time.Time, len(s.Classes))}
	for _, name := range s.Classes {
		t.counters = append(t.counters, counts.class(name))
	}
	return t
}

// adopt returns the version that replaces t.
func (t *activeSettings) adopt(next settings.Settings, counts *counters, now time.Time) *activeSettings {
	s := t.Settings.Adopt(next, func(number int) bool {
		return !t.removedAt[number].IsZero() && now.Sub(t.removedAt[number]) > classNumberReuseDelay
	})
	u := newActiveSettings(s, counts)
	for i := range s.Classes {
		switch {
		case !s.Config.Classes[i].IsRemoved:
		case i < len(t.removedAt) && !t.removedAt[i].IsZero():
			u.removedAt[i] = t.removedAt[i]
		default:
			u.removedAt[i] = now
		}
	}
	return u
}

// Reload applies a new configuration, or rejects it as a whole. Discovery switches to the new address, and the
// settings change. Settings that are fixed from start to end and the other keys are logged if they differ. Only
// one goroutine may call Reload.
func (n *Node) Reload(cfg Config) error {
	if at := settings.MissingKey(n.cfg.keys, cfg.keys); n.cfg.keys != nil && cfg.keys != nil && at != "" {
		return n.LogReloadFailure(fmt.Errorf("configuration: %s: missing: the configuration in use has this key: add it",
			strings.TrimPrefix(at, ".")))
	}
	old := n.latest // the loop may not have applied the last file yet
	if err := errors.Join(cfg.check(), cfg.Settings.CheckReplacement(old.Settings)); err != nil {
		return n.LogReloadFailure(fmt.Errorf("configuration: settings: %w", err))
	}
	if names := n.counters.classesWith(cfg.Settings.Classes); names > maxClassNames {
		return n.LogReloadFailure(fmt.Errorf(
			"configuration: settings: classes: %d names since the start, limit %d: each name keeps its counters: restart the node",
			names, maxClassNames))
	}
	var fixed []string
	for _, k := range []struct {
		name     string
		old, new any
	}{
		{"name", n.cfg.Name, cfg.Name}, {"listen", n.cfg.Listen, cfg.Listen}, {"seed", n.cfg.Seed, cfg.Seed},
		{"limits", n.cfg.Limits, cfg.Limits}, {"peer_listen", n.cfg.PeerListen, cfg.PeerListen},
		{"peers", n.cfg.Peers, cfg.Peers}, {"peers_all", n.cfg.PeersAll, cfg.PeersAll},
		{"settings.tenants", old.Tenants, cfg.Settings.Tenants}, {"settings.zones", old.Zones, cfg.Settings.Zones},
		{"settings.skus", old.Kinds, cfg.Settings.Kinds}, {"settings.zone", old.Config.Zone, cfg.Settings.Config.Zone},
		{"settings.index", old.Config.Index, cfg.Settings.Config.Index},
		{"settings.nInstances", old.Config.Instances, cfg.Settings.Config.Instances},
		{"settings.membershipMode", old.Config.AskDiscovery, cfg.Settings.Config.AskDiscovery},
		{"settings.loadReport.source", old.Config.Reports, cfg.Settings.Config.Reports},
	} {
		if !reflect.DeepEqual(k.old, k.new) {
			fixed = append(fixed, k.name)
		}
	}
	if len(fixed) > 0 {
		n.log.Warn("changes that need a restart", "keys", strings.Join(fixed, " "))
	}
	n.cfg.keys = cfg.keys
	next := old.adopt(cfg.Settings, n.counters, time.Now())
	if !reflect.DeepEqual(old.Config, next.Config) || !slices.Equal(old.Classes, next.Classes) {
		n.log.Info("settings changed", "classes", next.inUse())
		n.latest = next
		// The Balancer gets a new class before any request can use it.
		n.loop.Post(func() {
			n.loop.Handle(balance.Event{Kind: balance.SettingsChanged, Settings: &next.Config})
			n.front.settings.Store(next)
			n.tracker.WarmWithin = next.Config.Rules.WarmWithin
			n.discovery.SetDrainGrace(next.Config.Rules.DrainGrace)
			if n.currency != nil {
				n.currency.setGrace(next.Config.Rules.DrainGrace)
			}
			n.pool.setTimes(next.Config.Limits.ConnectTimeout, next.Config.Limits.IdleClose)
			n.lifecycle.Handle(life.Event{Kind: life.SettingsChanged, Deadline: longestDeadline(next.Settings)})
		})
	}
	n.counters.reloadsOK.Add(1)
	n.log.Info("configuration reloaded", "discovery", cfg.Discovery)
	n.discovery.SetAddr(cfg.Discovery)
	return nil
}

// accepts reports whether a request that was read under t may be accepted under now. The class number must still
// mean the same class, and the class must not allow more repeats than when the client sent the request. A body
// can take longer to arrive than a file to change.
func (t *activeSettings) accepts(now *activeSettings, class int) bool {
	return t == now || class < len(now.Classes) && t.Classes[class] == now.Classes[class] &&
		t.Config.Classes[class].Effect >= now.Config.Classes[class].Effect
}

// inUse returns the names of the classes that requests may use.
func (t *activeSettings) inUse() []string {
	var names []string
	for i, name := range t.Classes {
		if !t.Config.Classes[i].IsRemoved {
			names = append(names, name)
		}
	}
	return names
}

// LogReloadFailure logs and counts a rejected configuration. The old one stays in effect as a whole.
func (n *Node) LogReloadFailure(err error) error {
	n.counters.reloadsFailed.Add(1)
	n.log.Error("configuration not reloaded: the old one stays in effect", "error", err)
	return err
}
