package node

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"glencart/internal/clients"
	"glencart/internal/engine"
)

// This file writes the answers to clients.

// write writes an answer. While the node shuts down it also measures the time for that.
func (f *front) write(w http.ResponseWriter, a engine.Answer) {
	if !f.isTimingWrites.Load() {
		f.writeAnswer(w, a)
		return
	}
	began := time.Now()
	f.writeAnswer(w, a)
	http.NewResponseController(w).Flush()
	mean := f.meanWriteNanos.Load()
	f.meanWriteNanos.Store(mean + int64(writeWeight*float64(int64(time.Since(began))-mean)))
}

func (f *front) writeAnswer(w http.ResponseWriter, a engine.Answer) {
	switch a.Kind {
	case engine.Served:
		f.writeReply(w, replyOf(a.Body))
	case engine.Refused:
		writeRejected(w, a.RetryAfter)
	case engine.Failed:
		status := http.StatusBadGateway
		if a.Late {
			status = http.StatusGatewayTimeout
		}
		writeFailed(w, status)
	case engine.Duplicate:
		http.Error(w, "X-Trace-Id: a request with this id is open or may have run: give each request an id of its own", http.StatusConflict)
	}
}

// writeReply writes a whole answer of a backend.
func (f *front) writeReply(w http.ResponseWriter, r *reply) {
	if r.contentType != "" {
		w.Header().Set("Content-Type", r.contentType)
	} else {
		w.Header()["Content-Type"] = nil // without a type of the backend, net/http must not guess one
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	w.WriteHeader(http.StatusOK)
	if len(r.body) <= unreservedBytes {
		w.Write(r.body)
		return
	}
	write := f.beginAnswer(w)
	defer f.endAnswer(write)
	f.writePart(w, write, r.body) // net/http closes the connection if it fails
}

// writeRejected answers that the request did not run. The client may retry it after retryIn.
func writeRejected(w http.ResponseWriter, retryIn time.Duration) {
	if retryIn > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeFailed answers that the request failed and may have run.
func writeFailed(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// answerPanic answers a request whose handler has panicked. If the answer has begun, it ends without its last
// byte. net/http would close the connection without an answer.
func (f *front) answerPanic(w http.ResponseWriter, hr *http.Request, cause any) {
	f.log.Error("handler panicked: the request is answered as failed", "id", hr.Header.Get("X-Trace-Id"), "panic", cause,
		"stack", string(debug.Stack()))
	w.Header().Set("Connection", "close")
	writeFailed(w, http.StatusInternalServerError)
	http.NewResponseController(w).Flush()
}

// rejectUnsent rejects a request that the loop has not seen, and closes its connection.
func (f *front) rejectUnsent(w http.ResponseWriter, ctx context.Context, count *classCounters) {
	setConnectionClose(w, ctx, true)
	writeRejected(w, fullRetryAfter)
	count.refused.Add(1)
}

// rejectMalformed answers a request that can't be read, and closes the connection.
func (f *front) rejectMalformed(w http.ResponseWriter, hr *http.Request, err error, status int) {
	f.ownAnswers.AwaitClosing(hr.Context())
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodySilenceTimeout)) // for the rest of the body
	text := err.Error() + "\n"
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text)
	if hr.ContentLength > 0 && hr.Header.Get("Expect") == "" {
		// Closing a connection with unread bytes sends a reset, which can overtake the answer.
		http.NewResponseController(w).Flush()
		io.CopyN(io.Discard, hr.Body, maxDiscardedBytes)
	}
}

func (f *front) health(w http.ResponseWriter, ok bool) {
	status, text := http.StatusOK, "ok\n"
	if !ok {
		status, text = http.StatusServiceUnavailable, "not ready\n"
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// setConnectionClose sets or clears "Connection: close" on an answer. The connection stays open if further
// bytes have been read behind the request, because net/http would drop them.
func setConnectionClose(w http.ResponseWriter, ctx context.Context, want bool) {
	switch c := clients.FromContext(ctx); {
	case c != nil && c.HasPipelined():
		w.Header().Del("Connection")
	case want:
		w.Header().Set("Connection", "close")
	}
}
