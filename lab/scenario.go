package lab

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"time"

	"glencart/internal/tomlat"
)

// Scenario is one world with what happens in it. Its fields are the keys of a scenario's file; docs/LAB.md describes them.
type Scenario struct {
	Name     string   `toml:"name"`
	Question string   `toml:"question"` // what it asks
	For      Duration `toml:"for"`      // how long clients come
	Nodes    int      `toml:"nodes"`
	Zones    int      `toml:"zones"` // boxes and nodes stand in them in turn; 0: 1
	Boxes    []Boxes  `toml:"boxes"`
	Classes  []Class  `toml:"class"`
	Clients  Clients  `toml:"clients"`
	Network  Network  `toml:"network"`
	Sources  []Source `toml:"source"` // of the list, by rank, for nodes that merge several; none: one list, told to all
	Events   []Event  `toml:"event"`

	file string
	at   tomlat.Lines
}

// Duration is a time such as "250ms".
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is not a time: write it as 250ms, 5s or 2m", text)
	}
	*d = Duration(v)
	return nil
}

// Boxes is a group of boxes alike.
type Boxes struct {
	Name  string  `toml:"name"` // of the group; its boxes are name0, name1, ...
	Count int     `toml:"count"`
	Cores int     `toml:"cores"` // 0: 4
	Queue int     `toml:"queue"` // that may wait; 0: 64
	Speed float64 `toml:"speed"` // of its cores; 0: 1
	Out   bool    `toml:"out"`   // not listed at the start: an event brings it

	ColdShare float64  `toml:"cold_share"` // right after a start; 0: 0.1
	Warm      Duration `toml:"warm"`       // until it is whole; 0: starts warm
	Fall      float64  `toml:"fall"`       // work beyond this multiple of what it can do now, over fall_for, brings it down; 0: never
	FallFor   Duration `toml:"fall_for"`   // 0: 1s

	Pause      Duration `toml:"pause"`       // all its cores stand still for so long, as a collector has them
	PauseEvery Duration `toml:"pause_every"` // about so often
}

// Class is a kind of request.
type Class struct {
	Name     string   `toml:"name"`
	Part     float64  `toml:"part"`   // of the arrivals, beside the other classes'
	Effect   string   `toml:"effect"` // "safe" or "unsafe"
	Work     Duration `toml:"work"`   // mean, on a core of speed 1
	Shape    string   `toml:"shape"`  // of the work: "exp" (default), "const", "uniform", "lognormal", "pareto" (alpha 1.5: infinite variance)
	Aim      Duration `toml:"aim"`
	Deadline Duration `toml:"deadline"`
	Points   float64  `toml:"points"` // 0: 1
}

// Clients are who asks.
type Clients struct {
	Rate    float64  `toml:"rate"`    // new requests a second, over all nodes (open loop)
	Loop    int      `toml:"loop"`    // or so many clients that ask, wait for the answer, think
	Think   Duration `toml:"think"`   // of the loop
	Timeout Duration `toml:"timeout"` // of one try; 0: the class's deadline bounds all tries together
	Retries int      `toml:"retries"` // after a refusal, or a failure of what is safe, at any node
	Backoff Duration `toml:"backoff"` // before the first retry, doubled each time, half of it by chance; 0: at once
	Obey    bool     `toml:"obey"`    // an advice when to come back is followed
}

// Network is what lies between nodes and boxes.
type Network struct {
	Delay  Duration `toml:"delay"`  // one way; 0: 250us
	Jitter Duration `toml:"jitter"` // exponential, beside it
	Loss   float64  `toml:"loss"`   // a lost packet costs 200 ms
	News   Duration `toml:"news"`   // of the list; 0: 50ms
}

// Event is something that happens.
type Event struct {
	At   Duration `toml:"at"`
	Do   string   `toml:"do"`
	Who  string   `toml:"who"`  // a group of boxes, one box, "zone:0", "nodes", "all"
	By   float64  `toml:"by"`   // a factor, a part or a number
	Part float64  `toml:"part"` // of those named, the first ones; 0: all
}

// verbs are what events do: each with whether it needs who.
var verbs = map[string]bool{
	"load": false, "drain": true, "undrain": true, "remove": true, "add": true, "crash": true, "restart": true, "hang": true, "unhang": true,
	"slow": true, "fail": true, "lie": true, "partition": true, "heal": true, "cut-list": false, "heal-list": false, "roll": false,
	"source-fail": true, "source-heal": true, "source-lie": true, "source-stale": true,
}

// Parse reads and checks a scenario.
func Parse(file string, text []byte) (*Scenario, error) {
	s := &Scenario{file: file}
	var err error
	if s.at, err = tomlat.Decode(file, "docs/LAB.md", text, s); err != nil {
		return nil, err
	}
	s.fill()
	return s, s.check()
}

func (s *Scenario) fill() {
	or := func(d *Duration, v time.Duration) {
		if *d == 0 {
			*d = Duration(v)
		}
	}
	s.Zones, s.Nodes = max(s.Zones, 1), max(s.Nodes, 1)
	or(&s.Network.Delay, 250*time.Microsecond)
	or(&s.Network.News, 50*time.Millisecond)
	for i := range s.Boxes {
		b := &s.Boxes[i]
		if b.Cores == 0 {
			b.Cores = 4
		}
		if b.Queue == 0 {
			b.Queue = 64
		}
		if b.Speed == 0 {
			b.Speed = 1
		}
		if b.ColdShare == 0 {
			b.ColdShare = 0.1
		}
		or(&b.FallFor, time.Second)
	}
	for i := range s.Sources {
		or(&s.Sources[i].Every, 2*time.Second)
		or(&s.Sources[i].Stale, 72*time.Hour)
	}
	for i := range s.Classes {
		if s.Classes[i].Points == 0 {
			s.Classes[i].Points = 1
		}
		if s.Classes[i].Shape == "" {
			s.Classes[i].Shape = "exp"
		}
	}
}

func (s *Scenario) check() error {
	var errs []error
	fault := func(path, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s:%d: %s: %s", s.file, s.at.Line(path), path, fmt.Sprintf(format, args...)))
	}
	if s.For == 0 {
		fault("for", "missing: say how long clients come, such as 60s")
	}
	if s.Question == "" {
		fault("question", "missing: say what the scenario asks")
	}
	if len(s.Boxes) == 0 || len(s.Classes) == 0 {
		fault("boxes", "at least one [[boxes]] and one [[class]] are needed")
	}
	if (s.Clients.Rate > 0) == (s.Clients.Loop > 0) {
		fault("clients", "rate or loop: give exactly one of them")
	}
	groups := map[string]bool{}
	for i, b := range s.Boxes {
		path := fmt.Sprintf("boxes.%d", i)
		if b.Name == "" || groups[b.Name] {
			fault(path+".name", "%q is missing or stands twice: give each group a name", b.Name)
		}
		groups[b.Name] = true
		if b.Count <= 0 || b.Cores < 0 || b.Queue < 0 || b.Speed < 0 {
			fault(path, "count, cores, queue and speed: not above 0")
		}
		if (b.Pause > 0) != (b.PauseEvery > 0) {
			fault(path+".pause", "pause and pause_every: give both, or neither")
		}
	}
	for i, c := range s.Classes {
		path := fmt.Sprintf("class.%d", i)
		if !slices.Contains([]string{"safe", "unsafe"}, c.Effect) {
			fault(path+".effect", "%q is none of safe, unsafe", c.Effect)
		}
		if !slices.Contains([]string{"exp", "const", "uniform", "lognormal", "pareto"}, c.Shape) {
			fault(path+".shape", "%q is none of exp, const, uniform, lognormal, pareto", c.Shape)
		}
		if c.Name == "" || c.Part <= 0 || c.Work <= 0 || c.Aim <= 0 || c.Deadline < c.Aim {
			fault(path, "name, part, work, aim and a deadline not below the aim are needed")
		}
	}
	names := map[string]bool{}
	for i, src := range s.Sources {
		path := fmt.Sprintf("source.%d", i)
		if src.Name == "" || names[src.Name] {
			fault(path+".name", "%q is missing or stands twice: give each source a name", src.Name)
		}
		names[src.Name] = true
	}
	for i, e := range s.Events {
		path := fmt.Sprintf("event.%d", i)
		needs, ok := verbs[e.Do]
		switch {
		case strings.HasPrefix(e.Do, "source-") && ok:
			if !names[e.Who] {
				fault(path+".who", "no source has the name %q", e.Who)
			}
			if e.Do == "source-lie" && !(e.By > 0 && e.By <= 1) {
				fault(path+".by", "not above 0 and up to 1: the part of the boxes that its list leaves out")
			}
		case !ok:
			var all []string
			for v := range verbs {
				all = append(all, v)
			}
			slices.Sort(all)
			fault(path+".do", "%q is none of %s", e.Do, strings.Join(all, ", "))
		case needs && e.Who == "":
			fault(path+".who", "missing: name a group, a box, zone:N or all")
		case e.Who != "" && e.Who != "nodes" && len(s.named(e)) == 0:
			fault(path+".who", "no box has the name %q", e.Who)
		case e.At > s.For:
			fault(path+".at", "later than the end: make for longer")
		case e.Part < 0 || e.Part > 1:
			fault(path+".part", "not from 0 to 1")
		}
	}
	return errors.Join(errs...)
}

// named lists the numbers of the boxes that an event names.
func (s *Scenario) named(e Event) (out []int) {
	n := 0
	for _, g := range s.Boxes {
		for i := range g.Count {
			if e.Who == "all" || e.Who == g.Name || e.Who == fmt.Sprint(g.Name, i) || e.Who == fmt.Sprint("zone:", n%s.Zones) {
				out = append(out, n)
			}
			n++
		}
	}
	if e.Part > 0 {
		out = out[:int(float64(len(out))*e.Part+0.5)]
	}
	return out
}

//go:embed scenarios/*.toml
var library embed.FS

// Library returns the scenarios that come with the lab, by name.
func Library() ([]*Scenario, error) {
	var out []*Scenario
	names, err := fs.Glob(library, "scenarios/*.toml")
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		text, err := library.ReadFile(name)
		if err != nil {
			return nil, err
		}
		s, err := Parse(name, text)
		if err != nil {
			return nil, err
		}
		if s.Name == "" {
			s.Name = strings.TrimSuffix(strings.TrimPrefix(name, "scenarios/"), ".toml")
		}
		out = append(out, s)
	}
	return out, nil
}
