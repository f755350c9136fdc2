package cli

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"glencart/internal/importer/nginx"
)

type importCmd struct {
	Nginx nginxCmd `cmd:"" help:"Read an nginx configuration: http, server, location and upstream blocks."`
}

type nginxCmd struct {
	File         string   `arg:"" help:"The configuration, such as nginx.conf."`
	Out          string   `short:"o" default:"site.toml" help:"Where the installation's file goes."`
	Report       string   `help:"Where the report goes: a name ending in .json, or another for text. Without it, text to standard output."`
	NginxVersion string   `help:"The version it was written for: before 1.9.13 nginx resent requests of any method."`
	AcceptUnsafe []string `placeholder:"NAME" help:"Unsafe findings that you know of, by directive or FILE:LINE. They are not carried all the same."`
}

// Run imports. It exits with 0 when all was carried, 3 with differences, 4 with anything unsafe (and writes no file unless
// that is accepted by name), 2 on bad input.
func (c *nginxCmd) Run(x *Context) error {
	res, err := nginx.Import(nginx.Disk{}, filepath.Clean(c.File), nginx.Options{Version: c.NginxVersion, Accept: c.AcceptUnsafe})
	if err != nil {
		return exit{ExitBadInput, err}
	}
	if err := c.report(x, res.Report); err != nil {
		return err
	}
	if open := res.Report.Unsafe(); len(open) > 0 {
		var lines []string
		for _, f := range open {
			lines = append(lines, fmt.Sprintf("  %s:%d: %s: %s", f.File, f.Line, f.Directive, f.Note))
		}
		return exit{ExitUnsafe, fmt.Errorf("%d unsafe, so %s is not written:\n%s\nChange them, or name them with --accept-unsafe: they are refused all the same", len(open), c.Out, strings.Join(lines, "\n"))}
	}
	if err := os.WriteFile(c.Out, res.Text, 0o644); err != nil {
		return err
	}
	fmt.Fprintf(x.Out, "%s written: glencart check %s, then glencart serve %s\n", c.Out, c.Out, c.Out)
	switch {
	case res.Report.Count(nginx.Unsafe) > 0:
		return exit{code: ExitUnsafe}
	case res.Report.Count(nginx.Difference)+res.Report.Count(nginx.NotCarried) > 0:
		return exit{code: ExitDifferences}
	}
	return nil
}

func (c *nginxCmd) report(x *Context, r *nginx.Report) (err error) {
	if c.Report == "" {
		return r.Text(x.Out)
	}
	f, err := os.Create(c.Report)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if strings.HasSuffix(c.Report, ".json") {
		return r.JSON(f)
	}
	return r.Text(f)
}
