package stories

// This file has instances that know what became of a client's order: each is a share.Sessions as it is shipped. They stand before boxes that
// keep a ledger, and tell each other over links with delay; everything is a timer of the bubble's clock.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"glencart/schema"
	"glencart/share"
)

type calls struct {
	mu     sync.Mutex // of all below: one thing happens at a time
	rng    *rand.Rand
	begun  time.Time
	list   []*keeper
	loss   float64
	ledger map[string]int    // how often the boxes ran an order
	got    map[string]string // the last answer that a client got, in words
	took   map[string]time.Duration
	last   string // the instance of the last attempt
	second string // the second owner of an order whose first one hands over
	over   bool
}

// keeper is an instance.
type keeper struct {
	name    string
	start   uint64
	table   *share.Sessions
	ring    *share.Ring
	waiting map[uint64]func()
	dead    bool
	side    int
	off     time.Duration
	slow    bool      // its boxes do not answer
	still   time.Time // it is stopped until then
}

func (w *world) keepers(n int) error {
	f := &calls{rng: rand.New(rand.NewPCG(w.seed, 1)), begun: time.Now(), ledger: map[string]int{}, got: map[string]string{}, took: map[string]time.Duration{}}
	w.calls = f
	for i := range n {
		f.list = append(f.list, &keeper{name: letter(i)})
	}
	f.do(func() {
		for _, k := range f.list {
			f.begin(k)
		}
		f.changed()
	})
	time.Sleep(2 * time.Minute) // all are sure: a mark lasts 70 s
	return nil
}

func (f *calls) do(what func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	what()
}

func (f *calls) end() { f.do(func() { f.over = true }); time.Sleep(5 * time.Second) }

func (f *calls) now(k *keeper) share.Now {
	own := time.Since(f.begun)
	return share.Now{Own: own, Wall: wallAt + own + k.off}
}

// on does something at this process of an instance after a while; never if the process is gone by then.
func (f *calls) on(k *keeper, d time.Duration, what func()) {
	start := k.start
	time.AfterFunc(d+time.Duration(f.rng.IntN(1000))*time.Microsecond, func() {
		f.do(func() {
			if f.over || k.dead || k.start != start {
				return
			}
			if d := time.Until(k.still); d > 0 {
				f.on(k, d, what)
				return
			}
			what()
		})
	})
}

// send is a message from one to another.
func (f *calls) send(from, to *keeper, what func()) {
	if from.side == to.side && f.rng.Float64() >= f.loss {
		f.on(to, time.Millisecond, func() {
			if from.side == to.side {
				what()
			}
		})
	}
}

func (f *calls) begin(k *keeper) {
	k.start++
	k.dead, k.waiting = false, map[uint64]func(){}
	k.table = share.NewSessions(share.SessionsConfig{Self: share.Member{Name: k.name, Start: k.start}})
	f.on(k, time.Second, func() { f.tick(k) })
}

// changed is what each instance's failure detector says from now on.
func (f *calls) changed() {
	for _, k := range f.list {
		if k.dead {
			continue
		}
		var m []share.Member
		for _, o := range f.list {
			if !o.dead && o.side == k.side {
				m = append(m, share.Member{Name: o.name, Start: o.start})
			}
		}
		k.ring = share.NewRing(m, share.Owners)
		for _, t := range k.table.SetRing(f.now(k), k.ring, 2*len(m) <= len(f.list), nil) {
			f.transfer(k, t)
		}
	}
}

// transfer hands a part over by stream.
func (f *calls) transfer(k *keeper, t share.Transfer) {
	to := f.get(t.To)
	f.on(k, 5*time.Millisecond, func() {
		if to.dead || to.side != k.side {
			return
		}
		for _, r := range k.table.AppendRecords(f.now(k), share.Range{Part: t.Part}, nil) {
			to.table.Merge(f.now(to), r)
		}
		if t.Sure {
			to.table.PartReceived(f.now(to), t.Part)
		}
	})
}

// leave hands over what an instance remembers before its planned end, and stops it for a while when the parts of an order's session are still
// to go.
func (f *calls) leave(k *keeper, order string, stopped time.Duration) {
	var m []share.Member
	for _, o := range f.list {
		if !o.dead && o != k {
			m = append(m, share.Member{Name: o.name, Start: o.start})
		}
	}
	last := share.PartOf(share.KeyOf("", []byte(order)))
	for _, t := range k.table.ShutdownTransfers(f.now(k), share.NewRing(m, share.Owners), nil) {
		if t.Part != last {
			f.transfer(k, t)
			continue
		}
		f.on(k, 20*time.Millisecond, func() { f.transfer(k, t) })
	}
	f.on(k, 15*time.Millisecond, func() { k.still = time.Now().Add(stopped) })
	f.on(k, time.Second, func() { k.dead = true; f.changed() })
}

// tick is each second: what is over, marks that are told again, one other to compare with.
func (f *calls) tick(k *keeper) {
	k.table.Tick(f.now(k))
	for _, m := range k.table.Unacked(f.now(k), nil) {
		f.tell(k, m, 0)
	}
	if o := f.list[f.rng.IntN(len(f.list))]; o != k && !o.dead && o.side == k.side {
		for _, p := range k.table.Shared(o.name, nil) {
			if r := (share.Range{Part: p}); o.ring != nil && o.ring.Owns(o.name, p) && k.table.Digest(r) != o.table.Digest(r) {
				for _, rec := range k.table.AppendRecords(f.now(k), r, nil) {
					o.table.Merge(f.now(o), rec)
				}
				for _, rec := range o.table.AppendRecords(f.now(o), r, nil) {
					k.table.Merge(f.now(k), rec)
				}
			}
		}
	}
	f.on(k, time.Second, func() { f.tick(k) })
}

// tell sends a mark to its owners and takes in what they reply; call 0: nobody waits for it.
func (f *calls) tell(k *keeper, m share.OutgoingRecord, call uint64) {
	if m.Record.Key == "" {
		return
	}
	key := share.Key([]byte(m.Record.Key))
	for _, name := range m.To {
		o := f.get(name)
		f.send(k, o, func() {
			o.table.Merge(f.now(o), m.Record)
			r, as := o.table.Reply(key)
			f.send(o, k, func() { f.replied(k, key, call, name, r, as) })
		})
	}
}

func (f *calls) replied(k *keeper, key share.Key, call uint64, from string, r schema.Record, as share.OwnerStatus) {
	if done, err := k.table.Replied(f.now(k), key, call, from, r, as); err == nil && done {
		f.decide(k, call)
	}
}

func (f *calls) decide(k *keeper, call uint64) {
	if do := k.waiting[call]; do != nil {
		delete(k.waiting, call)
		do()
	}
}

// owners of an order's session, as one that lives knows them.
func (f *calls) owners(order string) []string {
	for _, k := range f.list {
		if !k.dead {
			return k.ring.Owners(share.PartOf(share.KeyOf("", []byte(order))))
		}
	}
	return nil
}

func (f *calls) get(name string) *keeper {
	for _, k := range f.list {
		if k.name == name {
			return k
		}
	}
	return nil
}

// ask brings a client's request to an instance. What becomes of it is in got.
func (f *calls) ask(k *keeper, order string, effect share.Effect, repeat bool) {
	f.last, f.got[order] = k.name, "nothing yet"
	q := share.Query{Key: share.KeyOf("", []byte(order)), Call: share.CallOf([]byte(order)), Effect: effect, Repeat: repeat}
	at := time.Now()
	d := k.table.Lookup(f.now(k), q)
	if d.What != share.Ask {
		f.took[order] = 0
		f.proceed(k, order, q, d)
		return
	}
	var decided func()
	decided = func() {
		d := k.table.Decide(f.now(k), q.Key, q.Call)
		f.tell(k, d.Outgoing, q.Call)
		if d.What == share.Ask {
			k.waiting[q.Call] = decided
			f.on(k, d.Wait, func() { f.decide(k, q.Call) })
			return
		}
		f.took[order] = time.Since(at)
		f.proceed(k, order, q, d)
	}
	k.waiting[q.Call] = decided
	f.tell(k, d.Outgoing, q.Call)
	f.on(k, d.Wait, func() { f.decide(k, q.Call) })
}

// proceed does what was decided: a box runs the order 10 ms later, and answers 100 ms after that.
func (f *calls) proceed(k *keeper, order string, q share.Query, d share.Decision) {
	switch d.What {
	case share.Known:
		f.got[order] = "the answer: " + d.Answer
		return
	case share.Unsure:
		f.got[order] = "in words: " + d.Cause.String()
		return
	}
	f.on(k, 10*time.Millisecond, func() {
		f.ledger[order]++
		f.got[order] = "it runs"
		f.on(k, 100*time.Millisecond, func() {
			e := share.AttemptOutcome{Key: q.Key, Call: q.Call, Attempt: d.Attempt, State: share.Answered, Answer: "done " + order}
			if k.slow {
				e.State, e.Answer = share.MayHaveRun, ""
				f.got[order] = "in words: no answer came"
			} else {
				f.got[order] = "the answer: " + e.Answer
			}
			if d.NeedsEnd {
				f.tell(k, k.table.End(f.now(k), e), 0)
			}
		})
	})
}

// wait lets time pass until check holds.
func (f *calls) wait(d time.Duration, check func() error) error {
	return within(d, func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		return check()
	})
}

func (w *world) callSentences() []sentence {
	one := func(name string, do func(*keeper)) error {
		k := w.calls.get(name)
		if k == nil {
			return fmt.Errorf("there is no %s in this story", name)
		}
		w.calls.do(func() { do(k) })
		return nil
	}
	ask := func(effect share.Effect, repeat bool) func(order, name string) error {
		return func(order, name string) error {
			return one(name, func(k *keeper) { w.calls.ask(k, order, effect, repeat) })
		}
	}
	answered := func(order string) error {
		if want, got := "the answer: done "+order, w.calls.got[order]; got != want {
			return fmt.Errorf("the client has: %s", got)
		}
		return nil
	}
	return []sentence{
		{`^(\d+) instances that remember orders$`, w.keepers},
		{`^a client places order (\w+) at ([A-Z])$`, ask(share.Unsafe, false)},
		{`^the client repeats order (\w+) at ([A-Z])$`, ask(share.Unsafe, true)},
		{`^a client reads menu (\w+) at ([A-Z])$`, ask(share.Safe, false)},
		{`^a box begins order (\w+)$`, func(order string) error {
			return w.calls.wait(time.Second, func() error {
				if w.calls.ledger[order] == 0 {
					return fmt.Errorf("no box has it: the client has %s", w.calls.got[order])
				}
				return nil
			})
		}},
		{`^instance ([A-Z]) is killed$`, func(name string) error { return one(name, func(k *keeper) { k.dead = true }) }},
		{`^the owners of order (\w+) are killed, but one$`, func(order string) error {
			w.calls.do(func() {
				owners := w.calls.owners(order)
				w.calls.get(owners[0]).dead = true
			})
			return nil
		}},
		{`^the first owner of order (\w+) hands over what it remembers, and is stopped for (\d+) seconds in the middle of it$`, func(order string, n int) error {
			w.calls.do(func() {
				owners := w.calls.owners(order)
				w.calls.leave(w.calls.get(owners[0]), order, length(n, "seconds"))
				w.calls.second = owners[1]
			})
			return nil
		}},
		{`^the second one is killed too$`, func() error {
			w.calls.do(func() { w.calls.get(w.calls.second).dead = true; w.calls.changed() })
			return nil
		}},
		{`^instance ([A-Z]) is stopped for (\d+) seconds$`, func(name string, n int) error {
			return one(name, func(k *keeper) { k.still = time.Now().Add(length(n, "seconds")) })
		}},
		{`^both owners of order (\w+) are killed$`, func(order string) error {
			w.calls.do(func() {
				for _, name := range w.calls.owners(order) {
					w.calls.get(name).dead = true
				}
			})
			return nil
		}},
		{`^the client repeats order (\w+) at another instance$`, func(order string) error {
			f := w.calls
			f.mu.Lock()
			defer f.mu.Unlock()
			owners := f.owners(order)
			for _, k := range f.list { // one that knows nothing itself
				if !k.dead && k.name != f.last && !slices.Contains(owners, k.name) {
					f.ask(k, order, share.Unsafe, true)
					return nil
				}
			}
			return fmt.Errorf("all others own it")
		}},
		{`^instance ([A-Z]) is started again$`, func(name string) error { return one(name, w.calls.begin) }},
		{`^instance ([A-Z])'s clock is (\d+) seconds (behind|ahead)$`, func(name string, n int, way string) error {
			return one(name, func(k *keeper) {
				if k.off = length(n, "seconds"); way == "behind" {
					k.off = -k.off
				}
			})
		}},
		{`^the boxes of instance ([A-Z]) do not answer$`, func(name string) error { return one(name, func(k *keeper) { k.slow = true }) }},
		{`^instance ([A-Z]) is cut off$`, func(name string) error { return one(name, func(k *keeper) { k.side = 1 }) }},
		{`^all know who is there$`, func() error {
			w.calls.do(w.calls.changed)
			time.Sleep(time.Second)
			return nil
		}},
		{`^(\d+) % of the messages between instances are lost$`, func(n int) error {
			w.calls.do(func() { w.calls.loss = float64(n) / 100 })
			return nil
		}},
		{`^order (\w+) has run once$`, func(order string) error {
			return w.calls.wait(0, func() error {
				if n := w.calls.ledger[order]; n != 1 {
					return fmt.Errorf("it ran %d times", n)
				}
				return nil
			})
		}},
		{`^order (\w+) has run at most once$`, func(order string) error {
			return w.calls.wait(0, func() error {
				if n := w.calls.ledger[order]; n > 1 {
					return fmt.Errorf("it ran %d times", n)
				}
				return nil
			})
		}},
		{`^the client has the answer to order (\w+) within (\d+) seconds?$`, func(order string, n int) error {
			return w.calls.wait(length(n, "seconds"), func() error { return answered(order) })
		}},
		{`^the client is told in words why order (\w+) is not sent again$`, func(order string) error {
			return w.calls.wait(time.Second, func() error {
				if got := w.calls.got[order]; len(got) < 10 || got[:10] != "in words: " {
					return fmt.Errorf("the client has: %s", got)
				}
				return nil
			})
		}},
		{`^order (\w+) waited at most (\d+) milliseconds for the others$`, func(order string, n int) error {
			if took := w.calls.took[order]; took > time.Duration(n)*time.Millisecond {
				return fmt.Errorf("it waited %v", took)
			}
			return nil
		}},
		{`^menu (\w+) waited for nobody$`, func(menu string) error {
			if took, asked := w.calls.took[menu]; !asked || took != 0 {
				return fmt.Errorf("it waited %v", took)
			}
			return nil
		}},
	}
}
