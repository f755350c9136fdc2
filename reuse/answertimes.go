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
)

// answerTimes stores how fast answers were that certainly belonged to their requests.
type answerTimes struct {
	count    int
	mean     time.Duration
	min      time.Duration // in the current window
	previous time.Duration // in the window before
	windowAt time.Duration // start of the current window
}

func (t *answerTimes) add(now, elapsed time.Duration) {
	if t.count == 0 {
		*t = answerTimes{mean: elapsed, min: elapsed, previous: elapsed, windowAt: now}
	}
	if now-t.windowAt > answerTimeWindow {
		t.previous, t.min, t.windowAt = t.min, elapsed, now
	}
	t.count++
	t.min = min(t.min, elapsed)
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
