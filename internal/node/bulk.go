package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
)

// Bodies and answers of over bodyMost bytes: held in pieces where there is room for them, else passed on as they come.

const (
	// uploadMost bounds the body of a request: how long one client may go on.
	uploadMost = 40 << 20
	// copyPiece is the buffer of a stream.
	copyPiece = 32 << 10
	// silentMost is how long a client may go without a byte of its body, backendSilent a backend without one of its answer or
	// without taking one of a request, readerSilent a client without taking one of its answer.
	silentMost, backendSilent, readerSilent = stopsWithin, 10 * time.Second, 20 * time.Second
	// uploadLeast is the pace, in bytes a second, that a body has to keep after silentMost: who sends a byte now and then
	// wants the place. 64 kB a second are to be served.
	uploadLeast = 16 << 10
)

var (
	errTooLong = errors.New("body too long")
	errCut     = errors.New("body cut short")
	errClient  = errors.New("the client's side broke")
)

// budget bounds the bytes of all bodies that are held beyond bodyMost.
type budget struct{ left atomic.Int64 }

// take reserves bytes, if there are so many.
func (b *budget) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// patient reads a client's body. Its time limit is on silence: a slow client is none that has gone.
type patient struct {
	body  io.Reader
	rc    *http.ResponseController
	began time.Time
	got   int64
}

func (p *patient) Read(b []byte) (int, error) {
	now := time.Now()
	pace := p.began.Add(silentMost + time.Duration(p.got)*time.Second/uploadLeast)
	if silent := now.Add(silentMost); silent.Before(pace) {
		pace = silent
	}
	p.rc.SetReadDeadline(pace)
	n, err := p.body.Read(b)
	p.got += int64(n)
	if errors.Is(err, io.EOF) {
		p.rc.SetReadDeadline(time.Time{}) // one that passes later would look as if the client had gone
	}
	return n, err
}

// body reads the body of a request: whole where it is short or there is room to hold it, else its beginning, with the rest
// to come.
func (f *front) body(w http.ResponseWriter, hr *http.Request, m *message) error {
	if hr.ContentLength == 0 {
		return nil
	}
	most := f.bodyMost.Load()
	if hr.ContentLength > most {
		return errTooLong
	}
	rc := http.NewResponseController(w)
	from := &patient{body: hr.Body, rc: rc, began: time.Now()}
	size := int64(bodyMost)
	if hr.ContentLength > 0 {
		size = min(size, hr.ContentLength)
	}
	whole, err := m.fill(from, size)
	if err != nil {
		return errCut
	}
	if hr.ContentLength > 0 && hr.ContentLength <= bodyMost {
		whole = true
	}
	total := size
	fits := !whole && f.held.take(max(hr.ContentLength-total, 0)) // else there is no use in holding a part
	if fits {
		m.held, m.budget = max(hr.ContentLength-total, 0), &f.held
	}
	for !whole && fits {
		piece := int64(bodyMost)
		if hr.ContentLength > 0 {
			piece = min(piece, hr.ContentLength-total)
		} else if fits = f.held.take(piece); !fits {
			break
		} else {
			m.held += piece
		}
		if whole, err = m.fill(from, piece); err != nil {
			return errCut
		}
		total += piece
		whole = whole || total == hr.ContentLength
		if total > most {
			return errTooLong
		}
	}
	if !whole {
		m.up = &upload{from: from, length: hr.ContentLength, rc: rc, within: most - total}
	}
	return nil
}

// fill reads so many bytes, or to the end of the body, and tells whether it met that.
func (m *message) fill(from io.Reader, size int64) (end bool, err error) {
	var piece []byte
	if m.body == nil && size == bodyMost {
		piece = make([]byte, 0, 4<<10) // most bodies of a length that is not told are short
	} else {
		piece = make([]byte, 0, size)
	}
	for int64(len(piece)) < size && err == nil {
		if len(piece) == cap(piece) {
			grown := make([]byte, len(piece), min(int64(4*cap(piece)), size))
			copy(grown, piece)
			piece = grown
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
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// release gives back what the message held.
func (m *message) release() {
	if m.budget != nil {
		m.budget.left.Add(m.held)
		m.budget = nil
	}
}

// size is the length of what is held of the body.
func (m *message) size() int64 {
	n := int64(len(m.body))
	for _, piece := range m.more {
		n += int64(len(piece))
	}
	return n
}

// upload is the rest of a body that is passed on as it comes. One attempt may have it, once.
type upload struct {
	from   *patient
	rc     *http.ResponseController
	length int64 // of the whole body; -1: not told
	within int64 // bytes that may come yet

	owner atomic.Pointer[call] // the attempt that may read from it; set on the engine's loop, given back by the attempt or its Bar
	begun atomic.Bool          // some of it has been read
	gone  atomic.Bool          // its client has gone, or has been silent for too long

	mu      sync.Mutex // held while it is read
	stopped atomic.Bool
	ended   bool
}

// errStopped says that the client has its answer already.
var errStopped = errors.New("the request is over")

// read reads the next piece for the attempt that has it.
func (u *upload) read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped.Load() {
		return 0, errStopped
	}
	u.begun.Store(true)
	n, err := u.from.Read(b)
	if u.within -= int64(n); u.within < 0 {
		return 0, errTooLong
	}
	u.ended = u.ended || err == io.EOF
	return n, err
}

// take lets an attempt have an upload that no other has and of which nothing has been read.
func (u *upload) take(c *call) {
	if u != nil && !u.begun.Load() {
		u.owner.CompareAndSwap(nil, c)
	}
}

// giveBack lets another attempt have an upload, if this one has it and has read nothing of it. A nil upload is none.
func (u *upload) giveBack(c *call) {
	if u != nil && !u.begun.Load() {
		u.owner.CompareAndSwap(c, nil)
	}
}

// stop ends the reading, and reads on what is left so that a client that writes first finds its answer.
func (u *upload) stop() {
	u.stopped.Store(true)
	if !u.mu.TryLock() {
		u.rc.SetReadDeadline(time.Now()) // somebody waits for a piece
		u.mu.Lock()
	}
	defer u.mu.Unlock()
	if !u.ended && u.within > 0 && !u.gone.Load() { // flushing would word an empty 200 for who has gone
		u.rc.Flush()
		io.CopyN(io.Discard, u.from, u.within)
	}
	u.rc.SetReadDeadline(time.Time{})
}

// pass writes what is left of an upload to a backend, as it comes. left counts its bytes where the length was told. errClient
// stands before what the client did. An error means that the last byte has not been written: none is from by on, if that is not
// zero.
func (u *upload) pass(cn *conn, left int64, by time.Time) error {
	chunked := u.length < 0
	var to io.WriteCloser = plainWriter{cn}
	if chunked {
		to = httputil.NewChunkedWriter(cn)
	}
	buf := make([]byte, copyPiece)
	for {
		n, err := u.read(buf)
		if n > 0 {
			end := time.Now().Add(backendSilent)
			if !by.IsZero() && by.Before(end) {
				end = by
			}
			cn.SetWriteDeadline(end)
			if !chunked && left == int64(n) && !cn.usable() {
				return errEarly
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return err
			}
			if left -= int64(n); !chunked && left == 0 {
				return nil // whatever comes of the client's side now
			}
		}
		switch {
		case errors.Is(err, io.EOF) && chunked:
			if !cn.usable() {
				return errEarly
			}
			if err := to.Close(); err != nil {
				return err
			}
			_, err := io.WriteString(cn, "\r\n") // no trailers
			return err
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Join(errClient, err)
		}
	}
}

type plainWriter struct{ io.Writer }

func (plainWriter) Close() error { return nil }

// stream is an answer whose rest is still to come from its backend.
type stream struct {
	reply
	length int64 // of the whole; -1: not told
	rest   io.ReadCloser
	cn     *conn
	keep   bool // the connection may be used again after it
	pool   *pool
}

// end gives the connection back, or ends it.
func (s *stream) end(whole bool) {
	if whole && s.keep && s.cn.read.Buffered() == 0 {
		s.pool.put(s.cn)
		return
	}
	s.pool.discard(s.cn)
}

// hand passes a stream to the goroutine that has the client. It tells whether that is still there.
func (m *message) hand(s *stream) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left {
		return false
	}
	m.streams <- s
	return true
}

// leave tells that nobody will take a stream any more.
func (m *message) leave() {
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	select {
	case s := <-m.streams:
		s.end(false)
	default:
	}
}

// handOn makes a stream of an answer whose beginning has come, and hands it to the client's goroutine if the request may
// have it. It tells how the attempt ended where it does not.
func (x *exchanges) handOn(ctx context.Context, own *engine.Attempt, stop func() bool, m *message, s *stream, load balance.Load) (engine.Result, bool) {
	if !stop() {
		x.pool.discard(s.cn)
		return engine.Result{Status: x.broken(ctx, context.Canceled)}, false
	}
	s.cn.SetDeadline(time.Time{})
	if !own.Deliver(engine.Result{Status: balance.Delivered, Load: load}) || !m.hand(s) {
		x.pool.discard(s.cn)
	}
	return engine.Result{}, true
}

// pass writes a stream to its client as it comes. Where it breaks, the client's connection ends without the last chunk.
func (f *front) pass(w http.ResponseWriter, s *stream, count *classFigures) {
	whole := false
	defer func() {
		s.end(whole)
		if whole {
			count.served.Add(1)
		} else {
			count.failed.Add(1)
		}
	}()
	if s.contentType != "" {
		w.Header().Set("Content-Type", s.contentType)
	} else {
		w.Header()["Content-Type"] = nil
	}
	if s.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(s.length, 10))
	}
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	rc.SetWriteDeadline(time.Now().Add(readerSilent))
	if _, err := w.Write(s.body); err != nil || rc.Flush() != nil {
		panic(http.ErrAbortHandler)
	}
	s.body = nil
	buf := make([]byte, copyPiece)
	for {
		s.cn.SetReadDeadline(time.Now().Add(backendSilent))
		n, err := s.rest.Read(buf)
		if n > 0 {
			rc.SetWriteDeadline(time.Now().Add(readerSilent))
			if _, err := w.Write(buf[:n]); err != nil {
				panic(http.ErrAbortHandler)
			}
			if rc.Flush() != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if errors.Is(err, io.EOF) {
			s.cn.SetDeadline(time.Time{})
			whole = true
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// send writes a message with its body to a backend, whole where all of it is held. It returns how many bytes of what is held
// are out, and how many there are. Writing them may last: what comes before the last piece is no answer.
func (m *message) send(cn *conn, text []byte) (n, all int64, err error) {
	if len(m.more) == 0 || m.up != nil && m.up.length < 0 { // the first chunk has all that is held
		k, err := cn.Write(text)
		return int64(k), int64(len(text)), err
	}
	pieces := append([][]byte{text}, m.more...)
	for _, p := range pieces {
		all += int64(len(p))
	}
	for i, p := range pieces {
		if i == len(pieces)-1 && !cn.usable() {
			return n, all, errEarly
		}
		k, err := cn.Write(p)
		n += int64(k)
		if err != nil {
			return n, all, err
		}
	}
	return n, all, nil
}
