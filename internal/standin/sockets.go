package standin

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Acknowledged tells whether the other side of a TCP connection has taken in that c has ended its sending.
func Acknowledged(c net.Conn) (is bool) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case unix.BPF_TCP_FIN_WAIT2, unix.BPF_TCP_TIME_WAIT, unix.BPF_TCP_CLOSE: // the latter two: it has ended its own as well
			is = true
		}
	})
	return is
}
