package sock

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"glencart/internal/standin"
)

// A look that a signal interrupts (EINTR, recv(2) and poll(2)) tells nothing yet: it is repeated. Taken for an answer, a connection
// would look ended, or empty.
func TestInterruptedLooksAreRepeated(t *testing.T) {
	near, far := pair(t)
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
	if !Quiet(near) {
		t.Error("nothing stands on the connection, and it is not quiet")
	}
	far.Write([]byte("x"))
	standin.Eventually(t, "a byte unread", func() bool { n, _, _ := realRecvfromOf(near, realRecvfrom); return n > 0 })
	if n, err := Peek(near); n != 1 || err != nil {
		t.Errorf("a byte stands unread: %d, %v", n, err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if some, known := Waiting(l); some || !known {
		t.Errorf("nobody waits: some %v, known %v", some, known)
	}
}

// realRecvfromOf looks at a connection past the interruptions.
func realRecvfromOf(c net.Conn, call func(int, []byte, int) (int, syscall.Sockaddr, error)) (n int, from syscall.Sockaddr, err error) {
	err = control(c, func(fd int) error {
		var b [1]byte
		n, from, err = call(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err
	})
	return n, from, err
}
