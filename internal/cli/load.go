package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"glencart/internal/load"
)

type loadCmd struct {
	URL     string        `arg:"" help:"Such as http://127.0.0.1:8080."`
	Kinds   []string      `arg:"" optional:"" sep:"none" help:"Kinds of requests: \"GET /menu\", \"3 POST /orders 512 300ms\" (part, method, path, bytes, aim)."`
	Rate    float64       `default:"100" help:"Requests a second; with --search the highest that is tried."`
	For     time.Duration `default:"10s" help:"How long requests come."`
	Burst   int           `default:"1" help:"So many come at once."`
	Seed    uint64        `default:"1"`
	Timeout time.Duration `default:"5s" help:"How long a client waits."`
	Search  float64       `help:"Search the highest rate at which this part is served within its aim, such as 0.99."`
	Remote  bool          `help:"A target that is not on this machine is meant."`
	JSON    bool          `help:"The result as JSON."`
}

// Run sends load to a front. It exits with 3 when the tool itself was what was slow.
func (c *loadCmd) Run(x *Context) error {
	cfg := load.Config{URL: c.URL, Rate: c.Rate, For: c.For, Seed: c.Seed, Timeout: c.Timeout, Remote: c.Remote, Burst: c.Burst}
	if len(c.Kinds) == 0 {
		c.Kinds = []string{"GET /"}
	}
	for _, text := range c.Kinds {
		k, err := load.ParseKind(text)
		if err != nil {
			return exit{ExitBadInput, err}
		}
		cfg.Kinds = append(cfg.Kinds, k)
	}
	if err := cfg.Check(); err != nil {
		return exit{ExitBadInput, err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	line := func(what string, r load.Result) {
		fmt.Fprintf(x.Out, "%8s  %7d asked  %7d served  %7d in aim  %6d refused  %5d failed  %5d lost  p50 %v  p99 %v  p99.9 %v\n", what, r.Asked, r.Served, r.InAim, r.Refused,
			r.Failed, r.Lost, r.P50, r.P99, r.P999)
	}
	if c.Search > 0 {
		best, err := load.Search(ctx, cfg, c.Search, func(rate float64, r load.Result) { line(fmt.Sprintf("%.0f/s", rate), r) })
		if err == nil {
			fmt.Fprintf(x.Out, "%.0f a second is the highest rate tried at which %.1f%% are served within their aims\n", best, 100*c.Search)
		}
		return err
	}
	tell := func(at time.Duration, r load.Result) { line(at.Round(time.Second).String(), r) }
	if c.JSON {
		tell = nil
	}
	r, err := load.Run(ctx, cfg, tell)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(x.Out).Encode(r); err != nil {
			return err
		}
	} else {
		line("all", r)
		fmt.Fprintf(x.Out, "%d of those without an answer were written whole: nothing is known of their effect\n", r.MayHaveRun)
	}
	if r.Slow {
		return exit{ExitDifferences, fmt.Errorf("the tool itself was late: 1%% of requests were taken up more than %v after they were due; lower the rate", r.LateP99)}
	}
	return nil
}
