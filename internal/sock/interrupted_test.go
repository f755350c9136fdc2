package sock

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"glencart/internal/standin"
)

// A signal can interrupt recv(2) and poll(2) (EINTR). If that counted as a result, a connection would look closed or empty. The call
// must be repeated.
func TestInterruptedCallsAreRepeated(t *testing.T) {
	near, far := tcpPair(t)
	realRecvfrom, realPoll := recvfrom, poll
	t.Cleanup(func() { recvfrom, poll = realRecvfrom, realPoll })
	interruptions := 0
	recvfrom = func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
		if interruptions++; interruptions%3 != 0 {
			return -1, nil, syscall.EINTR
		}
		return realRecvfrom(fd, p, flags)
	}
	poll = func(fds []unix.PollFd, timeout int) (int, error) {
		if interruptions++; interruptions%3 != 0 {
			return -1, unix.EINTR
		}
		return realPoll(fds, timeout)
	}
	if !IsIdle(near) {
		t.Error("the connection has no unread bytes and is not quiet")
	}
	far.Write([]byte("x"))
	standin.Eventually(t, "an unread byte", func() bool { n, _, _ := realRecvfromOf(near, realRecvfrom); return n > 0 })
	if n, err := Peek(near); n != 1 || err != nil {
		t.Errorf("peek with one unread byte: %d, %v", n, err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if waiting, known := HasQueuedConn(l); waiting || !known {
		t.Errorf("empty queue: waiting %v, known %v", waiting, known)
	}
}

// realRecvfromOf peeks at a connection without interruptions.
func realRecvfromOf(c net.Conn, call func(int, []byte, int) (int, syscall.Sockaddr, error)) (n int, from syscall.Sockaddr, err error) {
	err = control(c, func(fd int) error {
		var b [1]byte
		n, from, err = call(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err
	})
	return n, from, err
}
