package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfig = `{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.0.0.5:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},"peer_listen":"127.0.0.4:7946","peers":["127.0.0.6:7946"],
 "peers_all":"127.0.0.7:7946","known":{"revision":41,"complete":true,"members":[]},"settings":` + testSettings + `}`

// A valid configuration file is parsed with its seed, limits, cached list and classes.
func TestParseConfig(t *testing.T) {
	cfg, err := ParseConfig([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 0x8c1f30d27a5be964 || cfg.Limits.Sockets != 4096 || cfg.Known.Revision != 41 || len(cfg.Settings.Classes) != 3 {
		t.Errorf("%+v", cfg)
	}
}

// A missing or malformed value must give an error of one line that names the key. Operators see nothing else of it.
func TestInvalidConfigIsRejected(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"empty":          {validConfig, "", "JSON"},
		"no object":      {validConfig, "[]", "array"},
		"no listen":      {`"127.0.0.4:8443"`, `""`, "listen"},
		"bad listen":     {`"127.0.0.4:8443"`, `"here"`, "listen"},
		"bad discovery":  {`"127.0.0.5:8500"`, `"nowhere:x"`, "discovery"},
		"bad seed":       {"8c1f30d27a5be964", "xyz", "seed"},
		"bad peer":       {"127.0.0.6:7946", "peer", "peers"},
		"bad peers_all":  {"127.0.0.7:7946", "all", "peers_all"},
		"no settings":    {testSettings, "null", "settings"},
		"no classes":     {testSettings, "{}", "settings"},
		"bad effect":     {`"side_effect"`, `"sometimes"`, "effect"},
		"negative limit": {`"memory_mb":2048`, `"memory_mb":-1`, "limits"},
		"few sockets":    {`"sockets":4096`, `"sockets":8`, "sockets"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validConfig, tc.old, tc.new, 1)
			if text == validConfig {
				t.Fatal("the test case changes nothing")
			}
			_, err := ParseConfig([]byte(text))
			if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want one line with %q", err, tc.want)
			}
		})
	}
	if _, err := LoadConfig(""); err == nil {
		t.Error("no error for an empty file name")
	}
	if _, err := LoadConfig(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(innermostError(err)) {
		t.Errorf("missing file: %v", err)
	}
}

// innermostError returns the innermost error.
func innermostError(err error) error {
	for {
		wrapped, ok := err.(interface{ Unwrap() error })
		if !ok {
			return err
		}
		err = wrapped.Unwrap()
	}
}

// An unreadable cached list must not prevent the start. The list is only used until discovery answers.
func TestInvalidCachedListDoesNotPreventStart(t *testing.T) {
	cfg, err := ParseConfig([]byte(strings.Replace(validConfig, `"members":[]`, `"members":[{}]`, 1)))
	if err != nil || cfg.knownErr == nil || len(cfg.Known.Members) != 0 {
		t.Errorf("%v, %v", err, cfg.knownErr)
	}
}

// Settings with a duplicate or empty name of a class or tenant must not start a node or replace settings in use. Requests of both
// classes would be served as the first one, with the wrong effect.
func TestDuplicateOrEmptyNamesAreRejected(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"name":"token"`, `"name":"read"`, "classes[2].name: read is given twice: give each one a name of its own"},
		{`"name":"order"`, `"name":""`, "classes[1].name: empty: give each one a name"},
		{`[{"name":"acme",`, `[{"name":"acme","quotaPerS":1,"share":0},{"name":"acme",`, "tenants[1].name: acme is given twice: give each one a name of its own"},
		{`"coldShare":0.12`, `"coldShare":12`, "obligations.coldShare: 12 is no part of a capacity: give 0 to 1"},
	} {
		cfg := testConfig(t, "127.0.0.1:1", listText(1, true), c.old, c.new)
		n, err := New(t.Context(), cfg, discardLog())
		if want := "configuration: settings: " + c.want; err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %q", c.new, err, want)
		}
		if n != nil {
			n.close()
		}
		valid := testConfig(t, "127.0.0.1:1", listText(1, true))
		if n, err = New(t.Context(), valid, discardLog()); err != nil {
			t.Fatal(err)
		}
		before := n.front.settings.Load()
		if err := n.Reload(cfg); err == nil || !strings.HasSuffix(err.Error(), c.want) || n.counters.reloadsFailed.Load() != 1 {
			t.Errorf("at SIGHUP: %s: %v", c.new, err)
		}
		n.loop.Step()
		if n.front.settings.Load() != before {
			t.Errorf("%s: applied", c.new)
		}
		n.close()
	}
	text := strings.Replace(validConfig, `"maxAttempts":3`, `"maxAttempts":3,"maxAttempts":1`, 1)
	if _, err := ParseConfig([]byte(text)); err == nil || err.Error() != "settings: limits.maxAttempts: given twice: give it once" {
		t.Error(err)
	}
}
