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

// bufferUsual is how much of a body is held so that it can be sent again.
const bufferUsual = 64 << 10

// read makes a message of a client's request: headers, and the body or the first part of it. An error comes with the
// status to answer.
func (c *visit) read(path string) (*engine.Request, *message, int, error) {
	hr, s := c.hr, c.gen.site
	class := c.tg.other
	switch hr.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		class = c.tg.safe
	}
	k := &s.Classes[class]
	keys := hr.Header["Idempotency-Key"]
	if k.Effect == "keyed" && (len(keys) != 1 || keys[0] == "") {
		return nil, nil, http.StatusBadRequest, errors.New("Idempotency-Key: exactly one is needed here")
	}
	bodyMost := s.Limits.Body
	if c.tg.Body != nil {
		bodyMost = *c.tg.Body
	}
	if bodyMost > 0 && hr.ContentLength > int64(bodyMost) {
		return nil, nil, http.StatusRequestEntityTooLarge, errors.New("the body is too long")
	}
	m := &message{client: clients.FromContext(hr.Context()), method: hr.Method, host: hr.Host, length: hr.ContentLength, unsafe: k.Effect == "unsafe", within: time.Duration(k.Deadline),
		ready: make(chan struct{}), pumped: make(chan struct{})}
	protocol := ""
	if c.tg.Upgrade {
		protocol = upgrades(hr.Header)
	}
	h := hr.Header
	strip(h)
	c.vars.forward(h, c.gen.trusted)
	id := c.start + strconv.FormatUint(c.number.Add(1), 36)
	if h.Get("X-Request-Id") == "" {
		h["X-Request-Id"] = []string{id}
	}
	c.vars.apply(h, c.tg.Set)
	if protocol != "" {
		m.upgrade = true
		h["Upgrade"] = []string{protocol}
		m.length = 0
	}
	if c.tg.Host != "" {
		m.host = c.vars.expand(c.tg.Host, inField)
	}
	m.target = path
	if c.tg.Rewrite != nil {
		m.target = route.Escape(route.Rewrite(c.vars.uri, c.tg.Location.Path, *c.tg.Rewrite))
	}
	if q := hr.URL.RawQuery; q != "" || hr.URL.ForceQuery {
		m.target += "?" + q
	}
	if err := m.encodeHead(h); err != nil {
		return nil, nil, http.StatusBadRequest, err
	}
	r := &engine.Request{ID: id, Class: class, Tenant: -1, Message: m, Reply: make(chan engine.Answer, 1)}
	if name := s.Node.Tenant; name != "" {
		if i, ok := c.gen.tenants[hr.Header.Get(name)]; ok {
			r.Tenant = i
			if i < len(c.gen.used) {
				m.tenant = c.gen.used[i]
			}
		}
	}
	if in, ok := c.letIn(r); !ok {
		c.turn(in)
		return nil, nil, 0, errTurned
	}
	if hr.ContentLength != 0 && !m.upgrade {
		if status, err := c.body(m, int64(bodyMost)); err != nil {
			return nil, nil, status, err
		}
	}
	if m.rest != nil {
		r.Deadline = time.Now().Add(streamWithin)
	} else {
		// A deadline that passes while the request is served would look as if the client had gone.
		c.rc.SetReadDeadline(time.Time{})
		r.Deadline = c.log.began.Add(time.Duration(k.Deadline) - early)
		if now := time.Now(); hr.ContentLength != 0 { // it may have taken long to come
			r.Deadline = now.Add(time.Duration(k.Deadline) - early)
		}
	}
	return r, m, 0, nil
}

// body reads as much of a body as is held. One that ends within it can be sent again; what is longer streams.
func (c *visit) body(m *message, most int64) (int, error) {
	hr := c.hr
	var from io.Reader = hr.Body
	if most > 0 {
		from = http.MaxBytesReader(c.w, hr.Body, most)
	}
	hold := c.gen.site.Limits.Buffer.Or(bufferUsual)
	extend := func(d time.Duration) {
		if d == 0 {
			c.rc.SetReadDeadline(time.Time{})
		} else {
			c.rc.SetReadDeadline(time.Now().Add(d))
		}
	}
	var held bytes.Buffer
	if hr.ContentLength > 0 {
		held.Grow(int(min(hr.ContentLength, hold)) + bytes.MinRead)
	}
	extend(c.idle)
	n, err := io.Copy(&held, io.LimitReader(from, hold))
	m.held, m.trailer = held.Bytes(), hr.Trailer
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge, errors.New("the body is too long")
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
	c.rc.EnableFullDuplex() // a box may answer before the body is over
	m.rest, m.extend = from, extend
	return 0, nil
}
