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
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(200, safe, constantTime)
	r.b.backends[2].failureRate, r.b.backends[2].isFailing = 0.9, true
	l := r.b.Learned()
	fresh := func() *rig {
		n := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
		cold.Launched = n.now
		n.do(Event{Kind: MembersChanged, Members: []Member{cold}})
		return n
	}
	n := fresh()
	before := n.b.backends[3].warmUpBudget
	n.b.Restore(l)
	if n.b.meanServiceTime != r.b.meanServiceTime || n.b.backends[2].failureRate != 0.9 ||
		n.b.warmRate != r.b.warmRate || n.b.warmRate == 0 {
		t.Errorf("service time %v, failure rate %v, warm rate %v", n.b.meanServiceTime, n.b.backends[2].failureRate, n.b.warmRate)
	}
	if n.b.backends[3].warmUpBudget != before || n.b.backends[3].responseTime != 0 {
		t.Errorf("a backend without learned values: %+v", n.b.backends[3])
	}
	if at := n.b.backends[1].peerLoadAt; at > n.b.now {
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
		n.b.Restore(bad)
		if n.b.responses != 0 || n.b.warmRate != 0 {
			t.Errorf("%s: accepted", name)
		}
	}
	// Another process at the same address must not get the values of the old one.
	n = newRig(t, testConfig(), Member{Backend: 1, Launched: time.Hour})
	n.b.Restore(l)
	if n.b.backends[1].responseTime != 0 {
		t.Error("a restarted process has the service time of the old one")
	}
}

// New settings apply to new requests. Requests in progress keep their class, and the number of instances doesn't change.
func TestSettingsChange(t *testing.T) {
	cfg := testConfig()
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
	r.serve(50, safe, constantTime)
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
