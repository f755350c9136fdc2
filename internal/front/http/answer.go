package httpfront

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"glencart/internal/engine"
	"glencart/internal/http1"
)

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
