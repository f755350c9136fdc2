package node

import (
	"math"
	"sync"
	"time"
)

// wear learns at which idle age kept connections break under the next request. Something on the way, or a backend
// with a shorter idle time than it says, drops them without a word; a request that meets this may have run, and one
// that must not run twice has failed by it. Where none breaks, nothing changes.
type wear struct {
	mu    sync.Mutex
	fresh rate // of connections dialed for the request, and of those used just before
	aged  [wearAges]rate
}

const (
	// A kept connection is as good as a fresh one below wearFrom. Each class of ages beyond is twice as old.
	wearFrom, wearAges = 50 * time.Millisecond, 7
	// wearMost is how much oftener than fresh ones connections may break and still carry requests: dialing anew
	// costs a few round trips and the backend work. So many breaks are put down to chance, and an age is held to be
	// good after wearSeen exchanges.
	wearMost, wearChance, wearSeen = 0.05, 2, 12
	// wearSpan is the time over which what was seen fades.
	wearSpan = 8 * time.Second
)

// rate is a part of recent exchanges that broke.
type rate struct {
	broke, seen float64
	at          time.Time
}

func (r *rate) fade(now time.Time) {
	keep := math.Exp(-now.Sub(r.at).Seconds() / wearSpan.Seconds())
	r.broke, r.seen, r.at = r.broke*keep, r.seen*keep, now
}

func (r *rate) value() float64 { return r.broke / max(r.seen, 1) }

// class returns which class of ages an age is in; -1 is fresh.
func (w *wear) class(age time.Duration) int {
	i := -1
	for from := wearFrom; age >= from && i < wearAges-1; from *= 2 {
		i++
	}
	return i
}

// note takes in whether an exchange broke on a connection that had been idle for so long.
func (w *wear) note(age time.Duration, broke bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &w.fresh
	if i := w.class(age); i >= 0 {
		r = &w.aged[i]
	}
	r.fade(time.Now())
	r.seen++
	if broke {
		r.broke++
	}
}

// worn tells whether connections idle for so long break so often that a request should have a fresh one. What is
// true at an age is taken to be true of greater ones of which less is known.
func (w *wear) worn(age time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.fresh.fade(now)
	for i := w.class(age); i >= 0; i-- {
		r := &w.aged[i]
		r.fade(now)
		switch {
		case r.broke-wearChance > r.seen*(w.fresh.value()+wearMost):
			return true
		case r.seen >= wearSeen:
			return false // it fares as well as a fresh one
		}
	}
	return false
}
