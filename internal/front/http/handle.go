package httpfront

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"glencart/internal/clients"
	"glencart/internal/cluster"
	"glencart/internal/engine"
	"glencart/internal/http1"
	"glencart/internal/site"
	"glencart/route"
)

const (
	// streamTimeout bounds a request whose body streams. Its idle times are bounded too.
	streamTimeout = 24 * time.Hour
	// deadlineMargin is how much sooner than the deadline of its class a request ends. The way of the answer takes part of the time.
	deadlineMargin = 5 * time.Millisecond
	// maxDrainBytes and drainTimeout bound what is read of the body of a rejected request.
	maxDrainBytes, drainTimeout = 16 << 20, 2 * time.Second
	// pumpGrace is how long a body may take to end after the answer.
	pumpGrace = 100 * time.Millisecond
	// fullRetryAfter is the retry-after of a request that is rejected because the process is full.
	fullRetryAfter = 250 * time.Millisecond
)

// visit is the handling of one request of a client, from its head to the end of its answer.
type visit struct {
	*Server
	w    http.ResponseWriter
	hr   *http.Request
	rc   *http.ResponseController
	gen  *generation
	tg   *target
	log  entry
	vars variables
	idle time.Duration

	shed   shedding
	handed bool // the connection is a tunnel, and the request counts as answered
}

// head writes the head of the answer. While the process shuts down it closes the connection, so that the client connects elsewhere.
func (c *visit) head(status int) {
	if c.closing.Load() {
		c.w.Header().Set("Connection", "close")
	}
	c.w.WriteHeader(status)
}

// serve answers one request.
func (v *Server) serve(l *listener, w http.ResponseWriter, hr *http.Request) {
	g := v.enter()
	defer g.leave()
	c := &visit{Server: v, w: w, hr: hr, rc: http.NewResponseController(w), gen: g, idle: g.site.Limits.BodyIdle.Or(time.Minute)}
	remote, _ := netip.ParseAddrPort(hr.RemoteAddr)
	c.vars = variables{hr: hr, remote: remote.Addr().Unmap(), scheme: "http", port: l.port}
	if hr.TLS != nil {
		c.vars.scheme = "https"
	}
	c.log = entry{remote: c.vars.remote.String(), method: hr.Method, uri: hr.RequestURI, proto: hr.Proto, referer: hr.Referer(), agent: hr.UserAgent(),
		began: time.Now()}
	defer func() { v.access.write(&c.log) }()
	v.book.Accepted.Add(1)
	defer func() {
		switch p := recover(); {
		case p != nil:
			v.book.ClientLeft.Add(1) // its connection is broken
			panic(p)
		case !c.handed:
			v.book.Answered.Add(1)
		}
	}()
	if !l.table.Begin(hr.Context()) { // the connection is being closed to make room, or the process shuts down
		w.Header().Set("Connection", "close")
		c.refuse(fullRetryAfter, true)
		return
	}
	if conn := clients.FromContext(hr.Context()); conn != nil && conn.HasTooManyFields(hr.Header) {
		w.Header().Set("Connection", "close")
		c.here(http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("head: too many fields: send at most %d\n", clients.DefaultMaxHeadFields))
		return
	}
	if l.table.IsCrowded() {
		w.Header().Set("Connection", "close") // closing an idle connection may cross a request; closing after an answer can't
	}
	c.rc.SetWriteDeadline(c.log.began.Add(streamTimeout))
	most := int64(g.site.Limits.Requests)
	if most == 0 {
		most = math.MaxInt64
	}
	if v.open.Add(1) > most {
		v.open.Add(-1)
		c.refuse(fullRetryAfter, true)
		return
	}
	defer v.open.Add(-1)
	path := receivedPath(hr)
	if !httpguts.ValidHostHeader(hr.Host) { // net/http checks the field, and not the host of an absolute target
		c.here(http.StatusBadRequest, "Host: not the name of a host\n")
		return
	}
	m := c.find(l.site.Name, path)
	switch m.Outcome {
	case route.Found:
		c.tg = &g.targets[m.Route]
		c.route(path)
	case route.NoMethod:
		var allow []string
		for _, t := range m.Location.Targets {
			allow = append(allow, t.Methods...)
		}
		w.Header().Set("Allow", strings.Join(allow, ", "))
		c.here(http.StatusMethodNotAllowed, "")
	default:
		if c.vars.uri == "" {
			c.here(http.StatusBadRequest, "the path can't be read\n")
			return
		}
		c.here(http.StatusNotFound, "")
	}
}

// receivedPath returns the path of the request target as the client sent it. net/url decodes a path, and encodes it anew if it contains
// a byte that needs it, so an encoded slash becomes a slash.
func receivedPath(hr *http.Request) string {
	if hr.Method == http.MethodOptions && hr.RequestURI == "*" {
		return "/"
	}
	path, _, _ := strings.Cut(hr.RequestURI, "?")
	if _, rest, isAbsolute := strings.Cut(path, "://"); isAbsolute && path[0] != '/' {
		slash := strings.IndexByte(rest, '/')
		if slash < 0 {
			return ""
		}
		return rest[slash:]
	}
	return path
}

// find returns the route of a request. A path that can't be normalized has none.
func (c *visit) find(listener, raw string) route.Match {
	uri, err := route.Normalize(raw, true)
	if err != nil {
		return route.Match{Outcome: route.NoLocation}
	}
	c.vars.uri = uri
	m := c.gen.table.Lookup(listener, c.hr.Host, uri, c.hr.Method)
	if m.Outcome != route.NoServer && c.gen.site.Servers[m.Server].Slashes == "keep" {
		if uri, err = route.Normalize(raw, false); err == nil {
			c.vars.uri = uri
			m = c.gen.table.Lookup(listener, c.hr.Host, uri, c.hr.Method)
		}
	}
	return m
}

// here answers without a backend.
func (c *visit) here(status int, text string) {
	c.log.end, c.log.status = "here", status
	if text == "" {
		text = http.StatusText(status) + "\n"
	}
	c.rc.SetWriteDeadline(time.Now().Add(c.idle))
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.head(status)
	n, _ := io.WriteString(c.w, text)
	c.log.bytes = int64(n)
}

// refuse answers that a retry does no harm, and after which time. neverRan adds that no attempt has run, which is not known of every
// safe request.
func (c *visit) refuse(in time.Duration, neverRan bool) {
	if in > 0 {
		c.w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(in.Seconds()))))
		c.w.Header().Set("X-Retry-After-Ms", strconv.FormatInt(in.Milliseconds(), 10))
	}
	if neverRan {
		c.w.Header().Set(neverRanHeader, "1")
	}
	c.here(http.StatusServiceUnavailable, "refused: sending it again does no harm\n")
	c.log.end = "refused"
}

// route handles a request whose route is known.
func (c *visit) route(path string) {
	if !allowed(c.tg.access, c.vars.remote) {
		c.here(http.StatusForbidden, "")
		c.log.end = "denied"
		return
	}
	if c.tg.Status != 0 {
		c.fixed()
		return
	}
	s := c.session()
	r, m, status, err := c.read(path)
	if err == errTurned {
		return // it has been answered
	}
	defer c.noted()
	if err != nil {
		c.w.Header().Set("Connection", "close")
		c.here(status, err.Error()+"\n")
		var invalid *http1.InvalidError
		if errors.As(err, &invalid) {
			c.noteInvalid(invalid)
		}
		if c.hr.Header.Get("Expect") == "" {
			c.drain()
		}
		return
	}
	c.log.pool = c.tg.Pool
	defer c.close(m)
	t, ok := c.admit(s, r, m)
	if !ok {
		return
	}
	p := c.tg.pool
	c.goes()
	overdue := m.newOverdueCheck(r.Deadline)
	defer overdue.timer.Stop()
	p.loop.Post(func() { p.loop.Arrive(r) })
	c.await(t, r, m, overdue)
}

// noteInvalid logs and counts a request that can't be encoded for a backend.
func (c *visit) noteInvalid(err *http1.InvalidError) {
	c.log.end = "invalid"
	c.invalidLog.Warn("request can't be encoded for a backend: answered 400", "route", c.tg.Place, "pool", c.tg.Pool, "part", err.Part,
		"field", err.Field, "total", c.invalidCount.Add(1))
}

const (
	// overdueMargin is how long after its deadline a request is answered by its handler, if the loop has not answered it.
	overdueMargin = 100 * time.Millisecond
	// bodyCheckInterval is the interval at which a handler checks whether the last byte of a body that streams has come.
	bodyCheckInterval = 100 * time.Millisecond
)

// overdueCheck determines when the answer to a request is overdue.
type overdueCheck struct {
	timer   *time.Timer
	message *message
}

// newOverdueCheck returns a check whose timer has to be stopped. The deadline of a body that streams is known with its last byte.
func (m *message) newOverdueCheck(deadline time.Time) *overdueCheck {
	if m.rest != nil {
		return &overdueCheck{timer: time.NewTimer(bodyCheckInterval), message: m}
	}
	return &overdueCheck{timer: time.NewTimer(time.Until(deadline) + overdueMargin), message: m}
}

// isOverdue is called when the timer has fired. If it reports false, the timer runs again.
func (o *overdueCheck) isOverdue() bool {
	if o.message.rest == nil {
		return true
	}
	deadline, known := o.message.answerBy()
	if known && time.Since(deadline) > overdueMargin {
		return true
	}
	o.timer.Reset(bodyCheckInterval)
	return false
}

// await waits for the answer to a request and passes it on.
func (c *visit) await(t cluster.Ticket, r *engine.Request, m *message, overdue *overdueCheck) {
	p := c.tg.pool
	for {
		select {
		case <-m.ready:
			c.served(r, m)
			if m.attempts.Load() > 1 {
				delete(m.reply.header, neverRanHeader) // true of this backend, and not of those before it
			}
			m.tenant.Ask(true)
			c.ended(t, m, nil)
			c.pass(m.reply)
		case a := <-r.Reply:
			c.endUnserved(t, r, m, a)
		case <-overdue.timer.C:
			if !overdue.isOverdue() || !r.ClaimAnswer() { // if it is not claimed, another answer is on its way
				continue
			}
			p.loop.PostFirst(func() { p.loop.ClientGone(r) })
			c.endUnserved(t, r, m, engine.Answer{Kind: engine.Failed, Late: true, MayHaveRun: true})
		case <-c.hr.Context().Done():
			p.loop.Post(func() { p.loop.ClientGone(r) })
			c.log.end = "gone"
			panic(http.ErrAbortHandler) // net/http would send an empty 200
		case <-p.loop.Done(): // the pool has ended
			c.here(http.StatusBadGateway, "")
			c.log.end = "failed"
		}
		return
	}
}

// endUnserved answers a request that no backend has served.
func (c *visit) endUnserved(t cluster.Ticket, r *engine.Request, m *message, a engine.Answer) {
	m.tenant.Ask(a.Kind != engine.Refused)
	c.ended(t, m, &a)
	c.unserved(r, m, a)
	c.answer(m, a)
}

// close releases what a message holds.
func (c *visit) close(m *message) {
	c.log.attempts = m.attempts.Load()
	late, pumping := m.leave()
	if late != nil {
		late.drop() // no effect if the answer was passed on
	}
	switch {
	case m.rest == nil:
	case !pumping:
		if c.log.status != 0 { // an answer has been written
			c.drain()
		}
	default:
		c.stop(m)
	}
}

// stop ends the reading of a body, which must not outlive the handler. It waits for a pump that has reached the end of the body, and
// pumpGrace for one that may be about to, because a read deadline that passes after the end would end the connection under the
// client's next request. It interrupts a pump that still waits for the client. That connection ends with the rest of the body unread.
func (c *visit) stop(m *message) {
	if c.log.status != 0 {
		c.rc.Flush() // the answer must not wait for the pump
	}
	t := time.NewTimer(pumpGrace)
	defer t.Stop()
	select {
	case <-m.pumped:
		return
	case <-t.C:
	}
	if !m.whole.Load() {
		c.rc.SetReadDeadline(time.Unix(1, 0))
	}
	<-m.pumped
	if _, mayBeComplete := m.answerBy(); mayBeComplete && !m.whole.Load() && c.log.status != 0 {
		c.drain() // the client may read after its last byte only, and a close with unread bytes would reset its connection
	}
}

// drain reads a part of the body of a rejected request. Closing a connection with unread bytes sends a reset, which can overtake the
// answer.
func (c *visit) drain() {
	c.rc.Flush()
	c.rc.SetReadDeadline(time.Now().Add(drainTimeout))
	io.CopyN(io.Discard, c.hr.Body, maxDrainBytes)
}

// fixed answers with the status of the route.
func (c *visit) fixed() {
	for _, h := range c.tg.Add {
		c.w.Header().Set(h.Name, c.vars.expand(h.Value, inField))
	}
	switch {
	case site.IsRedirect(c.tg.Status):
		c.w.Header().Set("Location", c.vars.expand(c.tg.Text, inReference))
		c.here(c.tg.Status, "")
	case c.tg.Status == http.StatusNoContent, c.tg.Status == http.StatusNotModified:
		c.log.end, c.log.status = "here", c.tg.Status
		c.head(c.tg.Status)
	default:
		c.here(c.tg.Status, c.vars.expand(c.tg.Text, inField))
	}
}
