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

// message is a client's request in the form in which it goes to backends.
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
	client               *clients.Conn   // connection of the client; nil if it can't be checked
	tenant               *cluster.Tenant // whose use is counted over all instances; nil if it isn't
	full                 atomic.Bool     // a backend has rejected it for lack of room

	// Of a body that streams: its rest, which one attempt reads from the client.
	rest  io.Reader
	clock *clients.BodyClock
	// bodyTime is how long the rest took, in ns, which is no time of the backend.
	bodyTime atomic.Int64
	extend   func(time.Duration) // extends the time in which the client has to send more; 0: it has sent all
	taken    atomic.Bool         // an attempt reads it
	cut      atomic.Bool         // it ended before its last byte, or with invalid trailers
	whole    atomic.Bool         // the client has sent all
	pumped   chan struct{}       // closed when nobody reads it any more

	mu      sync.Mutex
	left    bool // the handler of the client has ended
	pumping bool
	reply   *reply
	ready   chan struct{} // closed when reply is set
}

// begin permits an attempt to read the rest of the body, unless the handler has ended.
func (m *message) begin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pumping = !m.left
	return m.pumping
}

// answerBy returns when a body that streams has to be answered. It reports false if the client has not sent its last byte.
func (m *message) answerBy() (time.Time, bool) {
	m.clock.Observe()
	sentSince, mayBeComplete := m.clock.SentSince()
	return sentSince.Add(m.within), mayBeComplete
}

// finalAnswerBy is answerBy for a body that has been read whole.
func (m *message) finalAnswerBy() time.Time {
	if at, ok := m.answerBy(); ok {
		return at
	}
	return time.Now().Add(m.within)
}

// hand passes an answer to the handler of the client.
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

// leave records that the handler ends, and returns an answer that it has not taken.
func (m *message) leave() (late *reply, pumping bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = true
	return m.reply, m.pumping
}

// encodeHead encodes the head without the fields that frame the body. All attempts use it.
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

// pump sends the rest of a client's body as it arrives. It ends if the client sends nothing for idle.
func (m *message) pump(cn *upstream.Conn, idle time.Duration) error {
	defer close(m.pumped)
	buf := make([]byte, 32<<10)
	for {
		m.extend(idle)
		n, err := m.rest.Read(buf[16 : len(buf)-2])
		m.clock.Observe()
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
