package stories

// This file has a fleet that shares a tenant's limit: each member is a share.Use and a share.Ages as they are shipped. They tell each
// other each 100 ms over links that lose, delay and repeat.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"glencart/schema"
	"glencart/share"
)

const (
	useRound  = 100 * time.Millisecond
	useWindow = 10 * time.Second // over which "beyond the limit" is reckoned
	wallAt    = 1_800_000_000 * time.Second
)

type useFleet struct {
	rng     *rand.Rand
	list    []*useMember
	now     time.Duration
	limit   float64
	asks    float64 // of the limit
	toA     float64 // part of the clients that come to A; 0: all instances alike
	loss    float64
	post    map[time.Duration][]useWord
	let     []float64 // by round
	asked   []float64
	from    int // the round from which a story counts
	jumping *useMember
}

type useMember struct {
	use  *share.Use
	ages *share.Ages
	self share.Member
	off  time.Duration
	side int
	dead bool
	mute bool // it hears, and is not heard
	cut  bool // it was told so
}

type useWord struct {
	from, to *useMember
	records  []schema.Record
}

func (w *world) shareLimit(n int, limit float64) error {
	f := &useFleet{rng: rand.New(rand.NewPCG(w.seed, 1)), limit: limit, post: map[time.Duration][]useWord{}, loss: 0.01}
	for i := range n {
		self := share.Member{Name: letter(i), Start: uint64(i + 1)}
		m := &useMember{use: share.NewUse(share.UseConfig{Self: self}), ages: share.NewAges(self), self: self}
		m.use.SetLimit(f.at(m), "shop", share.Limit{Requests: limit})
		f.list = append(f.list, m)
	}
	w.use = f
	f.ask(0.5)
	f.run(20 * time.Second)
	f.from = len(f.let)
	return nil
}

// ask has clients ask for a part of the limit, and counts from here.
func (f *useFleet) ask(part float64) { f.asks, f.from = part, len(f.let) }

func (f *useFleet) at(m *useMember) share.Now {
	return share.Now{Own: f.now, Wall: wallAt + f.now + m.off}
}

func (f *useFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += useRound {
		f.step()
	}
}

// step is one round: what has arrived, a view, clients, words.
func (f *useFleet) step() {
	for _, l := range f.post[f.now] {
		if l.to.dead || l.from.side != l.to.side {
			continue
		}
		for _, r := range l.records {
			if share.IsBeat(r) {
				l.to.ages.Merge(f.at(l.to), r)
			} else {
				l.to.use.Merge(f.at(l.to), r)
			}
		}
	}
	delete(f.post, f.now)
	if f.jumping != nil && f.now%time.Second == 0 {
		f.jumping.off = time.Duration(f.rng.Int64N(int64(2*share.Skew))) - share.Skew
	}
	let, asked := 0.0, 0.0
	for i, m := range f.list {
		if m.dead {
			continue
		}
		now := f.at(m)
		v := share.View{Self: m.self, N: len(f.list), IsCutOff: m.cut}
		for _, o := range f.list {
			if o != m {
				v.Members = append(v.Members, m.ages.Seen(now, o.self))
			}
		}
		m.use.View(now, v)
		part := 1 / float64(len(f.list))
		if f.toA > 0 && i == 0 {
			part = f.toA
		} else if f.toA > 0 {
			part = (1 - f.toA) / float64(len(f.list)-1)
		}
		mean := f.asks * f.limit * part * useRound.Seconds()
		for range max(0, int(math.Round(mean+math.Sqrt(mean)*f.rng.NormFloat64()))) {
			asked++
			if ok, _ := m.use.Admit(share.Now{Own: now.Own + time.Duration(f.rng.Int64N(int64(useRound))), Wall: now.Wall}, "shop", ""); ok {
				let++
			}
		}
		f.tell(m)
	}
	f.let, f.asked = append(f.let, let), append(f.asked, asked)
}

func (f *useFleet) tell(m *useMember) {
	records := append(m.use.Own(f.at(m), nil), m.ages.Beat(f.at(m)))
	for _, o := range f.list {
		if o == m || o.dead || o.side != m.side || m.mute {
			continue
		}
		for range 1 + f.rng.IntN(20)/19 { // some come twice
			in := useRound
			if f.rng.IntN(50) == 0 {
				in = time.Duration(1+f.rng.IntN(10)) * useRound
			}
			if f.rng.Float64() >= f.loss {
				f.post[f.now+in] = append(f.post[f.now+in], useWord{m, o, records})
			}
		}
	}
}

// beyond is the most that was let in over any ten seconds since a story counts, as a part of the limit beyond it.
func (f *useFleet) beyond() (most float64) {
	k := int(useWindow / useRound)
	for end := f.from + k; end <= len(f.let); end++ {
		most = max(most, sum(f.let[end-k:end]))
	}
	return most/(f.limit*useWindow.Seconds()) - 1
}

func sum(of []float64) (s float64) {
	for _, x := range of {
		s += x
	}
	return s
}

func (f *useFleet) first(name string) (*useMember, error) {
	for _, m := range f.list {
		if m.self.Name == name {
			return m, nil
		}
	}
	return nil, fmt.Errorf("there is no %s in this story", name)
}

func (w *world) useSentences() []sentence {
	one := func(do func(*useMember)) func(string) error {
		return func(name string) error {
			m, err := w.use.first(name)
			if err == nil {
				do(m)
			}
			return err
		}
	}
	return []sentence{
		{`^a fleet of (\d+) that shares a limit of (\d+) requests a second$`, func(n, limit int) error { return w.shareLimit(n, float64(limit)) }},
		{`^clients ask for half the limit$`, func() error { w.use.ask(0.5); return nil }},
		{`^clients ask for (\d+) times the limit$`, func(n int) error { w.use.ask(float64(n)); return nil }},
		{`^half of the clients come to A$`, func() error { w.use.toA = 0.5; return nil }},
		{`^the fleet's halves are apart$`, func() error {
			for i, m := range w.use.list {
				m.side = i % 2
			}
			return nil
		}},
		{`^the fleet's halves are together again$`, func() error {
			for _, m := range w.use.list {
				m.side = 0
			}
			return nil
		}},
		{`^(\d+) % of the words about use are lost$`, func(n int) error { w.use.loss = float64(n) / 100; return nil }},
		{`^the clock of ([A-Z]) is (\d+) seconds (behind|ahead)$`, func(name string, n int, way string) error {
			return one(func(m *useMember) {
				if m.off = length(n, "seconds"); way == "behind" {
					m.off = -m.off
				}
			})(name)
		}},
		{`^the clock of ([A-Z]) jumps every second, by up to 5 seconds$`, one(func(m *useMember) { w.use.jumping = m })},
		{`^nobody hears the words of ([A-Z]), and it was told so$`, one(func(m *useMember) { m.mute, m.cut = true, true })},
		{`^instance ([A-Z]) ends without a word$`, one(func(m *useMember) { m.dead = true })},
		{`^it is counted from here on$`, func() error { w.use.from = len(w.use.let); return nil }},
		{`^at most (\d+) % beyond the limit was let in over any ten seconds$`, func(n int) error {
			if len(w.use.let) < w.use.from+int(useWindow/useRound) {
				return fmt.Errorf("ten seconds have not passed")
			}
			if got := 100 * w.use.beyond(); got > float64(n) {
				return fmt.Errorf("%.1f %%", got)
			}
			return nil
		}},
		{`^at least (\d+) % of the limit was let in$`, func(n int) error {
			let := w.use.let[w.use.from:]
			if got := 100 * sum(let) / (w.use.limit * useRound.Seconds() * float64(len(let))); got < float64(n) {
				return fmt.Errorf("%.1f %%", got)
			}
			return nil
		}},
		{`^at most (\d+) % of the requests were refused$`, func(n int) error {
			if got := 100 * (1 - sum(w.use.let[w.use.from:])/sum(w.use.asked[w.use.from:])); got > float64(n) {
				return fmt.Errorf("%.1f %%", got)
			}
			return nil
		}},
	}
}
