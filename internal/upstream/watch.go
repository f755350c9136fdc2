package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"
)

// watch notices bytes and the end of an idle connection when they arrive, not when the connection is used again. startWatch returns
// one.
type watch struct {
	conn       net.Conn
	ended      chan struct{} // closed when the watch has ended
	hasBytes   bool          // bytes have arrived; valid after ended
	wasStopped bool          // stop was called before anything arrived; valid after ended
}

// past is a deadline that interrupts a read.
var past = time.Time{}.Add(1)

// startWatch watches a connection through its buffered reader until something arrives, it ends or stop is called. In the first two
// cases it calls onEvent, from another goroutine. Nobody else may read meanwhile. It clears the connection's deadlines.
func startWatch(conn net.Conn, reader *bufio.Reader, onEvent func()) *watch {
	w := &watch{conn: conn, ended: make(chan struct{})}
	conn.SetDeadline(time.Time{})
	go func() {
		_, err := reader.Peek(1)
		w.hasBytes, w.wasStopped = err == nil, errors.Is(err, os.ErrDeadlineExceeded)
		close(w.ended)
		if !w.wasStopped {
			onEvent()
		}
	}()
	return w
}

// stop ends the watch and clears the read deadline. It reports whether nothing had arrived before.
func (w *watch) stop() bool {
	w.conn.SetReadDeadline(past)
	<-w.ended
	w.conn.SetReadDeadline(time.Time{})
	return w.wasStopped
}

// hasEnded reports whether something has arrived, or the connection has ended.
func (w *watch) hasEnded() bool {
	select {
	case <-w.ended:
		return true
	default:
		return false
	}
}
