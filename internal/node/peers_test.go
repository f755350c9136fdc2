package node

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"

	"glencart/balance"
	"glencart/internal/engine"
)

// listenUDP returns a UDP socket on loopback.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Datagrams of unknown senders and oversized datagrams must be ignored, and oversized ones must not be sent. Each ignored one would
// otherwise reach the loop or, cut off, a peer. The log line about them is rate-limited.
func TestPeerDatagrams(t *testing.T) {
	peer, stranger := listenUDP(t), listenUDP(t)
	var logged bytes.Buffer // read when run has ended
	p, err := listenPeers(t.Context(), &Config{PeerListen: "127.0.0.1:0", PeersAll: peer.LocalAddr().String(),
		Peers: []string{"127.0.0.1:1", peer.LocalAddr().String()}}, minQueuedDatagrams, slog.New(slog.NewTextHandler(&logged, nil)))
	if err != nil {
		t.Fatal(err)
	}
	type delivery struct {
		peer int
		text string
	}
	deliveries := make(chan delivery, 16)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		p.run(ctx, func(peer int, payload []byte) { deliveries <- delivery{peer, string(payload)} })
		close(ended)
	}()
	to := p.conn.LocalAddr().(*net.UDPAddr)
	// Datagrams of strangers and oversized ones are ignored. Datagrams on loopback keep their order.
	stranger.WriteToUDP([]byte("stranger"), to)
	peer.WriteToUDP([]byte(strings.Repeat("x", maxDatagramBytes+1)), to)
	peer.WriteToUDP([]byte("hello"), to)
	if got := receive(t, "a datagram", deliveries); got != (delivery{1, "hello"}) {
		t.Errorf("received %+v", got)
	}
	// Oversized datagrams and those for an unknown peer are not sent.
	p.send(1, make([]byte, maxDatagramBytes+1))
	p.send(7, []byte("nobody"))
	p.send(1, []byte("one"))
	p.send(balance.AllPeers, []byte("all"))
	buf := make([]byte, 2*maxDatagramBytes)
	for _, want := range []string{"one", "all"} {
		n, _, err := peer.ReadFromUDP(buf)
		if err != nil || string(buf[:n]) != want {
			t.Errorf("sent %q %v, want %q", buf[:n], err, want)
		}
	}
	cancel()
	receive(t, "the end of the reader", ended)
	if n := strings.Count(logged.String(), "datagram ignored"); n != 1 { // for two datagrams within a second
		t.Errorf("%d log lines, want 1: %s", n, logged.String())
	}
}

// A peer that floods the node, or a loop that falls behind, must not fill the memory with queued messages.
func TestQueuedPeerMessagesAreBounded(t *testing.T) {
	n := &Node{loop: engine.New(engine.Config{}), bounds: boundsOf(Limits{}, 40)} // its loop doesn't run
	for range 3 * n.bounds.maxQueuedMessages {
		n.receivePeerMessage(1, nil)
	}
	if got := n.queuedMessages.Load(); int(got) != n.bounds.maxQueuedMessages {
		t.Errorf("%d messages wait, want the limit", got)
	}
}
