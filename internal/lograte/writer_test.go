package lograte

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slow is a reader that takes nothing until it is let.
type slow struct {
	let chan struct{}
	bytes.Buffer
}

func (s *slow) Write(b []byte) (int, error) {
	<-s.let
	return s.Buffer.Write(b)
}

// Nobody who logs waits for a log that is not read; what is dropped is counted, and what was kept comes whole and in order.
func TestNobodyWaitsForTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &slow{let: make(chan struct{})}
		w := NewWriter(to, 1000)
		for i := range 500 {
			fmt.Fprintf(w, "line %03d\n", i)
		}
		began := time.Now()
		w.Close(50 * time.Millisecond)
		if d := time.Since(began); d != 50*time.Millisecond {
			t.Errorf("the end waited %v for a log that nobody reads", d)
		}
		close(to.let)
		<-w.idle
		lines := strings.Split(strings.TrimSpace(to.String()), "\n")
		kept := len(lines) - 1
		for i, line := range lines[:kept] {
			if line != fmt.Sprintf("line %03d", i) {
				t.Fatalf("line %d is %q", i, line)
			}
		}
		if want := fmt.Sprintf("lines=%d", 500-kept); kept < 100 || !strings.HasSuffix(lines[kept], want) {
			t.Errorf("%d lines kept, the last is %q, want %s", kept, lines[kept], want)
		}
	})
}
