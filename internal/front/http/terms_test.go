package httpfront

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// What this machine lacks for a moment delays a request, and no more.
func TestADialThatFailsForAMoment(t *testing.T) {
	var ran, dials atomic.Int64
	n := serve(t, onePool, map[string]string{"a": scripted(t, &ran, func(c net.Conn, _ *http.Request) { io.WriteString(c, fine) })})
	n.gen.Load().pools["p"].conns.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		if dials.Add(1) <= 8 {
			return syscall.ENFILE
		}
		return nil
	}
	if status, body, _ := n.get("POST", "/x", "x"); status != http.StatusOK || !strings.HasPrefix(body, "ok") || ran.Load() != 1 {
		t.Errorf("answered %d %q after %d dials, ran %d times", status, body, dials.Load(), ran.Load())
	}
}
