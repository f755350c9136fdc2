package balance

import (
	"math"
	"testing"
	"time"
)

// A Balancer that restores learned values must have the service times and failing backends of the old one. It must not get
// a larger warm-up budget by that, and must reject values outside the valid range.
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
		t.Errorf("service time %v, failure rate %v, warm rate %v", n.b.peerPace, n.b.servers[2].fails, n.b.warmRate)
	}
	if n.b.servers[3].credit != before || n.b.servers[3].time != 0 {
		t.Errorf("a backend without learned values: %+v", n.b.servers[3])
	}
	if at := n.b.servers[1].toldAt; at > n.b.now {
		t.Errorf("last report at %v, now %v", at, n.b.now)
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
			t.Errorf("%s: accepted", name)
		}
	}
	// Another process at the same address must not get the values of the old one.
	n = newRig(t, site(), Member{Backend: 1, Launched: time.Hour})
	n.b.Relearn(l)
	if n.b.servers[1].time != 0 {
		t.Error("a restarted process has the service time of the old one")
	}
}

// New settings apply to new requests. Requests in progress keep their class, and the number of instances doesn't change.
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
		t.Errorf("request in progress: effect %v", got)
	}
	r.arrive("new", safe)
	if got := r.b.requests["new"].class.Effect; got != Unsafe {
		t.Errorf("new request: effect %v", got)
	}
	if r.b.cfg.Instances == 99 {
		t.Error("the number of instances changed")
	}
}
