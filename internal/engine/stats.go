package engine

import (
	"sync/atomic"
	"time"

	"glencart/balance"
)

// RetryReason is why a further attempt of a request was sent.
type RetryReason int

// Reasons of further attempts. The others are the outcome of the attempt that ended last.
const (
	RetryBeside        RetryReason = iota // an earlier attempt is still out
	RetryAfterShed                        // its backend rejected it and did not run it
	RetryAfterDial                        // its connection failed before its last byte
	RetryAfterUnused                      // it was not sent
	RetryAfterError                       // its backend answered with an error
	RetryAfterTimeout                     // it had no answer in time
	RetryAfterBreak                       // its connection broke, or its answer was not accepted
	numberOfRetryCause = int(RetryAfterBreak) + 1
)

// String returns the name of the reason in counters.
func (r RetryReason) String() string {
	return [numberOfRetryCause]string{"beside", "shed", "dial_failed", "unused", "error", "timeout", "broken"}[r]
}

// retryReasons maps the outcome of the last attempt.
var retryReasons = map[balance.Status]RetryReason{balance.Shed: RetryAfterShed, balance.DialFailed: RetryAfterDial,
	balance.Unused: RetryAfterUnused, balance.AppError: RetryAfterError, balance.Expired: RetryAfterTimeout}

// RefusalReason is what was known of a request when it was refused.
type RefusalReason int

// Reasons of refusals.
const (
	RefusedBeforeAttempt  RefusalReason = iota // no attempt was made
	RefusedUnrun                               // no attempt has run
	RefusedRepeatable                          // an attempt may have run, and the class allows a repeat
	numberOfRefusalReason = int(RefusedRepeatable) + 1
)

// String returns the name of the reason in counters.
func (r RefusalReason) String() string {
	return [numberOfRefusalReason]string{"before_attempt", "unrun", "repeatable"}[r]
}

// Stats counts what the engine decided, by reason. It is safe for concurrent use.
type Stats struct {
	retries  [numberOfRetryCause]atomic.Int64
	refusals [numberOfRefusalReason]atomic.Int64

	lag, shortages, probesLeftOut atomic.Int64
	probes                        [numberOfProbeResults]atomic.Int64
	probeShare                    atomic.Int64 // in percent
	duplicates                    atomic.Int64
}

// ProbeResult is how a probe ended.
type ProbeResult int

// Results of probes.
const (
	ProbeReplied         ProbeResult = iota
	ProbeLate                        // after lateProbe
	ProbeUnanswered                  // not in time, or without a connection
	numberOfProbeResults = int(ProbeUnanswered) + 1
)

// lateProbe is how long a reply to a probe may take that does not count as late.
const lateProbe = 50 * time.Millisecond

// String returns the name of the result in counters.
func (r ProbeResult) String() string {
	return [numberOfProbeResults]string{"replied", "late", "unanswered"}[r]
}

// countProbe counts the result of a probe that was sent.
func (s *Stats) countProbe(status balance.Status, elapsed time.Duration) {
	switch {
	case status == balance.Unused, status == balance.Cancelled:
	case status == balance.Expired, status == balance.DialFailed, status == balance.Dropped:
		s.probes[ProbeUnanswered].Add(1)
	case elapsed > lateProbe:
		s.probes[ProbeLate].Add(1)
	default:
		s.probes[ProbeReplied].Add(1)
	}
}

// EachProbe calls f with the number of probes for each result.
func (s *Stats) EachProbe(f func(result ProbeResult, count int64)) {
	for i := range s.probes {
		f(ProbeResult(i), s.probes[i].Load())
	}
}

// ProbeSharePercent returns which part of the probes is sent, in percent.
func (s *Stats) ProbeSharePercent() int64 { return s.probeShare.Load() }

// Lag returns the longest recent delay of timers and messages of this process.
func (s *Stats) Lag() time.Duration { return time.Duration(s.lag.Load()) }

// Shortages returns how often this process was short of processor time.
func (s *Stats) Shortages() int64 { return s.shortages.Load() }

// ProbesLeftOut returns the number of probes that were not sent because this process was short of processor time.
func (s *Stats) ProbesLeftOut() int64 { return s.probesLeftOut.Load() }

// EachRetry calls f with the number of further attempts for each reason.
func (s *Stats) EachRetry(f func(reason RetryReason, count int64)) {
	for i := range s.retries {
		f(RetryReason(i), s.retries[i].Load())
	}
}

// EachRefusal calls f with the number of refusals for each reason.
func (s *Stats) EachRefusal(f func(reason RefusalReason, count int64)) {
	for i := range s.refusals {
		f(RefusalReason(i), s.refusals[i].Load())
	}
}

// countRetry counts an attempt that is not the first of its request.
func (s *Stats) countRetry(r *Request) {
	for _, a := range r.attempts {
		if !a.hasEnded {
			s.retries[RetryBeside].Add(1)
			return
		}
	}
	reason, ok := retryReasons[r.lastStatus]
	if !ok {
		reason = RetryAfterBreak
	}
	s.retries[reason].Add(1)
}

// countRefusal counts a refusal.
func (s *Stats) countRefusal(r *Request) {
	reason := RefusedUnrun
	switch {
	case len(r.attempts) == 0:
		reason = RefusedBeforeAttempt
	case r.mayHaveRun:
		reason = RefusedRepeatable
	}
	s.refusals[reason].Add(1)
}

// Duplicates returns how many requests were answered with Duplicate.
func (s *Stats) Duplicates() int64 { return s.duplicates.Load() }
