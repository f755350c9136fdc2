package balance

import (
	"testing"
	"time"
)

// fleet is a site of many nodes with little traffic each: a node's own probes meet each of its servers rarely.
func fleet(nodes int) Config {
	cfg := site()
	cfg.Instances, cfg.Limits.Peers = nodes, true
	cfg.Prices.Peer, cfg.Prices.Probe = 0.01, 0.05
	cfg.Tenants[0].QuotaPerSecond = float64(nodes) // one request a second each
	return cfg
}

// told passes a report of one node to another, as the network would.
func (r *rig) told(peer int, payload []byte) []Action {
	return r.do(Event{Kind: PeerMessage, Peer: peer, Payload: payload})
}

func hearsayOf(number uint16, name uint32, queue byte) []byte {
	return []byte{hearsayVersion, byte(number >> 8), byte(number), byte(name >> 16), byte(name >> 8), byte(name), queue}
}

// One node's probe tells all others what servers hold: a node that takes them for full long after they have cleared
// refuses what they could do.
func TestReportsArePassedOn(t *testing.T) {
	sender := newRig(t, fleet(80), eight()...)
	tells := of(Tell, sender.do(report(3, 40)))
	if len(tells) != 1 || tells[0].Peer != AllPeers || string(tells[0].Payload) != string(hearsayOf(1, 3, 40)) {
		t.Fatalf("%+v", tells)
	}
	taken, moved := 0, 0
	for node := 1; node < 80; node++ {
		cfg := fleet(80)
		cfg.Index = node
		b, _ := New(cfg, uint64(node))
		r := &rig{t: t, b: b, now: time.Hour}
		r.do(Event{Kind: MembersRemembered, Members: eight()})
		r.told(0, tells[0].Payload)
		if b.servers[3].told > 0 {
			taken++
		}
		if b.all.others > 0 {
			moved++
		}
	}
	if moved != 79 || taken < 1 || taken > 3*takers {
		t.Errorf("%d nodes moved their mean, %d took the report at its word", moved, taken)
	}
}

// A node that can follow its servers by itself neither tells nor pays for it; nor does one that may not or is alone.
func TestReportsArePassedOnWhereTrafficIsThin(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"busy":     func(c *Config) { c.Tenants[0].QuotaPerSecond = 1e5 },
		"not told": func(c *Config) { c.Tenants = nil },
		"alone":    func(c *Config) { c.Instances = 1 },
		"no leave": func(c *Config) { c.Limits.Peers = false },
	} {
		cfg := fleet(5)
		change(&cfg)
		if acts := of(Tell, newRig(t, cfg, eight()...).do(report(3, 4))); len(acts) != 0 {
			t.Errorf("%s: %+v", name, acts)
		}
	}
	cfg := fleet(1000)
	cfg.Prices.Probe = cfg.Prices.Peer * hearsayLen / 256 * 999 / 4 // four times dearer to tell than to probe
	r, tells := newRig(t, cfg, eight()...), 0
	for range 40 {
		r.wait(time.Second)
		tells += len(of(Tell, r.do(report(3, 4))))
	}
	if tells != 10 {
		t.Errorf("%d of 40 reports told", tells)
	}
}

// What is malformed, repeated, late, from nobody, or of a server that the node's own list does not name ready changes nothing.
func TestOddMessagesChangeNothing(t *testing.T) {
	good := hearsayOf(9, 3, 40)
	for name, c := range map[string]struct {
		peer    int
		payload []byte
	}{
		"empty": {1, nil}, "short": {1, good[:6]}, "long": {1, append(hearsayOf(9, 3, 40), 0)},
		"other version": {1, append([]byte{9}, good[1:]...)},
		"own":           {0, good}, "no peer": {-1, good}, "unknown peer": {80, good},
		"unknown server": {1, hearsayOf(9, 77, 40)}, "draining server": {1, hearsayOf(9, 8, 40)},
		"repeated": {2, hearsayOf(5, 3, 40)}, "late": {2, hearsayOf(4, 3, 40)},
	} {
		r := newRig(t, fleet(80), eight()...)
		gone := member(8, 0, 0)
		gone.Phase = Draining
		r.do(Event{Kind: MembersChanged, Members: []Member{gone}})
		r.told(2, hearsayOf(5, 3, 0))
		before := r.b.all
		logs := 0
		for range 3 {
			logs += len(of(Log, r.told(c.peer, c.payload)))
		}
		if r.b.all != before || len(r.b.numbers) > 2 || logs > 1 {
			t.Errorf("%s: %+v, %d lines", name, r.b.all, logs)
		}
	}
	r := newRig(t, fleet(80), eight()...)
	r.told(2, hearsayOf(60000, 3, 0))
	r.told(2, hearsayOf(1, 3, 40)) // it has started again
	if r.b.all.reports != 2 {
		t.Error("a peer that has started again is not heard")
	}
}

// A server is known by its name, whatever number each node gives it.
func TestReportsNameServersAsAllNodesDo(t *testing.T) {
	r := newRig(t, fleet(2), Member{Backend: 7, Name: 0xab123456, Weight: 1}, member(3, 0, 0), member(4, 0, 0))
	r.told(1, hearsayOf(1, 0x123456, 40))
	if r.b.servers[7].told != 40 {
		t.Error("not taken for the server of that name")
	}
	r.do(Event{Kind: MembersAll, Members: []Member{member(3, 0, 0)}})
	if len(r.b.names) != 1 {
		t.Errorf("%d names kept of 1 server", len(r.b.names))
	}
}
