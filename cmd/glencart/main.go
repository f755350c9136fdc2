// Command glencart is one real node: a request balancer on real sockets. It reads its configuration from the
// file that BALANCER_CONFIG names.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"glencart/internal/node"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "glencart:", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, err := node.LoadConfig(os.Getenv("BALANCER_CONFIG"))
	if err != nil {
		return err
	}
	limit(cfg.Limits)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// limit fits the runtime into the machine. The collector starts seldom, and works harder where memory is short.
func limit(l node.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Round(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryMB << 20 / 10 * 7)
		debug.SetGCPercent(200)
	}
}
