package members

import "time"

// This file turns the times at which a source says that processes started into times on this process's clock. All machines read
// one clock, but the one of this machine may have been an hour off when the process began, and the process goes on by that.

const (
	// clockStep is by how much a wall clock may be off.
	clockStep = time.Hour
	// newsLate is how late a source may tell of a start.
	newsLate = 6 * time.Second
)

// start is when a process started.
type start struct {
	told  time.Duration // by the source; 0: long ago
	local time.Duration // by this process's clock
}

// Heard takes in that a source has told all that it knows by now.
func (h *Hand) Heard(now time.Duration) { h.heardAt = now }

// localStart returns when a process started by this process's clock. What was found out once for a told time holds: the engine takes
// another time for another process.
func (h *Hand) localStart(k *known, told, now time.Duration) time.Duration {
	if k.start.told != told {
		k.start = start{told: told, local: h.reckonStart(told, now, h.heardAt)}
	}
	return k.start.local
}

// reckonStart reckons when a process started of which a source tells for the first time, and last told of others at heardAt; 0: never.
// Where the clock can't be right, the later time is taken: a backend that is taken for colder than it is loses little.
func (h *Hand) reckonStart(told, now, heardAt time.Duration) time.Duration {
	age := now - told
	switch {
	case h.WarmWithin <= 0 || told <= 0:
		return told
	case age < 0:
		return now
	case heardAt > 0 && age > now-heardAt+newsLate:
		return heardAt // else it would have been told by then
	case age >= clockStep && age < clockStep+h.WarmWithin:
		return told + clockStep
	}
	return told
}
