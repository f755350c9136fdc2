package longanswers

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// This file compares what a client has got with what the backends did.

const (
	// dueMargin is how long before the deadline of its request an answer must have begun to be due to the client. One with a stated length of
	// at most maxWholeBytes must have ended by then, as it is passed on whole or not at all.
	dueMargin     = 100 * time.Millisecond
	maxWholeBytes = 64 << 10
	// maxLate is how long after its time an answer may begin without being lost.
	maxLate = 500 * time.Millisecond
)

// Exchange is one request and its final answer.
type Exchange struct {
	ID, Class string // of the classes, "read" has no effect
	Budget    time.Duration
	Plan      *Plan // nil: an ordinary request
	SentAt    time.Time
	Status    int // 0: no answer
	Began     time.Duration
	Body      []byte
	Err       error
}

// heldTime returns how long an answer is held after its head, because it is passed on whole.
func (e *Exchange) heldTime() time.Duration {
	if e.Plan == nil || e.Plan.Framing != ByLength || e.Plan.Size > maxWholeBytes {
		return 0
	}
	return e.Plan.BodyTime()
}

// Problem returns what is wrong with an exchange, and of which kind it is. An empty kind means nothing. If mayBeCut is set, the front end
// may have ended before the answer did.
func (r *Recorder) Problem(cfg Config, e *Exchange, mayBeCut bool) (kind, text string) {
	want, isError := cfg.ShortBody(e.ID), false
	if e.Plan != nil {
		want, isError = e.Plan.Body(e.ID), e.Plan.Status != http.StatusOK
	}
	runs := r.RunsOf(e.ID)
	isDue := slices.ContainsFunc(runs, func(run Run) bool {
		return !run.HeadAt.IsZero() && run.HeadAt.Add(e.heldTime()).Sub(e.SentAt) < e.Budget-dueMargin
	})
	isRefusal := e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests
	isWhole := e.Status != 0 && e.Err == nil
	switch {
	case e.Status == http.StatusOK && e.Err == nil && string(e.Body) != want:
		return "foreign", fmt.Sprintf("got %d bytes that begin with %.60q", len(e.Body), e.Body)
	case isError, mayBeCut && !isWhole:
		return "", ""
	case isRefusal && e.Class != "read" && len(runs) > 0:
		return "refused", fmt.Sprintf("refused after %d runs", len(runs))
	case e.Status == 0 && len(runs) > 0:
		return "lost", fmt.Sprintf("no answer: %v", e.Err)
	case isDue && (e.Status != http.StatusOK || e.Err != nil):
		return "ended", fmt.Sprintf("answered %d after %v, %d bytes, %v", e.Status, e.Began, len(e.Body), e.Err)
	case e.Began > e.Budget+maxLate:
		return "late", fmt.Sprintf("begun after %v", e.Began)
	}
	for i, run := range runs {
		if i > 0 && !runs[i-1].HeadAt.IsZero() && runs[i-1].HeadAt.Before(run.BeganAt) {
			return "repeated", fmt.Sprintf("ran %d times, again after its answer had begun", len(runs))
		}
	}
	return "", ""
}
