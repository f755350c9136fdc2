package node

import (
	"context"
	"net"
	"time"

	"glencart/internal/sock"
)

// openTimeout is how long the node tries to open what it needs while the system call fails. An address may still
// belong to a process that is just ending. The time leaves room within the 6 s in which a successor must be
// ready.
const openTimeout = 3 * time.Second

// retryOpen calls open until it succeeds, fails with a permanent error, or ctx ends.
func retryOpen(ctx context.Context, open func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return sock.Retry(ctx, func() error { return open(ctx) })
}

// openListener opens a listener with the retries of retryOpen.
func openListener(ctx context.Context, open func(context.Context) (net.Listener, error)) (l net.Listener, err error) {
	err = retryOpen(ctx, func(ctx context.Context) (err error) {
		l, err = open(ctx)
		return err
	})
	return l, err
}
