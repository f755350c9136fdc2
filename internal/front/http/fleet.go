package httpfront

// This file has the server take its part among the processes that serve the same installation, where the file has [fleet].

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"reflect"
	"sync"
	"time"

	"glencart/balance"
	"glencart/detect"
	"glencart/internal/cluster"
	"glencart/internal/site"
	"glencart/schema"
)

// others is the part among others; nil: there is none.
type others struct {
	*cluster.Cluster
	stop func() // ends it and waits for that
}

// openFleet takes the sockets of [fleet].
func (v *Server) openFleet(s *site.Site) error {
	if s.Fleet == nil {
		return nil
	}
	f := s.Fleet
	c, err := cluster.Open(cluster.Config{Cluster: f.Cluster, Name: f.Name, Listen: f.Listen, Advertise: f.Advertise, Seeds: f.Seeds,
		Networks: fleetNetworks(f), Away: time.Duration(f.Away),
		Wait: time.Duration(f.Wait), Keep: time.Duration(f.Keep), Owners: f.Owners, SessionsMemory: int64(f.Memory), SessionMemory: int64(f.SessionMemory), RefuseIfFull: f.WhenFull == site.RefuseWhenFull, Hold: fleetHold(f), Log: v.log, Sized: func(int) { v.countInstances() },
		Detect: detect.Config{ProbeInterval: time.Duration(f.Every), ProbeTimeout: time.Duration(f.Every) * 3 / 10, MinSuspicionTimeout: time.Duration(f.Suspicion)},
	}, cluster.System{})
	if err != nil {
		return err
	}
	v.others = &others{Cluster: c}
	return nil
}

func fleetNetworks(f *site.Fleet) (out []netip.Prefix) {
	for _, text := range f.Networks {
		if n, err := site.Network(text); err == nil { // the file has been checked
			out = append(out, n)
		}
	}
	return out
}

// fleetHold is what the operator wants written at the most.
func fleetHold(f *site.Fleet) map[schema.Kind]uint16 {
	return map[schema.Kind]uint16{schema.Use: uint16(f.Schema.Use), schema.Session: uint16(f.Schema.Session)}
}

// begin has the part among others begin, before anything is accepted.
func (o *others) begin(log *slog.Logger) {
	if o == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := o.Run(ctx); err != nil {
			log.Error("fleet: ended, this process serves alone", "error", err)
		}
	})
	o.stop = func() { cancel(); wg.Wait() }
}

// end has it end, after the last answer: until then others count on what this process serves.
func (o *others) end() {
	if o == nil {
		return
	}
	o.Leave()
	o.stop()
}

// close gives the sockets back of a part that has not begun.
func (o *others) close() {
	if o != nil {
		o.Close()
	}
}

// instances is how many processes there may be: as many as are seen, and no fewer than the file says.
func (v *Server) instances(s *site.Site) int {
	n := max(s.Node.Instances, 1)
	if v.others != nil {
		n = max(n, v.others.View().Size)
	}
	return n
}

// countInstances tells every pool how many processes share its boxes.
func (v *Server) countInstances() {
	if v.others == nil {
		return
	}
	n := v.instances(v.gen.Load().site)
	v.mu.Lock()
	defer v.mu.Unlock()
	told := map[*pool]bool{} // one may be in two generations
	for g := range v.alive {
		for _, p := range g.pools {
			if !told[p] {
				told[p] = true
				p.loop.Post(func() { p.loop.Handle(balance.Event{Kind: balance.InstancesChanged, Instances: n}) })
			}
		}
	}
}

// sameFleet tells why a file can't take effect without a restart; nil: it can.
func sameFleet(old, now *site.Fleet) error {
	if (old == nil) != (now == nil) {
		return errors.New("fleet: one that comes in or is taken out needs a restart")
	}
	if old == nil {
		return nil
	}
	a, b := *old, *now
	a.Networks, b.Networks = nil, nil
	a.Schema, b.Schema = site.FleetSchema{}, site.FleetSchema{}
	if !reflect.DeepEqual(a, b) {
		return errors.New("fleet: all keys but networks and schema need a restart")
	}
	return nil
}
