package registry

// This file parses a list in the format of the registry and validates it.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/settings"
)

// Parse decodes a list in the format of discovery. One malformed entry invalidates the list: a partial list could hide a drain.
func Parse(text []byte, names settings.Settings) (engine.List, error) {
	var raw struct {
		Revision *int64 `json:"revision"`
		Complete bool   `json:"complete"`
		Members  []struct {
			ID       string   `json:"id"`
			HostPort string   `json:"host_port"`
			Locality string   `json:"locality"`
			Flavor   string   `json:"flavor"`
			Cell     int      `json:"cell"`
			Phase    string   `json:"phase"`
			Size     *float64 `json:"size"`
			Up       int64    `json:"up_since_ms"`
		} `json:"members"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return engine.List{}, err
	}
	if raw.Revision == nil {
		return engine.List{}, errors.New("revision: missing")
	}
	list := engine.List{Revision: *raw.Revision, Complete: raw.Complete}
	seen := make(map[string]bool, len(raw.Members))
	for i, m := range raw.Members {
		phase := slices.Index([]string{"ready", "draining", "gone"}, m.Phase)
		_, addrErr := netip.ParseAddrPort(m.HostPort)
		switch {
		case m.ID == "":
			return engine.List{}, fmt.Errorf("member %d: no id", i)
		case raw.Complete && seen[m.ID]: // in a list of changes, the last entry of an id holds
			return engine.List{}, fmt.Errorf("member %d: %s is listed twice in a complete list: list each id once", i, m.ID)
		case phase < 0:
			return engine.List{}, fmt.Errorf("member %s: phase %q", m.ID, m.Phase)
		case addrErr != nil && balance.Phase(phase) != balance.Gone:
			return engine.List{}, fmt.Errorf("member %s: host_port %q", m.ID, m.HostPort)
		case m.Up < 0 || m.Up > math.MaxInt64/int64(time.Millisecond):
			return engine.List{}, fmt.Errorf("member %s: up_since_ms %d", m.ID, m.Up)
		}
		seen[m.ID] = true
		weight := 1.0
		if m.Size != nil {
			weight = *m.Size
		}
		list.Members = append(list.Members, engine.Member{ID: m.ID, Addr: m.HostPort, Member: balance.Member{
			// An unknown locality counts as a zone other than the node's own.
			Zone: slices.Index(names.Zones, m.Locality), Cell: m.Cell, Kind: slices.Index(names.Kinds, m.Flavor),
			Weight: weight, Launched: time.Duration(m.Up) * time.Millisecond, Phase: balance.Phase(phase),
		}})
	}
	return list, nil
}
