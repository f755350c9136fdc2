package reuse

import (
	"fmt"
	"testing"
	"time"
)

// This file explores all short orders of answers on one connection, and holds two rules at once against each: no sound answer is ended,
// and no answer reaches another request.

// answerKind is what the answer to a request looks like.
type answerKind int

const (
	shortNamed answerKind = iota
	shortUnnamed
	longNamed
	longUnnamed
	numberOfAnswerKinds
)

func (k answerKind) isNamed() bool { return k == shortNamed || k == longNamed }
func (k answerKind) isLong() bool  { return k == longNamed || k == longUnnamed }

// orderStep is one request of an order.
type orderStep struct {
	kind  answerKind
	pause time.Duration // between the answer before and this request, at least
	work  time.Duration // between the request and its answer
	late  time.Duration // how long behind it its repeat comes; 0: it has none
	other bool          // what comes is no repeat, but a short answer that names nobody
}

// String describes the step.
func (s orderStep) String() string {
	kind := [numberOfAnswerKinds]string{"short named", "short unnamed", "long named", "long unnamed"}[s.kind]
	return fmt.Sprintf("%s after %v+%v, surplus %v later (other %t)", kind, s.pause, s.work, s.late, s.other)
}

// orderAnswer is an answer on its way.
type orderAnswer struct {
	of   int // request, or ofNobody
	kind answerKind
	at   time.Duration
}

// ofNobody is the request of an answer that was made for none.
const ofNobody = -1

// orderRun plays an order on one connection. A request whose connection must still be quiet waits, and one that may not use it at all gets
// a new one.
type orderRun struct {
	policy  *Policy[string]
	conn    *Conn
	now     time.Duration
	pending []orderAnswer // on the current connection, by time
	mistake mistake
	// hasSurplus is set if surplus was noticed in the current exchange.
	hasSurplus bool

	foreign, ended []int // requests
	dials          int
}

// orderBudget is the time of each request.
const orderBudget = 600 * ms

func newOrderRun(namesRequests bool, work time.Duration) *orderRun {
	r := &orderRun{policy: New[string](), conn: &Conn{}, now: 10 * time.Second}
	b := r.policy.backend(r.now, "b")
	b.trustedFrom = time.Second
	for range minAnswerTimes {
		b.times.add(r.now, work)
	}
	if namesRequests {
		b.namedInRow = minNamedInRow
	}
	return r
}

// play plays one step after another.
func (r *orderRun) play(steps []orderStep) {
	for i, step := range steps {
		r.idle(r.now + step.pause)
		r.request(i, step)
	}
}

// idle lets time pass without a request. A repeat that comes meanwhile closes the connection.
func (r *orderRun) idle(until time.Duration) {
	if len(r.pending) > 0 && r.pending[0].at <= until {
		r.policy.Report(r.pending[0].at, "b", r.conn, BytesWhileIdle)
		r.dial()
	}
	r.now = until
}

func (r *orderRun) dial() {
	r.conn, r.pending, r.hasSurplus = &Conn{}, nil, false
	r.dials++
}

// request sends one request and receives until it has an answer or none will come.
func (r *orderRun) request(i int, step orderStep) {
	deadline := r.now + orderBudget
	choice := r.policy.ChooseWithDeadline(r.now, deadline, "b", []*Conn{r.conn})
	if choice.Index < 0 || choice.Wait > QuietTime { // a new connection is up sooner
		r.dial()
	} else {
		r.idle(r.now + choice.Wait)
	}
	r.policy.Taken(r.now, "b", r.conn)
	writtenAt := r.now
	own := orderAnswer{of: i, kind: step.kind, at: writtenAt + step.work}
	r.add(own)
	switch {
	case step.late > 0 && step.other:
		r.add(orderAnswer{of: ofNobody, kind: shortUnnamed, at: own.at + step.late})
	case step.late > 0:
		r.add(orderAnswer{of: i, kind: step.kind, at: own.at + step.late})
	}
	first := r.next()
	for {
		judgement := r.judge(deadline, r.describe(i, writtenAt, first))
		switch judgement.Verdict {
		case Accept:
			r.accept(i, writtenAt, first)
			return
		case Skip:
			r.report(RepeatedAnswer)
			first = r.next()
			continue
		case Reject:
			r.end(i)
			return
		}
		if len(r.pending) == 0 || r.pending[0].at > r.now+judgement.Hold {
			r.now += judgement.Hold
			r.accept(i, writtenAt, first)
			return
		}
		second := r.next()
		behind := r.describe(i, writtenAt, second)
		behind.EqualsHeld = second.of == first.of
		switch JudgeBehind(behind) {
		case Accept:
			r.report(SecondAnswer)
			r.accept(i, writtenAt, second)
			return
		case Skip:
			r.report(RepeatedAnswer)
		case Reject:
			r.report(SecondAnswer)
			r.end(i)
			return
		}
	}
}

// mistake is a fault that is planted in the rule, to see that the orders find it.
type mistake int

const (
	noMistake mistake = iota
	ignoresNames
	ignoresQuiet
)

// judge asks the policy about an answer.
func (r *orderRun) judge(deadline time.Duration, answer Answer) Judgement {
	conn := *r.conn
	if r.mistake == ignoresQuiet {
		conn.FreeAt -= time.Minute
	}
	return r.policy.Judge(r.now, deadline, "b", &conn, answer)
}

func (r *orderRun) add(a orderAnswer) {
	i := len(r.pending)
	for i > 0 && r.pending[i-1].at > a.at {
		i--
	}
	r.pending = append(r.pending, orderAnswer{})
	copy(r.pending[i+1:], r.pending[i:])
	r.pending[i] = a
}

// next receives the next answer.
func (r *orderRun) next() orderAnswer {
	a := r.pending[0]
	r.pending = r.pending[1:]
	r.now = max(r.now, a.at)
	return a
}

func (r *orderRun) describe(request int, writtenAt time.Duration, a orderAnswer) Answer {
	answer := Answer{Elapsed: r.now - writtenAt, IsServed: true, IsLong: a.kind.isLong(), RequestID: fmt.Sprint("request-", request)}
	if a.kind.isNamed() {
		id := fmt.Sprint("request-", a.of)
		answer.IsNamed = a.of == request
		answer.NamesEarlier = !answer.IsNamed && r.mistake != ignoresNames && r.conn.NamesEarlier(func(earlier string) bool { return earlier == id })
	}
	return answer
}

func (r *orderRun) accept(request int, writtenAt time.Duration, a orderAnswer) {
	if a.of != request {
		r.foreign = append(r.foreign, request)
	}
	r.policy.Answered(r.now, "b", r.conn, r.describe(request, writtenAt, a))
	if r.hasSurplus {
		r.dial()
	}
}

// report reports surplus on the connection, which is closed behind the current exchange.
func (r *orderRun) report(evidence Evidence) {
	r.policy.Report(r.now, "b", r.conn, evidence)
	r.hasSurplus = true
}

// end records that a request has got no answer.
func (r *orderRun) end(request int) {
	r.ended = append(r.ended, request)
	r.dial()
}

// orders are the orders of three requests that are played.
type orders struct {
	works  []time.Duration // of the first two requests
	lates  []time.Duration // of what follows their answers; 0: nothing does
	others bool            // it repeats no answer
}

// each plays all orders, with backends that are known to name requests and with others. It calls f after each.
func (o orders) each(planted mistake, f func(r *orderRun, steps []orderStep)) (count int) {
	pauses := []time.Duration{0, 70 * ms, 200 * ms}
	thirdWorks := []time.Duration{2 * ms, 40 * ms}
	for _, usual := range []time.Duration{20 * ms, 60 * ms} {
		for _, namesRequests := range []bool{false, true} {
			o.eachStep(pauses[:1], o.works, o.lates, func(first orderStep) {
				o.eachStep(pauses, o.works, o.lates, func(second orderStep) {
					o.eachStep(pauses[:1], thirdWorks, []time.Duration{0}, func(third orderStep) {
						r := newOrderRun(namesRequests, usual)
						r.mistake = planted
						steps := []orderStep{first, second, third}
						r.play(steps)
						count++
						f(r, steps)
					})
				})
			})
		}
	}
	return count
}

// eachStep calls f with each combination of a step.
func (o orders) eachStep(pauses, works, lates []time.Duration, f func(orderStep)) {
	for kind := range numberOfAnswerKinds {
		for _, pause := range pauses {
			for _, work := range works {
				for _, late := range lates {
					f(orderStep{kind, pause, work, late, o.others})
				}
			}
		}
	}
}

// repeats and others are orders in which the rule can keep both of its promises. Own answers come within the hold where the surplus repeats
// nothing: what is slower can't be distinguished.
var (
	repeats = orders{works: []time.Duration{2 * ms, 40 * ms, 250 * ms}, lates: []time.Duration{0, ms, 50 * ms, 100 * ms}}
	others  = orders{works: []time.Duration{2 * ms, 60 * ms}, lates: []time.Duration{0, ms, 50 * ms}, others: true}
)

// maxReportedOrders bounds the orders that a failure names.
const maxReportedOrders = 5

// In no order of three requests, whose answers are short or long, named or not, and repeated up to 100 ms later or not, may a sound
// answer be ended or a foreign one be passed on.
func TestNoShortOrderEndsSoundAnswersOrPassesOnForeignOnes(t *testing.T) {
	broken := 0
	count := repeats.each(noMistake, func(r *orderRun, steps []orderStep) {
		if len(r.foreign)+len(r.ended) == 0 {
			return
		}
		if broken++; broken <= maxReportedOrders {
			t.Errorf("%v: foreign answers to %v, ended %v", steps, r.foreign, r.ended)
		}
	})
	t.Logf("%d of %d orders broken", broken, count)
}

// A short answer that names nobody and repeats nothing, such as an error page too many, must reach no request either, though a sound
// answer that came with it may be ended.
func TestSurplusThatNamesNobodyReachesNoRequest(t *testing.T) {
	broken, ended := 0, 0
	count := others.each(noMistake, func(r *orderRun, steps []orderStep) {
		ended += len(r.ended)
		if len(r.foreign) == 0 {
			return
		}
		if broken++; broken <= maxReportedOrders {
			t.Errorf("%v: foreign answers to %v", steps, r.foreign)
		}
	})
	t.Logf("%d of %d orders broken, %d sound answers ended", broken, count, ended)
}

// The orders must find the rule without its check of names, and without its check of quiet.
func TestShortOrdersFindPlantedMistakes(t *testing.T) {
	for _, c := range []struct {
		mistake mistake
		orders  orders
	}{{ignoresNames, repeats}, {ignoresQuiet, others}} {
		foreign := 0
		c.orders.each(c.mistake, func(r *orderRun, _ []orderStep) { foreign += len(r.foreign) })
		if foreign == 0 {
			t.Errorf("mistake %d: no foreign answer", c.mistake)
		}
		t.Logf("mistake %d: %d foreign answers", c.mistake, foreign)
	}
}

// A repeat that names its request must reach no other one, however late it is. One that names none can't be distinguished from the answer to
// the next request once its connection has been quiet: this is the list of what stays open.
func TestOnlyLateRepeatsWithoutNameCannotBeToldApart(t *testing.T) {
	late := repeats
	late.lates = []time.Duration{0, 200 * ms, 400 * ms, 1500 * ms}
	broken, open := 0, 0
	count := late.each(noMistake, func(r *orderRun, steps []orderStep) {
		for _, request := range append(r.foreign, r.ended...) {
			isOpen := false
			for _, earlier := range steps[:request+1] {
				isOpen = isOpen || earlier.late > 0 && !earlier.kind.isNamed()
			}
			if isOpen {
				open++
				continue
			}
			if broken++; broken <= maxReportedOrders {
				t.Errorf("%v: foreign answers to %v, ended %v", steps, r.foreign, r.ended)
			}
		}
	})
	t.Logf("%d orders: %d broken, %d requests with late repeats that name nobody", count, broken, open)
}
