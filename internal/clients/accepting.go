package clients

import (
	"errors"
	"net"
	"syscall"
	"time"

	"glencart/internal/lograte"
)

// acceptAgain is how long nobody is let in after the system has failed to.
const acceptAgain = 10 * time.Millisecond

// acceptEnds are the errors after which a listener lets nobody in any more.
var acceptEnds = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}

// Accepting returns a listener that goes on where the system fails to let somebody in: it has no descriptor or no memory left, or the
// client's network is broken (accept(2)). The library gives up at most of these, and the node would end.
func Accepting(l net.Listener, complain *lograte.Limited) net.Listener { return accepting{l, complain} }

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
