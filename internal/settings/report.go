package settings

import (
	"fmt"
	"strconv"
	"strings"

	"glencart/balance"
)

// reportNames maps names in load reports of backends to those in the settings, where they differ.
var reportNames = map[string]string{"inflight": "active", "queue": "waiting", "util": "cpu",
	"latency_ms": "avg_ms", "qps": "rps", "eps": "err_rps"}

// ParseReport parses a load report of the form "TEXT name=value, name=value". Unknown names are skipped. One malformed value
// makes the whole report invalid.
func ParseReport(text string) (balance.Load, error) {
	var l balance.Load
	targets := [...]*float64{&l.Active, &l.Waiting, &l.CPU, &l.AvgMs, &l.RPS, &l.ErrRPS}
	text = strings.TrimSpace(text)
	text = strings.TrimSpace(strings.TrimPrefix(text, "TEXT"))
	if text == "" {
		return l, nil // a backend that has just started has no values yet
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return balance.Load{}, fmt.Errorf("%.40q is not name=value", pair)
		}
		if n, ok := reportNames[name]; ok {
			name = n
		}
		for i, n := range LoadNames {
			if n != name {
				continue
			}
			v, err := strconv.ParseFloat(value, 64)
			if err != nil || !(v >= 0 && v < 1e9) {
				return balance.Load{}, fmt.Errorf("%s: %.40q is not a number from 0 to 1e9", name, value)
			}
			*targets[i] = v
			l.Has |= 1 << i
		}
	}
	return l, nil
}
