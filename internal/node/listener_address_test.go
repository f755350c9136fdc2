package node

import (
	"context"
	"net"
	"net/http"
	"testing"

	"glencart/internal/standin"
)

// addresslessListener is a listener without an address.
type addresslessListener struct{ net.Listener }

func (addresslessListener) Addr() net.Addr { return nil }

// A listener has no address when getsockname(2) fails. A node must serve all the same. It panicked at its start when every third
// system call failed.
func TestListenerWithoutAddressServes(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
	list := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready"})
	cfg := testConfig(t, newRegistry(t, list).Addr, list)
	n, err := New(t.Context(), cfg, standin.Quiet())
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + n.Addr().String()
	n.listener.Listener = addresslessListener{n.listener.Listener}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	standin.Eventually(t, "an answer", func() bool {
		resp, _ := doRequest(t, newTestRequest(t, url+"/api/x", "read"))
		return resp.StatusCode == http.StatusOK
	})
	cancel()
	if err := standin.Receive(t, "the end of the node", ended); err != nil {
		t.Error(err)
	}
}
