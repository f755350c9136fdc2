package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig returns a Config with one class of each effect and scope.
func testConfig() Config {
	class := func(e Effect, sc Scope) Class {
		return Class{Aim: 300 * ms, Deadline: 1200 * ms, Effect: e, Scope: sc, Window: 500 * ms, Points: 1}
	}
	return Config{
		Instances: 2,
		Classes: []Class{class(Safe, ScopeAll), class(Unsafe, ScopeAll), class(Keyed, ScopeAll),
			class(Keyed, ScopeZone), class(Keyed, ScopeCell)},
		Tenants: []Tenant{{QuotaPerSecond: 100, Share: 1}},
		Limits: Limits{Cancelling: true, Probing: true, SecondCopies: true, MaxAttempts: 3, RetryAfter: true,
			MaxRetryAfter: time.Second, ConnectTimeout: 100 * ms, StreamsPerConn: 1},
		Prices:  Prices{Probe: 0.01, CrossZone: 0.01},
		Reports: ProbeReports,
		Rules: Rules{GraceToAnswer: 8 * ms, DrainGrace: time.Second, AskEvery: 10 * time.Second, ColdShare: 0.2,
			WarmWithin: 10 * time.Second, FallMultiple: 3, OverloadFor: 1500 * ms},
		Tick: 2 * ms,
	}
}

const (
	safe = iota
	unsafe
	keyedAll
	keyedZone
	keyedCell
)

// rig drives a Balancer and stores its last actions.
type rig struct {
	t    testing.TB
	b    *Balancer
	now  time.Duration
	last []Action
	logs []string
}

func newRig(t testing.TB, cfg Config, members ...Member) *rig {
	t.Helper()
	b, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: time.Hour}
	r.do(Event{Kind: MembersCached, Members: members})
	return r
}

func (r *rig) do(ev Event) []Action {
	r.last = r.b.Handle(r.now, ev, nil)
	return r.last
}

func (r *rig) wait(d time.Duration) { r.now += d }

// arrive passes a request to the Balancer. If it is held for its probes, the hold ends without a result of them.
func (r *rig) arrive(id string, class int) []Action {
	acts := r.do(Event{Kind: RequestArrived, Request: id, Class: class, Budget: time.Second})
	if len(r.b.held) > 0 {
		r.last = append(acts, r.do(Event{Kind: Timer, TimerID: r.b.lastMark})...)
	}
	return r.last
}

func (r *rig) outcome(id string, attempt int, backend BackendID, st Status) []Action {
	return r.do(Event{Kind: Outcome, Request: id, Attempt: attempt, Backend: backend, Status: st,
		Elapsed: 20 * ms, RequestEnded: st == Delivered})
}

func ofKind(kind ActionKind, acts []Action) []Action {
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

// sentTo returns the backend of the only Send.
func (r *rig) sentTo() BackendID {
	r.t.Helper()
	s := ofKind(Send, r.last)
	if len(s) != 1 {
		r.t.Fatalf("%d sends, want 1: %+v", len(s), r.last)
	}
	return s[0].Backend
}

func member(id BackendID, zone, cell int) Member {
	return Member{Backend: id, Zone: zone, Cell: cell, Weight: 1}
}

// A retry must not execute a request twice: it depends on the effect of the class, on whether the first attempt may have
// run, and for keyed classes on the window and the group of backends.
func TestRetriesByEffect(t *testing.T) {
	members := []Member{member(1, 0, 0), member(2, 0, 1), member(3, 1, 2), member(4, 1, 2)}
	zoneOf := map[BackendID]int{1: 0, 2: 0, 3: 1, 4: 1}
	cellOf := map[BackendID]int{1: 0, 2: 1, 3: 2, 4: 2}
	for _, c := range []struct {
		name   string
		class  int
		status Status
		after  time.Duration
		resend bool
		final  ActionKind // when nothing is sent
	}{
		{"safe after a reset", safe, Dropped, 0, true, 0},
		{"safe after an error", safe, AppError, 0, true, 0},
		{"unsafe after a reset", unsafe, Dropped, 0, false, Fail},
		{"unsafe after an error", unsafe, AppError, 0, false, Fail},
		{"unsafe after a time-out", unsafe, Expired, 0, false, Fail},
		{"unsafe after a cancel", unsafe, Cancelled, 0, false, Fail},
		{"unsafe, shed", unsafe, Shed, 0, true, 0},
		{"unsafe without a connection", unsafe, DialFailed, 0, true, 0},
		{"keyed by all in its window", keyedAll, Dropped, 0, true, 0},
		{"keyed by all past its window", keyedAll, Dropped, 600 * ms, false, Fail},
		{"keyed by all, shed past its window", keyedAll, Shed, 600 * ms, true, 0},
		{"keyed by zone in its window", keyedZone, Dropped, 0, true, 0},
		{"keyed by zone past its window", keyedZone, Dropped, 600 * ms, false, Fail},
		{"keyed by cell past its window", keyedCell, Dropped, 600 * ms, false, Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig(), members...)
			for i := range 40 { // fill the retry budget
				id := fmt.Sprint("warm", i)
				r.arrive(id, safe)
				r.outcome(id, 0, r.sentTo(), Delivered)
				r.wait(5 * ms)
			}
			r.arrive("x", c.class)
			first := r.sentTo()
			r.wait(c.after + ms)
			acts := r.outcome("x", 0, first, c.status)
			if !c.resend {
				if len(ofKind(Send, acts)) != 0 || len(ofKind(c.final, acts)) != 1 {
					t.Fatalf("got %+v", acts)
				}
				return
			}
			again := r.sentTo()
			if again == first {
				t.Error("the retry went to the backend that had failed")
			}
			if c.class == keyedZone && zoneOf[again] != zoneOf[first] {
				t.Error("the retry left the zone that drops repeats")
			}
			if c.class == keyedCell && cellOf[again] != cellOf[first] {
				t.Error("the retry left the cell that drops repeats")
			}
		})
	}
}

// Without another backend in the cell the request has to fail. Rejecting it would invite a repeat that may run twice.
func TestKeyedByCellFailsOnceItMayHaveRun(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 1))
	r.arrive("x", keyedCell)
	acts := r.outcome("x", 0, r.sentTo(), Dropped)
	if len(ofKind(Fail, acts)) != 1 || len(ofKind(Reject, acts)) != 0 || len(ofKind(Send, acts)) != 0 {
		t.Fatalf("got %+v", acts)
	}
}

// Every request needs exactly one final answer at its deadline, and later outcomes and timers must not cause another.
func TestDeadlineEndsEveryRequest(t *testing.T) {
	for class, want := range map[int]ActionKind{safe: Reject, unsafe: Fail, keyedZone: Fail} {
		r := newRig(t, testConfig(), member(1, 0, 0))
		var mark uint64
		for _, a := range ofKind(SetTimer, r.arrive("x", class)) {
			if a.In == time.Second {
				mark = a.TimerID
			}
		}
		to := r.sentTo()
		r.wait(time.Second)
		acts := r.do(Event{Kind: Timer, TimerID: mark})
		if len(ofKind(want, acts)) != 1 {
			t.Errorf("class %d at its deadline: %+v", class, acts)
		}
		if acts = r.outcome("x", 0, to, Dropped); len(acts) != 0 {
			t.Errorf("class %d after its final answer: %+v", class, acts)
		}
		if acts = r.do(Event{Kind: Timer, TimerID: mark}); len(acts) != 0 {
			t.Errorf("a timer that fired twice: %+v", acts)
		}
	}
}

// A time-out of the attempt at the deadline must lead to the final answer, not to a retry.
func TestTimeoutAtDeadlineGetsFinalAnswer(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.arrive("x", unsafe)
	to := r.sentTo()
	r.wait(time.Second)
	if acts := r.outcome("x", 0, to, Expired); len(ofKind(Fail, acts)) != 1 || len(ofKind(Send, acts)) != 0 {
		t.Fatalf("got %+v", acts)
	}
}

// Without a ready backend a request must be rejected at once, not at its deadline.
func TestRequestIsRejectedWithoutReadyBackend(t *testing.T) {
	r := newRig(t, testConfig())
	for class := range testConfig().Classes {
		if acts := r.arrive(fmt.Sprint(class), class); len(ofKind(Reject, acts)) != 1 {
			t.Errorf("class %d: %+v", class, acts)
		}
	}
}

// A backend that is draining, gone, or missing in a full list must get no new request.
func TestDrainingBackendGetsNoNewRequest(t *testing.T) {
	for _, phase := range []Phase{Draining, Gone} {
		r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
		drained := member(1, 0, 0)
		drained.Phase = phase
		r.do(Event{Kind: MembersChanged, Members: []Member{drained}})
		for i := range 20 {
			r.arrive(fmt.Sprint(i), safe)
			for _, a := range r.last {
				if a.Kind == Send && a.Backend == 1 {
					t.Fatalf("phase %d: sent to it", phase)
				}
			}
		}
		r.do(Event{Kind: MembersAll, Members: []Member{member(3, 0, 0)}})
		r.wait(10 * time.Second)
		r.arrive("last", safe)
		if to := r.sentTo(); to != 3 {
			t.Fatalf("sent to %d, which is not in the full list", to)
		}
	}
}

// A started stream may last past the deadline: the client already has a part of it, so no final answer may follow.
func TestStreamHasNoDeadlineOnceStarted(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[safe].Stream = true
	r := newRig(t, cfg, member(1, 0, 0), member(2, 0, 0))
	timers := ofKind(SetTimer, r.arrive("x", safe))
	to := r.sentTo()
	r.do(Event{Kind: StreamStarted, Request: "x", Backend: to})
	r.wait(time.Second)
	for _, a := range timers {
		if acts := r.do(Event{Kind: Timer, TimerID: a.TimerID}); len(acts) != 0 {
			t.Fatalf("got %+v", acts)
		}
	}
	acts := r.do(Event{Kind: Outcome, Request: "x", Backend: to, Status: Dropped, RequestEnded: true})
	if len(acts) != 0 {
		t.Fatalf("a final answer after a broken stream: %+v", acts)
	}
}

// Late or wrong events must not cause a send, a second final answer or a panic.
func TestUnknownNamesAreIgnored(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.arrive("x", safe)
	for _, ev := range []Event{
		{Kind: Outcome, Request: "nobody"},
		{Kind: Outcome, Request: "x", Attempt: 5},
		{Kind: Outcome, Request: "x", Attempt: -1},
		{Kind: ClientGone, Request: "nobody"},
		{Kind: StreamStarted, Request: "nobody"},
		{Kind: Timer, TimerID: 999},
		{Kind: Probed, Backend: 77, Load: Load{Has: HasActive, Active: 3}},
		{Kind: RequestArrived, Request: "y", Class: 99},
		{Kind: RequestArrived, Request: "y", Class: -1},
		{Kind: RequestArrived, Request: "x", Class: safe},
		{Kind: PeerMessage, Peer: 1, Payload: []byte{1, 2}},
	} {
		if acts := ofKind(Send, r.do(ev)); len(acts) != 0 {
			t.Errorf("%+v: %+v", ev, acts)
		}
	}
	if r.do(Event{Kind: ClientGone, Request: "x"}); len(r.last) != 0 {
		t.Errorf("a final answer after the client has gone: %+v", r.last)
	}
}

// Invalid settings must be rejected, while an empty Config is valid.
func TestNewRejectsNegativeCounts(t *testing.T) {
	for _, cfg := range []Config{{Instances: -1}, {Index: -1}, {Limits: Limits{MaxAttempts: -1}},
		{Classes: []Class{{Deadline: -1}}}} {
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("accepted %+v", cfg)
		}
	}
	if _, err := New(Config{}, 1); err != nil {
		t.Errorf("an empty Config: %v", err)
	}
}

// world plays random events, also in unusual orders, and checks the rules at every action.
type world struct {
	*rig
	rng      *rand.Rand
	cfg      Config
	list     map[BackendID]Member
	requests map[string]*requestState
	inFlight []attemptState
	timers   []Action
	due      []time.Duration
	all      []Action
}

type requestState struct {
	class    *Class
	deadline time.Duration
	tries    []attemptState
	done     bool
}

type attemptState struct {
	id      string
	attempt int
	to      Member
	at      time.Duration
	mayRun  bool
	pending bool
}

func (w *world) step(ev Event) {
	w.do(ev)
	for _, a := range w.last {
		w.all = append(w.all, a)
		w.check(a)
	}
}

func (w *world) check(a Action) {
	t := w.t
	t.Helper()
	r := w.requests[a.Request]
	switch a.Kind {
	case SetTimer:
		w.timers, w.due = append(w.timers, a), append(w.due, w.now+a.In)
	case Send:
		m, known := w.list[a.Backend]
		if !known || m.Phase != Ready {
			t.Fatalf("sent to %d, which is not ready", a.Backend)
		}
		if r == nil || r.done {
			t.Fatal("sent for a request that has ended")
		}
		if a.Attempt != len(r.tries) || a.Attempt >= w.cfg.Limits.MaxAttempts {
			t.Fatalf("attempt %d after %d", a.Attempt, len(r.tries))
		}
		for _, s := range r.tries {
			if s.pending && !w.cfg.Limits.SecondCopies {
				t.Fatal("two attempts at once")
			}
			if !s.mayRun || r.class.Effect == Safe {
				continue
			}
			if r.class.Effect == Unsafe {
				t.Fatal("an unsafe request that may have run was sent again")
			}
			if w.now-s.at >= r.class.Window || r.class.Scope == ScopeZone && m.Zone != s.to.Zone ||
				r.class.Scope == ScopeCell && m.Cell != s.to.Cell {
				t.Fatal("a keyed request was sent outside its window or group")
			}
		}
		s := attemptState{a.Request, a.Attempt, m, w.now, true, true}
		r.tries, w.inFlight = append(r.tries, s), append(w.inFlight, s)
	case Reject, Fail:
		if r == nil || r.done {
			t.Fatal("two final answers")
		}
		r.done = true
		for _, s := range r.tries {
			if a.Kind == Reject && s.mayRun && r.class.Effect != Safe &&
				(r.class.Effect == Unsafe || r.class.Scope != ScopeAll) {
				t.Fatal("rejected although it may have run")
			}
		}
	}
}

func (w *world) fireTimers() {
	for i := 0; i < len(w.timers); i++ {
		if w.due[i] <= w.now {
			a := w.timers[i]
			w.timers = append(w.timers[:i:i], w.timers[i+1:]...)
			w.due = append(w.due[:i:i], w.due[i+1:]...)
			w.step(Event{Kind: Timer, TimerID: a.TimerID})
			i = -1
		}
	}
}

// finish passes the outcome of a random pending attempt to the Balancer.
func (w *world) finish() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.rng.IntN(len(w.inFlight))
	s := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
	st := Status(w.rng.IntN(int(Unused) + 1))
	if w.rng.IntN(4) > 0 {
		st = Delivered
	}
	r := w.requests[s.id]
	r.tries[s.attempt].pending, r.tries[s.attempt].mayRun = false, !st.NeverRan()
	if st == Delivered {
		r.done = true
	}
	w.step(Event{Kind: Outcome, Request: s.id, Attempt: s.attempt, Backend: s.to.Backend, Status: st,
		Elapsed: w.now - s.at, RequestEnded: r.done, Load: w.load()})
}

func (w *world) load() Load {
	return Load{Has: LoadField(w.rng.IntN(64)), Active: w.rng.Float64() * 2, Waiting: w.rng.Float64()}
}

func (w *world) change() {
	m := member(BackendID(1+w.rng.IntN(8)), w.rng.IntN(2), w.rng.IntN(3))
	if old, ok := w.list[m.Backend]; ok {
		m.Zone, m.Cell, m.Launched = old.Zone, old.Cell, old.Launched
	}
	m.Phase = Phase(max(0, w.rng.IntN(6)-3))
	if w.rng.IntN(3) == 0 {
		m.Launched = w.now
	}
	kind := []EventKind{MembersChanged, MembersChanged, MembersAll, DiscoveryFailed}[w.rng.IntN(4)]
	switch kind {
	case DiscoveryFailed:
		w.step(Event{Kind: kind})
		return
	case MembersAll: // all but one, which counts as removed
		delete(w.list, BackendID(1+w.rng.IntN(8)))
	}
	w.list[m.Backend] = m
	members := []Member{m}
	for id := range BackendID(9) {
		if old, ok := w.list[id]; ok && kind == MembersAll && id != m.Backend {
			members = append(members, old)
		}
	}
	w.step(Event{Kind: kind, Members: members})
}

func play(t testing.TB, seed uint64, cfg Config, steps int) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	var members []Member
	for id := range BackendID(6) {
		members = append(members, member(id+1, int(id)%2, int(id)%3))
	}
	w := &world{rig: newRig(t, cfg, members...), rng: rng, cfg: cfg, list: map[BackendID]Member{},
		requests: map[string]*requestState{}}
	for _, m := range members {
		w.list[m.Backend] = m
	}
	for i := range steps {
		w.wait(time.Duration(rng.IntN(8)) * ms)
		w.fireTimers()
		switch k := rng.IntN(20); {
		case k < 7:
			id := fmt.Sprint("r", i)
			class := rng.IntN(len(cfg.Classes))
			budget := time.Duration(50+rng.IntN(1000)) * ms
			w.requests[id] = &requestState{class: &cfg.Classes[class], deadline: w.now + budget}
			w.step(Event{Kind: RequestArrived, Request: id, Class: class, Budget: budget,
				Tenant: rng.IntN(3) - 1, Hint: time.Duration(rng.IntN(50)) * ms, Key: rng.Uint64N(9), HasKey: true})
		case k < 17:
			w.finish()
		case k == 17:
			w.step(Event{Kind: Probed, Backend: BackendID(rng.IntN(9)), Status: Status(rng.IntN(8)), Load: w.load()})
		case k == 18 && rng.IntN(4) == 0:
			w.change()
		case k == 19 && rng.IntN(10) == 0:
			if len(w.inFlight) == 0 {
				continue
			}
			id := w.inFlight[rng.IntN(len(w.inFlight))].id
			w.requests[id].done = true
			w.step(Event{Kind: ClientGone, Request: id})
		}
		for id, r := range w.requests {
			if !r.done && w.now > r.deadline+cfg.Rules.GraceToAnswer {
				t.Fatalf("seed %d: %s has no final answer", seed, id)
			}
		}
	}
	return w.all
}

func configs() []Config {
	var out []Config
	for i := range 8 {
		cfg := testConfig()
		cfg.AskDiscovery = i&1 != 0
		cfg.Limits.SecondCopies = i&2 == 0
		cfg.Limits.Probing = i&4 == 0
		cfg.WarmKeys = i&4 != 0
		cfg.WorthByWork = i&1 != 0
		cfg.Reports = ReportSource(i % 3)
		out = append(out, cfg)
	}
	return out
}

// The rules on attempts, repeats and final answers must hold in any order of events, under all permissions.
func TestRulesHoldForRandomEvents(t *testing.T) {
	for i, cfg := range configs() {
		for seed := range uint64(6) {
			if acts := play(t, seed*8+uint64(i), cfg, 2000); len(ofKind(Send, acts)) < 20 {
				t.Errorf("config %d: only %d sends", i, len(ofKind(Send, acts)))
			}
		}
	}
}

// The simulator repeats runs: the same events and seed must give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	for i, cfg := range configs() {
		if !reflect.DeepEqual(play(t, uint64(i), cfg, 2000), play(t, uint64(i), cfg, 2000)) {
			t.Errorf("config %d: two runs differ", i)
		}
	}
}
