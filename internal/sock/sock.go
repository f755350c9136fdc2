// Package sock has socket operations that package net lacks. It checks the state of sockets without reading from them, and retries
// calls that fail temporarily.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// System calls that a signal may interrupt. Tests replace them.
var (
	recvfrom = syscall.Recvfrom
	poll     = unix.Poll
)

// IsIdle reports whether a connection is open without unread bytes. A backend restarted at the same address leaves dead connections
// behind, on which a request would be lost. Quiet returns false if the state is unknown.
func IsIdle(c net.Conn) bool {
	n, err := Peek(c)
	return n < 0 && err == syscall.EAGAIN
}

// Peek reads a byte from a connection without removing it. It doesn't block. Zero bytes without an error are the end of the input.
func Peek(c net.Conn) (n int, err error) {
	if _, ok := c.(syscall.Conn); !ok {
		return 0, nil
	}
	err = control(c, func(fd int) (err error) {
		var b [1]byte
		return uninterrupted(func() error {
			n, _, err = recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err
		})
	})
	return n, err
}

// PeerClosed reports whether the other side of a TCP connection has closed or reset it. It uses the state of the connection. Unlike with
// Peek, unread bytes don't hide the end. Gone returns false if the state is unknown.
func PeerClosed(c net.Conn) (gone bool) {
	control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			switch info.State {
			case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT:
				gone = true
			}
		}
		return err
	})
	return gone
}

// HasQueuedConn reports whether a connection waits in a listener's queue. known is false if that can't be determined.
func HasQueuedConn(l net.Listener) (waiting, known bool) {
	fds := []unix.PollFd{{Events: unix.POLLIN}}
	err := control(l, func(fd int) error {
		fds[0].Fd = int32(fd)
		return uninterrupted(func() error {
			n, err := poll(fds, 0)
			waiting = n > 0
			return err
		})
	})
	return waiting, err == nil
}

// SinceLastReceive returns the time since a connection last received data (tcpi_last_data_recv of tcp(7)). It reports false if the time is
// unknown, as for a closed connection.
func SinceLastReceive(c net.Conn) (d time.Duration, ok bool) {
	err := control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			d = time.Duration(info.Last_data_recv) * time.Millisecond
		}
		return err
	})
	return d, err == nil
}

// Abort closes a connection and discards unsent bytes (SO_LINGER 0 of socket(7)). After a plain Close the system still sends them,
// even much later if the other machine was unreachable or didn't read.
func Abort(c net.Conn) error {
	raw := c
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS
		raw = t.NetConn()
	}
	if t, ok := raw.(interface{ SetLinger(sec int) error }); ok {
		t.SetLinger(0)
	}
	return raw.Close()
}

// control runs call on the descriptor of a socket.
func control(socket any, call func(fd int) error) error {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return syscall.ENOTSOCK
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return err
	}
	return callErr
}

// uninterrupted repeats a system call until no signal interrupts it.
func uninterrupted(call func() error) error {
	for {
		if err := call(); err != syscall.EINTR {
			return err
		}
	}
}

// Unread returns the number of bytes that a connection has received and nobody has read.
func Unread(c net.Conn) (n int, err error) {
	err = control(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	return n, err
}
