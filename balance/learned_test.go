package balance

import (
	"math"
	"testing"
	"time"
)

// A Balancer that takes in what another has learned knows its pace and which server fails, has no more cold credit for it, and
// believes nothing that can't be.
func TestRelearn(t *testing.T) {
	cold := member(3, 0, 0)
	r := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
	r.serve(200, safe, steady)
	r.b.servers[2].fails, r.b.servers[2].failed = 0.9, true
	l := r.b.Learned()
	fresh := func() *rig {
		n := newRig(t, site(), member(1, 0, 0), member(2, 0, 0))
		cold.Launched = n.now
		n.do(Event{Kind: MembersChanged, Members: []Member{cold}})
		return n
	}
	n := fresh()
	before := n.b.servers[3].credit
	n.b.Relearn(l)
	if n.b.peerPace != r.b.peerPace || n.b.servers[2].fails != 0.9 || n.b.warmRate != r.b.warmRate || n.b.warmRate == 0 {
		t.Errorf("pace %v, fails %v, warm rate %v", n.b.peerPace, n.b.servers[2].fails, n.b.warmRate)
	}
	if n.b.servers[3].credit != before || n.b.servers[3].time != 0 {
		t.Errorf("a server that it does not tell of: %+v", n.b.servers[3])
	}
	if at := n.b.servers[1].toldAt; at > n.b.now {
		t.Errorf("told at %v, it is %v", at, n.b.now)
	}
	for name, spoil := range map[string]func(*Learned){
		"nothing":    func(l *Learned) { *l = Learned{} },
		"negative":   func(l *Learned) { l.PeerPace = -1 },
		"no number":  func(l *Learned) { l.AllTime = math.NaN() },
		"boundless":  func(l *Learned) { l.WarmRate = 1e9 },
		"fails over": func(l *Learned) { l.Servers[0].Fails = 2 },
	} {
		bad := r.b.Learned()
		spoil(&bad)
		n := fresh()
		n.b.Relearn(bad)
		if n.b.answers != 0 || n.b.warmRate != 0 {
			t.Errorf("%s: taken in", name)
		}
	}
	// Another process at the same address is a stranger.
	n = newRig(t, site(), Member{Backend: 1, Launched: time.Hour})
	n.b.Relearn(l)
	if n.b.servers[1].time != 0 {
		t.Error("a process that has started since has the old one's pace")
	}
}

// Requests under way keep their class as it was; new ones have the new; the numbers that are gone count for nothing.
func TestSettingsChange(t *testing.T) {
	cfg := site()
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, steady)
	r.arrive("old", safe)
	next := cfg
	next.Classes = append([]Class(nil), cfg.Classes...)
	next.Classes[safe].Effect, next.Instances = Unsafe, 99
	r.do(Event{Kind: SettingsChanged, Settings: &next})
	if got := r.b.requests["old"].class.Effect; got != Safe {
		t.Errorf("under way: effect %v", got)
	}
	r.arrive("new", safe)
	if got := r.b.requests["new"].class.Effect; got != Unsafe {
		t.Errorf("new: effect %v", got)
	}
	if r.b.cfg.Instances == 99 {
		t.Error("the number of instances changed")
	}
}
