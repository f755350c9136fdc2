package node

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"glencart/internal/sock"
)

// framing watches how the requests on a client's connection are framed, as they pass. net/http drops
// Content-Length where Transfer-Encoding stands beside it, before a handler can see both; yet such a request may
// hide another in its body from who goes by the length. Nothing is held back or changed here.
type framing struct {
	// unsure: a head gave its length in two ways, or in a way that can't be followed. It is never taken back:
	// where a request ends is not known any more, so nothing further on the connection can be trusted.
	unsure atomic.Bool
	// chunked: a body came in chunks, whose end is not looked for here: this request is the last one.
	chunked atomic.Bool

	// asking: a whole request has been read, and not been answered.
	asking atomic.Bool

	readAt atomic.Int64 // when a byte came last, Unix time in nanoseconds

	line   []byte // the head's line so far, cut at lineMost
	long   bool   // and whether it is longer
	length int64  // by the head so far; -1 when it gives none
	coded  bool   // the head has Transfer-Encoding
	rest   int64  // of the body
}

// lineMost is longer than any line that matters here.
const lineMost = 64

// saw takes in what has been read.
func (f *framing) saw(p []byte) {
	for len(p) > 0 && !f.unsure.Load() && !f.chunked.Load() {
		if f.rest > 0 {
			n := min(f.rest, int64(len(p)))
			f.rest -= n
			p = p[n:]
			if f.rest == 0 {
				f.asking.Store(true)
			}
			continue
		}
		part := p
		end := bytes.IndexByte(p, '\n')
		if end >= 0 {
			part, p = p[:end], p[end+1:]
		} else {
			p = nil
		}
		room := min(lineMost-len(f.line), len(part))
		f.line, f.long = append(f.line, part[:room]...), f.long || room < len(part)
		if end >= 0 {
			f.headLine()
			f.line, f.long = f.line[:0], false
		}
	}
}

// headLine takes in a line of a head.
func (f *framing) headLine() {
	line := strings.TrimSuffix(string(f.line), "\r")
	name, value, _ := strings.Cut(line, ":")
	switch {
	case line == "" && !f.long:
		switch {
		case f.coded && f.length >= 0:
			f.unsure.Store(true)
		case f.coded:
			f.chunked.Store(true)
		case f.length <= 0:
			f.asking.Store(true)
		}
		f.rest, f.length, f.coded = max(f.length, 0), -1, false
	case strings.EqualFold(strings.TrimSpace(name), "Transfer-Encoding"):
		f.coded = true
	case strings.EqualFold(strings.TrimSpace(name), "Content-Length"):
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
		if err != nil || f.long || f.length >= 0 && f.length != int64(n) {
			f.unsure.Store(true)
			return
		}
		f.length = int64(n)
	}
}

// framedConn is a client's connection under watch.
type framedConn struct {
	net.Conn
	framing
}

func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.readAt.Store(time.Now().UnixNano())
	}
	c.saw(p[:n])
	return n, err
}

// unread tells whether something has come on the connection that has not been read.
func (c *framedConn) unread() bool {
	b, ok := c.Conn.(*boundedConn)
	if !ok {
		return false
	}
	n, _ := sock.Peek(b.Conn)
	return n > 0
}

// CloseWrite lets net/http end its side first, so that a client that still sends can read its answer.
func (c *framedConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

type connKey struct{}

// withConn keeps a client's connection where its requests find it.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*framedConn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the connection that a request came on.
func connOf(ctx context.Context) *framedConn {
	c, _ := ctx.Value(connKey{}).(*framedConn)
	return c
}
