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
	retry = time.Second
)

// Detect is one process's view of the fleet. New returns one. It is not safe for concurrent use.
type Detect struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	next time.Duration
	out  []Action

	self    Word
	back    time.Duration // of self, while Away: when the absence ends by itself
	begun   bool
	over    bool // a later process has this name
	met     bool // another member has acknowledged a probe
	pulled  bool // and has sent its full state
	calm    time.Duration
	deaf    time.Duration // until then, messages are dropped: they waited in a socket during a pause longer than updates are valid
	health  int
	cut     bool
	heardAt time.Duration // when the last message arrived
	sureAt  time.Duration // when a message last showed that others receive from this process
	tries   int           // probes sent since then

	members map[string]*member
	ring    []*member // all members, in probe order
	pos     int
	timed   timers // members that are not alive
	there   int    // members that are present
	recent  int    // dead members that count for Sized
	sized   int

	seq     uint32
	round   round
	roundAt time.Duration
	relays  []relay
	deadAt  time.Duration // no dead member is probed before
	doubts  []*member
	doubtAt time.Duration
	probes  []*member

	seeds      []seed
	exchangeAt time.Duration
	exchanged  time.Duration // when the last one began
	with       string        // name of the next partner; "": any member
	wait       time.Duration // before the exchange after the next
	taught     int           // updates that changed this process's view

	news  queue
	links links
}

func orElse[T cmp.Ordered](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// New returns a Detect that knows no other member. It does nothing before Begin.
func New(cfg Config) *Detect {
	cfg.Every = orElse(cfg.Every, time.Second)
	cfg.AnswerWithin = orElse(cfg.AnswerWithin, 300*time.Millisecond)
	cfg.Others = max(0, orElse(cfg.Others, 3))
	cfg.Suspicion = orElse(cfg.Suspicion, 5*time.Second)
	cfg.Stretch = orElse(cfg.Stretch, 6)
	cfg.Accusers = max(0, orElse(cfg.Accusers, 3))
	cfg.HealthMost = max(0, orElse(cfg.HealthMost, 4))
	cfg.LateTick = orElse(cfg.LateTick, 700*time.Millisecond)
	cfg.Calm = orElse(cfg.Calm, 3*time.Second)
	cfg.CutAfter = orElse(cfg.CutAfter, 10*time.Second)
	cfg.ExchangeEvery = orElse(cfg.ExchangeEvery, 30*time.Second)
	cfg.DeadMost = orElse(cfg.DeadMost, 30*time.Second)
	cfg.ForgetAfter = orElse(cfg.ForgetAfter, 30*time.Minute)
	cfg.SizedFor = orElse(cfg.SizedFor, 2*time.Minute)
	cfg.AwayMost = orElse(cfg.AwayMost, 10*time.Minute)
	cfg.MembersMost = orElse(cfg.MembersMost, 4096)
	cfg.LinksMost = orElse(cfg.LinksMost, 1024)
	cfg.DatagramMost = orElse(cfg.DatagramMost, 1200)
	cfg.Envelope = orElse(cfg.Envelope, 40)
	d := &Detect{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6465746563740000)), next: never, sized: -1,
		members: map[string]*member{}, links: links{held: map[link]heldLink{}},
		self: Word{ID: ID{cfg.Name, cfg.Start}, Addr: cfg.Addr},
	}
	for _, s := range cfg.Seeds {
		if s != cfg.Addr && s != "" {
			d.seeds = append(d.seeds, seed{addr: s, wait: retry})
		}
	}
	return d
}

// Handle processes one event and appends the resulting actions to out. Times are on any clock that doesn't go back. The caller
// owns what is in an action; of an event only strings are kept.
func (d *Detect) Handle(now time.Duration, ev Event, out []Action) []Action {
	if d.over || !d.begun && ev.Kind != Begin {
		return out
	}
	d.now, d.out = max(now, d.now), out
	if d.begun && d.cfg.LateTick > 0 && d.now-d.cfg.LateTick >= d.next { // written as a difference because next may be never
		d.wasStopped(d.now - d.next)
	}
	switch ev.Kind {
	case Begin:
		d.begin()
	case Got:
		if d.now >= d.deaf {
			d.got(ev.From, &ev.Message)
		}
	case Leave:
		d.say(Left, 0)
	case GoAway:
		d.say(Away, ev.Until)
	}
	if !d.over {
		d.due()
	}
	if n := 1 + d.there + d.recent; n != d.sized && !d.over {
		d.sized = n
		d.act(Action{Kind: Sized, N: n})
	}
	d.next = d.earliest()
	out, d.out = d.out, nil
	return out
}

func (d *Detect) act(a Action) { d.out = append(d.out, a) }

// Next returns the latest time for the next Tick. A call of Handle that comes PauseThreshold later shows that this process was
// stopped.
func (d *Detect) Next() time.Duration { return d.next }

// Self returns this process's update about itself.
func (d *Detect) Self() Word { return d.selfWord() }

// Health returns the local health score: 0 is healthy, Config.MaxHealthScore is the worst.
func (d *Detect) Health() int { return d.health }

// Members calls f for each process that is not forgotten, including this one, sorted by name, until f returns false.
func (d *Detect) Members(f func(Word, LinkState) bool) {
	all := make([]*member, 0, len(d.ring)+1)
	all = append(all, &member{Word: d.selfWord(), back: d.back})
	all = append(all, d.ring...)
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	for _, m := range all {
		if !f(m.told(d.now), m.link()) {
			return
		}
	}
}

// begin starts discovery, or ends a planned absence.
func (d *Detect) begin() {
	if d.begun {
		if d.self.State == Away {
			d.say(Alive, 0)
		}
		return
	}
	d.begun = true
	d.heardAt, d.sureAt = d.now, d.now
	first := d.chance(joinSpread / 3)
	for i := range d.seeds {
		d.seeds[i].at = d.now + first + time.Duration(i)*joinSpread/6
	}
	d.roundAt = d.now + d.chance(d.cfg.Every)
	d.exchangeAt = never
}

// announce raises this process's incarnation, sets its state, and sends it to some members at once.
func (d *Detect) say(s State, until time.Duration) {
	if d.self.State == Left || d.self.Inc == math.MaxUint32 {
		return
	}
	d.self.Inc++
	d.self.State = s
	d.back = d.now + min(max(0, until), d.cfg.AwayMost)
	d.notices(noticeMost)
}

// maxNotices is how many members receive an announcement directly. If half of the messages are lost, enough remain to spread
// it.
const noticeMost = 8

func (d *Detect) notices(most int) {
	for _, m := range d.some(most, nil) {
		d.send(m.Addr, Message{Kind: Answer, About: m.ID}, m)
	}
}

func (d *Detect) selfWord() Word {
	w := d.self
	if w.State == Away {
		w.Until = max(0, d.back-d.now)
	}
	return w
}

// runDue runs everything that is due.
func (d *Detect) due() {
	if d.self.State == Away && d.now >= d.back {
		d.say(Alive, 0)
	}
	for len(d.timed) > 0 && d.timed[0].due <= d.now {
		d.timeUp(d.timed[0])
	}
	if d.round.id.Name != "" && !d.round.answered && !d.round.helped && d.round.by <= d.now {
		d.askOthers()
	}
	if d.roundAt <= d.now {
		d.endRound()
		d.beginRound()
	}
	d.dueRelays()
	if len(d.doubts) > 0 && d.doubtAt <= d.now {
		d.check()
	}
	d.dueSeeds()
	if d.exchangeAt <= d.now {
		d.exchange()
	}
	d.watchCut()
}

func (d *Detect) earliest() time.Duration {
	if !d.begun || d.over {
		return never
	}
	at := min(d.roundAt, d.exchangeAt)
	if d.round.id.Name != "" && !d.round.answered && !d.round.helped {
		at = min(at, d.round.by)
	}
	if len(d.timed) > 0 {
		at = min(at, d.timed[0].due)
	}
	if len(d.doubts) > 0 {
		at = min(at, d.doubtAt)
	}
	for i := range d.relays {
		at = min(at, d.relays[i].by)
	}
	for i := range d.seeds {
		at = min(at, d.seeds[i].at)
	}
	if d.self.State == Away {
		at = min(at, d.back)
	}
	return at
}

// handlePause processes a pause of this process. What others did meanwhile is unknown, and missing acknowledgements are the
// fault of this process.
func (d *Detect) wasStopped(late time.Duration) {
	if late >= d.cfg.ForgetAfter/2 {
		d.beginAnew()
		return
	}
	d.worse(1)
	d.freshStart(late)
}

// resume drops pending probes, suspects no one for a while, and schedules an exchange first.
func (d *Detect) freshStart(late time.Duration) {
	d.calm = d.now + d.cfg.Calm
	d.round = round{}
	d.relays = d.relays[:0]
	d.roundAt = d.now + d.chance(d.cfg.Every/2)
	d.sureAt, d.heardAt, d.tries = d.now, d.now, 0
	for _, m := range d.probes {
		m.misses = 0
	}
	for _, m := range d.ring {
		if m.State == Suspect {
			m.since = min(m.since+late, d.now)
			m.last = 0
			m.due = d.lastFrom(m)
		}
	}
	heap.Init(&d.timed)
	if d.met {
		d.exchangeAt, d.with = d.now, ""
	}
}

// resetMembership forgets all members after a long pause. The state is so old that sending it would bring back processes that
// others have forgotten. Their addresses are probed as seeds.
func (d *Detect) beginAnew() {
	for _, i := range d.rng.Perm(len(d.ring)) {
		m := d.ring[i]
		if m.State.there() && len(d.seeds) < len(d.cfg.Seeds)+seedsKept {
			d.seeds = append(d.seeds, seed{addr: m.Addr})
		}
	}
	for len(d.ring) > 0 {
		m := d.ring[len(d.ring)-1]
		d.forget(m, "it was known only from before a pause that outlasted the validity of updates")
	}
	for i := range d.seeds {
		d.seeds[i].at, d.seeds[i].wait = d.now+deafFor+d.chance(joinSpread), retry
	}
	d.met, d.pulled = false, false
	d.exchangeAt = never
	d.freshStart(0)
	d.deaf = d.now + deafFor
}

// staleInputWindow is the time that the caller may need to read the messages waiting in its sockets.
const deafFor = time.Second

// maxFormerMembers is how many addresses of former members are probed beside the seeds after a pause longer than updates are
// valid.
const seedsKept = 16

// randomDuration returns a random duration in [0, most).
func (d *Detect) chance(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(d.rng.Int64N(int64(most)))
}

// jitter spreads a wait by a quarter to both sides.
func (d *Detect) about(wait time.Duration) time.Duration { return wait*3/4 + d.chance(wait/2) }

func (d *Detect) worse(by int)  { d.health = min(d.cfg.HealthMost, d.health+by) }
func (d *Detect) better()       { d.health = max(0, d.health-1) }
func (d *Detect) patience() int { return 1 + d.health }

// logMembers returns the decimal logarithm of the number of members, at least 1. Timeouts and retransmissions grow with it.
func (d *Detect) logs() float64 { return max(1, math.Log10(float64(d.there+2))) }
