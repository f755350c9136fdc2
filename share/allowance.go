// How much of a tenant's limit this instance may admit by itself.
//
// For each window all members compute with the same numbers: the demand at each of them in windows that ended so long ago that
// every message has had time to arrive. So their parts add up to 1 while beats are no older than Fresh, whatever clients do
// meanwhile. A member with an older beat is silent. The others leave to it what it would use by itself: its fair part 1/n, or
// the part that it had, decreasing from tick to tick, whichever is more. Members that are silent to each other end at their
// fair parts, which also add up to 1.
package share

import (
	"math"
	"time"
)

const (
	// Fresh is the maximum age of a fresh beat. The numbers of a window are complete one window before they are used, and are
	// sent in each round until then.
	Fresh = 2 * Window
	// Silent is the age of a member's beat from which no more than its fair part is left to it.
	Silent = 5 * Window
	// catchUpWindow is how long a member's beats must be fresh before its numbers count: until all summed windows lie within that
	// time. Sides of a partition that meet again, and new members, have their fair parts until then.
	catchUpWindow = (settleWindows + demandWindows) * Window
	// demandWindows is the number of windows that demand is summed over. With one, an instance with some requests a second would get
	// between half and twice its part at random. With many, allowances would follow the clients late.
	demandWindows = 2
	// settleWindows is how many windows back the last summed window lies: the one before the current one is still being sent.
	settleWindows = 2
	// minEqualShare is the minimum share of the limit that is divided equally, so that clients that move to another instance are not
	// rejected until all members have received their counts. Of the capacity without demand, half is also divided equally; the
	// other half goes to the instances with clients.
	minEqualShare = 0.05
	// burstWindow is the time for which an unused allowance accumulates. minBurst and minWork are the minimum capacities: a
	// second's part may be less than one request.
	burstWindow = time.Second
	minBurst    = 2.0 // requests
	minWork     = 0.1 // seconds of backend time
)

// view is a View with its members looked up.
type view struct {
	View
	n          int
	generation uint64    // rises when the view changes in a way that affects the parts
	members    []*member // parallel to Members
	counted    []bool    // parallel to Members: whose numbers count
}

// View sets a new view. Its cost grows with the number of members. Parts are computed again at the next call for a tenant, if
// needed.
func (u *Use) View(now Now, v View) {
	old := u.view
	for _, m := range old.members {
		m.view = -1
	}
	u.view = view{View: v, generation: old.generation, n: max(v.N, len(v.Members)+1), members: old.members[:0], counted: old.counted[:0]}
	unchanged := old.n == u.view.n && old.IsCutOff == v.IsCutOff && len(old.Members) == len(v.Members)
	for i, s := range v.Members {
		m := u.members[s.Member]
		if m == nil {
			u.lastID++
			m = &member{Member: s.Member, id: u.lastID}
			u.members[s.Member] = m
		}
		m.view = int32(i)
		if s.Age > Fresh || v.IsCutOff {
			m.isFresh = false
		} else if !m.isFresh {
			m.isFresh, m.freshSince = true, now.Own
		}
		counts := m.isFresh && now.Own-m.freshSince >= catchUpWindow
		unchanged = unchanged && old.Members[i].Member == s.Member && counts == old.counted[i] && windowsOff(old.Members[i].ClockOffset) == windowsOff(s.ClockOffset)
		u.view.members = append(u.view.members, m)
		u.view.counted = append(u.view.counted, counts)
	}
	if !unchanged {
		u.view.generation++
	}
	for who, m := range u.members {
		if m.view < 0 && m.cells == 0 {
			delete(u.members, who)
		}
	}
}

// Allowance returns what this instance may admit for a tenant now.
func (u *Use) Allowance(now Now, name string) Allowance {
	t := u.tenants[name]
	if t == nil {
		return Allowance{Until: now.Own + Window}
	}
	u.updateAllowance(now, t)
	return t.allowance
}

func (u *Use) updateAllowance(now Now, t *tenant) {
	w := int64(now.Wall / Window)
	if t.allowanceWindow == w && t.allowanceView == u.view.generation && now.Own < t.allowance.Until {
		return
	}
	t.allowanceWindow, t.allowanceView = w, u.view.generation
	a := Allowance{Limited: t.limit.Requests > 0 || t.limit.Work > 0, Until: now.Own + Window - now.Wall%Window}
	a.Part, a.FreshMembers, a.TotalMembers = u.ownPart(t, w)
	a.Rate, a.Work = t.limit.Requests*a.Part, t.limit.Work*a.Part
	a.Burst = max(minBurst, a.Rate*burstWindow.Seconds())
	if t.limit.Requests == 0 {
		a.Rate, a.Burst = math.Inf(1), math.Inf(1)
	}
	a.HasNoWorkLimit = t.limit.Work == 0
	t.allowance = a
}

// ownPart returns this instance's part of a tenant's limit in a window.
func (u *Use) ownPart(t *tenant, w int64) (part float64, fresh, of int) {
	n := max(u.view.n, 1)
	fair := 1 / float64(n)
	if n == 1 {
		return 1, 1, 1
	}
	var own, all, reserved float64
	if t.own != nil {
		own = t.own.demand(w, 0)
	}
	all, fresh = own, 1
	for _, h := range u.view.counted {
		if h {
			fresh++
		}
	}
	for _, c := range t.cells {
		if c.owner.view < 0 || c == t.own {
			continue
		}
		s := &u.view.Members[c.owner.view]
		switch {
		case u.view.counted[c.owner.view]:
			all += c.demand(w, windowsOff(s.ClockOffset))
		case s.Age > Fresh: // what it had decreases to nothing by Silent; its fair part is left to it all the same
			reserved += c.lastPart * min(1, max(0, float64(Silent-s.Age)/float64(Silent-Fresh)))
		}
	}
	available := 1 - max(reserved, fair*float64(n-fresh))
	available = max(available, fair*minEqualShare) // shares computed at different times may add up to more than 1
	equalShare := minEqualShare
	if t.limit.Requests > 0 {
		equalShare = max(minEqualShare, (1-all/(t.limit.Requests*available*demandWindows*Window.Seconds()))/2)
	}
	partOf := func(asked float64) float64 {
		if all == 0 {
			return available / float64(fresh)
		}
		return available * ((1-equalShare)*asked/all + equalShare/float64(fresh))
	}
	for _, c := range t.cells {
		if c.owner.view >= 0 && c != t.own && u.view.counted[c.owner.view] {
			c.lastPart = partOf(c.demand(w, windowsOff(u.view.Members[c.owner.view].ClockOffset)))
		}
	}
	return partOf(own), fresh, n
}

// windowsOff returns by how many windows a member's clock is off. It is 0 while delays could be the cause.
func windowsOff(off time.Duration) int64 {
	if off > -Window*3/2 && off < Window*3/2 {
		return 0
	}
	return int64(math.Round(float64(off) / float64(Window)))
}

// demand returns the requests at a member, summed over windows whose counts all members have received by now.
func (c *cell) demand(w, off int64) float64 {
	var sum uint64
	hasSeconds := false
	for i := range c.seconds {
		s := &c.seconds[i]
		if s.window == 0 {
			continue
		}
		hasSeconds = true
		if last := w + off - settleWindows; int64(s.window) <= last && int64(s.window) > last-demandWindows {
			sum += uint64(s.asked)
		}
	}
	if hasSeconds {
		return float64(sum)
	}
	// A release that counts only by ten seconds: its last whole window.
	last := (w+off-settleWindows+1)/10 - 1
	for i := range c.tens {
		if k := &c.tens[i]; k.class == "" && int64(k.window) == last {
			return float64(k.requests) * demandWindows / 10
		}
	}
	return 0
}

// Take takes one request if there is one left. Otherwise retryIn is the time until there is one, provided that no other
// caller takes it.
func (b *Bucket) Take(own time.Duration, a Allowance) (ok bool, retryIn time.Duration) {
	workBurst := max(minWork, a.Work*burstWindow.Seconds())
	switch {
	case !a.Limited:
		return true, 0
	case !b.started:
		*b = Bucket{at: own, started: true, requests: a.Burst, work: workBurst}
	case own > b.at:
		passed := (own - b.at).Seconds()
		b.requests += a.Rate * passed
		b.work += a.Work * passed
		b.at = own
	}
	b.requests = min(b.requests, a.Burst)
	b.work = min(b.work, workBurst)
	if a.HasNoWorkLimit {
		b.work = workBurst
	}
	if b.requests >= 1 && b.work > 0 {
		b.requests--
		return true, 0
	}
	wait := 0.001 // not at the same instant: rounding may leave a billionth of a request
	if b.requests < 1 {
		wait += (1 - b.requests) / a.Rate
	}
	if b.work <= 0 {
		wait = max(wait, -b.work/a.Work+0.001)
	}
	return false, time.Duration(min(wait, 60) * float64(time.Second))
}

// Spend takes the cost of a request, in seconds of backend time. The balance may become negative: then no request is admitted
// until it is positive again.
func (b *Bucket) Spend(work float64) { b.work -= work }
