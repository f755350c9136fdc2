package clients

import (
	"errors"
	"net"
	"syscall"
	"time"

	"glencart/internal/lograte"
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// permanentAcceptErrors are the errors after which a listener accepts no more connections.
var permanentAcceptErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP}

// Accepting returns a listener that retries when accept(2) fails because descriptors or memory run out or the client's
// network is broken. net/http stops serving at most of these errors, which would end the node.
func Accepting(l net.Listener, log *lograte.Limited) net.Listener { return retryingListener{l, log} }

type retryingListener struct {
	net.Listener
	log *lograte.Limited
}

func (l retryingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		for _, end := range permanentAcceptErrors {
			if errors.Is(err, end) {
				return nil, err
			}
		}
		l.log.Warn("can't accept connections, retrying: check the machine's memory and the limit on descriptors", "error", err)
		time.Sleep(acceptRetryDelay)
	}
}
