package clients

// This file tracks the framing of the requests on a connection.

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
)

// framing tracks the framing of the requests on a client's connection. net/http drops Content-Length if Transfer-Encoding
// is present too, before a handler can see both. Such a request can smuggle another one in its body past a recipient that
// uses the length (RFC 9112, section 6.3). framing neither delays nor changes the bytes.
type framing struct {
	// HasAmbiguousLength is set if a head has conflicting or invalid lengths. It is never reset: the end of the request is unknown, so
	// nothing later on the connection can be trusted.
	HasAmbiguousLength atomic.Bool
	// Chunked is set if a body is chunked. Its end isn't determined here, so this request is the last one.
	Chunked atomic.Bool

	// hasTooManyFields is set if a head has more fields than maxFields. It is never reset: the request is the last one.
	hasTooManyFields atomic.Bool
	maxFields        int // 0: no limit

	// unanswered is the number of whole requests read but not answered. It exceeds one for pipelined requests.
	unanswered atomic.Int32

	// partial is set if part of a request was read. net/http reports a request only once its head is complete.
	partial atomic.Bool

	// opaque is set if the bytes are TLS and requests can't be distinguished. All bytes since the last answer count as one
	// request.
	opaque bool

	lastReadOffset atomic.Int64 // time of the last byte, in ns since the listener was created; 0: none

	line                []byte // current line of the head, truncated to maxLineBytes
	isTruncated         bool   // line was truncated
	lineCount           int    // lines of the head so far
	length              int64  // content length in the head so far; -1: none
	hasTransferEncoding bool   // the head has Transfer-Encoding
	bodyRemaining       int64  // remaining bytes of the body
}

// maxLineBytes is longer than any line that affects the framing.
const maxLineBytes = 64

// observe processes bytes that were read.
func (f *framing) observe(p []byte) {
	if f.opaque {
		if len(p) > 0 {
			f.unanswered.Store(1)
		}
		return
	}
	if len(p) == 0 {
		return
	}
	// The end of a request with an unknown length can't be determined, so it counts as partial until its answer.
	defer func() {
		f.partial.Store(f.bodyRemaining > 0 || f.lineCount > 0 || len(f.line) > 0 || f.HasAmbiguousLength.Load() || f.Chunked.Load())
	}()
	for len(p) > 0 && !f.HasAmbiguousLength.Load() && !f.Chunked.Load() {
		if f.bodyRemaining > 0 {
			n := min(f.bodyRemaining, int64(len(p)))
			f.bodyRemaining -= n
			p = p[n:]
			if f.bodyRemaining == 0 {
				f.unanswered.Add(1)
			}
			continue
		}
		lineBytes := p
		newline := bytes.IndexByte(p, '\n')
		if newline >= 0 {
			lineBytes, p = p[:newline], p[newline+1:]
		} else {
			p = nil
		}
		kept := min(maxLineBytes-len(f.line), len(lineBytes))
		f.line, f.isTruncated = append(f.line, lineBytes[:kept]...), f.isTruncated || kept < len(lineBytes)
		if newline >= 0 {
			f.parseHeadLine()
			f.line, f.isTruncated = f.line[:0], false
		}
	}
}

// parseHeadLine processes a line of a head.
func (f *framing) parseHeadLine() {
	line := strings.TrimSuffix(string(f.line), "\r")
	f.lineCount++
	if f.maxFields > 0 && line != "" && f.lineCount > f.maxFields+1 { // the first line is no field
		f.hasTooManyFields.Store(true)
	}
	name, value, _ := strings.Cut(line, ":")
	switch {
	case line == "" && !f.isTruncated:
		switch {
		case f.hasTransferEncoding && f.length >= 0:
			f.HasAmbiguousLength.Store(true)
		case f.hasTransferEncoding:
			f.Chunked.Store(true)
		case f.length <= 0:
			f.unanswered.Add(1)
		}
		f.bodyRemaining, f.length, f.hasTransferEncoding, f.lineCount = max(f.length, 0), -1, false, 0
		return
	case strings.EqualFold(strings.TrimSpace(name), "Transfer-Encoding"):
		f.hasTransferEncoding = true
	case strings.EqualFold(strings.TrimSpace(name), "Content-Length"):
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
		if err != nil || f.isTruncated || f.length >= 0 && f.length != int64(n) {
			f.HasAmbiguousLength.Store(true)
			return
		}
		f.length = int64(n)
	}
}

// inHead reports whether part of a head was read.
func (f *framing) inHead() bool { return f.bodyRemaining == 0 && (f.lineCount > 0 || len(f.line) > 0) }

// hasUnanswered reports whether a whole request was read and not answered.
func (f *framing) hasUnanswered() bool { return f.unanswered.Load() > 0 }

// HasPipelined reports whether a further whole request was read behind the current one. It would be lost if the answer closed the
// connection.
func (f *framing) HasPipelined() bool {
	return f.unanswered.Load() > 1 && !f.Chunked.Load() && !f.HasAmbiguousLength.Load()
}

// HasTooManyFields reports whether a header, which was read on this connection, has more fields than the listener permits. Further requests
// may have been read behind it.
func (f *framing) HasTooManyFields(header http.Header) bool {
	if !f.hasTooManyFields.Load() {
		return false
	}
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count+1 > f.maxFields // Host is none of them
}

// MarkBodyWhole records that the handler has read a body to its end. The end of a chunked one isn't determined here. From then on the client
// waits for its answer, and its silence means nothing.
func (f *framing) MarkBodyWhole() {
	if f.Chunked.Load() && f.partial.CompareAndSwap(true, false) {
		f.unanswered.Add(1)
	}
}

// markAnswered records that a request was markAnswered. It may run concurrently with reads.
func (f *framing) markAnswered() {
	if f.unanswered.Load() > 0 {
		f.unanswered.Add(-1)
	}
	if f.Chunked.Load() || f.HasAmbiguousLength.Load() {
		f.partial.Store(false)
	}
}
