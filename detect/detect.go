package detect

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file has Detect itself, its defaults, and the order in which an event is processed.

const (
	// never is later than any time that is due.
	never = time.Duration(math.MaxInt64)
	// joinSpread is the time over which a starting process spreads its first probes of seeds and, once acknowledged, its first
	// exchange. Without it a few hundred processes that start together would all send at once.
	joinSpread = 300 * time.Millisecond
	// initialRetryWait is the first wait after an unanswered probe of a seed or a dead member, or between exchanges. It doubles.
	initialRetryWait = time.Second
)

// Detect is one process's view of the fleet. New returns one. It is not safe for concurrent use.
type Detect struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	next time.Duration
	out  []Action

	self             Update
	awayUntil        time.Duration // of self, while Away: when the absence ends by itself
	hasBegun         bool
	isSuperseded     bool // a later process has this name
	hasJoined        bool // another member has acknowledged a probe
	hasFullState     bool // and has sent its full state
	noSuspicionUntil time.Duration
	ignoreUntil      time.Duration // messages are dropped until then; see staleInputWindow
	health           int
	isCutOff         bool
	receivedAt       time.Duration // when the last message arrived
	confirmedAt      time.Duration // when a message last showed that others receive from this process
	unanswered       int           // probes sent since then

	members         map[string]*member
	ring            []*member // all members, in probe order
	ringPos         int
	timers          timerHeap // members that are not alive
	presentCount    int       // members that are present
	recentDeadCount int       // dead members that count for SizeChanged
	reportedSize    int

	seq             uint32
	round           round
	nextRoundAt     time.Duration
	relays          []relay
	nextDeadProbeAt time.Duration // no dead member is probed before
	unverified      []*member
	nextVerifyAt    time.Duration
	linkChecks      []*member

	seeds           []seed
	exchangeAt      time.Duration
	lastExchangeAt  time.Duration // when the last one began
	exchangePartner string        // name of the next partner; "": any member
	exchangeWait    time.Duration // before the exchange after the next
	learned         int           // updates that changed this process's view

	broadcasts broadcastQueue
	links      links
}

func orDefault[T cmp.Ordered](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// New returns a Detect without other members. It does nothing before Start.
func New(cfg Config) *Detect {
	cfg.ProbeInterval = orDefault(cfg.ProbeInterval, time.Second)
	cfg.ProbeTimeout = orDefault(cfg.ProbeTimeout, 300*time.Millisecond)
	cfg.IndirectProbes = max(0, orDefault(cfg.IndirectProbes, 3))
	cfg.MinSuspicionTimeout = orDefault(cfg.MinSuspicionTimeout, 5*time.Second)
	cfg.MaxSuspicionFactor = orDefault(cfg.MaxSuspicionFactor, 6)
	cfg.SuspicionAccusers = max(0, orDefault(cfg.SuspicionAccusers, 3))
	cfg.MaxHealthScore = max(0, orDefault(cfg.MaxHealthScore, 4))
	cfg.PauseThreshold = orDefault(cfg.PauseThreshold, 700*time.Millisecond)
	cfg.PauseGrace = orDefault(cfg.PauseGrace, 3*time.Second)
	cfg.CutOffTimeout = orDefault(cfg.CutOffTimeout, 10*time.Second)
	cfg.ExchangeInterval = orDefault(cfg.ExchangeInterval, 30*time.Second)
	cfg.MaxDeadProbeInterval = orDefault(cfg.MaxDeadProbeInterval, 30*time.Second)
	cfg.ForgetAfter = orDefault(cfg.ForgetAfter, 30*time.Minute)
	cfg.SizeGrace = orDefault(cfg.SizeGrace, 2*time.Minute)
	cfg.MaxAway = orDefault(cfg.MaxAway, 10*time.Minute)
	cfg.MaxMembers = orDefault(cfg.MaxMembers, 4096)
	cfg.MaxLinks = orDefault(cfg.MaxLinks, 1024)
	cfg.MaxDatagramBytes = orDefault(cfg.MaxDatagramBytes, 1200)
	cfg.EnvelopeBytes = orDefault(cfg.EnvelopeBytes, 40)
	d := &Detect{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6465746563740000)), next: never, reportedSize: -1,
		members: map[string]*member{}, links: links{stored: map[link]storedLink{}},
		self: Update{ID: ID{cfg.Name, cfg.Start}, Addr: cfg.Addr},
	}
	for _, s := range cfg.Seeds {
		if s != cfg.Addr && s != "" {
			d.seeds = append(d.seeds, seed{addr: s, wait: initialRetryWait})
		}
	}
	return d
}

// Handle processes one event and appends the resulting actions to out. Times are on any clock that doesn't go back. The caller
// owns what is in an action; of an event only strings are kept.
func (d *Detect) Handle(now time.Duration, ev Event, out []Action) []Action {
	if d.isSuperseded || !d.hasBegun && ev.Kind != Start {
		return out
	}
	d.now, d.out = max(now, d.now), out
	// The threshold is subtracted from now because next may be never, which must not overflow.
	if d.hasBegun && d.cfg.PauseThreshold > 0 && d.now-d.cfg.PauseThreshold >= d.next {
		d.handlePause(d.now - d.next)
	}
	switch ev.Kind {
	case Start:
		d.begin()
	case Received:
		if d.now >= d.ignoreUntil {
			d.receive(ev.From, &ev.Message)
		}
	case Leave:
		d.announce(Left, 0)
	case BeginAway:
		d.announce(Away, ev.Until)
	}
	if !d.isSuperseded {
		d.runDue()
	}
	if n := 1 + d.presentCount + d.recentDeadCount; n != d.reportedSize && !d.isSuperseded {
		d.reportedSize = n
		d.act(Action{Kind: SizeChanged, N: n})
	}
	d.next = d.nextDueAt()
	out, d.out = d.out, nil
	return out
}

func (d *Detect) act(a Action) { d.out = append(d.out, a) }

// Next returns the latest time for the next Tick. A call of Handle that comes PauseThreshold later shows that this process was
// stopped.
func (d *Detect) Next() time.Duration { return d.next }

// Self returns this process's update about itself.
func (d *Detect) Self() Update { return d.currentSelfUpdate() }

// Health returns the local health score: 0 is healthy, Config.MaxHealthScore is the worst.
func (d *Detect) Health() int { return d.health }

// Members calls f for each process that is not forgotten, including this one, sorted by name, until f returns false.
func (d *Detect) Members(f func(Update, LinkState) bool) {
	all := make([]*member, 0, len(d.ring)+1)
	all = append(all, &member{Update: d.currentSelfUpdate(), awayUntil: d.awayUntil})
	all = append(all, d.ring...)
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range all {
		if !f(m.currentUpdate(d.now), m.link()) {
			return
		}
	}
}

// begin starts discovery, or ends a planned absence.
func (d *Detect) begin() {
	if d.hasBegun {
		if d.self.State == Away {
			d.announce(Alive, 0)
		}
		return
	}
	d.hasBegun = true
	d.receivedAt, d.confirmedAt = d.now, d.now
	first := d.randomDuration(joinSpread / 3)
	for i := range d.seeds {
		d.seeds[i].at = d.now + first + time.Duration(i)*joinSpread/6
	}
	d.nextRoundAt = d.now + d.randomDuration(d.cfg.ProbeInterval)
	d.exchangeAt = never
}

// announce raises this process's incarnation, sets its state, and sends it to some members at once.
func (d *Detect) announce(s State, until time.Duration) {
	if d.self.State == Left || d.self.Inc == math.MaxUint32 {
		return
	}
	d.self.Inc++
	d.self.State = s
	d.awayUntil = d.now + min(max(0, until), d.cfg.MaxAway)
	d.sendNotices(maxNotices)
}

// maxNotices is how many members receive an announcement directly. If half of the messages are lost, enough remain to spread
// it.
const maxNotices = 8

func (d *Detect) sendNotices(maxMembers int) {
	for _, m := range d.randomMembers(maxMembers, nil) {
		d.send(m.Addr, Message{Kind: Answer, About: m.ID}, m)
	}
}

func (d *Detect) currentSelfUpdate() Update {
	w := d.self
	if w.State == Away {
		w.Until = max(0, d.awayUntil-d.now)
	}
	return w
}

// runDue runs everything that is due.
func (d *Detect) runDue() {
	if d.self.State == Away && d.now >= d.awayUntil {
		d.announce(Alive, 0)
	}
	for len(d.timers) > 0 && d.timers[0].dueAt <= d.now {
		d.timerExpired(d.timers[0])
	}
	if d.round.id.Name != "" && !d.round.isAnswered && !d.round.isIndirect && d.round.indirectAt <= d.now {
		d.probeIndirectly()
	}
	if d.nextRoundAt <= d.now {
		d.endRound()
		d.beginRound()
	}
	d.expireRelays()
	if len(d.unverified) > 0 && d.nextVerifyAt <= d.now {
		d.verifyDeaths()
	}
	d.probeSeeds()
	if d.exchangeAt <= d.now {
		d.exchange()
	}
	d.checkCutOff()
}

func (d *Detect) nextDueAt() time.Duration {
	if !d.hasBegun || d.isSuperseded {
		return never
	}
	at := min(d.nextRoundAt, d.exchangeAt)
	if d.round.id.Name != "" && !d.round.isAnswered && !d.round.isIndirect {
		at = min(at, d.round.indirectAt)
	}
	if len(d.timers) > 0 {
		at = min(at, d.timers[0].dueAt)
	}
	if len(d.unverified) > 0 {
		at = min(at, d.nextVerifyAt)
	}
	for i := range d.relays {
		at = min(at, d.relays[i].deadline)
	}
	for i := range d.seeds {
		at = min(at, d.seeds[i].at)
	}
	if d.self.State == Away {
		at = min(at, d.awayUntil)
	}
	return at
}

// handlePause processes a pause of this process. What others did meanwhile is unknown, and missing acknowledgements are the
// fault of this process.
func (d *Detect) handlePause(delay time.Duration) {
	if delay >= d.cfg.ForgetAfter/2 {
		d.resetMembership()
		return
	}
	d.worsenHealth(1)
	d.resume(delay)
}

// resume drops pending probes, suspects no one for a while, and schedules an exchange first.
func (d *Detect) resume(pause time.Duration) {
	d.noSuspicionUntil = d.now + d.cfg.PauseGrace
	d.round = round{}
	d.relays = d.relays[:0]
	d.nextRoundAt = d.now + d.randomDuration(d.cfg.ProbeInterval/2)
	d.confirmedAt, d.receivedAt, d.unanswered = d.now, d.now, 0
	for _, m := range d.linkChecks {
		m.misses = 0
	}
	for _, m := range d.ring {
		if m.State == Suspect {
			m.stateSince = min(m.stateSince+pause, d.now)
			m.finalProbes = 0
			m.dueAt = d.finalProbesAt(m)
		}
	}
	heap.Init(&d.timers)
	if d.hasJoined {
		d.exchangeAt, d.exchangePartner = d.now, ""
	}
}

// resetMembership forgets all members after a long pause. The state is so old that sending it would bring back processes that
// others have forgotten. Their addresses are probed as seeds.
func (d *Detect) resetMembership() {
	for _, i := range d.rng.Perm(len(d.ring)) {
		m := d.ring[i]
		if m.State.isPresent() && len(d.seeds) < len(d.cfg.Seeds)+maxFormerMembers {
			d.seeds = append(d.seeds, seed{addr: m.Addr})
		}
	}
	for len(d.ring) > 0 {
		m := d.ring[len(d.ring)-1]
		d.forget(m, "it was known only from before a pause that outlasted the validity of updates")
	}
	for i := range d.seeds {
		d.seeds[i].at, d.seeds[i].wait = d.now+staleInputWindow+d.randomDuration(joinSpread), initialRetryWait
	}
	d.hasJoined, d.hasFullState = false, false
	d.exchangeAt = never
	d.resume(0)
	d.ignoreUntil = d.now + staleInputWindow
}

// staleInputWindow is the time that the caller may need to read the messages that waited in its sockets during a pause longer
// than updates are valid. They are dropped.
const staleInputWindow = time.Second

// maxFormerMembers is how many addresses of former members are probed beside the seeds after a pause longer than updates are
// valid.
const maxFormerMembers = 16

// randomDuration returns a random duration in [0, limit).
func (d *Detect) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(d.rng.Int64N(int64(limit)))
}

// jitter spreads a wait by a quarter to both sides.
func (d *Detect) jitter(wait time.Duration) time.Duration { return wait*3/4 + d.randomDuration(wait/2) }

func (d *Detect) worsenHealth(by int) { d.health = min(d.cfg.MaxHealthScore, d.health+by) }
func (d *Detect) improveHealth()      { d.health = max(0, d.health-1) }
func (d *Detect) timeoutFactor() int  { return 1 + d.health }

// logMembers returns the decimal logarithm of the number of members, at least 1. Timeouts and retransmissions grow with it.
func (d *Detect) logMembers() float64 { return max(1, math.Log10(float64(d.presentCount+2))) }
