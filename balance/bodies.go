// This file holds how an attempt counts whose body is still arriving from its client. The backend begins with the last byte, so until then
// the attempt is no queue there, and the backend owes no sign.

package balance

// ownQueue returns how many attempts of this node wait at a backend.
func (s *backend) ownQueue() float64 { return s.inFlight - s.arrivingBodies }

// owesSign reports whether an attempt is pending to which the backend may be expected to respond.
func (s *backend) owesSign() bool { return s.inFlight > s.openStreams+s.arrivingBodies }

// ownAttempts returns how many attempts of this node count against a backend when one is chosen. Requests whose bodies are still arriving
// are spread over the backends by all attempts, because no load report counts them.
func (r *request) ownAttempts(s *backend) float64 {
	if r.isBodyArriving {
		return s.inFlight
	}
	return s.ownQueue()
}

// beginWait records that the backend of an attempt owes a sign from now on, and the queue that the attempt meets.
func (b *Balancer) beginWait(a *attempt) {
	s := a.backend
	a.awaitedSince = b.now
	a.queueMet = b.reportedLoad(s, b.serviceTime(s)) + s.ownQueue() + s.unconfirmed
	a.queueTime = a.queueMet * b.serviceTime(s)
	if !s.owesSign() {
		s.silentSince = b.now
	}
}

// onBodySent records that the last byte of a body has been written. The time of the request starts with it.
func (b *Balancer) onBodySent(ev *Event) {
	r, a := b.pendingAttempt(ev)
	if a == nil || !a.isBodyArriving {
		return
	}
	b.beginWait(a)
	a.endBody()
	r.arrivedAt = b.now
}

// endBody ends the time in which the body of an attempt arrives.
func (a *attempt) endBody() {
	if a.isBodyArriving {
		a.isBodyArriving = false
		a.backend.arrivingBodies--
	}
}

// mayBeUnconfirmed reports whether an ended attempt counts in the queue estimate until the next report: a backend that fails fast looks
// idle, and one may go on with a cancelled attempt. An attempt that this side ended before the backend had all of it is neither.
func mayBeUnconfirmed(a *attempt, status Status) bool {
	switch status {
	case Delivered, Unused:
		return false
	case Cancelled:
		return !a.isBodyArriving
	}
	return true
}
