// Plans: which tenants are turned away first when the whole cluster has too much.
package site

import (
	"cmp"
	"fmt"
	"slices"

	"glencart/shed"
)

// Plan finds a plan by its name; -1 where there is none.
func (s *Site) Plan(name string) int {
	return slices.IndexFunc(s.Plans, func(p Plan) bool { return p.Name == name })
}

// Shed is what package shed is told of the file, and the rank of each tenant there. Who is no tenant, or has no plan, has the lowest rank; it
// is also that of the ranks' last element. Name, Start, Zone, Every and Shards are not of the file.
func (s *Site) Shed() (cfg shed.Config, ranks []int) {
	plans := slices.Clone(s.Plans)
	slices.SortStableFunc(plans, func(a, b Plan) int { return cmp.Compare(a.Rank, b.Rank) })
	for _, p := range plans {
		cfg.Plans = append(cfg.Plans, shed.Plan{Name: p.Name, Share: p.Share, MinPart: p.Least, NoBorrow: p.Borrow != nil && !*p.Borrow})
	}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, shed.Class{Worth: c.Worth, Unsafe: c.Effect != "safe"})
	}
	for _, p := range s.Pools {
		cfg.Pools = append(cfg.Pools, p.Name)
	}
	cfg.Tenants = len(s.Tenants)
	lowest := max(0, len(plans)-1)
	for _, t := range s.Tenants {
		rank := lowest
		if i := slices.IndexFunc(plans, func(p Plan) bool { return t.Plan != "" && p.Name == t.Plan }); i >= 0 {
			rank = i
		}
		ranks = append(ranks, rank)
	}
	return cfg, append(ranks, lowest)
}

// plans checks them, and that tenants name them.
func (c *checker) plans() {
	c.named("plan", len(c.Plans), func(i int) string { return c.Plans[i].Name })
	had, ranks, lowest := map[string]bool{}, map[int]int{}, 0
	for i, t := range c.Tenants {
		if t.Plan != "" && !c.plansByName[t.Plan] {
			c.fault(fmt.Sprintf("tenant.%d.plan", i), "no plan has the name %q: add one, or correct it", t.Plan)
		}
		had[t.Plan] = true
	}
	for i, p := range c.Plans {
		path := fmt.Sprintf("plan.%d", i)
		if first, tied := ranks[p.Rank]; p.Rank < 1 {
			c.fault(path+".rank", "missing, or below 1: give each plan a rank of its own: 1 is turned away last")
		} else if tied {
			c.fault(path+".rank", "%d is also that of plan %q, at line %d: give each plan a rank of its own", p.Rank, c.Plans[first].Name, c.at.Line(fmt.Sprintf("plan.%d.rank", first)))
		} else {
			ranks[p.Rank] = i
		}
		if p.Rank > c.Plans[lowest].Rank {
			lowest = i
		}
		for key, part := range map[string]float64{".share": p.Share, ".least": p.Least} {
			if !(part >= 0 && part <= 1) {
				c.fault(path+key, "not from 0 to 1: write a tenth as 0.1")
			}
		}
	}
	shares, kept := 0.0, 0.0
	for i, p := range c.Plans {
		path := fmt.Sprintf("plan.%d", i)
		if i != lowest && p.Name != "" && !had[p.Name] {
			c.fault(path+".name", "no tenant has plan %q: name it in a tenant, or take it out (who has no plan has %q)", p.Name, c.Plans[lowest].Name)
		}
		// A little more than 1 is what adding tenths gives.
		if before := shares; before <= 1+1e-9 && before+p.Share > 1+1e-9 {
			c.fault(path+".share", "the plans' shares come to %.4g in sum: make them 1 at most", before+p.Share)
		} else if before := kept; shares+p.Share <= 1+1e-9 && before <= 1+1e-9 && before+max(p.Share, p.Least) > 1+1e-9 {
			c.fault(path+".least", "what is kept for the plans, the larger of share and least of each, comes to %.4g in sum: make it 1 at most", before+max(p.Share, p.Least))
		}
		shares, kept = shares+p.Share, kept+max(p.Share, p.Least)
	}
	if len(c.Plans) > shed.MaxPlans {
		c.fault(fmt.Sprintf("plan.%d", shed.MaxPlans), "more than %d plans: put some together", shed.MaxPlans)
	}
	if len(c.Plans) > 0 && len(c.Pools) > shed.MaxPools {
		c.fault(fmt.Sprintf("pool.%d", shed.MaxPools), "plans are kept to at %d pools at most: take [[plan]] out, or split the file", shed.MaxPools)
	}
}
