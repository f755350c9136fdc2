// Package sock looks at sockets in ways that package net has no words for.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The system calls that may be interrupted. Tests make them fail.
var (
	recvfrom = syscall.Recvfrom
	poll     = unix.Poll
)

// Quiet tells whether a connection is up with nothing unread on it. A backend that was restarted under its old address
// leaves connections behind that would swallow a request. One that can't be looked at is not quiet.
func Quiet(c net.Conn) bool {
	n, err := Peek(c)
	return n < 0 && err == syscall.EAGAIN
}

// Peek looks for something unread on a connection, and leaves it there. Zero bytes without an error are its end.
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

// Gone tells whether the other side of a TCP connection has ended its sending or reset it, by the connection's state: unlike with
// Peek, what stands unread before that hides nothing. One that can't be looked at is not gone.
func Gone(c net.Conn) (is bool) {
	control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			switch info.State {
			case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT:
				is = true
			}
		}
		return err
	})
	return is
}

// Waiting tells whether somebody stands in a listener's queue. known is false where that can't be told.
func Waiting(l net.Listener) (some, known bool) {
	fds := []unix.PollFd{{Events: unix.POLLIN}}
	err := control(l, func(fd int) error {
		fds[0].Fd = int32(fd)
		return uninterrupted(func() error {
			n, err := poll(fds, 0)
			some = n > 0
			return err
		})
	})
	return some, err == nil
}

// SinceData is how long ago data came last on a connection, by the kernel (tcpi_last_data_recv of tcp(7)); 0 where it can't tell.
func SinceData(c net.Conn) (d time.Duration) {
	control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			d = time.Duration(info.Last_data_recv) * time.Millisecond
		}
		return err
	})
	return d
}

// Abort ends a connection with what the system has not sent of it yet (SO_LINGER 0 of socket(7)). After Close alone that is still sent:
// long after, where the other machine was cut off, or does not read.
func Abort(c net.Conn) error {
	under := c
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS
		under = t.NetConn()
	}
	if t, ok := under.(interface{ SetLinger(sec int) error }); ok {
		t.SetLinger(0)
	}
	return under.Close()
}

// control runs do on the descriptor of what is a socket.
func control(of any, do func(fd int) error) error {
	sc, ok := of.(syscall.Conn)
	if !ok {
		return syscall.ENOTSOCK
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = do(int(fd)) }); err != nil {
		return err
	}
	return failed
}

// uninterrupted repeats a system call for as long as a signal interrupts it.
func uninterrupted(call func() error) error {
	for {
		if err := call(); err != syscall.EINTR {
			return err
		}
	}
}
