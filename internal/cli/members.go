package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"glencart/internal/members/follow"
	"glencart/internal/members/kept"
	"glencart/internal/settings"
	"glencart/internal/site"
	"glencart/merge"
)

type membersCmd struct {
	File string        `arg:"" help:"The installation's file (TOML)." type:"path"`
	Pool string        `help:"Only this pool."`
	Wait time.Duration `default:"3s" help:"How long to listen to the sources."`
	Live bool          `help:"Do not ask: show what the running process has written to node.keep, and, with [fleet], what it knows of the other instances."`
	JSON bool          `help:"One JSON object."`
}

// memberLine is one box as it is shown.
type memberLine struct {
	Box     string   `json:"box"`
	Address string   `json:"address"`
	State   string   `json:"state"`
	Tier    int      `json:"tier,omitempty"`
	Rule    string   `json:"rule"`
	Note    string   `json:"note,omitempty"`
	Says    []string `json:"says"` // by source
	Differs bool     `json:"differs,omitempty"`
}

// memberPool is one pool as it is shown.
type memberPool struct {
	Pool    string       `json:"pool"`
	At      time.Time    `json:"at"`
	Sources []string     `json:"sources"`
	Boxes   []memberLine `json:"boxes"`
}

// Run shows what the sources of each pool say, and what is made of it. It ends with ExitDifferences where they disagree.
func (c *membersCmd) Run(x *Context) error {
	s, err := site.Load(c.File)
	if err != nil {
		return exit{ExitBadInput, err}
	}
	var pools []memberPool
	for i := range s.Pools {
		p := &s.Pools[i]
		if len(p.Sources) == 0 || c.Pool != "" && c.Pool != p.Name {
			continue
		}
		show := c.listen
		if c.Live {
			show = c.live
		}
		got, err := show(x, s, p)
		if err != nil {
			return exit{ExitBadInput, err}
		}
		pools = append(pools, got)
	}
	var known *fleetView
	if c.Live && s.Fleet != nil && c.Pool == "" {
		if known, err = askFleet(s.Fleet); err != nil {
			return exit{ExitFailed, err}
		}
	}
	if len(pools) == 0 && known == nil {
		return exit{ExitBadInput, errors.New("no pool with sources: see pool.sources in docs/MEMBERS.md")}
	}
	differ := false
	for _, p := range pools {
		for _, b := range p.Boxes {
			differ = differ || b.Differs
		}
	}
	if c.JSON {
		var all any = pools
		if known != nil {
			all = map[string]any{"pools": pools, "fleet": known}
		}
		if err := json.NewEncoder(x.Out).Encode(all); err != nil {
			return err
		}
	} else {
		known.show(x.Out)
		for _, p := range pools {
			fmt.Fprintf(x.Out, "pool %s, %d boxes\n", p.Pool, len(p.Boxes))
			w := tabwriter.NewWriter(x.Out, 2, 0, 2, ' ', 0)
			fmt.Fprintf(w, "  box\taddress\tstate\trule\t%s\t\n", strings.Join(p.Sources, "\t"))
			for _, b := range p.Boxes {
				state := b.State
				if b.Note != "" {
					state += " (" + b.Note + ")"
				}
				fmt.Fprintf(w, "  %s\t%s\t%s\t%s\t%s\t\n", b.Box, b.Address, state, b.Rule, strings.Join(b.Says, "\t"))
			}
			w.Flush()
		}
	}
	if differ {
		return exit{code: ExitDifferences}
	}
	return nil
}

// listen asks the sources itself.
func (c *membersCmd) listen(x *Context, s *site.Site, p *site.Pool) (memberPool, error) {
	start := time.Now()
	clock := func() time.Duration { return time.Duration(start.UnixNano()) + time.Since(start) }
	m, err := follow.New(p, settings.Settings{}, s.Node.Keep, x.Log.With("pool", p.Name), clock())
	if err != nil {
		return memberPool{}, err
	}
	var mu sync.Mutex
	m.Start(clock())
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	var wg sync.WaitGroup
	m.Run(ctx, func(f func()) { wg.Go(f) }, func(event func(time.Duration) (merge.Event, bool)) {
		mu.Lock()
		defer mu.Unlock()
		if ev, counts := event(clock()); counts {
			m.HandleEvent(clock(), ev)
		}
	})
	<-ctx.Done()
	wg.Wait()
	m.HandleDue(clock())
	got := memberPool{Pool: p.Name, At: time.Now(), Sources: m.SourceNames}
	for _, v := range m.Merge.Views() {
		b := memberLine{Box: v.ID, Address: v.Addr, State: phaseNames[v.Endpoint.Phase], Tier: v.Tier, Rule: merge.Rules[v.Rule].Name, Note: v.Note, Differs: v.HasConflict()}
		for _, said := range v.Votes {
			text := said.Vote.String()
			if said.Remaining != 0 {
				text += fmt.Sprintf(" (%v)", said.Remaining.Round(time.Second))
			}
			b.Says = append(b.Says, text)
		}
		got.Boxes = append(got.Boxes, b)
	}
	return got, nil
}

var phaseNames = []string{"ready", "draining", "gone"}

// live shows what a running process has written.
func (c *membersCmd) live(_ *Context, s *site.Site, p *site.Pool) (memberPool, error) {
	if s.Node.Keep == "" {
		return memberPool{}, errors.New("node.keep: not set: a running process shows its list there")
	}
	l, err := kept.Read(s.Node.Keep, p.Name)
	if err != nil {
		return memberPool{}, err
	}
	if l == nil {
		return memberPool{}, fmt.Errorf("pool %q: nothing is kept in %s: has the process run?", p.Name, s.Node.Keep)
	}
	got := memberPool{Pool: p.Name, At: l.SavedAt, Sources: l.Sources}
	for _, b := range l.Backends {
		line := memberLine{Box: b.ID, Address: b.Address, State: "ready", Tier: b.Tier, Rule: b.Rule, Note: b.Note, Says: b.Votes, Differs: b.SourcesDisagree}
		if b.Draining {
			line.State = "draining"
		}
		got.Boxes = append(got.Boxes, line)
	}
	return got, nil
}
