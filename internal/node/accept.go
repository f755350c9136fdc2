package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"glencart/internal/lograte"
	"glencart/internal/sock"
)

// acceptAgain is how long nobody is let in after the system has failed to.
const acceptAgain = 10 * time.Millisecond

// acceptEnds are the errors after which a listener lets nobody in any more.
var acceptEnds = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}

// accepting is a listener that goes on where the system fails to let somebody in: it has no descriptor or no memory left, or the
// client's network is broken (accept(2)). The library gives up at most of these, and the node would end.
type accepting struct {
	net.Listener
	complain *lograte.Limited
}

func (l accepting) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		for _, end := range acceptEnds {
			if errors.Is(err, end) {
				return nil, err
			}
		}
		l.complain.Warn("nobody is let in for a moment: look at the machine's memory and at the limit on descriptors", "error", err)
		time.Sleep(acceptAgain)
	}
}

// openWithin is how long what a node needs is tried to be opened, where the system fails to: an address may still be a process's that
// is just ending. It leaves room in the 6 s within which a process that follows another is to be ready.
const openWithin = 3 * time.Second

// tryForAMoment calls open until it succeeds, or fails with what another moment does not change.
func tryForAMoment(open func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), openWithin)
	defer cancel()
	return sock.Retry(ctx, func() error { return open(ctx) })
}

// openListener opens a listener that a node needs.
func openListener(open func(context.Context) (net.Listener, error)) (l net.Listener, err error) {
	err = tryForAMoment(func(ctx context.Context) (err error) {
		l, err = open(ctx)
		return err
	})
	return l, err
}
