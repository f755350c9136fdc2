package members

import "time"

// This file converts the start times that a source reports to the clock of this process. All machines use the same clock. The clock
// of this machine may have been off by an hour when the process started, and the process continues from that reading.

const (
	// clockStep is the possible error of the wall clock.
	clockStep = time.Hour
	// newsLate is the longest delay of a source in reporting a start.
	newsLate = 6 * time.Second
)

// start is the start time of a process.
type start struct {
	told  time.Duration // as the source reports it; 0: long ago
	local time.Duration // on this process's clock
}

// Heard records that a source has sent all that it has.
func (h *Hand) Heard(now time.Duration) { h.heardAt = now }

// localStart returns the start of a process on this process's clock. The result for a reported time never changes, because the engine
// takes a different start for a different process.
func (h *Hand) localStart(k *known, told, now time.Duration) time.Duration {
	if k.start.told != told {
		k.start = start{told: told, local: h.reckonStart(told, now, h.heardAt)}
	}
	return k.start.local
}

// reckonStart converts a start that a source reports for the first time. heardAt is when a source last sent all that it had; 0: never.
// If the clock can't be right, the later time is used: treating a backend as colder than it is costs little.
func (h *Hand) reckonStart(told, now, heardAt time.Duration) time.Duration {
	age := now - told
	switch {
	case h.WarmWithin <= 0 || told <= 0:
		return told
	case age < 0:
		return now
	case heardAt > 0 && age > now-heardAt+newsLate:
		return heardAt // an earlier start would have been reported by then
	case age >= clockStep && age < clockStep+h.WarmWithin:
		return told + clockStep
	}
	return told
}
