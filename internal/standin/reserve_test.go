package standin

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// A reserved address refuses connections, is given to nobody who asks for any free port, and is free for a server that names it.
func TestReservedAddr(t *testing.T) {
	addr := ReserveAddr(t)
	if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("nobody listens at %s, and a connection: %v", addr, err)
	}
	const asked = 20_000 // with some 28,000 ephemeral ports a port that is free is given again
	for range asked {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		if l.Addr().String() == addr {
			t.Fatalf("%s was given to another listener", addr)
		}
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatalf("a server that names the address: %v", err)
	}
	l.Close()
}
