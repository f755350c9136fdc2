// Package lag decides from the delays of a process's own timers and messages whether the process is short of processor time. While it is,
// the times that it measures are partly its own: a time-out shows no fault of a backend, and a slow answer shows no queue there. And work
// that can be left out only makes the shortage worse.
//
// The package has no clock and no goroutine. Delays go in with the time.
package lag

import "time"

const (
	// MinHoldUp is the shortest delay that counts as a hold-up of the process. A garbage collection or a long list of backends takes less.
	MinHoldUp = 50 * time.Millisecond
	// Memory is how long a process counts as short of processor time after a hold-up.
	Memory = time.Second
)

// Estimator collects the delays of one process. The zero value is ready to use.
type Estimator struct {
	shortUntil time.Duration
	periods    [2]period // the current one, and the one before
	holdUps    int
}

// period is the longest delay in a period of Memory.
type period struct {
	began   time.Duration
	longest time.Duration
}

// Observe records that something that was due ran after a delay, at now.
func (e *Estimator) Observe(now, delay time.Duration) {
	e.advance(now)
	e.periods[0].longest = max(e.periods[0].longest, delay)
	if delay < MinHoldUp {
		return
	}
	if now >= e.shortUntil {
		e.holdUps++
	}
	e.shortUntil = max(e.shortUntil, now+Memory)
}

// IsShort reports whether the process is short of processor time.
func (e *Estimator) IsShort(now time.Duration) bool { return now < e.shortUntil }

// Longest returns the longest delay of the last one to two periods of Memory.
func (e *Estimator) Longest(now time.Duration) time.Duration {
	e.advance(now)
	return max(e.periods[0].longest, e.periods[1].longest)
}

// Shortages returns how often the process has become short of processor time.
func (e *Estimator) Shortages() int { return e.holdUps }

// advance begins another period if the current one is over.
func (e *Estimator) advance(now time.Duration) {
	switch age := now - e.periods[0].began; {
	case age >= 2*Memory:
		e.periods = [2]period{{began: now}, {}}
	case age >= Memory:
		e.periods = [2]period{{began: now}, e.periods[0]}
	}
}
