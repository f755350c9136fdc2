package pace

import "time"

const (
	// queueSamples is how many answers in a row must be late before calls wait longer. One late answer, as after a short stall of
	// a process, does not predict the next.
	queueSamples = 3
	// queueMargin is the multiple of the expected time that is waited for an answer.
	queueMargin = 2
)

// queue estimates the queue of a registry that processes calls one by one: how long each call takes, given up or not. It keeps a
// registry that is slow, or back after a long silence, from receiving calls faster than it processes them.
type queue struct {
	samples      [queueSamples]time.Duration // service time per call
	nextSample   int                         // index of the next sample
	lastAnswered int                         // id of the call that was answered last
}

// observe records the answer to a call, which arrived at at. previous is when the answer before it arrived, newest the id of the
// newest call.
func (q *queue) observe(call openCall, at, previous time.Duration, newest int) {
	calls := newest - call.id + 1
	if call.beganAt < previous { // all calls between the two were processed since
		calls = call.id - q.lastAnswered
	}
	took := at - max(previous, call.beganAt+call.wait)
	q.samples[q.nextSample] = max(0, took) / time.Duration(max(1, calls))
	q.nextSample = (q.nextSample + 1) % queueSamples
	q.lastAnswered = call.id
}

// perCall returns the service time per call that all of the last answers agree on; 0: some took none.
func (q *queue) perCall() time.Duration {
	smallest := q.samples[0]
	for _, s := range q.samples {
		smallest = min(smallest, s)
	}
	return smallest
}

// delay returns how long to wait for the answer to a call before another call begins, given the time since the last answer. Beyond
// AnswerTimeout it grows with the time of one call only. More calls a second would only lengthen the queue, but a registry that
// has lost its queue must be called again. When the answer is overdue, nothing is known about the queue.
func (q *queue) delay(call int, sinceAnswer time.Duration) time.Duration {
	one := queueMargin * q.perCall()
	expected := one * time.Duration(max(1, call-q.lastAnswered))
	if sinceAnswer > expected {
		return 0
	}
	return min(expected, max(one, AnswerTimeout))
}
