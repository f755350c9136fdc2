package node

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"glencart/balance"
	"glencart/internal/clients"
	"glencart/internal/engine"
)

// This file reads the requests of clients.

// hopByHop are the headers that belong to one connection, in addition to those that the Connection header
// lists.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// singleFields are the fields that a request may have once.
var singleFields = []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key"}

// fieldError reports a field of a request that can't be used.
type fieldError struct{ field, problem string }

func (e *fieldError) Error() string { return e.field + ": " + e.problem }

// readRequest checks a request and reads its body. It returns an error with the status for the answer.
func (f *front) readRequest(w http.ResponseWriter, hr *http.Request, received time.Time) (*engine.Request, int, error) {
	t := f.settings.Load()
	r, err := parseHead(t, hr)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	class := &t.Config.Classes[r.Class]
	method := methodOf(class.Effect)
	if hr.Method != method {
		w.Header().Set("Allow", method)
		return nil, http.StatusMethodNotAllowed, &fieldError{"X-Qos", "requests of this class use " + method}
	}
	key := hr.Header.Get("Idempotency-Key")
	if class.Effect == balance.Keyed && key == "" {
		return nil, http.StatusBadRequest, &fieldError{"Idempotency-Key", "missing: requests of this class need one"}
	}
	left, err := timeLeft(hr.Header, class)
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	m := &message{settings: t, counters: t.counters[r.Class],
		method: method, uri: hr.RequestURI, url: hr.URL, host: hr.Host, header: hr.Header, timeLeft: left - deadlineMargin,
		streams: make(chan *stream, 1), client: clients.FromContext(hr.Context()), clientGoneSignal: make(chan struct{}),
		answerReservation: reservation{budget: &f.answerBudget}}
	if status, err := f.readWholeRequest(w, hr, m); err != nil {
		return nil, status, err
	}
	r.Deadline = m.receivedAt(hr, received).Add(left - deadlineMargin)
	// A read deadline that passes while the request is served would look as if the client had left.
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{})
	rc.SetWriteDeadline(r.Deadline.Add(answerReadTimeout))
	removeHopByHop(hr.Header)
	// A backend needs these to recognize a repeat of a request, even if the Connection header lists them.
	hr.Header.Set("X-Trace-Id", r.ID)
	if key != "" {
		hr.Header.Set("Idempotency-Key", key)
	}
	r.Message, r.IsBodyArriving = m, m.upload != nil
	return r, 0, nil
}

// parseHead checks the head of a request by itself.
func parseHead(t *activeSettings, hr *http.Request) (*engine.Request, error) {
	if !httpguts.ValidHostHeader(hr.Host) { // net/http checks the field, and not the host of an absolute target
		return nil, &fieldError{"Host", "not the name of a host"}
	}
	h := hr.Header
	for _, name := range singleFields {
		if len(h[name]) > 1 {
			return nil, &fieldError{name, "given more than once: send it once"}
		}
	}
	r := &engine.Request{ID: h.Get("X-Trace-Id"), Reply: make(chan engine.Answer, 1), Repeat: h.Get("X-Second-Try") == "1"}
	if r.ID == "" {
		return nil, &fieldError{"X-Trace-Id", "missing: give each request an id of its own"}
	}
	if r.Class = t.Class(h.Get("X-Qos")); r.Class < 0 {
		return nil, &fieldError{"X-Qos", "no such class: name one of the settings"}
	}
	r.IsUnsafe = t.Config.Classes[r.Class].Effect == balance.Unsafe
	if len(t.Tenants) > 0 {
		if r.Tenant = slices.Index(t.Tenants, h.Get("X-Customer")); r.Tenant < 0 {
			return nil, &fieldError{"X-Customer", "no such customer: name a tenant of the settings"}
		}
	}
	if us, err := strconv.ParseFloat(h.Get("X-Size-Hint"), 64); err == nil && us > 0 && us < 1e12 {
		r.Hint = time.Duration(us * float64(time.Microsecond))
	}
	if subject := path.Base(hr.URL.Path); subject != "/" && subject != "." {
		sum := fnv.New64a()
		io.WriteString(sum, subject)
		r.Key, r.HasKey = sum.Sum64()>>11, true
	}
	return r, nil
}

// methodOf returns the method of requests with an effect.
func methodOf(effect balance.Effect) string {
	if effect == balance.Safe {
		return http.MethodGet
	}
	return http.MethodPost
}

// timeLeft returns the time budget of a request from its last byte on.
func timeLeft(h http.Header, class *balance.Class) (time.Duration, error) {
	left := cmp.Or(class.Deadline, defaultDeadline)
	text := h.Get("X-Expires-In")
	if text == "" {
		return left, nil
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
		return 0, &fieldError{"X-Expires-In", "not a time: send seconds, such as 0.480"}
	}
	return min(left, time.Duration(min(s, 1e6)*float64(time.Second))), nil
}

// readWholeRequest reads the body of a request, as far as it is held. It returns an error with the status for the answer.
func (f *front) readWholeRequest(w http.ResponseWriter, hr *http.Request, m *message) (int, error) {
	err := f.readBody(w, hr, m)
	if err == nil {
		return 0, nil
	}
	m.bodyReservation.release()
	if errors.Is(err, errTooLong) {
		return http.StatusRequestEntityTooLarge, fmt.Errorf("%w: send at most %d bytes", err, f.maxBodyBytes.Load())
	}
	return http.StatusRequestTimeout, fmt.Errorf("%w, or it came too slowly: send all that its head tells, without a pause", err)
}

// receivedAt returns when the last byte of a request came. headReadAt is when its head was read.
func (m *message) receivedAt(hr *http.Request, headReadAt time.Time) time.Time {
	received := headReadAt
	if hr.ContentLength != 0 {
		received = time.Now()
	}
	if m.client != nil && m.upload == nil {
		m.stages.queueTime = m.client.QueueTime(received)
	}
	return received.Add(-m.stages.queueTime)
}

// removeHopByHop removes the fields that don't go to a backend as they came.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	delete(h, "X-Expires-In") // the node sends its own to the backend
	delete(h, "Host")
}
