package glencartgrpc

import (
	"context"
	"slices"
	"time"

	"glencart/balance"
	"glencart/internal/engine"
	"glencart/internal/members/follow"
	"glencart/merge"
)

// learn has the plug-in learn its backends from Config.Sources until ctx ends. The merge's word goes to trust as a list would: a
// backend's own word that it drains, or has started, still corrects it.
func (p *Plugin) learn(ctx context.Context) {
	p.engine.Post(func() { p.merged(p.member.Start(p.engine.Clock())) })
	p.member.Run(ctx, func(f func()) { p.wait.Go(f) }, func(event func(time.Duration) (merge.Event, bool)) {
		p.engine.Post(func() {
			if ev, counts := event(p.engine.Clock()); counts {
				p.merged(p.member.HandleEvent(p.engine.Clock(), ev))
			}
		})
	})
	p.wait.Go(func() { p.member.RunTimer(ctx, p.engine.Post, p.engine.Clock, p.merged) })
}

// merged takes in backends that have changed. On the loop.
func (p *Plugin) merged(boxes []follow.Backend) {
	if len(boxes) == 0 {
		return
	}
	changed := make([]merge.Change, 0, len(boxes))
	for _, b := range boxes {
		changed = append(changed, b.Change)
	}
	all := p.member.Backends()
	if spare := spareTier(all); spare != p.spare { // others step in, or back
		p.spare = spare
		p.cfg.Log.Info("backends are sent to up to this tier", "tier", spare)
		changed = append(slices.DeleteFunc(changed, func(c merge.Change) bool { return c.Endpoint.Phase != balance.Gone }), all...)
	}
	list := engine.List{Members: make([]engine.Member, 0, len(changed))}
	for _, c := range changed {
		list.Members = append(list.Members, p.line(c))
	}
	p.trust.take(list)
	if !p.ending && p.member.ScheduleSave() {
		p.keeps.Go(func() { p.member.SaveLater(p.ctx, p.engine.Post, p.engine.Done()) })
	}
}

// spareTier is the lowest tier in which some backend is ready: those of higher ones wait.
func spareTier(all []merge.Change) int {
	tier := -1
	for _, c := range all {
		if c.Endpoint.Phase == balance.Ready && (tier < 0 || c.Tier < tier) {
			tier = c.Tier
		}
	}
	return max(tier, 0)
}

// line is a backend as the list has it.
func (p *Plugin) line(c merge.Change) engine.Member {
	m := c.Endpoint
	if c.Tier > p.spare && m.Phase == balance.Ready {
		m.Phase = balance.Draining
	}
	return m
}
