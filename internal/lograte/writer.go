package lograte

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer passes lines on from a goroutine of its own: whoever logs never waits for who reads the log. A pipe that nobody reads
// would hold up all requests of a node. It keeps so many bytes; lines beyond that are dropped, and counted in one line after.
type Writer struct {
	to   io.Writer
	most int

	mu      sync.Mutex
	some    sync.Cond
	pending []byte
	dropped int
	ended   bool
	idle    chan struct{} // closed when all is written and it has ended
}

// NewWriter returns a Writer that has begun.
func NewWriter(to io.Writer, most int) *Writer {
	w := &Writer{to: to, most: most, idle: make(chan struct{})}
	w.some.L = &w.mu
	go w.run()
	return w
}

// Write takes a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// Once a line is dropped all are until the next batch, so that the count stands where the lines are missing.
	if w.dropped > 0 || len(w.pending)+len(line) > w.most || w.ended {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.some.Signal()
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.idle)
	var batch []byte
	for {
		w.mu.Lock()
		for len(w.pending) == 0 && w.dropped == 0 && !w.ended {
			w.some.Wait()
		}
		batch, w.pending = w.pending, batch[:0]
		dropped, ended := w.dropped, w.ended
		w.dropped = 0
		w.mu.Unlock()
		if dropped > 0 {
			batch = fmt.Appendf(batch, "level=WARN msg=\"log lines dropped: nobody reads them in time\" lines=%d\n", dropped)
		}
		if len(batch) > 0 {
			w.to.Write(batch)
		} else if ended {
			return
		}
	}
}

// Close takes no more and waits until all is written, but no longer than this.
func (w *Writer) Close(within time.Duration) {
	w.mu.Lock()
	w.ended = true
	w.some.Signal()
	w.mu.Unlock()
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case <-w.idle:
	case <-late.C:
	}
}
