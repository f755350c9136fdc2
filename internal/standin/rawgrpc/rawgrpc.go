// Package rawgrpc is a scripted peer that speaks HTTP/2 frame by frame (RFC 9113) as a gRPC server would, and breaks
// off where its script says so: GOAWAY with any last stream id, RST_STREAM, a connection that ends after any byte.
package rawgrpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"glencart/internal/standin"
)

// Peer is a scripted server.
type Peer struct {
	Addr string
	raw  *standin.Raw

	mu    sync.Mutex
	heads int // streams whose headers came
	whole int // calls that came whole
	conns int
}

// Conn is one connection of a client.
type Conn struct {
	net.Conn
	Number int // from 0
	fr     *http2.Framer
	mu     sync.Mutex
}

// Script is what a peer does. Each function may be nil.
type Script struct {
	Head  func(c *Conn, id uint32)              // a stream's headers have come
	Data  func(c *Conn, id uint32, n int)       // so many bytes of its message so far, not all
	Whole func(c *Conn, id uint32, name string) // the call came whole: the string that it carried
}

// Start starts a peer on a free port. It ends with the test.
func Start(t testing.TB, script Script) *Peer {
	p := &Peer{}
	p.raw = standin.NewRaw(t, "127.0.0.1:0", func(nc net.Conn, br *bufio.Reader) { p.serve(nc, br, script) })
	p.Addr = p.raw.Addr().String()
	return p
}

// Counts tells how many streams began, and how many calls came whole.
func (p *Peer) Counts() (heads, whole int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heads, p.whole
}

func (p *Peer) count(heads, whole int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heads += heads
	p.whole += whole
}

// GoAway tells the client that streams above last were not processed.
func (c *Conn) GoAway(last uint32) { c.write(func() { c.fr.WriteGoAway(last, http2.ErrCodeNo, nil) }) }

// Reset ends a stream.
func (c *Conn) Reset(id uint32, code http2.ErrCode) {
	c.write(func() { c.fr.WriteRSTStream(id, code) })
}

// Break ends the connection with an RST.
func (c *Conn) Break() { standin.Reset(c.Conn) }

// Answer ends a stream with a message, or with a status alone where text is empty. fields are further trailers.
func (c *Conn) Answer(id uint32, text, status string, fields ...string) {
	c.write(func() {
		if text != "" {
			msg, _ := proto.Marshal(wrapperspb.String(text))
			frame := append([]byte{0}, binary.BigEndian.AppendUint32(nil, uint32(len(msg)))...)
			c.headers(id, false, ":status", "200", "content-type", "application/grpc")
			c.fr.WriteData(id, false, append(frame, msg...))
			c.headers(id, true, append([]string{"grpc-status", status}, fields...)...)
			return
		}
		c.headers(id, true, append([]string{":status", "200", "content-type", "application/grpc", "grpc-status", status}, fields...)...)
	})
}

func (c *Conn) write(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *Conn) headers(id uint32, end bool, fields ...string) {
	var b bytes.Buffer
	enc := hpack.NewEncoder(&b)
	for i := 0; i+1 < len(fields); i += 2 {
		enc.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	c.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: b.Bytes(), EndHeaders: true, EndStream: end})
}

// serve reads frames until the connection ends. Flow control is never opened beyond the first window.
func (p *Peer) serve(nc net.Conn, br *bufio.Reader, script Script) {
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(br, preface); err != nil {
		return
	}
	p.mu.Lock()
	c := &Conn{Conn: nc, Number: p.conns, fr: http2.NewFramer(nc, br)}
	p.conns++
	p.mu.Unlock()
	c.write(func() { c.fr.WriteSettings() })
	got := map[uint32][]byte{}
	for {
		f, err := c.fr.ReadFrame()
		if err != nil {
			return
		}
		switch f := f.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				c.write(func() { c.fr.WriteSettingsAck() })
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				data := f.Data
				c.write(func() { c.fr.WritePing(true, data) })
			}
		case *http2.HeadersFrame:
			p.count(1, 0)
			if script.Head != nil {
				script.Head(c, f.StreamID)
			}
		case *http2.DataFrame:
			id := f.StreamID
			got[id] = append(got[id], f.Data()...)
			if !f.StreamEnded() {
				if script.Data != nil {
					script.Data(c, id, len(got[id]))
				}
				continue
			}
			p.count(0, 1)
			var msg wrapperspb.StringValue
			if len(got[id]) >= 5 {
				proto.Unmarshal(got[id][5:], &msg)
			}
			delete(got, id)
			if script.Whole != nil {
				script.Whole(c, id, msg.Value)
			}
		}
	}
}
