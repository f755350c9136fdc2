package node

import (
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"glencart/internal/upstream"
)

// This file reads the answers of backends, and decides how much of one is held before it is passed on.
//
// An answer with a stated length of at most maxBufferedBodyBytes is held until it is whole. Its last byte is due by the deadline of its
// attempt. Any other answer is due with its head: from then on the deadline doesn't end it. It is held until it is whole, or over
// maxBufferedBodyBytes, or has a first byte and no longer may be held, which is unknownLengthGrace after its head if its length is
// unknown, and at once otherwise. At passOnMargin before the deadline it is passed on whatever has come. What follows is only bounded by
// backendSilenceTimeout between two bytes. 1xx answers ahead count for nothing.

const (
	// unknownLengthGrace is how long an answer of unknown length is held after its head. If it ends in this time, the client gets its
	// length, and a broken end is seen before any of it is sent.
	unknownLengthGrace = 100 * time.Millisecond
	// passOnMargin is how long before the deadline of its attempt an answer that has begun is passed on. The loop and the kernel need
	// some time for that.
	passOnMargin = 50 * time.Millisecond
)

// readAnswer reads one answer. It returns the whole answer and sets Body to http.NoBody. If passOnBy is not zero, it returns only the
// first bytes of an answer that is to be passed on as it arrives, with the rest in Body. An answer without a length is whole when its
// connection ends (RFC 9112, section 6.3). The time for which the first bytes were held is no time of the backend (upstream.Conn.OwnDelay).
func readAnswer(c *upstream.Conn, m *message, passOnBy time.Time) (*http.Response, []byte, error) {
	c.Limit.N = maxAnswerBytes
	resp, err := readAnswerHead(c, m.method)
	if err != nil {
		return nil, nil, err
	}
	if isWholeOnly(resp, m, passOnBy) {
		body, err := readWholeBody(c, resp)
		return resp, body, err
	}
	c.Limit.N = math.MaxInt64
	headAt := time.Now()
	body, err := readFirstPart(resp, m, passOnBy)
	if resp.Body != http.NoBody {
		c.OwnDelay += time.Since(headAt)
	}
	return resp, body, err
}

// isWholeOnly reports whether an answer is passed on whole, and reserves the memory for that.
func isWholeOnly(resp *http.Response, m *message, passOnBy time.Time) bool {
	switch {
	case passOnBy.IsZero():
		return true
	case resp.ContentLength < 0, resp.ContentLength > maxBufferedBodyBytes:
		return false
	}
	return resp.ContentLength <= unreservedBytes || m.takeAnswer(resp.ContentLength-unreservedBytes)
}

// readAnswerHead reads the head of the final answer.
func readAnswerHead(c *upstream.Conn, method string) (*http.Response, error) {
	req := &http.Request{Method: method}
	for range maxInformational {
		resp, err := http.ReadResponse(c.Reader, req)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("unexpected answer: 101 Switching Protocols") // requests never ask for an upgrade
		case resp.StatusCode < 100 || resp.StatusCode >= 200:
			return resp, nil
		}
	}
	return nil, errors.New("too many 1xx answers")
}

// readWholeBody reads the body of an answer that is not passed on before its end.
func readWholeBody(c *upstream.Conn, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBufferedBodyBytes {
		return nil, errTooLongAnswer
	}
	held := newHeldBody(resp, maxBufferedBodyBytes+1)
	held.read()
	switch {
	case held.err != nil && !errors.Is(held.err, io.EOF):
		return nil, held.err
	case held.err == nil, resp.ContentLength < 0 && c.Limit.N <= 0:
		// Reaching the read limit looks like the end of the connection.
		return nil, errTooLongAnswer
	}
	resp.Body = http.NoBody
	return held.bytes, nil
}

// readFirstPart reads the first part of the body of an answer that may be passed on before its end, or all of it.
func readFirstPart(resp *http.Response, m *message, passOnBy time.Time) ([]byte, error) {
	enough := 1
	if resp.ContentLength < 0 {
		enough = maxBufferedBodyBytes + 1
	}
	held := newHeldBody(resp, enough)
	held.reserve = m.takeAnswer
	go held.read()
	if resp.ContentLength < 0 {
		held.await(min(unknownLengthGrace, time.Until(passOnBy)))
	}
	if !held.stopAtFirstByte() {
		held.await(time.Until(passOnBy))
	}
	body, err := held.take()
	switch {
	case errors.Is(err, io.EOF):
		resp.Body = http.NoBody
	case err != nil:
		return nil, err
	default:
		resp.Body = held
	}
	return body, nil
}

// heldBody reads a body. Another goroutine can take over what has been read, while the first one waits for more. A reader of chunks that
// has reported a timeout can't go on, so the wait itself has none.
type heldBody struct {
	from    io.ReadCloser
	reserve func(n int64) bool // reserves memory; nil: there is no need
	ended   chan struct{}      // closed when read has returned

	mu      sync.Mutex
	bytes   []byte
	err     error
	enough  int // read returns when it has so many bytes
	isTaken bool
}

// newHeldBody returns a heldBody of which read returns when it has enough bytes.
func newHeldBody(resp *http.Response, enough int) *heldBody {
	size := int64(unreservedBytes)
	if resp.ContentLength >= 0 && enough > 1 {
		size = min(resp.ContentLength, maxBufferedBodyBytes) + 1
	}
	return &heldBody{from: resp.Body, ended: make(chan struct{}), bytes: make([]byte, 0, size), enough: enough}
}

// read reads until it has enough bytes, or up to the end or an error of the body, or until it has read something after take.
func (h *heldBody) read() {
	defer close(h.ended)
	for h.readMore() {
	}
}

// await waits until read has returned, or for d.
func (h *heldBody) await(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-h.ended:
	case <-timer.C:
	}
}

// readMore reads once and reports whether read continues.
func (h *heldBody) readMore() bool {
	room := h.room()
	if room == nil {
		return false
	}
	n, err := h.from.Read(room)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes = append(h.bytes, room[:n]...) // in place, unless take has been called
	h.err = err
	return err == nil && len(h.bytes) < h.enough && !h.isTaken
}

// room returns free space behind the bytes that have been read, or nil if there is no memory for it.
func (h *heldBody) room() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.bytes) == cap(h.bytes) {
		capacity := min(4*cap(h.bytes), maxBufferedBodyBytes+1)
		if h.reserve != nil && !h.reserve(int64(capacity-cap(h.bytes))) {
			return nil
		}
		grown := make([]byte, len(h.bytes), capacity)
		copy(grown, h.bytes)
		h.bytes = grown
	}
	return h.bytes[len(h.bytes):cap(h.bytes)]
}

// stopAtFirstByte lets read return as soon as there is a byte. It reports whether there is one.
func (h *heldBody) stopAtFirstByte() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enough = 1
	return len(h.bytes) > 0
}

// take returns what has been read so far, and how read has ended, if it has. What comes later is returned by Read.
func (h *heldBody) take() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.bytes
	h.bytes, h.isTaken = nil, true
	return taken, h.err
}

// Read reads what follows after take.
func (h *heldBody) Read(p []byte) (int, error) {
	<-h.ended
	if len(h.bytes) > 0 {
		n := copy(p, h.bytes)
		h.bytes = h.bytes[n:]
		return n, nil
	}
	if h.err != nil {
		return 0, h.err
	}
	return h.from.Read(p)
}

// Close implements io.Closer.
func (h *heldBody) Close() error { return h.from.Close() }
