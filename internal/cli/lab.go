package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/cespare/xxhash/v2"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"glencart/lab"
	"glencart/lab/slotted"
)

type labCmd struct {
	List  labListCmd  `cmd:"" help:"List the scenarios of the library, each with the question it asks."`
	Run   labRunCmd   `cmd:"" help:"Play scenarios under policies with several seeds, and compare."`
	Paper labPaperCmd `cmd:"" help:"Play the experiments of the paper behind the policy, in its own model."`
}

type labListCmd struct{}

// Run lists scenarios and policies.
func (c *labListCmd) Run(x *Context) error {
	all, err := lab.Library()
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(x.Out, 0, 8, 2, ' ', 0)
	for _, s := range all {
		n := 0
		for _, b := range s.Boxes {
			n += b.Count
		}
		fmt.Fprintf(t, "%s\t%d x %d\t%s\n", s.Name, s.Nodes, n, s.Question)
	}
	t.Flush()
	var names []string
	for _, p := range lab.Policies() {
		names = append(names, p.Name)
	}
	fmt.Fprintln(x.Out, "\npolicies:", strings.Join(names, ", "))
	return nil
}

type labRunCmd struct {
	Scenarios []string `arg:"" help:"Names of the library, files, or all."`
	Policies  string   `default:"glencart,round-robin,p2c,least-request" help:"Separated by commas, or all. The others are compared with the first."`
	Seeds     int      `default:"3" help:"Seeds 1 to N."`
	Nodes     int      `help:"So many nodes instead of the scenario's."`
	Boxes     float64  `default:"1" help:"So many times the boxes."`
	Load      float64  `default:"1" help:"So many times the rate."`
	Out       string   `short:"o" help:"An HTML report with plots."`
	JSON      string   `help:"Results as JSON lines; - for standard output."`
	Keep      string   `help:"A folder for results: a run that was stopped goes on where it was."`
}

// Run plays a grid.
func (c *labRunCmd) Run(x *Context) error {
	policies, err := lab.Find(c.Policies)
	if err != nil {
		return exit{ExitBadInput, err}
	}
	scenarios, err := c.scenarios()
	if err != nil {
		return exit{ExitBadInput, err}
	}
	if c.Seeds < 1 {
		return exit{ExitBadInput, errors.New("seeds: at least 1")}
	}
	cells := lab.Grid(scenarios, policies, c.Seeds)
	to := io.Discard // a bar is for a person who looks
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		to = os.Stderr
	}
	progress := mpb.New(mpb.WithOutput(to))
	bar := progress.AddBar(int64(len(cells)), mpb.PrependDecorators(decor.CountersNoUnit("%d of %d runs")), mpb.AppendDecorators(decor.AverageETA(decor.ET_STYLE_GO)))
	results, err := lab.Play(cells, lab.Store{Dir: c.Keep, Version: version()}, func(lab.Cell, *lab.Result, bool) { bar.Increment() })
	bar.Abort(false)
	progress.Wait()
	if err != nil {
		return err
	}
	rows := lab.Compare(results)
	printRows(x.Out, rows)
	if c.JSON != "" {
		if err := c.json(x, results); err != nil {
			return err
		}
	}
	if c.Out != "" {
		f, err := os.Create(c.Out)
		if err != nil {
			return err
		}
		return errors.Join(lab.HTML(f, scenarios, rows, results), f.Close())
	}
	return nil
}

func (c *labRunCmd) json(x *Context, results []*lab.Result) (err error) {
	w := x.Out
	if c.JSON != "-" {
		f, err := os.Create(c.JSON)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		w = f
	}
	e := json.NewEncoder(w)
	for _, r := range results {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

func (c *labRunCmd) scenarios() (out []*lab.Scenario, err error) {
	all, err := lab.Library()
	if err != nil {
		return nil, err
	}
	for _, name := range c.Scenarios {
		found := false
		for _, s := range all {
			if name == "all" || s.Name == name {
				out, found = append(out, s), true
			}
		}
		if found {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("scenario %q is not in the library (glencart lab list), and no file: %w", name, err)
		}
		s, err := lab.Parse(name, text)
		if err != nil {
			return nil, err
		}
		if s.Name == "" {
			s.Name = strings.TrimSuffix(filepath.Base(name), ".toml")
		}
		out = append(out, s)
	}
	for _, s := range out {
		if c.Nodes > 0 {
			s.Nodes = c.Nodes
		}
		s.Clients.Rate *= c.Load
		for i := range s.Boxes {
			s.Boxes[i].Count = max(1, int(float64(s.Boxes[i].Count)*c.Boxes))
		}
	}
	return out, nil
}

// version is the hash of this program: results of another one are not taken for its own.
func version() string {
	path, err := os.Executable()
	if err != nil {
		return ""
	}
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	h := xxhash.New()
	if _, err := io.Copy(h, f); err != nil {
		return ""
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

func printRows(w io.Writer, rows []lab.Row) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	last := ""
	for _, r := range rows {
		if r.Scenario != last {
			if last != "" {
				fmt.Fprintln(t, "\t\t\t\t\t\t\t\t\t\t")
			}
			fmt.Fprintf(t, "%s\tworth\tdifference (95%%)\twithin aim\tp50 ms\tp99 ms\tp99.9 ms\tattempts\tprobes\tpushed over\trules broken\t\n", r.Scenario)
			last = r.Scenario
		}
		fmt.Fprintf(t, "%s\t%.3f\t%+.3f ± %.3f\t%.1f%%\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%d\t%d\t\n", r.Policy, r.Worth, r.Less, r.Half, 100*r.InAim, r.P50, r.P99, r.P999,
			r.Tries, r.Probes, r.Fell, r.Broken)
	}
	t.Flush()
}

type labPaperCmd struct {
	Out   string `short:"o" help:"An HTML page with the plots."`
	Slots int    `default:"4000" help:"Time slots of a run."`
	Small bool   `help:"Only the figures with one dispatcher."`
}

// Run plays the paper's figures: mean jobs in the system over the load, and the end of stability of each policy.
func (c *labPaperCmd) Run(x *Context) error {
	loads := []float64{0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95, 0.98, 0.995}
	type job struct {
		fig    slotted.Figure
		strong int
		pol    slotted.Policy
		means  []float64
		msgs   float64
		edge   float64
	}
	var jobs []*job
	for _, f := range slotted.Figures() {
		if c.Small && f.Dispatchers > 1 {
			continue
		}
		for _, strong := range f.Strong {
			for _, p := range slotted.Policies() {
				jobs = append(jobs, &job{fig: f, strong: strong, pol: p})
			}
		}
	}
	var wg sync.WaitGroup
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	var failed error
	for _, j := range jobs {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			cfg := slotted.Config{Dispatchers: j.fig.Dispatchers, Strong: j.strong, Weak: j.fig.Servers - j.strong, Skew: j.fig.Skew, Slots: c.Slots, Seed: 1}
			stable := true
			for _, load := range loads {
				cfg.Load = load
				r, err := slotted.Run(cfg, j.pol)
				if err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
					return
				}
				if stable = stable && r.Stable; stable {
					j.edge = load
				}
				j.means, j.msgs = append(j.means, r.Mean), r.Messages
			}
		})
	}
	wg.Wait()
	if failed != nil {
		return failed
	}
	t := tabwriter.NewWriter(x.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tservers\tpolicy\tstable up to\tmean jobs at 0.5\tat 0.9\tmessages a slot at 0.995")
	var html strings.Builder
	html.WriteString("<!doctype html><meta charset=utf-8><title>The paper's figures</title><h1>The paper's figures</h1>")
	var lines []lab.Line
	for i, j := range jobs {
		fmt.Fprintf(t, "%s\t%d strong, %d weak, skew %g, %d dispatchers\t%s\t%.3f\t%.1f\t%.1f\t%.1f\n", j.fig.Name, j.strong, j.fig.Servers-j.strong, j.fig.Skew,
			j.fig.Dispatchers, j.pol.Name, j.edge, j.means[4], j.means[10], j.msgs)
		lines = append(lines, lab.Line{Name: j.pol.Name, X: loads, Y: j.means})
		if i == len(jobs)-1 || jobs[i+1].fig.Name != j.fig.Name || jobs[i+1].strong != j.strong {
			svg, err := lab.Plot(fmt.Sprintf("%s: %d strong, %d weak, skew %g", j.fig.Name, j.strong, j.fig.Servers-j.strong, j.fig.Skew), "load", "mean jobs in the system",
				lines, nil, 300*float64(j.fig.Dispatchers))
			if err != nil {
				return err
			}
			html.WriteString(svg)
			lines = nil
		}
	}
	t.Flush()
	if c.Out != "" {
		return os.WriteFile(c.Out, []byte(html.String()), 0o644)
	}
	return nil
}
