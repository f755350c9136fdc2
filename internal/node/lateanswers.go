package node

import (
	"net/http"
	"sync/atomic"
	"time"

	"glencart/internal/engine"
	"glencart/internal/lograte"
)

// This file has the answers that come after the deadlines of their requests: it gives those that the loop owes, and logs which stage took
// the time.

const (
	// overdueMargin is how long after its deadline a request is answered by its handler, if the loop has not answered it.
	overdueMargin = 100 * time.Millisecond
	// lateAnswerMargin is how long after the deadline an answer may come without a line in the log.
	lateAnswerMargin = 50 * time.Millisecond
)

// stages are the times at which a request reached a stage. The zero time means that it has not.
type stages struct {
	queueTime time.Duration // how long it waited in the kernel before it was read
	postedAt  time.Time     // when its handler passed it to the loop
	loopAfter atomic.Int64  // when the loop had it, ns after postedAt
}

// reachedLoop records that the loop has the request.
func (s *stages) reachedLoop() { s.loopAfter.Store(max(1, int64(time.Since(s.postedAt)))) }

// lateAnswers counts and logs late answers.
type lateAnswers struct {
	overdue atomic.Int64 // requests answered by their handlers
	late    atomic.Int64 // further answers that came over lateAnswerMargin after the deadline
	log     lograte.Limited
}

// record records an answer that is about to be written. The zero deadline means that the client has not sent its last byte.
func (l *lateAnswers) record(r *engine.Request, deadline time.Time, isOverdue bool) {
	late := time.Since(deadline)
	switch {
	case deadline.IsZero():
		return
	case isOverdue:
		l.overdue.Add(1)
	case late < lateAnswerMargin:
		return
	default:
		l.late.Add(1)
	}
	s := &r.Message.(*message).stages
	// Without a time at the loop the request is still in its queue.
	l.log.Warn("late answer", "id", r.ID, "late", late, "by_handler", isOverdue, "in_kernel", s.queueTime,
		"until_loop", time.Duration(s.loopAfter.Load()), "since_posted", time.Since(s.postedAt))
}

// answerOverdue answers a request that should have its answer from the loop already. An attempt may have run.
func (f *front) answerOverdue(w http.ResponseWriter, r *engine.Request, deadline time.Time) {
	f.lateAnswers.record(r, deadline, true)
	r.Message.(*message).counters.answered(engine.Failed)
	f.loop.PostFirst(func() { f.loop.ClientGone(r) })
	writeFailed(w, http.StatusGatewayTimeout)
}
