package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"glencart/balance"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// randomTransport ends each attempt in a goroutine of its own, after a random time and with a random status.
type randomTransport struct {
	mu         sync.Mutex
	rng        *rand.Rand
	executions map[string]int // executed attempts by request
	dropped    int
}

type randomCall struct {
	mu                 sync.Mutex
	hasBegun, isBarred bool
	stop               chan struct{}
	stopped            bool
}

func (x *randomTransport) intN(n int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.rng.IntN(n)
}

func (x *randomTransport) Send(a *Attempt) {
	c := &randomCall{stop: make(chan struct{})}
	a.State = c
	dial, work, end := time.Duration(x.intN(40))*time.Millisecond, time.Duration(x.intN(900))*time.Millisecond, x.intN(10)
	id := a.Request.ID
	go func() {
		sleep := func(d time.Duration) bool {
			select {
			case <-time.After(min(d, time.Until(a.Deadline))):
				return time.Now().Before(a.Deadline)
			case <-c.stop:
				return false
			}
		}
		if !sleep(dial) {
			a.Done(Result{Status: balance.Unused})
			return
		}
		c.mu.Lock()
		if c.isBarred {
			c.mu.Unlock()
			a.Done(Result{Status: balance.Unused})
			return
		}
		c.hasBegun = true
		c.mu.Unlock()
		if end == 0 {
			a.Done(Result{Status: balance.Shed})
			return
		}
		x.mu.Lock()
		x.executions[id]++
		x.mu.Unlock()
		if !sleep(work) {
			a.Done(Result{Status: balance.Expired})
			return
		}
		switch end {
		case 1:
			a.Done(Result{Status: balance.Dropped})
		case 2:
			a.Done(Result{Status: balance.AppError})
		case 3, 4, 5:
			a.Deliver(Result{Status: balance.Delivered})
		default:
			a.Done(Result{Status: balance.Delivered})
		}
	}()
}

func (x *randomTransport) PreventWrite(a *Attempt) bool {
	c := a.State.(*randomCall)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isBarred = c.isBarred || !c.hasBegun
	return c.isBarred
}

func (x *randomTransport) Cancel(a *Attempt) {
	c := a.State.(*randomCall)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		c.stopped = true
		close(c.stop)
	}
}

func (x *randomTransport) Probe(_ Endpoint, told func(Result)) { told(Result{Status: balance.Shed}) }
func (x *randomTransport) CloseIdle(Endpoint)                  { x.dropped++ }

// Guards the rules for requests under random results, drains and disconnecting clients, with goroutines in simulated time.
// Every request gets one answer by its deadline, no unsafe request runs twice, a refusal means that nothing ran, and no
// state is left over.
func TestRequestRulesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	const requests, backends = 600, 6
	bal, err := balance.New(balance.Config{
		Classes: []balance.Class{
			{Aim: time.Second / 2, Deadline: time.Second, Effect: balance.Safe, Points: 1},
			{Aim: time.Second / 2, Deadline: time.Second, Effect: balance.Unsafe, Points: 1},
		},
		Limits: balance.Limits{Cancelling: true, MaxAttempts: 3, RetryAfter: true, Probing: true},
		Rules:  balance.Rules{DrainGrace: time.Second / 2},
	}, seed)
	if err != nil {
		t.Fatal(err)
	}
	transport := &randomTransport{rng: rand.New(rand.NewPCG(seed, 1)), executions: map[string]int{}}
	e := New(Config{Balancer: bal, Transport: transport})
	quit, ended := make(chan struct{}), make(chan struct{})
	go func() { e.Run(quit); close(ended) }()
	phases := make([]balance.Phase, backends)
	list := func() {
		l := List{Complete: true}
		for i, p := range phases {
			l.Members = append(l.Members, Member{ID: fmt.Sprint("s", i), Addr: fmt.Sprint("10.0.0.", i, ":1"),
				Member: balance.Member{Phase: p, Weight: 1}})
		}
		e.Post(func() { e.UpdateBackends(balance.MembersAll, l) })
	}
	list()
	var wg sync.WaitGroup
	counts := map[AnswerKind]int{}
	for i := range requests {
		time.Sleep(time.Duration(transport.intN(12)) * time.Millisecond)
		if i%50 == 49 {
			phases[transport.intN(backends)] = balance.Phase(transport.intN(2))
			list()
		}
		r := &Request{ID: fmt.Sprint("r", i), Class: i % 2, Deadline: time.Now().Add(time.Second), Reply: make(chan Answer, 1)}
		disconnectAfter := time.Hour
		if transport.intN(10) == 0 {
			disconnectAfter = time.Duration(transport.intN(500)) * time.Millisecond
		}
		wg.Go(func() {
			e.Post(func() { e.Arrive(r) })
			select {
			case a := <-r.Reply:
				transport.mu.Lock()
				defer transport.mu.Unlock()
				counts[a.Kind]++
				if time.Now().After(r.Deadline.Add(time.Millisecond)) {
					t.Errorf("%s answered %v late", r.ID, time.Since(r.Deadline))
				}
				if a.Kind == Refused && r.Class == 1 && transport.executions[r.ID] > 0 {
					t.Errorf("%s refused, although it ran", r.ID)
				}
			case <-time.After(disconnectAfter):
				e.Post(func() { e.ClientGone(r) })
			case <-time.After(2 * time.Second):
				if !r.answerClaimed.Load() { // otherwise the transport passed its answer on
					t.Errorf("%s has no answer", r.ID)
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	synctest.Wait()
	e.Post(func() {
		if e.OpenRequests() != 0 {
			t.Errorf("%d requests left in the table", e.OpenRequests())
		}
		for id, b := range e.backends {
			if b.outstanding != 0 {
				t.Errorf("%s has %d attempts outstanding", id, b.outstanding)
			}
		}
	})
	synctest.Wait()
	for i := 1; i < requests; i += 2 {
		if n := transport.executions[fmt.Sprint("r", i)]; n > 1 {
			t.Errorf("r%d, unsafe, ran %d times", i, n)
		}
	}
	if counts[Served] == 0 || counts[Failed] == 0 {
		t.Errorf("answers %v: expected both served and failed requests", counts)
	}
	close(quit)
	<-ended
	if e.Post(func() {}) {
		select {
		case <-e.Done():
		default:
			t.Error("accepts posts after its end")
		}
	}
}

// BenchmarkRequest measures the cost of a request by number of backends.
func BenchmarkRequest(b *testing.B) {
	for _, backends := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprint(backends, " backends"), func(b *testing.B) {
			bal, _ := balance.New(balance.Config{Classes: []balance.Class{{Aim: time.Second, Deadline: time.Minute, Effect: balance.Safe, Points: 1}},
				Limits: balance.Limits{MaxAttempts: 3}}, 1)
			transport := &lastAttemptTransport{}
			e := New(Config{Balancer: bal, Transport: transport})
			l := List{Complete: true}
			for i := range backends {
				l.Members = append(l.Members, Member{ID: fmt.Sprint("s", i), Addr: fmt.Sprint(i), Member: balance.Member{Weight: 1}})
			}
			e.UpdateBackends(balance.MembersAll, l)
			b.ReportAllocs()
			for b.Loop() {
				r := &Request{ID: "x", Deadline: e.Now().Add(time.Millisecond), Reply: make(chan Answer, 1)}
				e.Arrive(r)
				transport.last.Done(Result{Status: balance.Delivered})
				e.Step()
				<-r.Reply
			}
		})
	}
}

type lastAttemptTransport struct{ last *Attempt }

func (x *lastAttemptTransport) Send(a *Attempt)              { x.last = a }
func (x *lastAttemptTransport) PreventWrite(*Attempt) bool   { return false }
func (x *lastAttemptTransport) Cancel(*Attempt)              {}
func (x *lastAttemptTransport) Probe(Endpoint, func(Result)) {}
func (x *lastAttemptTransport) CloseIdle(Endpoint)           {}
