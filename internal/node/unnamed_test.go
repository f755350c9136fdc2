package node

import (
	"context"
	"net"
	"net/http"
	"testing"

	"glencart/internal/standin"
)

// unnamed is a listener without an address.
type unnamed struct{ net.Listener }

func (unnamed) Addr() net.Addr { return nil }

// A listener has no address when getsockname(2) fails. A node must serve all the same. It panicked at its start when every third
// system call failed.
func TestServesWhereTheSystemTellsNoAddress(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string { return ok200("x") }))
	list := listText(1, true, listed{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	cfg := testConfig(t, newRegistry(t, list).Addr, list)
	n, err := New(t.Context(), cfg, standin.Quiet())
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + n.Addr().String()
	n.listener.Listener = unnamed{n.listener.Listener}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	standin.Eventually(t, "an answer", func() bool {
		resp, _ := do(t, ask(t, url+"/api/x", "read"))
		return resp.StatusCode == http.StatusOK
	})
	cancel()
	if err := standin.Receive(t, "the end of the node", ended); err != nil {
		t.Error(err)
	}
}
