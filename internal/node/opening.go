package node

import (
	"context"
	"net"
	"time"

	"glencart/internal/sock"
)

// openWithin is how long what a node needs is tried to be opened, where the system fails to: an address may still be a process's that
// is just ending. It leaves room in the 6 s within which a process that follows another is to be ready.
const openWithin = 3 * time.Second

// tryForAMoment calls open until it succeeds, fails with what another moment does not change, or ctx ends.
func tryForAMoment(ctx context.Context, open func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, openWithin)
	defer cancel()
	return sock.Retry(ctx, func() error { return open(ctx) })
}

// openListener opens a listener that a node needs.
func openListener(ctx context.Context, open func(context.Context) (net.Listener, error)) (l net.Listener, err error) {
	err = tryForAMoment(ctx, func(ctx context.Context) (err error) {
		l, err = open(ctx)
		return err
	})
	return l, err
}
