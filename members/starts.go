package members

import "time"

// This file converts the start times that a source reports to the clock of this process. All machines use the same clock. The clock
// of this machine may have been off by an hour when the process started, and the process continues from that reading.

const (
	// clockOffset is the possible error of the wall clock.
	clockOffset = time.Hour
	// maxReportDelay is the longest delay of a source in reporting a start.
	maxReportDelay = 6 * time.Second
)

// startTime is the start time of a process.
type startTime struct {
	reported time.Duration // as the source reports it; 0: long ago
	local    time.Duration // on this process's clock
}

// ListComplete records that a source has sent all that it has.
func (h *Tracker) ListComplete(now time.Duration) { h.updatedAt = now }

// localStart returns the start of a process on this process's clock. The result for a reported time never changes, because the engine
// takes a different start for a different process.
func (h *Tracker) localStart(k *backendState, reported, now time.Duration) time.Duration {
	if k.start.reported != reported {
		k.start = startTime{reported: reported, local: h.estimateStart(reported, now, h.updatedAt)}
	}
	return k.start.local
}

// estimateStart converts a start that a source reports for the first time. updatedAt is when a source last sent all that it had; 0:
// never. If the clock can't be right, the later time is used: treating a backend as colder than it is costs little.
func (h *Tracker) estimateStart(reported, now, updatedAt time.Duration) time.Duration {
	age := now - reported
	switch {
	case h.WarmWithin <= 0 || reported <= 0:
		return reported
	case age < 0:
		return now
	case updatedAt > 0 && age > now-updatedAt+maxReportDelay:
		return updatedAt // an earlier start would have been reported by then
	case age >= clockOffset && age < clockOffset+h.WarmWithin:
		return reported + clockOffset
	}
	return reported
}
