package node

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"glencart/internal/engine"
	"glencart/internal/members/registry"
	"glencart/internal/settings"
)

// Config is the configuration of a node.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Management string // address of the management listener; empty if there is none
	AcceptFD   string // inherited descriptor of the clients' listening socket; empty if the node opens one
	Shared     string // folder shared with a predecessor or successor; used only with AcceptFD
	Seed       uint64
	Limits     Limits
	PeerListen string
	Peers      []string
	PeersAll   string
	Known      engine.List
	knownErr   error // why Known could not be read
	Settings   settings.Settings
	origin     time.Duration // start of the engine's clock; 0 means the wall clock at the start
	keys       any           // decoded file without known; a reloaded file must have all of these keys
}

// Limits are the resource limits of the machine. Zero means not given.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// LoadConfig reads the configuration from a file.
func LoadConfig(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("configuration: no file name: set BALANCER_CONFIG")
	}
	var text []byte
	if err := retryOpen(context.Background(), func(context.Context) (err error) {
		text, err = os.ReadFile(path)
		return err
	}); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %s: %w", path, err)
	}
	return cfg, nil
}

// ParseConfig decodes and checks a configuration. Unknown keys are ignored.
func ParseConfig(text []byte) (Config, error) {
	var raw struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Management string          `json:"management"`
		Seed       string          `json:"seed"`
		Limits     Limits          `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, err
	}
	cfg := Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Management: raw.Management, Limits: raw.Limits,
		PeerListen: raw.PeerListen, Peers: raw.Peers, PeersAll: raw.PeersAll}
	var err error
	if raw.Seed != "" {
		if cfg.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
			return Config{}, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", raw.Seed)
		}
	}
	if len(raw.Settings) == 0 || bytes.Equal(raw.Settings, []byte("null")) {
		return Config{}, errors.New("settings: missing: add the settings object of the simulator's first message")
	}
	if cfg.Settings, err = settings.Parse(raw.Settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if len(cfg.Settings.Classes) == 0 {
		return Config{}, errors.New("settings: classes: empty: list at least one class")
	}
	if len(raw.Known) > 0 && !bytes.Equal(raw.Known, []byte("null")) {
		// The cached endpoint list only bridges the time until discovery answers. The node starts without it
		// too.
		if cfg.Known, err = registry.Parse(raw.Known, cfg.Settings); err != nil {
			cfg.Known, cfg.knownErr = engine.List{}, err
		}
	}
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil {
		return Config{}, err
	}
	delete(keys, "known")
	cfg.keys = keys
	return cfg, cfg.check()
}

func (c *Config) check() error {
	for _, a := range []struct {
		name, addr string
		needed     bool
	}{
		{"listen", c.Listen, true}, {"discovery", c.Discovery, true},
		{"management", c.Management, false}, {"peer_listen", c.PeerListen, false}, {"peers_all", c.PeersAll, false},
	} {
		if a.addr == "" && !a.needed {
			continue
		}
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is not an address with a port: use the form 10.2.0.1:8500", a.name, a.addr)
		}
	}
	for _, p := range c.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return fmt.Errorf("peers: %q is not an address with a port: use the form 10.2.0.1:7946", p)
		}
	}
	if c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return errors.New("limits: negative limit: use 0 or a positive number")
	}
	if s := c.Limits.Sockets; s > 0 && s < minSockets {
		return fmt.Errorf("limits: sockets: %d descriptors are too few for clients and backends: set %d or more", s, minSockets)
	}
	return nil
}

// halved returns the limits of each of two processes that share one machine.
func (l Limits) halved() Limits {
	l.Sockets, l.MemoryMB = cmp.Or(l.Sockets, defaultSockets)/2, l.MemoryMB/2
	return l
}

// Heap returns the memory limit for the garbage collector in bytes, or 0 if there is none.
func (l Limits) Heap() int64 { return boundsOf(l, 0).heapBytes }

// share divides the descriptors between client connections and backend connections.
func (l Limits) share() (clients, backends int) {
	b := boundsOf(l, 0)
	return b.clients, b.backends
}
