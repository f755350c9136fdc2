package node

import (
	"net/http"
	"sync"
	"time"
)

// This file decides who gives way when a process is full of clients that keep it waiting. Bodies that stop come first, then clients that
// don't read. A client whose bytes flow never gives way.

const (
	// minBodySilence is how long a client must have sent no byte of its body before it gives way to others.
	minBodySilence = 250 * time.Millisecond
	// minReaderSilence is how long a client must have read no byte of its answer before it gives way to others.
	minReaderSilence = 2 * time.Second
	// uploadsDivisor bounds the open requests whose bodies are still arriving to one part in so many of all, answersWrittenQuarters those
	// whose answers are being written to so many quarters. What is left is for requests that only wait for a backend.
	uploadsDivisor, answersWrittenQuarters = 2, 3
)

// cutSilentBody ends the request of the client that has sent no byte of its body for longest. It reports whether there was one.
func (f *front) cutSilentBody() bool {
	if !f.table.CutSilentBody(minBodySilence) {
		return false
	}
	f.silentBodiesCut.Add(1)
	return true
}

// beginUpload counts an open request whose body is still arriving. It reports false if there are too many.
func (f *front) beginUpload() bool {
	if f.uploads.Add(1) <= f.maxInFlight.Load()/uploadsDivisor || f.cutSilentBody() {
		return true
	}
	f.uploads.Add(-1)
	return false
}

// answerWrites are the answers that are being written to clients.
type answerWrites struct {
	mu   sync.Mutex
	open map[*answerWrite]struct{}
}

// answerWrite is an answer that is being written to its client.
type answerWrite struct {
	controller *http.ResponseController
	since      time.Time // since when a write has been blocked; zero: none is. Guarded by answerWrites.mu
}

// beginAnswer counts an answer that is about to be written. If there are too many, it closes the connection of a client that doesn't read.
func (f *front) beginAnswer(w http.ResponseWriter) *answerWrite {
	a := &answerWrite{controller: http.NewResponseController(w)}
	f.writes.mu.Lock()
	defer f.writes.mu.Unlock()
	if f.writes.open == nil {
		f.writes.open = map[*answerWrite]struct{}{}
	}
	f.writes.open[a] = struct{}{}
	if len(f.writes.open) > int(f.maxInFlight.Load())*answersWrittenQuarters/4 {
		f.cutSilentReaderLocked()
	}
	return a
}

// endAnswer ends what beginAnswer began.
func (f *front) endAnswer(a *answerWrite) {
	f.writes.mu.Lock()
	defer f.writes.mu.Unlock()
	delete(f.writes.open, a)
}

// write writes a part of an answer and gives the client readerTimeout for it.
func (f *front) writePart(w http.ResponseWriter, a *answerWrite, part []byte) error {
	a.controller.SetWriteDeadline(time.Now().Add(readerTimeout))
	f.setWriting(a, time.Now())
	defer f.setWriting(a, time.Time{})
	if _, err := w.Write(part); err != nil {
		return err
	}
	return a.controller.Flush()
}

func (f *front) setWriting(a *answerWrite, since time.Time) {
	f.writes.mu.Lock()
	defer f.writes.mu.Unlock()
	a.since = since
}

// cutSilentReader closes the connection of the client that has read nothing of its answer for longest. It reports whether there was one.
func (f *front) cutSilentReader() bool {
	f.writes.mu.Lock()
	defer f.writes.mu.Unlock()
	return f.cutSilentReaderLocked()
}

func (f *front) cutSilentReaderLocked() bool {
	var longest *answerWrite
	for a := range f.writes.open {
		if !a.since.IsZero() && (longest == nil || a.since.Before(longest.since)) {
			longest = a
		}
	}
	if longest == nil || time.Since(longest.since) < minReaderSilence {
		return false
	}
	longest.controller.SetWriteDeadline(time.Now())
	longest.since = time.Time{} // its handler ends
	f.silentReadersCut.Add(1)
	return true
}

// logGivenWay logs that a request was rejected to make room for others.
func (f *front) logGivenWay(hr *http.Request, reason string) {
	f.roomLog.Warn("client gave way to others", "id", hr.Header.Get("X-Trace-Id"), "reason", reason, "client", hr.RemoteAddr,
		"in_flight", f.inFlight.Load(), "bodies", f.bodyBudget.reserved(), "answers", f.answerBudget.reserved())
}

// eachMemoryCounter reports what clients and backends make the process hold, and what was refused for room.
func (f *front) eachMemoryCounter(report func(name string, value int64)) {
	for _, kind := range []struct {
		name   string
		budget *budget
	}{{"bodies", &f.bodyBudget}, {"answers", &f.answerBudget}, {"stream_buffers", &f.copyBuffers.budget}} {
		report("memory."+kind.name+"_bytes", kind.budget.reserved())
		report("memory."+kind.name+"_refused", kind.budget.refused.Load())
	}
	f.writes.mu.Lock()
	writing := len(f.writes.open)
	f.writes.mu.Unlock()
	report("clients.bodies_arriving", f.uploads.Load())
	report("clients.answers_being_written", int64(writing))
	report("clients.silent_bodies_ended", f.silentBodiesCut.Load())
	report("clients.silent_readers_ended", f.silentReadersCut.Load())
	report("clients.own_answers_delayed", f.ownAnswers.Waits())
}
