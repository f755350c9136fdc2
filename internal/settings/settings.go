// Package settings decodes the settings object that an instance is given at its
// start, on the simulator's wire as in a real node's configuration.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"glencart/balance"
)

// LoadNames are the names of the values of a load report, in the order of the
// bits of balance.LoadField.
var LoadNames = []string{"active", "waiting", "cpu", "avg_ms", "rps", "err_rps"}

// Settings is the decoded object: what the Balancer is told, and the names that
// stand for its indexes.
type Settings struct {
	Config  balance.Config
	Classes []string
	Tenants []string
	Zones   []string
	Kinds   []string
}

// Parse decodes a settings object. Unknown keys are skipped.
func Parse(text []byte) (Settings, error) {
	var c conf
	if err := json.Unmarshal(text, &c); err != nil {
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

// conf is the settings object as the wire spells it.
type conf struct {
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

// check reports what cannot be a setting, whether or not the module uses it.
func (c *conf) check() error {
	switch l, p := c.Limits, c.Prices; {
	case c.NInstances < 0:
		return errors.New("nInstances: negative")
	case c.Index < 0 || c.Index >= max(c.NInstances, 1):
		return errors.New("index: not below nInstances")
	case c.Zone < 0 || len(c.Zones) > 0 && c.Zone >= len(c.Zones):
		return errors.New("zone: not one of zones")
	case c.Stage < 0 || len(c.Tiers) > 0 && c.Stage >= len(c.Tiers):
		return errors.New("stage: not one of tiers")
	case min(l.MaxAttempts, l.MaxOpen, l.StreamsPerConn) < 0:
		return errors.New("limits: a negative count")
	case min(l.CPUPerSecond, l.CPUPerRequest) < 0:
		return errors.New("limits: a negative CPU limit")
	case min(l.MaxRetryAfter, l.ConnectTimeout, l.IdleClose) < 0:
		return errors.New("limits: a negative time")
	case min(p.CrossZone, p.Waste, p.LateFail, p.Probe, p.Peer, p.Handshake, p.Connection, p.Discovery,
		p.Moves, p.Origin, p.Fleet) < 0:
		return errors.New("prices: a negative price")
	case len(c.LoadReport.Columns) > 4:
		return errors.New("loadReport.columns: more than four")
	}
	return nil
}

// config turns the settings into a balance.Config.
func (c *conf) config() (balance.Config, error) {
	errs := []error{c.check()}
	pick := func(what, s string, names ...string) int {
		for i, n := range names {
			if s == n {
				return i
			}
		}
		if s != "" {
			errs = append(errs, fmt.Errorf("%s: %q is not one of %s", what, s, strings.Join(names, ", ")))
		}
		return 0
	}
	cfg := balance.Config{
		Index: c.Index, Instances: c.NInstances, Zone: c.Zone,
		OverShareWorth: c.OverShareWorth, WarmKeys: c.Domain.WarmKeys, ClientsMark: c.Callers.MarksRetry,
		WorthByWork:  pick("worthBy", c.WorthBy, "request", "work") == 1,
		AskDiscovery: pick("membershipMode", c.MembershipMode, "push", "ask") == 1,
		Reports:      balance.ReportSource(pick("loadReport.source", c.LoadReport.Source, "off", "on_probe", "inline")),
		Weights:      balance.WeightKind(pick("weightKind", c.WeightKind, "off", "nominal", "rough", "live")),
		Tick:         time.Duration(c.Tick), PassesDeadline: c.Domain.PassesDeadline, Stage: c.Stage,
	}
	for i, name := range LoadNames {
		if slices.Contains(c.LoadReport.Columns, name) {
			cfg.Columns |= 1 << i
		}
	}
	for _, k := range c.Classes {
		cfg.Classes = append(cfg.Classes, balance.Class{
			Aim: time.Duration(k.Aim), AimStretch: k.AimStretch, Deadline: time.Duration(k.Deadline),
			Effect: balance.Effect(pick("effect", k.Effect, "side_effect", "token", "pure")),
			Scope:  balance.Scope(pick("keyScope", k.KeyScope, "cell", "zone", "all")),
			Window: time.Duration(k.Window), LateWorth: k.LateWorth, Points: k.Points, Stream: k.Stream,
		})
	}
	for _, t := range c.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{QuotaPerSecond: t.QuotaPerS, Share: t.Share})
	}
	l, p, o := c.Limits, c.Prices, c.Obligations
	cfg.Limits = balance.Limits{
		Cancelling: l.Cancelling, Probing: l.Probing, Peers: l.Peers, SecondCopies: l.SecondCopies,
		RetryAfter: l.RetryAfter, MaxAttempts: l.MaxAttempts, MaxRetryAfter: time.Duration(l.MaxRetryAfter),
		ConnectTimeout: time.Duration(l.ConnectTimeout), IdleClose: time.Duration(l.IdleClose),
		StreamsPerConn: l.StreamsPerConn, MaxOpen: l.MaxOpen,
		CPUPerSecond:  time.Duration(l.CPUPerSecond * float64(time.Microsecond)),
		CPUPerRequest: time.Duration(l.CPUPerRequest * float64(time.Microsecond)),
	}
	cfg.Prices = balance.Prices{CrossZone: p.CrossZone, Waste: p.Waste, LateFail: p.LateFail,
		Probe: p.Probe, Peer: p.Peer, Handshake: p.Handshake,
		Connection: p.Connection, Discovery: p.Discovery}
	cfg.Rules = balance.Rules{
		GraceToAnswer: time.Duration(o.GraceToAnswer), DrainGrace: time.Duration(o.DrainGrace),
		AskEvery: time.Duration(o.AskEvery), ColdShare: o.ColdShare, WarmWithin: time.Duration(o.WarmWithin),
		FallMultiple: o.FallMultiple, OverloadFor: time.Duration(o.OverloadFor),
	}
	cfg.Goal = balance.Goal{Whole: c.Goal.Whole, WorstClass: c.Goal.WorstClass,
		WorstTenant: c.Goal.WorstTenant, WorstWindow: c.Goal.WorstWindow}
	return cfg, errors.Join(errs...)
}
