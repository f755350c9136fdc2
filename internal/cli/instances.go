package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"glencart/internal/cluster"
	"glencart/internal/site"
)

// fleetView is what a running process knows of the instances beside it.
type fleetView struct {
	Cluster    string            `json:"cluster"`
	Asked      string            `json:"asked"` // who told it
	Size       int               `json:"size"`  // how many there may be
	CutOff     string            `json:"cutOff,omitempty"`
	Superseded bool              `json:"superseded,omitempty"`
	Exchanges  uint64            `json:"exchanges"` // full ones that came to their end
	Dropped    map[string]uint64 `json:"dropped,omitempty"`
	Written    map[string]string `json:"written,omitempty"`  // turn and schema, by kind of records
	Turned     map[string]uint64 `json:"turned,omitempty"`   // away so far, by plan
	Shedding   string            `json:"shedding,omitempty"` // why somebody is shed, or why it goes by its own view
	Instances  []instanceLine    `json:"instances"`
	Shared     *sharedLine       `json:"shared,omitempty"` // none: of an older release
}

// sharedLine is what it knows together with others: docs/FLEET-OF-SERVE.md.
type sharedLine struct {
	Owners        uint32              `json:"owners"` // members that own sessions; 0: it has met none yet
	Unsure        uint32              `json:"unsure"` // parts that it owns and is not sure of
	Minority      bool                `json:"minority,omitempty"`
	Sessions      uint64              `json:"sessions"`
	Unprotected   uint64              `json:"unprotected"`
	FailedInWords uint64              `json:"failedInWords"`
	KnownAnswers  uint64              `json:"knownAnswers"`
	Repaired      uint64              `json:"repaired"` // comparisons that found something
	Waits         uint64              `json:"waits"`    // orders that waited for owners
	Waited        time.Duration       `json:"waited"`   // in all, ns
	Tenants       map[string]usedLine `json:"tenants,omitempty"`

	Orders         uint64 `json:"orders"`         // reports about orders
	Memory         uint64 `json:"memory"`         // bytes that records of sessions take
	MemoryLimit    uint64 `json:"memoryLimit"`    // bytes
	Full           bool   `json:"full,omitempty"` // something found no room in the last ten seconds
	NoRoom         uint64 `json:"noRoom"`         // reports that found no room
	OverShare      uint64 `json:"overShare"`      // those of them whose session had its share
	Refused        uint64 `json:"refused"`        // orders that were refused for want of room
	AnswersNotKept uint64 `json:"answersNotKept"` // answers that found no room
}

// usedLine is what all instances let a tenant use in the last ten seconds.
type usedLine struct {
	Asked    uint64  `json:"asked"`
	Requests uint64  `json:"requests"`
	Work     float64 `json:"work"` // seconds of box time
	Part     float64 `json:"part"` // of its limit that is this instance's now
}

// instanceLine is one instance as it is shown.
type instanceLine struct {
	Name    string        `json:"name"`
	State   string        `json:"state"`
	For     time.Duration `json:"for"`  // it has been in its state, ns
	Link    string        `json:"link"` // between it and who was asked
	Address string        `json:"address"`
	Start   uint64        `json:"start"`
	Self    bool          `json:"self,omitempty"`
	Reads   string        `json:"reads,omitempty"` // schemas, by kind of records, and what its operator holds back
}

// askWithin bounds the wait for a running process.
const askWithin = 3 * time.Second

// askFleet asks the process of a file.
func askFleet(f *site.Fleet) (*fleetView, error) {
	addr := f.Listen
	host, port, _ := net.SplitHostPort(addr)
	switch {
	case port == "0" && f.Advertise == "":
		return nil, fmt.Errorf("fleet.listen: %s: the port is left open, so a running process can't be found: give one", addr)
	case port == "0":
		addr = f.Advertise
	case host == "" || host == "0.0.0.0" || host == "::":
		addr = net.JoinHostPort("127.0.0.1", port)
	}
	ctx, stop := context.WithTimeout(context.Background(), askWithin)
	defer stop()
	m, self, err := cluster.Ask(ctx, cluster.System{}, addr, f.Cluster)
	if err != nil {
		return nil, err
	}
	v := &fleetView{Cluster: f.Cluster, Asked: self.GetName(), Size: int(m.Size), Superseded: m.Superseded, Exchanges: m.Exchanges, Dropped: m.Counts, Turned: m.Turned, Shedding: m.Shedding}
	if m.CutOff {
		v.CutOff = m.Cause
	}
	if s := m.Shared; s != nil {
		v.Shared = &sharedLine{s.Ring, s.Unsure, s.Minority, s.Sessions, s.Unprotected, s.FailedInWords, s.KnownAnswers, s.Repaired, s.Waits,
			time.Duration(s.WaitedUs) * time.Microsecond, map[string]usedLine{}, s.Calls, s.Memory, s.MemoryLimit, s.Full, s.NoRoom, s.OverShare, s.Refused, s.AnswersNotKept}
		for name, t := range s.Tenants {
			v.Shared.Tenants[name] = usedLine{t.GetAsked(), t.GetRequests(), t.GetWork(), t.GetPart()}
		}
	}
	reads := map[string]string{}
	for n, s := range m.GetLevels().GetList() {
		said, ok := s.ToSaid()
		if !ok {
			continue
		}
		for _, x := range said.Stands {
			if n == 0 { // who was asked
				if v.Written == nil {
					v.Written = map[string]string{}
				}
				v.Written[x.Kind.String()] = x.Written.String()
			}
			text := fmt.Sprintf("%s %d-%d", x.Kind, x.Lo, x.Hi)
			if x.UpperLimit != 0 {
				text += fmt.Sprintf(" held at %d", x.UpperLimit)
			}
			id := fmt.Sprint(said.Name, said.Start)
			reads[id] = strings.TrimPrefix(reads[id]+", "+text, ", ")
		}
	}
	for _, i := range m.List {
		w, ok := i.GetWord().ToWord()
		if !ok {
			return nil, fmt.Errorf("fleet: %s: a word that can't be read: is it of another release?", addr)
		}
		v.Instances = append(v.Instances, instanceLine{w.Name, w.State.String(), time.Duration(i.SinceMs) * time.Millisecond, i.Link, w.Addr, w.Start,
			self.GetName() == w.Name && self.GetStart() == w.Start, reads[fmt.Sprint(w.Name, w.Start)]})
	}
	return v, nil
}

// show words it for people. It is nothing where there is no fleet.
func (v *fleetView) show(out io.Writer) {
	if v == nil {
		return
	}
	fmt.Fprintf(out, "fleet %s as %s knows it, %d instances may be there, %d full exchanges\n", v.Cluster, v.Asked, v.Size, v.Exchanges)
	if v.CutOff != "" {
		fmt.Fprintf(out, "  cut off: %s\n", v.CutOff)
	}
	if v.Shedding != "" {
		fmt.Fprintf(out, "  shed: %s\n", v.Shedding)
	}
	if v.Superseded {
		fmt.Fprintln(out, "  superseded: a later process has its name, it serves alone")
	}
	for _, kind := range slices.Sorted(maps.Keys(v.Written)) {
		fmt.Fprintf(out, "  %s is written at %s (how often it was taken back, schema)\n", kind, v.Written[kind])
	}
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  instance\tstate\tfor\tlink\taddress\treads\t")
	for _, i := range v.Instances {
		link := i.Link
		if i.Self {
			link = "itself"
		}
		fmt.Fprintf(w, "  %s\t%s\t%v\t%s\t%s\t%s\t\n", i.Name, i.State, i.For.Round(time.Second), link, i.Address, i.Reads)
	}
	w.Flush()
	for _, plan := range slices.Sorted(maps.Keys(v.Turned)) {
		fmt.Fprintf(out, "  turned away, plan %s: %d\n", plan, v.Turned[plan])
	}
	for _, why := range slices.Sorted(maps.Keys(v.Dropped)) {
		fmt.Fprintf(out, "  dropped, %s: %d\n", why, v.Dropped[why])
	}
}
