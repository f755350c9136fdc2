package balance

import (
	"fmt"
	"testing"
	"time"
)

// playResponses plays n responses with this response time from a queue of two.
func (r *rig) playResponses(n int, took time.Duration) {
	for i := range n {
		id := fmt.Sprint("answer", r.now, i)
		r.setPeerLoad(1, 2)
		r.arrive(id, safe)
		if len(ofKind(Send, r.last)) == 0 {
			continue
		}
		r.wait(took)
		r.do(Event{Kind: Outcome, Request: id, Backend: 1, Elapsed: took, RequestEnded: true})
	}
}

// A slowdown of all backends at the same queue must be detected within some ten responses, long before the service time of
// each backend follows. It must end when the backends recover.
func TestSlowdownOfAllBackendsIsDetected(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(50, safe, constantTime)
	r.playResponses(60, 60*ms)
	if f := r.b.recent.factor; f != 1 {
		t.Fatalf("factor %v with usual response times", f)
	}
	own := r.b.warmServiceTime(r.b.backends[1])
	r.playResponses(25, 180*ms)
	if f := r.b.recent.factor; f < 1.3 { // most requests are rejected by then
		t.Errorf("factor %v after responses that took three times as long", f)
	}
	if p := r.b.serviceTime(r.b.backends[1]); p < 1.5*own {
		t.Errorf("service time %v, %v before: 1.5 times as long wanted", p, own)
	}
	r.playResponses(250, 60*ms) // 15 s, in which most are rejected at first
	if f := r.b.recent.factor; f != 1 {
		t.Errorf("factor %v after usual response times", f)
	}
}

// With response times far below the aim, the initial service time must not turn into a slowdown.
func TestInitialServiceTimeIsNoSlowdown(t *testing.T) {
	for _, took := range []time.Duration{50 * time.Microsecond, ms, 250 * ms} {
		r := newRig(t, testConfig(), member(1, 0, 0))
		for range 30 {
			r.serve(1, safe, func(BackendID) time.Duration { return took })
			if f := r.b.recent.factor; f != 1 {
				t.Fatalf("factor %v while all responses take %v", f, took)
			}
		}
	}
}

// Without responses nothing shows the recovery, so the slowdown has to end by itself.
func TestSlowdownEndsWithoutResponses(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.serve(50, safe, constantTime)
	r.playResponses(60, 60*ms)
	r.playResponses(25, 180*ms)
	if r.b.recent.factor == 1 {
		t.Fatal("no slowdown at first")
	}
	for range 8 {
		r.wait(2 * time.Second)
		r.do(Event{Kind: Timer})
	}
	if f := r.b.recent.factor; f != 1 {
		t.Errorf("factor %v 16 s after the last response", f)
	}
}

// A backend that was always slow must not count as a slowdown, nor a single slow response.
func TestSingleSlowResponseIsNoSlowdown(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0))
	r.playResponses(60, 150*ms)
	r.playResponses(1, 300*ms)
	if f := r.b.recent.factor; f != 1 {
		t.Errorf("factor %v after a single slow response", f)
	}
}

// If backends differ in speed, the first response of a class shows the speed of its backend. It must not make all later
// responses of this class look fast, and those of other classes slow.
func TestFewResponsesDoNotSeparateClasses(t *testing.T) {
	r := newRig(t, testConfig(), member(1, 0, 0), member(2, 0, 0))
	r.serve(1, safe, func(BackendID) time.Duration { return 250 * ms })
	r.serve(1, unsafe, func(BackendID) time.Duration { return 16 * ms })
	slow, quick := r.b.shrunkBaseTime(&r.b.classes[safe]), r.b.shrunkBaseTime(&r.b.classes[unsafe])
	if slow > 3*quick {
		t.Errorf("base times %v and %v after one response each", slow, quick)
	}
	r.serve(100, safe, func(BackendID) time.Duration { return 160 * ms })
	r.serve(100, unsafe, func(BackendID) time.Duration { return 16 * ms })
	slow, quick = r.b.shrunkBaseTime(&r.b.classes[safe]), r.b.shrunkBaseTime(&r.b.classes[unsafe])
	if slow < 7*quick {
		t.Errorf("base times %v and %v after a hundred responses each, with ten times the work", slow, quick)
	}
}
