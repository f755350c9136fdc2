package node

import (
	"math"
	"sync"
	"time"
)

// idleBreakRates learns at which idle age kept connections break under the next request. A device on the path, or a
// backend with a shorter idle timeout than configured, may drop them silently. A request that meets such a
// connection may have run. If it must not run twice, it has failed. If no connections break, idleBreakRates changes
// nothing.
type idleBreakRates struct {
	mu        sync.Mutex
	fresh     rate // of connections dialed for the request or used just before
	byIdleAge [idleAgeClasses]rate
}

const (
	// Below minIdleAge a kept connection counts as a fresh one. Above it there are idleAgeClasses classes of
	// idle ages. Each covers twice the age of the one before.
	minIdleAge, idleAgeClasses = 50 * time.Millisecond, 7
	// maxExcessBreakRate is how much higher than for fresh connections the break rate may be while requests
	// still use a connection. A new dial costs a few round trips and some work on the backend. Up to
	// chanceBreaks breaks are treated as chance. After minExchanges exchanges within the limit an age counts as
	// good.
	maxExcessBreakRate, chanceBreaks, minExchanges = 0.05, 2, 12
	// breakRateDecay is the time constant with which observations decay.
	breakRateDecay = 8 * time.Second
)

// rate is the share of recent exchanges that broke.
type rate struct {
	broke, seen float64
	at          time.Time
}

func (r *rate) fade(now time.Time) {
	keep := math.Exp(-now.Sub(r.at).Seconds() / breakRateDecay.Seconds())
	r.broke, r.seen, r.at = r.broke*keep, r.seen*keep, now
}

func (r *rate) value() float64 { return r.broke / max(r.seen, 1) }

// ageClass returns the class of an idle age, or -1 for a fresh connection.
func (w *idleBreakRates) ageClass(age time.Duration) int {
	i := -1
	for from := minIdleAge; age >= from && i < idleAgeClasses-1; from *= 2 {
		i++
	}
	return i
}

// record records whether an exchange broke on a connection with this idle age.
func (w *idleBreakRates) record(age time.Duration, broke bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &w.fresh
	if i := w.ageClass(age); i >= 0 {
		r = &w.byIdleAge[i]
	}
	r.fade(time.Now())
	r.seen++
	if broke {
		r.broke++
	}
}

// breaksTooOften reports whether connections of this idle age break so often that a request should use a fresh one. If
// little is known of an age, the result for the next lower class with enough data applies.
func (w *idleBreakRates) breaksTooOften(age time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.fresh.fade(now)
	for i := w.ageClass(age); i >= 0; i-- {
		r := &w.byIdleAge[i]
		r.fade(now)
		switch {
		case r.broke-chanceBreaks > r.seen*(w.fresh.value()+maxExcessBreakRate):
			return true
		case r.seen >= minExchanges:
			return false // breaks no more often than a fresh connection
		}
	}
	return false
}
