// Command glencart is one real node: a request balancer on real sockets. It reads its configuration from the
// file that BALANCER_CONFIG names. With a verb it runs glencart-site, which stands beside it: the node does not grow by
// what other installations need.
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

// logMost bounds what of the log waits for who reads it, in bytes: the lines of a list of a thousand backends are 140 kB.
// logWithin is how long the end of a node waits for that.
const logMost, logWithin = 256 << 10, 20 * time.Millisecond

func main() {
	if len(os.Args) > 1 {
		beside, err := os.Executable()
		if err == nil {
			beside = filepath.Join(filepath.Dir(beside), "glencart-site")
			err = syscall.Exec(beside, append([]string{beside}, os.Args[1:]...), os.Environ())
		}
		fmt.Fprintf(os.Stderr, "glencart: %s: %v: build it beside this program: go build -o bin/ ./cmd/...\n", beside, err)
		os.Exit(1)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "glencart:", err)
		os.Exit(1)
	}
}

func run() error {
	signal.Ignore(syscall.SIGPIPE) // else a log that nobody reads any more ends the process at its next line
	// Before anything else: unhandled, this signal ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv("BALANCER_CONFIG")
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	// What this process was told wins: two processes may read one file, and each has an admin endpoint of its own.
	cfg.Management = cmp.Or(os.Getenv("BALANCER_MANAGEMENT"), cfg.Management)
	if cfg.AcceptFD = os.Getenv("BALANCER_ACCEPT_FD"); cfg.AcceptFD != "" {
		cfg.Shared = os.Getenv("TMPDIR")
	}
	limit(cfg.Limits)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	out := lograte.NewWriter(os.Stderr, logMost)
	defer out.Close(logWithin)
	log := slog.New(slog.NewTextHandler(out, nil))
	golog.SetFlags(0)
	golog.SetOutput(&lograte.Limited{Log: log})
	n, err := node.New(ctx, cfg, log)
	if err != nil {
		if ctx.Err() != nil { // told to end before anybody could come
			return nil
		}
		return err
	}
	go func() {
		for range reload {
			if cfg, err := node.LoadConfig(path); err != nil {
				n.NotReloaded(err)
			} else {
				n.Reload(cfg)
			}
		}
	}()
	return n.Run(ctx)
}

// limit fits the runtime into the machine. The collector starts seldom, and works harder where memory is short.
func limit(l node.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Round(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.Heap())
		debug.SetGCPercent(200)
	}
}
