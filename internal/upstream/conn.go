// Package upstream holds the connections of a front end to its backends. It dials, keeps and reuses them, and notices bytes that
// belong to no request. Package reuse decides which connection may carry a request. The package writes no request and reads no
// answer.
package upstream

import (
	"bufio"
	"cmp"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"glencart/internal/engine"
	"glencart/internal/sock"
	"glencart/reuse"
)

// Conn is a connection to a backend. It carries one request at a time.
type Conn struct {
	net.Conn
	Number  uint64 // among the connections of its pool, from 1
	To      engine.Endpoint
	Limit   io.LimitedReader // bounds the bytes of one answer
	Reader  *bufio.Reader
	IdleAt  time.Time     // when it was last put into the pool
	IdleAge time.Duration // idle time when it was last taken
	State   reuse.Conn
	// OwnDelay is how long the current exchange has waited by a decision of this process, and not for its backend: for the connection to
	// be quiet, or with an answer held back.
	OwnDelay time.Duration

	watch      *watch // while it is idle
	hasSurplus bool   // surplus was noticed in the current exchange, so it is closed behind that
}

// NewConn returns a Conn over a connection that has carried nothing.
func NewConn(nc net.Conn, to engine.Endpoint, number uint64, readBufferBytes int) *Conn {
	c := &Conn{Conn: nc, To: to, Number: number}
	c.Limit.R = nc
	c.Reader = bufio.NewReaderSize(&c.Limit, readBufferBytes)
	return c
}

// IsUsable reports whether an idle connection is still up and has no unread bytes. A backend that restarted under
// the same address leaves connections behind on which a request would be lost.
func (c *Conn) IsUsable() bool {
	return c.Reader.Buffered() == 0 && sock.IsIdle(c.socket())
}

// hasUnreadBytes reports whether bytes of the backend's have arrived that nobody has read. Of an encrypted connection it sees
// only those that are decrypted already, because the others may be no part of an answer.
func (c *Conn) hasUnreadBytes() bool {
	if c.Reader.Buffered() > 0 {
		return true
	}
	if _, isTLS := c.Conn.(*tls.Conn); isTLS {
		return false
	}
	n, _ := sock.Peek(c.Conn)
	return n > 0
}

// mayBeginAnswer reports whether the unread bytes, of which some have arrived, can be the beginning of an answer.
func (c *Conn) mayBeginAnswer() bool {
	unread, _ := c.Reader.Peek(min(c.Reader.Buffered(), len(answerStart)))
	return strings.HasPrefix(answerStart, string(unread))
}

// maxNoiseBytes bounds the bytes ahead of an answer that are discarded, and noiseWait is how long the answer may follow behind them.
const maxNoiseBytes, noiseWait = watchedBytes, 250 * time.Millisecond

// DiscardNoise discards bytes ahead of the next answer that begin none, and returns how many. Without such bytes it only waits for the
// answer. An error behind noise says that no answer followed.
func (c *Conn) DiscardNoise(deadline time.Time) (discarded int, err error) {
	c.Limit.N = watchedBytes + int64(len(answerStart))
	for discarded < maxNoiseBytes {
		unread, err := c.Reader.Peek(len(answerStart))
		switch {
		case string(unread) == answerStart:
			c.SetReadDeadline(deadline)
			return discarded, nil
		case err != nil && discarded == 0:
			return 0, nil // the caller's read gets the same error
		case err != nil:
			return discarded, fmt.Errorf("%d bytes that begin no answer: %v", discarded, err)
		case discarded == 0:
			c.SetReadDeadline(earlier(deadline, time.Now().Add(noiseWait)))
		}
		c.Reader.Discard(1)
		discarded++
	}
	return discarded, fmt.Errorf("over %d bytes that begin no answer", maxNoiseBytes)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// socket returns the connection below TLS.
func (c *Conn) socket() net.Conn {
	if t, isTLS := c.Conn.(*tls.Conn); isTLS {
		return t.NetConn()
	}
	return c.Conn
}

// backendKey identifies a backend in the policy. A restarted backend keeps its key, because it runs the same release.
func backendKey(to engine.Endpoint) string { return cmp.Or(to.ID, to.Addr) }
