// Package cli is the operators' command line: one file a verb.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes, beside 0 and kong's own 80 for a wrong call.
const (
	ExitFailed      = 1
	ExitBadInput    = 2
	ExitDifferences = 3
	ExitUnsafe      = 4
)

// exit ends with a code, and says why where there is something to say.
type exit struct {
	code int
	err  error
}

func (e exit) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns what was behind it.
func (e exit) Unwrap() error { return e.err }

// Context is what every verb has.
type Context struct {
	Log *slog.Logger
	Out io.Writer
}

type root struct {
	LogFormat string `enum:"text,json" default:"text" help:"How log lines are written to standard error: text or json."`
	Verbose   bool   `short:"v" help:"Log details too."`

	Serve   serveCmd   `cmd:"" help:"Serve an installation: listeners, routes and pools of a file."`
	Check   checkCmd   `cmd:"" help:"Check a file, and say what it has."`
	Route   routeCmd   `cmd:"" help:"Tell where a request would go."`
	Diff    diffCmd    `cmd:"" help:"Tell in words what another version of a file changes for traffic."`
	Members membersCmd `cmd:"" help:"Show what the sources of each pool say of its boxes, and what is made of it."`
	Demo    demoCmd    `cmd:"" help:"Show what glencart does, on this machine, in about 15 seconds."`
	Lab     labCmd     `cmd:"" help:"Play fleets in virtual time: scenarios, policies, comparisons."`
	Load    loadCmd    `cmd:"" help:"Send load to a real front, at times that are set beforehand."`
	Import  importCmd  `cmd:"" help:"Make a file from another program's configuration."`
}

// Main runs a command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	var r root
	code := -1
	k, err := kong.New(&r, kong.Name("glencart"), kong.Description("A request balancer: many boxes, no request lost, no effect twice.\nWithout a verb it is the platform's node and reads the file that BALANCER_CONFIG names."),
		kong.UsageOnError(), kong.Writers(out, errs), kong.Exit(func(c int) { code = c }))
	if err != nil {
		fmt.Fprintln(errs, "glencart:", err)
		return ExitFailed
	}
	ctx, err := k.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintln(errs, "glencart:", err)
		return ExitBadInput
	}
	level := slog.LevelInfo
	if r.Verbose {
		level = slog.LevelDebug
	}
	opts := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(errs, opts)
	if r.LogFormat == "json" {
		h = slog.NewJSONHandler(errs, opts)
	}
	err = ctx.Run(&Context{Log: slog.New(h), Out: out})
	if err == nil {
		return 0
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(errs, "glencart:", text)
	}
	var e exit
	if errors.As(err, &e) {
		return e.code
	}
	return ExitFailed
}

// Run is Main for the program itself.
func Run() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
