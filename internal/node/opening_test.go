package node

import (
	"context"
	"errors"
	"net"
	"testing"

	"glencart/internal/standin"
)

// A node that is stopped before its listener for clients is open must not open it. It would accept connections that nothing serves.
func TestStoppedNodeDoesNotListen(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", listText(1, true))
	cfg.Listen = standin.ReserveAddr(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := New(ctx, cfg, discardLog()); !errors.Is(err, context.Canceled) {
		t.Errorf("New returned %v, want context.Canceled", err)
	}
	if c, err := net.Dial("tcp", cfg.Listen); err == nil {
		c.Close()
		t.Error("a client could connect")
	}
}
