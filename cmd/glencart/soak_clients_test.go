package main

// This file contains the clients of a soak run, and the check of what they and the backends observed against
// the rules.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// client sends requests on one connection after another until the node has ended.
func (s *soak) client(rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-s.done:
			return
		default:
		}
		s.mu.Lock()
		closed := !s.terminatedAt.IsZero() && time.Since(s.terminatedAt) > connectGrace
		s.mu.Unlock()
		if closed {
			return
		}
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for first := true; s.send(c, rng, first); first = false {
		}
		c.Close()
	}
}

// send sends one request and reports whether its connection can carry another.
func (s *soak) send(c net.Conn, rng *rand.Rand, first bool) bool {
	q := &request{id: fmt.Sprintf("%d-%x", s.seed, rng.Uint64()), first: first}
	q.effect = [...]string{"read", "order", "order", "token"}[rng.IntN(4)]
	q.budget = s.deadline/4 + time.Duration(rng.Int64N(int64(s.deadline*3/4)))
	head := "POST /api/x HTTP/1.1\r\nContent-Length: 4\r\n"
	body := "abcd"
	switch q.effect {
	case "read":
		head, body = "GET /api/x HTTP/1.1\r\n", ""
	case "token":
		head += "Idempotency-Key: key-" + q.id + "\r\n"
	}
	if body != "" && rng.IntN(5) == 0 {
		head, body = strings.Replace(head, "Content-Length: 4", "Transfer-Encoding: chunked", 1), "4\r\nabcd\r\n0\r\n\r\n"
	}
	text := head + fmt.Sprintf("Host: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %.3f\r\n\r\n",
		q.id, q.effect, q.budget.Seconds()) + body
	for pieces := rng.IntN(4) / 3 * 2; pieces > 0; pieces-- { // one in four clients writes slowly
		cut := rng.IntN(len(text))
		if _, err := io.WriteString(c, text[:cut]); err != nil {
			return false
		}
		text = text[cut:]
		time.Sleep(time.Duration(rng.IntN(80)) * time.Millisecond)
	}
	q.writtenAt = time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		return false // the connection ended before the last byte
	}
	leaves := rng.IntN(12) == 0
	if leaves {
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		q.leftAt = time.Now()
		c.Close()
	}
	more := s.readAnswer(c, q, leaves)
	s.mu.Lock()
	s.requests = append(s.requests, q)
	s.mu.Unlock()
	time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	return more
}

// readAnswer reads the answer to a request. It reports whether the connection can carry another request.
func (s *soak) readAnswer(c net.Conn, q *request, left bool) bool {
	if left {
		return false
	}
	c.SetReadDeadline(q.writtenAt.Add(q.budget + 2*time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		var text []byte
		if text, err = io.ReadAll(resp.Body); err == nil {
			q.status, q.body = resp.StatusCode, string(text)
		}
	}
	q.endedAt, q.err = time.Now(), err
	return err == nil && !resp.Close
}

// stoppedWithin returns how long the node was stopped within a period.
func (s *soak) stoppedWithin(from, to time.Time) (d time.Duration) {
	for _, h := range s.stopped {
		if h.from.Before(to) && h.to.After(from) {
			d += h.to.Sub(h.from)
		}
	}
	return d
}

// checkRequests checks all requests against the rules.
func (s *soak) checkRequests() {
	for _, q := range s.requests {
		runs := s.arrivals[q.id]
		mayRun := 0
		for i, a := range runs {
			if !a.neverRan {
				mayRun++
			}
			if i > 0 && q.effect == "order" && !runs[i-1].neverRan {
				s.addViolation("duplicate: %s is unsafe and was sent again after it may have run", q.id)
			}
			if d := a.at.Sub(runs[0].at); i > 0 && q.effect == "token" && !runs[0].neverRan && d > keyedWindow+ruleSlack+s.late {
				s.addViolation("duplicate: %s was sent again after %v, repeats are dropped for %v", q.id, d, keyedWindow)
			}
			if !q.leftAt.IsZero() {
				if d := a.at.Sub(q.leftAt); d > leaveSlack+s.late+s.stoppedWithin(q.leftAt, a.at) {
					s.addViolation("lost: %s began %v after its client had left", q.id, d)
				}
			}
			// The client reads its clock before it writes, and the backend reads its clock after it has read.
			// Each of them may be late, and so may the node between them.
			if left := q.budget - a.at.Sub(q.writtenAt); a.budget > left+budgetSlack+3*s.late {
				s.addViolation("%s: its backend got a time budget of %v, its client had %v left", q.id, a.budget, left)
			}
		}
		switch {
		case !q.leftAt.IsZero():
		case q.err != nil && (q.first || len(runs) > 0):
			s.addViolation("lost: %s (%s, first on its connection: %v, at backends: %d) %v after SIGTERM has no answer: %v",
				q.id, q.effect, q.first, len(runs), q.writtenAt.Sub(s.terminatedAt), q.err)
		case q.err != nil: // the request crossed the close of an idle connection
		case q.endedAt.Sub(q.writtenAt) > q.budget+lateSlack+s.late:
			s.addViolation("lost: %s was answered after %v of %v", q.id, q.endedAt.Sub(q.writtenAt), q.budget)
		case q.status == http.StatusOK && q.body != q.id:
			s.addViolation("lost: %s was served with %q", q.id, q.body)
		case q.status == http.StatusOK && mayRun == 0:
			s.addViolation("lost: %s was served, but no backend may have run it", q.id)
		case q.status == http.StatusServiceUnavailable && q.effect == "order" && mayRun > 0:
			s.addViolation("duplicate: %s was rejected, but may have run", q.id)
		}
	}
}

// checkDrain checks that a draining backend got no new request after the grace. It is called before that
// backend returns to service.
func (s *soak) checkDrain(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listedAt := s.drainListedAt[i]
	if sendableAt := s.drainSendableAt[i]; s.draining[i] && !sendableAt.IsZero() && (listedAt.IsZero() || sendableAt.Before(listedAt)) {
		listedAt = sendableAt // the list counts from when the agent could send it, whether or not a node asked
	}
	for id, runs := range s.arrivals {
		for _, a := range runs {
			if a.backend == i && !listedAt.IsZero() && a.beganAt.Sub(listedAt) > drainGrace+ruleSlack+s.late {
				s.violations = append(s.violations, fmt.Sprintf("drain: %s arrived %v after the list in which s-%d drains",
					id, a.beganAt.Sub(listedAt), i))
			}
		}
	}
}
