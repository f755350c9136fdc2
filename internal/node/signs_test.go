package node

import (
	"bytes"
	"encoding/hex"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"glencart/balance"
	"glencart/members"
)

// A node that is refused tells the others with one datagram, which an old node would pass over. When another has told the same,
// nothing goes there, until the backend is tried as one that has just started: then its answer is told.
func TestRefusalsArePassedOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := l.Addr().String()
	l.Close()
	alive := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string { return ok200("x") })).Addr().String()
	list := listText(1, true, listed{ID: "dead", Addr: dead, Phase: "ready"}, listed{ID: "alive", Addr: alive, Phase: "ready"})
	peer := udp(t)
	cfg := testConfig(t, newRegistry(t, list).Addr, list, `"nInstances":1`, `"nInstances":3`, `"maxAttempts":3`, `"maxAttempts":3,"peers":true`)
	cfg.PeerListen, cfg.Peers = "127.0.0.1:0", []string{"127.0.0.1:1", peer.LocalAddr().String(), "127.0.0.1:2"}
	cfg.PeersAll = peer.LocalAddr().String()
	n := start(t, cfg)
	heard := make(chan []byte, 256)
	go func() {
		buf := make([]byte, datagramMost)
		for {
			k, _, err := peer.ReadFromUDP(buf)
			if err != nil {
				return
			}
			if buf[0] == members.SignVersion {
				heard <- bytes.Clone(buf[:k])
			}
		}
	}()
	held := func() bool {
		return n.look(func() bool { return n.hand.InDoubt() == 1 && n.loop.Backends() == 2 && heldBack(n, "dead") })
	}
	for i := 0; len(heard) == 0; i++ {
		if i > 200 {
			t.Fatal("no sign of a backend that refuses")
		}
		do(t, ask(t, n.url+"/api/x", "read"))
	}
	said := receive(t, "the sign", heard)
	if len(said) != 18 || said[1] != 1 {
		t.Errorf("said %s", hex.EncodeToString(said))
	}
	if held() {
		t.Error("held back by one node's word")
	}
	peer.WriteToUDP(said, n.peers.conn.LocalAddr().(*net.UDPAddr))
	eventually(t, "the hold", held)
	var ran atomic.Int64
	newRawBackend(t, dead, answering(func(*http.Request) string { ran.Add(1); return ok200("new") }))
	for began := time.Now(); ran.Load() == 0; {
		if time.Since(began) > patience {
			t.Fatal("nothing goes to the new process")
		}
		do(t, ask(t, n.url+"/api/x", "read"))
	}
	for {
		if said = receive(t, "the sign of the start", heard); said[1] == 2 {
			break
		}
	}
}

// look has f look at what the loop owns.
func (n *started) look(f func() bool) bool {
	seen := make(chan bool, 1)
	n.loop.Post(func() { seen <- f() })
	return <-seen
}

// heldBack tells whether nothing may be sent to a backend. On the loop.
func heldBack(n *started, id string) bool {
	_, _, phase, known := n.loop.Backend(id)
	return known && phase != balance.Ready
}
