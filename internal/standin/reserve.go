package standin

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// ReserveAddr returns an address of 127.0.0.1 at which nobody listens, for a server that the test starts later or for one that is
// never there. Until the test ends, the system gives its port to nobody who asks for any free one: a socket is bound to it and does
// not listen. A server that names the port can still listen there, since both set SO_REUSEADDR (socket(7)).
func ReserveAddr(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	inet := bound.(*unix.SockaddrInet4)
	return (&net.TCPAddr{IP: inet.Addr[:], Port: inet.Port}).String()
}
