package httpfront

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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
	// bufferUsual is how much of a body is held so that it can be sent again.
	bufferUsual = 64 << 10
	// streamWithin bounds a request whose body streams: its idle times are what counts.
	streamWithin = 24 * time.Hour
	// early is how much sooner than its class's deadline a request ends, so that the answer is there in time.
	early = 5 * time.Millisecond
	// drainMost and drainWithin bound what is read of a body that is turned away.
	drainMost, drainWithin = 16 << 20, 2 * time.Second
	// pumpGrace is how long a body may take to end that an answer has overtaken.
	pumpGrace = 100 * time.Millisecond
	// fullRetry is when a client may come back that was refused because the node is full.
	fullRetry = 250 * time.Millisecond
)

// message is a request on its way to boxes.
type message struct {
	method, target, host string
	head                 []byte // encoded, without the fields that frame the body
	held                 []byte // the body, or the part of it that is held
	length               int64  // of the body; -1: in chunks
	trailer              http.Header
	announced            []byte // the encoded Trailer field; nil: there are no trailers
	closing              []byte // the encoded end of a held body in chunks
	upgrade              bool
	unsafe               bool
	within               time.Duration // until the answer's head, from the last byte of a body that streams
	attempts             atomic.Int32
	client               *clients.Conn   // whose it is; nil: it can't be looked at
	tenant               *cluster.Tenant // whose use is counted over all instances; nil: nobody's
	full                 atomic.Bool     // a box said that it has no room for it

	// What streams: the rest of the body, which one attempt reads from the client.
	rest   io.Reader
	extend func(time.Duration) // of the client's time to send more; 0: it has sent all
	taken  atomic.Bool         // an attempt has it
	cut    atomic.Bool         // the client broke off
	whole  atomic.Bool         // it has sent all
	pumped chan struct{}       // closed when it is not read any more

	mu      sync.Mutex
	left    bool // the client waits for nothing any more
	pumping bool
	reply   *reply
	ready   chan struct{} // closed when reply is there
}

// begin has an attempt read the rest of the body, unless the client's side is over.
func (m *message) begin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pumping = !m.left
	return m.pumping
}

// hand passes an answer on to the client's side.
func (m *message) hand(r *reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left {
		r.drop()
		return
	}
	m.reply = r
	close(m.ready)
}

// leave ends the client's side, and returns an answer that came too late for it.
func (m *message) leave() (late *reply, pumping bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = true
	return m.reply, m.pumping
}

// visit is one request of a client, from its head to the end of its answer.
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
	handed bool // the connection is not HTTP's any more, and the request counts as answered
}

// head writes the head of the answer. Who is answered while the process ends is to ask elsewhere next.
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
	if !l.table.Begin(hr.Context()) { // it gives way, or the process ends
		w.Header().Set("Connection", "close")
		c.refuse(fullRetry, true)
		return
	}
	if l.table.IsCrowded() {
		w.Header().Set("Connection", "close") // after an answer crosses no request, as closing an idle connection may
	}
	c.rc.SetWriteDeadline(c.log.began.Add(streamWithin))
	most := int64(g.site.Limits.Requests)
	if most == 0 {
		most = math.MaxInt64
	}
	if v.open.Add(1) > most {
		v.open.Add(-1)
		c.refuse(fullRetry, true)
		return
	}
	defer v.open.Add(-1)
	path := hr.URL.EscapedPath()
	if hr.Method == http.MethodOptions && hr.RequestURI == "*" {
		path = "/"
	}
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

// find looks a request up. A path that can't be normalised is found nowhere.
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

// here answers without any box.
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

// refuse tells the client that trying again is harmless, and when it may do so. That it never ran is told where that is
// known: what is safe may be refused when it has run.
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

// route deals with a request whose route is known.
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
		return // it has its answer
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
	overdue, stopTimer := m.overdue(r.Deadline)
	defer stopTimer()
	p.loop.Post(func() { p.loop.Arrive(r) })
	c.await(t, r, m, overdue)
}

// noteInvalid logs and counts a request that can't be encoded for a backend.
func (c *visit) noteInvalid(err *http1.InvalidError) {
	c.log.end = "invalid"
	c.invalidLog.Warn("request can't be encoded for a backend: answered 400", "route", c.tg.Place, "pool", c.tg.Pool, "part", err.Part,
		"field", err.Field, "total", c.invalidCount.Add(1))
}

// overdueMargin is how long after its deadline a request is answered by its handler, if the loop has not answered it.
const overdueMargin = 100 * time.Millisecond

// overdue returns a channel that receives a value when the answer to a request is overdue. A body that streams has no such time.
func (m *message) overdue(deadline time.Time) (at <-chan time.Time, stop func()) {
	if m.rest != nil {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(deadline) + overdueMargin)
	return timer.C, func() { timer.Stop() }
}

// await waits for the answer to a request and passes it on.
func (c *visit) await(t cluster.Ticket, r *engine.Request, m *message, overdue <-chan time.Time) {
	p := c.tg.pool
	for {
		select {
		case <-m.ready:
			c.served(r, m)
			if m.attempts.Load() > 1 {
				delete(m.reply.header, neverRanHeader) // this box knows nothing of the others
			}
			m.tenant.Ask(true)
			c.ended(t, m, nil)
			c.pass(m.reply)
		case a := <-r.Reply:
			c.endUnserved(t, r, m, a)
		case <-overdue:
			if !r.ClaimAnswer() {
				overdue = nil // another answer is on its way
				continue
			}
			p.loop.PostFirst(func() { p.loop.ClientGone(r) })
			c.endUnserved(t, r, m, engine.Answer{Kind: engine.Failed, Late: true, MayHaveRun: true})
		case <-c.hr.Context().Done():
			p.loop.Post(func() { p.loop.ClientGone(r) })
			c.log.end = "gone"
			panic(http.ErrAbortHandler) // returning would word an empty 200
		case <-p.loop.Done(): // the node is ending
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

// close ends what a message holds.
func (c *visit) close(m *message) {
	c.log.attempts = m.attempts.Load()
	late, pumping := m.leave()
	if late != nil {
		late.drop() // nothing, where the answer was passed on
	}
	switch {
	case m.rest == nil:
	case !pumping:
		if c.log.status != 0 { // an answer has been worded
			c.drain()
		}
	default:
		c.stop(m)
	}
}

// stop ends the reading of a body: it belongs to this handler, and nobody may read on after it. A pump that has met the end
// of the body is waited for, and one that may be about to is given a moment: a read deadline that passes behind the end
// would end the connection under the client's next request. One that still waits for the client is broken off, and its
// connection ends in any case, with the rest of the body unread.
func (c *visit) stop(m *message) {
	if c.log.status != 0 {
		c.rc.Flush() // the answer does not wait for this
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
}

// drain reads on for a while where a body is turned away: closing with something unread makes a reset, which can overtake
// the answer.
func (c *visit) drain() {
	c.rc.Flush()
	c.rc.SetReadDeadline(time.Now().Add(drainWithin))
	io.CopyN(io.Discard, c.hr.Body, drainMost)
}

// fixed answers as the route says.
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

// answer words what the engine has decided where no box's answer is to be passed on as it is.
func (c *visit) answer(m *message, a engine.Answer) {
	switch a.Kind {
	case engine.Refused:
		c.refuse(a.RetryAfter, !a.MayHaveRun)
	default:
		c.log.end = "failed"
		if re, ok := a.Body.(*reply); ok && !a.Late {
			if a.MayHaveRun {
				delete(re.header, neverRanHeader) // true of this box, and not of one that was asked before
			}
			c.pass(re) // the box's own words for its failure
			c.log.end = "failed"
			return
		}
		switch {
		case m.cut.Load():
			c.w.Header().Set("Connection", "close")
			c.here(http.StatusRequestTimeout, "the body was cut short\n")
		case a.Late:
			c.here(http.StatusGatewayTimeout, "")
		default:
			c.here(http.StatusBadGateway, "")
		}
		c.log.end = "failed"
	}
}

// pass gives a box's answer to the client.
func (c *visit) pass(re *reply) {
	c.log.end, c.log.status, c.log.box = "served", re.status, re.to.ID
	if re.tunnel != nil {
		c.tunnel(re)
		return
	}
	h := c.w.Header()
	strip(re.header)
	for name, values := range re.header {
		h[name] = values
	}
	if re.header["Content-Type"] == nil {
		h["Content-Type"] = nil // none was given: guess none
	}
	if re.header["Date"] == nil {
		h["Date"] = nil
	}
	for _, x := range c.tg.Add {
		h.Set(x.Name, c.vars.expand(x.Value, inField))
	}
	if re.length >= 0 && re.status != http.StatusNoContent && re.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(re.length, 10))
	}
	if re.body == nil {
		c.rc.SetWriteDeadline(time.Now().Add(c.idle))
		c.head(re.status)
		n, _ := c.w.Write(re.held)
		c.log.bytes = int64(n)
		return
	}
	defer re.drop() // nothing, after a clean end
	if t := re.trailer(); len(t) > 0 {
		names := make([]string, 0, len(t))
		for name := range t {
			names = append(names, name)
		}
		h.Set("Trailer", strings.Join(names, ", "))
	}
	c.head(re.status)
	if err := c.copy(re); err != nil {
		c.log.end = "cut"
		panic(http.ErrAbortHandler) // the client can tell that it is not whole
	}
	for name, values := range re.trailer() {
		for _, v := range values {
			h.Add(name, v)
		}
	}
	re.release(true)
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// copy passes a body on as it comes, in bounded memory.
func (c *visit) copy(re *reply) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	cn := re.conn
	for {
		cn.SetReadDeadline(time.Now().Add(c.idle))
		n, err := re.body.Read(*buf)
		if n > 0 {
			c.rc.SetWriteDeadline(time.Now().Add(c.idle))
			w, werr := c.w.Write((*buf)[:n])
			c.log.bytes += int64(w)
			if werr != nil {
				return werr
			}
			if re.length < 0 { // what tells no length may be a stream of events
				if ferr := c.rc.Flush(); ferr != nil {
					return ferr
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// tunnel carries bytes both ways after a change of protocol, until either side ends.
func (c *visit) tunnel(re *reply) {
	box := re.tunnel
	head, err := re.encodeUpgraded()
	if err != nil {
		re.drop()
		c.here(http.StatusBadGateway, "")
		return
	}
	client, rw, err := c.rc.Hijack()
	if err != nil {
		re.drop()
		c.here(http.StatusBadGateway, "")
		return
	}
	defer client.Close()
	defer re.drop()
	c.handed = true
	c.book.Answered.Add(1)
	c.mu.Lock()
	c.tunnels[client] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.tunnels, client)
		c.mu.Unlock()
	}()
	client.SetDeadline(time.Time{})
	if _, err := client.Write(head); err != nil {
		return
	}
	ended := make(chan int64, 2)
	go func() {
		n, _ := io.Copy(client, box.Reader)
		closeWrite(client)
		ended <- n
	}()
	go func() {
		io.Copy(box, rw)
		closeWrite(box.Conn)
		ended <- 0
	}()
	c.log.bytes += <-ended
	// One side has ended: what the other still has to say may take as long as a pause within an answer.
	t := time.AfterFunc(c.idle, func() { client.Close(); box.Close() })
	defer t.Stop()
	c.log.bytes += <-ended
}

// encodeUpgraded returns the head of an answer that changes the protocol.
func (r *reply) encodeUpgraded() ([]byte, error) {
	protocol := r.header.Get("Upgrade")
	strip(r.header)
	r.header["Upgrade"] = []string{protocol}
	head, err := http1.AppendFields([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"), r.header)
	return append(head, "\r\n"...), err
}

func closeWrite(c net.Conn) {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		w.CloseWrite()
	} else {
		c.Close()
	}
}
