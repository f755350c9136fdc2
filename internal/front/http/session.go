package httpfront

// This file has what is done so that an order that comes again, at another instance, is not run twice: the other instances are asked
// before it is given to the engine, and told how it ended. What is safe, or has no session, passes through here with a look at its class.

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"glencart/internal/cluster"
	"glencart/internal/engine"
	"glencart/internal/http1"
	"glencart/internal/site"
	"glencart/share"
)

// mayHaveRunHeader tells a client that what it sent again may have run before: it is to look before it sends it once more.
const mayHaveRunHeader = "X-May-Have-Run"

// session is what a client's request says of its session. The zero value says nothing.
type session struct {
	key      share.Key
	call     string // its own key; "": it is known by what was sent
	repeated bool
}

// session reads it, before headers are changed for the box.
func (c *visit) session() (s session) {
	f := c.gen.site.Fleet
	if c.others == nil || f.SessionHeader == "" && f.SessionCookie == "" {
		return s
	}
	value := ""
	if f.SessionCookie != "" {
		if k, err := c.hr.Cookie(f.SessionCookie); err == nil {
			value = k.Value
		}
	} else if list := c.hr.Header.Values(f.SessionHeader); len(list) == 1 {
		value = list[0]
	}
	if value == "" {
		return s
	}
	// Those of two tenants, or for two pools, are two sessions though their values be the same.
	space := f.SessionHeader + "\x00" + f.SessionCookie + "\x00" + c.tg.Pool
	if name := c.gen.site.Node.Tenant; name != "" {
		space += "\x00" + c.hr.Header.Get(name)
	}
	s.key, s.call = share.KeyOf(space, []byte(value)), c.hr.Header.Get("Idempotency-Key")
	s.repeated = f.RepeatHeader != "" && c.hr.Header.Get(f.RepeatHeader) == "1"
	return s
}

// admit asks whether a request may go. false: it has been answered.
func (c *visit) admit(s session, r *engine.Request, m *message) (cluster.Ticket, bool) {
	k := &c.gen.site.Classes[r.Class]
	if s.key == (share.Key{}) || k.Effect == site.SafeClass || m.upgrade || s.call == "" && m.rest != nil {
		return cluster.Ticket{}, true // also what streams and has no key of its own: what was sent is not known yet
	}
	q := cluster.Query{Key: s.key, Effect: share.Unsafe, Repeat: s.repeated}
	if k.Effect == "keyed" {
		// All boxes of a pool are one group: they drop each other's repeats.
		q.Effect, q.Group, q.Keep = share.Keyed, c.tg.Pool, time.Duration(k.Window)
	}
	what := m.method + "\x00" + m.target + "\x00"
	if s.call != "" {
		q.Call = share.CallOf([]byte(what + "key\x00" + s.call))
	} else {
		q.Call = share.CallOf(append([]byte(what+"body\x00"), m.held...))
	}
	ctx, stop := context.WithDeadline(c.hr.Context(), r.Deadline)
	defer stop()
	t, v := c.others.Admit(ctx, q)
	switch {
	case v.What == share.Go, v.What == share.GoTo && v.Group == c.tg.Pool:
		return t, true
	case v.What == share.Known && c.known(v.Answer):
	case v.What == share.Refuse:
		c.refuse(noRoomRetryAfter, true)
	case c.hr.Context().Err() != nil:
		c.log.end = "gone"
		panic(http.ErrAbortHandler) // as in route
	default:
		c.unsure(v.Why)
	}
	return t, false
}

// noRoomRetryAfter is the retry-after of an order for whose protection there is no room.
const noRoomRetryAfter = time.Second

// unsure fails a request in words. It is a conflict and not a refusal: sending it again does no good, nor is there a time to come back.
func (c *visit) unsure(why share.Cause) {
	c.w.Header().Set(mayHaveRunHeader, "1")
	c.here(http.StatusConflict, "not sent: "+why.String()+": look what became of it before you send it again\n")
	c.log.end = "unsure"
}

// ended tells how a request has ended that was asked for.
func (c *visit) ended(t cluster.Ticket, m *message, a *engine.Answer) {
	if t == (cluster.Ticket{}) {
		return
	}
	switch state := m.became(a); state {
	case share.Answered:
		t.Done(state, m.reply.to.ID, m.reply.keep())
	default:
		t.Done(state, "", "")
	}
}

// became is what is known of a call by how its request ended: a is the engine's answer, nil where a box's is passed on. A box's 429 is a
// refusal: kept as the answer, it would be given to every repeat, and the order could not be placed before the mark ends.
func (m *message) became(a *engine.Answer) share.State {
	switch {
	case a != nil && !a.MayHaveRun:
		return share.NeverRan
	case a != nil:
		return share.MayHaveRun
	case m.reply.status != http.StatusTooManyRequests:
		return share.Answered
	case m.unsafe || m.attempts.Load() <= 1: // what is unsafe is tried again only when it is known never to have run
		return share.NeverRan
	}
	return share.MayHaveRun
}

// tooLong stands for an answer that is not kept.
var tooLong = strings.Repeat("-", share.MaxAnswer+1)

// keep words a small answer, so that it can be given once more: its status, its header, its body.
func (r *reply) keep() string {
	if r.body != nil || r.tunnel != nil || len(r.held) > share.MaxAnswer {
		return tooLong
	}
	strip(r.header)
	b, err := http1.AppendFields([]byte(strconv.Itoa(r.status)+"\r\n"), r.header)
	if err != nil {
		return tooLong
	}
	return string(append(append(b, "\r\n"...), r.held...))
}

// known gives a client the answer that it, or somebody with its key, got before; false: it can't be read.
func (c *visit) known(text string) bool {
	line, rest, _ := strings.Cut(text, "\r\n")
	status, err := strconv.Atoi(line)
	if err != nil || status < 200 || status > 999 {
		return false
	}
	read := bufio.NewReader(strings.NewReader(rest))
	header, err := textproto.NewReader(read).ReadMIMEHeader()
	if err != nil {
		return false
	}
	body, _ := io.ReadAll(read)
	re := &reply{status: status, header: http.Header(header), length: int64(len(body)), held: body}
	re.header["Content-Length"] = nil
	c.pass(re)
	c.log.end = "known"
	return true
}

// tenantsUsed has the use of a site's tenants counted over all instances.
func (v *Server) tenantsUsed(s *site.Site) []*cluster.Tenant {
	if v.others == nil {
		return nil
	}
	limits := map[string]share.Limit{}
	for _, t := range s.Tenants {
		limits[t.Name] = share.Limit{Requests: t.Quota, Plan: t.Plan}
	}
	known, out := v.others.Tenants(limits), []*cluster.Tenant{}
	for _, t := range s.Tenants {
		out = append(out, known[t.Name])
	}
	return out
}
