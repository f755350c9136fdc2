package detect

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// script runs a script of testdata: a fleet in virtual time, its faults, and the views of its members. The commands, one a line:
//
//	fleet n=5 seed=1 loss=0.1 forget=.. — starts processes a, b, ... with a, b and c as seeds
//	start x seeds=a,b clock=-5s         — starts one more, or restarts an ended one, with a clock offset
//	twin a                              — starts a second process of a name
//	crash a | leave a | away a 20s | back a
//	pause a 10s [lost]                  — lost: messages that arrive meanwhile are lost
//	cut a>b c>*                         — cuts directions between processes
//	part a,b                            — separates these from all others
//	turning a b                         — the same in one direction, which reverses each second
//	mend                                — ends all cuts
//	run 10s | whole 60s                 — whole: runs until all views agree, prints the time taken, up to a limit
//	changes                             — prints the changes in all views since the last time, grouped
//	view a | via a b | sizes
type script struct {
	t       *testing.T
	s       *sim
	seen    []string
	at      map[string][]string
	span    map[string][2]time.Duration
	newNode func(*Config) node
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := &script{t: t}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd != "do" {
				t.Fatalf("%s: %s: unknown command, the only one is do", td.Pos, td.Cmd)
			}
			var b strings.Builder
			for line := range strings.Lines(td.Input) {
				if f := strings.Fields(line); len(f) > 0 {
					b.WriteString(c.do(td.Pos, f))
				}
			}
			if b.Len() == 0 {
				return "ok\n"
			}
			return b.String()
		})
	})
}

// record stores a change for the next command "changes".
func (c *script) record(n *simNode, a Action) {
	var change string
	switch a.Kind {
	case Changed:
		change = fmt.Sprintf("%s: %s -> %s", a.Update.Name, a.Old, a.Update.State)
		if a.Old == a.Update.State {
			change = a.Update.Name + ": " + a.Cause
		}
	case CutOff:
		if change = "cut off, " + a.Cause; !a.IsCutOff {
			change = "cut off no more"
		}
	case Superseded:
		change = "superseded"
	case Renamed:
		change = "has a later start"
	default:
		return
	}
	if _, ok := c.at[change]; !ok {
		c.seen = append(c.seen, change)
		c.span[change] = [2]time.Duration{c.s.now, c.s.now}
	}
	if !slices.Contains(c.at[change], n.name) {
		c.at[change] = append(c.at[change], n.name)
	}
	c.span[change] = [2]time.Duration{c.span[change][0], c.s.now}
}

func (c *script) reset() {
	c.seen, c.at, c.span = nil, map[string][]string{}, map[string][2]time.Duration{}
}

func (c *script) do(pos string, f []string) string {
	dur := func(s string) time.Duration {
		d, err := time.ParseDuration(s)
		if err != nil {
			c.t.Fatalf("%s: %v", pos, err)
		}
		return d
	}
	args := map[string]string{}
	var plain []string
	for _, a := range f[1:] {
		if k, v, ok := strings.Cut(a, "="); ok {
			args[k] = v
		} else {
			plain = append(plain, a)
		}
	}
	switch f[0] {
	case "fleet":
		seed, _ := strconv.ParseUint(args["seed"], 10, 64)
		n, _ := strconv.Atoi(args["n"])
		c.s = newSim(seed)
		c.s.loss, _ = strconv.ParseFloat(args["loss"], 64)
		c.reset()
		c.s.onAction = c.record
		c.newNode = newDetectFunc(func(cfg *Config) {
			if v := args["forget"]; v != "" {
				cfg.ForgetAfter = dur(v)
			}
		})
		c.s.fleet(n, c.newNode)
	case "start":
		if off := args["clock"]; off != "" {
			n := c.s.nodeNamed(plain[0])
			if n == nil {
				n = &simNode{name: plain[0], addr: plain[0] + ":7946"}
				c.s.nodes, c.s.byAddr[n.addr] = append(c.s.nodes, n), n
			}
			n.offset = dur(off)
		}
		c.s.start(plain[0], c.newNode, strings.Split(args["seeds"], ",")...)
	case "twin": // a second process of a name, at another address
		n := &simNode{name: plain[0], addr: plain[0] + "2:7946"}
		c.s.nodes, c.s.byAddr[n.addr] = append(c.s.nodes, n), n
		n.process++
		n.up, n.wake = true, never
		n.node = New(Config{Name: plain[0], Addr: n.addr, Start: FirstStart(time.Unix(1_800_000_000, 0).Add(c.s.now), 1), Seed: 99, Seeds: []string{"a:7946", "b:7946"}})
		n.name = plain[0] + "2"
		c.s.handle(n, Event{Kind: Start})
	case "crash":
		for _, name := range plain {
			c.s.crash(c.s.nodeNamed(name))
		}
	case "leave":
		c.s.handle(c.s.nodeNamed(plain[0]), Event{Kind: Leave})
		c.s.crash(c.s.nodeNamed(plain[0]))
	case "away":
		c.s.handle(c.s.nodeNamed(plain[0]), Event{Kind: BeginAway, Until: dur(plain[1])})
	case "back":
		c.s.handle(c.s.nodeNamed(plain[0]), Event{Kind: Start})
	case "pause":
		lost := plain[len(plain)-1] == "lost"
		if lost {
			plain = plain[:len(plain)-1]
		}
		last := len(plain) - 1
		for _, name := range plain[:last] {
			c.s.pause(c.s.nodeNamed(name), dur(plain[last]))
			c.s.nodeNamed(name).losesInbox = lost
		}
	case "cut":
		for _, a := range plain {
			from, to, _ := strings.Cut(a, ">")
			for _, n := range c.s.nodes {
				switch {
				case to == "*" && n.name != from:
					c.s.cut[link{from, n.name}] = true
				case from == "*" && n.name != to:
					c.s.cut[link{n.name, to}] = true
				}
			}
			c.s.cut[link{from, to}] = true
		}
	case "part":
		side := strings.Split(plain[0], ",")
		c.s.cutFunc = func(a, b *simNode) bool { return slices.Contains(side, a.name) != slices.Contains(side, b.name) }
	case "turning": // the direction of the cut between these and all others reverses each second
		c.s.cutFunc = func(a, b *simNode) bool {
			odd := c.s.now/time.Second%2 == 1
			return odd && slices.Contains(plain, a.name) || !odd && slices.Contains(plain, b.name)
		}
	case "mend":
		c.s.cut, c.s.cutFunc = map[link]bool{}, nil
	case "run":
		c.s.run(c.s.now + dur(plain[0]))
	case "whole":
		took := c.s.until(dur(plain[0]), 500*time.Millisecond, c.s.hasOneView)
		if took < 0 {
			return "not whole\n"
		}
		return fmt.Sprintf("whole after %s\n", took)
	case "view":
		var b strings.Builder
		for _, name := range plain {
			fmt.Fprintf(&b, "%s holds: %s\n", name, c.s.nodeNamed(name).view())
		}
		return b.String()
	case "via":
		w, ok := c.s.nodeNamed(plain[0]).d().Via(plain[1])
		if !ok {
			return "no way\n"
		}
		return fmt.Sprintf("%s reaches %s by %s\n", plain[0], plain[1], w.Name)
	case "sizes":
		var b strings.Builder
		for _, n := range c.s.nodes {
			if n.up {
				fmt.Fprintf(&b, "%s %d ", n.name, n.size)
			}
		}
		return strings.TrimSpace(b.String()) + "\n"
	case "changes":
		var b strings.Builder
		for _, what := range c.seen {
			slices.Sort(c.at[what])
			span := c.span[what]
			fmt.Fprintf(&b, "%s (at %s, from %.0fs to %.0fs)\n", what, strings.Join(c.at[what], " "), span[0].Seconds(), span[1].Seconds())
		}
		c.reset()
		if b.Len() == 0 {
			return "none\n"
		}
		return b.String()
	default:
		c.t.Fatalf("%s: %s: unknown command", pos, f[0])
	}
	return ""
}
