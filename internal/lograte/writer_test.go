package lograte

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	return s.Buffer.Write(b)
}

// Requests would block on a log that is not read. Logging must not wait. Dropped lines must be counted where they are missing, and the
// others must be complete and in order.
func TestLoggingDoesNotWaitForReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &blockedWriter{unblock: make(chan struct{})}
		w := NewWriter(to, 1000)
		for i := range 500 {
			fmt.Fprintf(w, "line %03d\n", i)
		}
		start := time.Now()
		w.Close(50 * time.Millisecond)
		if d := time.Since(start); d != 50*time.Millisecond {
			t.Errorf("Close waited %v for a log that is not read", d)
		}
		close(to.unblock)
		<-w.done
		// The first batch may start before, between or after these lines. Each line is either written or counted where it is missing.
		next, written := 0, 0
		for line := range strings.Lines(to.String()) {
			if line == fmt.Sprintf("line %03d\n", next) {
				next++
				written++
				continue
			}
			_, count, found := strings.Cut(strings.TrimSpace(line), "lines=")
			n, err := strconv.Atoi(count)
			if !found || err != nil || n < 1 {
				t.Fatalf("%q after %d lines written or counted", line, next)
			}
			next += n
		}
		if next != 500 || written < 100 || written > 250 {
			t.Errorf("%d lines written or counted, %d written", next, written)
		}
	})
}
