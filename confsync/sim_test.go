package confsync

import (
	"container/heap"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

var (
	seeds    = flag.Int("seeds", 200, "how many seeds of faults TestFaults plays")
	wholeRun = flag.Bool("whole", false, "6,100 nodes in TestDistribution, for docs/CAPACITY.md")
)

// The hollow fleet: an origin, relays in each zone, and nodes that subscribe to them. What is shipped decides; the
// network is in memory and time is virtual.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	seq     int
	due     events
	origin  *member
	relays  []*member
	nodes   []*member
	byName  map[string]*member
	loss    float64
	cut     func(a, b *member) bool
	limits  Limits
	digests map[uint64]uint64 // of the origin, by revision
	stamps  map[uint64]time.Duration
	lags    []time.Duration // of each node and revision
	counted func(m *member) bool
	faults  []string
	applied int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// member is a process: an origin has a publisher, a node a subscriber, a relay both on one store.
type member struct {
	name         string
	region, zone int
	store        *Store
	pub          *Publisher
	sub          *Subscriber
	sources      []string
	picky        bool // it refuses what is marked
	dead         bool
	wakeAt       time.Duration
	bytes        int
	second       time.Duration
	inSecond     int
	secondMost   int
	seed         uint64
}

const (
	marked      = "refused by some"
	relayBudget = 1e6 // bytes a second from the origin to a relay
)

func (w *world) after(in time.Duration, do func()) {
	w.seq++
	heap.Push(&w.due, event{w.now + in, w.seq, do})
}

func (w *world) run(until time.Duration) {
	for len(w.due) > 0 && w.due[0].at <= until {
		e := heap.Pop(&w.due).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) newMember(name string, region, zone int, sources []string) *member {
	m := &member{name: name, region: region, zone: zone, sources: sources, seed: w.rng.Uint64()}
	w.byName[name] = m
	return m
}

// start begins a process, which finds what it last held on its disk.
func (w *world) start(m *member) {
	m.dead = false
	if m.store == nil {
		m.store = NewStore(w.limits, m.check)
	}
	if m.sources == nil {
		limits := w.limits
		limits.BytesPerSecond = relayBudget // relays are machines that are set aside
		m.pub = NewPublisher(m.store, limits)
		return
	}
	if m.zone >= 0 && strings.HasPrefix(m.name, "relay") {
		m.pub = NewPublisher(m.store, w.limits)
	}
	m.seed++
	m.sub = NewSubscriber(m.store, w.limits, m.sources, m.seed)
	w.send(m, m.sub.Begin(w.now, nil))
	w.wake(m)
}

func (m *member) check(c *Change) error {
	if m.picky && string(c.Value) == marked {
		return errors.New(marked)
	}
	return nil
}

// send carries messages, or loses, repeats or delays them.
func (w *world) send(from *member, list []Send) {
	for _, s := range list {
		to := w.byName[s.To]
		to.count(w.now, s.Message.Size())
		copies := 1
		switch x := w.rng.Float64(); {
		case x < w.loss:
			copies = 0
		case x < 1.5*w.loss:
			copies = 2
		}
		for range copies {
			w.after(w.delay(from, to), func() { w.arrive(from, to, s.Message) })
		}
	}
}

func (w *world) delay(a, b *member) time.Duration {
	base := 500 * time.Microsecond
	switch {
	case a.region != b.region:
		base = 60 * time.Millisecond
	case a.zone != b.zone:
		base = 2 * time.Millisecond
	}
	return base + time.Duration(w.rng.ExpFloat64()*float64(base)/2)
}

func (w *world) arrive(from, to *member, m Message) {
	if to.dead || from.dead || w.cut != nil && w.cut(from, to) {
		return
	}
	switch m.Kind {
	case Update, Keepalive:
		if to.sub == nil {
			return
		}
		before := to.store.Revision()
		out, applied := to.sub.Receive(w.now, from.name, m, nil)
		w.send(to, out)
		if applied {
			w.check(to, before)
			if to.pub != nil {
				w.send(to, to.pub.Changed(w.now, nil))
			}
		}
	default:
		if to.pub != nil {
			w.send(to, to.pub.Receive(w.now, from.name, m, nil))
		}
	}
	w.wake(to)
}

// count counts the bytes that are sent to a member, by second. What the network repeats is not its sender's.
func (m *member) count(now time.Duration, n int) {
	if s := now.Truncate(time.Second); s != m.second {
		m.second, m.inSecond = s, 0
	}
	m.bytes += n
	m.inSecond += n
	m.secondMost = max(m.secondMost, m.inSecond)
}

// check holds a member that has applied something against what the origin held at that revision.
func (w *world) check(m *member, before uint64) {
	w.applied++
	r := m.store.Revision()
	if r <= before || m.store.Digest() != w.digests[r] {
		w.faults = append(w.faults, fmt.Sprintf("%s: from revision %d to %d with digest %x, the origin had %x", m.name, before, r, m.store.Digest(), w.digests[r]))
	}
	if strings.HasPrefix(m.name, "node") && (w.counted == nil || w.counted(m)) {
		for v := before + 1; v <= r; v++ {
			w.lags = append(w.lags, w.now-w.stamps[v])
		}
	}
}

// wake has a member called when something is due.
func (w *world) wake(m *member) {
	at := time.Duration(1<<63 - 1)
	if m.pub != nil {
		if next, ok := m.pub.Next(); ok {
			at = next
		}
	}
	if m.sub != nil {
		at = min(at, m.sub.Next())
	}
	at = max(at, w.now)
	if m.dead || m.wakeAt > w.now && m.wakeAt <= at {
		return
	}
	m.wakeAt = at
	w.after(at-w.now, func() {
		if m.dead || m.wakeAt != at {
			return
		}
		m.wakeAt = 0
		if m.pub != nil {
			w.send(m, m.pub.Tick(w.now, nil))
		}
		if m.sub != nil {
			w.send(m, m.sub.Tick(w.now, nil))
		}
		w.wake(m)
	})
}

// newWorld makes a fleet over regions and zones, with two relays in each zone. A node asks those of its zone, then others of
// its region.
func newWorld(seed uint64, regions, zones, nodes int, loss float64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), byName: map[string]*member{}, loss: loss,
		digests: map[uint64]uint64{}, stamps: map[uint64]time.Duration{}}
	w.origin = w.newMember("origin", 0, -1, nil)
	w.start(w.origin)
	ofRegion := make([][]string, regions)
	for z := range zones {
		for i := range 2 {
			m := w.newMember(fmt.Sprintf("relay-%d-%d", z, i), z%regions, z, []string{"origin"})
			w.relays = append(w.relays, m)
			ofRegion[m.region] = append(ofRegion[m.region], m.name)
		}
	}
	for i := range nodes {
		z := i % zones
		near := []string{fmt.Sprintf("relay-%d-%d", z, i/zones%2), fmt.Sprintf("relay-%d-%d", z, 1-i/zones%2)}
		for _, name := range ofRegion[z%regions] {
			if name != near[0] && name != near[1] {
				near = append(near, name)
			}
		}
		w.nodes = append(w.nodes, w.newMember(fmt.Sprintf("node-%d", i), z%regions, z, near))
	}
	for _, m := range append(w.relays, w.nodes...) {
		w.after(time.Duration(w.rng.Float64()*float64(time.Second)), func() { w.start(m) })
	}
	return w
}

// publish makes a change hold at the origin.
func (w *world) publish(changes ...Change) error {
	out, err := w.origin.pub.Publish(w.now, changes, nil)
	if err != nil {
		return err
	}
	r := w.origin.store.Revision()
	w.digests[r], w.stamps[r] = w.origin.store.Digest(), w.now
	w.send(w.origin, out)
	w.wake(w.origin)
	return nil
}

// drawChange draws what operators change: mostly endpoints, some routes and tenants; now and then what has to be refused.
func (w *world) drawChange(of int) []Change {
	n := w.rng.IntN(of)
	value := fmt.Appendf(nil, "10.%d.%d.%d:8080 weight=%d", w.rng.IntN(250), w.rng.IntN(250), w.rng.IntN(250), w.rng.IntN(100))
	service := Key{Pool, fmt.Sprintf("service-%d", n%max(of/16, 1))}
	switch x := w.rng.IntN(20); {
	case x == 0:
		return []Change{{Key: service, Value: value}}
	case x == 1:
		return []Change{{Key: Key{Tenant, fmt.Sprintf("tenant-%d", n)}, Value: value[:8]}}
	case x < 4 && w.origin.store.held[service] != nil:
		return []Change{{Key: Key{Route, fmt.Sprintf("route-%d", n)}, Value: value, Refs: []Key{service}}}
	case x < 8 && w.origin.store.held[Key{Endpoint, fmt.Sprintf("endpoint-%d", n)}] != nil:
		return []Change{remove(Key{Endpoint, fmt.Sprintf("endpoint-%d", n)})}
	}
	return []Change{{Key: service, Value: value}, {Key: Key{Endpoint, fmt.Sprintf("endpoint-%d", n)}, Value: value, Refs: []Key{service}}}
}

// changes has so many changes a second come until a time.
func (w *world) changes(perSecond float64, until time.Duration, of int) {
	if w.now >= until {
		return
	}
	if err := w.publish(w.drawChange(of)...); err != nil {
		w.faults = append(w.faults, err.Error())
	}
	w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { w.changes(perSecond, until, of) })
}

// behind counts the nodes that are not at the origin's revision.
func (w *world) behind() int {
	n := 0
	for _, m := range w.nodes {
		if m.store == nil || m.store.Revision() != w.origin.store.Revision() {
			n++
		}
	}
	return n
}
