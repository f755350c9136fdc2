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

// answer writes the engine's answer to a request that no backend served.
func (c *visit) answer(m *message, a engine.Answer) {
	switch a.Kind {
	case engine.Refused:
		c.refuse(a.RetryAfter, !a.MayHaveRun)
	default:
		c.log.end = "failed"
		if re, ok := a.Body.(*reply); ok && !a.Late {
			if a.MayHaveRun {
				delete(re.header, neverRanHeader) // true of this backend, and not of those before it
			}
			c.pass(re) // the backend's own error
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

// pass sends the answer of a backend to the client.
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
		h["Content-Type"] = nil // otherwise net/http guesses one
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
	defer re.drop() // no effect after a clean end
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
		panic(http.ErrAbortHandler) // the client sees that the answer is not whole
	}
	for name, values := range re.trailer() {
		for _, v := range values {
			h.Add(name, v)
		}
	}
	re.release(true)
}

// buffers are used to copy bodies.
var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// copy sends a body to the client as it arrives, in bounded memory.
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
			if re.length < 0 { // an answer without a length may be a stream of events
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

// tunnel copies bytes both ways after a change of protocol, until one side ends.
func (c *visit) tunnel(re *reply) {
	backend := re.tunnel
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
		n, _ := io.Copy(client, backend.Reader)
		closeWrite(client)
		ended <- n
	}()
	go func() {
		io.Copy(backend, rw)
		closeWrite(backend.Conn)
		ended <- 0
	}()
	c.log.bytes += <-ended
	// One side has ended. The other may pause as long as within an answer.
	t := time.AfterFunc(c.idle, func() { client.Close(); backend.Close() })
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

// closeWrite closes the writing side of a connection, or all of it if it has no sides.
func closeWrite(c net.Conn) {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		w.CloseWrite()
	} else {
		c.Close()
	}
}
