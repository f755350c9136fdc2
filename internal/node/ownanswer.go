package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"glencart/balance"
	"glencart/internal/settings"
	"glencart/internal/upstream"
	"glencart/reuse"
)

// This file finds the answer to a request among those that arrive on its connection, as package reuse decides.

// errNotTaken reports that an answer may belong to another request. Its connection is closed already.
var errNotTaken = errors.New("answer not taken for the one to its request")

// maxSkippedAnswers is how many answers to earlier requests may come ahead of the one to a request.
const maxSkippedAnswers = 8

// candidate is an answer that may be the one to a request. Of a long one, body is the part that has been read.
type candidate struct {
	resp   *http.Response
	body   []byte
	answer reuse.Answer
}

// equals reports whether two whole answers are the same for a client.
func (c candidate) equals(other candidate) bool {
	return c.resp.Body == http.NoBody && c.resp.StatusCode == other.resp.StatusCode && bytes.Equal(c.body, other.body) &&
		c.resp.Header.Get("Content-Type") == other.resp.Header.Get("Content-Type") && c.answer.NeverRan == other.answer.NeverRan
}

// readOwnAnswer reads the answer to the request of an exchange, as readAnswer does.
func (x *transport) readOwnAnswer(m *message, ex *exchange) (candidate, error) {
	for range maxSkippedAnswers + 1 {
		isBehindNoise, err := x.discardNoise(m, ex)
		if err != nil {
			return candidate{}, err
		}
		next, err := readCandidate(m, ex)
		if err != nil {
			return candidate{}, err
		}
		next.answer.IsBehindNoise = isBehindNoise
		if m.probe {
			x.checkReport(ex, next)
			return next, nil
		}
		switch x.pool.Judge(ex.conn, next.answer, ex.deadline) {
		case reuse.Accept:
			return next, nil
		case reuse.Wait:
			return x.readBehind(m, ex, next)
		case reuse.Reject:
			return candidate{}, errNotTaken
		}
		if _, err := io.Copy(io.Discard, next.resp.Body); err != nil {
			return candidate{}, err
		}
	}
	x.pool.Discard(ex.conn, upstream.OrderLost)
	return candidate{}, errNotTaken
}

// discardNoise discards bytes ahead of the next answer that begin none. It does so behind an answer that named its request, since such bytes
// arrive before the connection is used again otherwise.
func (x *transport) discardNoise(m *message, ex *exchange) (bool, error) {
	if m.probe || !ex.conn.State.WasNamed() {
		return false, nil
	}
	discarded, err := ex.conn.DiscardNoise(ex.deadline)
	if discarded > 0 && err == nil {
		x.pool.ReportNoise(ex.conn)
	}
	return discarded > 0, err
}

// readBehind reads what arrives behind an answer that was held back, and returns the one that is taken.
func (x *transport) readBehind(m *message, ex *exchange, first candidate) (candidate, error) {
	for range maxSkippedAnswers + 1 {
		second, err := readCandidate(m, ex)
		if err != nil {
			break
		}
		second.answer.EqualsHeld = second.equals(first)
		switch x.pool.JudgeBehind(ex.conn, first.answer, second.answer) {
		case reuse.Accept:
			return second, nil
		case reuse.Reject:
			return candidate{}, errNotTaken
		}
		if _, err := io.Copy(io.Discard, second.resp.Body); err != nil {
			break
		}
		switch x.pool.Judge(ex.conn, first.answer, ex.deadline) {
		case reuse.Accept:
			return first, nil
		case reuse.Reject:
			return candidate{}, errNotTaken
		}
	}
	x.pool.RejectBoth(ex.conn, first.answer)
	return candidate{}, errNotTaken
}

// readCandidate reads the next answer on the connection of an exchange.
func readCandidate(m *message, ex *exchange) (candidate, error) {
	resp, body, err := readAnswer(ex.conn, m, ex.passOnBy)
	if err != nil {
		return candidate{}, err
	}
	return candidate{resp, body, describeAnswer(m, ex, resp, body)}, nil
}

// describeAnswer returns what package reuse needs to know of an answer, of which body is the part that has been read.
func describeAnswer(m *message, ex *exchange, resp *http.Response, body []byte) reuse.Answer {
	status := outcome(resp)
	answer := reuse.Answer{Elapsed: time.Since(ex.writtenAt), IsProbe: m.probe, IsServed: status == balance.Delivered,
		NeverRan: status == balance.Shed, IsLong: resp.Body != http.NoBody}
	if m.probe {
		return answer
	}
	contains := func(id string) bool { return containsID(resp, body, id) }
	if id := m.header.Get("X-Trace-Id"); len(id) >= minNameLength {
		answer.RequestID = id
		answer.IsNamed = contains(id)
	}
	answer.NamesEarlier = !answer.IsNamed && ex.conn.State.NamesEarlier(contains)
	return answer
}

// checkReport records that the answer to a probe on a reused connection is no load report.
func (x *transport) checkReport(ex *exchange, reply candidate) {
	if !ex.conn.State.IsReused() || reply.resp.StatusCode != http.StatusOK || reply.resp.Header.Get(reportHeader) != "" {
		return
	}
	if _, err := settings.ParseReport(string(reply.body)); err != nil {
		x.limitedLog.Warn("malformed load report", "id", ex.conn.To.ID, "connection", ex.conn.Number, "error", err)
		x.pool.ReportUnreadable(ex.conn)
	}
}

// minNameLength is the length of the shortest request id that is looked for in answers. Shorter ones may be there by chance.
const minNameLength = 12

// containsID reports whether an answer contains the id of a request. Many services return it for tracing.
func containsID(resp *http.Response, body []byte, id string) bool {
	if bytes.Contains(body, []byte(id)) {
		return true
	}
	return fieldsContain(resp.Header, id) || fieldsContain(resp.Trailer, id)
}

func fieldsContain(fields http.Header, id string) bool {
	for _, values := range fields {
		if slices.ContainsFunc(values, func(value string) bool { return strings.Contains(value, id) }) {
			return true
		}
	}
	return false
}
