package settings

import (
	"slices"
	"strings"
	"testing"
	"time"

	"glencart/balance"
)

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

func TestParseNamesWhatIsWrong(t *testing.T) {
	for text, want := range map[string]string{
		`{`:                                "JSON",
		`{"index":1}`:                      "index",
		`{"zone":2,"zones":["a"]}`:         "zone",
		`{"membershipMode":"guess"}`:       "membershipMode",
		`{"classes":[{"effect":"maybe"}]}`: "effect",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want a word of %s", text, err, want)
		}
	}
}
