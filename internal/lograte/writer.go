package lograte

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer writes lines from a goroutine of its own, so that logging never blocks. Otherwise a log pipe that is not read would block
// all requests of a node. It buffers a limited number of bytes. Further lines are dropped, and a later line has their number.
type Writer struct {
	to   io.Writer
	most int

	mu       sync.Mutex
	notEmpty sync.Cond
	pending  []byte
	dropped  int
	closed   bool
	done     chan struct{} // closed when the Writer has ended and everything is written
}

// NewWriter returns a running Writer with a buffer of maxBytes.
func NewWriter(to io.Writer, maxBytes int) *Writer {
	w := &Writer{to: to, most: maxBytes, done: make(chan struct{})}
	w.notEmpty.L = &w.mu
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// After a dropped line, all are dropped until the next batch. So the line with their number is where they are missing.
	if w.dropped > 0 || len(w.pending)+len(line) > w.most || w.closed {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.notEmpty.Signal()
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for {
		w.mu.Lock()
		for len(w.pending) == 0 && w.dropped == 0 && !w.closed {
			w.notEmpty.Wait()
		}
		batch, w.pending = w.pending, batch[:0]
		dropped, ended := w.dropped, w.closed
		w.dropped = 0
		w.mu.Unlock()
		if dropped > 0 {
			batch = fmt.Appendf(batch, "level=WARN msg=\"log lines dropped: the log is not read fast enough\" lines=%d\n", dropped)
		}
		if len(batch) > 0 {
			w.to.Write(batch)
		} else if ended {
			return
		}
	}
}

// Close drops further lines and waits until everything is written, for at most timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.notEmpty.Signal()
	w.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
