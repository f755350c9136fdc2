package site

// This file has [fleet]: what a process is told of the others that serve the same installation.

import (
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"glencart/share"
)

// Fleet is the part of this process among others: docs/FLEET-OF-SERVE.md.
type Fleet struct {
	Cluster   string      `toml:"cluster,omitempty"`   // the same in the files of all; who has another is not heard
	Name      string      `toml:"name,omitempty"`      // of this instance, each its own; none: node.name
	Listen    string      `toml:"listen,omitempty"`    // host:port, for UDP and TCP
	Advertise string      `toml:"advertise,omitempty"` // IP:port that others are told; none: listen
	Seeds     []string    `toml:"seeds,omitempty"`     // host:port of others to begin with; none: it waits for them
	Networks  []string    `toml:"networks,omitempty"`  // who is heard; none: this machine and private networks
	Away      Duration    `toml:"away,omitempty"`      // an end is told as a restart that is over within this; 0: as an end
	Schema    FleetSchema `toml:"schema,omitempty"`    // no more than these schemas of records are to be written; none: whatever all read
	Every     Duration    `toml:"every,omitempty"`     // between two asks; 0: 1s
	Suspicion Duration    `toml:"suspicion,omitempty"` // the shortest time from the first doubt to dead; 0: 5s

	// Sessions, and orders that come again at another instance. With neither of the first two nothing is asked for.
	SessionHeader string   `toml:"session_header,omitempty"` // the request header whose value names the session
	SessionCookie string   `toml:"session_cookie,omitempty"` // or the cookie
	RepeatHeader  string   `toml:"repeat_header,omitempty"`  // one that is "1" in what the client sends again; none: nobody says so
	Wait          Duration `toml:"wait,omitempty"`           // for the owners of a session, at the most; 0: 50ms
	Owners        int      `toml:"owners,omitempty"`         // instances that keep a session; 0: 2
	Keep          Duration `toml:"keep,omitempty"`           // how long an order is known after it began; 0: 1m
	Memory        Size     `toml:"memory,omitempty"`         // of what is known of orders; 0: 128MiB
	SessionMemory Size     `toml:"session_memory,omitempty"` // of it for one session at the most; 0: an eighth
	WhenFull      string   `toml:"when_full,omitempty"`      // RefuseWhenFull or UnprotectedWhenFull; none: the latter
}

// What becomes of an order that can't be protected because there is no room.
const (
	RefuseWhenFull      = "refuse"      // it is refused: it may be sent again later
	UnprotectedWhenFull = "unprotected" // it goes, and is counted
)

// FleetSchema are schemas of records by kind; 0: any.
type FleetSchema struct {
	Use     int `toml:"use,omitempty"`
	Session int `toml:"session,omitempty"`
}

// FleetReloads are the keys of [fleet] that a reload may change.
var FleetReloads = []string{"networks", "schema"}

// Bounds of [fleet]'s times.
const (
	fleetAwayMost   = Duration(10 * time.Minute)
	fleetEveryLeast = Duration(100 * time.Millisecond)
	fleetEveryMost  = Duration(10 * time.Second)
	fleetSuspectMin = Duration(500 * time.Millisecond)
	fleetSuspectMax = Duration(5 * time.Minute)
	fleetWaitLeast  = Duration(time.Millisecond)
	fleetWaitMost   = Duration(time.Second)
	fleetKeepLeast  = Duration(time.Second)
	fleetKeepMost   = Duration(5 * time.Minute)
	fleetOwnersMost = 5

	fleetMemoryLeast        = Size(1 << 20)
	fleetSessionMemoryLeast = Size(16 << 10)
)

var fleetName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

func (c *checker) fleet(f *Fleet) {
	name := func(key, value, remedy string) {
		if value == "" {
			c.fault("fleet."+key, "missing: %s", remedy)
		} else if !fleetName.MatchString(value) {
			c.fault("fleet."+key, "%q: write it with 1 to 64 letters, digits, dots, dashes and underscores", value)
		}
	}
	name("cluster", f.Cluster, "give the fleet a name, the same in each of its files")
	name("name", f.Name, "give this instance a name, here or as node.name, another in each file")
	if f.Listen == "" {
		c.fault("fleet.listen", "missing: give an address with a port, such as 10.0.0.7:7946")
	} else if !hostPort(f.Listen) {
		c.fault("fleet.listen", "%q is not an address with a port: write it as 10.0.0.7:7946", f.Listen)
	} else if i := slices.IndexFunc(c.Listeners, func(l Listener) bool { return same(l.Address, f.Listen) }); i >= 0 {
		c.fault("fleet.listen", "%s is taken: listener %q at line %d has it: give another port", f.Listen, c.Listeners[i].Name, c.at.Line(fmt.Sprintf("listener.%d.address", i)))
	}
	networks := c.fleetNetworks(f)
	told := f.Advertise
	if told == "" {
		told = f.Listen
	}
	self, err := netip.ParseAddrPort(told)
	switch {
	case f.Advertise != "" && (err != nil || self.Addr().IsUnspecified() || self.Port() == 0):
		c.fault("fleet.advertise", "%q is no IP address with a port that others can send to: write it as 10.0.0.7:7946", f.Advertise)
	case f.Advertise == "" && f.Listen != "" && hostPort(f.Listen) && (err != nil || self.Addr().IsUnspecified()):
		c.fault("fleet.listen", "%q is no IP address that others can be told: give it, or give advertise", f.Listen)
	case err == nil && self.Port() != 0 && !within(networks, self.Addr()):
		c.fault("fleet.networks", "this process's own address, %s, is in none: others would not be heard that have it so: add its network", self)
	}
	seen := map[string]bool{}
	for i, seed := range f.Seeds {
		path := fmt.Sprintf("fleet.seeds.%d", i)
		a, err := netip.ParseAddrPort(seed)
		switch {
		case !hostPort(seed) || strings.HasPrefix(seed, ":") || strings.HasSuffix(seed, ":0"):
			c.fault(path, "%q is not an address with a port: write it as 10.0.0.8:7946", seed)
		case same(seed, f.Listen) || same(seed, f.Advertise):
			c.fault(path, "%s is this process itself: name others only", seed)
		case seen[seed]:
			c.fault(path, "%s stands twice: take one out", seed)
		case err == nil && !within(networks, a.Addr()):
			c.fault(path, "%s is in none of fleet.networks: add its network", seed)
		}
		seen[seed] = true
	}
	schema := func(key string, at, newest int) {
		if at < 0 || at > newest {
			c.fault("fleet.schema."+key, "%d: this release reads schemas 1 to %d: write one of these, or take it out to have written what all members read", at, newest)
		}
	}
	schema("use", f.Schema.Use, share.NewestUse)
	schema("session", f.Schema.Session, share.NewestSession)
	span := func(key string, d, least, most Duration) {
		if d != 0 && (d < least || d > most) {
			c.fault("fleet."+key, "%v: write it from %v to %v", time.Duration(d), time.Duration(least), time.Duration(most))
		}
	}
	span("away", f.Away, Duration(time.Second), fleetAwayMost)
	span("every", f.Every, fleetEveryLeast, fleetEveryMost)
	span("suspicion", f.Suspicion, fleetSuspectMin, fleetSuspectMax)
	span("wait", f.Wait, fleetWaitLeast, fleetWaitMost)
	span("keep", f.Keep, fleetKeepLeast, fleetKeepMost)
	c.fleetSessions(f)
}

func (c *checker) fleetSessions(f *Fleet) {
	for _, x := range []struct{ key, name string }{{"session_header", f.SessionHeader}, {"session_cookie", f.SessionCookie}, {"repeat_header", f.RepeatHeader}} {
		if x.name != "" && !httpguts.ValidHeaderFieldName(x.name) {
			c.fault("fleet."+x.key, "%q can't be the name of a header or cookie: correct it", x.name)
		}
	}
	if f.SessionHeader != "" && f.SessionCookie != "" {
		c.fault("fleet.session_cookie", "session_header is given too: take one out")
	}
	if f.Owners != 0 && (f.Owners < 2 || f.Owners > fleetOwnersMost) {
		c.fault("fleet.owners", "%d: write 2 to %d: with fewer a crash loses what is known", f.Owners, fleetOwnersMost)
	}
	memory := Size(f.Memory.Or(share.DefaultMemory))
	if memory < fleetMemoryLeast {
		c.fault("fleet.memory", "%d bytes: write 1MiB at the least", int64(memory))
	}
	if f.SessionMemory != 0 && (f.SessionMemory < fleetSessionMemoryLeast || f.SessionMemory > memory) {
		c.fault("fleet.session_memory", "%d bytes: write it from 16KiB to fleet.memory, which is %d bytes", int64(f.SessionMemory), int64(memory))
	}
	if f.WhenFull != "" && f.WhenFull != RefuseWhenFull && f.WhenFull != UnprotectedWhenFull {
		c.fault("fleet.when_full", "%q: write %q or %q", f.WhenFull, RefuseWhenFull, UnprotectedWhenFull)
	}
	if f.SessionHeader == "" && f.SessionCookie == "" {
		for _, x := range []struct {
			key   string
			given bool
		}{{"repeat_header", f.RepeatHeader != ""}, {"wait", f.Wait != 0}, {"owners", f.Owners != 0}, {"keep", f.Keep != 0}, {"memory", f.Memory != 0}, {"session_memory", f.SessionMemory != 0},
			{"when_full", f.WhenFull != ""}} {
			if x.given {
				c.fault("fleet."+x.key, "counts for sessions only: give session_header or session_cookie, or take it out")
			}
		}
	}
}

// fleetNetworks checks the networks; none: nothing is known of them.
func (c *checker) fleetNetworks(f *Fleet) (out []netip.Prefix) {
	for i, n := range f.Networks {
		p, err := Network(n)
		if err != nil {
			c.fault(fmt.Sprint("fleet.networks.", i), "%v", err)
			continue
		}
		out = append(out, p)
	}
	return out
}

// within tells whether an address may belong to the fleet; with no networks given, that is for the process to say.
func within(networks []netip.Prefix, a netip.Addr) bool {
	return len(networks) == 0 || slices.ContainsFunc(networks, func(p netip.Prefix) bool { return !p.IsValid() || p.Contains(a.Unmap()) })
}

// same tells whether two addresses are one; an empty host is every one, and port 0 no one's.
func same(a, b string) bool {
	ha, pa, ea := net.SplitHostPort(a)
	hb, pb, eb := net.SplitHostPort(b)
	anyone := func(h string) bool { return h == "" || h == "0.0.0.0" || h == "::" }
	return ea == nil && eb == nil && pa == pb && pa != "0" && (ha == hb || anyone(ha) || anyone(hb))
}
