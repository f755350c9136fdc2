package node

import (
	"reflect"
	"strings"
)

// Reload takes in a configuration that was read anew. Discovery moves to its address; the other keys, but for the
// list that is only good for a start, hold from start to end, and a change of one is logged.
func (n *Node) Reload(cfg Config) {
	var fixed []string
	for _, k := range []struct {
		name     string
		old, new any
	}{
		{"name", n.cfg.Name, cfg.Name}, {"listen", n.cfg.Listen, cfg.Listen}, {"seed", n.cfg.Seed, cfg.Seed},
		{"limits", n.cfg.Limits, cfg.Limits}, {"peer_listen", n.cfg.PeerListen, cfg.PeerListen},
		{"peers", n.cfg.Peers, cfg.Peers}, {"peers_all", n.cfg.PeersAll, cfg.PeersAll},
		{"settings", n.cfg.Settings, cfg.Settings},
	} {
		if !reflect.DeepEqual(k.old, k.new) {
			fixed = append(fixed, k.name)
		}
	}
	if len(fixed) > 0 {
		n.log.Warn("changes that need a restart", "keys", strings.Join(fixed, " "))
	}
	n.figures.reloadsOK.Add(1)
	n.log.Info("configuration read anew", "discovery", cfg.Discovery)
	n.disco.Move(cfg.Discovery)
}

// NotReloaded tells and counts that a configuration was turned down: the old one holds, whole.
func (n *Node) NotReloaded(err error) {
	n.figures.reloadsFailed.Add(1)
	n.log.Error("configuration not reloaded, the old one holds", "error", err)
}
