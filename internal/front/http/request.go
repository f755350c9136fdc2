package httpfront

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"glencart/internal/clients"
	"glencart/internal/engine"
	"glencart/route"
)

// defaultHeldBytes is how much of a body is held so that it can be sent again, where the file does not say.
const defaultHeldBytes = 64 << 10

// maxUnseenBytes is how much room there is for a body before any of it has come.
const maxUnseenBytes = 4 << 10

// errBodyTooLong reports a body over the limit of its route.
var errBodyTooLong = errors.New("the body is too long")

// read converts a client's request to a message, with its body or the first part of it. An error comes with the status of the answer;
// errTurned has been answered.
func (c *visit) read(path string) (*engine.Request, *message, int, error) {
	class := c.class()
	k := &c.gen.site.Classes[class]
	if keys := c.hr.Header["Idempotency-Key"]; k.Effect == "keyed" && (len(keys) != 1 || keys[0] == "") {
		return nil, nil, http.StatusBadRequest, errors.New("Idempotency-Key: exactly one is needed here")
	}
	maxBody := c.maxBodyBytes()
	if maxBody > 0 && c.hr.ContentLength > maxBody {
		return nil, nil, http.StatusRequestEntityTooLarge, errBodyTooLong
	}
	m := &message{client: clients.FromContext(c.hr.Context()), method: c.hr.Method, target: c.target(path), length: c.hr.ContentLength,
		unsafe: k.Effect == "unsafe", within: time.Duration(k.Deadline), ready: make(chan struct{}), pumped: make(chan struct{})}
	id := c.start + strconv.FormatUint(c.number.Add(1), 36)
	header := c.prepareHeader(m, id)
	m.host = c.host() // its variables have the values of the prepared header
	if err := m.encodeHead(header); err != nil {
		return nil, nil, http.StatusBadRequest, err
	}
	r := &engine.Request{ID: id, Class: class, Tenant: -1, Message: m, Reply: make(chan engine.Answer, 1)}
	c.findTenant(r, m)
	if in, ok := c.letIn(r); !ok {
		c.turn(in)
		return nil, nil, 0, errTurned
	}
	if c.hr.ContentLength != 0 && !m.upgrade {
		if status, err := c.body(m, maxBody); err != nil {
			return nil, nil, status, err
		}
	}
	r.Deadline, r.IsBodyArriving = c.deadline(m), m.rest != nil
	if m.rest == nil {
		c.rc.SetReadDeadline(time.Time{}) // one that passes while the request is served would look as if the client had gone
	}
	return r, m, 0, nil
}

// class returns the index of the request's class.
func (c *visit) class() int {
	switch c.hr.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return c.tg.safe
	}
	return c.tg.other
}

// maxBodyBytes returns the limit on the body; 0: none.
func (c *visit) maxBodyBytes() int64 {
	if c.tg.Body != nil {
		return int64(*c.tg.Body)
	}
	return int64(c.gen.site.Limits.Body)
}

// target returns the request target for backends: as received, unless the route rewrites its path.
func (c *visit) target(path string) string {
	if c.tg.Rewrite != nil {
		path = route.Escape(route.Rewrite(c.vars.uri, c.tg.Location.Path, *c.tg.Rewrite))
	}
	if query := c.hr.URL.RawQuery; query != "" || c.hr.URL.ForceQuery {
		return path + "?" + query
	}
	return path
}

// host returns the Host for backends.
func (c *visit) host() string {
	if c.tg.Host == "" {
		return c.hr.Host
	}
	return c.vars.expand(c.tg.Host, inField)
}

// prepareHeader changes the header of the client's request to the one for backends, and notes whether the message asks for an upgrade.
func (c *visit) prepareHeader(m *message, id string) http.Header {
	h := c.hr.Header
	protocol := ""
	if c.tg.Upgrade {
		protocol = upgrades(h)
	}
	strip(h)
	c.vars.forward(h, c.gen.trusted)
	if h.Get("X-Request-Id") == "" {
		h["X-Request-Id"] = []string{id}
	}
	c.vars.apply(h, c.tg.Set)
	if protocol != "" {
		m.upgrade, m.length = true, 0
		h["Upgrade"] = []string{protocol}
	}
	return h
}

// findTenant sets the tenant of a request, if the file has it.
func (c *visit) findTenant(r *engine.Request, m *message) {
	name := c.gen.site.Node.Tenant
	if name == "" {
		return
	}
	i, ok := c.gen.tenants[c.hr.Header.Get(name)]
	if !ok {
		return
	}
	r.Tenant = i
	if i < len(c.gen.used) {
		m.tenant = c.gen.used[i]
	}
}

// deadline returns when the request has to be answered. The time of one with a body begins with the body's last byte.
func (c *visit) deadline(m *message) time.Time {
	if m.rest != nil {
		return time.Now().Add(streamTimeout)
	}
	began := c.log.began
	if c.hr.ContentLength != 0 {
		began = time.Now()
	}
	return began.Add(m.within - deadlineMargin)
}

// body reads as much of a body as is held. One that ends within it can be sent again; what is longer streams.
func (c *visit) body(m *message, most int64) (int, error) {
	hr := c.hr
	var from io.Reader = hr.Body
	if most > 0 {
		from = http.MaxBytesReader(c.w, hr.Body, most)
	}
	hold := c.gen.site.Limits.Buffer.Or(defaultHeldBytes)
	extend := func(d time.Duration) {
		if d == 0 {
			c.rc.SetReadDeadline(time.Time{})
		} else {
			c.rc.SetReadDeadline(time.Now().Add(d))
		}
	}
	var held bytes.Buffer
	if hr.ContentLength > 0 { // beyond that it grows with what comes, because a client may stop within its body
		held.Grow(int(min(hr.ContentLength, hold, maxUnseenBytes)) + bytes.MinRead)
	}
	extend(c.idle)
	n, err := io.Copy(&held, io.LimitReader(from, hold))
	m.held, m.trailer = held.Bytes(), hr.Trailer
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge, errBodyTooLong
	case err != nil:
		return http.StatusRequestTimeout, errors.New("the body was cut short")
	case n == hr.ContentLength:
		return 0, nil
	case n < hold: // chunks that ended
		if len(hr.Trailer) == 0 {
			m.length = n
			return 0, nil
		}
		if err = m.announceTrailers(); err == nil {
			m.closing, err = m.encodeClosing()
		}
		return http.StatusBadRequest, err
	}
	if len(hr.Trailer) > 0 {
		if err := m.announceTrailers(); err != nil {
			return http.StatusBadRequest, err
		}
	}
	m.clock = m.client.NewBodyClock(hr.ContentLength, n, m.within)
	c.rc.EnableFullDuplex() // a backend may answer before the body is over
	m.rest, m.extend = from, extend
	return 0, nil
}
