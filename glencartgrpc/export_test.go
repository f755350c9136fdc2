package glencartgrpc

import (
	"google.golang.org/grpc/codes"

	"glencart/balance"
)

// Full tells whether the long forms of tests are asked for.
func Full() bool { return *full }

// PlantUnavailable has a plug-in take Unavailable for a proof, as careless retries do.
func (p *Plugin) PlantUnavailable() {
	p.judge = func(s seen) verdict {
		v := judge(s)
		if s.code == codes.Unavailable && !v.status.NeverRan() {
			v.status = balance.Shed
		}
		return v
	}
}
