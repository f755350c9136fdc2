package pace

import "time"

const (
	// queueSamples is how many answers in a row must be late before calls wait longer. One late answer, as after a short stall of
	// a process, says nothing about the next.
	lateSamples = 3
	// queueMargin is the multiple of the expected time that is waited for an answer.
	lineMargin = 2
)

// queue estimates the queue of a registry that processes calls one by one: how long each call takes, given up or not. It keeps a
// registry that is slow, or back after a long silence, from receiving calls faster than it processes them.
type line struct {
	samples [lateSamples]time.Duration // service time per call
	next    int                        // index of the next sample
	last    int                        // id of the call that was answered last
}

// observe records the answer to a call, which arrived at at. previous is when the answer before it arrived, newest the id of the
// newest call.
func (l *line) answered(call openCall, at, before time.Duration, latest int) {
	calls := latest - call.id + 1
	if call.began < before { // all calls between the two were processed since
		calls = call.id - l.last
	}
	took := at - max(before, call.began+call.wait)
	l.samples[l.next] = max(0, took) / time.Duration(max(1, calls))
	l.next = (l.next + 1) % lateSamples
	l.last = call.id
}

// perCall returns the service time per call that all of the last answers agree on; 0: some took none.
func (l *line) perCall() time.Duration {
	least := l.samples[0]
	for _, s := range l.samples {
		least = min(least, s)
	}
	return least
}

// delay returns how long to wait for the answer to a call before another call begins, given the time since the last answer. Beyond
// AnswerTimeout it grows with the time of one call only. More calls a second would only lengthen the queue, but a registry that
// has lost its queue must be called again. When the answer is overdue, nothing is known about the queue.
func (l *line) patience(call int, since time.Duration) time.Duration {
	one := lineMargin * l.perCall()
	expected := one * time.Duration(max(1, call-l.last))
	if since > expected {
		return 0
	}
	return min(expected, max(one, CallSlack))
}
