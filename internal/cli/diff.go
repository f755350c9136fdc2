package cli

import (
	"encoding/json"
	"fmt"

	"glencart/internal/site"
	"glencart/internal/site/diff"
)

type diffCmd struct {
	Old  string `arg:"" help:"The file that is in use (TOML)." type:"path"`
	New  string `arg:"" help:"The file that is to follow it." type:"path"`
	JSON bool   `help:"One JSON list."`
}

// Help tells what the exit codes mean.
func (c *diffCmd) Help() string {
	return "Both route tables are asked where requests would go; what differs is told in words, with what may come of it in brackets.\n\n" +
		"Exit codes: 0 no difference for traffic, 3 differences, 4 differences of which something may come that nobody meant, 2 a file that can't be used."
}

// Run compares two files.
func (c *diffCmd) Run(x *Context) error {
	old, err := site.Load(c.Old)
	if err != nil {
		return exit{ExitBadInput, err}
	}
	now, err := site.Load(c.New)
	if err != nil {
		return exit{ExitBadInput, err}
	}
	lines, err := diff.Files(old, now)
	if err != nil {
		return exit{ExitBadInput, err}
	}
	if c.JSON {
		if lines == nil {
			lines = []diff.Line{}
		}
		enc := json.NewEncoder(x.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(lines); err != nil {
			return err
		}
	}
	code := 0
	for _, l := range lines {
		if !c.JSON {
			fmt.Fprintln(x.Out, l)
		}
		code = max(code, ExitDifferences)
		if l.Risk != "" {
			code = ExitUnsafe
		}
	}
	if code == 0 {
		return nil
	}
	return exit{code: code}
}
