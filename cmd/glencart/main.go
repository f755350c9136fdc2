// Command glencart runs one node of the platform's balancer. It reads its configuration from the file in
// BALANCER_CONFIG. With a subcommand it executes glencart-site from the same directory instead. That keeps the
// code for other installations out of the node's binary.
package main

import (
	"cmp"
	"context"
	"fmt"
	golog "log"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"glencart/internal/lograte"
	"glencart/internal/node"
)

// maxLogBytes bounds the log output that waits for a slow reader, in bytes. The lines for a list of a thousand
// backends take 140 kB. logCloseTimeout is how long the node waits for the reader at its end.
const maxLogBytes, logCloseTimeout = 256 << 10, 20 * time.Millisecond

func main() {
	if len(os.Args) > 1 {
		sitePath, err := os.Executable()
		if err == nil {
			sitePath = filepath.Join(filepath.Dir(sitePath), "glencart-site")
			err = syscall.Exec(sitePath, append([]string{sitePath}, os.Args[1:]...), os.Environ())
		}
		fmt.Fprintf(os.Stderr, "glencart: %s: %v: build it into the same directory: go build -o bin/ ./cmd/...\n", sitePath, err)
		os.Exit(1)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "glencart:", err)
		os.Exit(1)
	}
}

func run() error {
	signal.Ignore(syscall.SIGPIPE) // otherwise the next log line ends the process once the log has no reader
	// This comes first, because without a handler SIGHUP ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv("BALANCER_CONFIG")
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	// The environment overrides the file. Two processes may read one file, and each has its own management
	// endpoint.
	cfg.Management = cmp.Or(os.Getenv("BALANCER_MANAGEMENT"), cfg.Management)
	if cfg.AcceptFD = os.Getenv("BALANCER_ACCEPT_FD"); cfg.AcceptFD != "" {
		cfg.Shared = os.Getenv("TMPDIR")
	}
	setRuntimeLimits(cfg.Limits)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	out := lograte.NewWriter(os.Stderr, maxLogBytes)
	defer out.Close(logCloseTimeout)
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: logLevel(os.Getenv("BALANCER_LOG"))}))
	golog.SetFlags(0)
	golog.SetOutput(&lograte.Limited{Log: log})
	n, err := node.New(ctx, cfg, log)
	if err != nil {
		if ctx.Err() != nil { // the process got SIGTERM before it accepted clients
			return nil
		}
		return err
	}
	go func() {
		for range reload {
			if cfg, err := node.LoadConfig(path); err != nil {
				n.LogReloadFailure(err)
			} else {
				n.Reload(cfg)
			}
		}
	}()
	return n.Run(ctx)
}

// logLevel returns the level of a name such as "debug". An unknown name stands for the usual level.
func logLevel(name string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return level
}

// setRuntimeLimits sets the runtime's limits to those of the machine. The collector runs seldom, and more often
// near the memory limit.
func setRuntimeLimits(l node.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Round(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.Heap())
		debug.SetGCPercent(200)
	}
}
