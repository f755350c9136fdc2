// Package site holds the operator's own file: listeners, pools, classes, tenants and routes of one installation, in TOML.
// Load reads and checks it; every error names the file, the line, the key and the remedy, and unknown keys are errors.
// docs/SITE.md describes each key.
package site

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"glencart/internal/tomlat"
)

// Site is one installation. Its fields are the keys of the file.
type Site struct {
	Node      Node       `toml:"node,omitempty"`
	Limits    Limits     `toml:"limits,omitempty"`
	Listeners []Listener `toml:"listener,omitempty"`
	Pools     []Pool     `toml:"pool,omitempty"`
	Classes   []Class    `toml:"class,omitempty"`
	Tenants   []Tenant   `toml:"tenant,omitempty"`
	Plans     []Plan     `toml:"plan,omitempty"`
	Servers   []Server   `toml:"server,omitempty"`
	Fleet     *Fleet     `toml:"fleet,omitempty"` // none: this process knows of no others

	file string
	at   tomlat.Lines
}

// Node is what concerns the whole process.
type Node struct {
	Name      string   `toml:"name,omitempty"`
	Instances int      `toml:"instances,omitempty"`  // how many nodes serve this installation; 0: 1
	AccessLog string   `toml:"access_log,omitempty"` // a file, "stdout" or "off" (default)
	Trusted   []string `toml:"trusted,omitempty"`    // networks whose X-Forwarded-For is believed
	Leave     Duration `toml:"leave,omitempty"`      // how long open requests may last after SIGTERM; 0: 10s
	Tenant    string   `toml:"tenant,omitempty"`     // the request header that names the tenant
	Keep      string   `toml:"keep,omitempty"`       // a folder for the last list of each pool with sources; none: nothing is kept
}

// Limits bound what clients may take.
type Limits struct {
	Connections int      `toml:"connections,omitempty"` // of clients, at all listeners; 0: 1024
	Requests    int      `toml:"requests,omitempty"`    // open at once; 0: as connections
	Head        Size     `toml:"head,omitempty"`        // of a request; 0: 32KiB
	Body        Size     `toml:"body,omitempty"`        // of a request, unless its location says otherwise; 0: no limit
	Buffer      Size     `toml:"buffer,omitempty"`      // of a body that is held so that it can be sent again; 0: 64KiB
	HeadWithin  Duration `toml:"head_within,omitempty"` // from the first byte to the end of the head; 0: 10s
	BodyIdle    Duration `toml:"body_idle,omitempty"`   // between two reads of a body, and two writes of an answer; 0: 60s
	Idle        Duration `toml:"idle,omitempty"`        // a connection without a request; 0: 75s
}

// Listener is an address that clients connect to.
type Listener struct {
	Name    string        `toml:"name,omitempty"`
	Address string        `toml:"address,omitempty"` // host:port; the host may be empty
	TLS     []Certificate `toml:"tls,omitempty"`     // none: plain
}

// Certificate is a pair of PEM files. The one that fits the client's server name is used, else the first.
type Certificate struct {
	Certificate string `toml:"certificate,omitempty"`
	Key         string `toml:"key,omitempty"`
}

// Pool is a set of boxes that serve the same.
type Pool struct {
	Name     string `toml:"name,omitempty"`
	Boxes    []Box  `toml:"boxes,omitempty"`
	Registry string `toml:"registry,omitempty"` // host:port of an HTTP registry, instead of boxes

	Sources   []Source `toml:"sources,omitempty"`    // where else boxes are learned, beside boxes; by rank
	Guard     *float64 `toml:"guard,omitempty"`      // the part of the boxes that sources may take out at once; none: 0.5; 1: all
	GuardHold Duration `toml:"guard_hold,omitempty"` // how long the others are held; 0: 60s

	Check *Check `toml:"check,omitempty"` // boxes are asked whether they are well; none: they are not

	Spread  string `toml:"spread,omitempty"`  // "estimate" (default) or "weights"
	Probe   string `toml:"probe,omitempty"`   // a path that answers a load report; none: no probes
	Reports bool   `toml:"reports,omitempty"` // answers carry Endpoint-Load-Metrics

	Attempts    int      `toml:"attempts,omitempty"`     // of one request, unless its class says otherwise; 0: 3
	Connect     Duration `toml:"connect,omitempty"`      // 0: 1s
	Idle        Duration `toml:"idle,omitempty"`         // how long a connection is kept for the next request; 0: 4s
	Keep        int      `toml:"keep,omitempty"`         // idle connections kept to one box; 0: 64
	SlowStart   Duration `toml:"slow_start,omitempty"`   // a box that is new in the file starts cold for so long; 0: warm
	ColdShare   float64  `toml:"cold_share,omitempty"`   // and with this part of its capacity; 0: 0.1
	MaxFails    int      `toml:"max_fails,omitempty"`    // failures within fail_within that have backup boxes step in; 0: 1
	FailWithin  Duration `toml:"fail_within,omitempty"`  // 0: 10s
	TLS         bool     `toml:"tls,omitempty"`          // to the boxes
	TLSName     string   `toml:"tls_name,omitempty"`     // the name sent and verified; none: the box's host
	TLSCA       string   `toml:"tls_ca,omitempty"`       // PEM file of authorities; none: the system's
	TLSInsecure bool     `toml:"tls_insecure,omitempty"` // certificates are not verified
}

// Check is how the boxes of a pool are asked whether they are well. Exactly one of HTTP, GRPC and TCP is given.
type Check struct {
	HTTP    string   `toml:"http,omitempty"`    // a path, with a query if you like
	GRPC    *string  `toml:"grpc,omitempty"`    // a service of gRPC's health protocol; "": the whole server
	TCP     bool     `toml:"tcp,omitempty"`     // it takes connections; with tls, a handshake
	Host    string   `toml:"host,omitempty"`    // of http and grpc; none: the box's address
	Status  []int    `toml:"status,omitempty"`  // good ones of http; none: 200 to 399
	Every   Duration `toml:"every,omitempty"`   // between two checks of a box; 0: 5s
	Timeout Duration `toml:"timeout,omitempty"` // 0: 1s
	Rise    int      `toml:"rise,omitempty"`    // good answers in a row that bring a box back; 0: 2
	Fall    int      `toml:"fall,omitempty"`    // bad ones that take it out; 0: 3
}

// Source is a source of boxes. Exactly one of DNS, Registry and File is given.
type Source struct {
	Name     string   `toml:"name,omitempty"`     // none: what it is
	DNS      string   `toml:"dns,omitempty"`      // an SRV name, such as _menu._tcp.khuree.mn
	Registry string   `toml:"registry,omitempty"` // host:port of an HTTP registry
	File     string   `toml:"file,omitempty"`     // a list on disk: docs/MEMBERS.md
	Must     bool     `toml:"must,omitempty"`     // a box that it does not list is gone, whatever others say
	Trust    []string `toml:"trust,omitempty"`    // facts that it is believed in; none: all that it tells
	Stale    Duration `toml:"stale,omitempty"`    // how long its word counts once it is old; 0: 72h

	Resolvers  []string `toml:"resolvers,omitempty"`   // host:port; none: those of resolv_conf
	ResolvConf string   `toml:"resolv_conf,omitempty"` // none: /etc/resolv.conf
	Floor      Duration `toml:"floor,omitempty"`       // the shortest lifetime of an answer; 0: 5s
	Ceiling    Duration `toml:"ceiling,omitempty"`     // the longest; 0: 1h
	Timeout    Duration `toml:"timeout,omitempty"`     // for one question to one server; 0: 1s
}

// Box is one server.
type Box struct {
	ID      string  `toml:"id,omitempty"`      // none: the address
	Address string  `toml:"address,omitempty"` // host:port, or unix:/path
	Weight  float64 `toml:"weight,omitempty"`  // 0: 1
	Backup  bool    `toml:"backup,omitempty"`  // only while no other box can be sent to
	State   string  `toml:"state,omitempty"`   // "ready" (default), "draining" or "down"
}

// Class says how requests of a kind are dealt with.
type Class struct {
	Name     string   `toml:"name,omitempty"`
	Effect   string   `toml:"effect,omitempty"`   // "safe", "keyed" or "unsafe" (default)
	Window   Duration `toml:"window,omitempty"`   // keyed: how long boxes drop repeats
	Aim      Duration `toml:"aim,omitempty"`      // an answer within this is a good one; 0: a tenth of the deadline
	Deadline Duration `toml:"deadline,omitempty"` // until the head of the answer, over all attempts; 0: 30s
	Attempts int      `toml:"attempts,omitempty"` // 0: the pool's
	Worth    float64  `toml:"worth,omitempty"`    // beside other classes; 0: 1
}

// Tenant has a share of the installation.
type Tenant struct {
	Name  string  `toml:"name,omitempty"`
	Quota float64 `toml:"quota,omitempty"` // requests a second over all instances that are within its share
	Share float64 `toml:"share,omitempty"`
	Plan  string  `toml:"plan,omitempty"` // none: the one of the highest rank number
}

// Plan is a tier of tenants: who is turned away first when the whole cluster has too much.
type Plan struct {
	Name   string  `toml:"name,omitempty"`
	Rank   int     `toml:"rank,omitempty"`   // 1 is shed last
	Share  float64 `toml:"share,omitempty"`  // part of what a pool can do now that is kept for it while it asks
	Least  float64 `toml:"least,omitempty"`  // part of what it asks that is never shed, and of the pool at most
	Borrow *bool   `toml:"borrow,omitempty"` // nil: true; false: beyond its share it takes only what no other plan wants
}

// Server is a virtual server.
type Server struct {
	Names     []string   `toml:"names,omitempty"`
	Listeners []string   `toml:"listeners,omitempty"` // none: all
	Default   bool       `toml:"default,omitempty"`   // of its listeners
	Slashes   string     `toml:"slashes,omitempty"`   // "merge" (default) or "keep"
	Locations []Location `toml:"location,omitempty"`
}

// Location is a part of a server's paths.
type Location struct {
	Match     string     `toml:"match,omitempty"` // "prefix" (default), "stop", "exact", "regex", "regex-fold"
	Path      string     `toml:"path,omitempty"`
	Allow     []string   `toml:"allow,omitempty"`      // networks; "all". With deny: the first rule that fits counts, allow first
	Deny      []string   `toml:"deny,omitempty"`       // networks; "all"
	DenyFirst bool       `toml:"deny_first,omitempty"` // deny goes before allow
	Routes    []Route    `toml:"route,omitempty"`
	Locations []Location `toml:"location,omitempty"`
}

// Route is where requests of some methods go. Exactly one of pool and status is given.
type Route struct {
	Methods []string `toml:"methods,omitempty"` // none: all
	Pool    string   `toml:"pool,omitempty"`
	Class   string   `toml:"class,omitempty"`   // none: "safe" or "unsafe", by the method (RFC 9110, 9.2.1)
	Rewrite *string  `toml:"rewrite,omitempty"` // stands in the place of the location's path
	Host    string   `toml:"host,omitempty"`    // sent to the box; none: the client's
	Body    *Size    `toml:"body,omitempty"`    // of a request; 0: no limit
	Upgrade bool     `toml:"upgrade,omitempty"` // WebSocket and other upgrades are passed on

	Set    []Header `toml:"set,omitempty"`    // of the request, as sent to the box; an empty value takes the header out
	Add    []Header `toml:"add,omitempty"`    // to the answer
	Status int      `toml:"status,omitempty"` // answered here
	Text   string   `toml:"text,omitempty"`   // the body; for 301, 302, 303, 307 and 308 the Location
}

// Header is a header with its value. In the values of set, and in text, $host, $remote_addr, $scheme, $request_uri, $uri,
// $server_port and $http_NAME stand for what the request has.
type Header struct {
	Name  string `toml:"name,omitempty"`
	Value string `toml:"value,omitempty"`
}

// Duration is a time such as "250ms".
type Duration time.Duration

// UnmarshalText reads a duration; negative ones are errors.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is not a time: write it as 250ms, 5s or 2m", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText words a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Or is the duration, or another where none is given.
func (d Duration) Or(other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return time.Duration(d)
}

// Size is a number of bytes, such as "64KiB".
type Size int64

var units = []struct {
	name string
	n    int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

// UnmarshalText reads a size.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range units {
		if digits, ok := strings.CutSuffix(string(text), u.name); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
			if err != nil || n < 0 || n > math.MaxInt64/u.n {
				break
			}
			*s = Size(n * u.n)
			return nil
		}
	}
	return fmt.Errorf("%q is not a size: write it as 500B, 64KiB, 8MiB or 1GiB", text)
}

// MarshalText words a size.
func (s Size) MarshalText() ([]byte, error) {
	for i := 2; i >= 0; i-- {
		if n := units[i].n; int64(s) >= n && int64(s)%n == 0 {
			return []byte(strconv.FormatInt(int64(s)/n, 10) + units[i].name), nil
		}
	}
	return []byte(strconv.FormatInt(int64(s), 10) + "B"), nil
}

// Or is the size, or another where none is given.
func (s Size) Or(other int64) int64 {
	if s == 0 {
		return other
	}
	return int64(s)
}

// Variable tells whether a name stands for something in set, add and text.
func Variable(name string) bool {
	switch name {
	case "host", "http_host", "remote_addr", "scheme", "request_uri", "uri", "server_port", "proxy_add_x_forwarded_for",
		"request_method", "args", "is_args", "query_string":
		return true
	}
	return strings.HasPrefix(name, "http_") && len(name) > 5
}

// IsRedirect reports whether the text of a route that answers with a status is the Location of a redirect.
func IsRedirect(status int) bool {
	switch status {
	case http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect:
		return true
	}
	return false
}
