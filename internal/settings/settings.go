// Package settings decodes and checks the JSON settings object of a node. The object comes from the simulator or from the
// configuration file of a node. The package doesn't read files.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"glencart/balance"
)

// LoadNames are the names of the values in a load report, in the order of the bits of balance.LoadField.
var LoadNames = []string{"active", "waiting", "cpu", "avg_ms", "rps", "err_rps"}

// Settings is a decoded settings object. It has the configuration of the Balancer, which uses indexes, and the names for these.
type Settings struct {
	Config  balance.Config
	Classes []string
	Tenants []string
	Zones   []string
	Kinds   []string
}

// Parse decodes a settings object. Unknown keys are ignored, and duplicate keys are errors.
func Parse(text []byte) (Settings, error) {
	var c jsonSettings
	if err := json.Unmarshal(text, &c); err != nil {
		return Settings{}, err
	}
	if err := checkDuplicates(json.NewDecoder(bytes.NewReader(text)), ""); err != nil {
		return Settings{}, err
	}
	cfg, err := c.config()
	s := Settings{Config: cfg, Zones: c.Zones, Kinds: c.SKUs}
	for _, k := range c.Classes {
		s.Classes = append(s.Classes, k.Name)
	}
	for _, t := range c.Tenants {
		s.Tenants = append(s.Tenants, t.Name)
	}
	return s, err
}

// jsonSettings is the settings object in its JSON form.
type jsonSettings struct {
	NInstances int `json:"nInstances"`
	Index      int `json:"index"`
	Zone       int `json:"zone"`
	Classes    []struct {
		Name       string  `json:"name"`
		Aim        int64   `json:"aim"`
		AimStretch float64 `json:"aimStretch"`
		Deadline   int64   `json:"deadline"`
		Effect     string  `json:"effect"`
		KeyScope   string  `json:"keyScope"`
		Window     int64   `json:"window"`
		LateWorth  float64 `json:"lateWorth"`
		Points     float64 `json:"points"`
		Stream     bool    `json:"stream"`
	} `json:"classes"`
	Tenants []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
		Share     float64 `json:"share"`
	} `json:"tenants"`
	OverShareWorth float64 `json:"overShareWorth"`
	WorthBy        string  `json:"worthBy"`
	Domain         struct {
		WarmKeys       bool `json:"warmKeys"`
		PassesDeadline bool `json:"passesDeadline"`
	} `json:"domain"`
	Callers struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"callers"`
	MembershipMode string `json:"membershipMode"`
	LoadReport     struct {
		Source  string   `json:"source"`
		Columns []string `json:"columns"`
	} `json:"loadReport"`
	WeightKind string `json:"weightKind"`
	Limits     struct {
		Cancelling     bool  `json:"cancelling"`
		Probing        bool  `json:"probing"`
		Peers          bool  `json:"peers"`
		SecondCopies   bool  `json:"secondCopies"`
		RetryAfter     bool  `json:"retryAfter"`
		MaxAttempts    int   `json:"maxAttempts"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		ConnectTimeout int64 `json:"connectTimeout"`
		IdleClose      int64 `json:"idleClose"`
		StreamsPerConn int   `json:"streamsPerConn"`
		MaxOpen        int   `json:"maxOpen"`

		CPUPerSecond  float64 `json:"cpuUsPerS"`
		CPUPerRequest float64 `json:"cpuUsPerRequest"`
	} `json:"limits"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
		Waste     float64 `json:"waste"`
		LateFail  float64 `json:"lateFail"`
		Probe     float64 `json:"probe"`
		Peer      float64 `json:"peer"`
		Handshake float64 `json:"handshake"`

		Connection float64 `json:"connection"`
		Discovery  float64 `json:"membershipMode"`
		Moves      float64 `json:"moves"`
		Origin     float64 `json:"origin"`
		Fleet      float64 `json:"fleet"`
	} `json:"prices"`
	Obligations struct {
		GraceToAnswer int64   `json:"graceToAnswer"`
		DrainGrace    int64   `json:"drainGrace"`
		AskEvery      int64   `json:"askEvery"`
		ColdShare     float64 `json:"coldShare"`
		WarmWithin    int64   `json:"warmWithin"`
		FallMultiple  float64 `json:"fallMultiple"`
		OverloadFor   int64   `json:"overloadFor"`
	} `json:"obligations"`
	Goal struct {
		Whole       float64 `json:"whole"`
		WorstClass  float64 `json:"worstClass"`
		WorstTenant float64 `json:"worstTenant"`
		WorstWindow float64 `json:"worstWindow"`
	} `json:"goal"`
	Tick        int64    `json:"tick"`
	Stage       int      `json:"stage"`
	Zones       []string `json:"zones"`
	Tiers       []string `json:"tiers"`
	SKUs        []string `json:"skus"`
	ServiceType string   `json:"serviceType"`
}

// check returns an error for the first invalid value, even if the Balancer doesn't use it. The error has the key, the value and the
// remedy.
func (c *jsonSettings) check() error {
	l, p := c.Limits, c.Prices
	for _, k := range []struct {
		path, what string
		value      float64
	}{
		{"nInstances", "a count", float64(c.NInstances)}, {"tick", "a time", float64(c.Tick)},
		{"limits.maxAttempts", "a count", float64(l.MaxAttempts)}, {"limits.maxOpen", "a count", float64(l.MaxOpen)},
		{"limits.streamsPerConn", "a count", float64(l.StreamsPerConn)},
		{"limits.cpuUsPerS", "a CPU limit", l.CPUPerSecond}, {"limits.cpuUsPerRequest", "a CPU limit", l.CPUPerRequest},
		{"limits.maxRetryAfter", "a time", float64(l.MaxRetryAfter)}, {"limits.connectTimeout", "a time", float64(l.ConnectTimeout)},
		{"limits.idleClose", "a time", float64(l.IdleClose)},
		{"prices.crossZone", "a price", p.CrossZone}, {"prices.waste", "a price", p.Waste}, {"prices.lateFail", "a price", p.LateFail},
		{"prices.probe", "a price", p.Probe}, {"prices.peer", "a price", p.Peer}, {"prices.handshake", "a price", p.Handshake},
		{"prices.connection", "a price", p.Connection}, {"prices.membershipMode", "a price", p.Discovery},
		{"prices.moves", "a price", p.Moves}, {"prices.origin", "a price", p.Origin}, {"prices.fleet", "a price", p.Fleet},
	} {
		if k.value < 0 {
			return fmt.Errorf("%s: %v: %s can't be negative: give 0 or more", k.path, k.value, k.what)
		}
	}
	switch {
	case c.Index < 0 || c.Index >= max(c.NInstances, 1):
		return fmt.Errorf("index: %d is not below nInstances, %d: give the number of this node, from 0 on", c.Index, c.NInstances)
	case c.Zone < 0 || len(c.Zones) > 0 && c.Zone >= len(c.Zones):
		return fmt.Errorf("zone: %d is not one of the %d zones: give the number of this node's zone, from 0 on", c.Zone, len(c.Zones))
	case c.Stage < 0 || len(c.Tiers) > 0 && c.Stage >= len(c.Tiers):
		return fmt.Errorf("stage: %d is not one of the %d tiers: give the number of the backends' tier, from 0 on", c.Stage, len(c.Tiers))
	case len(c.LoadReport.Columns) > 4:
		return fmt.Errorf("loadReport.columns: %d columns: give at most four", len(c.LoadReport.Columns))
	}
	return nil
}

// Check returns an error for the first setting that a node can't work with, such as an ambiguous class or tenant name or a value
// out of range. The simulator needs no such check, because it refers to classes by number.
func (s Settings) Check() error {
	for _, k := range []struct {
		list  string
		names []string
	}{{"classes[%d].name", s.Classes}, {"tenants[%d].name", s.Tenants}} {
		for i, name := range k.names {
			switch path := fmt.Sprintf(k.list, i); {
			case name == "":
				return fmt.Errorf("%s: empty: give each one a name", path)
			case slices.Index(k.names, name) < i:
				return fmt.Errorf("%s: %s is given twice: give each one a name of its own", path, name)
			}
		}
	}
	for i, c := range s.Config.Classes {
		if min(c.Aim, c.Deadline, c.Window) < 0 {
			return fmt.Errorf("classes[%d]: aim, deadline or window is negative: give nanoseconds, 0 or more", i)
		}
	}
	for i, t := range s.Config.Tenants {
		if min(t.QuotaPerSecond, t.Share) < 0 {
			return fmt.Errorf("tenants[%d]: quotaPerS or share is negative: give 0 or more", i)
		}
	}
	switch r := s.Config.Rules; {
	case min(r.GraceToAnswer, r.DrainGrace, r.AskEvery, r.WarmWithin, r.OverloadFor) < 0:
		return errors.New("obligations: a time is negative: give nanoseconds, 0 or more")
	case r.ColdShare < 0 || r.ColdShare > 1:
		return fmt.Errorf("obligations.coldShare: %v is no part of a capacity: give 0 to 1", r.ColdShare)
	case r.FallMultiple < 0:
		return fmt.Errorf("obligations.fallMultiple: %v is negative: give 0 or more", r.FallMultiple)
	}
	return nil
}

// checkDuplicates returns an error for the first duplicate key of an object, at any depth. It would be ambiguous which value applies.
func checkDuplicates(d *json.Decoder, parent string) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	seen := map[string]bool{}
	for i := 0; (t == json.Delim('{') || t == json.Delim('[')) && d.More(); i++ {
		path := fmt.Sprintf("%s[%d]", parent, i)
		if t == json.Delim('{') {
			key, err := d.Token()
			if err != nil {
				return err
			}
			name, _ := key.(string)
			if path = strings.TrimPrefix(parent+"."+name, "."); seen[name] {
				return fmt.Errorf("%s: given twice: give it once", path)
			}
			seen[name] = true
		}
		if err := checkDuplicates(d, path); err != nil {
			return err
		}
	}
	if t == json.Delim('{') || t == json.Delim('[') {
		_, err = d.Token()
	}
	return err
}

// maxDuration limits each duration in the settings, so that sums don't overflow. No process runs for as long.
const maxDuration = 365 * 24 * time.Hour

// limitDuration returns a duration in nanoseconds, at most maxDuration.
func limitDuration(ns int64) time.Duration { return min(time.Duration(ns), maxDuration) }

// config converts the settings to a balance.Config. It returns the first error.
func (c *jsonSettings) config() (balance.Config, error) {
	firstErr := c.check()
	indexOf := func(what, s string, names ...string) int {
		for i, n := range names {
			if s == n {
				return i
			}
		}
		if s != "" && firstErr == nil {
			firstErr = fmt.Errorf("%s: %q is not known: give one of %s", what, s, strings.Join(names, ", "))
		}
		return 0
	}
	cfg := balance.Config{
		Index: c.Index, Instances: c.NInstances, Zone: c.Zone,
		OverShareWorth: c.OverShareWorth, WarmKeys: c.Domain.WarmKeys, ClientsMarkRepeats: c.Callers.MarksRetry,
		WorthByWork:  indexOf("worthBy", c.WorthBy, "request", "work") == 1,
		AskDiscovery: indexOf("membershipMode", c.MembershipMode, "push", "ask") == 1,
		Reports:      balance.ReportSource(indexOf("loadReport.source", c.LoadReport.Source, "off", "on_probe", "inline")),
		Weights:      balance.WeightKind(indexOf("weightKind", c.WeightKind, "off", "nominal", "rough", "live")),
		Tick:         limitDuration(c.Tick), PassesDeadline: c.Domain.PassesDeadline, Stage: c.Stage,
	}
	for i, name := range LoadNames {
		if slices.Contains(c.LoadReport.Columns, name) {
			cfg.Columns |= 1 << i
		}
	}
	for i, k := range c.Classes {
		path := fmt.Sprintf("classes[%d].", i)
		cfg.Classes = append(cfg.Classes, balance.Class{
			Aim: limitDuration(k.Aim), AimStretch: k.AimStretch, Deadline: limitDuration(k.Deadline),
			Effect: balance.Effect(indexOf(path+"effect", k.Effect, "side_effect", "token", "pure")),
			Scope:  balance.Scope(indexOf(path+"keyScope", k.KeyScope, "cell", "zone", "all")),
			Window: limitDuration(k.Window), LateWorth: k.LateWorth, Points: k.Points, Stream: k.Stream,
		})
	}
	for _, t := range c.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{QuotaPerSecond: t.QuotaPerS, Share: t.Share})
	}
	l, p, o := c.Limits, c.Prices, c.Obligations
	cfg.Limits = balance.Limits{
		Cancelling: l.Cancelling, Probing: l.Probing, Peers: l.Peers, SecondCopies: l.SecondCopies,
		RetryAfter: l.RetryAfter, MaxAttempts: l.MaxAttempts, MaxRetryAfter: limitDuration(l.MaxRetryAfter),
		ConnectTimeout: limitDuration(l.ConnectTimeout), IdleClose: limitDuration(l.IdleClose),
		StreamsPerConn: l.StreamsPerConn, MaxOpen: l.MaxOpen,
		CPUPerSecond:  time.Duration(l.CPUPerSecond * float64(time.Microsecond)),
		CPUPerRequest: time.Duration(l.CPUPerRequest * float64(time.Microsecond)),
	}
	cfg.Prices = balance.Prices{CrossZone: p.CrossZone, Waste: p.Waste, LateFail: p.LateFail,
		Probe: p.Probe, Peer: p.Peer, Handshake: p.Handshake,
		Connection: p.Connection, Discovery: p.Discovery}
	cfg.Rules = balance.Rules{
		GraceToAnswer: limitDuration(o.GraceToAnswer), DrainGrace: limitDuration(o.DrainGrace),
		AskEvery: limitDuration(o.AskEvery), ColdShare: o.ColdShare, WarmWithin: limitDuration(o.WarmWithin),
		FallMultiple: o.FallMultiple, OverloadFor: limitDuration(o.OverloadFor),
	}
	cfg.Goal = balance.Goal{Whole: c.Goal.Whole, WorstClass: c.Goal.WorstClass,
		WorstTenant: c.Goal.WorstTenant, WorstWindow: c.Goal.WorstWindow}
	return cfg, firstErr
}
