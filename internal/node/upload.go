package node

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"glencart/internal/clients"
	"glencart/internal/upstream"
)

// This file passes on the rest of a body that is not held.
//
// The time of a request starts when its client has sent the last byte. A backend that reads slowly leaves bytes in the buffers of both
// kernels for any time, so that moment is determined while the body is passed on (clients.BodyClock).

// upload is the rest of a body that is passed on as it arrives. Only one attempt may send it, once.
type upload struct {
	from      *pacedReader
	rc        *http.ResponseController
	length    int64 // of the whole body; -1 if unknown
	remaining int64 // how many more bytes may arrive

	owner      atomic.Pointer[call] // attempt that may read the body; set on the engine's loop, cleared by the attempt or its PreventWrite
	hasBegun   atomic.Bool          // a part has been read
	clientGone atomic.Bool          // the client has left, or was silent for too long

	mu      sync.Mutex // held during a read
	stopped atomic.Bool
	ended   bool

	buffers  *copyBuffers // nil: no limit
	clock    *clients.BodyClock
	timeLeft time.Duration // time budget of the request from its last byte on

	deadlineMu sync.Mutex
	deadline   time.Time      // zero: the client has not sent the last byte
	silentAt   time.Time      // when the backend counts as silent
	conn       *upstream.Conn // connection to the backend while pass writes on it
}

// updateDeadline sets the deadline of the request if the client may have sent its last byte, also if nobody has read it yet, because the
// backend reads slowly. It returns the deadline, or zero if there is none yet.
func (u *upload) updateDeadline() time.Time {
	u.clock.Observe()
	sentSince, mayBeComplete := u.clock.SentSince()
	u.deadlineMu.Lock()
	defer u.deadlineMu.Unlock()
	u.deadline = time.Time{}
	if mayBeComplete {
		u.deadline = sentSince.Add(u.timeLeft)
	}
	u.setWriteDeadline()
	return u.deadline
}

// writeUntil sets how long a backend may take to read the next bytes. Nil ends the use of its connection.
func (u *upload) writeUntil(cn *upstream.Conn, end time.Time) {
	u.deadlineMu.Lock()
	defer u.deadlineMu.Unlock()
	u.conn, u.silentAt = cn, end
	u.setWriteDeadline()
}

// setWriteDeadline requires deadlineMu.
func (u *upload) setWriteDeadline() {
	if u.conn == nil {
		return
	}
	end := u.silentAt
	if !u.deadline.IsZero() && u.deadline.Before(end) {
		end = u.deadline
	}
	u.conn.SetWriteDeadline(end)
}

// errStopped reports that the client already has its answer.
var errStopped = errors.New("request already answered")

// read reads the next piece for the attempt that owns the upload.
func (u *upload) read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped.Load() {
		return 0, errStopped
	}
	u.hasBegun.Store(true)
	n, err := u.from.Read(b)
	if u.remaining -= int64(n); u.remaining < 0 {
		return 0, errTooLong
	}
	u.ended = u.ended || err == io.EOF
	return n, err
}

// claim makes an attempt the owner if the upload has no owner and nothing of it has been read.
func (u *upload) claim(c *call) {
	if u != nil && !u.hasBegun.Load() {
		u.owner.CompareAndSwap(nil, c)
	}
}

// unclaim lets another attempt own the upload, if c owns it and nothing of it has been read. A nil upload is
// allowed.
func (u *upload) unclaim(c *call) {
	if u != nil && !u.hasBegun.Load() {
		u.owner.CompareAndSwap(c, nil)
	}
}

// stop ends the reading for the attempt. It discards the rest of the body, so that a client that writes
// everything before it reads still gets its answer.
func (u *upload) stop() {
	u.stopped.Store(true)
	if !u.mu.TryLock() {
		u.rc.SetReadDeadline(time.Now()) // interrupts a read in progress
		u.mu.Lock()
	}
	defer u.mu.Unlock()
	if !u.ended && u.remaining > 0 && !u.clientGone.Load() { // if the client has left, a flush would send an empty 200
		u.rc.Flush()
		io.CopyN(io.Discard, u.from, u.remaining)
	}
	u.rc.SetReadDeadline(time.Time{})
}

// pass writes the rest of an upload to a backend as it arrives. left counts its bytes if the length is known.
// pass wraps an error on the client's side in errClient. An error means that the last byte has not been
// written. If by is not zero, pass doesn't write the last byte after by.
func (u *upload) pass(cn *upstream.Conn, left int64, by time.Time) error {
	chunked := u.length < 0
	var to io.WriteCloser = plainWriter{cn}
	if chunked {
		to = httputil.NewChunkedWriter(cn)
	}
	defer u.writeUntil(nil, time.Time{})
	buf := u.buffers.get()
	defer u.buffers.put(buf)
	for {
		n, err := u.read(buf)
		if n > 0 {
			end := time.Now().Add(backendSilenceTimeout)
			if !by.IsZero() && by.Before(end) {
				end = by
			}
			u.updateDeadline()
			u.writeUntil(cn, end)
			if !chunked && left == int64(n) && !cn.IsUsable() {
				return errEarlyData
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return err
			}
			if left -= int64(n); !chunked && left == 0 {
				return nil // the backend has the whole body; an error of the client no longer matters
			}
		}
		switch {
		case errors.Is(err, io.EOF) && chunked:
			if !cn.IsUsable() {
				return errEarlyData
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
