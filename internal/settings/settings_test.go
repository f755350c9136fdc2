package settings

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"glencart/balance"
)

// Guards the mapping of settings to the configuration of the Balancer. Unknown keys must be ignored.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(`{"nInstances":3,"index":2,"zone":1,"zones":["a","b"],"skus":["m1","m2"],
		"classes":[{"name":"read","aim":750000000,"effect":"pure"},{"name":"order"}],
		"tenants":[{"name":"acme","quotaPerS":5}],"membershipMode":"ask",
		"loadReport":{"source":"on_probe","columns":["active","cpu"]},"later":{"unknown":true}}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Config
	if c.Index != 2 || c.Instances != 3 || c.Zone != 1 || !c.AskDiscovery || c.Reports != balance.ProbeReports ||
		c.Columns != balance.HasActive|balance.HasCPU || c.Classes[0].Aim != 750*time.Millisecond ||
		c.Classes[0].Effect != balance.Safe || c.Classes[1].Effect != balance.Unsafe {
		t.Errorf("%+v", c)
	}
	if !slices.Equal(s.Classes, []string{"read", "order"}) || !slices.Equal(s.Tenants, []string{"acme"}) ||
		!slices.Equal(s.Zones, []string{"a", "b"}) || !slices.Equal(s.Kinds, []string{"m1", "m2"}) {
		t.Errorf("names: %+v", s)
	}
}

// An operator must find the wrong setting, so an error names its key.
func TestParseErrorNamesKey(t *testing.T) {
	for text, want := range map[string]string{
		`{`:                                "JSON",
		`{"index":1}`:                      "index",
		`{"zone":2,"zones":["a"]}`:         "zone",
		`{"membershipMode":"guess"}`:       "membershipMode",
		`{"classes":[{"effect":"maybe"}]}`: "effect",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want an error with %s", text, err, want)
		}
	}
}

const validSettings = `{"nInstances":2,"index":1,"zone":1,"zones":["a","b"],"tiers":["t"],
 "classes":[{"name":"x","deadline":5,"effect":"token","keyScope":"zone","window":3},{"name":"y"}],
 "tenants":[{"name":"p","quotaPerS":2,"share":0.5},{"name":"q"}],"limits":{"maxAttempts":4,"idleClose":7},
 "obligations":{"coldShare":0.1,"fallMultiple":3,"drainGrace":5},"prices":{"probe":0.1},"loadReport":{"columns":["cpu"]}}`

// Invalid or ambiguous settings would make a node decide wrongly. They are rejected with one line that has the key, the value and
// the remedy.
func TestInvalidSettingsAreRejected(t *testing.T) {
	if s, err := Parse([]byte(validSettings)); err != nil || s.Check() != nil {
		t.Fatal(err, s.Check())
	}
	for _, c := range []struct{ old, new, want string }{
		{`{"name":"y"}`, `{"name":"x"}`, "classes[1].name: x is given twice: give"},
		{`{"name":"y"}`, `{}`, "classes[1].name: empty: give"},
		{`{"name":"y"}`, `null`, "classes[1].name: empty: give"},
		{`{"name":"q"}`, `{"name":"p"}`, "tenants[1].name: p is given twice: give"},
		{`{"name":"q"}`, `{"share":0.1}`, "tenants[1].name: empty: give"},
		{`"token"`, `"tokens"`, `classes[0].effect: "tokens" is not known: give one of side_effect, token, pure`},
		{`"keyScope":"zone"`, `"keyScope":"rack"`, `classes[0].keyScope: "rack" is not known: give one of cell, zone, all`},
		{`"deadline":5`, `"deadline":-5`, "classes[0]: aim, deadline or window is negative: give"},
		{`"window":3`, `"window":-3`, "classes[0]: aim, deadline or window is negative: give"},
		{`"deadline":5`, `"deadline":"5"`, "classes.deadline"},
		{`"deadline":5`, `"deadline":1e300`, "classes.deadline"},
		{`"quotaPerS":2`, `"quotaPerS":-2`, "tenants[0]: quotaPerS or share is negative: give"},
		{`"share":0.5`, `"share":1e999`, "tenants.share"},
		{`"coldShare":0.1`, `"coldShare":1.5`, "obligations.coldShare: 1.5 is no part of a capacity: give"},
		{`"coldShare":0.1`, `"coldShare":NaN`, "invalid character"},
		{`"fallMultiple":3`, `"fallMultiple":-3`, "obligations.fallMultiple: -3 is negative: give"},
		{`"drainGrace":5`, `"drainGrace":-5`, "obligations: a time is negative: give"},
		{`"maxAttempts":4`, `"maxAttempts":-4`, "limits.maxAttempts: -4: a count can't be negative: give"},
		{`"maxAttempts":4`, `"maxAttempts":4,"maxAttempts":1`, "limits.maxAttempts: given twice: give"},
		{`"name":"y"`, `"name":"y","deadline":1,"deadline":2`, "classes[1].deadline: given twice: give"},
		{`"probe":0.1`, `"probe":-0.1`, "prices.probe: -0.1: a price can't be negative: give"},
		{`"index":1`, `"index":2`, "index: 2 is not below nInstances, 2: give"},
		{`"zone":1`, `"zone":2`, "zone: 2 is not one of the 2 zones: give"},
		{`"tiers"`, `"stage":1,"tiers"`, "stage: 1 is not one of the 1 tiers: give"},
		{`["cpu"]`, `["a","b","c","d","e"]`, "loadReport.columns: 5 columns: give"},
		{`"columns"`, `"source":"there","columns"`, `loadReport.source: "there" is not known: give`},
		{`"index"`, `"membershipMode":"pull","index"`, `membershipMode: "pull" is not known: give`},
	} {
		text := strings.Replace(validSettings, c.old, c.new, 1)
		s, err := Parse([]byte(text))
		if err == nil {
			err = s.Check()
		}
		if text == validSettings || err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want a line with %q", c.new, err, c.want)
		}
	}
}

// Zones are compared by number only. So a zone may have an empty name, two may share one, and there may be none.
func TestZoneNamesMayBeEmptyOrEqual(t *testing.T) {
	for _, c := range []struct{ zones, zone string }{{`[""]`, "0"}, {`[]`, "0"}, {`["a","a"]`, "1"}, {`["","b"]`, "1"}} {
		text := strings.Replace(strings.Replace(validSettings, `["a","b"]`, c.zones, 1), `"zone":1`, `"zone":`+c.zone, 1)
		s, err := Parse([]byte(text))
		if err == nil {
			err = s.Check()
		}
		if text == validSettings || err != nil {
			t.Errorf("zones %s: %v", c.zones, err)
		}
	}
}

// Huge durations would overflow in sums and products. They are limited, so that ten times one is still a valid duration.
func TestHugeTimesDoNotOverflow(t *testing.T) {
	s, err := Parse([]byte(`{"classes":[{"name":"x","aim":9223372036854775807,"deadline":9223372036854775807,"window":9223372036854775807}],
		"limits":{"idleClose":9223372036854775807,"connectTimeout":9223372036854775807,"maxRetryAfter":9223372036854775807},
		"obligations":{"drainGrace":9223372036854775807,"askEvery":9223372036854775807,"warmWithin":9223372036854775807,
		"overloadFor":9223372036854775807,"graceToAnswer":9223372036854775807}}`))
	if err != nil || s.Check() != nil {
		t.Fatal(err, s.Check())
	}
	c := s.Config
	for _, d := range []time.Duration{c.Classes[0].Aim, c.Classes[0].Deadline, c.Classes[0].Window, c.Limits.IdleClose, c.Limits.ConnectTimeout,
		c.Limits.MaxRetryAfter, c.Rules.DrainGrace, c.Rules.AskEvery, c.Rules.WarmWithin, c.Rules.OverloadFor, c.Rules.GraceToAnswer} {
		if d < 30*24*time.Hour || d > math.MaxInt64/20 {
			t.Errorf("%v", d)
		}
	}
}
