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

// tuning is the part of the settings that can change in service, as one piece: a request is read under one of them.
type tuning struct {
	settings.Settings
	counts   []*classFigures // by class
	vanished []time.Time     // when a class went, by number; zero: it is in use
}

// numberFree is when the number of a class that vanished may be another's: a request that was read under the old name has been
// taken in by then.
const numberFree = time.Minute

// classNamesMost bounds how many names of classes files may bring while a process runs.
const classNamesMost = 1024

func newTuning(s settings.Settings, fig *figures) *tuning {
	t := &tuning{Settings: s, vanished: make([]time.Time, len(s.Classes))}
	for _, name := range s.Classes {
		t.counts = append(t.counts, fig.class(name))
	}
	return t
}

// adopt returns what follows on t.
func (t *tuning) adopt(next settings.Settings, fig *figures, now time.Time) *tuning {
	s := t.Settings.Adopt(next, func(number int) bool {
		return !t.vanished[number].IsZero() && now.Sub(t.vanished[number]) > numberFree
	})
	u := newTuning(s, fig)
	for i := range s.Classes {
		switch {
		case !s.Config.Classes[i].Gone:
		case i < len(t.vanished) && !t.vanished[i].IsZero():
			u.vanished[i] = t.vanished[i]
		default:
			u.vanished[i] = now
		}
	}
	return u
}

// Reload takes in a configuration that was read anew, or turns it down whole. Discovery moves to its address, and the settings
// change, but for those that hold from start to end; those, and the other keys, are logged when they differ. One goroutine calls it.
func (n *Node) Reload(cfg Config) error {
	if at := settings.Missing(n.cfg.keys, cfg.keys); n.cfg.keys != nil && cfg.keys != nil && at != "" {
		return n.NotReloaded(fmt.Errorf("configuration: %s: missing, the file in use has it", strings.TrimPrefix(at, ".")))
	}
	old := n.taken // the loop may not have come to the last file yet
	if err := errors.Join(cfg.check(), cfg.Settings.CheckInService(old.Settings)); err != nil {
		return n.NotReloaded(fmt.Errorf("configuration: settings: %w", err))
	}
	if names := n.figures.names(cfg.Settings.Classes); names > classNamesMost {
		return n.NotReloaded(fmt.Errorf("configuration: settings: classes: %d names since the start, %d at most: each keeps its figures: restart the node",
			names, classNamesMost))
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
	next := old.adopt(cfg.Settings, n.figures, time.Now())
	if !reflect.DeepEqual(old.Config, next.Config) || !slices.Equal(old.Classes, next.Classes) {
		n.log.Info("settings change", "classes", next.inUse())
		n.taken = next
		// The Balancer knows a class before any request can be of it.
		n.loop.Post(func() {
			n.loop.Handle(balance.Event{Kind: balance.SettingsChanged, Settings: &next.Config})
			n.front.tuning.Store(next)
			n.hand.WarmWithin = next.Config.Rules.WarmWithin
			n.disco.Grace(next.Config.Rules.DrainGrace)
			n.pool.retune(next.Config.Limits.ConnectTimeout, next.Config.Limits.IdleClose)
			n.living.Tell(life.Event{Kind: life.Changed, Deadline: longestDeadline(next.Settings)})
		})
	}
	n.figures.reloadsOK.Add(1)
	n.log.Info("configuration read anew", "discovery", cfg.Discovery)
	n.disco.Move(cfg.Discovery)
	return nil
}

// holds tells whether a request that was read under t may be taken in under now: its number still means its class, and may be
// repeated no more freely than its client was told. A body can take longer to come than a file to change.
func (t *tuning) holds(now *tuning, class int) bool {
	return t == now || class < len(now.Classes) && t.Classes[class] == now.Classes[class] &&
		t.Config.Classes[class].Effect >= now.Config.Classes[class].Effect
}

// inUse names the classes that requests may be of.
func (t *tuning) inUse() []string {
	var names []string
	for i, name := range t.Classes {
		if !t.Config.Classes[i].Gone {
			names = append(names, name)
		}
	}
	return names
}

// NotReloaded tells and counts that a configuration was turned down: the old one holds, whole.
func (n *Node) NotReloaded(err error) error {
	n.figures.reloadsFailed.Add(1)
	n.log.Error("configuration not reloaded, the old one holds", "error", err)
	return err
}
