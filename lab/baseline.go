package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Policy is what nodes run.
type Policy struct {
	Name string
	make func(w *world, i int, rng *rand.Rand) (node, error)
}

// retries is how a baseline tries again.
type retries uint8

const (
	fixedTries  retries = iota // three attempts, as most proxies come
	tokenBudget                // a repeat takes a token; ten first attempts earn one (Finagle, Envoy, gRFC A6)
)

// base is a node of the field: it picks a box for each attempt by a policy, tries again on another one what is safe or
// never ran, and has no limit of its own.
type base struct {
	w      *world
	i      int
	zone   int
	rng    *rand.Rand
	pick   picker
	again  retries
	tokens float64
	boxes  []*box // that may be sent to
	out    []int  // by box number
	open   map[*ask]struct{}
}

// picker is a policy's choice of a box. sent and ended tell it what became of a call.
type picker interface {
	pick(n *base) *box
	sent(n *base, b *box)
	ended(n *base, c *call, ok bool)
}

// nothing is a picker's part that keeps nothing.
type nothing struct{}

func (nothing) sent(*base, *box)         {}
func (nothing) ended(*base, *call, bool) {}

// Baselines are the policies of the field, each by its paper or documentation.
func Baselines() []Policy {
	of := func(name string, again retries, picks func(w *world, i int) picker) Policy {
		return Policy{name, func(w *world, i int, rng *rand.Rand) (node, error) {
			return &base{w: w, i: i, zone: i % w.s.Zones, rng: rng, pick: picks(w, i), again: again, tokens: 10,
				out: make([]int, len(w.boxes)), open: map[*ask]struct{}{}}, nil
		}}
	}
	return []Policy{
		of("round-robin", fixedTries, func(w *world, i int) picker { return &roundRobin{next: i} }),
		of("round-robin-budget", tokenBudget, func(w *world, i int) picker { return &roundRobin{next: i} }),
		of("weighted", fixedTries, func(w *world, i int) picker { return &weighted{have: make([]float64, len(w.boxes))} }),
		of("random", fixedTries, func(*world, int) picker { return random{} }),
		of("p2c", fixedTries, func(*world, int) picker { return p2c{} }),
		of("jsq", fixedTries, func(*world, int) picker { return jsq{} }),
		of("jsq-2", fixedTries, func(*world, int) picker { return jsqD{d: 2} }),
		of("jiq", fixedTries, newJIQ),
		of("lsq-sample-2", fixedTries, func(w *world, i int) picker { return &lsq{view: make([]float64, len(w.boxes)), d: 2} }),
		of("lsq-update-0.1", fixedTries, func(w *world, i int) picker { return newLSQUpdate(w, i, 0.1) }),
		of("least-request", fixedTries, func(*world, int) picker { return leastRequest{} }),
		of("peak-ewma", tokenBudget, func(w *world, i int) picker { return newEWMA(w) }),
		of("prequal", tokenBudget, func(w *world, i int) picker { return &prequal{} }),
		of("aperture", tokenBudget, func(w *world, i int) picker { return &aperture{size: 12} }),
	}
}

// Policies are glencart and the baselines.
func Policies() []Policy { return append([]Policy{Glencart(nil)}, Baselines()...) }

// Find finds policies by name, separated by commas; "all" for all.
func Find(names string) ([]Policy, error) {
	if names == "all" {
		return Policies(), nil
	}
	var out []Policy
	known := append(Policies(), OneSource(), RareCalls())
	for name := range strings.SplitSeq(names, ",") {
		i := slices.IndexFunc(known, func(p Policy) bool { return p.Name == strings.TrimSpace(name) })
		if i < 0 {
			var all []string
			for _, p := range known {
				all = append(all, p.Name)
			}
			return nil, fmt.Errorf("policy %q: none of all, %s", name, strings.Join(all, ", "))
		}
		out = append(out, known[i])
	}
	return out, nil
}

func (n *base) run()        {}
func (n *base) fired(int64) {}

func (n *base) list() {
	n.boxes = n.boxes[:0]
	for _, b := range n.w.boxes {
		if b.state == ready {
			n.boxes = append(n.boxes, b)
		}
	}
}

func (n *base) restart() {
	var lost []*ask
	for q := range n.open {
		lost = append(lost, q)
	}
	slices.SortFunc(lost, func(x, y *ask) int { return strings.Compare(x.id, y.id) })
	clear(n.open)
	clear(n.out)
	for _, q := range lost {
		n.drop(q)
		n.w.answered(q, failed, 0)
	}
}

func (n *base) drop(q *ask) {
	for _, c := range q.open {
		c.left = true
	}
}

func (n *base) arrive(q *ask) {
	n.open[q] = struct{}{}
	n.tokens = min(n.tokens+0.1, 20)
	n.w.after(q.until-n.w.now, evFunc, 0, func() { n.finish(q, failed) })
	n.attempt(q)
}

func (n *base) finish(q *ask, v verdict) {
	if _, ok := n.open[q]; !ok {
		return
	}
	delete(n.open, q)
	n.drop(q)
	n.w.answered(q, v, 0)
}

func (n *base) attempt(q *ask) {
	if len(n.boxes) == 0 {
		n.finish(q, refused)
		return
	}
	b := n.pick.pick(n)
	for range 3 { // another one than before, if chance gives one
		if !slices.ContainsFunc(q.open, func(c *call) bool { return c.box == b }) {
			break
		}
		b = n.pick.pick(n)
	}
	c := &call{from: n, q: q, box: b, deadline: q.until}
	q.open = append(q.open, c)
	n.out[b.n]++
	n.pick.sent(n, b)
	n.w.launch(c, n.zone)
}

func (n *base) told(c *call) {
	n.out[c.box.n] = max(n.out[c.box.n]-1, 0)
	n.pick.ended(n, c, c.end == endServed)
	q := c.q
	if _, ok := n.open[q]; !ok || c.left {
		return
	}
	if c.end == endServed {
		n.finish(q, served)
		return
	}
	safe := n.w.s.Classes[q.class].Effect == "safe"
	again := len(q.open) < 3 && (safe || q.runs == 0) && n.w.now < q.until
	if n.again == tokenBudget && again {
		if again = n.tokens >= 1; again {
			n.tokens--
		}
	}
	switch {
	case again:
		n.attempt(q)
	case safe || q.runs == 0:
		n.finish(q, refused)
	default:
		n.finish(q, failed)
	}
}

// held is the queue of a box for each of its cores' speed, as a load report tells it.
func held(b *box) float64 { return float64(b.busy+len(b.waiting)) * b.lie }

// two draws two different boxes.
func (n *base) two(list []*box) (a, b *box) {
	i := n.rng.IntN(len(list))
	if len(list) == 1 {
		return list[0], list[0]
	}
	j := n.rng.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	return list[i], list[j]
}

type roundRobin struct {
	nothing
	next int
}

func (p *roundRobin) pick(n *base) *box { p.next++; return n.boxes[p.next%len(n.boxes)] }

// weighted is nginx's smooth weighted round robin, by cores and speed.
type weighted struct {
	nothing
	have []float64
}

func (p *weighted) pick(n *base) *box {
	var best *box
	total := 0.0
	for _, b := range n.boxes {
		w := float64(b.Cores) * b.Speed
		p.have[b.n] += w
		total += w
		if best == nil || p.have[b.n] > p.have[best.n] {
			best = b
		}
	}
	p.have[best.n] -= total
	return best
}

type random struct{ nothing }

func (random) pick(n *base) *box { return n.boxes[n.rng.IntN(len(n.boxes))] }

// p2c takes the one of two with fewer own requests (Mitzenmacher 2001; nginx "random two least_conn").
type p2c struct{ nothing }

func (p2c) pick(n *base) *box {
	a, b := n.two(n.boxes)
	if n.out[b.n] < n.out[a.n] {
		return b
	}
	return a
}

// least takes the box of the smallest value, ties at random.
func (n *base) least(list []*box, value func(*box) float64) *box {
	var best *box
	least, ties := math.Inf(1), 0
	for _, b := range list {
		if v := value(b); v < least {
			best, least, ties = b, v, 1
		} else if v == least {
			if ties++; n.rng.IntN(ties) == 0 {
				best = b
			}
		}
	}
	return best
}

// jsq knows every queue at once: what no real node can.
type jsq struct{ nothing }

func (jsq) pick(n *base) *box { return n.least(n.boxes, held) }

// jsqD knows the queues of d boxes at once.
type jsqD struct {
	nothing
	d int
}

func (p jsqD) pick(n *base) *box {
	n.w.res.Probes += int64(p.d)
	best := random{}.pick(n)
	for range p.d - 1 {
		if o := (random{}).pick(n); held(o) < held(best) {
			best = o
		}
	}
	return best
}

// jiq sends to a box that told it is idle, else anywhere (Lu et al. 2011). A box tells one node, by chance.
type jiq struct {
	nothing
	idle []*box
}

func newJIQ(w *world, i int) picker {
	p := &jiq{}
	if i == 0 {
		w.finished = func(b *box) {
			if b.busy == 0 && len(b.waiting) == 0 {
				to := w.nodes[w.other.IntN(len(w.nodes))].(*base)
				w.res.Probes++
				w.after(w.way(), evFunc, 0, func() { to.pick.(*jiq).idle = append(to.pick.(*jiq).idle, b) })
			}
		}
	}
	return p
}

func (p *jiq) pick(n *base) *box {
	for len(p.idle) > 0 {
		b := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if b.state == ready {
			return b
		}
	}
	return random{}.pick(n)
}

// lsq is LSQ-Sample(d) and LSQ-Update(p) of the paper in real time: the smallest of the own view, which grows by each own
// send and is set right by d samples after each, or by what boxes tell.
type lsq struct {
	nothing
	view []float64
	d    int
}

func (p *lsq) pick(n *base) *box {
	return n.least(n.boxes, func(b *box) float64 { return p.view[b.n] })
}

func (p *lsq) sent(n *base, b *box) {
	p.view[b.n]++
	for range p.d {
		o := random{}.pick(n)
		n.w.res.Probes++
		if n.w.cut(n.zone, o.zone) {
			continue
		}
		n.w.after(2*n.w.way(), evFunc, 0, func() { p.view[o.n] = held(o) })
	}
}

func newLSQUpdate(w *world, i int, part float64) picker {
	p := &lsq{view: make([]float64, len(w.boxes))}
	if i == 0 {
		w.finished = func(b *box) {
			if b.busy+len(b.waiting) == 0 || w.other.Float64() < part {
				to := w.nodes[w.other.IntN(len(w.nodes))].(*base)
				w.res.Probes++
				w.after(w.way(), evFunc, 0, func() { to.pick.(*lsq).view[b.n] = held(b) })
			}
		}
	}
	return p
}

// leastRequest draws by weight over own requests (Envoy's least_request with active_request_bias 1).
type leastRequest struct{ nothing }

func (leastRequest) pick(n *base) *box {
	total := 0.0
	weight := func(b *box) float64 { return float64(b.Cores) * b.Speed / float64(n.out[b.n]+1) }
	for _, b := range n.boxes {
		total += weight(b)
	}
	x := n.rng.Float64() * total
	for _, b := range n.boxes {
		if x -= weight(b); x <= 0 {
			return b
		}
	}
	return n.boxes[len(n.boxes)-1]
}

// ewma is Finagle's peak EWMA under P2C: a moving mean that jumps to a peak and decays over 10 s, times own requests.
type ewma struct {
	mean []float64
	at   []time.Duration
}

func newEWMA(w *world) picker {
	return &ewma{make([]float64, len(w.boxes)), make([]time.Duration, len(w.boxes))}
}

func (p *ewma) cost(n *base, b *box) float64 {
	if p.mean[b.n] == 0 && n.out[b.n] > 0 {
		return 1e9 + float64(n.out[b.n]) // Finagle's penalty for what is not known yet
	}
	return p.mean[b.n] * float64(n.out[b.n]+1)
}

func (p *ewma) pick(n *base) *box {
	a, b := n.two(n.boxes)
	if p.cost(n, b) < p.cost(n, a) {
		return b
	}
	return a
}

func (p *ewma) sent(*base, *box) {}

func (p *ewma) ended(n *base, c *call, ok bool) {
	i, rtt := c.box.n, (n.w.now - c.sent).Seconds()
	if !ok {
		rtt = max(rtt, 1)
	}
	w := math.Exp(-(n.w.now - p.at[i]).Seconds() / 10)
	p.at[i] = n.w.now
	if rtt > p.mean[i] {
		p.mean[i] = rtt
	} else {
		p.mean[i] = p.mean[i]*w + rtt*(1-w)
	}
}

// prequal keeps a pool of 16 probes, three asked for with each request, each used twice at most and for a second; of those
// not hot (requests in flight below the 84th percentile) the one of the least latency, else the one with the fewest in
// flight (Wydrowski et al., NSDI 2024).
type prequal struct {
	nothing
	pool []probe
}

type probe struct {
	b    *box
	rif  float64
	lat  float64
	at   time.Duration
	used int
}

func (p *prequal) pick(n *base) *box {
	p.pool = slices.DeleteFunc(p.pool, func(x probe) bool { return n.w.now-x.at > time.Second || x.used >= 2 || x.b.state != ready })
	for range 3 {
		b := random{}.pick(n)
		n.w.res.Probes++
		if n.w.cut(n.zone, b.zone) {
			continue
		}
		n.w.after(2*n.w.way(), evFunc, 0, func() {
			if !b.up || b.hung {
				return
			}
			if len(p.pool) >= 16 {
				p.pool = p.pool[1:]
			}
			p.pool = append(p.pool, probe{b: b, rif: held(b), lat: (held(b)/float64(b.Cores) + 1) * b.slow / b.Speed, at: n.w.now})
		})
	}
	if len(p.pool) < 2 {
		return random{}.pick(n)
	}
	rifs := make([]float64, len(p.pool))
	for i := range p.pool {
		rifs[i] = p.pool[i].rif
	}
	slices.Sort(rifs)
	hot := rifs[len(rifs)*84/100]
	best := -1
	for i := range p.pool {
		x := &p.pool[i]
		if best < 0 {
			best = i
			continue
		}
		y := &p.pool[best]
		switch xh, yh := x.rif > hot, y.rif > hot; {
		case xh != yh:
			if yh {
				best = i
			}
		case xh && x.rif < y.rif, !xh && x.lat < y.lat:
			best = i
		}
	}
	p.pool[best].used++
	p.pool[best].rif++
	return p.pool[best].b
}

// aperture is P2C within a part of the boxes that differs from node to node (Finagle's deterministic aperture).
type aperture struct {
	p2c
	size int
}

func (p *aperture) pick(n *base) *box {
	if len(n.boxes) <= p.size {
		return p.p2c.pick(n)
	}
	start := n.i * len(n.boxes) / len(n.w.nodes)
	part := make([]*box, 0, p.size)
	for k := range p.size {
		part = append(part, n.boxes[(start+k)%len(n.boxes)])
	}
	a, b := n.two(part)
	if n.out[b.n] < n.out[a.n] {
		return b
	}
	return a
}
