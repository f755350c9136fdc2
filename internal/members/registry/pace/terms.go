package pace

// This file has the terms on which registries are called, and the reasons for their values.

import "time"

const (
	// Never is a time that does not come.
	Never = time.Duration(1<<63 - 1)
	// watchWait is how long a watch asks a shared registry to wait. A watch that is cut off brings nothing, so the wait is short:
	// a change is late by at most watchWait and AnswerTimeout. Where each call costs the registry work, the wait is
	// onDemandWatchWait.
	watchWait, onDemandWatchWait = 2 * time.Second, 20 * time.Second
	// AnswerTimeout is how long an answer may take beyond that wait. Where calls are processed one by one it is
	// onDemandListTimeout, or onDemandWatchTimeout beyond the wait of a watch: by then a change counts as reported.
	AnswerTimeout                             = time.Second
	onDemandListTimeout, onDemandWatchTimeout = 6 * time.Second, 2 * time.Second
	// maxQueueTime is how long a call may wait in the queue of such a registry; then it fails. So a call that begins
	// maxRewatchDelay after a failure brings what was missed before onDemandListTimeout is over, when that counts as reported.
	maxQueueTime, maxRewatchDelay = 2 * time.Second, onDemandListTimeout - maxQueueTime
	// maxWatchGap is the longest time between two calls of a watch in which no change can be missed. It stays below the 200 ms
	// after which discovery ends a watch.
	maxWatchGap = 150 * time.Millisecond
	// minCallGap is the least time between the beginning of an answered call and that of the next. It prevents a busy loop with a
	// registry that does not wait or that answers twice, and collects a burst of changes in few answers. It stays below
	// maxWatchGap.
	minCallGap = maxWatchGap / 2
	// The mean pause after a failed call to a shared registry doubles from minRetryPause to maxRetryPause.
	minRetryPause, maxRetryPause = 50 * time.Millisecond, time.Second
	// defaultDrainGrace applies where the settings have no drain grace.
	defaultDrainGrace = 500 * time.Millisecond
	// minStep keeps a node with a tiny drain grace from being busy with nothing but calls.
	minStep = 25 * time.Millisecond
	// MaxAgentCalls bounds the calls that are open to an agent at once, MinAgentCalls where file descriptors are few: each call needs one.
	// Only a silent or slow agent has more than one open call. Besides the three oldest and the three newest there are ten. Up to
	// an age of evenSpacingGraces drain graces each is about one grace from the next, beyond that half of its age.
	MaxAgentCalls, MinAgentCalls = 16, 6
	// keptNewestCalls is how many of the newest calls are never given up: each may use three intervals.
	keptNewestCalls = 3
	// evenSpacingGraces is how many drain graces an answer may take for a node to accept it within one grace of the first answer.
	evenSpacingGraces = 8
	// MaxSharedCalls bounds the calls that are open to a shared registry at once. It may have many callers.
	MaxSharedCalls = 8
	// silentSteps is how many steps after the end of a watch a silent agent is reported as a failure.
	silentSteps = 4
	// extensionFactor is the total time that a call stays open, in multiples of its timeout, where calls cost the registry work.
	extensionFactor = 4
)

// Terms determines how a registry is called.
type Terms struct {
	Wait time.Duration // requested by a watch
	// A silent call gets another call beside it after this delay, for a watch after its wait. The other call reads the complete
	// list.
	listHedgeDelay, watchHedgeDelay time.Duration
	// The timeout of a call, for a watch after its wait; 0: none. handleTimeout may keep the call open for longer.
	listTimeout, watchTimeout time.Duration
	maxOpen                   int // calls open at once
	maxCurrent                int // of these, calls before their timeout
	// keepsCalls means that no call is given up for its age. Each further silence starts another call until maxOpen are open; then
	// one is given up for it.
	keepsCalls        bool
	evenSpacing       time.Duration // how far apart kept calls may be, up to evenSpacingGraces times that age; 0: half of the age
	pausesBeforeHedge bool          // the call beside a silent one begins after a further pause, as after a failure
	silenceTimeout    time.Duration // time without an answer that is reported as a failure
	// The mean pause after a failed call doubles from minPause to maxPause. Nodes that lost a registry together must not come back
	// to it in step: each pause is half to one and a half times the mean.
	minPause, maxPause time.Duration
	reportInterval     time.Duration // least time between two reports that calls fail
	onDemand           bool          // calls begin at the balancer's request; a failure of the last open one ends them until the next request
}

// HedgeDelay returns how long an answer may take, beyond the wait of a watch, before another call begins beside it.
func (t Terms) HedgeDelay() time.Duration { return t.listHedgeDelay }

// spacing returns how far apart calls of an age may be.
func (t Terms) spacing(age time.Duration) float64 {
	if age <= evenSpacingGraces*t.evenSpacing {
		return float64(t.evenSpacing)
	}
	return float64(max(age, 1)) / 2
}

// AgentTerms returns the terms of an agent on the node's own machine. What the agent has counts as reported to the node, whether or not
// a call is open. One drain grace later no new request may go to a draining backend. A call to the agent costs nothing. So the
// next call begins at most one step after the agent can answer, and at most a wait and a step after a watch has failed: three
// quarters of the grace. The rest is left for the answer. An agent that was held up or is slow still works on the earlier calls.
// To give them up for new ones would delay its answer, and prevent it where it takes longer than a call stays open. So the earlier
// calls continue beside the newer ones. maxCalls is MaxAgentCalls, or less where file descriptors are few.
func AgentTerms(grace time.Duration, maxCalls int) Terms {
	step := min(max(graceOrDefault(grace)/4, minStep), watchWait/2)
	return Terms{Wait: 2 * step, listHedgeDelay: step, watchHedgeDelay: step,
		maxOpen: min(max(maxCalls, MinAgentCalls), MaxAgentCalls), keepsCalls: true, evenSpacing: graceOrDefault(grace),
		silenceTimeout: (2 + silentSteps) * step, minPause: step * 2 / 3, maxPause: step * 2 / 3, reportInterval: AnswerTimeout}
}

// SharedTerms returns the terms of a registry with many callers, whose changes are late in any case. One call is open at a time. A
// silent call gets another beside it, after a growing pause. The silent call continues, so that a slow registry can still answer
// it.
func SharedTerms() Terms {
	return Terms{Wait: watchWait, listHedgeDelay: AnswerTimeout, watchHedgeDelay: AnswerTimeout,
		maxOpen: MaxSharedCalls, keepsCalls: true, pausesBeforeHedge: true,
		minPause: minRetryPause, maxPause: maxRetryPause}
}

// OnDemandTerms returns the terms of a registry for which each call costs work, and which processes calls one by one. It processes
// a call that was given up in its queue all the same, while another waits in its place. A change that a silent call misses counts
// as reported onDemandListTimeout after the call began, or onDemandWatchTimeout after its wait, whether or not it arrived. One
// drain grace later a drain must be obeyed. So one other call begins beside the silent one. It begins no sooner than it needs to
// wait in the queue for maxQueueTime and end half of the grace after that moment. One more begins when it is given up.
func OnDemandTerms(grace time.Duration) Terms {
	slack := min(graceOrDefault(grace)/2, onDemandWatchTimeout/4) - maxQueueTime
	return Terms{Wait: onDemandWatchWait, listHedgeDelay: onDemandListTimeout + slack, watchHedgeDelay: onDemandWatchTimeout + slack,
		listTimeout: onDemandListTimeout, watchTimeout: onDemandWatchTimeout, maxOpen: 4, maxCurrent: 2, onDemand: true}
}

func graceOrDefault(grace time.Duration) time.Duration {
	if grace <= 0 {
		return defaultDrainGrace
	}
	return grace
}
