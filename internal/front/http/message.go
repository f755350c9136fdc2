package httpfront

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"glencart/internal/clients"
	"glencart/internal/cluster"
	"glencart/internal/http1"
	"glencart/internal/upstream"
)

const (
	// usualHeadBytes is the room for the head of a request at first.
	usualHeadBytes = 1 << 10
	// maxFramingBytes is the room for the framing field, the empty line and the size of a chunk.
	maxFramingBytes = 64
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

// encodeHead encodes the head of a request, but for the fields that frame its body. Attempts write it as it is.
func (m *message) encodeHead(header http.Header) (err error) {
	m.head, err = http1.AppendRequest(make([]byte, 0, usualHeadBytes), m.method, m.target, m.host, header)
	return err
}

// announceTrailers encodes the Trailer field, which names the trailers that will follow a body in chunks.
func (m *message) announceTrailers() (err error) {
	strip(m.trailer)
	names := slices.Sorted(maps.Keys(m.trailer))
	if len(names) == 0 {
		return nil
	}
	m.announced, err = http1.AppendFields(nil, http.Header{"Trailer": {strings.Join(names, ", ")}})
	return err
}

// encodeClosing returns the end of a chunked body, with the trailers that came.
func (m *message) encodeClosing() ([]byte, error) {
	strip(m.trailer) // no trailer may frame a message (RFC 9110, section 6.5.1), announced or not
	b, err := http1.AppendFields([]byte("0\r\n"), m.trailer)
	return append(b, "\r\n"...), err
}

// encode returns the head of a request and the part of its body that is held, in one piece.
func (m *message) encode() []byte {
	b := make([]byte, 0, len(m.head)+len(m.held)+len(m.announced)+len(m.closing)+maxFramingBytes)
	b = append(b, m.head...)
	switch {
	case m.upgrade:
		b = append(b, "Connection: Upgrade\r\n"...)
	case m.length < 0:
		b = append(append(b, m.announced...), "Transfer-Encoding: chunked\r\n"...)
	case m.length > 0 || m.method != http.MethodGet && m.method != http.MethodHead:
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), m.length, 10), "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if m.length < 0 && len(m.held) > 0 {
		b = append(strconv.AppendInt(b, int64(len(m.held)), 16), "\r\n"...)
		b = append(append(b, m.held...), "\r\n"...)
	} else {
		b = append(b, m.held...)
	}
	return append(b, m.closing...)
}

// pump sends what is left of a client's body, as it comes. A client that sends nothing for idle has given up.
func (m *message) pump(cn *upstream.Conn, idle time.Duration) error {
	defer close(m.pumped)
	buf := make([]byte, 32<<10)
	for {
		m.extend(idle)
		n, err := m.rest.Read(buf[16 : len(buf)-2])
		if n > 0 {
			out := buf[16 : 16+n]
			if m.length < 0 {
				head := append(strconv.AppendInt(buf[:0:16], int64(n), 16), "\r\n"...)
				copy(buf[16-len(head):], head)
				out = append(buf[16-len(head):16+n], "\r\n"...)
			}
			cn.SetWriteDeadline(time.Now().Add(idle))
			if _, err := cn.Write(out); err != nil {
				return err
			}
		}
		if err == io.EOF {
			m.whole.Store(true)
			m.extend(0) // a deadline that passes later would look as if the client had gone
			if m.length < 0 {
				cn.SetWriteDeadline(time.Now().Add(idle))
				closing, err := m.encodeClosing()
				if err != nil {
					m.cut.Store(true)
					return err
				}
				_, err = cn.Write(closing)
				return err
			}
			return nil
		}
		if err != nil {
			m.cut.Store(true)
			return err
		}
	}
}
