package cli

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"

	httpfront "glencart/internal/front/http"
	"glencart/internal/site"
	"glencart/route"
)

type serveCmd struct {
	File string `arg:"" help:"The installation's file (TOML)." type:"path"`
}

// Run serves until SIGTERM or an interrupt. SIGHUP has the file read anew.
func (c *serveCmd) Run(x *Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	s, err := site.Load(c.File)
	if err != nil {
		return exit{ExitBadInput, err}
	}
	v, err := httpfront.New(s, x.Log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-reload:
			}
			s, err := site.Load(c.File)
			if err == nil {
				err = v.Reload(s)
			}
			if err != nil {
				x.Log.Error("file not reloaded, the old one holds", "error", err)
			}
		}
	}()
	return v.Run(ctx)
}

type checkCmd struct {
	File string `arg:"" help:"The installation's file (TOML)." type:"path"`
}

// Run checks a file.
func (c *checkCmd) Run(x *Context) error {
	s, err := site.Load(c.File)
	if err != nil {
		return exit{ExitBadInput, err}
	}
	_, targets, err := s.Compile()
	if err != nil {
		return exit{ExitBadInput, err}
	}
	boxes, backups := 0, 0
	for _, p := range s.Pools {
		for _, b := range p.Boxes {
			boxes++
			if b.Backup {
				backups++
			}
		}
	}
	fmt.Fprintf(x.Out, "%s: good: %d listeners, %d servers, %d routes, %d pools, %d boxes (%d of them backups), %d classes, %d tenants\n",
		c.File, len(s.Listeners), len(s.Servers), len(targets), len(s.Pools), boxes, backups, len(s.Classes), len(s.Tenants))
	return nil
}

type routeCmd struct {
	File   string `arg:"" help:"The installation's file (TOML)." type:"path"`
	URL    string `arg:"" help:"Such as http://shop.example/menu/7."`
	Method string `short:"m" default:"GET" help:"The request's method."`
	Listen string `help:"The listener that it comes to; without it each is told."`
}

// Run tells where a request would go.
func (c *routeCmd) Run(x *Context) error {
	s, err := site.Load(c.File)
	if err != nil {
		return exit{ExitBadInput, err}
	}
	t, targets, err := s.Compile()
	if err != nil {
		return exit{ExitBadInput, err}
	}
	u, err := url.Parse(c.URL)
	if err != nil {
		return exit{ExitBadInput, err}
	}
	raw := u.EscapedPath()
	if raw == "" {
		raw = "/"
	}
	path, err := route.Normalize(raw, true)
	if err != nil {
		return exit{ExitBadInput, err}
	}
	for _, l := range s.Listeners {
		if c.Listen != "" && c.Listen != l.Name {
			continue
		}
		m := t.Lookup(l.Name, u.Host, path, strings.ToUpper(c.Method))
		fmt.Fprintf(x.Out, "%s (%s): ", l.Name, l.Address)
		switch m.Outcome {
		case route.Found:
			tg := targets[m.Route]
			if tg.Pool == "" {
				fmt.Fprintf(x.Out, "answered here with %d (%s)\n", tg.Status, tg.Place)
				continue
			}
			class := tg.Class
			if class == "" {
				class = "by method"
			}
			fmt.Fprintf(x.Out, "pool %s, class %s (%s)\n", tg.Pool, class, tg.Place)
		case route.NoMethod:
			fmt.Fprintf(x.Out, "405: no route for the method (%s)\n", m.Location.Position)
		default:
			fmt.Fprintln(x.Out, "404: no location")
		}
	}
	return nil
}
