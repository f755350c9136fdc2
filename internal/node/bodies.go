package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"glencart/balance"
	"glencart/internal/clients"
	"glencart/internal/engine"
	"glencart/internal/upstream"
	"glencart/reuse"
)

// This file handles bodies and answers of over maxBufferedBodyBytes bytes. They are held in pieces while there is room, and
// passed on as they arrive otherwise.

const (
	// maxUploadBytes bounds the body of a request in bytes, and so how long one client may keep sending.
	maxUploadBytes = 40 << 20
	// bodySilenceTimeout is how long a client may send no byte of its body. backendSilenceTimeout is how long a backend
	// may send no byte of its answer or read no byte of a request. readerTimeout is how long a client may read
	// no byte of its answer.
	bodySilenceTimeout, backendSilenceTimeout, readerTimeout = stalledRequestTimeout, 10 * time.Second, 20 * time.Second
	// minUploadRate is the minimum rate of a body in bytes per second, after an initial bodySilenceTimeout. Without it a
	// client that sends a byte now and then would hold its place. Clients at 64 kB per second must be served.
	minUploadRate = 16 << 10
)

var (
	errTooLong        = errors.New("body too long")
	errIncompleteBody = errors.New("body cut short")
	errClient         = errors.New("client connection failed")
	errNoRoom         = errors.New("no memory left for a body")
)

// pacedReader reads a client's body. Its timeout is on silence and on a low rate, because a slow client has not
// left.
type pacedReader struct {
	body      io.Reader
	rc        *http.ResponseController
	client    *clients.Conn // nil: unknown
	beganAt   time.Time
	bytesRead int64
}

func (p *pacedReader) Read(b []byte) (int, error) {
	now := time.Now()
	pace := p.beganAt.Add(bodySilenceTimeout + time.Duration(p.bytesRead)*time.Second/minUploadRate)
	if silent := now.Add(bodySilenceTimeout); silent.Before(pace) {
		pace = silent
	}
	p.rc.SetReadDeadline(pace)
	n, err := p.body.Read(b)
	p.bytesRead += int64(n)
	if errors.Is(err, io.EOF) {
		p.rc.SetReadDeadline(time.Time{}) // a deadline that passes later would look as if the client had left
		if p.client != nil {
			p.client.MarkBodyWhole()
		}
	}
	return n, err
}

// readBody reads the body of a request. It reads the whole body if it is short or there is room to hold it.
// Otherwise it reads the first part and leaves the rest in m.upload.
func (f *front) readBody(w http.ResponseWriter, hr *http.Request, m *message) error {
	if hr.ContentLength == 0 {
		return nil
	}
	maxBytes := f.maxBodyBytes.Load()
	if hr.ContentLength > maxBytes {
		return errTooLong
	}
	rc := http.NewResponseController(w)
	from := &pacedReader{body: hr.Body, rc: rc, client: m.client, beganAt: time.Now()}
	m.bodyReservation.budget = &f.bodyBudget
	total, isWhole, err := m.hold(from, hr.ContentLength, maxBytes)
	switch {
	case errors.Is(err, errTooLong):
		return err
	case err != nil:
		return errIncompleteBody
	case !isWhole:
		f.cutSilentBody() // there was no room to hold all of it
		m.upload = &upload{from: from, length: hr.ContentLength, rc: rc, remaining: maxBytes - total, timeLeft: m.timeLeft,
			clock: m.client.NewBodyClock(hr.ContentLength, total, m.timeLeft), buffers: &f.copyBuffers}
	}
	return nil
}

// hold reads a body of this length, or -1, while there is room for it. It returns how many bytes it has read, and whether they are all.
func (m *message) hold(from io.Reader, length, maxBytes int64) (total int64, isWhole bool, err error) {
	for {
		size := int64(maxBufferedBodyBytes)
		if length >= 0 {
			size = min(size, length-total)
		}
		n, err := m.readPiece(from, size)
		total += n
		switch {
		case total > maxBytes:
			return total, false, errTooLong
		case errors.Is(err, io.EOF):
			return total, true, nil
		case errors.Is(err, errNoRoom):
			return total, false, nil
		case err != nil:
			return total, false, err
		case total == length:
			return total, true, nil
		case length-total > m.bodyReservation.budget.available.Load():
			return total, false, nil // without room for the whole body, holding more of it is of no use
		}
	}
}

// readPiece reads size bytes or up to the end of the body, which is io.EOF. The piece grows with the bytes that have come, because a client
// may stop within its body. It returns errNoRoom if the piece can't grow.
func (m *message) readPiece(from io.Reader, size int64) (total int64, err error) {
	piece, err := m.firstBuffer(size)
	for err == nil && int64(len(piece)) < size {
		if len(piece) == cap(piece) {
			piece, err = m.grow(piece, size)
			continue
		}
		var n int
		n, err = from.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
	}
	if m.body == nil {
		m.body = piece
	} else if len(piece) > 0 {
		m.more = append(m.more, piece)
	}
	return int64(len(piece)), err
}

// firstBuffer returns the first buffer of a piece. That of the first piece needs no reservation.
func (m *message) firstBuffer(size int64) ([]byte, error) {
	size = min(size, unreservedBytes)
	if m.body != nil && !m.bodyReservation.take(size) {
		return nil, errNoRoom
	}
	return make([]byte, 0, size), nil
}

// grow returns a larger buffer with the same content.
func (m *message) grow(piece []byte, size int64) ([]byte, error) {
	capacity := min(4*int64(cap(piece)), size)
	if !m.bodyReservation.take(capacity - int64(cap(piece))) {
		return piece, errNoRoom
	}
	grown := make([]byte, len(piece), capacity)
	copy(grown, piece)
	return grown, nil
}

// size returns the length of the held part of the body.
func (m *message) size() int64 {
	n := int64(len(m.body))
	for _, piece := range m.more {
		n += int64(len(piece))
	}
	return n
}

// stream is an answer of which the backend is still sending the rest.
type stream struct {
	reply
	length     int64 // of the whole answer; -1 if unknown
	rest       io.ReadCloser
	cn         *upstream.Conn
	isReusable bool // the connection can be reused afterwards
	pool       *pool
	answer     reuse.Answer // as of its first part
}

// end returns the connection to the pool, or closes it.
func (s *stream) end(whole bool) {
	switch {
	case !whole:
		s.pool.Discard(s.cn, upstream.StreamBroken)
	case !s.isReusable:
		s.pool.Discard(s.cn, upstream.AfterAnswer)
	case s.cn.Reader.Buffered() > 0:
		s.pool.DiscardBehind(s.cn, s.answer)
	default:
		s.pool.Put(s.cn, s.answer)
	}
}

// deliver passes a stream to the client's goroutine. It reports whether that goroutine still runs.
func (m *message) deliver(s *stream) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handlerDone {
		return false
	}
	m.streams <- s
	return true
}

// closeStreams records that no stream will be received any more, and that no answer is held for the client.
func (m *message) closeStreams() {
	m.mu.Lock()
	m.handlerDone = true
	m.answerReservation.release()
	m.mu.Unlock()
	select {
	case s := <-m.streams:
		s.end(false)
	default:
	}
}

// startStream hands an answer that has begun to the client's goroutine as a stream, if the request may have it.
// It returns the result of the attempt if it doesn't.
func (x *transport) startStream(
	ctx context.Context, own *engine.Attempt, stop func() bool, m *message, s *stream, load balance.Load,
) (engine.Result, bool) {
	if !stop() {
		x.pool.Discard(s.cn, upstream.Cancelled)
		return engine.Result{Status: x.brokenStatus(ctx, context.Canceled)}, false
	}
	s.cn.SetDeadline(time.Time{})
	if !own.Deliver(engine.Result{Status: balance.Delivered, Load: load, OwnDelay: s.cn.OwnDelay}) || !m.deliver(s) {
		x.pool.Discard(s.cn, upstream.Cancelled)
	}
	return engine.Result{}, true
}

// writeStream writes a stream to its client as it arrives. If the stream breaks, the client's connection is
// closed without the last chunk.
func (f *front) writeStream(w http.ResponseWriter, s *stream, m *message) {
	err := f.copyStream(w, s, m)
	s.end(err == nil)
	if err != nil {
		m.counters.failed.Add(1)
		f.cutLog.Info("answer cut off", "id", m.header.Get("X-Trace-Id"), "backend", s.cn.To.ID, "connection", s.cn.Number, "error", err)
		panic(http.ErrAbortHandler)
	}
	m.counters.served.Add(1)
}

// copyStream writes a stream to its client up to its end or an error.
func (f *front) copyStream(w http.ResponseWriter, s *stream, m *message) error {
	if s.contentType != "" {
		w.Header().Set("Content-Type", s.contentType)
	} else {
		w.Header()["Content-Type"] = nil
	}
	if s.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(s.length, 10))
	}
	w.WriteHeader(http.StatusOK)
	write := f.beginAnswer(w)
	defer f.endAnswer(write)
	if err := f.writePart(w, write, s.body); err != nil {
		return fmt.Errorf("write to client: %w", err)
	}
	s.body = nil
	m.releaseAnswer()
	buf := f.copyBuffers.get()
	defer f.copyBuffers.put(buf)
	for {
		s.cn.SetReadDeadline(time.Now().Add(backendSilenceTimeout))
		n, err := s.rest.Read(buf)
		if n > 0 {
			if err := f.writePart(w, write, buf[:n]); err != nil {
				return fmt.Errorf("write to client: %w", err)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			s.cn.SetDeadline(time.Time{})
			return nil
		case err != nil:
			return fmt.Errorf("read from backend: %w", err)
		}
	}
}

// send writes a message, which begins with text, and its held body to a backend. It returns how many of the held bytes
// are written, and how many there are. Writing them may take long, so bytes that the backend sends before the last
// piece are no answer.
func (m *message) send(cn *upstream.Conn, text []byte) (n, all int64, err error) {
	if m.isBodyCopied() && len(m.more) == 0 && !m.isChunked() { // the usual case
		k, err := cn.Write(text)
		return int64(k), int64(len(text)), err
	}
	pieces := m.pieces(text)
	for _, p := range pieces {
		all += int64(len(p))
	}
	for i, p := range pieces {
		if i == len(pieces)-1 && !m.isChunked() && !cn.IsUsable() {
			return n, all, errEarlyData
		}
		k, err := cn.Write(p)
		n += int64(k)
		if err != nil {
			return n, all, err
		}
	}
	return n, all, nil
}

// pieces returns the parts of a message that begins with text.
func (m *message) pieces(text []byte) [][]byte {
	pieces := [][]byte{text}
	if !m.isBodyCopied() {
		pieces = append(pieces, m.body)
	}
	pieces = append(pieces, m.more...)
	if m.isChunked() {
		pieces = append(pieces, []byte("\r\n"))
	}
	return pieces
}
