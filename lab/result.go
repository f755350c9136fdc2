package lab

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// lateWorth is the part of a request's points that an answer after its aim still earns, overShare that of one beyond its tenant's
// share, as nodes are told.
const lateWorth, overShare = 0.3, 0.1

// Result is what a run came to. Marshalled, it is the same for the same scenario, policy and seed.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	Requests int64 `json:"requests"` // of clients, whatever they try
	Tries    int64 `json:"tries"`
	Attempts int64 `json:"attempts"` // at boxes
	Probes   int64 `json:"probes"`   // and messages of boxes
	Served   int64 `json:"served"`
	InAim    int64 `json:"in_aim"`
	Refused  int64 `json:"refused"` // at the end of all tries
	Failed   int64 `json:"failed"`

	// Rules: what broke them.
	Lost       int64 `json:"lost"`
	Late       int64 `json:"late"`
	Twice      int64 `json:"twice"`
	RefusedRan int64 `json:"refused_ran"`
	AfterDrain int64 `json:"after_drain"`
	Fell       int64 `json:"fell"` // cold boxes pushed over
	// Overcommitted counts those of Fell that were sent too many requests, by the mean work of the classes. The others fell because some
	// requests took far longer than the mean, which no node can see before.
	Overcommitted int64 `json:"overcommitted"`

	Worth  float64   `json:"worth"`  // of 1: what was offered
	Fair   float64   `json:"fair"`   // Jain's index of work done over the boxes' capacity
	P50    float64   `json:"p50_ms"` // of those served, over all tries
	P99    float64   `json:"p99_ms"`
	P999   float64   `json:"p999_ms"`
	Events int64     `json:"events"`
	Series []Second  `json:"series"`
	Marks  []Mark    `json:"marks"`
	Boxes  []BoxLine `json:"boxes"`

	Classes []Portion `json:"classes"` // what became of the requests of each
	Tenants []Portion `json:"tenants,omitempty"`

	s              *Scenario
	hist           *hdrhistogram.Histogram
	offered, worth float64
}

// Portion is what became of the requests of a class or a tenant.
type Portion struct {
	Name    string `json:"name"`
	Asked   int64  `json:"asked"`
	Served  int64  `json:"served"`
	InAim   int64  `json:"in_aim"`
	Refused int64  `json:"refused"`
	Failed  int64  `json:"failed"`
}

// Part is the part that was served within its aim.
func (p *Portion) Part() float64 { return float64(p.InAim) / math.Max(float64(p.Asked), 1) }

// Second is one second of a run.
type Second struct {
	Asked    int64 `json:"asked"`
	Tries    int64 `json:"tries"`
	Attempts int64 `json:"attempts"`
	InAim    int64 `json:"in_aim"`
	Served   int64 `json:"served"`
	Refused  int64 `json:"refused"`
	Failed   int64 `json:"failed"`
}

// Mark is an event of the scenario.
type Mark struct {
	At   float64 `json:"at_s"`
	What string  `json:"what"`
}

// BoxLine is one box at the end.
type BoxLine struct {
	ID     string  `json:"id"`
	Served int64   `json:"served"`
	Worked float64 `json:"worked_s"`
}

func newResult(s *Scenario, policy string, seed uint64) *Result {
	r := &Result{Scenario: s.Name, Policy: policy, Seed: seed, s: s, Marks: []Mark{},
		hist: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	for _, c := range s.Classes {
		r.Classes = append(r.Classes, Portion{Name: c.Name})
	}
	for _, k := range s.Tenants {
		r.Tenants = append(r.Tenants, Portion{Name: k.Name})
	}
	return r
}

// portions are those of a request.
func (r *Result) portions(class, tenant int) []*Portion {
	if tenant < 0 {
		return []*Portion{&r.Classes[class]}
	}
	return []*Portion{&r.Classes[class], &r.Tenants[tenant]}
}

func (r *Result) second(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(r.Series) <= i {
		r.Series = append(r.Series, Second{})
	}
	return &r.Series[i]
}

func (r *Result) asked(at time.Duration, class, tenant int) {
	r.Requests++
	for _, p := range r.portions(class, tenant) {
		p.Asked++
	}
	r.offered += r.s.Classes[class].Points
	r.second(at).Asked++
}

func (r *Result) tried(at time.Duration, _ int) { r.Tries++; r.second(at).Tries++ }

func (r *Result) attempted(at time.Duration) { r.Attempts++; r.second(at).Attempts++ }

// ended counts the end of a try; last tells that it is the request's.
func (r *Result) ended(at time.Duration, q *ask, v verdict, took time.Duration, last bool) {
	if !last {
		return
	}
	k := &r.s.Classes[q.class]
	s := r.second(at)
	for _, p := range r.portions(q.class, q.tenant) {
		switch {
		case v == served:
			p.Served++
			if took <= time.Duration(k.Aim) {
				p.InAim++
			}
		case v == refused:
			p.Refused++
		default:
			p.Failed++
		}
	}
	switch v {
	case served:
		r.Served++
		s.Served++
		r.hist.RecordValue(int64(took / time.Microsecond))
		if took <= time.Duration(k.Aim) {
			r.InAim++
			s.InAim++
			r.worth += k.Points
		} else {
			r.worth += k.Points * lateWorth
		}
	case refused:
		r.Refused++
		s.Refused++
	default:
		r.Failed++
		s.Failed++
	}
}

func (r *Result) close(w *world) {
	r.Events = w.count
	r.Lost += int64(w.left)
	r.Worth = r.worth / math.Max(r.offered, 1e-9)
	ms := func(q float64) float64 { return float64(r.hist.ValueAtQuantile(q)) / 1000 }
	r.P50, r.P99, r.P999 = ms(50), ms(99), ms(99.9)
	var sum, squares, n float64
	for _, b := range w.boxes {
		if b.Out {
			continue
		}
		x := b.worked / (float64(b.Cores) * b.Speed)
		sum, squares, n = sum+x, squares+x*x, n+1
	}
	if squares > 0 {
		r.Fair = sum * sum / (n * squares)
	}
	for _, b := range w.boxes {
		r.Boxes = append(r.Boxes, BoxLine{b.id, b.served, math.Round(b.worked*1e6) / 1e6})
	}
	if len(r.Boxes) > 200 { // a report has room for the extremes
		slices.SortStableFunc(r.Boxes, func(a, b BoxLine) int { return int(b.Served - a.Served) })
		r.Boxes = append(r.Boxes[:100:100], r.Boxes[len(r.Boxes)-100:]...)
	}
}

// Broken tells whether a rule was broken.
func (r *Result) Broken() bool {
	return r.Lost+r.Late+r.Twice+r.RefusedRan+r.AfterDrain+r.Fell > 0
}
