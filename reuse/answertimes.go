package reuse

import "time"

const (
	// minAnswerTimes is how many answers must be known before the fastest one is a bound, boundPart of it.
	minAnswerTimes, boundPart = 16, 0.75
	// answerTimeWindow is how long the fastest answer is remembered, at least.
	answerTimeWindow = 30 * time.Second
	// meanAnswerWeight is the weight of a new answer in the mean.
	meanAnswerWeight = 0.1
	// holdMeans is how long an answer is held back after its request, in mean answer times. maxHold bounds it.
	holdMeans, maxHold = 2, 250 * time.Millisecond
	// suspectFactor is how long an answer is held back that may belong to another request, in the longest known answer time. The answer to
	// its own request would come in that time.
	suspectFactor = 1.5
)

// answerTimes stores how fast answers were that certainly belonged to their requests.
type answerTimes struct {
	count    int
	mean     time.Duration
	min      time.Duration // in the current window
	previous time.Duration // in the window before
	windowAt time.Duration // start of the current window

	max, previousMax time.Duration // as min and previous
}

func (t *answerTimes) add(now, elapsed time.Duration) {
	if t.count == 0 {
		*t = answerTimes{mean: elapsed, min: elapsed, previous: elapsed, windowAt: now, max: elapsed}
	}
	if now-t.windowAt > answerTimeWindow {
		t.previous, t.min, t.windowAt = t.min, elapsed, now
		t.previousMax, t.max = t.max, elapsed
	}
	t.count++
	t.min, t.max = min(t.min, elapsed), max(t.max, elapsed)
	t.mean += time.Duration(meanAnswerWeight * float64(elapsed-t.mean))
}

// bound returns a time that every answer takes, as far as is known.
func (t *answerTimes) bound() time.Duration {
	if t.count < minAnswerTimes {
		return 0
	}
	return time.Duration(boundPart * float64(min(t.min, t.previous)))
}

// hold returns how long to hold back an answer that came elapsed after its request.
func (t *answerTimes) hold(elapsed time.Duration) time.Duration {
	if elapsed >= t.bound() {
		return 0
	}
	return t.longHold(elapsed)
}

// longHold returns how long to hold back an answer that came elapsed after its request and is suspect for another reason.
func (t *answerTimes) longHold(elapsed time.Duration) time.Duration {
	return max(min(holdMeans*t.mean, maxHold)-elapsed, 0)
}

// suspectHold returns how long after its request the right answer will have come, most likely.
func (t *answerTimes) suspectHold() time.Duration {
	if t.count < minAnswerTimes {
		return maxHold
	}
	return min(time.Duration(suspectFactor*float64(max(t.max, t.previousMax))), maxHold)
}
