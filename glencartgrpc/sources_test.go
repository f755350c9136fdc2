package glencartgrpc_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"glencart/glencartgrpc"
	"glencart/internal/standin"
	"glencart/internal/standin/box"
	"glencart/internal/standin/grpcbox"
)

// Backends from a file and fixed ones beside it: a drain in the file is heeded, a backup steps in when no other is ready and back
// when one is, health checks by gRPC take one out that is not well, and the kept list starts a plug-in whose file is gone.
func TestSources(t *testing.T) {
	ledger := box.NewLedger()
	s := start(t, ledger, 3)
	dir := t.TempDir()
	path := filepath.Join(dir, "boxes.toml")
	put := func(states ...string) {
		var text strings.Builder
		for i, state := range states {
			fmt.Fprintf(&text, "[[box]]\nid = %q\naddress = %q\nstate = %q\n", s[i].ID, s[i].Addr, state)
		}
		if err := os.WriteFile(path+".new", []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	put("ready", "ready")
	sources := fmt.Sprintf("keep = %q\nboxes = [{ id = %q, address = %q, backup = true }]\nsources = [{ name = \"f\", file = %q }]\n",
		filepath.Join(dir, "kept"), s[2].ID, s[2].Addr, path)
	c := connect(t, config(func(cfg *glencartgrpc.Config) { cfg.Sources = sources }))
	ctx := within(t, standin.Patience)
	named := func(seen map[string]bool) string {
		text := ""
		for _, b := range s {
			if seen[b.ID] {
				text += b.ID + " "
			}
		}
		return text
	}
	await := func(c *client, want string) {
		t.Helper()
		standin.Eventually(t, "calls to "+want, func() bool {
			seen := map[string]bool{}
			for i := range 20 {
				if who, err := c.ask(ctx, grpcbox.Read, fmt.Sprint("r", i)); err == nil {
					seen[who] = true
				}
			}
			return named(seen) == want
		})
	}
	// One call after another goes to the backend whose first answers were quicker, for 20 s and more (ROADMAP): it takes calls at once for
	// the other one to have its part, and rounds until both are connected.
	both := map[string]bool{}
	standin.Eventually(t, "calls to b0 and b1", func() bool {
		var mu sync.Mutex
		var calls sync.WaitGroup
		for i := range 20 {
			calls.Go(func() {
				if who, err := c.ask(ctx, grpcbox.Read, fmt.Sprint("both", i)); err == nil {
					mu.Lock()
					both[who] = true
					mu.Unlock()
				}
			})
		}
		calls.Wait()
		return len(both) > 1
	})
	if got := named(both); got != "b0 b1 " {
		t.Errorf("calls to %s: a backup is not used while others are ready", got)
	}
	put("draining", "ready")
	await(c, "b1 ")
	put("draining", "draining")
	await(c, "b2 ")
	put("draining", "ready")
	await(c, "b1 ")
	standin.Eventually(t, "a kept list", func() bool { files, _ := os.ReadDir(filepath.Join(dir, "kept")); return len(files) > 0 })
	if err := c.SetList(nil); err == nil {
		t.Error("takes a list beside Sources")
	}
	c.cc.Close()
	c.Close()
	os.Remove(path)
	await(connect(t, config(func(cfg *glencartgrpc.Config) { cfg.Sources = sources })), "b1 ")
}

// A plug-in that is closed leaves the list as it stands then, and not the one of a second before: a start with its sources down would
// send to what drains.
func TestCloseKeepsTheLastList(t *testing.T) {
	s := start(t, box.NewLedger(), 2)
	dir := t.TempDir()
	path, keep := filepath.Join(dir, "boxes.toml"), filepath.Join(dir, "kept")
	put := func(state string) {
		text := fmt.Sprintf("[[box]]\nid = %q\naddress = %q\nstate = %q\n[[box]]\nid = %q\naddress = %q\n", s[0].ID, s[0].Addr, state, s[1].ID, s[1].Addr)
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	put("ready")
	sources := fmt.Sprintf("keep = %q\nsources = [{ name = \"f\", file = %q }]\n", keep, path)
	text := func() string {
		files, _ := filepath.Glob(filepath.Join(keep, "*"))
		if len(files) != 1 {
			return ""
		}
		text, _ := os.ReadFile(files[0])
		return string(text)
	}
	c := connect(t, config(func(cfg *glencartgrpc.Config) { cfg.Sources = sources }))
	standin.Eventually(t, "a kept list", func() bool { return text() != "" })
	put("draining")
	standin.Eventually(t, "the drain is told", func() bool {
		for i := range 10 {
			if who, err := c.ask(within(t, standin.Patience), grpcbox.Read, fmt.Sprint("r", i)); err != nil || who != s[1].ID {
				return false
			}
		}
		return true
	})
	c.cc.Close()
	c.Close()
	if !strings.Contains(text(), `"draining":true`) {
		t.Errorf("kept: %s", text())
	}
}

// What can't be meant has one error with its place.
func TestSourcesErrors(t *testing.T) {
	for text, want := range map[string]string{
		"sources = [\n{ dns = \"menu\" }]":     `config: Sources:2: pool.sources.0.dns: "menu" is no SRV name`,
		"boxes = [{ adress = \"1.1.1.1:1\" }]": `config: Sources:1: adress: no such key`,
		"":                                     "",
		"guard = 0.5":                          "config: Sources:",
		"boxes = [{ address = \"1.1.1.1:1\" }]\ncheck = { grpc = \"\", every = \"1ms\" }": "config: Sources:2: pool.check.every: shorter than",
	} {
		p, err := glencartgrpc.New(config(func(cfg *glencartgrpc.Config) { cfg.Sources = text }))
		if want == "" {
			if err != nil {
				t.Error(err)
			} else {
				p.Close()
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	_, err := glencartgrpc.New(config(func(cfg *glencartgrpc.Config) {
		cfg.Sources, cfg.Discovery = "boxes = [{ address = \"1.1.1.1:1\" }]", "127.0.0.1:1"
	}))
	if err == nil || !strings.Contains(err.Error(), "both are given") {
		t.Error(err)
	}
}
