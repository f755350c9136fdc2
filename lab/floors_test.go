package lab

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"glencart/balance"
)

// capacity is what the boxes of the scenario can do, in requests a second.
func capacity(s *Scenario) float64 {
	cores, work, parts := 0.0, 0.0, 0.0
	for _, b := range s.Boxes {
		cores += float64(b.Count*b.Cores) * b.Speed
	}
	for _, c := range s.Classes {
		work, parts = work+c.Part*time.Duration(c.Work).Seconds(), parts+c.Part
	}
	return cores / (work / parts)
}

// blind is the shipped policy where all requests are worth the same for their work, and no tenant has a share: what a class
// or tenant has there is its fair part.
func blind(cfg *balance.Config) {
	for i := range cfg.Classes {
		cfg.Classes[i].Points = 1
	}
	cfg.WorthByWork, cfg.OverShareWorth = true, 1
}

// least is the least of what each has of its fair part. What has next to nothing even so is left out.
func least(got, fair []Portion) (who string, part float64) {
	part = 1e9
	for i := range got {
		if fair := fair[i].Part(); fair > 0.02 && got[i].Part()/fair < part {
			who, part = got[i].Name, got[i].Part()/fair
		}
	}
	return who, part
}

// Whatever is worth more, no class and no tenant within its share is starved under overload: each has at least half of what it
// would have if all were worth the same; and where a few nodes know their boxes well, a tenant within its share has half of all that
// it asks for, however much another one floods. -full prints the whole table, at 1.5 to 5 times what the boxes can do.
func TestFloors(t *testing.T) {
	loads, nodes, span := []float64{5}, []int{3}, 6*time.Second
	if *full {
		loads, nodes, span = []float64{1.5, 2, 3, 5}, []int{3, 60}, 12*time.Second
	}
	flood := find(t, "floors")
	for _, c := range []struct {
		name   string
		points [3]float64
		short  bool // played without -full
	}{{"site", [3]float64{5, 3, 3}, true}, {"orders 1 to 20", [3]float64{20, 1, 20}, false}, {"menus 1 to 20", [3]float64{1, 20, 20}, false},
		{"pickups 1 to 20", [3]float64{20, 20, 1}, false}, {"menus 20 to 1", [3]float64{20, 1, 1}, true}} {
		if !*full && !c.short {
			continue
		}
		for _, many := range nodes {
			for _, load := range loads {
				t.Run(fmt.Sprintf("%s, %d nodes, load %v", c.name, many, load), func(t *testing.T) {
					t.Parallel()
					s := *flood
					s.Nodes, s.For, s.Clients.Rate = many, Duration(span), load*capacity(flood)
					s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
					for i := range s.Classes {
						s.Classes[i].Points = c.points[i]
					}
					quiet := 0.0 // those within their shares ask for as much as ever; the flood is the rest
					for i := range s.Tenants[1:] {
						s.Tenants[1+i].Part = 0.85 * s.Tenants[1+i].Share
						quiet += s.Tenants[1+i].Part
					}
					s.Tenants[0].Part = s.Clients.Rate - quiet
					got := play(t, &s, "glencart", 1)
					fair, err := Run(&s, Glencart(blind), 1)
					if err != nil {
						t.Fatal(err)
					}
					class, part := least(got.Classes, fair.Classes)
					tenant, within := least(got.Tenants[1:], fair.Tenants[1:])
					t.Logf("worth %.3f, blind %.3f; least %.2f of %s, %.2f of %s", got.Worth, fair.Worth, part, class, within, tenant)
					for _, k := range [][2][]Portion{{got.Classes, fair.Classes}, {got.Tenants, fair.Tenants}} {
						for i, p := range k[0] {
							part := func(n int64) float64 { return float64(n) / float64(p.Asked) }
							t.Logf("%-15s %.2f in time, blind %.2f; %.2f late, %.2f refused, %.2f failed", p.Name, p.Part(), k[1][i].Part(),
								part(p.Served-p.InAim), part(p.Refused), part(p.Failed))
						}
					}
					if part < 0.5 || within < 0.8 {
						t.Errorf("%s has %.2f of its fair part, %s, within its share, %.2f", class, part, tenant, within)
					}
					for i, p := range got.Tenants[1:] {
						if many == 3 && s.Tenants[1+i].Nodes == 0 && p.Part() < 0.5 {
							t.Errorf("%s, within its share, has %.2f", p.Name, p.Part())
						}
					}
				})
			}
		}
	}
}
