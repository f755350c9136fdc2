package balance

import (
	"testing"
	"time"
)

func eight() []Member {
	var out []Member
	for id := range BackendID(8) {
		out = append(out, member(id+1, 0, 0))
	}
	return out
}

// askers plays nodes that all lose discovery at once. It works through perSecond calls in turn; one that would wait longer
// than most is turned away at once, one that waits longer than limit fails then, and is worked through all the same. It
// returns when the last node was answered, and the calls made.
func askers(t *testing.T, nodes int, perSecond float64, limit, most, until time.Duration) (last time.Duration, calls int) {
	const tick = 10 * ms
	cfg := site()
	cfg.AskDiscovery, cfg.Instances = true, nodes
	type node struct {
		r     *rig
		timer uint64
		at    time.Duration // the timer, or the answer
		out   bool
		fails bool
		done  bool
	}
	all := make([]*node, nodes)
	free := time.Duration(0)
	ask := func(n *node, now time.Duration) {
		calls++
		free = max(free, now)
		if free-now > most {
			n.at, n.out, n.fails = now+tick, true, true
			return
		}
		free += time.Duration(float64(time.Second) / perSecond)
		n.at, n.out, n.fails = min(free, now+limit), true, free-now > limit
	}
	for i := range all {
		c := cfg
		c.Index = i
		b, _ := New(c, uint64(i)+100)
		all[i] = &node{r: &rig{t: t, b: b}}
		all[i].r.do(Event{Kind: MembersRemembered, Members: eight()})
		ask(all[i], 0)
	}
	for now := time.Duration(0); now < until; now += tick {
		for _, n := range all {
			switch n.r.now = now; {
			case n.done || n.at > now:
			case !n.out:
				if len(of(Watch, n.r.do(Event{Kind: Timer, Mark: n.timer}))) > 0 {
					ask(n, now)
				}
			case n.fails:
				s := of(SetTimer, n.r.do(Event{Kind: MembersRefused}))
				n.out, n.at, n.timer = false, now+s[0].In, s[0].Mark
			default:
				n.done, last = true, now
			}
		}
	}
	for _, n := range all {
		if !n.done {
			return until, calls
		}
	}
	return last, calls
}

// Nodes that lose discovery together and come back faster than it works keep it busy with calls that fail: none is ever
// answered. They have to leave it the time that one call of each takes.
func TestAFleetLeavesDiscoveryItsTime(t *testing.T) {
	last, calls := askers(t, 80, 10, 2*time.Second, 6*time.Second, time.Minute)
	if last > 25*time.Second || calls > 4*80 {
		t.Errorf("80 nodes: the last was answered after %v, %d calls", last, calls)
	}
	for _, nodes := range []int{1, 2, 5} { // a small fleet has no reason to wait
		if last, _ = askers(t, nodes, 10, 2*time.Second, 0, time.Minute); last > 3*time.Second {
			t.Errorf("%d nodes: the last was answered after %v", nodes, last)
		}
	}
}
