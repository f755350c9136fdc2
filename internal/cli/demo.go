package cli

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"glencart/internal/demo"
)

type demoCmd struct {
	Keep  bool    `help:"Stay up after it, with URLs to try."`
	Speed float64 `default:"1" help:"How many times faster than 15 seconds it goes."`
}

// Run plays the demo. A broken rule is a failure.
func (c *demoCmd) Run(x *Context) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	sum, err := demo.Run(ctx, demo.Options{Out: x.Out, Log: slog.New(slog.DiscardHandler), Speed: c.Speed, Keep: c.Keep})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err == nil && sum.Broken() {
		err = errors.New("a rule was broken")
	}
	return err
}
