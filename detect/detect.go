package detect

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file has the view itself, its settings, and the order in which an event is worked.

const (
	// never is further away than anything that is due.
	never = time.Duration(math.MaxInt64)
	// joinSpread is within what time a process that begins asks its first seed and, once answered, the whole news of one: a few hundred
	// that begin together do not come in one instant.
	joinSpread = 300 * time.Millisecond
	// retry is the first wait after a question to a seed, to a dead one or for the whole news was not answered; it doubles.
	retry = time.Second
)

// Detect is one process's view of the fleet. New returns one. It is not safe for use by several goroutines.
type Detect struct {
	cfg  Config
	rng  *rand.Rand
	now  time.Duration
	next time.Duration
	out  []Action

	self    Word
	back    time.Duration // of self, while Away: when it is back by itself
	begun   bool
	over    bool // superseded
	met     bool // another one has answered
	pulled  bool // and told all that it knows
	calm    time.Duration
	deaf    time.Duration // until then what comes stood in a socket during a pause that was longer than words last
	health  int
	cut     bool
	heardAt time.Duration // the last message of anybody
	sureAt  time.Duration // the last message that shows that this process is heard
	tries   int           // questions since then

	members map[string]*member
	ring    []*member // all of them, in the order in which they are asked
	pos     int
	timed   timers // those that are not alive
	there   int    // of the members
	recent  int    // dead ones that count for Sized
	sized   int

	seq     uint32
	round   round
	roundAt time.Duration
	relays  []relay
	deadAt  time.Duration // no dead one is asked before
	doubts  []*member
	doubtAt time.Duration
	probes  []*member

	seeds      []seed
	exchangeAt time.Duration
	exchanged  time.Duration // the last one
	with       string        // whom to exchange with; "": anybody
	wait       time.Duration // until the next but one
	taught     int           // words that were news to this process

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

// New returns a view that knows nobody. It does nothing before Begin.
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

// Handle takes one event and appends the actions that answer it to out. Times are on any clock that does not go back. What is in an
// action is the caller's to keep; of an event nothing but strings is kept.
func (d *Detect) Handle(now time.Duration, ev Event, out []Action) []Action {
	if d.over || !d.begun && ev.Kind != Begin {
		return out
	}
	d.now, d.out = max(now, d.now), out
	if d.begun && d.cfg.LateTick > 0 && d.now-d.cfg.LateTick >= d.next { // next may be never
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

// Next is when Tick is due at the latest. A call of Handle that comes LateTick later than that shows that this process was stopped.
func (d *Detect) Next() time.Duration { return d.next }

// Self is this process's own word.
func (d *Detect) Self() Word { return d.selfWord() }

// Health is the score of this process's own health: 0 is well, Config.HealthMost is the worst.
func (d *Detect) Health() int { return d.health }

// Members calls f for each process that is not forgotten, this one included, by name, until f returns false.
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

// begin looks for others, or comes back from being away.
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

// say has this process say something new of itself, and tells some others at once.
func (d *Detect) say(s State, until time.Duration) {
	if d.self.State == Left || d.self.Inc == math.MaxUint32 {
		return
	}
	d.self.Inc++
	d.self.State = s
	d.back = d.now + min(max(0, until), d.cfg.AwayMost)
	d.notices(noticeMost)
}

// noticeMost is how many are told at once of what this process says of itself: a loss of half of them leaves enough to pass it on.
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

// due works all whose time has come.
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

// wasStopped works a pause: what others did in it is not known, and that they did not answer is this process's own doing.
func (d *Detect) wasStopped(late time.Duration) {
	if late >= d.cfg.ForgetAfter/2 {
		d.beginAnew()
		return
	}
	d.worse(1)
	d.freshStart(late)
}

// freshStart drops what is waited for, accuses nobody for a while, and asks for the news first.
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

// beginAnew forgets all that was known: it is so old that telling it would bring back who is long forgotten. Their addresses are asked.
func (d *Detect) beginAnew() {
	for _, i := range d.rng.Perm(len(d.ring)) {
		m := d.ring[i]
		if m.State.there() && len(d.seeds) < len(d.cfg.Seeds)+seedsKept {
			d.seeds = append(d.seeds, seed{addr: m.Addr})
		}
	}
	for len(d.ring) > 0 {
		m := d.ring[len(d.ring)-1]
		d.forget(m, "it was known before a pause that was longer than words last")
	}
	for i := range d.seeds {
		d.seeds[i].at, d.seeds[i].wait = d.now+deafFor+d.chance(joinSpread), retry
	}
	d.met, d.pulled = false, false
	d.exchangeAt = never
	d.freshStart(0)
	d.deaf = d.now + deafFor
}

// deafFor is how long the caller may need to read what stands in its sockets.
const deafFor = time.Second

// seedsKept is how many addresses are asked after a pause that was too long for words, beside the seeds.
const seedsKept = 16

// chance draws from [0, most).
func (d *Detect) chance(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(d.rng.Int64N(int64(most)))
}

// about spreads a wait by a quarter to both sides.
func (d *Detect) about(wait time.Duration) time.Duration { return wait*3/4 + d.chance(wait/2) }

func (d *Detect) worse(by int)  { d.health = min(d.cfg.HealthMost, d.health+by) }
func (d *Detect) better()       { d.health = max(0, d.health-1) }
func (d *Detect) patience() int { return 1 + d.health }

// logs is the decimal logarithm of the number of members, which waits and repeats grow with, and 1 at the least.
func (d *Detect) logs() float64 { return max(1, math.Log10(float64(d.there+2))) }
