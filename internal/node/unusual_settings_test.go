package node

import (
	"context"
	"net/http"
	"sync"
	"testing"
)

// Settings that are zero, absent, very small or very large must not stop a node or break its answers where the reference of the
// settings allows them. Each case gives the meaning of the value.
func TestUnusualSettingsAreAccepted(t *testing.T) {
	const huge = "9223372036854775807"
	for name, c := range map[string]struct {
		class        string
		replacements []string
		want         int
	}{
		"deadline 0: a minute":                   {"read", []string{`"deadline":10000000000,"effect":"pure"`, `"deadline":0,"effect":"pure"`}, 200},
		"deadline absent: a minute":              {"read", []string{`"deadline":10000000000,"effect":"pure"`, `"effect":"pure"`}, 200},
		"deadline huge: a year":                  {"read", []string{`"deadline":10000000000,"effect":"pure"`, `"deadline":` + huge + `,"effect":"pure"`}, 200},
		"deadline below early: rejected at once": {"read", []string{`"deadline":10000000000,"effect":"pure"`, `"deadline":1000000,"effect":"pure"`}, 503},
		"effect absent: unsafe, so POST":         {"order", []string{`"effect":"side_effect",`, ``}, 200},
		"keyScope absent: the cell":              {"token", []string{`"keyScope":"all",`, ``}, 200},
		"window 0: no repeats":                   {"token", []string{`"window":5000000000`, `"window":0`}, 200},
		"window huge":                            {"token", []string{`"window":5000000000`, `"window":` + huge}, 200},
		"quotaPerS 0: no quota":                  {"read", []string{`"quotaPerS":1000`, `"quotaPerS":0`}, 200},
		"share over 1: ignored":                  {"read", []string{`"share":1}`, `"share":7}`}, 200},
		"no tenants: any customer":               {"read", []string{`[{"name":"acme","quotaPerS":1000,"share":1}]`, `[]`}, 200},
		"no zones: every backend is in another":  {"read", []string{`["a","b"]`, `[]`}, 200},
		"maxAttempts 0: one":                     {"read", []string{`"maxAttempts":3`, `"maxAttempts":0`}, 200},
		"connectTimeout 0: a second":             {"read", []string{`"connectTimeout":2000000000`, `"connectTimeout":0`}, 200},
		"idleClose 0: five seconds":              {"read", []string{`"idleClose":5000000000`, `"idleClose":0`}, 200},
		"idleClose 1 ns: no reuse":               {"read", []string{`"idleClose":5000000000`, `"idleClose":1`}, 200},
		"idleClose huge":                         {"read", []string{`"idleClose":5000000000`, `"idleClose":` + huge}, 200},
		"drainGrace 0":                           {"read", []string{`"drainGrace":500000000`, `"drainGrace":0`}, 200},
		"overloadFor 0":                          {"read", []string{`"overloadFor":1500000000`, `"overloadFor":0`}, 200},
		"warmWithin 0: always warm":              {"read", []string{`"warmWithin":22000000000`, `"warmWithin":0`}, 200},
		"no obligations":                         {"read", []string{`"obligations"`, `"unknown"`}, 200},
		"no limits":                              {"read", []string{`"limits":{"c`, `"unknown":{"c`}, 200},
		"membership mode ask":                    {"read", []string{`{"nInstances"`, `{"membershipMode":"ask","nInstances"`}, 200},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRawBackend(t, "127.0.0.1:0", serveAnswers(func(*http.Request) string { return ok200("x") }))
			text := listText(1, true, listedBackend{ID: "s", Addr: b.Addr().String(), Phase: "ready", Up: 0})
			n, err := New(t.Context(), testConfig(t, newRegistry(t, text).Addr, text, c.replacements...), discardLog())
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background()) // like Run, without the time that a shutdown takes
			srv := n.front.server()
			var wg sync.WaitGroup
			wg.Go(func() { n.loop.Run(ctx.Done()) })
			wg.Go(func() { n.pool.Run(ctx) })
			wg.Go(func() { n.discovery.Run(ctx) })
			wg.Go(func() { srv.Serve(n.listener) })
			defer wg.Wait()
			defer srv.Close()
			defer stop()
			if resp, _ := doRequest(t, newTestRequest(t, "http://"+n.Addr().String()+"/api/x", c.class,
				func(r *http.Request) { r.Header.Del("X-Expires-In") })); resp.StatusCode != c.want {
				t.Errorf("answered %d, want %d", resp.StatusCode, c.want)
			}
		})
	}
}
