// The table of use: which member has used how much of which tenant, in windows.
package share

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"glencart/schema"
)

const (
	// Window is the unit in which use is counted and allowances are computed. It is short enough to follow a tenant's clients
	// from one instance to another, and long enough for a message to reach all (see Fresh). Windows are numbered by the wall
	// clock. A member whose clock is off by e counts into windows that are e apart from those of the others. Its numbers are
	// read as of its own windows (see MemberAge.ClockOffset), so its part lags by no more than before, and Total is wrong by what the member
	// has used in e.
	Window = time.Second
	// ClassWindow is the window of the older forms, and of the counts by class.
	ClassWindow = 10 * Window
	// keptSeconds is how many seconds are kept: ten for Total, and one on each side for clock differences.
	keptSeconds = 12
	// ahead and behind are how far a count's window may be from the own one, in seconds. Counts farther away come from clocks
	// off by more than Skew, or are old.
	ahead, behind = 6, 20
	// Idle is how long a tenant without any activity stays in the table, and a member in a tenant.
	Idle = 60 * time.Second

	maxName  = 128 // bytes of a member's name
	maxClass = 64  // bytes of a class name
)

// UseConfig names the owner of the table and sets its bounds. Zero values mean the defaults given at the fields, which suit a
// shard of an instance with some thousand tenants.
type UseConfig struct {
	Self             Member
	Tenants          int // 10,000
	Cells            int // (tenant, member) pairs: 200,000
	Classes          int // classes of one tenant and member: 16
	MaxUnknownFields int // stored fields of a tenant that this release does not define: 256
	// Form is the newest form that this release reads and writes, for tests of a fleet of several releases. 0: the newest.
	Form uint16
}

// Use is one shard of the table, by a hash of the tenant.
type Use struct {
	cfg      UseConfig
	registry *schema.Registry
	tenants  map[string]*tenant
	members  map[Member]*member
	view     view
	version  uint64 // rises with each change of a cell
	cells    int
	classes  int
	interned map[string]string // class names, each stored once
	lastID   uint32
	stats    UseStats
}

type member struct {
	Member
	id         uint32 // in the order in which members became known
	cells      int
	view       int32 // its index in the view; -1: not in it
	isFresh    bool  // its beat is fresh, since freshSince, on the own clock
	freshSince time.Duration
}

// tenant is what is known of one tenant's use.
type tenant struct {
	limit       Limit
	plan        string
	planLoad    uint64
	planVersion uint64  // version
	cells       []*cell // sorted by id of their member
	own         *cell
	unknown     *schema.Record // fields unknown to this release, which it passes on
	changed     time.Duration  // wall: the time of the last count or message

	bucket          Bucket
	allowance       Allowance
	allowanceWindow int64  // for which allowance was computed
	allowanceView   uint64 // the number of the view that allowance was computed from
}

// cell is one member's use of one tenant. Its counters are the member's own: they are only merged by maximum.
type cell struct {
	owner    *member
	version  uint64
	newest   uint32 // the newest second with a count
	lastPart float64
	seconds  [keptSeconds]second // by window modulo keptSeconds
	tens     []tenSeconds
}

// second has 32 bits for each count: 4 billion requests, or 71 minutes of backend time, in one second of one member.
type second struct{ window, asked, admitted, work uint32 }

type tenSeconds struct {
	class    string
	window   uint32
	requests uint32
	work     uint64 // microseconds
}

// NewUse returns an empty table.
func NewUse(cfg UseConfig) *Use {
	cfg.Tenants = cmp.Or(cfg.Tenants, 10_000)
	cfg.Cells = cmp.Or(cfg.Cells, 200_000)
	cfg.Classes = cmp.Or(cfg.Classes, 16)
	cfg.MaxUnknownFields = cmp.Or(cfg.MaxUnknownFields, 256)
	cfg.Form = cmp.Or(cfg.Form, NewestUse)
	return &Use{cfg: cfg, registry: newRegistry(), tenants: map[string]*tenant{}, members: map[Member]*member{}, interned: map[string]string{"": ""}}
}

// SetLimit sets a tenant's limit and plan. A tenant without a limit is counted all the same.
func (u *Use) SetLimit(now Now, name string, l Limit) {
	t := u.tenant(now, name)
	if t == nil {
		return
	}
	t.limit, t.allowanceWindow = l, 0
	if l.Loaded > t.planLoad || l.Loaded == t.planLoad && l.Plan > t.plan {
		u.version++
		t.plan, t.planLoad, t.planVersion = l.Plan, l.Loaded, u.version
	}
}

// Plan returns the tenant's plan from the latest settings load that any member reported, and the number of that load.
func (u *Use) Plan(name string) (plan string, loaded uint64) {
	if t := u.tenants[name]; t != nil {
		return t.plan, t.planLoad
	}
	return "", 0
}

// Admit counts a request and takes it from this instance's allowance. If it is rejected, retryIn is the time until there is
// room for one.
func (u *Use) Admit(now Now, name, class string) (ok bool, retryIn time.Duration) {
	t := u.tenant(now, name)
	if t == nil {
		return true, 0 // the table is full: a tenant that is not counted is not limited
	}
	u.updateAllowance(now, t)
	admitted := uint64(0)
	if ok, retryIn = t.bucket.Take(now.Own, t.allowance); ok {
		admitted = 1
	}
	u.count(now, t, class, 1, admitted, 0)
	return ok, retryIn
}

// CountRequests counts requests of a caller with a bucket of its own.
func (u *Use) CountRequests(now Now, name, class string, asked, admitted uint64) {
	if t := u.tenant(now, name); t != nil {
		u.count(now, t, class, asked, admitted, 0)
	}
}

// CountWork counts the cost of a request, in seconds of backend time.
func (u *Use) CountWork(now Now, name, class string, work float64) {
	if t := u.tenant(now, name); t != nil {
		t.bucket.Spend(work)
		u.count(now, t, class, 0, 0, uint64(work*1e6))
	}
}

// tenant finds or adds a tenant. It returns nil when there is no room.
func (u *Use) tenant(now Now, name string) *tenant {
	t := u.tenants[name]
	if t == nil {
		if len(u.tenants) >= u.cfg.Tenants || len(name) > schema.MaxKey || name == "" {
			u.stats.DroppedAtCap++
			return nil
		}
		t = &tenant{changed: now.Wall}
		u.tenants[name] = t
	}
	return t
}

func (u *Use) count(now Now, t *tenant, class string, asked, admitted, work uint64) {
	c := t.own
	if c == nil {
		if c = u.cell(t, u.cfg.Self); c == nil {
			u.stats.DroppedAtCap++
			return
		}
		t.own = c
	}
	t.changed = now.Wall
	u.version++
	c.version = u.version
	w := uint32(now.Wall / Window)
	if u.cfg.Form >= 3 {
		// A window that is no longer kept is not started again when the clock goes back: its count would fall.
		if s := &c.seconds[w%keptSeconds]; s.window <= w {
			if s.window < w {
				*s = second{window: w}
			}
			s.asked, s.admitted, s.work = addCapped(s.asked, asked), addCapped(s.admitted, admitted), addCapped(s.work, work)
		} else {
			u.stats.OutOfTime++
		}
	}
	c.newest = max(c.newest, w)
	if admitted == 0 && work == 0 {
		return
	}
	if u.cfg.Form < 2 {
		work = 0
	}
	tens := uint32(now.Wall / ClassWindow)
	u.addTenSeconds(c, tens, "", admitted, work)
	if class != "" && u.cfg.Form >= 2 {
		u.addTenSeconds(c, tens, class, admitted, work)
	}
}

func (u *Use) addTenSeconds(c *cell, window uint32, class string, admitted, work uint64) {
	if k := u.tenSecondsOf(c, window, class); k != nil {
		k.requests, k.work = addCapped(k.requests, admitted), k.work+work
	}
}

func addCapped(a uint32, b uint64) uint32 { return uint32(min(uint64(a)+b, 1<<32-1)) }

// cell finds or adds a member's cell. It returns nil when there is no room.
func (u *Use) cell(t *tenant, who Member) *cell {
	m := u.members[who]
	if m != nil {
		if at, found := slices.BinarySearchFunc(t.cells, m.id, byMember); found {
			return t.cells[at]
		}
	}
	if u.cells >= u.cfg.Cells {
		return nil
	}
	if m == nil {
		u.lastID++
		m = &member{Member: who, id: u.lastID, view: -1}
		u.members[who] = m
	}
	at, _ := slices.BinarySearchFunc(t.cells, m.id, byMember)
	c := &cell{owner: m}
	t.cells = slices.Insert(t.cells, at, c)
	m.cells++
	u.cells++
	return c
}

func byMember(c *cell, id uint32) int { return cmp.Compare(c.owner.id, id) }

func (c *cell) findTenSeconds(window uint32, class string) *tenSeconds {
	for i := range c.tens {
		if k := &c.tens[i]; k.window == window && k.class == class {
			return k
		}
	}
	return nil
}

// tenSecondsOf finds or adds a class's window of ten seconds. It returns nil when there is no room.
func (u *Use) tenSecondsOf(c *cell, window uint32, class string) *tenSeconds {
	if k := c.findTenSeconds(window, class); k != nil {
		return k
	}
	over := slices.IndexFunc(c.tens, func(k tenSeconds) bool { return k.window+3 < window })
	if over >= 0 {
		c.tens[over] = tenSeconds{class: u.intern(class), window: window}
		return &c.tens[over]
	}
	if len(c.tens) >= 3*(u.cfg.Classes+1) {
		u.stats.DroppedAtCap++
		return nil
	}
	u.classes++
	c.tens = append(c.tens, tenSeconds{class: u.intern(class), window: window})
	return &c.tens[len(c.tens)-1]
}

// intern stores a class name once, however many messages contain it.
func (u *Use) intern(class string) string {
	n, ok := u.interned[class]
	if !ok {
		if len(u.interned) > 4096 { // a site's settings have some dozens
			clear(u.interned)
		}
		n = strings.Clone(class)
		u.interned[n] = n
	}
	return n
}

// Tick drops what has expired. One call a second or so is enough.
func (u *Use) Tick(now Now) {
	w := uint32(now.Wall / Window)
	for name, t := range u.tenants {
		t.cells = slices.DeleteFunc(t.cells, func(c *cell) bool {
			if now.Wall-time.Duration(c.newest)*Window < Idle || c == t.own && w < c.newest {
				return false
			}
			u.cells--
			u.classes -= len(c.tens)
			if c == t.own {
				t.own = nil
			}
			if c.owner.cells--; c.owner.cells == 0 && c.owner.view < 0 {
				delete(u.members, c.owner.Member)
			}
			return true
		})
		if len(t.cells) == 0 && now.Wall-t.changed >= Idle && t.limit == (Limit{}) {
			delete(u.tenants, name)
		}
	}
}

// Total returns what is known of a tenant's use in the last ten seconds, by the second. Counts by class, and counts of members
// of older releases, are in windows of ten seconds: of the previous window, the part that is still within the last ten seconds
// counts.
func (u *Use) Total(now Now, name, class string) Count {
	t := u.tenants[name]
	if t == nil {
		return Count{}
	}
	var sum Count
	for _, c := range t.cells {
		sum.add(c.total(now, class))
	}
	return sum
}

func (n *Count) add(o Count) {
	n.Asked += o.Asked
	n.Requests += o.Requests
	n.Work += o.Work
}

func (c *cell) total(now Now, class string) (n Count) {
	w, seconds := uint32(now.Wall/Window), false
	if class == "" {
		for i := range c.seconds {
			if s := &c.seconds[i]; s.window != 0 {
				seconds = true
				if s.window+10 > w && s.window <= w {
					n.add(Count{Asked: uint64(s.asked), Requests: uint64(s.admitted), Work: float64(s.work) / 1e6})
				}
			}
		}
	}
	tens := uint32(now.Wall / ClassWindow)
	if seconds { // the seconds that were received may be incomplete
		if k := c.findTenSeconds(tens, class); k != nil && uint64(k.requests) > n.Requests {
			n.Requests, n.Work = uint64(k.requests), max(n.Work, float64(k.work)/1e6)
			n.Asked = max(n.Asked, n.Requests)
		}
		return n
	}
	left := 1 - float64(now.Wall%ClassWindow)/float64(ClassWindow)
	for i := range c.tens {
		k := &c.tens[i]
		part := 1.0
		if k.class != class || k.window != tens && k.window+1 != tens {
			continue
		}
		if k.window != tens {
			part = left
		}
		n.add(Count{Asked: uint64(float64(k.requests) * part), Requests: uint64(float64(k.requests) * part), Work: float64(k.work) / 1e6 * part})
	}
	return n
}

// Each visits all tenants, in no particular order, with their use in the last ten seconds.
func (u *Use) Each(now Now, visit func(name string, total Count)) {
	for name := range u.tenants {
		visit(name, u.Total(now, name, ""))
	}
}

// Stats returns the counters for metrics.
func (u *Use) Stats() UseStats {
	s := u.stats
	s.Tenants, s.Cells, s.Classes = len(u.tenants), u.cells, u.classes
	return s
}
