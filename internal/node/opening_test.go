package node

import (
	"context"
	"errors"
	"net"
	"testing"

	"glencart/internal/standin"
)

// A node that is told to end before its clients' listener is open lets nobody in.
func TestNobodyIsLetInAfterTheEnd(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", listText(1, true))
	cfg.Listen = standin.ReserveAddr(t)
	ctx, end := context.WithCancel(t.Context())
	end()
	if _, err := New(ctx, cfg, quiet()); !errors.Is(err, context.Canceled) {
		t.Errorf("opened: %v", err)
	}
	if c, err := net.Dial("tcp", cfg.Listen); err == nil {
		c.Close()
		t.Error("a client is let in")
	}
}
