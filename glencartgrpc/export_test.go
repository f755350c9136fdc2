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

// Open counts the calls that the engine still keeps.
func (p *Plugin) Open() int {
	n := make(chan int, 1)
	if !p.engine.Post(func() { n <- p.engine.OpenRequests() }) {
		return 0
	}
	select {
	case open := <-n:
		return open
	case <-p.engine.Done():
		return 0
	}
}

// Up counts the connections that are up.
func (p *Plugin) Up() int64 { return p.up.Load() }

// Cut tells whether the plug-in counts as cut off.
func (p *Plugin) Cut() bool { return p.trust.cut.Load() }

// Instances is what the module divides by.
func (p *Plugin) Instances() int {
	n := make(chan int, 1)
	p.engine.Post(func() { n <- p.instances })
	return <-n
}
